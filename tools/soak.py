"""Run deployments under load and faults; the upstreams' records decide.

The faults and their times follow from the seed. Exits 0 if nothing was
violated and the fleet recovered.
"""

import argparse
import json
import random
import re
import shlex
import shutil
import signal
import sys
import tempfile
import time

import eventlet

from hickorythread import standins
from tools import demo
from tools import fleet
from tools import generate_examples

START_SECONDS = 30.0
LEAVE_SECONDS = 10.0
BOUND_SECONDS = 3.0
IN_FORCE_SECONDS = 6.0
OUTAGE_SECONDS = (1.0, 6.0)
PAUSE_SECONDS = (0.1, 8.0)
DOWN_SECONDS = (0.2, 4.0)
OUT_SECONDS = (5.0, 12.0)
GAP_SECONDS = (0.5, 2.5)
WATCH_SECONDS = 0.5
EVENT = re.compile(r" event=(\w+)")
VERSION = re.compile(r" version=(\d+) ")
MIN_GROUP = 3


class NoWorkWindow:
    """Name hosts that may start no work from one time to another, in ms."""

    def __init__(self, requirement, names, start_ms):
        self.requirement = requirement
        self.names = names
        self.start_ms = start_ms + BOUND_SECONDS * 1000
        self.end_ms = None

    def violations(self, records):
        """Return the runs that started within the window."""
        end_ms = self.end_ms or float("inf")
        return [
            f"{self.requirement}: {name} started {record['method']} "
            f"{record['path']} {record['started_at_ms'] - self.start_ms:.0f} "
            "ms after the bound"
            for name in self.names
            for record in records[name]
            if self.start_ms < record["started_at_ms"] < end_ms
        ]


