"""HTTP client of the local target; it never sends a request twice."""

import http.client

import eventlet
import urllib3

from hickorythread import descriptors
from hickorythread import http_client
from hickorythread import http_requests
from hickorythread import interfaces as base_interfaces
from hickorythread import keepalive
from hickorythread import memory_budget
from hickorythread import utils
from hickorythread.mesh import events
from hickorythread.mesh import interfaces
from hickorythread.mesh import messages
from hickorythread.mesh import reasons

MAX_RESPONSE_BYTES = 1_900_000
CONNECT_TIMEOUT_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.8
# A target may respond right at the deadline; this is the time its response
# takes to arrive.
RESPONSE_MARGIN_SECONDS = 0.06
MIN_REMAINING_SECONDS = 0.005
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
IDLE_TIMEOUT_FRACTION = 0.7
MAX_RESPONSES_PER_REQUEST = 4
MAX_REQUESTS_PER_CONNECTION = 1000
# How often a response that has no memory yet asks again.
MEMORY_CHECK_SECONDS = 0.02
BODYLESS_METHODS = frozenset(("GET", "HEAD", "DELETE"))


class _TargetConnection:
    """Hold a persistent connection to the target.

    request_ids holds the ids of all requests sent on it. Only the id tells
    which request a response belongs to, so that no id may be sent twice: a
    second copy of the first response would pass for the second one.
    expires_at is the time until which it may stay idle.
    """

    __slots__ = ("connection", "request_ids", "expires_at")

    def __init__(self, connection: http_client.Connection) -> None:
        self.connection = connection
        self.request_ids: set[str] = set()
        self.expires_at = 0.0

    def may_carry(self, request_id: str) -> bool:
        """Return whether the response to a request would be unambiguous."""
        return request_id not in self.request_ids

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


class _ActiveRequest:
    """Hold the state of a running request that another task can cancel."""

    __slots__ = ("connection", "cancelled", "hold")

    def __init__(self, hold: memory_budget.Hold) -> None:
        self.connection: http_client.Connection | None = None
        self.cancelled = False
        self.hold = hold


class _StaleConnectionError(Exception):
    """Report that the target has closed a persistent connection early."""


