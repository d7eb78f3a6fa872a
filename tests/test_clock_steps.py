"""Tests of a real sidecar whose time of day jumps."""

import time

import pytest

from hickorythread import utils
from tools.loopback import sidecars

NORTH, SOUTH = sidecars.HOSTS
# The kernel sets its clock to no time outside of these.
FIRST_SECOND = 0.0
LAST_SECOND = 9_223_372_036.0
STEPPING = """
import sys, time
wall, monotonic = time.time, time.monotonic
offsets = (0.0, -86400.0, 86400.0, -wall(), {last} - wall() - 100.0)

def stepping():
    return wall() + offsets[int(monotonic() * 5) % len(offsets)]

time.time = stepping
time.time_ns = lambda: int(stepping() * 1e9)
"""
FIXED = """
import sys, time
time.time = lambda: {at}
time.time_ns = lambda: int({at} * 1e9)
"""
RUN = """
from hickorythread import cli
sys.exit(cli.main(sys.argv[1:]))
"""


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    running_mesh = sidecars.Mesh(tmp_path_factory.mktemp("mesh"))
    yield running_mesh
    running_mesh.close()


@pytest.mark.parametrize(
    "clock",
    [
        STEPPING.format(last=LAST_SECOND),
        FIXED.format(at=FIRST_SECOND),
        FIXED.format(at=LAST_SECOND),
    ],
    ids=["stepping", "first", "last"],
)
def test_steps_of_the_clock_end_nothing(mesh, clock):
    """Guards against a time of day that a part of the process refuses."""
    mesh.processes[NORTH].kill()
    mesh.processes[NORTH].wait()
    before = len(mesh.read_log(NORTH))
    mesh.start(NORTH, program=("-c", clock + RUN))
    for host in sidecars.HOSTS:
        mesh.wait_until(lambda host=host: mesh.is_ready(host))
        mesh.wait_until(lambda host=host: mesh.is_usable(host))
    for number in range(30):
        for host in sidecars.HOSTS:
            path = f"/one/clock-{number}"
            assert mesh.request(host, path, "POST", b"x")[0] == 200
        time.sleep(0.05)
    time.sleep(0.3)
    log = mesh.read_log(NORTH)[before:]
    assert "failed" not in log and "Traceback" not in log
    assert mesh.processes[NORTH].poll() is None


@pytest.mark.parametrize("second", [0, 1_790_000_000, int(LAST_SECOND)])
def test_incarnation_fits_into_messages(second):
    """Guards against a late time of day that no message can carry."""
    incarnation = utils.make_incarnation(second * 10**9, 0xABCD)
    assert 0 <= incarnation < 1 << 64
    assert incarnation & 0xFFFF == 0xABCD
