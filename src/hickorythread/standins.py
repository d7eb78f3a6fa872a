"""Stand-ins for the platform, a target and a caller.

They implement the published interfaces of the outside systems, run as
processes or inside a test, and inject faults on request.
"""

from collections.abc import Callable
from collections.abc import Iterable
import json
import random
import signal
import socket
import sys
import time
from typing import Any
from urllib import parse
import uuid

import eventlet
import eventlet.event
from eventlet.green.http import client
from eventlet.support import greenlets
import eventlet.wsgi

from hickorythread import adapters
from hickorythread import interfaces
from hickorythread import models
from hickorythread import utils

READS_PER_SECOND = 2_000
MAX_WAIT_SECONDS = 60.0
MAX_HOSTS_PER_ENTRY = 1_000
MAX_RECORDS = 500_000
MAX_RUNNING_RECORDS = 10_000
MAX_RECORDS_PER_RESPONSE = 10_000
MAX_REQUEST_BYTES = 1 << 20
MAX_CONTROL_BYTES = 16 << 20
CRASH_MARKER = b"crash-upstream"
CANCELLED_STATUS = "499 Cancelled"
STOP_POLL_SECONDS = 0.1
UNKNOWN = "unknown"

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Server:
    """Serve a WSGI application; own the listener and connections."""

    def __init__(
        self,
        application: Callable[..., Iterable[bytes]],
        address: str,
        max_connections: int = 10_000,
        accept_delay_seconds: float = 0.0,
    ) -> None:
        self.application = application
        self.address = address
        self.max_connections = max_connections
        self.accept_delay_seconds = accept_delay_seconds
        self.accepted = 0
        self.rejected = 0
        self._listener: Any = None
        self._accept_thread: Any = None
        self._connections: dict[Any, Any] = {}

    @property
    def listening(self) -> bool:
        """Return whether connections are accepted."""
        return self._listener is not None

    def start(self) -> None:
        """Bind the address and accept connections.

        Port 0 is replaced by the port that the system chose.
        """
        host, port = utils.split_address(self.address)
        self._listener = eventlet.listen(
            (host, port), backlog=1024, reuse_port=False
        )
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._accept_thread = eventlet.spawn(self._accept, self._listener)

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._accept_thread.kill()
            self._listener.close()
            self._listener = None
        current = greenlets.getcurrent()
        for worker, connection in list(self._connections.items()):
            _close_connection(connection)
            if worker is not current:
                worker.kill()

    def _accept(self, listener: Any) -> None:
        server = eventlet.wsgi.Server(
            listener,
            listener.getsockname(),
            self.application,
            keepalive=True,
            log_output=False,
            debug=False,
        )
        while True:
            connection, address = listener.accept()
            if self.accept_delay_seconds:
                eventlet.sleep(self.accept_delay_seconds)
            if len(self._connections) >= self.max_connections:
                self.rejected += 1
                connection.close()
                continue
            self.accepted += 1
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            worker = eventlet.spawn(
                server.process_request, [address, connection, "idle"]
            )
            self._connections[worker] = connection
            worker.link(self._remove_connection)

    def _remove_connection(self, worker: Any) -> None:
        _close_connection(self._connections.pop(worker))


