"""Tests of the decisions on descriptors and of the accept loop."""

import errno
import socket
import struct

import eventlet
from eventlet import greenio
from eventlet import hubs
import pytest

from hickorythread import connection_table
from hickorythread import descriptors
from hickorythread import http_listener
from hickorythread import http_protocol


@pytest.mark.parametrize("limit", [100, 256, 1024, 4100, 1 << 20])
def test_shares_of_all_uses_stay_within_the_limit(limit):
    """Guards against listeners that together may take every descriptor."""
    shares = descriptors.Shares.from_limit(limit)
    caps = [
        shares.cap(use)
        for use in (
            descriptors.REQUESTS,
            descriptors.READINESS,
            descriptors.METRICS,
            descriptors.STREAMS,
        )
    ]
    assert min(caps) >= 4
    assert sum(caps) + shares.files + shares.outgoing <= limit


def test_common_limit_leaves_room_for_a_large_mesh():
    """Guards against too few descriptors for 70 peers at the usual limit."""
    shares = descriptors.Shares.from_limit(descriptors.DEFAULT_LIMIT)
    assert shares.cap(descriptors.STREAMS) >= 140
    assert shares.outgoing >= 140
    assert shares.cap(descriptors.REQUESTS) >= 500


def test_outgoing_connections_beyond_their_reserve_lower_the_clients_share():
    shares = descriptors.Shares.from_limit(1024)
    reserved = shares.cap(descriptors.REQUESTS)
    assert shares.cap(descriptors.REQUESTS, shares.outgoing + 7) == (
        reserved - 7
    )


def test_shortage_is_reported_once_until_it_is_over():
    shortages = descriptors.Shortages()
    assert shortages.record(descriptors.REQUESTS, 0.0)
    assert not shortages.record(descriptors.REQUESTS, 4.0)
    assert shortages.end(8.0) == []
    assert shortages.end(9.0) == [descriptors.REQUESTS]
    assert shortages.record(descriptors.REQUESTS, 9.1)


def test_shortage_is_found_behind_the_error_of_a_library():
    wrapped = RuntimeError("new connection failed")
    wrapped.__cause__ = OSError(errno.EMFILE, "too many open files")
    assert descriptors.is_shortage(wrapped)
    assert not descriptors.is_shortage(ConnectionRefusedError(111, "refused"))


def make_table(count):
    """Return a table and its connections, accepted one second apart."""
    table = connection_table.ConnectionTable()
    connections = [
        connection_table.Connection(None, table) for _ in range(count)
    ]
    for number, connection in enumerate(connections):
        table.add(connection, float(number))
    return table, connections


def use(connection, now):
    connection.table.mark_reading(connection, now)
    connection.table.mark_busy(connection)
    connection.table.mark_idle(connection, now)


def test_longest_unused_slow_and_idle_connections_are_closed_first():
    table, (kept, slow, unused, recent, busy) = make_table(5)
    use(kept, 5.0)
    use(recent, 9.9)
    table.mark_reading(slow, 6.0)
    table.mark_reading(busy, 5.0)
    table.mark_busy(busy)
    assert list(table.closable(10.0)) == [unused, slow, kept]


def test_connection_that_is_being_closed_is_not_chosen_again():
    table, (first, second) = make_table(2)
    table.remove(first)
    table.mark_reading(first, 5.0)
    table.mark_idle(first, 5.0)
    assert list(table.closable(20.0)) == [second]
    assert table.open == {second}


class FailingListener:
    """Fails accept() with each error before a connection comes."""

    def __init__(self, listener, errors):
        self.listener = listener
        self.errors = list(errors)

    def accept(self):
        if self.errors:
            error = self.errors.pop(0)
            if isinstance(error, OSError):
                raise error
            raise OSError(error, "accept failed")
        return self.listener.accept()


