"""One log line of key=value pairs per event."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import functools
import json
import logging as standard_logging
import re
import select
import sys
import time
from typing import Any
from typing import TextIO

from absl import logging

MAX_BUFFERED_DECISIONS = 4096
# A pipe that is ready takes at least this much without blocking.
MAX_WRITE_BYTES = 4096
MAX_VALUE_LENGTH = 200
LEVELS = {
    "debug": standard_logging.DEBUG,
    "info": standard_logging.INFO,
    "warning": standard_logging.WARNING,
    "error": standard_logging.ERROR,
}
# Callers own the content of their requests; it never reaches a log.
_CONTENT_KEYS = frozenset(("body", "header", "headers", "data", "content"))
# Taken before eventlet patches the standard library (see cli.py): the patched
# select would suspend the task instead of answering at once.
_select = select.select
_PLAIN = re.compile(r"[A-Za-z0-9_./:~@+,-]+")


class Formatter(standard_logging.Formatter):
    """Format a record as key=value pairs."""

    def __init__(self, host_id: str, version: Callable[[], int]) -> None:
        super().__init__()
        self.host_id = host_id
        self.version = version

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return one line, whatever the message holds."""
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
    """Mark the handler that set_up() replaces."""


class DecisionLog:
    """Buffer decision lines; a task formats and writes them in batches."""

    __slots__ = (
        "host",
        "version",
        "wall",
        "dropped",
        "_buffer",
        "ordinary_lines_per_second",
        "lines_per_second",
        "_second",
        "_lines",
    )

    def __init__(
        self,
        host_id: str,
        version: Callable[[], int],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.host = quote(host_id)
        self.version = version
        self.wall = wall
        self.dropped = 0
        self.ordinary_lines_per_second = MAX_BUFFERED_DECISIONS
        self.lines_per_second = 2 * MAX_BUFFERED_DECISIONS
        self._second = 0
        self._lines = 0
        self._buffer: collections.deque[
            tuple[float, int, str, Mapping[str, Any]]
        ] = collections.deque()

    def add(
        self, event: str, values: Mapping[str, Any], ordinary: bool = False
    ) -> None:
        """Record one decision, or count it as dropped beyond the bounds.

        The values must not change afterwards. An ordinary line is one that
        nobody needs to explain a failure; it has less room than others.
        """
        now = self.wall()
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        room = (
            MAX_BUFFERED_DECISIONS // 2 if ordinary else MAX_BUFFERED_DECISIONS
        )
        most = (
            self.ordinary_lines_per_second
            if ordinary
            else self.lines_per_second
        )
        if len(self._buffer) >= room or self._lines >= most:
            self.dropped += 1
            return
        self._lines += 1
        self._buffer.append((now, self.version(), event, values))

    def flush(
        self, stream: TextIO, limit: int = MAX_BUFFERED_DECISIONS
    ) -> int:
        """Write up to limit buffered lines and return their number.

        Lines stay in the buffer while the stream would block, so that a
        stalled reader of the log never stops the process.
        """
        written = 0
        while written < limit and self._buffer and _is_writable(stream):
            lines: list[str] = []
            size = 0
            while self._buffer and written + len(lines) < limit:
                line = self._format(*self._buffer[0])
                size += len(line)
                if lines and size > MAX_WRITE_BYTES:
                    break
                lines.append(line)
                self._buffer.popleft()
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
    """Route absl logging to key=value lines; return the decision log.

    The handler of absl writes to stderr only, whatever stream it is given,
    until its flags are parsed, which this project does not use.
    """
    handler = _Handler(stream or sys.stderr)
    handler.setFormatter(Formatter(host_id, version))
    root = standard_logging.getLogger()
    for other in list(root.handlers):
        if other is logging.get_absl_handler() or isinstance(other, _Handler):
            root.removeHandler(other)
    root.addHandler(handler)
    root.setLevel(LEVELS[level])
    logging.set_verbosity(level)
    return DecisionLog(host_id, version)


def info(event: str, **values: Any) -> None:
    """Write one line about an ordinary event."""
    _write(standard_logging.INFO, event, values)


def warning(event: str, **values: Any) -> None:
    """Write one line about an event that an operator should see."""
    _write(standard_logging.WARNING, event, values)


def error(event: str, **values: Any) -> None:
    """Write one line about a failure."""
    _write(standard_logging.ERROR, event, values)


def debug(event: str, **values: Any) -> None:
    """Write one line that helps to find a fault."""
    _write(standard_logging.DEBUG, event, values)


def format_pairs(event: str, values: Mapping[str, Any]) -> str:
    """Return key=value pairs, without any content of a request."""
    pairs = [f"event={quote(event)}"]
    for key, value in values.items():
        if key in _CONTENT_KEYS:
            pairs.append(f"{key}=withheld")
        else:
            pairs.append(f"{key}={quote(value)}")
    return " ".join(pairs)


def quote(value: Any) -> str:
    """Return a value as one token, quoted when it is not plain."""
    if value is True or value is False:
        return "true" if value else "false"
    if isinstance(value, bytes):
        return f"{len(value)}-bytes"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if len(text) > MAX_VALUE_LENGTH:
        text = text[:MAX_VALUE_LENGTH] + "..."
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


def format_time(seconds: float) -> str:
    """Return UTC time in ISO 8601 with milliseconds."""
    whole = int(seconds)
    return f"{_format_second(whole)}.{int((seconds - whole) * 1000):03}Z"


@functools.lru_cache(maxsize=8)
def _format_second(seconds: int) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S")


def _write(level: int, event: str, values: Mapping[str, Any]) -> None:
    logger = logging.get_absl_logger()
    if logger.isEnabledFor(level):
        pairs = format_pairs(event, values)
        logger.log(level, "%s", event, extra={"pairs": pairs})


def _is_writable(stream: TextIO) -> bool:
    try:
        number = stream.fileno()
    except (OSError, ValueError):
        return True
    return bool(_select([], [number], [], 0)[1])
