"""Limit, ramp, queue, retry budget and clock offsets."""

import random

import pytest

from hickorythread import admission
from hickorythread import deadlines
from hickorythread import models
from hickorythread import retries


def warm():
    made = admission.Admission(models.Service("spec-desk", 8, 80))
    made.ramp_limit = None
    return made


def waiting(name, tenant="a", write=False, weight=1):
    return admission.Waiting(name, tenant, weight, write, False, 1.0)


def run_replies(made, count, latency, now):
    for _ in range(count):
        made.started(now)
        made.succeeded("route", latency, made.generation, now)


def test_ramp_doubles_only_while_replies_succeed():
    """R4: guards against full load on a cold upstream."""
    made = admission.Admission(models.Service("spec-desk", 8, 80))
    run_replies(made, 1, 0.01, 0.0)
    limits = []
    for second in range(0, 15, 2):
        run_replies(made, 1, 0.01, second * 1.0)
        limits.append(made.effective_limit)
    assert limits == [1, 1, 2, 2, 4, 4, 8, 8]
    made.start_cold()
    for second in range(20, 60, 2):
        made.started(second)
        made.failed(made.generation, second)
    assert made.effective_limit == 1


def test_slow_replies_reveal_a_cold_upstream():
    """R4: guards against an upstream that turns cold without warning."""
    made = warm()
    run_replies(made, 30, 0.01, 0.0)
    for second in (1.0, 1.1, 1.2):
        run_replies(made, 1, 0.06, second)
    assert made.effective_limit == 1


def test_one_pause_does_not_look_like_a_cold_upstream():
    """R4: guards against work shed after a short pause of the host."""
    made = warm()
    run_replies(made, 30, 0.01, 0.0)
    run_replies(made, 8, 0.2, 1.0)
    assert made.ramp_limit is None
    run_replies(made, 1, 0.2, 1.21)
    assert made.effective_limit == 1


def test_latency_and_failures_reduce_the_limit():
    """R4: guards against a limit that ignores an overloaded upstream."""
    made = warm()
    run_replies(made, 40, 0.01, 0.0)
    run_replies(made, 8, 0.03, 1.0)
    assert made.effective_limit == 5
    made.started(2.0)
    made.failed(made.generation, 2.0, overloaded=True)
    assert made.effective_limit == 3
    made.started(2.1)
    made.failed(made.generation, 2.1)
    assert made.effective_limit == 3
    run_replies(made, 100, 0.01, 3.0)
    assert made.effective_limit == 8


def test_connections_open_one_at_a_time():
    """R4: guards against a burst of connects to one upstream."""
    made = warm()
    made.started(0.0)
    assert not made.may_start(0.0005)
    assert made.may_start(0.001)


def fill(made, names):
    made.in_flight = made.connections = 8
    results = [made.enqueue(item, 0.0) for item in names]
    made.in_flight = 0
    return [(refused and refused.reason, out) for refused, out in results]


def test_tenants_take_turns_by_weight():
    """R4: guards against one tenant that starves the others."""
    made = warm()
    flood = [waiting(f"a{number}") for number in range(16)]
    late = [waiting("b1", "b", weight=2), waiting("b2", "b", weight=2)]
    results = fill(made, flood + late)
    assert [item[0] for item in results] == [None] * 18
    assert [item[1].item for item in results[16:]] == ["a15", "a14"]
    order = [made.next_ready(0.0).item for _ in range(4)]
    assert order == ["a0", "b1", "b2", "a1"]


def test_reads_give_way_to_writes():
    """R4: guards against reads that displace writes in a full queue."""
    made = warm()
    reads = [waiting(f"r{number}") for number in range(17)]
    results = fill(made, [*reads, waiting("w", write=True)])
    assert results[16][0] == "queue-full"
    assert results[17][1].item == "r15"
    assert made.next_ready(0.0).item == "w"


def test_call_that_would_wait_too_long_is_shed():
    """R8: guards against queueing work that cannot meet its deadline."""
    made = warm()
    made.latency = 10.0
    refusal, _ = made.enqueue(waiting("late"), 0.0)
    assert refusal.reason == "expected-wait"
    assert refusal.retry_after_seconds >= 1.0


def test_retry_budget_is_a_tenth_of_the_requests():
    """R4: guards against retries that multiply the load of an outage."""
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
        there, back = source.random() * 0.05, source.random() * 0.05
        answered = sent + there + skew
        offset.measured(sent, answered, sent + there + back)
        assert -1e-9 <= sent + skew - offset.to_peer(sent) <= 0.1
        assert -1e-9 <= sent - offset.to_own(sent + skew) <= 0.1
