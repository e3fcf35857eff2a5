"""A server sends bytes behind a complete answer. On a machine with several cores, the router runs the request again."""

import asyncio
import collections
import os
import pathlib
import subprocess
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from platform_stand_in import CannotRun, Deployment, limits_item, main, route_item, service_item

CPU_CORES = 4
SERVERS, SENDERS, CONNECTIONS = 5, 3, 16
SECONDS = 70
# Largest dose of the site's trouble garble: 0.6 of a service's servers, 0.03 of their answers, 5 s at a time.
FAULTY_SERVERS, EXTRA_SHARE = 3, 0.03


async def case(record, trouble):
    deployment = Deployment(record, edges=2, cpu_cores=CPU_CORES)
    children = []

    def start(*command):
        child = subprocess.Popen([sys.executable, *map(str, command)], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        children.append(child)
        return child

    try:
        deployment.start()
        workers = [start(FOLDER / "worker.py", f"i-{i}", "tills", f"{deployment.network}.{100 + i}:8185", EXTRA_SHARE if trouble and i < FAULTY_SERVERS else 0, *deployment.controls) for i in range(SERVERS)]
        await deployment.configure({"upsert": {"services": {"tills": service_item(False)}, "routes": {"deposit": route_item("/deposit/", "unsafe", "tills", timeout=1.2)}, "limits": limits_item()}})
        await deployment.wait_until_ready()
        await asyncio.sleep(3)
        fronts = [f"{edge.address}:{deployment.FRONT}" for edge in deployment.edges]
        senders = [start(FOLDER / "sender.py", f"{os.environ.get('SEED', '1')}-{i}", SECONDS, CONNECTIONS, *fronts) for i in range(SENDERS)]
        sent = [output for output, _ in await asyncio.gather(*(asyncio.to_thread(sender.communicate) for sender in senders))]
        await asyncio.sleep(0.5)
        ran = [output for output, _ in await asyncio.gather(*(asyncio.to_thread(worker.communicate) for worker in workers))]
    finally:
        for child in children:
            if child.poll() is None:
                child.kill()
                child.wait()
        deployment.stop()

    events, statuses, runs, extra = [], {}, collections.defaultdict(list), 0
    for line in "\n".join(sent).split("\n"):
        if line:
            sent_at, answered_at, request_id, status = line.split()
            statuses[request_id] = int(status)
            events += [(float(sent_at), f"caller: {request_id} sent"), (float(answered_at), f"caller: {request_id} answered {status}")]
    for number, output in enumerate(ran):
        for line in output.strip().split("\n"):
            first, second = line.split()
            if first == "extra":
                extra += int(second)
            else:
                runs[second].append(f"i-{number}")
                events.append((float(first), f"server i-{number}: {second} RUNS"))
    for at, text in sorted(events):
        record.file.write(f"{at - record.started_at:9.4f} {text}\n")
    totals = dict(collections.Counter(statuses.values()))
    if totals.get(200, 0) < len(statuses) / 2:
        raise CannotRun(f"too few requests were served: {totals}")
    violations = [f"TWICE: {request_id} ran at {' and '.join(where)}, its caller got {statuses.get(request_id)}" for request_id, where in runs.items() if len(where) > 1]
    violations += [f"REFUSED: {request_id} ran, its caller got {status}" for request_id, status in statuses.items() if status in (408, 421, 429, 503) and request_id in runs]
    return violations, f"{len(statuses)} requests, answers {totals}, {extra} extra answers"


main(case, FOLDER)
