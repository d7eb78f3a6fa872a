"""Stand-ins for the platform, an upstream and a caller.

They follow the published interfaces of the outside systems, run in one
process each or inside a test, and can be told to fail on purpose.
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
MAX_RUNNING = 10_000
MAX_RECORDS_PER_ANSWER = 10_000
MAX_REQUEST_BYTES = 1 << 20
MAX_CONTROL_BYTES = 16 << 20
CRASH_MARKER = b"crash-upstream"
CANCELLED_STATUS = "499 Cancelled"
STOP_POLL_SECONDS = 0.1
UNKNOWN = "unknown"

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Server:
    """Serve a WSGI application and own its listener and connections."""

    def __init__(
        self,
        application: Callable[..., Iterable[bytes]],
        address: str,
        max_connections: int = 10_000,
        connect_seconds: float = 0.0,
    ) -> None:
        self.application = application
        self.address = address
        self.max_connections = max_connections
        self.connect_seconds = connect_seconds
        self.accepted = 0
        self.refused = 0
        self._listener: Any = None
        self._acceptor: Any = None
        self._connections: dict[Any, Any] = {}

    @property
    def listening(self) -> bool:
        """Tell whether connections are accepted."""
        return self._listener is not None

    def start(self) -> None:
        """Bind the address, resolve port 0 and accept connections."""
        host, port = utils.split_address(self.address)
        self._listener = eventlet.listen(
            (host, port), backlog=1024, reuse_port=False
        )
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._acceptor = eventlet.spawn(self._accept, self._listener)

    def stop(self) -> None:
        """Close the listener and break every connection."""
        if self._listener is not None:
            self._acceptor.kill()
            self._listener.close()
            self._listener = None
        current = greenlets.getcurrent()
        for worker, connection in list(self._connections.items()):
            _shut_down(connection)
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
            if self.connect_seconds:
                eventlet.sleep(self.connect_seconds)
            if len(self._connections) >= self.max_connections:
                self.refused += 1
                connection.close()
                continue
            self.accepted += 1
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            worker = eventlet.spawn(
                server.process_request, [address, connection, "idle"]
            )
            self._connections[worker] = connection
            worker.link(self._forget)

    def _forget(self, worker: Any) -> None:
        _shut_down(self._connections.pop(worker))


class Platform:
    """Hold the patch log, the host list and the checkpoints."""

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
        self._heads: dict[str, int] = {}
        self._pending: dict[tuple[str, str], dict[int, models.Document]] = {}
        self._waiters: set[Any] = set()
        self._tokens = reads_per_second
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
        self._count(f"{target[0]} {path}")
        if target == ("GET", "/stats"):
            return _answer(start_response, 200, self.describe())
        if target == ("POST", "/control"):
            return self._control(environ, start_response)
        if self.slow_seconds:
            eventlet.sleep(self.slow_seconds)
        if self.outage:
            self._count("outage")
            return _answer(start_response, 503, {"error": "outage"})
        if target[0] == "POST":
            return self._write(path, environ, start_response)
        if not self._take_token():
            self._count("limited")
            return _answer(start_response, 429, {"error": "rate limit"})
        query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
        try:
            return self._read(path, query, start_response)
        except (KeyError, ValueError) as error:
            return _answer(start_response, 400, {"error": str(error)})

    def describe(self) -> models.Document:
        """Return the counters of reads, the heads and the faults."""
        return {
            "requests": dict(self.stats),
            "waiting": len(self._waiters),
            "heads": {name: len(log) for name, log in self.logs.items()},
            "served_heads": {name: self.head(name) for name in self.logs},
            "outage": self.outage,
        }

    def head(self, log: str) -> int:
        """Return the last sequence that readers are shown."""
        return min(
            len(self.logs[log]), self._heads.get(log, len(self.logs[log]))
        )

    def publish(self, patch: models.Document) -> int:
        """Append a patch and return its sequence."""
        sequence = len(self.logs["config"]) + 1
        published_at_ms = int(self.clock.wall() * 1000)
        entry = models.LogEntry(sequence, published_at_ms, patch)
        self.logs["config"].append(entry.to_document())
        self._wake()
        return sequence

    def change_hosts(self, changes: list[models.Document]) -> int:
        """Append changes to the host list and return their revision."""
        sequence = len(self.logs["hosts"]) + 1
        self.logs["hosts"].append({"sequence": sequence, "changes": changes})
        self._wake()
        return sequence

    def control(self, document: models.Document) -> None:
        """Cause or end faults, or change the host list after the lag.

        stale freezes the heads that readers see; rewind moves them back by
        that many entries; rewind 0 and stale false end both.
        """
        self.outage = bool(document.get("outage", self.outage))
        self.slow_seconds = float(
            document.get("slow_seconds", self.slow_seconds)
        )
        self.lag_seconds = float(document.get("lag_seconds", self.lag_seconds))
        if "stale" in document or "rewind" in document:
            back = int(document.get("rewind", 0))
            self._heads = {}
            if document.get("stale") or back:
                self._heads = {
                    name: max(0, len(log) - back)
                    for name, log in self.logs.items()
                }
        changes = document.get("hosts")
        if changes and self.lag_seconds:
            eventlet.spawn_after(self.lag_seconds, self.change_hosts, changes)
        elif changes:
            self.change_hosts(changes)
        self._wake()

    def _read(
        self, path: str, query: dict[str, str], start_response: StartResponse
    ) -> Iterable[bytes]:
        if path == "/v1/checkpoint":
            parts = self.checkpoints.get(query.get("log", "config"), [])
            number = int(query.get("part", "0"))
            if not 0 <= number < len(parts):
                return _answer(start_response, 404, {"error": "no such part"})
            return _answer(start_response, 200, parts[number])
        log = {"/v1/log": "config", "/v1/hosts": "hosts"}.get(path)
        if log is None:
            return _answer(start_response, 404, {"error": "no such path"})
        after = int(query["after"])
        wait = min(float(query.get("wait", "0")), MAX_WAIT_SECONDS)
        self._await_entries(log, after, wait)
        if self.outage:
            return _answer(start_response, 503, {"error": "outage"})
        return _send(start_response, "200 OK", self._entries(log, after))

    def _await_entries(self, log: str, after: int, wait: float) -> None:
        limit = self.clock.monotonic() + wait
        while self.head(log) <= after and not self.outage:
            remaining = limit - self.clock.monotonic()
            if remaining <= 0:
                return
            waiter = eventlet.event.Event()
            self._waiters.add(waiter)
            try:
                waiter.wait(remaining)
            finally:
                self._waiters.discard(waiter)

    def _entries(self, log: str, after: int) -> bytes:
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

    def _write(
        self, path: str, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        expected = f"Bearer {self.token}"
        if not self.token or environ.get("HTTP_AUTHORIZATION") != expected:
            return _answer(start_response, 401, {"error": "not an operator"})
        document = _read_json(environ, adapters.MAX_VALUE_BYTES)
        if not isinstance(document, dict):
            return _answer(start_response, 400, {"error": "not a JSON map"})
        if path == "/v1/log":
            sequence = self.publish(document)
            return _answer(start_response, 200, {"sequence": sequence})
        if path == "/v1/checkpoint":
            return self._store_part(document, start_response)
        return _answer(start_response, 404, {"error": "no such path"})

    def _store_part(
        self, document: models.Document, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Publish a checkpoint once all its parts have arrived."""
        try:
            log, id = str(document["log"]), str(document["id"])
            part, parts = int(document["part"]), int(document["parts"])
        except (KeyError, TypeError, ValueError):
            return _answer(start_response, 400, {"error": "not a part"})
        pending = self._pending.setdefault((log, id), {})
        pending[part] = document
        complete = sorted(pending) == list(range(parts))
        if complete:
            self.checkpoints[log] = [pending[n] for n in range(parts)]
            del self._pending[log, id]
        return _answer(start_response, 200, {"complete": complete})

    def _control(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        document = _read_json(environ, MAX_CONTROL_BYTES)
        if not isinstance(document, dict):
            return _answer(start_response, 400, {"error": "not a JSON map"})
        try:
            self.control(document)
        except (TypeError, ValueError) as error:
            return _answer(start_response, 400, {"error": str(error)})
        return _answer(start_response, 200, self.describe())

    def _take_token(self) -> bool:
        now = self.clock.monotonic()
        gained = (now - self._refilled_at) * self.reads_per_second
        self._tokens = min(self.reads_per_second, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _wake(self) -> None:
        for waiter in list(self._waiters):
            self._waiters.discard(waiter)
            waiter.send(None)

    def _count(self, name: str) -> None:
        self.stats[name] = self.stats.get(name, 0) + 1


class Upstream:
    """Run requests within slots, start cold and fall over like a real one."""

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
        self.peak = 0
        self.crashes = 0
        self.shed = 0
        self.late = 0
        self.reports = "honest"
        self.load_lag_seconds = 1.0
        self.records: list[models.Document] = []
        self._running: dict[str, Any] = {}
        self._load: tuple[float, models.Document] = (0.0, {})
        self.server = Server(self, address, connections, 0.001)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        target = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if target in (("GET", "/health"), ("GET", "/load")):
            return _answer(start_response, 200, self.report_load())
        if target == ("GET", "/records"):
            query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
            after = int(query.get("after", "0"))
            return _answer(start_response, 200, self.describe(after))
        if target == ("POST", "/control"):
            return self._control(environ, start_response)
        if target == ("POST", "/cancel"):
            waiter = self._running.get(environ.get("HTTP_X_CANCEL", ""))
            if waiter is not None and not waiter.ready():
                waiter.send(True)
            return _answer(start_response, 202, {"found": waiter is not None})
        return self._serve(environ, start_response)

    def bearable(self) -> int:
        """Return the slots that it can bear; fewer while it is cold."""
        if self.warm_seconds <= 0:
            return self.slots
        age = self.clock.monotonic() - self.started_at
        cold = max(1, self.slots // 4)
        share = min(1.0, age / self.warm_seconds)
        return cold + int((self.slots - cold) * share)

    def report_load(self) -> models.Document:
        """Return the load as the endpoint shows it, late or misleading."""
        now = self.clock.monotonic()
        honest = {
            "status": "ok",
            "in_flight": self.in_flight,
            "slots": self.slots,
            "bearable": self.bearable(),
        }
        if self.reports == "mislead":
            return honest | {"in_flight": 0, "bearable": self.slots}
        if self.reports == "honest":
            return honest
        taken_at, load = self._load
        if not load or now - taken_at >= self.load_lag_seconds:
            self._load = (now, honest)
            return load or honest
        return load

    def describe(self, after: int = 0) -> models.Document:
        """Return what it ran, in the order of start."""
        until = after + MAX_RECORDS_PER_ANSWER
        return {
            "name": self.name,
            "started_at_ms": self.started_at_ms,
            "now_ms": int(self.clock.wall() * 1000),
            "total": len(self.records),
            "peak": self.peak,
            "crashes": self.crashes,
            "shed": self.shed,
            "late": self.late,
            "connections": self.server.accepted,
            "records": self.records[after:until],
        }

    def crash(self) -> None:
        """Drop every connection, refuse for a while and come back cold."""
        running = [
            record
            for record in self.records[-MAX_RUNNING:]
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

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        body = _read_body(environ, MAX_REQUEST_BYTES)
        if body is None:
            return _answer(start_response, 413, {"error": "too large"})
        deadline_ms = int(environ.get("HTTP_X_DEADLINE_UNIX_MS", "0"))
        if deadline_ms and self.clock.wall() * 1000 >= deadline_ms:
            self.late += 1
            return self._reply(start_response, "504 Late", {"error": "late"})
        if self.in_flight >= self.slots:
            self.shed += 1
            return self._reply(
                start_response, "503 Busy", {"error": "shed"}, True
            )
        record = self._begin(environ, body)
        if CRASH_MARKER in body or self.in_flight > self.bearable():
            self.crash()
            raise greenlets.GreenletExit
        try:
            cancelled = self._work(environ, record)
        finally:
            self.in_flight -= 1
        if cancelled:
            record["outcome"] = "cancelled"
            return self._reply(start_response, CANCELLED_STATUS, {})
        record["outcome"] = "complete"
        return self._reply(
            start_response, "200 OK", self._result(environ, record)
        )

    def _begin(self, environ: dict[str, Any], body: bytes) -> models.Document:
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
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

    def _work(self, environ: dict[str, Any], record: models.Document) -> bool:
        """Work until done or cancelled; twice as long while cold."""
        query = dict(parse.parse_qsl(record["query"]))
        work_ms = float(query.get("work_ms", self.work_ms))
        if self.bearable() < self.slots:
            work_ms *= 2
        token = environ.get("HTTP_X_CANCEL", "")
        waiter = eventlet.event.Event()
        if token:
            self._running[token] = waiter
        try:
            return bool(waiter.wait(work_ms / 1000))
        finally:
            self._running.pop(token, None)

    def _result(
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

    def _reply(
        self,
        start_response: StartResponse,
        status: str,
        document: models.Document,
        retry_later: bool = False,
    ) -> Iterable[bytes]:
        headers = [("X-Upstream-Started-At", str(self.started_at_ms))]
        if retry_later:
            headers.append(("Retry-After", "1"))
        return _send(
            start_response, status, json.dumps(document).encode(), headers
        )

    def _control(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        document = _read_json(environ, MAX_CONTROL_BYTES)
        if not isinstance(document, dict):
            return _answer(start_response, 400, {"error": "not a JSON map"})
        self.work_ms = float(document.get("work_ms", self.work_ms))
        self.reports = str(document.get("reports", self.reports))
        if document.get("cold"):
            self.started_at = self.clock.monotonic()
            self.started_at_ms = int(self.clock.wall() * 1000)
        if document.get("crash"):
            self.crash()
            raise greenlets.GreenletExit
        return _answer(start_response, 200, self.report_load())


class RequestTemplate:
    """Describe one kind of request that a caller issues."""

    __slots__ = ("method", "path", "tenant", "weight")

    def __init__(
        self, method: str, path: str, tenant: str, weight: int = 1
    ) -> None:
        self.method = method
        self.path = path
        self.tenant = tenant
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


class Answer:
    """Hold what an entry node answered, or that the connection broke."""

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


BROKEN = Answer(0, UNKNOWN, "", {}, b"")


class Caller:
    """Issue requests to entry nodes and resend them on doubt."""

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
        self._serial = 0
        # Unique among callers, whatever their seeds.
        self._prefix = uuid.uuid4().hex[:12]

    def run(self, rate: float, seconds: float) -> models.Document:
        """Issue requests at a rate and return the counts."""
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
        """Carry one request to its end and record what it was told."""
        self._serial += 1
        nonce = f"{self._prefix}-{self._serial}"
        target = f"{template.path}?nonce={nonce}"
        if template.method != "GET":
            body = body or json.dumps({"nonce": nonce}).encode()
        answer, key, attempts = self._exchange(template, target, body)
        outcome = answer.outcome
        if outcome == "complete" and answer.status == 200:
            outcome = self._check(target, body, answer)
        result = {
            "nonce": nonce,
            "key": key,
            "method": template.method,
            "path": template.path,
            "status": answer.status,
            "outcome": outcome,
            "attempts": attempts,
        }
        self.results.append(result)
        self._count(outcome)
        self._count(f"status-{answer.status}")
        return result

    def _exchange(
        self, template: RequestTemplate, target: str, body: bytes
    ) -> tuple[Answer, str, int]:
        """Send until the answer is certain or the attempts are used up."""
        key = ""
        doubt = False
        answer = BROKEN
        for attempt in range(self.max_attempts):
            if attempt:
                self._count("resent")
                eventlet.sleep(self.backoff_seconds * 2 ** (attempt - 1))
            retry = attempt if not key else 0
            answer = self.send(template, target, body, key, retry)
            if answer.status == 428 and answer.key and not key:
                self._count("keys")
                key = answer.key
                answer = self.send(template, target, body, key)
            if answer.outcome != UNKNOWN:
                break
            doubt = doubt or template.method == "GET"
        if doubt and answer.outcome == "not-run":
            # An earlier attempt without a key may have run. With a key, the
            # owner's answer holds for all attempts.
            answer.outcome = UNKNOWN
        return answer, key, attempt + 1

    def send(
        self,
        template: RequestTemplate,
        target: str,
        body: bytes,
        key: str = "",
        attempt: int = 0,
        entry: str = "",
    ) -> Answer:
        """Send one request to one entry node, over an idle connection."""
        entry = entry or self.random.choice(self.entries)
        headers = {
            "X-Tenant": template.tenant,
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
            response = connection.getresponse()
            data = response.read()
        except (client.HTTPException, OSError, EOFError):
            connection.close()
            self._count("broken")
            return Answer(0, UNKNOWN, "", {}, b"")
        if not response.will_close:
            idle.append(connection)
        received = {name.lower(): text for name, text in response.getheaders()}
        return Answer(
            response.status,
            received.get("x-outcome", UNKNOWN),
            received.get("idempotency-key", ""),
            received,
            data,
        )

    def _connect(self, entry: str) -> Any:
        host, port = utils.split_address(entry)
        timeout = self.deadline_ms / 1000 + 2.0
        return client.HTTPConnection(host, port, timeout=timeout)

    def _check(self, target: str, body: bytes, answer: Answer) -> str:
        """Tell whether a response answers this very request, whole."""
        path, _, query = target.partition("?")
        try:
            document = json.loads(answer.body)
        except ValueError:
            return "mismatch"
        expected = (path, query, utils.digest(body).hex())
        shown = tuple(
            document.get(name) for name in ("path", "query", "body_digest")
        )
        return "complete" if shown == expected else "mismatch"

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def run_platform(
    *, address: str = "127.0.0.1:0", token: str = "", hosts: str = ""
) -> int:
    """Run the platform stand-in until SIGTERM.

    :param address: IP:port to listen on; port 0 chooses a free one
    :param token: bearer token of the operators
    :param hosts: JSON file with the initial host list
    """
    listed = []
    if hosts:
        with open(hosts, encoding="utf-8") as file:
            listed = json.load(file)
    return _run_until_term(Platform(address, token, listed).server)


def run_upstream(
    *,
    address: str = "127.0.0.1:0",
    name: str = "upstream",
    slots: int = 12,
    connections: int = 120,
    work_ms: float = 2.0,
    warm_seconds: float = 10.0,
    refuse_seconds: float = 1.0,
) -> int:
    """Run an upstream stand-in until SIGTERM.

    :param address: IP:port to listen on; port 0 chooses a free one
    :param name: host id shown in its responses and records
    :param slots: requests that it can bear at once when warm
    :param connections: connections that it accepts
    :param work_ms: time of one request when warm, in ms
    :param warm_seconds: time from a start until it is warm
    :param refuse_seconds: time for which it refuses after a crash
    """
    upstream = Upstream(
        address,
        name,
        slots,
        connections,
        work_ms,
        warm_seconds,
        refuse_seconds,
    )
    return _run_until_term(upstream.server)


def run_caller(
    *,
    entries: str,
    deployment: str = "guild",
    rate: float = 50.0,
    seconds: float = 10.0,
    seed: int = 1,
    results: str = "",
) -> int:
    """Issue requests to entry nodes and print counts as JSON.

    :param entries: caller addresses of nodes, separated by commas
    :param deployment: guild or cooperative
    :param rate: requests per second
    :param seconds: duration of the load
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


def _run_until_term(server: Server) -> int:
    server.start()
    print(json.dumps({"address": server.address}), flush=True)
    signals: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: signals.append(number))
    signal.signal(signal.SIGINT, lambda number, _: signals.append(number))
    # A handler cannot wake the hub, which resumes its poll after a signal.
    while not signals:
        eventlet.sleep(STOP_POLL_SECONDS)
    server.stop()
    return 0


def _answer(
    start_response: StartResponse, status: int, document: models.Document
) -> Iterable[bytes]:
    reason = client.responses.get(status, "Unknown")
    body = json.dumps(document).encode()
    return _send(start_response, f"{status} {reason}", body)


def _send(
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
        return json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        return None


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _shut_down(connection: Any) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()


def main(arguments: list[str] | None = None) -> int:
    """Run one stand-in; the command line offers the same as standin."""
    import defopt

    result: int = defopt.run(
        {
            "platform": run_platform,
            "upstream": run_upstream,
            "caller": run_caller,
        },
        argv=arguments,
        cli_options="all",
    )
    return result


if __name__ == "__main__":
    sys.exit(main())
