"""A target as the pages describe it; it records what it runs."""

import contextlib
import socket
import threading
import time

from tools.loopback import http_messages
from tools.loopback import target_process

QUEUE_SECONDS = 0.3


class Run:
    """Hold one request that a target began to run."""

    def __init__(self, message, machine, instance):
        self.request_id = message.headers.get("hickorythread-attempt-id", "")
        self.caller = message.headers.get("hickorythread-caller-service", "")
        self.path = message.path
        self.body = message.body
        self.machine = machine
        self.instance = instance
        self.at = time.monotonic()


class Target:
    """Serve requests at the address of a machine.

    on_run(run) is called as a request begins to run. It returns the seconds
    of work, or None if the target crashes. on_answer(run, connection, head,
    body) may send the answer itself and return whether the connection stays
    open; it returns None to leave that to the target.
    """

    def __init__(
        self, machine, slots=6, on_run=None, on_answer=None, name="i"
    ):
        self.machine = machine
        self.slots = slots
        self.on_run = on_run or (lambda run: 0.01)
        self.on_answer = on_answer or (lambda *arguments: None)
        self.runs = []
        self.name = name
        self.starts = 0
        self.instance = ""
        self.born = 0
        self.is_leaving = False
        self.listener = None
        self.connections = set()
        self.lock = threading.Lock()
        self.start()

    def start(self):
        """Start the next process of the target."""
        self.starts += 1
        self.instance = f"{self.name}-{self.machine.address}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.is_leaving = False
        self.free_slots = threading.Semaphore(self.slots)
        self.listener = socket.create_server(
            self.machine.at("target"), backlog=128
        )
        threading.Thread(
            target=self._accept,
            args=(self.listener, self.instance),
            daemon=True,
        ).start()

    def crash(self):
        """End the process; its connections are reset."""
        with self.lock:
            listener, self.listener = self.listener, None
            connections = list(self.connections)
        if listener is None:
            return
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for connection in connections:
            target_process.reset(connection)

    def close(self):
        """End the target."""
        self.crash()

    def _has_ended(self, instance):
        return self.instance != instance or self.listener is None

    def _accept(self, listener, instance):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
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
            # The caller has closed the connection, or this process has ended.
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)

    def _serve_one(self, connection, reader, instance):
        message = http_messages.read_message(reader)
        if message is None or self._has_ended(instance):
            return False
        if message.path == "/healthz":
            status = 503 if self.is_leaving else 200
            connection.sendall(self.make_head(message, instance, status, b""))
            return True
        expected = message.headers.get("hickorythread-expect-instance")
        if expected not in (None, instance):
            head = self.make_head(message, instance, 421, b"", False)
            connection.sendall(head)
            return True
        slots = self.free_slots
        if not slots.acquire(timeout=QUEUE_SECONDS):
            head = self.make_head(message, instance, 503, b"", False)
            connection.sendall(head)
            return True
        try:
            return self._run(connection, message, instance)
        finally:
            slots.release()

    def _run(self, connection, message, instance):
        run = Run(message, self.machine, instance)
        self.runs.append(run)
        seconds = self.on_run(run)
        if seconds is None:
            self.crash()
            return False
        time.sleep(seconds)
        if self._has_ended(instance):
            return False
        body = f"{instance} {run.request_id} {run.path}".encode()
        head = self.make_head(message, instance, 200, body)
        stays = self.on_answer(run, connection, head, body)
        if stays is None:
            connection.sendall(head + body)
            return not self.is_leaving
        return stays

    def make_head(self, message, instance, status, body, is_run=True):
        """Return the head of an answer."""
        headers = [
            ("Content-Length", len(body)),
            ("Hickorythread-Instance-Id", instance),
            ("Hickorythread-Instance-Load", f"0,0,{self.slots}"),
        ]
        if message.path == "/healthz":
            headers.append(("Hickorythread-Warmup-Ms", 0))
        request_id = message.headers.get("hickorythread-attempt-id")
        if request_id:
            headers.append((http_messages.REQUEST_ID, request_id))
        if status == 200 and request_id:
            headers.append((http_messages.STAMP, f"{instance}.{request_id}"))
        if not is_run:
            headers.append((http_messages.NOT_RUN, "1"))
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
            headers.append(("Connection", "close"))
        return http_messages.make_head(f"HTTP/1.1 {status} Text", headers)
