"""Convert times between the monotonic clocks of two nodes."""

import math

MAX_CLOCK_DRIFT = 2e-4
MAX_DEADLINE_SECONDS = 60.0
MAX_CALL_SECONDS = 600.0


class ClockOffset:
    """Bound the offset between a peer's clock and the local clock.

    The offset is the peer's time minus the local time. Each ping round trip
    gives an interval that contains it, at most as wide as the round trip.
    """

    __slots__ = ("low", "high", "measured_at")

    def __init__(self) -> None:
        self.low = 0.0
        self.high = 0.0
        self.measured_at: float | None = None

    @property
    def known(self) -> bool:
        """Return whether a round trip has been measured."""
        return self.measured_at is not None

    def measured(
        self, sent_at: float, answered_at: float, received_at: float
    ) -> None:
        """Update the bounds from a ping round trip.

        answered_at is on the peer's clock, the other times on the local one.
        """
        low = answered_at - received_at
        high = answered_at - sent_at
        if self.measured_at is not None:
            max_drift = (received_at - self.measured_at) * MAX_CLOCK_DRIFT
            previous_low = self.low - max_drift
            previous_high = self.high + max_drift
            # Disjoint intervals mean that one of the clocks was stepped or
            # replaced, so that the old bounds no longer hold.
            if low <= previous_high and previous_low <= high:
                low = max(low, previous_low)
                high = min(high, previous_high)
        self.low = low
        self.high = high
        self.measured_at = received_at

    def to_peer(self, local_time: float) -> float:
        """Return the earliest possible time on the peer's clock."""
        return local_time + self.low

    def to_own(self, peer_time: float) -> float:
        """Return the earliest possible time on the local clock."""
        return peer_time - self.high


def bound_deadline(deadline: float, now: float) -> float:
    """Return a peer's deadline, limited to the maximum that a route allows.

    A deadline that is not a number counts as passed.
    """
    if math.isnan(deadline):
        return now
    return min(deadline, now + MAX_CALL_SECONDS)


def request_deadline(
    requested: float | None, received_at: float, default_ms: int
) -> float:
    """Return the deadline of a request, by default that of its route."""
    if requested is None:
        return received_at + default_ms / 1000
    return min(requested, received_at + MAX_DEADLINE_SECONDS)
