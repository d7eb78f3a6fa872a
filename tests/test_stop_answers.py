"""Tests of what the clients of a stopping sidecar process get."""

import contextlib
import signal
import threading
import time

import pytest

from tests import test_server
from tools.loopback import sidecars

HOME = "127.0.0.2"
HOST = "127.0.0.3"
CALLS = 6


@pytest.fixture
def mesh(tmp_path):
    running_mesh = sidecars.Mesh(tmp_path, {"grace_seconds": 20})
    yield running_mesh
    running_mesh.close()


def make_get(path):
    return (
        f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"Hickorythread-Attempt-Id: {path}\r\n"
        "Hickorythread-Deadline-Ms: 20000\r\n\r\n"
    )


def test_requests_that_wait_when_the_listeners_close_are_answered(mesh):
    """Guards against connections that a stop closes with a request unread.

    The process does not run between the arrival of the requests and the time
    at which it closes its listeners.
    """
    process = mesh.processes[HOST]
    address = (HOST, mesh.ports["request"])
    with contextlib.ExitStack() as stack:
        callers = [test_server.Caller(address)]
        mesh.wait_until(lambda: mesh.is_ready(HOST))
        process.send_signal(signal.SIGTERM)
        mesh.wait_until(lambda: not mesh.is_ready(HOST))
        process.send_signal(signal.SIGSTOP)
        callers += [test_server.Caller(address) for _ in range(3)]
        for number, caller in enumerate(callers):
            stack.enter_context(caller.sock)
            caller.send(make_get(f"/two/waits-{number}"))
        time.sleep(4.0)
        process.send_signal(signal.SIGCONT)
        for caller in callers:
            status, headers, _ = caller.response()
            assert status in (200, 503)
            assert headers["connection"] == "close"
            caller.sock.close()
        assert process.wait(sidecars.WAIT_SECONDS) == 0


def test_replies_to_a_slow_entry_node_leave_before_the_exit(mesh):
    """Guards against answers of targets that a stop leaves in its queues.

    The node beside the targets stops, and the entry node does not read.
    """
    target = mesh.targets[HOME]
    target.padding = b"x" * 1_250_000
    target.release.clear()
    statuses = []
    threads = [
        threading.Thread(target=post, args=(mesh, number, statuses))
        for number in range(CALLS)
    ]
    for thread in threads:
        thread.start()
    mesh.wait_until(lambda: len(target.runs) == CALLS)
    stopping_process = mesh.processes[HOME]
    entry_process = mesh.processes[HOST]
    stopping_process.send_signal(signal.SIGTERM)
    time.sleep(3.3)
    entry_process.send_signal(signal.SIGSTOP)
    target.release.set()
    time.sleep(1.5)
    entry_process.send_signal(signal.SIGCONT)
    for thread in threads:
        thread.join(sidecars.WAIT_SECONDS)
    assert [status for status, _ in statuses] == [200] * CALLS
    assert min(size for _, size in statuses) > len(target.padding)
    assert stopping_process.wait(sidecars.WAIT_SECONDS) == 0


def post(mesh, number, statuses):
    """Send a request that runs at the target of the home region."""
    status, _, body = mesh.request(HOST, f"/one/{number}", "POST", b"x")
    statuses.append((status, len(body)))
