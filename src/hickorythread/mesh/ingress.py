"""WSGI applications of a sidecar: requests, readiness and metrics."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from hickorythread import http_protocol
from hickorythread import http_requests
from hickorythread import memory_budget
from hickorythread import server
from hickorythread.mesh import events
from hickorythread.mesh import explanation
from hickorythread.mesh import reasons

MAX_BODY_BYTES = 1_800_000

_STATUS_TEXTS = {
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class ClientExchange:
    """Deliver the response to one request to the client's connection."""

    __slots__ = ("app", "exchange", "received_at", "number", "hold")

    def __init__(
        self,
        app: "RequestApp",
        exchange: http_protocol.Exchange,
        received_at: float,
        number: int,
    ) -> None:
        self.app = app
        self.exchange = exchange
        self.received_at = received_at
        self.number = number
        self.hold = exchange.body.hold
        exchange.on_abandoned = self._abandoned

    def connected(self) -> bool:
        """Return whether the client is still connected."""
        return self.exchange.connected()

    def deliver(self, response: events.Response) -> None:
        """Send the response to the client."""
        self.hold.release()
        self.app.respond(self.exchange, response, close=self.app.node.stopping)

    def disconnect(self) -> None:
        """Give up all requests of a connection whose client is gone."""
        self.exchange.protocol.drop()

    def _abandoned(self) -> None:
        self.app.node.client_disconnected(self.number)


class RequestApp:
    """Pass the requests of clients to the node.

    Requests that a client sends before it has the response to an earlier one
    run side by side, except that one which must not repeat starts only after
    the earlier ones are answered: the client sends again what it finds behind
    a response that closes the connection.
    """

    def __init__(self, node: Any) -> None:
        self.node = node

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        exchange: http_protocol.Exchange = environ["hickorythread.exchange"]
        try:
            body = self._read_body(environ, exchange.body)
        except server.BadRequest as error:
            exchange.body.hold.release()
            response = events.Response(error.status, [], b"", error.reason)
            self.respond(exchange, response, close=True)
            return http_protocol.DEFERRED
        except (http_requests.BodyRefused, MemoryError):
            exchange.body.hold.release()
            # If the body is unread, the connection closes.
            self.respond(exchange, _refusal(), close=False)
            return http_protocol.DEFERRED
        except (OSError, EOFError):
            exchange.body.hold.release()
            raise
        request = self.node.dialect.read_request(
            self.node.next_number(),
            environ,
            body,
            self.node.clock.monotonic(),
        )
        if exchange.is_first or self._may_start(exchange, request):
            client = ClientExchange(
                self, exchange, request.received_at, request.number
            )
            self.node.submit(request, client)
        else:
            exchange.body.hold.release()
        return http_protocol.DEFERRED

    def _read_body(
        self, environ: server.Environ, body: http_requests.Body
    ) -> bytes:
        """Return the body; its memory is counted before it is read."""
        limit = self._body_limit()
        size = body.remaining
        if size <= limit and not body.hold.grow(
            memory_budget.REQUEST_BYTES + size, memory_budget.use_of_body(size)
        ):
            raise http_requests.BodyRefused("no memory for the body")
        return server.read_body(environ, limit)

    def _may_start(
        self, exchange: http_protocol.Exchange, request: events.Request
    ) -> bool:
        """Return whether to start a request, after a wait if it needs one."""
        if self.node.may_repeat(request):
            return True
        return exchange.wait_until_first()

    def _body_limit(self) -> int:
        configuration = self.node.view.configuration
        if configuration is None:
            return MAX_BODY_BYTES
        limit: int = configuration.limits.body_bytes
        return min(MAX_BODY_BYTES, limit)

    def respond(
        self,
        exchange: http_protocol.Exchange,
        response: events.Response,
        close: bool,
    ) -> None:
        """Send a response through an exchange."""
        if not exchange.reserve(len(response.body)):
            # The request may have run, which 502 does not deny.
            response = events.Response(502, [], b"", reasons.MEMORY)
        headers = [
            (name, value)
            for name, value in self.node.dialect.response_headers(response)
        ]
        body = response.body
        if close:
            headers.append(("Connection", "close"))
        headers.append(("Content-Length", str(len(body))))
        text = _STATUS_TEXTS.get(response.status, "Status")
        if response.status < 300:
            text = "OK"
        exchange.start_response(f"{response.status} {text}", headers)
        exchange.respond(body)


def _refusal() -> events.Response:
    """Return the response to a request for which there is no memory."""
    return events.Response(
        503,
        [],
        b"",
        reasons.MEMORY,
        retry_after=memory_budget.RETRY_AFTER_SECONDS,
    )


class ReadinessApp:
    """Serve the readiness check of the platform."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        ready = self.ready()
        status = 200 if ready else 503
        return server.send_response(start_response, status, {"ready": ready})


class MetricsApp:
    """Serve metrics and the node's status to operators."""

    def __init__(self, node: Any) -> None:
        self.node = node

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/status":
            return server.send_response(
                start_response, 200, self.node.status()
            )
        if environ["PATH_INFO"] == "/explain":
            return self._explain(environ["QUERY_STRING"], start_response)
        metrics = self.node.render_metrics()
        return server.send_response(start_response, 200, metrics)

    def _explain(
        self, query: str, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        try:
            question = explanation.Question.from_query(query)
        except explanation.QuestionError as error:
            message = {"error": str(error)}
            return server.send_response(start_response, 400, message)
        document = self.node.explain(question)
        return server.send_response(start_response, 200, document)
