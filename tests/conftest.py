"""Import order and known failures of the test run."""

import pathlib

# Imported first: in the other order eventlet replaces the threads that
# http.server uses, and the fakes built on http.server stop responding.
from eventlet import wsgi  # noqa: F401
import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failures():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def pytest_collection_modifyitems(items):
    """Mark known failures as strict xfail: one that passes fails the run."""
    known = known_failures()
    for item in items:
        if item.nodeid in known:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the known failures of this run."""
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_line(f"known red: {report.nodeid}")
