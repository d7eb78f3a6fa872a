"""Accepts the connections of an HTTP listener and serves each in a task."""

from collections.abc import Callable
from collections.abc import Iterable
import errno
import time
import traceback
from typing import Any
from typing import Protocol

import eventlet
from eventlet import hubs

from hickorythread import connection_table
from hickorythread import http_client
from hickorythread import http_protocol
from hickorythread import logs
from hickorythread import turns

# The listener itself is unusable; any other error concerns one connection or
# passes.
_LISTENER_ERRNOS = frozenset((errno.EBADF, errno.EINVAL, errno.ENOTSOCK))
ACCEPT_RETRY_SECONDS = 0.05
# How many refused connections wait for their response at once; those beyond
# are closed without one.
MAX_REFUSALS = 4
REFUSAL_SECONDS = 1.0
# A client sends its first request at most so long after it has connected.
FIRST_REQUEST_SECONDS = 0.1
_REFUSAL_BODY = (
    b'{"reason": "connections", "message": "too many open connections"}'
)


class Admission(Protocol):
    """Decide how many connections a listener holds; hear what it refuses."""

    def limit(self) -> int:
        """Return how many connections may be open."""

    def closed_idle(self) -> None:
        """Note that an idle connection was closed to make room."""

    def refused(self) -> None:
        """Note that a connection was refused."""

    def accept_failed(self, error: OSError) -> None:
        """Note that no connection could be accepted."""

    def connection_failed(self, error: Exception) -> None:
        """Note that the task of a connection has failed."""


class FixedAdmission:
    """Admit a fixed number of connections."""

    __slots__ = ("connections",)

    def __init__(self, connections: int) -> None:
        self.connections = connections

    def limit(self) -> int:
        """Return how many connections may be open."""
        return self.connections

    def closed_idle(self) -> None:
        """Ignore the event."""

    def refused(self) -> None:
        """Ignore the event."""

    def accept_failed(self, error: OSError) -> None:
        """Ignore the event."""

    def connection_failed(self, error: Exception) -> None:
        """Log the error."""
        logs.error(
            "connection_failed",
            error=f"{type(error).__name__}: {error}",
            trace=format_trace(error),
        )


class HttpListener:
    """Accept connections until the listening socket is closed.

    At its limit it closes the connection that has been idle longest, and
    refuses the new one if there is none.
    """

    def __init__(
        self,
        listener: Any,
        app: Callable[..., Iterable[bytes]],
        options: http_protocol.ConnectionOptions,
        admission: Admission,
        table: connection_table.ConnectionTable,
    ) -> None:
        self.listener = listener
        self.app = app
        self.options = options
        self.admission = admission
        self.table = table
        self.refusals = connection_table.ConnectionTable()
        self.refusal_options = http_protocol.ConnectionOptions(
            options.backlog, REFUSAL_SECONDS, REFUSAL_SECONDS
        )

    def run(self) -> None:
        """Serve until the listener is closed; its idle connections end too.

        Raises OSError if the listener is unusable.
        """
        turn = turns.Turn()
        try:
            while True:
                sock = self._accept()
                if sock is not None:
                    self._admit(sock)
                turn.spend(turns.MESSAGE_UNITS)
        except hubs.IOClosed:
            # Another task has closed the listener. This is noticed at any
            # time after, once its descriptor is used again.
            eventlet.sleep(FIRST_REQUEST_SECONDS)
        finally:
            end_idle(self.table)

    def _accept(self) -> Any:
        """Return the next connection, None if there is none to be had."""
        try:
            sock, _ = self.listener.accept()
        except hubs.IOClosed:
            raise
        except OSError as error:
            if error.errno in _LISTENER_ERRNOS:
                raise
            self.admission.accept_failed(error)
            eventlet.sleep(ACCEPT_RETRY_SECONDS)
            return None
        return sock

    def _admit(self, sock: Any) -> None:
        if len(self.table.open) >= self.admission.limit():
            if not close_idle(self.table):
                self._refuse(sock)
                return
            self.admission.closed_idle()
            # Lets the task of that connection close its socket.
            eventlet.sleep(0)
        self._spawn(sock, self.table, self.options, self.app)

    def _refuse(self, sock: Any) -> None:
        self.admission.refused()
        if len(self.refusals.open) >= MAX_REFUSALS:
            close(sock)
            eventlet.sleep(0)
            return
        self._spawn(sock, self.refusals, self.refusal_options, refuse)

    def _spawn(
        self,
        sock: Any,
        table: connection_table.ConnectionTable,
        options: http_protocol.ConnectionOptions,
        app: Callable[..., Iterable[bytes]],
    ) -> None:
        connection = connection_table.Connection(sock, table)
        table.add(connection, time.monotonic())
        eventlet.spawn_n(self._serve, connection, options, app)

    def _serve(
        self,
        connection: connection_table.Connection,
        options: http_protocol.ConnectionOptions,
        app: Callable[..., Iterable[bytes]],
    ) -> None:
        try:
            connection.sock.settimeout(options.idle_seconds)
            http_protocol.HttpProtocol(options, connection, app).serve()
        except Exception as error:
            self.admission.connection_failed(error)
        finally:
            connection.table.remove(connection)
            close(connection.sock)


def end_idle(table: connection_table.ConnectionTable) -> None:
    """Close the idle connections; the others take no further requests."""
    for connection in list(table.open):
        connection.closing = True
        if not table.is_idle(connection):
            continue
        # A request that has arrived unseen still gets a response.
        if not http_protocol.has_unread_data(connection.sock):
            http_client.shut_down(connection.sock)


def close_idle(table: connection_table.ConnectionTable) -> bool:
    """Close the connection that is idle longest; False if there is none."""
    for connection in table.closable(time.monotonic()):
        if http_protocol.has_unread_data(connection.sock):
            # A request has arrived that its task has not seen yet.
            continue
        connection.closing = True
        table.remove(connection)
        http_client.shut_down(connection.sock)
        return True
    return False


def close(sock: Any) -> None:
    """Close a connection; ignores errors."""
    http_client.shut_down(sock)
    try:
        sock.close()
    except OSError:
        # The descriptor is free even if the kernel reports an error.
        pass


def refuse(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    """Answer a request on a connection beyond the limit: it has not run."""
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(_REFUSAL_BODY))),
        ("Retry-After", str(round(REFUSAL_SECONDS))),
        ("X-Outcome", "not-run"),
        ("Connection", "close"),
    ]
    start_response("503 Service Unavailable", headers)
    return [_REFUSAL_BODY]


def format_trace(error: Exception) -> str:
    """Return the last frames of an error that ended a connection."""
    return "".join(traceback.format_exception(error, limit=-3))
