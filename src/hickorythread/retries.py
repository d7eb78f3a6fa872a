"""Limit the retries of each service to a share of its requests."""

DEFAULT_SHARE = 0.1
DEFAULT_RESERVE = 10.0


class RetryBudget:
    """Hold one token bucket per service, refilled by its requests."""

    __slots__ = ("share", "reserve", "tokens")

    def __init__(
        self, share: float = DEFAULT_SHARE, reserve: float = DEFAULT_RESERVE
    ) -> None:
        self.share = share
        self.reserve = reserve
        self.tokens: dict[str, float] = {}

    def set_reserve(self, reserve: float) -> None:
        """Change the capacity of each service's token bucket."""
        self.reserve = reserve
        for service, tokens in self.tokens.items():
            self.tokens[service] = min(tokens, reserve)

    def note_request(self, service: str) -> None:
        """Add the share of one request to the bucket of its service."""
        tokens = self.tokens.get(service, self.reserve) + self.share
        self.tokens[service] = min(tokens, self.reserve)

    def take(self, service: str) -> bool:
        """Take a token for one retry; return False if there is none."""
        tokens = self.tokens.get(service, self.reserve)
        if tokens < 1.0:
            return False
        self.tokens[service] = tokens - 1.0
        return True

    def keep_only(self, services: set[str]) -> None:
        """Drop the buckets of services that no longer exist."""
        for name in set(self.tokens) - services:
            del self.tokens[name]
