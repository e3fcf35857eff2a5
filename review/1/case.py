"""A server sends a late second copy of an answer that says "not run"; the router takes it for the answer to its repeat."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from platform_stand_in import KEYS, Callers, CannotRun, Deployment, Server, limits_item, main, route_item, service_item, violations_of_at_most_once

# Largest dose of the site's trouble garble "extra late": 0.6 of a service's servers, 0.03 of their answers, for 5 s.
EXTRA_SHARE_OF_SERVERS, EXTRA_SHARE_OF_ANSWERS, EXTRA_SECONDS = 0.6, 0.03, 5.0
SERVERS = 5
# One way between regions; the owners of all keys are in the other one.
LINK_SECONDS = 0.03
ROUNDS = 8
REQUESTS_PER_SECOND = 220


class RepeatingServer(Server):
    """Now and then sends an answer a second time, where the next answer of that connection is expected."""

    is_faulty = False
    copies = 0

    async def answer_hook(self, connection, writer, status, answer, request_id):
        if self.is_faulty and self.random.random() < EXTRA_SHARE_OF_ANSWERS:
            connection["copy"] = (answer, status, request_id)

    async def next_request_hook(self, connection, writer):
        if "copy" in connection:
            answer, status, request_id = connection.pop("copy")
            self.copies += 1
            self.record.write(f"server {self.name}: sends its answer {status} to {request_id} a second time")
            asyncio.get_running_loop().call_later(self.link_seconds, writer.write, answer)


async def case(record, trouble):
    deployment = Deployment(record, edges=9)
    try:
        deployment.start()
        # A server that is full answers 503 with Not-Executed: three slots and a short queue.
        servers = [RepeatingServer(deployment, f"i-{i}", "catalogue", 100 + i, sharded=True, slots=3, queue=1, work=(0.03, 0.09), link_seconds=LINK_SECONDS, zone="zone-b") for i in range(SERVERS)]
        for server in servers:
            await server.start()
        await deployment.configure({"upsert": {"services": {"catalogue": service_item(True)}, "routes": {"deposit": route_item("/deposit/", "unsafe", "catalogue")}, "limits": limits_item()}})
        await deployment.wait_until_ready()
        await asyncio.sleep(4)
        callers = Callers(deployment, os.environ.get("SEED", "1"))
        loop = asyncio.get_running_loop()

        async def load(seconds):
            end = loop.time() + seconds
            while loop.time() < end:
                await asyncio.sleep(callers.random.expovariate(REQUESTS_PER_SECOND))
                callers.spawn(edge=callers.random.choice(deployment.edges), method="PUT", path=f"/deposit/{callers.random.randrange(1000)}", kind="unsafe", key=callers.random.randrange(KEYS), body=b"amount")

        await load(3)
        for _ in range(ROUNDS):
            faulty = callers.random.sample(servers, int(SERVERS * EXTRA_SHARE_OF_SERVERS))
            for server in faulty:
                server.is_faulty = trouble
            await load(EXTRA_SECONDS)
            for server in faulty:
                server.is_faulty = False
            await load(2)
        await callers.finish()
        await asyncio.sleep(0.5)
        if callers.totals().get(200, 0) < len(callers.sent) / 2:
            raise CannotRun(f"too few requests were served: {callers.totals()}")
        summary = f"{len(callers.sent)} requests, answers {callers.totals()}, {sum(server.copies for server in servers)} answers sent a second time"
        return violations_of_at_most_once(callers, servers), summary
    finally:
        deployment.stop()


main(case, FOLDER)
