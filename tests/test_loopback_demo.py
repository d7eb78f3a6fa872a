"""The demonstration with real sidecars holds and reports what does not."""

import os
import signal
import subprocess
import sys

import pytest

from tools import demo as command
from tools.loopback import demo


@pytest.fixture
def stopped(tmp_path):
    """Return a demonstration whose sidecars were not started."""
    demonstration = demo.Demo(tmp_path)
    yield demonstration
    demonstration.close()


def sidecars_of(folder):
    """Return the ids of the processes that name a folder as an argument."""
    lines = subprocess.run(
        ["ps", "-eo", "pid=,args="], capture_output=True, text=True, check=True
    ).stdout.splitlines()
    return [line.split()[0] for line in lines if str(folder) in line]


def test_demo_holds_and_leaves_nothing(tmp_path):
    """Guards against a first command of the README that fails unnoticed."""
    result = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "tools.demo"],
        env=os.environ | {"TMPDIR": str(tmp_path), "PYTHONPATH": "src:."},
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert "FAIL" not in result.stdout
    assert not list(tmp_path.iterdir())
    assert not sidecars_of(tmp_path)


def test_unanswered_requests_are_reported(stopped):
    """Guards against expectations that hold without any answer."""
    route = stopped.newest_route()
    stopped.expect_answers("GET", stopped.ask_all(route))
    stopped.expect_not_found(route)
    stopped.expect_same_version()
    assert (stopped.report.held, stopped.report.missed) == (0, 3)


def test_demo_that_cannot_go_on_fails(stopped, monkeypatch, capsys):
    """Guards against exit code 0 for steps that never ran."""
    monkeypatch.setattr(stopped, "run", lambda: command.end_late_demo(0, None))
    assert not command.run(stopped)
    assert "FAIL" in capsys.readouterr().out
    assert not signal.alarm(0)
