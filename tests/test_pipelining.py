"""Tests of requests that a client sends before it has earlier responses."""

import contextlib
import itertools
import queue
import socket
import struct
import time
import types

import eventlet
import pytest

from hickorythread import http_protocol
from hickorythread import pipelining
from hickorythread import utils
from hickorythread.mesh import events
from hickorythread.mesh import ingress
from hickorythread.platform import headers
from tests import servers
from tests import test_server


class Request:
    """Stands for a request in the queue of responses."""

    def __init__(self, size=10):
        self.size = size
        self.done = False


class ManualNode:
    """Keep the clients of requests until a test answers them by path."""

    def __init__(self):
        self.dialect = headers.Headers()
        self.clock = utils.SystemClock()
        self.view = types.SimpleNamespace(configuration=None)
        self.stopping = False
        self.numbers = itertools.count(1)
        self.clients = {}
        self.started = []
        self.gone = []

    def next_number(self):
        return next(self.numbers)

    def may_repeat(self, request):
        return request.method == "GET"

    def submit(self, request, client):
        self.clients[request.number] = client
        self.started.append(request.path)

    def client_disconnected(self, number):
        if self.clients.pop(number, None):
            self.gone.append(self.started[number - 1])

    def answer(self, path, body=b""):
        number = self.started.index(path) + 1
        response = events.Response(200, [], body or path.encode())
        self.clients.pop(number).deliver(response)


class RequestServer(test_server.CallerServer):
    """Run scripted steps within the hub of the server."""

    def __init__(self, app_node, options):
        super().__init__(ingress.RequestApp(app_node), options)
        self.app_node = app_node

    def start(self):
        super().start()
        self.steps = []
        self.stepping = eventlet.spawn(self._run_steps)

    def stop(self):
        self.stepping.kill()
        super().stop()

    def _run_steps(self):
        while True:
            while self.steps and self.steps[0]():
                self.steps.pop(0)
            eventlet.sleep(0.002)


@contextlib.contextmanager
def serving(**limits):
    node = ManualNode()
    options = http_protocol.ConnectionOptions(**limits)
    with servers.serving(lambda: RequestServer(node, options)) as running:
        caller = test_server.Caller(running[1])
        node.options = options
        yield caller, node, running[0].steps
        caller.sock.close()


def get(path):
    return test_server.head(method="GET", target=path)


def put(path, body="abc"):
    length = f"Content-Length: {len(body)}"
    return test_server.head(length, method="PUT", target=path) + body


def when_started(node, paths, action):
    """Return a step that acts once exactly these requests have started."""

    def step():
        if node.started != paths:
            return False
        action()
        return True

    return step


def test_reads_run_side_by_side_and_are_answered_in_order():
    """Guards against requests that wait for those sent before them."""
    with serving() as (caller, node, steps):
        caller.send(get("/a"), get("/b"), get("/c"))

        def answer_backwards():
            for path in ("/c", "/b", "/a"):
                node.answer(path)

        steps.append(when_started(node, ["/a", "/b", "/c"], answer_backwards))
        bodies = [caller.response()[2] for _ in range(3)]
        assert bodies == [b"/a", b"/b", b"/c"]


def test_write_starts_only_after_the_earlier_responses():
    """Guards against a write behind a response that closes the connection."""
    with serving() as (caller, node, steps):
        caller.send(get("/a"), put("/w"), get("/b"))
        steps.append(when_started(node, ["/a"], lambda: node.answer("/a")))
        assert caller.response()[2] == b"/a"
        steps.append(
            when_started(
                node,
                ["/a", "/w", "/b"],
                lambda: (node.answer("/b"), node.answer("/w")),
            )
        )
        assert [caller.response()[2] for _ in range(2)] == [b"/w", b"/b"]


