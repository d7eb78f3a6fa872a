"""Show a deployment at work on loopback; exits 0 if all was as expected."""

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

START_SECONDS = 20.0
IN_FORCE_SECONDS = 6.0
REMOVAL_SECONDS = 3.0
RETURN_SECONDS = 10.0
RESTART_SECONDS = 10.0
AFTER_REMOVAL_SECONDS = 2.0
LOAD_PER_SECOND = 40.0
MAX_SECONDS = 48.0


class Report:
    """Collect expectations and print them as a table."""

    def __init__(self):
        self.rows = []

    def expect(self, what, holds, seen=""):
        """Record one expectation and what was seen instead or as proof."""
        self.rows.append((bool(holds), what, str(seen)))
        mark = "ok  " if holds else "FAIL"
        print(f"{mark} {what:52.52} {seen}", flush=True)

    @property
    def failures(self):
        return [row for row in self.rows if not row[0]]


class Load:
    """Issue requests in the background and keep what callers were told."""

    def __init__(self, layout, templates, homes):
        self.callers = []
        self.layout = layout
        self.templates = templates
        self.homes = homes
        self.tasks = []

    def entries(self, template):
        """Return the nodes whose region may serve a kind of request."""
        homes = self.homes.get(template.path)
        return [
            node["caller_address"]
            for node in self.layout.nodes.values()
            if not homes or node["region"] in homes
        ]

    def caller(self, template):
        """Return a caller of one kind of request, and keep its results."""
        seed = len(self.callers) + 1
        caller = standins.Caller(self.entries(template), [template], seed)
        self.callers.append(caller)
        return caller

    def start(self, seconds, per_second=LOAD_PER_SECOND):
        """Start all kinds of requests, each at its share of the rate."""
        total = sum(template.weight for template in self.templates)
        for template in self.templates:
            caller = self.caller(template)
            rate = per_second * template.weight / total
            task = eventlet.spawn(caller.run, rate, seconds)
            self.tasks.append(task)

    def wait(self):
        """Wait until the load started last has ended."""
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
        self.records = fleet.UpstreamRecords(self.layout)
        homes = {
            f"/{route['name']}": route.get("home_regions")
            for route in self.deployment["routes"]
        }
        self.templates = standins.REQUEST_TEMPLATES[deployment]
        self.load = Load(self.layout, self.templates, homes)
        self.names = list(self.layout.nodes)
        self.version = 0

    def run(self):
        """Run all steps, and end what was started in any case."""
        try:
            self.start()
            self.judge_patches()
            self.serve_each_kind()
            self.resend_a_write()
            self.take_domain_out()
            self.bring_domain_back()
            self.replace_a_node()
            self.check_records()
            self.stop()
        finally:
            self.show_exits()
            self.processes.stop()

    def show_exits(self):
        """Print the last output of processes that ended by themselves."""
        for name in self.processes.exited():
            print(f"     {name} ended by itself")
            for line in self.processes.tail(name):
                print(f"       {line[:120]}")

    def start(self):
        """Start the processes and publish patch 1."""
        self.fleet.start_stand_ins()
        up = fleet.wait_until(self.fleet.stand_ins_healthy, START_SECONDS)
        self.report.expect("stand-ins answer", up is not None)
        self.fleet.start_nodes()
        self.publish(self.layout.load_patch("patch-0001"), accepted=True)
        ready = fleet.wait_until(
            lambda: all(map(self.operators.is_ready, self.names)),
            START_SECONDS,
        )
        self.report.expect(
            f"{len(self.names)} nodes are ready", ready is not None
        )
        self.expect_version("patch 1 is in force at every node")

    def publish(self, patch, accepted=False):
        """Publish a patch and count the version if it is to be accepted."""
        self.operators.publish(patch)
        self.version += accepted
        return patch["id"]

    def expect_version(self, what):
        """Expect one version and digest at every node."""
        seconds = fleet.wait_until(
            lambda: self.operators.nodes_agree(self.version), IN_FORCE_SECONDS
        )
        held = sorted(set(map(str, self.operators.versions().values())))
        seen = f"after {seconds:.2f} s {held[0]:.30}" if seconds else held
        if seconds == 0:
            seen = f"at once {held[0]:.30}"
        self.report.expect(what, seconds is not None, seen)

    def expect_verdict(self, what, patch_id, expected):
        """Expect the same verdict at a first, middle and last node."""
        names = (self.names[0], self.names[len(self.names) // 2])
        for name in (*names, self.names[-1]):
            fleet.wait_until(
                lambda name=name: self.operators.verdict(name, patch_id),
                IN_FORCE_SECONDS,
            )
        verdicts = {
            self.operators.verdict(name, patch_id)
            for name in (*names, self.names[-1])
        }
        seen = sorted(map(str, verdicts))
        holds = len(verdicts) == 1 and seen[0].startswith(expected)
        self.report.expect(what, holds, "; ".join(seen)[:90])

    def judge_patches(self):
        """Submit an accepted, a conflicting and a dangling patch."""
        tenant = {"op": "put_tenant", "value": {"name": "visitors"}}
        accepted = {
            "id": "demo-visitors",
            "base": self.version,
            "operations": [tenant],
        }
        self.publish(accepted, accepted=True)
        self.expect_version("an accepted patch is in force everywhere")
        self.expect_verdict("it is accepted", accepted["id"], "accepted")
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
        for name, held in self.operators.versions().items():
            version, digest = held or (None, None)
            print(f"     {name:18} version {version} digest {digest!s:.16}")

    def serve_each_kind(self):
        """Send each kind of request through several entry nodes."""
        for template in self.templates:
            entries = self.load.entries(template)
            results = []
            for entry in (entries[0], entries[len(entries) // 2], entries[-1]):
                caller = self.load.caller(template)
                caller.entries = [entry]
                results.append(caller.call(template))
            good = [
                result["outcome"] == "complete" and result["status"] == 200
                for result in results
            ]
            seen = [f"{item['status']} {item['outcome']}" for item in results]
            what = f"{template.method} {template.path} is served"
            self.report.expect(what, all(good), ", ".join(seen))
        self.refuse_others()

    def refuse_others(self):
        """Expect refusals for another tenant and outside home regions."""
        for route in self.deployment["routes"]:
            method = "POST" if route.get("write") else "GET"
            path = f"/{route['name']}"
            template = standins.RequestTemplate(method, path, "members")
            if "tenants" in route:
                self.expect_refusal(template, self.names[0], 403)
            homes = route.get("home_regions")
            if homes:
                (outside, *_) = (
                    name
                    for name, node in self.layout.nodes.items()
                    if node["region"] not in homes
                )
                self.expect_refusal(template, outside, 421)

    def expect_refusal(self, template, name, status):
        """Expect a refusal with a status and the outcome not-run."""
        caller = self.load.caller(template)
        caller.entries = [self.layout.nodes[name]["caller_address"]]
        result = caller.call(template)
        seen = (result["status"], result["outcome"])
        what = f"{template.method} {template.path} is refused at {name}"
        self.report.expect(what, seen == (status, "not-run"), seen)

    def resend_a_write(self):
        """Resend a write with its key through another node."""
        (template, *_) = (
            item for item in self.templates if item.method == "POST"
        )
        caller = self.load.caller(template)
        first, *_, second = self.load.entries(template)
        target, body = f"{template.path}?nonce=resent", b'{"panel": "P-12"}'
        key = caller.send(template, target, body, entry=first).key
        answers = [
            caller.send(template, target, body, key, entry=entry)
            for entry in (first, second)
        ]
        same = answers[0].body == answers[1].body and key
        statuses = [answer.status for answer in answers]
        self.report.expect(
            "a resent write gets the first response",
            same and statuses == [200, 200],
            statuses,
        )
        other = caller.send(template, target, b"{}", key, entry=second)
        self.report.expect(
            "its key with another body is refused",
            other.status == 422,
            other.status,
        )
        runs = sum(
            record["key"] == key
            for items in self.records.read_all().values()
            for record in items
        )
        self.report.expect("it ran once", runs == 1, f"{runs} runs")

    def in_domain(self, domain):
        """Return the hosts of a failure domain."""
        return [
            name
            for name, node in self.layout.nodes.items()
            if node["failure_domain"] == domain
        ]

    def count_after(self, names, started_at_ms):
        """Count the runs at some upstreams that started after a time."""
        return sum(
            record["started_at_ms"] > started_at_ms
            for name in names
            for record in self.records.read(name)
        )

    def take_domain_out(self):
        """Take a failure domain out under load."""
        domain = self.deployment["domain_out"]
        names = self.in_domain(domain)
        others = [name for name in self.names if name not in names]
        began_ms = time.time() * 1000
        total = 1 + REMOVAL_SECONDS + AFTER_REMOVAL_SECONDS
        self.load.start(total)
        eventlet.sleep(1)
        before = self.count_after(names, began_ms)
        self.report.expect(f"{domain} gets work", before, f"{before} runs")
        # Its base is old: an urgent removal loses to no unrelated patch.
        patch = self.layout.load_patch(f"patch-{domain}-out")
        self.publish(patch, accepted=True)
        limit_ms = time.time() * 1000 + REMOVAL_SECONDS * 1000
        self.expect_version(f"{domain} is out at every node")
        self.load.wait()
        late = self.count_after(names, limit_ms)
        elsewhere = self.count_after(others, limit_ms)
        self.report.expect(
            f"{domain} gets no new work after {REMOVAL_SECONDS:g} s",
            late == 0 and elsewhere > 0,
            f"{late} runs there, {elsewhere} elsewhere",
        )

    def bring_domain_back(self):
        """Bring the failure domain back under load."""
        domain = self.deployment["domain_out"]
        names = self.in_domain(domain)
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
        back_ms = time.time() * 1000
        self.load.start(4)
        self.expect_version(f"{domain} is back at every node")
        seconds = fleet.wait_until(
            lambda: self.count_after(names, back_ms), RETURN_SECONDS, 0.25
        )
        self.report.expect(
            f"{domain} gets work again", seconds is not None, seconds
        )
        self.load.wait()

    def replace_a_node(self):
        """End one node without notice and start it again."""
        name = self.names[-1]
        self.processes.kill(name)
        (template, *_) = self.templates
        caller = self.load.caller(template)
        gone = self.layout.nodes[name]["caller_address"]
        caller.entries = [entry for entry in caller.entries if entry != gone]
        results = [caller.call(template) for _ in range(20)]
        good = sum(result["outcome"] == "complete" for result in results)
        self.report.expect(
            f"others serve while {name} is dead",
            good == len(results),
            f"{good} of {len(results)}",
        )
        self.fleet.start_node(name)
        seconds = fleet.wait_until(
            lambda: self.operators.is_ready(name), RESTART_SECONDS
        )
        held = (self.operators.version(name) or (None,))[0]
        self.report.expect(
            f"{name} is ready again and holds the version",
            seconds is not None and held == self.version,
            f"version {held}",
        )

    def check_records(self):
        """Compare what callers were told with what the upstreams ran."""
        results = self.load.results
        violations = fleet.find_violations(self.records.read_all(), results)
        outcomes = {}
        for result in results:
            outcome = result["outcome"]
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
        self.report.expect(
            "records agree with what callers were told",
            not violations,
            outcomes,
        )
        for violation in violations[:10]:
            print(f"     {violation}")

    def stop(self):
        """End all nodes gracefully."""
        codes = self.fleet.stop_nodes()
        wrong = {name: code for name, code in codes.items() if code != 0}
        self.report.expect(
            "every node exits 0 on SIGTERM", not wrong, wrong or ""
        )


def leave(number, frame):
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
    signal.signal(signal.SIGTERM, leave)
    started = time.monotonic()
    directory = tempfile.mkdtemp(prefix="hickorythread-demo-")
    demo = Demo(options.deployment, directory, program)
    try:
        with eventlet.Timeout(MAX_SECONDS):
            demo.run()
    except (eventlet.Timeout, RuntimeError) as error:
        demo.report.expect("the demo reaches its end", False, error)
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
