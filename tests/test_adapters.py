"""Tests of the HTTP clients: no retries, and every response is checked."""

import json
import select
import subprocess
import sys
import threading
import time

import pytest

from hickorythread import acceptance
from hickorythread import adapters
from hickorythread import events
from hickorythread import models
from hickorythread import standins
from tests import builders
from tests import servers


def make_run(run_id=1, method="POST", path="/commissions", **changes):
    values = {
        "headers": [["Idempotency-Key", "k1"]],
        "body": b"panel",
        "deadline": time.monotonic() + 10,
    } | changes
    return events.RunOnTarget(run_id, method, path, **values)


def start_in_thread(function, *arguments):
    results = []
    thread = threading.Thread(
        target=lambda: results.append(function(*arguments)), daemon=True
    )
    thread.start()

    def join():
        thread.join(10)
        return results[0]

    return join


def test_connection_closed_while_idle_is_replaced_before_sending():
    """R9: guards against a retry after a pooled connection was closed."""
    scripts = (servers.respond(servers.response()),)
    with servers.ScriptedServer(*scripts) as server:
        client = adapters.TargetClient(server.address, 1)
        assert client.run(make_run(1)).status == 200
        server.closed.get(timeout=10)
        select.select([client._idle[0].sock], [], [], 10)
        assert client.run(make_run(2)).status == 200
        assert len(server.requests) == 2
        assert (client.dropped_idle_total, client.open) == (1, 1)


@pytest.mark.parametrize("method", ["POST", "GET"])
def test_request_on_a_connection_that_closes_is_sent_once(method):
    """R9: guards against a silent retry after bytes were sent."""
    scripts = (servers.respond(servers.response(), b""),)
    with servers.ScriptedServer(*scripts) as server:
        client = adapters.TargetClient(server.address, 4)
        client.run(make_run(1, method))
        assert client.run(make_run(2, method)).kind == "lost"
        assert len(server.requests) == 2
        assert server.accepted == 1


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno end is named",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\n folded: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 101 + b"\r\n",
        b"HTTP/1.1 200 OK\r\na: " + b"b" * 70_000 + b"\r\n\r\n",
        b"HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 11,
    ],
)
def test_response_that_is_not_whole_is_lost(data):
    """R7: guards against an incomplete response that reaches a caller."""
    with servers.ScriptedServer(servers.respond(data)) as server:
        client = adapters.TargetClient(server.address, 1)
        assert client.run(make_run()).kind == "lost"
        assert client.open == 0


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (servers.response(b""), b""),
        (servers.response(b"x" * 200_000), b"x" * 200_000),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n1\r\n!\r\n0\r\n\r\n",
            b"ok!",
        ),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + servers.response(), b"ok"),
        (servers.response(extra="Connection: close\r\n"), b"ok"),
        (servers.response(head="HTTP/1.0 200 OK"), b"ok"),
    ],
)
def test_whole_response_is_returned(data, body):
    """R7: guards against rejecting or truncating a valid response."""
    with servers.ScriptedServer(servers.respond(data)) as server:
        client = adapters.TargetClient(server.address, 1)
        assert client.run(make_run()).body == body


def test_bytes_after_a_response_never_answer_the_next_request():
    """R7: guards against a response made of surplus bytes."""
    surplus = servers.response() + servers.response(b"stray")
    scripts = (servers.respond_to_all(surplus), servers.respond_to_all())
    with servers.ScriptedServer(*scripts) as server:
        client = adapters.TargetClient(server.address, 1)
        assert client.run(make_run(1)).body == b"ok"
        assert client.run(make_run(2)).body == b"ok"
        assert server.accepted == 2


def test_refused_connection_was_not_run():
    """R8: guards against an unknown outcome for a refused connection."""
    with servers.ScriptedServer() as server:
        address = server.address
    client = adapters.TargetClient(address, 1)
    assert client.run(make_run()).kind == "connect"
    assert client.open == 0


