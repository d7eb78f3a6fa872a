"""Logging of events, each as one line of key=value pairs."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import functools
import json
import logging as standard_logging
import re
import sys
import time
from typing import Any
from typing import TextIO

from absl import logging

from hickorythread import log_stream

MAX_BUFFERED_DECISIONS = 4096
MAX_VALUE_LENGTH = 200
LEVELS = {
    "debug": standard_logging.DEBUG,
    "info": standard_logging.INFO,
    "warning": standard_logging.WARNING,
    "error": standard_logging.ERROR,
}
# The content of requests belongs to the callers and must not be logged.
_CONTENT_KEYS = frozenset(("body", "header", "headers", "data", "content"))
_UNQUOTED = re.compile(r"[A-Za-z0-9_./:~@+,-]+")


class Formatter(standard_logging.Formatter):
    """Format a record as key=value pairs."""

    def __init__(self, host_id: str, version: Callable[[], int]) -> None:
        super().__init__()
        self.host_id = host_id
        self.version = version

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a record as one line, even if it contains line breaks."""
        pairs = getattr(record, "pairs", None)
        if pairs is None:
            pairs = f"event=message text={quote(record.getMessage())}"
        version = getattr(record, "configuration_version", None)
        if version is None:
            version = self.version()
        created = getattr(record, "event_time", record.created)
        line = (
            f"time={format_time(created)} level={record.levelname.lower()} "
            f"host={quote(self.host_id)} version={version} {pairs}"
        )
        if record.exc_info:
            line += (
                f" exception={quote(self.formatException(record.exc_info))}"
            )
        return line


class _Handler(standard_logging.StreamHandler[TextIO]):
    """Identify the handler that an earlier set_up() has installed."""


class DecisionLog:
    """Buffer decisions; flush() formats and writes them in batches."""

    __slots__ = (
        "host",
        "version",
        "wall_clock",
        "dropped",
        "_buffer",
        "ordinary_lines_per_second",
        "lines_per_second",
        "_current_second",
        "_lines_this_second",
    )

    def __init__(
        self,
        host_id: str,
        version: Callable[[], int],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.host = quote(host_id)
        self.version = version
        self.wall_clock = wall_clock
        self.dropped = 0
        self.ordinary_lines_per_second = MAX_BUFFERED_DECISIONS
        self.lines_per_second = 2 * MAX_BUFFERED_DECISIONS
        self._current_second = 0
        self._lines_this_second = 0
        self._buffer: collections.deque[
            tuple[float, int, str, Mapping[str, Any]]
        ] = collections.deque()

    def add(
        self, event: str, values: Mapping[str, Any], ordinary: bool = False
    ) -> None:
        """Buffer one decision; counts it as dropped if a limit is reached.

        The values must not change afterwards, because they are formatted
        later. An ordinary line is one that is not needed to explain a
        failure; its limits are lower.
        """
        now = self.wall_clock()
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._lines_this_second = 0
        capacity = (
            MAX_BUFFERED_DECISIONS // 2 if ordinary else MAX_BUFFERED_DECISIONS
        )
        line_limit = (
            self.ordinary_lines_per_second
            if ordinary
            else self.lines_per_second
        )
        if (
            len(self._buffer) >= capacity
            or self._lines_this_second >= line_limit
        ):
            self.dropped += 1
            return
        self._lines_this_second += 1
        self._buffer.append((now, self.version(), event, values))

    def flush(
        self, stream: TextIO, limit: int = MAX_BUFFERED_DECISIONS
    ) -> int:
        """Write up to limit buffered lines and return their number.

        Lines stay in the buffer while a write would block, so that a stalled
        reader of the log cannot stop the process. Lines that the stream
        refuses count as written here; see dropped_lines().
        """
        written = 0
        while written < limit and self._buffer and _is_writable(stream):
            lines: list[str] = []
            size = 0
            while self._buffer and written + len(lines) < limit:
                # Removed first: one that cannot be formatted is tried once.
                decision = self._buffer.popleft()
                line = self._format(*decision)
                size += len(line)
                if lines and size > log_stream.MAX_WRITE_BYTES:
                    self._buffer.appendleft(decision)
                    break
                lines.append(line)
            stream.write("".join(lines))
            stream.flush()
            written += len(lines)
        return written

    def _format(
        self, at: float, version: int, event: str, values: Mapping[str, Any]
    ) -> str:
        return (
            f"time={format_time(at)} level=info host={self.host} "
            f"version={version} {format_pairs(event, values)}\n"
        )


def set_up(
    host_id: str,
    version: Callable[[], int],
    level: str,
    stream: TextIO | None = None,
) -> DecisionLog:
    """Make absl log key=value lines; returns the decision log.

    The handler of absl is replaced: it writes to stderr, whatever stream it
    is given, until the flags of absl are parsed, and this project does not
    use them.
    """
    handler = _Handler(stream or sys.stderr)
    handler.setFormatter(Formatter(host_id, version))
    root = standard_logging.getLogger()
    for existing in list(root.handlers):
        if existing is logging.get_absl_handler() or isinstance(
            existing, _Handler
        ):
            root.removeHandler(existing)
    root.addHandler(handler)
    root.setLevel(LEVELS[level])
    logging.set_verbosity(level)
    return DecisionLog(host_id, version)


def info(event: str, **values: Any) -> None:
    """Log an ordinary event."""
    _write(standard_logging.INFO, event, values)


def warning(event: str, **values: Any) -> None:
    """Log an event that an operator should see."""
    _write(standard_logging.WARNING, event, values)


def error(event: str, **values: Any) -> None:
    """Log a failure."""
    _write(standard_logging.ERROR, event, values)


def debug(event: str, **values: Any) -> None:
    """Log an event that is of use only for debugging."""
    _write(standard_logging.DEBUG, event, values)


def format_pairs(event: str, values: Mapping[str, Any]) -> str:
    """Return key=value pairs; the content of requests is withheld."""
    pairs = [f"event={quote(event)}"]
    for key, value in values.items():
        if key in _CONTENT_KEYS:
            pairs.append(f"{key}=withheld")
        else:
            pairs.append(f"{key}={quote(value)}")
    return " ".join(pairs)


def quote(value: Any) -> str:
    """Return a value as one token, a JSON string if it needs quotes."""
    if value is True or value is False:
        return "true" if value else "false"
    if isinstance(value, bytes):
        return f"{len(value)}-bytes"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if len(text) > MAX_VALUE_LENGTH:
        text = text[:MAX_VALUE_LENGTH] + "..."
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text)


def format_time(seconds: float) -> str:
    """Return the UTC time in ISO 8601 format with milliseconds."""
    whole_seconds = int(seconds)
    return (
        f"{_format_second(whole_seconds)}"
        f".{int((seconds - whole_seconds) * 1000):03}Z"
    )


@functools.lru_cache(maxsize=8)
def _format_second(seconds: int) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S")


def _write(level: int, event: str, values: Mapping[str, Any]) -> None:
    logger = logging.get_absl_logger()
    if logger.isEnabledFor(level):
        pairs = format_pairs(event, values)
        logger.log(level, "%s", event, extra={"pairs": pairs})


def dropped_lines(stream: TextIO | None) -> int:
    """Return how many lines a stream has dropped since the start."""
    if isinstance(stream, log_stream.LogStream):
        return stream.dropped
    return 0


def _is_writable(stream: TextIO) -> bool:
    if isinstance(stream, log_stream.LogStream):
        return stream.is_idle()
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return True
    return log_stream.accepts_write(descriptor)
