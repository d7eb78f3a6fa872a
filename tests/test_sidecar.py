"""Tests of sidecar processes with stand-ins for the store and the targets."""

import http.client
import http.server
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from tests import mesh_builders as build
from tests import store_standin
from tests import test_server

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOSTS = {"127.0.0.2": "launceston", "127.0.0.3": "hobart"}
REGIONS = {"launceston": "north", "hobart": "south"}
# Bounds waits that would otherwise hang; no result depends on its value.
WAIT_SECONDS = 30.0


class Target:
    """HTTP server that responds with its instance id and the request path."""

    def __init__(self, address, instance):
        self.instance = instance
        self.runs = []
        self.delay_seconds = 0.0
        self.release = threading.Event()
        self.release.set()
        target = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                if self.path == "/healthz":
                    self.answer(200, b"")
                    return
                expected = self.headers.get("Hickorythread-Expect-Instance")
                if expected != target.instance:
                    self.answer(421, b"")
                    return
                target.runs.append((self.path, dict(self.headers), body))
                target.release.wait(WAIT_SECONDS)
                time.sleep(target.delay_seconds)
                self.answer(200, f"{target.instance} {self.path}".encode())

            do_GET = do_POST = handle_any

            def answer(self, status, body):
                self.send_response(status)
                self.send_header("Hickorythread-Instance-Id", target.instance)
                self.send_header("Hickorythread-Server-Stamp", "stamp")
                attempt = self.headers.get("Hickorythread-Attempt-Id")
                if attempt:
                    self.send_header("Hickorythread-Attempt-Id", attempt)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *arguments):
                """Suppress request logging."""

        self.server = http.server.ThreadingHTTPServer(address, Handler)
        self.server.daemon_threads = True
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()


def make_long_timeout_document(version):
    """Return a configuration with timeouts long enough for a busy machine.

    No route is split, because the first request to a split route may go to
    any of its services.
    """
    document = build.make_configuration_document(version)
    for route in document["hosts"][0]["paths"]:
        route["timeout_ms"] = 20_000
        route["slo_ms"] = 10_000
        route.pop("split", None)
        route["service"] = "spec-desk"
    return document


def free_ports(count):
    """Return ports that are currently free on all loopback addresses."""
    sockets = [socket.create_server(("", 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Mesh:
    """Runs one sidecar and target per host, and one store for all."""

    def __init__(self, folder):
        self.folder = folder
        self.store = store_standin.Store()
        names = ("request", "readiness", "stream", "metrics", "target")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.targets = {}
        self.processes = {}
        self.store.put("op/config", make_long_timeout_document(7))
        for number, host in enumerate(HOSTS, 1):
            address = (host, self.ports["target"])
            self.targets[host] = Target(address, f"i-{number}")
            self.register(host)
        for host in HOSTS:
            self.start(host)
        for host in HOSTS:
            self.wait_until(lambda host=host: self.is_ready(host))
            self.wait_until(lambda host=host: self.is_usable(host))

    def register(self, host, **values):
        instance = self.targets[host].instance
        document = build.make_entry_document(
            address=f"{host}:{self.ports['target']}",
            zone=HOSTS[host],
            warmup_left_ms=0,
            **values,
        )
        self.store.put(f"servers/{instance}", document)

    def start(self, host):
        settings = {
            "host_id": host,
            "failure_domain": HOSTS[host],
            "regions": REGIONS,
            "service": "spec-desk",
            "target_address": f"{host}:{self.ports['target']}",
            "request_address": f"{host}:{self.ports['request']}",
            "readiness_address": f"{host}:{self.ports['readiness']}",
            "stream_port": self.ports["stream"],
            "metrics_port": self.ports["metrics"],
            "source_address": self.store.address,
            "grace_seconds": 6,
            "retry_share": 0.2,
            "retry_slack": 60,
        }
        path = self.folder / f"{host}.json"
        path.write_text(json.dumps(settings), "utf-8")
        with open(self.folder / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                [
                    sys.executable,
                    "-W",
                    "ignore",
                    "-m",
                    "hickorythread",
                    "sidecar",
                    "--settings",
                    str(path),
                ],
                env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def request(self, host, path, method="GET", body=None, **headers):
        """Send a request; return the status, headers and body."""
        connection = http.client.HTTPConnection(
            host, self.ports["request"], timeout=WAIT_SECONDS
        )
        fields = {
            "Host": "a.example",
            "Hickorythread-Attempt-Id": f"id-{time.monotonic_ns()}",
            "Hickorythread-Deadline-Ms": "20000",
        }
        try:
            connection.request(method, path, body, fields | headers)
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        finally:
            connection.close()

    def get(self, host, port, path):
        connection = http.client.HTTPConnection(
            host, self.ports[port], timeout=WAIT_SECONDS
        )
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def is_ready(self, host):
        return self.get(host, "readiness", "/-/readyz")[0] == 200

    def is_usable(self, host):
        status, body = self.get(host, "metrics", "/status")
        if status != 200:
            return False
        document = json.loads(body)
        return (
            document["instance"] == self.targets[host].instance
            and len(document["connected"]) == len(HOSTS) - 1
        )

    def wait_until(self, condition):
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, "condition was not met in time"
            time.sleep(0.05)

    def read_log(self, host):
        return (self.folder / f"{host}.log").read_text("utf-8")

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for target in self.targets.values():
            target.server.shutdown()
            target.server.server_close()
        self.store.close()


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    running_mesh = Mesh(tmp_path_factory.mktemp("mesh"))
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
    document = make_long_timeout_document(8)
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
