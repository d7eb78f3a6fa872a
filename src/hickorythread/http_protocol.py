"""Speak HTTP/1.1 on the connections of the WSGI server.

The library's own request loop takes about as long as the rest of a short
request: it parses heads with the e-mail package, and writes and formats each
response anew. This one reads the same heads strictly, builds only the
environment that the applications use and sends each response at once.
"""

from collections.abc import Callable
from collections.abc import Iterable
import email.utils
import functools
import re
import socket
import time
import traceback
from typing import Any
from urllib import parse

import eventlet
from eventlet import wsgi

from hickorythread import logs

MAX_HEADERS = 100
MAX_HEAD_BYTES = 16 * 1024
MAX_CHUNK_LINE_BYTES = 1024
MAX_DISCARDED_BYTES = 2 * 1024 * 1024
LINGER_SECONDS = 1.0
MAX_CACHED_NAMES = 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_REQUEST_LINE = re.compile(
    rb"([A-Z]{1,16}) ([\x21-\x7e]{1,8192}) HTTP/1\.([01])\r?\n\Z"
)
_BAD_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_BAD_TEXT = re.compile(r"[\x00\r\n]")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00\r\n]*)?\r?\n\Z")
_NAMES: dict[bytes, tuple[str, str]] = {}
_LINE_ENDS = (b"\r\n", b"\n")
_SINGLE = (
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
    """Report a request head that is refused."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


class BodyError(Exception):
    """Report a request body whose framing cannot be followed."""


class Body:
    """Read the body of one request.

    A caller that waits for 100 Continue gets it with the first read.
    """

    __slots__ = ("protocol", "remaining", "chunked", "continues")

    def __init__(
        self,
        protocol: "HttpProtocol",
        length: int,
        chunked: bool,
        continues: bool,
    ) -> None:
        self.protocol = protocol
        self.remaining = length
        self.chunked = chunked
        self.continues = continues

    @property
    def complete(self) -> bool:
        """Return whether the body has been read to its end."""
        return not (self.chunked or self.remaining)

    def read(self, limit: int) -> bytes:
        """Return up to limit bytes, fewer only at the end of the body.

        Raises BodyError if the chunks are malformed or cut short.
        """
        if self.continues:
            self.continues = False
            self.protocol.connection.sendall(CONTINUE)
        if self.chunked:
            return self._read_chunks(limit)
        data: bytes = self.protocol.rfile.read(min(limit, self.remaining))
        self.remaining -= len(data)
        return data

    def _read_chunks(self, limit: int) -> bytes:
        pieces: list[bytes] = []
        while limit > 0:
            if not self.remaining:
                self.remaining = self._read_chunk_size()
                if not self.remaining:
                    self._skip_trailers()
                    self.chunked = False
                    break
            size = min(limit, self.remaining)
            piece = self.protocol.rfile.read(size)
            if len(piece) < size:
                raise BodyError("body is cut short")
            pieces.append(piece)
            limit -= size
            self.remaining -= size
            if not self.remaining and self._read_line() not in _LINE_ENDS:
                raise BodyError("chunk is longer than announced")
        return b"".join(pieces)

    def _read_chunk_size(self) -> int:
        match = _CHUNK_SIZE.match(self._read_line())
        if match is None:
            raise BodyError("malformed chunk size")
        return int(match[1], 16)

    def _skip_trailers(self) -> None:
        for _ in range(MAX_HEADERS):
            if self._read_line() in _LINE_ENDS:
                return
        raise BodyError("too many trailers")

    def _read_line(self) -> bytes:
        line: bytes = self.protocol.rfile.readline(MAX_CHUNK_LINE_BYTES + 1)
        if not line.endswith(b"\n"):
            raise BodyError("line in the body is cut short or too long")
        return line


class HttpProtocol(wsgi.HttpProtocol):  # type: ignore[misc]
    """Serve one connection."""

    # One connection serves many requests; a head that is cut short by a
    # slow sender is ended by the socket timeout of the server.
    raw_headers: list[tuple[str, str]]
    fields: dict[str, str]
    status: str
    response_headers: list[tuple[str, str]]

    def handle(self) -> None:
        """Serve requests until either side ends the connection."""
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.close_connection = False
        try:
            while not self.close_connection:
                self.handle_one_request()
                if self.conn_state[2] == wsgi.STATE_CLOSE:
                    self.close_connection = True
                else:
                    self.conn_state[2] = wsgi.STATE_IDLE
        except OSError:
            # The caller has gone or is too slow; nobody waits for an answer.
            self.close_connection = True

    def handle_one_request(self) -> None:
        """Read one request and send its response."""
        self.raw_requestline = self.rfile.readline(MAX_HEAD_BYTES + 1)
        if not self.raw_requestline:
            self.close_connection = True
            return
        # A server that stops breaks off idle connections only.
        self.conn_state[2] = wsgi.STATE_REQUEST
        if not self.parse_request():
            return
        environ = self.get_environ()
        self.status = ""
        parts = self._run_application(environ)
        if not self.status:
            # The application found that the caller has gone.
            self.close_connection = True
            return
        complete = environ["wsgi.input"].complete
        self._send_response(b"".join(parts), complete)
        if not complete:
            self._linger()

    def parse_request(self) -> bool:
        """Read the head; answers the caller itself if it is refused."""
        self.close_connection = True
        try:
            self._parse_request_line()
            self._parse_headers()
            self._check_framing()
        except HeadError as error:
            self._refuse(error)
            return False
        return True

    def get_environ(self) -> dict[str, Any]:
        """Build the WSGI environment of the request."""
        environ: dict[str, Any] = self.server.get_environ()
        path, _, query = self.path.partition("?")
        environ.update(self.fields)
        environ["REQUEST_METHOD"] = self.command
        environ["SCRIPT_NAME"] = ""
        environ["RAW_PATH_INFO"] = path
        environ["hickorythread.path"] = self.path
        environ["PATH_INFO"] = (
            parse.unquote(path, "latin1") if "%" in path else path
        )
        environ["QUERY_STRING"] = query
        environ["SERVER_PROTOCOL"] = self.request_version
        environ["headers_raw"] = self.raw_headers
        environ["wsgi.input"] = Body(
            self,
            int(self.fields.get("CONTENT_LENGTH") or 0),
            "HTTP_TRANSFER_ENCODING" in self.fields,
            self.fields.get("HTTP_EXPECT", "").lower() == "100-continue",
        )
        environ["hickorythread.socket"] = self.connection
        return environ

    def _run_application(self, environ: dict[str, Any]) -> Iterable[bytes]:
        try:
            parts: Iterable[bytes] = self.server.app(
                environ, self._start_response
            )
            return parts
        except OSError:
            raise
        except Exception as error:
            logs.error(
                "application_failed",
                error=f"{type(error).__name__}: {error}",
                trace=traceback.format_exc(limit=-3),
            )
            headers = [("X-Outcome", "unknown"), ("Content-Length", "0")]
            self._start_response("500 Internal Server Error", headers)
            return []

    def _start_response(
        self, status: str, headers: list[tuple[str, str]], *_: Any
    ) -> Callable[[bytes], None]:
        self.status = status
        self.response_headers = headers
        return self._refuse_write

    def _refuse_write(self, data: bytes) -> None:
        raise NotImplementedError("applications return their whole body")

    def _send_response(self, body: bytes, complete: bool) -> None:
        """Send head and body at once; body and request may end early."""
        lines = [f"HTTP/1.1 {self.status}"]
        dated = False
        for name, value in self.response_headers:
            if name == "Connection":
                self.close_connection = True
            elif not _BAD_TEXT.search(value):
                lines.append(f"{name}: {value}")
                dated = dated or name.lower() == "date"
        if self.close_connection or not complete:
            self.close_connection = True
            lines.append("Connection: close")
        elif self.request_version == "HTTP/1.0":
            lines.append("Connection: keep-alive")
        if not dated:
            lines.append(f"Date: {_format_date(int(time.time()))}")
        lines.append("\r\n")
        head = "\r\n".join(lines).encode("latin1")
        if self.command != "HEAD":
            head += body
        self.connection.sendall(head)

    def _linger(self) -> None:
        """Discard the rest of a body for a moment.

        Closing a socket with unread data resets the connection, which may
        destroy the response before the caller has read it.
        """
        self.connection.shutdown(socket.SHUT_WR)
        left = MAX_DISCARDED_BYTES
        with eventlet.Timeout(LINGER_SECONDS, False):
            while left > 0 and (data := self.connection.recv(65536)):
                left -= len(data)

    def _parse_request_line(self) -> None:
        if len(self.raw_requestline) > MAX_HEAD_BYTES:
            raise HeadError(431, "request head exceeds 16 KiB")
        match = _REQUEST_LINE.match(self.raw_requestline)
        if match is None:
            raise HeadError(400, "malformed request line")
        method, target, minor = match.groups()
        self.command = method.decode("ascii")
        self.path = target.decode("ascii")
        if not self.path.startswith("/"):
            raise HeadError(400, "the request target must be a path")
        self.request_version = f"HTTP/1.{minor.decode()}"
        self.requestline = f"{self.command} {self.path}"

    def _parse_headers(self) -> None:
        self.fields = {}
        self.raw_headers = []
        room = MAX_HEAD_BYTES - len(self.raw_requestline)
        while True:
            line = self.rfile.readline(room + 1)
            room -= len(line)
            if room < 0 or len(self.raw_headers) > MAX_HEADERS:
                raise HeadError(431, "request head exceeds 16 KiB")
            if line in _LINE_ENDS:
                return
            if not line.endswith(b"\n"):
                raise HeadError(400, "request head is cut short")
            self._add_header(line)

    def _add_header(self, line: bytes) -> None:
        raw_name, colon, raw_value = line.partition(b":")
        known = _NAMES.get(raw_name)
        if not colon or (known is None and not _TOKEN.match(raw_name)):
            raise HeadError(400, "malformed header line")
        raw_value = raw_value.strip(b" \t\r\n")
        if _BAD_VALUE.search(raw_value):
            raise HeadError(400, "control character in a header")
        name, key = known or _remember_name(raw_name)
        value = raw_value.decode("latin1")
        earlier = self.fields.get(key)
        if earlier is None:
            self.fields[key] = value
        elif key in _SINGLE:
            raise HeadError(400, f"header {name} appears twice")
        else:
            self.fields[key] = f"{earlier}, {value}"
        self.raw_headers.append((name, value))

    def _check_framing(self) -> None:
        """Refuse heads whose body length two readers could read apart."""
        encoding = self.fields.get("HTTP_TRANSFER_ENCODING")
        length = self.fields.get("CONTENT_LENGTH")
        if encoding is not None and encoding.lower() != "chunked":
            raise HeadError(400, "unsupported Transfer-Encoding")
        if encoding is not None and length is not None:
            raise HeadError(400, "both Content-Length and Transfer-Encoding")
        if length is not None and not length.isdigit():
            raise HeadError(400, "Content-Length is not a count")
        tokens = self.fields.get("HTTP_CONNECTION", "").lower()
        if self.request_version == "HTTP/1.0":
            self.close_connection = "keep-alive" not in tokens
        else:
            self.close_connection = "close" in tokens

    def _refuse(self, error: HeadError) -> None:
        body = f'{{"reason": "head", "message": "{error.message}"}}'.encode()
        head = (
            f"HTTP/1.1 {error.status} Bad Request\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "X-Outcome: not-run\r\n"
            "Connection: close\r\n\r\n"
        )
        self.close_connection = True
        self.connection.sendall(head.encode() + body)
        self._linger()


def _remember_name(raw_name: bytes) -> tuple[str, str]:
    """Return a header name and its key in the environment."""
    name = raw_name.decode("ascii")
    key = name.upper().replace("-", "_")
    if key not in ("CONTENT_LENGTH", "CONTENT_TYPE"):
        key = f"HTTP_{key}"
    # Names come from callers, so the cache must not grow with them.
    if len(_NAMES) < MAX_CACHED_NAMES:
        _NAMES[raw_name] = name, key
    return name, key


@functools.lru_cache(maxsize=1)
def _format_date(seconds: int) -> str:
    return email.utils.formatdate(seconds, usegmt=True)
