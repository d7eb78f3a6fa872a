"""Relay: ranges reach each member once, whatever the fleet's size."""

import random

import hypothesis
from hypothesis import strategies

from hickorythread import membership
from hickorythread import messages
from hickorythread import relay
from tests import builders


def node(name, names, dead=()):
    held = membership.Membership(name, random.Random(name))
    hosts = [
        builders.host(other, stream_address=f"127.0.0.1:{number}")
        for number, other in enumerate(names)
    ]
    held.update(hosts, [], 0.0)
    for other in dead:
        held.record_missed_reply(other, 0.0)
    return relay.Relay(held, "north-tas")


def push(low=relay.RING_START, high=relay.RING_END):
    return messages.Push(
        messages.CONFIG_LOG, 0, 1, b"", 1, b"x" * 32, low, high
    )


@hypothesis.settings(derandomize=True, max_examples=30, deadline=None)
@hypothesis.given(strategies.integers(1, 120))
def test_shares_reach_each_member_once(count):
    """R12: guards against members that a fan-out misses or repeats."""
    names = [f"host-{number}" for number in range(count)]
    pending = [("host-0", relay.RING_START, relay.RING_END, 0)]
    reached = []
    while pending:
        name, low, high, depth = pending.pop()
        reached.append(name)
        assert depth <= 4
        for share in node(name, names).split(low, high):
            pending.append((share.target, share.low, share.high, depth + 1))
    assert sorted(reached) == sorted(names)


def test_unacknowledged_push_goes_to_another_member():
    """R12: guards against a subrange lost with its dead delegate."""
    names = ["self", "a", "b", "c"]
    sender = node("self", names)
    pushes = sender.push_shares(push(), 0.0)
    target, sent = pushes[0]
    assert not sender.overdue(relay.ACK_SECONDS - 0.01)
    assert sender.acknowledge(pushes[1][0], pushes[1][1].push_id)
    assert not sender.acknowledge("stranger", sent.push_id)
    late = sender.overdue(relay.ACK_SECONDS)
    assert {item.target for item in late} >= {target}
    assert pushes[1][0] not in {item.target for item in late}
    wide = push(relay.RING_START, relay.RING_END)
    delivery = relay.Delivery(wide, "a", "", 0.0, 0.3)
    assert sender.repeat(delivery, 1.0)[0] in ("b", "c")
    assert sender.repeat(delivery, 2.0)[0] in ("b", "c")
    sender.deliveries[wide.push_id] = delivery
    assert sender.repeat(delivery, 3.0) is None


def test_dead_members_are_no_delegates():
    """R12: guards against delegating a range to a suspect member."""
    names = ["self"] + [f"host-{number}" for number in range(40)]
    dead = names[1::2]
    shares = node("self", names, dead).split(relay.RING_START, relay.RING_END)
    assert shares and not {item.target for item in shares} & set(dead)


def test_deliveries_are_bounded_and_ranges_covered_once():
    """R12: guards against tables that grow while nobody answers."""
    sender = node("self", ["self"] + [f"host-{n}" for n in range(40)])
    for _ in range(200):
        sender.push_shares(push(), 0.0)
    assert len(sender.deliveries) == relay.MAX_DELIVERIES
    assert sender.begin("config", 1, 0, 9)
    assert not sender.begin("config", 1, 0, 9)
