"""Typed messages between nodes.

The order of `__slots__` is the field order on the wire. The codec checks
each value against the type at the same index of `types`. All times in messages
are monotonic seconds on the clock of the node that receives the message
unless a field says otherwise.
"""

from typing import Any

from hickorythread import http_fields

CONFIG_LOG = "config"
HOSTS_LOG = "hosts"

COMPLETE = "complete"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

# Statuses of final responses have three digits and do not begin with 1.
MIN_FINAL_STATUS = 200
MAX_STATUS = 999


class Message:
    """Serve as base of messages, with equality and repr by field values."""

    __slots__: tuple[str, ...] = ()
    code = 0
    types: tuple[type, ...] = ()
    # Values of the last fields if a node of an earlier release omits them.
    defaults: tuple[Any, ...] = ()

    def values(self) -> list[Any]:
        """Return the field values in wire order."""
        return [getattr(self, name) for name in self.__slots__]

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Message)
            and type(self) is type(other)
            and self.values() == other.values()
        )

    def __repr__(self) -> str:
        fields = ", ".join(
            f"{name}={getattr(self, name)!r:.60}" for name in self.__slots__
        )
        return f"{type(self).__name__}({fields})"


class Hello(Message):
    """Identify the sender; the first message in each direction of a stream."""

    __slots__ = (
        "host_id",
        "incarnation",
        "region",
        "failure_domain",
        "release_rules",
    )
    code = 1
    types = (str, int, str, str, int)

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        region: str,
        failure_domain: str,
        release_rules: int,
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.region = region
        self.failure_domain = failure_domain
        self.release_rules = release_rules


class Ping(Message):
    """Probe a peer's liveness and clock and state the sender's positions.

    sent_at is on the sender's clock. beacon_age is the age in seconds of the
    newest beacon, negative if there is none.
    """

    __slots__ = (
        "sent_at",
        "config_sequence",
        "config_digest",
        "hosts_sequence",
        "hosts_digest",
        "beacon_number",
        "beacon_age",
    )
    code = 2
    types = (float, int, bytes, int, bytes, int, float)

    def __init__(
        self,
        sent_at: float,
        config_sequence: int,
        config_digest: bytes,
        hosts_sequence: int,
        hosts_digest: bytes,
        beacon_number: int,
        beacon_age: float,
    ) -> None:
        self.sent_at = sent_at
        self.config_sequence = config_sequence
        self.config_digest = config_digest
        self.hosts_sequence = hosts_sequence
        self.hosts_digest = hosts_digest
        self.beacon_number = beacon_number
        self.beacon_age = beacon_age


class Pong(Message):
    """Reply to a ping with its sent_at and the responder's clock reading."""

    __slots__ = (
        "echoed_at",
        "answered_at",
        "config_sequence",
        "config_digest",
        "hosts_sequence",
        "hosts_digest",
        "beacon_number",
        "beacon_age",
    )
    code = 3
    types = (float, float, int, bytes, int, bytes, int, float)

    def __init__(
        self,
        echoed_at: float,
        answered_at: float,
        config_sequence: int,
        config_digest: bytes,
        hosts_sequence: int,
        hosts_digest: bytes,
        beacon_number: int,
        beacon_age: float,
    ) -> None:
        self.echoed_at = echoed_at
        self.answered_at = answered_at
        self.config_sequence = config_sequence
        self.config_digest = config_digest
        self.hosts_sequence = hosts_sequence
        self.hosts_digest = hosts_digest
        self.beacon_number = beacon_number
        self.beacon_age = beacon_age


class Beacon(Message):
    """Show that updates still propagate from the first reader.

    Beacons are ordered by issued_at alone, not by reader_incarnation and
    number.
    """

    __slots__ = (
        "reader",
        "reader_incarnation",
        "number",
        "issued_at",
        "range_low",
        "range_high",
    )
    code = 4
    types = (str, int, int, float, int, int)

    def __init__(
        self,
        reader: str,
        reader_incarnation: int,
        number: int,
        issued_at: float,
        range_low: int,
        range_high: int,
    ) -> None:
        self.reader = reader
        self.reader_incarnation = reader_incarnation
        self.number = number
        self.issued_at = issued_at
        self.range_low = range_low
        self.range_high = range_high


