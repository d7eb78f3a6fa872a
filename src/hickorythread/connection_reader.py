"""Buffered reads from a socket that end by an absolute deadline."""

import errno
import math
import time
from typing import Any

from hickorythread import turns

READ_CHUNK_BYTES = 65_536
HEAD_CHUNK_BYTES = 16_384
# What arrived before the deadline of a busy process is read for so long after.
LATE_SECONDS = 0.1


class ConnectionReader:
    """Buffer the received bytes of a connection until it is closed.

    It replaces the file object that http.client creates for each response.
    Creating that object takes as long as the rest of reading a response.

    Bytes that have arrived can be read for LATE_SECONDS after the deadline,
    but no call waits for more: it raises TimeoutError. So a peer that sends
    one byte at a time, or without a pause, does not extend the time of a
    message. idle_timeout limits each single wait, in seconds. chunk_bytes
    limits what is received ahead. turn lets other tasks run while the peer
    always has more to read.

    aborted tells that this process has shut the connection down. What had
    arrived before can be read; then each call raises ConnectionAbortedError,
    since that end is not the end of what the peer has to say.
    """

    __slots__ = (
        "sock",
        "data",
        "position",
        "deadline",
        "idle_timeout",
        "chunk_bytes",
        "turn",
        "late_until",
        "aborted",
    )

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.data = b""
        self.position = 0
        self.deadline = math.inf
        self.idle_timeout = math.inf
        self.chunk_bytes = READ_CHUNK_BYTES
        self.turn = turns.Turn()
        self.late_until = math.inf
        self.aborted = False

    def limit(self, seconds: float) -> None:
        """Set the deadline to so many seconds from now, math.inf for none."""
        self.deadline = time.monotonic() + seconds
        self.late_until = math.inf

    def makefile(self, mode: str) -> "ConnectionReader":
        """Return this reader: http.client calls makefile() on a socket."""
        return self

    def readline(self, limit: int) -> bytes:
        """Return a line; it is cut at the limit or at the end of the data."""
        self._spend(1)
        end = self.data.find(b"\n", self.position) + 1
        while not end and len(self.data) - self.position < limit:
            unread = len(self.data) - self.position
            if not self.fill():
                break
            end = self.data.find(b"\n", unread) + 1
        return self._take(min(end or len(self.data), self.position + limit))

    def read(self, size: int) -> bytes:
        """Return size bytes, fewer only at the end of the data."""
        self._spend(1)
        if len(self.data) - self.position >= size:
            return self._take(self.position + size)
        chunks = [self._take(len(self.data))]
        missing = size - len(chunks[0])
        while missing > 0:
            chunk = self.read_some(missing)
            if not chunk:
                break
            chunks.append(chunk)
            missing -= len(chunk)
        return b"".join(chunks)

    def read_some(self, size: int) -> bytes:
        """Return from 1 to size bytes, none at the end of the data.

        Of a long message nothing that follows it is received.
        """
        buffered = len(self.data) - self.position
        if not buffered and size > HEAD_CHUNK_BYTES:
            size = min(size, READ_CHUNK_BYTES)
            return self._receive(size)
        if not buffered:
            self.fill()
        return self._take(min(len(self.data), self.position + size))

    def has(self, size: int) -> bool:
        """Return whether so many bytes can be read without a wait."""
        return len(self.data) - self.position >= size

    def is_empty(self) -> bool:
        """Return whether all received bytes have been read."""
        return self.position == len(self.data)

    def fill(self) -> bool:
        """Receive at least one more byte; return False at the end."""
        chunk = self._receive(self.chunk_bytes)
        self.data = self.data[self.position :] + chunk
        self.position = 0
        return bool(chunk)

    def close(self) -> None:
        """Do nothing: the socket belongs to the connection."""

    def flush(self) -> None:
        """Do nothing: the reader does not write."""

    def _receive(self, size: int) -> bytes:
        self._spend(turns.RECEIVE_UNITS)
        data = receive(self.sock, size, self._timeout(), self.turn)
        if self.aborted and not data:
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "connection ended by this process"
            )
        return data

    def _spend(self, units: int) -> None:
        """Count work; raise TimeoutError if it goes on after the deadline."""
        if not self.turn.spend(units) or self.deadline == math.inf:
            return
        now = time.monotonic()
        if now > self.late_until:
            raise TimeoutError("timed out")
        if now > self.deadline and self.late_until == math.inf:
            self.late_until = now + LATE_SECONDS

    def _timeout(self) -> float | None:
        """Return how long the next wait may take, None without a limit."""
        timeout = self.idle_timeout
        if self.deadline != math.inf:
            remaining = self.deadline - time.monotonic()
            timeout = min(timeout, max(0.0, remaining))
        return None if timeout == math.inf else timeout

    def _take(self, end: int) -> bytes:
        result = self.data[self.position : end]
        if end == len(self.data):
            # An idle connection keeps no buffer.
            self.data = b""
            end = 0
        self.position = end
        return result


def receive(
    sock: Any,
    size: int,
    timeout: float | None = None,
    turn: turns.Turn | None = None,
) -> bytes:
    """Return received bytes; raise ConnectionResetError on a reset.

    The sockets of eventlet report a reset as the end of the data. A truncated
    body that is delimited by the end of its connection would look complete.
    A wait restarts the turn of the task.
    """
    raw_socket = getattr(sock, "fd", None)
    if raw_socket is None:
        return _receive_blocking(sock, size, timeout)
    while True:
        try:
            return bytes(raw_socket.recv(size))
        except BlockingIOError:
            _wait_readable(raw_socket, timeout)
            if turn is not None:
                turn.restart()


def _receive_blocking(sock: Any, size: int, timeout: float | None) -> bytes:
    sock.settimeout(timeout)
    try:
        return bytes(sock.recv(size))
    except BlockingIOError as error:
        raise TimeoutError("timed out") from error


def _wait_readable(raw_socket: Any, timeout: float | None) -> None:
    """Suspend the task until a green socket is readable or times out."""
    from eventlet import hubs

    try:
        hubs.trampoline(
            raw_socket,
            read=True,
            timeout=timeout,
            timeout_exc=TimeoutError("timed out"),
        )
    except hubs.IOClosed as error:
        raise EOFError("socket closed by another task") from error
