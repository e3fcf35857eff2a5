"""The measurements of scripts/measure. Each function starts its own processes and returns figures only."""

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
from loopback import BUILD, CEILING_SECONDS, Cluster, ClusterError, ZONES, run, status_of

SEED = 20261204
ZONE_LIST = list(ZONES)
TICKS = os.sysconf("SC_CLK_TCK")
CHECKS = ["lost", "doubled", "wrong not-run", "wrong owner", "wrong answers", "malformed", "not stopped"]
# A process that has not ended this long after SIGTERM counts as not stopped.
STOP_SECONDS = 10


def zones(count):
    return [ZONE_LIST[i % len(ZONE_LIST)] for i in range(count)]


class Site(Cluster):
    """A cluster in a temporary folder of its own."""

    def __init__(self, programs, members, entries, services, say, upstream_options=()):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="teaselturn-measure-"))
        super().__init__(folder, programs, zones(members), zones(entries), services, lambda text: None, upstream_options)
        self.report = say

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.processes.kill_all()
        shutil.rmtree(self.folder, ignore_errors=True)

    def drive(self, name, endpoints, service, rate, seconds, workers, *options):
        self.processes.start(name, self.programs["load-driver"], "--service", service, "--seed", SEED, "--rate", rate, "--skew", 0,
            "--duration-ms", int(seconds * 1000), "--workers", workers, "--record", self.folder / f"{name}.record",
            "--entries", ",".join(endpoints), *options)

    def finish(self, name):
        """Waits for a load driver; wrong answers, its only cause of a failure while it runs, show in the check."""
        self.processes.running.pop(name).wait(CEILING_SECONDS * 2)
        return records.requests_of(self.folder / f"{name}.record")

    def end(self, name):
        """Ends a load driver whose plan is longer than the trials took. Requests then in flight are not in its record."""
        self.processes.running[name].terminate()
        return self.finish(name)

    def entry(self, index):
        return f"{self.place.entries[index]['address']}:8080"

    def runs(self, names):
        return {name: records.runs_of(self.folder / f"{name}.record") for name in names}

    def settle(self):
        """Waits until every VM that answers agrees that all upstreams are attached and every slot has an owner."""
        def is_settled(status):
            return status and status["leader"] and status["slots"]["unowned"] == 0 and status["upstreams"] >= len(self.upstreams)

        self.wait_for("settled", lambda: all(is_settled(status_of(vm)) for vm in self.place.entries + self.place.members))

    def restart(self, name, vm=None):
        """Starts a process that ended again, with the same command."""
        if vm:
            self.processes.start(name, self.programs["teaselturnd"], "--settings", self.place.settings_file(vm))
        else:
            self.processes.start(name, *self.upstream_commands[name])

    def kill(self, name):
        process = self.processes.running.pop(name)
        process.kill()
        process.wait()

    def check(self):
        """Stops everything and compares the records. Records with a violation are kept in the build folder."""
        late = self.processes.stop(self.upstreams, STOP_SECONDS) + self.processes.stop(list(self.processes.running), STOP_SECONDS)
        paths = sorted(self.folder.glob("*.record"))
        done = subprocess.run([self.programs["load-driver"], "--check", *paths], capture_output=True, text=True, check=False)
        # "reported not run but ran" is the driver's name of a wrong not-run.
        text = done.stdout.replace("reported not run but ran", "wrong not-run").replace("malformed lines", "malformed")
        counts = {name: int(number) for number, name in re.findall(r"(\d+) ([a-z][a-z -]*[a-z])", text)}
        counts["not stopped"] = len(late)
        if late:
            self.report(f"did not stop on SIGTERM within {STOP_SECONDS} s: {', '.join(late)}")
        if done.returncode != 0:
            kept = BUILD / "measure-records" / self.folder.name
            shutil.copytree(self.folder, kept)
            self.report(f"VIOLATION: {done.stdout.strip()}; records kept in {kept}")
        return counts


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_kib(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text()).group(1))


def owner_of(vm, service, key):
    with urllib.request.urlopen(f"http://{vm['address']}:8081/owners?service={service}&key={key}", timeout=5) as answer:
        return json.load(answer)


