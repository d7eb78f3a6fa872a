"""Limit the retries of each service to a share of its requests."""

DEFAULT_SHARE = 0.1
DEFAULT_RESERVE = 10.0
DEFAULT_WINDOW_SECONDS = 10.0


class Charges:
    """Sum the tokens that were charged in this window and in the last one."""

    __slots__ = ("started_at", "current", "previous")

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.current = 0.0
        self.previous = 0.0

    def add(self, tokens: float, window_seconds: float, now: float) -> float:
        """Add a charge; return the sum of both windows."""
        windows = (now - self.started_at) // window_seconds
        if windows >= 1:
            self.previous = self.current if windows < 2 else 0.0
            self.current = 0.0
            self.started_at += windows * window_seconds
        self.current += tokens
        return self.current + self.previous


class RetryBudget:
    """Hold one token bucket per service, refilled by its requests.

    A bucket holds at most reserve tokens and begins with initial ones, or
    full if that is None. window_seconds is the span of time for which the
    retries are limited.
    """

    __slots__ = (
        "share",
        "reserve",
        "initial",
        "window_seconds",
        "tokens",
        "charges",
    )

    def __init__(
        self,
        share: float = DEFAULT_SHARE,
        reserve: float = DEFAULT_RESERVE,
        initial: float | None = None,
        window_seconds: float = DEFAULT_WINDOW_SECONDS,
    ) -> None:
        self.share = share
        self.reserve = reserve
        self.initial = initial
        self.window_seconds = window_seconds
        self.tokens: dict[str, float] = {}
        self.charges: dict[str, Charges] = {}

    def set_reserve(self, reserve: float) -> None:
        """Change the capacity of each service's token bucket."""
        self.reserve = reserve
        for service, tokens in self.tokens.items():
            self.tokens[service] = min(tokens, reserve)

    def note_request(
        self, service: str, retry_probability: float = 0.0, now: float = 0.0
    ) -> None:
        """Add the share of one request to the bucket of its service.

        retry_probability is that of the request being a call that a retry
        makes. Such a call counts as a retry of the called service and is
        charged. A bucket owes what it could not pay, until its charges are
        older than the window. now is in monotonic seconds.
        """
        charges = self.charges.get(service)
        if charges is None:
            charges = self.charges[service] = Charges(now)
        max_debt = charges.add(retry_probability, self.window_seconds, now)
        tokens = self._held(service) + self.share - retry_probability
        self.tokens[service] = max(-max_debt, min(tokens, self.reserve))

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
            self.charges.pop(name, None)
