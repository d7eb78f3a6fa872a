"""Bodies of requests and responses of the stand-ins."""

from collections.abc import Callable
from collections.abc import Iterable
import json
from typing import Any

from eventlet.green.http import client

from hickorythread import models

MAX_CONTROL_BYTES = 16 << 20

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


def send_json(
    start_response: StartResponse, status: int, document: models.Document
) -> Iterable[bytes]:
    """Start a response and return a document as its body."""
    reason = client.responses.get(status, "Unknown")
    body = json.dumps(document).encode()
    return send_body(start_response, f"{status} {reason}", body)


def send_body(
    start_response: StartResponse,
    status: str,
    body: bytes,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Start a response and return its body, which is JSON."""
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def read_body(environ: dict[str, Any], limit: int) -> bytes | None:
    """Return the body of a request, None if it exceeds limit bytes."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        return None
    data: bytes = environ["wsgi.input"].read(length)
    return data


def read_json(environ: dict[str, Any], limit: int) -> Any:
    """Return the JSON body of a request, None if it is not valid."""
    body = read_body(environ, limit)
    try:
        if body is None:
            return None
        return json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return None


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")
