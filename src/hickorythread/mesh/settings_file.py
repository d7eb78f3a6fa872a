"""Follow the settings file of a running sidecar."""

import os

import expression

from hickorythread import documents
from hickorythread import exceptions
from hickorythread import logs
from hickorythread.mesh import settings as mesh_settings

# What a running process takes over; the rest names its sockets and place.
CHANGEABLE = (
    "regions",
    "source_address",
    "grace_seconds",
    "retry_share",
    "retry_slack",
    "warmup_rate_factor",
    "warmup_burst",
)

Signature = tuple[int, int, int]


class SettingsFile:
    """Compare a settings file with the settings that a process holds."""

    def __init__(self, path: str, settings: mesh_settings.Settings) -> None:
        self.path = path
        self.settings = settings
        self.signature = self._read_signature()

    def changed(self) -> bool:
        """Return whether the file was written since it was last read."""
        return self._read_signature() != self.signature

    def reload(self) -> list[str]:
        """Take over what may change; return the names of what did."""
        self.signature = self._read_signature()
        result = self._read()
        if result.is_error():
            logs.error(
                "reload_refused",
                path=self.path,
                problems="; ".join(str(item) for item in result.error)[:500],
            )
            return []
        changed = self._differences(result.ok)
        taken = [name for name in changed if name in CHANGEABLE]
        for name in taken:
            self.settings.take(name, result.ok)
        left = [name for name in changed if name not in CHANGEABLE]
        if left:
            logs.warning("restart_needed", settings=",".join(left))
        logs.info("settings_reloaded", changed=",".join(taken) or "-")
        return taken

    def _read(
        self,
    ) -> expression.Result[mesh_settings.Settings, list[exceptions.Problem]]:
        loaded = documents.read(self.path)
        if loaded.is_error():
            return expression.Error(loaded.error)
        return mesh_settings.Settings.from_config(loaded.ok)

    def _differences(self, other: mesh_settings.Settings) -> list[str]:
        return [
            name
            for name in mesh_settings.Settings.__slots__
            if getattr(self.settings, name) != getattr(other, name)
        ]

    def _read_signature(self) -> Signature | None:
        """Return what tells one content from another, None without a file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
