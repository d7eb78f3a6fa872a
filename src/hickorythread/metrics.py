"""Counters, gauges and durations of one node in Prometheus text format."""

from collections.abc import Iterable
from collections.abc import Iterator
import time
from typing import Any

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

PREFIX = "hickorythread_"
MAX_BUFFERED_DURATIONS = 65_536
MIN_DURATION_US = 1
MAX_DURATION_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999, 1.0)

Labels = tuple[tuple[str, str], ...]


class DurationRecorder:
    """Buffer durations until flush() adds them to a histogram.

    This keeps the cost of the histogram off the request path.
    """

    __slots__ = ("dropped", "count", "total_seconds", "_buffer", "_histogram")

    def __init__(self) -> None:
        self.dropped = 0
        self.count = 0
        self.total_seconds = 0.0
        self._buffer: list[float] = []
        self._histogram = histogram.HdrHistogram(
            MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Buffer one duration; counts it as dropped if the buffer is full."""
        if len(self._buffer) < MAX_BUFFERED_DURATIONS:
            self._buffer.append(seconds)
        else:
            self.dropped += 1

    def flush(self) -> None:
        """Add the buffered durations to the histogram."""
        buffer = self._buffer
        self._buffer = []
        for seconds in buffer:
            microseconds = int(seconds * 1e6)
            microseconds = min(
                max(microseconds, MIN_DURATION_US), MAX_DURATION_US
            )
            self._histogram.record_value(microseconds)
            self.total_seconds += seconds
        self.count += len(buffer)

    def quantile(self, fraction: float) -> float:
        """Return a quantile of all flushed durations in seconds."""
        microseconds = self._histogram.get_value_at_percentile(fraction * 100)
        return float(microseconds) / 1e6


class Metrics:
    """Hold the counters, gauges and durations of one node."""

    def __init__(self) -> None:
        self.started_at = time.time()
        self.counters: dict[tuple[str, Labels], float] = {}
        self.gauges: dict[tuple[str, Labels], float] = {}
        self.durations: dict[tuple[str, Labels], DurationRecorder] = {}
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(Collector(self))

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter; name is without the prefix and the suffix."""
        key = (name, tuple(labels.items()))
        self.counters[key] = self.counters.get(key, 0) + amount

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges[name, tuple(labels.items())] = value

    def drop(self, name: str) -> None:
        """Drop a gauge with all its labels."""
        for key in [key for key in self.gauges if key[0] == name]:
            del self.gauges[key]

    def duration(self, name: str, **labels: str) -> DurationRecorder:
        """Return the recorder of a duration; callers should keep it."""
        key = (name, tuple(labels.items()))
        if key not in self.durations:
            self.durations[key] = DurationRecorder()
        return self.durations[key]

    def flush(self) -> None:
        """Add the buffered durations to their histograms."""
        for duration in list(self.durations.values()):
            duration.flush()

    def render(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        self.flush()
        return prometheus_client.generate_latest(self._registry)


class Collector(registry.Collector):
    """Convert the values of one node to Prometheus metric families."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def collect(self) -> Iterator[core.Metric]:
        """Yield one metric family for each name."""
        for name, samples in _group_by_name(self.metrics.counters):
            family = core.Metric(PREFIX + name, name, "counter")
            for labels, value in samples:
                family.add_sample(PREFIX + name + "_total", labels, value)
            yield family
        for name, samples in _group_by_name(self.metrics.gauges):
            family = core.Metric(PREFIX + name, name, "gauge")
            for labels, value in samples:
                family.add_sample(PREFIX + name, labels, value)
            yield family
        for name, samples in _group_by_name(self.metrics.durations):
            yield _make_summary(name + "_seconds", samples)


def _make_summary(
    name: str, samples: list[tuple[dict[str, str], Any]]
) -> core.Metric:
    family = core.Metric(PREFIX + name, name, "summary")
    for labels, duration in samples:
        for fraction in QUANTILES:
            family.add_sample(
                PREFIX + name,
                labels | {"quantile": f"{fraction:g}"},
                duration.quantile(fraction),
            )
        family.add_sample(PREFIX + name + "_count", labels, duration.count)
        family.add_sample(
            PREFIX + name + "_sum", labels, duration.total_seconds
        )
    return family


def _group_by_name(
    values: dict[tuple[str, Labels], Any],
) -> Iterable[tuple[str, list[tuple[dict[str, str], Any]]]]:
    groups: dict[str, list[tuple[dict[str, str], Any]]] = {}
    for (name, labels), value in sorted(
        values.items(), key=lambda item: item[0]
    ):
        groups.setdefault(name, []).append((dict(labels), value))
    return groups.items()
