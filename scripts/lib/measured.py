"""The measurements of scripts/measure. Each measure_* function starts its own processes and returns its results."""

import concurrent.futures
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.request

import records
from figures import percentile
from loopback import BUILD, STEP_TIMEOUT_SECONDS, Cluster, ClusterError, ZONES, run, status_of

SEED = 20261204
ZONE_LIST = list(ZONES)
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
CHECKS = ["lost", "doubled", "wrong not-run", "wrong owner", "wrong answers", "malformed", "not stopped"]
# A process that has not exited this long after SIGTERM counts as not stopped.
STOP_SECONDS = 10


def zones(count):
    return [ZONE_LIST[i % len(ZONE_LIST)] for i in range(count)]


class MeasuredCluster(Cluster):
    """A cluster in its own temporary folder, with load drivers."""

    def __init__(self, programs, members, entries, services, print_progress, upstream_options=()):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="teaselturn-measure-"))
        super().__init__(folder, programs, zones(members), zones(entries), services, lambda text: None, upstream_options)
        self.print_failure = print_progress

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.processes.kill_all()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_load(self, name, endpoints, service, rate, seconds, workers, *options):
        self.processes.start(name, self.programs["load-driver"], "--service", service, "--seed", SEED, "--rate", rate, "--skew", 0,
            "--duration-ms", int(seconds * 1000), "--workers", workers, "--record", self.folder / f"{name}.record",
            "--entries", ",".join(endpoints), *options)

    def wait_for_load(self, name):
        """Waits for a load driver and returns its requests. Its exit code is ignored: it fails only on wrong responses,
        which check() counts."""
        self.processes.running.pop(name).wait(STEP_TIMEOUT_SECONDS * 2)
        return records.read_requests(self.folder / f"{name}.record")

    def stop_load(self, name):
        """Stops a load driver that would outlast the trials. Requests in flight at that time are not in its record."""
        self.processes.running[name].terminate()
        return self.wait_for_load(name)

    def entry(self, index):
        return f"{self.topology.entries[index]['address']}:8080"

    def runs(self, names):
        return {name: records.read_runs(self.folder / f"{name}.record") for name in names}

    def wait_until_settled(self):
        """Waits until every VM reports a leader, all upstreams and no slot without an owner."""
        def is_settled(status):
            return status and status["leader"] and status["slots"]["unowned"] == 0 and status["upstreams"] >= len(self.upstreams)

        self.wait_for("settled", lambda: all(is_settled(status_of(vm)) for vm in self.topology.entries + self.topology.members))

    def restart(self, name, vm=None):
        """Restarts a process that has exited, with the same command."""
        if vm:
            self.processes.start(name, self.programs["teaselturnd"], "--settings", self.topology.settings_file(vm))
        else:
            self.processes.start(name, *self.upstream_commands[name])

    def kill(self, name):
        process = self.processes.running.pop(name)
        process.kill()
        process.wait()

    def check(self):
        """Stops all processes and compares their records. Copies records with a violation to the build folder."""
        overdue = self.processes.stop(self.upstreams, STOP_SECONDS) + self.processes.stop(list(self.processes.running), STOP_SECONDS)
        paths = sorted(self.folder.glob("*.record"))
        completed = subprocess.run([self.programs["load-driver"], "--check", *paths], capture_output=True, text=True, check=False)
        # The load driver prints a wrong not-run as "reported not run but ran".
        text = completed.stdout.replace("reported not run but ran", "wrong not-run").replace("malformed lines", "malformed")
        counts = {name: int(number) for number, name in re.findall(r"(\d+) ([a-z][a-z -]*[a-z])", text)}
        counts["not stopped"] = len(overdue)
        if overdue:
            self.print_failure(f"did not stop on SIGTERM within {STOP_SECONDS} s: {', '.join(overdue)}")
        if completed.returncode != 0:
            kept = BUILD / "measure-records" / self.folder.name
            shutil.copytree(self.folder, kept)
            self.print_failure(f"VIOLATION: {completed.stdout.strip()}; records kept in {kept}")
        return counts


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def memory_kib(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text()).group(1))


