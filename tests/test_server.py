"""The HTTP side of a node towards callers, over sockets."""

import contextlib
import json
import queue
import random
import socket
import types

import eventlet
import pytest

from hickorythread import events
from hickorythread import exceptions
from hickorythread import http_protocol
from hickorythread import messages
from hickorythread import node
from hickorythread import server
from hickorythread import settings
from hickorythread import utils
from tests import servers

ANSWER_SECONDS = 10.0
MAX_BODY = server.MAX_BODY_BYTES


class EchoNode:
    """Answers each request with its own head and body."""

    def __init__(self, refusal=None):
        self.refusal = refusal
        self.clock = utils.SystemClock()
        self.requests = []

    def check_head(self, method, path, tenant):
        return self.refusal

    def next_request_id(self):
        return len(self.requests)

    def version(self):
        return 7

    def submit(self, request, connected):
        self.requests.append(request)
        if request.path == "/fault":
            raise ValueError("fault")
        headers = [["X-Target", request.path], ["X-Split", "a\r\nX-B: c"]]
        return events.Response(
            200, messages.COMPLETE, headers, request.body, "", 0.0, "", "h"
        )


class CallerServer:
    """Serves the caller application of a node on a free port."""

    def __init__(self, served, idle_seconds):
        self.served = served
        self.idle_seconds = idle_seconds
        self.address = ""
        self.task = None
        self.listener = None

    def start(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.task = eventlet.spawn(
            server.serve,
            self.listener,
            server.CallerApp(self.served),
            self.idle_seconds,
        )

    def stop(self):
        self.task.kill()
        self.listener.close()


class Caller:
    """Sends bytes and reads whole responses from one connection."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, ANSWER_SECONDS)
        self.data = b""

    def send(self, *pieces):
        for piece in pieces:
            data = piece.encode("latin1") if isinstance(piece, str) else piece
            self.sock.sendall(data)

    def _fill(self):
        piece = self.sock.recv(65536)
        self.data += piece
        return bool(piece)

    def response(self, head_only=False):
        """Return status, headers and body of the next response."""
        while b"\r\n\r\n" not in self.data:
            assert self._fill(), f"no response: {self.data!r}"
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin1").split("\r\n")
        headers = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in lines)
        }
        length = 0
        if not head_only:
            length = int(headers.get("content-length", 0))
        while len(self.data) < length:
            assert self._fill(), "the body is cut short"
        body, self.data = self.data[:length], self.data[length:]
        return int(first.split()[1]), headers, body

    def closed(self):
        """Return whether the server ends the connection with no more."""
        return not self.data and not self._fill()


@contextlib.contextmanager
def serving(served=None, idle_seconds=server.IDLE_SECONDS):
    served = served or EchoNode()
    with servers.serving(lambda: CallerServer(served, idle_seconds)) as made:
        caller = Caller(made[1])
        yield caller, served
        caller.sock.close()


def head(*lines, method="POST", target="/specs"):
    first = f"{method} {target} HTTP/1.1"
    return "\r\n".join([first, "Host: h", *lines, "", ""])


MALFORMED = {
    "no version": "GET /specs\r\n\r\n",
    "other version": "GET /specs HTTP/2.0\r\n\r\n",
    "lower-case method": "get /specs HTTP/1.1\r\n\r\n",
    "space in target": "GET /a b HTTP/1.1\r\n\r\n",
    "absolute target": "GET http://h/specs HTTP/1.1\r\n\r\n",
    "control in target": "GET /a\x01 HTTP/1.1\r\n\r\n",
    "empty line": "\r\nGET /specs HTTP/1.1\r\n\r\n",
    "folded header": head("X-A: 1", " folded"),
    "space before colon": head("X-A : 1"),
    "no colon": head("X-A"),
    "empty name": head(": 1"),
    "control character": head("X-A: a\x00b"),
    "bare carriage return": head("X-A: a\rb"),
    "two lengths": head("Content-Length: 1", "Content-Length: 1"),
    "two unequal lengths": head("Content-Length: 1", "Content-Length: 2"),
    "signed length": head("Content-Length: +1"),
    "length and chunks": head(
        "Content-Length: 1", "Transfer-Encoding: chunked"
    ),
    "two encodings": head(
        "Transfer-Encoding: chunked", "Transfer-Encoding: chunked"
    ),
    "other encoding": head("Transfer-Encoding: gzip, chunked"),
    "two tenants": head("X-Tenant: a", "X-Tenant: b"),
    "two keys": head("Idempotency-Key: a", "Idempotency-Key: b"),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_head_is_refused(name):
    """R7, R8: guards against a head that two readers split differently."""
    with serving() as (caller, served):
        caller.send(MALFORMED[name])
        status, headers, body = caller.response()
        assert (status, headers["x-outcome"]) == (400, "not-run")
        assert json.loads(body)["reason"] == "head"
        caller.sock.shutdown(socket.SHUT_WR)
        assert caller.closed()
        assert served.requests == []


@pytest.mark.parametrize(
    "data",
    [
        "GET /" + "a" * http_protocol.MAX_HEAD_BYTES + " HTTP/1.1\r\n\r\n",
        head("X-A: " + "a" * http_protocol.MAX_HEAD_BYTES),
        head(*["X-A: 1"] * (http_protocol.MAX_HEADERS + 1)),
    ],
    ids=["huge line", "huge header", "too many headers"],
)
def test_huge_head_is_refused(data):
    """R8: guards against a head that fills the memory of the node."""
    with serving() as (caller, served):
        caller.send(data)
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (431, "not-run")
        assert served.requests == []


@pytest.mark.parametrize(
    "data", ["", "GET /sp", head()[:-2], head("Content-Length: 9") + "abc"]
)
def test_slow_sender_is_cut(data):
    """R8: guards against endless callers and running half a request."""
    with serving(idle_seconds=0.05) as (caller, served):
        caller.send(data)
        assert caller.closed()
        assert served.requests == []


def test_chunked_body_arrives_whole():
    """R7: guards against a body that loses or keeps chunk framing."""
    with serving() as (caller, served):
        chunks = b"4\r\nabcd\r\n0002;x=y\r\nef\r\n0\r\nX-Trailer: 1\r\n\r\n"
        request = head("Transfer-Encoding: chunked").encode()
        caller.send(request + chunks + request + chunks)
        for _ in range(2):
            status, _, body = caller.response()
            assert (status, body) == (200, b"abcdef")
        assert len(served.requests) == 2


@pytest.mark.parametrize(
    "chunks",
    [
        "zz\r\nab\r\n0\r\n\r\n",
        "-1\r\nab\r\n0\r\n\r\n",
        "0x2\r\nab\r\n0\r\n\r\n",
        "2\r\nabc\r\n0\r\n\r\n",
        "2" * 2000 + "\r\n",
        "1\r\na\r\n0\r\n" + "X: 1\r\n" * 101 + "\r\n",
    ],
)
def test_malformed_chunks_are_refused(chunks):
    """R7, R8: guards against the rest of a body read as a request."""
    with serving() as (caller, served):
        caller.send(head("Transfer-Encoding: chunked"), chunks)
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (400, "not-run")
        assert headers["connection"] == "close"
        assert served.requests == []


def test_large_body_is_refused_before_it_is_sent():
    """R8: guards against reading a body only to refuse it."""
    with serving() as (caller, served):
        caller.send(head(f"Content-Length: {MAX_BODY + 1}"))
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (413, "not-run")
        assert headers["connection"] == "close"
        assert served.requests == []


def test_large_chunked_body_is_refused_and_its_answer_arrives():
    """R8: guards against a reset that destroys the answer."""
    with serving() as (caller, served):
        chunk = b"%x\r\n%s\r\n" % (65536, bytes(65536))
        caller.send(head("Transfer-Encoding: chunked"), chunk * 17)
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (413, "not-run")
        # A reset after the end of the answer breaks the sends that follow.
        assert caller.closed()
        caller.send(*[chunk] * 5)
        assert served.requests == []


def test_request_outside_home_is_refused_before_its_body():
    """R6: guards against taking in the body of a foreign request."""
    refusal = exceptions.Refusal(421, "home-region", "not here")
    with serving(EchoNode(refusal)) as (caller, served):
        # The caller withholds the body, with and without 100-continue.
        caller.send(head("Content-Length: 5", "Expect: 100-continue"))
        status, headers, body = caller.response()
        assert (status, headers["x-outcome"]) == (421, "not-run")
        assert json.loads(body)["reason"] == "home-region"
        assert headers["connection"] == "close"
        caller.sock.shutdown(socket.SHUT_WR)
        assert caller.closed()
        assert served.requests == []


def test_refused_request_with_key_is_not_called_not_run():
    """R8: guards against not-run for a key that another node may have run."""
    refusal = exceptions.Refusal(503, "draining", "leaving", 1.0)
    with serving(EchoNode(refusal)) as (caller, _):
        caller.send(head("Content-Length: 5", "Idempotency-Key: k"))
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (503, "unknown")


def test_pipelined_requests_get_their_own_answers():
    """R7: guards against answers that are swapped, merged or cut."""
    bodies = [bytes([65 + number]) * 5000 * number for number in range(12)]
    with serving() as (caller, _):
        caller.send(
            b"".join(
                head(f"Content-Length: {len(body)}", target=f"/{n}").encode()
                + body
                for n, body in enumerate(bodies)
            )
        )
        for number, body in enumerate(bodies):
            status, headers, answered = caller.response()
            assert (status, headers["x-target"]) == (200, f"/{number}")
            assert answered == body


def test_head_has_no_body_and_keeps_the_connection():
    """R7: guards against a body after HEAD that is read as an answer."""
    with serving() as (caller, _):
        caller.send(
            head("Content-Length: 2", method="HEAD") + "ab",
            head(method="GET", target="/next"),
        )
        status, headers, _ = caller.response(head_only=True)
        assert (status, headers["content-length"]) == (200, "2")
        assert caller.response()[1]["x-target"] == "/next"


def test_refused_head_request_has_no_body():
    """R7: guards against the JSON of a refusal after HEAD."""
    refusal = exceptions.Refusal(404, "no-route", "no route")
    with serving(EchoNode(refusal)) as (caller, _):
        caller.send(head(method="HEAD"))
        assert caller.response(head_only=True)[0] == 404
        caller.sock.shutdown(socket.SHUT_WR)
        assert caller.closed()


def test_caller_that_expects_continue_gets_it():
    """Guards against a caller that waits for leave to send its body."""
    with serving() as (caller, _):
        caller.send(head("Content-Length: 4", "Expect: 100-continue"))
        assert caller.response()[0] == 100
        caller.send(b"body")
        status, _, body = caller.response()
        assert (status, body) == (200, b"body")


def test_response_headers_cannot_split_a_response():
    """R7: guards against an upstream that adds headers or answers."""
    with serving() as (caller, _):
        caller.send(head())
        _, headers, _ = caller.response()
        assert "x-split" not in headers and "x-b" not in headers


def test_fault_of_the_application_is_answered_as_unknown():
    """R8: guards against a caller without an answer after a defect."""
    with serving() as (caller, _):
        caller.send(head(target="/fault"))
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (500, "unknown")


@pytest.mark.parametrize(
    ("version", "header", "kept"),
    [
        ("1.1", "X-A: 1", True),
        ("1.1", "Connection: close", False),
        ("1.0", "X-A: 1", False),
        ("1.0", "Connection: keep-alive", True),
    ],
)
def test_connection_is_kept_as_the_caller_asks(version, header, kept):
    """R7: guards against a caller that waits for the end of a connection."""
    with serving() as (caller, _):
        caller.send(f"GET /specs HTTP/{version}\r\n{header}\r\n\r\n")
        status, headers, _ = caller.response()
        assert status == 200
        assert (headers.get("connection") == "close") is not kept
        if not kept:
            assert caller.closed()


class StuckPlane:
    """An entry plane whose requests never end."""

    def __init__(self):
        self.received = queue.Queue()
        self.gone = queue.Queue()

    def check_head(self, method, path, tenant):
        return None

    def request(self, request, now):
        self.received.put(request.request_id)
        return []

    def caller_disconnected(self, request_id, now):
        self.gone.put(request_id)
        return [events.CancelUpstream(5)]


class StuckUpstream:
    """An upstream client whose cancellation never ends."""

    def __init__(self):
        self.cancelled = queue.Queue()

    def cancel(self, action):
        self.cancelled.put(action.run_id)
        eventlet.sleep(1e6)


def stuck_node():
    address = "127.0.0.1:0"
    made = node.Node(
        settings.Settings(
            "h1", "r", "d", "s", *[address] * 5, source_region="r"
        ),
        utils.SystemClock(),
        random.Random(1),
    )
    made.entry = StuckPlane()
    made.upstream = StuckUpstream()
    version = types.SimpleNamespace(version=1)
    made.control = types.SimpleNamespace(ready=True, configuration=version)
    return made


class NodeServer(CallerServer):
    """Also runs the task of the node that watches its callers."""

    def start(self):
        super().start()
        self.watch = eventlet.spawn(self.served._cancel_disconnected)

    def stop(self):
        self.watch.kill()
        super().stop()


def test_caller_that_goes_away_cancels_its_work():
    """Guards against work for nobody and a cancellation that blocks."""
    served = stuck_node()
    with servers.serving(lambda: NodeServer(served, 60.0)) as made:
        callers = [Caller(made[1]) for _ in range(3)]
        numbers = []
        for caller in callers:
            caller.send(head())
            numbers.append(served.entry.received.get(timeout=ANSWER_SECONDS))
        for caller, number in zip(callers[:2], numbers, strict=False):
            caller.sock.close()
            assert served.entry.gone.get(timeout=ANSWER_SECONDS) == number
            assert served.upstream.cancelled.get(timeout=ANSWER_SECONDS) == 5
        assert list(served.waiters) == numbers[2:]
        callers[2].sock.close()
        assert served.entry.gone.get(timeout=ANSWER_SECONDS) == numbers[2]
