"""Heads and bodies of HTTP/1.1 requests, parsed strictly."""

from collections.abc import Callable
import re
from typing import Any

import eventlet
from eventlet import hubs

from hickorythread import connection_reader
from hickorythread import http_fields
from hickorythread import memory_budget

MAX_HEADERS = 100
MAX_HEAD_BYTES = 16 * 1024
MAX_CHUNK_LINE_BYTES = 1024
MAX_COUNT_DIGITS = 15
MAX_PART_BYTES = 64 * 1024

_REQUEST_LINE = re.compile(
    rb"([A-Z]{1,16}) ([\x21-\x7e]{1,8192}) HTTP/1\.([01])\r?\n\Z"
)
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00\r\n]*)?\r\n\Z")
# A head may have lines that end with a line feed alone; chunks may not.
CRLF = b"\r\n"
_LINE_ENDINGS = (CRLF, b"\n")
_SINGLETON_HEADERS = (
    "HTTP_IDEMPOTENCY_KEY",
    "HTTP_X_DEADLINE_MS",
    "HTTP_X_TENANT",
    "HTTP_X_RETRY_ATTEMPT",
    "HTTP_TRANSFER_ENCODING",
    "HTTP_HOST",
    "CONTENT_LENGTH",
    "CONTENT_TYPE",
)


class HeadError(Exception):
    """Report that a request is rejected for its head or when it came."""

    def __init__(
        self, status: int, message: str, reason: str = "head"
    ) -> None:
        super().__init__(message)
        self.status = status
        self.message = message
        self.reason = reason


class BodyError(Exception):
    """Report that the framing of a request body is invalid."""


class BodyRefused(Exception):
    """Report that there is no memory for more bytes of a body."""


class Head:
    """Hold the head of one request.

    target is the path with the query, headers the names and values as they
    came, and fields the values by their WSGI keys. A header whose name has an
    underscore has no such key and stands in headers alone.
    """

    __slots__ = ("method", "target", "version", "headers", "fields")

    def __init__(self, method: str, target: str, version: str) -> None:
        self.method = method
        self.target = target
        self.version = version
        self.headers: list[tuple[str, str]] = []
        self.fields: dict[str, str] = {}

    @property
    def is_http10(self) -> bool:
        """Return whether a connection ends unless the caller keeps it."""
        return self.version == "HTTP/1.0"

    @property
    def closes(self) -> bool:
        """Return whether the caller wants the connection closed."""
        tokens = self.fields.get("HTTP_CONNECTION", "").lower()
        if self.is_http10:
            return "keep-alive" not in tokens
        return "close" in tokens

    @property
    def content_length(self) -> int:
        """Return the length of the body that the head states, else 0."""
        return parse_count(self.fields.get("CONTENT_LENGTH", "")) or 0

    @property
    def chunked(self) -> bool:
        """Return whether the body comes in chunks."""
        return "HTTP_TRANSFER_ENCODING" in self.fields

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller waits before it sends the body."""
        return self.fields.get("HTTP_EXPECT", "").lower() == "100-continue"

    def add_line(self, line: bytes) -> None:
        """Add a header line; raise HeadError if it is malformed."""
        try:
            name, value = http_fields.parse(line)
        except http_fields.FieldError as error:
            raise HeadError(400, str(error)) from error
        self.headers.append((name.text, value))
        key = name.key
        if key is None:
            return
        previous = self.fields.get(key)
        if previous is None:
            self.fields[key] = value
        elif key in _SINGLETON_HEADERS:
            raise HeadError(400, f"header {name.text} appears twice")
        else:
            self.fields[key] = f"{previous}, {value}"

    def check_framing(self) -> None:
        """Reject a head whose body length could be interpreted in two ways."""
        encoding = self.fields.get("HTTP_TRANSFER_ENCODING")
        length = self.fields.get("CONTENT_LENGTH")
        if encoding is not None and encoding.lower() != "chunked":
            raise HeadError(400, "unsupported Transfer-Encoding")
        if encoding is not None and length is not None:
            raise HeadError(400, "both Content-Length and Transfer-Encoding")
        if length is not None and parse_count(length) is None:
            raise HeadError(400, "Content-Length is not a count")


def read_head(reader: connection_reader.ConnectionReader) -> Head:
    """Read the head of a request; raise HeadError if it is invalid."""
    line = reader.readline(MAX_HEAD_BYTES + 1)
    head = _parse_request_line(line)
    remaining_bytes = MAX_HEAD_BYTES - len(line)
    while True:
        line = reader.readline(remaining_bytes + 1)
        remaining_bytes -= len(line)
        if remaining_bytes < 0:
            raise HeadError(431, "request head exceeds 16 KiB")
        if line in _LINE_ENDINGS:
            break
        if len(head.headers) == MAX_HEADERS:
            raise HeadError(431, f"more than {MAX_HEADERS} headers")
        if not line.endswith(b"\n"):
            raise HeadError(400, "request head is cut short")
        head.add_line(line)
    head.check_framing()
    return head


def _parse_request_line(line: bytes) -> Head:
    if len(line) > MAX_HEAD_BYTES:
        raise HeadError(431, "request head exceeds 16 KiB")
    match = _REQUEST_LINE.match(line)
    if match is None:
        raise HeadError(400, "malformed request line")
    method, target, minor = match.groups()
    if not target.startswith(b"/"):
        raise HeadError(400, "the request target must be a path")
    return Head(
        method.decode("ascii"),
        target.decode("ascii"),
        f"HTTP/1.{minor.decode()}",
    )


def parse_count(text: str) -> int | None:
    """Return the value of a text of ASCII digits, None if it is another."""
    is_count = text.isascii() and text.isdigit()
    return int(text) if is_count and len(text) <= MAX_COUNT_DIGITS else None


def parse_chunk_size(line: bytes) -> int | None:
    """Return the size that a chunk's first line states, None if malformed."""
    match = _CHUNK_SIZE.match(line)
    return None if match is None else int(match[1], 16)


