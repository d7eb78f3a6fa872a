"""Simulates the load of a deployment on the planes of a mesh."""

import heapq
import random

from hickorythread import messages as base_messages
from hickorythread.mesh import entry
from hickorythread.mesh import events
from hickorythread.mesh import execution
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import view
from tests import mesh_builders as build

REGIONS = {
    "launceston": "north",
    "devonport": "north",
    "hobart": "south",
    "kingston": "south",
}
SAME_DOMAIN_SECONDS = 0.0002
SAME_REGION_SECONDS = 0.0009
OTHER_REGION_SECONDS = 0.012
TICK_SECONDS = 0.02
# A host that wakes reads what waits for it within this time.
WAKE_SECONDS = 0.01
LATE_CREDIT = 0.3


class RequestKind:
    """Describe one kind of request and the calls that it makes.

    rate is the number of client requests per second, value the credit for a
    response in time, and calls holds (kind, count, probability).
    """

    def __init__(
        self, route, service_seconds, deadline, rate, value=1, calls=()
    ):
        self.route = route
        self.service_seconds = service_seconds
        self.deadline = deadline
        self.rate = rate
        self.value = value
        self.calls = calls


class Host:
    """Hold the planes of one sidecar and the target on its host.

    duration_factor scales the service times of the target.
    """

    def __init__(
        self, simulation, number, service, domain, slots, duration_factor
    ):
        self.simulation = simulation
        self.host_id = f"10.0.0.{number}"
        self.service = service
        self.domain = domain
        self.duration_factor = duration_factor
        self.shed_rate = 0.0
        # The limit that the target names, and (time, limit) of each change.
        self.rate_limit = None
        self.named_limits = []
        # A frozen host handles what came meanwhile at the first time, a host
        # that is cut off exchanges messages again at the second.
        self.awake_at = 0.0
        self.reachable_at = 0.0
        self.settings = build.make_settings(
            number, failure_domain=domain, regions=REGIONS, service=service
        )
        self.target = build.make_target(
            number, service=service, failure_domain=domain, slots=slots
        )
        self.start()

    def start(self):
        """Start the node of this host, without any knowledge."""
        self.view = view.View()
        self.entry = entry.EntryPlane(
            self.settings,
            self.view,
            random.Random(self.host_id),
            build.make_lease(self.settings),
        )
        self.execution = execution.ExecutionPlane(
            self.settings, self.view, self.simulation.now
        )

    def name_limit(self, rate):
        """Let the target name a limit in its responses, None for no limit."""
        self.rate_limit = rate
        self.named_limits.append((self.simulation.now, rate))

    def freeze(self, seconds):
        """Let this host handle nothing for some seconds."""
        self.awake_at = self.simulation.now + seconds

    def cut_off(self, seconds):
        """Hold the messages from and to this host for some seconds."""
        self.reachable_at = self.simulation.now + seconds

    def delay(self, function, *arguments):
        """Return whether an event has to wait until this host is awake."""
        if self.simulation.now >= self.awake_at:
            return False
        # Sockets are read in any order.
        when = self.awake_at + WAKE_SECONDS * self.simulation.random.random()
        self.simulation.schedule(when, function, *arguments)
        return True

    def perform(self, actions):
        for action in actions:
            if isinstance(action, events.Send):
                self.simulation.send(self, action.host_id, action.message)
            elif isinstance(action, events.Respond):
                self.simulation.responded(action.number, action.response)
            elif isinstance(action, events.Run):
                self.simulation.run(self, action)
            elif isinstance(action, events.Broadcast):
                for other in self.simulation.hosts.values():
                    if other is not self:
                        self.simulation.send(
                            self, other.host_id, action.message
                        )
            elif isinstance(action, events.Probe):
                answer = events.TargetResponse(
                    200,
                    [],
                    b"",
                    instance=self.target.id,
                    rate_limit=self.rate_limit,
                )
                self.simulation.schedule(
                    self.simulation.now, self.probed, answer
                )

    def probed(self, answer):
        self.perform(
            self.execution.handle_probe_result(answer, self.simulation.now)
        )

    def receive(self, sender, message):
        if self.delay(self.receive, sender, message):
            return
        now = self.simulation.now
        if isinstance(message, base_messages.Reply):
            self.perform(self.entry.reply(sender, message, now))
        elif isinstance(message, messages.Forward):
            self.perform(self.execution.call(sender, message, now))
        elif isinstance(message, base_messages.Cancel):
            self.perform(self.execution.cancel(sender, message.call_id, now))
        elif isinstance(message, messages.TargetState):
            self.perform(self.entry.target_state(sender, message, now))


