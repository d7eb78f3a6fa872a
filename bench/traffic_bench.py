"""Measure the entry and execution planes in one process.

Latencies and timeouts run in simulated time. Each public function named
measure_* returns a list of rows with the keys "name", "value", "unit",
"bound", "ok" and "baseline"; None means no bound or no baseline.
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

Row = dict[str, Any]

ADDED_P99_MICROSECONDS = 620.0
NODE_BYTES = 128e6
REMOVAL_BOUND_SECONDS = 3.0
SERVICE_SECONDS = 0.06
DEADLINE_SECONDS = 2.0
REMOVED_AT = 4.0
RESTORED_AT = 10.0
LOAD_END_AT = 26.0
LOAD_SHARE = 0.9


class Deployment:
    """Hold the service under load, its failure domains and its latencies."""

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        connections: int,
        targets: int,
        regions: dict[str, str],
        same_region_seconds: float,
        removed_domain: str,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.connections = connections
        self.targets = targets
        self.regions = regions
        self.same_region_seconds = same_region_seconds
        self.removed_domain = removed_domain

    def configuration(self) -> models.Configuration:
        """Return the first version of the configuration."""
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
        return _apply_operations(acceptance.empty_configuration(), operations)

    def hosts(self) -> list[models.Host]:
        """Return the hosts, assigned to the failure domains in turn."""
        domains = list(self.regions)
        # The first domains get the hosts that don't divide evenly. In second
        # place the removed domain of the guild has one host, like all others
        # but the first.
        domains.remove(self.removed_domain)
        domains.insert(1, self.removed_domain)
        return [
            models.Host(
                f"{self.service}-{number}",
                self.regions[domains[number % len(domains)]],
                domains[number % len(domains)],
                self.service,
                "127.0.0.1:1",
            )
            for number in range(self.targets)
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
CROSS_REGION_SECONDS = 0.012


def row(
    name: str,
    value: float,
    unit: str,
    bound: float | None = None,
    baseline: float | None = None,
    at_least: bool = False,
) -> Row:
    """Return one row; without a bound it is always ok."""
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


def measure_all() -> list[Row]:
    """Run all benchmarks of this module."""
    return [
        *measure_path(),
        *measure_removal(GUILD),
        *measure_removal(COOPERATIVE),
        *measure_cold_start(),
        *measure_amplification(),
        *measure_victims(),
        *measure_key_memory(),
    ]


# CPU time per request in the entry and execution planes.


class RoundRobinProxy:
    """Do the minimum work of a proxy without admission control."""

    def __init__(self, hosts: list[str]) -> None:
        self.hosts = hosts
        self.call_count = 0
        self.pending: dict[int, events.Request] = {}

    def handle(self, request: events.Request, body: bytes) -> events.Response:
        """Forward a request, run it and return the response."""
        self.call_count += 1
        host_id = self.hosts[self.call_count % len(self.hosts)]
        self.pending[self.call_count] = request
        call = messages.Call(
            self.call_count,
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
        run = events.RunOnTarget(
            self.call_count,
            call.method,
            call.path,
            [],
            call.body,
            call.deadline,
        )
        reply = messages.Reply(
            call.call_id, "complete", 200, [], body, len(body), "", 0.0, []
        )
        del self.pending[reply.call_id]
        response = events.Response(200, "complete", [], reply.body)
        assert sent.host_id and run.run_id
        return events.Respond(request.request_id, response).response


class PlanePair:
    """Connect one entry plane to one execution plane, without a network."""

    def __init__(self, deployment: Deployment) -> None:
        hosts = deployment.hosts()
        node_settings = _settings(hosts[0])
        self.entry = entry.EntryPlane.from_config(
            node_settings, random.Random(1)
        )
        self.owner = execution.ExecutionPlane.from_config(
            node_settings, random.Random(2), 1, 0.0
        )
        self.peer = events.Peer(
            "entry", 1, node_settings.region, node_settings.failure_domain
        )
        for plane in (self.entry, self.owner):
            plane.configuration_changed(deployment.configuration(), 0.0)
            plane.hosts_changed(hosts, [], 0.0)

    def handle(
        self, request: events.Request, body: bytes, now: float
    ) -> list[events.Record]:
        """Process one request in both planes and return the final actions."""
        sent: Any = self.entry.request(request, now)[0]
        call_actions = self.owner.call(self.peer, sent.message, now)
        reply: Any = call_actions[0]
        for action in call_actions:
            if type(action) is events.RunOnTarget:
                answer = events.TargetAnswered(action.run_id, 200, [], body)
                reply = self.owner.target_event(answer, now + 1e-4)[0]
        return self.entry.reply(sent.host_id, reply.message, now + 2e-4)


def measure_path(rounds: int = 9, count: int = 4000) -> list[Row]:
    """Measure the CPU time per request of both planes together."""
    planes = PlanePair(GUILD)
    proxy = RoundRobinProxy([host.id for host in GUILD.hosts()])
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
                    planes.handle(request, body, now)
                else:
                    proxy.handle(request, body)
            elapsed = time.process_time() - started
            costs[kind].append(elapsed / count * 1e6)
    gc.unfreeze()
    return [
        row(
            "traffic.path_cpu",
            statistics.median(costs["planes"]),
            "us/request",
            ADDED_P99_MICROSECONDS,
            statistics.median(costs["baseline"]),
        )
    ]


# Outcomes and latency while a failure domain is removed and restored.


class ColdTarget(mesh.Target):
    """Simulate a target that fails requests above its cold capacity.

    The capacity doubles in equal steps up to all slots. Each request above
    it restarts the warm-up, so that an overloaded target stays cold.
    """

    def __init__(self, owner: mesh.Mesh, host: models.Host) -> None:
        super().__init__(owner, host)
        self.service = owner.configuration.services[host.service]
        self.cold_since: float | None = None
        self.queue: collections.deque[Any] = collections.deque()
        self.busy = 0

    def capacity(self) -> int:
        """Return the number of concurrent requests that succeed now."""
        if self.cold_since is None:
            return self.service.slots
        step = self.service.ramp_seconds / math.log2(self.service.slots)
        doublings = int((self.mesh.now - self.cold_since) / step)
        return int(min(self.service.slots, 2**doublings))

    def serve(self, done: Any, deadline: float) -> None:
        """Serve or queue a request.

        done is called with its status, 0 if the connection is refused.
        """
        self.mesh.oracle.record_arrival(self)
        if self.busy + len(self.queue) >= self.service.connections:
            self.mesh.schedule(0.0, done, 0)
        elif self.busy >= self.service.slots:
            self.queue.append((done, deadline))
        else:
            self.begin(done)

    def begin(self, done: Any) -> None:
        """Occupy a slot for the service time of a request."""
        if self.cold_since is None and not self.mesh.oracle.warm:
            self.cold_since = self.mesh.now
        self.busy += 1
        status = 200
        if self.busy > self.capacity():
            self.cold_since = self.mesh.now
            status = 500
        seconds = SERVICE_SECONDS * self.mesh.random.uniform(0.8, 1.2)
        self.mesh.schedule(seconds, self.release, done, status)

    def release(self, done: Any, status: int) -> None:
        """Release a slot, start the next queued request and call done."""
        self.busy -= 1
        while self.queue:
            next_done, deadline = self.queue.popleft()
            if self.mesh.now < deadline:
                self.begin(next_done)
                break
        done(status)

    def run(self, node: mesh.Node, action: events.RunOnTarget) -> None:
        """Serve a request of the execution plane."""

        def done(status: int) -> None:
            event: Any = events.TargetFailed(action.run_id, "connect")
            if status:
                event = events.TargetAnswered(
                    action.run_id, status, [], b"", self.start_id
                )
            node.deliver(node.owner.target_event, event)

        self.serve(done, self.mesh.now + DEADLINE_SECONDS)


class OutcomeRecorder:
    """Record outcomes and latencies of the requests of one simulated run.

    It takes the place of the oracle of tests/mesh.py.
    """

    def __init__(self, removed_domain: str) -> None:
        self.removed_domain = removed_domain
        self.latencies: list[float] = []
        self.ages_after_removal: list[float] = []
        self.outcome_counts: collections.Counter[str] = collections.Counter()
        self.start_times: dict[int, float] = {}
        self.warm = True
        self.mesh: Any = None

    def record_arrival(self, target: ColdTarget) -> None:
        """Record how long after the removal a request reaches the domain."""
        now = self.mesh.now
        if (
            target.host.failure_domain == self.removed_domain
            and REMOVED_AT <= now < RESTORED_AT
        ):
            self.ages_after_removal.append(now - REMOVED_AT)

    def on_request(self, request: events.Request) -> None:
        """Record the start of a request."""
        self.start_times[request.request_id] = self.mesh.now

    def on_call(self, peer: Any, call: Any) -> None:
        """Do nothing; the oracle of the state machine checks sent calls."""

    def on_response(self, action: events.Respond) -> None:
        """Record the response to a request."""
        response = action.response
        self.record_outcome(
            action.request_id, response.outcome, response.status
        )

    def record_outcome(self, number: int, outcome: str, status: int) -> None:
        """Count a request as good, refused or failed."""
        seconds = self.mesh.now - self.start_times.pop(number)
        if outcome == "not-run":
            self.outcome_counts["refused"] += 1
        elif status == 200 and seconds <= DEADLINE_SECONDS:
            self.outcome_counts["good"] += 1
            self.latencies.append(seconds)
        else:
            self.outcome_counts["failed"] += 1


class BenchMesh(mesh.Mesh):
    """Simulate a mesh with a deployment's latencies and cold targets."""

    target_class = ColdTarget
    same_region_seconds = 0.001
    stale_domain = ""

    def beacon(self) -> None:
        """Send the configuration and host list to all but the stale domain."""
        nodes = self.nodes
        self.nodes = {
            name: node
            for name, node in nodes.items()
            if node.host.failure_domain != self.stale_domain
        }
        super().beacon()
        self.nodes = nodes

    def delay(self, one: Any, other: Any) -> float:
        """Return the one-way latency between two hosts."""
        hosts = [getattr(item, "host", item) for item in (one, other)]
        if hosts[0].region != hosts[1].region:
            return CROSS_REGION_SECONDS
        return self.same_region_seconds


