"""HTTP/1.1 protocol handler for the WSGI server of eventlet.

The request loop of eventlet takes about as long as the rest of a short
request: it parses heads with the email package, and formats and writes the
parts of each response separately. This handler parses heads strictly, builds
only the part of the WSGI environment that the applications use and sends each
response with one call.
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
DISCARD_TIMEOUT_SECONDS = 1.0
MAX_CACHED_HEADER_NAMES = 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_REQUEST_LINE = re.compile(
    rb"([A-Z]{1,16}) ([\x21-\x7e]{1,8192}) HTTP/1\.([01])\r?\n\Z"
)
_INVALID_HEADER_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_INVALID_RESPONSE_VALUE = re.compile(r"[\x00\r\n]")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00\r\n]*)?\r?\n\Z")
_HEADER_NAMES: dict[bytes, tuple[str, str]] = {}
_LINE_ENDINGS = (b"\r\n", b"\n")
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
    """Report a request head that is invalid or too large."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


class BodyError(Exception):
    """Report that the framing of a request body is invalid."""


class Body:
    """Read the body of one request.

    The first read sends 100 Continue to a caller that expects it.
    """

    __slots__ = ("protocol", "remaining", "chunked", "expects_continue")

    def __init__(
        self,
        protocol: "HttpProtocol",
        length: int,
        chunked: bool,
        expects_continue: bool,
    ) -> None:
        self.protocol = protocol
        self.remaining = length
        self.chunked = chunked
        self.expects_continue = expects_continue

    @property
    def complete(self) -> bool:
        """Return whether the body has been read to its end."""
        return not (self.chunked or self.remaining)

    def read(self, limit: int) -> bytes:
        """Return up to limit bytes, fewer only at the end of the body.

        Raises BodyError if the chunks are malformed or truncated.
        """
        if self.expects_continue:
            self.expects_continue = False
            self.protocol.connection.sendall(CONTINUE)
        if self.chunked:
            return self._read_chunks(limit)
        data: bytes = self.protocol.rfile.read(min(limit, self.remaining))
        self.remaining -= len(data)
        return data

    def _read_chunks(self, limit: int) -> bytes:
        parts: list[bytes] = []
        while limit > 0:
            if not self.remaining:
                self.remaining = self._read_chunk_size()
                if not self.remaining:
                    self._skip_trailers()
                    self.chunked = False
                    break
            size = min(limit, self.remaining)
            part = self.protocol.rfile.read(size)
            if len(part) < size:
                raise BodyError("body is cut short")
            parts.append(part)
            limit -= size
            self.remaining -= size
            if not self.remaining and self._read_line() not in _LINE_ENDINGS:
                raise BodyError("chunk is longer than announced")
        return b"".join(parts)

    def _read_chunk_size(self) -> int:
        match = _CHUNK_SIZE.match(self._read_line())
        if match is None:
            raise BodyError("malformed chunk size")
        return int(match[1], 16)

    def _skip_trailers(self) -> None:
        for _ in range(MAX_HEADERS):
            if self._read_line() in _LINE_ENDINGS:
                return
        raise BodyError("too many trailers")

    def _read_line(self) -> bytes:
        line: bytes = self.protocol.rfile.readline(MAX_CHUNK_LINE_BYTES + 1)
        if not line.endswith(b"\n"):
            raise BodyError("line in the body is cut short or too long")
        return line


