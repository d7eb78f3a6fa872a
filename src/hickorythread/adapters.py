"""HTTP clients for the platform and for the local target of a node.

Both use blocking sockets, which are green sockets in a process that eventlet
has monkey-patched. Neither client retries a request.
"""

from collections.abc import Callable
import http.client
import json
import re
import threading
import time
from typing import Any
from typing import TypeGuard
import uuid

import urllib3
import urllib3.exceptions

from hickorythread import connection_reader
from hickorythread import events
from hickorythread import http_client
from hickorythread import http_requests
from hickorythread import interfaces
from hickorythread import models
from hickorythread import utils

MAX_VALUE_BYTES = 1_000_000
MAX_PLATFORM_RESPONSE_BYTES = MAX_VALUE_BYTES + 65_536
MAX_CHECKPOINT_PARTS = 1_000
MAX_RESPONSE_BYTES = 1 << 20
MAX_CONNECT_SECONDS = 2.0
# While the source's host is down, a reader takes the times of its failed reads
# as the issue times of its beacons. With a longer connect timeout these would
# be too old to renew the leases.
SOURCE_CONNECT_SECONDS = 0.5
CANCELLED_STATUS = 499
CANCEL_SECONDS = 1.0
READ_MARGIN_SECONDS = 5.0

_PATHS = {"config": "/v1/log", "hosts": "/v1/hosts"}
_HOST_FIELDS = (
    "id",
    "region",
    "failure_domain",
    "service",
    "stream_address",
)
# Headers that apply to one connection only (RFC 9110, 7.6.1), and those that
# this client sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-cancel",
        "x-deadline-unix-ms",
    )
)
_BODYLESS_METHODS = frozenset(("GET", "HEAD", "DELETE"))
_NOT_SENT_KINDS = ("late", "connect")
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_REQUEST_TARGET = re.compile(r"[\x21-\x7e]+\Z")
_FORBIDDEN_IN_VALUE = re.compile(r"[\x00\r\n]")


class MalformedError(ValueError):
    """Report a response that does not follow the platform's format."""


class PlatformClient:
    """Read the logs and checkpoints of the platform."""

    def __init__(
        self,
        address: str,
        clock: interfaces.Clock | None = None,
        margin_seconds: float = READ_MARGIN_SECONDS,
    ) -> None:
        host, port = utils.split_address(address)
        self.clock: interfaces.Clock = clock or utils.SystemClock()
        self.margin_seconds = margin_seconds
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=4, retries=False
        )

    def read(
        self, action: events.ReadSource
    ) -> events.SourceRead | events.SourceFailed:
        """Long-poll a log for new entries.

        Blocks for at most the wait time of the action plus margin_seconds.
        """
        query = f"?after={action.after}&wait={action.wait_seconds:g}"
        target = _PATHS[action.log] + query
        status, data, kind = self._get(target, action.wait_seconds)
        if kind:
            return events.SourceFailed(action.log, kind)
        if status != 200:
            return events.SourceFailed(action.log, _failure_kind(status))
        try:
            entries, head = parse_entries(action.log, action.after, data)
        except MalformedError:
            return events.SourceFailed(action.log, "malformed")
        return events.SourceRead(action.log, entries, head)

    def read_checkpoint(
        self, action: events.ReadCheckpoint
    ) -> events.CheckpointRead | events.SourceFailed:
        """Read and join all parts of a checkpoint."""
        texts: list[str] = []
        first: models.Document = {}
        while not texts or len(texts) < first["parts"]:
            target = f"/v1/checkpoint?log={action.log}&part={len(texts)}"
            status, data, kind = self._get(target, 0.0)
            if kind:
                return events.SourceFailed(action.log, kind)
            if status == 404 and not texts:
                return events.CheckpointRead(action.log, None)
            if status != 200:
                return events.SourceFailed(action.log, _failure_kind(status))
            try:
                part = _parse_checkpoint_part(
                    action.log, len(texts), data, first
                )
            except MalformedError:
                return events.SourceFailed(action.log, "malformed")
            first = first or part
            texts.append(part["data"])
        try:
            document = join_checkpoint(action.log, texts)
        except MalformedError:
            return events.SourceFailed(action.log, "malformed")
        return events.CheckpointRead(action.log, document)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _get(self, target: str, wait: float) -> tuple[int, bytes, str]:
        read_until = self.clock.monotonic() + wait + self.margin_seconds
        timeout = urllib3.Timeout(
            connect=min(SOURCE_CONNECT_SECONDS, self.margin_seconds),
            read=wait + self.margin_seconds,
        )
        try:
            response = self._pool.urlopen(
                "GET",
                target,
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
            )
        except urllib3.exceptions.NewConnectionError:
            # Caught before TimeoutError, since NewConnectionError derives from
            # ConnectTimeoutError.
            return 0, b"", "refused"
        except urllib3.exceptions.TimeoutError:
            return 0, b"", "timeout"
        except (urllib3.exceptions.HTTPError, OSError):
            return 0, b"", "refused"
        return self._read_body(response, read_until)

    def _read_body(
        self, response: Any, read_until: float
    ) -> tuple[int, bytes, str]:
        chunks: list[bytes] = []
        size = 0
        try:
            while chunk := response.read1(connection_reader.READ_CHUNK_BYTES):
                size += len(chunk)
                chunks.append(chunk)
                if size > MAX_PLATFORM_RESPONSE_BYTES:
                    response.close()
                    return 0, b"", "malformed"
                if self.clock.monotonic() > read_until:
                    response.close()
                    return 0, b"", "timeout"
        except urllib3.exceptions.ReadTimeoutError:
            response.close()
            return 0, b"", "timeout"
        except (urllib3.exceptions.HTTPError, OSError):
            response.close()
            return 0, b"", "malformed"
        response.release_conn()
        return response.status, b"".join(chunks), ""


