"""Reads and writes HTTP/1.1 messages for the callers and targets."""

MAX_LINE_BYTES = 65_536
# Header of an answer that states that the request has not run.
NOT_RUN = "Hickorythread-Not-Executed"
REQUEST_ID = "Hickorythread-Attempt-Id"
STAMP = "Hickorythread-Server-Stamp"
# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class MalformedMessageError(Exception):
    """Report bytes that are no HTTP message."""


class TruncatedMessageError(Exception):
    """Report a connection that ended within a message."""


class Message:
    """Hold a message; the names of its headers are in lower case."""

    __slots__ = ("start_line", "headers", "body")

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def path(self):
        return self.start_line.split(" ")[1]

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    @property
    def closes_connection(self):
        return "close" in self.headers.get("connection", "").lower()


def make_body(request_id, size):
    """Return the only body of this size that belongs to a request."""
    line = f"{request_id}\n".encode()
    return (line * (size // len(line) + 1))[:size]


def make_chunks(body):
    """Return a body as two chunks."""
    middle = len(body) // 2
    parts = [part for part in (body[:middle], body[middle:]) if part]
    chunks = [f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts]
    return b"".join(chunks) + b"0\r\n\r\n"


def make_head(start_line, headers):
    """Return the bytes of a start line and headers."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def read_message(reader):
    """Read a message; return None if the connection ends before it."""
    line = reader.readline(MAX_LINE_BYTES)
    if not line:
        return None
    start_line = _decode_line(line)
    if start_line.count(" ") < 2 or "HTTP/1.1" not in start_line:
        raise MalformedMessageError(start_line[:80])
    headers = {}
    while text := _decode_line(reader.readline(MAX_LINE_BYTES)):
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start_line, headers, _read_body(reader, headers))


def _decode_line(line):
    if not line.endswith(b"\n"):
        raise TruncatedMessageError("the head is incomplete")
    return line.decode("latin-1").rstrip("\r\n")


def _read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return _read_chunks(reader)
    return _read_exactly(reader, int(headers.get("content-length") or 0))


def _read_chunks(reader):
    chunks = []
    while size := int(_decode_line(reader.readline(MAX_LINE_BYTES)), 16):
        chunks.append(_read_exactly(reader, size))
        reader.readline(MAX_LINE_BYTES)
    reader.readline(MAX_LINE_BYTES)
    return b"".join(chunks)


def _read_exactly(reader, size):
    data = reader.read(size) if size else b""
    if len(data) < size:
        raise TruncatedMessageError(f"{len(data)} of {size} bytes")
    return data
