"""Select the target of a request by load, distance, failures and latency."""

import collections
from collections.abc import Collection
from collections.abc import Iterator
import math

from hickorythread import interfaces
from hickorythread.mesh import capacity
from hickorythread.mesh import models

# Costs of distance, as a share of a target's limit: a nearer target is
# preferred until its load exceeds that of a farther one by the difference.
SAME_HOST_COST = 0.0
SAME_DOMAIN_COST = 0.05
SAME_REGION_COST = 0.7
OTHER_REGION_COST = 1.0
FAILURE_WEIGHT = 1.5
FAILURE_SMOOTHING = 0.15
FAILURE_HALF_LIFE_SECONDS = 2.0
# A target whose mean latency exceeds this share of the objective is penalized
# but not excluded, since a late response is worth more than none.
SLOW_OBJECTIVE_SHARE = 0.8
SLOW_WEIGHT = 1.5
SLOW_HALF_LIFE_SECONDS = 3.0
LOAD_HALF_LIFE_SECONDS = 1.0
UNKNOWN_LOAD_SHARE = 0.4
JITTER = 0.05
# A target that gets no requests because of its pace is tried again once the
# pace has faded.
PACE_HALF_LIFE_SECONDS = 10.0
# A full service needs its slow targets too, so that placement takes no target
# for faster or slower than this.
MIN_PACE_RATIO = 0.5
MAX_PACE_RATIO = 2.0
# Targets in home regions of other routes cost this much more per share of the
# limit in use beyond this share. They keep most of their preference over those
# of other regions, since bytes between regions cost most.
HEADROOM_LOAD_SHARE = 0.5
HEADROOM_WEIGHT = 1.0
# A choice looks at all targets of a small tier. The best of a random sample
# is nearly as good in a large one, and nodes with the same reports choose
# different targets.
MAX_WHOLE_TIER = 512
SAMPLE_TARGETS = 64
MAX_SAMPLED_TARGETS = 512
# How long a node takes its word for it that the rate limit of a target is
# spent. The wait that a refusal names may be longer, but other nodes may send
# less by then.
MAX_RATE_REFUSAL_SECONDS = 0.25

# Reason of an exclusion.
RATE_LIMITED = "rate-limited"


