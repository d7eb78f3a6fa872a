"""Membership: the list decides who is a member, observation who is used."""

import random

from hickorythread import events
from hickorythread import membership
from hickorythread import utils
from tests import builders


def members(*names):
    held = membership.Membership("self", random.Random(1))
    hosts = [
        builders.host(name, stream_address=f"127.0.0.1:{number}")
        for number, name in enumerate(("self", *names), 1)
    ]
    held.update(hosts, [], 0.0)
    held.take_changes()
    return held


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
    left = [name for name in names if name not in names[::3]]
    assert ring.names == sorted(left, key=utils.ring_hash)
    assert ring.hashes == sorted(map(utils.ring_hash, left))


def test_rank_follows_rendezvous_and_skips_unusable():
    """R12: guards against nodes that disagree about the readers."""
    held = members("a", "b", "c")
    order = utils.rendezvous_rank(list(held.hosts), "reader")
    assert held.top_ranked("north-tas", 4) == order
    first = next(name for name in order if name != "self")
    held.record_missed_reply(first, 1.0)
    assert first not in held.top_ranked("north-tas", 4)


def test_silence_makes_suspect_then_dead_until_heard():
    """R12: guards against pushing to members that never answer."""
    held = members("a")
    held.record_contact(peer("a"), 0.0)
    held.record_missed_reply("a", 1.0)
    assert held.peers["a"].state == "suspect" and not held.is_usable("a")
    held.tick(1.0 + membership.SUSPECT_SECONDS)
    assert held.is_usable("a")
    held.record_missed_reply("a", 5.0)
    held.record_missed_reply("a", 6.0)
    assert held.peers["a"].state == "dead" and "a" in held.dead
    held.tick(60.0)
    assert not held.is_usable("a")
    assert held.record_contact(peer("a"), 61.0) and held.is_usable("a")
    assert not held.dead and not held.suspects
    states = [item[2] for item in held.take_changes().peers]
    assert states == [False, True, False, True]


def test_lower_incarnation_is_refused():
    """R1: guards against messages of a process that was replaced."""
    held = members("a")
    assert held.record_contact(peer("a", 5), 0.0)
    assert not held.record_contact(peer("a", 4), 1.0)


def test_leaving_peer_returns_only_with_a_new_incarnation():
    """R10: guards against new work for a host that announced to leave."""
    held = members("a")
    held.record_contact(peer("a", 5), 0.0)
    assert held.record_leave("a", 5)
    held.record_contact(peer("a", 5), 1.0)
    assert not held.is_usable("a")
    assert held.take_changes().changed[0].state == "leaving"
    assert not held.record_leave("a", 4)
    held.record_contact(peer("a", 6), 2.0)
    assert held.is_usable("a")
    assert held.take_changes().changed[0].state == "live"


def test_list_that_omits_a_talking_host_is_given_time():
    """R12: guards against a lagging list that removes a live host."""
    held = members("a", "b")
    held.record_contact(peer("a"), 0.0)
    held.update([], ["a", "b"], 1.0)
    assert held.take_changes().removed == ["b"]
    for second in range(1, 10):
        held.record_contact(peer("a"), float(second))
        held.tick(second + 0.5)
    assert "a" in held.hosts
    held.tick(11.0)
    assert held.take_changes().removed == ["a"]
    assert "a" not in held.region_rings["north-tas"].names


def test_host_replaced_under_its_address_is_removed():
    """R10: guards against work for a host whose address has a new owner."""
    held = members("a")
    address = held.hosts["a"].stream_address
    held.update([builders.host("b", stream_address=address)], [], 1.0)
    changes = held.take_changes()
    assert changes.removed == ["a"]
    assert [host.id for host in changes.changed] == ["b"]
    held.update([], ["a"], 2.0)
    assert "b" in held.hosts


def test_unlisted_peers_are_bounded():
    """R12: guards against foreign streams that fill the peer table."""
    held = members()
    for number in range(membership.MAX_UNLISTED_PEERS + 10):
        held.record_contact(peer(f"foreign-{number}"), 0.0)
    assert len(held.peers) == membership.MAX_UNLISTED_PEERS
    held.forget_unlisted("foreign-0")
    assert held.record_contact(peer("foreign-x"), 1.0)


def test_a_host_that_left_is_contacted_again():
    """R12: guards against a restarted host that nobody tells of its peers."""
    held = members("a")
    held.record_leave("a", 1)
    assert held.random_unreachable("north-tas") == "a"
    held.record_contact(peer("a", incarnation=2), 1.0)
    assert held.random_unreachable("north-tas") is None
    held.record_leave("a", 2)
    held.update([], ["a"], 60.0)
    assert held.random_unreachable("north-tas") is None
