"""Tests of readers and followers in one failure domain under failures."""

import pytest

from hickorythread import codec
from hickorythread.mesh import exchange
from hickorythread.mesh import interfaces
from hickorythread.mesh import messages
from hickorythread.mesh import readership
from hickorythread.mesh import synchronizer
from hickorythread.mesh import view as mesh_view
from tests import mesh_builders as build
from tests import view_domain

# A change must reach all nodes within this time: the strictest required limit
# minus a margin for a busy host.
MAX_UPDATE_SECONDS = 1.9


def make_domain(size=16, names=("launceston",)):
    domain = view_domain.Domain(size, names)
    domain.run_for(6.0)
    assert domain.lowest_version() == 1
    return domain


def test_two_nodes_read_for_a_large_domain():
    """Guards against a read load that grows with the number of nodes."""
    domain = make_domain()
    domain.source.calls = 0
    domain.run_for(10.0)
    active = [
        member
        for member in domain.members.values()
        if member.synchronizer.reads_topic(interfaces.TARGETS)
    ]
    assert len(active) == readership.READER_COUNT
    # Each reader makes one call every 0.7 s and another one every 4 s.
    assert domain.source.calls <= 2 * (10 / 0.7 + 10 / 4 + 2)


SMALL_DOMAINS = ("launceston", "devonport", "burnie", "george-town")


def count_readers(domain):
    return sum(
        member.synchronizer.reads_topic(interfaces.TARGETS)
        for member in domain.members.values()
    )


def test_two_nodes_read_for_a_region_of_small_domains():
    """Guards against readers whose number grows with the failure domains.

    When each of 16 nodes fetched every version over the link between two
    regions, versions took longer than they may.
    """
    domain = make_domain(16, SMALL_DOMAINS)
    assert count_readers(domain) == readership.READER_COUNT
    domain.source.calls = 0
    domain.source.put_version(2)
    domain.run_for(MAX_UPDATE_SECONDS)
    assert domain.lowest_version() == 2
    assert domain.source.calls < 20


def test_region_of_small_domains_survives_the_loss_of_its_readers():
    domain = make_domain(16, SMALL_DOMAINS)
    for member in domain.readers()[:2]:
        member.is_isolated = True
    domain.source.put_version(2)
    domain.run_for(MAX_UPDATE_SECONDS + 2 * readership.EXTRA_CONTACT_SECONDS)
    assert domain.lowest_version() == 2


def test_large_domain_beside_small_ones_has_readers_of_its_own():
    """Guards against groups whose members disagree about their readers."""
    names = ("launceston",) * 10 + ("devonport", "burnie")
    domain = make_domain(24, names)
    large = domain.members["10.0.0.1"].synchronizer.reader_selection
    small = domain.members["10.0.0.10"].synchronizer.reader_selection
    assert large.shared and large.domains == {"launceston"}
    assert not small.shared and small.domains == {"devonport", "burnie"}
    assert len(large.ranked) == 20 and len(small.ranked) == 4


LARGE_DOMAINS = ("launceston", "devonport", "burnie")


def test_two_nodes_read_for_a_region_of_large_domains():
    """Guards against readers whose number grows with the failure domains."""
    domain = make_domain(36, LARGE_DOMAINS)
    assert count_readers(domain) == readership.READER_COUNT
    domain.source.calls = 0
    domain.run_for(10.0)
    # Each reader makes one call every 0.7 s and another one every 4 s.
    assert domain.source.calls <= 2 * (10 / 0.7 + 10 / 4 + 2)
    domain.source.put_version(2)
    domain.run_for(MAX_UPDATE_SECONDS)
    assert domain.lowest_version() == 2


