"""Protocol classes between the data path and its platform."""

from typing import Any
from typing import Protocol

import expression

from hickorythread import memory_budget
from hickorythread.mesh import events
from hickorythread.mesh import messages
from hickorythread.mesh import models

OPERATOR = "operator"
TARGETS = "targets"

HISTORY_UNAVAILABLE = "history"
# The call ended without an answer.
NO_ANSWER = "unreachable"
# end_watch() has ended the call.
WATCH_ENDED = "ended"
# This process could not open a socket.
NO_DESCRIPTOR = "no-descriptor"
# Failures that say nothing against the source.
ANSWERED_KINDS = frozenset((HISTORY_UNAVAILABLE, WATCH_ENDED))


class PutConfiguration(events.Record):
    """Carry the newest configuration."""

    __slots__ = ("configuration",)

    def __init__(self, configuration: models.Configuration) -> None:
        self.configuration = configuration


class SetEvacuated(events.Record):
    """Report that a failure domain is evacuated or back in use."""

    __slots__ = ("failure_domain", "evacuated")

    def __init__(self, failure_domain: str, evacuated: bool) -> None:
        self.failure_domain = failure_domain
        self.evacuated = evacuated


class PutTarget(events.Record):
    """Report a target that registered or changed its registration.

    revision is that of the write, 0 if it is not known.
    """

    __slots__ = ("target", "revision")

    def __init__(self, target: models.Target, revision: int = 0) -> None:
        self.target = target
        self.revision = revision


class RemoveTarget(events.Record):
    """Report a target that left or whose registration expired.

    announced is True if the target is known to have said before that it
    leaves, in a change which this one supersedes.
    """

    __slots__ = ("target_id", "announced")

    def __init__(self, target_id: str, announced: bool = False) -> None:
        self.target_id = target_id
        self.announced = announced


Change = PutConfiguration | SetEvacuated | PutTarget | RemoveTarget


class ChangeBatch(events.Record):
    """Hold the changes that one read returned.

    revision is the position from which to watch for further changes.
    superseded counts the changes that were dropped because a later change in
    the same batch replaces them. era is that of the source. is_partial is
    True if the configuration could not be decoded: the other changes hold, and
    the position was not reached.
    """

    __slots__ = ("changes", "revision", "superseded", "era", "is_partial")

    def __init__(
        self,
        changes: list[Change],
        revision: int,
        superseded: int = 0,
        era: int = models.UNKNOWN_ERA,
        is_partial: bool = False,
    ) -> None:
        self.changes = changes
        self.revision = revision
        self.superseded = superseded
        self.era = era
        self.is_partial = is_partial

    @property
    def position(self) -> models.Position:
        """Return the position of the source after these changes."""
        return models.Position(self.era, self.revision)


class SourceFailure(events.Record):
    """Describe a failed read.

    kind is "history" if the source no longer keeps the changes since the
    requested revision.
    """

    __slots__ = ("kind", "detail")

    def __init__(self, kind: str, detail: str = "") -> None:
        self.kind = kind
        self.detail = detail


ReadResult = expression.Result[ChangeBatch, SourceFailure]


class Source(Protocol):
    """Read the data that the operator and the targets publish."""

    def read(self, topic: str) -> ReadResult:
        """Return the complete current state of a topic."""

    def watch(self, topic: str, after: int, wait: float) -> ReadResult:
        """Return the changes after a revision; waits up to wait seconds."""

    def end_watch(self, topic: str) -> None:
        """End the watch that waits, which fails with WATCH_ENDED."""

    def use_address(self, address: str) -> None:
        """Change the address of the source for subsequent reads."""


class Client(Protocol):
    """Stand for the client that waits for the response to one request.

    received_at is the monotonic time at which the request was read. hold
    counts the memory of the request.
    """

    received_at: float
    hold: memory_budget.Hold

    def connected(self) -> bool:
        """Return whether the client is still connected."""

    def deliver(self, response: events.Response) -> None:
        """Send the response to the client."""

    def disconnect(self) -> None:
        """Give up the connection of a client that is gone."""


class Dialect(Protocol):
    """Translate requests and responses between HTTP and the data path."""

    def read_request(
        self, number: int, environ: dict[str, Any], body: bytes, now: float
    ) -> events.Request:
        """Build a request from the WSGI environment of a client request."""

    def target_headers(
        self, call: messages.Forward, instance: str, remaining: float
    ) -> list[str]:
        """Return the header lines of a request to a target."""

    def matches_call(self, call: messages.Forward, fields: list[Any]) -> bool:
        """Return whether the headers of a response match a call."""

    def is_signed(self, fields: list[Any]) -> bool:
        """Return whether a response bears the signature of a target."""

    def read_response(
        self, status: int, fields: list[Any], body: bytes
    ) -> events.TargetResponse:
        """Build a TargetResponse from the HTTP response of a target."""

    def response_headers(self, response: events.Response) -> list[Any]:
        """Return the headers of the response to a client."""
