"""Tests of log output that cannot be written."""

import io
import os
import resource

import pytest

from hickorythread import log_stream
from hickorythread import logs


def test_lines_that_the_descriptor_refuses_are_counted():
    """Guards against a failed write that raises or stays unnoticed."""
    reader, writer = os.pipe()
    os.close(reader)
    stream = log_stream.LogStream(writer)
    assert stream.write("one\ntwo\n") == 8
    assert (stream.dropped, stream.waiting_bytes) == (2, 0)
    os.close(writer)
    stream.write("three\n")
    assert stream.dropped == 3
    full = os.open("/dev/full", os.O_WRONLY)
    stream.descriptor = full
    stream.write("four\n")
    os.close(full)
    assert stream.dropped == 4


def test_lines_wait_for_the_reader_up_to_a_bound():
    """Guards against a write that blocks, and against endless buffers."""
    reader, writer = os.pipe()
    stream = log_stream.LogStream(writer)
    line = "x" * 999 + "\n"
    count = 3 * log_stream.MAX_WAITING_BYTES // len(line)
    for _ in range(count):
        stream.write(line)
    assert 0 < stream.dropped < count
    assert stream.waiting_bytes <= log_stream.MAX_WAITING_BYTES
    received = b""
    while stream.waiting:
        received += os.read(reader, 1 << 20)
        stream.flush()
    os.close(writer)
    while data := os.read(reader, 1 << 20):
        received += data
    os.close(reader)
    assert received == line.encode() * (count - stream.dropped)
    assert stream.waiting_bytes == 0


def test_line_after_a_cut_one_starts_on_a_line_of_its_own(tmp_path):
    """Guards against two lines in one when a full disk has room again."""
    path = tmp_path / "log"
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    with open(path, "wb") as file:
        stream = log_stream.LogStream(file.fileno())
        resource.setrlimit(resource.RLIMIT_FSIZE, (8, hard))
        try:
            stream.write("first\n")
            stream.write("second\n")
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
        stream.write("third\n")
        stream.write("fourth\n")
    assert path.read_text("utf-8") == "first\nse\nthird\nfourth\n"
    assert stream.dropped == 1


def test_decisions_wait_behind_earlier_lines():
    """Guards against decisions dropped while the pipe is only full."""
    reader, writer = os.pipe()
    stream = log_stream.LogStream(writer)
    while not stream.waiting:
        stream.write("x" * 4095 + "\n")
    decisions = logs.DecisionLog("a", lambda: 1)
    decisions.add("answered", {})
    assert decisions.flush(stream) == 0
    while stream.waiting:
        os.read(reader, 1 << 20)
        stream.flush()
    assert decisions.flush(stream) == 1
    assert logs.dropped_lines(stream) == stream.dropped == 0
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize("stream", [None, io.StringIO()])
def test_other_streams_have_dropped_nothing(stream):
    assert logs.dropped_lines(stream) == 0
