"""Connections and responses of an HTTP/1.1 client.

Responses are parsed here because the e-mail parser of the standard library
takes a third of the time of a short request.
"""

import http.client
import socket
from typing import Any

import urllib3
import urllib3.connection

MAX_JOINED_BYTES = 16_384
MAX_LINE_BYTES = 65_536
MAX_HEADERS = 100
MAX_INTERIM_RESPONSES = 10
READ_CHUNK_BYTES = 65_536


class Reader:
    """Buffer what a connection has received, for as long as it is open.

    The file objects of the socket module are built anew for each response
    and take as long as the rest of reading it.
    """

    __slots__ = ("sock", "data", "at")

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.data = b""
        self.at = 0

    def makefile(self, mode: str) -> "Reader":
        """Serve as the socket that a response reads from."""
        return self

    def readline(self, limit: int) -> bytes:
        """Return a line, or what precedes the limit or the end."""
        end = self.data.find(b"\n", self.at) + 1
        while not end and len(self.data) - self.at < limit:
            if not self._fill():
                break
            end = self.data.find(b"\n", self.at) + 1
        return self._take(min(end or len(self.data), self.at + limit))

    def read(self, size: int) -> bytes:
        """Return so many bytes, fewer only at the end."""
        while len(self.data) - self.at < size:
            if not self._fill():
                break
        return self._take(min(len(self.data), self.at + size))

    def is_empty(self) -> bool:
        """Return whether everything received has been read."""
        return self.at == len(self.data)

    def close(self) -> None:
        """Do nothing: the socket belongs to the connection."""

    def flush(self) -> None:
        """Do nothing: nothing is written here."""

    def _fill(self) -> bool:
        piece = receive(self.sock, READ_CHUNK_BYTES)
        self.data = self.data[self.at :] + piece
        self.at = 0
        return bool(piece)

    def _take(self, end: int) -> bytes:
        taken = self.data[self.at : end]
        self.at = end
        return taken


class Response(http.client.HTTPResponse):
    """Read the head of a response without the parser of the email package.

    That parser takes a third of the time of a whole request.
    """

    # Whether a body without a length ends with its connection.
    allow_close_delimited = False
    # The announced length of the body, None if there is none.
    body_length: int | None
    fields: list[list[str]]
    _method: str

    def begin(self) -> None:
        """Read the status line and the header lines."""
        status = self._read_start()
        self.fields = self._read_fields()
        for _ in range(MAX_INTERIM_RESPONSES):
            if status >= 200:
                break
            status = self._read_start()
            self.fields = self._read_fields()
        self.code = self.status = status
        self._set_framing({name.lower(): text for name, text in self.fields})

    def _read_start(self) -> int:
        line = self._read_line()
        if not line:
            raise http.client.RemoteDisconnected("closed without a response")
        parts = line.split(None, 2)
        if len(parts) < 2 or parts[0] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise http.client.BadStatusLine(repr(line[:80]))
        self.version = 11 if parts[0] == b"HTTP/1.1" else 10
        if len(parts[1]) != 3 or not parts[1].isdigit():
            raise http.client.BadStatusLine(repr(line[:80]))
        return int(parts[1])

    def _read_fields(self) -> list[list[str]]:
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
            raise http.client.HTTPException("the body has no clear end")
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
    """Hold one kept-alive connection and what it has received.

    Requests are written to its socket, since http.client would reopen a
    closed connection and so bypass the limit and the pacing of new ones.
    """

    auto_open = 0
    reader: Reader

    def connect(self) -> None:
        """Open the connection; raises OSError or HTTPError."""
        super().connect()
        self.reader = Reader(self.sock)


def read_response_head(
    connection: Connection,
    method: str,
    kind: type[Response] = Response,
) -> Response:
    """Read the head of the next response on a connection."""
    reader: Any = connection.reader
    response = kind(reader, method=method)
    response.begin()
    return response


def receive(sock: Any, size: int) -> bytes:
    """Return what has arrived; raises ConnectionResetError on a reset.

    The sockets of eventlet report a reset as an orderly end, which would
    make a broken body that ends with its connection look complete.
    """
    raw = getattr(sock, "fd", None)
    if raw is None:
        return bytes(sock.recv(size))
    while True:
        try:
            return bytes(raw.recv(size))
        except BlockingIOError:
            _wait_readable(sock, raw)


def _wait_readable(sock: Any, raw: Any) -> None:
    """Suspend the task until a green socket has data, or raise a timeout."""
    from eventlet import hubs

    try:
        hubs.trampoline(
            raw,
            read=True,
            timeout=sock.gettimeout(),
            timeout_exc=TimeoutError("timed out"),
        )
    except hubs.IOClosed as error:
        raise EOFError("closed by another task") from error


def send(sock: Any, head: bytes, body: bytes) -> None:
    """Send the head and a small body in one segment."""
    if len(body) <= MAX_JOINED_BYTES:
        sock.sendall(head + body)
    else:
        sock.sendall(head)
        sock.sendall(body)


def is_usable(sock: Any) -> bool:
    """Tell whether an idle connection is open and has nothing to read."""
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
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
