"""Tests of the metrics of a sidecar and their limits."""

import expression

from hickorythread import metrics
from hickorythread.mesh import events
from hickorythread.mesh import interfaces
from hickorythread.mesh import telemetry


def answer(recorder, route, status=200, service="spec-desk"):
    response = events.Response(status, [], b"", "busy")
    recorder.record_response(events.Respond(1, response, route, service), 0.1)


def test_answers_are_counted_by_route_service_and_outcome():
    recorder = telemetry.Telemetry(metrics.Metrics())
    answer(recorder, "specs")
    answer(recorder, "specs", 503)
    text = recorder.metrics.render().decode()
    labels = 'reason="busy",route="specs",service="spec-desk",status="503"'
    assert f"hickorythread_responses_total{{{labels}}} 1.0" in text
    count = 'hickorythread_service_seconds_count{service="spec-desk"} 2.0'
    assert count in text


def test_storm_of_routes_does_not_grow_the_page_without_end():
    """Guards against memory that grows with the routes of a caller."""
    recorder = telemetry.Telemetry(metrics.Metrics())
    for number in range(1000):
        answer(recorder, f"r{number}", service=f"s{number}")
    labels = [dict(labels) for _, labels in recorder.metrics.counters]
    assert len({item["route"] for item in labels}) == telemetry.MAX_ROUTES + 1
    assert len(recorder.durations) == telemetry.MAX_SERVICES + 1
    assert sum(recorder.metrics.counters.values()) == 1000


def test_calls_to_the_source_are_counted_by_outcome():
    recorder = telemetry.Telemetry(metrics.Metrics())
    good = expression.Ok(interfaces.ChangeBatch([], 5))
    bad = expression.Error(interfaces.SourceFailure("refused", "503"))
    for result in (good, good, bad):
        recorder.record_source_call(interfaces.TARGETS, result)
    text = recorder.metrics.render().decode()
    name = "hickorythread_source_calls_total"
    assert f'{name}{{outcome="answered",topic="targets"}} 2.0' in text
    assert f'{name}{{outcome="refused",topic="targets"}} 1.0' in text
