"""Tests of the execution plane, alone and in the simulated mesh."""

import math

import pytest

from hickorythread import events
from hickorythread import execution
from hickorythread import idempotency
from hickorythread import messages
from hickorythread import quarantine
from tests import builders
from tests import mesh
from tests import oracle

PEER = events.Peer("entry", 1, "north-tas", "launceston")


def call(key="", number=1, body=b"book", deadline=2.0, service="kilns"):
    return messages.Call(
        number, service, "builders", "POST", f"/{service}", [], body,
        deadline, key, 0,
    )  # fmt: skip


def new_owner(service="kiln-desk"):
    host = builders.host(f"{service}-1", service=service)
    return mesh.new_plane(execution.ExecutionPlane, host, 7, 0.0)


def new_owner_with_key():
    owner = new_owner()
    issued = owner.issue_key(PEER, messages.IssueKey(9, "kiln-desk"), 0.0)
    return owner, issued[0].message.key


def outcome(actions):
    replies = [item for item in actions if isinstance(item, events.SendReply)]
    return replies[0].message.outcome if replies else None


def finish_run(owner, actions, now, kind):
    run = next(x for x in actions if isinstance(x, events.RunOnTarget))
    if kind == "answered":
        event = events.TargetAnswered(run.run_id, 200, [], b"done")
    else:
        event = events.TargetFailed(run.run_id, kind)
    return owner.target_event(event, now)


def test_pause_past_the_deadline_does_not_run():
    """R8: guards against a paused owner that runs a call past its deadline."""
    owner, key = new_owner_with_key()
    assert outcome(owner.call(PEER, call(key), 2.1)) == "not-run"
    later = call(key, number=2, deadline=9.0)
    assert outcome(owner.call(PEER, later, 3.0)) == "not-run"


def test_each_end_of_a_run_settles_its_record():
    """R8, R9: guards against a resend that returns another outcome."""
    outcomes = {
        "answered": "complete",
        "late": "not-run",
        "connect": "not-run",
        "timeout": "unknown",
        "lost": "unknown",
    }
    for kind, expected in outcomes.items():
        owner, key = new_owner_with_key()
        actions = owner.call(PEER, call(key), 0.0)
        assert owner.call(PEER, call(key, number=2), 0.1) == []
        final_actions = finish_run(owner, actions, 0.2, kind)
        replies = [x for x in final_actions if isinstance(x, events.SendReply)]
        assert [x.message.outcome for x in replies] == [expected] * 2
        resend = owner.call(PEER, call(key, number=3), 0.3)
        assert outcome(resend) == expected


def test_key_expires_and_dies_with_its_owner():
    """R9: guards against a run for a key whose record no longer exists."""
    owner, key = new_owner_with_key()
    assert outcome(owner.call(PEER, call(key, deadline=99.0), 60.1)) == (
        "unknown"
    )
    fresh = new_owner()
    fresh.keys.incarnation = 8
    assert outcome(fresh.call(PEER, call(key), 0.0)) == "unknown"
    unissued = f"{fresh.settings.host_id}~8~0~00ff"
    assert outcome(fresh.call(PEER, call(unissued), 0.0)) == "not-run"
    assert outcome(fresh.call(PEER, call(number=2), 0.0)) == "not-run"


def test_full_table_issues_no_key(monkeypatch):
    """R9: guards against the eviction of a record while the table is full."""
    monkeypatch.setattr(idempotency, "MAX_RECORDS", 1)
    owner, key = new_owner_with_key()
    again = owner.issue_key(PEER, messages.IssueKey(2, "kiln-desk"), 0.0)
    assert again[0].message.reason == "key-table-full"
    assert outcome(owner.call(PEER, call(key, deadline=31.0), 30.0)) is None
    owner.keys.expire(700.0)
    assert key in owner.keys.records


def test_home_region_is_checked_at_the_owner():
    """R6: guards against an entry node that routes by an old configuration."""
    owner, key = new_owner_with_key()
    owner.settings.region = "south-tas"
    configuration = builders.guild_configuration()
    configuration.routes["kilns"].home_regions = ("north-tas",)
    owner.configuration_changed(configuration, 0.0)
    actions = owner.call(PEER, call(key), 0.0)
    assert actions[0].message.status == 421
    assert outcome(actions) == "not-run"


