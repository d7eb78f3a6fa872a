"""Lease: admission ends when the newest valid beacon expires."""

import math

import pytest

from hickorythread import lease


def test_lease_ends_without_beacons():
    """R5: guards against admission on an expired beacon."""
    node_lease = lease.Lease()
    assert not node_lease.valid(0.0) and node_lease.age(0.0) < 0
    node_lease.renew(10.0, 1, 0, 0, 10.1)
    assert node_lease.valid(12.4)
    assert not node_lease.valid(12.5)


def test_beacon_of_a_newer_version_waits_for_it():
    """R5: guards against a beacon that overtakes a removal."""
    node_lease = lease.Lease()
    assert not node_lease.renew(10.0, 1, 7, 6, 10.0)
    assert not node_lease.valid(10.0)
    node_lease.advance(6)
    assert not node_lease.valid(10.0)
    node_lease.advance(7)
    assert node_lease.valid(10.0)


def test_late_and_future_beacons_do_not_extend():
    """R5: guards against reordered beacons and wrong clock offsets."""
    node_lease = lease.Lease()
    node_lease.renew(99.0, 2, 0, 0, 10.0)
    assert node_lease.age(10.0) == 0.0
    assert not node_lease.renew(9.0, 1, 0, 0, 10.5)
    assert node_lease.age(10.5) == 0.5


def test_pending_beacons_are_bounded():
    """R5: guards against unbounded pending beacons on a lagging node."""
    node_lease = lease.Lease()
    for number in range(100):
        node_lease.renew(float(number), number, 5, 0, 100.0)
    assert len(node_lease.pending) == lease.MAX_PENDING_BEACONS


@pytest.mark.parametrize("issued_at", [math.nan, math.inf, -math.inf])
def test_beacon_without_a_time_is_ignored(issued_at):
    """R5: guards against a non-finite time that outranks later beacons."""
    node_lease = lease.Lease()
    assert not node_lease.renew(issued_at, 1, 0, 0, 10.0)
    assert node_lease.issued_at is None
