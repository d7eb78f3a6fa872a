"""Limits the connections of a sidecar to the descriptors that it may open."""

from collections.abc import Callable
import errno

from hickorythread import connection_table
from hickorythread import descriptors
from hickorythread import http_listener
from hickorythread import interfaces
from hickorythread import logs
from hickorythread import metrics

LISTENERS = (descriptors.REQUESTS, descriptors.READINESS, descriptors.METRICS)
# How many idle connections are closed when a call finds no descriptor.
RELIEF_CONNECTIONS = 8


class Connections:
    """Hold the connections of each listener and report shortages.

    count_outgoing returns the number of open outgoing connections,
    count_streams that of the accepted streams, and read_limit the limit of
    descriptors that is in force.
    """

    def __init__(
        self,
        registry: metrics.Metrics,
        clock: interfaces.Clock,
        count_outgoing: Callable[[], int],
        count_streams: Callable[[], int],
        read_limit: Callable[[], int],
    ) -> None:
        self.metrics = registry
        self.clock = clock
        self.count_outgoing = count_outgoing
        self.count_streams = count_streams
        self.read_limit = read_limit
        self.shares = descriptors.Shares.from_limit(descriptors.DEFAULT_LIMIT)
        # For how many connections of clients there is memory.
        self.max_clients = descriptors.MAX_CONNECTIONS
        self.shortages = descriptors.Shortages()
        self.tables = {
            name: connection_table.ConnectionTable() for name in LISTENERS
        }

    def update_limit(self) -> int:
        """Read the limit of descriptors, share it out and return it."""
        limit = self.read_limit()
        if limit != self.shares.limit:
            self.shares = descriptors.Shares.from_limit(limit)
        return limit

    def limit(self, use: str) -> int:
        """Return how many connections a listener may hold."""
        cap = self.shares.cap(use, self.count_outgoing())
        return (
            min(cap, self.max_clients) if use == descriptors.REQUESTS else cap
        )

    def count(self, use: str) -> int:
        """Return how many connections a listener holds."""
        if use == descriptors.STREAMS:
            return self.count_streams()
        return len(self.tables[use].open)

    def closed_idle(self, use: str) -> None:
        """Record that an idle connection was closed to make room."""
        self.metrics.count("connections_closed_idle", listener=use)
        self._record_shortage(use)

    def refused(self, use: str) -> None:
        """Record that a connection was refused."""
        self.metrics.count("connections_refused", listener=use)
        self._record_shortage(use)

    def accept_failed(self, use: str, error: OSError) -> None:
        """Record that accept() failed; make room if descriptors ran out."""
        name = errno.errorcode.get(error.errno or 0, "unknown")
        self.metrics.count("accept_failures", listener=use, error=name)
        if descriptors.is_shortage(error):
            self.relieve()

    def relieve(self) -> None:
        """Close idle connections after a call found no descriptor."""
        # The limit may have been lowered since the start.
        self.update_limit()
        self._record_shortage(descriptors.PROCESS)
        left = RELIEF_CONNECTIONS
        for name, table in self.tables.items():
            while left and http_listener.close_idle(table):
                self.metrics.count("connections_closed_idle", listener=name)
                left -= 1

    def connection_failed(self, use: str, error: Exception) -> None:
        """Count and log an error that ended a connection."""
        self.metrics.count("connection_failures", listener=use)
        logs.error(
            "connection_failed",
            listener=use,
            error=f"{type(error).__name__}: {error}",
            trace=http_listener.format_trace(error),
        )

    def report(self) -> None:
        """Log the shortages that are over."""
        for use in self.shortages.end(self.clock.monotonic()):
            logs.info("descriptors_regained", use=use)

    def set_gauges(self) -> None:
        """Set the gauges of the open connections and their limits."""
        self.metrics.set("descriptor_limit", self.shares.limit)
        for use in (*LISTENERS, descriptors.STREAMS):
            self.metrics.set("connections", self.count(use), listener=use)
            self.metrics.set("connection_limit", self.limit(use), listener=use)
        self.metrics.set("outgoing_connections", self.count_outgoing())

    def _record_shortage(self, use: str) -> None:
        if not self.shortages.record(use, self.clock.monotonic()):
            return
        if use == descriptors.PROCESS:
            logs.warning("descriptors_short", use=use, limit=self.shares.limit)
            return
        logs.warning(
            "descriptors_short",
            use=use,
            open=self.count(use),
            limit=self.limit(use),
        )


class ListenerAdmission:
    """Limit the connections of one listener of a sidecar."""

    __slots__ = ("connections", "use")

    def __init__(self, connections: Connections, use: str) -> None:
        self.connections = connections
        self.use = use

    def limit(self) -> int:
        """Return how many connections may be open."""
        return self.connections.limit(self.use)

    def closed_idle(self) -> None:
        """Record that an idle connection was closed to make room."""
        self.connections.closed_idle(self.use)

    def refused(self) -> None:
        """Record that a connection was refused."""
        self.connections.refused(self.use)

    def accept_failed(self, error: OSError) -> None:
        """Record that no connection could be accepted."""
        self.connections.accept_failed(self.use, error)

    def connection_failed(self, error: Exception) -> None:
        """Record that the task of a connection has failed."""
        self.connections.connection_failed(self.use, error)
