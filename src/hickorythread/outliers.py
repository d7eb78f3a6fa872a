"""Outlier detection: ejects targets that fail or are too slow."""

import heapq
import statistics

MAX_CONSECUTIVE_FAILURES = 5
MEDIAN_FACTOR = 3.0
MIN_EXCESS_LATENCY_SECONDS = 0.005
MIN_LATENCY_SAMPLES = 8
MIN_MEMBERS = 3
LATENCY_SMOOTHING = 0.2
EJECT_SECONDS = 5.0
MAX_EJECT_SECONDS = 60.0
EJECTION_RESET_SECONDS = 120.0


class TargetHealth:
    """Hold this node's observations of one target."""

    __slots__ = (
        "failures",
        "latency",
        "samples",
        "ejected_until",
        "ejected_at",
        "ejection_count",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.latency = 0.0
        self.samples = 0
        self.ejected_until = 0.0
        self.ejected_at = 0.0
        self.ejection_count = 0

    @property
    def ejected(self) -> bool:
        """Return whether the target is ejected."""
        return self.ejected_until > 0.0


class OutlierDetector:
    """Decide which targets are ejected and when they are reinstated.

    Callers pass the tier of the target, so that never more than half of
    the members of a tier are ejected.
    """

    __slots__ = ("health", "ejection_queue")

    def __init__(self) -> None:
        self.health: dict[str, TargetHealth] = {}
        self.ejection_queue: list[tuple[float, str]] = []

    def health_of(self, host_id: str) -> TargetHealth:
        """Return the health of a target, created if there is none."""
        health = self.health.get(host_id)
        if health is None:
            health = self.health[host_id] = TargetHealth()
        return health

    def record_success(self, health: TargetHealth, latency: float) -> None:
        """Record a reply and its latency in seconds."""
        health.failures = 0
        health.samples += 1
        if health.latency == 0.0:
            health.latency = latency
        else:
            health.latency += LATENCY_SMOOTHING * (latency - health.latency)

    def record_failure(self, health: TargetHealth) -> bool:
        """Record a failure; return True if the target must be ejected."""
        health.failures += 1
        return health.failures >= MAX_CONSECUTIVE_FAILURES

    def eject(self, host_id: str, tier: list[str], now: float) -> bool:
        """Eject a member unless more than half of the tier would be ejected.

        Returns whether the member was ejected by this call.
        """
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
        if now - health.ejected_at > EJECTION_RESET_SECONDS:
            health.ejection_count = 0
        seconds = min(
            EJECT_SECONDS * 2**health.ejection_count, MAX_EJECT_SECONDS
        )
        health.ejection_count += 1
        health.ejected_at = now
        health.ejected_until = now + seconds
        heapq.heappush(self.ejection_queue, (health.ejected_until, host_id))
        return True

    def slow_members(self, tier: list[str]) -> list[str]:
        """Return the members whose latency is far above the tier's median."""
        candidates = {
            name: health
            for name in tier
            if (health := self.health.get(name))
            and health.samples >= MIN_LATENCY_SAMPLES
            and not health.ejected
        }
        if len(candidates) < MIN_MEMBERS:
            return []
        median = statistics.median(
            item.latency for item in candidates.values()
        )
        limit = max(
            MEDIAN_FACTOR * median, median + MIN_EXCESS_LATENCY_SECONDS
        )
        return [
            name for name, item in candidates.items() if item.latency > limit
        ]

    def reinstate(self, now: float) -> list[str]:
        """Reinstate and return the targets whose ejection has ended."""
        reinstated = []
        while self.ejection_queue and self.ejection_queue[0][0] <= now:
            until, host_id = heapq.heappop(self.ejection_queue)
            health = self.health.get(host_id)
            if health is not None and health.ejected_until == until:
                health.ejected_until = 0.0
                health.failures = 0
                health.latency = 0.0
                health.samples = 0
                reinstated.append(host_id)
        return reinstated

    def forget(self, host_id: str) -> None:
        """Drop the health of a target."""
        self.health.pop(host_id, None)
