#!/usr/bin/env python3
"""Runs the real programs on loopback, injects random faults and checks the guarantees to callers and servers.

usage: soak.py [--seed N] [--seconds N] [--build FOLDER] [--entries N] [--keyed N] [--plain N] [--features LIST] [--keep] [--stops] [--regressions]
  --seed N        seed of the order and times of the faults (default: random); it is printed
  --seconds N     how long faults are injected (default 20); then all must recover
  --build FOLDER  build folder of teaselturnd (default build)
  --features LIST names in features.py, separated by commas, in place of the two that the seed draws
  --keep          keep the folder with logs and records after a success too
  --stops         no faults but planned stops of entry VMs, one at a time
  --regressions   run the seeds of failed-seeds.txt, a few at a time

The features of a run have servers, callers and faults of their own and change no fault that the seed plays. Faults overlap, also with planned stops of entry VMs every few seconds. Only one member at a time is disturbed, since the
system tolerates the loss of one. Exit status 1 means that a guarantee was violated; the folder with logs and records is then
kept.
"""

import argparse
import collections
import concurrent.futures
import contextlib
import http.client
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from features import ALL_FEATURES, BOUNDS, ZONES, draw
from pipelining import PipeliningCaller
from proxy import Proxy
from server import KEYS, body_of, signature

ROOT = pathlib.Path(__file__).resolve().parents[3]
SERVER = pathlib.Path(__file__).resolve().parent / "server.py"
FAILED_SEEDS = pathlib.Path(__file__).resolve().parent / "failed-seeds.txt"
MEMBERS = 3
PEER_PORT, CONTROL_PORT, FRONT_PORT, READINESS_PORT, SERVER_PORT = 7540, 8544, 8548, 8542, 8090
ROUTE_TIMEOUT, DEADLINE = 1.5, 2.0
# Time after the last fault within which MIN_SERVED_FRACTION of the requests must be served again.
RECOVERY_SECONDS = 15
MIN_SERVED_FRACTION = 0.95
START_SECONDS = 30
# Smaller than any log that a run writes, so that writes fail as on a full disk.
FULL_DISK_BYTES = 4096
CALLER_THREADS = 8
CONCURRENT_REGRESSIONS = 4
CALLER_PAUSE_SECONDS = 0.02


Run = collections.namedtuple("Run", "time verb request_id key fence name born path server")


class Violation(Exception):
    pass


class Process:
    """A process that faults can stop, pause, kill and restart."""

    def __init__(self, folder, name, command, environment=None):
        self.folder, self.name, self.command = folder, name, [str(part) for part in command]
        self.environment = dict(os.environ, **(environment or {}))
        self.handle = None
        self.is_disturbed = False
        self.is_over = False
        self.lock = threading.Lock()
        self.terminated_at = self.ended_at = self.killed_at = 0.0
        self.crashes = []
        # The last process whose end was recorded.
        self.noted = None

    def start(self, file_limit=None):
        def limit():
            if file_limit:
                signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
                resource.setrlimit(resource.RLIMIT_FSIZE, (file_limit, file_limit))

        with self.lock:
            if self.is_over:
                return
            self.note_crash()
            with open(self.folder / f"{self.name}.log", "ab") as log:
                self.handle = subprocess.Popen(self.command, env=self.environment, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE if file_limit else log,
                    stderr=subprocess.DEVNULL if file_limit else log, preexec_fn=limit)
        if file_limit:
            threading.Thread(target=lambda pipe: [None for _ in pipe], args=(self.handle.stdout,), daemon=True).start()

    def note_crash(self):
        """Records an end by a signal that no fault sends."""
        code = self.handle.poll() if self.handle and self.handle is not self.noted else None
        if code in (-signal.SIGABRT, -signal.SIGSEGV):
            self.crashes.append(signal.Signals(-code).name)
            self.noted = self.handle

    def take_crashes(self):
        """Returns the names of the signals since the last call."""
        with self.lock:
            self.note_crash()
            crashes, self.crashes = self.crashes, []
        return crashes

    def signal(self, number):
        if self.handle.poll() is None:
            self.handle.send_signal(number)

    def stop(self, number, timeout):
        """Signals the process and waits for its end. Returns False if it had to be killed."""
        if number == signal.SIGTERM:
            self.terminated_at = time.monotonic()
        else:
            self.killed_at = time.monotonic()
        self.signal(number)
        try:
            self.handle.wait(timeout)
            if number == signal.SIGTERM:
                self.ended_at = time.monotonic()
            return True
        except subprocess.TimeoutExpired:
            self.killed_at = time.monotonic()
            self.handle.kill()
            self.handle.wait()
            return False

    def end(self):
        """Kills the process for good: a fault that ends later does not start it again."""
        with self.lock:
            self.is_over = True
            if self.handle and self.handle.poll() is None:
                self.signal(signal.SIGCONT)
                self.handle.kill()
                self.handle.wait()

    def planned_stop_since(self, since):
        """Returns the time of the last SIGTERM if the process it ended was running at the given time or later, else None."""
        return self.terminated_at if self.ended_at < self.terminated_at or since < self.ended_at else None


