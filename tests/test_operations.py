"""The operators' page of the sidecar: events, metrics and traces."""

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
# What a sidecar runs beside the modules that it shares with the older node.
SOURCES = sorted(
    [
        PACKAGE / "process.py",
        *PACKAGE.glob("mesh/*.py"),
        *PACKAGE.glob("platform/*.py"),
    ]
)
EMITTERS = re.compile(
    r"(events\.Log|logs\.(info|warning|error)|self\._log|self\.log)$"
)
PREFIX = "hickorythread_"


def emitted():
    """Return the events and the metrics that the code names."""
    found, metrics = set(), set()
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if not (isinstance(node, ast.Call) and node.args):
                continue
            name = node.args[0]
            if not isinstance(name, ast.Constant):
                continue
            function = ast.unparse(node.func)
            if EMITTERS.match(function):
                found.add(name.value)
            elif function.startswith("self.metrics."):
                kind = function.split(".")[2]
                suffix = {"count": "_total", "duration": "_seconds"}
                metrics.add(PREFIX + name.value + suffix.get(kind, ""))
    return found, metrics


def table(title):
    """Return the first cells of the table under a title."""
    _, _, rest = PAGE.read_text("utf-8").partition(f"\n## {title}\n")
    section = rest.partition("\n#")[0]
    return {
        line.split("|")[1].strip(" `")
        for line in section.splitlines()
        if line.startswith("| `")
    }


def test_events_of_the_sidecar_are_all_on_the_page():
    """Guards against a log line that operators cannot look up."""
    found, _ = emitted()
    assert len(found) > 20
    assert table("Events") == found


def test_metrics_of_the_sidecar_are_all_on_the_page():
    """Guards against a metric that operators cannot look up."""
    _, metrics = emitted()
    assert table("Metrics") == metrics


def test_commands_of_the_page_print_what_it_shows(capsys, monkeypatch):
    """Guards against a walk from id to cause that no longer works."""
    monkeypatch.chdir(ROOT)
    text = PAGE.read_text("utf-8")
    shown = re.findall(
        r"^```sh\n(hickorythread trace [^\n]*)\n```\n+```text\n(.*?)^```",
        text,
        re.M | re.S,
    )
    assert len(shown) >= 3
    for command, output in shown:
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
    found = traces.find_request_lines(LINES, "r1")
    assert [line.event for line in found] == ["run_ended", "answered"]
    assert found[1].values["reason"] == "x y"


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
    """Guards against a value that hides the node that wrote the line."""
    reserved = {"time", "level", "host", "version", "event"}
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and node.args:
                if EMITTERS.match(ast.unparse(node.func)):
                    keys = {item.arg for item in node.keywords}
                    assert not keys & reserved, ast.unparse(node)
