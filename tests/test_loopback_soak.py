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
