"""Tests of peers that send without a pause or an end.

Their bytes have always arrived, so that no read of them waits. Each test runs
other tasks beside and counts how often they could go on.
"""

import tracemalloc

import eventlet
from eventlet import hubs
import pytest

from hickorythread import codec
from hickorythread import connection_table
from hickorythread import http_client
from hickorythread import http_listener
from hickorythread import http_protocol
from hickorythread import http_requests
from hickorythread import memory_budget
from hickorythread import messages
from hickorythread import server
from hickorythread import streams
from hickorythread import turns
from hickorythread import utils
from hickorythread.mesh import events
from hickorythread.mesh import interfaces
from hickorythread.mesh import target_client
from hickorythread.platform import headers
from hickorythread.platform import store
from tests import endless
from tests import mesh_builders as build
from tests import test_target_client

STATUS = (
    b"HTTP/1.1 200 OK\r\n"
    b"Hickorythread-Attempt-Id: r1\r\n"
    b"Hickorythread-Server-Stamp: s\r\n"
)
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
RESPONSES = test_target_client.ENDLESS | {
    "body with a length": (STATUS + b"Content-Length: 9999999\r\n\r\n", b"a"),
    "chunks of two bytes": (CHUNKED, b"2\r\nab\r\n"),
    "chunks of 16 bytes": (CHUNKED, b"10\r\n" + b"a" * 16 + b"\r\n"),
    "chunks with extensions": (CHUNKED, b"1;%s\r\na\r\n" % (b"x" * 900)),
    "long chunks": (CHUNKED, b"4000\r\n" + b"a" * 0x4000 + b"\r\n"),
    "responses to others": (
        b"",
        b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
}
# What a turn may read: as many receives as it has units for.
MAX_TURN_BYTES = 65_536 * turns.UNITS_PER_TURN // turns.RECEIVE_UNITS
# A response and its copies.
MAX_RESPONSE_MEMORY_BYTES = 8 * 1024 * 1024


def connect_to(sock):
    """Return a target client whose connection is to a peer without end."""
    client = target_client.TargetClient(
        "127.0.0.1:1", headers.Headers(), utils.SystemClock()
    )
    client._connect = lambda: endless.Connection(sock)
    return client


@pytest.mark.parametrize("probe", [False, True])
@pytest.mark.parametrize("name", RESPONSES)
def test_response_without_end_leaves_others_their_turns(name, probe):
    """Guards against a target that hangs the process or fills its memory."""
    sock = endless.EndlessSocket(*RESPONSES[name])
    client = connect_to(sock)
    tracemalloc.start()
    try:
        with endless.others() as others:
            if probe:
                result = client.probe("/healthz")
            else:
                call = build.make_call(request_id="r1")
                deadline = client.clock.monotonic() + 0.3
                result = client.run(events.Run(1, call, "t1", deadline))
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    answers_probe = probe and name == "responses to others"
    assert isinstance(result, events.Failure) != answers_probe
    assert sock.wire_bytes <= (others.turns + 1) * MAX_TURN_BYTES
    assert peak < MAX_RESPONSE_MEMORY_BYTES


@pytest.mark.parametrize("size", [1, 2, 7])
def test_short_chunks_are_read_in_turns(size):
    """Guards against a body in short chunks that is read in one go."""
    piece = b"%x\r\n%s\r\n" % (size, b"a" * size)
    sock = endless.EndlessSocket(CHUNKED, piece)
    client = connect_to(sock)
    call = build.make_call(request_id="r1")
    deadline = client.clock.monotonic() + 5.0
    with endless.others() as others:
        client.run(events.Run(1, call, "t1", deadline))
    chunks_in_a_turn = sock.wire_bytes / len(piece) / others.turns
    assert chunks_in_a_turn < turns.UNITS_PER_TURN


@pytest.mark.parametrize("topic", [interfaces.OPERATOR, interfaces.TARGETS])
@pytest.mark.parametrize("name", RESPONSES)
def test_answer_of_the_store_without_end_leaves_others_their_turns(
    name, topic, monkeypatch
):
    """Guards against a store that hangs the process."""
    monkeypatch.setattr(store, "MAX_RESPONSE_BYTES", 4 << 20)
    monkeypatch.setattr(store, "READ_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(store, "TRANSFER_SECONDS", 0.2)
    sock = endless.EndlessSocket(*RESPONSES[name])
    client = store.StoreClient("127.0.0.1:1", build.REGIONS)
    monkeypatch.setattr(
        http_client.Session,
        "_acquire",
        lambda *_: endless.Connection(sock),
    )
    with endless.others() as others:
        assert client.watch(topic, 1, 0.0).is_error()
        assert client.read(topic).is_error()
    assert sock.wire_bytes <= (others.turns + 1) * MAX_TURN_BYTES


class Listener:
    """Stand for the connections of a listener that holds one connection."""

    def __init__(self, beginning, piece, app):
        table = connection_table.ConnectionTable()
        self.sock = endless.EndlessSocket(beginning, piece)
        connection = connection_table.Connection(self.sock, table)
        table.add(connection, 0.0)
        self.options = http_protocol.ConnectionOptions(request_seconds=1.0)
        self.protocol = http_protocol.HttpProtocol(
            self.options, connection, app
        )


def test_requests_without_end_leave_others_their_turns():
    """Guards against a client that sends requests without a pause."""
    seen = []

    def app(environ, start_response):
        seen.append(environ["PATH_INFO"])
        if len(seen) == 2000:
            listener.options.draining = True
        return server.send_response(start_response, 404, {})

    listener = Listener(b"", b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n", app)
    with endless.others() as others:
        listener.protocol.serve()
    assert len(seen) == 2000
    most = turns.UNITS_PER_TURN // turns.MESSAGE_UNITS
    assert others.turns >= len(seen) // most


def make_chunked_body(size):
    """Return a body that comes in chunks of a size without an end."""
    piece = b"%x\r\n%s\r\n" % (size, b"a" * size)
    connection = endless.Connection(endless.EndlessSocket(b"", piece))
    head = http_requests.Head("POST", "/", "HTTP/1.1")
    head.add_line(b"Transfer-Encoding: chunked\r\n")
    hold = memory_budget.MemoryBudget.unlimited().hold()
    return http_requests.Body(connection.reader, head, lambda: None, hold)


@pytest.mark.parametrize("size", [1, 2, 7])
def test_body_in_short_chunks_leaves_others_their_turns(size):
    """Guards against a client that hangs the process."""
    body = make_chunked_body(size)
    with endless.others() as others:
        assert len(body.read(50_000 * size)) == 50_000 * size
    assert 50_000 / others.turns < turns.UNITS_PER_TURN


class BusyListener:
    """Give out connections without a wait, and close after a number."""

    def __init__(self, count, others):
        self.left = count
        self.others = others
        self.turns = 0

    def accept(self):
        if not self.left:
            self.turns = self.others.turns
            raise hubs.IOClosed
        self.left -= 1
        sock = endless.EndlessSocket(b"", b"a")
        sock.shutdown(None)
        return sock, ("127.0.0.1", 1)


def test_connections_without_end_leave_others_their_turns():
    """Guards against clients that connect without a pause."""
    with endless.others() as others:
        listener = BusyListener(2000, others)
        http_listener.HttpListener(
            listener,
            None,
            http_protocol.ConnectionOptions(),
            http_listener.FixedAdmission(10_000),
            connection_table.ConnectionTable(),
        ).run()
    most = turns.UNITS_PER_TURN // turns.MESSAGE_UNITS
    assert listener.turns >= 2000 // most


class PeerHandler:
    """Count the messages of a peer; close its stream after the last."""

    def __init__(self, count):
        self.count = count
        self.received = 0

    def stream_opened(self, stream):
        pass

    def stream_closed(self, stream, reason):
        pass

    def message_received(self, stream, received):
        self.received += 1
        if self.received == self.count:
            stream.close("enough")


def test_messages_without_end_leave_others_their_turns():
    """Guards against a peer that sends messages without a pause."""
    handler = PeerHandler(3000)
    manager = streams.StreamManager(
        messages.Hello("10.0.0.1", 1, "north", "a", 0),
        handler,
        lambda: 0,
        utils.SystemClock(),
        None,
    )
    hello = codec.encode(messages.Hello("10.0.0.2", 1, "north", "a", 0), 0)
    cancel = codec.encode(messages.Cancel(7), 0)
    sock = endless.EndlessSocket(hello, cancel)
    stream = streams.Stream(manager, sock, "10.0.0.2:1")
    with endless.others() as others:
        stream.read()
    assert handler.received == 3000
    most = turns.UNITS_PER_TURN // turns.MESSAGE_UNITS
    assert others.turns >= handler.received // most


def test_late_reader_still_gets_what_arrived_in_time():
    """Guards against a response that a busy process loses at its deadline."""
    piece = b"a"
    sock = endless.EndlessSocket(STATUS + b"\r\n", piece)
    reader = endless.Connection(sock).reader
    reader.limit(-1.0)
    assert len(reader.read(1_900_000)) == 1_900_000
    with pytest.raises(TimeoutError):
        while True:
            reader.read_some(65_536)
            eventlet.sleep(0)