def test_request_past_its_deadline_is_not_sent():
    """R8: guards against a paused process that sends after the deadline."""
    clock = servers.ManualClock()
    with servers.ScriptedServer() as server:
        client = adapters.TargetClient(server.address, 1, clock=clock)
        assert client.run(make_run(1, deadline=clock.now + 1)).status == 200
        clock.now += 1
        assert client.run(make_run(2, deadline=clock.now)).kind == "late"
        assert (len(server.requests), client.open) == (1, 1)


def test_deadline_is_checked_right_before_sending():
    """R8: guards against a pause between an early check and the send."""
    clock = servers.ManualClock()

    class PausingHeaders(list):
        def __iter__(self):
            clock.now += 5
            return super().__iter__()

    with servers.ScriptedServer() as server:
        client = adapters.TargetClient(server.address, 1, clock=clock)
        action = make_run(headers=PausingHeaders(), deadline=clock.now + 2)
        assert client.run(action).kind == "late"
        assert server.requests == []


def test_deadline_is_checked_after_waiting_to_connect():
    """R8: guards against sending after a wait that passed the deadline."""
    clock = servers.ManualClock()

    def oversleep(seconds):
        clock.now += 5

    with servers.ScriptedServer() as server:
        client = adapters.TargetClient(
            server.address, 2, 1000, clock, oversleep
        )
        client.close()
        assert client.run(make_run(1, deadline=clock.now + 2)).status == 200
        client.close()
        assert client.run(make_run(2, deadline=clock.now + 2)).kind == "late"
        assert len(server.requests) == 1


def test_headers_that_cannot_be_sent_are_not_sent_in_part():
    """R8: guards against an unknown outcome for a request never sent."""
    with servers.ScriptedServer() as server:
        client = adapters.TargetClient(server.address, 1)
        split_header = [["X-Note", "a\r\nX-Tenant: other"]]
        assert client.run(make_run(headers=split_header)).kind == "late"
        assert client.run(make_run(path="/a b")).kind == "late"
        assert server.requests == []


def test_new_connections_are_paced():
    """R4: guards against a burst of new connections to a target."""
    clock, slept = servers.ManualClock(), []
    with servers.ScriptedServer() as server:
        client = adapters.TargetClient(
            server.address, 9, 4, clock, slept.append
        )
        for number in range(3):
            client.run(make_run(number, deadline=clock.now + 9))
            client.close()
        late = client.run(make_run(9, deadline=clock.now + 0.012))
    assert late.kind == "late"
    assert [round(seconds, 6) for seconds in slept] == [0.004, 0.008]


def test_connections_never_exceed_the_limit():
    """R4: guards against exceeding the connection limit of a target."""
    release = threading.Event()

    def respond_on_release(server, connection):
        while server.read_request(connection):
            release.wait(10)
            connection.sendall(servers.response())

    with servers.ScriptedServer(
        respond_on_release, respond_on_release, respond_on_release
    ) as server:
        client = adapters.TargetClient(server.address, 2, 0)
        joins = [
            start_in_thread(client.run, make_run(number))
            for number in range(8)
        ]
        while len(server.requests) < 2:
            time.sleep(0.001)
        late = client.run(make_run(9, deadline=time.monotonic() + 0.01))
        release.set()
        assert [join().status for join in joins] == [200] * 8
        assert late.kind == "late"
        assert (server.accepted, client.open) == (2, 2)
        client.set_limits(1, 0)
        assert client.open == 1


def test_silent_target_times_out():
    """R8: guards against the outcome not-run after the request was sent."""
    clock = servers.ManualClock()
    received, done = threading.Event(), threading.Event()

    def silent(server, connection):
        server.read_request(connection)
        received.set()
        done.wait(10)

    with servers.ScriptedServer(silent) as server:
        client = adapters.TargetClient(server.address, 1, clock=clock)
        result = client.run(make_run(deadline=clock.now + 0.05))
        assert received.wait(10)
        done.set()
        assert (result.kind, len(server.requests)) == ("timeout", 1)


