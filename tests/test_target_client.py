"""Tests of the client of the local target against scripted servers."""

import queue
import select
import socket
import struct

import pytest

from hickorythread import connection_reader
from hickorythread import utils
from hickorythread.mesh import events
from hickorythread.mesh import target_client
from hickorythread.platform import headers
from tests import mesh_builders as build
from tests import servers

SIGNATURE = b"Hickorythread-Server-Stamp: s\r\n"
ID = b"Hickorythread-Attempt-Id: r1\r\n" + SIGNATURE


def make_client(server):
    clock = utils.SystemClock()
    return target_client.TargetClient(server.address, headers.Headers(), clock)


def make_run(run_id=1, seconds=5.0, **values):
    call = build.make_call(**({"request_id": "r1"} | values))
    deadline = utils.SystemClock().monotonic() + seconds
    return events.Run(run_id, call, "t1", deadline)


def response(body, id_line=ID, head=b""):
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 200 OK\r\n" + id_line + head + length + b"\r\n" + body


def test_late_second_answer_is_skipped():
    """Guards against returning the response to an earlier request."""
    earlier = response(b"old", b"Hickorythread-Attempt-Id: r0\r\n")
    with servers.ScriptedServer(
        servers.respond(earlier + response(b"new"))
    ) as server:
        answer = make_client(server).run(make_run())
    assert answer.body == b"new"


def test_bytes_after_an_answer_end_the_connection():
    with servers.ScriptedServer(
        servers.respond(response(b"one") + b"junk"),
        servers.respond(response(b"two")),
    ) as server:
        client = make_client(server)
        assert client.run(make_run(1)).body == b"one"
        assert client.run(make_run(2)).body == b"two"
        assert server.accepted == 2


REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    + ID
    + b"Hickorythread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


def test_copy_of_a_refusal_is_not_the_response_to_a_retry():
    """Guards against "not run" for a request that the target runs.

    A second copy of the refusal arrives after the same request id has been
    sent again.
    """
    with servers.ScriptedServer(
        servers.respond(REFUSAL, REFUSAL + response(b"ran")),
        servers.respond(response(b"ran")),
    ) as server:
        client = make_client(server)
        assert client.run(make_run(1)).not_run
        answer = client.run(make_run(2))
        assert (answer.status, answer.body) == (200, b"ran")


def test_values_of_keep_alive_never_lose_a_response():
    """Guards against a whole response that counts as lost."""
    for value in ("²", "-1", "", "9" * 5000, "5;x", "1.5", "timeout=", "x"):
        fields = f"Keep-Alive: timeout={value}\r\n".encode("latin-1")
        with servers.ScriptedServer(
            servers.respond(response(b"whole", head=fields))
        ) as server:
            answer = make_client(server).run(make_run())
        assert getattr(answer, "body", None) == b"whole", value


def test_close_in_one_of_several_connection_headers_is_heeded():
    """Guards against a request on a connection that the target closes."""
    fields = b"Connection: close\r\nConnection: x-trace\r\n"
    with servers.ScriptedServer(
        servers.respond(response(b"one", head=fields))
    ) as server:
        client = make_client(server)
        assert client.run(make_run()).body == b"one"
        assert not client.idle


def test_chunk_size_is_a_plain_hexadecimal_number():
    """Guards against a body that is read differently than it was sent."""
    for size in (b"-1", b"+2", b"0x2", b"0_2", b"", b" 2", b"2 \xb2"):
        data = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
        data += size + b"\r\nab\r\n0\r\n\r\n"
        with servers.ScriptedServer(servers.respond(data)) as server:
            result = make_client(server).run(make_run())
        assert isinstance(result, events.Failure), size


def test_answer_without_an_id_is_not_passed_on():
    with servers.ScriptedServer(
        servers.respond(response(b"x", b"", b"Connection: close\r\n"))
    ) as server:
        assert make_client(server).run(make_run()).kind == "lost"


def test_body_may_end_with_its_connection():
    data = b"HTTP/1.1 200 OK\r\n" + ID + b"\r\nwhole"
    with servers.ScriptedServer(servers.respond(data)) as server:
        assert make_client(server).run(make_run()).body == b"whole"


def test_connection_that_ended_between_requests_sends_nothing():
    """Guards against full load on a target that has just restarted.

    A connection closed by the target while idle may mean a restart, so the
    request fails as stale instead of being sent over a new connection.
    """
    scripts = (servers.respond(response(b"one")),)
    with servers.ScriptedServer(*scripts) as server:
        client = make_client(server)
        assert client.run(make_run(1)).body == b"one"
        server.closed.get(timeout=10)
        select.select([client.idle[0].connection.sock], [], [], 10)
        assert client.run(make_run(2, request_id="r2")).kind == "stale"
        assert len(server.requests) == 1


