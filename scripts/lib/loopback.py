"""Starts a teaselturn system of processes on loopback. Each VM has an address of its own in 127.0.0.0/8."""

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
# Far longer than any step takes; a step that reaches it fails.
CEILING_SECONDS = 60


class ClusterError(Exception):
    pass


class Processes:
    """Starts processes with a log file each, and stops them by process id."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}

    def start(self, name, *command):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen([str(part) for part in command], stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self.folder)
        log.close()
        self.running[name] = process
        return process

    def stop(self, names, ceiling=CEILING_SECONDS):
        """Sends SIGTERM and waits; a process that does not end in time is killed, and that counts as a failure."""
        late = []
        for name in names:
            if self.running[name].poll() is None:
                self.running[name].send_signal(signal.SIGTERM)
        for name in names:
            process = self.running.pop(name)
            try:
                process.wait(ceiling)
            except subprocess.TimeoutExpired:
                late.append(name)
                process.kill()
                process.wait()
        return late

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
        with urllib.request.urlopen(f"http://{vm['address']}:8081/status", timeout=2) as answer:
            return json.load(answer)
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
        done = subprocess.run(command, env=environment, capture_output=True, text=True, check=False)
        if done.returncode != 0:
            raise ClusterError(f"the build failed\n{done.stdout[-4000:]}{done.stderr[-2000:]}")
    programs = {"teaselturnd": "src/node", "teaselturnctl": "src/ctl", "stand-in-upstream": "tools", "load-driver": "tools"}
    return {name: BUILD / folder / name for name, folder in programs.items()}


class Place:
    """Settings and addresses of every VM. Each VM has an address of its own in 127.0.0.0/8, so that ports can be alike."""

    made = 0

    def __init__(self, folder, member_zones, entry_zones, services):
        self.folder = folder
        self.services = services
        # Two runs at a time get different addresses, unless their process ids are close modulo 200. The places of one run
        # get different ones.
        self.network = f"127.{20 + (os.getpid() + 37 * Place.made) % 200}"
        Place.made += 1
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
    """Ledger members, entry VMs and upstreams, and the steps that start them.

    services has (name, servers, partitions, priority, requests a second) for each service; say takes a line of text.
    """

    def __init__(self, folder, programs, member_zones, entry_zones, services, say, upstream_options=()):
        self.folder = folder
        self.programs = programs
        self.services = services
        self.say = say
        self.upstream_options = upstream_options
        self.place = Place(folder, member_zones, entry_zones, services)
        self.processes = Processes(folder)
        self.upstreams = []
        self.upstream_commands = {}

    def wait_for(self, what, condition):
        end = time.monotonic() + CEILING_SECONDS
        while not condition():
            self.processes.check()
            if time.monotonic() > end:
                raise ClusterError(f"{what}: not within {CEILING_SECONDS} s")
            time.sleep(0.1)
        self.say(what)

    def start(self):
        self.start_ledger()
        self.start_entries()
        self.start_upstreams()

    def ctl(self, *arguments):
        return run(self.programs["teaselturnctl"], *arguments)

    def start_ledger(self):
        self.ctl("keygen", "--out", self.folder / "thandi", "--name", "thandi")
        self.operator = json.loads((self.folder / "thandi.pub").read_text())
        self.place.write_settings(self.operator)
        for vm in self.place.members:
            settings = self.place.settings_file(vm)
            run(self.programs["teaselturnd"], "--settings", settings, "--create-ledger")
            self.processes.start(f"member-{vm['node']}", self.programs["teaselturnd"], "--settings", settings)
        self.wait_for(f"the ledger of {len(self.place.members)} members has a leader",
            lambda: all((status := status_of(vm)) and status["leader"] for vm in self.place.members))

    def start_entries(self):
        for vm in self.place.entries:
            self.processes.start(f"entry-{vm['node']}", self.programs["teaselturnd"], "--settings", self.place.settings_file(vm))
        bundle = self.folder / "bundle.json"
        bundle.write_text(json.dumps(self.place.bundle(self.operator), indent=2))
        self.ctl("sign", "--key", self.folder / "thandi.key", "--bundle", bundle, "--out", self.folder / "signed.json")
        self.say(self.ctl("submit", "--to", f"{self.place.members[0]['address']}:8081", self.folder / "signed.json").strip())

        def is_ready(status):
            return status and status["bundle"]["inForce"] == 1 and status["delegation"]["valid"] and not status["behind"]

        self.wait_for(f"{len(self.place.entries)} entry VMs have the bundle in force and a delegation",
            lambda: all(is_ready(status_of(vm)) for vm in self.place.entries))

    def start_upstreams(self):
        zones = list(ZONES)
        number = 0
        for service, servers, _, _, _ in self.services:
            for index in range(servers):
                zone = zones[number % len(zones)]
                number += 1
                # Entry VMs of the zone first, in turn, then the others.
                near = [vm for vm in self.place.entries if vm["zone"] == zone]
                turn = index % len(near) if near else 0
                near = near[turn:] + near[:turn]
                entries = near + [vm for vm in self.place.entries if vm["zone"] != zone]
                name = f"{service}-{index + 1}"
                self.upstream_commands[name] = [self.programs["stand-in-upstream"], "--name", name, "--service", service, "--zone", zone,
                    "--listen", f"{self.place.network}.3.{number}:8090", "--record", self.folder / f"{name}.record",
                    "--entries", ",".join(f"{vm['address']}:8081" for vm in entries), *self.upstream_options]
                self.processes.start(name, *self.upstream_commands[name])
                self.upstreams.append(name)

        def is_owned(status):
            return status and status["upstreams"] == number and status["slots"]["unowned"] == 0

        self.wait_for(f"{number} upstreams are attached and own all slots",
            lambda: all(is_owned(status_of(vm)) for vm in self.place.entries))