def measure_removal(deployment: Deployment) -> list[Row]:
    """Remove and restore a domain under load.

    The load is LOAD_SHARE of the capacity of the other domains.
    """
    planes_run = simulate_removal(deployment, round_robin=False)
    round_robin_run = simulate_removal(deployment, round_robin=True)
    prefix = f"traffic.{deployment.name}.{deployment.removed_domain}"
    totals = [
        sum(item.outcome_counts.values())
        for item in (planes_run, round_robin_run)
    ]

    def share_of(category: str) -> tuple[float, float]:
        return (
            planes_run.outcome_counts[category] / totals[0],
            round_robin_run.outcome_counts[category] / totals[1],
        )

    rows = []
    for category, unit in (("good", "share"), ("refused", "share")):
        value, baseline = share_of(category)
        rows.append(row(f"{prefix}.{category}", value, unit, None, baseline))
    value, baseline = share_of("failed")
    rows.append(row(f"{prefix}.failed", value, "share", None, baseline))
    rows.append(
        row(
            f"{prefix}.p99",
            _percentile(planes_run.latencies) * 1e3,
            "ms",
            None,
            _percentile(round_robin_run.latencies) * 1e3,
        )
    )
    return rows + measure_removal_age(deployment)


def measure_removal_age(deployment: Deployment) -> list[Row]:
    """Count requests to a removed domain that gets no updates itself."""
    planes_run = simulate_removal(deployment, False, deployment.removed_domain)
    round_robin_run = simulate_removal(
        deployment, True, deployment.removed_domain
    )
    rows = []
    for low in range(4):
        high = low + 1 if low < REMOVAL_BOUND_SECONDS else math.inf
        value, baseline = (
            sum(low <= age < high for age in item.ages_after_removal)
            for item in (planes_run, round_robin_run)
        )
        prefix = f"traffic.{deployment.name}.{deployment.removed_domain}"
        name = f"{prefix}.sent_after_removal.{low}s"
        bound = 0.0 if low >= REMOVAL_BOUND_SECONDS else None
        rows.append(row(name, value, "requests", bound, baseline))
    return rows


