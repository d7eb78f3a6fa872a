"""Decide who reads the source and how often."""

import collections

from hickorythread import interfaces

READER_COUNT = 3
GATEWAY_COUNT = 2
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 30.0
# A reader that waited longer would miss the bounds of R5 and R12 once the
# source is back; three readers stay far below the source's rate with this.
READER_RETRY_SECONDS = {"config": 0.3, "hosts": 1.0}
READS_PER_SECOND = 30.0
READ_BURST = 30.0
CONFIG_WAIT_SECONDS = 0.2
HOSTS_WAIT_SECONDS = 1.0
RESPONSE_TIMEOUT_SECONDS = 5.0
MAX_FAILURES = 32
TAKEOVER_SECONDS = 0.5
SILENCE_SECONDS = 1.5


class Backoff:
    """Draw delays with full jitter from a doubling range."""

    __slots__ = ("first", "last", "random_source", "failures")

    def __init__(
        self,
        random_source: interfaces.RandomSource,
        first: float = FIRST_RETRY_SECONDS,
        last: float = MAX_RETRY_SECONDS,
    ) -> None:
        self.first = first
        self.last = last
        self.random_source = random_source
        self.failures = 0

    def next(self) -> float:
        """Return the seconds to wait after one more failure."""
        limit = min(self.last, self.first * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return limit * self.random_source.random()

    def reset(self) -> None:
        """Start again from the first range."""
        self.failures = 0


class TokenBucket:
    """Limit a rate; holds at most `burst` tokens."""

    __slots__ = ("rate", "burst", "tokens", "filled_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at = now

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        gained = max(0.0, now - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Watch:
    """Track the reads of one log at the source.

    proof_at is the time at which the last answered read was sent: the
    answer holds everything published before that time. failed_at holds the
    times at which failed reads were sent: a connection may hang while the
    source already serves others.
    """

    __slots__ = (
        "log",
        "wait_seconds",
        "backoff",
        "sent_at",
        "ambiguous_until",
        "retry_at",
        "confirmed_at",
        "failed_at",
        "checkpoint_due",
        "head",
    )

    def __init__(
        self,
        log: str,
        wait_seconds: float,
        random_source: interfaces.RandomSource,
    ) -> None:
        self.log = log
        self.wait_seconds = wait_seconds
        self.backoff = Backoff(random_source)
        self.sent_at: float | None = None
        self.ambiguous_until = 0.0
        self.retry_at = 0.0
        self.confirmed_at: float | None = None
        self.failed_at: collections.deque[float] = collections.deque(
            maxlen=MAX_FAILURES
        )
        self.checkpoint_due = False
        self.head: int | None = None

    def due(self, now: float) -> bool:
        """Return whether a read may be sent; gives up on lost answers."""
        if self.sent_at is not None:
            limit = self.wait_seconds + RESPONSE_TIMEOUT_SECONDS
            if now - self.sent_at < limit:
                return False
            # The next answer may still belong to the read given up.
            self.ambiguous_until = now + 2 * RESPONSE_TIMEOUT_SECONDS
            self.failed(now, "timeout")
        return now >= self.retry_at

    def sent(self, now: float) -> None:
        """Note that a read was sent."""
        self.sent_at = now

    def answered(self, now: float, complete: bool) -> None:
        """Note an answer; complete if it shows the newest entries."""
        sure = self.sent_at is not None and now >= self.ambiguous_until
        if complete and sure:
            self.confirmed_at = self.sent_at
        self.sent_at = None
        self.retry_at = now
        self.backoff.reset()

    def last_failure_until(self, contact: float) -> float | None:
        """Return the newest failure that is not after a contact."""
        times = [sent_at for sent_at in self.failed_at if sent_at <= contact]
        return times[-1] if times else None

    def failed(self, now: float, kind: str) -> None:
        """Note a failure and wait before the next read.

        After kind "held" the source did serve, but with entries that this
        node cannot put in force.
        """
        if kind != "held" and self.sent_at is not None:
            self.failed_at.append(self.sent_at)
        self.sent_at = None
        self.retry_at = now + self.backoff.next()


class ReaderPolicy:
    """Decide from the rank of this node which duties it has."""

    __slots__ = ("region", "source_region")

    def __init__(self, region: str, source_region: str) -> None:
        self.region = region
        self.source_region = source_region

    def in_source_region(self) -> bool:
        """Return whether this node is in the source's region."""
        return self.region == self.source_region

    def is_reader(self, rank: int | None) -> bool:
        """Return whether a node of this rank watches the source."""
        return (
            self.in_source_region()
            and rank is not None
            and rank < READER_COUNT
        )

    def is_gateway(self, rank: int | None) -> bool:
        """Return whether a node of this rank is a gateway of its region."""
        return (
            not self.in_source_region()
            and rank is not None
            and rank < GATEWAY_COUNT
        )

    def takeover_at(self, rank: int, now: float) -> float:
        """Return when a reader of this rank starts a fan-out itself."""
        return now + TAKEOVER_SECONDS * rank

    def may_emit(self, rank: int, heard_at: float | None, now: float) -> bool:
        """Return whether a reader of this rank emits the next beacon."""
        if rank == 0:
            return True
        silence = SILENCE_SECONDS + TAKEOVER_SECONDS * (rank - 1)
        return heard_at is None or now - heard_at > silence