class TargetClient:
    """Send requests to one address over persistent connections."""

    def __init__(
        self,
        address: str,
        dialect: interfaces.Dialect,
        clock: base_interfaces.Clock,
        memory: memory_budget.MemoryBudget | None = None,
    ) -> None:
        self.memory = memory or memory_budget.MemoryBudget.unlimited()
        self.dialect = dialect
        self.clock = clock
        self.host, self.port = utils.split_address(address)
        self.idle: list[_TargetConnection] = []
        self.active_requests: dict[int, _ActiveRequest] = {}

    @property
    def connections(self) -> int:
        """Return how many connections are open, or being opened."""
        return len(self.active_requests) + len(self.idle)

    def run(
        self, action: events.Run
    ) -> events.TargetResponse | events.Failure:
        """Send a request once and wait for its response.

        The memory of the response is counted until it is returned.
        """
        active = _ActiveRequest(self.memory.hold())
        self.active_requests[action.run_id] = active
        try:
            result = self._run(action, active)
        except MemoryError:
            result = events.Failure(reasons.MEMORY)
        finally:
            active.hold.release()
            del self.active_requests[action.run_id]
        if isinstance(result, events.Failure) and active.cancelled:
            if result.kind in ("lost", "timeout"):
                return events.Failure("cancelled")
        return result

    def cancel(self, run_id: int) -> None:
        """Cancel a request by closing its connection."""
        active = self.active_requests.get(run_id)
        if active is None:
            return
        active.cancelled = True
        if active.connection is not None:
            active.connection.abort()

    def probe(self, path: str) -> events.TargetResponse | events.Failure:
        """Request the target's id and warm-up over a new connection."""
        try:
            connection = self._connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _connect_failure(error)
        try:
            connection.reader.limit(PROBE_TIMEOUT_SECONDS)
            head = (
                f"GET {path} HTTP/1.1\r\nHost: {self.host}\r\n"
                "Connection: close\r\n\r\n"
            )
            http_client.send(
                connection.sock,
                head.encode("latin-1"),
                b"",
                PROBE_TIMEOUT_SECONDS,
            )
            response = http_client.read_response_head(
                connection, "GET", http_client.CloseDelimitedResponse
            )
            body = http_client.read_body(response, MAX_RESPONSE_BYTES)
            return self.dialect.read_response(
                response.status, response.fields, body
            )
        except (http.client.HTTPException, OSError, EOFError, ValueError) as e:
            return events.Failure("lost", _describe(e))
        finally:
            connection.close()

    def expire(self, now: float) -> None:
        """Close idle connections before the target does."""
        still_idle = []
        for idle in self.idle:
            if now < idle.expires_at:
                still_idle.append(idle)
            else:
                idle.close()
        self.idle = still_idle

    def drop_idle(self) -> None:
        """Close all idle connections; they may belong to an old process."""
        while self.idle:
            self.idle.pop().close()

    def _run(
        self, action: events.Run, active: _ActiveRequest
    ) -> events.TargetResponse | events.Failure:
        try:
            target_connection = self._acquire(action.call.request_id)
        except _StaleConnectionError:
            return events.Failure("stale")
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _connect_failure(error)
        connection = target_connection.connection
        remaining = action.deadline - self.clock.monotonic()
        if active.cancelled or remaining < MIN_REMAINING_SECONDS:
            connection.close()
            return events.Failure("late")
        reusable = False
        active.connection = connection
        try:
            self._send(connection, action, remaining)
            response, body = self._receive(connection, action, active)
            reusable = http_client.may_follow(connection.reader, response)
            if reusable:
                self._keep(target_connection, action.call, response)
            return self.dialect.read_response(
                response.status, response.fields, body
            )
        except TimeoutError:
            return events.Failure("timeout")
        except (http.client.HTTPException, OSError, EOFError, ValueError) as e:
            return events.Failure("lost", _describe(e))
        finally:
            active.connection = None
            if not reusable:
                connection.close()

    def _keep(
        self,
        connection: _TargetConnection,
        call: messages.Forward,
        response: http_client.Response,
    ) -> None:
        """Keep a connection for further requests."""
        connection.request_ids.add(call.request_id)
        if len(connection.request_ids) >= MAX_REQUESTS_PER_CONNECTION:
            connection.close()
            return
        connection.expires_at = self.clock.monotonic() + _idle_timeout(
            response
        )
        self.idle.append(connection)

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
        connection.reader.limit(remaining + RESPONSE_MARGIN_SECONDS)
        http_client.send(connection.sock, head, call.body, remaining)

    def _receive(
        self,
        connection: http_client.Connection,
        action: events.Run,
        active: _ActiveRequest,
    ) -> tuple[http_client.Response, bytes]:
        """Read the response to a call; skip responses to earlier calls."""

        def reserve(size: int) -> None:
            self._reserve(active, size, action.deadline)

        for _ in range(MAX_RESPONSES_PER_REQUEST):
            response = http_client.read_response_head(
                connection,
                action.call.method,
                http_client.CloseDelimitedResponse,
            )
            body = http_client.read_body(response, MAX_RESPONSE_BYTES, reserve)
            if self.dialect.matches_call(action.call, response.fields):
                self._check_signature(response)
                return response, body
            if response.will_close:
                break
        raise http.client.HTTPException("response belongs to another request")

    def _check_signature(self, response: http_client.Response) -> None:
        """Raise HTTPException if a success does not come from a target."""
        if response.status < 300 and not self.dialect.is_signed(
            response.fields
        ):
            raise http.client.HTTPException("success without a signature")

    def _reserve(
        self, active: _ActiveRequest, size: int, deadline: float
    ) -> None:
        """Count a response before it is read; waits for room."""
        use = memory_budget.IN_HAND
        while not active.hold.grow(size, use):
            while not self.memory.has_room(size, use):
                if active.cancelled or self.clock.monotonic() >= deadline:
                    raise MemoryError("no memory for the response")
                eventlet.sleep(MEMORY_CHECK_SECONDS)

    def _acquire(self, request_id: str) -> _TargetConnection:
        """Return a connection on which the id has not been sent before.

        Raises _StaleConnectionError if the target has closed the idle one.
        """
        now = self.clock.monotonic()
        for idle in reversed(self.idle.copy()):
            if now < idle.expires_at and not idle.may_carry(request_id):
                continue
            self.idle.remove(idle)
            if now >= idle.expires_at:
                idle.close()
            elif http_client.is_usable(idle.connection.sock):
                return idle
            else:
                idle.close()
                raise _StaleConnectionError
        return _TargetConnection(self._connect())

    def _connect(self) -> http_client.Connection:
        connection = http_client.Connection(
            self.host,
            self.port,
            timeout=CONNECT_TIMEOUT_SECONDS,
            socket_options=keepalive.OPTIONS,
        )
        connection.connect()
        return connection


def _idle_timeout(response: http_client.Response) -> float:
    """Return how many seconds a connection may stay idle."""
    for name, value in response.fields:
        if name.lower() == "keep-alive":
            for part in value.split(","):
                key, _, text = part.strip().partition("=")
                seconds = http_requests.parse_count(text)
                if key == "timeout" and seconds is not None:
                    return IDLE_TIMEOUT_FRACTION * seconds
    return DEFAULT_IDLE_TIMEOUT_SECONDS


def _connect_failure(error: Exception) -> events.Failure:
    """Return why there is no connection; nothing has been sent."""
    shortage = descriptors.is_shortage(error)
    kind = events.NO_DESCRIPTOR if shortage else "connect"
    return events.Failure(kind, _describe(error))


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:200]
