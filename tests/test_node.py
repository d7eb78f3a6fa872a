"""Tests of a node in this process, with real listeners and a fake clock."""

import gc
import os
import random
import signal
import socket

import eventlet
import pytest

from hickorythread import cli
from hickorythread import codec
from hickorythread import entry
from hickorythread import events
from hickorythread import joining
from hickorythread import logs
from hickorythread import messages
from hickorythread import node as node_module
from hickorythread import process
from hickorythread import settings
from hickorythread import status
from hickorythread import waiters
from tests import builders
from tests import servers

ANY_PORT = "127.0.0.1:0"
CALL = messages.Call(
    5, "specs", "builders", "GET", "/specs", [], b"", 1005.0, "", 0
)


def make_settings(**changes):
    values = {
        "host_id": "spec-desk-1",
        "region": "north-tas",
        "failure_domain": "launceston",
        "service": "spec-desk",
        "stream_address": ANY_PORT,
        "caller_address": ANY_PORT,
        "operator_address": ANY_PORT,
        "upstream_address": "127.0.0.1:1",
        "platform_address": "127.0.0.1:1",
        "source_region": "north-tas",
        "drain_seconds": 5.0,
    }
    return settings.Settings(**values | changes)


class FakeStream:
    """Records the messages sent to one process of a peer."""

    def __init__(self, incarnation=1):
        self.id = incarnation
        self.peer = events.Peer("b", incarnation, "north-tas", "devonport")
        self.sent = []
        self.closed = self.silent = False

    def send(self, message):
        if not self.closed:
            self.sent.append(message)
        return not self.closed


def receive(node, stream, message):
    version = node.version()
    node.message_received(stream, codec.DecodedMessage(message, version))


def list_hosts(node, *hosts):
    sequence = node.control.replicas["hosts"].position.sequence + 1
    changes = [{"op": "put", "host": host.to_document()} for host in hosts]
    document = {"sequence": sequence, "changes": changes}
    node.handle(events.SourceRead("hosts", [document], sequence))


def request_key(node, stream):
    receive(node, stream, messages.IssueKey(len(stream.sent), "spec-desk"))
    return stream.sent[-1]


@pytest.fixture(autouse=True)
def stop_nodes(monkeypatch):
    """Stop the tasks and listeners of every node when its test ends."""
    green_threads, nodes = [], {}

    def spawn(node, task, *arguments):
        nodes[id(node)] = node
        green_threads.append(eventlet.spawn(node.run_task, task, *arguments))

    monkeypatch.setattr(node_module.Node, "spawn", spawn)
    yield
    for green_thread in green_threads:
        green_thread.kill()
    for node in nodes.values():
        node.streams.stop()
        for listener in node.listeners:
            listener.close()


@pytest.fixture
def node(monkeypatch):
    """Return a node that has joined and holds a valid lease."""
    monkeypatch.setattr(
        logs,
        "set_up",
        lambda host, version, _: logs.DecisionLog(host, version),
    )
    new_node = node_module.Node(
        make_settings(), servers.ManualClock(), random.Random(1)
    )
    first = builders.entry(1, 0, *builders.guild_operations()).to_document()
    new_node.handle(events.SourceRead("config", [first], 1))
    new_node.control.join.phase = joining.READY
    new_node.control.lease.renew(1000.0, 1, 1, 1, 1000.0)
    new_node._update_admission()
    yield new_node
    new_node.streams.stop()


def make_waiter():
    return waiters.Waiter(lambda: True, 1000.0)


def send_request(node):
    """Let a node call host b; return what is sent and the waiter."""
    list_hosts(node, builders.host("b", "devonport"))
    sent = []
    node.actions[events.SendCall] = sent.append
    waiter = node.waiters[1] = make_waiter()
    request = events.Request(
        1, "GET", "/specs", "builders", [], b"", "", 1, 1000.0, 1005.0
    )
    node.perform(node.entry.request(request, 1000.0))
    return sent, waiter


def wait(condition):
    with eventlet.Timeout(10):
        while not condition():
            eventlet.sleep(0.002)


