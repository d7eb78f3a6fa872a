"""Tests of hosts that lose one of several streams between them.

A sidecar process talks to a peer that the test plays over plain sockets.
"""

import itertools
import random
import select
import socket
import threading
import time

import pytest

from hickorythread import events as base_events
from hickorythread import messages as base_messages
from hickorythread.mesh import links
from hickorythread.mesh import messages
from hickorythread.mesh import node as mesh_node
from hickorythread.platform import headers
from hickorythread.platform import store
from tests import mesh_builders as build
from tests import servers
from tests import test_mesh_decisions
from tests import test_streams
from tools.loopback import sidecars

NORTH, SOUTH = sidecars.HOSTS
PEER = "127.0.0.9"
# Long enough for a sidecar to see the end of a stream; a test that is too
# early passes.
NOTICE_SECONDS = 0.3
CALL_IDS = itertools.count(1)


class PlayedStream(test_streams.RawPeer):
    """One stream of a played peer to a sidecar."""

    def __init__(self, mesh, host, host_id):
        address = (host, mesh.ports["stream"])
        sock = socket.create_connection(address, sidecars.WAIT_SECONDS)
        super().__init__(sock)
        self.send(base_messages.Hello(host_id, 1 << 62, "south", "hobart", 1))
        assert self.read(base_messages.Hello)

    def receive(self, message_type):
        """Return whether what has arrived ends with a message of a type."""
        for result in self.decoder.feed(self.sock.recv(65536)):
            self.messages.append(result.ok.message)
        last = self.messages[-1:]
        return any(isinstance(message, message_type) for message in last)

    def end(self, how):
        """End the stream; wait until the sidecar has seen it."""
        if how == "half-closed":
            self.sock.shutdown(socket.SHUT_WR)
            assert self.read(base_messages.Pong) is None
        elif how == "reset":
            linger = b"\1\0\0\0\0\0\0\0"
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()
        time.sleep(NOTICE_SECONDS)


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    running_mesh = sidecars.Mesh(tmp_path_factory.mktemp("streams"))
    yield running_mesh
    running_mesh.close()


def make_call(path):
    """Return a call whose id the sidecar does not know yet."""
    call_id = next(CALL_IDS)
    headers = [["Hickorythread-Attempt-Id", f"r{call_id}"]]
    return build.make_call(call_id, path=path, headers=headers, remaining=20.0)


ENDS = ("closed", "reset", "half-closed")


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("lost", [0, 1])
def test_call_that_came_on_another_stream_goes_on(mesh, lost, how):
    """Guards against runs that are cancelled with a stream not theirs."""
    target = mesh.targets[SOUTH]
    played = [PlayedStream(mesh, SOUTH, PEER) for _ in range(2)]
    runs = len(target.runs)
    target.release.clear()
    try:
        played[1 - lost].send(make_call(f"/two/{how}"))
        mesh.wait_until(lambda: len(target.runs) > runs)
        played[lost].end(how)
    finally:
        target.release.set()
    reply = played[1 - lost].read(base_messages.Reply)
    assert reply.outcome == messages.COMPLETE, reply.reason
    assert reply.body == f"i-2 /two/{how}".encode()
    played[1 - lost].end("closed")


def play_south(mesh):
    """Take the place of the southern host, the only one with a target."""
    mesh.processes[SOUTH].kill()
    mesh.processes[SOUTH].wait()
    mesh.register(NORTH, phase="draining")
    played = PlayedStream(mesh, NORTH, SOUTH)
    played.send(build.make_state("i-2"))
    return played


def take_call(streams):
    """Wait for a call; return it with its stream, and the other streams."""
    while True:
        sockets = [item.sock for item in streams]
        ready, _, _ = select.select(sockets, [], [], sidecars.WAIT_SECONDS)
        assert ready, "no call has come"
        for stream in streams:
            if stream.sock in ready and stream.receive(messages.Forward):
                others = [item for item in streams if item is not stream]
                return stream.messages.pop(), stream, others


@pytest.mark.parametrize("opened_first", [1, 2])
def test_answer_on_another_stream_reaches_the_client(mesh, opened_first):
    """Guards against calls that fail with a stream that did not carry them."""
    streams = [play_south(mesh)]
    if opened_first == 2:
        streams.append(PlayedStream(mesh, NORTH, SOUTH))
    answers = []

    def ask():
        answers.append(mesh.request(NORTH, "/two/1"))

    client = threading.Thread(target=ask, daemon=True)
    client.start()
    call, carrying, others = take_call(streams)
    for other in others or [PlayedStream(mesh, NORTH, SOUTH)]:
        other.end("closed")
    body = b"whole"
    reply = build.make_reply(call.call_id, messages.COMPLETE, body=body)
    reply.headers = [["Hickorythread-Server-Stamp", "stamp"]]
    carrying.send(reply)
    client.join(sidecars.WAIT_SECONDS)
    assert [(status, body) for status, _, body in answers] == [(200, body)]
    carrying.end("closed")


