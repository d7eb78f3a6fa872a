"""A text stream for logs that never waits and never fails."""

import collections
import io
import os
import select
import sys

# A pipe that select() reports as writable accepts at least this many bytes
# without blocking.
MAX_WRITE_BYTES = 4096
MAX_WAITING_BYTES = 1 << 20
STANDARD_DESCRIPTORS = (0, 1, 2)
# Saved before eventlet patches the standard library (see cli.py): the patched
# functions would suspend the task instead of returning at once.
_unpatched_select = select.select
_unpatched_write = os.write


class LogStream(io.TextIOBase):
    """Write lines to a descriptor; drop and count those that it refuses.

    Lines wait while a write would block. They are dropped once the write
    fails, or once MAX_WAITING_BYTES wait.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        # Whether the bytes written so far end with a whole line, and whether
        # the rest of the last line was dropped.
        self.ends_with_line = True
        self.line_is_cut = False

    @property
    def encoding(self) -> str:  # type: ignore[override]
        """Return the name of the encoding."""
        return "utf-8"

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.descriptor

    def writable(self) -> bool:
        """Return that the stream can be written to."""
        return True

    def write(self, text: str) -> int:
        """Write text now or, while that would block, on a later flush()."""
        data = text.encode("utf-8", "backslashreplace")
        if self.waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped += _count_lines(data)
        elif data:
            self.waiting.append(data)
            self.waiting_bytes += len(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what waits, as far as that does not block."""
        while self.waiting and accepts_write(self.descriptor):
            data = self._start_line(self.waiting[0])[:MAX_WRITE_BYTES]
            try:
                written = _unpatched_write(self.descriptor, data)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._drop()
                return
            self.ends_with_line = data[:written].endswith(b"\n")
            self._remove(written)

    def is_idle(self) -> bool:
        """Return whether nothing waits and a write would not block."""
        self.flush()
        return not self.waiting and accepts_write(self.descriptor)

    def _start_line(self, data: bytes) -> bytes:
        return b"\n" + data if self.line_is_cut else data

    def _remove(self, written: int) -> None:
        """Remove the bytes that were written from those that wait."""
        if self.line_is_cut:
            self.line_is_cut = False
            written -= 1
        data = self.waiting.popleft()
        self.waiting_bytes -= written
        if written < len(data):
            self.waiting.appendleft(data[written:])

    def _drop(self) -> None:
        """Drop what waits, since the descriptor refuses it."""
        self.dropped += sum(map(_count_lines, self.waiting))
        self.waiting.clear()
        self.waiting_bytes = 0
        self.line_is_cut = not self.ends_with_line


def accepts_write(descriptor: int) -> bool:
    """Return whether a write would not block."""
    try:
        ready = _unpatched_select([], [descriptor], [], 0)[1]
    except (OSError, ValueError):
        # The write fails without blocking.
        return True
    return bool(ready)


def _count_lines(data: bytes) -> int:
    return max(1, data.count(b"\n"))


def open_missing_descriptors() -> None:
    """Open standard descriptors that are closed on the null device.

    The next file or socket would otherwise get their numbers, and whatever is
    written to the standard streams.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def guard_standard_streams() -> None:
    """Make output to the standard streams never wait and never fail."""
    sys.stdout = LogStream(1)
    sys.stderr = LogStream(2)