class Push(Message):
    """Deliver log entries and delegate a range of the ring to the receiver.

    entries is a zstd-compressed msgpack list of entry documents.
    """

    __slots__ = (
        "log",
        "push_id",
        "first_sequence",
        "entries",
        "version",
        "digest",
        "range_low",
        "range_high",
    )
    code = 5
    types = (str, int, int, bytes, int, bytes, int, int)

    def __init__(
        self,
        log: str,
        push_id: int,
        first_sequence: int,
        entries: bytes,
        version: int,
        digest: bytes,
        range_low: int,
        range_high: int,
    ) -> None:
        self.log = log
        self.push_id = push_id
        self.first_sequence = first_sequence
        self.entries = entries
        self.version = version
        self.digest = digest
        self.range_low = range_low
        self.range_high = range_high


class PushAck(Message):
    """Acknowledge a push by its id."""

    __slots__ = ("push_id", "sequence")
    code = 6
    types = (int, int)

    def __init__(self, push_id: int, sequence: int) -> None:
        self.push_id = push_id
        self.sequence = sequence


class EntriesRequest(Message):
    """Request the entries of a log after a sequence number."""

    __slots__ = ("log", "after_sequence")
    code = 7
    types = (str, int)

    def __init__(self, log: str, after_sequence: int) -> None:
        self.log = log
        self.after_sequence = after_sequence


class Entries(Message):
    """Reply with entries, compressed as in a push.

    version and digest describe the state after the last entry.
    """

    __slots__ = ("log", "first_sequence", "entries", "version", "digest")
    code = 8
    types = (str, int, bytes, int, bytes)

    def __init__(
        self,
        log: str,
        first_sequence: int,
        entries: bytes,
        version: int,
        digest: bytes,
    ) -> None:
        self.log = log
        self.first_sequence = first_sequence
        self.entries = entries
        self.version = version
        self.digest = digest


class SnapshotRequest(Message):
    """Request a chunk of a log's snapshot from a byte offset."""

    __slots__ = ("log", "sequence", "offset")
    code = 9
    types = (str, int, int)

    def __init__(self, log: str, sequence: int, offset: int) -> None:
        self.log = log
        self.sequence = sequence
        self.offset = offset


class SnapshotChunk(Message):
    """Carry one chunk of a compressed snapshot."""

    __slots__ = (
        "log",
        "sequence",
        "version",
        "digest",
        "offset",
        "total",
        "data",
    )
    code = 10
    types = (str, int, int, bytes, int, int, bytes)

    def __init__(
        self,
        log: str,
        sequence: int,
        version: int,
        digest: bytes,
        offset: int,
        total: int,
        data: bytes,
    ) -> None:
        self.log = log
        self.sequence = sequence
        self.version = version
        self.digest = digest
        self.offset = offset
        self.total = total
        self.data = data


