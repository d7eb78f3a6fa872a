"""Policies for which nodes read the source and how often."""

import collections

from hickorythread import interfaces

READER_COUNT = 3
GATEWAY_COUNT = 2
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 30.0
# Longer delays would miss the bounds of R5 and R12 once the source is back.
# With these, three readers stay far below the rate limit of the source.
READER_MAX_RETRY_SECONDS = {"config": 0.3, "hosts": 1.0}
READS_PER_SECOND = 30.0
READ_BURST = 30.0
CONFIG_WAIT_SECONDS = 0.2
HOSTS_WAIT_SECONDS = 1.0
RESPONSE_TIMEOUT_SECONDS = 5.0
MAX_FAILURE_TIMES = 32
TAKEOVER_SECONDS = 0.5
BEACON_TIMEOUT_SECONDS = 1.5


class Backoff:
    """Compute an exponential backoff with full jitter."""

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
        """Count one more failure and return the seconds to wait."""
        limit = min(self.last, self.first * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return limit * self.random_source.random()

    def reset(self) -> None:
        """Restart from the initial delay range."""
        self.failures = 0


class Watch:
    """Track the reads of one log from the source.

    confirmed_at is the time at which the last read with a complete response
    was sent: it returned everything published before that time. failure_times
    holds the times at which failed reads were sent, not those at which they
    failed, since a connection may hang while the source already serves others.
    """

    __slots__ = (
        "log",
        "wait_seconds",
        "backoff",
        "sent_at",
        "ambiguous_until",
        "retry_at",
        "confirmed_at",
        "failure_times",
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
        self.failure_times: collections.deque[float] = collections.deque(
            maxlen=MAX_FAILURE_TIMES
        )
        self.checkpoint_due = False
        self.head: int | None = None

    def due(self, now: float) -> bool:
        """Return whether a read may be sent; fails a read that timed out."""
        if self.sent_at is not None:
            limit = self.wait_seconds + RESPONSE_TIMEOUT_SECONDS
            if now - self.sent_at < limit:
                return False
            # The next response may still belong to the read that timed out.
            self.ambiguous_until = now + 2 * RESPONSE_TIMEOUT_SECONDS
            self.record_failure(now, "timeout")
        return now >= self.retry_at

    def record_sent(self, now: float) -> None:
        """Record that a read was sent."""
        self.sent_at = now

    def record_response(self, now: float, complete: bool) -> None:
        """Record a response; complete if it contains the newest entries."""
        unambiguous = self.sent_at is not None and now >= self.ambiguous_until
        if complete and unambiguous:
            self.confirmed_at = self.sent_at
        self.sent_at = None
        self.retry_at = now
        self.backoff.reset()

    def last_failure_until(self, contact_at: float) -> float | None:
        """Return when the last failed read up to a contact was sent."""
        times = [
            sent_at for sent_at in self.failure_times if sent_at <= contact_at
        ]
        return times[-1] if times else None

    def record_failure(self, now: float, kind: str) -> None:
        """Record a failure and delay the next read.

        Kind "held" means that the source responded with entries that this
        node cannot apply, so that it is no failure of the source.
        """
        if kind != "held" and self.sent_at is not None:
            self.failure_times.append(self.sent_at)
        self.sent_at = None
        self.retry_at = now + self.backoff.next()


class ReaderPolicy:
    """Decide the roles of a node from its rank in its region."""

    __slots__ = ("region", "source_region")

    def __init__(self, region: str, source_region: str) -> None:
        self.region = region
        self.source_region = source_region

    def in_source_region(self) -> bool:
        """Return whether this node is in the source's region."""
        return self.region == self.source_region

    def is_reader(self, rank: int | None) -> bool:
        """Return whether a node of this rank reads the source."""
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
        """Return when a reader of this rank takes over a fan-out."""
        return now + TAKEOVER_SECONDS * rank

    def may_emit(
        self, rank: int, last_beacon_at: float | None, now: float
    ) -> bool:
        """Return whether a reader of this rank emits the next beacon.

        Rank 0 always does; others do so once beacons have stopped.
        """
        if rank == 0:
            return True
        beacon_timeout = BEACON_TIMEOUT_SECONDS + TAKEOVER_SECONDS * (rank - 1)
        return last_beacon_at is None or now - last_beacon_at > beacon_timeout
