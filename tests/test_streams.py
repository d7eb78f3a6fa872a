"""Streams between nodes over loopback sockets, with an injected clock."""

import random

import eventlet
import msgpack
import pytest

from hickorythread import codec
from hickorythread import messages
from hickorythread import streams
from tests import servers

REASONS = {
    "ping first": (codec.encode(messages.PushAck(1, 1), 0), ""),
    "garbage": (b"\xc1\xc1", "framing"),
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


class Side:
    """Record what one node's streams report."""

    def __init__(self, name, incarnation=1):
        self.clock = servers.ManualClock()
        self.opened, self.lost, self.received = [], [], []
        self.refused, self.defects = [], []
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
            self.defects.append(error)

    def stream_opened(self, peer):
        self.opened.append(peer)

    def stream_closed(self, host_id, reason):
        self.lost.append((host_id, reason))

    def message_received(self, stream, received):
        self.received.append((stream, received.message))

    def message_refused(self, address, error):
        self.refused.append(error.kind)


class RawPeer:
    """Speak the protocol by hand."""

    def __init__(self, sock):
        self.sock = sock
        self.decoder = codec.Decoder()
        self.messages = []

    @classmethod
    def connect(cls, side):
        host, port = side.address.split(":")
        return cls(eventlet.connect((host, int(port))))

    def send(self, message):
        self.sock.sendall(codec.encode(message, 0))

    def read(self, kind):
        """Return the next message of a kind, or None at the end."""
        while True:
            for message in self.messages:
                if isinstance(message, kind):
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
def sides():
    made = [Side("a"), Side("b")]
    made[0].streams.addresses["b"] = made[1].address
    made[1].streams.addresses["a"] = made[0].address
    yield made
    for side in made:
        side.streams.stop()
        assert side.defects == []


@pytest.fixture
def outgoing(sides):
    """Return a node and a raw peer to which it opens a stream."""
    listener = eventlet.listen(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    sides[0].streams.addresses["c"] = f"127.0.0.1:{port}"
    sides[0].streams.send_timed("c", call(1), 1010.0)
    yield sides[0], RawPeer(listener.accept()[0])
    listener.close()


@pytest.mark.parametrize("case", REASONS)
def test_broken_start_closes_the_stream(sides, case):
    """Guards against a peer that is heard before it is identified."""
    data, kind = REASONS[case]
    peer = RawPeer.connect(sides[0])
    eventlet.spawn(sides[0].run_task, peer.sock.sendall, data)
    peer.read(messages.PushAck)
    assert sides[0].opened == sides[0].received == sides[0].lost == []
    assert sides[0].refused == ([kind] if kind else [])
    sides[0].defects.clear()


def test_unknown_message_keeps_the_stream(sides):
    """Guards against a later release that cannot talk to this one."""
    peer = RawPeer.connect(sides[0])
    peer.send(hello("c"))
    peer.sock.sendall(msgpack.packb([codec.CODEC_VERSION, 250, 0]))
    peer.send(messages.PushAck(1, 2))
    wait(lambda: sides[0].received)
    assert sides[0].refused == ["unknown"] and not sides[0].lost


def test_unexpected_host_gets_no_calls(outgoing):
    """R9: guards against calls to the host that took over an address."""
    side, peer = outgoing
    peer.send(hello("d"))
    assert peer.read(messages.Call) is None
    assert [name for name, _ in side.lost] == ["c"]
    assert not side.opened and not side.streams.pending


def test_calls_wait_for_the_clock_offset(outgoing):
    """R8: guards against a deadline in the wrong clock."""
    side, peer = outgoing
    peer.send(hello("c"))
    probe = peer.read(messages.ClockProbe)
    wait(lambda: side.opened)
    stream = side.streams.find("c")
    assert [queued.call_id for queued, _ in stream.awaiting_offset] == [1]
    side.clock.now += 0.5
    peer.send(messages.ClockReply(probe.sent_at, 9000.0))
    received = peer.read(messages.Call)
    # The peer's clock is between 7999.5 and 8000 ahead; the earlier counts.
    assert received.deadline == 1010.0 + 7999.5
    assert stream.awaiting_offset == []


def test_silent_peer_is_given_up(sides, monkeypatch):
    """R12: guards against a peer that accepts and never answers."""
    monkeypatch.setattr(streams, "HANDSHAKE_SECONDS", 0.02)
    listener = eventlet.listen(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    sides[0].streams.addresses["c"] = f"127.0.0.1:{port}"
    sides[0].streams.send("c", call(1))
    wait(lambda: sides[0].lost)
    assert sides[0].lost == [("c", "handshake timed out")]
    assert not sides[0].streams.pending


def test_seed_is_met_without_its_host_id(sides):
    """R12: guards against a new host that nobody contacts."""
    side, other = sides
    for address in (side.address, "127.0.0.1:1", other.address):
        side.streams.open(address)
    wait(lambda: side.opened and other.opened)
    side.streams.open(other.address)
    eventlet.sleep(0.05)
    assert [peer.host_id for peer in side.opened] == ["b"]
    assert side.lost == other.lost == []


def test_outbox_is_bounded(sides):
    """Guards against memory that a peer which reads nothing holds."""
    peer = RawPeer.connect(sides[0])
    peer.send(hello("c"))
    wait(lambda: sides[0].opened)
    stream = sides[0].streams.find("c")
    body = bytes(1 << 20)
    for number in range(64):
        if not stream.send(call(number, body)):
            break
    assert sides[0].lost == [("c", "send queue full")]
    assert stream.send_queue_bytes < streams.MAX_SEND_QUEUE_BYTES + 2 * len(
        body
    )


def test_accepts_are_limited(sides, monkeypatch):
    """R12: guards against a reconnect storm that starves a node."""
    started = []
    monkeypatch.setattr(sides[0].streams, "_start", started.append)
    limit = int(streams.ACCEPTS_PER_SECOND)
    peers = [RawPeer.connect(sides[0]) for _ in range(limit + 20)]
    wait(lambda: len(started) == limit)
    eventlet.sleep(0.1)
    assert len(started) == limit
    sides[0].clock.now += 1
    wait(lambda: len(started) == len(peers))


def test_own_close_ends_the_reader(sides):
    """R12: guards against the end of the hub by a waiting reader."""
    sides[0].streams.send("b", messages.PushAck(1, 1))
    wait(lambda: sides[1].received)
    sides[0].streams.close("b", "test")
    wait(lambda: sides[1].lost)
    assert sides[0].lost == [("b", "test")] and not sides[0].defects


def test_streams_opened_at_once_by_both_sides(sides):
    """R7: guards against messages lost between two streams."""
    for side, other in zip(sides, "ba", strict=True):
        side.streams.send(other, messages.PushAck(1, 1))
    wait(lambda: all(len(side.opened) == 2 for side in sides))
    for side, other in zip(sides, "ba", strict=True):
        side.streams.send(other, messages.PushAck(2, 2))
    wait(lambda: all(len(side.received) == 2 for side in sides))
    assert not sides[0].lost and not sides[1].lost


def test_restarted_peer_replaces_its_streams(sides):
    """R9: guards against calls to the process before or after the peer."""
    side = sides[0]
    old, new, late = (RawPeer.connect(side) for _ in range(3))
    old.send(hello("c", 2))
    wait(lambda: side.opened)
    new.send(hello("c", 3))
    assert old.read(messages.PushAck) is None
    late.send(hello("c", 2))
    assert late.read(messages.PushAck) is None
    assert [peer.incarnation for peer in side.opened] == [2, 3]
    assert side.streams.find("c").peer.incarnation == 3
    assert len(side.lost) == 1


def test_beacon_ages_in_buffers(sides):
    """R5: guards against a lease renewed by a message that lay around."""
    side = sides[0]
    peer = RawPeer.connect(side)
    peer.send(hello("c"))
    peer.send(ping(9000.0, 0.1))
    probe = peer.read(messages.ClockProbe)
    peer.send(messages.ClockReply(probe.sent_at, 9000.0))
    wait(lambda: side.received and side.streams.find("c").clock_offset.known)
    side.clock.now += 2
    peer.send(ping(9000.0, 0.1))
    wait(lambda: len(side.received) == 2)
    unknown, late = (message.beacon_age for _, message in side.received)
    assert unknown == -1.0 and late == pytest.approx(2.1)
