"""Readers: few nodes read, and failures do not add to the load."""

import random

from hickorythread import readers


def test_backoff_grows_with_full_jitter_to_its_limit():
    """R12: guards against readers that retry in step or too often."""
    backoff = readers.Backoff(random.Random(1))
    delays = [backoff.next() for _ in range(400)]
    assert delays[0] <= readers.FIRST_RETRY_SECONDS
    assert 20 < max(delays) <= readers.MAX_RETRY_SECONDS
    assert min(delays[20:]) < 1.0
    backoff.reset()
    assert backoff.next() <= readers.FIRST_RETRY_SECONDS


def test_token_bucket_limits_the_rate():
    """R12: guards against more reads than the source's share."""
    bucket = readers.TokenBucket(30.0, 30.0, 0.0)
    taken = sum(bucket.take(step / 1000) for step in range(10_000))
    assert 320 <= taken <= 331
    assert not bucket.take(5.0), "an earlier time must add nothing"


def test_proof_is_the_time_of_the_request():
    """R5: guards against counting the time an answer spent in buffers."""
    watch = readers.Watch("config", 0.3, random.Random(1))
    watch.sent(10.0)
    assert not watch.due(10.4)
    watch.answered(14.0, True)
    assert watch.confirmed_at == 10.0
    watch.sent(14.0)
    watch.answered(14.5, False)
    assert watch.confirmed_at == 10.0, "a stale answer proves nothing"


def test_lost_answer_is_given_up_after_a_time():
    """R12: guards against a reader that waits forever for one answer."""
    watch = readers.Watch("config", 0.3, random.Random(1))
    watch.sent(10.0)
    assert not watch.due(11.0) and watch.last_failure_until(11.0) is None
    watch.due(10.0 + 0.3 + readers.RESPONSE_TIMEOUT_SECONDS)
    assert watch.sent_at is None and watch.backoff.failures == 1
    assert watch.last_failure_until(15.0) == 10.0, (
        "a hung connection is no outage"
    )
    assert watch.last_failure_until(9.0) is None, (
        "a contact before it shows nothing"
    )
    watch.sent(16.0)
    watch.answered(16.1, True)
    assert watch.confirmed_at is None, (
        "the answer may belong to the first read"
    )


def test_only_the_first_reader_emits_beacons_while_heard():
    """R5: guards against several readers that emit without need."""
    policy = readers.ReaderPolicy("north-tas", "north-tas")
    assert policy.may_emit(0, 9.9, 10.0)
    assert not policy.may_emit(1, 9.0, 10.0)
    assert policy.may_emit(1, 8.4, 10.0)
    assert not policy.may_emit(2, 8.4, 10.0)
    assert not policy.is_reader(3) and not policy.is_reader(None)
    assert not policy.is_gateway(0)
