"""Callers that keep the outcome of each request."""

import contextlib
import itertools
import random
import socket
import threading
import time

from tools.loopback import http_messages
from tools.loopback import records
from tools.loopback import writers

DEADLINES_MS = (400, 1000, 3000, 3000)
# Long work is rare, and lasts while a stop ends.
WORK_MS = (1, 5, 20, 80) * 6 + (1200,)
# An answer is awaited for longer than any process can be stopped.
ANSWER_SECONDS = 20.0
CONNECT_SECONDS = 5.0
RETRY_SECONDS = 0.1
LARGE_BYTES = (300_000, 900_000)
MAX_PAUSE_SECONDS = 2.0
# Part of the idle limit for which clients may leave a connection idle.
IDLE_FRACTION = 0.8


class Connection:
    """A connection that sends requests and reads their answers in order."""

    def __init__(self, host, process):
        self.process = process
        self.socket = socket.create_connection(
            host.at("request"), CONNECT_SECONDS
        )
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(ANSWER_SECONDS)
        self.reader = self.socket.makefile("rb")

    def send(self, request, pause_seconds=0.0, is_chunked=False):
        """Send a request; return whether all of it was written."""
        body = http_messages.make_body(request.id, request.body_size)
        headers = [
            ("Host", "a.example"),
            (http_messages.REQUEST_ID, request.id),
            ("Hickorythread-Deadline-Ms", request.deadline_ms),
        ]
        if is_chunked:
            headers.append(("Transfer-Encoding", "chunked"))
            body = http_messages.make_chunks(body)
        elif body:
            headers.append(("Content-Length", len(body)))
        head = http_messages.make_head(
            f"{request.method} {request.path} HTTP/1.1", headers
        )
        request.process = self.process
        request.sent_at = time.monotonic()
        data = head + body
        try:
            if pause_seconds:
                middle = len(data) // 2
                self.socket.sendall(data[:middle])
                time.sleep(pause_seconds)
                data = data[middle:]
            self.socket.sendall(data)
        except OSError as error:
            request.end(records.UNSENT, str(error))
            return False
        request.written_at = time.monotonic()
        return True

    def receive(self, request, pause_seconds=0.0):
        """Read an answer; return whether the connection can be used on."""
        try:
            if pause_seconds and self.reader.peek(1):
                time.sleep(pause_seconds)
            message = http_messages.read_message(self.reader)
        except TimeoutError:
            request.end(records.NO_ANSWER)
            return False
        except (OSError, http_messages.TruncatedMessageError) as error:
            request.end(records.CLOSED, str(error))
            return False
        except (http_messages.MalformedMessageError, ValueError) as error:
            request.end(records.MALFORMED, str(error))
            return False
        if message is None:
            request.end(records.CLOSED, "no bytes")
            return False
        expected = http_messages.make_body(request.id, request.answer_size)
        request.status = message.status
        request.body_matches = message.body == expected
        request.stamp = message.headers.get(http_messages.STAMP.lower(), "")
        request.end(records.ANSWERED)
        return not message.closes_connection

    def close(self):
        with contextlib.suppress(OSError):
            self.reader.close()
        with contextlib.suppress(OSError):
            self.socket.close()


