"""An operator drops a service that standing routes name (CONFIG).

The resulting configuration has routes that name an unknown service, so the call requires a 4xx and no part of it may come into force.
The check: the call is not acknowledged; and 10 s later the operator reads back a configuration whose routes name known services,
and the consumers of these routes are served.
"""

import collections
import concurrent.futures
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from deployment import CannotRun, Deployment, KEYS, Server, main, route_item, send_request, service_item

REQUESTS, CONSUMERS = 60, 12


def serve(deployment, path):
    def send(number):
        return send_request(deployment, deployment.entries[number % 2], path, key=random.randrange(KEYS))[1]

    with concurrent.futures.ThreadPoolExecutor(CONSUMERS) as consumers:
        statuses = collections.Counter(consumers.map(send, range(REQUESTS)))
    print(f"{path}: {dict(statuses)}")
    return statuses[200]


def read_back(deployment):
    for _ in range(40):
        answer = deployment.call("GET", "/config")
        if answer and answer[0] == 200:
            return json.loads(answer[1])
        time.sleep(0.1)
    raise CannotRun("the configuration can't be read")


def case(has_trouble, record):
    deployment = Deployment(cores=3, entries=2, record=record)
    try:
        deployment.start()
        routes = {"r-look": route_item(1, "/look/", "safe", "stock"), "r-book": route_item(1, "/book/", "unsafe", "desk")}
        deployment.order({"upsert": {"services": {"stock": service_item(1, True), "desk": service_item(1)}, "routes": routes}, "delete": {"routes": []}})
        servers = [Server(deployment, "stock", f"i-{number:08x}", 101 + number, True, zone=f"z-{1 + number % 2}", work=0.02) for number in range(3)]
        servers += [Server(deployment, "desk", f"d-{number:08x}", 111 + number, False, zone=f"z-{1 + number % 2}", work=0.02) for number in range(2)]
        for server in servers:
            server.start()
        deployment.wait_ready()
        time.sleep(6)
        before = serve(deployment, "/look/x")
        if before < REQUESTS * 0.9:
            raise CannotRun("the service is not served before the call")
        violations = []
        if has_trouble:
            status, _ = deployment.order({"upsert": {}, "delete": {"routes": [], "services": [{"name": "stock", "version": "00000002"}]}})
            deployment.note(f"the operator drops the service stock, which the route r-look names: {status}")
            if status == 200:
                violations.append("CONFIG: a call after which a route names an unknown service is acknowledged with 200")
        time.sleep(10)
        held = read_back(deployment)
        unknown = [name for name, route in held["routes"].items() if route["service"] not in held["services"]]
        if unknown:
            violations.append(f"CONFIG: it is in force: the routes {unknown} name a service that the configuration read back does not have")
        after = serve(deployment, "/look/x")
        if after < REQUESTS * 0.25:
            print(f"served on the route: {before} of {REQUESTS} before, {after} of {REQUESTS} 10 s later")
        return violations
    finally:
        deployment.end()


sys.exit(main(case, sys.argv[1]))
