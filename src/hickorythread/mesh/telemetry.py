"""Metrics of one sidecar, with bounded sets of labels."""

from hickorythread import metrics
from hickorythread.mesh import entry
from hickorythread.mesh import events
from hickorythread.mesh import execution
from hickorythread.mesh import interfaces
from hickorythread.mesh import synchronizer

# A storm of new routes must not grow the page without end.
MAX_ROUTES = 64
MAX_SERVICES = 32
OTHER = "other"


class Telemetry:
    """Count what a sidecar answers, reads and holds."""

    def __init__(self, recorded: metrics.Metrics) -> None:
        self.metrics = recorded
        self.routes: set[str] = set()
        self.services: set[str] = set()
        self.durations: dict[str, metrics.Duration] = {}

    def answered(self, action: events.Respond, seconds: float) -> None:
        """Count the answer to a client and how long it took."""
        service = _bounded(action.service, self.services, MAX_SERVICES)
        self.metrics.count(
            "responses",
            route=_bounded(action.route, self.routes, MAX_ROUTES),
            service=service,
            status=str(action.response.status),
            reason=action.response.reason,
        )
        duration = self.durations.get(service)
        if duration is None:
            duration = self.metrics.duration("service", service=service)
            self.durations[service] = duration
        duration.record(seconds)

    def read(self, topic: str, result: interfaces.ReadResult) -> None:
        """Count one call to the source."""
        outcome = result.error.kind if result.is_error() else "answered"
        self.metrics.count("source_calls", topic=topic, outcome=outcome)

    def render(
        self,
        entry_plane: entry.EntryPlane,
        execution_plane: execution.ExecutionPlane,
        synchronized: synchronizer.Synchronizer,
        now: float,
    ) -> bytes:
        """Return everything as Prometheus text."""
        self._set_target(execution_plane)
        self._set_view(synchronized, now)
        for service, tokens in entry_plane.budget.tokens.items():
            self.metrics.set(
                "retry_budget",
                tokens,
                service=_bounded(service, self.services, MAX_SERVICES),
            )
        return self.metrics.render()

    def _set_target(self, plane: execution.ExecutionPlane) -> None:
        running, waiting, limit, _ = plane.admission.load()
        self.metrics.set("target_running", running)
        self.metrics.set("target_waiting", waiting)
        self.metrics.set("target_limit", limit)
        self.metrics.set("target_cold", plane.admission.bucket is not None)

    def _set_view(
        self, synchronized: synchronizer.Synchronizer, now: float
    ) -> None:
        view = synchronized.view
        self.metrics.set("configuration_version", view.version)
        self.metrics.set("targets", len(view.targets))
        self.metrics.set(
            "news_age_seconds", now - synchronized.source_contact_at
        )
        topics = len(synchronized.failing_topics)
        self.metrics.set("source_failing_topics", topics)


def _bounded(name: str, known: set[str], limit: int) -> str:
    """Return a label, "other" once there are too many."""
    if name in known:
        return name
    if len(known) >= limit:
        return OTHER
    known.add(name)
    return name
