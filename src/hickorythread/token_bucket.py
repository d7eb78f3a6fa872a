"""A token bucket, which limits the rate of events."""


class TokenBucket:
    """Hold at most burst tokens; rate tokens are added per second."""

    __slots__ = ("rate", "burst", "tokens", "refilled_at")

    def __init__(
        self,
        rate: float,
        burst: float,
        now: float,
        tokens: float | None = None,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst if tokens is None else tokens
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        added_tokens = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + added_tokens)
        self.refilled_at = max(now, self.refilled_at)

    def has_token(self, now: float) -> bool:
        """Return whether take() would succeed."""
        self.refill(now)
        return self.tokens >= 1.0

    def take(self, now: float) -> bool:
        """Take one token; return False if there is none."""
        if not self.has_token(now):
            return False
        self.tokens -= 1.0
        return True

    def wait(self, count: int, now: float) -> float:
        """Return the seconds until so many tokens have been added."""
        self.refill(now)
        return max(0.0, count - self.tokens) / self.rate

    def change(self, rate: float, burst: float, now: float) -> None:
        """Go on with another rate and burst."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)
