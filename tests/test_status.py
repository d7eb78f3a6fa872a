"""Status: counts add up over the tree at a cost that stays bounded."""

import random

import pytest

from hickorythread import membership
from hickorythread import messages
from hickorythread import status
from tests import builders

NAMES = [f"host-{number}" for number in range(100)]


def tree(name, dead=()):
    held = membership.Membership(name, random.Random(1))
    hosts = [
        builders.host(other, stream_address=f"127.0.0.1:{number}")
        for number, other in enumerate(NAMES)
    ]
    held.update(hosts, [], 0.0)
    for other in dead:
        held.record_missed_reply(other, 0.0)
    return status.StatusTree(held, "launceston", 0.0)


def send(counts, laggards):
    return messages.StatusReport("launceston", counts, laggards)


def test_every_node_has_a_parent_that_leads_to_the_root():
    """R12: guards against nodes that no status shows."""
    root = tree(NAMES[0]).root("launceston")
    children = {}
    for name in NAMES:
        children.setdefault(tree(name).parent(), []).append(name)
    assert children.pop(None) == [root]
    assert max(map(len, children.values())) <= status.HEAP_ARITY
    first = next(name for name in NAMES if name != root)
    parent = tree(first).parent()
    assert tree(first, dead=[parent]).parent() != parent


def test_counts_add_up_and_the_oldest_are_named():
    """R12: guards against a lagging host that status hides."""
    held = tree(NAMES[0])
    digest = b"d" * 32
    report = send([[7, digest, 40], [6, digest, 2]], [["late", 6]])
    assert held.record_report("host-1", report, 1.0)
    total = held.subtree_report(7, digest, 2.0)
    assert (7, digest, 41) in total.counts
    assert total.laggards[0] == ("late", 6)
    later = held.subtree_report(7, digest, 2.0 + status.REPORT_TTL_SECONDS)
    assert later.counts == [(7, digest, 1)]


@pytest.mark.parametrize(
    ("counts", "laggards"),
    [([[1, 2, 3]], []), ([[1]], []), ([], ["x"]), ([[1, b"", 1]] * 99, [])],
)
def test_malformed_reports_are_refused(counts, laggards):
    """R12: guards against a foreign report that stops the process."""
    held = tree(NAMES[0])
    assert not held.record_report("host-1", send(counts, laggards), 1.0)


def test_queries_do_not_multiply_requests():
    """R12: guards against a cost that grows with the queries."""
    held = tree(NAMES[0])
    for _ in range(50):
        held.fleet_summary(10.0)
    assert len(held.roots_to_query(10.0)) == 1
    held.fleet_summary(11.9)
    assert held.roots_to_query(11.9) == []
    for number in range(200):
        held.record_report(f"x-{number}", send([], []), 1.0)
    assert len(held.children) == status.MAX_CHILDREN
