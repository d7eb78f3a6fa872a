"""WSGI applications for callers and operators."""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import json
import math
from typing import Any
from urllib import parse

import eventlet

from hickorythread import acceptance
from hickorythread import connection_table
from hickorythread import events
from hickorythread import exceptions
from hickorythread import http_listener
from hickorythread import http_protocol
from hickorythread import http_requests
from hickorythread import messages

MAX_BODY_BYTES = 1024 * 1024
MAX_CONNECTIONS = 4096
MAX_DEADLINE_MS = 600_000
CALLER_CHECK_SECONDS = 0.1
STATUS_WAIT_SECONDS = 0.4
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    )
)

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class BadRequest(Exception):
    """Report a request that is rejected before it is handled."""

    def __init__(self, status: int, reason: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.message = message


class CallerApp:
    """Pass the HTTP requests of callers to the entry plane of a node."""

    def __init__(self, node: Any) -> None:
        self.node = node

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            return self._serve(environ, start_response)
        except BadRequest as error:
            response = events.Response(
                error.status,
                messages.NOT_RUN,
                [],
                error_body(error.reason, error.message),
                error.reason,
            )
            return self._respond(response, start_response, close=True)

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        path = environ["RAW_PATH_INFO"] or "/"
        # The X-Tenant header names the client account.
        client_account = environ.get("HTTP_X_TENANT", "")
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        refusal = self.node.check_head(method, path, client_account)
        if refusal is not None:
            # The body stays unread, so the connection cannot be reused.
            response = refusal_response(refusal, key)
            return self._respond(response, start_response, close=True)
        request = self._read_request(
            environ, method, path, client_account, key
        )
        is_connected = make_connection_check(environ)
        response = self.node.submit(request, is_connected)
        if response is None:
            return []
        return self._respond(response, start_response, method == "HEAD")

    def _read_request(
        self,
        environ: Environ,
        method: str,
        path: str,
        client_account: str,
        key: str,
    ) -> events.Request:
        now = self.node.clock.monotonic()
        query = environ["QUERY_STRING"]
        return events.Request(
            self.node.next_request_id(),
            method,
            f"{path}?{query}" if query else path,
            client_account,
            request_headers(environ),
            read_body(environ),
            key,
            read_integer_header(environ, "HTTP_X_RETRY_ATTEMPT", 1000) or 0,
            now,
            read_deadline(environ, now),
        )

    def _respond(
        self,
        response: events.Response,
        start_response: StartResponse,
        head_only: bool = False,
        close: bool = False,
    ) -> Iterable[bytes]:
        headers = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        headers.append(("X-Outcome", response.outcome))
        headers.append(("X-Config-Version", str(self.node.version())))
        if response.served_by:
            headers.append(("X-Served-By", response.served_by))
        if response.key:
            headers.append(("Idempotency-Key", response.key))
        if response.retry_after > 0:
            seconds = str(math.ceil(response.retry_after))
            headers.append(("Retry-After", seconds))
        if close:
            headers.append(("Connection", "close"))
        headers.append(("Content-Length", str(len(response.body))))
        start_response(status_line(response.status), headers)
        return [] if head_only else [response.body]


class OperatorApp:
    """Serve health checks, metrics, status and patch verdicts."""

    def __init__(self, node: Any) -> None:
        self.node = node
        self.routes: dict[str, Callable[[Environ], tuple[int, Any]]] = {
            "/healthz": self._liveness,
            "/readyz": self._readiness,
            "/metrics": self._metrics,
            "/status": self._status,
            "/config": self._config,
            "/explain": self._explain,
            "/patches/check": self._check_patch,
        }

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        try:
            route_handler = self.routes.get(path)
            if route_handler is not None:
                status, value = route_handler(environ)
            elif path.startswith("/patches/"):
                status, value = self._patch_verdict(path[len("/patches/") :])
            else:
                status, value = 404, {"error": f"no such resource: {path}"}
        except BadRequest as error:
            status, value = error.status, {"error": error.message}
        return send_response(start_response, status, value)

    def _liveness(self, environ: Environ) -> tuple[int, Any]:
        return 200, {"alive": True}

    def _readiness(self, environ: Environ) -> tuple[int, Any]:
        ready, reason = self.node.readiness()
        return (200 if ready else 503), {"ready": ready, "reason": reason}

    def _metrics(self, environ: Environ) -> tuple[int, Any]:
        return 200, self.node.metrics.render()

    def _status(self, environ: Environ) -> tuple[int, Any]:
        if environ["QUERY_STRING"] == "wait":
            # The first call queries the root of each failure domain.
            self.node.status()
            eventlet.sleep(STATUS_WAIT_SECONDS)
        return 200, self.node.status()

    def _config(self, environ: Environ) -> tuple[int, Any]:
        configuration = self.node.control.configuration
        document = acceptance.to_snapshot(configuration)
        document["previous_digest"] = document["previous_digest"].hex()
        document["digest"] = configuration.digest.hex()
        return 200, document

    def _explain(self, environ: Environ) -> tuple[int, Any]:
        query = parse.parse_qs(environ["QUERY_STRING"])
        method = query.get("method", ["GET"])[0]
        path = query.get("path", ["/"])[0]
        client_account = query.get("tenant", [""])[0]
        return 200, self.node.explain(method, path, client_account)

    def _check_patch(self, environ: Environ) -> tuple[int, Any]:
        if environ["REQUEST_METHOD"] != "POST":
            raise BadRequest(405, "method", "use POST with a patch document")
        try:
            document = json.loads(read_body(environ))
        except (ValueError, RecursionError) as error:
            raise BadRequest(400, "json", f"not JSON: {error}") from error
        return 200, self.node.check_patch(document)

    def _patch_verdict(self, patch_id: str) -> tuple[int, Any]:
        return 200, self.node.verdict(patch_id)


def request_headers(environ: Environ) -> list[list[str]]:
    """Return the headers of a request without the hop-by-hop ones."""
    headers = [
        [name, value]
        for name, value in environ["headers_raw"]
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]
    return headers


def read_body(environ: Environ, limit: int = MAX_BODY_BYTES) -> bytes:
    """Return the whole request body.

    Raises BadRequest if the body is too large, malformed or truncated.
    """
    too_large = f"body exceeds {limit} bytes"
    text = environ.get("CONTENT_LENGTH")
    if not text:
        if environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
            return b""
        try:
            body = _read_in_time(environ, limit + 1)
        except http_requests.BodyError as error:
            raise BadRequest(400, "chunked", str(error)) from error
    else:
        length = http_requests.parse_count(text)
        if length is None:
            raise BadRequest(400, "length", "Content-Length is not a count")
        if length > limit:
            raise BadRequest(413, "too_large", too_large)
        body = _read_in_time(environ, length)
        if len(body) < length:
            raise BadRequest(400, "cut", "body is shorter than announced")
    if len(body) > limit:
        raise BadRequest(413, "too_large", too_large)
    return bytes(body)


def read_integer_header(environ: Environ, name: str, limit: int) -> int | None:
    """Return the value of an integer header, or None if it is absent.

    Raises BadRequest if it is not a whole number from 0 to the limit.
    """
    text = environ.get(name)
    if text is None:
        return None
    value = http_requests.parse_count(text)
    if value is None or value > limit:
        header = name.removeprefix("HTTP_").replace("_", "-").title()
        message = f"{header} must be a whole number from 0 to {limit}"
        raise BadRequest(400, "header", message)
    return value


def _read_in_time(environ: Environ, size: int) -> bytes:
    """Return up to size bytes of the body; BadRequest if it is too slow."""
    try:
        return bytes(environ["wsgi.input"].read(size))
    except TimeoutError as error:
        message = "request body took too long"
        raise BadRequest(408, "slow_body", message) from error


def read_deadline(environ: Environ, now: float) -> float | None:
    """Return the caller's deadline on the monotonic clock, if it set one."""
    remaining = read_integer_header(
        environ, "HTTP_X_DEADLINE_MS", MAX_DEADLINE_MS
    )
    return None if remaining is None else now + remaining / 1000.0


def make_connection_check(environ: Environ) -> Callable[[], bool]:
    """Return a function that checks whether the caller is connected."""
    sock = environ["hickorythread.socket"]
    return functools.partial(http_protocol.is_connected, sock)


def refusal_response(refusal: exceptions.Refusal, key: str) -> events.Response:
    """Return the response to a request that the entry node refuses.

    With an idempotency key the outcome is unknown, since only the node that
    owns the key can tell that the request was not run.
    """
    return events.Response(
        refusal.status,
        messages.UNKNOWN if key else messages.NOT_RUN,
        [],
        error_body(refusal.reason, refusal.message),
        refusal.reason,
        refusal.retry_after_seconds,
    )


def error_body(reason: str, message: str) -> bytes:
    """Return the JSON body of an error response."""
    return json.dumps({"reason": reason, "message": message}).encode()


def status_line(status: int) -> str:
    """Return the status line of a response."""
    return _STATUS_LINES.get(status) or f"{status} Status"


def send_response(
    start_response: StartResponse, status: int, value: Any
) -> Iterable[bytes]:
    """Send bytes as Prometheus text, and any other value as JSON."""
    if isinstance(value, bytes):
        content_type, body = "text/plain; version=0.0.4; charset=utf-8", value
    else:
        content_type, body = (
            "application/json",
            json.dumps(value).encode() + b"\n",
        )
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
    ]
    start_response(status_line(status), headers)
    return [body]


def serve(
    listener: Any,
    app: Any,
    options: http_protocol.ConnectionOptions | None = None,
    admission: http_listener.Admission | None = None,
    table: connection_table.ConnectionTable | None = None,
) -> None:
    """Run a WSGI server on a listener until its task is killed."""
    http_listener.HttpListener(
        listener,
        app,
        options or http_protocol.ConnectionOptions(),
        admission or http_listener.FixedAdmission(MAX_CONNECTIONS),
        table or connection_table.ConnectionTable(),
    ).run()


_STATUS_LINES = {
    status: f"{status} {reason}"
    for status, reason in {
        200: "OK",
        201: "Created",
        202: "Accepted",
        204: "No Content",
        400: "Bad Request",
        403: "Forbidden",
        404: "Not Found",
        405: "Method Not Allowed",
        408: "Request Timeout",
        409: "Conflict",
        413: "Content Too Large",
        421: "Misdirected Request",
        422: "Unprocessable Content",
        428: "Precondition Required",
        429: "Too Many Requests",
        500: "Internal Server Error",
        502: "Bad Gateway",
        503: "Service Unavailable",
        504: "Gateway Timeout",
    }.items()
}
