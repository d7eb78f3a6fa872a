"""A target with the faults of its kind as settings."""

import contextlib
import random
import socket
import struct
import threading
import time

from tools.loopback import http_messages
from tools.loopback import records

SLOTS = 8
QUEUE_SECONDS = 0.3
MAX_CONNECTIONS = 120
# Closes a connection with a reset.
RESET_OPTION = struct.pack("ii", 1, 0)


class TargetFaults:
    """Hold the faults that a target shows at present."""

    __slots__ = (
        "delay_seconds",
        "reset_share",
        "is_silent",
        "is_full",
        "is_leaving",
        "rate_limit",
    )

    def __init__(self):
        self.delay_seconds = 0.0
        self.reset_share = 0.0
        self.is_silent = False
        self.is_full = False
        self.is_leaving = False
        self.rate_limit = 0.0


class Target:
    """Serve requests as successive processes at one address.

    Each start is a new instance with a connection limit and slots of its own.
    """

    def __init__(self, host, number, collected, seed):
        self.host = host
        self.number = number
        self.records = collected
        self.random = random.Random(f"{seed}-target-{number}")
        self.faults = TargetFaults()
        self.starts = 0
        self.instance = ""
        self.started_unix_ms = 0
        self.listener = None
        self.connections = set()
        self.lock = threading.Lock()
        self.slots = threading.Semaphore(SLOTS)
        self.start()

    def start(self):
        """Start the next process."""
        self.starts += 1
        self.instance = f"i-{self.number}-{self.starts}"
        self.started_unix_ms = int(time.time() * 1000)
        self.faults = TargetFaults()
        self.slots = threading.Semaphore(SLOTS)
        self.listener = socket.create_server(
            self.host.at("target"), backlog=128
        )
        arguments = (self.listener, self.instance)
        threading.Thread(
            target=self._accept, args=arguments, daemon=True
        ).start()

    def stop(self):
        """End the process; its connections are reset."""
        listener, self.listener = self.listener, None
        if listener is None:
            return
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            reset(connection)

    def _accept(self, listener, instance):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                is_accepted = len(self.connections) < MAX_CONNECTIONS
                if is_accepted:
                    self.connections.add(connection)
            if not is_accepted:
                reset(connection)
                continue
            threading.Thread(
                target=self._serve, args=(connection, instance), daemon=True
            ).start()

    def _serve(self, connection, instance):
        try:
            with connection, connection.makefile("rb") as reader:
                while self._serve_one(connection, reader, instance):
                    pass
        except (
            OSError,
            ValueError,
            http_messages.TruncatedMessageError,
            http_messages.MalformedMessageError,
        ):
            # The sender has closed the connection or this process has ended.
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)

    def _serve_one(self, connection, reader, instance):
        """Answer one request; return whether the connection stays open."""
        message = http_messages.read_message(reader)
        if message is None:
            return False
        self._wait_while_silent(instance)
        if self._has_ended(instance):
            return False
        if message.path == "/healthz":
            status = 503 if self.faults.is_leaving else 200
            return self._respond(connection, message, instance, status, b"")
        expected = message.headers.get("hickorythread-expect-instance")
        if expected not in (None, instance):
            return self._respond(connection, message, instance, 421, b"")
        slots = self.slots
        if self.faults.is_full or not slots.acquire(timeout=QUEUE_SECONDS):
            return self._respond(
                connection, message, instance, 503, b"", is_run=False
            )
        try:
            return self._run(connection, message, instance)
        finally:
            slots.release()

    def _has_ended(self, instance):
        return self.instance != instance or self.listener is None

    def _wait_while_silent(self, instance):
        while self.faults.is_silent and self.instance == instance:
            time.sleep(0.05)

    def _run(self, connection, message, instance):
        run = records.Run(message, self, instance)
        size, work_ms = message.path.rpartition("?")[2].split(",")
        body = http_messages.make_body(run.request_id, len(message.body))
        run.body_matches = body == message.body
        self.records.add_run(run)
        try:
            time.sleep(int(work_ms) / 1000 + self.faults.delay_seconds)
            if self._has_ended(instance):
                run.broken_off = True
                return False
            answer = http_messages.make_body(run.request_id, int(size))
            if self.random.random() < self.faults.reset_share:
                run.broken_off = True
                reset(connection)
                return False
            self._wait_while_silent(instance)
            return self._respond(connection, message, instance, 200, answer)
        except OSError:
            run.broken_off = run.broken_off or self._has_ended(instance)
            raise
        finally:
            run.ended_at = time.monotonic()

    def _respond(
        self, connection, message, instance, status, body, is_run=True
    ):
        faults = self.faults
        headers = [
            ("Content-Length", len(body)),
            ("Hickorythread-Instance-Id", instance),
            ("Hickorythread-Instance-Load", f"0,0,{SLOTS}"),
        ]
        request_id = message.headers.get("hickorythread-attempt-id")
        if request_id:
            headers.append((http_messages.REQUEST_ID, request_id))
        if status == 200 and request_id:
            stamp = f"{instance}.{request_id}"
            headers.append((http_messages.STAMP, stamp))
        if not is_run or status == 421:
            headers.append((http_messages.NOT_RUN, "1"))
        if faults.rate_limit:
            headers.append(("Server-Limit", faults.rate_limit))
        if faults.is_leaving:
            headers.append(("Server-Leaving", "1"))
            headers.append(("Connection", "close"))
        head = http_messages.make_head(f"HTTP/1.1 {status} Text", headers)
        connection.sendall(head + body)
        return not faults.is_leaving


def reset(connection):
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_OPTION
        )
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        connection.close()
