"""Tests of entries in the store that were written by mistake."""

import base64
import json

import hypothesis
from hypothesis import strategies
import pytest

from hickorythread.mesh import interfaces
from hickorythread.mesh import view as mesh_view
from hickorythread.platform import documents
from hickorythread.platform import store
from tests import mesh_builders as build
from tools.loopback import store_standin

FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "concurrency",
    "phase",
    "warmup_left_ms",
    "seq",
    "born",
)
ODD_VALUES = (
    None,
    True,
    "",
    "\ud800",
    "x" * 100_000,
    "a\x00b",
    -1,
    0,
    1 << 63,
    1 << 64,
    10**400,
    1.5,
    1e308,
    [],
    ["ready"],
    {},
    {"ready": 1},
)
ODD_ADDRESSES = (
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:99999999999999999999",
    "10.0.0.9:-1",
    "10.0.0.9:²",
    "10.0.0.9:",
    "10.0.0.9",
    ":80",
    "10.0.0.999:80",
    "10.0.0.9 :80",
    "a\x00b:80",
    ".." + "a" * 70 + ":80",
    "target.example:80",
)
ODD_BYTES = (
    b"",
    b"\xff\xfe",
    b"{",
    b"null",
    b"[" * 200_000,
    b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    b'{"concurrency": ' + b"9" * 5_000 + b"}",
    b'{"concurrency": Infinity}',
    b'{"warmup_left_ms": NaN}',
)
json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=12),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=6), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def odd_documents():
    """Return encoded entries, each odd in one way."""
    changes = [{field: value} for field in FIELDS for value in ODD_VALUES]
    changes += [{"address": address} for address in ODD_ADDRESSES]
    encoded = [
        json.dumps(build.make_entry_document(**values)).encode()
        for values in changes
    ]
    return [*encoded, *ODD_BYTES]


def decode(data):
    """Decode an entry; return its target, None if it is rejected."""
    text = base64.b64encode(data).decode()
    try:
        document = documents.decode_value(text)
        return documents.decode_target("odd", document, build.REGIONS)
    except documents.DocumentError:
        return None


def use(target):
    """Do with a target what a node does with those of the source."""
    view = build.make_view()
    view.put_target(target)
    plane = build.make_entry(view)
    plane.request(build.make_request(), 0.0)
    assert view.pack_targets() and target.host_id
    build.make_execution(view).view_changed(False, 0.0)


@pytest.mark.parametrize("data", odd_documents())
def test_odd_entry_is_rejected_or_harmless(data):
    """Guards against a process that ends at an entry of another writer."""
    target = decode(data)
    if target is not None:
        use(target)


@hypothesis.given(strategies.sampled_from(FIELDS), json_values)
def test_any_value_of_any_field_is_rejected_or_harmless(field, value):
    document = build.make_entry_document(**{field: value})
    target = decode(json.dumps(document).encode())
    if target is not None:
        use(target)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_address_to_which_nobody_can_connect_names_no_target(address):
    document = build.make_entry_document(address=address)
    assert decode(json.dumps(document).encode()) is None


def test_odd_entries_do_not_keep_the_others_from_being_followed():
    """Guards against a reader that stops at another writer's entry."""
    standin = store_standin.Store()
    try:
        client = store.StoreClient(standin.address, build.REGIONS)
        odd = odd_documents()
        for number, data in enumerate(odd):
            standin.put_bytes(f"servers/odd-{number:03}", data)
        good = json.dumps(build.make_entry_document(address="10.0.0.8:80"))
        standin.put_bytes("servers/a", good.encode())
        view = mesh_view.View()
        batch = client.read(interfaces.TARGETS).ok
        view.apply_targets(batch, True, 0.0)
        standin.put_bytes("servers/odd-000", odd[-1])
        standin.put_bytes("servers/z", good.encode())
        batch = client.watch(interfaces.TARGETS, batch.revision, 0.0).ok
        view.apply_targets(batch, False, 0.0)
        assert {"a", "z"} <= view.targets.keys()
        assert batch.revision == standin.revision
        assert view.pack_targets()
    finally:
        standin.close()


