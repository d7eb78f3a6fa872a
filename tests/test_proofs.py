"""Tests of what shows that a topic of the view is current."""

from hickorythread.mesh import proofs


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
    proof = proofs.TopicProof(0.0)
    proof.call_started(25.0, 1.0)
    assert proof.age(20.0) == 20.0
    proof.call_failed()
    assert proof.age(21.0) == 21.0