@pytest.mark.parametrize("cut", [1, 2, 3, 4])
@pytest.mark.parametrize("names", [LARGE_DOMAINS, SMALL_DOMAINS])
def test_silent_contacts_are_replaced_within_the_bound(names, cut):
    """Guards against a removal that a group hears of too late.

    The first nodes in rank neither reach the source nor tell anybody.
    """
    domain = make_domain(36 if names is LARGE_DOMAINS else 24, names)
    members = sorted(
        domain.members.values(),
        key=lambda member: readership._rank_key(member.host_id),
    )
    silenced = members[:cut]
    for member in silenced:
        member.is_isolated = member.is_silent = True
    domain.source.change(interfaces.RemoveTarget("t9"))
    domain.run_for(MAX_UPDATE_SECONDS + 0.3 * max(0, cut - 2))
    for member in members[cut:]:
        assert "t9" not in member.view.targets


def test_contacts_that_hear_only_of_each_other_ask_the_source():
    """Guards against notices that circulate after the readers are gone."""
    domain = make_domain(36, LARGE_DOMAINS)
    domain.source.unavailable = True
    domain.run_for(4.0)
    for member in domain.members.values():
        heard_at = member.synchronizer.source_contact_at
        assert domain.now - heard_at > 3.0


def test_notice_whose_view_comes_too_late_is_not_relayed():
    """Guards against an old sign of contact with the source."""
    domain = make_domain(36, LARGE_DOMAINS)
    contact = next(
        member
        for member in domain.members.values()
        if member.synchronizer.reader_selection.is_contact(
            member.by_host, domain.now
        )
        and not member.synchronizer.reads_topic(interfaces.TARGETS)
    )
    sent = []
    contact.send = lambda host_id, message: sent.append(message)
    sender = domain.readers()[0].host_id
    newer = messages.ViewNotice(2, 10_000, 0, True)
    contact.synchronizer.notice_received(sender, newer)
    view = mesh_view.View()
    view.put_configuration(build.make_configuration(2))
    reply = exchange.make_reply(view, messages.ViewRequest(1, 0, 0), 0.0)
    domain.now += synchronizer.MAX_RELAY_DELAY_SECONDS + 0.1
    contact.synchronizer.reply_received(sender, reply)
    assert contact.view.version == 2
    assert not [
        message
        for message in sent
        if isinstance(message, messages.ViewNotice) and message.fresh
    ]


def test_every_node_of_a_small_domain_reads():
    domain = make_domain(readership.MAX_SMALL_DOMAIN_HOSTS)
    assert all(
        member.synchronizer.reads_topic(interfaces.TARGETS)
        for member in domain.members.values()
    )


def test_new_mesh_waits_for_its_targets_before_all_nodes_read():
    """Guards against all nodes of a new mesh reading the configuration.

    The readers are chosen among the registered hosts, so the nodes wait for
    the targets to register.
    """
    domain = view_domain.Domain(16)
    targets = domain.source.targets
    domain.source.targets = {}
    domain.source.history.clear()
    domain.run_for(1.0)
    for target in targets.values():
        domain.source.change(interfaces.PutTarget(target))
        domain.run_for(0.05)
    domain.run_for(3.0)
    assert domain.lowest_version() == 1
    # Each node lists the targets and watches them once or twice.
    assert domain.source.calls <= 16 * 4 + 20


def test_node_that_starts_later_does_not_wait():
    """Guards against a restarted node that waits as if the mesh were new."""
    domain = make_domain()
    member = domain.readers()[0]
    restarted = view_domain.Member(domain, int(member.host_id.split(".")[-1]))
    domain.members[member.host_id] = restarted
    restarted.connect(member.by_host)
    domain.run_for(0.8)
    assert (
        restarted.view.version == 1 and not restarted.synchronizer.is_new_mesh
    )


def test_new_version_reaches_all_followers():
    domain = make_domain()
    domain.source.put_version(2)
    domain.run_for(0.5)
    assert domain.lowest_version() == 2


def test_new_version_reaches_other_groups_without_a_second_answer():
    """Guards against a version that waits for the next sign of contact."""
    for seed in range(5):
        domain = view_domain.Domain(36, LARGE_DOMAINS, seed=seed)
        domain.run_for(6.0 + 0.13 * seed)
        domain.source.put_version(2)
        domain.run_for(0.35)
        assert domain.lowest_version() == 2, seed


