"""Events that the planes handle and actions that they return.

The planes do no I/O. A node, a test or a benchmark turns socket input, timers
and replies of the source into events and executes the returned actions.
"""

from typing import Any

from hickorythread import exceptions
from hickorythread import messages
from hickorythread import models


class Record:
    """Serve as base class of events and actions; its repr shows the fields."""

    __slots__: tuple[str, ...] = ()

    def __repr__(self) -> str:
        fields = ", ".join(
            f"{name}={getattr(self, name)!r:.80}" for name in self.__slots__
        )
        return f"{type(self).__name__}({fields})"


class Peer(Record):
    """Identify the node at the other end of a stream."""

    __slots__ = ("host_id", "incarnation", "region", "failure_domain")

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        region: str,
        failure_domain: str,
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.region = region
        self.failure_domain = failure_domain


class Request(Record):
    """Hold a caller's request at its entry node.

    tenant is the name of the client account. received_at and deadline are
    monotonic seconds at the entry node; deadline is None if the caller sets
    none.
    """

    __slots__ = (
        "request_id",
        "method",
        "path",
        "tenant",
        "headers",
        "body",
        "key",
        "attempt",
        "received_at",
        "deadline",
    )

    def __init__(
        self,
        request_id: int,
        method: str,
        path: str,
        tenant: str,
        headers: list[Any],
        body: bytes,
        key: str,
        attempt: int,
        received_at: float,
        deadline: float | None,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.path = path
        self.tenant = tenant
        self.headers = headers
        self.body = body
        self.key = key
        self.attempt = attempt
        self.received_at = received_at
        self.deadline = deadline


class Response(Record):
    """Hold the response to a caller's request."""

    __slots__ = (
        "status",
        "outcome",
        "headers",
        "body",
        "reason",
        "retry_after",
        "key",
        "served_by",
    )

    def __init__(
        self,
        status: int,
        outcome: str,
        headers: list[Any],
        body: bytes,
        reason: str = "",
        retry_after: float = 0.0,
        key: str = "",
        served_by: str = "",
    ) -> None:
        self.status = status
        self.outcome = outcome
        self.headers = headers
        self.body = body
        self.reason = reason
        self.retry_after = retry_after
        self.key = key
        self.served_by = served_by


# Events of the control plane.


class MessageReceived(Record):
    """Report a message; version is its sender's configuration version."""

    __slots__ = ("peer", "message", "version")

    def __init__(
        self, peer: Peer, message: messages.Message, version: int
    ) -> None:
        self.peer = peer
        self.message = message
        self.version = version


class StreamOpened(Record):
    """Report that a stream to a peer completed its handshake."""

    __slots__ = ("peer",)

    def __init__(self, peer: Peer) -> None:
        self.peer = peer


class StreamClosed(Record):
    """Report that a stream closed, or that its connection failed."""

    __slots__ = ("host_id", "reason")

    def __init__(self, host_id: str, reason: str) -> None:
        self.host_id = host_id
        self.reason = reason


class SourceRead(Record):
    """Report entries of one log that the source returned."""

    __slots__ = ("log", "entries", "head")

    def __init__(
        self, log: str, entries: list[models.Document], head: int
    ) -> None:
        self.log = log
        self.entries = entries
        self.head = head


class CheckpointRead(Record):
    """Report the source's checkpoint of a log, or None if none exists."""

    __slots__ = ("log", "document")

    def __init__(self, log: str, document: models.Document | None) -> None:
        self.log = log
        self.document = document


class SourceFailed(Record):
    """Report a failed read; kind is refused, timeout, rate or malformed."""

    __slots__ = ("log", "kind")

    def __init__(self, log: str, kind: str) -> None:
        self.log = log
        self.kind = kind


class Tick(Record):
    """Report that time has passed; timers may have expired."""

    __slots__ = ()


class Stop(Record):
    """Ask the control plane to announce a graceful shutdown."""

    __slots__ = ()


# Actions of the control plane.


class Send(Record):
    """Send a message to a host; the stream is opened if needed."""

    __slots__ = ("host_id", "message")

    def __init__(self, host_id: str, message: messages.Message) -> None:
        self.host_id = host_id
        self.message = message


class ReadSource(Record):
    """Watch a log of the source for entries after a sequence number."""

    __slots__ = ("log", "after", "wait_seconds")

    def __init__(self, log: str, after: int, wait_seconds: float) -> None:
        self.log = log
        self.after = after
        self.wait_seconds = wait_seconds


class ReadCheckpoint(Record):
    """Read the checkpoint of a log at the source."""

    __slots__ = ("log",)

    def __init__(self, log: str) -> None:
        self.log = log


class ConfigurationChanged(Record):
    """Apply a new version of the configuration."""

    __slots__ = ("configuration",)

    def __init__(self, configuration: models.Configuration) -> None:
        self.configuration = configuration


class HostsChanged(Record):
    """Apply changes of the host list; removed holds host ids."""

    __slots__ = ("changed", "removed")

    def __init__(self, changed: list[models.Host], removed: list[str]) -> None:
        self.changed = changed
        self.removed = removed


class PeerStateChanged(Record):
    """Record whether a peer is usable, as observed by this node."""

    __slots__ = ("host_id", "state", "usable")

    def __init__(self, host_id: str, state: str, usable: bool) -> None:
        self.host_id = host_id
        self.state = state
        self.usable = usable


class PatchVerdict(Record):
    """Report the verdict on a patch; rejection is None if accepted."""

    __slots__ = ("patch_id", "sequence", "version", "rejection")

    def __init__(
        self,
        patch_id: str,
        sequence: int,
        version: int,
        rejection: exceptions.Rejection | None,
    ) -> None:
        self.patch_id = patch_id
        self.sequence = sequence
        self.version = version
        self.rejection = rejection


class CloseStream(Record):
    """Close the stream to a host."""

    __slots__ = ("host_id", "reason")

    def __init__(self, host_id: str, reason: str) -> None:
        self.host_id = host_id
        self.reason = reason


class Log(Record):
    """Write one log line and count the event in the metrics."""

    __slots__ = ("event", "values")

    def __init__(self, event: str, **values: Any) -> None:
        self.event = event
        self.values = values


# Actions of the entry plane.


class SendCall(Record):
    """Send a call, a key request or a cancellation to an owner node.

    deadline is monotonic seconds at the entry node; the stream converts it
    to the receiver's clock. A message to this node's own host is not sent
    but handled in the same process.
    """

    __slots__ = ("host_id", "message", "deadline")

    def __init__(
        self, host_id: str, message: messages.Message, deadline: float
    ) -> None:
        self.host_id = host_id
        self.message = message
        self.deadline = deadline


class Respond(Record):
    """Send the response to a caller."""

    __slots__ = ("request_id", "response")

    def __init__(self, request_id: int, response: Response) -> None:
        self.request_id = request_id
        self.response = response


# Actions of the execution plane.


class RunOnTarget(Record):
    """Send a request to the target on this host.

    deadline is monotonic seconds at this node. The executor of the action
    checks it again right before the first byte is sent.
    """

    __slots__ = ("run_id", "method", "path", "headers", "body", "deadline")

    def __init__(
        self,
        run_id: int,
        method: str,
        path: str,
        headers: list[Any],
        body: bytes,
        deadline: float,
    ) -> None:
        self.run_id = run_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.deadline = deadline


class CancelOnTarget(Record):
    """Cancel a request that is running at the target."""

    __slots__ = ("run_id",)

    def __init__(self, run_id: int) -> None:
        self.run_id = run_id


class SendReply(Record):
    """Send a reply on the stream that carried the call."""

    __slots__ = ("host_id", "message")

    def __init__(self, host_id: str, message: messages.Message) -> None:
        self.host_id = host_id
        self.message = message


class ReportCrash(Record):
    """Send a crash report to each host and await acknowledgements."""

    __slots__ = ("host_ids", "message")

    def __init__(
        self, host_ids: list[str], message: messages.CrashReport
    ) -> None:
        self.host_ids = host_ids
        self.message = message


# Events of the execution plane: results of the target.


class TargetAnswered(Record):
    """Report that the target sent a complete response.

    started_at is the start time that the target reports, or 0.
    """

    __slots__ = ("run_id", "status", "headers", "body", "started_at")

    def __init__(
        self,
        run_id: int,
        status: int,
        headers: list[Any],
        body: bytes,
        started_at: int = 0,
    ) -> None:
        self.run_id = run_id
        self.status = status
        self.headers = headers
        self.body = body
        self.started_at = started_at


class TargetFailed(Record):
    """Report that a run ended without a response.

    kind is "late" or "connect" if nothing was sent, so that the request did
    not run; "lost" if the connection broke after the request was sent; or
    "timeout" or "cancelled". In the last three cases it may have run.
    """

    __slots__ = ("run_id", "kind")

    def __init__(self, run_id: int, kind: str) -> None:
        self.run_id = run_id
        self.kind = kind