def simulate_removal(
    deployment: Deployment, round_robin: bool, stale_domain: str = ""
) -> OutcomeRecorder:
    """Return the outcomes of one simulated run.

    The nodes of stale_domain get no updates until the domain is restored.
    """
    recorder = OutcomeRecorder(deployment.removed_domain)
    hosts = deployment.hosts()
    BenchMesh.same_region_seconds = deployment.same_region_seconds
    simulation = BenchMesh(deployment.configuration(), hosts, recorder)
    simulation.start_warm()
    remaining = sum(
        host.failure_domain != deployment.removed_domain for host in hosts
    )
    rate = LOAD_SHARE * remaining * deployment.slots / SERVICE_SECONDS
    simulation.schedule(
        REMOVED_AT,
        _set_domain_state,
        simulation,
        deployment.removed_domain,
        "out",
        stale_domain,
    )
    simulation.schedule(
        RESTORED_AT,
        _set_domain_state,
        simulation,
        deployment.removed_domain,
        "in",
        "",
    )
    send = (
        _round_robin_sender(simulation, recorder)
        if round_robin
        else _mesh_sender(simulation)
    )
    simulation.schedule(0.0, _generate_arrivals, simulation, send, rate)
    simulation.advance(LOAD_END_AT + DEADLINE_SECONDS + 1.0)
    return recorder