class RecordingAdmission(http_listener.FixedAdmission):
    """Records what the accept loop reports."""

    __slots__ = ("failures", "errors", "refusals", "closed")

    def __init__(self, connections):
        super().__init__(connections)
        self.failures, self.errors = [], []
        self.refusals = self.closed = 0

    def accept_failed(self, error):
        self.errors.append(error.errno)

    def connection_failed(self, error):
        self.failures.append(error)

    def refused(self):
        self.refusals += 1

    def closed_idle(self):
        self.closed += 1


def answer_ok(environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return []


class Server:
    """Runs an accept loop on a free port."""

    def __init__(self, limit=100, errors=(), app=answer_ok):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.admission = RecordingAdmission(limit)
        self.table = connection_table.ConnectionTable()
        self.http = http_listener.HttpListener(
            FailingListener(self.listener, errors),
            app,
            http_protocol.ConnectionOptions(),
            self.admission,
            self.table,
        )
        self.task = eventlet.spawn(self.http.run)

    def connect(self):
        return eventlet.connect(self.address)

    def ask(self, sock):
        """Send a request; return the first bytes of what comes back."""
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        with eventlet.Timeout(10):
            return sock.recv(4096)

    def wait_for(self, condition):
        with eventlet.Timeout(10):
            while not condition():
                eventlet.sleep(0.01)


@pytest.fixture
def serve():
    servers = []

    def start(*arguments, **options):
        servers.append(Server(*arguments, **options))
        return servers[-1]

    yield start
    for server in servers:
        server.task.kill()
        server.listener.close()


ACCEPT_ERRORS = [
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNABORTED,
    errno.ECONNRESET,
    errno.EPROTO,
    errno.EPERM,
    errno.EHOSTUNREACH,
    errno.ENOTCONN,
]


def test_no_error_of_accept_ends_the_accept_loop(serve):
    """Guards against a listener that stops, or ends its process."""
    server = serve(errors=ACCEPT_ERRORS)
    assert server.ask(server.connect()).startswith(b"HTTP/1.1 200 ")
    assert server.admission.errors == ACCEPT_ERRORS


def test_unusable_listener_is_reported(serve):
    """Guards against a loop that retries a closed listener for ever."""
    server = serve(errors=[errno.EBADF])
    with eventlet.Timeout(10), pytest.raises(OSError) as caught:
        server.task.wait()
    assert caught.value.errno == errno.EBADF


def test_closed_listener_ends_the_loop_and_its_idle_connections(serve):
    server = serve()
    sock = server.connect()
    server.ask(sock)
    server.http.listener.errors.append(hubs.IOClosed(errno.ENOTCONN, "closed"))
    eventlet.connect(server.address)
    with eventlet.Timeout(10):
        server.task.wait()
        assert sock.recv(10) == b""


def test_request_beyond_the_limit_is_refused_as_not_run(serve):
    """Guards against clients that wait or hang at the limit."""
    release = eventlet.event.Event()

    def wait(environ, start_response):
        release.wait()
        return answer_ok(environ, start_response)

    server = serve(limit=1, app=wait)
    first = server.connect()
    first.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    server.wait_for(lambda: server.table.open and not server.table.unused)
    refused = server.ask(server.connect())
    assert refused.startswith(b"HTTP/1.1 503 ")
    for line in (b"Retry-After: 1", b"X-Outcome: not-run", b"close"):
        assert line in refused
    release.send()
    with eventlet.Timeout(10):
        assert first.recv(4096).startswith(b"HTTP/1.1 200 ")


def test_idle_connection_makes_room_for_a_new_one(serve):
    server = serve(limit=1)
    kept = server.connect()
    server.ask(kept)
    eventlet.sleep(1.2 * connection_table.MIN_IDLE_SECONDS)
    assert server.ask(server.connect()).startswith(b"HTTP/1.1 200 ")
    assert kept.recv(10) == b""
    assert (server.admission.closed, server.admission.refusals) == (1, 0)


def test_connection_with_an_open_request_is_not_closed(serve):
    """Guards against a lost response: the next head has begun to arrive."""
    exchanges = []

    def defer(environ, start_response):
        exchanges.append((environ["hickorythread.exchange"], start_response))
        return http_protocol.DEFERRED

    server = serve(limit=1, app=defer)
    sock = server.connect()
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HT")
    server.wait_for(lambda: exchanges)
    eventlet.sleep(1.2 * connection_table.MIN_READING_SECONDS)
    assert server.ask(server.connect()).startswith(b"HTTP/1.1 503 ")
    exchange, start_response = exchanges[0]
    start_response("200 OK", [("Content-Length", "0")])
    exchange.respond(b"")
    with eventlet.Timeout(10):
        assert sock.recv(4096).startswith(b"HTTP/1.1 200 ")


def test_defect_in_one_connection_is_counted_and_ends_only_that_one(
    serve, monkeypatch
):
    """Guards against a traceback that nobody counts."""
    server = serve()
    with monkeypatch.context() as patch:
        patch.setattr(http_protocol.HttpProtocol, "serve", lambda self: 1 / 0)
        assert server.connect().recv(10) == b""
    assert isinstance(server.admission.failures[0], ZeroDivisionError)
    assert not server.table.open
    assert server.ask(server.connect()).startswith(b"HTTP/1.1 200 ")


def test_connections_reset_after_the_handshake_leave_nothing_behind(
    serve, monkeypatch
):
    """Guards against a call on a reset connection that counts as a defect."""
    server = serve()
    reset = struct.pack("ii", 1, 0)
    for _ in range(20):
        sock = socket.create_connection(server.address)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        sock.close()
    assert server.ask(server.connect()).startswith(b"HTTP/1.1 200 ")

    def fail(*_):
        raise OSError(errno.EINVAL, "connection was reset")

    accept = server.http.listener.accept

    def accept_reset():
        sock, address = accept()
        sock.setsockopt = sock.shutdown = fail
        return sock, address

    monkeypatch.setattr(server.http.listener, "accept", accept_reset)
    # The call of accept() that waits already takes this one.
    kept = server.connect()
    server.ask(kept)
    with eventlet.Timeout(10):
        assert server.connect().recv(10) == b""
    server.wait_for(lambda: len(server.table.open) == 1)
    assert not server.admission.failures


def test_only_connections_without_a_request_end_with_the_listener():
    """Guards against a request that has arrived and is cut unread."""
    table = connection_table.ConnectionTable()
    pairs = [socket.socketpair() for _ in range(3)]
    for own_end, _ in pairs:
        sock = greenio.GreenSocket(own_end)
        table.add(connection_table.Connection(sock, table), 0.0)
    (_, idle), (_, unread), (_, busy) = pairs
    unread.send(b"GET / HTTP/1.1\r\n\r\n")
    started = list(table.unused)[2]
    table.mark_reading(started, 0.0)
    table.mark_busy(started)
    http_listener.end_idle(table)
    assert idle.recv(1) == b""
    for caller in (unread, busy):
        with pytest.raises(BlockingIOError):
            caller.recv(1, socket.MSG_DONTWAIT)
    assert all(connection.closing for connection in table.open)
    for caller in (idle, unread, busy):
        caller.close()


def test_new_socket_ends_no_connection_of_a_closed_listener(
    serve, monkeypatch
):
    """Guards against a first request that is cut as a listener closes.

    The accept loop hears of the close once another socket has its descriptor.
    """
    monkeypatch.setattr(http_listener, "FIRST_REQUEST_SECONDS", 60.0)
    other = serve()
    server = serve()
    caller = server.connect()
    server.wait_for(lambda: server.table.open)
    descriptor = server.listener.fileno()
    server.listener.close()
    # Either end of a connection takes the lowest free descriptor.
    others = [other.connect() for _ in range(descriptor)]
    eventlet.sleep(0.05)
    assert server.ask(caller).startswith(b"HTTP/1.1 200 ")
    for sock in (caller, *others):
        sock.close()