class HttpProtocol(wsgi.HttpProtocol):  # type: ignore[misc]
    """Serve the requests of one connection."""

    # The attributes below belong to the current request. A connection serves
    # many requests; the socket timeout of the server ends the wait for a head
    # that a slow sender does not complete.
    raw_headers: list[tuple[str, str]]
    fields: dict[str, str]
    status: str
    response_headers: list[tuple[str, str]]

    def handle(self) -> None:
        """Serve requests until either side closes the connection."""
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
            # The caller has disconnected or timed out; no response is needed.
            self.close_connection = True

    def handle_one_request(self) -> None:
        """Read one request and send its response."""
        self.raw_requestline = self.rfile.readline(MAX_HEAD_BYTES + 1)
        if not self.raw_requestline:
            self.close_connection = True
            return
        # On shutdown the server closes only idle connections.
        self.conn_state[2] = wsgi.STATE_REQUEST
        if not self.parse_request():
            return
        environ = self.get_environ()
        self.status = ""
        body_parts = self._run_application(environ)
        if not self.status:
            # The application found that the caller has disconnected.
            self.close_connection = True
            return
        complete = environ["wsgi.input"].complete
        self._send_response(b"".join(body_parts), complete)
        if not complete:
            self._discard_request_body()

    def parse_request(self) -> bool:
        """Read the head; sends the error response itself if it is invalid."""
        self.close_connection = True
        try:
            self._parse_request_line()
            self._parse_headers()
            self._check_framing()
        except HeadError as error:
            self._reject(error)
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
            body_parts: Iterable[bytes] = self.server.app(
                environ, self._start_response
            )
            return body_parts
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
        return self._reject_write

    def _reject_write(self, data: bytes) -> None:
        raise NotImplementedError(
            "write() is not supported, return the whole body"
        )

    def _send_response(self, body: bytes, complete: bool) -> None:
        """Send the head and the body with one call.

        complete tells whether the request body has been read to its end; if
        not, the connection is closed.
        """
        lines = [f"HTTP/1.1 {self.status}"]
        has_date = False
        for name, value in self.response_headers:
            if name == "Connection":
                self.close_connection = True
            elif not _INVALID_RESPONSE_VALUE.search(value):
                lines.append(f"{name}: {value}")
                has_date = has_date or name.lower() == "date"
        if self.close_connection or not complete:
            self.close_connection = True
            lines.append("Connection: close")
        elif self.request_version == "HTTP/1.0":
            lines.append("Connection: keep-alive")
        if not has_date:
            lines.append(f"Date: {_format_date(int(time.time()))}")
        lines.append("\r\n")
        head = "\r\n".join(lines).encode("latin1")
        if self.command != "HEAD":
            head += body
        self.connection.sendall(head)

    def _discard_request_body(self) -> None:
        """Discard the rest of a request body for a limited time.

        Closing a socket with unread data resets the connection, which may
        destroy the response before the caller has read it.
        """
        self.connection.shutdown(socket.SHUT_WR)
        bytes_left = MAX_DISCARDED_BYTES
        with eventlet.Timeout(DISCARD_TIMEOUT_SECONDS, False):
            while bytes_left > 0 and (data := self.connection.recv(65536)):
                bytes_left -= len(data)

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
        remaining_bytes = MAX_HEAD_BYTES - len(self.raw_requestline)
        while True:
            line = self.rfile.readline(remaining_bytes + 1)
            remaining_bytes -= len(line)
            if remaining_bytes < 0 or len(self.raw_headers) > MAX_HEADERS:
                raise HeadError(431, "request head exceeds 16 KiB")
            if line in _LINE_ENDINGS:
                return
            if not line.endswith(b"\n"):
                raise HeadError(400, "request head is cut short")
            self._add_header(line)

    def _add_header(self, line: bytes) -> None:
        raw_name, colon, raw_value = line.partition(b":")
        cached = _HEADER_NAMES.get(raw_name)
        if not colon or (cached is None and not _TOKEN.match(raw_name)):
            raise HeadError(400, "malformed header line")
        raw_value = raw_value.strip(b" \t\r\n")
        if _INVALID_HEADER_VALUE.search(raw_value):
            raise HeadError(400, "control character in a header")
        name, key = cached or _cache_header_name(raw_name)
        value = raw_value.decode("latin1")
        previous = self.fields.get(key)
        if previous is None:
            self.fields[key] = value
        elif key in _SINGLETON_HEADERS:
            raise HeadError(400, f"header {name} appears twice")
        else:
            self.fields[key] = f"{previous}, {value}"
        self.raw_headers.append((name, value))

    def _check_framing(self) -> None:
        """Reject heads whose body length could be interpreted in two ways."""
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

    def _reject(self, error: HeadError) -> None:
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
        self._discard_request_body()


def _cache_header_name(raw_name: bytes) -> tuple[str, str]:
    """Return a header name and its WSGI key; caches them."""
    name = raw_name.decode("ascii")
    key = name.upper().replace("-", "_")
    if key not in ("CONTENT_LENGTH", "CONTENT_TYPE"):
        key = f"HTTP_{key}"
    # Callers choose the names, so the size of the cache is limited.
    if len(_HEADER_NAMES) < MAX_CACHED_HEADER_NAMES:
        _HEADER_NAMES[raw_name] = name, key
    return name, key


@functools.lru_cache(maxsize=1)
def _format_date(seconds: int) -> str:
    return email.utils.formatdate(seconds, usegmt=True)
