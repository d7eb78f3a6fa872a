"""Tests of the decisions about tasks that have failed."""

import pytest

from hickorythread import supervision


def test_restarts_are_spaced_out_and_bounded():
    """Guards against a defect that takes up the processor."""
    restarts = supervision.Restarts()
    delays = [restarts.failed(float(second)) for second in range(9)]
    assert delays[:4] == pytest.approx([0.1, 0.2, 0.4, 0.8])
    assert delays[-1] == supervision.MAX_DELAY_SECONDS
    later = 9.0 + supervision.RESET_SECONDS
    assert restarts.failed(later) == supervision.FIRST_DELAY_SECONDS


def test_task_is_down_until_it_has_run_for_a_while():
    """Guards against a node that is ready while a part of it fails."""
    restarts = supervision.Restarts()
    assert not restarts.is_down(0.0)
    restarts.failed(10.0)
    assert restarts.is_down(10.15)
    assert not restarts.is_down(10.2)
    restarts.failed(10.15)
    assert restarts.is_down(10.5)
    assert not restarts.is_down(10.56)