def test_expired_lease_counts_before_the_next_tick(node):
    """R5: guards against admitting calls after the lease expired in a pause.

    A resumed process handles buffered calls before its next tick.
    """
    stream = FakeStream()
    assert request_key(node, stream).key
    node.clock.now += 3
    assert request_key(node, stream).reason == "lease-expired"
    node._update_admission()
    assert node.execution.lease_block_reason in entry.NOT_ADMITTING_REASONS


@pytest.mark.parametrize("closed", [False, True])
def test_reply_leaves_on_the_stream_of_its_call(node, closed):
    """R7: guards against a reply to the restarted process of a caller."""
    old_stream, new_stream = FakeStream(1), FakeStream(2)
    runs = []
    node.actions[events.RunOnTarget] = runs.append
    receive(node, old_stream, CALL)
    old_stream.closed = closed
    answer = events.TargetAnswered(runs[0].run_id, 200, [], b"own", 0)
    node.perform(node.execution.target_event(answer, node.clock.now))
    assert new_stream.sent == []
    assert [reply.body for reply in old_stream.sent] == [b"own"] * (not closed)
    dropped = node.metrics.counters.get(("replies_without_stream", ()), 0)
    assert dropped == closed and not node.reply_streams


def test_lost_stream_settles_its_calls(node):
    """R8: guards against waiting for a reply on a closed stream."""
    sent, waiter = send_request(node)
    assert sent[0].host_id == "b"
    node.stream_closed(FakeStream(), "reset")
    assert waiter.response.outcome == messages.UNKNOWN
    assert "b" in node.entry.balancer.unusable


def test_call_ends_only_with_the_stream_that_carries_it(node):
    """Guards against calls that fail with another stream, or an attempt."""
    sent, waiter = send_request(node)
    other, carrying = FakeStream(1), FakeStream(2)
    node.streams.by_host["b"] = [carrying]
    node.message_carried(carrying, sent[0].message)
    node.stream_closed(other, "reset")
    node.connect_failed("b", "refused")
    node.message_unsent("b", CALL, "queue is full")
    assert waiter.response is None
    assert "b" not in node.entry.balancer.unusable
    del node.streams.by_host["b"]
    node.stream_closed(carrying, "reset")
    assert waiter.response.outcome == messages.UNKNOWN


def test_node_is_ready_once_it_has_held_a_lease(node):
    """R5: guards against callers routed to a node that must refuse them."""
    assert node.readiness() == (True, "")
    node.had_lease = False
    assert node.readiness() == (False, "no lease yet")


def test_leaving_peer_still_answers_for_its_keys(node):
    """R9: guards against unknown outcomes while the owner of a key drains."""
    list_hosts(node, builders.host("b", "devonport"))
    receive(node, FakeStream(), messages.Leaving("b", 1, 0, 0))
    assert node.entry.balancer.choose("spec-desk", None, 1000.0) is None
    assert "b" not in node.entry.balancer.unusable


def test_crash_report_is_acknowledged(node):
    """R4: guards against a defect that ends the task that reads a stream."""
    sent = []
    node.streams.send = lambda *arguments: sent.append(arguments)
    receive(
        node,
        FakeStream(),
        messages.CrashReport(3, b"f" * 16, "v", "spec-desk"),
    )
    (acknowledgement,) = sent
    assert acknowledgement[0] == "b" and acknowledgement[1].report_id == 3


def test_cancellation_does_not_hold_up_the_tick(node):
    """R8: guards against deadlines delayed by a slow cancellation."""
    cancelled = []
    node.target_client.cancel = cancelled.append
    node.perform([events.CancelOnTarget(1)])
    assert cancelled == []
    wait(lambda: cancelled)


def test_drain_completes_what_runs(node):
    """R11: guards against an exit that aborts a running request."""
    node.start()
    waiter = node.waiters[1] = make_waiter()
    node.stop()
    eventlet.sleep(0.3)
    assert not node.finished.ready()
    assert node.check_head("GET", "/specs", "").reason == "draining"
    response = events.Response(200, messages.COMPLETE, [], b"", "")
    node.perform([events.Respond(1, response)])
    wait(node.finished.ready)
    assert waiter.response is response and node.failure is None


