"""Follow one request through the log lines of several nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import re
from typing import Any

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_START = re.compile(r"(?:^|\s)(time=\S+ level=.*)")


class LogLine:
    """Hold the keys and values of one log line, in their order."""

    __slots__ = ("values",)

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @property
    def time(self) -> str:
        """Return the time, which sorts as text."""
        return self.values.get("time", "")

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return self.values.get("event", "")

    @classmethod
    def parse(cls, text: str) -> "LogLine | None":
        """Read a line; None if it is not one of ours.

        Whatever a log collector put before the time is left out.
        """
        found = _START.search(text)
        if found is None:
            return None
        return cls(
            {key: _unquote(value) for key, value in _PAIR.findall(found[1])}
        )


def find_request_lines(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the lines about a request, in the order of their times."""
    found = [
        line
        for line in _parse(lines, request_id)
        if line.values.get("request") == request_id
    ]
    return sorted(found, key=lambda line: line.time)


def format_line(line: LogLine) -> str:
    """Return one line for an operator."""
    values = dict(line.values)
    time = values.pop("time", "")
    host = values.pop("host", "")
    event = values.pop("event", "")
    for key in ("level", "request"):
        values.pop(key, None)
    rest = " ".join(f"{key}={value}" for key, value in values.items() if value)
    return f"{time}  {host:<24} {event:<12} {rest}"


def to_document(lines: list[LogLine]) -> list[dict[str, Any]]:
    """Return the lines as plain maps."""
    return [dict(line.values) for line in lines]


def _parse(lines: Iterable[str], request_id: str) -> Iterator[LogLine]:
    for text in lines:
        # Most lines belong to other requests.
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
