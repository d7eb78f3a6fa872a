"""Decides when the task of a plane that has failed runs again."""

FIRST_DELAY_SECONDS = 0.1
MAX_DELAY_SECONDS = 5.0
# A task that has run for so long starts again with the first delay.
RESET_SECONDS = 30.0


class Restarts:
    """Count the failures of one task and space out its restarts.

    The task counts as down until it has run for as long as it had to wait.
    """

    __slots__ = ("delay", "failed_at", "up_at")

    def __init__(self) -> None:
        self.delay = 0.0
        self.failed_at = 0.0
        self.up_at = 0.0

    def failed(self, now: float) -> float:
        """Record a failure; return the seconds until the next start."""
        if not self.delay or now - self.failed_at > RESET_SECONDS:
            self.delay = FIRST_DELAY_SECONDS
        else:
            self.delay = min(2 * self.delay, MAX_DELAY_SECONDS)
        self.failed_at = now
        self.up_at = now + 2 * self.delay
        return self.delay

    def is_down(self, now: float) -> bool:
        """Return whether the task waits or may soon fail again."""
        return now < self.up_at
