"""Eject upstreams that fail or are much slower than their peers."""

import heapq
import statistics

MAX_CONSECUTIVE_FAILURES = 5
MEDIAN_FACTOR = 3.0
MIN_EXCESS_SECONDS = 0.005
MIN_SAMPLES = 8
MIN_MEMBERS = 3
SMOOTHING = 0.2
EJECT_SECONDS = 5.0
MAX_EJECT_SECONDS = 60.0
FORGIVE_SECONDS = 120.0


class UpstreamHealth:
    """Hold what this node observed of one upstream."""

    __slots__ = (
        "failures",
        "latency",
        "samples",
        "ejected_until",
        "ejected_at",
        "times",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.latency = 0.0
        self.samples = 0
        self.ejected_until = 0.0
        self.ejected_at = 0.0
        self.times = 0

    @property
    def ejected(self) -> bool:
        """Return whether the upstream is out of use."""
        return self.ejected_until > 0.0


class OutlierDetector:
    """Decide which upstreams are ejected and when they come back.

    Whoever calls it passes the tier of the upstream, so that never more
    than half of a tier's members are ejected.
    """

    __slots__ = ("health", "returning")

    def __init__(self) -> None:
        self.health: dict[str, UpstreamHealth] = {}
        self.returning: list[tuple[float, str]] = []

    def health_of(self, host_id: str) -> UpstreamHealth:
        """Return the health of an upstream, new if it was not used."""
        health = self.health.get(host_id)
        if health is None:
            health = self.health[host_id] = UpstreamHealth()
        return health

    def succeeded(self, health: UpstreamHealth, latency: float) -> None:
        """Note a reply and the time that it took in seconds."""
        health.failures = 0
        health.samples += 1
        if health.latency == 0.0:
            health.latency = latency
        else:
            health.latency += SMOOTHING * (latency - health.latency)

    def failed(self, health: UpstreamHealth) -> bool:
        """Note a failure; True if it is one too many."""
        health.failures += 1
        return health.failures >= MAX_CONSECUTIVE_FAILURES

    def eject(self, host_id: str, tier: list[str], now: float) -> bool:
        """Eject a member of a tier unless half of the tier is ejected."""
        health = self.health_of(host_id)
        if health.ejected:
            return False
        ejected = sum(
            1
            for name in tier
            if (other := self.health.get(name)) and other.ejected
        )
        if 2 * (ejected + 1) > len(tier):
            return False
        if now - health.ejected_at > FORGIVE_SECONDS:
            health.times = 0
        seconds = min(EJECT_SECONDS * 2**health.times, MAX_EJECT_SECONDS)
        health.times += 1
        health.ejected_at = now
        health.ejected_until = now + seconds
        heapq.heappush(self.returning, (health.ejected_until, host_id))
        return True

    def slow_members(self, tier: list[str]) -> list[str]:
        """Return the members far above the median of the tier."""
        known = {
            name: health
            for name in tier
            if (health := self.health.get(name))
            and health.samples >= MIN_SAMPLES
            and not health.ejected
        }
        if len(known) < MIN_MEMBERS:
            return []
        median = statistics.median(item.latency for item in known.values())
        limit = max(MEDIAN_FACTOR * median, median + MIN_EXCESS_SECONDS)
        return [name for name, item in known.items() if item.latency > limit]

    def reinstate(self, now: float) -> list[str]:
        """Return the upstreams whose ejection has ended."""
        back = []
        while self.returning and self.returning[0][0] <= now:
            until, host_id = heapq.heappop(self.returning)
            health = self.health.get(host_id)
            if health is not None and health.ejected_until == until:
                health.ejected_until = 0.0
                health.failures = 0
                health.latency = 0.0
                health.samples = 0
                back.append(host_id)
        return back

    def forget(self, host_id: str) -> None:
        """Drop what is known of an upstream."""
        self.health.pop(host_id, None)
