"""HTTP clients for the platform and for the upstream beside a node.

Both work with blocking sockets and, in a process that eventlet patched, with
green ones. Neither ever sends a request twice.
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

from hickorythread import events
from hickorythread import http_client
from hickorythread import interfaces
from hickorythread import models
from hickorythread import utils

MAX_VALUE_BYTES = 1_000_000
MAX_ANSWER_BYTES = MAX_VALUE_BYTES + 65_536
MAX_CHECKPOINT_PARTS = 1_000
MAX_RESPONSE_BYTES = 1 << 20
MAX_CONNECT_SECONDS = 2.0
# A reader dates its beacons by failed reads; a longer time would let the
# leases lapse while the source's host is down.
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
# Headers that describe one connection and never pass through a proxy.
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
_NOT_SENT = ("late", "connect")
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_TARGET = re.compile(r"[\x21-\x7e]+\Z")
_BAD_VALUE = re.compile(r"[\x00\r\n]")


class MalformedError(ValueError):
    """Report an answer that does not follow the platform's format."""


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
        """Watch a log; blocks up to the wait of the action and a margin."""
        query = f"?after={action.after}&wait={action.wait_seconds:g}"
        target = _PATHS[action.log] + query
        status, data, kind = self._get(target, action.wait_seconds)
        if kind:
            return events.SourceFailed(action.log, kind)
        if status != 200:
            return events.SourceFailed(action.log, _kind_of(status))
        try:
            entries, head = parse_entries(action.log, action.after, data)
        except MalformedError:
            return events.SourceFailed(action.log, "malformed")
        return events.SourceRead(action.log, entries, head)

    def read_checkpoint(
        self, action: events.ReadCheckpoint
    ) -> events.CheckpointRead | events.SourceFailed:
        """Read all parts of a checkpoint and join them."""
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
                return events.SourceFailed(action.log, _kind_of(status))
            try:
                part = _parse_part(action.log, len(texts), data, first)
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
        limit = self.clock.monotonic() + wait + self.margin_seconds
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
            # It derives from ConnectTimeoutError.
            return 0, b"", "refused"
        except urllib3.exceptions.TimeoutError:
            return 0, b"", "timeout"
        except (urllib3.exceptions.HTTPError, OSError):
            return 0, b"", "refused"
        return self._read_body(response, limit)

    def _read_body(
        self, response: Any, limit: float
    ) -> tuple[int, bytes, str]:
        pieces: list[bytes] = []
        size = 0
        try:
            while piece := response.read1(http_client.READ_CHUNK_BYTES):
                size += len(piece)
                pieces.append(piece)
                if size > MAX_ANSWER_BYTES:
                    response.close()
                    return 0, b"", "malformed"
                if self.clock.monotonic() > limit:
                    response.close()
                    return 0, b"", "timeout"
        except urllib3.exceptions.ReadTimeoutError:
            response.close()
            return 0, b"", "timeout"
        except (urllib3.exceptions.HTTPError, OSError):
            response.close()
            return 0, b"", "malformed"
        response.release_conn()
        return response.status, b"".join(pieces), ""


class _Run:
    """Track one request so that another task may stop it."""

    __slots__ = ("deadline", "sock", "cancelled", "expired")

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.sock: Any = None
        self.cancelled = False
        self.expired = False


