"""Connections and responses of an HTTP/1.1 client.

The heads of responses are parsed here because http.client uses the email
package, whose parser takes a third of the time of a short request.
"""

import http.client
import socket
from typing import Any

import urllib3
import urllib3.connection

MAX_COALESCED_BYTES = 16_384
MAX_LINE_BYTES = 65_536
MAX_HEADERS = 100
MAX_INTERIM_RESPONSES = 10
READ_CHUNK_BYTES = 65_536


class ConnectionReader:
    """Buffer the received bytes of a connection until it is closed.

    It replaces the file object that http.client creates for each response.
    Creating that object takes as long as the rest of reading a response.
    """

    __slots__ = ("sock", "data", "position")

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.data = b""
        self.position = 0

    def makefile(self, mode: str) -> "ConnectionReader":
        """Return this reader: http.client calls makefile() on a socket."""
        return self

    def readline(self, limit: int) -> bytes:
        """Return a line; it is cut at the limit or at the end of the data."""
        end = self.data.find(b"\n", self.position) + 1
        while not end and len(self.data) - self.position < limit:
            if not self._fill():
                break
            end = self.data.find(b"\n", self.position) + 1
        return self._take(min(end or len(self.data), self.position + limit))

    def read(self, size: int) -> bytes:
        """Return size bytes, fewer only at the end of the data."""
        while len(self.data) - self.position < size:
            if not self._fill():
                break
        return self._take(min(len(self.data), self.position + size))

    def is_empty(self) -> bool:
        """Return whether all received bytes have been read."""
        return self.position == len(self.data)

    def close(self) -> None:
        """Do nothing: the socket belongs to the connection."""

    def flush(self) -> None:
        """Do nothing: the reader does not write."""

    def _fill(self) -> bool:
        chunk = receive(self.sock, READ_CHUNK_BYTES)
        self.data = self.data[self.position :] + chunk
        self.position = 0
        return bool(chunk)

    def _take(self, end: int) -> bytes:
        result = self.data[self.position : end]
        self.position = end
        return result


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
    _method: str

    def begin(self) -> None:
        """Read the status line and the headers; skips interim responses."""
        status = self._read_status_line()
        self.fields = self._read_headers()
        for _ in range(MAX_INTERIM_RESPONSES):
            if status >= 200:
                break
            status = self._read_status_line()
            self.fields = self._read_headers()
        self.code = self.status = status
        self._set_framing({name.lower(): text for name, text in self.fields})

    def _read_status_line(self) -> int:
        line = self._read_line()
        if not line:
            raise http.client.RemoteDisconnected(
                "connection closed without a response"
            )
        parts = line.split(None, 2)
        if len(parts) < 2 or parts[0] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise http.client.BadStatusLine(repr(line[:80]))
        self.version = 11 if parts[0] == b"HTTP/1.1" else 10
        if len(parts[1]) != 3 or not parts[1].isdigit():
            raise http.client.BadStatusLine(repr(line[:80]))
        return int(parts[1])

    def _read_headers(self) -> list[list[str]]:
        fields: list[list[str]] = []
        while True:
            line = self._read_line()
            if line in (b"\r\n", b"\n"):
                return fields
            name, colon, text = line.decode("latin-1").partition(":")
            if not colon or name != name.strip() or not name:
                raise http.client.HTTPException("malformed header line")
            if len(fields) == MAX_HEADERS:
                raise http.client.HTTPException("too many headers")
            fields.append([name, text.strip()])

    def _read_line(self) -> bytes:
        line: bytes = self.fp.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise http.client.LineTooLong("header line")
        if line and not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        return line

    def _set_framing(self, values: dict[str, str]) -> None:
        connection = values.get("connection", "").lower()
        self.will_close = "close" in connection or (
            self.version == 10 and "keep-alive" not in connection
        )
        encoding = values.get("transfer-encoding", "").lower()
        text = values.get("content-length", "")
        self.chunked = encoding == "chunked"
        self.chunk_left = None
        self.length = None
        if self.status in (204, 304) or self._method == "HEAD":
            self.chunked = False
            self.length = 0
        elif self.allow_close_delimited and not encoding and not text:
            self.will_close = True
        elif self.chunked == bool(text) or encoding not in ("", "chunked"):
            raise http.client.HTTPException(
                "response body has no valid framing"
            )
        elif not self.chunked:
            self.length = self._parse_length(text)
        self.body_length = self.length

    def _parse_length(self, text: str) -> int:
        lengths = {
            value
            for name, value in self.fields
            if name.lower() == "content-length"
        }
        if len(lengths) != 1 or not text.isdecimal():
            raise http.client.HTTPException("malformed Content-Length")
        return int(text)


class Connection(urllib3.connection.HTTPConnection):
    """Hold a persistent connection and the buffer of its received bytes.

    Requests are written to its socket directly, because http.client would
    reopen a closed connection and so bypass the limits on the number and the
    rate of new connections.
    """

    auto_open = 0
    reader: ConnectionReader

    def connect(self) -> None:
        """Open the connection; raises OSError or HTTPError."""
        super().connect()
        self.reader = ConnectionReader(self.sock)


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


def receive(sock: Any, size: int) -> bytes:
    """Return received bytes; raises ConnectionResetError on a reset.

    The sockets of eventlet report a reset as the end of the data. A truncated
    body that is delimited by the end of its connection would look complete.
    """
    raw_socket = getattr(sock, "fd", None)
    if raw_socket is None:
        return bytes(sock.recv(size))
    while True:
        try:
            return bytes(raw_socket.recv(size))
        except BlockingIOError:
            _wait_readable(sock, raw_socket)


def _wait_readable(sock: Any, raw_socket: Any) -> None:
    """Suspend the task until a green socket is readable or times out."""
    from eventlet import hubs

    try:
        hubs.trampoline(
            raw_socket,
            read=True,
            timeout=sock.gettimeout(),
            timeout_exc=TimeoutError("timed out"),
        )
    except hubs.IOClosed as error:
        raise EOFError("socket closed by another task") from error


def send(sock: Any, head: bytes, body: bytes) -> None:
    """Send the head and a small body with a single call.

    They then usually leave in one segment.
    """
    if len(body) <= MAX_COALESCED_BYTES:
        sock.sendall(head + body)
    else:
        sock.sendall(head)
        sock.sendall(body)


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
