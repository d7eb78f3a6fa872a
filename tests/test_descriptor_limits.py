"""Tests of sidecar processes that run out of file descriptors."""

import contextlib
import http.client
import json
import os
import resource
import socket
import struct
import time

import pytest

from tools.loopback import sidecars
from tools.loopback import target

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
        for _ in range(3):
            # The streams are accepted at a limited rate.
            time.sleep(1.0)
            assert_all_answer(mesh, set(LISTENERS) - {listener})
        assert (
            "accept_failures"
            not in mesh.get(SOUTH, "metrics", "/metrics")[1].decode()
        )
    finally:
        close_all(flood)


def assert_all_answer(mesh, listeners):
    if "request" in listeners:
        assert mesh.request(SOUTH, "/two/1")[0] == 200
    for name in listeners & {"readiness", "metrics"}:
        assert mesh.get(SOUTH, name, "/status")[0] == 200


def test_incomplete_requests_do_not_hold_a_listener(mesh):
    """Guards against slow heads that occupy a listener for 30 seconds."""
    restart_limited(mesh, SOUTH)
    flood = open_flood(mesh, SOUTH, 200, ["request", "readiness", "metrics"])
    for sock in flood:
        try:
            sock.send(b"GET / HTT")
        except OSError:
            # It has been refused already.
            pass
    # The time limit of a request, 30 s, is no defence.
    deadline = time.monotonic() + 15.0
    try:
        for name in ("request", "readiness", "metrics"):
            while mesh.get(SOUTH, name, "/two/1")[0] not in (200, 404):
                assert time.monotonic() < deadline, name
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
    # The lines about the start are written before this one.
    mesh.wait_until(lambda: "event=answered" in mesh.read_log(SOUTH))
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


def test_settings_that_cannot_be_opened_are_read_later(mesh):
    """Guards against a change that is lost for want of a descriptor."""
    pid = mesh.processes[SOUTH].pid
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    path = mesh.folder / f"{SOUTH}.json"
    document = json.loads(path.read_text("utf-8"))

    def change_settings():
        # The process raises its limit again at any other shortage.
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, hard))
        document["retry_slack"] += 1
        path.write_text(json.dumps(document), "utf-8")
        return "event=reload_postponed" in mesh.read_log(SOUTH)

    mesh.wait_until(change_settings)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (hard, hard))
    mesh.wait_until(
        lambda: (
            "changed=retry_slack"
            in mesh.read_log(SOUTH).partition("event=reload_postponed")[2]
        )
    )


def spoil(sock, number):
    """Leave a connection in one of the ways in which clients do."""
    pieces = (
        b"GET / HTT",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"POST /one/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\na",
        b"GET /two/1 HTTP/1.1\r\nHost: a.example\r\n\r\n",
        b"",
    )
    try:
        sock.send(pieces[number % len(pieces)])
    except OSError:
        # It has been refused, or is not open yet.
        pass
    if number % 3 == 0:
        reset = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)


def test_no_descriptor_stays_behind_connections_that_end_badly(mesh):
    """Guards against descriptors that leak until none is left."""
    before = count_descriptors(mesh, SOUTH)
    for _ in range(20):
        connections = open_flood(mesh, SOUTH, 100)
        for number, sock in enumerate(connections):
            spoil(sock, number)
        close_all(connections)
    mesh.wait_until(lambda: count_descriptors(mesh, SOUTH) <= before + 2)
    assert mesh.request(SOUTH, "/two/1")[0] == 200


def test_no_descriptor_stays_behind_peers_and_targets_that_come_and_go(mesh):
    """Guards against descriptors that leak with each restart of a peer."""
    before = count_descriptors(mesh, SOUTH)
    for _ in range(3):
        mesh.processes[NORTH].kill()
        mesh.processes[NORTH].wait()
        mesh.targets[SOUTH].server.shutdown()
        mesh.targets[SOUTH].server.server_close()
        # An open connection may outlive the listener of the target.
        assert mesh.request(SOUTH, "/two/1")[0] in (200, 502, 503)
        address = (SOUTH, mesh.ports["target"])
        mesh.targets[SOUTH] = target.Target(address, "i-2")
        mesh.start(NORTH)
        mesh.wait_until(lambda: mesh.is_usable(SOUTH))
        mesh.wait_until(lambda: mesh.request(SOUTH, "/two/2")[0] == 200)
    mesh.wait_until(lambda: count_descriptors(mesh, SOUTH) <= before + 2)


def test_request_at_the_stream_port_does_not_hold_the_process(mesh):
    """Guards against a log line for each byte, during which nothing runs."""
    before = len(mesh.read_log(SOUTH).splitlines())
    with socket.create_connection((SOUTH, mesh.ports["stream"])) as sock:
        with contextlib.suppress(OSError):
            sock.sendall(b"GET / HTTP/1.1 " * 2_000)
        assert mesh.request(SOUTH, "/two/1")[0] == 200
    mesh.wait_until(lambda: "message_refused" in mesh.read_log(SOUTH))
    mesh.wait_until(lambda: mesh.is_ready(SOUTH))
    assert len(mesh.read_log(SOUTH).splitlines()) < before + 100
