"""Play heavy load and check what clients get, against simpler policies.

Each policy plays the same load with the same seeds; the simpler one differs
in a single decision.
"""

import pytest

from hickorythread.mesh import admission
from hickorythread.mesh import placement
from tests import mesh_load

SECONDS = 6.0


def played(scale, prepare=None, seed=1):
    load = mesh_load.guild(scale, seed)
    if prepare is not None:
        prepare(load)
    load.play(SECONDS)
    return load.summary()


def slow_down(load):
    """Make two of five spec-desk targets six times as slow."""
    hosts = [
        host for host in load.hosts.values() if host.service == "spec-desk"
    ]
    for host in hosts[:2]:
        host.speed *= 6


def test_usual_load_is_served_in_time():
    total, shares, far = played(1.0)
    assert total > 0.93 and min(shares.values()) > 0.9
    assert far < 0.15


def test_full_mesh_serves_more_than_one_with_a_longer_queue(monkeypatch):
    """Guards against answers that are all late once targets are full.

    The simpler policy accepts what could be answered before the deadline.
    """
    total, shares, _ = played(2.0)
    monkeypatch.setattr(admission, "LATENCY_MARGIN", 0.0)
    monkeypatch.setattr(
        admission.SlotRequest,
        "soft_deadline",
        property(lambda work: work.deadline),
    )
    monkeypatch.setattr(
        admission.SlotRequest, "__init__", init_without_soft_deadline
    )
    simple, simple_shares, _ = played(2.0)
    assert total > simple + 0.05
    assert shares["panel-spec"] > simple_shares["panel-spec"]


def init_without_soft_deadline(
    work, item, route, priority, soft_deadline, deadline
):
    work.item = item
    work.route = route
    work.priority = priority
    work.deadline = deadline


def test_urgent_kinds_suffer_least_when_the_mesh_is_full():
    """Guards against lookups that push bookings out."""
    _, shares, _ = played(2.6)
    assert shares["kiln-book"] > 0.9
    assert shares["kiln-book"] > shares["panel-spec"]


def test_slow_targets_get_less_than_their_share(monkeypatch):
    """Guards against a balancer that sees only how full a target is."""
    seeds = (1, 2)
    total = sum(played(1.0, slow_down, seed)[0] for seed in seeds)
    monkeypatch.setattr(placement, "SLOW_WEIGHT", 0.0)
    simple = sum(played(1.0, slow_down, seed)[0] for seed in seeds)
    assert total > simple


@pytest.mark.parametrize("seed", [1, 2])
def test_near_targets_are_preferred_at_little_cost(monkeypatch, seed):
    """Guards against bytes over paid links that gain nothing."""
    total, _, far = played(1.0, seed=seed)
    monkeypatch.setattr(
        placement, "SAME_REGION_COST", placement.SAME_DOMAIN_COST
    )
    monkeypatch.setattr(
        placement, "OTHER_REGION_COST", placement.SAME_DOMAIN_COST
    )
    flat, _, flat_far = played(1.0, seed=seed)
    assert far < 0.4 * flat_far
    assert total > flat - 0.03