def test_last_response_of_a_stopping_node_closes_the_connection():
    """Guards against accepted requests behind a response that closes."""
    with serving() as (caller, node, steps):
        caller.send(get("/a"), get("/b"))

        def stop():
            node.stopping = True
            node.answer("/a")
            eventlet.sleep(0.02)
            node.answer("/b")

        steps.append(when_started(node, ["/a", "/b"], stop))
        first, second = caller.response(), caller.response()
        assert "connection" not in first[1]
        assert (second[1]["connection"], second[2]) == ("close", b"/b")
        caller.send(get("/late"))
        assert caller.closed()
        assert node.started == ["/a", "/b"]


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("open_request", [True, False])
def test_request_that_comes_when_the_process_drains_is_refused(
    open_request, method
):
    """Guards against a request that is started, or closed without a word.

    A connection that was in use when the listeners closed brought a request
    between the last check of open requests and the exit.
    """
    with serving() as (caller, node, steps):
        caller.send(get("/a"))
        steps.append(when_started(node, ["/a"], lambda: None))
        wait_for(steps)
        if not open_request:
            steps.append(lambda: node.answer("/a") is None)
            assert caller.response()[2] == b"/a"
        node.options.draining = True
        caller.send(test_server.head(method=method, target="/b"))
        if open_request:
            time.sleep(0.1)
            steps.append(lambda: node.answer("/a") is None)
            status, response_headers, body = caller.response()
            assert body == b"/a"
            assert "connection" not in response_headers
        response = caller.response(head_only=method == "HEAD")
        assert response[0] == 503
        assert response[1]["connection"] == "close"
        assert response[1]["x-outcome"] == "not-run"
        assert caller.closed()
        assert node.started == ["/a"]


def wait_for(steps):
    """Wait until the server has run all steps."""
    for _ in range(2000):
        if not steps:
            return
        time.sleep(0.005)
    raise AssertionError("a step was not run")


def test_requests_behind_a_bad_one_are_not_read():
    with serving() as (caller, node, steps):
        caller.send(get("/a"), "GET nonsense\r\n\r\n", get("/b"))
        steps.append(when_started(node, ["/a"], lambda: node.answer("/a")))
        assert caller.response()[2] == b"/a"
        status, response_headers, _ = caller.response()
        assert (status, response_headers["connection"]) == (400, "close")
        assert caller.closed()
        assert node.started == ["/a"]


@pytest.mark.parametrize("reset", [False, True])
def test_client_that_leaves_ends_all_of_its_requests(reset):
    with serving() as (caller, node, steps):
        caller.send(get("/a"), get("/b"))
        left = eventlet.event.Event()

        def leave():
            if reset:
                caller.sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
            caller.sock.close()

        def gone():
            if sorted(node.gone) != ["/a", "/b"]:
                return False
            left.send()
            return True

        steps.append(when_started(node, ["/a", "/b"], leave))
        steps.append(gone)
        for _ in range(1000):
            if not steps:
                break
            eventlet.sleep(0.005)
        assert sorted(node.gone) == ["/a", "/b"]


def test_reading_stops_at_the_limit_and_goes_on_after_a_response():
    """Guards against a client that fills the process with requests."""
    limit = pipelining.MAX_OPEN_REQUESTS
    paths = [f"/{number}" for number in range(limit + 1)]
    with serving() as (caller, node, steps):
        caller.send(*map(get, paths))
        steps.append(
            when_started(node, paths[:limit], lambda: node.answer("/0"))
        )
        assert caller.response()[2] == b"/0"

        def answer_rest():
            for path in paths[1:]:
                node.answer(path)

        steps.append(when_started(node, paths, answer_rest))
        for path in paths[1:]:
            assert caller.response()[2] == path.encode()


def test_response_larger_than_the_socket_buffer_arrives_whole():
    """Guards against a slow reader that blocks the rest of the process."""
    body = b"x" * 4_000_000
    with serving() as (caller, node, steps):
        caller.send(get("/a"), get("/b"))

        def answer():
            node.answer("/a", body)
            node.answer("/b")

        steps.append(when_started(node, ["/a", "/b"], answer))
        assert caller.response()[2] == body
        assert caller.response()[2] == b"/b"


