"""Tests of sidecar processes that run out of file descriptors."""

import http.client
import os
import resource
import socket
import time

import pytest

from tools.loopback import sidecars

NORTH, SOUTH = sidecars.HOSTS
LISTENERS = ("request", "readiness", "stream", "metrics")
LIMIT = 100
FLOOD_CONNECTIONS = 480


@pytest.fixture
def mesh(tmp_path):
    running_mesh = sidecars.Mesh(tmp_path)
    yield running_mesh
    running_mesh.close()


def restart_limited(mesh, host, limit=LIMIT, hard_limit=None):
    """Start the sidecar of a host again with a limit of descriptors."""
    mesh.processes[host].kill()
    mesh.processes[host].wait()
    limits = (limit, hard_limit or limit)
    mesh.start(
        host,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
    )
    mesh.wait_until(lambda: mesh.is_ready(host))
    mesh.wait_until(lambda: mesh.is_usable(host))


def count_descriptors(mesh, host):
    return len(os.listdir(f"/proc/{mesh.processes[host].pid}/fd"))


def open_flood(mesh, host, count=FLOOD_CONNECTIONS, listeners=LISTENERS):
    """Open connections that never send a byte; a full queue drops some."""
    connections = []
    for number in range(count):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex((host, mesh.ports[listeners[number % len(listeners)]]))
        connections.append(sock)
        time.sleep(0.002)
    return connections


def close_all(connections):
    for sock in connections:
        sock.close()


def test_process_without_free_descriptors_survives_and_serves_again(mesh):
    """Guards against a process that ends when accept() has no descriptor."""
    restart_limited(mesh, SOUTH)
    before = count_descriptors(mesh, SOUTH)
    flood = open_flood(mesh, SOUTH)
    try:
        assert mesh.processes[SOUTH].poll() is None
        mesh.wait_until(lambda: mesh.is_ready(SOUTH))
        mesh.wait_until(lambda: mesh.get(SOUTH, "metrics", "/status")[0])
        mesh.wait_until(lambda: mesh.request(SOUTH, "/two/1")[0] == 200)
    finally:
        close_all(flood)
    mesh.wait_until(lambda: count_descriptors(mesh, SOUTH) <= before + 2)
    assert mesh.request(SOUTH, "/two/2")[0] == 200
    assert mesh.processes[SOUTH].poll() is None


@pytest.mark.parametrize("listener", LISTENERS)
def test_flood_at_one_listener_does_not_stop_the_others(mesh, listener):
    """Guards against one listener that takes the descriptors of all."""
    restart_limited(mesh, SOUTH)
    flood = open_flood(mesh, SOUTH, 200, [listener])
    try:
        others = set(LISTENERS) - {listener}
        for _ in range(3):
            # The streams are accepted at a limited rate.
            time.sleep(1.0)
            if "request" in others:
                assert mesh.request(SOUTH, "/two/1")[0] == 200
            for name in others & {"readiness", "metrics"}:
                assert mesh.get(SOUTH, name, "/status")[0] == 200
        assert (
            "accept_failures"
            not in mesh.get(SOUTH, "metrics", "/metrics")[1].decode()
        )
    finally:
        close_all(flood)


def test_soft_limit_is_raised_logged_and_shown(mesh):
    """Guards against a process that stays at a low soft limit."""
    restart_limited(mesh, SOUTH, LIMIT, 400)
    assert "descriptors=400" in mesh.read_log(SOUTH)
    _, text = mesh.get(SOUTH, "metrics", "/metrics")
    assert b"hickorythread_descriptor_limit 400.0" in text
    assert b'hickorythread_connections{listener="metrics"} 1.0' in text


def take_descriptors(mesh, host):
    """Leave a running sidecar no descriptor beyond those that it has."""
    pid = mesh.processes[host].pid
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, 3))


def ask(client, path):
    """Send a request on a kept connection; return status and body."""
    client.request("GET", path, headers={"Host": "a.example"})
    response = client.getresponse()
    return response.status, response.read()


def test_missing_descriptor_says_nothing_about_the_target(mesh):
    """Guards against a sound target that counts as down for its peers."""
    client = http.client.HTTPConnection(SOUTH, mesh.ports["request"])
    assert ask(client, "/two/0")[0] == 200
    start = len(mesh.read_log(SOUTH))
    take_descriptors(mesh, SOUTH)
    # The idle connection to the target ends after a few seconds.
    mesh.wait_until(lambda: ask(client, "/two/1") == (200, b"i-1 /two/1"))
    for number in range(2, 6):
        time.sleep(0.5)
        path = f"/two/{number}"
        # Another target answers, since this one was not asked.
        assert ask(client, path) == (200, f"i-1 {path}".encode())
    log = mesh.read_log(SOUTH)[start:]
    assert "reason=no-descriptor" in log
    assert "usable=false" not in log and "target_paused" not in log
    assert mesh.processes[SOUTH].poll() is None
