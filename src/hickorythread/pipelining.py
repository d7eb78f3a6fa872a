"""Orders the responses of a connection whose requests run side by side."""

import collections
from typing import Generic
from typing import Protocol
from typing import TypeVar

MAX_OPEN_REQUESTS = 16
MAX_HELD_BYTES = 512 * 1024
MAX_PROCESS_REQUESTS = 4096
MAX_PROCESS_HELD_BYTES = 16 * 1024 * 1024

PendingType = TypeVar("PendingType", bound="Pending")


class Backlog:
    """Count the requests and responses that a process has not finished.

    requests counts those without a response on its way, held_bytes the
    finished responses that wait for an earlier one, and writers the
    connections whose client has not taken all bytes yet.
    """

    __slots__ = ("requests", "held_bytes", "writers")

    def __init__(self) -> None:
        self.requests = 0
        self.held_bytes = 0
        self.writers = 0

    @property
    def has_room(self) -> bool:
        """Return whether requests may be read ahead."""
        return (
            self.requests < MAX_PROCESS_REQUESTS
            and self.held_bytes < MAX_PROCESS_HELD_BYTES
        )

    @property
    def empty(self) -> bool:
        """Return whether every response has been handed to its socket."""
        return not (self.requests or self.writers)


class Pending(Protocol):
    """Describe a request whose response may have to wait for earlier ones.

    done tells whether its response is known.
    """

    done: bool

    @property
    def size(self) -> int:
        """Return the length of the response body."""


class ResponseQueue(Generic[PendingType]):
    """Release the responses of one connection in the order of its requests."""

    __slots__ = ("backlog", "open", "held_bytes")

    def __init__(self, backlog: Backlog) -> None:
        self.backlog = backlog
        self.open: collections.deque[PendingType] = collections.deque()
        self.held_bytes = 0

    def may_read(self) -> bool:
        """Return whether another request may be read.

        The first open request of a connection is always read, so that a full
        process delays the requests behind it and not whole connections.
        """
        if not self.open:
            return True
        return (
            len(self.open) < MAX_OPEN_REQUESTS
            and self.held_bytes < MAX_HELD_BYTES
            and self.backlog.has_room
        )

    def add(self, request: PendingType) -> None:
        """Append a request to those that wait for a response."""
        self.open.append(request)
        self.backlog.requests += 1

    def is_first(self, request: PendingType) -> bool:
        """Return whether all earlier requests have been answered."""
        return bool(self.open) and self.open[0] is request

    def complete(self, request: PendingType) -> list[PendingType]:
        """Record that a response is known; return those to send now."""
        request.done = True
        self._hold(request.size)
        ready = []
        while self.open and self.open[0].done:
            ready.append(self.open.popleft())
            self._hold(-ready[-1].size)
        self.backlog.requests -= len(ready)
        return ready

    def clear(self) -> list[PendingType]:
        """Drop all requests; return those whose response is not known."""
        unanswered = [request for request in self.open if not request.done]
        self.backlog.requests -= len(self.open)
        self.open.clear()
        self._hold(-self.held_bytes)
        return unanswered

    def _hold(self, size: int) -> None:
        self.held_bytes += size
        self.backlog.held_bytes += size
