"""Tests of changes that no watch returns: their bounds are those of RULES.

All watches of a mesh hang for good, while calls that do not wait are answered.
"""

import random

import pytest

from hickorythread.mesh import interfaces
from tests import mesh_builders as build
from tests import view_domain

CHANGE_SECONDS = 2.0
EVACUATION_SECONDS = 5.0
# The hosts of a mesh are busy with requests as well.
MARGIN_SECONDS = 0.1
START_SECONDS = 9.0
SEEDS = 40
ONE_REGION = {"launceston": "north", "devonport": "north"}
TWO_REGIONS = ONE_REGION | {"hobart": "south", "kingston": "south"}
HOSTS_PER_REGION = (2, 3, 6, 7, 12, 16, 28)


class Change:
    """A change, its bound, and whether a view follows it."""

    def __init__(self, name, seconds, apply, is_in_force):
        self.name = name
        self.seconds = seconds
        self.apply = apply
        self.is_in_force = is_in_force


def drain(target_id):
    number = int(target_id[1:])

    def apply(source):
        domain = source.targets[target_id].failure_domain
        target = build.make_target(
            number, failure_domain=domain, draining=True
        )
        source.change(interfaces.PutTarget(target))

    return apply


def make_changes(chance, size):
    """Return one change of each kind in random order, and one version more."""
    numbers = chance.sample(range(1, size + 1), 2)
    drained, removed = (f"t{number}" for number in numbers)
    changes = [
        Change(
            "version",
            CHANGE_SECONDS,
            lambda source: source.put_version(2),
            lambda view: view.version >= 2,
        ),
        Change(
            "drain",
            CHANGE_SECONDS,
            drain(drained),
            lambda view: view.targets[drained].draining,
        ),
        Change(
            "removal",
            CHANGE_SECONDS,
            lambda source: source.change(interfaces.RemoveTarget(removed)),
            lambda view: removed not in view.targets,
        ),
        Change(
            "evacuation",
            EVACUATION_SECONDS,
            lambda source: source.change(
                interfaces.SetEvacuated("launceston", True)
            ),
            lambda view: "launceston" in view.evacuated,
        ),
    ]
    chance.shuffle(changes)
    changes.append(
        Change(
            "later version",
            CHANGE_SECONDS,
            lambda source: source.put_version(3),
            lambda view: view.version == 3,
        )
    )
    return changes


def make_domain(size, regions, seed):
    """Return a mesh with a number of hosts in each region."""
    count = len(set(regions.values()))
    return view_domain.Domain(size * count, tuple(regions), regions, seed)


def late_changes(domain, chance):
    """Make changes one after the other; return those that come too late."""
    late = []
    for change in make_changes(chance, len(domain.members)):
        domain.run_for(chance.random())
        change.apply(domain.source)
        domain.run_for(change.seconds - MARGIN_SECONDS)
        late += [
            (domain.seed, change.name, member.host_id)
            for member in domain.members.values()
            if not change.is_in_force(member.view)
        ]
        domain.run_for(3.0)
    return late


@pytest.mark.parametrize("size", HOSTS_PER_REGION)
@pytest.mark.parametrize("regions", [ONE_REGION, TWO_REGIONS], ids=["1", "2"])
def test_changes_that_no_watch_returns_are_in_force_in_time(regions, size):
    """Guards against watches that are trusted although they hang."""
    late = []
    for seed in range(SEEDS):
        chance = random.Random(seed)
        domain = make_domain(size, regions, seed)
        domain.run_for(START_SECONDS)
        for member in domain.members.values():
            member.lost_topics |= {interfaces.OPERATOR, interfaces.TARGETS}
        late += late_changes(domain, chance)
    assert late == []