def test_trickling_target_is_broken_at_the_deadline():
    """R7: guards against an endless response that occupies a connection."""
    clock, sent = servers.ManualClock(), threading.Event()

    def trickle(server, connection):
        server.read_request(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Le")
        sent.set()
        connection.recv(1)

    with servers.ScriptedServer(trickle) as server:
        client = adapters.TargetClient(server.address, 1, clock=clock)
        join = start_in_thread(client.run, make_run(deadline=clock.now + 30))
        assert sent.wait(10)
        assert client.expire(clock.now + 30) == 0
        assert client.expire(clock.now + 31) == 1
        assert join().kind == "timeout"


@pytest.mark.parametrize("connections", [1, 2])
def test_cancelled_request_may_have_run(connections):
    """R8: guards against the outcome not-run for a cancelled request."""
    with servers.serving(lambda: standins.Target(warm_seconds=0)) as (
        target,
        address,
    ):
        client = adapters.TargetClient(address, connections)
        join = start_in_thread(
            client.run, make_run(7, path="/kilns?work_ms=9000")
        )
        while not target.records:
            time.sleep(0.001)
        client.cancel(events.CancelOnTarget(7))
        assert join().kind == "cancelled"
        assert client.open == (connections if connections > 1 else 0)
        if connections > 1:
            assert target.records[0]["outcome"] == "cancelled"


def test_failed_cancellation_breaks_no_later_request():
    """R7: guards against closing a connection that a later run uses.

    The cancellation fails after its run has ended and released the
    connection.
    """
    may_answer, second_received, done = (threading.Event() for _ in range(3))

    def work(server, connection):
        server.read_request(connection)
        may_answer.wait(10)
        connection.sendall(servers.response())
        server.read_request(connection)
        second_received.set()
        done.wait(10)
        connection.sendall(servers.response())

    def reject_cancellation(server, connection):
        server.read_request(connection)
        may_answer.set()
        second_received.wait(10)
        connection.sendall(servers.response(head="HTTP/1.1 404 Not Found"))

    with servers.ScriptedServer(work, reject_cancellation) as server:
        client = adapters.TargetClient(server.address, 2, 0)
        first = start_in_thread(client.run, make_run(1))
        while not server.requests:
            time.sleep(0.001)
        cancelled = start_in_thread(client.cancel, events.CancelOnTarget(1))
        assert first().status == 200
        later = start_in_thread(client.run, make_run(2))
        cancelled()
        done.set()
        assert later().status == 200


def test_head_names_deadline_and_drops_connection_headers():
    """R8: guards against a caller that overrides the target's deadline."""
    clock = servers.ManualClock()
    headers = [
        ["X-Deadline-Unix-Ms", "1"],
        ["Transfer-Encoding", "chunked"],
        ["Connection", "X-Tenant"],
        ["X-Cancel", "other"],
        ["X-Tenant", "builders"],
    ]
    with servers.ScriptedServer() as server:
        client = adapters.TargetClient(server.address, 1, clock=clock)
        client.run(make_run(headers=headers, deadline=clock.now + 2))
        head, _, body = server.requests[0].partition(b"\r\n\r\n")
    lines = [line.lower() for line in head.decode().split("\r\n")]
    deadline_ms = int((clock.wall() + 2) * 1000)
    assert f"x-deadline-unix-ms: {deadline_ms}" in lines
    assert "x-tenant: builders" in lines
    assert len([line for line in lines if line.startswith("x-")]) == 3
    assert not any("chunked" in line for line in lines)
    assert body == b"panel"


PATCHED = """
import eventlet
eventlet.monkey_patch()
import time
from hickorythread import adapters, events, standins
target = standins.Target(warm_seconds=0, work_ms=5)
target.server.start()
client = adapters.TargetClient(target.server.address, 3)
def run(number):
    deadline = time.monotonic() + 10
    return client.run(events.RunOnTarget(
        number, "POST", "/kilns", [], b"x", deadline))
results = list(eventlet.GreenPool(20).imap(run, range(20)))
assert [result.status for result in results] == [200] * 20, results
assert len(target.records) == 20 and target.server.accepted <= 3
print("done")
"""


def test_client_works_in_a_patched_process():
    """R9: guards against locks that block the process under eventlet."""
    command = [sys.executable, "-W", "ignore", "-c", PATCHED]
    done = subprocess.run(
        command, capture_output=True, timeout=60, check=False
    )
    assert done.stdout == b"done\n", done.stderr.decode()


PATCHED_TESTS = """
import eventlet
eventlet.monkey_patch()
import sys
import pytest
sys.exit(pytest.main(["tests/test_adapters.py", "-k", "not patched"]))
"""


def test_these_tests_hold_in_a_patched_process():
    """R8: guards against failures that green sockets report differently."""
    command = [sys.executable, "-W", "ignore", "-c", PATCHED_TESTS]
    done = subprocess.run(
        command, capture_output=True, timeout=120, check=False
    )
    assert done.returncode == 0, done.stdout.decode()[-2000:]


def read_from(data, log="config", after=0):
    with servers.ScriptedServer(servers.respond(data)) as server:
        client = adapters.PlatformClient(server.address)
        return client.read(events.ReadSource(log, after, 0.0))


def log_response(*entries, head=None):
    head = len(entries) if head is None else head
    document = {"head": head, "entries": list(entries)}
    return servers.response(json.dumps(document).encode())


def entry(sequence, **changes):
    base = {"sequence": sequence, "published_at_ms": 1, "patch": {}}
    return base | changes


def hosts_entry(*changes):
    return {"sequence": 1, "changes": list(changes)}


def test_entries_are_returned():
    """R12: guards against rejecting a valid response."""
    read_result = read_from(log_response(entry(1), entry(2), head=5))
    assert [item["sequence"] for item in read_result.entries] == [1, 2]
    assert (read_result.log, read_result.head) == ("config", 5)
    host = builders.host().to_document()
    change = {"op": "put", "host": host}
    read_result = read_from(log_response(hosts_entry(change)), "hosts")
    assert read_result.entries[0]["changes"] == [change]


@pytest.mark.parametrize(
    "data",
    [
        servers.response(b"no JSON"),
        servers.response(b"[" * 100_000),
        servers.response(b"[]"),
        servers.response(b'{"head": NaN, "entries": []}'),
        servers.response(b'{"head": true, "entries": []}'),
        servers.response(b'{"head": 1, "entries": {}}'),
        log_response(entry(2), entry(1)),
        log_response(entry(1), entry(3), head=3),
        log_response(entry(0)),
        log_response(entry(1), head=0),
        log_response(entry("1")),
        log_response(entry(1, published_at_ms=None)),
        log_response({"sequence": 1, "published_at_ms": 1}),
        log_response(7),
        log_response(
            entry(1, patch="x" * adapters.MAX_PLATFORM_RESPONSE_BYTES)
        ),
        servers.response(head="HTTP/1.1 404 Not Found"),
        servers.response(head="HTTP/1.1 302 Found"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{}",
    ],
)
def test_malformed_answer_is_a_failed_read(data):
    """R3: guards against entries that the platform did not publish."""
    assert read_from(data).kind == "malformed"


DEEPLY_NESTED = "[" * 700 + "]" * 700


@pytest.mark.parametrize(
    ("patch", "remainder"),
    [
        ('{"id": "p1", "base": 18446744073709551616}', {"id": "p1"}),
        ('{"id": "p1", "base": "\\ud800"}', {"id": "p1"}),
        ('{"id": "\\ud800"}', {}),
        ('{"id": "p1", "x": ' + DEEPLY_NESTED + "}", {"id": "p1"}),
        (DEEPLY_NESTED, {"id": "None"}),
    ],
)
def test_patch_that_no_message_can_hold_passes_as_malformed(patch, remainder):
    """R12: guards against a published patch that blocks the log."""
    fragments = [
        '{"head": 2, "entries": [{"sequence": 1, "published_at_ms": 1, ',
        f'"patch": {patch}}}, ',
        '{"sequence": 2, "published_at_ms": 1, "patch": {}}]}',
    ]
    text = "".join(fragments)
    read_result = read_from(servers.response(text.encode()))
    assert [item["patch"] for item in read_result.entries] == [remainder, {}]
    current = builders.guild_configuration()
    entry = models.LogEntry.from_config(read_result.entries[0])
    assert acceptance.accept(current, entry).error.kind == "malformed"


@pytest.mark.parametrize(
    "change",
    [
        None,
        {"op": "put"},
        {"op": "put", "host": {"id": "a"}},
        {"op": "put", "host": builders.host().to_document() | {"state": "x"}},
        {"op": "remove", "id": 7},
        {"op": "move", "id": "a"},
    ],
)
def test_malformed_host_change_is_a_failed_read(change):
    """R10: guards against a host list that the control plane cannot read."""
    read_result = read_from(log_response(hosts_entry(change)), "hosts")
    assert read_result.kind == "malformed"


@pytest.mark.parametrize(
    ("head", "kind"),
    [
        ("HTTP/1.1 429 Too Many Requests", "rate"),
        ("HTTP/1.1 503 Service Unavailable", "refused"),
    ],
)
def test_status_names_the_failure(head, kind):
    """R12: guards against reporting an outage as a malformed response."""
    assert read_from(servers.response(head=head)).kind == kind


def test_platform_that_refuses_or_hangs():
    """R12: guards against a reader that waits forever during an outage."""
    release = threading.Event()
    with servers.ScriptedServer(lambda *_: release.wait(10)) as server:
        client = adapters.PlatformClient(server.address, margin_seconds=0.05)
        unanswered = client.read(events.ReadSource("config", 0, 0.0))
        release.set()
    refused = client.read(events.ReadSource("config", 0, 0.0))
    assert (unanswered.kind, refused.kind) == ("timeout", "refused")


def test_checkpoint_passes_through_the_platform():
    """R1: guards against a checkpoint that breaks the digest chain."""
    current = builders.guild_configuration()
    document = acceptance.to_snapshot(current) | {"sequence": 3}
    document["note"] = "n" * adapters.MAX_VALUE_BYTES
    parts = adapters.split_checkpoint("config", "c1", document)
    assert len(parts) > 1
    with servers.serving(lambda: standins.Platform(token="t")) as (_, address):
        client = adapters.PlatformClient(address)
        action = events.ReadCheckpoint("config")
        assert client.read_checkpoint(action).document is None
        for part in reversed(parts):
            status, _ = servers.request_json(
                address,
                "POST",
                "/v1/checkpoint",
                part,
                Authorization="Bearer t",
            )
            assert status == 200
        copy = client.read_checkpoint(action).document
    assert copy == document
    assert acceptance.load_snapshot(copy).digest == current.digest


@pytest.mark.parametrize(
    "changes",
    [
        {"id": "other", "part": 1},
        {"part": 0},
        {"part": 1, "parts": 3},
        {"part": 1, "data": 7},
        {"part": 1, "data": "{"},
    ],
)
def test_mixed_checkpoint_parts_are_refused(changes):
    """R3: guards against joining the parts of different checkpoints."""
    first = {"log": "config", "id": "a", "part": 0, "parts": 2, "data": "{}"}
    responses = [
        servers.response(json.dumps(part).encode())
        for part in (first, first | changes)
    ]
    with servers.ScriptedServer(servers.respond(*responses)) as server:
        client = adapters.PlatformClient(server.address)
        read_result = client.read_checkpoint(events.ReadCheckpoint("config"))
    assert read_result.kind == "malformed"
