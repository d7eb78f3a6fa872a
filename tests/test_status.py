"""Tests of the status tree: correct counts at a bounded cost."""

import random

import pytest

from hickorythread import membership
from hickorythread import messages
from hickorythread import status
from tests import builders

NAMES = [f"host-{number}" for number in range(100)]


def make_tree(name, dead=()):
    members = membership.Membership(name, random.Random(1))
    hosts = [
        builders.host(host_id, stream_address=f"127.0.0.1:{number}")
        for number, host_id in enumerate(NAMES)
    ]
    members.update(hosts, [], 0.0)
    for host_id in dead:
        members.record_missed_reply(host_id, 0.0)
    return status.StatusTree(members, "launceston", 0.0)


def make_report(counts, laggards):
    return messages.StatusReport("launceston", counts, laggards)


def test_every_node_has_a_parent_that_leads_to_the_root():
    """R12: guards against a status that omits nodes."""
    root = make_tree(NAMES[0]).root("launceston")
    children = {}
    for name in NAMES:
        children.setdefault(make_tree(name).parent(), []).append(name)
    assert children.pop(None) == [root]
    assert max(map(len, children.values())) <= status.HEAP_ARITY
    first = next(name for name in NAMES if name != root)
    parent = make_tree(first).parent()
    assert make_tree(first, dead=[parent]).parent() != parent


def test_counts_add_up_and_the_oldest_are_named():
    """R12: guards against a status that hides a lagging host."""
    status_tree = make_tree(NAMES[0])
    digest = b"d" * 32
    report = make_report([[7, digest, 40], [6, digest, 2]], [["late", 6]])
    assert status_tree.record_report("host-1", report, 1.0)
    total = status_tree.subtree_report(7, digest, 2.0)
    assert (7, digest, 41) in total.counts
    assert total.laggards[0] == ("late", 6)
    later = status_tree.subtree_report(
        7, digest, 2.0 + status.REPORT_TTL_SECONDS
    )
    assert later.counts == [(7, digest, 1)]


@pytest.mark.parametrize(
    ("counts", "laggards"),
    [([[1, 2, 3]], []), ([[1]], []), ([], ["x"]), ([[1, b"", 1]] * 99, [])],
)
def test_malformed_reports_are_refused(counts, laggards):
    """R12: guards against a malformed report crashing a node."""
    status_tree = make_tree(NAMES[0])
    assert not status_tree.record_report(
        "host-1", make_report(counts, laggards), 1.0
    )


def test_queries_do_not_multiply_requests():
    """R12: guards against status requests that grow with the queries."""
    status_tree = make_tree(NAMES[0])
    for _ in range(50):
        status_tree.fleet_summary(10.0)
    assert len(status_tree.roots_to_query(10.0)) == 1
    status_tree.fleet_summary(11.9)
    assert status_tree.roots_to_query(11.9) == []
    for number in range(200):
        status_tree.record_report(f"x-{number}", make_report([], []), 1.0)
    assert len(status_tree.children) == status.MAX_CHILDREN
