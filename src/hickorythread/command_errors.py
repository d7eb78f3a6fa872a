"""Errors with which a command ends, and the reading of its input files."""

from typing import Any

from hickorythread import exit_codes


class CommandError(Exception):
    """Hold the exit code and messages with which a command ends."""

    def __init__(self, code: int, *lines: str) -> None:
        super().__init__("\n".join(lines))
        self.code = code
        self.lines = lines


def usage_error(origin: str, problems: list[Any]) -> CommandError:
    """Return the error that lists all problems of an input."""
    return CommandError(
        exit_codes.EXIT_USAGE,
        *(f"{origin}: {problem}" for problem in problems),
    )


def load_document(path: str) -> Any:
    """Return the JSON of a file.

    Raises CommandError if it cannot be read.
    """
    from hickorythread import documents

    loaded = documents.read(path)
    if loaded.is_error():
        raise usage_error(path, loaded.error)
    return loaded.ok
