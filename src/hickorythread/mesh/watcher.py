"""Tasks that read the source and keep the view up to date."""

from collections.abc import Callable

import eventlet

from hickorythread import interfaces as base_interfaces
from hickorythread import readers
from hickorythread.mesh import interfaces

WATCH_SECONDS = 25.0
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
# Changes that follow one another closely share a call.
GATHER_SECONDS = {interfaces.OPERATOR: 0.25, interfaces.TARGETS: 0.25}

Apply = Callable[[str, interfaces.Reading, bool], None]
Report = Callable[[str, str], None]


class Watcher:
    """Follow one topic of the source for as long as the node runs.

    apply takes each reading and whether it is complete; report takes the
    topic and the kind of a failure, empty once the source answers again.
    """

    def __init__(
        self,
        topic: str,
        source: interfaces.Source,
        random_source: base_interfaces.RandomSource,
        apply: Apply,
        report: Report,
        sleep: Callable[[float], None] = eventlet.sleep,
    ) -> None:
        self.topic = topic
        self.source = source
        self.apply = apply
        self.report = report
        self.sleep = sleep
        self.backoff = readers.Backoff(
            random_source, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS
        )
        self.revision: int | None = None
        self.failing = False

    def run(self) -> None:
        """Read everything once, then follow the changes."""
        while True:
            self.step()

    def step(self) -> None:
        """Make one call and handle its result."""
        if self.revision is None:
            result = self.source.read(self.topic)
        else:
            # After a failure, an answer without a wait tells of the return.
            wait = 0.0 if self.failing else WATCH_SECONDS
            result = self.source.watch(self.topic, self.revision, wait)
        if result.is_error():
            self._failed(result.error)
            return
        complete = self.revision is None
        reading = result.ok
        self.revision = reading.revision
        self.backoff.reset()
        if self.failing:
            self.failing = False
            self.report(self.topic, "")
        self.apply(self.topic, reading, complete)
        if not complete and reading.changes:
            self.sleep(GATHER_SECONDS[self.topic])

    def _failed(self, failure: interfaces.SourceFailure) -> None:
        if failure.kind == interfaces.HISTORY:
            # What was missed can only be found in a whole list.
            self.revision = None
            return
        if not self.failing:
            self.failing = True
            self.report(self.topic, failure.kind)
        self.sleep(self.backoff.next())
