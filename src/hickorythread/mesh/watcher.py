"""Tasks that watch the source for changes."""

from collections.abc import Callable
from typing import Protocol

import eventlet

from hickorythread import interfaces as base_interfaces
from hickorythread import readers
from hickorythread.mesh import interfaces
from hickorythread.mesh import models

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
# A watch returns every configuration version. While versions are published
# faster than they can be fetched, the watcher waits this long and then reads
# only the newest one.
COALESCE_SECONDS = 0.7
INACTIVE_POLL_SECONDS = 0.2


ReadCallback = Callable[[str, interfaces.ReadResult], None]


def ignore_read(topic: str, result: interfaces.ReadResult) -> None:
    """Ignore the result of a read."""


class Handler(Protocol):
    """Decide when a watcher reads, and receive what it has read."""

    def reads_topic(self, topic: str) -> bool:
        """Return whether this node reads a topic from the source."""

    def known_position(self, topic: str) -> models.Position | None:
        """Return up to where a topic is known, None if it is not."""

    def call_started(self, topic: str, wait: float) -> None:
        """Record that a call starts, which waits for up to wait seconds."""

    def call_ended(self, topic: str, result: interfaces.ReadResult) -> None:
        """Record that the call was answered or has failed."""

    def watch_timeout(self, topic: str) -> float:
        """Return how many seconds a watch waits for changes."""

    def batch_delay(self) -> float:
        """Return how many seconds to batch changes before the next call."""

    def apply_batch(
        self, topic: str, batch: interfaces.ChangeBatch, complete: bool
    ) -> None:
        """Apply a batch; complete is true if it holds the whole topic."""

    def source_status_changed(self, topic: str, failure: str) -> None:
        """Record that reads fail, or succeed again if failure is empty."""

    def reading_stopped(self, topic: str) -> None:
        """Record that this node no longer reads a topic itself."""


class Watcher:
    """Watch one topic of the source for as long as the node runs."""

    def __init__(
        self,
        topic: str,
        source: interfaces.Source,
        handler: Handler,
        random_source: base_interfaces.RandomSource,
        on_read: ReadCallback = ignore_read,
    ) -> None:
        self.topic = topic
        self.source = source
        self.handler = handler
        self.on_read = on_read
        self.backoff = readers.Backoff(
            random_source, MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS
        )
        self.position: models.Position | None = None
        self.failing = False
        self.paused = True
        # The version read last while versions are being coalesced.
        self.coalesced_version: int | None = None

    def run(self) -> None:
        """Watch the topic from the revision that the view already holds."""
        while True:
            eventlet.sleep(self.step())

    def step(self) -> float:
        """Make at most one call; return the seconds until the next step."""
        if not self.handler.reads_topic(self.topic):
            self._pause()
            return INACTIVE_POLL_SECONDS
        if self.paused:
            self.paused = False
            self.position = self.handler.known_position(self.topic)
        complete = self.position is None
        result = self._read()
        self.handler.call_ended(self.topic, result)
        self.on_read(self.topic, result)
        if result.is_error():
            return self._handle_failure(result.error)
        batch = result.ok
        if not complete and self._is_of_another_era(batch):
            # What the revision stood for may be gone; read everything.
            self.position = None
            return 0.0
        if batch.is_partial:
            # What could not be decoded is read again.
            self._apply(batch, complete)
            return self.backoff.next()
        if complete or batch.changes:
            # A response without changes may carry a revision whose changes
            # the source has not processed yet. Keeping the older revision
            # ensures that a later watch returns them.
            self.position = batch.position
        self.backoff.reset()
        self._report_status("")
        self._apply(batch, complete)
        return self._next_delay(batch, complete)

    def _apply(self, batch: interfaces.ChangeBatch, complete: bool) -> None:
        """Apply a batch; what a failed one has skipped is read again."""
        try:
            self.handler.apply_batch(self.topic, batch, complete)
        except Exception:
            self.position = None
            raise

    def _read(self) -> interfaces.ReadResult:
        if self.position is None:
            self.handler.call_started(self.topic, 0.0)
            return self.source.read(self.topic)
        # After a failure, a watch without a wait detects recovery at once.
        wait = 0.0 if self.failing else self.handler.watch_timeout(self.topic)
        self.handler.call_started(self.topic, wait)
        return self.source.watch(self.topic, self.position.revision, wait)

    def _is_of_another_era(self, batch: interfaces.ChangeBatch) -> bool:
        """Return whether the source was restored since the last response."""
        known, answered = self.position, batch.position
        if known is None or not known.has_era or not answered.has_era:
            return False
        return known.era != answered.era

    def _next_delay(
        self, batch: interfaces.ChangeBatch, complete: bool
    ) -> float:
        """Return the seconds to wait before the next call."""
        version = _newest_version(batch)
        if complete:
            if self.coalesced_version in (None, version):
                self.coalesced_version = None
                return 0.0 if batch.changes else self.handler.batch_delay()
        elif not batch.superseded or version is None:
            return self.handler.batch_delay() if batch.changes else 0.0
        self.coalesced_version = version
        self.position = None
        return COALESCE_SECONDS

    def _handle_failure(self, failure: interfaces.SourceFailure) -> float:
        if failure.kind == interfaces.HISTORY_UNAVAILABLE:
            # The missed changes are gone from the history; read everything.
            self.position = None
            return 0.0
        if failure.kind == interfaces.WATCH_ENDED:
            # What it has missed may be known from a check or from a peer.
            self.position = self.handler.known_position(self.topic)
            return 0.0
        self._report_status(f"{failure.kind}: {failure.detail}")
        return self.backoff.next()

    def _report_status(self, failure: str) -> None:
        if self.failing != bool(failure):
            self.failing = bool(failure)
            self.handler.source_status_changed(self.topic, failure)

    def _pause(self) -> None:
        """Stop reading and reset the state of the current watch."""
        if self.paused:
            return
        self.paused = True
        self.failing = False
        self.coalesced_version = None
        self.handler.reading_stopped(self.topic)


def _newest_version(batch: interfaces.ChangeBatch) -> int | None:
    """Return the newest configuration version in a batch, if any."""
    versions = [
        change.configuration.version
        for change in batch.changes
        if isinstance(change, interfaces.PutConfiguration)
    ]
    return max(versions, default=None)
