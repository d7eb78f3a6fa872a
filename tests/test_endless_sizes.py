"""Tests of the memory that bytes without end may take."""

import tracemalloc

import pytest

from hickorythread import connection_reader
from hickorythread import http_client
from hickorythread.mesh import events
from hickorythread.mesh import interfaces
from hickorythread.platform import store
from tests import endless
from tests import mesh_builders as build
from tests import test_endless_senders

# Two copies of the largest answer of the store.
MAX_ANSWER_MEMORY_BYTES = 40 * 1024 * 1024


def use_peer(monkeypatch, *sent):
    """Let each session of the store read from a peer without an end."""
    monkeypatch.setattr(
        http_client.Session,
        "_acquire",
        lambda *_: endless.Connection(endless.EndlessSocket(*sent)),
    )
    return store.StoreClient("127.0.0.1:1", build.REGIONS)


def test_watch_that_is_too_large_is_read_in_pages(monkeypatch):
    """Guards against a watch that fails in the same way for ever."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"
    client = use_peer(monkeypatch, head, b"a")
    result = client.watch(interfaces.OPERATOR, 1, 0.0)
    assert result.error.kind == interfaces.HISTORY_UNAVAILABLE


def test_answer_of_the_store_without_end_takes_little_memory(monkeypatch):
    """Guards against an answer that takes all memory of the process."""
    client = use_peer(monkeypatch, b"HTTP/1.1 200 OK\r\n\r\n", b"a")
    tracemalloc.start()
    try:
        assert client.read(interfaces.TARGETS).is_error()
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < MAX_ANSWER_MEMORY_BYTES


@pytest.mark.parametrize("size", [1, 2, 7])
def test_body_in_short_chunks_takes_little_memory(size):
    """Guards against requests that take many times their size."""
    body = test_endless_senders.make_chunked_body(size)
    length = 50_000 * size
    tracemalloc.start()
    try:
        assert len(body.read(length)) == length
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < 3 * length + 4 * connection_reader.READ_CHUNK_BYTES


HEADS = {
    "long lines": b"X-A: " + b"a" * 60_000 + b"\r\n",
    "interim responses": b"HTTP/1.1 100 C\r\n" + b"X: a\r\n" * 90 + b"\r\n",
}


@pytest.mark.parametrize("name", HEADS)
def test_head_without_end_is_refused_early(name):
    """Guards against heads that take megabytes for each request."""
    beginning = b"" if name == "interim responses" else b"HTTP/1.1 200 OK\r\n"
    sock = endless.EndlessSocket(beginning, HEADS[name])
    client = test_endless_senders.connect_to(sock)
    call = build.make_call(request_id="r1")
    deadline = client.clock.monotonic() + 5.0
    result = client.run(events.Run(1, call, "t1", deadline))
    assert isinstance(result, events.Failure)
    most = http_client.MAX_HEAD_BYTES + 2 * connection_reader.READ_CHUNK_BYTES
    assert sock.wire_bytes <= most


def test_chunks_without_content_are_refused_early():
    """Guards against a response that is nearly all framing."""
    piece = b"1;%s\r\na\r\n" % (b"x" * 900)
    sock = endless.EndlessSocket(test_endless_senders.CHUNKED, piece)
    client = test_endless_senders.connect_to(sock)
    call = build.make_call(request_id="r1")
    deadline = client.clock.monotonic() + 5.0
    result = client.run(events.Run(1, call, "t1", deadline))
    assert isinstance(result, events.Failure)
    assert sock.wire_bytes < 2 * http_client.MAX_FRAMING_BYTES
