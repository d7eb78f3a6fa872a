"""Tests of what shows that a topic of the view is current."""

import math

import pytest

from hickorythread.mesh import exchange
from hickorythread.mesh import interfaces
from hickorythread.mesh import proofs
from tests import mesh_builders as build
from tests import view_domain


def make_proof():
    """Return a topic that an answer of the source has proven at 0 s."""
    proof = proofs.TopicProof(0.0)
    proof.record_answer(0.0, 0.0)
    return proof


def test_host_that_has_just_started_has_no_proof_to_pass_on():
    """Guards against a view of a peer that a new host calls its own proof."""
    proof = proofs.TopicProof(7.0)
    assert proof.age(7.0) == proof.own_age(7.0) == math.inf
    proof.record(6.5, 7.1)
    assert proof.age(7.5) == 1.0 and proof.own_age(7.5) == math.inf
    view = build.make_view()
    notice = exchange.make_notice(view, False, proof_ages=[math.inf, 0.5])
    ages = exchange.read_proof_ages(notice)
    assert not proof.record(9.0 - ages[0], 9.0)
    assert proof.proven_at == 6.5


@pytest.mark.parametrize("ages", [["1"], [-1.0, 1.0], [math.nan], [None], [3]])
def test_malformed_ages_prove_nothing(ages):
    notice = exchange.make_notice(build.make_view(), False, proof_ages=ages)
    assert exchange.read_proof_ages(notice) == []


def test_answer_proves_nothing_about_the_time_after_it_may_have_been_written():
    """Guards against a late answer that counts as a new one."""
    proof = proofs.TopicProof(0.0)
    proof.call_started(25.0, 1.0)
    proof.call_answered(True, 9.0)
    assert proof.proven_at == 1.0
    proof.call_started(5.0, 10.0)
    proof.call_answered(False, 18.0)
    assert proof.proven_at == 15.0
    proof.call_started(5.0, 19.0)
    # Cut short: the source may have written it at once.
    proof.call_answered(False, 20.0)
    assert proof.proven_at == 15.0


def test_open_call_proves_nothing():
    """Guards against a watch that is trusted because it is open."""
    proof = make_proof()
    proof.call_started(25.0, 1.0)
    assert proof.age(20.0) == 20.0
    proof.call_failed()
    assert proof.age(21.0) == 21.0


def test_proof_that_comes_back_by_a_detour_keeps_nobody_from_asking():
    """Guards against nodes that confirm each other what nobody was told."""
    proof = make_proof()
    for step in range(1, 30):
        # Each relay makes it seem later by the time of a message.
        proof.record(0.01 * step, 0.1 * step)
    assert proof.check_due(0, 2.95)
    assert proof.own_age(2.9) == 2.9


def test_next_node_asks_if_the_first_one_tells_nothing():
    proof = proofs.TopicProof(0.0)
    due = [
        next(
            step / 100
            for step in range(300)
            if proof.check_due(rank, step / 100)
        )
        for rank in (0, 1, 2, 9)
    ]
    assert due == sorted(due) and due[0] < due[1] < due[2]
    # Two nodes that hang leave the third one the time to find a change.
    assert due[2] <= 1.3 and due[3] <= 1.6


def open_watch(now=1.0, wait=25.0):
    proof = make_proof()
    proof.call_started(wait, now)
    return proof


def test_watch_that_has_missed_a_change_is_dead():
    proof = open_watch()
    proof.change_learned(3.0)
    assert not proof.is_watch_dead(3.4) and proof.is_watch_dead(3.5)
    proof.call_started(25.0, 3.6)
    assert not proof.is_watch_dead(5.0)


def test_watch_that_was_open_while_the_source_was_silent_is_dead():
    """Guards against a watch that was sent into a silence."""
    proof = open_watch()
    proof.check_failed(True, 4.0)
    assert not proof.is_watch_dead(4.5)
    proof.record_answer(5.0, 5.1)
    assert proof.is_watch_dead(5.1)


def test_refusal_of_a_check_says_nothing_against_the_watch():
    proof = open_watch()
    proof.check_failed(False, 4.0)
    proof.record_answer(5.0, 5.1)
    assert not proof.is_watch_dead(5.1)


def test_watch_that_is_overdue_while_others_are_answered_is_dead():
    proof = open_watch(wait=0.7)
    assert not proof.is_watch_dead(5.0)
    proof.record(3.0, 3.0)
    assert proof.is_watch_dead(3.0)


def test_outage_is_one_in_which_a_call_has_failed():
    """Guards against removals that are held though the source was there."""
    proof = make_proof()
    assert not proof.record_answer(5.0, 5.0)
    proof.check_failed(True, 6.0)
    assert not proof.record_answer(6.5, 6.5)
    proof.check_failed(True, 8.0)
    assert proof.record_answer(9.0, 9.0)


def test_list_that_is_being_read_is_not_ended():
    """Guards against a list that is begun again at each change."""
    proof = open_watch(wait=0.0)
    proof.change_learned(1.1)
    proof.check_failed(True, 1.2)
    proof.record(9.0, 9.0)
    assert not proof.is_watch_dead(9.0)


def test_host_whose_calls_fail_asks_less_often():
    """Guards against calls of all hosts to a source that is away."""
    proof = proofs.TopicProof(0.0)
    proof.check_started(1.0)
    proof.check_failed(False, 1.0)
    assert not proof.check_due(0, 2.7) and proof.check_due(0, 2.85)
    proof.record(2.0, 2.0)
    assert proof.check_due(0, 2.95)


def test_operator_part_stays_proven_while_targets_change():
    """Guards against keys that lapse on hosts during a release.

    Targets then differ between any two nodes at almost any time.
    """
    names = ("launceston", "devonport", "hobart", "kingston")
    regions = dict(
        zip(names, ("north", "north", "south", "south"), strict=True)
    )
    for size, seed in ((16, 1), (40, 2), (66, 3)):
        domain = view_domain.Domain(size, names, regions, seed)
        domain.run_for(8.0)
        oldest = 0.0
        for change in range(60):
            target = build.make_target(
                900 + change, failure_domain=domain.name_of(change)
            )
            domain.source.change(interfaces.PutTarget(target))
            domain.run_for(0.13)
            for member in domain.members.values():
                proof = member.synchronizer.proofs[interfaces.OPERATOR]
                oldest = max(oldest, proof.age(domain.now))
        # A key lapses after 0.6 of the shortest bound, which is 5 s.
        assert oldest < 3.0, (size, seed, oldest)
