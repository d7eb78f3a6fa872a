"""Choose a target by locality tier and reported load.

A call goes to the nearest tier that is not saturated; within a tier, to the
less loaded of two random targets (power of two choices).
"""

from typing import Any

from hickorythread import interfaces
from hickorythread import models
from hickorythread import outliers

SATURATION_THRESHOLD = 0.9
LOAD_REPORT_TTL_SECONDS = 1.0
SUSPEND_SECONDS = 2.0
OWN_DOMAIN = 0
OWN_REGION = 1
OTHER_REGION = 2
TIER_NAMES = ("domain", "region", "remote")

HomeRegions = frozenset[str] | None


class Target:
    """Hold the load of one target as this node knows it.

    own_calls are this node's calls in flight, other_calls those of other
    nodes. The limit is 1 until the first reply reports one, since an
    unknown target may be cold.
    """

    __slots__ = (
        "host_id",
        "service",
        "region",
        "tier",
        "own_calls",
        "other_calls",
        "limit",
        "reported_at",
        "health",
    )

    def __init__(
        self, host: models.Host, tier: int, health: outliers.TargetHealth
    ) -> None:
        self.host_id = host.id
        self.service = host.service
        self.region = host.region
        self.tier = tier
        self.own_calls = 0
        self.other_calls = 0
        self.limit = 1
        self.reported_at = 0.0
        self.health = health

    def utilization(self, now: float) -> float:
        """Return the known calls divided by the reported limit.

        The calls of other nodes do not count once the report is stale.
        """
        if now - self.reported_at > LOAD_REPORT_TTL_SECONDS:
            return self.own_calls / self.limit
        return (self.own_calls + self.other_calls) / self.limit

    def update_load(self, load: list[Any], now: float) -> bool:
        """Apply the load of a reply; return False if it is malformed."""
        if len(load) < 3 or any(type(item) is not int for item in load):
            return False
        # The load that the owner reports includes this node's own calls.
        self.other_calls = max(0, load[0] + load[1] - self.own_calls)
        self.limit = max(1, load[2])
        self.reported_at = now
        return True


