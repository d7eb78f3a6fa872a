"""Stand-in for the clients of a machine."""

import itertools
import socket
import threading
import time

from review.standins_2 import messages

CONNECT_SECONDS = 1.0
_numbers = itertools.count(1)


class Attempt:
    """One client attempt and what came of it."""

    def __init__(self, machine, method, path, body, deadline_ms, kind):
        self.id = f"a{next(_numbers):06d}"
        self.machine = machine
        self.method = method
        self.path = path
        self.body = body
        self.deadline_ms = deadline_ms
        self.kind = kind
        self.sent_at = None
        self.ended_at = None
        self.status = None
        self.answer = None
        self.failure = ""


class Clients:
    """Send requests through the outbound address of machines."""

    def __init__(self, port, host, log):
        self.port = port
        self.host = host
        self.log = log
        self.attempts = []
        self.threads = []
        self.stopped = threading.Event()

    def send(
        self,
        machine,
        method,
        path,
        body=b"",
        deadline_ms=1500,
        kind="plain",
        extra_headers=(),
    ):
        """Send one request on a new connection and wait for its answer."""
        attempt = Attempt(machine, method, path, body, deadline_ms, kind)
        self.attempts.append(attempt)
        headers = [
            ("Host", self.host),
            ("Hickorythread-Attempt-Id", attempt.id),
            ("Hickorythread-Deadline-Ms", deadline_ms),
            *extra_headers,
        ]
        data = messages.render(
            f"{method} {path} HTTP/1.1", headers, body, method != "GET"
        )
        attempt.sent_at = time.monotonic()
        try:
            with socket.create_connection(
                (machine.address, self.port), CONNECT_SECONDS
            ) as connection:
                connection.settimeout(deadline_ms / 1000 + 0.5)
                connection.sendall(data)
                with connection.makefile("rb") as reader:
                    answer = messages.read(reader)
            if answer is None:
                attempt.failure = "closed"
            else:
                attempt.status = answer.status
                attempt.answer = answer
        except (OSError, ValueError) as error:
            attempt.failure = f"{type(error).__name__}: {error}"
        attempt.ended_at = time.monotonic()
        return attempt

    def repeat(self, interval, until, choose):
        """Send what choose() returns at an interval until a time is over."""
        thread = threading.Thread(
            target=self._repeat, args=(interval, until, choose), daemon=True
        )
        self.threads.append(thread)
        thread.start()

    def _repeat(self, interval, until, choose):
        due = time.monotonic()
        while not self.stopped.is_set() and due < until:
            self.stopped.wait(max(0.0, due - time.monotonic()))
            arguments = choose()
            if arguments is not None:
                threading.Thread(
                    target=self.send, kwargs=arguments, daemon=True
                ).start()
            due += interval

    def finish(self, seconds=4.0):
        """Wait for the requests that are still open."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(seconds)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(item.ended_at for item in self.attempts):
                return
            time.sleep(0.05)
