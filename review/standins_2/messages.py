"""HTTP/1.1 messages of the stand-ins."""

MAX_LINE_BYTES = 65_536


class Message:
    """A message with its headers by lower-case name."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def target(self):
        return self.start_line.split(" ")[1]

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    @property
    def closes(self):
        return "close" in self.headers.get("connection", "").lower()


def render(start_line, headers, body=b"", states_length=True):
    """Return the bytes of a message."""
    lines = [start_line]
    lines += [f"{name}: {value}" for name, value in headers]
    if states_length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def read(reader):
    """Read a message; None if the connection ends before it.

    Raises ValueError for bytes that are no complete message.
    """
    line = reader.readline(MAX_LINE_BYTES)
    if not line:
        return None
    start_line = _text(line)
    headers = {}
    while text := _text(reader.readline(MAX_LINE_BYTES)):
        name, colon, value = text.partition(":")
        if not colon:
            raise ValueError(f"no header: {text[:80]!r}")
        headers[name.lower()] = value.strip()
    if "transfer-encoding" in headers:
        return Message(start_line, headers, _read_chunks(reader))
    size = int(headers.get("content-length", "0"))
    return Message(start_line, headers, _read_exactly(reader, size))


def _text(line):
    if not line.endswith(b"\r\n"):
        raise ValueError("line is cut short")
    return line[:-2].decode("latin-1")


def _read_chunks(reader):
    parts = []
    while size := int(_text(reader.readline(MAX_LINE_BYTES)), 16):
        parts.append(_read_exactly(reader, size))
        _text(reader.readline(MAX_LINE_BYTES))
    while _text(reader.readline(MAX_LINE_BYTES)):
        pass
    return b"".join(parts)


def _read_exactly(reader, size):
    data = reader.read(size) if size else b""
    if len(data) < size:
        raise ValueError("body is cut short")
    return data
