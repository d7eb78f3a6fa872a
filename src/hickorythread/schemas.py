"""Check documents against the JSON schemas that ship with the package."""

from collections.abc import Iterable
import functools
from importlib import resources
import json
import math
from typing import Any
import unicodedata

import jsonschema

from hickorythread import exceptions

MAX_PROBLEMS = 100
MAX_DEPTH = 32
MAX_INTEGER = (1 << 53) - 1


@functools.cache
def load_validator(name: str) -> Any:
    """Return the validator of a schema, loaded on first use."""
    source = resources.files("hickorythread") / "schemas" / f"{name}.json"
    schema = json.loads(source.read_text(encoding="utf-8"))
    return _strict_validator_class()(schema)


def check(name: str, document: Any) -> list[exceptions.Problem]:
    """Return the problems of a document, each with its path."""
    problems = _check_values(document)
    if problems:
        return problems
    errors = load_validator(name).iter_errors(document)
    problems = [
        exceptions.Problem(
            _format_path(error.absolute_path), _format_message(error)
        )
        for error in errors
    ]
    problems.sort(key=lambda problem: (problem.path, problem.message))
    return problems[:MAX_PROBLEMS]


@functools.cache
def _strict_validator_class() -> Any:
    """Return a validator class that does not accept 12.0 as an integer."""
    checker = jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        "integer", lambda _, value: type(value) is int
    )
    extend: Any = jsonschema.validators.extend
    return extend(jsonschema.Draft202012Validator, type_checker=checker)


def _check_values(document: Any) -> list[exceptions.Problem]:
    """Return the problems of values that are invalid under every schema.

    All nodes must reach the same verdict. Values that cannot be serialized,
    or whose handling depends on the stack depth, are therefore rejected
    before the schema is applied.
    """
    problems: list[exceptions.Problem] = []
    unvisited: list[tuple[tuple[Any, ...], Any]] = [((), document)]
    while unvisited and len(problems) < MAX_PROBLEMS:
        path, value = unvisited.pop()
        message = _value_problem(value, len(path))
        if message:
            problems.append(exceptions.Problem(_format_path(path), message))
        elif isinstance(value, dict):
            unvisited.extend(((*path, key), value[key]) for key in value)
        elif isinstance(value, list):
            unvisited.extend(
                ((*path, index), item) for index, item in enumerate(value)
            )
    problems.sort(key=lambda problem: (problem.path, problem.message))
    return problems


def _value_problem(value: Any, depth: int) -> str:
    if isinstance(value, dict | list):
        if depth >= MAX_DEPTH:
            return f"nested deeper than {MAX_DEPTH} levels"
        if isinstance(value, dict) and not all(map(_is_valid_string, value)):
            return "a key contains a control character or is not a string"
        return ""
    if value is None or isinstance(value, bool):
        return ""
    if isinstance(value, int):
        too_large = abs(value) > MAX_INTEGER
        return f"magnitude exceeds {MAX_INTEGER}" if too_large else ""
    if isinstance(value, float):
        return "" if math.isfinite(value) else "not a finite number"
    if isinstance(value, str):
        return (
            "" if _is_valid_string(value) else "contains a control character"
        )
    return f"{type(value).__name__} is not a JSON type"


def _is_valid_string(text: Any) -> bool:
    """Return whether it is a string without control characters or surrogates.

    Surrogates cannot be encoded as UTF-8.
    """
    return isinstance(text, str) and (
        text.isprintable()
        or not any(
            unicodedata.category(character) in ("Cc", "Cs")
            for character in text
        )
    )


def _format_message(error: Any) -> str:
    """Return a message that describes the expected value if the schema does.

    The default message of a pattern shows only the regular expression.
    """
    expected = error.schema.get("description")
    if error.validator == "pattern" and expected:
        return f"{error.instance!r:.80} is not {expected}"
    return str(error.message)[:300]


def _format_path(parts: Iterable[Any]) -> str:
    return "".join(f"/{part}" for part in parts) or "/"
