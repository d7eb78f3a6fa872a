"""Tests of the sidecar's operations page: events, metrics and traces."""

import ast
import json
import pathlib
import re
import shlex

from hickorythread import cli
from hickorythread import traces

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"
EXAMPLES = ROOT / "docs" / "incidents"
PACKAGE = ROOT / "src" / "hickorythread"
# The modules of the sidecar, without those shared with the older node.
SOURCES = sorted(
    [
        PACKAGE / "process.py",
        *PACKAGE.glob("mesh/*.py"),
        *PACKAGE.glob("platform/*.py"),
    ]
)
LOG_CALLS = re.compile(
    r"(events\.Log|logs\.(info|warning|error)|self\._log|self\.log|"
    r"self\._log_position)$"
)
PREFIX = "hickorythread_"


def emitted_names():
    """Return the events and the metrics that the code emits."""
    events, metrics = set(), set()
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if not (isinstance(node, ast.Call) and node.args):
                continue
            name = node.args[0]
            if not isinstance(name, ast.Constant):
                continue
            function = ast.unparse(node.func)
            if LOG_CALLS.match(function):
                events.add(name.value)
            elif function.startswith("self.metrics."):
                kind = function.split(".")[2]
                suffix = {"count": "_total", "duration": "_seconds"}
                metrics.add(PREFIX + name.value + suffix.get(kind, ""))
    return events, metrics


def documented_names(title):
    """Return the first column of the table under a heading."""
    _, _, rest = PAGE.read_text("utf-8").partition(f"\n## {title}\n")
    section = rest.partition("\n#")[0]
    return {
        line.split("|")[1].strip(" `")
        for line in section.splitlines()
        if line.startswith("| `")
    }


def test_events_of_the_sidecar_are_all_on_the_page():
    """Guards against log events missing from the operations page."""
    emitted_events, _ = emitted_names()
    assert len(emitted_events) > 20
    assert documented_names("Events") == emitted_events


def test_metrics_of_the_sidecar_are_all_on_the_page():
    """Guards against metrics missing from the operations page."""
    _, metrics = emitted_names()
    assert documented_names("Metrics") == metrics


def test_commands_of_the_page_print_what_it_shows(capsys, monkeypatch):
    """Guards against documented trace commands with outdated output."""
    monkeypatch.chdir(ROOT)
    text = PAGE.read_text("utf-8")
    examples = re.findall(
        r"^```sh\n(hickorythread trace [^\n]*)\n```\n+```text\n(.*?)^```",
        text,
        re.M | re.S,
    )
    assert len(examples) >= 3
    for command, output in examples:
        assert cli.main(shlex.split(command)[1:]) == 0
        assert capsys.readouterr().out == output


LINES = [
    "time=2026-01-01T00:00:00.100Z level=info host=a version=1 "
    'event=answered request=r1 reason="x y" status=200',
    " -9.44 n time=2026-01-01T00:00:00.050Z level=info host=b version=1 "
    "event=run_ended request=r1 outcome=complete",
    "time=2026-01-01T00:00:00.060Z level=info host=b version=1 "
    "event=run_ended request=r12 outcome=complete",
    "r1 is not a line of ours",
]


def test_trace_orders_the_lines_of_one_request():
    lines = traces.find_request_lines(LINES, "r1")
    assert [line.event for line in lines] == ["run_ended", "answered"]
    assert lines[1].values["reason"] == "x y"


def test_trace_prints_json_and_tells_unknown_ids(capsys, tmp_path):
    path = tmp_path / "node.log"
    path.write_text("\n".join(LINES), "utf-8")
    words = ["trace", "r1", str(path), "--format", "json"]
    assert cli.main(words) == 0
    document = json.loads(capsys.readouterr().out)
    assert [line["host"] for line in document["lines"]] == ["b", "a"]
    assert cli.main(["trace", "r2", str(path)]) == 1
    assert cli.main(["trace", "r1", str(tmp_path / "none")]) == 2


def test_no_event_repeats_a_key_of_every_line():
    """Guards against a field that overrides a field of every log line."""
    reserved = {"time", "level", "host", "version", "event"}
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and node.args:
                if LOG_CALLS.match(ast.unparse(node.func)):
                    keys = {item.arg for item in node.keywords}
                    assert not keys & reserved, ast.unparse(node)