class LoadSimulation:
    """Send requests of several kinds to hosts and add up the credit."""

    def __init__(self, hosts, kinds, seed=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.event_queue = []
        self.last_event_number = 0
        self.last_number = 0
        self.open_requests = {}
        self.credit = dict.fromkeys(kinds, 0.0)
        self.max_credit = dict.fromkeys(kinds, 0.0)
        self.statuses = {}
        self.sends = self.cross_domain_sends = 0
        # (time, service) of each request, and of each arrival at a target
        # that counts as a retry: beyond the first of its request, or of a
        # call that a retry makes.
        self.requested = []
        self.retried = []
        # (time, host) of each arrival at a target, and the seconds that each
        # request without a target's response was held.
        self.arrivals = []
        self.refused_after = []
        self.arrived = set()
        self.calls_of_retries = set()
        self.kinds = kinds
        self.hosts = {}
        for number, (service, domain, slots, duration_factor) in enumerate(
            hosts, 1
        ):
            host = Host(self, number, service, domain, slots, duration_factor)
            self.hosts[host.host_id] = host
        configuration = models.Configuration(
            1,
            [kind.route for kind in kinds.values()],
            {
                host.service: models.Service(
                    host.service, "/healthz", 120, 3.0, 16.0
                )
                for host in self.hosts.values()
            },
            models.Limits(16384, 1 << 20, 3.0, 15.0),
        )
        self.configuration = configuration
        for host in self.hosts.values():
            self.connect(host)
            self.schedule(0.0, self.tick, host)

    def connect(self, host):
        """Give a node its view and the streams to all hosts."""
        targets = {other.target.id: other.target for other in self.targets()}
        host.view.put_configuration(self.configuration)
        host.view.replace_targets(targets, build.make_position(1), self.now)
        host.entry.view_changed()
        for host_id in self.hosts:
            host.entry.peer_connected(host_id)

    def targets(self, service=None):
        """Return the hosts of a service, of all services if it is None."""
        return [
            host
            for host in self.hosts.values()
            if service in (None, host.service)
        ]

    def restart(self, host):
        """Replace the node of a host while its target goes on."""
        for number, request in list(self.open_requests.items()):
            if request[0] is host:
                del self.open_requests[number]
        host.start()
        self.connect(host)
        for other in self.targets():
            if other is not host:
                other.perform(other.entry.peer_lost(host.host_id, self.now))
                other.perform(
                    other.execution.peer_lost(host.host_id, self.now)
                )
                other.entry.peer_connected(host.host_id)

    def schedule(self, when, function, *arguments):
        self.last_event_number += 1
        event = (when, self.last_event_number, function, arguments)
        heapq.heappush(self.event_queue, event)

    def simulate(self, seconds):
        for name, kind in self.kinds.items():
            if kind.rate:
                self.schedule(
                    self.random.expovariate(kind.rate), self.arrive, name
                )
        while self.event_queue and self.event_queue[0][0] < seconds:
            self.now, _, function, arguments = heapq.heappop(self.event_queue)
            function(*arguments)

    def tick(self, host):
        if host.delay(self.tick, host):
            return
        host.perform(host.entry.tick(self.now))
        host.perform(host.execution.tick(self.now))
        self.schedule(self.now + TICK_SECONDS, self.tick, host)

    def arrive(self, name):
        kind = self.kinds[name]
        self.schedule(
            self.now + self.random.expovariate(kind.rate), self.arrive, name
        )
        host = self.random.choice(list(self.hosts.values()))
        self.max_credit[name] += kind.value
        self.request(host, name, self.now, 1, None)

    def request(
        self, host, name, started_at, retries, on_done, by_retry=False
    ):
        if host.delay(
            self.request, host, name, started_at, retries, on_done, by_retry
        ):
            return
        kind = self.kinds[name]
        self.last_number += 1
        remaining = kind.deadline - (self.now - started_at)
        request = build.make_request(
            self.last_number,
            host=kind.route.host,
            path=f"{kind.route.prefix}{self.last_number}",
            received_at=self.now,
            remaining=remaining,
        )
        service = kind.route.destinations[0][0]
        self.requested.append((self.now, service))
        if by_retry:
            self.calls_of_retries.add(request.request_id)
        self.open_requests[self.last_number] = (
            host,
            name,
            started_at,
            retries,
            on_done,
        )
        host.perform(
            host.entry.request(
                request,
                self.now,
                len(host.execution.runs),
                host.execution.running_retries,
            )
        )

    def responded(self, number, response):
        if number not in self.open_requests:
            return
        host, name, started_at, retries, on_done = self.open_requests.pop(
            number
        )
        kind = self.kinds[name]
        if on_done is not None:
            on_done(response.status == 200)
            return
        key = (name, response.status)
        self.statuses[key] = self.statuses.get(key, 0) + 1
        elapsed = self.now - started_at
        if response.status == 503 and not response.from_target:
            self.refused_after.append(elapsed)
        if response.status == 200:
            late = elapsed > kind.route.objective
            self.credit[name] += kind.value * (LATE_CREDIT if late else 1.0)
        elif retries and elapsed < kind.deadline / 2:
            wait = min(response.retry_after, (kind.deadline - elapsed) / 3)
            if kind.route.idempotent or response.status == 503:
                self.schedule(
                    self.now + wait,
                    self.request,
                    host,
                    name,
                    started_at,
                    retries - 1,
                    None,
                )

    def send(self, host, host_id, message):
        other = self.hosts[host_id]
        delay = 0.0
        if other is not host:
            delay = OTHER_REGION_SECONDS
            if other.domain == host.domain:
                delay = SAME_DOMAIN_SECONDS
            elif REGIONS[other.domain] == REGIONS[host.domain]:
                delay = SAME_REGION_SECONDS
        if isinstance(message, messages.Forward):
            self.sends += 1
            self.cross_domain_sends += other.domain != host.domain
            delay += max(self.now, host.reachable_at, other.reachable_at)
            delay -= self.now
        self.schedule(self.now + delay, other.receive, host.host_id, message)

    def record_arrival(self, host, request_id):
        """Return whether an arrival at a target counts as a retry."""
        self.arrivals.append((self.now, host.host_id))
        is_retry = request_id in self.arrived
        if is_retry or request_id in self.calls_of_retries:
            self.retried.append((self.now, host.service))
        self.arrived.add(request_id)
        return is_retry

    def max_retry_excess(self, share, window):
        """Return by how much retries exceed a share of the requests at most.

        It looks at each service and each span of window seconds that starts
        at a whole second.
        """
        excess = 0.0
        for service in {host.service for host in self.hosts.values()}:
            for start in range(int(self.now - window) + 1):
                requests, retries = (
                    sum(
                        start <= when < start + window and name == service
                        for when, name in entries
                    )
                    for entries in (self.requested, self.retried)
                )
                excess = max(excess, retries - share * requests)
        return excess

    def run(self, host, action):
        is_retry = self.record_arrival(host, action.call.request_id)
        kind = next(
            kind
            for kind in self.kinds.values()
            if kind.route.name == action.call.route
        )
        if self.random.random() < host.shed_rate:
            self.schedule(
                self.now + 0.001,
                self.finish,
                host,
                action,
                events.TargetResponse(503, [], b"", not_run=True),
            )
            return
        duration = (
            kind.service_seconds
            * host.duration_factor
            * self.random.lognormvariate(-0.18, 0.6)
        )
        calls = [
            name
            for name, times, share in kind.calls
            for _ in range(times)
            if self.random.random() < share
        ]
        self.schedule(
            self.now + duration,
            self.call_next,
            host,
            action,
            calls,
            is_retry,
        )

    def call_next(self, host, action, calls, is_retry):
        if self.now > action.deadline:
            self.finish(host, action, events.TargetResponse(504, [], b""))
            return
        if not calls:
            self.finish(host, action, events.TargetResponse(200, [], b""))
            return

        def on_done(succeeded):
            if succeeded:
                self.call_next(host, action, calls[1:], is_retry)
            else:
                self.finish(host, action, events.TargetResponse(500, [], b""))

        self.request(host, calls[0], self.now, 0, on_done, is_retry)

    def finish(self, host, action, answer):
        if host.delay(self.finish, host, action, answer):
            return
        run = host.execution.runs.get(action.run_id)
        if run is not None and run.call is action.call:
            answer.rate_limit = host.rate_limit
            host.perform(
                host.execution.handle_response(action.run_id, answer, self.now)
            )

    def summary(self):
        shares = {
            name: self.credit[name] / max_credit
            for name, max_credit in self.max_credit.items()
            if max_credit
        }
        total = sum(self.credit.values()) / sum(self.max_credit.values())
        return total, shares, self.cross_domain_sends / max(1, self.sends)


def guild(scale=1.0, seed=1, slots=12):
    """Return the guild deployment at a multiple of its usual load."""
    hosts = [("spec-desk", "launceston", slots, 0.7)]
    duration_factors = {
        "spec-desk": (0.7, 1.6, 0.7, 1.6),
        "commission-desk": (0.6, 1.0, 1.4, 1.0),
        "kiln-desk": (0.7, 1.6, 0.7, 0.7),
    }
    for service, values in duration_factors.items():
        hosts += [
            (service, domain, slots, duration_factor)
            for domain, duration_factor in zip(REGIONS, values, strict=True)
        ]

    def route(name, service, **values):
        return build.make_route(name, destinations=[(service, 1.0)], **values)

    kinds = {
        "panel-spec": RequestKind(
            route("panel-spec", "spec-desk", priority=2),
            0.16,
            2.0,
            185 * scale,
            1,
            [("builder-check", 2, 0.7)],
        ),
        "commission-lodge": RequestKind(
            route(
                "commission-lodge",
                "commission-desk",
                idempotent=False,
                objective=0.6,
                timeout=1.2,
                home_regions=["north"],
            ),
            0.21,
            2.5,
            59.5 * scale,
            2,
            [("kiln-slots", 1, 0.7)],
        ),
        "kiln-book": RequestKind(
            route(
                "kiln-book",
                "kiln-desk",
                idempotent=False,
                objective=0.4,
                timeout=0.8,
                priority=0,
            ),
            0.11,
            1.5,
            56.2 * scale,
            3,
        ),
        "builder-check": RequestKind(
            route("builder-check", "commission-desk", objective=0.15),
            0.04,
            0.5,
            0,
            0,
        ),
        "kiln-slots": RequestKind(
            route("kiln-slots", "kiln-desk", objective=0.15),
            0.04,
            0.5,
            0,
            0,
        ),
    }
    return LoadSimulation(hosts, kinds, seed)


def lookups(targets, scale=1.0, seed=1):
    """Return a deployment of one service with many small targets.

    At a scale of 1.0 all slots are in use on average.
    """
    slots, service_seconds = 4, 0.16
    domains = list(REGIONS)
    hosts = [
        (
            "spec-desk",
            domains[number % 4],
            slots,
            (0.7, 1.6, 0.7, 1.0)[number % 4],
        )
        for number in range(targets)
    ]
    route = build.make_route("panel-spec", destinations=[("spec-desk", 1.0)])
    rate = scale * targets * slots / service_seconds
    kind = RequestKind(route, service_seconds, 2.0, rate)
    return LoadSimulation(hosts, {"panel-spec": kind}, seed)