def measure_hop(programs, say, quick):
    """Rows of (path, connections, rate, answered a second, p50, p99, p99.9 in ms, requests per core second or None)."""
    rows = []
    options = ["--service-time-ms", 0, "--request-slots", 64, "--queue", 256, "--connection-limit", 200]
    with Site(programs, 1, 1, [("hop", 1, 1, 1, 0)], say, options) as site:
        site.start()
        # The grant has reached the upstream once it runs requests.
        site.drive("warm-up", [site.entry(0)], "hop", 200, 2, 8)
        site.finish("warm-up")
        pid = site.processes.running["entry-101"].pid
        seconds = 1 if quick else 2
        for connections in ((8,) if quick else (4, 64)):
            for rate in ((500, 2000) if quick else (500, 2000, 4000)):
                for path in ("direct", "router"):
                    name = f"{path}-{connections}-{rate}"
                    # Asked again each time: the fence changes when the upstream's lease has ended under load.
                    owner = owner_of(site.place.entries[0], "hop", "key-1")
                    direct = ["--direct", f"{owner['slot']}:{owner['fence']}"] if path == "direct" else []
                    before = processor_seconds(pid)
                    site.drive(name, [owner["owner"]["address"] if direct else site.entry(0)], "hop", rate, seconds, connections, *direct)
                    requests = site.finish(name)
                    used = processor_seconds(pid) - before
                    latencies = records.latencies_ms(requests)
                    if not latencies:
                        codes = sorted({(request.outcome, request.code) for request in requests})
                        raise ClusterError(f"{name}: nothing was answered; {codes}")
                    span = (max(r.ended_at for r in requests) - min(r.sent_at for r in requests)) / 1e9
                    rows.append((path, connections, rate, len(latencies) / span, *(percentile(latencies, s) for s in (0.5, 0.99, 0.999)),
                        None if direct else len(latencies) / used, len(requests) - len(latencies)))
        counts = site.check()
    return rows, counts


def measure_takeover(programs, say, quick):
    """Three services at a time: one upstream of each is killed, frozen or leaves, and then comes back."""
    rounds, wait = (4, 2) if quick else (20, 2)
    kinds = {"killed": signal.SIGKILL, "frozen": signal.SIGSTOP, "left": signal.SIGTERM}
    samples = {kind: [] for kind in kinds}
    slots = {kind: [] for kind in kinds}
    with Site(programs, 3, 3, [(kind, 6, 24, 1, 0) for kind in kinds], say) as site:
        site.start()
        names = {kind: [name for name in site.upstreams if name.startswith(kind)] for kind in kinds}
        for kind in kinds:
            site.drive(f"load-{kind}", [site.entry(i) for i in range(3)], kind, 400, rounds * (wait + 2) + 15, 48, "--deadline-ms", 5000)
        time.sleep(1.5)
        for _ in range(rounds):
            faults = {}
            for kind, number in kinds.items():
                victim = records.busiest(site.runs(names[kind]), time.monotonic_ns())
                process = site.processes.running.pop(victim)
                faults[kind] = (victim, process, time.monotonic_ns())
                process.send_signal(number)
            time.sleep(wait)
            for kind, (victim, process, at) in faults.items():
                found = records.takeover_ms(site.runs(names[kind]), victim, at, time.monotonic_ns())
                samples[kind].append(max(found.values()) if found and None not in found.values() else None)
                slots[kind] += [value for value in found.values() if value is not None]
                if kind == "frozen":
                    process.send_signal(signal.SIGCONT)
                    site.processes.running[victim] = process
                else:
                    process.wait(CEILING_SECONDS)
                    site.restart(victim)
            site.settle()
            time.sleep(0.5)
        for kind in kinds:
            site.end(f"load-{kind}")
        counts = site.check()
    return samples, slots, counts


def one_pair_cluster(site, rounds, wait):
    """Trials of SIGKILL of the ledger leader with an upstream, then of an entry VM, in one small cluster."""
    pairs, entries = [], []
    vm_of = {vm["node"]: vm for vm in site.place.members}
    site.drive("load", [site.entry(0)], "keys", 300, rounds * 2 * (wait + 4) + 5, 48, "--deadline-ms", 8000)
    time.sleep(1.5)
    for _ in range(rounds):
        leader = status_of(site.place.members[0])["leader"]
        victim = records.busiest(site.runs(site.upstreams), time.monotonic_ns())
        at = time.monotonic_ns()
        site.kill(f"member-{leader}")
        site.kill(victim)
        time.sleep(wait)
        found = records.takeover_ms(site.runs(site.upstreams), victim, at, time.monotonic_ns())
        pairs.append(max(found.values()) if found and None not in found.values() else None)
        site.restart(f"member-{leader}", vm_of[leader])
        site.restart(victim)
        site.settle()
        time.sleep(0.5)
    spans = []
    lost = site.place.entries[1]
    for _ in range(rounds):
        spans.append(time.monotonic_ns())
        site.kill(f"entry-{lost['node']}")
        time.sleep(wait / 2)
        site.restart(f"entry-{lost['node']}", lost)
        site.settle()
        time.sleep(0.5)
    requests = site.end("load")
    for at in spans:
        during = [r for r in requests if at <= r.ended_at and r.sent_at <= at + wait / 2 * 1e9]
        entries.append((max(records.latencies_ms(during), default=None), sum(r.outcome != "answered" for r in during)))
    return pairs, entries, site.check()