def test_request_past_its_deadline_is_not_sent():
    with servers.ScriptedServer() as server:
        result = make_client(server).run(make_run(seconds=0.0))
        assert result.kind == "late"
        assert server.requests == []


def test_refused_connection_sends_nothing():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    clock = utils.SystemClock()
    client = target_client.TargetClient(address, headers.Headers(), clock)
    assert client.run(make_run()).kind == "connect"
    assert client.probe("/healthz").kind == "connect"


def test_probe_reads_instance_and_warm_up():
    fields = (
        b"Hickorythread-Instance-Id: i-1\r\nHickorythread-Warmup-Ms: 500\r\n"
    )
    with servers.ScriptedServer(
        servers.respond(response(b"", b"", fields))
    ) as server:
        answer = make_client(server).probe("/healthz")
    assert (answer.instance, answer.warmup) == ("i-1", 0.5)


def test_reset_of_a_green_socket_is_no_end_of_a_body():
    """Guards against a truncated body that looks complete.

    The sockets of eventlet return no bytes for a reset, as they do at the end
    of a stream.
    """
    import eventlet

    listener = eventlet.listen(("127.0.0.1", 0))

    def serve():
        sock, _ = listener.accept()
        sock.sendall(b"part")
        eventlet.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()

    eventlet.spawn(serve)
    sock = eventlet.connect(listener.getsockname())
    assert connection_reader.receive(sock, 100) == b"part"
    with pytest.raises(ConnectionResetError):
        connection_reader.receive(sock, 100)


STATUS = b"HTTP/1.1 200 OK\r\n" + ID

ENDLESS = {
    "head": (b"", b"a"),
    "header": (STATUS + b"X-A: ", b"a"),
    "headers": (STATUS, b"X-A: a\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body that ends with the connection": (STATUS + b"\r\n", b"a"),
    "body with a length": (
        STATUS + b"Content-Length: 100000\r\n\r\n",
        b"a",
    ),
    "chunks": (
        STATUS + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\na\r\n",
    ),
    "chunk size": (
        STATUS + b"Transfer-Encoding: chunked\r\n\r\n",
        b"0",
    ),
    "trailers": (
        STATUS + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: a\r\n",
    ),
}


@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("probe", [False, True])
def test_response_that_never_ends_is_ended_by_the_deadline(name, probe):
    """Guards against a target that holds a slot by sending byte after byte."""
    drips = queue.Queue()
    with servers.ScriptedServer(servers.drip(*ENDLESS[name], drips)) as server:
        client = make_client(server)
        if probe:
            result = client.probe("/healthz")
        else:
            result = client.run(make_run(seconds=0.3))
        assert isinstance(result, events.Failure)
        assert result.kind in ("lost", "timeout")
        assert drips.get(timeout=10) < servers.MAX_DRIPS
        assert not client.idle


FRAMINGS = {
    "length": b"Content-Length: 5\r\n\r\nwhole",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "close": b"\r\n",
}


@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_that_is_cut_anywhere_is_no_response(framing):
    """Guards against a success that was cut within its head or its body."""
    data = (
        b"HTTP/1.1 100 Continue\r\n\r\n"
        + STATUS
        + b"Hickorythread-Server-Stamp: s\r\n"
        + FRAMINGS[framing]
    )
    for end in range(len(data)):
        with servers.ScriptedServer(servers.respond(data[:end])) as server:
            result = make_client(server).run(make_run())
        assert isinstance(result, events.Failure), data[:end]


FLOOD = {
    "line": (b"", b"a" * 65_536),
    "headers": (STATUS, b"X-A: a\r\n" * 5_000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 5_000),
    "body": (STATUS + b"\r\n", b"a" * 65_536),
    "chunks": (
        STATUS + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"a" * 4096 + b"\r\n",
    ),
}


def flood(head, piece, sent):
    """Return a script that sends a piece again and again, up to 64 MB."""

    def script(server, connection):
        server.read_request(connection)
        size = 0
        try:
            connection.sendall(head)
            while size < 64_000_000:
                connection.sendall(piece)
                size += len(piece)
        except OSError:
            pass
        sent.put(size)

    return script


@pytest.mark.parametrize("name", FLOOD)
def test_response_without_end_is_refused_by_its_size(name):
    """Guards against memory that a faulty target lets grow."""
    sent = queue.Queue()
    with servers.ScriptedServer(flood(*FLOOD[name], sent)) as server:
        result = make_client(server).run(make_run(seconds=20.0))
        assert result.kind == "lost"
        assert sent.get(timeout=10) < 64_000_000
