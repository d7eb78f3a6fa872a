"""Bound the retries of each service to a share of its requests."""

SHARE = 0.1
RESERVE = 10.0


class RetryBudget:
    """Hold one token bucket per service, filled by its requests."""

    __slots__ = ("share", "reserve", "tokens")

    def __init__(self, share: float = SHARE, reserve: float = RESERVE) -> None:
        self.share = share
        self.reserve = reserve
        self.tokens: dict[str, float] = {}

    def set_reserve(self, reserve: float) -> None:
        """Change how many retries a service may have in reserve."""
        self.reserve = reserve
        for service, tokens in self.tokens.items():
            self.tokens[service] = min(tokens, reserve)

    def note_request(self, service: str) -> None:
        """Add the share of one request."""
        tokens = self.tokens.get(service, self.reserve) + self.share
        self.tokens[service] = min(tokens, self.reserve)

    def take(self, service: str) -> bool:
        """Spend one retry; False if the budget has none left."""
        tokens = self.tokens.get(service, self.reserve)
        if tokens < 1.0:
            return False
        self.tokens[service] = tokens - 1.0
        return True

    def keep_only(self, services: set[str]) -> None:
        """Forget the services that no longer exist."""
        for name in set(self.tokens) - services:
            del self.tokens[name]