class Platform:
    """Stand in for the platform: patch log, host list and checkpoints."""

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        token: str = "",
        hosts: list[models.Document] | None = None,
        clock: interfaces.Clock | None = None,
        reads_per_second: float = READS_PER_SECOND,
    ) -> None:
        self.token = token
        self.clock: interfaces.Clock = clock or utils.SystemClock()
        self.reads_per_second = reads_per_second
        self.logs: dict[str, list[models.Document]] = {
            "config": [],
            "hosts": [],
        }
        self.checkpoints: dict[str, list[models.Document]] = {}
        self.stats: dict[str, int] = {}
        self.outage = False
        self.slow_seconds = 0.0
        self.lag_seconds = 0.0
        self._visible_heads: dict[str, int] = {}
        self._partial_checkpoints: dict[
            tuple[str, str], dict[int, models.Document]
        ] = {}
        self._waiters: set[Any] = set()
        self._read_tokens = reads_per_second
        self._refilled_at = self.clock.monotonic()
        self.server = Server(self, address)
        for start in range(0, len(hosts or []), MAX_HOSTS_PER_ENTRY):
            chunk = (hosts or [])[start : start + MAX_HOSTS_PER_ENTRY]
            self.change_hosts([{"op": "put", "host": host} for host in chunk])

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        target = (environ["REQUEST_METHOD"], path)
        self._increment_counter(f"{target[0]} {path}")
        if target == ("GET", "/stats"):
            return _send_json(start_response, 200, self.describe())
        if target == ("POST", "/control"):
            return self._handle_control(environ, start_response)
        if self.slow_seconds:
            eventlet.sleep(self.slow_seconds)
        if self.outage:
            self._increment_counter("outage")
            return _send_json(start_response, 503, {"error": "outage"})
        if target[0] == "POST":
            return self._handle_write(path, environ, start_response)
        if not self._take_read_token():
            self._increment_counter("limited")
            return _send_json(start_response, 429, {"error": "rate limit"})
        query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
        try:
            return self._handle_read(path, query, start_response)
        except (KeyError, ValueError) as error:
            return _send_json(start_response, 400, {"error": str(error)})

    def describe(self) -> models.Document:
        """Return request counters, log heads and the outage flag."""
        return {
            "requests": dict(self.stats),
            "waiting": len(self._waiters),
            "heads": {name: len(log) for name, log in self.logs.items()},
            "served_heads": {name: self.head(name) for name in self.logs},
            "outage": self.outage,
        }

    def head(self, log: str) -> int:
        """Return the last sequence that is visible to readers."""
        return min(
            len(self.logs[log]),
            self._visible_heads.get(log, len(self.logs[log])),
        )

    def publish(self, patch: models.Document) -> int:
        """Append a patch and return its sequence."""
        sequence = len(self.logs["config"]) + 1
        published_at_ms = int(self.clock.wall() * 1000)
        entry = models.LogEntry(sequence, published_at_ms, patch)
        self.logs["config"].append(entry.to_document())
        self._notify_waiters()
        return sequence

    def change_hosts(self, changes: list[models.Document]) -> int:
        """Append host changes to the host log and return their sequence."""
        sequence = len(self.logs["hosts"]) + 1
        self.logs["hosts"].append({"sequence": sequence, "changes": changes})
        self._notify_waiters()
        return sequence

    def control(self, document: models.Document) -> None:
        """Inject or clear faults, or change the host list after the lag.

        stale freezes the heads that readers see; rewind moves them back by
        that many entries. stale false or rewind 0 clears both.
        """
        self.outage = bool(document.get("outage", self.outage))
        self.slow_seconds = float(
            document.get("slow_seconds", self.slow_seconds)
        )
        self.lag_seconds = float(document.get("lag_seconds", self.lag_seconds))
        if "stale" in document or "rewind" in document:
            rewind_entries = int(document.get("rewind", 0))
            self._visible_heads = {}
            if document.get("stale") or rewind_entries:
                self._visible_heads = {
                    name: max(0, len(log) - rewind_entries)
                    for name, log in self.logs.items()
                }
        changes = document.get("hosts")
        if changes and self.lag_seconds:
            eventlet.spawn_after(self.lag_seconds, self.change_hosts, changes)
        elif changes:
            self.change_hosts(changes)
        self._notify_waiters()

    def _handle_read(
        self, path: str, query: dict[str, str], start_response: StartResponse
    ) -> Iterable[bytes]:
        if path == "/v1/checkpoint":
            parts = self.checkpoints.get(query.get("log", "config"), [])
            number = int(query.get("part", "0"))
            if not 0 <= number < len(parts):
                return _send_json(
                    start_response, 404, {"error": "no such part"}
                )
            return _send_json(start_response, 200, parts[number])
        log = {"/v1/log": "config", "/v1/hosts": "hosts"}.get(path)
        if log is None:
            return _send_json(start_response, 404, {"error": "no such path"})
        after = int(query["after"])
        wait = min(float(query.get("wait", "0")), MAX_WAIT_SECONDS)
        self._wait_for_entries(log, after, wait)
        if self.outage:
            return _send_json(start_response, 503, {"error": "outage"})
        return _send_body(
            start_response, "200 OK", self._encode_entries(log, after)
        )

    def _wait_for_entries(self, log: str, after: int, wait: float) -> None:
        deadline = self.clock.monotonic() + wait
        while self.head(log) <= after and not self.outage:
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                return
            waiter = eventlet.event.Event()
            self._waiters.add(waiter)
            try:
                waiter.wait(remaining)
            finally:
                self._waiters.discard(waiter)

    def _encode_entries(self, log: str, after: int) -> bytes:
        head = self.head(log)
        texts: list[str] = []
        size = 0
        for entry in self.logs[log][max(0, after) : head]:
            text = json.dumps(entry, separators=(",", ":"))
            size += len(text) + 1
            if texts and size > adapters.MAX_VALUE_BYTES:
                break
            texts.append(text)
        return f'{{"head":{head},"entries":[{",".join(texts)}]}}'.encode()

    def _handle_write(
        self, path: str, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        expected = f"Bearer {self.token}"
        if not self.token or environ.get("HTTP_AUTHORIZATION") != expected:
            return _send_json(
                start_response, 401, {"error": "not an operator"}
            )
        document = _read_json(environ, adapters.MAX_VALUE_BYTES)
        if not isinstance(document, dict):
            return _send_json(start_response, 400, {"error": "not a JSON map"})
        if path == "/v1/log":
            sequence = self.publish(document)
            return _send_json(start_response, 200, {"sequence": sequence})
        if path == "/v1/checkpoint":
            return self._store_part(document, start_response)
        return _send_json(start_response, 404, {"error": "no such path"})

    def _store_part(
        self, document: models.Document, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Store a checkpoint part; publish the checkpoint once complete."""
        try:
            log, id = str(document["log"]), str(document["id"])
            part, parts = int(document["part"]), int(document["parts"])
        except (KeyError, TypeError, ValueError):
            return _send_json(start_response, 400, {"error": "not a part"})
        pending = self._partial_checkpoints.setdefault((log, id), {})
        pending[part] = document
        complete = sorted(pending) == list(range(parts))
        if complete:
            self.checkpoints[log] = [pending[n] for n in range(parts)]
            del self._partial_checkpoints[log, id]
        return _send_json(start_response, 200, {"complete": complete})

    def _handle_control(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        document = _read_json(environ, MAX_CONTROL_BYTES)
        if not isinstance(document, dict):
            return _send_json(start_response, 400, {"error": "not a JSON map"})
        try:
            self.control(document)
        except (TypeError, ValueError) as error:
            return _send_json(start_response, 400, {"error": str(error)})
        return _send_json(start_response, 200, self.describe())

    def _take_read_token(self) -> bool:
        now = self.clock.monotonic()
        refilled = (now - self._refilled_at) * self.reads_per_second
        self._read_tokens = min(
            self.reads_per_second, self._read_tokens + refilled
        )
        self._refilled_at = now
        if self._read_tokens < 1:
            return False
        self._read_tokens -= 1
        return True

    def _notify_waiters(self) -> None:
        for waiter in list(self._waiters):
            self._waiters.discard(waiter)
            waiter.send(None)

    def _increment_counter(self, name: str) -> None:
        self.stats[name] = self.stats.get(name, 0) + 1


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
        self.server = Server(self, address, connections, 0.001)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        target = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if target in (("GET", "/health"), ("GET", "/load")):
            return _send_json(start_response, 200, self.report_load())
        if target == ("GET", "/records"):
            query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
            after = int(query.get("after", "0"))
            return _send_json(start_response, 200, self.describe(after))
        if target == ("POST", "/control"):
            return self._handle_control(environ, start_response)
        if target == ("POST", "/cancel"):
            waiter = self._running.get(environ.get("HTTP_X_CANCEL", ""))
            if waiter is not None and not waiter.ready():
                waiter.send(True)
            return _send_json(
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
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        body = _read_body(environ, MAX_REQUEST_BYTES)
        if body is None:
            return _send_json(start_response, 413, {"error": "too large"})
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
        start_response: StartResponse,
        status: str,
        document: models.Document,
        retry_later: bool = False,
    ) -> Iterable[bytes]:
        headers = [("X-Upstream-Started-At", str(self.started_at_ms))]
        if retry_later:
            headers.append(("Retry-After", "1"))
        return _send_body(
            start_response, status, json.dumps(document).encode(), headers
        )

    def _handle_control(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        document = _read_json(environ, MAX_CONTROL_BYTES)
        if not isinstance(document, dict):
            return _send_json(start_response, 400, {"error": "not a JSON map"})
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
        return _send_json(start_response, 200, self.report_load())


class RequestTemplate:
    """Describe a kind of request that callers send and its relative weight."""

    __slots__ = ("method", "path", "client_account", "weight")

    def __init__(
        self, method: str, path: str, client_account: str, weight: int = 1
    ) -> None:
        self.method = method
        self.path = path
        self.client_account = client_account
        self.weight = weight


REQUEST_TEMPLATES = {
    "guild": [
        RequestTemplate("GET", "/specs", "builders", 6),
        RequestTemplate("POST", "/commissions", "builders", 2),
        RequestTemplate("POST", "/kilns", "builders", 2),
    ],
    "cooperative": [
        RequestTemplate("GET", "/charts", "members", 5),
        RequestTemplate("POST", "/orders", "members", 2),
        RequestTemplate("POST", "/dues", "members", 1),
        RequestTemplate("GET", "/patterns", "cooperative", 1),
        RequestTemplate("GET", "/stock", "cooperative", 1),
    ],
}


class CallerResponse:
    """Hold an entry node's response; status 0 if the connection failed."""

    __slots__ = ("status", "outcome", "key", "headers", "body")

    def __init__(
        self,
        status: int,
        outcome: str,
        key: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self.status = status
        self.outcome = outcome
        self.key = key
        self.headers = headers
        self.body = body


NO_RESPONSE = CallerResponse(0, UNKNOWN, "", {}, b"")


class Caller:
    """Send requests to entry nodes; retry while the outcome is unknown."""

    def __init__(
        self,
        entries: list[str],
        templates: list[RequestTemplate],
        seed: int = 1,
        deadline_ms: int = 2000,
        max_attempts: int = 4,
        backoff_seconds: float = 0.2,
        max_in_flight: int = 200,
    ) -> None:
        self.entries = entries
        self.templates = templates
        self.deadline_ms = deadline_ms
        self.max_attempts = max_attempts
        self.backoff_seconds = backoff_seconds
        self.random = random.Random(seed)
        self.counts: dict[str, int] = {}
        self.results: list[models.Document] = []
        self._pool = eventlet.GreenPool(max_in_flight)
        self._idle: dict[str, list[Any]] = {}
        self._request_count = 0
        # Callers with the same seed must not send the same nonces.
        self._prefix = uuid.uuid4().hex[:12]

    def run(self, rate: float, seconds: float) -> models.Document:
        """Send requests at a fixed rate and return the counts per outcome."""
        started_at = time.monotonic()
        for number in range(int(rate * seconds)):
            delay = started_at + number / rate - time.monotonic()
            if delay > 0:
                eventlet.sleep(delay)
            template = self.random.choices(
                self.templates, [item.weight for item in self.templates]
            )[0]
            self._pool.spawn_n(self.call, template)
        self._pool.waitall()
        return dict(sorted(self.counts.items()))

    def call(
        self, template: RequestTemplate, body: bytes = b""
    ) -> models.Document:
        """Send a request, with retries, and record its result."""
        self._request_count += 1
        nonce = f"{self._prefix}-{self._request_count}"
        target = f"{template.path}?nonce={nonce}"
        if template.method != "GET":
            body = body or json.dumps({"nonce": nonce}).encode()
        response, key, attempts = self._send_until_final(
            template, target, body
        )
        outcome = response.outcome
        if outcome == "complete" and response.status == 200:
            outcome = self._verify(target, body, response)
        result = {
            "nonce": nonce,
            "key": key,
            "method": template.method,
            "path": template.path,
            "status": response.status,
            "outcome": outcome,
            "attempts": attempts,
        }
        self.results.append(result)
        self._increment_counter(outcome)
        self._increment_counter(f"status-{response.status}")
        return result

    def _send_until_final(
        self, template: RequestTemplate, target: str, body: bytes
    ) -> tuple[CallerResponse, str, int]:
        """Retry until the outcome is known or the attempts are used up."""
        key = ""
        possibly_executed = False
        response = NO_RESPONSE
        for attempt in range(self.max_attempts):
            if attempt:
                self._increment_counter("resent")
                eventlet.sleep(self.backoff_seconds * 2 ** (attempt - 1))
            retry = attempt if not key else 0
            response = self.send(template, target, body, key, retry)
            if response.status == 428 and response.key and not key:
                self._increment_counter("keys")
                key = response.key
                response = self.send(template, target, body, key)
            if response.outcome != UNKNOWN:
                break
            possibly_executed = possibly_executed or template.method == "GET"
        if possibly_executed and response.outcome == "not-run":
            # An earlier attempt without an idempotency key may have run. With
            # a key, the owner's response covers all attempts.
            response.outcome = UNKNOWN
        return response, key, attempt + 1

    def send(
        self,
        template: RequestTemplate,
        target: str,
        body: bytes,
        key: str = "",
        attempt: int = 0,
        entry: str = "",
    ) -> CallerResponse:
        """Send one request to one entry node, reusing an idle connection."""
        entry = entry or self.random.choice(self.entries)
        headers = {
            "X-Tenant": template.client_account,
            "X-Deadline-Ms": str(self.deadline_ms),
        }
        if key:
            headers["Idempotency-Key"] = key
        if attempt:
            headers["X-Retry-Attempt"] = str(attempt)
        idle = self._idle.setdefault(entry, [])
        connection = idle.pop() if idle else self._connect(entry)
        try:
            connection.request(template.method, target, body or None, headers)
            http_response = connection.getresponse()
            data = http_response.read()
        except (client.HTTPException, OSError, EOFError):
            connection.close()
            self._increment_counter("broken")
            return CallerResponse(0, UNKNOWN, "", {}, b"")
        if not http_response.will_close:
            idle.append(connection)
        response_headers = {
            name.lower(): text for name, text in http_response.getheaders()
        }
        return CallerResponse(
            http_response.status,
            response_headers.get("x-outcome", UNKNOWN),
            response_headers.get("idempotency-key", ""),
            response_headers,
            data,
        )

    def _connect(self, entry: str) -> Any:
        host, port = utils.split_address(entry)
        timeout = self.deadline_ms / 1000 + 2.0
        return client.HTTPConnection(host, port, timeout=timeout)

    def _verify(
        self, target: str, body: bytes, response: CallerResponse
    ) -> str:
        """Return "complete" if the response is whole and for this request."""
        path, _, query = target.partition("?")
        try:
            document = json.loads(response.body)
        except ValueError:
            return "mismatch"
        expected = (path, query, utils.digest(body).hex())
        actual = tuple(
            document.get(name) for name in ("path", "query", "body_digest")
        )
        return "complete" if actual == expected else "mismatch"

    def _increment_counter(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def run_platform(
    *, address: str = "127.0.0.1:0", token: str = "", hosts: str = ""
) -> int:
    """Run the platform stand-in until SIGTERM.

    :param address: IP:port to listen on; port 0 selects a free port
    :param token: bearer token of the operators
    :param hosts: JSON file of the initial host list
    """
    initial_hosts = []
    if hosts:
        with open(hosts, encoding="utf-8") as file:
            initial_hosts = json.load(file)
    return _run_until_signal(Platform(address, token, initial_hosts).server)


def run_target(
    *,
    address: str = "127.0.0.1:0",
    name: str = "upstream",
    slots: int = 12,
    connections: int = 120,
    work_ms: float = 2.0,
    warm_seconds: float = 10.0,
    refuse_seconds: float = 1.0,
) -> int:
    """Run a target stand-in until SIGTERM.

    :param address: IP:port to listen on; port 0 selects a free port
    :param name: host id in its responses and records
    :param slots: maximum number of concurrent requests when warm
    :param connections: maximum number of open connections
    :param work_ms: service time of a request when warm, in ms
    :param warm_seconds: warm-up time after a start
    :param refuse_seconds: time without a listener after a crash
    """
    target = Target(
        address,
        name,
        slots,
        connections,
        work_ms,
        warm_seconds,
        refuse_seconds,
    )
    return _run_until_signal(target.server)


def run_caller(
    *,
    entries: str,
    deployment: str = "guild",
    rate: float = 50.0,
    seconds: float = 10.0,
    seed: int = 1,
    results: str = "",
) -> int:
    """Send requests to entry nodes and print the counts as JSON.

    :param entries: caller addresses of nodes, separated by commas
    :param deployment: guild or cooperative
    :param rate: requests per second
    :param seconds: duration in seconds
    :param seed: seed of the random choices
    :param results: file to which each result is written as a JSON line
    """
    caller = Caller(entries.split(","), REQUEST_TEMPLATES[deployment], seed)
    counts = caller.run(rate, seconds)
    if results:
        with open(results, "w", encoding="utf-8") as file:
            for result in caller.results:
                file.write(json.dumps(result) + "\n")
    print(json.dumps(counts), flush=True)
    return 0


def _run_until_signal(server: Server) -> int:
    server.start()
    print(json.dumps({"address": server.address}), flush=True)
    signals: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: signals.append(number))
    signal.signal(signal.SIGINT, lambda number, _: signals.append(number))
    # A signal handler cannot wake the eventlet hub, which resumes its poll
    # after a signal, so the list is checked periodically.
    while not signals:
        eventlet.sleep(STOP_POLL_SECONDS)
    server.stop()
    return 0


def _send_json(
    start_response: StartResponse, status: int, document: models.Document
) -> Iterable[bytes]:
    reason = client.responses.get(status, "Unknown")
    body = json.dumps(document).encode()
    return _send_body(start_response, f"{status} {reason}", body)


def _send_body(
    start_response: StartResponse,
    status: str,
    body: bytes,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def _read_body(environ: dict[str, Any], limit: int) -> bytes | None:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        return None
    data: bytes = environ["wsgi.input"].read(length)
    return data


def _read_json(environ: dict[str, Any], limit: int) -> Any:
    body = _read_body(environ, limit)
    try:
        if body is None:
            return None
        return json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return None


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _close_connection(connection: Any) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()


def main(arguments: list[str] | None = None) -> int:
    """Run a stand-in, like `hickorythread standin`."""
    import defopt

    result: int = defopt.run(
        {
            "platform": run_platform,
            "upstream": run_target,
            "caller": run_caller,
        },
        argv=arguments,
        cli_options="all",
    )
    return result


if __name__ == "__main__":
    sys.exit(main())
