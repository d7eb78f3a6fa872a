"""Tracks which connections of a listener are open and which are idle."""

from collections.abc import Iterator
from typing import Any

# A connection that was in use a moment ago is probably used again soon.
MIN_IDLE_SECONDS = 1.0
# A client usually sends the head of its request at once and in one piece.
MIN_UNUSED_SECONDS = 0.2
MIN_READING_SECONDS = 1.0


class Connection:
    """Hold an accepted connection; closing stops further requests on it.

    since is the time at which its present state began.
    """

    __slots__ = ("sock", "table", "since", "closing")

    def __init__(self, sock: Any, table: "ConnectionTable") -> None:
        self.sock = sock
        self.table = table
        self.since = 0.0
        self.closing = False


class ConnectionTable:
    """Hold the open connections of one listener by their state.

    unused holds those that have not sent a byte yet, reading those that have
    sent a part of the head of a request, and idle those without an open
    request; the one that has waited longest is the first of each. The rest
    is busy.
    """

    __slots__ = ("open", "unused", "reading", "idle")

    def __init__(self) -> None:
        self.open: set[Connection] = set()
        self.unused: dict[Connection, None] = {}
        self.reading: dict[Connection, None] = {}
        self.idle: dict[Connection, None] = {}

    def add(self, connection: Connection, now: float) -> None:
        """Add a connection that has just been accepted."""
        connection.since = now
        self.open.add(connection)
        self.unused[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closed or about to be."""
        self.open.discard(connection)
        self.unused.pop(connection, None)
        self.mark_busy(connection)
        self.idle.pop(connection, None)

    def mark_reading(self, connection: Connection, now: float) -> None:
        """Record that a request has begun to arrive."""
        self.unused.pop(connection, None)
        self.idle.pop(connection, None)
        if connection in self.open:
            connection.since = now
            self.reading[connection] = None

    def mark_busy(self, connection: Connection) -> None:
        """Record that the head of a request is complete."""
        self.reading.pop(connection, None)

    def mark_idle(self, connection: Connection, now: float) -> None:
        """Record that all requests have been answered."""
        if connection in self.open:
            connection.since = now
            self.idle[connection] = None

    def is_idle(self, connection: Connection) -> bool:
        """Return whether a connection has no open request."""
        return connection in self.idle or connection in self.unused

    def closable(self, now: float) -> Iterator[Connection]:
        """Return the connections to close first when descriptors run out."""
        for connections, seconds in (
            (self.unused, MIN_UNUSED_SECONDS),
            (self.reading, MIN_READING_SECONDS),
            (self.idle, MIN_IDLE_SECONDS),
        ):
            for connection in list(connections):
                if now - connection.since < seconds:
                    break
                yield connection
