"""Tasks that read the source and keep the view up to date."""

from collections.abc import Callable
from typing import Protocol

import eventlet

from hickorythread import interfaces as base_interfaces
from hickorythread import readers
from hickorythread.mesh import interfaces

FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
# A watch returns every version; while versions follow one another faster
# than they can be fetched, only the newest is read.
STORM_SECONDS = 0.7
INACTIVE_SECONDS = 0.2


NoteRead = Callable[[str, interfaces.ReadResult], None]


def note_nothing(topic: str, result: interfaces.ReadResult) -> None:
    """Leave reads uncounted."""


class Handler(Protocol):
    """Decide when to read, and take what was read."""

    def reads_topic(self, topic: str) -> bool:
        """Return whether this node reads a topic itself."""

    def known_revision(self, topic: str) -> int | None:
        """Return the revision of what is known, None if nothing is."""

    def watch_timeout(self, topic: str) -> float:
        """Return how long a watch waits for changes."""

    def batch_delay(self) -> float:
        """Return how long changes are gathered for the next call."""

    def apply_reading(
        self, topic: str, reading: interfaces.ChangeBatch, complete: bool
    ) -> None:
        """Take a reading; complete tells that it is the whole topic."""

    def source_status_changed(self, topic: str, failure: str) -> None:
        """Note that reads fail, or succeed again if failure is empty."""

    def reading_stopped(self, topic: str) -> None:
        """Note that other nodes read a topic from now on."""


class Watcher:
    """Follow one topic of the source for as long as the node runs."""

    def __init__(
        self,
        topic: str,
        source: interfaces.Source,
        handler: Handler,
        random_source: base_interfaces.RandomSource,
        note_read: NoteRead = note_nothing,
    ) -> None:
        self.topic = topic
        self.source = source
        self.handler = handler
        self.note_read = note_read
        self.backoff = readers.Backoff(
            random_source, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS
        )
        self.revision: int | None = None
        self.failing = False
        self.idle = True
        # The newest version that was read while they come in a storm.
        self.storm_version: int | None = None

    def run(self) -> None:
        """Follow the changes, from where peers have told what is known."""
        while True:
            eventlet.sleep(self.step())

    def step(self) -> float:
        """Make one call if due; return the seconds until the next one."""
        if not self.handler.reads_topic(self.topic):
            self._pause()
            return INACTIVE_SECONDS
        if self.idle:
            self.idle = False
            self.revision = self.handler.known_revision(self.topic)
        complete = self.revision is None
        result = self._read()
        self.note_read(self.topic, result)
        if result.is_error():
            return self._failed(result.error)
        reading = result.ok
        if complete or reading.changes:
            # An answer without changes may pass over some that the source
            # has not seen yet; from the older revision they still come.
            self.revision = reading.revision
        self.backoff.reset()
        self._report("")
        self.handler.apply_reading(self.topic, reading, complete)
        return self._next_wait(reading, complete)

    def _read(self) -> interfaces.ReadResult:
        if self.revision is None:
            return self.source.read(self.topic)
        # After a failure, an answer without a wait tells of the return.
        wait = 0.0 if self.failing else self.handler.watch_timeout(self.topic)
        return self.source.watch(self.topic, self.revision, wait)

    def _next_wait(
        self, reading: interfaces.ChangeBatch, complete: bool
    ) -> float:
        """Return how long to gather changes before the next call."""
        version = _version(reading)
        if complete:
            if self.storm_version in (None, version):
                self.storm_version = None
                return 0.0
        elif not reading.superseded or version is None:
            return self.handler.batch_delay() if reading.changes else 0.0
        self.storm_version = version
        self.revision = None
        return STORM_SECONDS

    def _failed(self, failure: interfaces.SourceFailure) -> float:
        if failure.kind == interfaces.HISTORY_UNAVAILABLE:
            # What was missed can only be found in a whole list.
            self.revision = None
            return 0.0
        self._report(f"{failure.kind}: {failure.detail}")
        return self.backoff.next()

    def _report(self, failure: str) -> None:
        if self.failing != bool(failure):
            self.failing = bool(failure)
            self.handler.source_status_changed(self.topic, failure)

    def _pause(self) -> None:
        """Leave the reading to other nodes."""
        if self.idle:
            return
        self.idle = True
        self.failing = False
        self.storm_version = None
        self.handler.reading_stopped(self.topic)


def _version(reading: interfaces.ChangeBatch) -> int | None:
    """Return the newest configuration version of a reading, if any."""
    versions = [
        change.configuration.version
        for change in reading.changes
        if isinstance(change, interfaces.PutConfiguration)
    ]
    return max(versions, default=None)
