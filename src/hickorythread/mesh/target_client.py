"""HTTP client of the target beside this node; sends nothing twice."""

import http.client
from typing import Any

import urllib3

from hickorythread import http_client
from hickorythread import interfaces as base_interfaces
from hickorythread import keepalive
from hickorythread import utils
from hickorythread.mesh import events
from hickorythread.mesh import interfaces

MAX_RESPONSE_BYTES = 1_900_000
CONNECT_SECONDS = 0.5
PROBE_SECONDS = 0.8
# The target answers at the deadline itself; its answer needs this long.
ANSWER_SECONDS = 0.06
MIN_REMAINING_SECONDS = 0.005
DEFAULT_IDLE_SECONDS = 4.0
IDLE_SHARE = 0.7
MAX_STRAY_ANSWERS = 4
BODYLESS_METHODS = frozenset(("GET", "HEAD", "DELETE"))


class _Response(http_client.Response):
    """Accept bodies that end with their connection."""

    until_close = True


class _Idle:
    """Hold a connection that waits for its next request."""

    __slots__ = ("connection", "until")

    def __init__(
        self, connection: http_client.Connection, until: float
    ) -> None:
        self.connection = connection
        self.until = until


class _Exchange:
    """Track one request so that another task may break it off."""

    __slots__ = ("sock", "cancelled")

    def __init__(self) -> None:
        self.sock: Any = None
        self.cancelled = False


class _StaleError(Exception):
    """Report that the target closed an idle connection early."""


