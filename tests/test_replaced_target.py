"""Tests of a target that another process follows at the same address."""

import pytest

from tools.loopback import sidecars

NORTH, SOUTH = sidecars.HOSTS


@pytest.fixture
def mesh(tmp_path):
    running_mesh = sidecars.Mesh(tmp_path)
    yield running_mesh
    running_mesh.close()


def test_target_that_follows_a_planned_end_is_used(mesh):
    """Guards against a replaced target that gets nothing any more."""
    mesh.wait_until(lambda: mesh.request(SOUTH, "/two/1")[2][:3] == b"i-2")
    mesh.register(SOUTH, phase="draining")
    mesh.wait_until(lambda: mesh.request(SOUTH, "/two/2")[2][:3] == b"i-1")
    mesh.targets[SOUTH].instance = "i-3"
    mesh.register(SOUTH)
    mesh.wait_until(lambda: mesh.request(SOUTH, "/two/3")[2][:3] == b"i-3")
