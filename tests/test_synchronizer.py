"""Readers and followers of one failure domain, under their failures."""

import pytest

from hickorythread import codec
from hickorythread.mesh import exchange
from hickorythread.mesh import interfaces
from hickorythread.mesh import readership
from hickorythread.mesh import view as mesh_view
from tests import mesh_builders as build
from tests import view_domain

# The shortest bound on a change, less what a busy host needs beside it.
IN_FORCE_SECONDS = 1.9


def make_domain(size=16):
    domain = view_domain.Domain(size)
    domain.play(6.0)
    assert domain.lowest_version() == 1
    return domain


def test_two_nodes_read_for_a_large_domain():
    """Guards against reads that grow with the number of nodes."""
    domain = make_domain()
    domain.source.calls = 0
    domain.play(10.0)
    active = [
        member
        for member in domain.members.values()
        if member.synchronizer.reads_topic(interfaces.TARGETS)
    ]
    assert len(active) == readership.READERS
    # Each reader makes a call in 0.7 s and another one in 4 s.
    assert domain.source.calls <= 2 * (10 / 0.7 + 10 / 4 + 2)


def test_every_node_of_a_small_domain_reads():
    domain = make_domain(readership.MAX_INDEPENDENT_HOSTS)
    assert all(
        member.synchronizer.reads_topic(interfaces.TARGETS)
        for member in domain.members.values()
    )


def test_new_mesh_waits_for_its_targets_before_all_nodes_read():
    """Guards against whole configurations for every node of a new mesh."""
    domain = view_domain.Domain(16)
    targets = domain.source.targets
    domain.source.targets = {}
    domain.source.history.clear()
    domain.play(1.0)
    for target in targets.values():
        domain.source.change(interfaces.PutTarget(target))
        domain.play(0.05)
    domain.play(3.0)
    assert domain.lowest_version() == 1
    # Each node reads the list of targets and watches it once or twice.
    assert domain.source.calls <= 16 * 4 + 20


def test_node_that_starts_later_does_not_wait():
    """Guards against a restart that takes as long as that of the mesh."""
    domain = make_domain()
    member = domain.readers()[0]
    again = view_domain.Member(domain, int(member.host_id.split(".")[-1]))
    domain.members[member.host_id] = again
    again.connect(member.by_host)
    domain.play(0.8)
    assert again.view.version == 1 and not again.synchronizer.mesh_is_new


def test_new_version_reaches_all_followers():
    domain = make_domain()
    domain.source.put_version(2)
    domain.play(0.5)
    assert domain.lowest_version() == 2


def test_node_whose_target_has_left_is_still_told():
    """Guards against a node that serves with an old view until it stops."""
    domain = make_domain()
    domain.source.change(interfaces.RemoveTarget("t9"))
    domain.play(0.5)
    member = domain.members["10.0.0.9"]
    assert "t9" not in member.view.targets
    domain.source.put_version(2)
    domain.play(0.5)
    assert member.view.version == 2


def test_versions_in_a_storm_reach_all_followers_in_time():
    """Guards against a reader that falls behind what it must fetch."""
    domain = make_domain()
    for version in range(2, 40):
        domain.source.put_version(version)
        domain.play(0.2)
        # Every version that is older than the bound is in force.
        assert domain.lowest_version() >= version - IN_FORCE_SECONDS / 0.2
    domain.play(IN_FORCE_SECONDS)
    assert domain.lowest_version() == 39
    for member in domain.members.values():
        assert member.versions == sorted(member.versions)


@pytest.mark.parametrize("cut", [1, 2, 4])
def test_next_nodes_read_when_the_readers_are_cut_off(cut):
    """Guards against followers that wait for readers without a source."""
    domain = make_domain()
    for member in domain.readers()[:cut]:
        member.cut = True
    domain.source.put_version(2)
    domain.play(IN_FORCE_SECONDS + readership.JOIN_SECONDS * cut)
    reached = [
        member
        for member in domain.members.values()
        if member.view.version == 2
    ]
    assert len(reached) == len(domain.members)
    for member in domain.members.values():
        member.cut = False
    domain.play(6.0)
    active = [
        member.synchronizer.reads_topic(interfaces.TARGETS)
        for member in domain.members.values()
    ]
    assert sum(active) == readership.READERS


