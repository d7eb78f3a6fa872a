"""Measure the traffic core alone, in simulated time where time matters.

Each function returns a list of {"name", "value", "unit", "bound", "ok",
"baseline"}; None stands for no bound or no baseline.
"""

import collections
import gc
import math
import random
import statistics
import time
import tracemalloc
from typing import Any

from hickorythread import acceptance
from hickorythread import entry
from hickorythread import events
from hickorythread import exceptions
from hickorythread import execution
from hickorythread import idempotency
from hickorythread import messages
from hickorythread import models
from hickorythread import settings
from tests import mesh

Result = dict[str, Any]

ADDED_P99_MICROSECONDS = 620.0
NODE_BYTES = 128e6
REMOVAL_BOUND_SECONDS = 3.0
SERVICE_SECONDS = 0.06
DEADLINE_SECONDS = 2.0
OUT_AT = 4.0
BACK_AT = 10.0
END_AT = 26.0
LOAD_SHARE = 0.9


class Deployment:
    """Describe the service under load and its failure domains."""

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        connections: int,
        upstreams: int,
        regions: dict[str, str],
        local_seconds: float,
        removed: str,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.connections = connections
        self.upstreams = upstreams
        self.regions = regions
        self.local_seconds = local_seconds
        self.removed = removed

    def configuration(self) -> models.Configuration:
        """Return the first version."""
        operations: list[Any] = [
            {"op": "put_failure_domain", "value": {"name": k, "region": v}}
            for k, v in self.regions.items()
        ]
        service = {
            "name": self.service,
            "slots": self.slots,
            "connections": self.connections,
        }
        route = {
            "name": "lookups",
            "service": self.service,
            "path_prefix": "/lookups",
        }
        operations.append({"op": "put_service", "value": service})
        operations.append({"op": "put_route", "value": route})
        return _accepted(acceptance.empty_configuration(), operations)

    def hosts(self) -> list[models.Host]:
        """Return the hosts, spread over the domains in turn."""
        domains = list(self.regions)
        # The removed domain holds one upstream like its neighbours.
        domains.remove(self.removed)
        domains.insert(1, self.removed)
        return [
            models.Host(
                f"{self.service}-{number}",
                self.regions[domains[number % len(domains)]],
                domains[number % len(domains)],
                self.service,
                "127.0.0.1:1",
            )
            for number in range(self.upstreams)
        ]


GUILD = Deployment(
    "guild",
    "spec-desk",
    12,
    120,
    5,
    {
        "launceston": "north-tas",
        "devonport": "north-tas",
        "hobart": "south-tas",
        "kingston": "south-tas",
    },
    0.001,
    "hobart",
)
COOPERATIVE = Deployment(
    "cooperative",
    "chartdesk",
    6,
    130,
    6,
    {
        "oyo-a": "oyo",
        "oyo-b": "oyo",
        "kwara-a": "kwara",
        "kwara-b": "kwara",
    },
    0.0005,
    "oyo-b",
)
REGION_SECONDS = 0.012


def result(
    name: str,
    value: float,
    unit: str,
    bound: float | None = None,
    baseline: float | None = None,
    at_least: bool = False,
) -> Result:
    """Return one entry of the results."""
    ok = True
    if bound is not None:
        ok = value >= bound if at_least else value <= bound
    return {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "bound": bound,
        "ok": ok,
        "baseline": None if baseline is None else round(baseline, 4),
    }


def measure_all() -> list[Result]:
    """Run every measurement of this file."""
    return [
        *measure_path(),
        *measure_removal(GUILD),
        *measure_removal(COOPERATIVE),
        *measure_cold_start(),
        *measure_amplification(),
        *measure_victims(),
        *measure_key_memory(),
    ]


# CPU time of both planes.


class RoundRobinPlanes:
    """Do the least that a proxy without admission has to do."""

    def __init__(self, hosts: list[str]) -> None:
        self.hosts = hosts
        self.next = 0
        self.pending: dict[int, events.Request] = {}

    def carry(self, request: events.Request, body: bytes) -> events.Response:
        """Forward a request, run it and answer its caller."""
        self.next += 1
        host_id = self.hosts[self.next % len(self.hosts)]
        self.pending[self.next] = request
        call = messages.Call(
            self.next,
            "lookups",
            request.tenant,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.received_at + DEADLINE_SECONDS,
            "",
            0,
        )
        sent = events.SendCall(host_id, call, call.deadline)
        run = events.RunUpstream(
            self.next, call.method, call.path, [], call.body, call.deadline
        )
        reply = messages.Reply(
            call.call_id, "complete", 200, [], body, len(body), "", 0.0, []
        )
        del self.pending[reply.call_id]
        response = events.Response(200, "complete", [], reply.body)
        assert sent.host_id and run.run_id
        return events.Respond(request.request_id, response).response


