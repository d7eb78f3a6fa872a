"""Tests of sidecar processes with stand-ins for the store and the targets."""

import http.client
import itertools
import json
import signal
import threading
import time

import pytest

from tests import mesh_builders as build
from tests import test_server
from tools.loopback import documents
from tools.loopback import sidecars

HOSTS = sidecars.HOSTS
WAIT_SECONDS = sidecars.WAIT_SECONDS


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    running_mesh = sidecars.Mesh(tmp_path_factory.mktemp("mesh"))
    yield running_mesh
    running_mesh.close()


NORTH, SOUTH = HOSTS


def test_near_target_answers_and_the_answer_comes_back_whole(mesh):
    status, headers, body = mesh.request(SOUTH, "/two/x?y=1")
    assert (status, body) == (200, b"i-2 /two/x?y=1")
    assert headers["Hickorythread-Server-Stamp"] == "stamp"
    _, fields, _ = mesh.targets[SOUTH].runs[-1]
    assert fields["Hickorythread-Caller-Service"] == "spec-desk"
    assert 0 < int(fields["Hickorythread-Deadline-Ms"]) <= 20_000


def test_request_with_home_regions_is_forwarded_to_them(mesh):
    """Guards against a request served outside its home regions."""
    data = b"x" * 50_000
    status, _, body = mesh.request(SOUTH, "/one/1", "POST", data)
    assert (status, body) == (200, b"i-1 /one/1")
    assert mesh.targets[NORTH].runs[-1][2] == data


def test_unknown_route_and_oversized_body_are_refused(mesh):
    assert mesh.request(NORTH, "/three/1")[0] == 404
    data = b"x" * (1 << 20)
    assert mesh.request(NORTH, "/one/1", "POST", data + b"x")[0] == 413


def test_new_version_is_in_force_on_all_nodes(mesh):
    document = documents.make_long_timeout_document(8)
    extra = dict(document["hosts"][0]["paths"][1], name="x", prefix="/x/")
    document["hosts"][0]["paths"].append(extra)
    mesh.store.put("op/config", document)
    for host in HOSTS:
        mesh.wait_until(lambda host=host: mesh.request(host, "/x/1")[0] == 200)


def test_leaving_target_gets_nothing_more(mesh):
    mesh.register(SOUTH, phase="draining")
    mesh.wait_until(
        lambda: mesh.request(SOUTH, "/x/leaving")[2] == b"i-1 /x/leaving"
    )
    before = len(mesh.targets[SOUTH].runs)
    for _ in range(5):
        assert mesh.request(SOUTH, "/x/2")[2] == b"i-1 /x/2"
    # An older entry of the same process does not take it back.
    mesh.register(SOUTH)
    mesh.wait_until(lambda: "target_end_kept" in mesh.read_log(SOUTH))
    for _ in range(5):
        assert mesh.request(SOUTH, "/x/2")[2] == b"i-1 /x/2"
    assert len(mesh.targets[SOUTH].runs) == before
    born = build.make_entry_document()["born"] + 1
    mesh.register(SOUTH, born=born)
    mesh.wait_until(lambda: mesh.request(SOUTH, "/x/3")[2] == b"i-2 /x/3")


def test_metrics_and_trace_tell_of_a_request(mesh, capsys):
    from hickorythread import cli

    status, _, _ = mesh.request(
        SOUTH, "/one/9", "POST", **{"Hickorythread-Attempt-Id": "traced-1"}
    )
    assert status == 200
    mesh.wait_until(
        lambda: all("traced-1" in mesh.read_log(host) for host in HOSTS)
    )
    files = [str(mesh.folder / f"{host}.log") for host in HOSTS]
    assert cli.main(["trace", "traced-1", *files]) == 0
    shown = capsys.readouterr().out
    assert "run_ended" in shown and "answered" in shown
    _, text = mesh.get(NORTH, "metrics", "/metrics")
    assert b"hickorythread_responses_total" in text


def test_restarted_node_takes_the_view_of_its_peers(mesh):
    """Guards against a node that cannot start while the store is down."""
    mesh.store.error_status = 503
    try:
        mesh.processes[SOUTH].kill()
        mesh.processes[SOUTH].wait()
        mesh.start(SOUTH)
        mesh.wait_until(lambda: mesh.is_ready(SOUTH))
        mesh.wait_until(lambda: mesh.request(SOUTH, "/x/4")[0] == 200)
        assert "view_from_peer" in mesh.read_log(SOUTH)
    finally:
        mesh.store.error_status = 0


def test_changed_settings_do_not_end_the_process(mesh):
    """Guards against a process that is terminated by SIGHUP.

    SIGHUP ends a process without a handler for it. The settings file may also
    change without a signal.
    """
    path = mesh.folder / f"{NORTH}.json"
    settings = json.loads(path.read_text("utf-8"))
    for number in (1, 2):
        settings["retry_slack"] += 1
        path.write_text(json.dumps(settings), "utf-8")
        if number == 1:
            mesh.processes[NORTH].send_signal(signal.SIGHUP)
        mesh.wait_until(
            lambda number=number: (
                mesh.read_log(NORTH).count("changed=retry_slack") == number
            )
        )
    assert mesh.request(NORTH, "/two/hup")[0] == 200
    assert mesh.processes[NORTH].poll() is None


