"""The tokens that a host holds, and its messages with their owners."""

import math

from hickorythread.mesh import models
from hickorythread.mesh import quota_owner

# Less than the time after which the owner counts a host as missing.
REPORT_SECONDS = 0.4
# Time constant with which the measured demand decays.
DEMAND_SECONDS = 1.0
# Time of demand for which tokens are fetched ahead.
AHEAD_SECONDS = 0.5
# Less demand than this, in requests per second, causes no reports.
MIN_DEMAND = 1.0
# First pause of an owner that does not answer; the next ones are longer. Also
# how long a host decides itself for an owner that lacks the account.
MIN_PAUSE_SECONDS = 1.0


class Holding:
    """Hold the tokens of an account on this host, and its demand."""

    __slots__ = (
        "account",
        "owner",
        "tokens",
        "expires_at",
        "released",
        "waiting",
        "asked",
        "empty_until",
        "local_until",
        "demand",
        "counted_at",
        "will_report",
        "reported_at",
    )

    def __init__(self, account: models.Account, now: float) -> None:
        self.account = account
        self.owner = ""
        self.tokens = 0
        self.expires_at = math.inf
        # Tokens to give back with the next message.
        self.released = 0
        # Requests that wait, and tokens that an open message asks for.
        self.waiting = 0
        self.asked = 0
        self.empty_until = -math.inf
        # Until then this host decides itself, because the owner does not know
        # the account or its limit.
        self.local_until = -math.inf
        self.demand = 0.0
        self.counted_at = now
        # Whether the last report announced another, and when it was sent.
        self.will_report = False
        self.reported_at = now

    def count_request(self, now: float) -> None:
        """Add a request to the demand."""
        self.demand = self.demand_at(now) + 1.0 / DEMAND_SECONDS
        self.counted_at = now

    def demand_at(self, now: float) -> float:
        """Return the recent requests per second."""
        return self.demand * math.exp((self.counted_at - now) / DEMAND_SECONDS)

    def expire(self, now: float) -> None:
        """Release the tokens whose time is over."""
        if now >= self.expires_at:
            self.release()

    def release(self) -> None:
        """Release all tokens."""
        self.released += self.tokens
        self.tokens = 0
        self.expires_at = math.inf

    def add(self, tokens: int, now: float) -> None:
        """Add tokens, which expire with those held already."""
        if tokens and not self.tokens:
            self.expires_at = now + quota_owner.TOKEN_SECONDS
        self.tokens += tokens

    def take(self) -> None:
        """Use a token."""
        self.tokens -= 1
        if not self.tokens:
            self.expires_at = math.inf

    def change_owner(self, owner: str) -> None:
        """Use another owner, which does not take back released tokens."""
        self.owner = owner
        self.released = 0
        self.asked = 0
        self.empty_until = -math.inf
        self.will_report = False

    def ahead(self, now: float) -> int:
        """Return how many tokens to fetch ahead of demand."""
        if now < self.empty_until:
            return 0
        wanted = int(AHEAD_SECONDS * self.demand_at(now))
        return max(0, wanted - self.tokens - self.asked)


class Link:
    """Hold what is known of the messages with one owner."""

    __slots__ = ("open", "sent_at", "interval", "paused_until", "pause")

    def __init__(self) -> None:
        # Number and accounts of each message without an answer.
        self.open: dict[int, tuple[float, list[Holding]]] = {}
        self.sent_at = -math.inf
        self.interval = quota_owner.MIN_INTERVAL_SECONDS
        self.paused_until = -math.inf
        self.pause = MIN_PAUSE_SECONDS

    @property
    def oversubscribed(self) -> bool:
        """Return whether tokens would expire between two messages."""
        return self.interval > quota_owner.TOKEN_SECONDS

    def may_send(self, urgent: bool, now: float) -> bool:
        """Return whether the next message is due."""
        if urgent and not self.oversubscribed:
            return True
        return now - self.sent_at >= self.interval