class Planes:
    """Join one entry plane and one execution plane."""

    def __init__(self, deployment: Deployment) -> None:
        hosts = deployment.hosts()
        own = _settings(hosts[0])
        self.entry = entry.EntryPlane.from_config(own, random.Random(1))
        self.owner = execution.ExecutionPlane.from_config(
            own, random.Random(2), 1, 0.0
        )
        self.peer = events.Peer("entry", 1, own.region, own.failure_domain)
        for plane in (self.entry, self.owner):
            plane.configuration_changed(deployment.configuration(), 0.0)
            plane.hosts_changed(hosts, [], 0.0)

    def carry(
        self, request: events.Request, body: bytes, now: float
    ) -> list[events.Record]:
        """Pass one request through both planes."""
        sent: Any = self.entry.request(request, now)[0]
        placed = self.owner.call(self.peer, sent.message, now)
        reply: Any = placed[0]
        for action in placed:
            if type(action) is events.RunUpstream:
                answer = events.UpstreamAnswered(action.run_id, 200, [], body)
                reply = self.owner.upstream_event(answer, now + 1e-4)[0]
        return self.entry.reply(sent.host_id, reply.message, now + 2e-4)


def measure_path(rounds: int = 9, count: int = 4000) -> list[Result]:
    """Measure CPU microseconds per request of both planes together."""
    planes = Planes(GUILD)
    simple = RoundRobinPlanes([host.id for host in GUILD.hosts()])
    costs: dict[str, list[float]] = {"planes": [], "baseline": []}
    body = b"x" * 400
    now = 0.0
    gc.collect()
    gc.freeze()
    for _ in range(rounds):
        for kind in costs:
            started = time.process_time()
            for number in range(count):
                now += 0.0005
                request = events.Request(
                    number, "GET", "/lookups/7", "", [], b"", "", 0, now, None
                )
                if kind == "planes":
                    planes.carry(request, body, now)
                else:
                    simple.carry(request, body)
            spent = time.process_time() - started
            costs[kind].append(spent / count * 1e6)
    gc.unfreeze()
    return [
        result(
            "traffic.path_cpu",
            statistics.median(costs["planes"]),
            "us/request",
            ADDED_P99_MICROSECONDS,
            statistics.median(costs["baseline"]),
        )
    ]


# Service quality while a failure domain leaves and returns.


class ColdUpstream(mesh.Upstream):
    """Fail whatever exceeds what a cold upstream bears, and stay cold."""

    def __init__(self, owner: mesh.Mesh, host: models.Host) -> None:
        super().__init__(owner, host)
        self.service = owner.configuration.services[host.service]
        self.cold_at: float | None = None
        self.waiting: collections.deque[Any] = collections.deque()
        self.busy = 0

    def bears(self) -> int:
        """Return the concurrent requests that the upstream bears now."""
        if self.cold_at is None:
            return self.service.slots
        step = self.service.ramp_seconds / math.log2(self.service.slots)
        doublings = int((self.mesh.now - self.cold_at) / step)
        return int(min(self.service.slots, 2**doublings))

    def serve(self, done: Any, deadline: float) -> None:
        """Call done with a status, 0 if the connection is refused."""
        self.mesh.oracle.served(self)
        if self.busy + len(self.waiting) >= self.service.connections:
            self.mesh.at(0.0, done, 0)
        elif self.busy >= self.service.slots:
            self.waiting.append((done, deadline))
        else:
            self.begin(done)

    def begin(self, done: Any) -> None:
        """Occupy a slot for the time that the request takes."""
        if self.cold_at is None and not self.mesh.oracle.warm:
            self.cold_at = self.mesh.now
        self.busy += 1
        status = 200
        if self.busy > self.bears():
            self.cold_at = self.mesh.now
            status = 500
        seconds = SERVICE_SECONDS * self.mesh.random.uniform(0.8, 1.2)
        self.mesh.at(seconds, self.free, done, status)

    def free(self, done: Any, status: int) -> None:
        """Report the status and take the next waiting request."""
        self.busy -= 1
        while self.waiting:
            following, deadline = self.waiting.popleft()
            if self.mesh.now < deadline:
                self.begin(following)
                break
        done(status)

    def run(self, node: mesh.Node, action: events.RunUpstream) -> None:
        """Serve a call of the execution plane."""

        def done(status: int) -> None:
            event: Any = events.UpstreamFailed(action.run_id, "connect")
            if status:
                event = events.UpstreamAnswered(
                    action.run_id, status, [], b"", self.start_id
                )
            node.deliver(node.owner.upstream_event, event)

        self.serve(done, self.mesh.now + DEADLINE_SECONDS)


