"""Protocol types between the data path and the platform it runs on."""

from typing import Any
from typing import Protocol

import expression

from hickorythread.mesh import events
from hickorythread.mesh import messages
from hickorythread.mesh import models

OPERATOR = "operator"
TARGETS = "targets"

HISTORY_UNAVAILABLE = "history"


class PutConfiguration(events.Record):
    """Report the newest configuration."""

    __slots__ = ("configuration",)

    def __init__(self, configuration: models.Configuration) -> None:
        self.configuration = configuration


class SetEvacuated(events.Record):
    """Report that a failure domain is evacuated or taken back."""

    __slots__ = ("failure_domain", "evacuated")

    def __init__(self, failure_domain: str, evacuated: bool) -> None:
        self.failure_domain = failure_domain
        self.evacuated = evacuated


class PutTarget(events.Record):
    """Report a target that registered or changed."""

    __slots__ = ("target",)

    def __init__(self, target: models.Target) -> None:
        self.target = target


class RemoveTarget(events.Record):
    """Report a target that left or whose entry expired."""

    __slots__ = ("target_id",)

    def __init__(self, target_id: str) -> None:
        self.target_id = target_id


Change = PutConfiguration | SetEvacuated | PutTarget | RemoveTarget


class ChangeBatch(events.Record):
    """Hold what one read returned; revision is where to go on.

    superseded counts the changes left out because a later one in the same
    reading replaces them.
    """

    __slots__ = ("changes", "revision", "superseded")

    def __init__(
        self, changes: list[Change], revision: int, superseded: int = 0
    ) -> None:
        self.changes = changes
        self.revision = revision
        self.superseded = superseded


class SourceFailure(events.Record):
    """Describe a read without a result.

    kind is "history" if the changes since a revision are no longer kept.
    """

    __slots__ = ("kind", "detail")

    def __init__(self, kind: str, detail: str = "") -> None:
        self.kind = kind
        self.detail = detail


ReadResult = expression.Result[ChangeBatch, SourceFailure]


class Source(Protocol):
    """Read what the operator and the targets publish."""

    def read(self, topic: str) -> ReadResult:
        """Return everything under a topic."""

    def watch(self, topic: str, after: int, wait: float) -> ReadResult:
        """Return the changes after a revision, waiting some seconds."""

    def use_address(self, address: str) -> None:
        """Read from another address from now on."""


class Dialect(Protocol):
    """Translate requests and responses between wire and data path."""

    def read_request(
        self, number: int, environ: dict[str, Any], body: bytes, now: float
    ) -> events.Request:
        """Build the request that a client sent."""

    def target_headers(
        self, call: messages.Forward, instance: str, remaining: float
    ) -> list[str]:
        """Return the header lines of a request for a target."""

    def is_answer(self, call: messages.Forward, fields: list[Any]) -> bool:
        """Return whether a response belongs to a call."""

    def read_answer(
        self, status: int, fields: list[Any], body: bytes
    ) -> events.Answer:
        """Build the answer that a target gave."""

    def response_headers(self, response: events.Response) -> list[Any]:
        """Return the headers of the response to a client."""