class Balancer:
    """Hold the targets of each service and their state as one node sees it."""

    def __init__(
        self,
        host_id: str,
        region: str,
        failure_domain: str,
        random_source: interfaces.RandomSource,
    ) -> None:
        self.host_id = host_id
        self.region = region
        self.failure_domain = failure_domain
        self.random = random_source.random
        self.detector = outliers.OutlierDetector()
        self.domain_states: dict[str, str] = {}
        self.hosts: dict[str, models.Host] = {}
        self.by_service: dict[str, dict[str, models.Host]] = {}
        self.targets: dict[str, Target] = {}
        self.unusable: set[str] = set()
        self.suspended_until: dict[str, float] = {}
        self.tier_cache: dict[str, dict[HomeRegions, list[list[Target]]]] = {}

    def choose(
        self,
        service: str,
        home_regions: HomeRegions,
        now: float,
        excluded_host_id: str = "",
    ) -> Target | None:
        """Return the target for a call, or None if none is usable.

        If all tiers are saturated, the least loaded of their choices is used.
        """
        tiers = self.tier_cache.get(service, {}).get(home_regions)
        if tiers is None:
            tiers = self._build_tiers(service, home_regions)
        fallback: Target | None = None
        lowest = 0.0
        for tier in tiers:
            chosen = self._choose_from_tier(tier, now, excluded_host_id)
            if chosen is None:
                continue
            load = chosen.utilization(now)
            if load < SATURATION_THRESHOLD:
                return chosen
            if fallback is None or load < lowest:
                fallback, lowest = chosen, load
        return fallback

    def _choose_from_tier(
        self, tier: list[Target], now: float, excluded_host_id: str
    ) -> Target | None:
        count = len(tier)
        if count == 0:
            return None
        index = int(self.random() * count)
        first = tier[index]
        if count == 1:
            return None if first.host_id == excluded_host_id else first
        other = int(self.random() * (count - 1))
        second = tier[other + (other >= index)]
        if first.host_id == excluded_host_id:
            return second
        if second.host_id == excluded_host_id:
            return first
        if second.utilization(now) < first.utilization(now):
            return second
        return first

    def succeeded(self, target: Target, latency: float) -> None:
        """Record a complete reply and its latency in seconds."""
        self.detector.record_success(target.health, latency)

    def failed(self, target: Target, now: float) -> bool:
        """Record a failure; return True if it ejected the target."""
        return self.detector.record_failure(target.health) and self._eject(
            target.host_id, now
        )

    def suspend(self, host_id: str, now: float) -> None:
        """Suspend a host for SUSPEND_SECONDS, as it admits no new calls."""
        if host_id not in self.suspended_until:
            self._invalidate_tiers(host_id)
        self.suspended_until[host_id] = now + SUSPEND_SECONDS

    def tick(self, now: float) -> list[str]:
        """Eject slow targets and reinstate those whose time has passed.

        Returns the ids of the ejected hosts.
        """
        for host_id in self.detector.reinstate(now):
            self._invalidate_tiers(host_id)
        expired = [
            name
            for name, until in self.suspended_until.items()
            if until <= now
        ]
        for host_id in expired:
            del self.suspended_until[host_id]
            self._invalidate_tiers(host_id)
        return [
            host_id
            for service in list(self.tier_cache)
            for tier in range(len(TIER_NAMES))
            for host_id in self.detector.slow_members(
                self._tier_members(service, tier)
            )
            if self._eject(host_id, now)
        ]

    def configuration_changed(
        self, configuration: models.Configuration
    ) -> None:
        """Apply the failure domain states of a new configuration version."""
        domain_states = {
            name: domain.state
            for name, domain in configuration.failure_domains.items()
        }
        if domain_states == self.domain_states:
            return
        for target in self.targets.values():
            domain = self.hosts[target.host_id].failure_domain
            if self.domain_states.get(domain) != domain_states.get(domain):
                # Targets are cold when their domain returns to service.
                target.limit = 1
                target.reported_at = 0.0
        self.domain_states = domain_states
        self.tier_cache.clear()

    def hosts_changed(
        self, changed: list[models.Host], removed: list[str]
    ) -> None:
        """Apply changes of the host list."""
        for host_id in removed:
            self._remove(host_id)
        for host in changed:
            old = self.hosts.get(host.id)
            if old is not None and _is_replaced(old, host):
                self._remove(host.id)
            self.hosts[host.id] = host
            self.by_service.setdefault(host.service, {})[host.id] = host
            self.tier_cache.pop(host.service, None)

    def peer_state_changed(self, host_id: str, usable: bool) -> None:
        """Record whether a node is usable."""
        if not usable:
            if host_id in self.hosts and host_id not in self.unusable:
                self.unusable.add(host_id)
                self._invalidate_tiers(host_id)
        elif host_id in self.unusable or host_id in self.suspended_until:
            self.unusable.discard(host_id)
            self.suspended_until.pop(host_id, None)
            self._invalidate_tiers(host_id)

    def target(self, host_id: str) -> Target | None:
        """Return the target of a host, or None if the host is not listed."""
        target = self.targets.get(host_id)
        if target is None and (host := self.hosts.get(host_id)):
            health = self.detector.health_of(host_id)
            target = Target(host, self._tier_of(host), health)
            self.targets[host_id] = target
        return target

    def describe(
        self, service: str, home_regions: HomeRegions, now: float
    ) -> dict[str, list[dict[str, Any]]]:
        """Return the candidates of each tier with their utilization."""
        tiers = self._build_tiers(service, home_regions)
        return {
            name: [
                {
                    "host": item.host_id,
                    "utilization": round(item.utilization(now), 3),
                    "limit": item.limit,
                }
                for item in tier
            ]
            for name, tier in zip(TIER_NAMES, tiers, strict=True)
        }

    def _build_tiers(
        self, service: str, home_regions: HomeRegions
    ) -> list[list[Target]]:
        tiers: list[list[Target]] = [[] for _ in TIER_NAMES]
        for host in self.by_service.get(service, {}).values():
            if self._is_candidate(host, home_regions):
                target = self.target(host.id)
                if target is not None and not target.health.ejected:
                    tiers[target.tier].append(target)
        self.tier_cache.setdefault(service, {})[home_regions] = tiers
        return tiers

    def _is_candidate(
        self, host: models.Host, home_regions: HomeRegions
    ) -> bool:
        return (
            host.state == "live"
            and self.domain_states.get(host.failure_domain) == "in"
            and (home_regions is None or host.region in home_regions)
            and host.id not in self.unusable
            and host.id not in self.suspended_until
        )

    def _tier_members(self, service: str, tier: int) -> list[str]:
        return [
            host.id
            for host in self.by_service.get(service, {}).values()
            if host.state == "live"
            and self.domain_states.get(host.failure_domain) == "in"
            and self._tier_of(host) == tier
        ]

    def _eject(self, host_id: str, now: float) -> bool:
        host = self.hosts.get(host_id)
        if host is None:
            return False
        members = self._tier_members(host.service, self._tier_of(host))
        ejected = self.detector.eject(host_id, members, now)
        self.tier_cache.pop(host.service, None)
        return ejected

    def _tier_of(self, host: models.Host) -> int:
        if host.failure_domain == self.failure_domain:
            return OWN_DOMAIN
        return OWN_REGION if host.region == self.region else OTHER_REGION

    def _invalidate_tiers(self, host_id: str) -> None:
        host = self.hosts.get(host_id)
        if host is not None:
            self.tier_cache.pop(host.service, None)

    def _remove(self, host_id: str) -> None:
        self._invalidate_tiers(host_id)
        host = self.hosts.pop(host_id, None)
        if host is not None:
            hosts = self.by_service[host.service]
            del hosts[host_id]
            if not hosts:
                del self.by_service[host.service]
        self.targets.pop(host_id, None)
        self.detector.forget(host_id)
        self.unusable.discard(host_id)
        self.suspended_until.pop(host_id, None)


def _is_replaced(old: models.Host, new: models.Host) -> bool:
    return (
        old.service != new.service
        or old.failure_domain != new.failure_domain
        or old.region != new.region
        or old.stream_address != new.stream_address
    )
