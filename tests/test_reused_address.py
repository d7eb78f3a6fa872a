"""Tests of an address at which a target of another service answers."""

import pytest

from hickorythread.mesh import events
from hickorythread.mesh import messages
from hickorythread.mesh import reasons
from tests import mesh_builders as build


def answer_probe(plane, instance, now, status=200):
    """Let a target with an id answer the next probe."""
    plane.probes.running = True
    response = events.TargetResponse(status, [], b"", instance=instance)
    return plane.handle_probe_result(response, now)


def lose_target(plane, now):
    """Let the target end without a word, seen by a refused connection."""
    plane.call("10.0.0.2", build.make_call(1), now)
    plane.handle_failure(plane.last_run_id, events.Failure("connect"), now)
    plane.handle_probe_result(events.Failure("connect"), now)


def call(plane, call_id, now, **values):
    """Return the runs that a call starts, and why it is refused."""
    message = build.make_call(call_id, **values)
    actions = plane.call("10.0.0.2", message, now)
    replies = build.sent_messages(actions, messages.messages.Reply)
    return (
        build.of_type(actions, events.Run),
        replies[0].reason if replies else "",
    )


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("status", [200, 503])
def test_target_without_an_entry_gets_nothing(idempotent, status):
    """Guards against requests that run at a target of another service."""
    plane = build.make_execution()
    lose_target(plane, 1.0)
    answer_probe(plane, "stranger", 3.1, status)
    runs, reason = call(plane, 2, 3.2, idempotent=idempotent)
    assert (runs, reason) == ([], reasons.UNREGISTERED)
    assert not plane.state().usable


def test_target_whose_entry_comes_is_used():
    """Guards against a successor that gets nothing any more."""
    plane = build.make_execution()
    lose_target(plane, 1.0)
    answer_probe(plane, "t9", 3.1)
    plane.view.put_target(build.make_target(id="t9"))
    actions = plane.view_changed(False, 3.9)
    announced = build.of_type(actions, events.Broadcast)
    assert announced[0].message.usable
    (run,), reason = call(plane, 2, 4.0)
    assert (run.instance, reason) == ("t9", "")


def test_target_whose_entry_names_another_service_gets_nothing():
    plane = build.make_execution()
    lose_target(plane, 1.0)
    answer_probe(plane, "t9", 3.1)
    plane.view.put_target(build.make_target(id="t9", service="kiln-desk"))
    plane.view_changed(False, 3.9)
    assert call(plane, 2, 4.0) == ([], reasons.OTHER_SERVICE)


def test_restarted_node_waits_for_the_entry_of_its_target():
    """Guards against a target that only its address speaks for."""
    view = build.make_view(3)
    plane = build.make_execution(view, alive=False)
    answer_probe(plane, "stranger", 1.0)
    assert call(plane, 1, 1.1) == ([], reasons.UNREGISTERED)


def test_target_without_an_id_gets_nothing():
    """Guards against a request that any target at the address would run."""
    plane = build.make_execution(alive=False)
    answer_probe(plane, "", 1.0)
    assert call(plane, 1, 1.1) == ([], reasons.UNREGISTERED)


def test_target_whose_entry_lapsed_while_the_source_was_away_is_used():
    """Guards against a whole mesh that stops as its entries lapse."""
    plane = build.make_execution()
    plane.view.start_grace_period(1.0)
    plane.view.remove_targets(["t1"], 1.0, from_snapshot=True)
    plane.view_changed(False, 1.0)
    runs, _ = call(plane, 1, 1.1)
    assert len(runs) + plane.admission.paused == 1


def test_waiting_call_is_refused_once_a_stranger_answers():
    """Guards against a call that waits for the target and gets another."""
    plane = build.make_execution()
    plane.admission.paused = True
    runs, reason = call(plane, 2, 1.0)
    assert (runs, reason) == ([], "")
    answer_probe(plane, "stranger", 1.2)
    actions = plane.tick(1.22)
    (reply,) = build.sent_messages(actions, messages.messages.Reply)
    assert (reply.outcome, reply.reason) == (
        messages.NOT_RUN,
        reasons.UNREGISTERED,
    )
