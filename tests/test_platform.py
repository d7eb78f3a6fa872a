"""Tests of the platform adapter: headers, documents and the store."""

import base64
import errno
import json
import pathlib
import queue
import re
import socket

import pytest

from hickorythread.mesh import events
from hickorythread.mesh import interfaces
from hickorythread.mesh import settings
from hickorythread.mesh import view as mesh_view
from hickorythread.platform import documents
from hickorythread.platform import headers
from hickorythread.platform import settings as platform_settings
from hickorythread.platform import store
from tests import mesh_builders as build
from tests import servers
from tools.loopback import store_standin

ROOT = pathlib.Path(__file__).resolve().parent.parent
WIRE_NAMES = re.compile(
    r"Hickorythread-[A-Z]|/-/kv-|warmup_left_ms|slo_ms|HICKORYTHREAD_BOOT"
)


def test_configuration_is_decoded_into_named_fields():
    configuration = documents.decode_configuration(
        build.make_configuration_document()
    )
    one, two = configuration.routes
    assert (one.idempotent, one.timeout, one.objective) == (False, 1.2, 0.6)
    assert one.home_regions == ["north"] and two.home_regions == []
    assert two.destinations == [("spec-desk", 90.0), ("other", 10.0)]
    assert configuration.services["spec-desk"].warmup_rate == 16.0
    assert configuration.limits.idle_time == 15.0


def test_target_is_decoded_into_named_fields():
    target = documents.decode_target(
        "i-1", build.make_entry_document(), build.REGIONS
    )
    assert (target.host_id, target.slots, target.draining) == (
        "10.0.0.1",
        12,
        False,
    )
    assert target.warmup_seconds == 1.5
    assert target.started_at_ms == 1790000000000


@pytest.mark.parametrize(
    "values",
    [
        {"phase": "sleeping"},
        {"phase": 1},
        {"zone": "nowhere"},
        {"address": "nowhere"},
        {"address": None},
        {"address": "10.0.0.1:²"},
        {"service": ""},
        {"concurrency": "12"},
        {"concurrency": 0},
        {"concurrency": True},
        {"warmup_left_ms": -1},
        {"born": 1.5},
    ],
)
def test_entry_of_another_writer_names_no_target(values):
    """Guards against traffic to the address in a forged entry."""
    with pytest.raises(documents.DocumentError):
        documents.decode_target(
            "i-1", build.make_entry_document(**values), build.REGIONS
        )


@pytest.mark.parametrize("field", ["service", "address", "zone", "phase"])
def test_entry_without_a_field_names_no_target(field):
    document = build.make_entry_document()
    del document[field]
    with pytest.raises(documents.DocumentError):
        documents.decode_target("i-1", document, build.REGIONS)


@pytest.mark.parametrize("data", ["*", None, "bm90IGpzb24=", 7])
def test_unreadable_value_is_an_error(data):
    with pytest.raises(documents.DocumentError):
        documents.decode_value(data)


@pytest.fixture
def standin():
    store_server = store_standin.Store()
    yield store_server
    store_server.close()


def make_client(standin):
    return store.StoreClient(standin.address, build.REGIONS)


def test_pages_are_read_to_the_end_and_bad_entries_left_out(standin):
    for number in range(8):
        standin.put(f"servers/i-{number}", build.make_entry_document())
    standin.put_bytes("servers/i-9", b"\xff")
    batch = make_client(standin).read(interfaces.TARGETS).ok
    puts = [
        change
        for change in batch.changes
        if isinstance(change, interfaces.PutTarget)
    ]
    assert len(puts) == 8
    assert batch.revision == standin.revision


def test_watch_returns_what_changed_after_the_first_page(standin):
    """Guards against losing a change made between two pages."""
    standin.put("servers/i-1", build.make_entry_document())
    client = make_client(standin)
    revision = client.read(interfaces.TARGETS).ok.revision
    standin.put("servers/i-2", build.make_entry_document(phase="draining"))
    standin.delete("servers/i-1")
    batch = client.watch(interfaces.TARGETS, revision, 1.0).ok
    put, removed = batch.changes
    assert put.target.draining and removed.target_id == "i-1"
    assert batch.revision == standin.revision


def test_entry_that_becomes_unreadable_is_removed(standin):
    standin.put("servers/i-1", build.make_entry_document())
    client = make_client(standin)
    revision = client.read(interfaces.TARGETS).ok.revision
    standin.put_bytes("servers/i-1", b"{")
    (change,) = client.watch(interfaces.TARGETS, revision, 1.0).ok.changes
    assert isinstance(change, interfaces.RemoveTarget)


def test_lost_history_and_outages_are_told_apart(standin):
    client = make_client(standin)
    revision = client.read(interfaces.OPERATOR).ok.revision
    standin.put("op/config", build.make_configuration_document())
    standin.compact()
    failure = client.watch(interfaces.OPERATOR, revision, 1.0).error
    assert failure.kind == interfaces.HISTORY_UNAVAILABLE
    for status, kind in ((429, "rate"), (503, "refused")):
        standin.error_status = status
        assert client.read(interfaces.OPERATOR).error.kind == kind
    standin.close()
    for session in client.sessions.values():
        session.close()
    assert client.read(interfaces.OPERATOR).error.kind == "unreachable"