def test_node_whose_target_has_left_is_still_told():
    """Guards against a stale view on a node that is draining."""
    domain = make_domain()
    domain.source.change(interfaces.RemoveTarget("t9"))
    domain.run_for(0.5)
    member = domain.members["10.0.0.9"]
    assert "t9" not in member.view.targets
    domain.source.put_version(2)
    domain.run_for(0.5)
    assert member.view.version == 2


def test_versions_in_a_storm_reach_all_followers_in_time():
    """Guards against a reader that cannot keep up with new versions."""
    domain = make_domain()
    for version in range(2, 40):
        domain.source.put_version(version)
        domain.run_for(0.2)
        # Every version older than the limit is active on all nodes.
        assert domain.lowest_version() >= version - MAX_UPDATE_SECONDS / 0.2
    domain.run_for(MAX_UPDATE_SECONDS)
    assert domain.lowest_version() == 39
    for member in domain.members.values():
        assert member.versions == sorted(member.versions)


@pytest.mark.parametrize("cut", [1, 2, 4])
def test_next_nodes_read_when_the_readers_are_cut_off(cut):
    """Guards against followers waiting for readers without a source."""
    domain = make_domain()
    for member in domain.readers()[:cut]:
        member.is_isolated = True
    domain.source.put_version(2)
    domain.run_for(MAX_UPDATE_SECONDS + readership.EXTRA_CONTACT_SECONDS * cut)
    updated = [
        member
        for member in domain.members.values()
        if member.view.version == 2
    ]
    assert len(updated) == len(domain.members)
    for member in domain.members.values():
        member.is_isolated = False
    domain.run_for(6.0)
    active = [
        member.synchronizer.reads_topic(interfaces.TARGETS)
        for member in domain.members.values()
    ]
    assert sum(active) == readership.READER_COUNT


def test_silent_readers_are_replaced_within_the_bound():
    """Guards against followers that rely on readers that hang."""
    domain = make_domain()
    for member in domain.readers()[:2]:
        for watcher in member.synchronizer.watchers:
            watcher.step = lambda: 1000.0
    domain.run_for(1.0)
    domain.source.change(interfaces.RemoveTarget("t9"))
    domain.run_for(MAX_UPDATE_SECONDS)
    others = domain.readers()[2:]
    assert all("t9" not in member.view.targets for member in others)


def test_source_that_is_away_is_not_asked_by_all_nodes():
    """Guards against all nodes retrying reads during an outage."""
    domain = make_domain(30)
    domain.source.unavailable = True
    domain.run_for(2.0)
    domain.source.calls = 0
    domain.run_for(5.0)
    max_readers = readership.CONTACT_COUNT + readership.MAX_EXTRA_CONTACTS
    # Backoff with jitter allows at most two calls per second for each of the
    # two topics; the limit is 2.5.
    assert domain.source.calls <= max_readers * 2 * 2.5 * 5


def test_lapsed_targets_are_held_by_followers_too():
    """Guards against followers that remove all targets after an outage.

    Entries expire while the source is unreachable; the targets register
    again soon after it has recovered.
    """
    domain = make_domain()
    domain.source.unavailable = True
    domain.run_for(4.0)
    for target_id in list(domain.source.targets):
        domain.source.change(interfaces.RemoveTarget(target_id))
    domain.source.unavailable = False
    domain.run_for(1.2)
    for member in domain.members.values():
        assert len(member.view.targets) == len(domain.members)
    target = build.make_target(3, failure_domain="launceston")
    domain.source.change(interfaces.PutTarget(target))
    domain.run_for(4.0)
    for member in domain.members.values():
        assert list(member.view.targets) == ["t3"]


def test_lapse_in_an_outage_that_nobody_noticed_keeps_the_targets():
    """Guards against removing live targets whose entries lapsed.

    A watch that was silent while the source was away returns the removals as
    if nothing had happened; the targets register again within two seconds.
    """
    domain = make_domain()
    targets = dict(domain.source.targets)
    for target_id in targets:
        domain.source.change(interfaces.RemoveTarget(target_id))
    for step in range(40):
        if step == 10:
            for target in targets.values():
                domain.source.change(interfaces.PutTarget(target))
        domain.run_for(0.1)
        for member in domain.members.values():
            assert len(member.view.targets) == len(domain.members)