def _generate_arrivals(simulation: BenchMesh, send: Any, rate: float) -> None:
    if simulation.now < LOAD_END_AT:
        send()
        interval = simulation.random.expovariate(rate)
        simulation.schedule(
            interval, _generate_arrivals, simulation, send, rate
        )


def _mesh_sender(simulation: BenchMesh) -> Any:
    nodes = list(simulation.nodes.values())

    def send() -> None:
        simulation.request(
            simulation.random.choice(nodes), "GET", "/lookups/1", tenant=""
        )

    return send


def _round_robin_sender(
    simulation: BenchMesh, recorder: OutcomeRecorder
) -> Any:
    nodes = list(simulation.nodes.values())
    positions = collections.Counter[str]()

    def send() -> None:
        node = simulation.random.choice(nodes)
        domains = node.configuration.failure_domains
        candidates = [
            peer
            for peer in nodes
            if domains[peer.host.failure_domain].state == "in"
        ]
        positions[node.host.id] += 1
        peer = candidates[positions[node.host.id] % len(candidates)]
        number = next(simulation.numbers)
        recorder.start_times[number] = simulation.now
        delay = 0.0 if peer is node else simulation.delay(node, peer)

        def done(status: int) -> None:
            outcome = "complete" if status else "unknown"
            simulation.schedule(
                delay, recorder.record_outcome, number, outcome, status
            )

        target = simulation.targets[peer.host.id]
        simulation.schedule(
            delay, target.serve, done, simulation.now + DEADLINE_SECONDS
        )

    return send


def _set_domain_state(
    simulation: BenchMesh, name: str, state: str, stale_domain: str
) -> None:
    simulation.stale_domain = stale_domain
    value = {"name": name, "state": state}
    operation = {"op": "set_failure_domain_state", "value": value}
    simulation.configuration = _apply_operations(
        simulation.configuration, [operation]
    )
    for target in simulation.targets.values():
        if state == "in" and target.host.failure_domain == name:
            target.start_id += 1
            target.cold_since = simulation.now


# Concurrent requests sent to a cold target.


def measure_cold_start() -> list[Row]:
    """Overload a cold target and compare its load with its capacity."""
    peaks_with_ramp = _simulate_cold_start(ramp=True)
    peaks_without_ramp = _simulate_cold_start(ramp=False)
    rows = [
        row(
            f"traffic.cold_work.{second}s",
            peaks_with_ramp[second],
            "requests in flight",
            _cold_capacity(GUILD, second + 1),
            peaks_without_ramp[second],
        )
        for second in (0, 3, 6, 9, 12)
    ]
    return rows


def _cold_capacity(deployment: Deployment, seconds: float) -> float:
    step = 10.0 / math.log2(deployment.slots)
    return float(min(deployment.slots, 2 ** int(seconds / step)))


def _simulate_cold_start(ramp: bool) -> list[int]:
    planes = PlanePair(GUILD)
    owner = planes.owner
    if not ramp:
        owner.admission.ramp_limit = None
    peaks = [0] * 13
    running: collections.deque[tuple[float, int]] = collections.deque()
    for number in range(13_000):
        now = number / 1000
        while running and running[0][0] <= now:
            run_id = running.popleft()[1]
            answer = events.TargetAnswered(run_id, 200, [], b"")
            _track_started_runs(owner.target_event(answer, now), running, now)
        if number % 50 == 0:
            _track_started_runs(owner.tick(now), running, now)
        call = messages.Call(
            number, "lookups", "", "GET", "/lookups", [], b"", now + 2, "", 0
        )
        _track_started_runs(owner.call(planes.peer, call, now), running, now)
        peaks[int(now)] = max(peaks[int(now)], len(running))
    return peaks