def test_stopping_node_answers_what_it_has_read(mesh):
    """Guards against a graceful shutdown that aborts a running request."""
    target = mesh.targets[SOUTH]
    target.release.clear()
    results = []
    before = len(target.runs)
    thread = threading.Thread(
        target=lambda: results.append(mesh.request(SOUTH, "/x/slow"))
    )
    thread.start()
    mesh.wait_until(lambda: len(target.runs) > before)
    mesh.processes[SOUTH].send_signal(signal.SIGTERM)
    mesh.wait_until(lambda: not mesh.is_ready(SOUTH))
    target.release.set()
    thread.join(WAIT_SECONDS)
    status, headers, body = results[0]
    assert (status, body) == (200, b"i-2 /x/slow")
    # New requests go to the other target while this node still serves.
    assert mesh.request(SOUTH, "/x/5")[2] == b"i-1 /x/5"
    assert mesh.processes[SOUTH].wait(WAIT_SECONDS) == 0


def test_what_reaches_a_target_during_a_stop_is_answered(mesh):
    """Guards against requests accepted too late to be answered in a shutdown.

    Clients send requests until the process exits. A connection that is
    refused, or closed before its request is read, is harmless.
    """
    if mesh.processes[SOUTH].poll() is not None:
        mesh.start(SOUTH)
    mesh.wait_until(lambda: mesh.is_ready(SOUTH))
    mesh.wait_until(lambda: mesh.is_usable(SOUTH))
    for target in mesh.targets.values():
        target.delay_seconds = 0.3
    answered_paths = set()
    process = mesh.processes[SOUTH]

    def send_requests(number):
        for attempt in range(10_000):
            path = f"/two/stop-{number}-{attempt}"
            try:
                if mesh.request(SOUTH, path)[0] == 200:
                    answered_paths.add(path)
            except (OSError, http.client.HTTPException):
                if process.poll() is not None:
                    return
                time.sleep(0.02)

    threads = [
        threading.Thread(target=send_requests, args=(number,))
        for number in range(4)
    ]
    for thread in threads:
        thread.start()
    mesh.wait_until(lambda: len(answered_paths) >= 4)
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_SECONDS) == 0
    for thread in threads:
        thread.join(WAIT_SECONDS)
    executed_paths = {
        path
        for target in mesh.targets.values()
        for path, _, _ in target.runs
        if path.startswith("/two/stop-")
    }
    assert len(executed_paths) > 4
    assert executed_paths <= answered_paths


def send_ahead(address, prefix, process, answered):
    """Send requests in groups of five until the process ends.

    answered maps each path to the status and the body of its response.
    """
    for attempt in itertools.count():
        paths = [f"{prefix}-{attempt}-{number}" for number in range(5)]
        try:
            caller = test_server.Caller(address)
        except OSError:
            if process.poll() is not None:
                return
            time.sleep(0.02)
            continue
        with caller.sock:
            try:
                caller.send(*map(make_get, paths))
                for path in paths:
                    status, headers, body = caller.response()
                    answered[path] = status, body
                    if headers.get("connection") == "close":
                        break
            except (OSError, AssertionError):
                # The connection has ended before the next response.
                pass


def make_get(path):
    return (
        f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"Hickorythread-Attempt-Id: {path}\r\n"
        "Hickorythread-Deadline-Ms: 20000\r\n\r\n"
    )


def test_requests_sent_ahead_are_answered_in_a_stop(mesh):
    """Guards against requests cut off behind a response that closes."""
    if mesh.processes[SOUTH].poll() is not None:
        mesh.start(SOUTH)
    mesh.wait_until(lambda: mesh.is_ready(SOUTH))
    mesh.wait_until(lambda: mesh.is_usable(SOUTH))
    for target in mesh.targets.values():
        target.delay_seconds = 0.2
    answered = {}
    process = mesh.processes[SOUTH]
    address = (SOUTH, mesh.ports["request"])
    threads = [
        threading.Thread(
            target=send_ahead,
            args=(address, f"/two/ahead-{number}", process, answered),
        )
        for number in range(3)
    ]
    for thread in threads:
        thread.start()
    mesh.wait_until(lambda: len(answered) >= 10)
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_SECONDS) == 0
    for thread in threads:
        thread.join(WAIT_SECONDS)
    executed = {
        path
        for target in mesh.targets.values()
        for path, _, _ in target.runs
        if path.startswith("/two/ahead-")
    }
    assert len(executed) > 10
    assert executed <= answered.keys()
    for path, (status, body) in answered.items():
        assert status != 200 or path.encode() in body


def test_late_request_of_a_stop_is_not_cut_at_its_end(mesh):
    """Guards against requests that are passed on and cut by the exit.

    The grace time is 6 s and no response comes in it. Requests sent in its
    first 3 s may be cut, as their targets are still at work at its end.
    """
    if mesh.processes[SOUTH].poll() is not None:
        mesh.start(SOUTH)
    mesh.wait_until(lambda: mesh.is_ready(SOUTH))
    mesh.wait_until(lambda: mesh.is_usable(SOUTH))
    process = mesh.processes[SOUTH]
    for target in mesh.targets.values():
        target.delay_seconds = 0.0
        target.release.clear()
    threads = [
        threading.Thread(target=send_one, args=(mesh, number))
        for number in range(2)
    ]
    threads[0].start()
    mesh.wait_until(lambda: find_runs(mesh, "/two/late-0"))
    process.send_signal(signal.SIGTERM)
    time.sleep(3.3)
    threads[1].start()
    assert process.wait(WAIT_SECONDS) == 0
    for target in mesh.targets.values():
        target.release.set()
    for thread in threads:
        thread.join(WAIT_SECONDS)
    assert not find_runs(mesh, "/two/late-1")


def send_one(mesh, number):
    """Send one request; the connection may end without a response."""
    try:
        mesh.request(SOUTH, f"/two/late-{number}")
    except (OSError, http.client.HTTPException):
        return


def find_runs(mesh, path):
    """Return the runs of a path at all targets."""
    return [
        run
        for target in mesh.targets.values()
        for run in target.runs
        if run[0] == path
    ]