class PeerState:
    """Hold the load, failures and latencies that this node knows of a target.

    load counts the running and queued requests at reported_at,
    sent_since_report the calls that this node sent later, and open_calls its
    calls without a reply. rate_limited is True if the target names a rate
    limit. Until rate_refused_until, it has no starts left under that limit
    for requests that are not more urgent than rate_refused_priority; the next
    start for them is expected at rate_start_at, which may be later. pace is
    how long work takes there in percent of what is usual, known at pace_at.
    """

    __slots__ = (
        "limit",
        "load",
        "rate_limited",
        "reported_at",
        "sent_since_report",
        "open_calls",
        "pace",
        "pace_at",
        "failures",
        "failed_at",
        "route_latencies",
        "suspended_until",
        "rate_refused_until",
        "rate_refused_priority",
        "rate_start_at",
        "usable",
        "silent",
    )

    def __init__(self) -> None:
        self.limit = 0
        self.load = 0.0
        self.rate_limited = False
        self.reported_at = -math.inf
        self.sent_since_report = 0
        self.open_calls = 0
        self.pace = capacity.USUAL_PACE
        self.pace_at = -math.inf
        self.failures = 0.0
        self.failed_at = 0.0
        self.route_latencies: dict[str, tuple[float, float]] = {}
        self.suspended_until = 0.0
        self.rate_refused_until = 0.0
        self.rate_refused_priority = 0
        self.rate_start_at = 0.0
        self.usable = True
        self.silent = False

    def update_load(
        self, load: list[int], now: float, route: str = ""
    ) -> None:
        """Store the load that a reply or a TargetState message carries."""
        running, waiting, limit = load[:3]
        if route and len(load) > 3:
            self.route_latencies[route] = (load[3] / 1000.0, now)
        self.rate_limited = len(load) > 4 and load[4] > 0
        self.update_pace(load, now)
        self.load = float(running + waiting)
        self.limit = max(1, limit)
        self.reported_at = now
        self.sent_since_report = 0

    def update_pace(self, load: list[int], now: float) -> None:
        """Store the pace in a load list, if it holds one."""
        if len(load) > 5 and load[5] > 0:
            pace = max(load[5], capacity.MIN_PACE)
            self.pace = min(pace, capacity.MAX_PACE)
            self.pace_at = now

    def pace_ratio(self, now: float) -> float:
        """Return how long work takes, 1.0 if as usual or not known."""
        if self.pace == capacity.USUAL_PACE:
            return 1.0
        weight = math.exp2((self.pace_at - now) / PACE_HALF_LIFE_SECONDS)
        ratio = 1.0 + weight * (self.pace / capacity.USUAL_PACE - 1.0)
        return min(max(ratio, MIN_PACE_RATIO), MAX_PACE_RATIO)

    def expected_load(self, slots: int, now: float) -> float:
        """Return the running and queued requests, estimated from a report."""
        limit = self.limit or slots
        # The same arrivals keep more slots of a slow target in use.
        prior = UNKNOWN_LOAD_SHARE * limit * self.pace_ratio(now)
        age = now - self.reported_at
        report_weight = math.exp2(-age / LOAD_HALF_LIFE_SECONDS)
        estimate = report_weight * self.load + (1.0 - report_weight) * min(
            prior, self.load
        )
        if self.limit == 0:
            estimate = prior
        return max(estimate + self.sent_since_report, float(self.open_calls))

    def record_result(self, failed: bool, now: float) -> None:
        """Update the failure rate with the result of a call."""
        current = self.failure_rate(now)
        self.failures = current + FAILURE_SMOOTHING * (failed - current)
        self.failed_at = now

    def record_rate_refusal(
        self, priority: int, wait: float, now: float
    ) -> None:
        """Record that the target refused a request for its rate limit."""
        if not self.rate_refuses(priority, now):
            self.rate_refused_priority = priority
            self.rate_refused_until = now + min(wait, MAX_RATE_REFUSAL_SECONDS)
            self.rate_start_at = now + wait

    def rate_refuses(self, priority: int, now: float) -> bool:
        """Return whether a recent refusal covers requests of a priority."""
        return (
            now < self.rate_refused_until
            and priority >= self.rate_refused_priority
        )

    def excess_latency(
        self,
        route: models.Route,
        now: float,
        usual: float = 0.0,
        waiting: float = 0.0,
    ) -> float:
        """Return the latency above the limit as a share of the objective.

        The value decays exponentially with the age of the measurement. usual
        is the usual run time of the route, and waiting how many times the
        limit waits. The load stands for the usual wait, so that only the
        additional one for a slow target is part of the latency.
        """
        pace = self.pace_ratio(now)
        latency, measured_at = self.route_latencies.get(route.name, (0.0, now))
        if pace > 1.0:
            latency = latency or usual * pace
            latency += waiting * latency * (1.0 - 1.0 / pace)
        excess = latency / route.objective - SLOW_OBJECTIVE_SHARE
        if excess <= 0.0:
            return 0.0
        return excess * math.exp2((measured_at - now) / SLOW_HALF_LIFE_SECONDS)

    def failure_rate(self, now: float) -> float:
        """Return the recent failure rate, which decays exponentially."""
        age = now - self.failed_at
        return self.failures * math.exp2(-age / FAILURE_HALF_LIFE_SECONDS)