def test_missing_descriptor_is_told_apart_from_an_outage(standin, monkeypatch):
    """Guards against a search for a store that is down although it is not."""
    client = make_client(standin)
    monkeypatch.setattr(socket, "socket", fail_without_descriptor)
    failure = client.read(interfaces.OPERATOR).error
    assert failure.kind == interfaces.NO_DESCRIPTOR


def fail_without_descriptor(*arguments, **options):
    raise OSError(errno.EMFILE, "Too many open files")


def test_operator_topic_holds_configuration_and_evacuations(standin):
    standin.put("op/config", build.make_configuration_document(9))
    standin.put("op/evacuate/hobart", {})
    client = make_client(standin)
    batch = client.read(interfaces.OPERATOR).ok
    kinds = {type(change) for change in batch.changes}
    assert kinds == {interfaces.PutConfiguration, interfaces.SetEvacuated}
    standin.delete("op/evacuate/hobart")
    (change,) = client.watch(
        interfaces.OPERATOR, batch.revision, 1.0
    ).ok.changes
    assert (change.failure_domain, change.evacuated) == ("hobart", False)


def make_environ(fields):
    return {
        "headers_raw": fields,
        "REQUEST_METHOD": "GET",
        "HTTP_HOST": "a.example",
        "hickorythread.path": "/one/x?y=1",
    }


def test_request_headers_are_read_and_set_by_the_system():
    """Guards against clients that forge the caller's service or the target."""
    translator = headers.Headers()
    request = translator.read_request(
        1,
        make_environ(
            [
                ("Host", "a.example"),
                ("Hickorythread-Attempt-Id", "abc"),
                ("Hickorythread-Deadline-Ms", "1500"),
                ("Hickorythread-Caller-Service", "forged"),
                ("Hickorythread-Expect-Instance", "forged"),
                ("Connection", "keep-alive, X-Hop"),
                ("X-Hop", "1"),
                ("X-Kept", "1"),
            ]
        ),
        b"",
        0.0,
    )
    assert request.request_id == "abc" and request.remaining == 1.5
    call = build.make_call(headers=request.headers, caller_service="mine")
    lines = translator.target_headers(call, "i-1", 0.75)
    assert lines == [
        "Host: a.example",
        "Hickorythread-Attempt-Id: abc",
        "X-Kept: 1",
        "Hickorythread-Deadline-Ms: 750",
        "Hickorythread-Caller-Service: mine",
        "Hickorythread-Expect-Instance: i-1",
    ]


def test_answer_tells_whether_it_ran():
    translator = headers.Headers()
    rejected = translator.read_response(
        503, [["Hickorythread-Not-Executed", "1"]], b""
    )
    assert rejected.not_run
    assert translator.read_response(421, [], b"").not_run
    assert not translator.read_response(503, [], b"").not_run
    probe = translator.read_response(
        200,
        [
            ["Hickorythread-Instance-Id", "i-1"],
            ["Hickorythread-Warmup-Ms", "1500"],
        ],
        b"",
    )
    assert (probe.instance, probe.warmup) == ("i-1", 1.5)


def test_answer_names_a_limit_and_the_end_of_its_target():
    """Guards against a limit that is misread, or ended by a bad value."""

    def read(*values):
        fields = [["Server-Limit", value] for value in values]
        response = headers.Headers().read_response(200, fields, b"")
        return response.rate_limit, bool(response.unreadable)

    assert read() == (None, False)
    assert read("8.8") == (8.8, False)
    assert read("0") == (0.0, False)
    assert read("8", "8") == (8.0, False)
    assert read("4.3333333333333333") == (13 / 3, False)
    for value in ("", "-1", "nan", "1e9", "²", "8,9", "9" * 400, "0x8"):
        assert read(value) == (None, True), value
    assert read("8", "9") == (None, True)
    for value, leaving in (("1", True), ("0", False), ("yes", False)):
        response = headers.Headers().read_response(
            200, [["server-leaving", value]], b""
        )
        assert response.leaving == leaving


def test_answer_to_another_attempt_is_not_taken():
    """Guards against a late second response on a kept connection."""
    translator = headers.Headers()
    call = build.make_call(request_id="abc")
    mine = [["Hickorythread-Attempt-Id", "abc"]]
    other = [["Hickorythread-Attempt-Id", "abd"]]
    assert translator.matches_call(call, mine)
    assert not translator.matches_call(call, other)
    assert not translator.matches_call(call, [])


def test_retry_after_has_fractions():
    translator = headers.Headers()
    response = events.Response(503, [], b"", "busy", 0.25)
    assert ("Retry-After", "0.250") in translator.response_headers(response)


