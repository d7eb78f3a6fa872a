"""Stand-in for a caller."""

import json
import random
import time
from typing import Any
import uuid

import eventlet
from eventlet.green.http import client

from hickorythread import models
from hickorythread import utils

UNKNOWN = "unknown"


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
