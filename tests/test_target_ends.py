"""Tests of what nodes know about the end of a target."""

import socket

import pytest

from hickorythread import messages as base_messages
from hickorythread.mesh import events
from hickorythread.mesh import interfaces
from hickorythread.mesh import messages
from hickorythread.mesh import view as mesh_view
from hickorythread.platform import documents
from hickorythread.platform import store
from tests import mesh_builders as build
from tools.loopback import store_standin

# The source answers a node again only now, after a silent connection to it
# was found; the removal is as old as the silence.
REGAINED_AT = 13.0


def make_plane_whose_target_is_held():
    """Return the plane beside t1, and the actions for its held removal."""
    made_view = build.make_view()
    plane = build.make_execution(made_view)
    plane.tick(REGAINED_AT)
    made_view.start_grace_period(REGAINED_AT)
    made_view.remove_targets(["t1"], REGAINED_AT)
    assert "t1" in made_view.targets
    return plane, plane.view_changed(False, REGAINED_AT)


def answer_probe(plane, status, now, **values):
    response = events.TargetResponse(status, [], b"", instance="t1", **values)
    return plane.handle_probe_result(response, now)


def test_target_gets_nothing_while_it_is_not_clear_that_it_stays():
    """Guards against requests to a target 2 s after its removal (DRAIN)."""
    plane, actions = make_plane_whose_target_is_held()
    assert len(build.of_type(actions, events.Probe)) == 1
    actions = plane.call("10.0.0.2", build.make_call(), REGAINED_AT + 0.01)
    assert not build.of_type(actions, events.Run)


@pytest.mark.parametrize("answer", [{"status": 503}, {"leaving": True}])
def test_target_that_confirms_its_removal_gets_nothing_more(answer):
    plane, _ = make_plane_whose_target_is_held()
    plane.call("10.0.0.2", build.make_call(), REGAINED_AT + 0.01)
    values = {"status": 200} | answer
    actions = answer_probe(plane, now=REGAINED_AT + 0.02, **values)
    assert not build.of_type(actions, events.Run)
    (state,) = build.of_type(actions, events.Broadcast)
    assert not state.message.usable
    actions += plane.tick(REGAINED_AT + 0.04)
    (reply,) = build.sent_messages(actions, base_messages.Reply)
    assert reply.outcome == messages.NOT_RUN


def test_target_whose_entry_has_lapsed_goes_on_after_its_probe():
    plane, _ = make_plane_whose_target_is_held()
    plane.call("10.0.0.2", build.make_call(), REGAINED_AT + 0.01)
    actions = answer_probe(plane, 200, REGAINED_AT + 0.02)
    assert len(build.of_type(actions, events.Run)) == 1
    assert plane.state().usable


def test_waiting_work_does_not_start_at_a_target_that_says_it_leaves():
    """Guards against one more request at a target that has just left."""
    plane = build.make_execution()
    for call_id in range(1, 6):
        plane.call("10.0.0.2", build.make_call(call_id), 0.0)
    answer = events.TargetResponse(200, [], b"ok", leaving=True)
    actions = plane.handle_response(1, answer, 0.1)
    assert not build.of_type(actions, events.Run)
    (reply,) = build.sent_messages(plane.tick(0.12), base_messages.Reply)
    assert (reply.call_id, reply.outcome) == (5, messages.NOT_RUN)


# The shortest time after which a node that was cut off is relied on again.
CONTACT_MS = 3_000
# What is left for a new connection, a watch and a probe of the target.
RECOVERY_MS = 1_000
KEEPALIVE_OPTIONS = (
    socket.TCP_KEEPIDLE,
    socket.TCP_KEEPINTVL,
    socket.TCP_KEEPCNT,
    socket.TCP_USER_TIMEOUT,
)