def test_response_is_dropped_when_home_regions_shrink():
    """R6: guards against a response stored outside its home regions."""
    owner, key = new_owner_with_key()
    finish_run(owner, owner.call(PEER, call(key), 0.0), 0.1, "answered")
    configuration = builders.guild_configuration()
    configuration.tenants["builders"].home_regions = ("south-tas",)
    owner.configuration_changed(configuration, 0.2)
    assert owner.keys.response_bytes == 0
    assert outcome(owner.call(PEER, call(key, 2), 0.3)) == "unknown"


def test_stops_of_new_work_refuse_and_complete_the_rest():
    """R5, R10, R11: guards against new calls after a stop and aborted calls.

    A domain that is out and an expired lease also stop queued calls.
    """
    leaving = builders.host("kiln-desk-1", service="kiln-desk")
    leaving.state = "leaving"
    out = builders.guild_configuration()
    out.failure_domains["launceston"].state = "out"
    stops = [
        (True, lambda owner: owner.drain(0.1)),
        (True, lambda owner: owner.hosts_changed([leaving], [], 0.1)),
        (False, lambda owner: owner.set_admitting(False, "lease", 0.1)),
        (False, lambda owner: setattr(owner, "may_admit", lambda now: False)),
        (False, lambda owner: owner.configuration_changed(out, 0.1)),
    ]
    for queue_runs, stop in stops:
        owner, key = new_owner_with_key()
        keys = [
            owner.issue_key(PEER, messages.IssueKey(number, "kiln-desk"), 0.0)
            for number in range(2)
        ]
        second, third = (item[0].message.key for item in keys)
        first = owner.call(PEER, call(key), 0.04)
        queued = owner.call(PEER, call(second, 2), 0.05)
        assert outcome(queued) is None
        stop(owner)
        refused = owner.call(PEER, call(third, 3), 0.1)
        assert outcome(refused) == "not-run"
        assert not owner.idle
        finished = finish_run(owner, first, 0.1, "answered")
        assert outcome(finished) == "complete"
        if queue_runs:
            finished = finish_run(owner, finished, 0.2, "answered")
            assert outcome(finished) == "complete"
        state = owner.keys.records[second].state
        assert state == ("complete" if queue_runs else "refused")
        assert owner.idle


def test_new_start_time_restarts_the_ramp():
    """R4: guards against full load on a target that has restarted."""
    owner = new_owner()
    owner.admission.ramp_limit = None
    for started_at, limit in ((5, 12), (5, 12), (6, 1)):
        run = owner.call(PEER, call(owner.keys.issue(0.0), 1), 0.0)[-1]
        answer = events.TargetAnswered(run.run_id, 200, [], b"", started_at)
        owner.target_event(answer, 0.1)
        assert owner.admission.effective_limit == limit


def build_mesh(*names):
    hosts = [
        builders.host(f"{name}-{number}", domain, name)
        for name in names
        for number, domain in enumerate(builders.REGIONS)
    ]
    simulation = mesh.Mesh(
        builders.guild_configuration(), hosts, oracle.Oracle()
    )
    simulation.advance(1.0)
    return simulation


def get_key(simulation, node):
    number = simulation.request(node, "POST", "/kilns", body=b"ask")
    simulation.advance(0.1)
    return simulation.responses[number].key


def send(simulation, node, key, seconds=0.5):
    number = simulation.request(node, "POST", "/kilns", body=b"once", key=key)
    simulation.advance(seconds)
    return number


def test_owner_dies_before_and_after_the_work():
    """R9: guards against a second run by the owner's replacement."""
    for before in (0.0, 0.5):
        simulation = build_mesh("kiln-desk")
        entry, other = list(simulation.nodes.values())[2:]
        key = get_key(simulation, entry)
        owner = simulation.nodes[key.partition("~")[0]]
        sender = other if owner is entry else entry
        first = send(simulation, sender, key, before)
        simulation.replace(owner)
        resent = send(simulation, sender, key, 3.0)
        assert simulation.responses[resent].outcome == "unknown"
        first_outcome = simulation.responses[first].outcome
        assert first_outcome == ("complete" if before else "unknown")
        assert simulation.oracle.runs.get(b"once", 0) <= 1


