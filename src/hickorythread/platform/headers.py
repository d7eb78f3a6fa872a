"""Translates the headers of requests and responses."""

import re
from typing import Any

from hickorythread import account_keys
from hickorythread import server
from hickorythread.mesh import events
from hickorythread.mesh import messages

# Unique id of each client attempt; responses echo it.
REQUEST_ID = "Hickorythread-Attempt-Id"
# Milliseconds until the sender's timeout, counted from the time of sending.
REMAINING_MS = "Hickorythread-Deadline-Ms"
# Id of the only target process that may run the request.
EXPECTED_TARGET = "Hickorythread-Expect-Instance"
# Key of a client account.
KEY = "Hickorythread-Key"
# Name of the client account, as targets receive it.
ACCOUNT = "Hickorythread-Tenant"
# Service of the target on the host where the request originated.
CALLER_SERVICE = "Hickorythread-Caller-Service"
# What a target signs each response with.
SIGNATURE = "hickorythread-server-stamp"
NOT_RUN = "hickorythread-not-executed"
TARGET_ID = "hickorythread-instance-id"
# Running and waiting requests, slots and, if the target shares its host, how
# long work takes there at the moment in percent of what is normal.
TARGET_LOAD = "hickorythread-instance-load"
# Milliseconds until the target is warm, in health responses only.
WARMUP_MS = "hickorythread-warmup-ms"
# Requests per second that the target takes from all hosts together.
RATE_LIMIT = "server-limit"
# "1" once the target is about to end.
LEAVING = "server-leaving"
RETRY_AFTER = "Retry-After"

# Request headers of clients that are replaced by the values of the sidecar.
_OVERWRITTEN = frozenset(
    name.lower()
    for name in (REMAINING_MS, EXPECTED_TARGET, CALLER_SERVICE, KEY, ACCOUNT)
)
# Response headers that apply to a single connection or only to the target's
# own sidecar.
_DROPPED_FROM_RESPONSES = (
    server.HOP_BY_HOP_HEADERS
    | {"trailers", "proxy-connection", "expect", "date"}
    | {TARGET_LOAD, WARMUP_MS}
)
_MAX_MS = 600_000
# A binary fraction that is written out in full has more than 50 digits.
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,64})?")
_LOAD = re.compile(r"[0-9]{1,6}(?:[ \t]*,[ \t]*[0-9]{1,6}){2,3}")
# Work that takes a tenth or 100 times as long is not a credible factor.
_MIN_FACTOR = 10
_MAX_FACTOR = 10_000
_MISDIRECTED_REQUEST = 421


class Headers:
    """Read and write the platform's headers."""

    def read_request(
        self, number: int, environ: dict[str, Any], body: bytes, now: float
    ) -> events.Request:
        """Build a request from the WSGI environment of a client request."""
        fields = environ["headers_raw"]
        request_id = ""
        remaining: float | None = None
        keys: list[str] = []
        forwarded: list[list[str]] = []
        hop_headers = server.HOP_BY_HOP_HEADERS | _connection_options(fields)
        for name, value in fields:
            lower_name = name.lower()
            if lower_name == REQUEST_ID.lower():
                request_id = value
            elif lower_name == REMAINING_MS.lower():
                remaining = _parse_milliseconds(value)
            elif lower_name == KEY.lower():
                keys.append(value)
            if lower_name in _OVERWRITTEN or (
                lower_name in hop_headers and lower_name != "host"
            ):
                continue
            if lower_name not in ("expect", "proxy-connection"):
                forwarded.append([name, value])
        return events.Request(
            number,
            request_id,
            environ["REQUEST_METHOD"],
            environ.get("HTTP_HOST", ""),
            environ["hickorythread.path"],
            forwarded,
            body,
            now,
            remaining,
            account_keys.digest(keys[0]) if len(keys) == 1 else b"",
            len(keys) > 1,
        )

    def target_headers(
        self, call: messages.Forward, instance: str, remaining: float
    ) -> list[str]:
        """Return the header lines of a request to a target."""
        lines = [f"{name}: {value}" for name, value in call.headers]
        lines.append(f"{REMAINING_MS}: {max(1, int(remaining * 1000))}")
        lines.append(f"{CALLER_SERVICE}: {call.caller_service}")
        if call.account:
            lines.append(f"{ACCOUNT}: {call.account}")
        if instance:
            lines.append(f"{EXPECTED_TARGET}: {instance}")
        return lines

    def matches_call(self, call: messages.Forward, fields: list[Any]) -> bool:
        """Return whether a response echoes the id of a call."""
        for name, value in fields:
            if name.lower() == REQUEST_ID.lower():
                return bool(value == call.request_id)
        return not call.request_id

    def is_signed(self, fields: list[Any]) -> bool:
        """Return whether a response bears the signature of a target."""
        return any(
            name.lower() == SIGNATURE and value for name, value in fields
        )

    def read_response(
        self, status: int, fields: list[Any], body: bytes
    ) -> events.TargetResponse:
        """Build a TargetResponse from the HTTP response of a target."""
        by_name = {name.lower(): value for name, value in fields}
        warmup = by_name.get(WARMUP_MS)
        rate_limit, unreadable = _parse_rate_limit(fields)
        load, unreadable_load = _parse_load(fields)
        return events.TargetResponse(
            status,
            [
                item
                for item in fields
                if item[0].lower() not in _DROPPED_FROM_RESPONSES
            ],
            body,
            NOT_RUN in by_name or status == _MISDIRECTED_REQUEST,
            by_name.get(TARGET_ID, ""),
            None if warmup is None else _parse_milliseconds(warmup),
            rate_limit,
            by_name.get(LEAVING) == "1",
            unreadable,
            load,
            unreadable_load,
        )

    def response_headers(self, response: events.Response) -> list[Any]:
        """Return the headers of a response to a client."""
        headers = list(response.headers)
        if response.retry_after > 0 and not response.from_target:
            headers.append((RETRY_AFTER, f"{response.retry_after:.3f}"))
        return headers


def _connection_options(fields: list[Any]) -> frozenset[str]:
    """Return the header names listed in Connection headers."""
    return frozenset(
        option.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for option in value.split(",")
    )


def _parse_rate_limit(
    fields: list[Any],
) -> tuple[float | None, tuple[str, ...]]:
    """Return the named requests per second, and the lines that name none."""
    values = sorted(
        {value for name, value in fields if name.lower() == RATE_LIMIT}
    )
    if len(values) == 1 and _DECIMAL.fullmatch(values[0]):
        return float(values[0]), ()
    return None, tuple(f"{RATE_LIMIT}: {value:.80}" for value in values)


def _parse_load(
    fields: list[Any],
) -> tuple[events.InstanceLoad | None, tuple[str, ...]]:
    """Return the reported load, and the lines that cannot be read."""
    values = sorted(
        {value for name, value in fields if name.lower() == TARGET_LOAD}
    )
    if len(values) == 1 and _LOAD.fullmatch(values[0]):
        running, waiting, slots, *rest = map(int, values[0].split(","))
        factor = rest[0] if rest else None
        if factor is None or _MIN_FACTOR <= factor <= _MAX_FACTOR:
            load = events.InstanceLoad(running, waiting, slots, factor)
            return load, ()
    return None, tuple(f"{TARGET_LOAD}: {value:.80}" for value in values)


def _parse_milliseconds(text: str) -> float | None:
    """Convert milliseconds to seconds; None if invalid or out of range."""
    try:
        milliseconds = float(text)
    except ValueError:
        return None
    if not 0 <= milliseconds <= _MAX_MS:
        return None
    return milliseconds / 1000.0