class Body:
    """Read the body of one request.

    send_continue is called before the first read if the caller waits for it.
    hold counts the memory of the request. A body that arrives slowly is
    interrupted if others need that memory.
    """

    __slots__ = (
        "reader",
        "remaining",
        "chunked",
        "send_continue",
        "hold",
        "received",
        "task",
        "interrupted",
    )

    def __init__(
        self,
        reader: connection_reader.ConnectionReader,
        head: Head,
        send_continue: Callable[[], None],
        hold: memory_budget.Hold,
    ) -> None:
        self.reader = reader
        self.hold = hold
        # One buffer: a list takes several times as much for short chunks.
        self.received = bytearray()
        # The task that waits for bytes of the body.
        self.task: Any = None
        self.interrupted = False
        self.remaining = head.content_length
        self.chunked = head.chunked
        self.send_continue: Callable[[], None] | None = None
        if head.expects_continue:
            self.send_continue = send_continue

    @property
    def complete(self) -> bool:
        """Return whether the body has been read to its end."""
        return not (self.chunked or self.remaining)

    def read(self, limit: int) -> bytes:
        """Return up to limit bytes, fewer only at the end of the body.

        Raises BodyError if the chunks are malformed or truncated, BodyRefused
        if there is no memory for them, and TimeoutError if the bytes come too
        late or were reclaimed.
        """
        if self.send_continue is not None:
            self.send_continue()
            self.send_continue = None
        if self.reader.has(self.remaining) and not self.chunked:
            return self._read_part(min(limit, self.remaining))
        self.task = eventlet.getcurrent()
        self.hold.wait_for_peer(
            self.interrupt, memory_budget.SLOW_SENDER_SECONDS
        )
        try:
            if self.chunked:
                self._read_chunks(limit)
            else:
                self._read_counted(limit)
            return bytes(self.received)
        finally:
            self.task = None
            self.hold.end_wait()
            self.received = bytearray()

    def interrupt(self) -> None:
        """Drop what has arrived; the waiting task gets a TimeoutError."""
        self.interrupted = True
        self.received = bytearray()
        self.hold.release()
        hubs.get_hub().schedule_call_global(0, self._wake)

    def _wake(self) -> None:
        if self.task is not None:
            self.task.throw(TimeoutError("body arrives too slowly"))

    def _read_part(self, size: int) -> bytes:
        return self._count(self.reader.read(size))

    def _count(self, part: bytes) -> bytes:
        """Count received bytes; raise TimeoutError if they were reclaimed."""
        if self.interrupted:
            raise TimeoutError("body arrives too slowly")
        self.remaining -= len(part)
        self.hold.progress(len(part))
        return part

    def _read_counted(self, limit: int) -> None:
        while limit > 0 and self.remaining:
            part = self._count(
                self.reader.read_some(min(limit, self.remaining))
            )
            if not part:
                return
            self.received += part
            limit -= len(part)

    def _reserve(self, size: int) -> None:
        """Count bytes before they are received."""
        use = memory_budget.use_of_body(self.hold.size + size)
        if not self.hold.grow(size, use):
            raise BodyRefused("no memory for the body")

    def _read_chunks(self, limit: int) -> None:
        while limit > 0:
            if not self.remaining:
                self.remaining = self._read_chunk_size()
                if not self.remaining:
                    self._skip_trailers()
                    self.chunked = False
                    break
            size = min(limit, self.remaining, MAX_PART_BYTES)
            self._reserve(size)
            part = self._read_part(size)
            if len(part) < size:
                raise BodyError("body is cut short")
            self.received += part
            limit -= size
            if not self.remaining and self._read_line() != CRLF:
                raise BodyError("chunk is longer than announced")

    def _read_chunk_size(self) -> int:
        size = parse_chunk_size(self._read_line())
        if size is None:
            raise BodyError("malformed chunk size")
        return size

    def _skip_trailers(self) -> None:
        for _ in range(MAX_HEADERS):
            line = self._read_line()
            if line == CRLF:
                return
            try:
                http_fields.parse(line)
            except http_fields.FieldError as error:
                raise BodyError("malformed trailer") from error
        raise BodyError("too many trailers")

    def _read_line(self) -> bytes:
        line = self.reader.readline(MAX_CHUNK_LINE_BYTES + 1)
        if not line.endswith(b"\n"):
            raise BodyError("line in the body is cut short or too long")
        return line
