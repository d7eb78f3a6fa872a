"""Choose an upstream: nearest tier, two random choices, reported load."""

from typing import Any

from hickorythread import interfaces
from hickorythread import models
from hickorythread import outliers

SATURATED = 0.9
REPORT_SECONDS = 1.0
ASIDE_SECONDS = 2.0
OWN_DOMAIN = 0
OWN_REGION = 1
OTHER_REGION = 2
TIER_NAMES = ("domain", "region", "remote")

Homes = frozenset[str] | None


class Upstream:
    """Hold what this node knows of the load of one upstream.

    The limit is 1 until the first report, as an unknown upstream may be
    cold.
    """

    __slots__ = (
        "host_id",
        "service",
        "region",
        "tier",
        "own",
        "others",
        "limit",
        "reported_at",
        "health",
    )

    def __init__(
        self, host: models.Host, tier: int, health: outliers.UpstreamHealth
    ) -> None:
        self.host_id = host.id
        self.service = host.service
        self.region = host.region
        self.tier = tier
        self.own = 0
        self.others = 0
        self.limit = 1
        self.reported_at = 0.0
        self.health = health

    def utilization(self, now: float) -> float:
        """Return own and reported calls over the reported limit."""
        if now - self.reported_at > REPORT_SECONDS:
            return self.own / self.limit
        return (self.own + self.others) / self.limit

    def update_load(self, load: list[Any], now: float) -> bool:
        """Take the load of a reply; False if it is malformed."""
        if len(load) < 3 or any(type(item) is not int for item in load):
            return False
        # The owner counts the calls of this node as well.
        self.others = max(0, load[0] + load[1] - self.own)
        self.limit = max(1, load[2])
        self.reported_at = now
        return True


