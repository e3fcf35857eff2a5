"""Starts the processes of a teaselturn cluster on loopback. Each VM has its own address in 127.0.0.0/8."""

import json
import os
import pathlib
import secrets
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = ROOT / "build-release"
ZONES = {"wc-bellville": "wcape", "wc-paarl": "wcape", "ec-gqeberha": "ecape", "ec-makhanda": "ecape"}
# Timeout of each step, far longer than any step takes.
STEP_TIMEOUT_SECONDS = 60


class ClusterError(Exception):
    pass


class Processes:
    """Starts processes, each with its own log file, and stops them by process id."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}

    def start(self, name, *command):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen([str(part) for part in command], stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self.folder)
        log.close()
        self.running[name] = process
        return process

    def stop(self, names, timeout=STEP_TIMEOUT_SECONDS):
        """Sends SIGTERM and waits. Kills the processes that do not exit within the timeout and returns their names."""
        overdue = []
        for name in names:
            if self.running[name].poll() is None:
                self.running[name].send_signal(signal.SIGTERM)
        for name in names:
            process = self.running.pop(name)
            try:
                process.wait(timeout)
            except subprocess.TimeoutExpired:
                overdue.append(name)
                process.kill()
                process.wait()
        return overdue

    def kill_all(self):
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
        for process in self.running.values():
            process.wait()
        self.running.clear()

    def check(self):
        for name, process in self.running.items():
            if process.poll() is not None:
                tail = (self.folder / f"{name}.log").read_text(errors="replace")[-2000:]
                raise ClusterError(f"{name} ended with {process.returncode}\n{tail}")


def status_of(vm):
    try:
        with urllib.request.urlopen(f"http://{vm['address']}:8081/status", timeout=2) as response:
            return json.load(response)
    except (urllib.error.URLError, OSError, ValueError):
        return None


def run(*command):
    result = subprocess.run([str(part) for part in command], capture_output=True, text=True, check=False)
    if result.returncode != 0:
        raise ClusterError(f"{pathlib.Path(command[0]).name} {command[1]} ended with {result.returncode}\n{result.stdout}{result.stderr}")
    return result.stdout


def build():
    subprocess.run([ROOT / "scripts" / "dependencies"], check=True)
    environment = dict(os.environ, CCACHE_BASEDIR=str(ROOT), CCACHE_NOHASHDIR="1")
    jobs = os.environ.get("TEASELTURN_JOBS", str(os.cpu_count()))
    targets = ["teaselturnd", "teaselturnctl", "stand-in-upstream", "load-driver"]
    for command in (
        ["cmake", "-S", ROOT, "-B", BUILD, "-G", "Ninja", "-DCMAKE_BUILD_TYPE=Release"],
        ["cmake", "--build", BUILD, "-j", jobs, "--target", *targets],
    ):
        completed = subprocess.run(command, env=environment, capture_output=True, text=True, check=False)
        if completed.returncode != 0:
            raise ClusterError(f"the build failed\n{completed.stdout[-4000:]}{completed.stderr[-2000:]}")
    programs = {"teaselturnd": "src/node", "teaselturnctl": "src/ctl", "stand-in-upstream": "tools", "load-driver": "tools"}
    return {name: BUILD / folder / name for name, folder in programs.items()}


class Topology:
    """Settings and addresses of every VM. Each VM has its own address in 127.0.0.0/8, so that all use the same ports."""

    instances = 0

    def __init__(self, folder, member_zones, entry_zones, services):
        self.folder = folder
        self.services = services
        # Concurrent runs get different addresses unless their process ids are close modulo 200. The topologies of one
        # run get different addresses.
        self.network = f"127.{20 + (os.getpid() + 37 * Topology.instances) % 200}"
        Topology.instances += 1
        self.members = [self.vm(1 + i, 1, zone) for i, zone in enumerate(member_zones)]
        self.entries = [self.vm(101 + i, 2, zone) for i, zone in enumerate(entry_zones)]
        (folder / "cluster.key").write_text(secrets.token_hex(32) + "\n")
        (folder / "cluster.key").chmod(0o600)

    def vm(self, node, group, zone):
        return {"node": node, "zone": zone, "region": ZONES[zone], "address": f"{self.network}.{group}.{node % 100}"}

    def endpoint(self, vm, port):
        return {"address": vm["address"], "port": port}

    def write_settings(self, operator):
        bootstrap = {
            "members": [dict(node=vm["node"], zone=vm["zone"], region=vm["region"], **self.endpoint(vm, 8082)) for vm in self.members],
            "operators": [operator],
            "threshold": 1,
        }
        for vm in self.members + self.entries:
            settings = {
                "node": vm["node"],
                "zone": vm["zone"],
                "region": vm["region"],
                "peer": self.endpoint(vm, 8082),
                "clusterKeyFile": "cluster.key",
                "bootstrap": bootstrap,
                "log": {"level": "info"},
            }
            if vm in self.members:
                settings |= {"roles": ["ledger"], "ledger": {"dataFolder": f"data-{vm['node']}"}, "admin": self.endpoint(vm, 8081)}
            else:
                settings |= {"roles": ["entry"], "entry": {"http": self.endpoint(vm, 8080), "admin": self.endpoint(vm, 8081)}}
            self.settings_file(vm).write_text(json.dumps(settings, indent=2))

    def settings_file(self, vm):
        return self.folder / f"node-{vm['node']}.json"

    def bundle(self, operator):
        def listed(vms):
            return [{"id": vm["node"], "zone": vm["zone"], "peer": self.endpoint(vm, 8082)} for vm in vms]

        return {
            "version": 1,
            "regions": [{"id": 1, "name": "wcape"}, {"id": 2, "name": "ecape"}],
            "zones": [{"id": i + 1, "name": zone, "region": region} for i, (zone, region) in enumerate(ZONES.items())],
            "entries": listed(self.entries),
            "members": listed(self.members),
            "services": [
                {"id": i + 1, "name": name, "partitions": partitions, "priority": priority, "objective": "99.9%"}
                for i, (name, _, partitions, priority, _) in enumerate(self.services)
            ],
            "operators": [operator],
            "threshold": 1,
        }


class Cluster:
    """Starts ledger members, entry VMs and upstreams.

    services has (name, servers, partitions, priority, requests a second) for each service; print_progress(text) prints one line.
    """

    def __init__(self, folder, programs, member_zones, entry_zones, services, print_progress, upstream_options=()):
        self.folder = folder
        self.programs = programs
        self.services = services
        self.print_progress = print_progress
        self.upstream_options = upstream_options
        self.topology = Topology(folder, member_zones, entry_zones, services)
        self.processes = Processes(folder)
        self.upstreams = []
        self.upstream_commands = {}

    def wait_for(self, what, condition):
        end = time.monotonic() + STEP_TIMEOUT_SECONDS
        while not condition():
            self.processes.check()
            if time.monotonic() > end:
                raise ClusterError(f"{what}: not within {STEP_TIMEOUT_SECONDS} s")
            time.sleep(0.1)
        self.print_progress(what)

    def start(self):
        self.start_ledger()
        self.start_entries()
        self.start_upstreams()

    def ctl(self, *arguments):
        return run(self.programs["teaselturnctl"], *arguments)

    def start_ledger(self):
        self.ctl("keygen", "--out", self.folder / "thandi", "--name", "thandi")
        self.operator = json.loads((self.folder / "thandi.pub").read_text())
        self.topology.write_settings(self.operator)
        for vm in self.topology.members:
            settings = self.topology.settings_file(vm)
            run(self.programs["teaselturnd"], "--settings", settings, "--create-ledger")
            self.processes.start(f"member-{vm['node']}", self.programs["teaselturnd"], "--settings", settings)
        self.wait_for(f"the ledger of {len(self.topology.members)} members has a leader",
            lambda: all((status := status_of(vm)) and status["leader"] for vm in self.topology.members))

    def start_entries(self):
        for vm in self.topology.entries:
            self.processes.start(f"entry-{vm['node']}", self.programs["teaselturnd"], "--settings", self.topology.settings_file(vm))
        bundle = self.folder / "bundle.json"
        bundle.write_text(json.dumps(self.topology.bundle(self.operator), indent=2))
        self.ctl("sign", "--key", self.folder / "thandi.key", "--bundle", bundle, "--out", self.folder / "signed.json")
        self.print_progress(self.ctl("submit", "--to", f"{self.topology.members[0]['address']}:8081", self.folder / "signed.json").strip())

        def is_ready(status):
            return status and status["bundle"]["inForce"] == 1 and status["delegation"]["valid"] and not status["behind"]

        self.wait_for(f"{len(self.topology.entries)} entry VMs have the bundle in force and a delegation",
            lambda: all(is_ready(status_of(vm)) for vm in self.topology.entries))

    def start_upstreams(self):
        zones = list(ZONES)
        number = 0
        for service, servers, _, _, _ in self.services:
            for index in range(servers):
                zone = zones[number % len(zones)]
                number += 1
                # Entry VMs of the upstream's zone come first, rotated so that its upstreams spread over them.
                same_zone = [vm for vm in self.topology.entries if vm["zone"] == zone]
                offset = index % len(same_zone) if same_zone else 0
                same_zone = same_zone[offset:] + same_zone[:offset]
                entries = same_zone + [vm for vm in self.topology.entries if vm["zone"] != zone]
                name = f"{service}-{index + 1}"
                self.upstream_commands[name] = [self.programs["stand-in-upstream"], "--name", name, "--service", service, "--zone", zone,
                    "--listen", f"{self.topology.network}.3.{number}:8090", "--record", self.folder / f"{name}.record",
                    "--entries", ",".join(f"{vm['address']}:8081" for vm in entries), *self.upstream_options]
                self.processes.start(name, *self.upstream_commands[name])
                self.upstreams.append(name)

        def is_owned(status):
            return status and status["upstreams"] == number and status["slots"]["unowned"] == 0

        self.wait_for(f"{number} upstreams are attached and own all slots",
            lambda: all(is_owned(status_of(vm)) for vm in self.topology.entries))
