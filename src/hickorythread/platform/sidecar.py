"""Runs a sidecar on the platform."""

from hickorythread.mesh import node
from hickorythread.mesh import settings as mesh_settings
from hickorythread.mesh import settings_file
from hickorythread.platform import headers
from hickorythread.platform import settings as platform_settings
from hickorythread.platform import store


def run(
    settings: mesh_settings.Settings,
    path: str,
    signature: settings_file.FileSignature | None,
) -> int:
    """Run a sidecar until it is asked to stop; return the exit code.

    path is the settings file; its changes are applied at run time. signature
    is that of the file before the settings were read.
    """
    source = store.StoreClient(settings.source_address, settings.regions)
    watched_file = settings_file.SettingsFile(
        path, settings, signature, platform_settings.translate
    )
    return node.run(settings, source, headers.Headers(), watched_file)