class Soak:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="teaselturn-soak-"))
        self.network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 200}"
        self.is_over = threading.Event()
        self.lock = threading.Lock()
        self.results = {}
        self.outcomes = collections.Counter()
        self.acknowledged = {}
        self.faults = []
        # Entries are (action, target, begin, end); end is an empty list while the fault lasts.
        self.disturbances = []
        self.violations = []
        self.pipelining_callers = [PipeliningCaller(self, i, FRONT_PORT) for i in range(2 * options.entries)]
        self.members = [self.make_vm("member", i, 1 + i) for i in range(MEMBERS)]
        self.entries = [self.make_vm("entry", i, 50 + i) for i in range(options.entries)]
        self.control_proxies = {f"{vm.address}:{CONTROL_PORT}": Proxy((vm.address, CONTROL_PORT)) for vm in self.members}
        self.front_proxies = [Proxy((vm.address, FRONT_PORT)) for vm in self.entries]
        self.server_proxies = []
        # The last server of each service is in the zone that may be evacuated.
        self.servers = [self.make_server("keyed", i, 100 + i, True, zone="zone-2" if i == options.keyed - 1 else "zone-1") for i in range(options.keyed)]
        self.servers += [self.make_server("plain", i, 150 + i, False, zone="zone-2" if i == options.plain - 1 else "zone-1") for i in range(options.plain)]
        self.front_port = FRONT_PORT
        self.features = [ALL_FEATURES[name](self) for name in options.features]

    def make_vm(self, role, index, number):
        name = f"{role}-{index + 1}"
        process = Process(self.folder, name, [self.options.build / "src/node/teaselturnd", "--platform"], {"TEASELTURN_BOOT": str(self.folder / f"{name}.json")})
        process.address, process.is_member = f"{self.network}.{number}", role == "member"
        return process

    def make_server(self, service, index, number, is_sharded, zone="zone-1", has_proxy=True):
        """Makes a server. One without proxies is disturbed only by the feature that it belongs to."""
        name = f"{service}-{index + 1}"
        listen = f"{self.network}.{number}:{SERVER_PORT}"
        proxy = Proxy((f"{self.network}.{number}", SERVER_PORT)) if has_proxy else None
        if proxy:
            self.server_proxies.append(proxy)
        controls = [f"{control}={control_proxy.address}" if has_proxy else control for control, control_proxy in self.control_proxies.items()]
        process = Process(self.folder, name, [sys.executable, SERVER, name, service, listen, proxy.address if proxy else listen, self.folder / "runs.record", int(is_sharded), zone, *controls])
        process.zone, process.proxy, process.is_sharded = zone, proxy, is_sharded
        return process

    def write_settings(self, vm, is_bootstrap):
        listen = {"control": f"{vm.address}:{CONTROL_PORT}"} if vm.is_member else {"front": f"{vm.address}:{FRONT_PORT}", "readiness": f"{vm.address}:{READINESS_PORT}"}
        document = {"node_name": vm.name, "serves": ["control_plane"] if vm.is_member else ["edge"], "ip": vm.address, "zone": "zone-1", "zones": ZONES,
            "listen": listen, "internal_port_range": [PEER_PORT, PEER_PORT + 15], "seeds": [f"{member.address}:{CONTROL_PORT}" for member in self.members], "bootstrap": is_bootstrap,
            "limits": {"cpu_cores": 1, "bandwidth_mbps": None}, "data_dir": str(self.data_folder(vm)) if vm.is_member else None, "fault_tolerance": {"machines": 1},
            "bounds": ["grace_period_s=6", "drain_s=2.5", "hold_max_s=10", "retry_budget_ratio=0.2", "budget_slack=50", "retry_window_s=10", *BOUNDS]}
        (self.folder / f"{vm.name}.json").write_text(json.dumps(document))

    def data_folder(self, vm):
        folder = self.folder / f"data-{vm.name}"
        folder.mkdir(exist_ok=True)
        return folder

    # Operators and callers.

    def send_control_request(self, method, path="/config", body=None):
        """Sends a control request to a random member and follows redirects.

        Returns the status and body, or None if four attempts fail.
        """
        return self.send_control_request_to(self.random_member(), method, path, body)

    def send_control_request_to(self, target, method, path, body=None):
        for _ in range(4):
            connection = http.client.HTTPConnection(*target.split(":"), timeout=2)
            try:
                connection.request(method, path, body and json.dumps(body), {"Content-Type": "application/json"})
                response = connection.getresponse()
                text = response.read()
            except (OSError, http.client.HTTPException):
                target = self.random_member()
                continue
            finally:
                connection.close()
            if response.status == 307:
                target = response.getheader("Location").split("/")[2]
                continue
            return response.status, text
        return None

    @staticmethod
    def random_member_of(members):
        return f"{random.choice(members).address}:{CONTROL_PORT}"

    def random_member(self):
        return self.random_member_of(self.members)

    def route(self, service, kind, path, version):
        return {"host": "soak.example", "path_prefix": path, "kind": kind, "timeout_s": ROUTE_TIMEOUT, "target_latency_s": 0.5, "priority": 1, "service": service, "attempts": 2, "version": f"{version:08x}"}

    def service(self, version):
        return {"health_check_path": "/healthz", "max_connections": 200, "protocol": "h1", "tls": False, "version": f"{version:08x}"}

    def first_configuration(self):
        service = self.service(1)
        routes = {f"{service}-{kind}": self.route(service, kind, f"/{service}/{kind}/", 1) for service in ("keyed", "plain") for kind in ("safe", "unsafe")}
        services = {"keyed": service | {"sharded": True, "warm_s": 1.0, "grants": "heartbeat"}, "plain": service}
        for feature in self.features:
            services |= {name: service | members for name, members in feature.services().items()}
            routes |= feature.routes()
        return {"upsert": {"services": services, "routes": routes}}

    def change_configuration(self):
        version = 1
        while not self.is_over.wait(0.5):
            version += 1
            name = f"changing-{version % 5}"
            route = self.route("plain", "safe", f"/changing/{version % 5}/{version}/", version)
            response = self.send_control_request("PATCH", body={"upsert": {"routes": {name: route}}})
            if response and response[0] == 200:
                self.acknowledged[name] = version

    def send_requests(self, number):
        generator = random.Random(self.options.seed * 1000 + number)
        while not self.is_over.is_set():
            self.send_request(generator)
            time.sleep(CALLER_PAUSE_SECONDS)

    def send_request(self, generator):
        request_id = f"{generator.getrandbits(64):016x}"
        service, kind = generator.choice(["keyed", "plain"]), generator.choice(["safe", "unsafe"])
        path = f"/{service}/{kind}/{generator.randrange(1000)}"
        # Half of the requests are for few keys, so that load balancing moves keys.
        key = generator.randrange(200) if generator.random() < 0.5 else generator.randrange(KEYS)
        status = self.exchange(request_id, kind, path, key, generator.choice(self.front_proxies))
        with self.lock:
            self.outcomes[status] += 1

    def exchange(self, request_id, kind, path, key, proxy):
        """Sends a request, checks its response and records the result. Returns the status, or 0 without a whole response."""
        headers = {"Host": "soak.example", "Request-Id": request_id, "Deadline-Ms": str(int(DEADLINE * 1000)), "Shard-Key": str(key)}
        connection = http.client.HTTPConnection(*proxy.address.split(":"), timeout=DEADLINE)
        status = 0
        try:
            connection.request("GET", path, None, headers)
            with self.reading_status(request_id):
                response = connection.getresponse()
            status = self.receive(request_id, path, response)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        with self.lock:
            self.results[request_id] = (kind, status)
        return status

    def receive(self, request_id, path, response):
        """Reads the body of a response and checks the response. Returns the status."""
        self.check_status(request_id, response.status)
        body = response.read()
        if response.status == 200 and (body != body_of(request_id, "GET", path) or response.getheader("Upstream-Signature") != signature(request_id)):
            self.violations.append(f"request {request_id} got the response of another request: {body[:80]!r}")
        return response.status

    @contextlib.contextmanager
    def reading_status(self, request_id):
        """Records a status that http.client does not accept, unless the line is not whole."""
        try:
            yield
        except http.client.BadStatusLine as error:
            if error.line.endswith("\n"):
                self.violations.append(f"request {request_id} got the status line {error.line!r}")
            raise

    def check_status(self, request_id, status):
        if not 200 <= status <= 599:
            self.violations.append(f"request {request_id} got status {status}")

    # Faults.

    def start_fault(self):
        """Chooses a random fault and runs it in a thread of its own. Every fault ends by itself."""
        vm = self.random.choice(self.members + self.entries)
        server = self.random.choice(self.servers)
        proxy = self.random.choice(self.front_proxies + self.server_proxies + list(self.control_proxies.values()))
        seconds = self.random.uniform(0.2, 4)
        kinds = [(self.kill, vm, seconds), (self.pause, vm, seconds), (self.terminate, vm, seconds), (self.kill, server, seconds), (self.pause, server, seconds), (self.terminate, server, seconds),
            (self.disturb_proxy, proxy, seconds), (self.disturb_proxy, proxy, seconds), (self.rotate_seeds, vm, seconds)]
        if vm.is_member:
            kinds += [(self.lose_disk, vm, seconds), (self.fill_disk, vm, seconds)]
        action, target, length = self.random.choice(kinds)
        mode = self.random.choice(["delay", "silence", "one-way", "reset"])
        is_member = getattr(target, "is_member", False)
        if isinstance(target, Process):
            if (is_member and any(member.is_disturbed for member in self.members)) or not self.claim(target):
                return
        self.note_fault(f"{action.__name__} {getattr(target, 'name', getattr(target, 'target', ''))} {length:.2f} {mode if action == self.disturb_proxy else ''}")
        thread = threading.Thread(target=self.run_fault, args=(action, target, length, mode), daemon=True)
        thread.start()
        self.fault_threads.append(thread)

    def run_fault(self, action, target, seconds, mode):
        end = []
        self.disturbances.append((action, target, time.monotonic(), end))
        if action == self.disturb_proxy:
            action(target, seconds, mode)
            end.append(time.monotonic())
        else:
            action(target, seconds)
            end.append(time.monotonic())
            if getattr(target, "is_member", False):
                # The member must catch up before another one may be disturbed.
                time.sleep(4)
            target.is_disturbed = False

    def kill(self, process, seconds):
        process.stop(signal.SIGKILL, 5)
        time.sleep(seconds)
        process.start()

    def pause(self, process, seconds):
        process.signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.signal(signal.SIGCONT)

    def terminate(self, process, _):
        if not process.stop(signal.SIGTERM, 10):
            self.violations.append(f"{process.name} did not end within 10 s of SIGTERM")
        process.start()

    def lose_disk(self, vm, seconds):
        vm.stop(signal.SIGKILL, 5)
        shutil.rmtree(self.data_folder(vm))
        self.write_settings(vm, False)
        time.sleep(seconds)
        vm.start()

    def fill_disk(self, vm, seconds):
        vm.stop(signal.SIGKILL, 5)
        vm.start(FULL_DISK_BYTES)
        time.sleep(seconds)
        vm.stop(signal.SIGKILL, 5)
        vm.start()

    def rotate_seeds(self, vm, _):
        path = self.folder / f"{vm.name}.json"
        document = json.loads(path.read_text())
        document["seeds"] = document["seeds"][1:] + document["seeds"][:1]
        path.write_text(json.dumps(document))
        vm.signal(signal.SIGHUP)

    def disturb_proxy(self, proxy, seconds, mode):
        proxy.set_mode(mode, 0.3)
        time.sleep(seconds)
        proxy.set_mode("pass")

    def has_faults(self):
        return time.monotonic() - self.started_at < self.options.seconds

    def note_fault(self, text):
        self.faults.append(f"{time.monotonic() - self.started_at:.2f} {text}")

    def claim(self, process):
        """Returns True and marks the process as disturbed, unless another fault disturbs it."""
        with self.lock:
            is_free = not process.is_disturbed
            process.is_disturbed = True
        return is_free

    def stop_entries(self):
        """Stops an entry VM that no fault disturbs every few seconds."""
        generator = random.Random(self.options.seed + 1)
        while self.has_faults():
            time.sleep(generator.uniform(0.5, 1.5))
            vm = generator.choice(self.entries)
            if self.claim(vm):
                self.note_fault(f"planned stop of {vm.name}")
                self.terminate(vm, 0)
                self.note_fault(f"{vm.name} ended {vm.ended_at - vm.terminated_at:.2f} s after SIGTERM")
                vm.is_disturbed = False

    # Checks.

    def read_runs(self):
        record = self.folder / "runs.record"
        for line in record.read_text().splitlines() if record.exists() else []:
            fields = line.split()
            if len(fields) == 8:
                yield Run(float(fields[0]), *fields[1:], f"{fields[5]}/{fields[6]}")

    def check(self):
        # Copied before the record is read: every run of these requests is then in the record.
        with self.lock:
            results = dict(self.results)
        runs = sorted(self.read_runs())
        counts = collections.Counter(run.request_id for run in runs)
        for request_id, count in counts.items():
            kind, status = results.get(request_id, (None, None))
            if kind == "unsafe" and count > 1:
                self.violations.append(f"unsafe request {request_id} ran {count} times")
            if kind == "unsafe" and status in (408, 421, 429, 503):
                self.violations.append(f"unsafe request {request_id} ran but got status {status}")
        for request_id, (_, status) in results.items():
            if status == 200 and request_id not in counts:
                self.violations.append(f"request {request_id} got status 200 but never ran")
        latest = {}
        for run_time, _, request_id, key, fence, _, _, _, server in runs:
            if key == "-":
                continue
            previous_fence, previous_server = latest.get(key, (0, server))
            if int(fence) < previous_fence or (int(fence) == previous_fence and server != previous_server):
                self.violations.append(f"key {key} ran at {server} under fence {fence} at {run_time} after {previous_server} under {previous_fence} (request {request_id})")
            latest[key] = (int(fence), server)
        self.violations += [violation for feature in self.features for violation in feature.check(runs)]
        self.violations += [f"{vm.name} ended by itself with {name}" for vm in self.members + self.entries for name in vm.take_crashes()]
        if self.violations:
            (self.folder / "violations.txt").write_text("\n".join(self.violations) + "\n")
            raise Violation("\n".join(self.violations[:10]))
        return runs

    def describe_pipelining(self):
        whole, in_stops, unfinished = (sum(getattr(caller, name) for caller in self.pipelining_callers) for name in ("whole", "whole_in_stops", "unfinished"))
        return f"{whole} long responses whole ({in_stops} in planned stops), {unfinished} unfinished when a grace period ended"

    def measure_served_fraction(self, seconds):
        with self.lock:
            before = self.outcomes.copy()
        time.sleep(seconds)
        with self.lock:
            after = self.outcomes - before
        return after[200] / max(1, sum(after.values()))

    def wait_until_served(self, what, timeout=RECOVERY_SECONDS):
        end = time.monotonic() + timeout
        fraction = 0
        while time.monotonic() < end:
            fraction = self.measure_served_fraction(1)
            if fraction >= MIN_SERVED_FRACTION:
                return
        raise Violation(f"{what}: only {fraction:.2f} of the requests are served {timeout} s later")

    @staticmethod
    def wait_until(condition, what, timeout=RECOVERY_SECONDS):
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise Violation(f"{what} within {timeout} s")
            time.sleep(0.1)

    def check_configuration(self):
        response = self.send_control_request("GET")
        if not response or response[0] != 200:
            raise Violation(f"the configuration cannot be read: {response}")
        routes = json.loads(response[1])["routes"]
        for name, version in self.acknowledged.items():
            if name not in routes or int(routes[name]["version"], 16) < version:
                raise Violation(f"acknowledged version {version} of {name} is lost: {routes.get(name)}")

    def wait_until_configured(self, member):
        """Waits until the member is running and there is a leader."""
        def has_leader():
            response = self.send_control_request_to(f"{member.address}:{CONTROL_PORT}", "GET", "/config")
            return response and response[0] == 200

        self.wait_until(has_leader, f"no configuration can be read after the restart of {member.name}")

    def start(self):
        for vm in self.members + self.entries:
            self.write_settings(vm, True)
            vm.start()
        for server in self.all_servers():
            server.start()
        end = time.monotonic() + START_SECONDS
        while True:
            response = self.send_control_request("PATCH", body=self.first_configuration())
            if response and response[0] == 200:
                break
            if time.monotonic() > end:
                raise Violation(f"the first configuration was not accepted: {response}")
            time.sleep(0.2)
        for vm in self.members + self.entries:
            self.write_settings(vm, False)
        for number in range(CALLER_THREADS):
            threading.Thread(target=self.send_requests, args=(number,), daemon=True).start()
        for caller in self.pipelining_callers:
            threading.Thread(target=caller.run, daemon=True).start()
        threading.Thread(target=self.change_configuration, daemon=True).start()
        self.wait_until_served("start", START_SECONDS)

    def run(self):
        self.start()
        self.started_at = time.monotonic()
        self.fault_threads = [threading.Thread(target=self.stop_entries, daemon=True)]
        self.fault_threads += [threading.Thread(target=function, daemon=True) for feature in self.features for function in feature.faults()]
        callers = [threading.Thread(target=function, daemon=True) for feature in self.features for function in feature.callers()]
        for thread in self.fault_threads + callers:
            thread.start()
        checked_at = next_at = self.started_at
        while self.has_faults():
            if not self.options.stops:
                self.start_fault()
            # The time of a fault does not depend on how long earlier steps took.
            next_at += self.random.expovariate(2.0)
            time.sleep(max(0.0, next_at - time.monotonic()))
            # Without other faults, the run goes on after a violation, so that it shows all of them.
            if not self.options.stops and time.monotonic() - checked_at > 3:
                self.check()
                checked_at = time.monotonic()
        for thread in self.fault_threads:
            thread.join()
        for feature in self.features:
            feature.end_faults()
        self.wait_until_served("recovery")
        for feature in self.features:
            feature.after_recovery()
        self.check_configuration()
        self.is_over.set()
        time.sleep(DEADLINE + 0.5)
        # Without long responses, the check for cut ones would pass for nothing.
        self.violations += [f"caller {caller.number} got no long response" for caller in self.pipelining_callers if not caller.whole]
        runs = self.check()
        self.violations += [violation for feature in self.features for violation in feature.check_use(runs)]
        return self.check()

    def all_servers(self):
        return self.servers + [server for feature in self.features for server in feature.servers]

    def kill_all(self):
        self.is_over.set()
        for process in self.members + self.entries + self.all_servers():
            process.end()


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1_000_000))
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--keyed", type=int, default=4)
    parser.add_argument("--plain", type=int, default=2)
    parser.add_argument("--features", type=lambda text: [name for name in text.split(",") if name])
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--stops", action="store_true")
    parser.add_argument("--regressions", action="store_true")
    options = parser.parse_args()
    options.build = options.build.resolve()
    # Without other faults, a run has no features either.
    options.features = options.features if options.features is not None else () if options.stops else draw(options.seed)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(1))
    if not options.regressions:
        return run_soak(options)
    lines = [line.split() for line in FAILED_SEEDS.read_text().splitlines() if not line.startswith("#")]
    command = [sys.executable, __file__, "--build", str(options.build), "--entries", str(options.entries), "--keyed", str(options.keyed), "--plain", str(options.plain)]
    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_REGRESSIONS) as pool:
        codes = pool.map(lambda line: subprocess.run([*command, "--seed", line[0], "--seconds", line[1]], check=False).returncode, lines)
        return max(codes)


def run_soak(options):
    soak = Soak(options)
    features = ", ".join(options.features) or "no features"
    try:
        runs = soak.run()
        print(f"soak: seed {options.seed} ({features}): {len(soak.results)} requests, {soak.outcomes[200]} served, {len(runs)} runs, {len(soak.faults)} faults, {len(soak.acknowledged)} changed routes, {soak.describe_pipelining()}, no guarantee violated", flush=True)
        if options.keep:
            print("faults:\n" + "\n".join(soak.faults) + f"\nkept {soak.folder}", flush=True)
        is_clean = True
    except Violation as violation:
        print(f"soak: seed {options.seed} ({features}): VIOLATION: {violation}\n{soak.describe_pipelining()}\nfaults:\n" + "\n".join(soak.faults) + f"\nkept {soak.folder}", flush=True)
        is_clean = False
    finally:
        soak.kill_all()
        if not options.keep and sys.exc_info()[0] is None and is_clean:
            shutil.rmtree(soak.folder, ignore_errors=True)
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
