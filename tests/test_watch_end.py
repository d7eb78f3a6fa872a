"""Tests of the end of a watch that gets no answer, over real sockets."""

import threading

import pytest

from hickorythread.mesh import interfaces
from hickorythread.platform import store
from tests import mesh_builders as build
from tools.loopback import store_standin

WAIT_SECONDS = 20.0


@pytest.fixture
def standin():
    standin = store_standin.Store()
    yield standin
    standin.manner = store_standin.WHOLE
    standin.close()


@pytest.mark.parametrize("manner", store_standin.MANNERS)
def test_ended_watch_fails_at_once_and_the_next_one_is_answered(
    standin, manner
):
    """Guards against a watch that stays open on a connection that is dead."""
    client = store.StoreClient(standin.address, build.REGIONS)
    revision = client.read(interfaces.OPERATOR).ok.revision
    standin.manner = manner
    timer = threading.Timer(0.3, client.end_watch, [interfaces.OPERATOR])
    timer.start()
    result = client.watch(interfaces.OPERATOR, revision, WAIT_SECONDS)
    timer.join()
    assert result.error.kind == interfaces.WATCH_ENDED
    standin.manner = store_standin.WHOLE
    standin.put("op/config", build.make_configuration_document(2))
    batch = client.watch(interfaces.OPERATOR, revision, WAIT_SECONDS).ok
    assert batch.changes[0].configuration.version == 2


def test_end_of_a_watch_leaves_a_check_alone(standin):
    """Guards against a check that is taken for the watch."""
    client = store.StoreClient(standin.address, build.REGIONS)
    client.end_watch(interfaces.OPERATOR)
    standin.error_status = 503
    result = client.watch(interfaces.OPERATOR, 1, 0.0)
    assert result.error.kind == "refused"
    result = client.watch(interfaces.OPERATOR, 1, WAIT_SECONDS)
    assert result.error.kind == "refused"
