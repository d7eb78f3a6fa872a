"""Tests of real sidecars in which a task fails."""

import http.client
import threading

import pytest

from tools.loopback import sidecars

NORTH, SOUTH = sidecars.HOSTS
DEFECTS = """
import sys
from hickorythread import cli, exceptions
LINK_FAILURES = {link_failures}
cli._patch_standard_library(locks=False)
from hickorythread.mesh import entry, execution, node, target_client

def fails_for(part, error, owner, name, path_of):
    original = getattr(owner, name)

    def replacement(self, *arguments):
        if part in path_of(*arguments):
            raise error
        return original(self, *arguments)

    setattr(owner, name, replacement)

run_path = lambda action: action.call.path
fails_for("/task", ValueError("task"), target_client.TargetClient, "run",
          run_path)
fails_for("/invariant", exceptions.InvariantError("broken"),
          target_client.TargetClient, "run", run_path)
fails_for("/accept", KeyError("accept"), execution.ExecutionPlane, "call",
          lambda host_id, message, now: message.path)
fails_for("/enter", KeyError("enter"), entry.EntryPlane, "request",
          lambda request, *rest: request.path)

calls = []
check_links = node.Node._check_links

def fail_at_first(self):
    calls.append(1)
    if len(calls) <= LINK_FAILURES:
        raise RuntimeError("links")
    check_links(self)

node.Node._check_links = fail_at_first
sys.exit(cli.main(sys.argv[1:]))
"""


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    running_mesh = sidecars.Mesh(tmp_path_factory.mktemp("mesh"))
    yield running_mesh
    running_mesh.close()


def restart(mesh, link_failures):
    """Start the sidecar of NORTH with the defects."""
    mesh.processes[NORTH].kill()
    mesh.processes[NORTH].wait()
    defects = DEFECTS.format(link_failures=link_failures)
    mesh.start(NORTH, program=("-c", defects))


@pytest.fixture
def process(mesh):
    """Return a running sidecar of NORTH with the defects."""
    restart(mesh, link_failures=0)
    for host in sidecars.HOSTS:
        mesh.wait_until(lambda host=host: mesh.is_ready(host))
        mesh.wait_until(lambda host=host: mesh.is_usable(host))
    mesh.wait_until(lambda: mesh.request(SOUTH, "/one/fine")[0] == 200)
    return mesh.processes[NORTH]


@pytest.mark.parametrize("host", sidecars.HOSTS)
@pytest.mark.parametrize("path", ["/one/task", "/one/accept", "/one/enter"])
def test_failed_task_of_a_request_fails_that_request(
    mesh, process, host, path
):
    """Guards against a defect in one request that ends all of them."""
    status, headers, _ = mesh.request(host, path, "POST", b"x")
    if (host, path) == (SOUTH, "/one/enter"):
        # The defect concerns requests of clients only.
        assert status == 200
        return
    assert status == 502
    assert "Retry-After" not in headers
    mesh.wait_until(lambda: mesh.request(host, "/one/fine")[0] == 200)
    _, text = mesh.get(NORTH, "metrics", "/metrics")
    assert b'hickorythread_task_failures_total{kind="request"' in text
    assert process.poll() is None


def test_failed_plane_starts_again(mesh):
    """Guards against a process that ends for, or is ready without, a plane."""
    before = mesh.read_log(NORTH).count("event=plane_failed plane=links")
    restart(mesh, link_failures=5)
    mesh.wait_until(lambda: mesh.is_ready(NORTH))
    log = mesh.read_log(NORTH)
    assert log.count("event=plane_failed plane=links") == before + 5
    _, text = mesh.get(NORTH, "metrics", "/metrics")
    name = 'hickorythread_task_failures_total{kind="plane",task="links"} 5'
    assert name in text.decode()
    mesh.wait_until(lambda: mesh.is_usable(NORTH))
    assert mesh.processes[NORTH].poll() is None


def test_broken_invariant_answers_before_it_ends_the_process(mesh, process):
    """Guards against requests that a broken invariant cuts unanswered."""
    target = mesh.targets[NORTH]
    target.release.clear()
    statuses = []

    def send(host, path):
        try:
            statuses.append(mesh.request(host, path, "POST", b"x")[0])
        except (OSError, http.client.HTTPException) as error:
            statuses.append(type(error).__name__)

    before = len(target.runs)
    threads = [
        threading.Thread(target=send, args=(host, f"/one/held-{number}"))
        for host in sidecars.HOSTS
        for number in range(3)
    ]
    for thread in threads:
        thread.start()
    mesh.wait_until(lambda: len(target.runs) >= before + len(threads))
    send(NORTH, "/one/invariant")
    for thread in threads:
        thread.join(sidecars.WAIT_SECONDS)
    target.release.set()
    assert process.wait(sidecars.WAIT_SECONDS) == 5
    assert statuses == [502] * 7
    assert "InvariantError: broken" in mesh.read_log(NORTH)
