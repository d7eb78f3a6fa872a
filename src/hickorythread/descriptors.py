"""Shares the file descriptors of a process out among its uses."""

import errno

REQUESTS = "requests"
READINESS = "readiness"
METRICS = "metrics"
STREAMS = "streams"
# Stands for the limit of the process or of the machine itself.
PROCESS = "process"

# What Linux commonly grants; holds until the limit has been read.
DEFAULT_LIMIT = 1024
MAX_CONNECTIONS = 4096
MIN_REQUESTS = 4
# How long a shortage must not recur before it counts as over.
CALM_SECONDS = 5.0
SHORTAGE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


class Shares:
    """Hold how many descriptors each use of a process may take.

    files is the reserve for files, the source and refused connections,
    streams limits the accepted streams of peers, operators each listener for
    operators, and outgoing is the reserve for connections to the target and
    to peers. Clients get the rest.
    """

    __slots__ = ("limit", "files", "streams", "operators", "outgoing")

    def __init__(
        self,
        limit: int,
        files: int,
        streams: int,
        operators: int,
        outgoing: int,
    ) -> None:
        self.limit = limit
        self.files = files
        self.streams = streams
        self.operators = operators
        self.outgoing = outgoing

    @classmethod
    def from_limit(cls, limit: int) -> "Shares":
        """Share a limit out; a small one leaves each use a minimum."""
        return cls(
            limit,
            files=max(16, limit // 20),
            streams=_between(8, limit // 6, 512),
            operators=_between(4, limit // 64, 32),
            outgoing=_between(8, limit // 5, 512),
        )

    def cap(self, use: str, outgoing: int = 0) -> int:
        """Return how many connections a listener may hold.

        outgoing is the number of outgoing connections that are open.
        """
        if use == STREAMS:
            return self.streams
        if use != REQUESTS:
            return self.operators
        reserved = self.files + self.streams + 2 * self.operators
        rest = self.limit - reserved - max(self.outgoing, outgoing)
        return _between(MIN_REQUESTS, rest, MAX_CONNECTIONS)


class Shortages:
    """Hold which uses are short of descriptors, and since when they recur."""

    __slots__ = ("last_seen",)

    def __init__(self) -> None:
        self.last_seen: dict[str, float] = {}

    def record(self, use: str, now: float) -> bool:
        """Record a shortage; return whether it has just begun."""
        begins = use not in self.last_seen
        self.last_seen[use] = now
        return begins

    def end(self, now: float) -> list[str]:
        """Return the uses whose shortage is over."""
        over = [
            use
            for use, seen in self.last_seen.items()
            if now - seen >= CALM_SECONDS
        ]
        for use in over:
            del self.last_seen[use]
        return over


def is_shortage(error: BaseException) -> bool:
    """Return whether a call failed because the process lacks a resource.

    Libraries wrap the error of the call in one of their own.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno in SHORTAGE_ERRNOS:
            return True
        cause = cause.__cause__
    return False


def _between(lowest: int, value: int, highest: int) -> int:
    return max(lowest, min(value, highest))
