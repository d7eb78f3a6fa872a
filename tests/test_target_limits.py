"""Simulations of targets that name the request rate which they accept."""

import pytest

from hickorythread.mesh import events
from hickorythread.mesh import messages
from tests import mesh_builders as build
from tests import mesh_load

WINDOW_SECONDS = 4.0
CONTACT_SECONDS = 3.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
SECONDS = 20.0


def max_excess(load, host):
    """Return the arrivals beyond the limit of a target in its worst window."""
    arrivals = [when for when, host_id in load.arrivals if host_id == host]
    changes = load.hosts[host].named_limits + [(SECONDS, None)]
    named_at = next(when for when, rate in changes if rate is not None)
    excess = 0.0
    for start in arrivals:
        end = start + WINDOW_SECONDS
        limits = [
            rate
            for (when, rate), (until, _) in zip(
                changes, changes[1:], strict=False
            )
            if when < end and until > start
        ]
        if start < named_at + CONTACT_SECONDS or None in limits:
            continue
        if end > SECONDS or not limits:
            continue
        allowed = EXCESS_FACTOR * WINDOW_SECONDS * max(limits)
        count = sum(start <= when < end for when in arrivals)
        excess = max(excess, count - allowed - EXCESS_REQUESTS)
    return excess


def limit_some_targets(load):
    """Let limits come, change and go at three of five targets."""
    first, second, third, *_ = load.targets("spec-desk")
    for when, host, rate in (
        (2.0, first, 9.0),
        (2.0, second, 6.5),
        (3.0, third, 0.0),
        (9.0, first, 4.0),
        (11.0, second, 12.0),
        (14.0, first, None),
        (15.0, third, 20.0),
    ):
        load.schedule(when, host.name_limit, rate)
    return [first.host_id, second.host_id, third.host_id]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_target_gets_no_more_requests_than_the_limit_that_it_names(seed):
    """Guards against a target that gets its usual load despite its limit."""
    load = mesh_load.guild(0.8, seed)
    hosts = limit_some_targets(load)
    load.simulate(SECONDS)
    assert max(max_excess(load, host) for host in hosts) <= 0.0
    total, shares, _ = load.summary()
    assert total > 0.8


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limit_holds_across_restarts_of_the_nodes(seed):
    """Guards against a limit that only the former process knew."""
    load = mesh_load.guild(0.8, seed)
    hosts = limit_some_targets(load)
    for when in (6.0, 6.5, 8.0, 10.0, 12.5):
        for host in hosts[:2]:
            load.schedule(when, load.restart, load.hosts[host])
    load.simulate(SECONDS)
    assert max(max_excess(load, host) for host in hosts) <= 0.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limit_holds_at_hosts_that_were_frozen_or_cut_off(seed):
    """Guards against the calls that pile up and start all at once."""
    load = mesh_load.guild(0.8, seed)
    hosts = limit_some_targets(load)
    for when, index in ((4.5, 1), (10.0, 0), (12.0, 1)):
        host = load.hosts[hosts[index]]
        load.schedule(when, host.freeze, 4.0)
        load.schedule(when + 4.5, host.cut_off, 1.0)
    load.simulate(SECONDS)
    assert max(max_excess(load, host) for host in hosts) <= 0.0


@pytest.mark.parametrize("seed", [1, 2])
def test_requests_beyond_the_limits_of_all_targets_are_refused_at_once(seed):
    """Guards against callers that wait for a rate that is spent."""
    load = mesh_load.guild(0.8, seed)
    targets = load.targets("spec-desk")
    for host in targets:
        load.schedule(2.0, host.name_limit, 5.0)
    load.simulate(SECONDS)
    assert max(max_excess(load, host.host_id) for host in targets) <= 0.0
    late = sorted(load.refused_after)[int(0.95 * len(load.refused_after))]
    assert len(load.refused_after) > 500
    assert late < 0.25
    assert load.summary()[1]["kiln-book"] > 0.9


@pytest.mark.parametrize("targets", [20, 60])
def test_targets_with_room_serve_what_limited_ones_may_not(targets):
    """Guards against refusals while other targets have free slots.

    At a quarter of the full load, 18 of 60 targets and the limited ones have
    room for all requests, but not those in each failure domain.
    """
    load = mesh_load.lookups(targets, 0.25)
    limited = load.targets()[: int(0.7 * targets)]
    for host in limited:
        load.schedule(2.0, host.name_limit, 2.5)
    load.simulate(10.0)
    assert max(max_excess(load, host.host_id) for host in limited) <= 0.0
    assert len(load.refused_after) < 0.01 * len(load.requested)
    assert load.sends < 1.3 * len(load.requested)


@pytest.mark.parametrize(
    ("rate_limited", "running", "asks_a_third"),
    [(1, 0, True), (1, 4, False), (0, 0, False)],
)
def test_two_full_targets_end_the_search_unless_limits_moved_the_load(
    rate_limited, running, asks_a_third
):
    """Guards against a search that ends early, or that asks full targets."""
    plane = build.make_entry(build.make_view(targets=4), connected=4)
    limited_peer = plane.placement.peer("10.0.0.4")
    limited_peer.update_load([9, 0, 1, 0, rate_limited], 0.0)
    plane.request(build.make_request(), 0.0)
    for _ in range(2):
        (pending,) = plane.calls.by_call_id.values()
        for host_id in ("10.0.0.1", "10.0.0.2", "10.0.0.3"):
            peer = plane.placement.peer(host_id)
            peer.update_load([running, 0, 4, 0, 0], 0.0)
        reply = build.make_reply(
            pending.call_id, messages.NOT_RUN, 503, reason="expected-wait"
        )
        actions = plane.reply(pending.host_id, reply, 0.0)
    assert bool(build.of_type(actions, events.Send)) == asks_a_third
    assert bool(build.of_type(actions, events.Respond)) != asks_a_third
