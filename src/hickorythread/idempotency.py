"""Idempotency keys and the records by which a request runs at most once."""

import collections

import blake3

from hickorythread import charts
from hickorythread import interfaces
from hickorythread import models
from hickorythread import routing

UNUSED_KEY_TTL_SECONDS = 60.0
RECORD_TTL_SECONDS = 600.0
MAX_RECORDS = 20_000
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_WAITERS = 16
NONCE_BITS = 64

Waiter = tuple[str, int]
StoredResponse = tuple[int, list[object], bytes]

CHART = charts.Chart.load("request_record")


class Key:
    """Hold an idempotency key's parts: HOST~INCARNATION~MILLISECONDS~NONCE."""

    __slots__ = ("host_id", "incarnation", "issued_ms", "nonce")

    def __init__(
        self, host_id: str, incarnation: int, issued_ms: int, nonce: str
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.issued_ms = issued_ms
        self.nonce = nonce

    @classmethod
    def parse(cls, text: str) -> "Key | None":
        """Return the parsed key, or None if no node issues such a key."""
        parts = text.split("~")
        if len(parts) != 4 or len(text) > 200 or not parts[0]:
            return None
        if not (_is_number(parts[1]) and _is_number(parts[2])):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), parts[3])


class KeyRecord:
    """Hold the state of one key and, once it is complete, the response."""

    __slots__ = (
        "key",
        "state",
        "body_digest",
        "response",
        "waiters",
        "match",
    )

    def __init__(self, key: str) -> None:
        self.key = key
        self.state = CHART.initial
        self.body_digest = b""
        self.response: StoredResponse | None = None
        self.waiters: list[Waiter] | None = None
        self.match: routing.RouteMatch | None = None

    @property
    def size(self) -> int:
        """Return the size of the stored response in bytes."""
        return 0 if self.response is None else _response_size(self.response)


class KeyStore:
    """Hold the keys that the owner node issued, and their records.

    Times are in seconds of the owner's clock.
    """

    __slots__ = (
        "host_id",
        "incarnation",
        "random_source",
        "records",
        "issued",
        "finished",
        "response_bytes",
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        random_source: interfaces.RandomSource,
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.random_source = random_source
        self.records: dict[str, KeyRecord] = {}
        self.issued: collections.deque[tuple[float, str]] = collections.deque()
        self.finished: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self.response_bytes = 0

    def issue(self, now: float) -> str | None:
        """Return a new key, or None while the table is full."""
        self.expire(now)
        if (
            len(self.records) >= MAX_RECORDS
            or self.response_bytes >= MAX_RESPONSE_BYTES
        ):
            return None
        nonce = self.random_source.getrandbits(NONCE_BITS)
        issued_ms = int(now * 1000)
        key = f"{self.host_id}~{self.incarnation}~{issued_ms}~{nonce:016x}"
        self.records[key] = KeyRecord(key)
        self.issued.append((now, key))
        return key

    def is_own(self, key: Key) -> bool:
        """Return whether the key names this host and incarnation."""
        return (
            key.host_id == self.host_id and key.incarnation == self.incarnation
        )

    def find(self, text: str, now: float) -> KeyRecord | None:
        """Return the record of a key unless it has expired."""
        self.expire(now)
        return self.records.get(text)

    def was_never_issued(self, key: Key, now: float) -> bool:
        """Return whether a key without a record was certainly never issued.

        A key of another incarnation or an expired key may have been used.
        """
        age = now - key.issued_ms / 1000
        return self.is_own(key) and age <= UNUSED_KEY_TTL_SECONDS

    def begin(
        self,
        record: KeyRecord,
        body_digest: bytes,
        match: routing.RouteMatch,
    ) -> None:
        """Record that the request of a key has been admitted."""
        record.state = CHART.next(record.state, "begin")
        record.body_digest = body_digest
        record.match = match
        record.waiters = []

    def finish(
        self, record: KeyRecord, response: StoredResponse, now: float
    ) -> bool:
        """Store the response; return False if it exceeds the size limit."""
        if self.response_bytes + _response_size(response) > MAX_RESPONSE_BYTES:
            self.lose(record, now)
            return False
        record.state = CHART.next(record.state, "finish")
        record.response = response
        self.response_bytes += record.size
        self._mark_finished(record, now)
        return True

    def refuse(
        self, record: KeyRecord, body_digest: bytes, now: float
    ) -> None:
        """Record that the request of a key will never run."""
        record.state = CHART.next(record.state, "refuse")
        record.body_digest = body_digest
        self._mark_finished(record, now)

    def lose(self, record: KeyRecord, now: float) -> None:
        """Record that it is unknown whether the request ran."""
        record.state = CHART.next(record.state, "lose")
        self._mark_finished(record, now)

    def expire(self, now: float) -> None:
        """Remove unused keys after 60 s and finished records after 600 s."""
        while self.issued and now - self.issued[0][0] > UNUSED_KEY_TTL_SECONDS:
            record = self.records.get(self.issued.popleft()[1])
            if record is not None and record.state == CHART.initial:
                record.state = CHART.next(record.state, "expire")
                del self.records[record.key]
        while self.finished and now - self.finished[0][0] > RECORD_TTL_SECONDS:
            record = self.records.pop(self.finished.popleft()[1])
            self.response_bytes -= record.size

    def drop_disallowed_responses(
        self, region: str, configuration: models.Configuration
    ) -> int:
        """Drop the responses that the region may no longer store.

        Returns their number. A caller that sends such a key again gets the
        outcome unknown.
        """
        allowed: dict[routing.RouteMatch, bool] = {}
        dropped = 0
        for _, key in self.finished:
            record = self.records[key]
            match = record.match
            if record.response is None or match is None:
                continue
            if match not in allowed:
                allowed[match] = match.is_still_allowed(region, configuration)
            if not allowed[match]:
                self.response_bytes -= record.size
                record.response = None
                dropped += 1
        return dropped

    def _mark_finished(self, record: KeyRecord, now: float) -> None:
        self.finished.append((now, record.key))
        record.waiters = None


def body_digest(
    client_account: str, method: str, path: str, body: bytes
) -> bytes:
    """Return the digest that distinguishes requests with the same key."""
    head = f"{client_account}\0{method}\0{path}\0".encode()
    return blake3.blake3(head).update(body).digest(16)


def _response_size(response: StoredResponse) -> int:
    _, headers, body = response
    return len(body) + sum(len(str(header)) for header in headers)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 24
