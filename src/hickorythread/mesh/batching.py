"""How long to wait for further changes before they are read together."""

import math

MIN_DELAY_SECONDS = 0.03
MAX_DELAY_SECONDS = 0.25
# Changes that are further apart do not belong to one series.
QUIET_SECONDS = 0.5


class BatchDelay:
    """Lengthen the delay between reads while changes keep coming.

    The targets of a failure domain become cold together, and their entries
    are written one by one. A fixed delay after the first of them would let
    the others run under full load meanwhile. In a long series the calls to
    the source stay at one in MAX_DELAY_SECONDS.
    """

    __slots__ = ("delay", "last_at")

    def __init__(self) -> None:
        self.delay = 0.0
        self.last_at = -math.inf

    def next(self, now: float) -> float:
        """Return the seconds to wait after a read that returned changes."""
        if now - self.last_at >= QUIET_SECONDS:
            self.delay = MIN_DELAY_SECONDS
        else:
            self.delay = min(2 * self.delay, MAX_DELAY_SECONDS)
        self.last_at = now
        return self.delay
