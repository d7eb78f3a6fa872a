"""Run a deployment on loopback and exercise its main features.

Exits 0 if every expectation held.
"""

import argparse
import shlex
import shutil
import signal
import sys
import tempfile
import time

import eventlet

from hickorythread import standins
from tools import fleet
from tools import generate_examples

START_TIMEOUT_SECONDS = 20.0
CONVERGENCE_TIMEOUT_SECONDS = 6.0
REMOVAL_LIMIT_SECONDS = 3.0
RETURN_TIMEOUT_SECONDS = 10.0
RESTART_TIMEOUT_SECONDS = 10.0
OBSERVATION_SECONDS = 2.0
REQUESTS_PER_SECOND = 40.0
DEMO_TIMEOUT_SECONDS = 48.0


class Report:
    """Collect the results of all expectations and print one line for each."""

    def __init__(self):
        self.rows = []

    def expect(self, expectation, passed, observed=""):
        """Record and print whether an expectation held, with details."""
        self.rows.append((bool(passed), expectation, str(observed)))
        mark = "ok  " if passed else "FAIL"
        print(f"{mark} {expectation:52.52} {observed}", flush=True)

    @property
    def failures(self):
        return [row for row in self.rows if not row[0]]


class Load:
    """Send requests in the background and collect the results."""

    def __init__(self, layout, templates, home_regions_by_path):
        self.callers = []
        self.layout = layout
        self.templates = templates
        self.home_regions_by_path = home_regions_by_path
        self.tasks = []

    def entries(self, template):
        """Return the addresses of nodes whose region may serve a template."""
        home_regions = self.home_regions_by_path.get(template.path)
        return [
            node["caller_address"]
            for node in self.layout.nodes.values()
            if not home_regions or node["region"] in home_regions
        ]

    def add_caller(self, template):
        """Create a caller for one template and collect its results."""
        seed = len(self.callers) + 1
        caller = standins.Caller(self.entries(template), [template], seed)
        self.callers.append(caller)
        return caller

    def start(self, seconds, per_second=REQUESTS_PER_SECOND):
        """Start a caller for each template, with the rate split by weight."""
        total = sum(template.weight for template in self.templates)
        for template in self.templates:
            caller = self.add_caller(template)
            rate = per_second * template.weight / total
            task = eventlet.spawn(caller.run, rate, seconds)
            self.tasks.append(task)

    def wait(self):
        """Wait until the load that was started last has finished."""
        for task in self.tasks:
            task.wait()
        self.tasks = []

    @property
    def results(self):
        return [item for caller in self.callers for item in caller.results]


