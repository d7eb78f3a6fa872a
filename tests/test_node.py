"""One node in this process: real listeners, injected clock."""

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

FREE = "127.0.0.1:0"
CALL = messages.Call(
    5, "specs", "builders", "GET", "/specs", [], b"", 1005.0, "", 0
)


def make_settings(**changes):
    values = {
        "host_id": "spec-desk-1",
        "region": "north-tas",
        "failure_domain": "launceston",
        "service": "spec-desk",
        "stream_address": FREE,
        "caller_address": FREE,
        "operator_address": FREE,
        "upstream_address": "127.0.0.1:1",
        "platform_address": "127.0.0.1:1",
        "source_region": "north-tas",
        "drain_seconds": 5.0,
    }
    return settings.Settings(**values | changes)


class FakeStream:
    """Hold what was sent to one process of the peer."""

    def __init__(self, incarnation=1):
        self.peer = events.Peer("b", incarnation, "north-tas", "devonport")
        self.sent = []
        self.closed = False

    def send(self, message):
        if not self.closed:
            self.sent.append(message)
        return not self.closed


def give(node, stream, message):
    version = node.version()
    node.message_received(stream, codec.Received(message, version))


def list_hosts(node, *hosts):
    sequence = node.control.replicas["hosts"].position.sequence + 1
    changes = [{"op": "put", "host": host.to_document()} for host in hosts]
    document = {"sequence": sequence, "changes": changes}
    node.handle(events.SourceRead("hosts", [document], sequence))


def issue(node, stream):
    give(node, stream, messages.IssueKey(len(stream.sent), "spec-desk"))
    return stream.sent[-1]


@pytest.fixture(autouse=True)
def tasks(monkeypatch):
    """End the tasks and listeners of each node with its test."""
    started, nodes = [], {}

    def spawn(node, task, *arguments):
        nodes[id(node)] = node
        started.append(eventlet.spawn(node.guard, task, *arguments))

    monkeypatch.setattr(node_module.Node, "spawn", spawn)
    yield
    for task in started:
        task.kill()
    for node in nodes.values():
        node.streams.stop()
        for listener in node.listeners:
            listener.close()


@pytest.fixture
def node(monkeypatch):
    """Return a node that joined and whose lease is valid."""
    monkeypatch.setattr(
        logs,
        "set_up",
        lambda host, version, _: logs.DecisionLog(host, version),
    )
    made = node_module.Node(
        make_settings(), servers.ManualClock(), random.Random(1)
    )
    first = builders.entry(1, 0, *builders.guild_operations()).to_document()
    made.handle(events.SourceRead("config", [first], 1))
    made.control.join.phase = joining.READY
    made.control.lease.renew(1000.0, 1, 1, 1, 1000.0)
    made._update_admission()
    yield made
    made.streams.stop()


def make_waiter():
    return waiters.Waiter(lambda: True, 1000.0)


def wait(condition):
    with eventlet.Timeout(10):
        while not condition():
            eventlet.sleep(0.002)


def test_expired_lease_counts_before_the_next_tick(node):
    """R5: guards against work that a resumed process takes from buffers."""
    stream = FakeStream()
    assert issue(node, stream).key
    node.clock.now += 3
    assert issue(node, stream).reason == "lease-expired"
    node._update_admission()
    assert node.execution.lease_block_reason in entry.NOT_ADMITTING_REASONS


@pytest.mark.parametrize("closed", [False, True])
def test_reply_leaves_on_the_stream_of_its_call(node, closed):
    """R7: guards against replies to the process after the caller's one."""
    before, after = FakeStream(1), FakeStream(2)
    runs = []
    node.actions[events.RunUpstream] = runs.append
    give(node, before, CALL)
    before.closed = closed
    answer = events.UpstreamAnswered(runs[0].run_id, 200, [], b"own", 0)
    node.perform(node.execution.upstream_event(answer, node.clock.now))
    assert after.sent == []
    assert [reply.body for reply in before.sent] == [b"own"] * (not closed)
    lost = node.metrics.counters.get(("replies_without_stream", ()), 0)
    assert lost == closed and not node.reply_streams


def test_lost_stream_settles_its_calls(node):
    """R8: guards against a caller that waits for a reply on a dead stream."""
    list_hosts(node, builders.host("b", "devonport"))
    sent = []
    node.actions[events.SendCall] = sent.append
    waiter = node.waiters[1] = make_waiter()
    request = events.Request(
        1, "GET", "/specs", "builders", [], b"", "", 1, 1000.0, 1005.0
    )
    node.perform(node.entry.request(request, 1000.0))
    assert sent[0].host_id == "b"
    node.stream_closed("b", "reset")
    assert waiter.response.outcome == messages.UNKNOWN
    assert "b" in node.entry.balancer.unusable


def test_node_is_ready_once_it_has_held_a_lease(node):
    """R5: guards against callers sent to a node that must refuse them."""
    assert node.readiness() == (True, "")
    node.had_lease = False
    assert node.readiness() == (False, "no lease yet")


