"""Tells until when a topic of the view is known to be current.

A watch without an answer proves nothing: the source may be silent.
"""


class TopicProof:
    """Hold the time up to which all changes of one topic are known.

    proven_at is the latest such time, called_at when the watcher has sent the
    call that it waits for, None between calls, and wait how many seconds the
    source may wait before it answers.
    """

    __slots__ = ("proven_at", "called_at", "wait")

    def __init__(self, now: float) -> None:
        self.proven_at = now
        self.called_at: float | None = None
        self.wait = 0.0

    def age(self, now: float) -> float:
        """Return how many seconds ago the topic was last proven current."""
        return now - self.proven_at

    def record(self, proven_at: float) -> None:
        """Record a proof that all changes up to a time are known."""
        self.proven_at = max(self.proven_at, proven_at)

    def call_started(self, wait: float, now: float) -> None:
        """Record that the watcher sends a call."""
        self.called_at = now
        self.wait = wait

    def call_answered(self, has_changes: bool, now: float) -> None:
        """Record that the call of the watcher was answered.

        The answer may have been long on its way. It was written after the
        call was sent and, if it has no changes, after the wait was over.
        """
        if self.called_at is None:
            return
        waited = 0.0 if has_changes else self.wait
        if now >= self.called_at + waited:
            self.record(self.called_at + waited)
        self.called_at = None

    def call_failed(self) -> None:
        """Record that the call of the watcher has failed."""
        self.called_at = None
