"""HTTP/1.1 protocol handler for WSGI applications.

The request loop of eventlet takes about as long as the rest of a short
request: it parses heads with the email package, and formats and writes the
parts of each response separately. This handler builds only the part of the
WSGI environment that the applications use, sends each response with one call
and runs the requests that a caller sends ahead side by side.
"""

from collections.abc import Callable
from collections.abc import Iterable
import email.utils
import functools
import math
import socket
import time
import traceback
from typing import Any
from urllib import parse

import eventlet
from eventlet import hubs

from hickorythread import connection_reader
from hickorythread import connection_table
from hickorythread import http_client
from hickorythread import http_fields
from hickorythread import http_requests
from hickorythread import logs
from hickorythread import memory_budget
from hickorythread import pipelining
from hickorythread import turns

MAX_DISCARDED_BYTES = 2 * 1024 * 1024
# How long a connection is kept after its last response, so that the caller can
# read it.
LINGER_SECONDS = 1.0
IDLE_SECONDS = 75.0
REQUEST_SECONDS = 30.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Returned by an application that responds through its exchange later.
DEFERRED: list[bytes] = []

# Where all connections put what they read only to discard it.
_DISCARDED = bytearray(65_536)
_HEAD_ERROR_REASONS = {
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


class ConnectionOptions:
    """Hold what the connections of one server share.

    request_seconds limits the time from the first byte of a request to the
    last one, idle_seconds that without any byte. memory counts the bytes of
    requests and responses.
    """

    __slots__ = (
        "backlog",
        "idle_seconds",
        "request_seconds",
        "draining",
        "memory",
    )

    def __init__(
        self,
        backlog: pipelining.Backlog | None = None,
        idle_seconds: float = IDLE_SECONDS,
        request_seconds: float = REQUEST_SECONDS,
        memory: memory_budget.MemoryBudget | None = None,
    ) -> None:
        self.backlog = backlog or pipelining.Backlog()
        self.idle_seconds = idle_seconds
        self.request_seconds = request_seconds
        self.memory = memory or memory_budget.MemoryBudget.unlimited()
        # Once set, further requests are refused, on any connection.
        self.draining = False


class Exchange:
    """Hold one request of a connection until its response is sent.

    An application either returns the body, or returns DEFERRED and calls
    respond() later. on_abandoned is called if the caller disconnects first.
    """

    __slots__ = (
        "protocol",
        "head_only",
        "keeps_http10",
        "body",
        "status",
        "headers",
        "content",
        "done",
        "on_abandoned",
    )

    def __init__(
        self, protocol: "HttpProtocol", head: http_requests.Head
    ) -> None:
        self.protocol = protocol
        self.head_only = head.method == "HEAD"
        self.keeps_http10 = head.is_http10
        self.body = http_requests.Body(
            protocol.rfile,
            head,
            protocol.send_continue,
            protocol.options.memory.hold(),
        )
        self.status = ""
        self.headers: list[tuple[str, str]] = []
        self.content = b""
        self.done = False
        self.on_abandoned: Callable[[], None] | None = None

    @property
    def size(self) -> int:
        """Return the length of the response body."""
        return len(self.content)

    @property
    def is_first(self) -> bool:
        """Return whether all earlier requests have been answered."""
        return self.protocol.responses.is_first(self)

    def wait_until_first(self) -> bool:
        """Wait for the earlier responses; return False if the caller left."""
        return self.protocol.wait_until(lambda: self.is_first)

    def connected(self) -> bool:
        """Return whether the caller is still connected."""
        return self.protocol.caller_connected()

    def start_response(
        self, status: str, headers: list[tuple[str, str]], *_: Any
    ) -> Callable[[bytes], None]:
        """Set the status and the headers, as WSGI defines it."""
        self.status = status
        self.headers = headers
        return _reject_write

    def reserve(self, size: int) -> bool:
        """Count the content of a response; return False without room."""
        return self.protocol.hold.grow(size, memory_budget.IN_HAND)

    def respond(self, content: bytes) -> None:
        """Send the response as soon as the earlier ones have been sent."""
        self.content = content
        self.protocol.respond(self)

    def render(self, closes: bool) -> bytes:
        """Return the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status}"]
        has_date = False
        for name, value in self.headers:
            if name != "Connection" and http_fields.is_valid(name, value):
                lines.append(f"{name}: {value}")
                has_date = has_date or name.lower() == "date"
        if closes:
            lines.append("Connection: close")
        elif self.keeps_http10:
            lines.append("Connection: keep-alive")
        if not has_date:
            lines.append(f"Date: {_format_date(int(time.time()))}")
        lines.append("\r\n")
        head = "\r\n".join(lines).encode("latin1")
        return head if self.head_only else head + self.content

    def drop_content(self) -> None:
        """Drop what a sent response needs no more.

        The exchange and on_abandoned refer to each other, so that only the
        garbage collector would free the content.
        """
        self.content = b""
        self.on_abandoned = None

    def wants_close(self) -> bool:
        """Return whether the connection cannot be used after the response."""
        return not self.body.complete or any(
            name == "Connection" for name, _ in self.headers
        )


class HttpProtocol:
    """Serve the requests of one connection.

    Its task reads the requests. Those of an application that defers its
    responses run side by side; the responses leave in the order of the
    requests. Only the last one of a connection announces that it closes, so
    that no request behind it has been handed to the application.
    """

    def __init__(
        self,
        options: ConnectionOptions,
        accepted: connection_table.Connection,
        app: Callable[..., Iterable[bytes]],
    ) -> None:
        self.options = options
        self.accepted = accepted
        self.app = app
        self.connection = accepted.sock
        self.rfile = connection_reader.ConnectionReader(self.connection)
        self.rfile.idle_timeout = options.idle_seconds
        self.rfile.chunk_bytes = connection_reader.HEAD_CHUNK_BYTES
        self.responses: pipelining.ResponseQueue[Exchange] = (
            pipelining.ResponseQueue(options.backlog)
        )
        # Set once no further request is read, and once the caller has been
        # told so.
        self.closing = False
        self.announced_close = False
        # Set while the task of the connection reads the head of a request, and
        # whether bytes of that request have arrived.
        self.receiving = False
        self.head_begun = False
        self.abandoned = False
        self.waiting_task: Any = None
        self.unsent: list[bytes] = []
        # Counts the responses that have not been sent completely.
        self.hold = options.memory.hold()

    def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            # Fails if the caller has reset the connection meanwhile.
            self.connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            while self._may_continue() and self._serve_request():
                pass
            self.closing = True
            if self.wait_until(self._all_sent):
                self._linger()
        except (OSError, EOFError):
            # The caller has disconnected or timed out; no response is needed.
            pass
        finally:
            self._abandon()

    def respond(self, exchange: Exchange) -> None:
        """Send the responses that a finished exchange completes."""
        if self.abandoned:
            self.hold.release()
            return
        if self._is_draining() or exchange.wants_close():
            self.closing = True
        ready = self.responses.complete(exchange)
        closes = self.closing and not self.responses.open
        try:
            data = b"".join(
                item.render(closes and item is ready[-1]) for item in ready
            )
        except MemoryError:
            self.drop()
            return
        for item in ready:
            item.drop_content()
        if data:
            self.announced_close = closes
            self._send(data)
        self._release_sent()
        self._progressed()

    def _release_sent(self) -> None:
        """Give back the memory of the responses that have been sent."""
        kept = self.responses.held_bytes
        if self.unsent:
            kept += sum(map(len, self.unsent))
        if self.hold.size > kept:
            self.hold.shrink(self.hold.size - kept)

    def send_continue(self) -> None:
        """Ask the caller for a body, after the responses that precede it."""
        if self.wait_until(lambda: len(self.responses.open) == 1):
            self._send(CONTINUE)

    def drop(self) -> None:
        """Abandon all requests of a caller that has disconnected."""
        self._abandon()
        http_client.shut_down(self.connection)
        self._progressed()

    def caller_connected(self) -> bool:
        """Return whether the caller is still connected.

        The task of the connection notices a disconnect itself while it waits
        for the next request.
        """
        if self.receiving:
            return True
        return is_connected(self.connection)

    def wait_until(self, condition: Callable[[], bool]) -> bool:
        """Suspend the task of the connection until a condition holds.

        Returns False if the caller disconnects first.
        """
        while not condition():
            if self.abandoned:
                return False
            self.waiting_task = eventlet.getcurrent()
            hubs.get_hub().switch()
        return True

    def _progressed(self) -> None:
        """Let the task of the connection go on after a change of its state."""
        if self._all_sent() and not self.head_begun and self.rfile.is_empty():
            # On shutdown the server closes only idle connections.
            self.accepted.table.mark_idle(self.accepted, time.monotonic())
        task, self.waiting_task = self.waiting_task, None
        if task is not None:
            hubs.get_hub().schedule_call_global(0, task.switch)
        elif self.receiving and self.closing and self._all_sent():
            self._stop_receiving()

    def _stop_receiving(self) -> None:
        """Close the sending side; end the wait for a request soon after."""
        try:
            self.connection.shutdown(socket.SHUT_WR)
        except OSError:
            return
        hubs.get_hub().schedule_call_global(
            LINGER_SECONDS, http_client.shut_down, self.connection
        )

    def _is_draining(self) -> bool:
        """Return whether the server starts no further requests."""
        return self.accepted.closing or self.options.draining

    def _all_sent(self) -> bool:
        return not self.responses.open and not self.unsent

    def _may_continue(self) -> bool:
        """Wait until the next request may be read; False if none may."""
        # Before a request is begun: one that has been read must not wait here.
        self.rfile.turn.spend(turns.MESSAGE_UNITS)
        if not (self.closing or self.responses.may_read()):
            self.wait_until(lambda: self.closing or self.responses.may_read())
        return not self.closing

    def _serve_request(self) -> bool:
        """Read and start one request; return whether to read another."""
        self.receiving = True
        try:
            if not self._wait_for_request():
                return False
            head = self._read_head()
        finally:
            self.receiving = self.head_begun = False
        if self.abandoned or self.announced_close:
            # The caller knows that this request is not read.
            return False
        if isinstance(head, http_requests.HeadError):
            self._reject(head)
            return False
        if self.closing or self._is_draining():
            self._reject(
                http_requests.HeadError(503, "process ends", "stopping"),
                head.method,
            )
            return False
        exchange = Exchange(self, head)
        self.responses.add(exchange)
        self.closing = head.closes
        self._run_application(exchange, head)
        return not self.closing

    def _wait_for_request(self) -> bool:
        """Wait for the first bytes of a request; False if none come."""
        reader = self.rfile
        if not reader.is_empty():
            return True
        reader.deadline = math.inf
        try:
            received = reader.fill()
        except TimeoutError:
            # The requests that are still open get their responses.
            return False
        if not received:
            self._abandon()
        return received

    def _read_head(self) -> http_requests.Head | http_requests.HeadError:
        """Read the head of a request, or return what is wrong with it."""
        self.head_begun = True
        if self._all_sent():
            self.accepted.table.mark_reading(self.accepted, time.monotonic())
        self.rfile.limit(self.options.request_seconds)
        try:
            return http_requests.read_head(self.rfile)
        except http_requests.HeadError as error:
            return error
        except TimeoutError:
            return http_requests.HeadError(408, "request head took too long")
        finally:
            self.accepted.table.mark_busy(self.accepted)

    def _make_environ(
        self, exchange: Exchange, head: http_requests.Head
    ) -> dict[str, Any]:
        """Build the WSGI environment of a request."""
        environ: dict[str, Any] = {}
        path, _, query = head.target.partition("?")
        environ.update(head.fields)
        environ["REQUEST_METHOD"] = head.method
        environ["SCRIPT_NAME"] = ""
        environ["RAW_PATH_INFO"] = path
        environ["hickorythread.path"] = head.target
        environ["PATH_INFO"] = (
            parse.unquote(path, "latin1") if "%" in path else path
        )
        environ["QUERY_STRING"] = query
        environ["SERVER_PROTOCOL"] = head.version
        environ["headers_raw"] = head.headers
        environ["wsgi.input"] = exchange.body
        environ["hickorythread.socket"] = self.connection
        environ["hickorythread.exchange"] = exchange
        return environ

    def _run_application(
        self, exchange: Exchange, head: http_requests.Head
    ) -> None:
        try:
            parts: Iterable[bytes] = self.app(
                self._make_environ(exchange, head), exchange.start_response
            )
        except (OSError, EOFError):
            raise
        except Exception as error:
            logs.error(
                "application_failed",
                error=f"{type(error).__name__}: {error}",
                trace=traceback.format_exc(limit=-3),
            )
            if exchange.done:
                return
            headers = [("X-Outcome", "unknown"), ("Content-Length", "0")]
            exchange.start_response("500 Internal Server Error", headers)
            parts = []
        if parts is DEFERRED:
            return
        if not exchange.status:
            raise EOFError("the caller has disconnected")
        exchange.respond(b"".join(parts))

    def _abandon(self) -> None:
        """Tell the applications that the caller has disconnected."""
        self.closing = self.abandoned = True
        self.hold.release()
        for exchange in self.responses.clear():
            if exchange.on_abandoned is not None:
                exchange.on_abandoned()

    def _send(self, data: bytes) -> None:
        """Send without waiting; another task sends what remains."""
        if self.unsent:
            self.unsent.append(data)
            return
        try:
            sent = self.connection.fd.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.drop()
            return
        if sent < len(data):
            self.unsent.append(data[sent:])
            self.options.backlog.writers += 1
            eventlet.spawn_n(self._send_rest)

    def _send_rest(self) -> None:
        self.hold.wait_for_peer(self.drop, memory_budget.SLOW_READER_SECONDS)
        try:
            while self.unsent:
                self._send_all(self.unsent[0])
                del self.unsent[0]
                self._release_sent()
        except OSError:
            self._abandon()
            http_client.shut_down(self.connection)
        finally:
            self.unsent.clear()
            self.hold.end_wait()
            self._release_sent()
            self.options.backlog.writers -= 1
            self._progressed()

    def _send_all(self, data: bytes) -> None:
        """Send without copies of the rest, as sendall() makes them."""
        rest = memoryview(data)
        while rest:
            sent = self.connection.send(rest)
            self.hold.progress(sent)
            rest = rest[sent:]

    def _linger(self) -> None:
        """Discard what the caller still sends for a limited time.

        Closing a socket with unread data resets the connection, which may
        destroy the response before the caller has read it.
        """
        try:
            self.connection.shutdown(socket.SHUT_WR)
        except OSError:
            return
        bytes_left = MAX_DISCARDED_BYTES
        with eventlet.Timeout(LINGER_SECONDS, False):
            while bytes_left > 0 and (
                size := self.connection.recv_into(_DISCARDED)
            ):
                bytes_left -= size

    def _reject(
        self, error: http_requests.HeadError, method: str = "GET"
    ) -> None:
        """Respond to a request that is not read further; it is the last."""
        self.closing = True
        exchange = Exchange(self, http_requests.Head(method, "/", "HTTP/1.1"))
        text = f'{{"reason": "{error.reason}", "message": "{error.message}"}}'
        body = text.encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("X-Outcome", "not-run"),
        ]
        reason = _HEAD_ERROR_REASONS.get(error.status, "Bad Request")
        exchange.start_response(f"{error.status} {reason}", headers)
        self.responses.add(exchange)
        exchange.respond(body)


def is_connected(sock: Any) -> bool:
    """Return whether the peer of a green socket is still connected."""
    try:
        data = sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return bool(data)


def has_unread_data(sock: Any) -> bool:
    """Return whether bytes of the peer of a green socket wait to be read."""
    try:
        data = sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return False
    return bool(data)


def _reject_write(data: bytes) -> None:
    raise NotImplementedError("write() is not supported, return the body")


@functools.lru_cache(maxsize=1)
def _format_date(seconds: int) -> str:
    return email.utils.formatdate(seconds, usegmt=True)
