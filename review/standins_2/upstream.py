"""Stand-in for one application upstream, and its entry in the store."""

import socket
import struct
import threading
import time

from review.standins_2 import messages

# heartbeat_ms of the example in DEPLOY.md.
HEARTBEAT_SECONDS = 1.5
RESET_OPTION = struct.pack("ii", 1, 0)


class Arrival:
    """One request that reached an upstream, as it came."""

    def __init__(self, upstream, instance, message):
        self.upstream = upstream
        self.instance = instance
        self.at = time.monotonic()
        self.message = message
        self.attempt_id = message.headers.get("hickorythread-attempt-id", "")
        self.caller = message.headers.get("hickorythread-caller-service", "")
        self.outcome = "running"
        self.ended_at = None


class Upstream:
    """Serve requests as successive processes at one address.

    work_seconds(message) tells how long a request runs, and crashes(message)
    whether it ends the process as it begins to run.
    """

    def __init__(self, machine, port, name, store, log, slots=6):
        self.machine = machine
        self.port = port
        self.name = name
        self.store = store
        self.log = log
        self.slots = slots
        self.queue = 4 * slots
        self.work_seconds = lambda message: 0.02
        self.crashes = lambda message: False
        self.crash_after_seconds = 0.0
        self.down_seconds = 2.0
        self.heartbeat_seconds = HEARTBEAT_SECONDS
        self.keeps_id = False
        self.arrivals = []
        self.health_checks = []
        self.crashed = []
        self.starts = 0
        self.sequence = 0
        self.phase = "ready"
        self.listener = None
        self.connections = set()
        self.lock = threading.Lock()
        self.is_closed = threading.Event()

    # Life cycle.

    def start(self):
        """Start a process; each one is a new incarnation."""
        self.starts += 1
        number = 1 if self.keeps_id else self.starts
        self.instance = f"i-{self.name}-{number}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.running = 0
        self.phase = "ready"
        self.slot_free = threading.Condition()
        self.listener = socket.create_server(
            (self.machine.address, self.port), backlog=128
        )
        self.log(f"upstream {self.instance} started on {self.machine.address}")
        for task in (self._accept, self._beat):
            threading.Thread(
                target=task, args=(self.listener,), daemon=True
            ).start()

    def crash(self):
        """End the process without a word; its connections are reset."""
        with self.lock:
            listener, self.listener = self.listener, None
            if listener is None:
                return
            connections = list(self.connections)
        self.crashed.append(time.monotonic())
        self.log(f"upstream {self.instance} crashed")
        _shut(listener)
        listener.close()
        for connection in connections:
            reset(connection)
        threading.Thread(
            target=self._come_back, args=(self.instance,), daemon=True
        ).start()

    def _come_back(self, instance):
        if not self.is_closed.wait(self.down_seconds):
            self.start()
            if not self.keeps_id:
                # Three heartbeats of silence after the crash.
                silence = 3 * self.heartbeat_seconds - self.down_seconds
                self.is_closed.wait(max(0.0, silence))
                self.store.delete(f"servers/{instance}")

    def close(self):
        self.is_closed.set()
        with self.lock:
            listener, self.listener = self.listener, None
            connections = list(self.connections)
        if listener is not None:
            _shut(listener)
            listener.close()
        for connection in connections:
            reset(connection)

    # The entry in the store.

    def register(self):
        """Write the entry of the running process."""
        self.sequence += 1
        self.store.put(f"servers/{self.instance}", self.entry())

    def entry(self):
        """Return what the process says of itself."""
        return {
            "service": self.machine.service,
            "address": f"{self.machine.address}:{self.port}",
            "zone": self.machine.zone,
            "version": "v1",
            "concurrency": self.slots,
            "phase": self.phase,
            "warmup_left_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    def health_headers(self):
        """Return further headers of health answers."""
        return []

    def _beat(self, listener):
        self.beat_at = time.monotonic()
        while self.listener is listener:
            if time.monotonic() >= self.beat_at:
                self.register()
                self.beat_at += self.heartbeat_seconds
            self.is_closed.wait(0.02)

    # Requests.

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.listener is not listener:
                    reset(connection)
                    return
                self.connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection, listener), daemon=True
            ).start()

    def _serve(self, connection, listener):
        try:
            with connection, connection.makefile("rb") as reader:
                connection.settimeout(60.0)
                while self._serve_one(connection, reader, listener):
                    pass
        except (OSError, ValueError):
            # The caller has closed the connection or the process has ended.
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)

    def _serve_one(self, connection, reader, listener):
        message = messages.read(reader)
        if message is None or self.listener is not listener:
            return False
        if message.target == "/healthz":
            self.health_checks.append(time.monotonic())
            extra = self.health_headers()
            self._answer(connection, message, 200, b"", extra=extra)
            return not message.closes
        expected = message.headers.get("hickorythread-expect-instance")
        if expected not in (None, self.instance):
            self._answer(connection, message, 421, b"")
            return True
        arrival = Arrival(self, self.instance, message)
        self.arrivals.append(arrival)
        if self.crashes(message):
            arrival.outcome = "crashed the upstream"
            time.sleep(self.crash_after_seconds)
            if self.listener is listener:
                self.crash()
            return False
        if not self._take_slot():
            arrival.outcome = "not executed"
            self._answer(connection, message, 503, b"", is_run=False)
            return True
        try:
            time.sleep(self.work_seconds(message))
        finally:
            with self.slot_free:
                self.running -= 1
                self.slot_free.notify()
        if self.listener is not listener:
            arrival.outcome = "lost in a crash"
            return False
        arrival.ended_at = time.monotonic()
        arrival.outcome = "done"
        self._answer(connection, message, 200, self.body_for(arrival))
        return not message.closes

    def _take_slot(self):
        """Wait for a slot; return False if the queue is full."""
        with self.slot_free:
            if self.running >= self.slots + self.queue:
                return False
            self.running += 1
            if self.running > self.slots:
                self.slot_free.wait(0.3)
            return True

    @staticmethod
    def body_for(arrival):
        """Return the only body that belongs to a request."""
        return f"{arrival.instance} ran {arrival.attempt_id}\n".encode()

    def _answer(
        self, connection, message, status, body, is_run=True, extra=()
    ):
        headers = [
            *extra,
            ("Hickorythread-Instance-Id", self.instance),
            (
                "Hickorythread-Instance-Load",
                f"{min(self.running, self.slots)},"
                f"{max(0, self.running - self.slots)},{self.slots}",
            ),
        ]
        attempt_id = message.headers.get("hickorythread-attempt-id")
        if attempt_id:
            headers.append(("Hickorythread-Attempt-Id", attempt_id))
            if is_run and status != 421:
                stamp = f"{self.instance}.{attempt_id}"
                headers.append(("Hickorythread-Server-Stamp", stamp))
        if not is_run or status == 421:
            headers.append(("Hickorythread-Not-Executed", "1"))
        start_line = f"HTTP/1.1 {status} Status"
        connection.sendall(messages.render(start_line, headers, body))


def _shut(listener):
    try:
        listener.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def reset(connection):
    """Close a connection with a reset."""
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_OPTION
        )
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    try:
        connection.close()
    except OSError:
        pass