def owner_of(vm, service, key):
    with urllib.request.urlopen(f"http://{vm['address']}:8081/owners?service={service}&key={key}", timeout=5) as response:
        return json.load(response)


def measure_hop(programs, print_progress, quick):
    """Returns rows of (path, connections, rate, answered a second, p50, p99, p99.9 in ms, requests per core second or None)
    and the counts of check()."""
    rows = []
    options = ["--service-time-ms", 0, "--request-slots", 64, "--queue", 256, "--connection-limit", 200]
    with MeasuredCluster(programs, 1, 1, [("hop", 1, 1, 1, 0)], print_progress, options) as cluster:
        cluster.start()
        # An upstream that runs requests has received its grant.
        cluster.start_load("warm-up", [cluster.entry(0)], "hop", 200, 2, 8)
        cluster.wait_for_load("warm-up")
        pid = cluster.processes.running["entry-101"].pid
        seconds = 1 if quick else 2
        for connections in ((8,) if quick else (4, 64)):
            for rate in ((500, 2000) if quick else (500, 2000, 4000)):
                for path in ("direct", "router"):
                    name = f"{path}-{connections}-{rate}"
                    # Read the fence before each run: it changes if the upstream's lease expired under load.
                    owner = owner_of(cluster.topology.entries[0], "hop", "key-1")
                    direct = ["--direct", f"{owner['slot']}:{owner['fence']}"] if path == "direct" else []
                    before = processor_seconds(pid)
                    cluster.start_load(name, [owner["owner"]["address"] if direct else cluster.entry(0)], "hop", rate, seconds, connections, *direct)
                    requests = cluster.wait_for_load(name)
                    used = processor_seconds(pid) - before
                    latencies = records.latencies_ms(requests)
                    if not latencies:
                        codes = sorted({(request.outcome, request.code) for request in requests})
                        raise ClusterError(f"{name}: nothing was answered; {codes}")
                    span = (max(r.ended_at for r in requests) - min(r.sent_at for r in requests)) / 1e9
                    rows.append((path, connections, rate, len(latencies) / span, *(percentile(latencies, s) for s in (0.5, 0.99, 0.999)),
                        None if direct else len(latencies) / used, len(requests) - len(latencies)))
        counts = cluster.check()
    return rows, counts


def measure_takeover(programs, print_progress, quick):
    """Measures three services concurrently. In each round one upstream of each is killed, frozen or leaves, and is then
    restarted or resumed."""
    rounds, wait = (4, 2) if quick else (20, 2)
    kinds = {"killed": signal.SIGKILL, "frozen": signal.SIGSTOP, "left": signal.SIGTERM}
    samples = {kind: [] for kind in kinds}
    slots = {kind: [] for kind in kinds}
    with MeasuredCluster(programs, 3, 3, [(kind, 6, 24, 1, 0) for kind in kinds], print_progress) as cluster:
        cluster.start()
        names = {kind: [name for name in cluster.upstreams if name.startswith(kind)] for kind in kinds}
        for kind in kinds:
            cluster.start_load(f"load-{kind}", [cluster.entry(i) for i in range(3)], kind, 400, rounds * (wait + 2) + 15, 48, "--deadline-ms", 5000)
        time.sleep(1.5)
        for _ in range(rounds):
            faults = {}
            for kind, number in kinds.items():
                victim = records.largest_owner(cluster.runs(names[kind]), time.monotonic_ns())
                process = cluster.processes.running.pop(victim)
                faults[kind] = (victim, process, time.monotonic_ns())
                process.send_signal(number)
            time.sleep(wait)
            for kind, (victim, process, at) in faults.items():
                takeover_times = records.takeover_ms(cluster.runs(names[kind]), victim, at, time.monotonic_ns())
                samples[kind].append(max(takeover_times.values()) if takeover_times and None not in takeover_times.values() else None)
                slots[kind] += [value for value in takeover_times.values() if value is not None]
                if kind == "frozen":
                    process.send_signal(signal.SIGCONT)
                    cluster.processes.running[victim] = process
                else:
                    process.wait(STEP_TIMEOUT_SECONDS)
                    cluster.restart(victim)
            cluster.wait_until_settled()
            time.sleep(0.5)
        for kind in kinds:
            cluster.stop_load(f"load-{kind}")
        counts = cluster.check()
    return samples, slots, counts


