"""Stand-in for a target."""

from collections.abc import Iterable
import json
from typing import Any
from urllib import parse

import eventlet
import eventlet.event
from eventlet.support import greenlets

from hickorythread import interfaces
from hickorythread import models
from hickorythread import utils
from hickorythread.standins import bodies
from hickorythread.standins import server

MAX_RECORDS = 500_000
MAX_RUNNING_RECORDS = 10_000
MAX_RECORDS_PER_RESPONSE = 10_000
MAX_REQUEST_BYTES = 1 << 20
CRASH_MARKER = b"crash-upstream"
CANCELLED_STATUS = "499 Cancelled"


class Target:
    """Stand in for a target with a limited number of slots.

    It starts cold and crashes when it is overloaded. Its command, responses
    and headers call a target an upstream.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        name: str = "upstream",
        slots: int = 12,
        connections: int = 120,
        work_ms: float = 2.0,
        warm_seconds: float = 10.0,
        refuse_seconds: float = 1.0,
        clock: interfaces.Clock | None = None,
    ) -> None:
        self.name = name
        self.slots = slots
        self.work_ms = work_ms
        self.warm_seconds = warm_seconds
        self.refuse_seconds = refuse_seconds
        self.clock: interfaces.Clock = clock or utils.SystemClock()
        self.started_at = self.clock.monotonic()
        self.started_at_ms = int(self.clock.wall() * 1000)
        self.in_flight = 0
        self.peak_in_flight = 0
        self.crashes = 0
        self.shed_requests = 0
        self.expired_requests = 0
        self.load_report_mode = "honest"
        self.load_lag_seconds = 1.0
        self.records: list[models.Document] = []
        self._running: dict[str, Any] = {}
        self._reported_load: tuple[float, models.Document] = (0.0, {})
        self.server = server.Server(self, address, connections, 0.001)

    def __call__(
        self, environ: dict[str, Any], start_response: bodies.StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        target = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if target in (("GET", "/health"), ("GET", "/load")):
            return bodies.send_json(start_response, 200, self.report_load())
        if target == ("GET", "/records"):
            query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
            after = int(query.get("after", "0"))
            return bodies.send_json(start_response, 200, self.describe(after))
        if target == ("POST", "/control"):
            return self._handle_control(environ, start_response)
        if target == ("POST", "/cancel"):
            waiter = self._running.get(environ.get("HTTP_X_CANCEL", ""))
            if waiter is not None and not waiter.ready():
                waiter.send(True)
            return bodies.send_json(
                start_response, 202, {"found": waiter is not None}
            )
        return self._handle_request(environ, start_response)

    def effective_slots(self) -> int:
        """Return how many requests it can run at once, fewer while cold."""
        if self.warm_seconds <= 0:
            return self.slots
        age = self.clock.monotonic() - self.started_at
        cold_slots = max(1, self.slots // 4)
        warm_fraction = min(1.0, age / self.warm_seconds)
        return cold_slots + int((self.slots - cold_slots) * warm_fraction)

    def report_load(self) -> models.Document:
        """Return the load as reported: current, delayed or misleading."""
        now = self.clock.monotonic()
        current_load = {
            "status": "ok",
            "in_flight": self.in_flight,
            "slots": self.slots,
            "bearable": self.effective_slots(),
        }
        if self.load_report_mode == "mislead":
            return current_load | {"in_flight": 0, "bearable": self.slots}
        if self.load_report_mode == "honest":
            return current_load
        reported_at, load = self._reported_load
        if not load or now - reported_at >= self.load_lag_seconds:
            self._reported_load = (now, current_load)
            return load or current_load
        return load

    def describe(self, after: int = 0) -> models.Document:
        """Return its counters and a page of request records, oldest first."""
        end = after + MAX_RECORDS_PER_RESPONSE
        return {
            "name": self.name,
            "started_at_ms": self.started_at_ms,
            "now_ms": int(self.clock.wall() * 1000),
            "total": len(self.records),
            "peak": self.peak_in_flight,
            "crashes": self.crashes,
            "shed": self.shed_requests,
            "late": self.expired_requests,
            "connections": self.server.accepted,
            "records": self.records[after:end],
        }

    def crash(self) -> None:
        """Close all connections and restart cold after refuse_seconds."""
        running = [
            record
            for record in self.records[-MAX_RUNNING_RECORDS:]
            if record["outcome"] == "running"
        ]
        self.server.stop()
        for record in running:
            record["outcome"] = "crashed"
        self._running.clear()
        self.in_flight = 0
        self.crashes += 1
        eventlet.spawn_after(self.refuse_seconds, self._restart)

    def _restart(self) -> None:
        self.started_at = self.clock.monotonic()
        self.started_at_ms = int(self.clock.wall() * 1000)
        self.in_flight = 0
        try:
            self.server.start()
        except OSError:
            # Another process may have taken the port in the meantime.
            eventlet.spawn_after(self.refuse_seconds, self._restart)

    def _handle_request(
        self, environ: dict[str, Any], start_response: bodies.StartResponse
    ) -> Iterable[bytes]:
        body = bodies.read_body(environ, MAX_REQUEST_BYTES)
        if body is None:
            return bodies.send_json(
                start_response, 413, {"error": "too large"}
            )
        deadline_ms = int(environ.get("HTTP_X_DEADLINE_UNIX_MS", "0"))
        if deadline_ms and self.clock.wall() * 1000 >= deadline_ms:
            self.expired_requests += 1
            return self._send_response(
                start_response, "504 Late", {"error": "late"}
            )
        if self.in_flight >= self.slots:
            self.shed_requests += 1
            return self._send_response(
                start_response, "503 Busy", {"error": "shed"}, True
            )
        record = self._start_record(environ, body)
        if CRASH_MARKER in body or self.in_flight > self.effective_slots():
            self.crash()
            raise greenlets.GreenletExit
        try:
            cancelled = self._simulate_work(environ, record)
        finally:
            self.in_flight -= 1
        if cancelled:
            record["outcome"] = "cancelled"
            return self._send_response(start_response, CANCELLED_STATUS, {})
        record["outcome"] = "complete"
        return self._send_response(
            start_response, "200 OK", self._result_document(environ, record)
        )

    def _start_record(
        self, environ: dict[str, Any], body: bytes
    ) -> models.Document:
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        record = {
            "key": environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "query": environ.get("QUERY_STRING", ""),
            "tenant": environ.get("HTTP_X_TENANT", ""),
            "body_digest": utils.digest(body).hex(),
            "started_at_ms": int(self.clock.wall() * 1000),
            "outcome": "running",
        }
        if len(self.records) < MAX_RECORDS:
            self.records.append(record)
        return record

    def _simulate_work(
        self, environ: dict[str, Any], record: models.Document
    ) -> bool:
        """Sleep for the service time; return whether it was cancelled.

        Requests take twice as long while the target is cold.
        """
        query = dict(parse.parse_qsl(record["query"]))
        work_ms = float(query.get("work_ms", self.work_ms))
        if self.effective_slots() < self.slots:
            work_ms *= 2
        token = environ.get("HTTP_X_CANCEL", "")
        waiter = eventlet.event.Event()
        if token:
            self._running[token] = waiter
        try:
            return bool(waiter.wait(work_ms / 1000))
        finally:
            self._running.pop(token, None)

    def _result_document(
        self, environ: dict[str, Any], record: models.Document
    ) -> models.Document:
        query = dict(parse.parse_qsl(record["query"]))
        return {
            "upstream": self.name,
            "path": record["path"],
            "query": record["query"],
            "body_digest": record["body_digest"],
            "run": len(self.records),
            "padding": "x" * min(int(query.get("size", "0")), 1 << 19),
        }

    def _send_response(
        self,
        start_response: bodies.StartResponse,
        status: str,
        document: models.Document,
        retry_later: bool = False,
    ) -> Iterable[bytes]:
        headers = [("X-Upstream-Started-At", str(self.started_at_ms))]
        if retry_later:
            headers.append(("Retry-After", "1"))
        return bodies.send_body(
            start_response, status, json.dumps(document).encode(), headers
        )

    def _handle_control(
        self, environ: dict[str, Any], start_response: bodies.StartResponse
    ) -> Iterable[bytes]:
        document = bodies.read_json(environ, bodies.MAX_CONTROL_BYTES)
        if not isinstance(document, dict):
            return bodies.send_json(
                start_response, 400, {"error": "not a JSON map"}
            )
        self.work_ms = float(document.get("work_ms", self.work_ms))
        self.load_report_mode = str(
            document.get("reports", self.load_report_mode)
        )
        if document.get("cold"):
            self.started_at = self.clock.monotonic()
            self.started_at_ms = int(self.clock.wall() * 1000)
        if document.get("crash"):
            self.crash()
            raise greenlets.GreenletExit
        return bodies.send_json(start_response, 200, self.report_load())
