"""Tests of logging: one line per event, without request content."""

import io
import logging
import os
import shlex

from absl import logging as absl_logging
import pytest

from hickorythread import logs


@pytest.fixture
def output():
    stream = io.StringIO()
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    verbosity = absl_logging.get_verbosity()
    yield stream, logs.set_up("spec-desk-1", lambda: 7, "info", stream)
    root.handlers[:] = handlers
    root.setLevel(level)
    absl_logging.set_verbosity(verbosity)


def fields(line):
    return dict(part.split("=", 1) for part in shlex.split(line))


def test_each_event_is_one_line(output):
    """R12: guards against log lines that tools cannot parse."""
    stream, _ = output
    logs.info("patch accepted", reason='say "no"\nlevel=error', bytes=b"abc")
    logs.debug("unseen")
    (line,) = stream.getvalue().splitlines()
    parsed = fields(line)
    assert parsed["event"] == "patch accepted"
    assert parsed["level"] == "info"
    assert (parsed["host"], parsed["version"]) == ("spec-desk-1", "7")
    assert parsed["time"].endswith("Z")
    assert parsed["reason"] == 'say "no"\\nlevel=error'
    assert parsed["bytes"] == "3-bytes"


def test_messages_of_libraries_follow_the_format(output):
    """R12: guards against messages of libraries that break the format."""
    stream, _ = output
    try:
        raise ValueError("bad\nvalue")
    except ValueError:
        absl_logging.exception("failed %s", "x\ny")
    (line,) = stream.getvalue().splitlines()
    assert fields(line)["event"] == "message"
    assert "ValueError" in fields(line)["exception"]


@pytest.mark.parametrize("key", ["body", "headers", "header", "data"])
def test_content_of_requests_is_withheld(output, key):
    """R6: guards against request content logged outside its home regions."""
    stream, decisions = output
    logs.error("refused", **{key: "secret"})
    decisions.add("refused", {key: "secret"})
    decisions.flush(stream)
    assert stream.getvalue().count(f"{key}=withheld") == 2
    assert "secret" not in stream.getvalue()


def test_decisions_are_buffered_and_bounded(output):
    """R12: guards against formatting and writing on the request path."""
    stream, decisions = output
    for number in range(logs.MAX_BUFFERED_DECISIONS + 3):
        decisions.add("route", {"number": number, "share": 0.25, "ok": True})
    assert stream.getvalue() == ""
    assert decisions.dropped == 3
    assert decisions.flush(stream) == logs.MAX_BUFFERED_DECISIONS
    assert decisions.flush(stream) == 0
    last = fields(stream.getvalue().splitlines()[-1])
    assert last["number"] == str(logs.MAX_BUFFERED_DECISIONS - 1)
    assert (last["share"], last["ok"], last["version"]) == (
        "0.25",
        "true",
        "7",
    )


def test_long_values_are_cut():
    """R12: guards against a single value that fills the log."""
    assert len(logs.quote("x" * 10_000)) < 300


def test_stalled_reader_of_the_log_does_not_block(output):
    """R7: guards against a write to a full pipe that blocks the process."""
    _, decisions = output
    reader, writer = os.pipe()
    with os.fdopen(reader, "rb") as source, os.fdopen(writer, "w") as sink:
        for number in range(3000):
            decisions.add("route", {"number": number, "note": "x" * 100})
        written = decisions.flush(sink)
        assert 0 < written < 3000
        assert decisions.flush(sink) == 0
        os.read(source.fileno(), 1 << 20)
        assert decisions.flush(sink) > 0


def test_failures_are_kept_before_successes():
    """Guards against failures dropped during a burst of ordinary lines."""
    times = [1000.0]
    decisions = logs.DecisionLog("a", lambda: 1, lambda: times[0])
    decisions.ordinary_lines_per_second = 30
    decisions.lines_per_second = 100
    for _ in range(60):
        decisions.add("answered", {}, ordinary=True)
    assert decisions.dropped == 30
    decisions.add("failed", {})
    assert decisions.dropped == 30
    for _ in range(200):
        decisions.add("failed", {})
    stream = io.StringIO()
    assert decisions.flush(stream) == 100
    times[0] += 1.0
    decisions.add("answered", {}, ordinary=True)
    assert decisions.flush(stream) == 1


def test_decision_that_cannot_be_formatted_is_not_tried_again():
    """Guards against a line that fails each flush, and all behind it."""

    class Broken:
        def __str__(self):
            raise ValueError("no text")

    decisions = logs.DecisionLog("host", lambda: 1)
    decisions.add("first", {"value": Broken()})
    decisions.add("second", {})
    stream = io.StringIO()
    with pytest.raises(ValueError):
        decisions.flush(stream)
    decisions.flush(stream)
    assert "event=second" in stream.getvalue()