def test_silent_readers_are_replaced_within_the_bound():
    """Guards against a follower that trusts a reader which hangs."""
    domain = make_domain()
    for member in domain.readers()[:2]:
        for follower in member.synchronizer.watchers:
            follower.step = lambda: 1000.0
    domain.play(1.0)
    domain.source.change(interfaces.RemoveTarget("t9"))
    domain.play(IN_FORCE_SECONDS)
    others = domain.readers()[2:]
    assert all("t9" not in member.view.targets for member in others)


def test_source_that_is_away_is_not_asked_by_all_nodes():
    """Guards against calls that all nodes repeat during an outage."""
    domain = make_domain(30)
    domain.source.away = True
    domain.play(2.0)
    domain.source.calls = 0
    domain.play(5.0)
    extra = readership.READERS + readership.MAX_EXTRA_READERS
    # Backoff with jitter: two calls a second and topic at the most.
    assert domain.source.calls <= extra * 2 * 2.5 * 5


def test_lapsed_targets_are_held_by_followers_too():
    """Guards against followers that drop all targets after an outage."""
    domain = make_domain()
    domain.source.away = True
    domain.play(4.0)
    for target_id in list(domain.source.targets):
        domain.source.change(interfaces.RemoveTarget(target_id))
    domain.source.away = False
    domain.play(1.2)
    for member in domain.members.values():
        assert len(member.view.targets) == len(domain.members)
    target = build.make_target(3, failure_domain="launceston")
    domain.source.change(interfaces.PutTarget(target))
    domain.play(4.0)
    for member in domain.members.values():
        assert list(member.view.targets) == ["t3"]


def test_follower_that_starts_again_gets_the_view_of_a_reader():
    domain = make_domain()
    member = domain.readers()[9]
    again = view_domain.Member(domain, int(member.host_id.split(".")[-1]))
    domain.members[member.host_id] = again
    again.connect(member.by_host)
    domain.play(2.0)
    assert again.view.version == 1 and len(again.view.targets) == 16


def make_large_configuration(version, moved):
    routes = [
        build.make_route(f"r{number}", prefix=f"/r{number}/")
        for number in range(800)
    ]
    routes[moved] = build.make_route("moved", prefix="/moved/")
    return build.make_configuration(version, routes)


def test_next_version_travels_as_a_difference():
    """Guards against whole configurations for each change."""
    old, new = mesh_view.View(), mesh_view.View()
    for view in (old, new):
        view.put_configuration(make_large_configuration(1, 5))
    new.put_configuration(make_large_configuration(2, 9))
    reply = exchange.make_reply(new, exchange.make_request(old), 0.0)
    whole = exchange.make_reply(
        new, exchange.make_request(mesh_view.View()), 0.0
    )
    assert reply.base == 1 and whole.base == 0
    assert len(reply.configuration) < 300 < len(whole.configuration) / 5
    assert exchange.apply_reply(old, reply, 0.0).ok
    assert old.configuration == new.configuration


def test_difference_from_a_version_that_was_replaced_changes_nothing():
    """Guards against a version that is put together from two others."""
    old, new = mesh_view.View(), mesh_view.View()
    for view in (old, new):
        view.put_configuration(make_large_configuration(1, 5))
    new.put_configuration(make_large_configuration(3, 9))
    reply = exchange.make_reply(new, exchange.make_request(old), 0.0)
    old.put_configuration(make_large_configuration(2, 7))
    assert not exchange.apply_reply(old, reply, 0.0).ok
    assert old.version == 2


def test_difference_needs_its_base():
    packed = codec.pack(list(range(1000)))
    data = codec.compress_packed(packed, packed)
    assert codec.decompress(data, packed).ok == list(range(1000))
    assert codec.decompress(data).is_error()