class UpstreamClient:
    """Run requests at the upstream beside this node, each at most once."""

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
        self._host_line = f"Host: {address}"
        self._prefix = uuid.uuid4().hex[:12]
        self._idle: list[http_client.Connection] = []
        self._runs: dict[int, _Run] = {}
        self._condition = threading.Condition()
        self._waiting = 0
        self._next_connect_at = 0.0

    def set_limits(self, connections: int, connect_ms: float) -> None:
        """Apply the limits of a new configuration version."""
        with self._condition:
            self.connections = connections
            self.connect_ms = connect_ms
            while self.open > self.connections and self._idle:
                self._idle.pop().close()
                self.open -= 1
            self._condition.notify_all()

    def run(
        self, action: events.RunUpstream
    ) -> events.UpstreamAnswered | events.UpstreamFailed:
        """Send a request once; blocks until its deadline at most."""
        run = _Run(action.deadline)
        self._runs[action.run_id] = run
        try:
            return self._run(action, run)
        finally:
            del self._runs[action.run_id]

    def cancel(self, action: events.CancelUpstream) -> None:
        """Ask the upstream to stop a run; its result follows from run().

        The connection of the run is broken if the upstream cannot be asked.
        """
        run = self._runs.get(action.run_id)
        if run is None:
            return
        run.cancelled = True
        if run.sock is None or self._send_cancel(action.run_id):
            return
        if run.sock is not None:
            http_client.shut_down(run.sock)

    def expire(self, now: float) -> int:
        """Break runs past their deadline and return their number.

        Socket timeouts restart with each received byte, so they do not
        bound an upstream that answers in small pieces.
        """
        expired = 0
        for run in list(self._runs.values()):
            if run.sock is not None and now > run.deadline:
                run.expired = True
                expired += 1
                http_client.shut_down(run.sock)
        return expired

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._discard(self._idle.pop())

    def _run(
        self, action: events.RunUpstream, run: _Run
    ) -> events.UpstreamAnswered | events.UpstreamFailed:
        connection = self._acquire(action.deadline)
        if isinstance(connection, str):
            return events.UpstreamFailed(action.run_id, connection)
        if run.cancelled or self.clock.monotonic() >= action.deadline:
            self._release(connection)
            return events.UpstreamFailed(action.run_id, "late")
        result = self._exchange(connection, action, run)
        if isinstance(result, events.UpstreamAnswered):
            if run.cancelled and result.status == CANCELLED_STATUS:
                return events.UpstreamFailed(action.run_id, "cancelled")
            return result
        if result in _NOT_SENT:
            return events.UpstreamFailed(action.run_id, result)
        if run.cancelled:
            return events.UpstreamFailed(action.run_id, "cancelled")
        if run.expired:
            return events.UpstreamFailed(action.run_id, "timeout")
        return events.UpstreamFailed(action.run_id, result)

    def _exchange(
        self,
        connection: http_client.Connection,
        action: events.RunUpstream,
        run: _Run,
    ) -> events.UpstreamAnswered | str:
        """Return the answer, or the kind of the failure."""
        keep = False
        try:
            head = self._head(action)
            # Nothing that follows yields before the first byte is sent.
            remaining = action.deadline - self.clock.monotonic()
            if remaining <= 0 or run.cancelled:
                return "late"
            run.sock = connection.sock
            run.sock.settimeout(remaining)
            deadline_ms = int((self.clock.wall() + remaining) * 1000)
            head += b"X-Deadline-Unix-Ms: %d\r\n\r\n" % deadline_ms
            http_client.send(run.sock, head, action.body)
            answer, keep = self._receive(connection, action)
            return answer
        except TimeoutError:
            return "timeout"
        except (
            http.client.HTTPException,
            OSError,
            EOFError,
            ValueError,
        ):
            # http.client reports headers that it cannot send and malformed
            # chunk sizes as ValueError.
            return "lost" if run.sock is not None else "late"
        finally:
            # From here on the socket may serve another run.
            run.sock = None
            if keep:
                self._release(connection)
            else:
                self._discard(connection)

    def _head(self, action: events.RunUpstream) -> bytes:
        """Return the request head but for its end.

        Raises ValueError if a value could be read as something else.
        """
        if not (_TOKEN.match(action.method) and _TARGET.match(action.path)):
            raise ValueError("malformed method or path")
        lines = [f"{action.method} {action.path} HTTP/1.1", self._host_line]
        for name, value in action.headers:
            if name.lower() not in _HOP_BY_HOP_HEADERS:
                if not _TOKEN.match(name) or _BAD_VALUE.search(value):
                    raise ValueError("malformed header")
                lines.append(f"{name}: {value}")
        lines.append(f"X-Cancel: {self._token(action.run_id)}")
        if action.body or action.method not in _BODYLESS_METHODS:
            lines.append(f"Content-Length: {len(action.body)}")
        lines.append("")
        return "\r\n".join(lines).encode("latin-1")

    def _receive(
        self, connection: http_client.Connection, action: events.RunUpstream
    ) -> tuple[events.UpstreamAnswered, bool]:
        reader = connection.reader
        response = http_client.begin(connection, action.method)
        body = self._read_body(connection.sock, response, action.deadline)
        headers = []
        started_at = 0
        for field in response.fields:
            name = field[0].lower()
            if name == "x-upstream-started-at" and field[1].isdecimal():
                started_at = int(field[1])
            if name not in _HOP_BY_HOP_HEADERS:
                headers.append(field)
        answer = events.UpstreamAnswered(
            action.run_id, response.status, headers, body, started_at
        )
        # Bytes after the body belong to no request.
        return answer, not response.will_close and reader.is_empty()

    def _read_body(
        self, sock: Any, response: http_client.Response, deadline: float
    ) -> bytes:
        length = response.length
        if length == 0:
            return b""
        if length is not None and length > MAX_RESPONSE_BYTES:
            raise http.client.HTTPException("response too large")
        if length is not None and length <= http_client.READ_CHUNK_BYTES:
            return response.read()
        pieces: list[bytes] = []
        size = 0
        while piece := response.read(http_client.READ_CHUNK_BYTES):
            pieces.append(piece)
            size += len(piece)
            if size > MAX_RESPONSE_BYTES:
                raise http.client.HTTPException("response too large")
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                raise TimeoutError
            sock.settimeout(remaining)
        if length is not None and size != length:
            raise http.client.IncompleteRead(b"", length - size)
        return b"".join(pieces)

    def _acquire(self, deadline: float) -> "http_client.Connection | str":
        """Return an idle or a new connection, or the kind of failure."""
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
            if not self._pace(deadline):
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

    def _pace(self, deadline: float) -> bool:
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
        action = events.RunUpstream(
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

    def _token(self, run_id: int) -> str:
        return f"{self._prefix}-{run_id}"


def parse_entries(
    log: str, after: int, data: bytes
) -> tuple[list[models.Document], int]:
    """Check an answer of the platform and return its entries and head."""
    document = _load(data)
    if not isinstance(document, dict) or not _is_number(document.get("head")):
        raise MalformedError("head is missing")
    entries = document.get("entries")
    if not isinstance(entries, list):
        raise MalformedError("entries are missing")
    check = _check_patch_entry if log == "config" else _check_hosts_entry
    previous = after
    for index, entry in enumerate(entries):
        if not isinstance(entry, dict):
            raise MalformedError("entry is not a map")
        sequence = entry.get("sequence")
        if not _is_number(sequence) or sequence <= previous:
            raise MalformedError("sequence does not ascend")
        if index and sequence != previous + 1:
            raise MalformedError("sequence has a gap")
        check(entry)
        if log == "config":
            entry["patch"] = _representable(entry["patch"])
        previous = sequence
    head: int = document["head"]
    if entries and head < previous:
        raise MalformedError("head is below the last entry")
    return entries, head


def split_checkpoint(
    log: str, id: str, document: models.Document
) -> list[models.Document]:
    """Split a checkpoint into the values that the platform stores."""
    document = dict(document)
    if "previous_digest" in document:
        document["previous_digest"] = document["previous_digest"].hex()
    text = json.dumps(document, separators=(",", ":"))
    size = MAX_VALUE_BYTES // 2
    texts = [text[at : at + size] for at in range(0, len(text), size)]
    return [
        {
            "log": log,
            "id": id,
            "part": part,
            "parts": len(texts),
            "data": piece,
        }
        for part, piece in enumerate(texts)
    ]


def join_checkpoint(log: str, texts: list[str]) -> models.Document:
    """Join the parts of a checkpoint into its document."""
    document = _load("".join(texts).encode())
    if not isinstance(document, dict):
        raise MalformedError("checkpoint is not a map")
    if not _is_number(document.get("sequence")):
        raise MalformedError("sequence is missing")
    if log == "hosts":
        if not isinstance(document.get("hosts"), list):
            raise MalformedError("hosts are missing")
        for host in document["hosts"]:
            _check_host(host)
        return document
    if not isinstance(document.get("content"), dict):
        raise MalformedError("content is missing")
    try:
        document["previous_digest"] = bytes.fromhex(
            document["previous_digest"]
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedError("digest is not hexadecimal") from error
    return document


def _parse_part(
    log: str, number: int, data: bytes, first: models.Document
) -> models.Document:
    part = _load(data)
    if not isinstance(part, dict) or not isinstance(part.get("data"), str):
        raise MalformedError("part is not a map with data")
    if part.get("log") != log or part.get("part") != number:
        raise MalformedError("part is not the one requested")
    parts = part.get("parts")
    if not _is_number(parts) or not 1 <= parts <= MAX_CHECKPOINT_PARTS:
        raise MalformedError("number of parts is out of range")
    if first and (part.get("id"), parts) != (first.get("id"), first["parts"]):
        raise MalformedError("checkpoint was replaced between two parts")
    return part


def _representable(patch: Any) -> Any:
    """Return the patch, or only its id if no message can hold it.

    Every node rejects the remainder as malformed at the same position. One
    such entry would otherwise stop the log, since the platform keeps it.
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
    if not _is_number(entry.get("published_at_ms")) or "patch" not in entry:
        raise MalformedError("entry lacks its time or its patch")


def _check_hosts_entry(entry: models.Document) -> None:
    changes = entry.get("changes")
    if not isinstance(changes, list):
        raise MalformedError("changes are missing")
    for change in changes:
        if not isinstance(change, dict):
            raise MalformedError("change is not a map")
        if change.get("op") == "put":
            _check_host(change.get("host"))
        elif change.get("op") != "remove" or not isinstance(
            change.get("id"), str
        ):
            raise MalformedError("change is neither put nor remove")


def _check_host(host: Any) -> None:
    if not isinstance(host, dict) or not all(
        isinstance(host.get(name), str) for name in _HOST_FIELDS
    ):
        raise MalformedError("host lacks a field")
    if host.get("state", "live") not in ("live", "leaving"):
        raise MalformedError("host state is unknown")
    if not isinstance(host.get("http_address", ""), str):
        raise MalformedError("http_address is not a string")


def _load(data: bytes) -> Any:
    try:
        return json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedError("not JSON") from error


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _is_number(value: Any) -> TypeGuard[int]:
    return type(value) is int and 0 <= value < 1 << 63


def _kind_of(status: int) -> str:
    if status == 429:
        return "rate"
    return "refused" if status >= 500 else "malformed"
