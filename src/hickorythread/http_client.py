"""Connections and responses of an HTTP/1.1 client.

The heads of responses are parsed here because http.client uses the email
package, whose parser takes a third of the time of a short request.
"""

from collections.abc import Callable
import http.client
import re
import socket
import time
from typing import Any

import urllib3
import urllib3.connection

from hickorythread import connection_reader
from hickorythread import http_fields
from hickorythread import http_requests

MAX_COALESCED_BYTES = 16_384
# What a response may have besides its content: the head with the interim ones
# before it, a line between chunks, and the bytes of all these lines beyond
# those of the content.
MAX_HEAD_BYTES = 65_536
MAX_CHUNK_LINE_BYTES = 1024
MAX_FRAMING_BYTES = 256 * 1024
MAX_HEADERS = 100
MAX_INTERIM_RESPONSES = 10
# A body that begins with so many chunks is one of chunks.
MAX_CHECKED_CHUNKS = 100

_STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) +([1-9][0-9]{2})(?:[ \t][\t\x20-\x7e\x80-\xff]*)?\r\n\Z"
)
_LAST_CHUNK = b"\r\n\r\n"
_BODYLESS_STATUSES = (204, 304)


class TooLargeError(http.client.HTTPException):
    """Report a response that is larger than the reader allows."""


class Response(http.client.HTTPResponse):
    """Parse the head of a response without the email package.

    The parser of that package takes a third of the time of a whole request.
    """

    # Whether the body of a response without Content-Length and
    # Transfer-Encoding may end with the connection.
    allow_close_delimited = False
    # The length of the body that the head states, None if it states none.
    body_length: int | None
    fields: list[list[str]]
    chunk_left: int | None
    head_bytes_left: int
    framing_bytes_left: int
    _close_conn: Callable[[], None]
    _method: str

    def begin(self) -> None:
        """Read the status line and the headers; skips interim responses."""
        self.head_bytes_left = MAX_HEAD_BYTES
        self.framing_bytes_left = MAX_FRAMING_BYTES
        status = self._read_status_line()
        self.fields = self._read_headers()
        for _ in range(MAX_INTERIM_RESPONSES):
            if status >= 200:
                break
            status = self._read_status_line()
            self.fields = self._read_headers()
        if status < 200:
            raise http.client.HTTPException("too many interim responses")
        self.code = self.status = status
        self._set_framing(_join_fields(self.fields))

    def _read_status_line(self) -> int:
        line = self._read_head_line()
        if not line:
            raise http.client.RemoteDisconnected(
                "connection closed without a response"
            )
        match = _STATUS_LINE.match(line)
        if match is None:
            raise http.client.BadStatusLine(repr(line[:80]))
        self.version = 11 if match[1] == b"1" else 10
        return int(match[2])

    def _read_headers(self) -> list[list[str]]:
        fields: list[list[str]] = []
        while True:
            line = self._read_head_line()
            if line == http_requests.CRLF:
                return fields
            if len(fields) == MAX_HEADERS:
                raise http.client.HTTPException("too many headers")
            name, value = _parse_field(line)
            fields.append([name.text, value])

    def _read_head_line(self) -> bytes:
        line = self._read_line(self.head_bytes_left)
        self.head_bytes_left -= len(line)
        return line

    def _read_line(self, limit: int) -> bytes:
        line: bytes = self.fp.readline(limit + 1)
        if len(line) > limit:
            raise http.client.LineTooLong("header line")
        if line and not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        # A line feed alone in place of one of these would end a head early.
        if line and not line.endswith(http_requests.CRLF):
            raise http.client.HTTPException("line without a carriage return")
        return line

    def _set_framing(self, values: dict[str, str]) -> None:
        connection = values.get("connection", "").lower()
        self.will_close = "close" in connection or (
            self.version == 10 and "keep-alive" not in connection
        )
        encoding = values.get("transfer-encoding")
        length = values.get("content-length")
        self.chunked = encoding is not None
        self.chunk_left = None
        self.length = None
        if length is not None:
            self.length = self._parse_length(length)
        if encoding is not None and (
            encoding.lower() != "chunked"
            or length is not None
            or self.status in _BODYLESS_STATUSES
        ):
            raise http.client.HTTPException(
                "response body has no valid framing"
            )
        if self.status == 204 and self.length:
            raise http.client.HTTPException("status 204 with a body")
        if self.status in _BODYLESS_STATUSES or self._method == "HEAD":
            self.chunked = False
            self.length = 0
        elif encoding is None and length is None:
            if not self.allow_close_delimited:
                raise http.client.HTTPException(
                    "response body has no valid framing"
                )
            self.will_close = True
        self.body_length = self.length

    def _get_chunk_left(self) -> int | None:
        """Return the unread bytes of the current chunk, None at the end.

        The version of http.client accepts signs and prefixes in sizes, chunks
        that are longer than announced and a missing last line.
        """
        if not self.chunk_left:
            if self.chunk_left is not None:
                if self._read_chunk_line() != http_requests.CRLF:
                    raise http.client.HTTPException("chunk has another length")
            size = http_requests.parse_chunk_size(self._read_chunk_line())
            if size is None:
                raise http.client.HTTPException("malformed chunk size")
            self.chunk_left = size
            self.framing_bytes_left += size
            if not size:
                self._skip_trailers()
                self._close_conn()
                self.chunk_left = None
        return self.chunk_left

    def _skip_trailers(self) -> None:
        for _ in range(MAX_HEADERS):
            line = self._read_chunk_line()
            if line == http_requests.CRLF:
                return
            _parse_field(line)
        raise http.client.HTTPException("too many trailers")

    def _read_chunk_line(self) -> bytes:
        line = self._read_line(MAX_CHUNK_LINE_BYTES)
        if not line:
            raise http.client.IncompleteRead(b"")
        self.framing_bytes_left -= len(line)
        if self.framing_bytes_left < 0:
            raise TooLargeError("more framing than content")
        return line

    def _parse_length(self, text: str) -> int:
        lengths = {
            value
            for name, value in self.fields
            if name.lower() == "content-length"
        }
        if len(lengths) != 1 or not text.isdecimal():
            raise http.client.HTTPException("malformed Content-Length")
        return int(text)


