"""A server fails part of its requests with 503, after it has begun to work on them and without Not-Executed (REFUSED).

One of eight servers begins each unsafe request and fails four in ten of them, while its status check is good. Such an answer has
no Not-Executed, so it does not state that the request has not run. The check: no unsafe request that a server began to work on is
answered 408, 421, 429 or 503.
"""

import collections
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from deployment import Deployment, Server, main, route_item, send_message, send_request, service_item, signature

SERVERS, FAILING_SERVERS, FAILING_SHARE = 8, 1, 0.4
CONSUMERS, SECONDS = 8, 12


class FailingServer(Server):
    """Fails a share of the requests that it runs, with a status of its own."""

    share = 0.0

    def answer(self, connection, request_id, path):
        if random.random() >= self.share:
            return super().answer(connection, request_id, path)
        self.deployment.note(f"{self.name} answers {request_id} with 503 after it has begun it, without Not-Executed")
        send_message(connection, "503 Service Unavailable", {"Request-Id": request_id, "Upstream-Signature": signature(request_id)}, b"the payment could not be completed")


def case(has_trouble, record):
    deployment = Deployment(cores=3, entries=2, record=record)
    try:
        deployment.start()
        deployment.order({"upsert": {"services": {"tills": service_item(1)}, "routes": {"r-pay": route_item(1, "/pay/", "unsafe", "tills")}}, "delete": {"routes": []}})
        servers = [FailingServer(deployment, "tills", f"i-{number:08x}", 101 + number, False, zone=f"z-{1 + number % 2}", slots=3, work=0.04) for number in range(SERVERS)]
        for server in servers:
            server.start()
        deployment.wait_ready()
        time.sleep(5)
        if has_trouble:
            for server in servers[:FAILING_SERVERS]:
                server.share = FAILING_SHARE
        end = time.monotonic() + SECONDS
        answers = {}

        def consume(entry):
            while time.monotonic() < end:
                answer = send_request(deployment, entry, "/pay/x", method="PUT", body=b"one deposit")
                answers[answer[0]] = answer

        threads = [threading.Thread(target=consume, args=(deployment.entries[number % 2],), daemon=True) for number in range(CONSUMERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(SECONDS + 5)
        runs = {run[1]: server.name for server in servers for run in server.runs}
        print(dict(collections.Counter(answer[1] for answer in answers.values())), f"{len(runs)} runs")
        return [f"REFUSED: {request_id} ran at {runs[request_id]} and its consumer got {status}, which promises that it has not run" for request_id, status, *_ in answers.values() if status in (408, 421, 429, 503) and request_id in runs]
    finally:
        deployment.end()


sys.exit(main(case, sys.argv[1]))
