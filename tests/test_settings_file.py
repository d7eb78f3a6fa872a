"""Tests of reloading the settings of a running sidecar."""

import json
import os

import pytest

from hickorythread.mesh import settings
from hickorythread.mesh import settings_file
from tests import mesh_builders as build


def write(path, document):
    path.write_text(json.dumps(document), "utf-8")
    # The resolution of file times may be too coarse to tell two writes apart.
    status = path.stat()
    later = status.st_mtime_ns + write.count * 1_000_000
    write.count += 1
    os.utime(path, ns=(later, later))


write.count = 1


@pytest.fixture
def watched_file(tmp_path):
    path = tmp_path / "settings.json"
    document = build.make_settings_document()
    write(path, document)
    signature = settings_file.read_signature(str(path))
    loaded = settings.Settings.from_config(document).ok
    file = settings_file.SettingsFile(str(path), loaded, signature)
    return file, path, document


def test_change_is_noticed_once(watched_file):
    file, path, document = watched_file
    assert not file.changed()
    write(path, document | {"retry_slack": 7})
    assert file.changed()
    assert file.reload() == ["retry_slack"]
    assert file.settings.retry_slack == 7
    assert not file.changed()


def test_change_during_the_start_is_noticed(tmp_path):
    """Guards against a change after the settings were read and before now."""
    path = tmp_path / "settings.json"
    document = build.make_settings_document()
    write(path, document)
    signature = settings_file.read_signature(str(path))
    loaded = settings.Settings.from_config(document).ok
    write(path, document | {"retry_slack": 7})
    file = settings_file.SettingsFile(str(path), loaded, signature)
    assert file.changed()
    assert file.reload() == ["retry_slack"]
    assert not file.changed()


def test_regions_change_for_those_who_hold_the_map(watched_file):
    """Guards against planes that keep the initial regions."""
    file, path, document = watched_file
    shared_regions = file.settings.regions
    write(path, document | {"regions": {"launceston": "x", "new": "y"}})
    assert file.reload() == ["regions"]
    assert shared_regions == {"launceston": "x", "new": "y"}


def test_address_of_a_socket_needs_a_restart(watched_file):
    """Guards against settings that differ from the bound addresses."""
    file, path, document = watched_file
    before = file.settings.stream_port
    write(path, document | {"stream_port": before + 1, "retry_slack": 8})
    assert file.reload() == ["retry_slack"]
    assert file.settings.stream_port == before


@pytest.mark.parametrize("text", ["", "{", '{"retry_slack": -1}'])
def test_file_with_mistakes_changes_nothing(watched_file, text):
    """Guards against applying a part of an incomplete file."""
    file, path, _ = watched_file
    before = [getattr(file.settings, name) for name in file.settings.__slots__]
    path.write_text(text, "utf-8")
    assert file.reload() == []
    after = [getattr(file.settings, name) for name in file.settings.__slots__]
    assert before == after


def test_file_that_vanishes_changes_nothing(watched_file):
    file, path, _ = watched_file
    path.unlink()
    assert file.changed()
    assert file.reload() == []
    assert not file.changed()