class Placement:
    """Select among the targets of a service."""

    def __init__(
        self,
        host_id: str,
        failure_domain: str,
        regions: dict[str, str],
        random_source: interfaces.RandomSource,
    ) -> None:
        self.host_id = host_id
        self.failure_domain = failure_domain
        self.regions = regions
        self.region = regions.get(failure_domain, "")
        self.random_source = random_source
        self.peers: dict[str, PeerState] = {}
        self.connected: set[str] = {host_id}
        self.usual_times = capacity.UsualTimes()
        # The regions outside of which some routes to a service cannot go,
        # for services with other routes that can.
        self.home_regions: dict[str, frozenset[str]] = {}
        self.tiers: dict[
            int,
            tuple[
                Collection[models.Target],
                list[tuple[float, list[models.Target]]],
            ],
        ] = {}

    def peer(self, host_id: str) -> PeerState:
        """Return the state of a host, created if there is none."""
        peer = self.peers.get(host_id)
        if peer is None:
            peer = self.peers[host_id] = PeerState()
        return peer

    def choose(
        self,
        targets: Collection[models.Target],
        route: models.Route,
        evacuated: frozenset[str],
        excluded: Collection[str],
        now: float,
        ignore_distance: bool = False,
    ) -> models.Target | None:
        """Return the target with the lowest score for a route, or None."""
        best: models.Target | None = None
        best_score = math.inf
        for distance, tier in self._tiers(targets):
            if ignore_distance:
                distance = 0.0
            if best_score <= distance:
                # No score is below the cost of the distance.
                break
            for target in self._candidates(
                tier, route, evacuated, excluded, now
            ):
                score = distance + self.score(target, route, now)
                score += JITTER * self.random_source.random()
                if score < best_score:
                    best, best_score = target, score
        return best

    def _candidates(
        self,
        tier: list[models.Target],
        route: models.Route,
        evacuated: frozenset[str],
        excluded: Collection[str],
        now: float,
    ) -> Iterator[models.Target]:
        """Return the usable targets of a tier, of a large one some of them.

        All targets of a large tier are looked at only while none is usable.
        """
        size = len(tier)
        is_large = size > MAX_WHOLE_TIER
        start = int(self.random_source.random() * size) if is_large else 0
        found = 0
        for looked_at in range(size):
            if is_large and found:
                if found >= SAMPLE_TARGETS or looked_at >= MAX_SAMPLED_TARGETS:
                    return
            target = tier[(start + looked_at) % size]
            if target.host_id in excluded:
                continue
            if self.usable(target, route, evacuated, now):
                found += 1
                yield target

    def _tiers(
        self, targets: Collection[models.Target]
    ) -> list[tuple[float, list[models.Target]]]:
        """Return targets by the cost of their distance, the nearest first.

        The result is kept until targets_changed().
        """
        known = self.tiers.get(id(targets))
        if known is not None:
            return known[1]
        by_distance: dict[float, list[models.Target]] = {}
        for target in targets:
            by_distance.setdefault(self.distance(target), []).append(target)
        tiers = sorted(by_distance.items())
        # The reference to the targets keeps their id from being used again.
        self.tiers[id(targets)] = targets, tiers
        return tiers

    def targets_changed(self) -> None:
        """Drop the order of the targets after a change of the view."""
        self.tiers.clear()

    def usable(
        self,
        target: models.Target,
        route: models.Route,
        evacuated: frozenset[str],
        now: float,
    ) -> bool:
        """Return whether a request of the route may be sent to a target."""
        return not self.exclusion(target, route, evacuated, now)

    def exclusion(
        self,
        target: models.Target,
        route: models.Route,
        evacuated: frozenset[str],
        now: float,
    ) -> str:
        """Return why a target gets no requests of a route, empty if it may."""
        host_id = target.host_id
        if target.draining:
            return "draining"
        if target.failure_domain in evacuated:
            return "evacuated"
        if host_id not in self.connected:
            return "not-connected"
        region = self.regions.get(target.failure_domain, "")
        if not route.allows(region):
            return "home-region"
        peer = self.peer(host_id)
        if not peer.usable:
            return "unusable"
        if peer.silent:
            return "silent"
        if now < peer.suspended_until:
            return "suspended"
        if peer.rate_refuses(route.priority, now):
            return RATE_LIMITED
        return ""

    def has_rate_limit(self, targets: Collection[models.Target]) -> bool:
        """Return whether one of the targets has reported a rate limit."""
        return any(
            target.host_id in self.peers
            and self.peers[target.host_id].rate_limited
            for target in targets
        )

    def has_room(self, target: models.Target, now: float) -> bool:
        """Return whether a target can probably start a request at once."""
        peer = self.peer(target.host_id)
        limit = peer.limit or target.slots
        return peer.expected_load(target.slots, now) + 1 <= limit

    def rate_limit_wait(
        self,
        targets: Collection[models.Target],
        route: models.Route,
        evacuated: frozenset[str],
        now: float,
    ) -> float | None:
        """Return the seconds until a rate limit is to allow a request again.

        Returns None if rate limits exclude none of the targets.
        """
        return min(
            (
                self.peer(target.host_id).rate_start_at - now
                for target in targets
                if self.exclusion(target, route, evacuated, now)
                == RATE_LIMITED
            ),
            default=None,
        )

    def explain(
        self,
        targets: Collection[models.Target],
        route: models.Route,
        evacuated: frozenset[str],
        excluded: Collection[str],
        now: float,
    ) -> str:
        """Return how many targets each reason excludes, for the log."""
        counts = collections.Counter(
            "tried"
            if target.host_id in excluded
            else self.exclusion(target, route, evacuated, now) or "usable"
            for target in targets
        )
        return ",".join(
            f"{reason}:{count}" for reason, count in sorted(counts.items())
        )

    def score(
        self, target: models.Target, route: models.Route, now: float
    ) -> float:
        """Return the cost of the state of a target, without its distance."""
        peer = self.peer(target.host_id)
        limit = peer.limit or target.slots
        pace = peer.pace_ratio(now)
        load = (peer.expected_load(target.slots, now) + pace) / limit
        waiting = max(0.0, load - 1.0)
        failures = FAILURE_WEIGHT * peer.failure_rate(now)
        usual_ms = self.usual_times.mean_ms(target.service, route.name)
        latency_penalty = SLOW_WEIGHT * peer.excess_latency(
            route, now, usual_ms / 1000.0, waiting
        )
        headroom = self._headroom_cost(target, route, load)
        return load + failures + latency_penalty + headroom

    def _headroom_cost(
        self, target: models.Target, route: models.Route, load: float
    ) -> float:
        """Return the cost of using capacity that restricted routes need."""
        if route.home_regions or target.service not in self.home_regions:
            return 0.0
        region = self.regions.get(target.failure_domain, "")
        if region not in self.home_regions[target.service]:
            return 0.0
        return HEADROOM_WEIGHT * max(0.0, load - HEADROOM_LOAD_SHARE)

    def set_routes(self, routes: Collection[models.Route]) -> None:
        """Record the home regions that restricted routes depend on."""
        restricted: dict[str, set[str]] = {}
        unrestricted: set[str] = set()
        for route in routes:
            for service, _ in route.destinations:
                if route.home_regions:
                    regions = restricted.setdefault(service, set())
                    regions.update(route.home_regions)
                else:
                    unrestricted.add(service)
        self.home_regions = {
            service: frozenset(regions)
            for service, regions in restricted.items()
            if service in unrestricted
            and not regions.issuperset(self.regions.values())
        }

    def distance(self, target: models.Target) -> float:
        """Return the cost of the distance to a target."""
        if target.host_id == self.host_id:
            return SAME_HOST_COST
        if target.failure_domain == self.failure_domain:
            return SAME_DOMAIN_COST
        region = self.regions.get(target.failure_domain, "")
        return SAME_REGION_COST if region == self.region else OTHER_REGION_COST

    def suspend(self, host_id: str, seconds: float, now: float) -> None:
        """Exclude a host from selection for some seconds."""
        self.peer(host_id).suspended_until = now + seconds

    def keep_only(self, host_ids: set[str]) -> None:
        """Drop the state of hosts without a target and without open calls."""
        self.usual_times.keep_only(host_ids)
        for host_id in self.peers.keys() - host_ids - {self.host_id}:
            if not self.peers[host_id].open_calls:
                del self.peers[host_id]
