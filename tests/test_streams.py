"""Tests of the streams between nodes over loopback, with a manual clock."""

import random

import eventlet
import msgpack
import pytest

from hickorythread import codec
from hickorythread import messages
from hickorythread import streams
from tests import servers

INVALID_FIRST_MESSAGES = {
    "ping first": (codec.encode(messages.PushAck(1, 1), 0), ""),
    "garbage": (b"\xc1\xc1", "framing"),
    # Each byte of it is a complete value.
    "text": (b"GET / HTTP/1.1\r\n" * 20_000, "malformed"),
    "unknown first": (
        msgpack.packb([codec.CODEC_VERSION, 250, 0]) * 1000,
        "unknown",
    ),
    "oversized": (b"\xc6\x7f\xff\xff\xff" + bytes(3 << 20), "oversized"),
}


def hello(name, incarnation=1):
    return messages.Hello(name, incarnation, "north-tas", "launceston", 1)


def call(number, body=b""):
    return messages.Call(
        number, "specs", "", "GET", "/specs", [], body, 0.0, "", 0
    )


def ping(sent_at, age):
    return messages.Ping(sent_at, 0, b"", 0, b"", 1, age)


class RecordingNode:
    """Run the streams of one node and record their events."""

    def __init__(self, name, incarnation=1):
        self.clock = servers.ManualClock()
        self.opened, self.closed, self.received = [], [], []
        self.refused, self.errors = [], []
        self.carried, self.unsent = [], []
        self.streams = streams.StreamManager(
            hello(name, incarnation),
            self,
            lambda: 7,
            self.clock,
            random.Random(1),
        )
        self.streams.listen("127.0.0.1:0")
        number = self.streams.listener.getsockname()[1]
        self.address = f"127.0.0.1:{number}"

    def run_task(self, task, *arguments):
        try:
            task(*arguments)
        except Exception as error:
            self.errors.append(error)

    def run_request(self, settle, task, *arguments):
        self.run_task(task, *arguments)

    def run_plane(self, name, task, *arguments):
        self.run_task(task, *arguments)

    def stream_opened(self, stream):
        self.opened.append(stream.peer)

    def stream_closed(self, stream, reason):
        self.closed.append((stream.peer.host_id, reason))

    def connect_failed(self, host_id, reason):
        self.closed.append((host_id, reason))

    def message_carried(self, stream, message):
        self.carried.append((stream, message))

    def message_unsent(self, host_id, message, reason):
        self.unsent.append((host_id, message, reason))

    def message_received(self, stream, received):
        self.received.append((stream, received.message))

    def message_refused(self, address, error):
        self.refused.append(error.kind)


class RawPeer:
    """Exchange encoded messages over a plain socket."""

    def __init__(self, sock):
        self.sock = sock
        self.decoder = codec.Decoder()
        self.messages = []

    @classmethod
    def connect(cls, node):
        host, port = node.address.split(":")
        return cls(eventlet.connect((host, int(port))))

    def send(self, message):
        self.sock.sendall(codec.encode(message, 0))

    def read(self, message_type):
        """Return the next message of a type, or None if the stream closed."""
        while True:
            for message in self.messages:
                if isinstance(message, message_type):
                    self.messages.remove(message)
                    return message
            try:
                data = self.sock.recv(65536)
            except ConnectionResetError:
                return None
            if not data:
                return None
            for result in self.decoder.feed(data):
                self.messages.append(result.ok.message)


def wait(condition):
    with eventlet.Timeout(10):
        while not condition():
            eventlet.sleep(0.002)


@pytest.fixture
def nodes():
    created = [RecordingNode("a"), RecordingNode("b")]
    created[0].streams.addresses["b"] = created[1].address
    created[1].streams.addresses["a"] = created[0].address
    yield created
    for node in created:
        node.streams.stop()
        assert node.errors == []


