"""Tests of admission control, the retry budget and clock offsets."""

import random

import pytest

from hickorythread import admission
from hickorythread import deadlines
from hickorythread import models
from hickorythread import retries


def warm_admission():
    limiter = admission.Admission(models.Service("spec-desk", 8, 80))
    limiter.ramp_limit = None
    return limiter


def queued_call(name, client_account="a", write=False, weight=1):
    return admission.QueuedCall(
        name, client_account, weight, write, False, 1.0
    )


def run_replies(limiter, count, latency, now):
    for _ in range(count):
        limiter.started(now)
        limiter.succeeded("route", latency, limiter.generation, now)


def test_ramp_doubles_only_while_replies_succeed():
    """R4: guards against full load on a cold target."""
    limiter = admission.Admission(models.Service("spec-desk", 8, 80))
    run_replies(limiter, 1, 0.01, 0.0)
    limits = []
    for second in range(0, 15, 2):
        run_replies(limiter, 1, 0.01, second * 1.0)
        limits.append(limiter.effective_limit)
    assert limits == [1, 1, 2, 2, 4, 4, 8, 8]
    limiter.start_cold()
    for second in range(20, 60, 2):
        limiter.started(second)
        limiter.failed(limiter.generation, second)
    assert limiter.effective_limit == 1


def test_slow_replies_reveal_a_cold_target():
    """R4: guards against a target that becomes cold without notice."""
    limiter = warm_admission()
    run_replies(limiter, 30, 0.01, 0.0)
    for second in (1.0, 1.1, 1.2):
        run_replies(limiter, 1, 0.06, second)
    assert limiter.effective_limit == 1


def test_one_pause_does_not_look_like_a_cold_target():
    """R4: guards against shedding calls after a short pause of the host."""
    limiter = warm_admission()
    run_replies(limiter, 30, 0.01, 0.0)
    run_replies(limiter, 8, 0.2, 1.0)
    assert limiter.ramp_limit is None
    run_replies(limiter, 1, 0.2, 1.21)
    assert limiter.effective_limit == 1


def test_latency_and_failures_reduce_the_limit():
    """R4: guards against a limit that ignores an overloaded target."""
    limiter = warm_admission()
    run_replies(limiter, 40, 0.01, 0.0)
    run_replies(limiter, 8, 0.03, 1.0)
    assert limiter.effective_limit == 5
    limiter.started(2.0)
    limiter.failed(limiter.generation, 2.0, overloaded=True)
    assert limiter.effective_limit == 3
    limiter.started(2.1)
    limiter.failed(limiter.generation, 2.1)
    assert limiter.effective_limit == 3
    run_replies(limiter, 100, 0.01, 3.0)
    assert limiter.effective_limit == 8


def test_connections_open_one_at_a_time():
    """R4: guards against a burst of connects to one target."""
    limiter = warm_admission()
    limiter.started(0.0)
    assert not limiter.may_start(0.0005)
    assert limiter.may_start(0.001)


def fill_queue(limiter, calls):
    limiter.in_flight = limiter.connections = 8
    results = [limiter.enqueue(item, 0.0) for item in calls]
    limiter.in_flight = 0
    return [
        (refused and refused.reason, evicted) for refused, evicted in results
    ]


def test_client_accounts_take_turns_by_weight():
    """R4: guards against a client account that starves the others."""
    limiter = warm_admission()
    from_a = [queued_call(f"a{number}") for number in range(16)]
    from_b = [
        queued_call("b1", "b", weight=2),
        queued_call("b2", "b", weight=2),
    ]
    results = fill_queue(limiter, from_a + from_b)
    assert [item[0] for item in results] == [None] * 18
    assert [item[1].item for item in results[16:]] == ["a15", "a14"]
    order = [limiter.pop_ready(0.0).item for _ in range(4)]
    assert order == ["a0", "b1", "b2", "a1"]


def test_reads_give_way_to_writes():
    """R4: guards against reads that displace writes in a full queue."""
    limiter = warm_admission()
    reads = [queued_call(f"r{number}") for number in range(17)]
    results = fill_queue(limiter, [*reads, queued_call("w", write=True)])
    assert results[16][0] == "queue-full"
    assert results[17][1].item == "r15"
    assert limiter.pop_ready(0.0).item == "w"


def test_call_that_would_wait_too_long_is_shed():
    """R8: guards against queueing a call that cannot meet its deadline."""
    limiter = warm_admission()
    limiter.latency = 10.0
    refusal, _ = limiter.enqueue(queued_call("late"), 0.0)
    assert refusal.reason == "expected-wait"
    assert refusal.retry_after_seconds >= 1.0


def test_retry_budget_is_a_tenth_of_the_requests():
    """R4: guards against retries that multiply the load in an outage."""
    budget = retries.RetryBudget()
    granted = 0
    for _ in range(1000):
        budget.note_request("spec-desk")
        granted += budget.take("spec-desk")
    assert 100 <= granted <= 110


@pytest.mark.parametrize("seed", range(5))
def test_clock_offset_never_extends_a_deadline(seed):
    """R8: guards against asymmetric delays that shift a deadline."""
    source = random.Random(seed)
    skew = source.uniform(-1000.0, 1000.0)
    offset = deadlines.ClockOffset()
    for sent in range(20):
        outbound, inbound = source.random() * 0.05, source.random() * 0.05
        answered = sent + outbound + skew
        offset.measured(sent, answered, sent + outbound + inbound)
        assert -1e-9 <= sent + skew - offset.to_peer(sent) <= 0.1
        assert -1e-9 <= sent - offset.to_own(sent + skew) <= 0.1


def test_calls_of_retries_in_bursts_stay_within_the_retry_budget():
    """Guards against a debt that is forgiven before it has been paid."""
    budget = retries.RetryBudget(share=0.2, reserve=2.0)
    requests = spent = 0
    calls_of_retries = 0.0
    for _ in range(10):
        for probability in [0.5] * 50 + [0.0] * 150:
            requests += 1
            calls_of_retries += probability
            budget.note_request("kiln-desk", probability)
            spent += budget.take("kiln-desk")
    assert spent + calls_of_retries <= 0.2 * requests + budget.reserve
