"""Reloads the settings file of a running sidecar."""

from collections.abc import Callable
import os
import time
from typing import Any

import expression

from hickorythread import descriptors
from hickorythread import documents
from hickorythread import exceptions
from hickorythread import logs
from hickorythread.mesh import settings as mesh_settings

# Settings that a running process can apply. The others define its sockets and
# location and need a restart.
RELOADABLE = (
    "regions",
    "source_address",
    "grace_seconds",
    "retry_share",
    "retry_slack",
    "retry_window_seconds",
    "warmup_rate_factor",
    "warmup_burst",
    "revocation_ms",
)

# A file that is being replaced may be missing, empty or cut at the start.
REPLACEMENT_SECONDS = 2.0
POLL_SECONDS = 0.05

FileSignature = tuple[int, int, int]
Translate = Callable[[Any], Any]


def keep_document(document: Any) -> Any:
    """Return a document that needs no translation."""
    return document


class SettingsFile:
    """Apply the changes of a settings file to the settings of a process."""

    def __init__(
        self,
        path: str,
        settings: mesh_settings.Settings,
        signature: FileSignature | None,
        translate: Translate = keep_document,
    ) -> None:
        """Watch a file; signature is the one from before it was read.

        translate turns a document of the platform into one of settings.
        """
        self.translate = translate
        self.path = path
        self.settings = settings
        self.signature = signature
        self.postponed = False

    def changed(self) -> bool:
        """Return whether the file has changed since it was last read."""
        return read_signature(self.path) != self.signature

    def reload(self) -> list[str]:
        """Apply the reloadable settings; return the names of those changed."""
        signature = read_signature(self.path)
        try:
            result = self._read()
        except OSError as error:
            self._postpone(error)
            return []
        self.signature = signature
        self.postponed = False
        if result.is_error():
            logs.error(
                "reload_refused",
                path=self.path,
                problems="; ".join(str(item) for item in result.error)[:500],
            )
            return []
        changed = self._changed_fields(result.ok)
        applied = [name for name in changed if name in RELOADABLE]
        for name in applied:
            self.settings.copy_field(name, result.ok)
        ignored = [name for name in changed if name not in RELOADABLE]
        if ignored:
            logs.warning("restart_needed", settings=",".join(ignored))
        logs.info("settings_reloaded", changed=",".join(applied) or "-")
        return applied

    def _read(
        self,
    ) -> expression.Result[mesh_settings.Settings, list[exceptions.Problem]]:
        """Read the settings; raises OSError if a later read may succeed."""
        loaded = documents.read(self.path, descriptors.is_shortage)
        if loaded.is_error():
            return expression.Error(loaded.error)
        document = self.translate(loaded.ok)
        return mesh_settings.Settings.from_config(document)

    def _postpone(self, error: OSError) -> None:
        """Leave the change to a later check; it is logged once."""
        if not self.postponed:
            self.postponed = True
            logs.warning("reload_postponed", path=self.path, error=str(error))

    def _changed_fields(self, other: mesh_settings.Settings) -> list[str]:
        return [
            name
            for name in mesh_settings.Settings.__slots__
            if getattr(self.settings, name) != getattr(other, name)
        ]


def read_signature(path: str) -> FileSignature | None:
    """Return modification time, size and inode, None without a file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def wait_until_readable(path: str) -> FileSignature | None:
    """Wait a while for a file that holds JSON; return its signature."""
    ends_at = time.monotonic() + REPLACEMENT_SECONDS
    while True:
        signature = read_signature(path)
        if documents.read(path).is_ok() or time.monotonic() >= ends_at:
            return signature
        time.sleep(POLL_SECONDS)
