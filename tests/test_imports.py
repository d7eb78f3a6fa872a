"""Tests of the modules that a fresh interpreter imports."""

import json
import subprocess
import sys

import pytest

LIST_MODULES = (
    "import json, sys; print(); print(json.dumps(sorted(sys.modules)))"
)


def modules_loaded_by(code):
    result = subprocess.run(
        [sys.executable, "-c", f"{code}\n{LIST_MODULES}"],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(json.loads(result.stdout.splitlines()[-1]))


def test_public_names_load_without_eventlet_or_network():
    """Guards against the library patching or slowing the embedding process."""
    statement = "import hickorythread as h; [getattr(h, n) for n in h.__all__]"
    loaded = modules_loaded_by(statement)
    assert not loaded & {"eventlet", "urllib3", "defopt", "greenlet"}


@pytest.mark.parametrize(
    ("arguments", "unwanted"),
    [
        (["--help"], {"jsonschema", "urllib3", "eventlet", "msgpack"}),
        (["check", "/dev/null"], {"urllib3", "eventlet"}),
    ],
)
def test_command_loads_only_what_it_uses(arguments, unwanted):
    """Guards against slow startup of short commands."""
    loaded = modules_loaded_by(
        "from hickorythread import cli\n"
        f"try: cli.main({arguments!r})\n"
        "except SystemExit: pass"
    )
    assert not loaded & unwanted


def test_node_loads_no_resolver():
    """Guards against spending 12 MB on a resolver that no node uses."""
    loaded = modules_loaded_by(
        "from hickorythread import cli\n"
        "cli._patch_standard_library(locks=True)"
    )
    assert "eventlet" in loaded
    assert "dns" not in loaded


@pytest.mark.parametrize("locks", [True, False])
def test_sockets_and_sleeps_are_cooperative(locks):
    """Guards against a long poll that blocks all tasks of a node."""
    code = (
        "from hickorythread import cli\n"
        f"cli._patch_standard_library(locks={locks})\n"
        "from eventlet import patcher\n"
        "names = 'socket', 'select', 'time', 'thread'\n"
        "print(*map(patcher.is_monkey_patched, names))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.split() == ["True"] * 3 + [str(locks)]