class Watch:
    """Count what became of the requests of one simulated run."""

    def __init__(self, removed: str) -> None:
        self.removed = removed
        self.latencies: list[float] = []
        self.ages: list[float] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.started: dict[int, float] = {}
        self.warm = True
        self.mesh: Any = None

    def served(self, upstream: ColdUpstream) -> None:
        """Note the age of a request to the removed domain."""
        now = self.mesh.now
        if (
            upstream.host.failure_domain == self.removed
            and OUT_AT <= now < BACK_AT
        ):
            self.ages.append(now - OUT_AT)

    def on_request(self, request: events.Request) -> None:
        """Note the start of a request."""
        self.started[request.request_id] = self.mesh.now

    def on_call(self, peer: Any, call: Any) -> None:
        """Ignore what the state machine's oracle checks."""

    def on_response(self, action: events.Respond) -> None:
        """Note the end of a request."""
        response = action.response
        self.ended(action.request_id, response.outcome, response.status)

    def ended(self, number: int, outcome: str, status: int) -> None:
        """Count a request as good, refused or failed."""
        seconds = self.mesh.now - self.started.pop(number)
        if outcome == "not-run":
            self.counts["refused"] += 1
        elif status == 200 and seconds <= DEADLINE_SECONDS:
            self.counts["good"] += 1
            self.latencies.append(seconds)
        else:
            self.counts["failed"] += 1


class BenchMesh(mesh.Mesh):
    """Use the latencies of a deployment and cold upstreams."""

    upstream_class = ColdUpstream
    local_seconds = 0.001
    uninformed = ""

    def beacon(self) -> None:
        """Send news to all nodes but those that are kept uninformed."""
        nodes = self.nodes
        self.nodes = {
            name: node
            for name, node in nodes.items()
            if node.host.failure_domain != self.uninformed
        }
        super().beacon()
        self.nodes = nodes

    def delay(self, one: Any, other: Any) -> float:
        """Return the one-way latency between two hosts."""
        hosts = [getattr(item, "host", item) for item in (one, other)]
        if hosts[0].region != hosts[1].region:
            return REGION_SECONDS
        return self.local_seconds


def measure_removal(deployment: Deployment) -> list[Result]:
    """Take a domain out and back under load near the rest's capacity."""
    planes = simulate_removal(deployment, round_robin=False)
    simple = simulate_removal(deployment, round_robin=True)
    prefix = f"traffic.{deployment.name}.{deployment.removed}"
    totals = [sum(item.counts.values()) for item in (planes, simple)]

    def share(kind: str) -> tuple[float, float]:
        return (
            planes.counts[kind] / totals[0],
            simple.counts[kind] / totals[1],
        )

    results = []
    for kind, unit in (("good", "share"), ("refused", "share")):
        value, baseline = share(kind)
        results.append(result(f"{prefix}.{kind}", value, unit, None, baseline))
    value, baseline = share("failed")
    results.append(result(f"{prefix}.failed", value, "share", None, baseline))
    results.append(
        result(
            f"{prefix}.p99",
            _percentile(planes.latencies) * 1e3,
            "ms",
            None,
            _percentile(simple.latencies) * 1e3,
        )
    )
    return results + measure_removal_age(deployment)


def measure_removal_age(deployment: Deployment) -> list[Result]:
    """Count the requests to a removed domain that news does not reach."""
    planes = simulate_removal(deployment, False, deployment.removed)
    simple = simulate_removal(deployment, True, deployment.removed)
    results = []
    for low in range(4):
        high = low + 1 if low < REMOVAL_BOUND_SECONDS else math.inf
        value, baseline = (
            sum(low <= age < high for age in item.ages)
            for item in (planes, simple)
        )
        prefix = f"traffic.{deployment.name}.{deployment.removed}"
        name = f"{prefix}.sent_after_removal.{low}s"
        bound = 0.0 if low >= REMOVAL_BOUND_SECONDS else None
        results.append(result(name, value, "requests", bound, baseline))
    return results