def test_silent_connection_to_the_source_is_noticed_in_time():
    """Guards against removals that are known only after 3 s of silence."""
    standin = store_standin.Store()
    try:
        client = store.StoreClient(standin.address, build.REGIONS)
        client.read(interfaces.TARGETS)
        (connection,) = client.sessions[interfaces.TARGETS].idle
        idle, interval, count, limit_ms = (
            connection.sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in KEEPALIVE_OPTIONS
        )
    finally:
        standin.close()
    assert 1000 * (idle + count * interval) <= CONTACT_MS - RECOVERY_MS
    # The kernel checks the limit whenever a probe is due.
    probes = -(-limit_ms // (1000 * interval))
    noticed_ms = 1000 * interval * probes
    assert noticed_ms <= CONTACT_MS - RECOVERY_MS


def test_announced_end_counts_although_the_removal_supersedes_it():
    """Guards against a known end that is held like a lapsed registration."""
    standin = store_standin.Store()
    try:
        client = store.StoreClient(standin.address, build.REGIONS)
        standin.put("servers/t1", build.make_entry_document())
        standin.put("servers/t2", build.make_entry_document())
        batch = client.read(interfaces.TARGETS).ok
        made_view = mesh_view.View()
        made_view.apply_targets(batch, True, 0.0)
        standin.put("servers/t1", build.make_entry_document(phase="draining"))
        standin.delete("servers/t1")
        standin.delete("servers/t2")
        made_view.start_grace_period(10.0)
        batch = client.watch(interfaces.TARGETS, batch.revision, 0.0).ok
        made_view.apply_targets(batch, False, 10.0)
    finally:
        standin.close()
    assert list(made_view.targets) == ["t2"]
    # An older copy of the entry does not bring it back either.
    target = documents.decode_target(
        "t1", build.make_entry_document(), build.REGIONS
    )
    made_view.put_target(target)
    assert made_view.targets["t1"].draining


def test_process_that_has_announced_its_end_does_not_take_it_back():
    """Guards against an older entry that brings a leaving target back."""
    made_view = build.make_view()
    made_view.put_target(build.make_target(1, draining=True, started_at_ms=5))
    made_view.put_target(build.make_target(1, started_at_ms=5))
    assert made_view.targets["t1"].draining
    made_view.put_target(build.make_target(1, started_at_ms=6))
    assert not made_view.targets["t1"].draining


@pytest.mark.parametrize("draining", [False, True])
def test_older_process_does_not_replace_a_newer_one(draining):
    """Guards against an old process that is served again."""
    made_view = build.make_view()
    made_view.put_target(build.make_target(1, started_at_ms=6))
    old = build.make_target(1, started_at_ms=5, draining=draining)
    made_view.put_target(old)
    made_view.adopt_targets({"t1": old}, build.make_position(9), {}, 0.0)
    target = made_view.targets["t1"]
    assert target.started_at_ms == 6 and not target.draining


def test_older_process_does_not_return_after_the_removal():
    """Guards against an old process that is served again."""
    made_view = build.make_view()
    made_view.put_target(build.make_target(1, started_at_ms=6))
    made_view.remove_targets(["t1"], 1.0)
    made_view.put_target(build.make_target(1, started_at_ms=5))
    assert "t1" not in made_view.targets
    made_view.put_target(build.make_target(1, started_at_ms=6))
    assert "t1" in made_view.targets


def test_end_is_remembered_after_the_removal():
    """Guards against a target that an older list brings back."""
    made_view = build.make_view()
    made_view.put_target(build.make_target(1, draining=True, started_at_ms=5))
    made_view.remove_targets(["t1"], 1.0)
    made_view.put_target(build.make_target(1, started_at_ms=5))
    assert made_view.targets["t1"].draining


def test_process_without_a_start_time_may_follow_another_one():
    """Guards against a successor with the same id that is never used."""
    made_view = build.make_view()
    made_view.put_target(build.make_target(1, draining=True))
    made_view.put_target(build.make_target(1))
    assert made_view.targets["t1"].draining
    made_view.remove_targets(["t1"], 1.0)
    made_view.put_target(build.make_target(1))
    assert not made_view.targets["t1"].draining


def make_ended_view(started_at_ms=5):
    made_view = build.make_view()
    for number in (1, 2, 3):
        made_view.put_target(
            build.make_target(number, started_at_ms=started_at_ms)
        )
    return made_view


def make_end_state(**values):
    return messages.TargetState(
        "spec-desk", False, "ending", [0, 0, 4], "t2", **values
    )


def used_hosts(plane, now):
    """Return the hosts to which a plane sends some requests."""
    used = set()
    for number in range(1, 13):
        request = build.make_request(number, received_at=now)
        actions = plane.request(request, now)
        used |= {send.host_id for send in build.of_type(actions, events.Send)}
    assert used
    return used


def test_end_that_is_announced_without_a_registration_is_remembered():
    """Guards against an end that is forgotten because the entry was away."""
    made_view = make_ended_view()
    plane = build.make_entry(made_view)
    made_view.remove_targets(["t2"], 1.0)
    plane.target_state("10.0.0.2", make_end_state(started_at_ms=5), 1.1)
    plane.target_state("10.0.0.2", build.make_state("t2"), 1.2)
    made_view.put_target(build.make_target(2, started_at_ms=5))
    plane.view_changed()
    assert "10.0.0.2" not in used_hosts(plane, 1.3)
    made_view.put_target(build.make_target(2, started_at_ms=6))
    plane.view_changed()
    assert "10.0.0.2" in used_hosts(plane, 1.4)


def test_end_of_a_target_without_a_start_time_is_remembered():
    """Guards against a target that only its restarted node calls usable."""
    plane = build.make_entry(make_ended_view(started_at_ms=0))
    plane.target_state("10.0.0.2", make_end_state(), 1.1)
    plane.target_state("10.0.0.2", build.make_state("t2"), 1.2)
    assert "10.0.0.2" not in used_hosts(plane, 1.3)


def test_response_tells_the_entry_node_that_its_target_ends():
    """Guards against an announcement that was lost on another stream."""
    owner = build.make_execution(number=2)
    owner.call("10.0.0.1", build.make_call(), 0.0)
    answer = events.TargetResponse(200, [], b"ok", leaving=True)
    (reply,) = build.sent_messages(
        owner.handle_response(1, answer, 0.1), base_messages.Reply
    )
    plane = build.make_entry(make_ended_view())
    plane.placement.suspend("10.0.0.1", 9.0, 0.0)
    plane.placement.suspend("10.0.0.3", 9.0, 0.0)
    (call,) = build.sent_messages(
        plane.request(build.make_request(), 0.0), messages.Forward
    )
    reply.call_id = call.call_id
    plane.reply("10.0.0.2", reply, 0.1)
    assert plane.view.targets["t2"].draining


def test_restarted_node_learns_from_its_peers_that_its_target_ends():
    """Guards against an end that only the former process knew."""
    plane = build.make_execution(make_ended_view(), number=2)
    assert plane.state().usable
    actions = plane.end_reported(messages.TargetEnd("t2", 5), 0.1)
    (state,) = build.of_type(actions, events.Broadcast)
    assert not state.message.usable
    actions = plane.call("10.0.0.1", build.make_call(), 0.2)
    assert not build.of_type(actions, events.Run)


@pytest.mark.parametrize("started_at_ms", [0, 5])
def test_end_that_a_peer_reports_does_not_stop_a_later_process(started_at_ms):
    plane = build.make_execution(make_ended_view(started_at_ms=6), number=2)
    plane.view_changed(False, 0.0)
    plane.end_reported(messages.TargetEnd("t2", started_at_ms), 0.1)
    assert plane.state().usable


def make_plane_whose_target_ends(started_at_ms=5):
    plane = build.make_execution(make_ended_view(started_at_ms))
    plane.view_changed(False, 0.0)
    plane.call("10.0.0.2", build.make_call(), 0.0)
    answer = events.TargetResponse(200, [], b"ok", leaving=True)
    plane.handle_response(1, answer, 0.1)
    assert not plane.state().usable
    return plane


def test_healthy_probe_does_not_take_back_an_announced_end():
    """Guards against a health check that is false or was overtaken."""
    plane = make_plane_whose_target_ends()
    assert build.of_type(plane.tick(3.0), events.Probe)
    answer_probe(plane, 200, 3.1)
    assert not plane.state().usable


def test_probe_after_a_failed_one_does_not_take_back_an_announced_end():
    """Guards against a busy target that is taken for its successor."""
    plane = make_plane_whose_target_ends()
    plane.tick(3.0)
    plane.handle_probe_result(events.Failure("lost"), 3.1)
    plane.tick(6.0)
    answer_probe(plane, 200, 6.1)
    assert not plane.state().usable


@pytest.mark.parametrize(
    ("started_at_ms", "status", "leaving", "usable"),
    [
        (6, 200, False, True),
        (6, 200, True, False),
        (6, 503, False, False),
        (4, 200, False, False),
    ],
)
def test_only_a_later_process_that_is_healthy_succeeds_an_ended_one(
    started_at_ms, status, leaving, usable
):
    """Guards against a successor with the same id that gets nothing."""
    plane = make_plane_whose_target_ends()
    plane.view.put_target(build.make_target(1, started_at_ms=started_at_ms))
    plane.view_changed(False, 1.0)
    assert not plane.state().usable
    plane.tick(1.0)
    plane.tick(3.0)
    answer_probe(plane, status, 3.1, leaving=leaving)
    assert plane.state().usable == usable


def test_successor_is_asked_at_once():
    """Guards against a new process that waits for the next slow probe."""
    plane = make_plane_whose_target_ends()
    plane.view.put_target(build.make_target(1, started_at_ms=6))
    plane.view_changed(False, 1.0)
    assert build.of_type(plane.tick(1.02), events.Probe)


def test_registration_that_comes_late_does_not_take_back_an_end():
    """Guards against the process that ends passing for its successor.

    Its registration is that of its predecessor until the source tells more.
    """
    plane = make_plane_whose_target_ends(started_at_ms=4)
    plane.view.put_target(build.make_target(1, started_at_ms=5))
    plane.view_changed(False, 1.0)
    plane.tick(1.02)
    answer_probe(plane, 200, 1.1, leaving=True)
    assert not plane.state().usable
    assert plane.view.targets["t1"].draining


def test_late_answer_of_a_predecessor_does_not_end_its_successor():
    """Guards against a new process that is never served.

    A node that wakes reads what its predecessor said before it ended.
    """
    plane = build.make_execution(make_ended_view(started_at_ms=5))
    plane.view_changed(False, 0.0)
    plane.call("10.0.0.2", build.make_call(), 0.0)
    plane.view.put_target(build.make_target(1, started_at_ms=6))
    plane.view_changed(False, 1.0)
    answer = events.TargetResponse(200, [], b"ok", leaving=True)
    plane.handle_response(1, answer, 1.1)
    assert plane.state().usable
    assert not plane.view.targets["t1"].draining


def test_late_probe_of_a_predecessor_does_not_end_its_successor():
    """Guards against a new process that is never served."""
    plane = build.make_execution(make_ended_view(started_at_ms=5))
    plane.view_changed(False, 0.0)
    plane.admission.paused = True
    assert build.of_type(plane.tick(1.0), events.Probe)
    plane.view.put_target(build.make_target(1, started_at_ms=6))
    plane.view_changed(False, 1.1)
    actions = answer_probe(plane, 503, 1.2, leaving=True)
    assert not plane.view.targets["t1"].draining
    assert build.of_type(actions, events.Probe)
    answer_probe(plane, 200, 1.6)
    assert plane.state().usable


def make_plane_whose_target_is_replaced(draining):
    """Return the plane beside t1, which left, and was followed by t9."""
    made_view = build.make_view()
    plane = build.make_execution(made_view)
    if draining:
        made_view.put_target(build.make_target(1, draining=True))
    else:
        made_view.remove_targets(["t1"], 1.0)
    plane.view_changed(False, 1.0)
    assert not plane.state().usable
    assert not build.of_type(plane.tick(5.0), events.Probe)
    made_view.put_target(build.make_target(1, id="t9"))
    plane.view_changed(False, 6.0)
    return plane


@pytest.mark.parametrize("draining", [True, False])
def test_process_with_another_id_that_follows_a_planned_end_is_used(draining):
    """Guards against a replaced target that gets nothing any more."""
    plane = make_plane_whose_target_is_replaced(draining)
    assert build.of_type(plane.tick(6.02), events.Probe)
    # The new process has registered before it accepts connections.
    plane.handle_probe_result(events.Failure("connect"), 6.1)
    assert build.of_type(plane.tick(8.1), events.Probe)
    answer = events.TargetResponse(200, [], b"", instance="t9")
    plane.handle_probe_result(answer, 8.2)
    assert plane.state().usable and plane.state().instance == "t9"
    assert not build.of_type(plane.tick(12.0), events.Probe)


def test_process_that_has_left_is_not_used_beside_its_successor():
    """Guards against an old process that still answers healthy (DRAIN)."""
    plane = make_plane_whose_target_is_replaced(draining=True)
    plane.tick(6.02)
    answer_probe(plane, 200, 6.1)
    assert not plane.state().usable
    assert build.of_type(plane.tick(8.1), events.Probe)