class _Run:
    """Hold the state of one request that another task may abort."""

    __slots__ = ("deadline", "connection", "cancelled", "expired")

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.connection: http_client.Connection | None = None
        self.cancelled = False
        self.expired = False


class TargetClient:
    """Send requests to the local target of this node, each at most once."""

    def __init__(
        self,
        address: str,
        connections: int,
        connect_ms: float = 1.0,
        clock: interfaces.Clock | None = None,
        sleep: Callable[[float], None] | None = None,
    ) -> None:
        self.address = address
        self.connections = connections
        self.connect_ms = connect_ms
        self.clock: interfaces.Clock = clock or utils.SystemClock()
        self.sleep = sleep or time.sleep
        self.open = 0
        self.opened_total = 0
        self.dropped_idle_total = 0
        self._host, self._port = utils.split_address(address)
        self._host_header = f"Host: {address}"
        self._token_prefix = uuid.uuid4().hex[:12]
        self._idle: list[http_client.Connection] = []
        self._runs: dict[int, _Run] = {}
        self._condition = threading.Condition()
        self._waiting = 0
        self._next_connect_at = 0.0

    def set_limits(self, connections: int, connect_ms: float) -> None:
        """Apply the connection limits of a new configuration version."""
        with self._condition:
            self.connections = connections
            self.connect_ms = connect_ms
            while self.open > self.connections and self._idle:
                self._idle.pop().close()
                self.open -= 1
            self._condition.notify_all()

    def run(
        self, action: events.RunOnTarget
    ) -> events.TargetAnswered | events.TargetFailed:
        """Send a request once; blocks at most until its deadline."""
        run = _Run(action.deadline)
        self._runs[action.run_id] = run
        try:
            return self._run(action, run)
        finally:
            del self._runs[action.run_id]

    def cancel(self, action: events.CancelOnTarget) -> None:
        """Ask the target to cancel a run; run() returns the result.

        Shuts down the connection of the run if the target does not accept
        the cancellation.
        """
        run = self._runs.get(action.run_id)
        if run is None:
            return
        run.cancelled = True
        if run.connection is None or self._send_cancel(action.run_id):
            return
        if run.connection is not None:
            run.connection.abort()

    def expire(self, now: float) -> int:
        """Abort runs that are past their deadline and return their number.

        A socket timeout restarts with each received byte, so it does not
        limit the total time of a target that sends a slow trickle.
        """
        expired = 0
        for run in list(self._runs.values()):
            if run.connection is not None and now > run.deadline:
                run.expired = True
                expired += 1
                run.connection.abort()
        return expired

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._discard(self._idle.pop())

    def _run(
        self, action: events.RunOnTarget, run: _Run
    ) -> events.TargetAnswered | events.TargetFailed:
        connection = self._acquire(action.deadline)
        if isinstance(connection, str):
            return events.TargetFailed(action.run_id, connection)
        if run.cancelled or self.clock.monotonic() >= action.deadline:
            self._release(connection)
            return events.TargetFailed(action.run_id, "late")
        result = self._exchange(connection, action, run)
        if isinstance(result, events.TargetAnswered):
            if run.cancelled and result.status == CANCELLED_STATUS:
                return events.TargetFailed(action.run_id, "cancelled")
            return result
        if result in _NOT_SENT_KINDS:
            return events.TargetFailed(action.run_id, result)
        if run.cancelled:
            return events.TargetFailed(action.run_id, "cancelled")
        if run.expired:
            return events.TargetFailed(action.run_id, "timeout")
        return events.TargetFailed(action.run_id, result)

    def _exchange(
        self,
        connection: http_client.Connection,
        action: events.RunOnTarget,
        run: _Run,
    ) -> events.TargetAnswered | str:
        """Send a request and return the response, or the kind of failure."""
        reusable = False
        try:
            head = self._encode_head(action)
            # No green thread switch happens between this check and the first
            # byte sent.
            remaining = action.deadline - self.clock.monotonic()
            if remaining <= 0 or run.cancelled:
                return "late"
            run.connection = connection
            connection.sock.settimeout(remaining)
            deadline_ms = int((self.clock.wall() + remaining) * 1000)
            head += b"X-Deadline-Unix-Ms: %d\r\n\r\n" % deadline_ms
            connection.reader.limit(remaining)
            http_client.send(connection.sock, head, action.body, remaining)
            answer, reusable = self._receive(connection, action)
            return answer
        except TimeoutError:
            return "timeout"
        except (
            http.client.HTTPException,
            OSError,
            EOFError,
            ValueError,
        ):
            # ValueError stands for a head that cannot be sent, and for a
            # malformed chunk size in http.client.
            return "lost" if run.connection is not None else "late"
        finally:
            # Once released, the connection may serve another run.
            run.connection = None
            if reusable:
                self._release(connection)
            else:
                self._discard(connection)

    def _encode_head(self, action: events.RunOnTarget) -> bytes:
        """Return the request head without its deadline and last line.

        Raises ValueError if a value could change how the head is parsed.
        """
        if not (
            _TOKEN.match(action.method) and _REQUEST_TARGET.match(action.path)
        ):
            raise ValueError("malformed request method or path")
        lines = [f"{action.method} {action.path} HTTP/1.1", self._host_header]
        for name, value in action.headers:
            if name.lower() not in _HOP_BY_HOP_HEADERS:
                if not _TOKEN.match(name) or _FORBIDDEN_IN_VALUE.search(value):
                    raise ValueError("malformed request header")
                lines.append(f"{name}: {value}")
        lines.append(f"X-Cancel: {self._cancel_token(action.run_id)}")
        if action.body or action.method not in _BODYLESS_METHODS:
            lines.append(f"Content-Length: {len(action.body)}")
        lines.append("")
        return "\r\n".join(lines).encode("latin-1")

    def _receive(
        self, connection: http_client.Connection, action: events.RunOnTarget
    ) -> tuple[events.TargetAnswered, bool]:
        response = http_client.read_response_head(connection, action.method)
        body = http_client.read_body(response, MAX_RESPONSE_BYTES)
        headers = []
        started_at = 0
        for field in response.fields:
            name = field[0].lower()
            if name == "x-upstream-started-at":
                started_at = http_requests.parse_count(field[1]) or 0
            if name not in _HOP_BY_HOP_HEADERS:
                headers.append(field)
        answer = events.TargetAnswered(
            action.run_id, response.status, headers, body, started_at
        )
        return answer, http_client.may_follow(connection.reader, response)

    def _acquire(self, deadline: float) -> "http_client.Connection | str":
        """Return an idle or new connection, or the kind of failure."""
        while True:
            connection = self._take_idle()
            if connection is not None:
                return connection
            with self._condition:
                if self.open < self.connections:
                    self.open += 1
                    break
                if not self._wait_for_release(deadline):
                    return "late"
        return self._connect(deadline)

    def _take_idle(self) -> "http_client.Connection | None":
        while self._idle:
            try:
                connection = self._idle.pop()
            except IndexError:
                return None
            if http_client.is_usable(connection.sock):
                return connection
            self.dropped_idle_total += 1
            self._discard(connection)
        return None

    def _wait_for_release(self, deadline: float) -> bool:
        self._waiting += 1
        try:
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                return False
            if self._idle or self.open < self.connections:
                return True
            return self._condition.wait(remaining)
        finally:
            self._waiting -= 1

    def _connect(self, deadline: float) -> "http_client.Connection | str":
        connection = http_client.Connection(self._host, self._port)
        try:
            if not self._wait_to_connect(deadline):
                self._discard(connection)
                return "late"
            remaining = deadline - self.clock.monotonic()
            connection.timeout = max(
                0.001, min(remaining, MAX_CONNECT_SECONDS)
            )
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError):
            self._discard(connection)
            return "connect"
        except BaseException:
            self._discard(connection)
            raise
        self.opened_total += 1
        return connection

    def _wait_to_connect(self, deadline: float) -> bool:
        with self._condition:
            now = self.clock.monotonic()
            start_at = max(now, self._next_connect_at)
            if start_at >= deadline:
                return False
            self._next_connect_at = start_at + self.connect_ms / 1000
        if start_at > now:
            self.sleep(start_at - now)
        return True

    def _release(self, connection: http_client.Connection) -> None:
        if self.open > self.connections:
            self._discard(connection)
            return
        self._idle.append(connection)
        if self._waiting:
            with self._condition:
                self._condition.notify()

    def _discard(self, connection: http_client.Connection) -> None:
        connection.close()
        with self._condition:
            self.open -= 1
            self._condition.notify()

    def _send_cancel(self, run_id: int) -> bool:
        deadline = self.clock.monotonic() + CANCEL_SECONDS
        action = events.RunOnTarget(
            run_id, "POST", "/cancel", [], b"", deadline
        )
        with self._condition:
            if not self._idle and self.open >= self.connections:
                return False
        connection = self._acquire(deadline)
        if isinstance(connection, str):
            return False
        answer = self._exchange(connection, action, _Run(deadline))
        return not isinstance(answer, str) and answer.status < 300

    def _cancel_token(self, run_id: int) -> str:
        return f"{self._token_prefix}-{run_id}"


