"""Until when the target on this host stays cold, by what it says."""

import math

REGISTRATION = "registration"
# A report that prolongs the warm-up by less repeats the one before it, after
# another time on its way.
MIN_GAIN_SECONDS = 0.25


class Warmup:
    """Hold until when the target stays cold, as far as this host knows.

    A target may become cold at any moment, also while it is cold, and each
    report states how many seconds are left. Two reports may overtake each
    other, so that only one that is known to be the later of the two ends the
    warm-up sooner. ends_at is the time at which the target is warm, and
    reported_at that at which the last report that prolonged it came.
    """

    __slots__ = ("ends_at", "reported_at")

    def __init__(self) -> None:
        self.ends_at = -math.inf
        self.reported_at = -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether the target is still warming up."""
        return now < self.ends_at

    def remaining(self, now: float) -> float:
        """Return how many seconds the target stays cold, 0.0 if it is warm."""
        return max(0.0, self.ends_at - now)

    def registered(self, seconds: float, came_at: float) -> bool:
        """Apply what a registration says; return whether it tells news.

        It was written before it came at came_at, and it may be older than
        what the target has answered since.
        """
        if seconds <= 0.0:
            return False
        return self._prolong(came_at + seconds, came_at)

    def answered(self, seconds: float, asked_at: float, now: float) -> bool:
        """Apply what a response says; return whether it tells news.

        A response to a request that was sent after the last report came is
        later than that report.
        """
        ends_at = now + seconds
        if ends_at > self.ends_at:
            return seconds > 0.0 and self._prolong(ends_at, now)
        if asked_at < self.reported_at:
            return False
        gain = self.ends_at - ends_at
        self.ends_at = ends_at
        return gain >= MIN_GAIN_SECONDS

    def _prolong(self, ends_at: float, came_at: float) -> bool:
        gain = ends_at - max(self.ends_at, came_at)
        if gain <= 0.0:
            return False
        self.ends_at = ends_at
        self.reported_at = came_at
        return gain >= MIN_GAIN_SECONDS
