"""Features that only some runs of the soak exercise, each with its servers, routes, callers, faults and checks."""

import contextlib
import http.client
import itertools
import random
import select
import signal
import socket
import threading
import time

from pipelining import DRAIN_SECONDS, RECEIVE_TIMEOUT
from server import KEYS, SERVICE_SECONDS, body_of, signature

ZONES = {"zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-2"}
EVACUATE_SECONDS, WARM_UP_OVERAGE, WARM_UP_SLACK = 5.0, 1.5, 8
BOUNDS = [f"evacuate_s={EVACUATE_SECONDS}", f"warmup_overage={WARM_UP_OVERAGE}", f"warmup_slack={WARM_UP_SLACK}"]
WARM_UP_SECONDS, WARM_UP_RATE = 3.0, 5.2
FIRST_FEATURE_ADDRESS = 200
REGION_ADDRESS = 210


class Feature:
    """By default, a feature has no servers, routes, callers or checks of its own."""

    def __init__(self, soak):
        self.soak = soak
        self.servers = self.make_servers()

    def make_servers(self):
        return []

    def services(self):
        return {}

    def routes(self):
        return {}

    def callers(self):
        """Returns functions that each run in a thread until the run is over."""
        return []

    def faults(self):
        """Returns functions that each run in a thread while faults are injected."""
        return []

    def end_faults(self):
        """Runs after the last fault, before the recovery is measured."""

    def after_recovery(self):
        """Runs when requests are served again."""

    def check(self, runs):
        """Yields the violations in the runs so far, which are in the order of their times."""
        return []

    def check_use(self, runs):
        """Yields why the checks of a whole run would have passed for nothing."""
        return []

    def generator(self, number):
        return random.Random(f"{type(self).__name__} {number} {self.soak.options.seed}")

    def send_requests(self, number, pause, paths, goes_on=None):
        """Sends requests to all of the paths in turn, each time in a random order, while the function returns True, by default until the run is over."""
        generator = self.generator(number)
        order = []
        while goes_on() if goes_on else not self.soak.is_over.is_set():
            order = order or generator.sample(paths, len(paths))
            kind, path = order.pop()
            self.soak.exchange(f"{generator.getrandbits(64):016x}", kind, path, generator.randrange(KEYS), generator.choice(self.soak.front_proxies))
            time.sleep(pause)

    def restart_servers(self):
        """Kills or stops a server of this feature every second or so, and starts it again."""
        generator = self.generator("faults")
        while self.soak.has_faults():
            time.sleep(generator.uniform(0.3, 1.2))
            server, is_kill, seconds = generator.choice(self.servers), generator.random() < 0.7, generator.uniform(0.1, 1.0)
            self.soak.note_fault(f"{'kill' if is_kill else 'terminate'} {server.name} {seconds:.2f}")
            (self.soak.kill if is_kill else self.soak.terminate)(server, seconds)