def test_leaving_peer_still_answers_for_its_keys(node):
    """R9: guards against doubt about a request whose owner drains."""
    list_hosts(node, builders.host("b", "devonport"))
    give(node, FakeStream(), messages.Leaving("b", 1, 0, 0))
    assert node.entry.balancer.choose("spec-desk", None, 1000.0) is None
    assert "b" not in node.entry.balancer.unusable


def test_crash_report_is_acknowledged(node):
    """R4: guards against a defect that ends the reader of a stream."""
    sent = []
    node.streams.send = lambda *arguments: sent.append(arguments)
    give(
        node,
        FakeStream(),
        messages.CrashReport(3, b"f" * 16, "v", "spec-desk"),
    )
    (answered,) = sent
    assert answered[0] == "b" and answered[1].report_id == 3


def test_cancellation_does_not_hold_up_the_tick(node):
    """R8: guards against late deadlines while an upstream is asked."""
    asked = []
    node.upstream.cancel = asked.append
    node.perform([events.CancelUpstream(1)])
    assert asked == []
    wait(lambda: asked)


def test_drain_completes_what_runs(node):
    """R11: guards against an exit that cuts off a request."""
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
    """R11: guards against a node that never leaves."""
    node.start()
    node.waiters[1] = make_waiter()
    node.stop()
    eventlet.sleep(0)
    node.clock.now += node.settings.drain_seconds
    wait(node.finished.ready)


def test_leaving_mark_drains_the_node(node):
    """R10: guards against a marked host that stays."""
    node.start()
    list_hosts(node, builders.host("spec-desk-1", state="leaving"))
    assert issue(node, FakeStream()).reason in ("draining", "leaving")
    wait(node.finished.ready)
    assert node.failure is None


def test_queued_calls_outlive_the_stop(node):
    """R11: guards against a drain that sheds what it has accepted."""
    node.actions[events.RunUpstream] = lambda action: None
    stream = FakeStream()
    for number in (5, 6):
        message = messages.Call(number, *CALL.values()[1:])
        give(node, stream, message)
    assert node.execution.admission.queued
    node.stop()
    eventlet.sleep(0)
    node._update_admission()
    assert node.execution.admission.queued and stream.sent == []


def test_defect_in_a_task_stops_the_node(node):
    """Guards against a node that goes on without one of its tasks."""
    node.spawn(lambda: 1 // 0)
    wait(node.finished.ready)
    assert isinstance(node.failure, ZeroDivisionError)


def test_absent_source_is_waited_for(node):
    """R12: guards against a node that ends because the platform is down."""
    node.control.join.phase = joining.SOURCE
    node.start()
    wait(lambda: node.metrics.counters.get(("source_failed", ())))
    assert not node.finished.ready()
    assert node.check_head("GET", "/specs", "").reason == "starting"


def test_seeds_are_tried_until_the_node_is_ready(node):
    """R12: guards against a new host that waits for an absent source."""
    node.control.join.phase = joining.SOURCE
    node.settings.seeds = ["127.0.0.1:2", "127.0.0.1:3"]
    tried = []
    node.streams.open = tried.append
    node.start()
    wait(lambda: set(tried) == set(node.settings.seeds))
    node.control.join.phase = joining.READY
    count = len(tried)
    eventlet.sleep(0.2)
    assert len(tried) == count


@pytest.mark.parametrize(
    "name", ["stream_address", "caller_address", "operator_address"]
)
def test_occupied_port_has_its_exit_code(name):
    """Guards against a supervisor that takes it for a crash."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        code = node_module.run(make_settings(**{name: address}))
    assert code == process.EXIT_ADDRESS_IN_USE


def test_sigterm_during_the_start_exits_zero():
    """R11: guards against a stop that looks like a crash."""
    handler = signal.getsignal(signal.SIGTERM)
    try:
        cli._exit_on_sigterm()
        with pytest.raises(SystemExit) as raised:
            os.kill(os.getpid(), signal.SIGTERM)
        assert raised.value.code == 0
    finally:
        signal.signal(signal.SIGTERM, handler)


def test_two_nodes_do_not_share_a_port(node):
    """R7: guards against callers split between two processes."""
    node.start()
    host, port = node.listeners[0].getsockname()
    address = f"{host}:{port}"
    code = node_module.run(make_settings(caller_address=address))
    assert code == process.EXIT_ADDRESS_IN_USE


def test_status_lists_versions_by_region_and_domain(node):
    """R12: guards against a status that names no part of the fleet."""
    counts = [(2, b"new", 3), (1, b"old", 1)]
    report = status.Report(counts, [("b", 1)], node.clock.now)
    node.control.status_tree.replies["hobart"] = report
    part = node.status()["regions"]["south-tas"]["hobart"]
    assert [item["count"] for item in part["counts"]] == [3, 1]
    assert part["laggards"] == [{"host_id": "b", "version": 1}]


def test_sigterm_exits_zero():
    """R11: guards against a signal that ends the process at once."""
    numbers = (signal.SIGTERM, signal.SIGINT)
    handlers = [signal.getsignal(number) for number in numbers]
    eventlet.spawn_after(0.05, os.kill, os.getpid(), signal.SIGTERM)
    try:
        assert node_module.run(make_settings()) == process.EXIT_OK
    finally:
        gc.unfreeze()
        for number, handler in zip(numbers, handlers, strict=True):
            signal.signal(number, handler)