def test_resend_through_another_entry_node_gets_the_first_response():
    """R9: guards against a second run after the entry node has died."""
    simulation = build_mesh("kiln-desk")
    entry, other = list(simulation.nodes.values())[1:3]
    key = get_key(simulation, entry)
    send(simulation, entry, key, 0.005)
    if not key.startswith(entry.host.id):
        simulation.replace(entry)
    responses = [
        simulation.responses[send(simulation, other, key)] for _ in range(2)
    ]
    assert [item.body for item in responses] == [b"echo once"] * 2
    assert simulation.oracle.runs[b"once"] == 1
    number = simulation.request(other, "POST", "/kilns", body=b"new", key=key)
    simulation.advance(0.1)
    refused = simulation.responses[number]
    assert (refused.status, refused.outcome) == (422, "not-run")


def test_partition_between_entry_and_owner_is_unknown():
    """R8: guards against not-run for a call that the owner may have run."""
    simulation = build_mesh("kiln-desk")
    entry = simulation.nodes["kiln-desk-0"]
    key = get_key(simulation, simulation.nodes["kiln-desk-3"])
    owner = simulation.nodes[key.partition("~")[0]]
    assert owner is not entry
    simulation.partitioned_domains.add(owner.host.failure_domain)
    number = send(simulation, entry, key, 2.5)
    assert simulation.responses[number].outcome == "unknown"
    assert simulation.responses[number].status == 504


def test_request_that_crashes_its_target_has_two_victims():
    """R4: guards against one request that crashes all its targets."""
    simulation = build_mesh("spec-desk")
    for _ in range(12):
        for node in list(simulation.nodes.values()):
            simulation.request(node, "GET", "/specs", body=b"crash")
            simulation.advance(0.7)
    crashes = sum(node.owner.crashes for node in simulation.nodes.values())
    assert simulation.oracle.runs[b"crash"] == crashes
    # 48 sends over 34 s: with refusals of 5, 10 and 20 s, 2 + 2 sends run.
    assert crashes <= 4
    suspects = simulation.nodes["spec-desk-0"].owner.quarantine.suspects
    assert len(suspects) == 1


def test_success_alone_clears_a_suspect():
    """R4: guards against a quarantine of requests that cause no crash."""
    owner = new_owner("spec-desk")
    fingerprint = quarantine.fingerprint("spec-desk", "GET", "/specs", b"x")
    report = messages.CrashReport(1, fingerprint, "other~1~1", "spec-desk")
    owner.crash_report(PEER, report, 0.0)
    assert owner.quarantine.verdict(fingerprint, 0.0) == "alone"
    lookup = messages.Call(
        1, "specs", "builders", "GET", "/specs", [], b"x", 2.0, "", 0
    )
    finish_run(owner, owner.call(PEER, lookup, 0.0), 0.1, "answered")
    assert owner.quarantine.verdict(fingerprint, 0.0) == "run"


@pytest.mark.parametrize("deadline", [math.nan, math.inf, 1e308])
def test_call_with_an_unusable_deadline_ends(deadline):
    """R9: guards against a call that never releases its slot."""
    owner = new_owner("spec-desk")
    message = messages.Call(
        1, "specs", "builders", "GET", "/specs/1", [], b"", deadline, "", 0
    )
    owner.call(PEER, message, 1.0)
    for now in (610.0, 620.0):
        owner.tick(now)
    assert owner.idle


def test_call_with_malformed_headers_is_not_run():
    """R8: guards against a run that fails in the HTTP client."""
    owner = new_owner("spec-desk")
    message = messages.Call(
        1, "specs", "builders", "GET", "/specs/1", [["a"]], b"", 2.0, "", 0
    )
    reply = owner.call(PEER, message, 1.0)[0].message
    assert (reply.outcome, reply.status) == ("not-run", 400)
    assert owner.idle


def test_oversized_crash_reports_are_not_kept():
    """R9: guards against a peer whose reports fill gigabytes of memory."""
    owner = new_owner("spec-desk")
    for fingerprint, victim in ((b"f" * 16, "v" * 9999), (b"f" * 99, "v")):
        report = messages.CrashReport(1, fingerprint, victim, "spec-desk")
        owner.crash_report(PEER, report, 1.0)
    assert not owner.quarantine.suspects
