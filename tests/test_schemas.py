"""Untrusted documents get a verdict and never raise."""

from importlib import resources

import hypothesis
from hypothesis import strategies
import jsonschema
import pytest

from hickorythread import acceptance
from hickorythread import models
from hickorythread import schemas
from tests import builders

SCHEMAS = sorted(
    item.name.removesuffix(".json")
    for item in (resources.files("hickorythread") / "schemas").iterdir()
)

LEAVES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(strategies.characters(exclude_categories=()))
    | strategies.binary(max_size=4)
    | strategies.sampled_from(["specs", "hobart", "out", "/a", "/\ud800"])
    | strategies.sampled_from([2**53, 2**64, 10**4000, -1, 1.0, 1e300])
)
VALUES = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["name", "state", "service", "slots", "methods", "region"]
            )
            | strategies.text(max_size=4),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
OPERATIONS = builders.guild_operations() + [
    builders.domain_state("hobart", "out"),
    builders.operation("remove_route", "specs"),
    builders.operation("set_rules", 1),
]


def nested_list(levels, value=1):
    for _ in range(levels):
        value = [value]
    return value


def apply_document(document):
    current = builders.guild_configuration()
    entry = models.LogEntry(2, 2000, document)
    return acceptance.accept(current, entry)


def put_service(**changes):
    value = builders.service("glue-desk") | changes
    return builders.patch(1, builders.operation("put_service", value))


@pytest.mark.parametrize(
    ("document", "path"),
    [
        (builders.patch(2**70, builders.operation("set_rules", 1)), "/base"),
        (
            builders.patch(1, builders.operation("set_rules", 10**5000)),
            "/operations/0/value",
        ),
        (put_service(slots=-(10**5000)), "/operations/0/value/slots"),
        (
            put_service(connect_ms=float("nan")),
            "/operations/0/value/connect_ms",
        ),
        (put_service(slots=12.0), "/operations/0/value/slots"),
        (put_service(name="glue\n"), "/operations/0/value/name"),
        (put_service(name="\ud800"), "/operations/0/value/name"),
        (put_service(name=b"glue"), "/operations/0/value/name"),
        ({1: "x"}, "/"),
    ],
)
def test_unserializable_value_is_malformed(document, path):
    """R3: guards against one log entry that stops every node.

    Each of these values once raised from accept(), or was accepted although
    it cannot be serialized or hashed, or is not handled alike on all nodes.
    """
    rejection = apply_document(document).error
    assert rejection.kind == "malformed"
    assert rejection.problems[0].path == path


@pytest.mark.parametrize(
    "document",
    [
        nested_list(990),
        {"id": nested_list(990), "base": 1, "operations": []},
        {"id": 10**5000, "base": 1, "operations": []},
        builders.patch(1, builders.operation("put_service", nested_list(990))),
    ],
)
def test_deep_nesting_is_malformed(document):
    """R3: guards against a verdict that depends on the stack depth."""
    assert apply_document(document).error.kind == "malformed"


def test_all_mistakes_are_reported_at_once():
    """Guards against a check that stops at the first problem."""
    problems = schemas.check("settings", {"host_id": 1, "unknown": 2})
    paths = [problem.path for problem in problems]
    assert "/host_id" in paths
    assert len(problems) > 9
    assert any("'unknown'" in problem.message for problem in problems)


def test_values_within_the_limits_are_accepted():
    """Guards against limits that reject an ordinary patch."""
    assert apply_document(put_service(connect_ms=0.5, ramp_seconds=3)).is_ok()


@pytest.mark.parametrize("name", SCHEMAS)
def test_schema_is_valid(name):
    """Guards against an invalid schema, which would accept everything."""
    schema = schemas.load_validator(name).schema
    jsonschema.Draft202012Validator.check_schema(schema)
    assert schema["additionalProperties"] is False


@hypothesis.given(
    operation=strategies.sampled_from(OPERATIONS),
    field=strategies.sampled_from(
        ["op", "value", "name", "methods", "slots", "path_prefix"]
    ),
    value=LEAVES | VALUES,
    extra=VALUES,
)
@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
def test_any_document_gets_a_verdict(operation, field, value, extra):
    """R3: guards against a document that raises instead of being rejected."""
    changed = dict(operation)
    if field in changed:
        changed[field] = value
    elif isinstance(changed["value"], dict):
        changed["value"] = changed["value"] | {field: value}
    for document in (extra, builders.patch(1, operation, changed)):
        verdict = apply_document(document)
        if verdict.is_error():
            assert verdict.error.problems
            assert all(str(item) for item in verdict.error.problems)
        else:
            assert verdict.ok.version == 2
            assert acceptance.digest_of(verdict.ok) == verdict.ok.digest
