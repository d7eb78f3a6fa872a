"""Print the results of commands, as text for people or as JSON."""

from collections.abc import Iterable
import sys
from typing import Any
from typing import Literal
from typing import TextIO

Format = Literal["text", "json"]


def print_result(format: Format, document: Any, lines: list[str]) -> None:
    """Print a document as JSON, or the lines that say the same."""
    if format == "json":
        import json

        text = json.dumps(document, indent=2, sort_keys=True)
        lines = text.splitlines()
    print_lines(sys.stdout, lines)


def print_lines(stream: TextIO, lines: Iterable[str]) -> None:
    """Print lines; escape what the stream or a terminal cannot take."""
    encoding = stream.encoding or "utf-8"
    for line in lines:
        encoded = _escape(line).encode(encoding, "backslashreplace")
        stream.write(f"{encoded.decode(encoding)}\n")
    stream.flush()


def _escape(line: str) -> str:
    """Escape control characters, which a terminal would interpret."""
    if line.isprintable():
        return line
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode("ascii")
        for character in line
    )


def rejection_lines(patch_id: str, response: dict[str, Any]) -> list[str]:
    """Return why a patch was rejected."""
    lines = [
        f"{patch_id}: rejected ({response.get('kind') or 'no kind given'})"
    ]
    for problem in response.get("problems") or ():
        lines.append(f"  {problem.get('path')}: {problem.get('message')}")
    return lines


def status_lines(response: dict[str, Any]) -> list[str]:
    """Return what hosts hold per failure domain, and the laggards."""
    ready = "ready" if response.get("ready") else "not ready"
    lines = [
        f"{response.get('host_id')}: version {response.get('version')}, "
        f"digest {_short_digest(response.get('digest'))}, {ready}"
    ]
    rows = [("REGION", "DOMAIN", "VERSION", "DIGEST", "HOSTS")]
    laggards = []
    for region, domains in sorted((response.get("regions") or {}).items()):
        for domain, summary in sorted(domains.items()):
            rows.extend(_count_rows(region, domain, summary))
            laggards.extend(_laggard_lines(region, domain, summary))
    return lines + table(rows) + laggards


def _count_rows(
    region: str, domain: str, summary: dict[str, Any]
) -> list[Any]:
    return [
        (
            region,
            domain,
            str(item.get("version")),
            _short_digest(item.get("digest")),
            str(item.get("count")),
        )
        for item in summary.get("counts") or ()
    ]


def _laggard_lines(
    region: str, domain: str, summary: dict[str, Any]
) -> list[str]:
    return [
        f"lagging: {item.get('host_id')} in {region}/{domain} holds version "
        f"{item.get('version')}"
        for item in summary.get("laggards") or ()
    ]


def table(rows: list[Any]) -> list[str]:
    """Return lines of rows of texts with aligned columns."""
    widths = [
        max(len(row[column]) for row in rows) for column in range(len(rows[0]))
    ]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _short_digest(digest: Any) -> str:
    return str(digest or "-")[:12]


def flatten(value: Any, name: str = "") -> list[str]:
    """Return a line for each value of a document, named by its path."""
    if isinstance(value, dict):
        return [
            line
            for key in value
            for line in flatten(value[key], f"{name}.{key}".strip("."))
        ]
    if isinstance(value, list):
        if all(not isinstance(item, dict | list) for item in value):
            joined = ", ".join(str(item) for item in value)
            return [f"{name}: {joined or '-'}"]
        return [
            line
            for index, item in enumerate(value)
            for line in flatten(item, f"{name}.{index}")
        ]
    return [f"{name}: {value}"]