def test_lapsed_targets_that_stay_away_are_gone_in_time():
    """Guards against requests to targets 2 s after their removal."""
    domain = make_domain()
    for target_id in list(domain.source.targets):
        domain.source.change(interfaces.RemoveTarget(target_id))
    domain.run_for(MAX_UPDATE_SECONDS)
    for member in domain.members.values():
        assert not member.view.targets


def test_follower_that_starts_again_gets_the_view_of_a_reader():
    domain = make_domain()
    member = domain.readers()[9]
    restarted = view_domain.Member(domain, int(member.host_id.split(".")[-1]))
    domain.members[member.host_id] = restarted
    restarted.connect(member.by_host)
    domain.run_for(2.0)
    assert restarted.view.version == 1 and len(restarted.view.targets) == 16


def make_large_configuration(version, moved):
    routes = [
        build.make_route(f"r{number}", prefix=f"/r{number}/")
        for number in range(800)
    ]
    routes[moved] = build.make_route("moved", prefix="/moved/")
    return build.make_configuration(version, routes)


def test_next_version_travels_as_a_difference():
    """Guards against sending the whole configuration for each change."""
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
    """Guards against a delta applied to a version other than its base."""
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


def test_index_of_targets_is_built_once_for_many_changes(monkeypatch):
    """Guards against work that grows with the square of the targets."""
    built = []
    group = mesh_view._group_by_service

    def count(targets):
        built.append(len(targets))
        return group(targets)

    monkeypatch.setattr(mesh_view, "_group_by_service", count)
    view = mesh_view.View()
    targets = [build.make_target(number) for number in range(1, 501)]
    view.replace_targets(
        {target.id: target for target in targets},
        build.make_position(5),
        0.0,
    )
    view.remove_targets([target.id for target in targets[:100]], 1.0)
    assert len(view.by_service["spec-desk"]) == 400
    # Once to judge the removals and once for the result.
    assert built == [500, 400]


def test_followers_share_one_packed_difference(monkeypatch):
    """Guards against a reader that compresses once for each follower."""
    packed = []
    compress = codec.compress_packed

    def count(data, dictionary=b""):
        packed.append(len(data))
        return compress(data, dictionary)

    monkeypatch.setattr(codec, "compress_packed", count)
    view = mesh_view.View()
    view.put_configuration(build.make_configuration(1))
    view.put_configuration(build.make_configuration(2))
    request = messages.ViewRequest(1, 0, 0)
    replies = {
        exchange.make_reply(view, request, 0.0).configuration
        for _ in range(20)
    }
    assert len(replies) == len(packed) == 1
    view.put_configuration(build.make_configuration(3))
    assert exchange.make_reply(view, request, 0.0).configuration not in replies


def test_version_spreads_at_once_when_all_nodes_start():
    """Guards against nodes that refuse requests though peers know the routes.

    All nodes have lost power, and the targets are still registered.
    """
    for size in (13, 40, 78):
        regions = dict.fromkeys(LARGE_DOMAINS[:2], "north")
        regions |= dict.fromkeys(LARGE_DOMAINS[2:], "south")
        domain = view_domain.Domain(size, LARGE_DOMAINS, regions)
        domain.run_for(0.35)
        assert domain.lowest_version() == 1, size


def test_start_of_a_mesh_takes_two_calls_of_each_node():
    """Guards against calls that grow with the nodes times the arrivals.

    The targets register one after the other while all nodes start.
    """
    domain = view_domain.Domain(36, LARGE_DOMAINS)
    targets = domain.source.targets
    domain.source.targets = {}
    domain.source.history.clear()
    for target in targets.values():
        domain.run_for(0.06)
        domain.source.change(interfaces.PutTarget(target))
    domain.run_for(1.5)
    assert domain.lowest_version() == 1
    readers = readership.READER_COUNT + 2 * readership.MAX_EXTRA_CONTACTS
    assert domain.source.calls <= 2 * len(domain.members) + 6 * readers
    assert all(len(member.view.targets) == 36 for member in domain.readers())
