"""Tests of the caller application of a node over sockets."""

import contextlib
import json
import queue
import random
import socket
import threading
import types

import eventlet
import pytest

from hickorythread import events
from hickorythread import exceptions
from hickorythread import http_protocol
from hickorythread import http_requests
from hickorythread import messages
from hickorythread import node
from hickorythread import server
from hickorythread import settings
from hickorythread import utils
from tests import servers

TIMEOUT_SECONDS = 10.0
MAX_BODY = server.MAX_BODY_BYTES


class EchoNode:
    """Responds to each request with its target and body."""

    def __init__(self, refusal=None):
        self.refusal = refusal
        self.clock = utils.SystemClock()
        self.requests = []

    def check_head(self, method, path, client_account):
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

    def __init__(self, app, options):
        self.app = app
        self.options = options
        self.address = ""
        self.task = None
        self.listener = None

    def start(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.task = eventlet.spawn(
            server.serve,
            self.listener,
            self.app,
            self.options,
        )

    def stop(self):
        self.task.kill()
        self.listener.close()


class Caller:
    """Sends raw bytes and reads whole responses on one connection."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, TIMEOUT_SECONDS)
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
        status_line, *lines = head.decode("latin1").split("\r\n")
        headers = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in lines)
        }
        length = 0
        if not head_only:
            length = int(headers.get("content-length", 0))
        while len(self.data) < length:
            assert self._fill(), "body is truncated"
        body, self.data = self.data[:length], self.data[length:]
        return int(status_line.split()[1]), headers, body

    @contextlib.contextmanager
    def dripping(self, piece):
        """Send a piece every 20 ms while the block runs."""
        done = threading.Event()

        def drip():
            with contextlib.suppress(OSError):
                while not done.wait(0.02):
                    self.sock.sendall(piece)

        thread = threading.Thread(target=drip, daemon=True)
        thread.start()
        yield
        done.set()
        thread.join(TIMEOUT_SECONDS)

    def closed(self):
        """Return whether the server closes the connection silently."""
        return not self.data and not self._fill()


@contextlib.contextmanager
def serving(app_node=None, **limits):
    app_node = app_node or EchoNode()
    options = http_protocol.ConnectionOptions(**limits)
    with servers.serving(
        lambda: CallerServer(server.CallerApp(app_node), options)
    ) as running:
        caller = Caller(running[1])
        yield caller, app_node
        caller.sock.close()


def head(*lines, method="POST", target="/specs"):
    request_line = f"{method} {target} HTTP/1.1"
    return "\r\n".join([request_line, "Host: h", *lines, "", ""])


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
    "length in other digits": head("Content-Length: \xb2"),
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
    "two client accounts": head("X-Tenant: a", "X-Tenant: b"),
    "two keys": head("Idempotency-Key: a", "Idempotency-Key: b"),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_head_is_refused(name):
    """R7, R8: guards against a head that two parsers read differently."""
    with serving() as (caller, app_node):
        caller.send(MALFORMED[name])
        status, headers, body = caller.response()
        assert (status, headers["x-outcome"]) == (400, "not-run")
        assert json.loads(body)["reason"] == "head"
        caller.sock.shutdown(socket.SHUT_WR)
        assert caller.closed()
        assert app_node.requests == []


@pytest.mark.parametrize(
    "data",
    [
        "GET /" + "a" * http_requests.MAX_HEAD_BYTES + " HTTP/1.1\r\n\r\n",
        head("X-A: " + "a" * http_requests.MAX_HEAD_BYTES),
        head(*["X-A: 1"] * (http_requests.MAX_HEADERS + 1)),
    ],
    ids=["huge line", "huge header", "too many headers"],
)
def test_huge_head_is_refused(data):
    """R8: guards against a head that exhausts the memory of the node."""
    with serving() as (caller, app_node):
        caller.send(data)
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (431, "not-run")
        assert app_node.requests == []


SLOW_REQUESTS = ["GET /sp", head()[:-2], head("Content-Length: 9") + "abc"]


def check_request_timeout(caller, app_node):
    status, headers, _ = caller.response()
    assert (status, headers["connection"]) == (408, "close")
    assert headers["x-outcome"] == "not-run"
    assert caller.closed()
    assert app_node.requests == []


@pytest.mark.parametrize("data", SLOW_REQUESTS)
def test_slow_sender_is_cut(data):
    """R8: guards against callers that never finish and incomplete requests."""
    with serving(idle_seconds=0.05) as (caller, app_node):
        caller.send(data)
        check_request_timeout(caller, app_node)


def test_idle_connection_is_closed_without_a_response():
    """Guards against a response that nobody has asked for."""
    with serving(idle_seconds=0.05) as (caller, app_node):
        assert caller.closed()


@pytest.mark.parametrize("start", ["GET /sp", "POST /specs HTTP/1.1\r\n"])
def test_request_that_drips_ends_by_its_deadline(start):
    """Guards against a request that takes forever, a byte at a time."""
    with serving(request_seconds=0.2) as (caller, app_node):
        caller.send(start)
        with caller.dripping(b"a"):
            check_request_timeout(caller, app_node)


def test_chunked_body_arrives_whole():
    """R7: guards against a body that loses data or keeps chunk framing."""
    with serving() as (caller, app_node):
        chunks = b"4\r\nabcd\r\n0002;x=y\r\nef\r\n0\r\nX-Trailer: 1\r\n\r\n"
        request = head("Transfer-Encoding: chunked").encode()
        caller.send(request + chunks + request + chunks)
        for _ in range(2):
            status, _, body = caller.response()
            assert (status, body) == (200, b"abcdef")
        assert len(app_node.requests) == 2


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
    """R7, R8: guards against parsing the rest of a body as a request."""
    with serving() as (caller, app_node):
        caller.send(head("Transfer-Encoding: chunked"), chunks)
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (400, "not-run")
        assert headers["connection"] == "close"
        assert app_node.requests == []


def test_large_body_is_refused_before_it_is_sent():
    """R8: guards against reading a body that is refused for its length."""
    with serving() as (caller, app_node):
        caller.send(head(f"Content-Length: {MAX_BODY + 1}"))
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (413, "not-run")
        assert headers["connection"] == "close"
        assert app_node.requests == []


def test_large_chunked_body_is_refused_and_its_answer_arrives():
    """R8: guards against a connection reset that discards the response."""
    with serving() as (caller, app_node):
        chunk = b"%x\r\n%s\r\n" % (65536, bytes(65536))
        caller.send(head("Transfer-Encoding: chunked"), chunk * 17)
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (413, "not-run")
        # A connection reset after the response would make these sends fail.
        assert caller.closed()
        caller.send(*[chunk] * 5)
        assert app_node.requests == []


def test_request_outside_home_is_refused_before_its_body():
    """R6: guards against reading the body of a request for another region."""
    refusal = exceptions.Refusal(421, "home-region", "not here")
    with serving(EchoNode(refusal)) as (caller, app_node):
        # The caller sends no body, since it waits for 100 Continue.
        caller.send(head("Content-Length: 5", "Expect: 100-continue"))
        status, headers, body = caller.response()
        assert (status, headers["x-outcome"]) == (421, "not-run")
        assert json.loads(body)["reason"] == "home-region"
        assert headers["connection"] == "close"
        caller.sock.shutdown(socket.SHUT_WR)
        assert caller.closed()
        assert app_node.requests == []


def test_refused_request_with_key_is_not_called_not_run():
    """R8: guards against not-run for a key whose owner may have run it."""
    refusal = exceptions.Refusal(503, "draining", "leaving", 1.0)
    with serving(EchoNode(refusal)) as (caller, _):
        caller.send(head("Content-Length: 5", "Idempotency-Key: k"))
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (503, "unknown")


def test_pipelined_requests_get_their_own_answers():
    """R7: guards against swapped, merged or truncated responses."""
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
            status, headers, response_body = caller.response()
            assert (status, headers["x-target"]) == (200, f"/{number}")
            assert response_body == body


def test_head_has_no_body_and_keeps_the_connection():
    """R7: guards against a body after HEAD that is parsed as a response."""
    with serving() as (caller, _):
        caller.send(
            head("Content-Length: 2", method="HEAD") + "ab",
            head(method="GET", target="/next"),
        )
        status, headers, _ = caller.response(head_only=True)
        assert (status, headers["content-length"]) == (200, "2")
        assert caller.response()[1]["x-target"] == "/next"


def test_refused_head_request_has_no_body():
    """R7: guards against a refusal that sends a JSON body after HEAD."""
    refusal = exceptions.Refusal(404, "no-route", "no route")
    with serving(EchoNode(refusal)) as (caller, _):
        caller.send(head(method="HEAD"))
        assert caller.response(head_only=True)[0] == 404
        caller.sock.shutdown(socket.SHUT_WR)
        assert caller.closed()


def test_caller_that_expects_continue_gets_it():
    """Guards against a caller that waits in vain for 100 Continue."""
    with serving() as (caller, _):
        caller.send(head("Content-Length: 4", "Expect: 100-continue"))
        assert caller.response()[0] == 100
        caller.send(b"body")
        status, _, body = caller.response()
        assert (status, body) == (200, b"body")


def test_response_headers_cannot_split_a_response():
    """R7: guards against a target that injects headers or responses."""
    with serving() as (caller, _):
        caller.send(head())
        _, headers, _ = caller.response()
        assert "x-split" not in headers and "x-b" not in headers


def test_fault_of_the_application_is_answered_as_unknown():
    """R8: guards against a defect that leaves a caller without a response."""
    with serving() as (caller, _):
        caller.send(head(target="/fault"))
        status, headers, _ = caller.response()
        assert (status, headers["x-outcome"]) == (500, "unknown")


@pytest.mark.parametrize(
    ("version", "header", "keep_alive"),
    [
        ("1.1", "X-A: 1", True),
        ("1.1", "Connection: close", False),
        ("1.0", "X-A: 1", False),
        ("1.0", "Connection: keep-alive", True),
    ],
)
def test_connection_is_kept_as_the_caller_asks(version, header, keep_alive):
    """R7: guards against a caller that waits for a connection to close."""
    with serving() as (caller, _):
        caller.send(f"GET /specs HTTP/{version}\r\n{header}\r\n\r\n")
        status, headers, _ = caller.response()
        assert status == 200
        assert (headers.get("connection") == "close") is not keep_alive
        if not keep_alive:
            assert caller.closed()


class BlockingEntryPlane:
    """Entry plane whose requests never complete."""

    def __init__(self):
        self.received = queue.Queue()
        self.disconnected = queue.Queue()

    def check_head(self, method, path, client_account):
        return None

    def request(self, request, now):
        self.received.put(request.request_id)
        return []

    def caller_disconnected(self, request_id, now):
        self.disconnected.put(request_id)
        return [events.CancelOnTarget(5)]


class BlockingTargetClient:
    """Target client whose cancellations never complete."""

    def __init__(self):
        self.cancelled = queue.Queue()

    def cancel(self, action):
        self.cancelled.put(action.run_id)
        eventlet.sleep(1e6)


def make_blocking_node():
    address = "127.0.0.1:0"
    blocking_node = node.Node(
        settings.Settings(
            "h1", "r", "d", "s", *[address] * 5, source_region="r"
        ),
        utils.SystemClock(),
        random.Random(1),
    )
    blocking_node.entry = BlockingEntryPlane()
    blocking_node.target_client = BlockingTargetClient()
    version = types.SimpleNamespace(version=1)
    blocking_node.control = types.SimpleNamespace(
        ready=True, configuration=version
    )
    return blocking_node


class NodeServer(CallerServer):
    """Also runs the task of the node that checks its callers."""

    def __init__(self, app_node):
        super().__init__(
            server.CallerApp(app_node), http_protocol.ConnectionOptions()
        )
        self.app_node = app_node

    def start(self):
        super().start()
        self.check_task = eventlet.spawn(self.app_node._cancel_disconnected)

    def stop(self):
        self.check_task.kill()
        super().stop()


def test_caller_that_goes_away_cancels_its_work():
    """Guards against work for a disconnected caller.

    A cancellation that blocks must not delay the check of the other callers.
    """
    app_node = make_blocking_node()
    with servers.serving(lambda: NodeServer(app_node)) as running:
        callers = [Caller(running[1]) for _ in range(3)]
        numbers = []
        for caller in callers:
            caller.send(head())
            numbers.append(
                app_node.entry.received.get(timeout=TIMEOUT_SECONDS)
            )
        for caller, number in zip(callers[:2], numbers, strict=False):
            caller.sock.close()
            assert (
                app_node.entry.disconnected.get(timeout=TIMEOUT_SECONDS)
                == number
            )
            assert (
                app_node.target_client.cancelled.get(timeout=TIMEOUT_SECONDS)
                == 5
            )
        assert list(app_node.waiters) == numbers[2:]
        callers[2].sock.close()
        assert (
            app_node.entry.disconnected.get(timeout=TIMEOUT_SECONDS)
            == numbers[2]
        )
