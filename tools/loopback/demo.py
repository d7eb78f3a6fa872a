"""A demonstration of the product with real sidecars on loopback."""

import collections
import http.client
import json
import random
import signal
import time

from tools.loopback import callers
from tools.loopback import layout
from tools.loopback import records
from tools.loopback import sidecar_process
from tools.loopback import store_standin
from tools.loopback import target_process
from tools.loopback import writers

HOST_COUNT = 8
# All steps together; the demonstration has to end within a minute.
DEMO_SECONDS = 55
# The slowest conditions, the start and the end, took less than 4 s at load 12.
WAIT_SECONDS = 20.0
# A configuration is in force within this time if it is not refused.
APPLY_SECONDS = 2.0
POLL_SECONDS = 0.05
HTTP_SECONDS = 10.0
DEADLINE_MS = 2_500
WORK_MS = 1
BODY_BYTES = 300
ANSWER_BYTES = 2_000
REQUESTS_PER_HOST = 8
REQUESTS_AHEAD = 4
PRINTED_LOG_LINES = 5
COLUMN_WIDTH = 47
EVACUATED = "hobart"
DESCRIPTION = (
    f"{HOST_COUNT} hosts in {len(layout.REGIONS)} failure domains and 2 "
    "regions, a sidecar and a target on each"
)


class DemoError(Exception):
    """Report that the demonstration cannot go on."""


class Report:
    """Print one row for each expectation."""

    __slots__ = ("started_at", "held", "missed")

    def __init__(self):
        self.started_at = time.monotonic()
        self.held = 0
        self.missed = 0

    def expect(self, expectation, is_met, observed=""):
        """Print whether an expectation held, and what was observed."""
        self.held += bool(is_met)
        self.missed += not is_met
        mark = "ok  " if is_met else "FAIL"
        seconds = time.monotonic() - self.started_at
        line = f"{seconds:5.1f} s  {mark}  {expectation:{COLUMN_WIDTH}}"
        print(f"{line}  {observed}".rstrip(), flush=True)