class Load:
    """Hold what all callers share."""

    def __init__(self, processes, writer, collected, seed):
        self.processes = processes
        self.writer = writer
        self.records = collected
        self.seed = seed
        self.stopped = threading.Event()
        self.threads = []

    def add(self, caller):
        thread = threading.Thread(target=caller.run, daemon=True)
        self.threads.append(thread)
        thread.start()

    def stop(self):
        """Stop all callers; requests under way are awaited."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(ANSWER_SECONDS + CONNECT_SECONDS)


class Caller:
    """Send requests to one host until the load is stopped."""

    kind = ""

    def __init__(self, load, host, number, pause_seconds):
        self.load = load
        self.host = host
        self.name = f"{self.kind}-{host.address.rpartition('.')[2]}-{number}"
        self.random = random.Random(f"{load.seed}-{self.name}")
        self.pause_seconds = pause_seconds
        self.count = 0
        self.connection = None

    def run(self):
        while not self.load.stopped.is_set():
            if self.connection is None and not self.connect():
                self.load.stopped.wait(RETRY_SECONDS)
                continue
            if not self.exchange():
                self.connection.close()
                self.connection = None
            pause = self.random.expovariate(1 / self.pause_seconds)
            self.load.stopped.wait(min(pause, 4 * self.pause_seconds))
        if self.connection is not None:
            self.connection.close()

    def connect(self):
        process = self.load.processes.current[self.host]
        try:
            self.connection = Connection(self.host, process)
        except OSError:
            return False
        return True

    def make_request(self, body_size=None, answer_size=None):
        """Return the next request; it is recorded at once."""
        self.count += 1
        routes = list(self.load.writer.newest.routes.values())
        request = records.Request(
            f"{self.name}-{self.count}",
            self.host,
            self.choose_route(routes),
            self.random.choice((0, 0, 100, 5000))
            if body_size is None
            else body_size,
            self.random.choice((0, 20, 2000))
            if answer_size is None
            else answer_size,
            self.random.choice(WORK_MS),
            self.random.choice(DEADLINES_MS),
        )
        self.load.records.add_request(request)
        return request

    def choose_route(self, routes):
        return self.random.choice(routes)

    def exchange(self):
        """Send and receive; return whether the connection can be used on."""
        request = self.make_request()
        return self.connection.send(request) and self.connection.receive(
            request
        )


class KeptCaller(Caller):
    """Use a connection until its process is gone."""

    kind = "kept"


class IdleCaller(Caller):
    """Use a connection again after it was idle for as long as allowed."""

    kind = "idle"

    def exchange(self):
        is_usable = super().exchange()
        if is_usable:
            limit = IDLE_FRACTION * writers.IDLE_TIMEOUT_MS / 1000
            self.load.stopped.wait(self.random.uniform(0.0, limit))
        return is_usable


class FreshCaller(Caller):
    """Use a new connection for each request."""

    kind = "fresh"

    def exchange(self):
        super().exchange()
        return False


class AheadCaller(Caller):
    """Send some requests before the first answer."""

    kind = "ahead"

    def exchange(self):
        requests = [
            self.make_request() for _ in range(self.random.randint(2, 5))
        ]
        sent = [item for item in requests if self.connection.send(item)]
        for number, request in enumerate(sent):
            if self.connection.receive(request):
                continue
            is_announced = request.outcome == records.ANSWERED
            for later in sent[number + 1 :]:
                later.end(
                    records.BEHIND_CLOSE if is_announced else records.CLOSED
                )
            return False
        return len(sent) == len(requests)


class SlowCaller(Caller):
    """Pause within large requests and before large answers."""

    kind = "slow"

    def exchange(self):
        request = self.make_request(
            self.random.choice((0, 1000, *LARGE_BYTES)),
            self.random.choice((100, *LARGE_BYTES)),
        )
        pause = self.random.uniform(0.0, MAX_PAUSE_SECONDS)
        is_chunked = request.body_size > 0 and self.random.random() < 0.5
        return self.connection.send(
            request, pause, is_chunked
        ) and self.connection.receive(request, pause)


class VersionCaller(Caller):
    """Ask for the routes that are named after recent versions."""

    kind = "version"

    def choose_route(self, routes):
        return self.random.choice(
            [item for item in routes if item.name.startswith("since-")]
        )


class RecoveryCaller(Caller):
    """Ask a host whether it answers."""

    kind = "recovery"
    numbers = itertools.count(1)

    def __init__(self, load, host):
        super().__init__(load, host, next(self.numbers), RETRY_SECONDS)

    def choose_route(self, routes):
        return next(item for item in routes if item.name == "safe")

    def is_answered(self):
        """Return whether a request gets a 200."""
        if not self.connect():
            return False
        request = self.make_request(0, 20)
        if self.connection.send(request):
            self.connection.receive(request)
        self.connection.close()
        return request.status == 200


KINDS = (
    KeptCaller,
    IdleCaller,
    AheadCaller,
    FreshCaller,
    SlowCaller,
    VersionCaller,
)