def odd_configurations():
    """Return configurations with one odd value each."""
    for value in ODD_VALUES:
        for name in ("version", "services", "limits", "hosts"):
            yield build.make_configuration_document() | {name: value}
        for place in ("limits", "services", "paths"):
            names = {
                "limits": ("idle_timeout_ms", "max_body_bytes"),
                "services": ("name", "max_conns", "warmup_s"),
                "paths": ("name", "timeout_ms", "slo_ms", "attempts", "type")
                + ("split", "allowed_regions", "priority"),
            }[place]
            for name in names:
                document = build.make_configuration_document()
                part = {
                    "limits": document["limits"],
                    "services": document["services"][0],
                    "paths": document["hosts"][0]["paths"][0],
                }[place]
                part[name] = value
                yield document


def test_odd_configuration_is_rejected_or_can_be_put_in_force():
    """Guards against a process that ends at a document of the operator."""
    accepted = 0
    for document in odd_configurations():
        text = base64.b64encode(json.dumps(document).encode()).decode()
        try:
            decoded = documents.decode_value(text)
            configuration = documents.decode_configuration(decoded)
        except documents.DocumentError:
            continue
        accepted += 1
        view = build.make_view()
        if view.put_configuration(configuration):
            assert view.versions.pack_difference(0)
        plane = build.make_entry(view)
        plane.request(build.make_request(), 0.0)
    assert accepted


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 200_000,
        b'{"items": [null], "has_more": false, "store_revision": 3}',
        b'{"items": [{"key": 4}], "store_revision": 3}',
        b'{"items": {}, "store_revision": 3}',
        b'{"items": [], "store_revision": "3"}',
        b'{"items": [], "store_revision": ' + b"9" * 30 + b"}",
        b'{"items": [{"key": "servers/a", "value": []}], "store_revision": 3}',
    ],
)
@pytest.mark.parametrize("topic", [interfaces.TARGETS, interfaces.OPERATOR])
def test_odd_answer_of_the_store_is_an_error_or_read(monkeypatch, body, topic):
    """Guards against a process that ends at an answer of the store."""
    standin = store_standin.Store()
    try:
        client = store.StoreClient(standin.address, build.REGIONS)
        answer = json.loads(body) if len(body) < 100_000 else None
        monkeypatch.setattr(standin, "list", lambda prefix, after: answer)
        monkeypatch.setattr(
            standin, "watch", lambda prefix, after, wait: answer or {}
        )
        for result in (client.read(topic), client.watch(topic, 1, 0.0)):
            if result.is_error():
                assert result.error.kind in ("malformed", "history")
            else:
                view = build.make_view()
                view.apply_targets(result.ok, True, 0.0)
                assert view.pack_targets()
    finally:
        standin.close()


def test_entry_of_an_unknown_service_hides_no_target():
    """Guards against a target whose address another writer has used."""
    view = build.make_view(targets=2)
    view.put_target(
        build.make_target(
            1, id="odd", service="not-configured", started_at_ms=99
        )
    )
    targets = view.by_service["spec-desk"]
    assert sorted(target.id for target in targets) == ["t1", "t2"]


def test_service_that_is_configured_later_has_its_targets():
    view = build.make_view(targets=2)
    late = build.make_target(3, service="late")
    view.put_target(late)
    assert view.by_service.get("late") is None
    services = build.make_configuration().services
    services |= {"late": services["spec-desk"]}
    view.put_configuration(build.make_configuration(2, services=services))
    assert view.by_service["late"] == [late]


@pytest.mark.parametrize("host", [None, 5, "", ["a.example"]])
def test_configuration_with_a_host_that_is_no_text_is_refused(host):
    """Guards against a version that is known and can't route."""
    document = build.make_configuration_document()
    document["hosts"][0]["host"] = host
    with pytest.raises(documents.DocumentError):
        documents.decode_configuration(document)