class Faults:
    """Cause faults in a seeded order; each ends what it began."""

    def __init__(self, soak, seed):
        self.soak = soak
        self.random = random.Random(seed)
        self.counts = {}
        self.windows = []
        self.wrong_exits = []
        self.busy = set()
        self.outage = False
        self.domain_busy = False
        self.tasks = eventlet.GreenPool(50)
        self.kinds = (
            (self.kill_node, 4),
            (self.kill_group, 1),
            (self.pause_node, 4),
            (self.stop_node, 3),
            (self.fail_platform, 2),
            (self.crash_upstream, 2),
            (self.remove_domain, 4),
            (self.send_crashing, 2),
            (self.omit_host, 2),
            (self.mark_leaving, 2),
        )

    def run(self, seconds):
        """Cause faults for some time, then wait until all have ended."""
        limit = time.monotonic() + seconds
        kinds, weights = zip(*self.kinds, strict=True)
        while time.monotonic() < limit:
            kind = self.random.choices(kinds, weights)[0]
            seed = self.random.getrandbits(32)
            self.tasks.spawn_n(kind, random.Random(seed))
            eventlet.sleep(self.random.uniform(*GAP_SECONDS))
        self.tasks.waitall()

    def take(self, source, count=1):
        """Reserve nodes without a fault, so that some always remain."""
        free = [name for name in self.soak.names if name not in self.busy]
        if len(free) < count + MIN_GROUP:
            return []
        names = source.sample(free, count)
        self.busy.update(names)
        return names

    def count(self, kind):
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def kill_node(self, source):
        self.kill(source, self.take(source))

    def kill_group(self, source):
        self.kill(source, self.take(source, len(self.soak.names) // 2))

    def kill(self, source, names):
        """End nodes without notice and replace them later."""
        for name in names:
            self.count("SIGKILL")
            self.soak.processes.kill(name)
            self.soak.restarted(name)
        eventlet.sleep(source.uniform(*DOWN_SECONDS))
        for name in names:
            self.soak.fleet.start_node(name)
        self.busy.difference_update(names)

    def pause_node(self, source):
        """Stop a process and let it resume late."""
        for name in self.take(source):
            self.count("SIGSTOP")
            self.soak.processes.signal(name, signal.SIGSTOP)
            eventlet.sleep(source.uniform(*PAUSE_SECONDS))
            self.soak.processes.signal(name, signal.SIGCONT)
            self.busy.discard(name)

    def stop_node(self, source):
        """Stop a node gracefully and replace it."""
        for name in self.take(source):
            self.count("SIGTERM")
            fleet.wait_until(
                lambda name=name: self.soak.processes.handles_sigterm(name),
                START_SECONDS,
            )
            window = NoWorkWindow("R10", [name], time.time() * 1000)
            self.windows.append(window)
            codes = self.soak.processes.stop([name])
            if codes[name] != 0:
                self.wrong_exits.append(f"{name} exited {codes[name]}")
            self.soak.restarted(name)
            window.end_ms = time.time() * 1000
            self.soak.fleet.start_node(name)
            self.busy.discard(name)

    def fail_platform(self, source):
        """Take the platform down, or let it serve an old state."""
        if self.outage:
            return
        self.outage = True
        kind, faults = source.choice(
            (
                ("outage", {"outage": True}),
                ("stale", {"stale": True}),
                ("rewind", {"rewind": 1}),
                ("slow", {"slow_seconds": 1.0}),
            )
        )
        self.count(kind)
        operators = self.soak.operators
        operators.control_platform(**faults)
        eventlet.sleep(source.uniform(*OUTAGE_SECONDS))
        operators.control_platform(outage=False, stale=False, slow_seconds=0)
        self.outage = False

    def crash_upstream(self, source):
        """Let one upstream drop its connections and come back cold."""
        self.count("crash")
        name = source.choice(self.soak.names)
        address = self.soak.layout.nodes[name]["upstream_address"]
        fleet.fetch(address, "/control", "POST", {"crash": True})

    def send_crashing(self, source):
        """Let a caller resend a request that crashes its upstream."""
        self.count("crashing request")
        template = source.choice(self.soak.load.templates)
        marker = standins.CRASH_MARKER.decode()
        body = json.dumps({"panel": marker, "number": source.random()})
        self.soak.load.add_caller(template).call(template, body.encode())

    def omit_host(self, source):
        """Let the host list omit a live host for a while."""
        for name in self.take(source):
            self.count("host omitted")
            self.soak.change_hosts({"op": "remove", "id": name})
            eventlet.sleep(source.uniform(*OUTAGE_SECONDS))
            self.soak.list_host(name)
            self.busy.discard(name)

    def mark_leaving(self, source):
        """Mark a host as leaving; its node drains and is replaced."""
        if self.outage or self.domain_busy:
            return
        for name in self.take(source):
            # A source that shows no news hides the mark from all nodes.
            self.outage = True
            self.count("host leaving")
            self.soak.list_host(name, state="leaving")
            window = NoWorkWindow("R10", [name], time.time() * 1000)
            self.windows.append(window)
            code = self.soak.processes.wait(name, LEAVE_SECONDS)
            self.outage = False
            if code != 0:
                self.wrong_exits.append(f"{name} marked leaving: {code}")
            self.soak.processes.stop([name])
            self.soak.restarted(name)
            window.end_ms = time.time() * 1000
            self.soak.list_host(name)
            eventlet.sleep(source.uniform(*DOWN_SECONDS))
            self.soak.fleet.start_node(name)
            self.busy.discard(name)

    def remove_domain(self, source):
        """Take a failure domain out for a while."""
        if self.outage or self.domain_busy:
            return
        # Removal and return come from the operators' side, so the platform
        # must be able to take them.
        self.domain_busy = self.outage = True
        self.count("domain out")
        domain = self.soak.deployment["domain_out"]
        names = [
            name
            for name, node in self.soak.layout.nodes.items()
            if node["failure_domain"] == domain
        ]
        self.soak.publish_state(domain, "out")
        window = NoWorkWindow("R5", names, time.time() * 1000)
        self.windows.append(window)
        # A source that turns stale at this moment hides the removal from
        # every reader, which no node can notice within the bound.
        eventlet.sleep(BOUND_SECONDS)
        self.outage = False
        eventlet.sleep(source.uniform(*OUT_SECONDS))
        while self.outage:
            eventlet.sleep(0.1)
        self.outage = True
        window.end_ms = time.time() * 1000
        self.soak.publish_state(domain, "in")
        self.outage = self.domain_busy = False


class Soak:
    """Run one deployment under load and faults and judge the records."""

    def __init__(self, deployment, directory, program, seed, rate):
        (self.deployment,) = (
            item
            for item in generate_examples.DEPLOYMENTS
            if item["name"] == deployment
        )
        self.rate = rate
        self.layout = fleet.Layout(deployment, directory)
        self.processes = fleet.Processes(program, directory)
        self.fleet = fleet.Fleet(self.layout, self.processes)
        self.operators = fleet.OperatorClient(self.layout)
        self.records = fleet.UpstreamRecords(self.layout)
        self.names = list(self.layout.nodes)
        homes = {
            f"/{route['name']}": route.get("home_regions")
            for route in self.deployment["routes"]
        }
        templates = standins.REQUEST_TEMPLATES[deployment]
        self.load = demo.Load(self.layout, templates, homes)
        self.faults = Faults(self, seed)
        self.version = 0
        self.recovery_seconds = 0.0
        self.held = {}
        self.moved_back = []

    def run(self, seconds):
        """Return the violations."""
        try:
            self.fleet.start_stand_ins()
            self.await_start()
            watch = eventlet.spawn(self.watch_versions)
            self.load.start(seconds, self.rate)
            self.faults.run(seconds)
            recovered = self.recover()
            watch.kill()
            self.load.wait()
            records = self.records.read_all()
        finally:
            self.processes.stop()
        return recovered + self.judge(records)

    def await_start(self):
        """Publish patch 1 and wait until all nodes are ready."""
        if (
            fleet.wait_until(self.fleet.stand_ins_healthy, START_SECONDS)
            is None
        ):
            raise RuntimeError("the stand-ins did not start")
        self.fleet.start_nodes()
        self.operators.publish(self.layout.load_patch("patch-0001"))
        self.version = 1
        if fleet.wait_until(self.all_ready, START_SECONDS) is None:
            raise RuntimeError("the nodes did not become ready")

    def all_ready(self):
        return all(map(self.operators.is_ready, self.names))

    def publish_state(self, domain, state):
        """Publish the state of a failure domain; it never conflicts."""
        patch = {
            "id": f"soak-{self.version}",
            "base": self.version,
            "operations": [
                {
                    "op": "set_failure_domain_state",
                    "value": {"name": domain, "state": state},
                }
            ],
        }
        self.operators.publish(patch)
        self.version += 1

    def change_hosts(self, change):
        """Change the platform's host list, also while it is down."""
        self.operators.control_platform(hosts=[change])

    def list_host(self, name, state="live"):
        """Put a host on the platform's host list."""
        (host,) = (item for item in self.layout.hosts if item["id"] == name)
        self.change_hosts({"op": "put", "host": host | {"state": state}})

    def restarted(self, name):
        """Forget the version of a node that a new process replaces."""
        self.held.pop(name, None)

    def watch_versions(self):
        """Record every node whose version goes down within one process."""
        while True:
            for name in self.names:
                if name in self.faults.busy:
                    continue
                version = (self.operators.version(name) or (None,))[0]
                if version is None or name in self.faults.busy:
                    continue
                if version < self.held.get(name, 0):
                    self.moved_back.append(
                        f"R1: {name} went from version {self.held[name]} "
                        f"back to {version}"
                    )
                self.held[name] = version
            eventlet.sleep(WATCH_SECONDS)

    def recover(self):
        """Expect that all nodes agree and are ready after the faults."""
        began = time.monotonic()
        fleet.wait_until(
            lambda: (
                self.operators.nodes_agree(self.version) and self.all_ready()
            ),
            IN_FORCE_SECONDS,
        )
        held = self.operators.versions()
        failed = [
            f"R12: {name} holds {held[name]}, not version {self.version}"
            for name in self.names
            if (held[name] or (None,))[0] != self.version
        ]
        if len(set(held.values())) > 1:
            failed.append(f"R12: nodes hold different digests: {held}")
        failed.extend(
            f"not ready {IN_FORCE_SECONDS:g} s after the faults: {name}"
            for name in self.names
            if not self.operators.is_ready(name)
        )
        self.recovery_seconds = time.monotonic() - began
        failed.extend(
            f"process ended by itself: {name}"
            for name in self.processes.exited()
        )
        return failed

    def judge(self, records):
        """Return all violations that the records show."""
        violations = fleet.find_violations(records, self.load.results)
        violations.extend(fleet.find_region_violations(self.layout, records))
        violations.extend(self.judge_logs())
        for window in self.faults.windows:
            violations.extend(window.violations(records))
        violations.extend(self.moved_back)
        violations.extend(f"R11: {text}" for text in self.faults.wrong_exits)
        return violations

    def judge_logs(self):
        """Return defects, cut-off requests and steps back in the logs."""
        return [
            violation
            for name in self.names
            for violation in judge_log(name, self.processes.log_lines(name))
        ]

    def summary(self):
        """Return counts of faults and of what callers were told."""
        outcomes = {}
        for result in self.load.results:
            outcome = result["outcome"]
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
        return {
            "deployment": self.deployment["name"],
            "requests": len(self.load.results),
            "outcomes": outcomes,
            "faults": dict(sorted(self.faults.counts.items())),
            "recovery_seconds": round(self.recovery_seconds, 2),
            "version": self.version,
        }


def judge_log(name, lines):
    """Return the violations that the log of one host's nodes shows."""
    violations = []
    held = 0
    for line in lines:
        event = EVENT.search(line)
        kind = event.group(1) if event else ""
        version = int(VERSION.search(line).group(1)) if event else 0
        if kind == "node_started":
            held = 0
        elif kind == "version_in_force":
            if version < held:
                violations.append(f"R1: {name} {held} -> {version}")
            held = version
        elif kind == "node_stopped" and "unfinished=0" not in line:
            violations.append(f"R11: {name} cut off requests: {line}")
        elif kind == "task_failed" or line.startswith("Traceback"):
            violations.append(f"defect at {name}: {line}")
    return violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment",
        choices=("guild", "cooperative", "both"),
        default="both",
    )
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--program", help="command to run instead of hickorythread"
    )
    options = parser.parse_args()
    program = fleet.find_program()
    if options.program:
        program = shlex.split(options.program)
    signal.signal(signal.SIGTERM, demo.exit_on_signal)
    names = [options.deployment]
    if options.deployment == "both":
        names = ["guild", "cooperative"]
    failed = False
    for name in names:
        directory = tempfile.mkdtemp(prefix="hickorythread-soak-")
        soak = Soak(name, directory, program, options.seed, options.rate)
        violations = soak.run(options.seconds)
        print(json.dumps(soak.summary()), flush=True)
        for violation in violations[:50]:
            print(violation)
        print(
            f"{name}: {len(violations)} violations, seed {options.seed}",
            flush=True,
        )
        if violations:
            failed = True
            print(f"logs of all processes: {directory}")
        else:
            shutil.rmtree(directory)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