def _parse_field(line: bytes) -> tuple[http_fields.Name, str]:
    """Return the name and the value of a line; raise HTTPException."""
    try:
        return http_fields.parse(line)
    except http_fields.FieldError as error:
        raise http.client.HTTPException(str(error)) from error


def _join_fields(fields: list[list[str]]) -> dict[str, str]:
    """Return the values by lower-case name, joined if a name is repeated."""
    values: dict[str, str] = {}
    for name, text in fields:
        key = name.lower()
        values[key] = f"{values[key]}, {text}" if key in values else text
    return values


class CloseDelimitedResponse(Response):
    """Accept a response whose body may end when the connection is closed."""

    allow_close_delimited = True


class Connection(urllib3.connection.HTTPConnection):
    """Hold a persistent connection and the buffer of its received bytes.

    Requests are written to its socket directly, because http.client would
    reopen a closed connection and so bypass the limits on the number and the
    rate of new connections.
    """

    auto_open = 0
    reader: connection_reader.ConnectionReader

    def connect(self) -> None:
        """Open the connection; raises OSError or HTTPError."""
        super().connect()
        self.reader = connection_reader.ConnectionReader(self.sock)

    def abort(self) -> None:
        """Shut the connection down; a task that reads from it gets an error.

        The connection must have been opened.
        """
        self.reader.aborted = True
        if self.sock is not None:
            shut_down(self.sock)


def read_response_head(
    connection: Connection,
    method: str,
    response_class: type[Response] = Response,
) -> Response:
    """Read the head of the next response on a connection."""
    reader: Any = connection.reader
    response = response_class(reader, method=method)
    response.begin()
    return response


def _reserve_nothing(size: int) -> None:
    """Count no bytes."""


def read_body(
    response: Response,
    max_bytes: int,
    reserve: Callable[[int], None] = _reserve_nothing,
) -> bytes:
    """Return the whole body of a response.

    reserve is called with a number of bytes before they are kept. Raises
    TooLargeError if it is larger than max_bytes, HTTPException if it ends
    early, and TimeoutError after the deadline of its reader.
    """
    length = response.body_length
    if length is not None and length > max_bytes:
        raise TooLargeError("response exceeds the size limit")
    if length is not None:
        reserve(length)
    chunks: list[bytes] = []
    size = 0
    while chunk := response.read(connection_reader.READ_CHUNK_BYTES):
        if length is None:
            reserve(len(chunk))
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            raise TooLargeError("response exceeds the size limit")
    if length is not None and size != length:
        raise http.client.IncompleteRead(b"", length - size)
    body = b"".join(chunks)
    if length is None and not response.chunked and _is_chunked(body):
        raise http.client.HTTPException("chunks without Transfer-Encoding")
    return body