def test_connection_with_a_request_in_its_buffer_is_not_idle():
    """Guards against a request that is read and cut with idle connections."""
    paths = [f"/{number}" for number in range(pipelining.MAX_OPEN_REQUESTS)]
    with serving() as (caller, node, steps):
        idle = queue.Queue()

        def answer_all():
            accepted = node.clients[1].exchange.protocol.accepted
            for path in paths:
                node.answer(path)
            idle.put(accepted.table.is_idle(accepted))

        steps.append(when_started(node, paths, answer_all))
        # In one piece, so that the last one is in the buffer.
        caller.send("".join(map(get, [*paths, "/last"])))
        for _ in paths:
            caller.response()
        assert idle.get(timeout=10) is False


def test_sent_response_keeps_no_content():
    """Guards against contents that only the garbage collector frees."""
    with serving() as (caller, node, steps):
        exchanges = []

        def answer():
            exchanges.append(node.clients[1].exchange)
            node.answer("/a", b"x" * 100_000)

        caller.send(get("/a"))
        steps.append(when_started(node, ["/a"], answer))
        assert len(caller.response()[2]) == 100_000
        assert exchanges[0].content == b""
        assert exchanges[0].on_abandoned is None


def test_response_without_memory_ends_only_its_connection(monkeypatch):
    """Guards against a failed allocation that ends the process."""

    def fail(exchange, closes):
        raise MemoryError

    with serving() as (caller, node, steps):
        monkeypatch.setattr(http_protocol.Exchange, "render", fail)
        caller.send(get("/a"))
        steps.append(when_started(node, ["/a"], lambda: node.answer("/a")))
        assert caller.sock.recv(1) == b""


def test_interim_response_waits_for_the_earlier_responses():
    """Guards against 100 Continue that a client takes for an earlier one."""
    with serving() as (caller, node, steps):
        write = put("/w").replace("Host: h", "Host: h\r\nExpect: 100-continue")
        head, _, body = write.partition("\r\n\r\n")
        caller.send(get("/a"), head + "\r\n\r\n")
        steps.append(when_started(node, ["/a"], lambda: node.answer("/a")))
        assert caller.response()[2] == b"/a"
        assert caller.response(head_only=True)[0] == 100
        caller.send(body)
        steps.append(
            when_started(node, ["/a", "/w"], lambda: node.answer("/w"))
        )
        assert caller.response()[2] == b"/w"


def test_queue_releases_responses_in_the_order_of_the_requests():
    queue = pipelining.ResponseQueue(pipelining.Backlog())
    first, second, third = requests = [Request() for _ in range(3)]
    for request in requests:
        queue.add(request)
    assert queue.complete(third) == []
    assert queue.complete(first) == [first]
    assert queue.is_first(second)
    assert queue.complete(second) == [second, third]
    assert queue.backlog.empty and queue.backlog.held_bytes == 0


def test_held_responses_limit_what_is_read_ahead():
    """Guards against memory that a slow first response lets grow."""
    backlog = pipelining.Backlog()
    queue = pipelining.ResponseQueue(backlog)
    first, large = Request(), Request(pipelining.MAX_HELD_BYTES)
    queue.add(first)
    queue.add(large)
    queue.complete(large)
    assert not queue.may_read()
    queue.complete(first)
    assert queue.may_read()


def test_full_process_still_reads_one_request_per_connection():
    """Guards against connections that wait for each other forever."""
    backlog = pipelining.Backlog()
    backlog.requests = pipelining.MAX_PROCESS_REQUESTS
    queue = pipelining.ResponseQueue(backlog)
    assert queue.may_read()
    queue.add(Request())
    assert not queue.may_read()


def test_dropped_requests_leave_the_backlog():
    """Guards against a process that counts the requests of gone clients."""
    queue = pipelining.ResponseQueue(pipelining.Backlog())
    first, second = Request(), Request()
    queue.add(first)
    queue.add(second)
    queue.complete(second)
    assert queue.clear() == [first]
    assert queue.backlog.empty and queue.backlog.held_bytes == 0
