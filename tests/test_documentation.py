"""Documentation: examples run, links resolve, commands and events exist."""

import ast
import json
import pathlib
import re

import pytest

from hickorythread import api
from hickorythread import cli
from tests import builders

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
BLOCK = re.compile(r"^```(\w+)\n(.*?)^```$", re.M | re.S)
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
OPTION = re.compile(r"--[a-z][a-z-]+")


def code_blocks(page, language):
    text = (ROOT / page).read_text(encoding="utf-8")
    return [body for kind, body in BLOCK.findall(text) if kind == language]


@pytest.mark.parametrize("page", ["docs/embedding.md", "README.md"])
def test_python_examples_run(page):
    """Guards against examples that an API change broke."""
    examples = code_blocks(page, "python")
    assert examples
    names = {}
    for example in examples:
        exec(compile(example, page, "exec"), names)


@pytest.mark.parametrize(
    "page",
    [
        "README.md",
        "docs/operators/patches.md",
        "docs/operators/install-and-settings.md",
        "docs/operators/http.md",
    ],
)
def test_json_examples_are_valid(page):
    """Guards against an example document that fails validation."""
    documents = [json.loads(block) for block in code_blocks(page, "json")]
    assert documents
    for document in documents:
        if "operations" in document:
            assert not api.check_patch(document)
        elif "host_id" in document and "stream_address" in document:
            assert not api.check_settings(document)


def test_every_operation_has_an_example_that_applies():
    """Guards against an undocumented patch operation."""
    page = "docs/operators/patches.md"
    documented = [json.loads(block) for block in code_blocks(page, "json")]
    operations = {
        item["op"]: item
        for document in documented
        for item in document.get("operations", ())
    }
    assert len(operations) == 10
    current = builders.guild_configuration()
    for item in operations.values():
        verdict = api.apply_patch(current, builders.patch(1, item))
        assert verdict.is_ok() or verdict.error.kind == "invalid"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page):
    """Guards against a link to a file that does not exist."""
    for target in LINK.findall(page.read_text(encoding="utf-8")):
        if "://" not in target:
            assert (page.parent / target).exists(), target


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_shown_commands_exist(page):
    """Guards against a documented command or option that does not exist."""
    for block in code_blocks(page, "sh"):
        for line in block.splitlines():
            _, separator, rest = line.partition("hickorythread ")
            if separator and not line.startswith(("#", "make", "cp")):
                check_command(rest.split("#")[0].split())


@pytest.mark.parametrize("line", ["status --nodes x", "domain off hobart"])
def test_invented_command_is_found(line):
    """Guards against a command check that never fails."""
    with pytest.raises(AssertionError):
        check_command(line.split())


def emitted_events_and_metrics():
    """Return the events with their keys, and the other metrics, of the code.

    The flag of an event tells whether it is counted in a metric: events of
    the state machines are, events logged directly are not.
    """
    events, metrics = {}, set()
    for path in (ROOT / "src" / "hickorythread").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not (isinstance(node, ast.Call) and node.args):
                continue
            function = ast.unparse(node.func)
            name = node.args[0]
            if function.startswith("self.metrics."):
                metrics.add(metric_name(function.split(".")[2], name))
                continue
            counted = function in ("events.Log", "self.log", "self.plane.log")
            if not counted and not re.match(r"logs\.(info|error)$", function):
                continue
            if isinstance(name, ast.Constant):
                entry = events.setdefault(name.value, [False, set()])
                entry[0] |= counted
                entry[1].update(item.arg for item in node.keywords)
    return events, metrics - {None}


def metric_name(kind, name):
    if isinstance(name, ast.JoinedStr):
        text = name.values[0].value + "*"
    elif isinstance(name, ast.Constant):
        text = name.value
    else:
        return None
    return "hickorythread_" + text + {"count": "_total"}.get(kind, "_seconds")


def test_events_and_metrics_are_all_on_the_page():
    """Guards against an undocumented log event or metric."""
    page = ROOT / "docs" / "operators" / "logs-and-metrics.md"
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in page.read_text(encoding="utf-8").splitlines()
        if line.startswith("| `")
    ]
    events, metrics = emitted_events_and_metrics()
    assert len(events) > 30 and metrics
    assert {
        row[0].strip("`"): [row[1] == "yes", set(re.findall(r"\w+", row[2]))]
        for row in rows
        if len(row) == 5
    } == events
    documented = {row[0].strip("`") for row in rows if len(row) == 4}
    assert documented == metrics


def check_command(arguments):
    command = cli.COMMANDS
    while isinstance(command, dict) and arguments and arguments[0] in command:
        command = command[arguments.pop(0)]
    if arguments[:1] == ["--help"]:
        return
    assert callable(command), arguments
    known_options = {
        f"--{name.replace('_', '-')}" for name in command.__annotations__
    }
    assert set(OPTION.findall(" ".join(arguments))) <= known_options
