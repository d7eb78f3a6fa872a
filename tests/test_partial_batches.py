"""Tests of a configuration that the source holds and nobody can decode."""

import random

import pytest

from hickorythread.mesh import interfaces
from hickorythread.mesh import view as mesh_view
from hickorythread.mesh import watcher
from hickorythread.platform import store
from tests import mesh_builders as build
from tools.loopback import store_standin

DAMAGED = b'{"version": 9, "hosts": ['


@pytest.fixture
def standin():
    standin = store_standin.Store()
    standin.put("op/config", build.make_configuration_document(1))
    yield standin
    standin.close()


class ViewHandler(build.WatchHandler):
    """Applies what a watcher reads to a view."""

    def __init__(self):
        super().__init__()
        self.view = mesh_view.View()

    def watch_timeout(self, topic):
        return 0.0

    def batch_delay(self):
        return 0.0

    def apply_batch(self, topic, batch, complete):
        self.view.apply_operator(batch, complete, 0.0)


def make_watcher(standin):
    handler = ViewHandler()
    client = store.StoreClient(standin.address, build.REGIONS)
    made = watcher.Watcher(
        interfaces.OPERATOR, client, handler, random.Random(1)
    )
    return made, handler.view


@pytest.mark.parametrize("steps", [0, 1, 2])
def test_configuration_that_was_not_decoded_is_read_again(standin, steps):
    """Guards against a position that stands for a version nobody applied."""
    node_watcher, view = make_watcher(standin)
    for _ in range(steps):
        node_watcher.step()
    known = view.operator_position
    standin.put_bytes("op/config", DAMAGED)
    standin.put("op/evacuate/hobart", {})
    for _ in range(3):
        assert node_watcher.step() > 0
    assert view.operator_position == known
    assert view.evacuated == {"hobart"}
    # The same entry as it should be; a watch from its revision misses it.
    item = standin.items["op/config"]
    document = build.make_configuration_document(9)
    revision = standin.revision
    standin.put("op/config", document)
    item["value"] = standin.items["op/config"]["value"]
    standin.items["op/config"] = item
    standin.history.pop()
    standin.revision = revision
    node_watcher.step()
    assert view.version == 9
    assert view.operator_position.revision == revision
