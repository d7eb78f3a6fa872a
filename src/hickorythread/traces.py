"""Collect the log lines of a request from the logs of several nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import re
from typing import Any

_FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_LOG_LINE = re.compile(r"(?:^|\s)(time=\S+ level=.*)")


class LogLine:
    """Hold the keys and values of a log line, in the order of the line."""

    __slots__ = ("values",)

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @property
    def time(self) -> str:
        """Return the timestamp; timestamps sort chronologically as text."""
        return self.values.get("time", "")

    @property
    def event(self) -> str:
        """Return the event name."""
        return self.values.get("event", "")

    @classmethod
    def parse(cls, text: str) -> "LogLine | None":
        """Parse a line; None if it is not a log line of a node.

        A prefix that a log collector put before the timestamp is ignored.
        """
        match = _LOG_LINE.search(text)
        if match is None:
            return None
        return cls(
            {key: _unquote(value) for key, value in _FIELD.findall(match[1])}
        )


def find_request_lines(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the lines of a request, sorted by timestamp."""
    matching = [
        line
        for line in _parse_lines(lines, request_id)
        if line.values.get("request") == request_id
    ]
    return sorted(matching, key=lambda line: line.time)


def format_line(line: LogLine) -> str:
    """Format a log line in columns for the terminal."""
    values = dict(line.values)
    time = values.pop("time", "")
    host = values.pop("host", "")
    event = values.pop("event", "")
    for key in ("level", "request"):
        values.pop(key, None)
    fields = " ".join(
        f"{key}={value}" for key, value in values.items() if value
    )
    return f"{time}  {host:<24} {event:<12} {fields}"


def to_document(lines: list[LogLine]) -> list[dict[str, Any]]:
    """Return the lines as dictionaries."""
    return [dict(line.values) for line in lines]


def _parse_lines(lines: Iterable[str], request_id: str) -> Iterator[LogLine]:
    for text in lines:
        # Most lines belong to other requests; skip them without parsing.
        if request_id not in text:
            continue
        line = LogLine.parse(text)
        if line is not None:
            yield line


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