class Demo:
    """Run the steps of the demonstration in order."""

    def __init__(self, deployment, directory, program):
        (self.deployment,) = (
            item
            for item in generate_examples.DEPLOYMENTS
            if item["name"] == deployment
        )
        self.report = Report()
        self.layout = fleet.Layout(deployment, directory)
        self.processes = fleet.Processes(program, directory)
        self.fleet = fleet.Fleet(self.layout, self.processes)
        self.operators = fleet.OperatorClient(self.layout)
        self.records = fleet.TargetRecords(self.layout)
        home_regions_by_path = {
            f"/{route['name']}": route.get("home_regions")
            for route in self.deployment["routes"]
        }
        self.templates = standins.REQUEST_TEMPLATES[deployment]
        self.load = Load(self.layout, self.templates, home_regions_by_path)
        self.names = list(self.layout.nodes)
        self.version = 0

    def run(self):
        """Run all steps, and stop all processes even if a step fails."""
        try:
            self.start()
            self.check_patch_verdicts()
            self.check_request_templates()
            self.check_resent_write()
            self.remove_domain()
            self.restore_domain()
            self.check_node_restart()
            self.check_records()
            self.stop()
        finally:
            self.print_unexpected_exits()
            self.processes.stop()

    def print_unexpected_exits(self):
        """Print the last output of processes that exited unexpectedly."""
        for name in self.processes.exited():
            print(f"     {name} exited unexpectedly")
            for line in self.processes.tail(name):
                print(f"       {line[:120]}")

    def start(self):
        """Start all processes, publish patch 1 and wait for readiness."""
        self.fleet.start_stand_ins()
        up = fleet.wait_until(
            self.fleet.stand_ins_healthy, START_TIMEOUT_SECONDS
        )
        self.report.expect("stand-ins are healthy", up is not None)
        self.fleet.start_nodes()
        self.publish(self.layout.load_patch("patch-0001"), accepted=True)
        ready = fleet.wait_until(
            lambda: all(map(self.operators.is_ready, self.names)),
            START_TIMEOUT_SECONDS,
        )
        self.report.expect(
            f"{len(self.names)} nodes are ready", ready is not None
        )
        self.expect_version("patch 1 is in force at every node")

    def publish(self, patch, accepted=False):
        """Publish a patch and return its id.

        A patch that should be accepted increments the expected version.
        """
        self.operators.publish(patch)
        self.version += accepted
        return patch["id"]

    def expect_version(self, expectation):
        """Expect every node to hold the current version with one digest."""
        seconds = fleet.wait_until(
            lambda: self.operators.nodes_agree(self.version),
            CONVERGENCE_TIMEOUT_SECONDS,
        )
        states = sorted(set(map(str, self.operators.versions().values())))
        observed = (
            f"after {seconds:.2f} s {states[0]:.30}" if seconds else states
        )
        if seconds == 0:
            observed = f"at once {states[0]:.30}"
        self.report.expect(expectation, seconds is not None, observed)

    def expect_verdict(self, expectation, patch_id, expected):
        """Expect the same verdict at the first, middle and last node."""
        names = (self.names[0], self.names[len(self.names) // 2])
        for name in (*names, self.names[-1]):
            fleet.wait_until(
                lambda name=name: self.operators.verdict(name, patch_id),
                CONVERGENCE_TIMEOUT_SECONDS,
            )
        verdicts = {
            self.operators.verdict(name, patch_id)
            for name in (*names, self.names[-1])
        }
        observed = sorted(map(str, verdicts))
        passed = len(verdicts) == 1 and observed[0].startswith(expected)
        self.report.expect(expectation, passed, "; ".join(observed)[:90])

    def check_patch_verdicts(self):
        """Publish a valid, a conflicting and an invalid patch."""
        operation = {"op": "put_tenant", "value": {"name": "visitors"}}
        accepted = {
            "id": "demo-visitors",
            "base": self.version,
            "operations": [operation],
        }
        self.publish(accepted, accepted=True)
        self.expect_version("a valid patch is in force at every node")
        self.expect_verdict(
            "a valid patch is accepted", accepted["id"], "accepted"
        )
        old = self.publish(self.layout.load_patch("patch-old-base"))
        self.expect_verdict("a patch with an old base conflicts", old, "conf")
        dangling = self.layout.load_patch(
            "patch-dangling-route", base=self.version
        )
        self.publish(dangling)
        self.expect_verdict(
            "a patch with a dangling route is invalid",
            dangling["id"],
            "invalid",
        )
        self.expect_version("rejected patches change no node")
        for name, state in self.operators.versions().items():
            version, digest = state or (None, None)
            print(f"     {name:18} version {version} digest {digest!s:.16}")

    def check_request_templates(self):
        """Send a request of each template through several entry nodes."""
        for template in self.templates:
            entries = self.load.entries(template)
            results = []
            for entry in (entries[0], entries[len(entries) // 2], entries[-1]):
                caller = self.load.add_caller(template)
                caller.entries = [entry]
                results.append(caller.call(template))
            succeeded = [
                result["outcome"] == "complete" and result["status"] == 200
                for result in results
            ]
            observed = [
                f"{item['status']} {item['outcome']}" for item in results
            ]
            expectation = f"{template.method} {template.path} is served"
            self.report.expect(
                expectation, all(succeeded), ", ".join(observed)
            )
        self.check_refusals()

    def check_refusals(self):
        """Expect refusals for a wrong client account or a wrong region."""
        for route in self.deployment["routes"]:
            method = "POST" if route.get("write") else "GET"
            path = f"/{route['name']}"
            template = standins.RequestTemplate(method, path, "members")
            if "tenants" in route:
                self.expect_refusal(template, self.names[0], 403)
            home_regions = route.get("home_regions")
            if home_regions:
                (outside, *_) = (
                    name
                    for name, node in self.layout.nodes.items()
                    if node["region"] not in home_regions
                )
                self.expect_refusal(template, outside, 421)

    def expect_refusal(self, template, name, status):
        """Expect a node to refuse with a status and the outcome not-run."""
        caller = self.load.add_caller(template)
        caller.entries = [self.layout.nodes[name]["caller_address"]]
        result = caller.call(template)
        observed = (result["status"], result["outcome"])
        expectation = f"{template.method} {template.path} is refused at {name}"
        self.report.expect(
            expectation, observed == (status, "not-run"), observed
        )

    def check_resent_write(self):
        """Expect a resent write to return the first response and run once."""
        (template, *_) = (
            item for item in self.templates if item.method == "POST"
        )
        caller = self.load.add_caller(template)
        first, *_, second = self.load.entries(template)
        target, body = f"{template.path}?nonce=resent", b'{"panel": "P-12"}'
        key = caller.send(template, target, body, entry=first).key
        responses = [
            caller.send(template, target, body, key, entry=entry)
            for entry in (first, second)
        ]
        same = responses[0].body == responses[1].body and key
        statuses = [response.status for response in responses]
        self.report.expect(
            "a resent write gets the first response",
            same and statuses == [200, 200],
            statuses,
        )
        other = caller.send(template, target, b"{}", key, entry=second)
        self.report.expect(
            "its key with a different body is refused",
            other.status == 422,
            other.status,
        )
        runs = sum(
            record["key"] == key
            for items in self.records.read_all().values()
            for record in items
        )
        self.report.expect("it ran once", runs == 1, f"{runs} runs")

    def hosts_in_domain(self, domain):
        """Return the names of the hosts in a failure domain."""
        return [
            name
            for name, node in self.layout.nodes.items()
            if node["failure_domain"] == domain
        ]

    def count_runs_after(self, names, started_at_ms):
        """Count the requests that targets started after a given time."""
        return sum(
            record["started_at_ms"] > started_at_ms
            for name in names
            for record in self.records.read(name)
        )

    def remove_domain(self):
        """Remove a failure domain under load and expect its work to stop."""
        domain = self.deployment["domain_out"]
        names = self.hosts_in_domain(domain)
        others = [name for name in self.names if name not in names]
        start_ms = time.time() * 1000
        total = 1 + REMOVAL_LIMIT_SECONDS + OBSERVATION_SECONDS
        self.load.start(total)
        eventlet.sleep(1)
        before = self.count_runs_after(names, start_ms)
        self.report.expect(
            f"{domain} receives requests", before, f"{before} runs"
        )
        # The patch has an old base: an urgent removal must not conflict with
        # unrelated patches.
        patch = self.layout.load_patch(f"patch-{domain}-out")
        self.publish(patch, accepted=True)
        removal_limit_ms = time.time() * 1000 + REMOVAL_LIMIT_SECONDS * 1000
        self.expect_version(f"{domain} is out at every node")
        self.load.wait()
        late = self.count_runs_after(names, removal_limit_ms)
        elsewhere = self.count_runs_after(others, removal_limit_ms)
        self.report.expect(
            f"{domain} gets no new requests after {REMOVAL_LIMIT_SECONDS:g} s",
            late == 0 and elsewhere > 0,
            f"{late} runs there, {elsewhere} elsewhere",
        )

    def restore_domain(self):
        """Return the failure domain to service under load."""
        domain = self.deployment["domain_out"]
        names = self.hosts_in_domain(domain)
        patch = {
            "id": f"demo-{domain}-in",
            "base": self.version,
            "operations": [
                {
                    "op": "set_failure_domain_state",
                    "value": {"name": domain, "state": "in"},
                }
            ],
        }
        self.publish(patch, accepted=True)
        return_ms = time.time() * 1000
        self.load.start(4)
        self.expect_version(f"{domain} is back in service at every node")
        seconds = fleet.wait_until(
            lambda: self.count_runs_after(names, return_ms),
            RETURN_TIMEOUT_SECONDS,
            0.25,
        )
        self.report.expect(
            f"{domain} receives requests again", seconds is not None, seconds
        )
        self.load.wait()

    def check_node_restart(self):
        """Kill one node, expect the others to serve, and start it again."""
        name = self.names[-1]
        self.processes.kill(name)
        (template, *_) = self.templates
        caller = self.load.add_caller(template)
        dead_entry = self.layout.nodes[name]["caller_address"]
        caller.entries = [
            entry for entry in caller.entries if entry != dead_entry
        ]
        results = [caller.call(template) for _ in range(20)]
        succeeded = sum(result["outcome"] == "complete" for result in results)
        self.report.expect(
            f"other nodes serve while {name} is down",
            succeeded == len(results),
            f"{succeeded} of {len(results)}",
        )
        self.fleet.start_node(name)
        seconds = fleet.wait_until(
            lambda: self.operators.is_ready(name), RESTART_TIMEOUT_SECONDS
        )
        node_version = (self.operators.version(name) or (None,))[0]
        self.report.expect(
            f"{name} is ready again and holds the version",
            seconds is not None and node_version == self.version,
            f"version {node_version}",
        )

    def check_records(self):
        """Compare the results of callers with the records of the targets."""
        results = self.load.results
        violations = fleet.find_violations(self.records.read_all(), results)
        outcomes = {}
        for result in results:
            outcome = result["outcome"]
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
        self.report.expect(
            "records agree with the results of callers",
            not violations,
            outcomes,
        )
        for violation in violations[:10]:
            print(f"     {violation}")

    def stop(self):
        """Stop all nodes with SIGTERM and expect exit code 0."""
        codes = self.fleet.stop_nodes()
        wrong = {name: code for name, code in codes.items() if code != 0}
        self.report.expect(
            "every node exits 0 on SIGTERM", not wrong, wrong or ""
        )


def exit_on_signal(number, frame):
    """Exit with the shell's code for a process ended by a signal."""
    raise SystemExit(128 + number)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=("guild", "cooperative"), default="guild"
    )
    parser.add_argument(
        "--program", help="command to run instead of hickorythread"
    )
    options = parser.parse_args()
    program = fleet.find_program()
    if options.program:
        program = shlex.split(options.program)
    signal.signal(signal.SIGTERM, exit_on_signal)
    started = time.monotonic()
    directory = tempfile.mkdtemp(prefix="hickorythread-demo-")
    demo = Demo(options.deployment, directory, program)
    try:
        with eventlet.Timeout(DEMO_TIMEOUT_SECONDS):
            demo.run()
    except (eventlet.Timeout, RuntimeError) as error:
        demo.report.expect("the demo runs to completion", False, error)
    failures = demo.report.failures
    seconds = time.monotonic() - started
    print(
        f"{options.deployment}: {len(demo.report.rows) - len(failures)} of "
        f"{len(demo.report.rows)} expectations held, {seconds:.0f} s"
    )
    if failures:
        print(f"logs of all processes: {directory}")
        return 1
    shutil.rmtree(directory)
    return 0


if __name__ == "__main__":
    sys.exit(main())
