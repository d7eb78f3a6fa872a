"""Error values, and exceptions for violated invariants."""


class HickorythreadError(Exception):
    """Serve as base class of the exceptions that this package raises."""


class InvariantError(HickorythreadError):
    """Report a violated invariant; the process logs this and stops."""


class Problem:
    """Describe a problem in a document and the path to it."""

    __slots__ = ("path", "message")

    def __init__(self, path: str, message: str) -> None:
        self.path = path
        self.message = message

    def __str__(self) -> str:
        return f"{self.path}: {self.message}" if self.path else self.message

    def __repr__(self) -> str:
        return f"Problem({self.path!r}, {self.message!r})"


class Rejection:
    """Describe the rejection of a whole patch, with the problems found."""

    __slots__ = ("patch_id", "sequence", "kind", "problems")

    def __init__(
        self,
        patch_id: str,
        sequence: int,
        kind: str,
        problems: list[Problem],
    ) -> None:
        self.patch_id = patch_id
        self.sequence = sequence
        self.kind = kind
        self.problems = problems


class Refusal:
    """Describe why a request is not admitted, as sent to the caller."""

    __slots__ = ("status", "reason", "message", "retry_after_seconds")

    def __init__(
        self,
        status: int,
        reason: str,
        message: str,
        retry_after_seconds: float = 0.0,
    ) -> None:
        self.status = status
        self.reason = reason
        self.message = message
        self.retry_after_seconds = retry_after_seconds


class DecodeError:
    """Describe why the codec refused a message.

    After a fatal error the next message cannot be found in the stream, which
    must be closed.
    """

    __slots__ = ("kind", "message", "fatal")

    def __init__(self, kind: str, message: str, fatal: bool = False) -> None:
        self.kind = kind
        self.message = message
        self.fatal = fatal
