"""Calls at the owner node, alone and in the simulated mesh."""

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


def keyed_owner():
    owner = new_owner()
    issued = owner.issue_key(PEER, messages.IssueKey(9, "kiln-desk"), 0.0)
    return owner, issued[0].message.key


def outcome(actions):
    replies = [item for item in actions if isinstance(item, events.SendReply)]
    return replies[0].message.outcome if replies else None


def end(owner, actions, now, kind):
    run = next(x for x in actions if isinstance(x, events.RunUpstream))
    if kind == "answered":
        ended = events.UpstreamAnswered(run.run_id, 200, [], b"done")
    else:
        ended = events.UpstreamFailed(run.run_id, kind)
    return owner.upstream_event(ended, now)


def test_pause_past_the_deadline_does_not_run():
    """R8: guards against a paused owner that runs a late call."""
    owner, key = keyed_owner()
    assert outcome(owner.call(PEER, call(key), 2.1)) == "not-run"
    later = call(key, number=2, deadline=9.0)
    assert outcome(owner.call(PEER, later, 3.0)) == "not-run"


def test_each_end_of_a_run_settles_its_record():
    """R8, R9: guards against an outcome that a resend contradicts."""
    ends = {
        "answered": "complete",
        "late": "not-run",
        "connect": "not-run",
        "timeout": "unknown",
        "lost": "unknown",
    }
    for kind, expected in ends.items():
        owner, key = keyed_owner()
        actions = owner.call(PEER, call(key), 0.0)
        assert owner.call(PEER, call(key, number=2), 0.1) == []
        settled = end(owner, actions, 0.2, kind)
        replies = [x for x in settled if isinstance(x, events.SendReply)]
        assert [x.message.outcome for x in replies] == [expected] * 2
        resend = owner.call(PEER, call(key, number=3), 0.3)
        assert outcome(resend) == expected


def test_key_expires_and_dies_with_its_owner():
    """R9: guards against a run under a key that has lost its record."""
    owner, key = keyed_owner()
    assert outcome(owner.call(PEER, call(key, deadline=99.0), 60.1)) == (
        "unknown"
    )
    fresh = new_owner()
    fresh.keys.incarnation = 8
    assert outcome(fresh.call(PEER, call(key), 0.0)) == "unknown"
    made_up = f"{fresh.settings.host_id}~8~0~00ff"
    assert outcome(fresh.call(PEER, call(made_up), 0.0)) == "not-run"
    assert outcome(fresh.call(PEER, call(number=2), 0.0)) == "not-run"


def test_full_table_issues_no_key(monkeypatch):
    """R9: guards against forgetting a record to make room."""
    monkeypatch.setattr(idempotency, "MAX_RECORDS", 1)
    owner, key = keyed_owner()
    again = owner.issue_key(PEER, messages.IssueKey(2, "kiln-desk"), 0.0)
    assert again[0].message.reason == "key-table-full"
    assert outcome(owner.call(PEER, call(key, deadline=31.0), 30.0)) is None
    owner.keys.expire(700.0)
    assert key in owner.keys.records


def test_home_region_is_checked_at_the_owner():
    """R6: guards against an entry node with an older configuration."""
    owner, key = keyed_owner()
    owner.settings.region = "south-tas"
    configuration = builders.guild_configuration()
    configuration.routes["kilns"].home_regions = ("north-tas",)
    owner.configuration_changed(configuration, 0.0)
    actions = owner.call(PEER, call(key), 0.0)
    assert actions[0].message.status == 421
    assert outcome(actions) == "not-run"


def test_response_is_dropped_when_home_regions_shrink():
    """R6: guards against a stored response outside its home regions."""
    owner, key = keyed_owner()
    end(owner, owner.call(PEER, call(key), 0.0), 0.1, "answered")
    configuration = builders.guild_configuration()
    configuration.tenants["builders"].home_regions = ("south-tas",)
    owner.configuration_changed(configuration, 0.2)
    assert owner.keys.response_bytes == 0
    assert outcome(owner.call(PEER, call(key, 2), 0.3)) == "unknown"


def test_stops_of_new_work_refuse_and_complete_the_rest():
    """R5, R10, R11: guards against new work after a stop, or a cut.

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
        owner, key = keyed_owner()
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
        ended = end(owner, first, 0.1, "answered")
        assert outcome(ended) == "complete"
        if queue_runs:
            ended = end(owner, ended, 0.2, "answered")
            assert outcome(ended) == "complete"
        state = owner.keys.records[second].state
        assert state == ("complete" if queue_runs else "refused")
        assert owner.idle


def test_new_start_time_restarts_the_ramp():
    """R4: guards against an upstream that restarts without warning."""
    owner = new_owner()
    owner.admission.ramp_limit = None
    for started_at, limit in ((5, 12), (5, 12), (6, 1)):
        run = owner.call(PEER, call(owner.keys.issue(0.0), 1), 0.0)[-1]
        answer = events.UpstreamAnswered(run.run_id, 200, [], b"", started_at)
        owner.upstream_event(answer, 0.1)
        assert owner.admission.effective_limit == limit


def build_mesh(*names):
    hosts = [
        builders.host(f"{name}-{number}", domain, name)
        for name in names
        for number, domain in enumerate(builders.REGIONS)
    ]
    made = mesh.Mesh(builders.guild_configuration(), hosts, oracle.Oracle())
    made.advance(1.0)
    return made


def get_key(made, node):
    number = made.request(node, "POST", "/kilns", body=b"ask")
    made.advance(0.1)
    return made.responses[number].key


def send(made, node, key, seconds=0.5):
    number = made.request(node, "POST", "/kilns", body=b"once", key=key)
    made.advance(seconds)
    return number


def test_owner_dies_before_and_after_the_work():
    """R9: guards against a second run by the owner's replacement."""
    for before in (0.0, 0.5):
        made = build_mesh("kiln-desk")
        entry, other = list(made.nodes.values())[2:]
        key = get_key(made, entry)
        owner = made.nodes[key.partition("~")[0]]
        sender = other if owner is entry else entry
        first = send(made, sender, key, before)
        made.replace(owner)
        resent = send(made, sender, key, 3.0)
        assert made.responses[resent].outcome == "unknown"
        told = made.responses[first].outcome
        assert told == ("complete" if before else "unknown")
        assert made.oracle.runs.get(b"once", 0) <= 1