class TargetClient:
    """Run requests at one address over kept connections."""

    def __init__(
        self,
        address: str,
        dialect: interfaces.Dialect,
        clock: base_interfaces.Clock,
    ) -> None:
        self.dialect = dialect
        self.clock = clock
        self.host, self.port = utils.split_address(address)
        self.idle: list[_Idle] = []
        self.exchanges: dict[int, _Exchange] = {}

    def run(self, action: events.Run) -> events.Answer | events.Failure:
        """Send a request once and wait for its response."""
        exchange = _Exchange()
        self.exchanges[action.run_id] = exchange
        try:
            result = self._run(action, exchange)
        finally:
            del self.exchanges[action.run_id]
        if isinstance(result, events.Failure) and exchange.cancelled:
            if result.kind in ("lost", "timeout"):
                return events.Failure("cancelled")
        return result

    def cancel(self, run_id: int) -> None:
        """Break off a request; the target drops it."""
        exchange = self.exchanges.get(run_id)
        if exchange is None:
            return
        exchange.cancelled = True
        if exchange.sock is not None:
            http_client.shut_down(exchange.sock)

    def probe(self, path: str) -> events.Answer | events.Failure:
        """Ask for the target's id and warm-up on a new connection."""
        try:
            connection = self._connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return events.Failure("connect", _describe(error))
        try:
            sock = connection.sock
            sock.settimeout(PROBE_SECONDS)
            sock.sendall(
                f"GET {path} HTTP/1.1\r\nHost: {self.host}\r\n"
                "Connection: close\r\n\r\n".encode("latin-1")
            )
            response = http_client.begin(connection, "GET", _Response)
            body = self._read_body(
                connection, response, self.clock.monotonic() + PROBE_SECONDS
            )
            return self.dialect.read_answer(
                response.status, response.fields, body
            )
        except (http.client.HTTPException, OSError, EOFError, ValueError) as e:
            return events.Failure("lost", _describe(e))
        finally:
            connection.close()

    def expire(self, now: float) -> None:
        """Close connections that the target is about to close."""
        kept = []
        for idle in self.idle:
            if now < idle.until:
                kept.append(idle)
            else:
                idle.connection.close()
        self.idle = kept

    def drop_idle(self) -> None:
        """Close all idle connections, which may lead to an old process."""
        while self.idle:
            self.idle.pop().connection.close()

    def _run(
        self, action: events.Run, exchange: _Exchange
    ) -> events.Answer | events.Failure:
        try:
            connection = self._acquire()
        except _StaleError:
            return events.Failure("stale")
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return events.Failure("connect", _describe(error))
        remaining = action.deadline - self.clock.monotonic()
        if exchange.cancelled or remaining < MIN_REMAINING_SECONDS:
            connection.close()
            return events.Failure("late")
        until = 0.0
        exchange.sock = connection.sock
        try:
            self._send(connection, action, remaining)
            response, body = self._receive(connection, action)
            if not response.will_close and connection.reader.is_empty():
                until = self.clock.monotonic() + _idle_seconds(response)
            return self.dialect.read_answer(
                response.status, response.fields, body
            )
        except TimeoutError:
            return events.Failure("timeout")
        except (http.client.HTTPException, OSError, EOFError, ValueError) as e:
            return events.Failure("lost", _describe(e))
        finally:
            exchange.sock = None
            if until:
                self.idle.append(_Idle(connection, until))
            else:
                connection.close()

    def _send(
        self,
        connection: http_client.Connection,
        action: events.Run,
        remaining: float,
    ) -> None:
        call = action.call
        lines = [f"{call.method} {call.path} HTTP/1.1"]
        lines += self.dialect.target_headers(call, action.instance, remaining)
        if call.body or call.method not in BODYLESS_METHODS:
            lines.append(f"Content-Length: {len(call.body)}")
        lines.append("\r\n")
        head = "\r\n".join(lines).encode("latin-1")
        connection.sock.settimeout(remaining + ANSWER_SECONDS)
        http_client.send(connection.sock, head, call.body)

    def _receive(
        self, connection: http_client.Connection, action: events.Run
    ) -> tuple[http_client.Response, bytes]:
        """Read the answer to a call; skip those to earlier calls."""
        limit = action.deadline + ANSWER_SECONDS
        for _ in range(MAX_STRAY_ANSWERS):
            response = http_client.begin(
                connection, action.call.method, _Response
            )
            body = self._read_body(connection, response, limit)
            if self.dialect.is_answer(action.call, response.fields):
                return response, body
            if response.will_close:
                break
        raise http.client.HTTPException("the answer belongs to another call")

    def _read_body(
        self,
        connection: http_client.Connection,
        response: http_client.Response,
        limit: float,
    ) -> bytes:
        pieces: list[bytes] = []
        size = 0
        while True:
            remaining = limit - self.clock.monotonic()
            if remaining <= 0:
                raise TimeoutError
            connection.sock.settimeout(remaining)
            piece = response.read(http_client.READ_CHUNK_BYTES)
            if not piece:
                break
            pieces.append(piece)
            size += len(piece)
            if size > MAX_RESPONSE_BYTES:
                raise http.client.HTTPException("response too large")
        announced = response.body_length
        if announced is not None and size != announced:
            raise http.client.IncompleteRead(b"", announced - size)
        return b"".join(pieces)

    def _acquire(self) -> http_client.Connection:
        while self.idle:
            idle = self.idle.pop()
            if self.clock.monotonic() >= idle.until:
                idle.connection.close()
                continue
            if http_client.is_usable(idle.connection.sock):
                return idle.connection
            idle.connection.close()
            raise _StaleError
        return self._connect()

    def _connect(self) -> http_client.Connection:
        connection = http_client.Connection(
            self.host,
            self.port,
            timeout=CONNECT_SECONDS,
            socket_options=keepalive.OPTIONS,
        )
        connection.connect()
        return connection


def _idle_seconds(response: http_client.Response) -> float:
    """Return how long a connection may stay idle before it is closed."""
    for name, value in response.fields:
        if name.lower() == "keep-alive":
            for part in value.split(","):
                key, _, seconds = part.strip().partition("=")
                if key == "timeout" and seconds.isdigit():
                    return IDLE_SHARE * int(seconds)
    return DEFAULT_IDLE_SECONDS


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:200]