def simulate_removal(
    deployment: Deployment, round_robin: bool, uninformed: str = ""
) -> Watch:
    """Return what became of the requests of one run.

    The nodes of the uninformed domain get no news until the domain is back.
    """
    watch = Watch(deployment.removed)
    hosts = deployment.hosts()
    BenchMesh.local_seconds = deployment.local_seconds
    made = BenchMesh(deployment.configuration(), hosts, watch)
    made.start_warm()
    remaining = sum(
        host.failure_domain != deployment.removed for host in hosts
    )
    rate = LOAD_SHARE * remaining * deployment.slots / SERVICE_SECONDS
    made.at(OUT_AT, _set_domain, made, deployment.removed, "out", uninformed)
    made.at(BACK_AT, _set_domain, made, deployment.removed, "in", "")
    send = _round_robin(made, watch) if round_robin else _through_planes(made)
    made.at(0.0, _arrivals, made, send, rate)
    made.advance(END_AT + DEADLINE_SECONDS + 1.0)
    return watch


def _arrivals(made: BenchMesh, send: Any, rate: float) -> None:
    if made.now < END_AT:
        send()
        gap = made.random.expovariate(rate)
        made.at(gap, _arrivals, made, send, rate)


def _through_planes(made: BenchMesh) -> Any:
    nodes = list(made.nodes.values())

    def send() -> None:
        made.request(made.random.choice(nodes), "GET", "/lookups/1", tenant="")

    return send


def _round_robin(made: BenchMesh, watch: Watch) -> Any:
    nodes = list(made.nodes.values())
    turns = collections.Counter[str]()

    def send() -> None:
        node = made.random.choice(nodes)
        domains = node.configuration.failure_domains
        usable = [
            peer
            for peer in nodes
            if domains[peer.host.failure_domain].state == "in"
        ]
        turns[node.host.id] += 1
        peer = usable[turns[node.host.id] % len(usable)]
        number = next(made.numbers)
        watch.started[number] = made.now
        delay = 0.0 if peer is node else made.delay(node, peer)

        def done(status: int) -> None:
            outcome = "complete" if status else "unknown"
            made.at(delay, watch.ended, number, outcome, status)

        upstream = made.upstreams[peer.host.id]
        made.at(delay, upstream.serve, done, made.now + DEADLINE_SECONDS)

    return send


def _set_domain(
    made: BenchMesh, name: str, state: str, uninformed: str
) -> None:
    made.uninformed = uninformed
    value = {"name": name, "state": state}
    operation = {"op": "set_failure_domain_state", "value": value}
    made.configuration = _accepted(made.configuration, [operation])
    for upstream in made.upstreams.values():
        if state == "in" and upstream.host.failure_domain == name:
            upstream.start_id += 1
            upstream.cold_at = made.now


# Work given to a cold upstream.


def measure_cold_start() -> list[Result]:
    """Flood a cold upstream and compare its work with what it bears."""
    with_ramp = _cold_work(ramp=True)
    without = _cold_work(ramp=False)
    results = [
        result(
            f"traffic.cold_work.{second}s",
            with_ramp[second],
            "requests in flight",
            _borne(GUILD, second + 1),
            without[second],
        )
        for second in (0, 3, 6, 9, 12)
    ]
    return results


def _borne(deployment: Deployment, seconds: float) -> float:
    step = 10.0 / math.log2(deployment.slots)
    return float(min(deployment.slots, 2 ** int(seconds / step)))


def _cold_work(ramp: bool) -> list[int]:
    planes = Planes(GUILD)
    owner = planes.owner
    if not ramp:
        owner.admission.ramp_limit = None
    most = [0] * 13
    running: collections.deque[tuple[float, int]] = collections.deque()
    for number in range(13_000):
        now = number / 1000
        while running and running[0][0] <= now:
            run_id = running.popleft()[1]
            answer = events.UpstreamAnswered(run_id, 200, [], b"")
            _collect(owner.upstream_event(answer, now), running, now)
        if number % 50 == 0:
            _collect(owner.tick(now), running, now)
        call = messages.Call(
            number, "lookups", "", "GET", "/lookups", [], b"", now + 2, "", 0
        )
        _collect(owner.call(planes.peer, call, now), running, now)
        most[int(now)] = max(most[int(now)], len(running))
    return most


def _collect(
    actions: list[events.Record],
    running: collections.deque[tuple[float, int]],
    now: float,
) -> None:
    for action in actions:
        if isinstance(action, events.RunUpstream):
            running.append((now + SERVICE_SECONDS, action.run_id))


