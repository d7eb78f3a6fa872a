"""WSGI applications of a sidecar: requests, readiness and metrics."""

from collections.abc import Callable
from collections.abc import Iterable
import json
from typing import Any

from hickorythread import server
from hickorythread.mesh import events

MAX_BODY_BYTES = 1_800_000

_STATUS_TEXTS = {
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class RequestApp:
    """Pass the requests of clients to the node."""

    def __init__(self, node: Any) -> None:
        self.node = node

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        try:
            body = server.read_body(environ, self._body_limit())
        except server.BadRequest as error:
            response = events.Response(error.status, [], b"", error.reason)
            return self._respond(response, start_response, close=True)
        request = self.node.dialect.read_request(
            self.node.next_number(),
            environ,
            body,
            self.node.clock.monotonic(),
        )
        is_connected = server.make_connection_check(environ)
        response = self.node.submit(request, is_connected)
        if response is None:
            return []
        return self._respond(
            response, start_response, close=self.node.stopping
        )

    def _body_limit(self) -> int:
        configuration = self.node.view.configuration
        if configuration is None:
            return MAX_BODY_BYTES
        limit: int = configuration.limits.body_bytes
        return min(MAX_BODY_BYTES, limit)

    def _respond(
        self,
        response: events.Response,
        start_response: server.StartResponse,
        close: bool,
    ) -> Iterable[bytes]:
        headers = [
            (name, value)
            for name, value in self.node.dialect.response_headers(response)
        ]
        body = response.body
        if not response.from_target:
            body = json.dumps({"reason": response.reason}).encode()
            headers.append(("Content-Type", "application/json"))
        if close:
            headers.append(("Connection", "close"))
        headers.append(("Content-Length", str(len(body))))
        text = _STATUS_TEXTS.get(response.status, "Status")
        if response.status < 300:
            text = "OK"
        start_response(f"{response.status} {text}", headers)
        return [body]


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
        metrics = self.node.render_metrics()
        return server.send_response(start_response, 200, metrics)
