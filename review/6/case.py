"""A service item gets `sharded`, with requests queued for its servers (LOST).

Consumers send unsafe requests to two services without keys. The servers of one, `desk`, are all busy, so that some of its requests
wait in the entry nodes; the other, `tills`, has room. The operator then sends the item of `desk` with `sharded` under the next
version. The check: from the sending of the change until config_apply_s + 1 s after its ack, a request on which a server began to
work gets a complete answer, unless it has used seven tenths of its time; and cuts are not over three times as frequent as before.
"""

import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from deployment import Deployment, KEYS, Server, main, route_item, send_request, service_item

DESK_CONSUMERS, TILL_CONSUMERS, DEADLINE_MS, WORK = 32, 8, 1200, 0.15
CALM_SECONDS = 4.0


class Desk(Server):
    """Serves any key until it is told for the first time which keys it holds."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_told = False

    def body(self):
        document = super().body()
        return document | {"holds": [list(row) for row in self.held], "released": [list(row) for row in self.released]}

    def apply(self, reply, sent_at):
        self.is_told = self.is_told or "holds" in reply
        self.sharded = self.is_told
        return super().apply(reply, sent_at)


def case(has_trouble, record):
    deployment = Deployment(cores=3, entries=2, record=record)
    try:
        deployment.start()
        routes = {"r-book": route_item(1, "/book/", "unsafe", "desk", timeout=1.2, target=1.2), "r-pay": route_item(1, "/pay/", "unsafe", "tills", timeout=1.2, target=0.6)}
        deployment.order({"upsert": {"services": {"desk": service_item(1), "tills": service_item(1)}, "routes": routes}, "delete": {"routes": []}})
        servers = [Desk(deployment, "desk", f"i-{number:08x}", 101 + number, False, zone=f"z-{1 + number % 2}", slots=2, queue=4, work=WORK) for number in range(2)]
        servers += [Server(deployment, "tills", f"t-{number:08x}", 111 + number, False, zone=f"z-{1 + number % 2}", slots=6, work=WORK) for number in range(2)]
        for server in servers:
            server.start()
        deployment.wait_ready()
        time.sleep(5)
        over = threading.Event()
        results = {}

        def consume(entry, path):
            while not over.is_set():
                answer = send_request(deployment, entry, path, key=random.randrange(KEYS), deadline_ms=DEADLINE_MS, method="POST", body=b"one collection van")
                results[answer[0]] = (entry, *answer)
                # A consumer that was refused returns after the time that the node names.
                time.sleep(float(answer[2].get("retry-after", 0.1)) if answer[1] == 503 else 0.1 if not answer[1] else 0.0)

        paths = ["/book/x"] * DESK_CONSUMERS + ["/pay/x"] * TILL_CONSUMERS
        threads = [threading.Thread(target=consume, args=(deployment.entries[number % 2], path), daemon=True) for number, path in enumerate(paths)]
        for thread in threads:
            thread.start()
        time.sleep(CALM_SECONDS)
        changed = time.monotonic()
        acked = changed
        if has_trouble:
            _, acked = deployment.order({"upsert": {"services": {"desk": service_item(2, True)}}, "delete": {"routes": []}})
            deployment.note(f"the operator gets the ack of the change after {acked - changed:.3f} s")
        time.sleep(deployment.bounds["config_apply_s"] + 1)
        over.set()
        for thread in threads:
            thread.join(DEADLINE_MS / 1000 + 1)
        runs = {run[1]: run for server in servers for run in server.runs}
        until = acked + deployment.bounds["config_apply_s"] + 1
        cuts = {True: [], False: []}
        for request_id, (entry, _, status, _, _, sent, ended) in results.items():
            if status == 0 and request_id in runs and ended <= until and ended - sent < 0.7 * DEADLINE_MS / 1000:
                cuts[ended >= changed].append(f"LOST: {request_id} ran at a server and {entry.name} closed its connection without an answer {ended - sent:.3f} s after it was sent, {ended - changed:.3f} s after the change was sent")
        for entry in deployment.entries:
            code = entry.handle.poll()
            deployment.note(f"{entry.name} {'runs' if code is None else f'ended by itself with {code}'}")
            print(f"{entry.name} {'runs' if code is None else f'ended by itself with {code}'}")
        print(f"{len(results)} requests, {len(runs)} runs, {len(cuts[False])} cut in the {CALM_SECONDS:.0f} s before the change")
        return cuts[True] if len(cuts[True]) / (until - changed) > 3 * len(cuts[False]) / CALM_SECONDS else []
    finally:
        deployment.end()


sys.exit(main(case, sys.argv[1]))