def run_pair_trials(cluster, rounds, wait):
    """Kills the ledger leader together with an upstream, then an entry VM, repeatedly in one small cluster."""
    pairs, entries = [], []
    vm_of = {vm["node"]: vm for vm in cluster.topology.members}
    cluster.start_load("load", [cluster.entry(0)], "keys", 300, rounds * 2 * (wait + 4) + 5, 48, "--deadline-ms", 8000)
    time.sleep(1.5)
    for _ in range(rounds):
        leader = status_of(cluster.topology.members[0])["leader"]
        victim = records.largest_owner(cluster.runs(cluster.upstreams), time.monotonic_ns())
        at = time.monotonic_ns()
        cluster.kill(f"member-{leader}")
        cluster.kill(victim)
        time.sleep(wait)
        takeover_times = records.takeover_ms(cluster.runs(cluster.upstreams), victim, at, time.monotonic_ns())
        pairs.append(max(takeover_times.values()) if takeover_times and None not in takeover_times.values() else None)
        cluster.restart(f"member-{leader}", vm_of[leader])
        cluster.restart(victim)
        cluster.wait_until_settled()
        time.sleep(0.5)
    spans = []
    lost = cluster.topology.entries[1]
    for _ in range(rounds):
        spans.append(time.monotonic_ns())
        cluster.kill(f"entry-{lost['node']}")
        time.sleep(wait / 2)
        cluster.restart(f"entry-{lost['node']}", lost)
        cluster.wait_until_settled()
        time.sleep(0.5)
    requests = cluster.stop_load("load")
    for at in spans:
        during = [r for r in requests if at <= r.ended_at and r.sent_at <= at + wait / 2 * 1e9]
        entries.append((max(records.latencies_ms(during), default=None), sum(r.outcome != "answered" for r in during)))
    return pairs, entries, cluster.check()


def measure_pairs(programs, print_progress, quick):
    """Runs trials in five small clusters concurrently, one after another in each."""
    cluster_count, rounds, wait = (2, 1, 4) if quick else (5, 4, 4)
    with contextlib.ExitStack() as stack:
        clusters = [stack.enter_context(MeasuredCluster(programs, 3, 2, [("keys", 4, 16, 1, 0)], print_progress)) for _ in range(cluster_count)]

        def trial(cluster):
            cluster.start()
            return run_pair_trials(cluster, rounds, wait)

        with concurrent.futures.ThreadPoolExecutor(cluster_count) as pool:
            results = list(pool.map(trial, clusters))
    total = {name: sum(counts.get(name, 0) for _, _, counts in results) for name in CHECKS}
    return [v for pairs, _, _ in results for v in pairs], [v for _, entries, _ in results for v in entries], total