def measure_pairs(programs, say, quick):
    """Five small clusters at a time, each with one trial after another."""
    clusters, rounds, wait = (2, 1, 4) if quick else (5, 4, 4)
    with contextlib.ExitStack() as stack:
        sites = [stack.enter_context(Site(programs, 3, 2, [("keys", 4, 16, 1, 0)], say)) for _ in range(clusters)]

        def trial(site):
            site.start()
            return one_pair_cluster(site, rounds, wait)

        with concurrent.futures.ThreadPoolExecutor(clusters) as pool:
            results = list(pool.map(trial, sites))
    total = {name: sum(counts.get(name, 0) for _, _, counts in results) for name in CHECKS}
    return [v for pairs, _, _ in results for v in pairs], [v for _, entries, _ in results for v in entries], total


def measure_faults(programs, say, quick):
    """Rows of (phase, offered a second, goodput a second, p99 in ms, not run, unknown). Four upstreams of 3 request
    slots and 20 ms serve 600 requests a second."""
    seconds = 4
    rows = []
    with Site(programs, 3, 3, [("main", 4, 60, 1, 0)], say, ["--service-time-ms", 20]) as site:
        site.start()
        # New owners start slowly; the figures are of owners that have run requests for a while.
        site.drive("warm-up", [site.entry(i) for i in range(3)], "main", 200, 4, 100)
        site.finish("warm-up")
        for phase, rate in (("none", 300), ("kill", 300), ("freeze", 300), ("overload", 1200)):
            drivers = [f"{phase}-{i}" for i in range(3)]
            for i, name in enumerate(drivers):
                site.drive(name, [site.entry(i)], "main", rate // 3, seconds, 200, "--deadline-ms", 1000)
            time.sleep(seconds / 4)
            victim = records.busiest(site.runs(site.upstreams), time.monotonic_ns())
            if phase == "kill":
                site.kill(victim)
            elif phase == "freeze":
                site.processes.running[victim].send_signal(signal.SIGSTOP)
                time.sleep(seconds / 2)
                site.processes.running[victim].send_signal(signal.SIGCONT)
            requests = [request for name in drivers for request in site.finish(name)]
            latencies = records.latencies_ms(requests)
            outcomes = [request.outcome for request in requests]
            rows.append((phase, rate, len(latencies) / seconds, percentile(latencies, 0.99), outcomes.count("not-run"), outcomes.count("unknown")))
            if phase == "kill":
                site.restart(victim)
            site.settle()
        counts = site.check()
    return rows, counts


def peer_counters(vm):
    with urllib.request.urlopen(f"http://{vm['address']}:8081/metrics", timeout=5) as answer:
        text = answer.read().decode()
    return {name: int(value) for name, value in re.findall(r"^teaselturn_(peer_[a-z_]+) (\d+)$", text, re.MULTILINE)}


def idle_figures(programs, say, size, seconds):
    """Mean figures of an idle process by role: MiB, per cent of a core, bytes and frames sent and received a second."""
    upstreams, partitions, entries = size
    with Site(programs, 3, entries, [("idle", upstreams, partitions, 1, 0)], say) as site:
        site.start()
        time.sleep(1.5)
        leader = status_of(site.place.members[0])["leader"]
        watched = [("entry VM", f"entry-{vm['node']}", vm) for vm in site.place.entries]
        watched += [("ledger leader" if vm["node"] == leader else "ledger follower", f"member-{vm['node']}", vm) for vm in site.place.members]

        def read():
            return {name: (time.monotonic(), processor_seconds(site.processes.running[name].pid), peer_counters(vm)) for _, name, vm in watched}

        before = read()
        time.sleep(seconds)
        after = read()
        by_role = {}
        for role, name, _ in watched:
            elapsed = after[name][0] - before[name][0]
            rates = [(after[name][2][key] - before[name][2][key]) / elapsed for key in ("peer_sent_bytes", "peer_received_bytes", "peer_sent_frames", "peer_received_frames")]
            processor = 100 * (after[name][1] - before[name][1]) / elapsed
            by_role.setdefault(role, []).append([memory_kib(site.processes.running[name].pid) / 1024, processor, *rates])
        site.processes.stop(list(site.processes.running))
    return {role: [sum(column) / len(column) for column in zip(*rows)] for role, rows in by_role.items()}


def measure_idle(programs, say, quick):
    """Maps axis to a list of (size, figures by role); the base size is (4 upstreams, 60 partitions, 3 entry VMs)."""
    seconds = 2 if quick else 3
    base = (4, 60, 3)
    axes = {"upstreams": [base, (16, 60, 3)], "partitions": [base, (4, 4000, 3)], "entry VMs": [base, (4, 60, 9)]}
    if not quick:
        axes = {"upstreams": [base, (10, 60, 3), (16, 60, 3)], "partitions": [base, (4, 1000, 3), (4, 4000, 3)],
            "entry VMs": [base, (4, 60, 6), (4, 60, 9)]}
    known = {}
    result = {}
    for place, (axis, sizes) in enumerate(axes.items()):
        for size in sizes:
            if size not in known:
                known[size] = idle_figures(programs, say, size, seconds)
            result.setdefault(axis, []).append((size[place], known[size]))
    return result