class Bodies(Feature):
    """Uploads with large bodies and downloads with large responses, of callers that are slow or leave in the middle."""

    CALLERS = 4
    UPLOAD_BYTES, DOWNLOAD_BYTES = (20_000, 300_000, 1_500_000), (30_000, 300_000, 1_500_000)
    PIECE_BYTES, MAX_PIECE_PAUSE_SECONDS = 32_768, 0.02
    RECEIVE_TIMEOUT = 15.0

    def __init__(self, soak):
        super().__init__(soak)
        self.whole = dict.fromkeys(("upload", "download"), 0)

    def routes(self):
        return {f"{service}-{kind}": self.soak.route(service, kind, f"/{service}/{kind}/", 1) for service in ("keyed", "plain") for kind in ("upload", "download")}

    def callers(self):
        return [lambda number=number: self.run_caller(number) for number in range(self.CALLERS)]

    def run_caller(self, number):
        generator = self.generator(number)
        while not self.soak.is_over.is_set():
            try:
                self.send_request(generator)
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.02)

    def send_request(self, generator):
        kind, service = generator.choice(["upload", "download"]), generator.choice(["keyed", "plain"])
        request_id, behaviour = f"{generator.getrandbits(64):016x}", generator.choice(["fast", "slow", "leaves"])
        size = generator.choice(self.UPLOAD_BYTES if kind == "upload" else self.DOWNLOAD_BYTES)
        # The server breaks off some downloads in the middle.
        path = f"/{service}/{kind}/{'cut' if kind == 'download' and generator.random() < 0.15 else 'long'}/{size}"
        vm, proxy = generator.choice(list(zip(self.soak.entries, self.soak.front_proxies)))
        # Without a proxy, backpressure of a slow caller reaches the entry VM at once.
        address = generator.choice([(vm.address, self.soak.front_port), proxy.listener.getsockname()])
        buffer_bytes, leave_after, key = generator.choice([8192, 65536]), generator.random(), generator.randrange(KEYS)
        headers = {"Host": "soak.example", "Request-Id": request_id, "Deadline-Ms": "2000", "Shard-Key": str(key)}
        with self.soak.lock:
            self.soak.results[request_id] = ("unsafe" if kind == "upload" else "safe", 0)
        connection = http.client.HTTPConnection(*address)
        connection.sock = socket.socket()
        try:
            # The default segment of loopback does not fit into a small receive buffer.
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            connection.sock.settimeout(self.RECEIVE_TIMEOUT)
            connection.sock.connect(address)
            if kind == "download":
                connection.request("GET", path, None, headers)
            elif not self.send_upload(connection, generator, path, headers, behaviour, leave_after):
                return
            self.read_response(connection, generator, kind, path, request_id, behaviour, leave_after)
        finally:
            connection.close()

    def send_upload(self, connection, generator, path, headers, behaviour, leave_after):
        """Returns False if the caller left, either in the middle of the body or behind its end."""
        body = body_of(headers["Request-Id"], "POST", path)
        connection.putrequest("POST", path, skip_host=True, skip_accept_encoding=True)
        for name, value in (headers | {"Content-Length": str(len(body))}).items():
            connection.putheader(name, value)
        connection.endheaders()
        end = len(body) if behaviour != "leaves" else min(len(body), int(len(body) * leave_after * 1.5))
        for first in range(0, end, self.PIECE_BYTES):
            connection.send(body[first:min(end, first + self.PIECE_BYTES)])
            if behaviour == "slow":
                time.sleep(generator.random() * self.MAX_PIECE_PAUSE_SECONDS)
        return behaviour != "leaves"

    def read_response(self, connection, generator, kind, path, request_id, behaviour, leave_after):
        with self.soak.reading_status(request_id):
            response = connection.getresponse()
        self.soak.check_status(request_id, response.status)
        expected = body_of(request_id, "POST" if kind == "upload" else "GET", path)
        received, is_broken = b"", False
        try:
            while piece := response.read(self.PIECE_BYTES):
                received += piece
                if behaviour == "leaves" and len(received) > leave_after * len(expected):
                    return
                if behaviour == "slow":
                    time.sleep(generator.random() * self.MAX_PIECE_PAUSE_SECONDS)
            # A read of a part does not fail at an early end, but leaves the bytes that are missing of the declared length.
            is_broken = bool(response.length)
        except (OSError, http.client.HTTPException):
            is_broken = True
        if response.status == 200:
            is_intact = expected.startswith(received) if is_broken else received == expected
            if not is_intact or response.getheader("Upstream-Signature") != signature(request_id):
                self.soak.violations.append(f"{kind} {request_id} of {path} got {len(received)} of {len(expected)} bytes, {'damaged' if is_broken else 'as a complete response'}")
            self.whole[kind] += not is_broken
        with self.soak.lock:
            self.soak.results[request_id] = self.soak.results[request_id][0], 0 if is_broken else response.status

    def check(self, runs):
        return (f"request {run.request_id} ran with a damaged body at {run.server}" for run in runs if run.verb == "damaged")

    def check_use(self, runs):
        yield from (f"no {kind} was whole" for kind, count in self.whole.items() if not count)
        if not any("/cut/" in run.path for run in runs):
            yield "no server broke off a download"


class Statuses(Feature):
    """Upstreams that answer with a status that is not valid. Every caller of a run checks the statuses that it gets."""

    PAUSE_SECONDS = 0.1
    STATUSES = ("000", "099", "600", "1000", "2x0")
    # Callers take these for a promise that the request did not run, which the upstreams do not state.
    PROMISES = ("408", "429", "503")

    def faults(self):
        paths = [(kind, f"/{service}/{kind}/status/{status}") for service in ("keyed", "plain") for kind in ("safe", "unsafe") for status in self.STATUSES]
        promises = [("unsafe", f"/{service}/unsafe/status/{status}") for service in ("keyed", "plain") for status in self.PROMISES]
        return [lambda: self.send_requests(0, self.PAUSE_SECONDS, paths, self.soak.has_faults), lambda: self.send_requests(1, self.PAUSE_SECONDS, promises, self.soak.has_faults)]

    def check_use(self, runs):
        used = {run.path.split("/")[4] for run in runs if "/status/" in run.path}
        return (f"no upstream answered with status {status}" for status in self.STATUSES + self.PROMISES if status not in used)


