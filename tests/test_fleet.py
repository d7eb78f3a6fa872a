"""Checks of demo and soak: each violation in the records is reported."""

import pytest

from tools import fleet
from tools import soak


def record(**changes):
    base = {
        "key": "k1",
        "method": "POST",
        "path": "/kilns",
        "query": "nonce=n1",
        "started_at_ms": 1000,
    }
    return base | changes


def result(**changes):
    base = {
        "nonce": "n1",
        "key": "k1",
        "method": "POST",
        "path": "/kilns",
        "status": 200,
        "outcome": "complete",
    }
    return base | changes


READ = {"key": "", "method": "GET", "path": "/specs"}


def test_agreeing_records_show_no_violation():
    """R8: guards against false positives for permitted outcomes."""
    records = {
        "a": [record(), record(**READ, query="nonce=n2")],
        "b": [record(**READ, query="nonce=n2")],
    }
    results = [
        result(),
        result(**READ, nonce="n2"),
        result(nonce="n3", status=503, outcome="not-run"),
        result(nonce="n4", status=504, outcome="unknown"),
    ]
    assert fleet.find_violations(records, results) == []


@pytest.mark.parametrize(
    ("records", "results", "requirement"),
    [
        ({"a": [record()], "b": [record(query="")]}, [], "R9"),
        (
            {"a": [record(), record(key="k2")]},
            [result()],
            "R9",
        ),
        ({"a": [record()]}, [result(status=503, outcome="not-run")], "R8"),
        ({"a": [record()]}, [result(outcome="mismatch")], "R7"),
        ({"a": []}, [result()], "R7"),
    ],
)
def test_each_violation_is_found(records, results, requirement):
    """R9: guards against a check that reports no violation."""
    (violation,) = fleet.find_violations(records, results)
    assert violation.startswith(requirement)


@pytest.mark.parametrize(
    ("started_at_ms", "end_ms", "found"),
    [(3999, None, 0), (4001, None, 1), (4001, 9000, 1), (9000, 9000, 0)],
)
def test_runs_within_a_window_are_found(started_at_ms, end_ms, found):
    """R5: guards against a soak that misses runs after the time limit."""
    window = soak.NoWorkWindow("R5", ["a"], 1000)
    window.end_ms = end_ms
    records = {
        "a": [record(started_at_ms=started_at_ms)],
        "b": [record(started_at_ms=5000)],
    }
    assert len(window.violations(records)) == found


def test_free_ports_are_distinct():
    """R12: guards against assigning one port to two processes."""
    ports = fleet.find_free_ports(50)
    assert len(set(ports)) == 50


def test_layout_keeps_hosts_and_settings_in_step(tmp_path):
    """R10: guards against a host list that contradicts the settings."""
    layout = fleet.Layout("guild", tmp_path)
    assert len(layout.hosts) == len(layout.nodes) == 13
    for host in layout.hosts:
        node = layout.nodes[host["id"]]
        assert host["stream_address"] == node["stream_address"]
        assert node["platform_address"] == layout.platform_address