@pytest.mark.parametrize("seed", range(20))
def test_lost_stream_ends_its_own_calls_alone(seed):
    """Guards against the loss of a host that has lost one of its streams."""
    source = random.Random(seed)
    entry = build.make_entry(build.make_view(targets=1), seed=seed)
    execution = build.make_execution()
    sent, came = {}, {}
    for number in range(1, source.randint(4, 16)):
        actions = entry.request(build.make_request(number), 0.0)
        (call,) = build.sent_messages(actions, messages.Forward)
        sent[call.call_id] = source.randint(1, 3)
        entry.call_carried(call.call_id, sent[call.call_id])
        key = ("10.0.0.2", number)
        call = build.make_call(number, remaining=5.0)
        execution.call(key[0], call, 0.0)
        came[key] = source.randint(1, 3)
    for lost in source.sample([1, 2, 3], 2):
        entry.stream_lost(lost, 0.1)
        keys = [key for key, stream_id in came.items() if stream_id == lost]
        execution.calls_lost(keys, 0.1)
        sent = {call: item for call, item in sent.items() if item != lost}
        assert set(sent) <= set(entry.calls.by_call_id)
        assert not entry.calls.on_stream(lost)
        cancelled = [run for run in execution.runs.values() if run.cancelled]
        came = {key: item for key, item in came.items() if item != lost}
        assert not [run for run in cancelled if run.call_key in came]
        assert set(came) <= set(execution.accepted)
    assert "10.0.0.1" in entry.placement.connected


class PlayedManager:
    """Hold the streams to one host, the newest last."""

    def __init__(self, *streams):
        self.by_id = {stream.id: stream for stream in streams}
        self.addresses = {}

    def find(self, host_id):
        open_streams = [
            item for item in self.by_id.values() if not item.silent
        ]
        return (open_streams or list(self.by_id.values()))[-1]


def make_stream(number):
    stream = test_mesh_decisions.SilentStream()
    stream.id = number
    return stream


def test_silent_older_stream_is_found_without_calls():
    """Guards against a dead stream that is kept and used for good."""
    older, newer = make_stream(1), make_stream(2)
    peer_links = links.PeerLinks("10.0.0.1", 7600, PlayedManager(older, newer))
    peer_links.probe(older, 0.0)
    changes = []
    for step in range(1, 40):
        newer.heard_at = step * 0.1
        changes += peer_links.check_liveness({}, step * 0.1)
    assert changes == [(older, True)]
    assert older.reasons[0] == "no response" and not newer.reasons


def test_older_stream_that_responds_is_kept():
    older, newer = make_stream(1), make_stream(2)
    peer_links = links.PeerLinks("10.0.0.1", 7600, PlayedManager(older, newer))
    peer_links.probe(older, 0.0)
    older.heard_at = 0.1
    for step in range(1, 60):
        assert not peer_links.check_liveness({}, step * 0.1)
    assert not older.reasons and not peer_links.probed_at


class RecordingStream:
    """Record what leaves on one stream of a node."""

    def __init__(self, number, host_id):
        self.id = number
        self.peer = base_events.Peer(host_id, 1, "north", "a")
        self.sent = []
        self.closed = self.silent = False

    def send(self, message):
        self.sent.append(message)
        return True


def test_lost_host_gets_no_retry_of_its_calls():
    """Guards against a second attempt at a host that has just been lost."""
    view = build.make_view(targets=2)
    node = mesh_node.Node(
        build.make_settings(),
        store.StoreClient("127.0.0.1:1", build.REGIONS),
        headers.Headers(),
        servers.ManualClock(0.0),
        random.Random(1),
    )
    node.entry = build.make_entry(view, connected=2)
    node.entry.placement.connected.discard("10.0.0.1")
    stream = RecordingStream(1, "10.0.0.2")
    node.streams.by_host["10.0.0.2"] = [stream]
    node.perform(node.entry.request(build.make_request(), 0.0))
    assert [type(message) for message in stream.sent] == [messages.Forward]
    del node.streams.by_host["10.0.0.2"]
    node.stream_closed(stream, "reset")
    assert not node.entry.calls.by_call_id
