"""Membership: host list, failure detection, ranks and rings."""

import random

from hickorythread import events
from hickorythread import membership
from hickorythread import utils
from tests import builders


def make_members(*names):
    members = membership.Membership("self", random.Random(1))
    hosts = [
        builders.host(name, stream_address=f"127.0.0.1:{number}")
        for number, name in enumerate(("self", *names), 1)
    ]
    members.update(hosts, [], 0.0)
    members.take_changes()
    return members


def peer(name, incarnation=1):
    return events.Peer(name, incarnation, "north-tas", "launceston")


def test_ring_follows_changes_in_hash_order():
    """R12: guards against a ring that differs after incremental changes."""
    ring = membership.Ring()
    names = [f"host-{number}" for number in range(50)]
    for name in names + names:
        ring.add(name)
    for name in names[::3] + ["absent"]:
        ring.discard(name)
    remaining = [name for name in names if name not in names[::3]]
    assert ring.names == sorted(remaining, key=utils.ring_hash)
    assert ring.hashes == sorted(map(utils.ring_hash, remaining))


def test_rank_follows_rendezvous_and_skips_unusable():
    """R12: guards against nodes that disagree about the readers."""
    members = make_members("a", "b", "c")
    order = utils.rendezvous_rank(list(members.hosts), "reader")
    assert members.top_ranked("north-tas", 4) == order
    first = next(name for name in order if name != "self")
    members.record_missed_reply(first, 1.0)
    assert first not in members.top_ranked("north-tas", 4)


def test_silence_makes_suspect_then_dead_until_heard():
    """R12: guards against pushing to members that never reply."""
    members = make_members("a")
    members.record_contact(peer("a"), 0.0)
    members.record_missed_reply("a", 1.0)
    assert members.peers["a"].state == "suspect" and not members.is_usable("a")
    members.tick(1.0 + membership.SUSPECT_TIMEOUT_SECONDS)
    assert members.is_usable("a")
    members.record_missed_reply("a", 5.0)
    members.record_missed_reply("a", 6.0)
    assert members.peers["a"].state == "dead" and "a" in members.dead
    members.tick(60.0)
    assert not members.is_usable("a")
    assert members.record_contact(peer("a"), 61.0) and members.is_usable("a")
    assert not members.dead and not members.suspects
    states = [item[2] for item in members.take_changes().peers]
    assert states == [False, True, False, True]


def test_lower_incarnation_is_refused():
    """R1: guards against messages from a process that was replaced."""
    members = make_members("a")
    assert members.record_contact(peer("a", 5), 0.0)
    assert not members.record_contact(peer("a", 4), 1.0)


def test_leaving_peer_returns_only_with_a_new_incarnation():
    """R10: guards against routing new work to a host that is leaving."""
    members = make_members("a")
    members.record_contact(peer("a", 5), 0.0)
    assert members.record_leave("a", 5)
    members.record_contact(peer("a", 5), 1.0)
    assert not members.is_usable("a")
    assert members.take_changes().changed[0].state == "leaving"
    assert not members.record_leave("a", 4)
    members.record_contact(peer("a", 6), 2.0)
    assert members.is_usable("a")
    assert members.take_changes().changed[0].state == "live"


def test_list_that_omits_a_talking_host_is_given_time():
    """R12: guards against removing a live host due to a stale list."""
    members = make_members("a", "b")
    members.record_contact(peer("a"), 0.0)
    members.update([], ["a", "b"], 1.0)
    assert members.take_changes().removed == ["b"]
    for second in range(1, 10):
        members.record_contact(peer("a"), float(second))
        members.tick(second + 0.5)
    assert "a" in members.hosts
    members.tick(11.0)
    assert members.take_changes().removed == ["a"]
    assert "a" not in members.region_rings["north-tas"].names


def test_host_replaced_under_its_address_is_removed():
    """R10: guards against routing to a host whose address was reassigned."""
    members = make_members("a")
    address = members.hosts["a"].stream_address
    members.update([builders.host("b", stream_address=address)], [], 1.0)
    changes = members.take_changes()
    assert changes.removed == ["a"]
    assert [host.id for host in changes.changed] == ["b"]
    members.update([], ["a"], 2.0)
    assert "b" in members.hosts


def test_unlisted_peers_are_bounded():
    """R12: guards against unlisted peers that fill the peer table."""
    members = make_members()
    for number in range(membership.MAX_UNLISTED_PEERS + 10):
        members.record_contact(peer(f"foreign-{number}"), 0.0)
    assert len(members.peers) == membership.MAX_UNLISTED_PEERS
    members.forget_unlisted("foreign-0")
    assert members.record_contact(peer("foreign-x"), 1.0)


def test_a_host_that_left_is_contacted_again():
    """R12: guards against a restarted host that no peer ever contacts."""
    members = make_members("a")
    members.record_leave("a", 1)
    assert members.random_unreachable("north-tas") == "a"
    members.record_contact(peer("a", incarnation=2), 1.0)
    assert members.random_unreachable("north-tas") is None
    members.record_leave("a", 2)
    members.update([], ["a"], 60.0)
    assert members.random_unreachable("north-tas") is None
