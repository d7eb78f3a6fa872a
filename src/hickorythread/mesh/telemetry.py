"""Metrics of one sidecar, with a bounded number of label values."""

from hickorythread import memory_budget
from hickorythread import metrics
from hickorythread import pipelining
from hickorythread.mesh import entry
from hickorythread.mesh import events
from hickorythread.mesh import execution
from hickorythread.mesh import interfaces
from hickorythread.mesh import synchronizer

# Limit the label values, so that the size of the metrics output stays bounded
# when a caller uses many routes or services.
MAX_ROUTES = 64
MAX_SERVICES = 32
OTHER_LABEL = "other"


class Telemetry:
    """Record the responses, source calls and state of a sidecar."""

    def __init__(self, registry: metrics.Metrics) -> None:
        self.metrics = registry
        self.routes: set[str] = set()
        self.services: set[str] = set()
        self.durations: dict[str, metrics.DurationRecorder] = {}

    def record_response(self, action: events.Respond, seconds: float) -> None:
        """Count a response to a client and record its latency."""
        service = _bounded_label(action.service, self.services, MAX_SERVICES)
        self.metrics.count(
            "responses",
            route=_bounded_label(action.route, self.routes, MAX_ROUTES),
            service=service,
            status=str(action.response.status),
            reason=action.response.reason,
        )
        duration = self.durations.get(service)
        if duration is None:
            duration = self.metrics.duration("service", service=service)
            self.durations[service] = duration
        duration.record(seconds)

    def record_source_call(
        self, topic: str, result: interfaces.ReadResult
    ) -> None:
        """Count one call to the source by topic and outcome."""
        outcome = result.error.kind if result.is_error() else "answered"
        self.metrics.count("source_calls", topic=topic, outcome=outcome)

    def render(
        self,
        entry_plane: entry.EntryPlane,
        execution_plane: execution.ExecutionPlane,
        node_synchronizer: synchronizer.Synchronizer,
        backlog: pipelining.Backlog,
        memory: memory_budget.MemoryBudget,
        now: float,
    ) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.metrics.set("open_requests", backlog.requests)
        self.metrics.set("held_response_bytes", backlog.held_bytes)
        self._set_memory_gauges(memory)
        self._set_target_gauges(execution_plane)
        self._set_view_gauges(node_synchronizer, now)
        self.metrics.set("routing_version", entry_plane.routing_version)
        for service, tokens in entry_plane.budget.tokens.items():
            self.metrics.set(
                "retry_budget",
                tokens,
                service=_bounded_label(service, self.services, MAX_SERVICES),
            )
        self._set_quota_gauges(entry_plane)
        return self.metrics.render()

    def _set_quota_gauges(self, plane: entry.EntryPlane) -> None:
        self.metrics.drop("quota_refusals")
        # The most active accounts change.
        for name, count in plane.quotas.most_refused().items():
            label = name or OTHER_LABEL
            self.metrics.set("quota_refusals", count, account=label)

    def _set_memory_gauges(self, memory: memory_budget.MemoryBudget) -> None:
        self.metrics.set("memory_used_bytes", memory.used)
        self.metrics.set("memory_budget_bytes", memory.capacity)
        self.metrics.set("memory_binding", memory.binding)
        self.metrics.set("memory_reclaimed", memory.reclaimed)
        for use, count in memory.refused.items():
            self.metrics.set("memory_refused", count, use=use.name)

    def _set_target_gauges(self, plane: execution.ExecutionPlane) -> None:
        running, waiting, limit, *_ = plane.admission.load()
        self.metrics.set("target_running", running)
        self.metrics.set("target_waiting", waiting)
        self.metrics.set("target_limit", limit)
        self.metrics.set("target_rate_limit", plane.notices.rate_limit or 0.0)
        self.metrics.set("target_cold", plane.admission.warmup is not None)

    def _set_view_gauges(
        self, node_synchronizer: synchronizer.Synchronizer, now: float
    ) -> None:
        view = node_synchronizer.view
        self.metrics.set("configuration_version", view.version)
        self.metrics.set("targets", len(view.targets))
        self.metrics.set(
            "news_age_seconds", now - node_synchronizer.source_contact_at
        )
        for topic, age in node_synchronizer.proof_ages().items():
            self.metrics.set("proof_age_seconds", age, topic=topic)
        for topic, position in (
            (interfaces.OPERATOR, view.operator_position),
            (interfaces.TARGETS, view.position),
        ):
            self.metrics.set("known_revision", position.revision, topic=topic)
        topics = len(node_synchronizer.failing_topics)
        self.metrics.set("source_failing_topics", topics)


def _bounded_label(name: str, known: set[str], limit: int) -> str:
    """Return a label value, or "other" if the limit is reached."""
    if name in known:
        return name
    if len(known) >= limit:
        return OTHER_LABEL
    known.add(name)
    return name