def test_drain_ends_at_its_limit(node):
    """R11: guards against a drain that never ends."""
    node.start()
    node.waiters[1] = make_waiter()
    node.stop()
    eventlet.sleep(0)
    node.clock.now += node.settings.drain_seconds
    wait(node.finished.ready)


def test_leaving_mark_drains_the_node(node):
    """R10: guards against a host marked as leaving that keeps running."""
    node.start()
    list_hosts(node, builders.host("spec-desk-1", state="leaving"))
    assert request_key(node, FakeStream()).reason in ("draining", "leaving")
    wait(node.finished.ready)
    assert node.failure is None


def test_queued_calls_outlive_the_stop(node):
    """R11: guards against a drain that drops queued calls."""
    node.actions[events.RunOnTarget] = lambda action: None
    stream = FakeStream()
    for number in (5, 6):
        message = messages.Call(number, *CALL.values()[1:])
        receive(node, stream, message)
    assert node.execution.admission.queued
    node.stop()
    eventlet.sleep(0)
    node._update_admission()
    assert node.execution.admission.queued and stream.sent == []


def test_defect_in_a_task_stops_the_node(node):
    """Guards against a node that keeps running after a task has failed."""
    node.spawn(lambda: 1 // 0)
    wait(node.finished.ready)
    assert isinstance(node.failure, ZeroDivisionError)


def test_absent_source_is_waited_for(node):
    """R12: guards against a node that exits because the platform is down."""
    node.control.join.phase = joining.SOURCE
    node.start()
    wait(lambda: node.metrics.counters.get(("source_failed", ())))
    assert not node.finished.ready()
    assert node.check_head("GET", "/specs", "").reason == "starting"


def test_seeds_are_tried_until_the_node_is_ready(node):
    """R12: guards against a new host that cannot join without the source."""
    node.control.join.phase = joining.SOURCE
    node.settings.seeds = ["127.0.0.1:2", "127.0.0.1:3"]
    opened = []
    node.streams.open = opened.append
    node.start()
    wait(lambda: set(opened) == set(node.settings.seeds))
    node.control.join.phase = joining.READY
    count = len(opened)
    eventlet.sleep(0.2)
    assert len(opened) == count


@pytest.mark.parametrize(
    "name", ["stream_address", "caller_address", "operator_address"]
)
def test_occupied_port_has_its_exit_code(name):
    """Guards against a supervisor that mistakes a used port for a crash."""
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        code = node_module.run(make_settings(**{name: address}))
    assert code == process.EXIT_ADDRESS_IN_USE


def test_sigterm_during_the_start_exits_zero():
    """R11: guards against a stop during startup that looks like a crash."""
    handler = signal.getsignal(signal.SIGTERM)
    try:
        cli._exit_on_sigterm()
        with pytest.raises(SystemExit) as raised:
            os.kill(os.getpid(), signal.SIGTERM)
        assert raised.value.code == 0
    finally:
        signal.signal(signal.SIGTERM, handler)


def test_two_nodes_do_not_share_a_port(node):
    """R7: guards against two processes that share the callers of one port."""
    node.start()
    host, port = node.listeners[0].getsockname()
    address = f"{host}:{port}"
    code = node_module.run(make_settings(caller_address=address))
    assert code == process.EXIT_ADDRESS_IN_USE


def test_status_lists_versions_by_region_and_domain(node):
    """R12: guards against a status without regions and failure domains."""
    counts = [(2, b"new", 3), (1, b"old", 1)]
    report = status.Report(counts, [("b", 1)], node.clock.now)
    node.control.status_tree.replies["hobart"] = report
    domain = node.status()["regions"]["south-tas"]["hobart"]
    assert [item["count"] for item in domain["counts"]] == [3, 1]
    assert domain["laggards"] == [{"host_id": "b", "version": 1}]


def test_sigterm_exits_zero():
    """R11: guards against a signal that kills the process at once."""
    numbers = (signal.SIGTERM, signal.SIGINT)
    handlers = [signal.getsignal(number) for number in numbers]
    eventlet.spawn_after(0.05, os.kill, os.getpid(), signal.SIGTERM)
    try:
        assert node_module.run(make_settings()) == process.EXIT_OK
    finally:
        gc.unfreeze()
        for number, handler in zip(numbers, handlers, strict=True):
            signal.signal(number, handler)