def test_resend_through_another_entry_node_gets_the_first_response():
    """R9: guards against a second run after the entry node has died."""
    made = build_mesh("kiln-desk")
    entry, other = list(made.nodes.values())[1:3]
    key = get_key(made, entry)
    send(made, entry, key, 0.005)
    if not key.startswith(entry.host.id):
        made.replace(entry)
    told = [made.responses[send(made, other, key)] for _ in range(2)]
    assert [item.body for item in told] == [b"echo once"] * 2
    assert made.oracle.runs[b"once"] == 1
    number = made.request(other, "POST", "/kilns", body=b"new", key=key)
    made.advance(0.1)
    refused = made.responses[number]
    assert (refused.status, refused.outcome) == (422, "not-run")


def test_partition_between_entry_and_owner_is_unknown():
    """R8: guards against an entry node that says not-run for the owner."""
    made = build_mesh("kiln-desk")
    entry = made.nodes["kiln-desk-0"]
    key = get_key(made, made.nodes["kiln-desk-3"])
    owner = made.nodes[key.partition("~")[0]]
    assert owner is not entry
    made.partitioned_domains.add(owner.host.failure_domain)
    number = send(made, entry, key, 2.5)
    assert made.responses[number].outcome == "unknown"
    assert made.responses[number].status == 504


def test_request_that_crashes_its_upstream_has_two_victims():
    """R4: guards against one request that takes a service down."""
    made = build_mesh("spec-desk")
    for _ in range(12):
        for node in list(made.nodes.values()):
            made.request(node, "GET", "/specs", body=b"crash")
            made.advance(0.7)
    crashes = sum(node.owner.crashes for node in made.nodes.values())
    assert made.oracle.runs[b"crash"] == crashes
    # 48 sends over 34 s: the refusals of 5, 10 and 20 s let 2 + 2 pass.
    assert crashes <= 4
    suspects = made.nodes["spec-desk-0"].owner.quarantine.suspects
    assert len(suspects) == 1


def test_success_alone_clears_a_suspect():
    """R4: guards against a quarantine of requests that did no harm."""
    owner = new_owner("spec-desk")
    fingerprint = quarantine.fingerprint("spec-desk", "GET", "/specs", b"x")
    report = messages.CrashReport(1, fingerprint, "other~1~1", "spec-desk")
    owner.crash_report(PEER, report, 0.0)
    assert owner.quarantine.verdict(fingerprint, 0.0) == "alone"
    look_up = messages.Call(
        1, "specs", "builders", "GET", "/specs", [], b"x", 2.0, "", 0
    )
    end(owner, owner.call(PEER, look_up, 0.0), 0.1, "answered")
    assert owner.quarantine.verdict(fingerprint, 0.0) == "run"


@pytest.mark.parametrize("deadline", [math.nan, math.inf, 1e308])
def test_call_with_an_unusable_deadline_ends(deadline):
    """R9: guards against a call that holds its slot for ever."""
    owner = new_owner("spec-desk")
    message = messages.Call(
        1, "specs", "builders", "GET", "/specs/1", [], b"", deadline, "", 0
    )
    owner.call(PEER, message, 1.0)
    for now in (610.0, 620.0):
        owner.tick(now)
    assert owner.idle


def test_call_with_malformed_headers_is_not_run():
    """R8: guards against a run that fails at the HTTP client."""
    owner = new_owner("spec-desk")
    message = messages.Call(
        1, "specs", "builders", "GET", "/specs/1", [["a"]], b"", 2.0, "", 0
    )
    reply = owner.call(PEER, message, 1.0)[0].message
    assert (reply.outcome, reply.status) == ("not-run", 400)
    assert owner.idle


def test_oversized_crash_reports_are_not_kept():
    """R9: guards against a table that a peer fills with gigabytes."""
    owner = new_owner("spec-desk")
    for fingerprint, victim in ((b"f" * 16, "v" * 9999), (b"f" * 99, "v")):
        report = messages.CrashReport(1, fingerprint, victim, "spec-desk")
        owner.crash_report(PEER, report, 1.0)
    assert not owner.quarantine.suspects
