"""Run deployments under load and faults and check for violations.

The records of the targets show which requests ran. The seed determines the
faults and their times. Exits 0 if no requirement was violated and the fleet
recovered.
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
from tools import demo_nodes
from tools import fleet
from tools import generate_examples

START_TIMEOUT_SECONDS = 30.0
LEAVE_TIMEOUT_SECONDS = 10.0
REMOVAL_LIMIT_SECONDS = 3.0
CONVERGENCE_TIMEOUT_SECONDS = 6.0
OUTAGE_SECONDS = (1.0, 6.0)
PAUSE_SECONDS = (0.1, 8.0)
DOWN_SECONDS = (0.2, 4.0)
DOMAIN_OUT_SECONDS = (5.0, 12.0)
FAULT_INTERVAL_SECONDS = (0.5, 2.5)
POLL_INTERVAL_SECONDS = 0.5
EVENT_PATTERN = re.compile(r" event=(\w+)")
VERSION_PATTERN = re.compile(r" version=(\d+) ")
MIN_FAULT_FREE_NODES = 3


class NoWorkWindow:
    """Hold an interval during which some hosts may not start requests.

    It begins when the removal limit after start_ms has passed.
    """

    def __init__(self, requirement, names, start_ms):
        self.requirement = requirement
        self.names = names
        self.start_ms = start_ms + REMOVAL_LIMIT_SECONDS * 1000
        self.end_ms = None

    def violations(self, records):
        """Return a violation for each request started within the window."""
        end_ms = self.end_ms or float("inf")
        return [
            f"{self.requirement}: {name} started {record['method']} "
            f"{record['path']} {record['started_at_ms'] - self.start_ms:.0f} "
            "ms after the limit"
            for name in self.names
            for record in records[name]
            if self.start_ms < record["started_at_ms"] < end_ms
        ]


class Faults:
    """Inject faults in a seeded order; each fault is undone later."""

    def __init__(self, soak, seed):
        self.soak = soak
        self.random = random.Random(seed)
        self.counts = {}
        self.windows = []
        self.failed_exits = []
        self.reserved = set()
        self.platform_reserved = False
        self.domain_reserved = False
        self.pool = eventlet.GreenPool(50)
        self.weighted_faults = (
            (self.kill_node, 4),
            (self.kill_group, 1),
            (self.pause_node, 4),
            (self.stop_node, 3),
            (self.fail_platform, 2),
            (self.crash_target, 2),
            (self.remove_domain, 4),
            (self.send_crashing_request, 2),
            (self.omit_host, 2),
            (self.mark_host_leaving, 2),
        )

    def run(self, seconds):
        """Inject faults for some time, then wait until all are undone."""
        limit = time.monotonic() + seconds
        injectors, weights = zip(*self.weighted_faults, strict=True)
        while time.monotonic() < limit:
            inject = self.random.choices(injectors, weights)[0]
            seed = self.random.getrandbits(32)
            self.pool.spawn_n(inject, random.Random(seed))
            eventlet.sleep(self.random.uniform(*FAULT_INTERVAL_SECONDS))
        self.pool.waitall()

    def reserve_nodes(self, rng, count=1):
        """Reserve nodes for a fault, so that enough others stay untouched.

        Returns no nodes if fewer than MIN_FAULT_FREE_NODES would remain.
        """
        available = [
            name for name in self.soak.names if name not in self.reserved
        ]
        if len(available) < count + MIN_FAULT_FREE_NODES:
            return []
        names = rng.sample(available, count)
        self.reserved.update(names)
        return names

    def count_fault(self, kind):
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def kill_node(self, rng):
        self.kill(rng, self.reserve_nodes(rng))

    def kill_group(self, rng):
        self.kill(rng, self.reserve_nodes(rng, len(self.soak.names) // 2))

    def kill(self, rng, names):
        """Kill nodes with SIGKILL and restart them later."""
        for name in names:
            self.count_fault("SIGKILL")
            self.soak.processes.kill(name)
            self.soak.forget_version(name)
        eventlet.sleep(rng.uniform(*DOWN_SECONDS))
        for name in names:
            self.soak.fleet.start_node(name)
        self.reserved.difference_update(names)

    def pause_node(self, rng):
        """Pause a node with SIGSTOP and resume it later."""
        for name in self.reserve_nodes(rng):
            self.count_fault("SIGSTOP")
            self.soak.processes.signal(name, signal.SIGSTOP)
            eventlet.sleep(rng.uniform(*PAUSE_SECONDS))
            self.soak.processes.signal(name, signal.SIGCONT)
            self.reserved.discard(name)

    def stop_node(self, rng):
        """Stop a node with SIGTERM and restart it."""
        for name in self.reserve_nodes(rng):
            self.count_fault("SIGTERM")
            fleet.wait_until(
                lambda name=name: self.soak.processes.handles_sigterm(name),
                START_TIMEOUT_SECONDS,
            )
            window = NoWorkWindow("R10", [name], time.time() * 1000)
            self.windows.append(window)
            codes = self.soak.processes.stop([name])
            if codes[name] != 0:
                self.failed_exits.append(f"{name} exited {codes[name]}")
            self.soak.forget_version(name)
            window.end_ms = time.time() * 1000
            self.soak.fleet.start_node(name)
            self.reserved.discard(name)

    def fail_platform(self, rng):
        """Make the platform fail, respond slowly or serve an old state."""
        if self.platform_reserved:
            return
        self.platform_reserved = True
        kind, faults = rng.choice(
            (
                ("outage", {"outage": True}),
                ("stale", {"stale": True}),
                ("rewind", {"rewind": 1}),
                ("slow", {"slow_seconds": 1.0}),
            )
        )
        self.count_fault(kind)
        operators = self.soak.operators
        operators.control_platform(**faults)
        eventlet.sleep(rng.uniform(*OUTAGE_SECONDS))
        operators.control_platform(outage=False, stale=False, slow_seconds=0)
        self.platform_reserved = False

    def crash_target(self, rng):
        """Crash a target: it drops its connections and restarts cold."""
        self.count_fault("crash")
        name = rng.choice(self.soak.names)
        address = self.soak.layout.nodes[name]["upstream_address"]
        fleet.fetch(address, "/control", "POST", {"crash": True})

    def send_crashing_request(self, rng):
        """Send a request that crashes the target and may be resent."""
        self.count_fault("crashing request")
        template = rng.choice(self.soak.load.templates)
        marker = standins.CRASH_MARKER.decode()
        body = json.dumps({"panel": marker, "number": rng.random()})
        self.soak.load.add_caller(template).call(template, body.encode())

    def omit_host(self, rng):
        """Omit a live host from the host list for a while."""
        for name in self.reserve_nodes(rng):
            self.count_fault("host omitted")
            self.soak.change_hosts({"op": "remove", "id": name})
            eventlet.sleep(rng.uniform(*OUTAGE_SECONDS))
            self.soak.list_host(name)
            self.reserved.discard(name)

    def mark_host_leaving(self, rng):
        """Mark a host as leaving; its node drains, exits and is restarted."""
        if self.platform_reserved or self.domain_reserved:
            return
        for name in self.reserve_nodes(rng):
            # A stale platform would hide the mark from all nodes.
            self.platform_reserved = True
            self.count_fault("host leaving")
            self.soak.list_host(name, state="leaving")
            window = NoWorkWindow("R10", [name], time.time() * 1000)
            self.windows.append(window)
            code = self.soak.processes.wait(name, LEAVE_TIMEOUT_SECONDS)
            self.platform_reserved = False
            if code != 0:
                self.failed_exits.append(f"{name} marked leaving: {code}")
            self.soak.processes.stop([name])
            self.soak.forget_version(name)
            window.end_ms = time.time() * 1000
            self.soak.list_host(name)
            eventlet.sleep(rng.uniform(*DOWN_SECONDS))
            self.soak.fleet.start_node(name)
            self.reserved.discard(name)

    def remove_domain(self, rng):
        """Take a failure domain out of service for a while."""
        if self.platform_reserved or self.domain_reserved:
            return
        # Operators publish the removal and the return, so the platform must
        # accept patches at both times.
        self.domain_reserved = self.platform_reserved = True
        self.count_fault("domain out")
        domain = self.soak.deployment["domain_out"]
        names = [
            name
            for name, node in self.soak.layout.nodes.items()
            if node["failure_domain"] == domain
        ]
        self.soak.publish_state(domain, "out")
        window = NoWorkWindow("R5", names, time.time() * 1000)
        self.windows.append(window)
        # A platform that turns stale now would hide the removal from every
        # reader, which no node can detect within the limit.
        eventlet.sleep(REMOVAL_LIMIT_SECONDS)
        self.platform_reserved = False
        eventlet.sleep(rng.uniform(*DOMAIN_OUT_SECONDS))
        while self.platform_reserved:
            eventlet.sleep(0.1)
        self.platform_reserved = True
        window.end_ms = time.time() * 1000
        self.soak.publish_state(domain, "in")
        self.platform_reserved = self.domain_reserved = False


class Soak:
    """Run one deployment under load and faults and check the records."""

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
        self.records = fleet.TargetRecords(self.layout)
        self.names = list(self.layout.nodes)
        home_regions_by_path = {
            f"/{route['name']}": route.get("home_regions")
            for route in self.deployment["routes"]
        }
        templates = standins.REQUEST_TEMPLATES[deployment]
        self.load = demo_nodes.Load(
            self.layout, templates, home_regions_by_path
        )
        self.faults = Faults(self, seed)
        self.version = 0
        self.recovery_seconds = 0.0
        self.last_versions = {}
        self.version_regressions = []

    def run(self, seconds):
        """Run for some seconds and return all violations."""
        try:
            self.fleet.start_stand_ins()
            self.wait_until_ready()
            watcher = eventlet.spawn(self.watch_versions)
            self.load.start(seconds, self.rate)
            self.faults.run(seconds)
            recovery_violations = self.recover()
            watcher.kill()
            self.load.wait()
            records = self.records.read_all()
        finally:
            self.processes.stop()
        return recovery_violations + self.find_violations(records)

    def wait_until_ready(self):
        """Start the nodes, publish patch 1 and wait until all are ready."""
        if (
            fleet.wait_until(
                self.fleet.stand_ins_healthy, START_TIMEOUT_SECONDS
            )
            is None
        ):
            raise RuntimeError("the stand-ins did not start")
        self.fleet.start_nodes()
        self.operators.publish(self.layout.load_patch("patch-0001"))
        self.version = 1
        if fleet.wait_until(self.all_ready, START_TIMEOUT_SECONDS) is None:
            raise RuntimeError("the nodes did not become ready")

    def all_ready(self):
        return all(map(self.operators.is_ready, self.names))

    def publish_state(self, domain, state):
        """Publish the state of a failure domain; this never conflicts."""
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
        """Change the platform's host list, even during an outage."""
        self.operators.control_platform(hosts=[change])

    def list_host(self, name, state="live"):
        """Add or replace a host on the platform's host list."""
        (host,) = (item for item in self.layout.hosts if item["id"] == name)
        self.change_hosts({"op": "put", "host": host | {"state": state}})

    def forget_version(self, name):
        """Discard the last version of a node that is being restarted."""
        self.last_versions.pop(name, None)

    def watch_versions(self):
        """Record each decrease of a version within one node process."""
        while True:
            for name in self.names:
                if name in self.faults.reserved:
                    continue
                version = (self.operators.version(name) or (None,))[0]
                if version is None or name in self.faults.reserved:
                    continue
                if version < self.last_versions.get(name, 0):
                    self.version_regressions.append(
                        f"R1: {name} went from version "
                        f"{self.last_versions[name]} back to {version}"
                    )
                self.last_versions[name] = version
            eventlet.sleep(POLL_INTERVAL_SECONDS)

    def recover(self):
        """Return violations by nodes that do not recover after the faults."""
        started = time.monotonic()
        fleet.wait_until(
            lambda: (
                self.operators.nodes_agree(self.version) and self.all_ready()
            ),
            CONVERGENCE_TIMEOUT_SECONDS,
        )
        states = self.operators.versions()
        problems = [
            f"R12: {name} holds {states[name]}, not version {self.version}"
            for name in self.names
            if (states[name] or (None,))[0] != self.version
        ]
        if len(set(states.values())) > 1:
            problems.append(f"R12: nodes hold different digests: {states}")
        problems.extend(
            f"not ready {CONVERGENCE_TIMEOUT_SECONDS:g} s after the faults: "
            f"{name}"
            for name in self.names
            if not self.operators.is_ready(name)
        )
        self.recovery_seconds = time.monotonic() - started
        problems.extend(
            f"process exited unexpectedly: {name}"
            for name in self.processes.exited()
        )
        return problems

    def find_violations(self, records):
        """Return all violations found in records, logs and exit codes."""
        violations = fleet.find_violations(records, self.load.results)
        violations.extend(fleet.find_region_violations(self.layout, records))
        violations.extend(self.find_log_violations())
        for window in self.faults.windows:
            violations.extend(window.violations(records))
        violations.extend(self.version_regressions)
        violations.extend(f"R11: {text}" for text in self.faults.failed_exits)
        return violations

    def find_log_violations(self):
        """Return the violations found in the logs of all nodes."""
        return [
            violation
            for name in self.names
            for violation in violations_in_log(
                name, self.processes.log_lines(name)
            )
        ]

    def summary(self):
        """Return the numbers of faults and outcomes, and the recovery time."""
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


def violations_in_log(name, lines):
    """Return version decreases, unfinished requests and defects in a log.

    The log holds the output of all node processes of one host.
    """
    violations = []
    last_version = 0
    for line in lines:
        event = EVENT_PATTERN.search(line)
        kind = event.group(1) if event else ""
        version = int(VERSION_PATTERN.search(line).group(1)) if event else 0
        if kind == "node_started":
            last_version = 0
        elif kind == "version_in_force":
            if version < last_version:
                violations.append(f"R1: {name} {last_version} -> {version}")
            last_version = version
        elif kind == "node_stopped" and "unfinished=0" not in line:
            violations.append(
                f"R11: {name} stopped with unfinished requests: {line}"
            )
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
    signal.signal(signal.SIGTERM, demo_nodes.exit_on_signal)
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