# Amplification by retries.


def measure_amplification(count: int = 2000) -> list[Result]:
    """Count calls to a service that refuses all of them."""
    results = []
    for depth in (1, 5):
        bounded = _amplification(depth, count, unbounded=False)
        # Each level may add the tenth of its budget and the reserve.
        bound = (1.1 + 10 / count) ** depth
        results.append(
            result(
                f"traffic.amplification.depth_{depth}",
                bounded,
                "calls/request",
                round(bound, 4),
                _amplification(depth, count, unbounded=True),
            )
        )
    return results


def _amplification(depth: int, count: int, unbounded: bool) -> float:
    levels = [Planes(GUILD).entry for _ in range(depth)]
    calls = 0
    number = 0

    def ask(level: int, attempt: int, now: float) -> bool:
        """Send a request at a level; every call of it is refused."""
        nonlocal calls, number
        if level == depth:
            calls += 1
            return False
        number += 1
        if unbounded:
            return any(ask(level + 1, 0, now) for _ in range(2))
        plane = levels[level]
        request = events.Request(
            number, "GET", "/lookups", "", [], b"", "", attempt, now, None
        )
        actions = plane.request(request, now)
        while not isinstance(actions[0], events.Respond):
            sent: Any = next(
                x for x in actions if isinstance(x, events.SendCall)
            )
            ask(level + 1, sent.message.attempt, now)
            reply = messages.Reply(
                sent.message.call_id,
                "not-run",
                503,
                [],
                b"",
                0,
                "queue-full",
                1.0,
                [0, 0, 12, 0],
            )
            actions = plane.reply(sent.host_id, reply, now)
        return False

    for turn in range(count):
        ask(0, 0, turn * 0.01)
    return calls / count


# Crash quarantine.


def measure_victims() -> list[Result]:
    """Count the upstreams that one resent request crashes in 4 s."""
    plain = execution.ExecutionPlane._verdict

    def trusting(
        self: Any, call: Any, match: Any, now: float
    ) -> exceptions.Refusal | str:
        self.quarantine.suspects.clear()
        return plain(self, call, match, now)

    victims = []
    for verdict in (plain, trusting):
        execution.ExecutionPlane._verdict = verdict  # type: ignore
        try:
            victims.append(_victims())
        finally:
            execution.ExecutionPlane._verdict = plain  # type: ignore
    return [result("traffic.victims", victims[0], "crashes", 2, victims[1])]


def _victims() -> int:
    watch = Watch("")
    watch.on_run = lambda upstream, action: None  # type: ignore
    made = mesh.Mesh(GUILD.configuration(), GUILD.hosts(), watch)
    made.advance(1.0)
    nodes = list(made.nodes.values())
    for number in range(40):
        node = nodes[number % len(nodes)]
        made.request(node, "GET", "/lookups", body=b"crash", tenant="")
        made.advance(0.1)
    return sum(node.owner.crashes for node in nodes)


# Memory of key records.


def measure_key_memory(count: int = 5000) -> list[Result]:
    """Measure the bytes that one finished record with 200 bytes takes."""
    store = idempotency.KeyStore("commission-desk-1", 1 << 60, random.Random())
    index = Planes(GUILD).entry.index
    assert index is not None
    match: Any = index.find("GET", "/lookups", "")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        now = number / 1000
        key = store.issue(now)
        assert key is not None
        record = store.records[key]
        digest = idempotency.body_digest("", "POST", "/", b"%d" % number)
        store.begin(record, digest, match)
        store.finish(record, (200, [], b"%200d" % number), now)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    bound = NODE_BYTES / idempotency.MAX_RECORDS
    return [result("traffic.key_record", used / count, "bytes", bound)]


def _settings(host: models.Host) -> settings.Settings:
    address = host.stream_address
    return settings.Settings(
        host.id,
        host.region,
        host.failure_domain,
        host.service,
        *[address] * 5,
        source_region=host.region,
    )


def _accepted(
    current: models.Configuration, operations: list[Any]
) -> models.Configuration:
    version = current.version + 1
    patch = {
        "id": f"p{version}",
        "base": current.version,
        "operations": operations,
    }
    entry_ = models.LogEntry(version, 0, patch)
    accepted: models.Configuration = acceptance.accept(current, entry_).ok
    return accepted


def _percentile(values: list[float], share: float = 0.99) -> float:
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else math.nan


if __name__ == "__main__":
    for item in measure_all():
        print(item)