def parse_entries(
    log: str, after: int, data: bytes
) -> tuple[list[models.Document], int]:
    """Validate a platform response and return its entries and log head."""
    document = _parse_json(data)
    if not isinstance(document, dict) or not _is_uint63(document.get("head")):
        raise MalformedError("log head is missing or invalid")
    entries = document.get("entries")
    if not isinstance(entries, list):
        raise MalformedError("entries are missing or not an array")
    check_entry = _check_patch_entry if log == "config" else _check_hosts_entry
    previous = after
    for index, entry in enumerate(entries):
        if not isinstance(entry, dict):
            raise MalformedError("entry is not an object")
        sequence = entry.get("sequence")
        if not _is_uint63(sequence) or sequence <= previous:
            raise MalformedError("sequence number does not increase")
        if index and sequence != previous + 1:
            raise MalformedError("sequence numbers have a gap")
        check_entry(entry)
        if log == "config":
            entry["patch"] = _drop_unencodable(entry["patch"])
        previous = sequence
    head: int = document["head"]
    if entries and head < previous:
        raise MalformedError("log head is lower than the last entry")
    return entries, head


def split_checkpoint(
    log: str, id: str, document: models.Document
) -> list[models.Document]:
    """Split a checkpoint into parts that fit into platform values."""
    document = dict(document)
    if "previous_digest" in document:
        document["previous_digest"] = document["previous_digest"].hex()
    text = json.dumps(document, separators=(",", ":"))
    size = MAX_VALUE_BYTES // 2
    texts = [text[start : start + size] for start in range(0, len(text), size)]
    return [
        {
            "log": log,
            "id": id,
            "part": part,
            "parts": len(texts),
            "data": chunk,
        }
        for part, chunk in enumerate(texts)
    ]


