"""Settings of a sidecar that change while it runs."""

import json
import os

import pytest

from hickorythread.mesh import settings
from hickorythread.mesh import settings_file
from tests import mesh_builders as build


def write(path, document):
    path.write_text(json.dumps(document), "utf-8")
    # The clock of the file system may be too coarse for two writes.
    status = path.stat()
    later = status.st_mtime_ns + write.count * 1_000_000
    write.count += 1
    os.utime(path, ns=(later, later))


write.count = 1


@pytest.fixture
def followed(tmp_path):
    path = tmp_path / "settings.json"
    document = build.make_settings_document()
    write(path, document)
    held = settings.Settings.from_config(document).ok
    return settings_file.SettingsFile(str(path), held), path, document


def test_change_is_noticed_once(followed):
    file, path, document = followed
    assert not file.changed()
    write(path, document | {"retry_slack": 7})
    assert file.changed()
    assert file.reload() == ["retry_slack"]
    assert file.settings.retry_slack == 7
    assert not file.changed()


def test_regions_change_for_those_who_hold_the_map(followed):
    """Guards against planes that go on with the regions of the start."""
    file, path, document = followed
    held = file.settings.regions
    write(path, document | {"regions": {"launceston": "x", "new": "y"}})
    assert file.reload() == ["regions"]
    assert held == {"launceston": "x", "new": "y"}


def test_address_of_a_socket_needs_a_restart(followed):
    """Guards against settings that no longer say where the node listens."""
    file, path, document = followed
    before = file.settings.stream_port
    write(path, document | {"stream_port": before + 1, "retry_slack": 8})
    assert file.reload() == ["retry_slack"]
    assert file.settings.stream_port == before


@pytest.mark.parametrize("text", ["", "{", '{"retry_slack": -1}'])
def test_file_with_mistakes_changes_nothing(followed, text):
    """Guards against a half-written file that takes effect in part."""
    file, path, _ = followed
    before = [getattr(file.settings, name) for name in file.settings.__slots__]
    path.write_text(text, "utf-8")
    assert file.reload() == []
    after = [getattr(file.settings, name) for name in file.settings.__slots__]
    assert before == after


def test_file_that_vanishes_changes_nothing(followed):
    file, path, _ = followed
    path.unlink()
    assert file.changed()
    assert file.reload() == []
    assert not file.changed()
