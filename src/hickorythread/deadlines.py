"""Convert times between the monotonic clocks of two nodes."""

import math

MAX_DRIFT = 2e-4
MAX_DEADLINE_SECONDS = 60.0
MAX_CALL_SECONDS = 600.0


class ClockOffset:
    """Bound the offset between a peer's clock and the own clock.

    The offset is the peer's time minus the own time. Each ping round trip
    gives an interval that holds it; the error is at most the round trip.
    """

    __slots__ = ("low", "high", "measured_at")

    def __init__(self) -> None:
        self.low = 0.0
        self.high = 0.0
        self.measured_at: float | None = None

    @property
    def known(self) -> bool:
        """Return whether a round trip was completed."""
        return self.measured_at is not None

    def measured(
        self, sent_at: float, answered_at: float, received_at: float
    ) -> None:
        """Take a round trip; only answered_at is on the peer's clock."""
        low = answered_at - received_at
        high = answered_at - sent_at
        if self.measured_at is not None:
            slack = (received_at - self.measured_at) * MAX_DRIFT
            held_low = self.low - slack
            held_high = self.high + slack
            # Disjoint intervals mean that a clock was stepped or replaced.
            if low <= held_high and held_low <= high:
                low = max(low, held_low)
                high = min(high, held_high)
        self.low = low
        self.high = high
        self.measured_at = received_at

    def to_peer(self, own_time: float) -> float:
        """Return the earliest time on the peer's clock that it may be."""
        return own_time + self.low

    def to_own(self, peer_time: float) -> float:
        """Return the earliest time on the own clock that it may be."""
        return peer_time - self.high


def bound_deadline(deadline: float, now: float) -> float:
    """Return a peer's deadline, at most the longest that a route allows."""
    if math.isnan(deadline):
        return now
    return min(deadline, now + MAX_CALL_SECONDS)


def request_deadline(
    named: float | None, received_at: float, default_ms: int
) -> float:
    """Return the deadline of a request; the route's is the default."""
    if named is None:
        return received_at + default_ms / 1000
    return min(named, received_at + MAX_DEADLINE_SECONDS)
