"""A short soak of real sidecars on loopback under faults from a seed."""

import pytest

from tools.loopback import soak

SECONDS = 20.0


@pytest.mark.parametrize(("seed", "host_count"), [(1, 4), (2, 3)])
def test_promises_hold_under_faults(tmp_path, seed, host_count):
    """Guards against lost, repeated or misrouted requests and own ends."""
    run = soak.Soak(tmp_path, seed, host_count)
    broken = run.run(SECONDS)
    summary = run.summarize()
    print(summary)
    assert not broken, [str(item) for item in broken[:20]]
    assert summary["outcomes"].get("answered 200", 0) > 0


STORE_CHANGES = ["store_silent", "store_slow_changes", "store_restore_changes"]


@pytest.mark.parametrize(("seed", "host_count"), [(1, 4), (2, 6)])
def test_versions_are_in_force_after_a_store_in_trouble(
    tmp_path, seed, host_count
):
    """Guards against routes that are missing after the store was silent."""
    run = soak.Soak(tmp_path, seed, host_count, STORE_CHANGES)
    broken = run.run(SECONDS)
    assert not broken, [str(item) for item in broken[:20]]
    assert sum(run.records.fault_counts.values()) > 0