def _track_started_runs(
    actions: list[events.Record],
    running: collections.deque[tuple[float, int]],
    now: float,
) -> None:
    for action in actions:
        if isinstance(action, events.RunOnTarget):
            running.append((now + SERVICE_SECONDS, action.run_id))


# Load amplification by retries.


def measure_amplification(count: int = 2000) -> list[Row]:
    """Count the calls per request to a service that refuses all calls."""
    rows = []
    for depth in (1, 5):
        with_budget = _amplification(depth, count, without_budget=False)
        # Each level may retry a tenth of its requests, plus the reserve of
        # its retry budget.
        bound = (1.1 + 10 / count) ** depth
        rows.append(
            row(
                f"traffic.amplification.depth_{depth}",
                with_budget,
                "calls/request",
                round(bound, 4),
                _amplification(depth, count, without_budget=True),
            )
        )
    return rows


def _amplification(depth: int, count: int, without_budget: bool) -> float:
    levels = [PlanePair(GUILD).entry for _ in range(depth)]
    calls = 0
    number = 0

    def send_at_level(level: int, attempt: int, now: float) -> bool:
        """Send a request at one level; all of its calls are refused."""
        nonlocal calls, number
        if level == depth:
            calls += 1
            return False
        number += 1
        if without_budget:
            return any(send_at_level(level + 1, 0, now) for _ in range(2))
        plane = levels[level]
        request = events.Request(
            number, "GET", "/lookups", "", [], b"", "", attempt, now, None
        )
        actions = plane.request(request, now)
        while not isinstance(actions[0], events.Respond):
            sent: Any = next(
                x for x in actions if isinstance(x, events.SendCall)
            )
            send_at_level(level + 1, sent.message.attempt, now)
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

    for request_index in range(count):
        send_at_level(0, 0, request_index * 0.01)
    return calls / count


# Crash quarantine.


def measure_victims() -> list[Row]:
    """Count the crashes that one request causes when resent for 4 s."""
    original = execution.ExecutionPlane._verdict

    def verdict_without_suspects(
        self: Any, call: Any, match: Any, now: float
    ) -> exceptions.Refusal | str:
        self.quarantine.suspects.clear()
        return original(self, call, match, now)

    crash_counts = []
    for verdict in (original, verdict_without_suspects):
        execution.ExecutionPlane._verdict = verdict  # type: ignore
        try:
            crash_counts.append(_count_crashes())
        finally:
            execution.ExecutionPlane._verdict = original  # type: ignore
    return [
        row("traffic.victims", crash_counts[0], "crashes", 2, crash_counts[1])
    ]


def _count_crashes() -> int:
    recorder = OutcomeRecorder("")
    recorder.on_run = lambda target, action: None  # type: ignore
    simulation = mesh.Mesh(GUILD.configuration(), GUILD.hosts(), recorder)
    simulation.advance(1.0)
    nodes = list(simulation.nodes.values())
    for number in range(40):
        node = nodes[number % len(nodes)]
        simulation.request(node, "GET", "/lookups", body=b"crash", tenant="")
        simulation.advance(0.1)
    return sum(node.owner.crashes for node in nodes)


# Memory of idempotency key records.


def measure_key_memory(count: int = 5000) -> list[Row]:
    """Measure the memory of one finished record with a body of 200 bytes."""
    store = idempotency.KeyStore("commission-desk-1", 1 << 60, random.Random())
    index = PlanePair(GUILD).entry.index
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
    return [row("traffic.key_record", used / count, "bytes", bound)]


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


def _apply_operations(
    current: models.Configuration, operations: list[Any]
) -> models.Configuration:
    version = current.version + 1
    patch = {
        "id": f"p{version}",
        "base": current.version,
        "operations": operations,
    }
    log_entry = models.LogEntry(version, 0, patch)
    accepted: models.Configuration = acceptance.accept(current, log_entry).ok
    return accepted


def _percentile(values: list[float], share: float = 0.99) -> float:
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else math.nan


if __name__ == "__main__":
    for item in measure_all():
        print(item)
