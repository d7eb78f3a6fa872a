"""Tests that a sidecar process does not end by itself, or says why."""

import os
import signal
import socket
import time

import pytest

from tools.loopback import sidecars

NORTH, SOUTH = sidecars.HOSTS
REQUESTS = 50


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    running_mesh = sidecars.Mesh(tmp_path_factory.mktemp("mesh"))
    yield running_mesh
    running_mesh.close()


def stop(mesh):
    """End the sidecar of the host SOUTH at once."""
    mesh.processes[SOUTH].kill()
    mesh.processes[SOUTH].wait()


def restart(mesh, **options):
    """Start the sidecar of the host SOUTH again, with options of Popen."""
    stop(mesh)
    mesh.start(SOUTH, **options)
    mesh.wait_until(lambda: mesh.is_ready(SOUTH))
    mesh.wait_until(lambda: mesh.is_usable(SOUTH))
    return mesh.processes[SOUTH]


def assert_serves_and_stops(mesh, process):
    """Assert that all requests are answered and that SIGTERM ends with 0."""
    for number in range(REQUESTS):
        path = f"/two/ends-{number}"
        assert mesh.request(SOUTH, path)[0] == 200
    # Log lines are written in batches.
    time.sleep(0.5)
    assert process.poll() is None
    assert mesh.request(SOUTH, "/two/ends")[0] == 200
    process.send_signal(signal.SIGTERM)
    assert process.wait(sidecars.WAIT_SECONDS) == 0


def test_reader_of_standard_output_that_goes_away_ends_nothing(mesh):
    """Guards against a process that ends when its log has no reader."""
    reader, writer = os.pipe()
    process = restart(mesh, stdout=writer)
    os.close(writer)
    os.close(reader)
    assert_serves_and_stops(mesh, process)


def test_full_disk_below_standard_output_ends_nothing(mesh):
    """Guards against a process that ends when its log cannot grow."""
    with open("/dev/full", "wb") as full:
        process = restart(mesh, stdout=full)
        assert_serves_and_stops(mesh, process)


def take_address(mesh, port):
    """Return a socket that listens where the sidecar of SOUTH would."""
    stop(mesh)
    blocker = socket.socket()
    blocker.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    blocker.bind((SOUTH, mesh.ports[port]))
    blocker.listen()
    return blocker


@pytest.mark.parametrize("port", ["request", "stream", "metrics"])
def test_start_waits_for_a_port_in_use(mesh, port):
    """Guards against a process that ends since a port is not free yet."""
    with take_address(mesh, port):
        mesh.start(SOUTH)
        time.sleep(3.0)
        assert mesh.processes[SOUTH].poll() is None
    mesh.wait_until(lambda: mesh.is_ready(SOUTH))
    assert mesh.request(SOUTH, "/two/port")[0] == 200
    assert "address_in_use" in mesh.read_log(SOUTH)
