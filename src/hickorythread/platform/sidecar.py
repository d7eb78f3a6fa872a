"""Run a sidecar on the platform."""

from hickorythread import utils
from hickorythread.mesh import node
from hickorythread.mesh import settings as mesh_settings
from hickorythread.platform import headers
from hickorythread.platform import store


def run(settings: mesh_settings.Settings) -> int:
    """Run a sidecar until it is asked to stop; return the exit code."""
    clock = utils.SystemClock()
    source = store.StoreClient(settings.source_address, settings.regions)
    return node.run(settings, source, headers.Headers(clock))
