"""Readers of the source: backoff, rate limit, watches and beacons."""

import random

from hickorythread import readers
from hickorythread import token_bucket


def test_backoff_grows_with_full_jitter_to_its_limit():
    """R12: guards against retries that are synchronized or too frequent."""
    backoff = readers.Backoff(random.Random(1))
    delays = [backoff.next() for _ in range(400)]
    assert delays[0] <= readers.FIRST_RETRY_SECONDS
    assert 20 < max(delays) <= readers.MAX_RETRY_SECONDS
    assert min(delays[20:]) < 1.0
    backoff.reset()
    assert backoff.next() <= readers.FIRST_RETRY_SECONDS


def test_token_bucket_limits_the_rate():
    """R12: guards against reads beyond the rate limit of the source."""
    bucket = token_bucket.TokenBucket(30.0, 30.0, 0.0)
    taken = sum(bucket.take(step / 1000) for step in range(10_000))
    assert 320 <= taken <= 331
    assert not bucket.take(5.0), "an earlier time must not add tokens"


def test_proof_is_the_time_of_the_request():
    """R5: guards against dating a response by its arrival.

    A response may spend time in buffers, so that it is only as recent as its
    request.
    """
    watch = readers.Watch("config", 0.3, random.Random(1))
    watch.record_sent(10.0)
    assert not watch.due(10.4)
    watch.record_response(14.0, True)
    assert watch.confirmed_at == 10.0
    watch.record_sent(14.0)
    watch.record_response(14.5, False)
    assert watch.confirmed_at == 10.0, (
        "an incomplete response confirms nothing"
    )


def test_lost_answer_is_given_up_after_a_time():
    """R12: guards against a reader that waits forever for one response."""
    watch = readers.Watch("config", 0.3, random.Random(1))
    watch.record_sent(10.0)
    assert not watch.due(11.0) and watch.last_failure_until(11.0) is None
    watch.due(10.0 + 0.3 + readers.RESPONSE_TIMEOUT_SECONDS)
    assert watch.sent_at is None and watch.backoff.failures == 1
    assert watch.last_failure_until(15.0) == 10.0, (
        "dated by its request: a connection may hang"
    )
    assert watch.last_failure_until(9.0) is None, (
        "no failed read before this contact"
    )
    watch.record_sent(16.0)
    watch.record_response(16.1, True)
    assert watch.confirmed_at is None, "response may belong to the first read"


def test_only_the_first_reader_emits_beacons_while_heard():
    """R5: guards against readers that emit beacons while others do."""
    policy = readers.ReaderPolicy("north-tas", "north-tas")
    assert policy.may_emit(0, 9.9, 10.0)
    assert not policy.may_emit(1, 9.0, 10.0)
    assert policy.may_emit(1, 8.4, 10.0)
    assert not policy.may_emit(2, 8.4, 10.0)
    assert not policy.is_reader(3) and not policy.is_reader(None)
    assert not policy.is_gateway(0)
