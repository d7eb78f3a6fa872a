"""A client of a sidecar that keeps what it sent and what it got."""

import contextlib
import itertools
import os
import socket
import time

from tools.loopback import http_messages

ANSWER_SECONDS = 30.0
_numbers = itertools.count(1)


class Answer:
    """Hold a request of a client and how it ended.

    status is 0 if the connection ended without a whole answer.
    """

    def __init__(self, machine, path):
        self.id = f"{os.getpid():08x}{next(_numbers):08x}"
        self.machine = machine
        self.path = path
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.headers = {}
        self.body = b""
        self.raw = b""
        self.error = ""


def request(machine, path, method="GET", body=b"", deadline_ms=1500):
    """Send a request on a new connection and return its end."""
    answer = Answer(machine, path)
    headers = [
        ("Host", "a.example"),
        (http_messages.REQUEST_ID, answer.id),
        ("Hickorythread-Deadline-Ms", deadline_ms),
    ]
    if body or method == "POST":
        headers.append(("Content-Length", len(body)))
    head = http_messages.make_head(f"{method} {path} HTTP/1.1", headers)
    answer.sent_at = time.monotonic()
    try:
        with socket.create_connection(machine.at("request"), 1.0) as sock:
            sock.settimeout(ANSWER_SECONDS)
            sock.sendall(head + body)
            with sock.makefile("rb") as reader:
                message = http_messages.read_message(reader)
        if message is not None:
            answer.status = message.status
            answer.headers = message.headers
            answer.body = message.body
        else:
            answer.error = "closed without an answer"
    except (
        OSError,
        ValueError,
        http_messages.TruncatedMessageError,
        http_messages.MalformedMessageError,
    ) as error:
        answer.error = f"{type(error).__name__}: {error}"
    answer.ended_at = time.monotonic()
    return answer


class Record:
    """Write lines with the time since the start of a case."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def write(self, text, at=None):
        """Write one line; at is a monotonic time, now if not given."""
        seconds = (time.monotonic() if at is None else at) - self.started_at
        self.file.write(f"{seconds:9.3f} {text}\n")
        self.file.flush()

    def close(self):
        """Close the file."""
        with contextlib.suppress(OSError):
            self.file.close()