def join_checkpoint(log: str, texts: list[str]) -> models.Document:
    """Join the parts of a checkpoint and validate its document."""
    document = _parse_json("".join(texts).encode())
    if not isinstance(document, dict):
        raise MalformedError("checkpoint is not an object")
    if not _is_uint63(document.get("sequence")):
        raise MalformedError("sequence is missing or invalid")
    if log == "hosts":
        if not isinstance(document.get("hosts"), list):
            raise MalformedError("hosts are missing or not an array")
        for host in document["hosts"]:
            _check_host(host)
        return document
    if not isinstance(document.get("content"), dict):
        raise MalformedError("content is missing or not an object")
    try:
        document["previous_digest"] = bytes.fromhex(
            document["previous_digest"]
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedError("previous_digest is not hexadecimal") from error
    return document


def _parse_checkpoint_part(
    log: str, part_number: int, data: bytes, first: models.Document
) -> models.Document:
    part = _parse_json(data)
    if not isinstance(part, dict) or not isinstance(part.get("data"), str):
        raise MalformedError("part is not an object with a data string")
    if part.get("log") != log or part.get("part") != part_number:
        raise MalformedError("response holds another log or part")
    parts = part.get("parts")
    if not _is_uint63(parts) or not 1 <= parts <= MAX_CHECKPOINT_PARTS:
        raise MalformedError("number of parts is out of range")
    if first and (part.get("id"), parts) != (first.get("id"), first["parts"]):
        raise MalformedError("checkpoint changed between two parts")
    return part


def _drop_unencodable(patch: Any) -> Any:
    """Return the patch, or only its id if no message can encode it.

    Every node rejects what is left as malformed at the same position.
    Otherwise the entry would block the log, as the platform keeps it there.
    """
    try:
        utils.pack_canonical(patch)
        return patch
    except (ValueError, OverflowError, RecursionError):
        id = patch.get("id") if isinstance(patch, dict) else None
    try:
        return {"id": str(id)[:64].encode().decode()}
    except UnicodeEncodeError:
        return {}


def _check_patch_entry(entry: models.Document) -> None:
    if not _is_uint63(entry.get("published_at_ms")) or "patch" not in entry:
        raise MalformedError("published_at_ms is invalid or patch is missing")


def _check_hosts_entry(entry: models.Document) -> None:
    changes = entry.get("changes")
    if not isinstance(changes, list):
        raise MalformedError("changes are missing or not an array")
    for change in changes:
        if not isinstance(change, dict):
            raise MalformedError("change is not an object")
        if change.get("op") == "put":
            _check_host(change.get("host"))
        elif change.get("op") != "remove" or not isinstance(
            change.get("id"), str
        ):
            raise MalformedError("change is not a valid put or remove")


def _check_host(host: Any) -> None:
    if not isinstance(host, dict) or not all(
        isinstance(host.get(name), str) for name in _HOST_FIELDS
    ):
        raise MalformedError("host field is missing or not a string")
    if host.get("state", "live") not in ("live", "leaving"):
        raise MalformedError("host state is unknown")
    if not isinstance(host.get("http_address", ""), str):
        raise MalformedError("http_address is not a string")


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedError("not JSON") from error


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _is_uint63(value: Any) -> TypeGuard[int]:
    return type(value) is int and 0 <= value < 1 << 63


def _failure_kind(status: int) -> str:
    if status == 429:
        return "rate"
    return "refused" if status >= 500 else "malformed"
