"""Callers of one process. Each keeps one connection and sends its next request when the last one is answered.

usage: sender.py SEED SECONDS CONNECTIONS ADDRESS...

Prints a line for each request when it ends: time sent, time answered, request id, status (0 for no answer).
"""

import asyncio
import random
import sys
import time

seed, seconds, connections, *addresses = sys.argv[1:]
generator = random.Random(seed)
end = time.monotonic() + float(seconds)
lines = []


async def call(number):
    host, port = addresses[number % len(addresses)].split(":")
    writer = None
    while time.monotonic() < end:
        request_id = f"{generator.getrandbits(64):016x}"
        status, sent_at = 0, time.monotonic()
        try:
            async with asyncio.timeout(1.5):
                if writer is None:
                    reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"POST /deposit/{request_id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n".encode())
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = head.index(b"content-length:") + 15
                await reader.readexactly(int(head[length:head.index(b"\r", length)]))
            status = int(head[9:12])
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        if writer and (status == 0 or b"connection: close" in head):
            writer.close()
            writer = None
        lines.append(f"{sent_at:.6f} {time.monotonic():.6f} {request_id} {status}")
        if status != 200:
            await asyncio.sleep(0.05)


async def run():
    await asyncio.gather(*(call(number) for number in range(int(connections))))


asyncio.run(run())
print("\n".join(lines))
