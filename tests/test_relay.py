"""Relay: a fan-out reaches each member once at any fleet size."""

import random

import hypothesis
from hypothesis import strategies

from hickorythread import membership
from hickorythread import messages
from hickorythread import relay
from tests import builders


def make_relay(name, names, dead=()):
    members = membership.Membership(name, random.Random(name))
    hosts = [
        builders.host(other, stream_address=f"127.0.0.1:{number}")
        for number, other in enumerate(names)
    ]
    members.update(hosts, [], 0.0)
    for other in dead:
        members.record_missed_reply(other, 0.0)
    return relay.Relay(members, "north-tas")


def make_push(low=relay.RING_START, high=relay.RING_END):
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
        for share in make_relay(name, names).split(low, high):
            pending.append((share.target, share.low, share.high, depth + 1))
    assert sorted(reached) == sorted(names)


def test_unacknowledged_push_goes_to_another_member():
    """R12: guards against losing a range whose delegate is dead."""
    names = ["self", "a", "b", "c"]
    sender = make_relay("self", names)
    pushes = sender.push_shares(make_push(), 0.0)
    target, sent = pushes[0]
    assert not sender.overdue_deliveries(relay.ACK_TIMEOUT_SECONDS - 0.01)
    assert sender.acknowledge(pushes[1][0], pushes[1][1].push_id)
    assert not sender.acknowledge("stranger", sent.push_id)
    late = sender.overdue_deliveries(relay.ACK_TIMEOUT_SECONDS)
    assert {item.target for item in late} >= {target}
    assert pushes[1][0] not in {item.target for item in late}
    wide = make_push(relay.RING_START, relay.RING_END)
    delivery = relay.Delivery(wide, "a", "", 0.0, 0.3)
    assert sender.retry(delivery, 1.0)[0] in ("b", "c")
    assert sender.retry(delivery, 2.0)[0] in ("b", "c")
    sender.deliveries[wide.push_id] = delivery
    assert sender.retry(delivery, 3.0) is None


def test_dead_members_are_no_delegates():
    """R12: guards against delegating a range to a suspected member."""
    names = ["self"] + [f"host-{number}" for number in range(40)]
    dead = names[1::2]
    shares = make_relay("self", names, dead).split(
        relay.RING_START, relay.RING_END
    )
    assert shares and not {item.target for item in shares} & set(dead)


def test_deliveries_are_bounded_and_ranges_covered_once():
    """R12: guards against tables that grow without acknowledgements."""
    sender = make_relay("self", ["self"] + [f"host-{n}" for n in range(40)])
    for _ in range(200):
        sender.push_shares(make_push(), 0.0)
    assert len(sender.deliveries) == relay.MAX_DELIVERIES
    assert sender.begin("config", 1, 0, 9)
    assert not sender.begin("config", 1, 0, 9)