class Evacuations(Feature):
    """An order to evacuate zone-2 in the middle of the faults. It is withdrawn after all members have been restarted."""

    ZONE = "zone-2"
    MAX_ORDER_DELAY_SECONDS = 3.0
    WITHDRAWN_AFTER_SECONDS = 1.0
    # Operators repeat an order for 5 s. The rest allows for faults.
    ACKNOWLEDGED_WITHIN_SECONDS = 15.0
    # Data that a fault has held back, and an entry VM that was paused before it could learn of the order, need this long after it.
    ALLOWANCE_SECONDS = 1.0

    def __init__(self, soak):
        super().__init__(soak)
        self.acknowledged_at = self.withdrawn_at = self.ended_at = None

    def faults(self):
        return [self.order]

    def order(self):
        time.sleep(self.generator("order").uniform(0, self.MAX_ORDER_DELAY_SECONDS))
        self.acknowledged_at = self.send_order("POST")
        self.soak.note_fault(f"evacuation of {self.ZONE} acknowledged")

    def send_order(self, method):
        """Repeats the request until it is acknowledged. Returns when it was."""
        started, response = time.monotonic(), None
        while not (response and response[0] // 100 == 2):
            if time.monotonic() - started > self.ACKNOWLEDGED_WITHIN_SECONDS:
                self.soak.violations.append(f"{method} of the evacuation was not acknowledged within {self.ACKNOWLEDGED_WITHIN_SECONDS} s: {response}")
                break
            response = self.soak.send_control_request(method, f"/evacuations/{self.ZONE}")
        return time.monotonic()

    def end_faults(self):
        for member in self.soak.members:
            self.soak.kill(member, 0)
            self.soak.wait_until_configured(member)
        # An entry VM that starts has the order from the members only.
        self.soak.kill(self.soak.entries[0], 0)
        self.soak.wait_until_served("restart of all members")
        while time.monotonic() < self.acknowledged_at + EVACUATE_SECONDS + self.WITHDRAWN_AFTER_SECONDS:
            time.sleep(0.1)
        self.withdrawn_at = time.monotonic()
        self.ended_at = self.send_order("DELETE")
        self.soak.note_fault(f"evacuation of {self.ZONE} withdrawn")

    def after_recovery(self):
        names = [server.name for server in self.soak.servers if server.zone == self.ZONE and not server.is_sharded]

        def has_returned():
            runs = [run for run in self.soak.read_runs() if run.time > self.ended_at]
            return all(any(run.name == name for run in runs) for name in names)

        self.soak.wait_until(has_returned, f"no request reaches {names} after the withdrawal of the evacuation")

    def check(self, runs):
        if not self.acknowledged_at:
            return
        for run in runs:
            if run.time >= self.acknowledged_at + EVACUATE_SECONDS and not (self.withdrawn_at and run.time >= self.withdrawn_at):
                server = next((server for server in self.soak.servers if server.name == run.name and server.zone == self.ZONE), None)
                if server and not self.is_excused(run.time, server):
                    yield f"request {run.request_id} reached {run.server} in evacuated {self.ZONE} {run.time - self.acknowledged_at:.3f} s after the acknowledgement"

    def is_excused(self, run_time, server):
        """Returns True if a fault held back requests to the server, or an entry VM that may not have heard of the order, at that time."""
        for action, target, begin, end in list(self.soak.disturbances):
            is_unaware = action == self.soak.pause and target in self.soak.entries and begin < self.acknowledged_at + EVACUATE_SECONDS
            is_held = target is server or target is server.proxy or is_unaware
            if is_held and begin <= run_time <= (end[0] if end else run_time) + self.ALLOWANCE_SECONDS:
                return True
        return False

    def check_use(self, runs):
        if not any(self.acknowledged_at + EVACUATE_SECONDS <= run.time < self.withdrawn_at for run in runs):
            yield "no request ran while the evacuation was in effect"


class WarmUps(Feature):
    """A service whose servers are cold after each restart during the traffic."""

    CALLERS = 4
    MAX_COLD_REQUESTS = int(WARM_UP_RATE * WARM_UP_OVERAGE + WARM_UP_SLACK)

    def make_servers(self):
        return [self.soak.make_server("warm", index, FIRST_FEATURE_ADDRESS + index, False, has_proxy=False) for index in range(2)]

    def services(self):
        return {"warm": {"warmup_s": WARM_UP_SECONDS, "warmup_per_s": WARM_UP_RATE}}

    def routes(self):
        return {"warm-safe": self.soak.route("warm", "safe", "/warm/safe/", 1)}

    def callers(self):
        return [lambda number=number: self.send_requests(number, SERVICE_SECONDS, [("safe", "/warm/safe/1")]) for number in range(self.CALLERS)]

    def faults(self):
        return [self.restart_servers]

    def restart_servers(self):
        for server in self.servers:
            server.environment["SOAK_WARM_UP_SECONDS"] = str(WARM_UP_SECONDS)
        super().restart_servers()

    def check(self, runs):
        cold = sorted((run.server, run.time) for run in runs if run.verb == "cold")
        for server, group in itertools.groupby(cold, key=lambda run: run[0]):
            times = [run_time for _, run_time in group]
            for first, last in zip(times, times[self.MAX_COLD_REQUESTS:]):
                if last - first < 1.0:
                    yield f"more than {self.MAX_COLD_REQUESTS} requests reached cold {server} in the second from {first}"
                    break

    def check_use(self, runs):
        if not any(run.verb == "cold" for run in runs):
            yield "no request reached a cold server"


class Regions(Feature):
    """Routes that one region each may serve, while the only servers of a region are killed."""

    ZONE_OF = {"region-1": "zone-1", "region-2": "zone-3"}

    def make_servers(self):
        return [self.soak.make_server("placed", index, REGION_ADDRESS + index, False, has_proxy=False, zone=zone) for index, zone in enumerate(self.ZONE_OF.values())]

    def services(self):
        return {"placed": {}}

    def routes(self):
        return {f"placed-{region}-{kind}": self.soak.route("placed", kind, f"/placed/{kind}/{region}/", 1) | {"allowed_regions": [region]} for region in self.ZONE_OF for kind in ("safe", "unsafe")}

    def callers(self):
        paths = [(kind, f"/placed/{kind}/{region}/1") for region in self.ZONE_OF for kind in ("safe", "unsafe")]
        return [lambda number=number: self.send_requests(number, SERVICE_SECONDS, paths) for number in range(2)]

    def faults(self):
        return [self.restart_servers]

    def check(self, runs):
        regions = {server.name: ZONES[server.zone] for server in self.servers}
        return (f"request {run.request_id} to {run.path} reached {run.server} in {regions[run.name]}" for run in runs if run.name in regions and regions[run.name] not in run.path)

    def check_use(self, runs):
        return (f"no request was served in {region}" for region in self.ZONE_OF if not any(f"/{region}/" in run.path for run in runs))


class ServiceChanges(Feature):
    """Changes of service items under load, and drops of services that routes name, which must be rejected."""

    CALLERS = 12
    SERVICES = {"keyed": {"sharded": True, "warm_s": 1.0, "grants": "heartbeat"}, "plain": {"sharded": False}}
    ACKNOWLEDGED_WITHIN_SECONDS = 15.0

    def __init__(self, soak):
        super().__init__(soak)
        self.version = 1
        self.rejected = 0

    def callers(self):
        paths = [(kind, f"/{service}/{kind}/1") for service in self.SERVICES for kind in ("safe", "unsafe")]
        return [lambda number=number: self.send_requests(number, 0.0, paths, self.soak.has_faults) for number in range(self.CALLERS)]

    def faults(self):
        return [self.change_services, self.drop_services]

    def set_service(self, name, **members):
        """Sends the next version of a service's item. Returns the response."""
        self.version += 1
        return self.soak.send_control_request("PATCH", body={"upsert": {"services": {name: self.soak.service(self.version) | self.SERVICES[name] | members}}})

    def change_services(self):
        generator = self.generator("changes")
        while self.soak.has_faults():
            name = generator.choice(list(self.SERVICES))
            members = generator.choice([{"sharded": not self.SERVICES[name]["sharded"]}, {"warmup_s": WARM_UP_SECONDS, "warmup_per_s": WARM_UP_RATE}])
            self.soak.note_fault(f"service {name} gets {members}")
            self.set_service(name, **members)
            time.sleep(generator.uniform(0.05, 0.8))
            self.set_service(name)
            time.sleep(generator.uniform(0.2, 1.0))

    def drop_services(self):
        generator = self.generator("drops")
        while self.soak.has_faults():
            time.sleep(generator.uniform(0.2, 1.0))
            name = generator.choice(list(self.SERVICES))
            response = self.soak.send_control_request("PATCH", body={"delete": {"services": [{"name": name, "version": "00100000"}]}})
            if response and response[0] // 100 == 2:
                self.soak.violations.append(f"a drop of service {name}, which routes name, was acknowledged")
            self.rejected += bool(response and response[0] // 100 == 4)

    def end_faults(self):
        for name in self.SERVICES:
            response, end = None, time.monotonic() + self.ACKNOWLEDGED_WITHIN_SECONDS
            while not (response and response[0] == 200):
                if time.monotonic() > end:
                    self.soak.violations.append(f"a change of service {name} was not acknowledged within {self.ACKNOWLEDGED_WITHIN_SECONDS} s: {response}")
                    break
                response = self.set_service(name)

    def check_use(self, runs):
        if not self.rejected:
            yield "no drop of a service was rejected"


class KeptConnections(Feature):
    """Callers that keep connections, leave them idle and send without looking whether they have ended, while planned stops, SIGHUP and changes of the idle limit overlap.

    The kernel resets a connection whose socket is closed while a request is unread, or before it arrives. Without a reset, the request was read.
    """

    CALLERS_PER_VM = 4
    # A planned stop closes only connections that are idle from its beginning on, for 2.6 s.
    SHORT_PAUSE_SECONDS, LONG_PAUSE_SECONDS = (0.0, 0.1), (0.5, 6.0)
    # Shorter limits would cut responses to slow readers on a busy machine.
    IDLE_LIMITS_SECONDS = (1.0, 2.5, 15.0)
    # The program holds a closed connection for 2 s. The rest allows for a pause of the VM.
    RESET_WITHIN_SECONDS = 8.0
    # The first that matches names how a connection ended before a whole response.
    ENDS = {http.client.RemoteDisconnected: "end", ConnectionError: "reset", socket.timeout: "stall", http.client.HTTPException: "cut"}

    def __init__(self, soak):
        super().__init__(soak)
        self.unread = set()
        self.crossed = self.crossed_in_stops = self.changes = 0

    def callers(self):
        return [lambda vm=vm, proxy=proxy, number=number: self.run_caller(vm, proxy if number == 0 else None, number)
            for vm, proxy in zip(self.soak.entries, self.soak.front_proxies) for number in range(self.CALLERS_PER_VM)]

    def run_caller(self, vm, proxy, number):
        generator = self.generator(f"{vm.name} {number}")
        while not self.soak.is_over.is_set():
            time.sleep(0.05)
            connected_at = time.monotonic()
            with contextlib.suppress(OSError), socket.create_connection(proxy.listener.getsockname() if proxy else (vm.address, self.soak.front_port), RECEIVE_TIMEOUT) as connection:
                while not self.soak.is_over.is_set() and self.send_request(connection, connected_at, vm, proxy, generator):
                    # Every second caller sends as soon as the end arrives, since a planned stop leaves little time between it and the end of the process.
                    self.wait_for(connection, select.POLLIN if number % 2 else 0, generator.uniform(*generator.choice([self.SHORT_PAUSE_SECONDS, self.LONG_PAUSE_SECONDS])))

    @staticmethod
    def wait_for(connection, events, seconds):
        """Waits for input, if asked for, or a reset. Returns False if there was none. Unlike recv(), poll() reports a reset behind an orderly end."""
        poll = select.poll()
        poll.register(connection, events)
        return bool(poll.poll(seconds * 1000))

    def send_request(self, connection, connected_at, vm, proxy, generator):
        """Returns True if the connection stays open after the response."""
        request_id, kind = f"{generator.getrandbits(64):016x}", generator.choice(["safe", "unsafe"])
        path = f"/{generator.choice(['keyed', 'plain'])}/{kind}/{generator.randrange(1000)}"
        head = f"GET {path} HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 2000\r\nShard-Key: {generator.randrange(KEYS)}\r\n\r\n"
        sent_at, status, end = time.monotonic(), 0, None
        response = http.client.HTTPResponse(connection, method="GET")
        try:
            connection.sendall(head.encode())
            with self.soak.reading_status(request_id):
                response.begin()
            status = self.soak.receive(request_id, path, response)
        except tuple(self.ENDS) as error:
            end = next(name for kind, name in self.ENDS.items() if isinstance(error, kind))
        with self.soak.lock:
            self.soak.results[request_id] = (kind, status)
        if end:
            self.record_end(connection, connected_at, sent_at, request_id, vm, proxy, end)
        return not end and not response.will_close

    def record_end(self, connection, connected_at, sent_at, request_id, vm, proxy, end):
        """Records a request without a whole response, unless more than planned stops, SIGHUP and changes disturbed its connection."""
        ended_at, terminated_at = time.monotonic(), vm.planned_stop_since(connected_at)
        is_direct_end = end == "end" and not proxy
        if is_direct_end:
            end = "reset" if self.wait_for(connection, 0, self.RESET_WITHIN_SECONDS) else "end without a reset"
        is_unfinished = end != "reset" and terminated_at is not None and ended_at - terminated_at >= DRAIN_SECONDS
        is_proxy_disturbed = any(target is proxy and not (ends and ends[0] < connected_at) for _, target, _, ends in list(self.soak.disturbances))
        # The signal may follow the recorded time of a kill late.
        if vm.killed_at >= connected_at - 1.0 or is_unfinished or is_proxy_disturbed:
            return
        self.unread.add(request_id)
        is_crossing = is_direct_end and end == "reset"
        self.crossed, self.crossed_in_stops = self.crossed + is_crossing, self.crossed_in_stops + (is_crossing and terminated_at is not None)
        if end not in ("reset", "end"):
            when = "no planned stop" if terminated_at is None else f"{ended_at - terminated_at:.3f} s after SIGTERM"
            self.soak.violations.append(f"request {request_id}: {end} of the kept connection to {vm.name}, {when}, {ended_at - sent_at:.3f} s after the request")

    def faults(self):
        return [self.stop_entries, self.change_limits]

    def stop_entries(self):
        generator = self.generator("stops")
        while self.soak.has_faults():
            vm = generator.choice(self.soak.entries)
            if self.soak.claim(vm):
                self.soak.note_fault(f"SIGHUP and planned stop of {vm.name}")
                self.soak.rotate_seeds(vm, 0)
                # To the process that stops only, since it would end the next one before its handler is in place.
                threading.Timer(generator.uniform(0.0, 2.5), vm.handle.send_signal, [signal.SIGHUP]).start()
                self.soak.terminate(vm, 0)
                vm.is_disturbed = False
            time.sleep(generator.uniform(0.0, 0.5))

    def change_limits(self):
        generator = self.generator("limits")
        for version in itertools.takewhile(lambda _: self.soak.has_faults(), itertools.count(1)):
            limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": generator.choice(self.IDLE_LIMITS_SECONDS), "version": f"{version:08x}"}
            response = self.soak.send_control_request("PATCH", body={"upsert": {"limits": limits}})
            self.changes += bool(response and response[0] == 200)
            self.soak.note_fault(f"idle limit of {limits['idle_timeout_s']} s: {response and response[0]}")
            time.sleep(generator.uniform(0.3, 2.0))

    def after_recovery(self):
        self.soak.note_fault(f"{self.crossed} requests had crossed the close of their connection ({self.crossed_in_stops} in planned stops), the idle limit had changed {self.changes} times")

    def check(self, runs):
        return (f"request {run.request_id} ran at {run.server}, but its kept connection ended without a response" for run in runs if run.request_id in self.unread)

    def check_use(self, runs):
        if not self.crossed or not self.changes:
            yield f"{self.crossed} requests crossed the close of their connection, and {self.changes} changes of the idle limit were acknowledged"


FEATURES = {"bodies": Bodies, "statuses": Statuses, "evacuations": Evacuations, "warm-ups": WarmUps, "regions": Regions}
# Not drawn, so that a seed goes on drawing the features that it had.
ALL_FEATURES = FEATURES | {"service-changes": ServiceChanges, "kept-connections": KeptConnections}


def draw(seed):
    """Returns the names of two features. Ten seeds in a row have all pairs."""
    pairs = list(itertools.combinations(FEATURES, 2))
    return pairs[seed % len(pairs)]