class Demo:
    """Run the steps of the demonstration in order."""

    def __init__(self, folder):
        self.report = Report()
        self.records = records.Records()
        self.layout = layout.Layout(HOST_COUNT)
        self.hosts = list(self.layout.hosts.values())
        self.store = store_standin.Store()
        self.writer = writers.Operator(
            self.store, self.layout, random.Random(1)
        )
        self.targets = [
            target_process.Target(host, number, self.records, 1)
            for number, host in enumerate(self.hosts, 1)
        ]
        self.processes = sidecar_process.Processes(
            self.layout,
            folder,
            dict.fromkeys(self.hosts, self.store.address),
        )
        self.request_count = 0

    def run(self):
        """Run all steps."""
        self.start()
        self.send_each_kind()
        self.accept_configuration()
        self.refuse_configurations()
        self.evacuate()
        self.end_and_start_target()
        self.break_off_answer()
        self.judge_runs()
        self.stop()

    def wait_until(self, condition):
        """Return whether a condition was met before its deadline."""
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            if time.monotonic() >= deadline:
                return False
            time.sleep(POLL_SECONDS)
        return True

    def fetch(self, host, port_name, path):
        """Return the status and body of a page of a sidecar."""
        address, port = host.at(port_name)
        connection = http.client.HTTPConnection(
            address, port, timeout=HTTP_SECONDS
        )
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def read_status(self, host):
        """Return what a sidecar believes; empty if it does not say so."""
        status, body = self.fetch(host, "metrics", "/status")
        return json.loads(body) if status == 200 else {}

    def all_show(self, name, value):
        """Return whether all sidecars show a value in their status."""
        return all(
            self.read_status(host).get(name) == value for host in self.hosts
        )

    def is_ready(self, host):
        """Return whether a host serves and knows the mesh and its target."""
        target = self.targets[self.hosts.index(host)]
        status = self.read_status(host)
        return (
            self.fetch(host, "readiness", "/-/readyz")[0] == 200
            and status.get("instance") == target.instance
            and status.get("targets") == HOST_COUNT
            and len(status.get("connected", ())) == HOST_COUNT - 1
        )

    def start(self):
        """Start all sidecars and wait until they serve."""
        for target in self.targets:
            self.writer.register(target)
        for host in self.hosts:
            self.processes.start(host)
        is_met = self.wait_until(lambda: all(map(self.is_ready, self.hosts)))
        count = sum(map(self.is_ready, self.hosts))
        self.report.expect(
            "all sidecars start", is_met, f"{count} of {HOST_COUNT} ready"
        )
        if not is_met:
            raise DemoError("the sidecars did not start in time")

    def make_request(self, host, route, body_bytes=0):
        """Return a new request, which is recorded."""
        self.request_count += 1
        request = records.Request(
            f"demo-{self.request_count}",
            host,
            route,
            body_bytes,
            ANSWER_BYTES,
            WORK_MS,
            DEADLINE_MS,
        )
        self.records.add_request(request)
        return request

    def exchange(self, host, requests, is_chunked=False):
        """Send requests before the first answer; return the requests."""
        process = self.processes.current.get(host)
        try:
            connection = callers.Connection(host, process)
        except OSError as error:
            for request in requests:
                request.end(records.NO_CONNECTION, str(error))
            return requests
        for request in requests:
            if not connection.send(request, is_chunked=is_chunked):
                break
        else:
            for request in requests:
                if not connection.receive(request):
                    break
        connection.close()
        return requests

    def ask(self, host, route, body_bytes=0, is_chunked=False):
        """Send one request and return it."""
        request = self.make_request(host, route, body_bytes)
        return self.exchange(host, [request], is_chunked)[0]

    def ask_all(self, route, count=1, **options):
        """Send some requests to each host and return them."""
        return [
            self.ask(host, route, **options)
            for host in self.hosts
            for _ in range(count)
        ]

    def runs_of(self, requests):
        """Return the runs of some requests."""
        ids = {request.id for request in requests}
        with self.records.lock:
            return [run for run in self.records.runs if run.request_id in ids]

    def expect_answers(self, expectation, requests, regions=()):
        """Expect the answer of a target to each request, in some regions."""
        served = sum(map(is_served, requests))
        runs = self.runs_of(requests)
        is_met = served == len(requests) and all(
            not regions or run.target.host.region in regions for run in runs
        )
        places = {run.target.host.address for run in runs}
        self.report.expect(
            expectation,
            is_met,
            f"{served} of {len(requests)} answered by {len(places)} targets"
            + describe_failures(requests),
        )

    def send_each_kind(self):
        """Send each kind of request to each host."""
        routes = {
            item.name: item for item in self.writer.newest.routes.values()
        }
        safe, once = routes["safe"], routes["once"]
        self.expect_answers("GET", self.ask_all(safe))
        body = {"body_bytes": BODY_BYTES}
        self.expect_answers("POST with a body", self.ask_all(safe, **body))
        self.expect_answers(
            "POST in chunks", self.ask_all(safe, is_chunked=True, **body)
        )
        self.expect_answers(
            "POST that may not repeat", self.ask_all(once, **body)
        )
        self.expect_answers(
            "a route of the region north",
            self.ask_all(routes["home"]),
            ["north"],
        )
        self.expect_answers(
            "a route of the region south, not to repeat",
            self.ask_all(routes["home-once"], **body),
            ["south"],
        )
        self.expect_split(self.ask_all(routes["split"], REQUESTS_PER_HOST))
        ahead = [
            self.exchange(
                host,
                [self.make_request(host, safe) for _ in range(REQUESTS_AHEAD)],
            )
            for host in self.hosts
        ]
        self.expect_answers(
            f"{REQUESTS_AHEAD} requests before the first answer",
            sum(ahead, []),
        )
        self.expect_not_found(writers.Route("unknown", []))

    def expect_split(self, requests):
        """Expect that a split route reaches both of its services."""
        self.expect_answers("a route split over two services", requests)
        counts = collections.Counter(
            run.target.host.service for run in self.runs_of(requests)
        )
        self.report.expect(
            "both services of the split route get requests",
            set(counts) == set(self.layout.services),
            ", ".join(f"{name} {counts[name]}" for name in sorted(counts)),
        )

    def expect_not_found(self, route):
        """Expect that no host has a route."""
        requests = self.ask_all(route)
        statuses = sorted({request.status for request in requests})
        runs = len(self.runs_of(requests))
        self.report.expect(
            "a path without a route is refused",
            statuses == [404] and not runs,
            f"status {statuses}, {runs} runs",
        )

    def accept_configuration(self):
        """Publish a configuration and expect it in force at all hosts."""
        self.writer.publish()
        number = self.writer.newest.number
        started_at = time.monotonic()
        is_met = self.wait_until(
            lambda: self.all_show("routing_version", number)
        )
        seconds = time.monotonic() - started_at
        self.report.expect(
            "a new configuration is in force at all hosts",
            is_met,
            f"version {number} after {seconds:.1f} s",
        )
        self.expect_answers("its new route", self.ask_all(self.newest_route()))

    def newest_route(self):
        """Return the route that the newest configuration has added."""
        version = self.writer.newest
        return version.routes[f"/since-{version.number}/"]

    def refuse_configurations(self):
        """Write an older and an invalid configuration."""
        version = self.writer.newest
        older = version.to_document(self.layout.services)
        older["version"] -= 1
        older["hosts"][0]["paths"].clear()
        self.expect_refusal(
            "an older configuration is refused", older, "version_kept"
        )
        invalid = version.to_document(self.layout.services)
        invalid["version"] += 1
        del invalid["hosts"][0]["paths"][0]["service"]
        self.expect_refusal(
            "an invalid configuration is refused", invalid, "entry_ignored"
        )
        self.accept_configuration()

    def expect_refusal(self, expectation, document, event):
        """Write a configuration and expect that the one before stays."""
        counts = self.count_events(event)
        self.store.put("op/config", document)
        is_met = self.wait_until(lambda: self.count_events(event) > counts)
        self.report.expect(expectation, is_met, f"event {event}")
        self.expect_same_version()
        self.expect_answers(
            "its route still answers", self.ask_all(self.newest_route())
        )

    def expect_same_version(self):
        """Expect the newest version at all hosts for APPLY_SECONDS."""
        number = self.writer.newest.number
        is_met = True
        deadline = time.monotonic() + APPLY_SECONDS
        while is_met and time.monotonic() < deadline:
            is_met = self.all_show("routing_version", number)
            time.sleep(POLL_SECONDS)
        self.report.expect(
            "the version before stays at all hosts",
            is_met,
            f"version {number} for {APPLY_SECONDS:g} s",
        )

    def read_logs(self):
        """Return the log of each host by the name of its file."""
        return {
            path.name: path.read_text("utf-8", "replace")
            for path in sorted(self.processes.folder.glob("*.log"))
        }

    def count_events(self, event):
        """Return how many log lines of all hosts report an event."""
        text = f" event={event} "
        return sum(log.count(text) for log in self.read_logs().values())

    def count_hosts(self, event):
        """Return how many hosts report an event."""
        text = f" event={event} "
        return sum(text in log for log in self.read_logs().values())

    def evacuate(self):
        """Take a failure domain out and back."""
        route = self.newest_route()
        evacuation = self.writer.evacuate(EVACUATED)
        is_met = self.wait_until(
            lambda: self.all_show("evacuated", [EVACUATED])
        )
        self.report.expect(f"{EVACUATED} is evacuated at all hosts", is_met)
        requests = self.ask_all(route, REQUESTS_PER_HOST)
        self.expect_answers("requests go on", requests)
        count = self.count_in(EVACUATED, requests)
        self.report.expect(
            f"none runs in {EVACUATED}", count == 0, f"{count} runs there"
        )
        self.writer.end_evacuation(evacuation)
        is_met = self.wait_until(lambda: self.all_show("evacuated", []))
        self.report.expect(f"{EVACUATED} is back at all hosts", is_met)
        self.expect_use(
            f"requests run in {EVACUATED} again",
            lambda requests: self.count_in(EVACUATED, requests),
        )

    def count_in(self, failure_domain, requests):
        """Return how many runs of requests were in a failure domain."""
        return sum(
            run.target.host.failure_domain == failure_domain
            for run in self.runs_of(requests)
        )

    def expect_use(self, expectation, count_runs):
        """Send requests until count_runs finds one that ran as expected."""
        route = self.newest_route()
        requests = []

        def is_used():
            requests.extend(self.ask_all(route))
            return count_runs(requests)

        is_met = self.wait_until(is_used)
        self.report.expect(
            expectation,
            is_met and all(map(is_served, requests)),
            f"{count_runs(requests)} of {len(requests)}"
            + describe_failures(requests),
        )

    def end_and_start_target(self):
        """Let a target end as planned, and start another process of it."""
        target = self.targets[0]
        ended = target.instance
        self.writer.register(target, "draining")
        host = target.host
        is_met = self.wait_until(
            lambda: self.count_hosts("target_draining") == HOST_COUNT
        )
        self.report.expect("all hosts know that a target ends", is_met, ended)
        requests = self.ask_all(self.newest_route(), REQUESTS_PER_HOST)
        self.expect_answers("requests go on", requests)
        count = self.count_at(ended, requests)
        self.report.expect(
            "none runs at it", count == 0, f"{count} runs there"
        )
        target.stop()
        self.writer.remove(ended)
        target.start()
        self.writer.register(target)
        started = target.instance
        is_met = self.wait_until(lambda: all(map(self.is_ready, self.hosts)))
        self.report.expect(
            f"a new target starts at {host.address}", is_met, started
        )
        self.expect_use(
            "requests run at the new target",
            lambda requests: self.count_at(started, requests),
        )

    def count_at(self, instance, requests):
        """Return how many runs of requests were at a target."""
        return sum(run.instance == instance for run in self.runs_of(requests))

    def break_off_answer(self):
        """Break off the answer to a request that may not repeat."""
        route = self.writer.newest.routes["/once/"]
        for target in self.targets:
            target.faults.reset_share = 1.0
        request = self.ask(self.hosts[0], route, BODY_BYTES)
        for target in self.targets:
            target.faults.reset_share = 0.0
        runs = len(self.runs_of([request]))
        self.report.expect(
            "a broken answer causes no second run",
            (request.status, runs) == (502, 1),
            f"status {request.status}, {runs} run",
        )
        is_met = self.wait_until(
            lambda: all(map(is_served, self.ask_all(route)))
        )
        self.report.expect("all hosts answer after it", is_met)

    def judge_runs(self):
        """Expect that no request that may not repeat ran twice."""
        once = [item for item in self.records.requests if not item.idempotent]
        counts = collections.Counter(
            run.request_id for run in self.runs_of(once)
        )
        wrong = [
            item.id
            for item in once
            if counts[item.id] > 1 or is_served(item) > counts[item.id]
        ]
        self.report.expect(
            "requests that may not repeat ran once",
            once and not wrong,
            f"{len(once) - len(wrong)} of {len(once)}",
        )

    def stop(self):
        """End the sidecars with SIGTERM and expect graceful ends."""
        processes = list(self.processes.current.values())
        for process in processes:
            process.send(signal.SIGTERM)
        self.wait_until(lambda: not any(item.is_running for item in processes))
        codes = collections.Counter(item.exit_code for item in processes)
        self.report.expect(
            "all sidecars end after SIGTERM with 0",
            codes == {0: HOST_COUNT},
            ", ".join(f"{count} with {code}" for code, count in codes.items()),
        )

    def close(self):
        """End all that was started."""
        self.processes.close()
        for target in self.targets:
            target.stop()
        self.store.close()

    def print_logs(self):
        """Print the last lines of the log of each host."""
        for name, log in self.read_logs().items():
            print(f"last lines of {name}:")
            for line in log.splitlines()[-PRINTED_LOG_LINES:]:
                print(f"  {line}")


def is_served(request):
    """Return whether a request got the whole answer of its target."""
    return (
        request.outcome == records.ANSWERED
        and request.status == 200
        and request.body_matches
    )


def describe_failures(requests):
    """Return what the requests got that were not served, by kind."""
    counts = collections.Counter(
        f"{item.outcome or 'not sent'} {item.status or item.detail}".strip()
        for item in requests
        if not is_served(item)
    )
    return "".join(f"; {count} {kind}" for kind, count in counts.items())