def test_template_renders_valid_settings():
    """Guards against a settings template that fails validation."""
    text = (ROOT / "deploy" / "sidecar.json.tmpl").read_text("utf-8")
    values = {
        "node_name": "sidecar-1",
        "ip": "10.1.0.41",
        "zone": "launceston",
        "zones|json": '{"launceston": "north-tas"}',
        "service": "huvo11a",
        "app_addr": "10.1.0.41:8628",
        "listen.outbound": "10.1.0.41:8629",
        "listen.readiness": "10.1.0.41:8625",
        "port_range.0": "7600",
        "port_range.1": "7615",
        "platform.address": "10.200.1.7:8627",
        "bounds.grace_s": "6",
        "bounds.retry_ratio": "0.2",
        "bounds.retry_slack": "60",
        "bounds.retry_window_s": "10",
        "bounds.warmup_overage": "1.5",
        "bounds.warmup_slack": "5",
        "bounds.drain_ms": "2000",
        "limits.memory_mb": "300",
        "bounds|json": '{"drain_ms": 2000}',
    }
    rendered = re.sub(r"\{\{(.*?)\}\}", lambda m: values[m[1]], text)
    document = platform_settings.translate(json.loads(rendered))
    result = settings.Settings.from_config(document)
    assert result.is_ok() and result.ok.region == "north-tas"


def test_names_of_the_platform_stay_in_its_folder():
    """Guards against using the platform's names outside its adapter."""
    package = ROOT / "src" / "hickorythread"
    found = [
        str(path.relative_to(package))
        for path in package.rglob("*.py")
        if "platform" not in path.parts[-2:-1]
        and WIRE_NAMES.search(path.read_text("utf-8"))
    ]
    assert found == []


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"


@pytest.mark.parametrize("start", [b"", HEAD, HEAD + b'{"events": ['])
@pytest.mark.parametrize("topic", [interfaces.OPERATOR, interfaces.TARGETS])
def test_store_that_drips_is_given_up(monkeypatch, start, topic):
    """Guards against a watch that never completes the line it began."""
    monkeypatch.setattr(store, "WATCH_MARGIN_SECONDS", 0.1)
    monkeypatch.setattr(store, "READ_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(store, "TRANSFER_SECONDS", 0.1)
    drips = queue.Queue()
    scripts = [servers.drip(start, b" ", drips) for _ in range(2)]
    with servers.ScriptedServer(*scripts) as server:
        client = store.StoreClient(server.address, build.REGIONS)
        assert client.read(topic).error.kind == "unreachable"
        assert client.watch(topic, 1, 0.1).error.kind == "unreachable"
        for _ in scripts:
            assert drips.get(timeout=10) < servers.MAX_DRIPS


def test_quiet_watch_is_not_given_up(standin, monkeypatch):
    """Guards against ending a watch that has nothing to tell yet."""
    monkeypatch.setattr(store, "TRANSFER_SECONDS", 0.0)
    client = make_client(standin)
    revision = client.read(interfaces.TARGETS).ok.revision
    assert client.watch(interfaces.TARGETS, revision, 0.5).ok.changes == []


def json_response(document):
    return servers.response(json.dumps(document).encode())


def make_item(number, revision):
    data = base64.b64encode(json.dumps(build.make_entry_document()).encode())
    return {
        "key": f"servers/i-{number}",
        "value": data.decode(),
        "rev": revision,
    }


def test_second_copy_of_a_response_brings_no_target_back():
    """Guards against a target that left and is used again.

    The store answers a watch, then repeats that answer on the connection that
    already carries the next watch.
    """
    old = json_response({"events": [make_item(1, 5)], "store_revision": 5})
    removal = {"key": "servers/i-1", "rev": 6, "deleted": True}
    removed = json_response({"events": [removal], "store_revision": 6})
    script = servers.respond(old, removed, old)
    with servers.ScriptedServer(script) as server:
        client = store.StoreClient(server.address, build.REGIONS)
        view = mesh_view.View()
        revision = 4
        for _ in range(3):
            batch = client.watch(interfaces.TARGETS, revision, 0.1).ok
            for change in batch.changes:
                if isinstance(change, interfaces.PutTarget):
                    view.put_target(change.target)
                else:
                    view.remove_targets([change.target_id], 0.0)
            revision = batch.revision
        assert not view.targets and revision == 6


def test_older_list_brings_no_target_back():
    """Guards against a stale list that arrives after a newer one."""
    view = build.make_view(targets=3)
    two = {f"t{number}": build.make_target(number) for number in (1, 2)}
    view.replace_targets(two, build.make_position(9), 0.0)
    three = two | {"t3": build.make_target(3)}
    view.replace_targets(three, build.make_position(8), 0.0)
    assert sorted(view.targets) == ["t1", "t2"]


@pytest.mark.parametrize("wait, kept", [(0.0, 0), (5.0, 1)])
def test_watch_that_does_not_wait_keeps_no_connection(wait, kept):
    """Guards against descriptors that checks of the source hold for good."""
    answer = servers.response(b'{"events": [], "store_revision": 7}')
    with servers.ScriptedServer(servers.respond(answer)) as server:
        client = store.StoreClient(server.address, build.REGIONS)
        assert client.watch(interfaces.TARGETS, 7, wait).is_ok()
        assert len(client.sessions[interfaces.TARGETS].idle) == kept