@pytest.fixture
def outgoing(nodes):
    """Yield a node and the raw peer to which it opens a stream."""
    listener = eventlet.listen(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    nodes[0].streams.addresses["c"] = f"127.0.0.1:{port}"
    nodes[0].streams.send_timed("c", call(1), 1010.0)
    yield nodes[0], RawPeer(listener.accept()[0])
    listener.close()


@pytest.mark.parametrize("case", INVALID_FIRST_MESSAGES)
def test_broken_start_closes_the_stream(nodes, case):
    """Guards against messages accepted before the handshake."""
    data, expected = INVALID_FIRST_MESSAGES[case]
    peer = RawPeer.connect(nodes[0])
    eventlet.spawn(nodes[0].run_task, peer.sock.sendall, data)
    peer.read(messages.PushAck)
    assert nodes[0].opened == nodes[0].received == nodes[0].closed == []
    assert nodes[0].refused == ([expected] if expected else [])
    nodes[0].errors.clear()


def test_unknown_message_keeps_the_stream(nodes):
    """Guards against a stream closed by a message type of a later release."""
    peer = RawPeer.connect(nodes[0])
    peer.send(hello("c"))
    peer.sock.sendall(msgpack.packb([codec.CODEC_VERSION, 250, 0]))
    peer.send(messages.PushAck(1, 2))
    wait(lambda: nodes[0].received)
    assert nodes[0].refused == ["unknown"] and not nodes[0].closed


def test_unexpected_host_gets_no_calls(outgoing):
    """R9: guards against calls to another host that now has the address."""
    node, peer = outgoing
    peer.send(hello("d"))
    assert peer.read(messages.Call) is None
    assert [name for name, _ in node.closed] == ["c"]
    assert not node.opened and not node.streams.pending


def test_calls_wait_for_the_clock_offset(outgoing):
    """R8: guards against a deadline in the clock of the wrong host."""
    node, peer = outgoing
    peer.send(hello("c"))
    probe = peer.read(messages.ClockProbe)
    wait(lambda: node.opened)
    stream = node.streams.find("c")
    assert [queued.call_id for queued, _ in stream.awaiting_offset] == [1]
    node.clock.now += 0.5
    peer.send(messages.ClockReply(probe.sent_at, 9000.0))
    received = peer.read(messages.Call)
    # The probe took 0.5 s, so the clock of the peer is between 7999.5 and
    # 8000 s ahead. The lower bound gives the earlier deadline.
    assert received.deadline == 1010.0 + 7999.5
    assert stream.awaiting_offset == []


def test_silent_peer_is_given_up(nodes, monkeypatch):
    """R12: guards against waiting for a peer that never sends a Hello."""
    monkeypatch.setattr(streams, "HANDSHAKE_TIMEOUT_SECONDS", 0.02)
    listener = eventlet.listen(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    nodes[0].streams.addresses["c"] = f"127.0.0.1:{port}"
    nodes[0].streams.send("c", call(1))
    wait(lambda: nodes[0].closed)
    assert nodes[0].closed == [("c", "handshake timed out")]
    assert not nodes[0].streams.pending


def test_full_queue_loses_only_the_message_without_room(outgoing, monkeypatch):
    """Guards against a full queue that is taken for the loss of a host."""
    monkeypatch.setattr(streams, "MAX_PENDING_MESSAGES", 3)
    node, peer = outgoing
    for number in (2, 3, 4):
        node.streams.send_timed("c", call(number), 1010.0)
    assert [message.call_id for _, message, _ in node.unsent] == [4]
    peer.send(hello("c"))
    wait(lambda: node.opened)
    # Its clock is not known yet.
    node.streams.send_timed("c", call(5), 1010.0)
    assert [message.call_id for _, message, _ in node.unsent] == [4, 5]
    assert not node.closed
    probe = peer.read(messages.ClockProbe)
    peer.send(messages.ClockReply(probe.sent_at, 9000.0))
    received = [peer.read(messages.Call).call_id for _ in range(3)]
    assert received == [1, 2, 3]


def test_failed_attempt_loses_nothing_of_another_stream(outgoing):
    """Guards against an attempt to connect that ends what already works."""
    node, attempt = outgoing
    peer = RawPeer.connect(node)
    peer.send(hello("c"))
    wait(lambda: node.opened)
    carrying = node.streams.find("c")
    attempt.sock.close()
    wait(lambda: node.closed)
    assert node.streams.find("c") is carrying
    assert [stream for stream, _ in node.carried] == [carrying]
    assert not node.unsent


def test_unsent_messages_of_a_failed_attempt_are_reported(outgoing):
    node, attempt = outgoing
    attempt.sock.close()
    wait(lambda: node.unsent)
    assert [message.call_id for _, message, _ in node.unsent] == [1]


def test_seed_is_met_without_its_host_id(nodes):
    """R12: guards against a seed that is not reached by its address alone."""
    node, other = nodes
    for address in (node.address, "127.0.0.1:1", other.address):
        node.streams.open(address)
    wait(lambda: node.opened and other.opened)
    node.streams.open(other.address)
    eventlet.sleep(0.05)
    assert [peer.host_id for peer in node.opened] == ["b"]
    assert node.closed == other.closed == []


def test_send_queue_is_bounded(nodes):
    """Guards against unbounded memory for a peer that reads nothing."""
    peer = RawPeer.connect(nodes[0])
    peer.send(hello("c"))
    wait(lambda: nodes[0].opened)
    stream = nodes[0].streams.find("c")
    body = bytes(1 << 20)
    for number in range(64):
        if not stream.send(call(number, body)):
            break
    assert nodes[0].closed == [("c", "send queue full")]
    assert stream.send_queue_bytes < streams.MAX_SEND_QUEUE_BYTES + 2 * len(
        body
    )


def test_accepts_are_limited(nodes, monkeypatch):
    """R12: guards against a node overloaded by mass reconnection."""
    started = []
    monkeypatch.setattr(nodes[0].streams, "_start", started.append)
    limit = int(streams.ACCEPTS_PER_SECOND)
    peers = [RawPeer.connect(nodes[0]) for _ in range(limit + 20)]
    wait(lambda: len(started) == limit)
    eventlet.sleep(0.1)
    assert len(started) == limit
    nodes[0].clock.now += 1
    wait(lambda: len(started) == len(peers))


def test_own_close_ends_the_reader(nodes):
    """R12: guards against a reader that stops the hub.

    Closing a socket raises EOFError in the task that reads from it.
    """
    nodes[0].streams.send("b", messages.PushAck(1, 1))
    wait(lambda: nodes[1].received)
    nodes[0].streams.close("b", "test")
    wait(lambda: nodes[1].closed)
    assert nodes[0].closed == [("b", "test")] and not nodes[0].errors


def test_streams_opened_at_once_by_both_sides(nodes):
    """R7: guards against messages lost if both hosts open a stream."""
    for node, other in zip(nodes, "ba", strict=True):
        node.streams.send(other, messages.PushAck(1, 1))
    wait(lambda: all(len(node.opened) == 2 for node in nodes))
    for node, other in zip(nodes, "ba", strict=True):
        node.streams.send(other, messages.PushAck(2, 2))
    wait(lambda: all(len(node.received) == 2 for node in nodes))
    assert not nodes[0].closed and not nodes[1].closed


def test_restarted_peer_replaces_its_streams(nodes):
    """R9: guards against calls to a process that has been replaced."""
    node = nodes[0]
    old, new, late = (RawPeer.connect(node) for _ in range(3))
    old.send(hello("c", 2))
    wait(lambda: node.opened)
    new.send(hello("c", 3))
    assert old.read(messages.PushAck) is None
    late.send(hello("c", 2))
    assert late.read(messages.PushAck) is None
    assert [peer.incarnation for peer in node.opened] == [2, 3]
    assert node.streams.find("c").peer.incarnation == 3
    assert len(node.closed) == 1


def test_beacon_ages_in_buffers(nodes):
    """R5: guards against a lease renewed by a message delayed in buffers."""
    node = nodes[0]
    peer = RawPeer.connect(node)
    peer.send(hello("c"))
    peer.send(ping(9000.0, 0.1))
    probe = peer.read(messages.ClockProbe)
    peer.send(messages.ClockReply(probe.sent_at, 9000.0))
    wait(lambda: node.received and node.streams.find("c").clock_offset.known)
    node.clock.now += 2
    peer.send(ping(9000.0, 0.1))
    wait(lambda: len(node.received) == 2)
    unknown, late = (message.beacon_age for _, message in node.received)
    assert unknown == -1.0 and late == pytest.approx(2.1)


def test_message_that_never_ends_closes_the_stream(nodes):
    """Guards against a peer that counts as responsive without a message."""
    node = nodes[0]
    peer = RawPeer.connect(node)
    peer.send(hello("c"))
    wait(lambda: node.opened)
    (stream,) = node.streams.by_host["c"]
    frame = codec.encode(messages.PushAck(1, 2), 0)
    for _ in range(3):
        # Messages that complete in time are no reason to close.
        peer.sock.sendall(frame[:2])
        wait(lambda: stream.decoder.incomplete)
        node.clock.now += streams.MAX_MESSAGE_SECONDS - 1
        peer.sock.sendall(frame[2:])
        wait(lambda: not stream.decoder.incomplete)
    assert len(node.received) == 3 and not node.closed
    peer.sock.sendall(frame[:1])
    wait(lambda: stream.decoder.incomplete)
    node.clock.now += streams.MAX_MESSAGE_SECONDS + 1
    peer.sock.sendall(frame[1:2])
    wait(lambda: node.closed)
    assert node.closed == [("c", "message takes too long")]


def test_node_without_times_in_its_messages_sends_no_clock_probes():
    """Guards against probes that grow with the streams of a node."""
    node = RecordingNode("a")
    node.streams.measures_clocks = False
    peer = RawPeer.connect(node)
    peer.send(hello("c"))
    wait(lambda: node.opened)
    node.streams.send("c", messages.PushAck(1, 2))
    peer.read(messages.PushAck)
    kinds = [type(message) for message in peer.messages]
    assert messages.ClockProbe not in kinds
    node.streams.stop()


def test_stream_closes_if_a_message_gets_no_memory(monkeypatch):
    """Guards against a failed allocation that ends the process."""

    def fail(message, version):
        raise MemoryError

    near, far = RecordingNode("near"), RecordingNode("far")
    near.streams.open(far.address)
    with eventlet.Timeout(10):
        while not near.opened:
            eventlet.sleep(0.01)
    stream = near.streams.find("far")
    monkeypatch.setattr(codec, "encode", fail)
    assert not stream.send(call(1, b"body"))
    assert near.closed == [("far", "no memory for a message")]
