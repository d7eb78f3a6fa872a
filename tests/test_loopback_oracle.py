"""Tests that the oracle of the soak finds broken promises."""

import signal

import pytest

from tests import soak_records
from tools.loopback import records


@pytest.fixture
def soak():
    return soak_records.SoakRecords()


def test_answered_request_breaks_nothing(soak):
    """Guards against an oracle that reports what is allowed."""
    soak.add_run(soak.add_request())
    assert soak.judge() == []


@pytest.mark.parametrize("exit_code", [5, 1, -1])
def test_end_that_no_signal_asked_for_is_found(soak, exit_code):
    soak.process.signals.clear()
    soak.process.exit_code = exit_code
    assert soak.judge() == ["FAULT"]


def test_stop_past_the_grace_time_is_found(soak):
    soak.process.ended_at = soak.start + 107.5
    assert soak.judge() == ["FAULT"]


def test_memory_above_the_setting_is_found(soak):
    soak.process.peak_memory_mb = 300.0
    assert soak.judge() == ["MEMORY"]


def test_request_that_ran_and_got_no_answer_is_found(soak):
    soak.add_run(soak.add_request(outcome=records.CLOSED))
    assert soak.judge() == ["LOST"]


def test_request_closed_long_after_its_last_byte_is_found(soak):
    soak.add_request(outcome=records.CLOSED)
    assert soak.judge() == ["LOST"]


def test_request_that_crosses_a_close_is_allowed(soak):
    soak.add_request(outcome=records.CLOSED, ended_at=soak.start + 10.1)
    assert soak.judge() == []


def test_request_of_a_killed_process_is_allowed(soak):
    soak.add_run(soak.add_request(outcome=records.CLOSED))
    soak.process.signals = [(soak.start + 10.3, signal.SIGKILL)]
    soak.process.ended_at = soak.start + 10.4
    soak.process.exit_code = -signal.SIGKILL
    assert soak.judge() == []


def test_request_that_its_target_broke_off_is_allowed(soak):
    request = soak.add_request(outcome=records.CLOSED)
    soak.add_run(request, broken_off=True)
    assert soak.judge() == []


def test_second_run_of_a_write_is_found(soak):
    request = soak.add_request()
    soak.add_run(request)
    soak.add_run(request)
    assert soak.judge() == ["TWICE"]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_write_that_ran_and_was_refused_is_found(soak, status):
    soak.add_run(soak.add_request(status=status))
    assert soak.judge() == ["REFUSED"]


@pytest.mark.parametrize("name", ["body_matches", "stamp"])
def test_answer_of_another_request_is_found(soak, name):
    soak.add_run(soak.add_request(**{name: ""}))
    assert soak.judge() == ["MIXED"]


def test_run_that_no_caller_asked_for_is_found(soak):
    request = soak.add_request()
    soak.add_run(request)
    soak.add_run(request, request_id="other")
    assert soak.judge() == ["UNASKED"]


def test_run_in_another_region_is_found(soak):
    """The only host of the builder is in the region north."""
    soak.add_run(soak.add_request("home-once"))
    assert soak.judge() == ["HOME"]


def test_404_of_a_route_in_force_is_found(soak):
    soak.add_request("safe", status=404)
    assert soak.judge() == ["CONFIG"]


def test_version_that_goes_back_is_found(soak):
    """The answers come during a disruption, which excuses a late version."""
    soak.records.begin_span(None, "store down").started_at = soak.start
    soak.add_run(soak.add_request("since-1"))
    late = {"sent_at": soak.start + 12.0, "ended_at": soak.start + 12.1}
    soak.add_request("since-1", status=404, **late)
    assert soak.judge() == ["CONFIG"]


def test_run_after_the_end_of_a_target_is_found(soak):
    soak.add_run(soak.add_request())
    soak.writer.ends["i-1"] = soak.start + 7.0
    assert soak.judge() == ["DRAIN"]


def test_run_in_an_evacuated_domain_is_found(soak):
    soak.add_run(soak.add_request())
    evacuation = soak.writer.evacuate(soak.host.failure_domain)
    evacuation.accepted_at = soak.start + 4.0
    assert soak.judge() == ["EVAC"]


def test_answer_in_place_of_a_target_at_work_is_found(soak):
    request = soak.add_request(status=502)
    soak.add_run(request, ended_at=soak.start + 11.0)
    assert soak.judge() == ["CUT"]
