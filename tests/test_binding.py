"""Tests of the decisions about addresses that cannot be bound."""

import errno

import eventlet
import pytest

from hickorythread import binding
from hickorythread import process


@pytest.mark.parametrize(
    ("number", "retried", "unusable"),
    [
        (errno.EADDRINUSE, True, False),
        (errno.EADDRNOTAVAIL, True, True),
        (errno.ENOBUFS, True, False),
        (errno.EMFILE, True, False),
        (errno.EACCES, False, True),
    ],
)
def test_what_may_pass_is_tried_until_the_deadline(number, retried, unusable):
    """Guards against a start that fails, or waits, for the wrong error."""
    policy = binding.BindPolicy(100.0, 30.0)
    error = OSError(number, "")
    assert policy.may_retry(error, 129.9) == retried
    assert not policy.may_retry(error, 130.0)
    assert binding.is_unusable(error) == unusable


def test_failed_attempts_are_logged_once_in_a_while():
    """Guards against a log line for each attempt."""
    policy = binding.BindPolicy(0.0, 30.0)
    times = [tenth / 10 for tenth in range(300)]
    assert sum(policy.report_due(now) for now in times) == 6


def test_stop_before_the_last_attempt_ends_the_start():
    """Guards against a start that goes on after its stop and never ends."""
    holder = eventlet.listen(("127.0.0.1", 0))
    host, port = holder.getsockname()
    starting = process.Process()
    starting.bind_seconds = 30.0

    def stop():
        starting.stopping = True
        holder.close()

    eventlet.spawn_after(binding.RETRY_SECONDS / 2, stop)
    with pytest.raises(OSError, match="stopped during the start"):
        starting.bind_in_time([f"{host}:{port}"])
