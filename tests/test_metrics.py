"""Tests of metrics: Prometheus reads the values that were recorded."""

from prometheus_client import parser
import pytest

from hickorythread import metrics


def samples(node_metrics):
    text = node_metrics.render().decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_counters_and_gauges_are_exposed():
    """R12: guards against events that are not counted."""
    node_metrics = metrics.Metrics()
    node_metrics.count("calls", outcome="complete")
    node_metrics.count("calls", 2, outcome="complete")
    node_metrics.count("calls", outcome='not-run "x"\n')
    node_metrics.set("version", 7)
    exposed = samples(node_metrics)
    complete = (("outcome", "complete"),)
    assert exposed["hickorythread_calls_total", complete] == 3
    assert exposed["hickorythread_version", ()] == 7
    assert len(exposed) == 3


def test_durations_are_exposed_as_quantiles():
    """R12: guards against percentiles that hide slow requests."""
    node_metrics = metrics.Metrics()
    duration = node_metrics.duration("added", plane="entry")
    for number in range(1, 1001):
        duration.record(number / 1000)
    exposed = samples(node_metrics)
    labels = (("plane", "entry"),)
    name = "hickorythread_added_seconds"
    assert exposed[f"{name}_count", labels] == 1000
    assert exposed[f"{name}_sum", labels] == pytest.approx(500.5)
    for quantile, seconds in (("0.5", 0.5), ("0.99", 0.99), ("1", 1.0)):
        value = exposed[name, (("plane", "entry"), ("quantile", quantile))]
        assert value == pytest.approx(seconds, rel=0.01)


def test_durations_out_of_range_are_kept():
    """R12: guards against a histogram that rejects extreme values."""
    duration = metrics.DurationRecorder()
    for seconds in (-1.0, 0.0, 1e9):
        duration.record(seconds)
    duration.flush()
    assert duration.count == 3
    assert duration.quantile(1.0) == pytest.approx(60, rel=0.01)


def test_full_buffer_drops_and_counts():
    """R12: guards against a buffer that grows without bound if not flushed."""
    duration = metrics.DurationRecorder()
    for _ in range(metrics.MAX_BUFFERED_DURATIONS + 2):
        duration.record(0.001)
    assert duration.dropped == 2
