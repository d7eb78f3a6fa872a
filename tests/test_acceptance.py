"""Tests of acceptance: a patch is applied or rejected as a whole."""

import pytest

from hickorythread import acceptance
from hickorythread import utils
from tests import builders


def accept_entry(configuration, sequence, base, *operations):
    entry = builders.entry(sequence, base, *operations)
    return acceptance.accept(configuration, entry)


def test_accepted_patch_is_the_next_version():
    """R12: guards against skipping or repeating a version number."""
    current = builders.guild_configuration()
    put_service = builders.operation(
        "put_service", builders.service("glue-desk")
    )
    accepted = accept_entry(current, 2, 1, put_service).ok
    assert accepted.version == 2
    assert accepted.previous_digest == current.digest
    assert "glue-desk" in accepted.services
    assert "glue-desk" not in current.services


def test_old_base_is_rejected():
    """R12: guards against two operators overwriting each other's changes."""
    current = builders.guild_configuration()
    put_service = builders.operation(
        "put_service", builders.service("glue-desk")
    )
    rejection = accept_entry(current, 2, 0, put_service).error
    assert rejection.kind == "conflict"
    assert "not the current version" in str(rejection.problems[0])


def test_dangling_route_is_rejected():
    """R2: guards against a route whose service was removed."""
    current = builders.guild_configuration()
    removal = builders.operation("remove_service", "spec-desk")
    rejection = accept_entry(current, 2, 1, removal).error
    assert rejection.kind == "invalid"
    assert rejection.problems[0].path == "/routes/specs/service"


def test_one_bad_operation_rejects_the_whole():
    """R3: guards against applying the valid part of an invalid patch."""
    current = builders.guild_configuration()
    valid = builders.operation("put_service", builders.service("glue-desk"))
    invalid = builders.operation("remove_route", "absent")
    rejection = accept_entry(current, 2, 1, valid, invalid).error
    assert rejection.problems[0].path == "/operations/1/value"
    assert "glue-desk" not in current.services


def test_urgent_removal_survives_unrelated_patch():
    """R5: guards against an unrelated patch blocking an urgent removal."""
    first = builders.guild_configuration()
    put_service = builders.operation(
        "put_service", builders.service("glue-desk")
    )
    second = accept_entry(first, 2, 1, put_service).ok
    third = accept_entry(
        second, 3, 1, builders.domain_state("hobart", "out")
    ).ok
    assert third.failure_domains["hobart"].state == "out"
    result = accept_entry(third, 4, 1, builders.domain_state("hobart", "in"))
    assert result.error.kind == "conflict"


@pytest.mark.parametrize(
    "document",
    [
        None,
        [],
        {"id": "x"},
        {"id": "x", "base": -1, "operations": []},
        {"id": "x", "base": 1, "operations": [{"op": "drop", "value": 1}]},
        {"id": "x", "base": 1, "operations": [], "unknown": True},
    ],
)
def test_malformed_patch_is_rejected(document):
    """R3: guards against accepting documents that violate the schema."""
    current = builders.guild_configuration()
    entry = builders.entry(2, 1)
    entry.patch = document
    assert acceptance.accept(current, entry).error.kind == "malformed"


@pytest.mark.parametrize(
    ("op", "value"),
    [
        ("set_rules", 1 << 64),
        ("put_route", builders.route(path_prefix="/\ud800")),
        ("remove_route", "\ud800"),
    ],
)
def test_patch_that_no_message_can_hold_is_rejected(op, value):
    """R3: guards against one published patch crashing every node."""
    current = builders.guild_configuration()
    operation = builders.operation(op, value)
    rejection = accept_entry(current, 2, 1, operation).error
    assert rejection.kind == "malformed"


def test_snapshot_restores_the_same_digest():
    """R1: guards against a snapshot that restores another configuration."""
    current = builders.guild_configuration()
    restored = acceptance.load_snapshot(acceptance.to_snapshot(current))
    assert restored.digest == current.digest


def test_content_is_packed_canonically():
    """R12: guards against digests that depend on the release."""
    current = builders.guild_configuration()
    expected = utils.pack_canonical(current.content())
    assert acceptance.pack_content(current) == expected