def _is_chunked(body: bytes) -> bool:
    """Return whether a body is a complete chunked message.

    The field that says so has then been damaged. A body that ends with its
    connection has no other check.
    """
    if not body.endswith(_LAST_CHUNK):
        return False
    position = 0
    for _ in range(MAX_CHECKED_CHUNKS):
        end = body.find(b"\n", position) + 1
        size = http_requests.parse_chunk_size(body[position:end])
        if not size:
            return size == 0
        position = end + size + len(http_requests.CRLF)
        if body[end + size : position] != http_requests.CRLF:
            return False
    return True


def send(sock: Any, head: bytes, body: bytes, seconds: float) -> None:
    """Send the head and the body; raise TimeoutError if it takes longer.

    A small body usually leaves in one segment with the head.
    """
    deadline = time.monotonic() + seconds
    if len(body) <= MAX_COALESCED_BYTES:
        _send_all(sock, head + body, deadline)
    else:
        _send_all(sock, head, deadline)
        _send_all(sock, body, deadline)


def _send_all(sock: Any, data: bytes, deadline: float) -> None:
    unsent = memoryview(data)
    while unsent:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("timed out")
        sock.settimeout(remaining)
        unsent = unsent[sock.send(unsent) :]


def may_follow(
    reader: connection_reader.ConnectionReader, response: Response
) -> bool:
    """Return whether another request may follow a response."""
    ended = response.will_close or reader.aborted
    # Bytes after the response must not be read as that to the next one.
    return not ended and reader.is_empty()


def is_usable(sock: Any) -> bool:
    """Return whether an idle connection is open and has no unread data."""
    if sock is None:
        return False
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def shut_down(sock: Any) -> None:
    """Shut down a socket in both directions; ignores errors."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class Document:
    """Hold a response to a GET request; headers by lower-case name."""

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Session:
    """Send GET requests to one address over persistent connections."""

    __slots__ = ("host", "port", "options", "idle", "in_use")

    def __init__(
        self, host: str, port: int, options: list[tuple[int, int, int | bytes]]
    ) -> None:
        self.host = host
        self.port = port
        self.options = options
        self.idle: list[Connection] = []
        self.in_use: set[Connection] = set()

    def get(self, url: str, limits: "Limits") -> "Document":
        """Return the status, the headers and the body of a response.

        Raises OSError, EOFError, ValueError or an exception of http.client or
        urllib3 if there is none within the limits.
        """
        connection = self._acquire(limits.connect_seconds)
        reusable = False
        self.in_use.add(connection)
        try:
            reader = connection.reader
            reader.limit(limits.total_seconds)
            reader.idle_timeout = limits.idle_seconds
            head = f"GET {url} HTTP/1.1\r\nHost: {self.host}\r\n\r\n"
            send(
                connection.sock,
                head.encode("latin-1"),
                b"",
                limits.idle_seconds,
            )
            response = read_response_head(
                connection, "GET", CloseDelimitedResponse
            )
            body = read_body(response, limits.max_bytes)
            reusable = may_follow(reader, response)
        finally:
            self.in_use.discard(connection)
            if reusable:
                self.idle.append(connection)
            else:
                connection.close()
        return Document(response.status, _join_fields(response.fields), body)

    def interrupt(self) -> None:
        """End the exchanges that wait for a response; they raise."""
        # An exchange that ends leaves the set.
        for connection in list(self.in_use):
            connection.abort()

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()

    def _acquire(self, connect_seconds: float) -> Connection:
        while self.idle:
            connection = self.idle.pop()
            if is_usable(connection.sock):
                return connection
            connection.close()
        connection = Connection(
            self.host,
            self.port,
            timeout=connect_seconds,
            socket_options=self.options,
        )
        connection.connect()
        return connection


class Limits:
    """Limit the time and the size of one exchange; times are in seconds.

    idle_seconds limits the wait for each next byte, total_seconds the time
    until the response is complete.
    """

    __slots__ = (
        "connect_seconds",
        "idle_seconds",
        "total_seconds",
        "max_bytes",
    )

    def __init__(
        self,
        connect_seconds: float,
        idle_seconds: float,
        total_seconds: float,
        max_bytes: int,
    ) -> None:
        self.connect_seconds = connect_seconds
        self.idle_seconds = idle_seconds
        self.total_seconds = total_seconds
        self.max_bytes = max_bytes
