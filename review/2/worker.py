"""A server of a service without keys, as PROTOCOL.md describes one. It ends when its standard input is closed.

usage: worker.py NAME SERVICE ADDRESS EXTRA_SHARE CONTROL...
  EXTRA_SHARE  share of its answers after which it sends a second copy of the answer, during EXTRA_SECONDS of every PERIOD_SECONDS

Prints a line for each run when it ends: time, request id; and a last line with the number of extra answers.
"""

import asyncio
import json
import random
import sys
import time

EXTRA_SECONDS, PERIOD_SECONDS = 5.0, 7.0
SLOTS = 16
WORK_SECONDS = (0.02, 0.04)

name, service, address, extra_share, *controls = sys.argv[1:]
extra_share = float(extra_share)
host, port = address.split(":")
born = int(time.time() * 1000)
generator = random.Random(name)
runs = []
extra_count = 0


async def heartbeat(sequence):
    document = json.dumps({"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": SLOTS, "state": "ready", "warmup_left_s": 0, "sequence": sequence, "born": born}).encode()
    for control in controls[:]:
        try:
            for _ in range(3):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(*control.split(":"))
                    writer.write(f"PUT /instances/{name} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\nContent-Length: {len(document)}\r\nConnection: close\r\n\r\n".encode() + document)
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    writer.close()
                if head[9:12] != "307":
                    break
                control = [line for line in head.split("\r\n") if line.lower().startswith("location:")][0].split("/")[2]
            if head[9] == "2":
                return
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        controls.append(controls.pop(0))


async def serve(reader, writer):
    global extra_count
    try:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:] if line)
            request_id = headers["Request-Id"]
            if headers.get("Expect-Instance", name) != name:
                writer.write(f"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nNot-Executed: 1\r\nRequest-Id: {request_id}\r\n\r\n".encode())
                continue
            runs.append(f"{time.monotonic():.6f} {request_id}")
            await asyncio.sleep(generator.uniform(*WORK_SECONDS))
            answer = f"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: {request_id}\r\nUpstream-Signature: {request_id}.signed\r\nKeep-Alive: timeout=10\r\n\r\nok".encode()
            writer.write(answer)
            if time.monotonic() % PERIOD_SECONDS < EXTRA_SECONDS and generator.random() < extra_share:
                # A packet of its own, right behind the complete answer.
                await asyncio.sleep(0)
                writer.write(answer)
                extra_count += 1
    except (OSError, asyncio.IncompleteReadError, KeyError):
        pass
    finally:
        writer.close()


async def run():
    await asyncio.start_server(serve, host, int(port), backlog=512)
    stop = asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    sequence = 0
    while not stop.done():
        sequence += 1
        await heartbeat(sequence)
        await asyncio.wait([stop], timeout=0.87)
    print("\n".join([*runs, f"extra {extra_count}"]), flush=True)


asyncio.run(run())
