"""Tests that a sidecar process does not end by itself, or says why."""

import os
import resource
import select
import signal
import socket
import time

import pytest

from tools.loopback import sidecars

NORTH, SOUTH = sidecars.HOSTS
REQUESTS = 50
# Each writes a line, together more than the rest of a full pipe.
SIGNALS = 100
MAX_LOG_BYTES = 400


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


def fill_pipe(mesh, writer):
    """Send requests; return whether their log lines have filled a pipe."""
    for number in range(REQUESTS):
        mesh.request(SOUTH, f"/two/pipe-{number}")
    return not select.select([], [writer], [], 0)[1]


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


def test_events_beside_a_full_pipe_do_not_stop_the_process(mesh):
    """Guards against a process that waits for the reader of its log."""
    reader, writer = os.pipe()
    process = restart(mesh, stdout=writer)
    mesh.wait_until(lambda: fill_pipe(mesh, writer))
    for _ in range(SIGNALS):
        process.send_signal(signal.SIGHUP)
        time.sleep(0.03)
    assert mesh.request(SOUTH, "/two/pipe")[0] == 200
    os.close(writer)
    os.close(reader)
    assert_serves_and_stops(mesh, process)


def test_closed_standard_streams_do_not_end_the_process(mesh):
    """Guards against log lines written to a socket, or to no stream."""

    def close_standard_streams():
        for descriptor in (0, 1, 2):
            os.close(descriptor)

    process = restart(mesh, preexec_fn=close_standard_streams)
    for descriptor in (0, 1, 2):
        link = os.readlink(f"/proc/{process.pid}/fd/{descriptor}")
        assert link == os.devnull
    assert_serves_and_stops(mesh, process)


def test_dropped_lines_are_reported_once_writing_works_again(mesh):
    """Guards against a gap in the log that nobody is told of."""
    path = mesh.folder / "limited.log"
    with open(path, "ab") as log:
        process = restart(mesh, stdout=log, preexec_fn=limit_file_size)
    mesh.request(SOUTH, "/two/dropped")
    mesh.wait_until(lambda: read_dropped(mesh) > 0)
    assert process.poll() is None
    assert "lines_dropped" not in path.read_text("utf-8")

    def make_room():
        """Empty the log unless it has the report."""
        found = "event=lines_dropped" in path.read_text("utf-8")
        if not found:
            path.write_bytes(b"")
            time.sleep(1.0)
        return found

    mesh.wait_until(make_room)


def limit_file_size():
    """Limit the size of the log, which takes the part of a full disk."""
    _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (MAX_LOG_BYTES, hard))


def read_dropped(mesh):
    """Return the metric of the log lines that were dropped."""
    name = "hickorythread_log_lines_dropped "
    _, text = mesh.get(SOUTH, "metrics", "/metrics")
    (line,) = [x for x in text.decode().splitlines() if x.startswith(name)]
    return float(line.removeprefix(name))


def test_stop_while_a_port_is_in_use_is_graceful(mesh):
    """Guards against a stop that waits for the port, or looks like a crash."""
    with take_address(mesh, "readiness"):
        before = mesh.read_log(SOUTH).count("address_in_use")
        mesh.start(SOUTH)
        mesh.wait_until(
            lambda: mesh.read_log(SOUTH).count("address_in_use") > before
        )
        mesh.processes[SOUTH].send_signal(signal.SIGHUP)
        mesh.processes[SOUTH].send_signal(signal.SIGTERM)
        assert mesh.processes[SOUTH].wait(sidecars.WAIT_SECONDS) == 0


def catches_sigterm(process):
    """Return whether a process has a handler for SIGTERM."""
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        (line,) = [x for x in file if x.startswith("SigCgt:")]
    return bool(int(line.split()[1], 16) >> (signal.SIGTERM - 1) & 1)


@pytest.mark.parametrize(
    "number", [signal.SIGHUP, signal.SIGUSR1, signal.SIGPIPE]
)
def test_signal_during_the_start_does_not_end_the_process(mesh, number):
    """Guards against the default action of signals while libraries load."""
    stop(mesh)
    mesh.start(SOUTH)
    process = mesh.processes[SOUTH]
    deadline = time.monotonic() + sidecars.WAIT_SECONDS
    while not catches_sigterm(process) and time.monotonic() < deadline:
        time.sleep(0.001)
    time.sleep(0.02)
    process.send_signal(number)
    mesh.wait_until(lambda: mesh.is_ready(SOUTH) or process.poll() is not None)
    assert process.poll() is None
    process.send_signal(number)
    assert mesh.request(SOUTH, "/two/signal")[0] == 200
    assert process.poll() is None


@pytest.mark.parametrize("data", [None, b"", b'{"host_id": "127.0'])
def test_settings_that_are_being_replaced_are_read_again(mesh, data):
    """Guards against a start that fails as its settings file is written."""
    path = mesh.folder / f"{SOUTH}.json"
    settings = path.read_bytes()
    stop(mesh)
    mesh.start(SOUTH, settings_data=data)
    time.sleep(0.8)
    path.write_bytes(settings)
    mesh.wait_until(lambda: mesh.is_ready(SOUTH))
    assert mesh.request(SOUTH, "/two/settings")[0] == 200


def test_broken_settings_end_the_start_with_all_mistakes(mesh):
    """Guards against a start that waits for ever for its settings."""
    stop(mesh)
    mesh.start(SOUTH, settings_data=b"{")
    assert mesh.processes[SOUTH].wait(sidecars.WAIT_SECONDS) == 2
    assert "malformed JSON" in mesh.read_log(SOUTH)
