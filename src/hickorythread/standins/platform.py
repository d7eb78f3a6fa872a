"""Stand-in for the platform."""

from collections.abc import Iterable
import json
from typing import Any
from urllib import parse

import eventlet
import eventlet.event

from hickorythread import adapters
from hickorythread import interfaces
from hickorythread import models
from hickorythread import token_bucket
from hickorythread import utils
from hickorythread.standins import bodies
from hickorythread.standins import server

READS_PER_SECOND = 2_000
MAX_WAIT_SECONDS = 60.0
MAX_HOSTS_PER_ENTRY = 1_000


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
        self._read_limiter = token_bucket.TokenBucket(
            reads_per_second, reads_per_second, self.clock.monotonic()
        )
        self.server = server.Server(self, address)
        for start in range(0, len(hosts or []), MAX_HOSTS_PER_ENTRY):
            chunk = (hosts or [])[start : start + MAX_HOSTS_PER_ENTRY]
            self.change_hosts([{"op": "put", "host": host} for host in chunk])

    def __call__(
        self, environ: dict[str, Any], start_response: bodies.StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        target = (environ["REQUEST_METHOD"], path)
        self._increment_counter(f"{target[0]} {path}")
        if target == ("GET", "/stats"):
            return bodies.send_json(start_response, 200, self.describe())
        if target == ("POST", "/control"):
            return self._handle_control(environ, start_response)
        if self.slow_seconds:
            eventlet.sleep(self.slow_seconds)
        if self.outage:
            self._increment_counter("outage")
            return bodies.send_json(start_response, 503, {"error": "outage"})
        if target[0] == "POST":
            return self._handle_write(path, environ, start_response)
        if not self._read_limiter.take(self.clock.monotonic()):
            self._increment_counter("limited")
            return bodies.send_json(
                start_response, 429, {"error": "rate limit"}
            )
        query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
        try:
            return self._handle_read(path, query, start_response)
        except (KeyError, ValueError) as error:
            return bodies.send_json(start_response, 400, {"error": str(error)})

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
        self,
        path: str,
        query: dict[str, str],
        start_response: bodies.StartResponse,
    ) -> Iterable[bytes]:
        if path == "/v1/checkpoint":
            parts = self.checkpoints.get(query.get("log", "config"), [])
            number = int(query.get("part", "0"))
            if not 0 <= number < len(parts):
                return bodies.send_json(
                    start_response, 404, {"error": "no such part"}
                )
            return bodies.send_json(start_response, 200, parts[number])
        log = {"/v1/log": "config", "/v1/hosts": "hosts"}.get(path)
        if log is None:
            return bodies.send_json(
                start_response, 404, {"error": "no such path"}
            )
        after = int(query["after"])
        wait = min(float(query.get("wait", "0")), MAX_WAIT_SECONDS)
        self._wait_for_entries(log, after, wait)
        if self.outage:
            return bodies.send_json(start_response, 503, {"error": "outage"})
        return bodies.send_body(
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
        self,
        path: str,
        environ: dict[str, Any],
        start_response: bodies.StartResponse,
    ) -> Iterable[bytes]:
        expected = f"Bearer {self.token}"
        if not self.token or environ.get("HTTP_AUTHORIZATION") != expected:
            return bodies.send_json(
                start_response, 401, {"error": "not an operator"}
            )
        document = bodies.read_json(environ, adapters.MAX_VALUE_BYTES)
        if not isinstance(document, dict):
            return bodies.send_json(
                start_response, 400, {"error": "not a JSON map"}
            )
        if path == "/v1/log":
            sequence = self.publish(document)
            return bodies.send_json(
                start_response, 200, {"sequence": sequence}
            )
        if path == "/v1/checkpoint":
            return self._store_part(document, start_response)
        return bodies.send_json(start_response, 404, {"error": "no such path"})

    def _store_part(
        self, document: models.Document, start_response: bodies.StartResponse
    ) -> Iterable[bytes]:
        """Store a checkpoint part; publish the checkpoint once complete."""
        try:
            log, id = str(document["log"]), str(document["id"])
            part, parts = int(document["part"]), int(document["parts"])
        except (KeyError, TypeError, ValueError):
            return bodies.send_json(
                start_response, 400, {"error": "not a part"}
            )
        pending = self._partial_checkpoints.setdefault((log, id), {})
        pending[part] = document
        complete = sorted(pending) == list(range(parts))
        if complete:
            self.checkpoints[log] = [pending[n] for n in range(parts)]
            del self._partial_checkpoints[log, id]
        return bodies.send_json(start_response, 200, {"complete": complete})

    def _handle_control(
        self, environ: dict[str, Any], start_response: bodies.StartResponse
    ) -> Iterable[bytes]:
        document = bodies.read_json(environ, bodies.MAX_CONTROL_BYTES)
        if not isinstance(document, dict):
            return bodies.send_json(
                start_response, 400, {"error": "not a JSON map"}
            )
        try:
            self.control(document)
        except (TypeError, ValueError) as error:
            return bodies.send_json(start_response, 400, {"error": str(error)})
        return bodies.send_json(start_response, 200, self.describe())

    def _notify_waiters(self) -> None:
        for waiter in list(self._waiters):
            self._waiters.discard(waiter)
            waiter.send(None)

    def _increment_counter(self, name: str) -> None:
        self.stats[name] = self.stats.get(name, 0) + 1