class Balancer:
    """Hold the candidates of each service as seen from one node."""

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
        self.domains: dict[str, str] = {}
        self.hosts: dict[str, models.Host] = {}
        self.by_service: dict[str, dict[str, models.Host]] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.unusable: set[str] = set()
        self.aside: dict[str, float] = {}
        self.tiers: dict[str, dict[Homes, list[list[Upstream]]]] = {}

    def choose(
        self, service: str, homes: Homes, now: float, excluded: str = ""
    ) -> Upstream | None:
        """Return the upstream for a call, or None if there is none."""
        tiers = self.tiers.get(service, {}).get(homes)
        if tiers is None:
            tiers = self._build(service, homes)
        fallback: Upstream | None = None
        lowest = 0.0
        for tier in tiers:
            chosen = self._sample(tier, now, excluded)
            if chosen is None:
                continue
            load = chosen.utilization(now)
            if load < SATURATED:
                return chosen
            if fallback is None or load < lowest:
                fallback, lowest = chosen, load
        return fallback

    def _sample(
        self, tier: list[Upstream], now: float, excluded: str
    ) -> Upstream | None:
        count = len(tier)
        if count == 0:
            return None
        index = int(self.random() * count)
        first = tier[index]
        if count == 1:
            return None if first.host_id == excluded else first
        other = int(self.random() * (count - 1))
        second = tier[other + (other >= index)]
        if first.host_id == excluded:
            return second
        if second.host_id == excluded:
            return first
        if second.utilization(now) < first.utilization(now):
            return second
        return first

    def succeeded(self, upstream: Upstream, latency: float) -> None:
        """Note a complete reply and its latency in seconds."""
        self.detector.succeeded(upstream.health, latency)

    def failed(self, upstream: Upstream, now: float) -> bool:
        """Note a failure; True if it ejected the upstream."""
        return self.detector.failed(upstream.health) and self._eject(
            upstream.host_id, now
        )

    def set_aside(self, host_id: str, now: float) -> None:
        """Avoid a host that admits no new work at the moment."""
        if host_id not in self.aside:
            self._forget_tiers(host_id)
        self.aside[host_id] = now + ASIDE_SECONDS

    def tick(self, now: float) -> list[str]:
        """Eject slow upstreams, and use those again whose time is over.

        Returns the ids of the ejected hosts.
        """
        for host_id in self.detector.reinstate(now):
            self._forget_tiers(host_id)
        over = [name for name, until in self.aside.items() if until <= now]
        for host_id in over:
            del self.aside[host_id]
            self._forget_tiers(host_id)
        return [
            host_id
            for service in list(self.tiers)
            for tier in range(len(TIER_NAMES))
            for host_id in self.detector.slow_members(
                self._members(service, tier)
            )
            if self._eject(host_id, now)
        ]

    def configuration_changed(
        self, configuration: models.Configuration
    ) -> None:
        """Take the states of the failure domains of a new version."""
        domains = {
            name: domain.state
            for name, domain in configuration.failure_domains.items()
        }
        if domains == self.domains:
            return
        for upstream in self.upstreams.values():
            domain = self.hosts[upstream.host_id].failure_domain
            if self.domains.get(domain) != domains.get(domain):
                # The upstreams of a domain that returns are cold.
                upstream.limit = 1
                upstream.reported_at = 0.0
        self.domains = domains
        self.tiers.clear()

    def hosts_changed(
        self, changed: list[models.Host], removed: list[str]
    ) -> None:
        """Put changed hosts in force."""
        for host_id in removed:
            self._remove(host_id)
        for host in changed:
            old = self.hosts.get(host.id)
            if old is not None and _is_replaced(old, host):
                self._remove(host.id)
            self.hosts[host.id] = host
            self.by_service.setdefault(host.service, {})[host.id] = host
            self.tiers.pop(host.service, None)

    def peer_state_changed(self, host_id: str, usable: bool) -> None:
        """Note whether a node answers."""
        if not usable:
            if host_id in self.hosts and host_id not in self.unusable:
                self.unusable.add(host_id)
                self._forget_tiers(host_id)
        elif host_id in self.unusable or host_id in self.aside:
            self.unusable.discard(host_id)
            self.aside.pop(host_id, None)
            self._forget_tiers(host_id)

    def upstream(self, host_id: str) -> Upstream | None:
        """Return the load entry of a listed host."""
        upstream = self.upstreams.get(host_id)
        if upstream is None and (host := self.hosts.get(host_id)):
            health = self.detector.health_of(host_id)
            upstream = Upstream(host, self._tier_of(host), health)
            self.upstreams[host_id] = upstream
        return upstream

    def describe(
        self, service: str, homes: Homes, now: float
    ) -> dict[str, list[dict[str, Any]]]:
        """Return the usable candidates of each tier with their loads."""
        tiers = self._build(service, homes)
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

    def _build(self, service: str, homes: Homes) -> list[list[Upstream]]:
        tiers: list[list[Upstream]] = [[] for _ in TIER_NAMES]
        for host in self.by_service.get(service, {}).values():
            if self._is_candidate(host, homes):
                upstream = self.upstream(host.id)
                if upstream is not None and not upstream.health.ejected:
                    tiers[upstream.tier].append(upstream)
        self.tiers.setdefault(service, {})[homes] = tiers
        return tiers

    def _is_candidate(self, host: models.Host, homes: Homes) -> bool:
        return (
            host.state == "live"
            and self.domains.get(host.failure_domain) == "in"
            and (homes is None or host.region in homes)
            and host.id not in self.unusable
            and host.id not in self.aside
        )

    def _members(self, service: str, tier: int) -> list[str]:
        return [
            host.id
            for host in self.by_service.get(service, {}).values()
            if host.state == "live"
            and self.domains.get(host.failure_domain) == "in"
            and self._tier_of(host) == tier
        ]

    def _eject(self, host_id: str, now: float) -> bool:
        host = self.hosts.get(host_id)
        if host is None:
            return False
        members = self._members(host.service, self._tier_of(host))
        ejected = self.detector.eject(host_id, members, now)
        self.tiers.pop(host.service, None)
        return ejected

    def _tier_of(self, host: models.Host) -> int:
        if host.failure_domain == self.failure_domain:
            return OWN_DOMAIN
        return OWN_REGION if host.region == self.region else OTHER_REGION

    def _forget_tiers(self, host_id: str) -> None:
        host = self.hosts.get(host_id)
        if host is not None:
            self.tiers.pop(host.service, None)

    def _remove(self, host_id: str) -> None:
        self._forget_tiers(host_id)
        host = self.hosts.pop(host_id, None)
        if host is not None:
            hosts = self.by_service[host.service]
            del hosts[host_id]
            if not hosts:
                del self.by_service[host.service]
        self.upstreams.pop(host_id, None)
        self.detector.forget(host_id)
        self.unusable.discard(host_id)
        self.aside.pop(host_id, None)


def _is_replaced(old: models.Host, new: models.Host) -> bool:
    return (
        old.service != new.service
        or old.failure_domain != new.failure_domain
        or old.region != new.region
        or old.stream_address != new.stream_address
    )
