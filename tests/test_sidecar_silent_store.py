"""Tests of sidecar processes whose store goes silent on open connections."""

import time

import pytest

from tools.loopback import documents
from tools.loopback import sidecars
from tools.loopback import store_standin

HOSTS = sidecars.HOSTS
# A check and a time-out of it, more than once.
SILENT_SECONDS = 4.0


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    running_mesh = sidecars.Mesh(tmp_path_factory.mktemp("mesh"))
    yield running_mesh
    running_mesh.close()


def put_route(mesh, version):
    """Write a version with a route of its own; return a path on it."""
    document = documents.make_long_timeout_document(version)
    prefix = f"/since-{version}/"
    route = document["hosts"][0]["paths"][1]
    extra = dict(route, name=f"since-{version}", prefix=prefix)
    document["hosts"][0]["paths"].append(extra)
    mesh.store.put("op/config", document)
    return prefix + "1"


def wait_until_served(mesh, path):
    for host in HOSTS:
        mesh.wait_until(lambda host=host: mesh.request(host, path)[0] == 200)


@pytest.mark.parametrize(
    ("version", "manner"),
    [(10, store_standin.LOST), (20, store_standin.LOST_WATCHES)],
)
def test_watch_that_was_sent_into_a_silence_is_started_again(
    mesh, version, manner
):
    """Guards against a process that keeps a dead watch for half a minute."""
    before = {host: mesh.read_log(host).count("watch_ended") for host in HOSTS}
    put_route(mesh, version)
    mesh.store.manner = manner
    time.sleep(SILENT_SECONDS / 2)
    path = put_route(mesh, version + 1)
    time.sleep(SILENT_SECONDS / 2)
    mesh.store.manner = store_standin.WHOLE
    wait_until_served(mesh, path)
    for host in HOSTS:
        mesh.wait_until(
            lambda host=host: (
                mesh.read_log(host).count("watch_ended") > before[host]
            )
        )
    wait_until_served(mesh, put_route(mesh, version + 2))


def test_refusal_names_the_version_that_routed(mesh):
    """Guards against a 404 that does not tell which version decided it."""
    (host, *_) = HOSTS
    assert mesh.request(host, "/never/1")[0] == 404
    mesh.wait_until(lambda: "/never/1" in mesh.read_log(host))
    (line,) = [
        line
        for line in mesh.read_log(host).splitlines()
        if "event=rejected" in line and "/never/1" in line
    ]
    version = mesh.get(host, "metrics", "/status")[1]
    assert b'"routing_version"' in version
    assert "routed_by=" in line and "operator_revision=" in line
