"""Requests for the keys of a server go on reaching it after drain_s, though its departure was acknowledged."""

import asyncio
import itertools
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from harness_3 import Case, DRAIN_S, HAS_TROUBLE, KEYS, STABLE_WINDOW_S, Server, main

# "It continues serving for drain_s after the ack and a little longer (at times many seconds)".
LONGER_S = 1.0
OBSERVED_S = 6
# archive-lookup of baimukhanov-gate-grown goes to a service divided by key with 4 slots a server. Its work takes up to 2.9 s.
WORK_S, SLOTS, DEADLINE_MS = 2.0, 4, 4000
# Requests a second of each entry machine, from this time before the departure on.
RATE, TRAFFIC_BEFORE_S = 8, 0.4


class Departure(Case):
    members_count, entries_count = 3, 2

    def __init__(self, folder):
        super().__init__(folder)
        self.servers = [Server(self, f"i-keyed{i}", "keyed", 100 + i, True, work_s=WORK_S, slots=SLOTS) for i in range(3)]
        self.arrivals = []
        for server in self.servers:
            server.on_run = lambda server, request_id, key, at: self.arrivals.append((at, server.name, request_id))

    async def consume(self, number):
        """Sends requests at a fixed rate, whatever the answers."""
        generator = random.Random(number)
        for count in itertools.count():
            asyncio.ensure_future(self.ask(self.entries[number], "/k/x", f"c{number}-{count}", generator.randrange(KEYS), "GET", DEADLINE_MS))
            await asyncio.sleep(1 / RATE)

    async def play(self):
        await self.start({"upsert": {"services": {"keyed": self.service(1, True)}, "routes": {"r1": self.route("keyed", "safe", "/k/", 1, 4.0)}}})
        await self.until(lambda: all(server.rows for server in self.servers), "every server holds keys")
        await asyncio.sleep(STABLE_WINDOW_S + 1)
        tasks = [asyncio.ensure_future(self.consume(number)) for number in range(self.entries_count)]
        await asyncio.sleep(TRAFFIC_BEFORE_S)
        leaver = self.servers[0]
        acknowledged_at = time.monotonic()
        if HAS_TROUBLE:
            await leaver.check_in()
            acknowledged_at = await leaver.depart()
            await asyncio.sleep(max(0.0, acknowledged_at + DRAIN_S + LONGER_S - time.monotonic()))
            leaver.stop()
        await asyncio.sleep(OBSERVED_S)
        for task in tasks:
            task.cancel()
        if not HAS_TROUBLE:
            return []
        late = [(at - acknowledged_at, request_id) for at, name, request_id in self.arrivals if name == leaver.name and at > acknowledged_at + DRAIN_S]
        lost = [request_id for _, request_id in late if self.statuses.get(request_id) != 200]
        self.record.write(f"{len(late)} requests reached {leaver.name} later than drain_s after the ack; {len(lost)} of them got no success: {lost}")
        return [f"DRAIN: {request_id} reached {leaver.name} {seconds:.2f} s after its departure was acknowledged, and its consumer got {self.statuses.get(request_id)}" for seconds, request_id in late]


main(Departure, pathlib.Path(__file__).resolve().parent)