class Leaving(Message):
    """Announce a graceful shutdown and delegate a range of the ring."""

    __slots__ = ("host_id", "incarnation", "range_low", "range_high")
    code = 11
    types = (str, int, int, int)

    def __init__(
        self, host_id: str, incarnation: int, range_low: int, range_high: int
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.range_low = range_low
        self.range_high = range_high


class StatusReport(Message):
    """Report the version counts of a subtree to the parent.

    counts holds [version, digest, count] and laggards [host id, version].
    """

    __slots__ = ("failure_domain", "counts", "laggards")
    code = 12
    types = (str, list, list)

    def __init__(
        self, failure_domain: str, counts: list[Any], laggards: list[Any]
    ) -> None:
        self.failure_domain = failure_domain
        self.counts = counts
        self.laggards = laggards


class StatusRequest(Message):
    """Request the version counts of a failure domain from its root."""

    __slots__ = ("request_id",)
    code = 13
    types = (int,)

    def __init__(self, request_id: int) -> None:
        self.request_id = request_id


class StatusReply(Message):
    """Reply to a status request with a failure domain's version counts."""

    __slots__ = ("request_id", "failure_domain", "counts", "laggards")
    code = 14
    types = (int, str, list, list)

    def __init__(
        self,
        request_id: int,
        failure_domain: str,
        counts: list[Any],
        laggards: list[Any],
    ) -> None:
        self.request_id = request_id
        self.failure_domain = failure_domain
        self.counts = counts
        self.laggards = laggards


class IssueKey(Message):
    """Request an idempotency key from an owner node."""

    __slots__ = ("call_id", "service")
    code = 15
    types = (int, str)

    def __init__(self, call_id: int, service: str) -> None:
        self.call_id = call_id
        self.service = service


class KeyIssued(Message):
    """Reply with a key, or with an empty key and a reason."""

    __slots__ = ("call_id", "key", "reason", "load")
    code = 16
    types = (int, str, str, list)

    def __init__(
        self, call_id: int, key: str, reason: str, load: list[int]
    ) -> None:
        self.call_id = call_id
        self.key = key
        self.reason = reason
        self.load = load


class Call(Message):
    """Ask an owner node to run a request.

    tenant is the name of the client account. key is the idempotency key,
    empty if the request has none.
    """

    __slots__ = (
        "call_id",
        "route",
        "tenant",
        "method",
        "path",
        "headers",
        "body",
        "deadline",
        "key",
        "attempt",
    )
    code = 17
    types = (int, str, str, str, str, list, bytes, float, str, int)

    def __init__(
        self,
        call_id: int,
        route: str,
        tenant: str,
        method: str,
        path: str,
        headers: list[Any],
        body: bytes,
        deadline: float,
        key: str,
        attempt: int,
    ) -> None:
        self.call_id = call_id
        self.route = route
        self.tenant = tenant
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.deadline = deadline
        self.key = key
        self.attempt = attempt


class Reply(Message):
    """Reply to a call.

    load holds the in-flight count, queue length, limit and ramp flag of the
    owner. body_length lets the receiver detect a truncated body. ending_target
    is the id of the target if its response says that it is about to end.
    """

    __slots__ = (
        "call_id",
        "outcome",
        "status",
        "headers",
        "body",
        "body_length",
        "reason",
        "retry_after",
        "load",
        "ending_target",
    )
    code = 18
    types = (int, str, int, list, bytes, int, str, float, list, str)
    # Nodes of earlier releases do not name it.
    defaults = ("",)

    def __init__(
        self,
        call_id: int,
        outcome: str,
        status: int,
        headers: list[Any],
        body: bytes,
        body_length: int,
        reason: str,
        retry_after: float,
        load: list[int],
        ending_target: str = "",
    ) -> None:
        self.call_id = call_id
        self.outcome = outcome
        self.status = status
        self.headers = headers
        self.body = body
        self.body_length = body_length
        self.reason = reason
        self.retry_after = retry_after
        self.load = load
        self.ending_target = ending_target


class Cancel(Message):
    """Cancel a call whose caller no longer waits."""

    __slots__ = ("call_id",)
    code = 19
    types = (int,)

    def __init__(self, call_id: int) -> None:
        self.call_id = call_id


class CrashReport(Message):
    """Report that a target crashed while it ran a request."""

    __slots__ = ("report_id", "fingerprint", "victim", "service")
    code = 20
    types = (int, bytes, str, str)

    def __init__(
        self, report_id: int, fingerprint: bytes, victim: str, service: str
    ) -> None:
        self.report_id = report_id
        self.fingerprint = fingerprint
        self.victim = victim
        self.service = service


class CrashAck(Message):
    """Acknowledge a crash report."""

    __slots__ = ("report_id",)
    code = 21
    types = (int,)

    def __init__(self, report_id: int) -> None:
        self.report_id = report_id


class ClockProbe(Message):
    """Request the peer's monotonic time; sent_at is on the sender's clock."""

    __slots__ = ("sent_at",)
    code = 22
    types = (float,)

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at


class ClockReply(Message):
    """Reply to a clock probe with the responder's monotonic time."""

    __slots__ = ("echoed_at", "answered_at")
    code = 23
    types = (float, float)

    def __init__(self, echoed_at: float, answered_at: float) -> None:
        self.echoed_at = echoed_at
        self.answered_at = answered_at


def is_final_status(status: int) -> bool:
    """Return whether a number is the status of a final response.

    Those below 200 are interim ones; a client would wait for another.
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def is_header_list(values: list[Any]) -> bool:
    """Return whether all items are pairs of a header's name and value."""
    return all(
        type(item) in (list, tuple)
        and len(item) == 2
        and type(item[0]) is str
        and type(item[1]) is str
        and http_fields.is_valid(item[0], item[1])
        for item in values
    )


BY_CODE: dict[int, type[Message]] = {
    cls.code: cls for cls in Message.__subclasses__()
}
