"""Read JSON documents and report the location of syntax errors."""

from collections.abc import Callable
import json
import pathlib
from typing import Any

import expression

from hickorythread import exceptions

MAX_DOCUMENT_BYTES = 4 << 20
SETTINGS = "settings"
PATCH = "patch"
PATCH_KEYS = frozenset(("id", "base", "operations"))

ReadResult = expression.Result[Any, list[exceptions.Problem]]


class _DocumentError(ValueError):
    """Report JSON that Python's parser accepts but that is rejected here."""


def read(
    path: str, is_transient: Callable[[OSError], bool] = lambda error: False
) -> ReadResult:
    """Read and parse a JSON file, or return its problems.

    Raises OSError if the file cannot be read and the error is transient.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        if is_transient(error):
            raise
        return _error_result("", f"cannot read {path}: {error.strerror}")
    return parse(data)


def parse(data: bytes) -> ReadResult:
    """Parse JSON; problems carry the line and column of the error.

    Duplicate keys, NaN and infinities are rejected because JSON parsers
    differ in how they handle them.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return _error_result(
            "", f"{len(data)} bytes exceed the limit of {MAX_DOCUMENT_BYTES}"
        )
    try:
        text = data.decode("utf-8-sig")
        document = json.loads(
            text,
            object_pairs_hook=_unique_keys,
            parse_constant=_reject_constant,
        )
    except UnicodeDecodeError as error:
        return _error_result(f"byte {error.start}", "the text is not UTF-8")
    except json.JSONDecodeError as error:
        location = f"line {error.lineno}, column {error.colno}"
        return _error_result(location, f"malformed JSON: {error.msg}")
    except RecursionError:
        return _error_result("", "the JSON is nested too deeply")
    except ValueError as error:
        return _error_result("", f"malformed JSON: {error}")
    return expression.Ok(document)


def kind_of(document: Any) -> str:
    """Return whether a document is a patch or settings, by its keys."""
    if isinstance(document, dict) and PATCH_KEYS & document.keys():
        return PATCH
    return SETTINGS


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for key, value in pairs:
        if key in document:
            raise _DocumentError(f"the key {key!r} appears twice")
        document[key] = value
    return document


def _reject_constant(text: str) -> None:
    raise _DocumentError(f"{text} is not a JSON number")


def _error_result(path: str, message: str) -> ReadResult:
    return expression.Error([exceptions.Problem(path, message)])