def measure_faults(programs, print_progress, quick):
    """Returns rows of (phase, offered a second, goodput a second, p99 in ms, not run, unknown). Four upstreams of 3 request
    slots and 20 ms serve 600 requests a second."""
    seconds = 4
    rows = []
    with MeasuredCluster(programs, 3, 3, [("main", 4, 60, 1, 0)], print_progress, ["--service-time-ms", 20]) as cluster:
        cluster.start()
        # Entry VMs ramp up new owners slowly; measure owners that have run requests for a while.
        cluster.start_load("warm-up", [cluster.entry(i) for i in range(3)], "main", 200, 4, 100)
        cluster.wait_for_load("warm-up")
        for phase, rate in (("none", 300), ("kill", 300), ("freeze", 300), ("overload", 1200)):
            drivers = [f"{phase}-{i}" for i in range(3)]
            for i, name in enumerate(drivers):
                cluster.start_load(name, [cluster.entry(i)], "main", rate // 3, seconds, 200, "--deadline-ms", 1000)
            time.sleep(seconds / 4)
            victim = records.largest_owner(cluster.runs(cluster.upstreams), time.monotonic_ns())
            if phase == "kill":
                cluster.kill(victim)
            elif phase == "freeze":
                cluster.processes.running[victim].send_signal(signal.SIGSTOP)
                time.sleep(seconds / 2)
                cluster.processes.running[victim].send_signal(signal.SIGCONT)
            requests = [request for name in drivers for request in cluster.wait_for_load(name)]
            latencies = records.latencies_ms(requests)
            outcomes = [request.outcome for request in requests]
            rows.append((phase, rate, len(latencies) / seconds, percentile(latencies, 0.99), outcomes.count("not-run"), outcomes.count("unknown")))
            if phase == "kill":
                cluster.restart(victim)
            cluster.wait_until_settled()
        counts = cluster.check()
    return rows, counts


def peer_counters(vm):
    with urllib.request.urlopen(f"http://{vm['address']}:8081/metrics", timeout=5) as response:
        text = response.read().decode()
    return {name: int(value) for name, value in re.findall(r"^teaselturn_(peer_[a-z_]+) (\d+)$", text, re.MULTILINE)}


def idle_figures(programs, print_progress, size, seconds):
    """Returns the mean figures of an idle process by role: MiB, per cent of a core, bytes and frames sent and received a second."""
    upstreams, partitions, entries = size
    with MeasuredCluster(programs, 3, entries, [("idle", upstreams, partitions, 1, 0)], print_progress) as cluster:
        cluster.start()
        time.sleep(1.5)
        leader = status_of(cluster.topology.members[0])["leader"]
        watched = [("entry VM", f"entry-{vm['node']}", vm) for vm in cluster.topology.entries]
        watched += [("ledger leader" if vm["node"] == leader else "ledger follower", f"member-{vm['node']}", vm) for vm in cluster.topology.members]

        def read():
            return {name: (time.monotonic(), processor_seconds(cluster.processes.running[name].pid), peer_counters(vm)) for _, name, vm in watched}

        before = read()
        time.sleep(seconds)
        after = read()
        by_role = {}
        for role, name, _ in watched:
            elapsed = after[name][0] - before[name][0]
            rates = [(after[name][2][key] - before[name][2][key]) / elapsed for key in ("peer_sent_bytes", "peer_received_bytes", "peer_sent_frames", "peer_received_frames")]
            processor = 100 * (after[name][1] - before[name][1]) / elapsed
            by_role.setdefault(role, []).append([memory_kib(cluster.processes.running[name].pid) / 1024, processor, *rates])
        cluster.processes.stop(list(cluster.processes.running))
    return {role: [sum(column) / len(column) for column in zip(*rows)] for role, rows in by_role.items()}


def measure_idle(programs, print_progress, quick):
    """Returns a mapping from axis to a list of (size, figures by role); the base size is (4 upstreams, 60 partitions, 3 entry VMs)."""
    seconds = 2 if quick else 3
    base = (4, 60, 3)
    axes = {"upstreams": [base, (16, 60, 3)], "partitions": [base, (4, 4000, 3)], "entry VMs": [base, (4, 60, 9)]}
    if not quick:
        axes = {"upstreams": [base, (10, 60, 3), (16, 60, 3)], "partitions": [base, (4, 1000, 3), (4, 4000, 3)],
            "entry VMs": [base, (4, 60, 6), (4, 60, 9)]}
    figures_by_size = {}
    result = {}
    for position, (axis, sizes) in enumerate(axes.items()):
        for size in sizes:
            if size not in figures_by_size:
                figures_by_size[size] = idle_figures(programs, print_progress, size, seconds)
            result.setdefault(axis, []).append((size[position], figures_by_size[size]))
    return result
