"""Limit the retries of each service to a share of its requests."""

DEFAULT_SHARE = 0.1
DEFAULT_RESERVE = 10.0


class RetryBudget:
    """Hold one token bucket per service, refilled by its requests.

    A bucket holds at most reserve tokens and begins with initial ones, or
    full if that is None.
    """

    __slots__ = ("share", "reserve", "initial", "tokens")

    def __init__(
        self,
        share: float = DEFAULT_SHARE,
        reserve: float = DEFAULT_RESERVE,
        initial: float | None = None,
    ) -> None:
        self.share = share
        self.reserve = reserve
        self.initial = initial
        self.tokens: dict[str, float] = {}

    def set_reserve(self, reserve: float) -> None:
        """Change the capacity of each service's token bucket."""
        self.reserve = reserve
        for service, tokens in self.tokens.items():
            self.tokens[service] = min(tokens, reserve)

    def note_request(
        self, service: str, retry_probability: float = 0.0
    ) -> None:
        """Add the share of one request to the bucket of its service.

        retry_probability is that of the request being a call that a retry
        makes. Such a call counts as a retry of the called service. A bucket
        may owe as many tokens as it can hold.
        """
        tokens = self._held(service) + self.share - retry_probability
        self.tokens[service] = max(-self.reserve, min(tokens, self.reserve))

    def take(self, service: str) -> bool:
        """Take a token for one retry; return False if there is none."""
        tokens = self._held(service)
        if tokens < 1.0:
            return False
        self.tokens[service] = tokens - 1.0
        return True

    def _held(self, service: str) -> float:
        initial = self.reserve if self.initial is None else self.initial
        return self.tokens.get(service, min(initial, self.reserve))

    def keep_only(self, services: set[str]) -> None:
        """Drop the buckets of services that no longer exist."""
        for name in set(self.tokens) - services:
            del self.tokens[name]
