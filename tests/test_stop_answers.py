"""Tests of what the clients of a stopping sidecar process get."""

import contextlib
import signal
import time

import pytest

from tests import test_server
from tools.loopback import sidecars

HOST = "127.0.0.3"


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
