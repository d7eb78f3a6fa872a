"""Translate the headers of requests and responses."""

from typing import Any

from hickorythread import server
from hickorythread.mesh import events
from hickorythread.mesh import messages

# Each client attempt carries an id of its own; responses echo it.
REQUEST_ID = "Hickorythread-Attempt-Id"
# Milliseconds for which the sender waits, counted from the send.
REMAINING_MS = "Hickorythread-Deadline-Ms"
# The id of the only target process that may run the request.
EXPECTED_TARGET = "Hickorythread-Expect-Instance"
# The service of the target on the host where the request began.
CALLER_SERVICE = "Hickorythread-Caller-Service"
NOT_RUN = "hickorythread-not-executed"
TARGET_ID = "hickorythread-instance-id"
TARGET_LOAD = "hickorythread-instance-load"
# Milliseconds for which the target stays cold, in health responses only.
WARMUP_MS = "hickorythread-warmup-ms"
RETRY_AFTER = "Retry-After"

_SET_HERE = frozenset(
    name.lower() for name in (REMAINING_MS, EXPECTED_TARGET, CALLER_SERVICE)
)
# Fields that concern one connection, or only the node beside the target.
_DROPPED = (
    server.HOP_HEADERS
    | {"trailers", "proxy-connection", "expect", "date"}
    | {TARGET_LOAD, WARMUP_MS}
)
_MAX_MS = 600_000
_MISDIRECTED = 421


class Headers:
    """Read and write the platform's headers."""

    def read_request(
        self, number: int, environ: dict[str, Any], body: bytes, now: float
    ) -> events.Request:
        """Build the request that a client sent."""
        fields = environ["headers_raw"]
        request_id = ""
        remaining: float | None = None
        kept: list[list[str]] = []
        hops = server.HOP_HEADERS | _connection_options(fields)
        for name, value in fields:
            lower = name.lower()
            if lower == REQUEST_ID.lower():
                request_id = value
            elif lower == REMAINING_MS.lower():
                remaining = _read_ms(value)
            if lower in _SET_HERE or (lower in hops and lower != "host"):
                continue
            if lower not in ("expect", "proxy-connection"):
                kept.append([name, value])
        return events.Request(
            number,
            request_id,
            environ["REQUEST_METHOD"],
            environ.get("HTTP_HOST", ""),
            environ["hickorythread.path"],
            kept,
            body,
            now,
            remaining,
        )

    def target_headers(
        self, call: messages.Forward, instance: str, remaining: float
    ) -> list[str]:
        """Return the header lines of a request for a target."""
        lines = [f"{name}: {value}" for name, value in call.headers]
        lines.append(f"{REMAINING_MS}: {max(1, int(remaining * 1000))}")
        lines.append(f"{CALLER_SERVICE}: {call.caller_service}")
        if instance:
            lines.append(f"{EXPECTED_TARGET}: {instance}")
        return lines

    def is_answer(self, call: messages.Forward, fields: list[Any]) -> bool:
        """Return whether a response echoes the id of a call."""
        for name, value in fields:
            if name.lower() == REQUEST_ID.lower():
                return bool(value == call.request_id)
        return not call.request_id

    def read_answer(
        self, status: int, fields: list[Any], body: bytes
    ) -> events.Answer:
        """Build the answer that a target gave."""
        known = {name.lower(): value for name, value in fields}
        warmup = known.get(WARMUP_MS)
        return events.Answer(
            status,
            [item for item in fields if item[0].lower() not in _DROPPED],
            body,
            NOT_RUN in known or status == _MISDIRECTED,
            known.get(TARGET_ID, ""),
            None if warmup is None else _read_ms(warmup),
        )

    def response_headers(self, response: events.Response) -> list[Any]:
        """Return the headers of the response to a client."""
        headers = list(response.headers)
        if response.retry_after > 0 and not response.from_target:
            headers.append((RETRY_AFTER, f"{response.retry_after:.3f}"))
        return headers


def _connection_options(fields: list[Any]) -> frozenset[str]:
    """Return the fields that a Connection header names."""
    return frozenset(
        option.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for option in value.split(",")
    )


def _read_ms(text: str) -> float | None:
    """Return milliseconds as seconds, None if the text is no number."""
    try:
        milliseconds = float(text)
    except ValueError:
        return None
    if not 0 <= milliseconds <= _MAX_MS:
        return None
    return milliseconds / 1000.0
