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
TOPICS = (interfaces.OPERATOR, interfaces.TARGETS)


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


def hang_watches(domain):
    """Let all watches, and those that are sent later, get no answer."""
    for member in domain.members.values():
        member.lost_topics |= set(TOPICS)


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
        hang_watches(domain)
        late += late_changes(domain, chance)
    assert late == []


@pytest.mark.parametrize("size", [3, 7, 16])
def test_changes_are_in_time_while_the_first_hosts_get_no_answer(size):
    """Guards against hosts that leave the checks to one that hangs."""
    late = []
    for seed in range(SEEDS):
        chance = random.Random(seed)
        domain = make_domain(size, ONE_REGION, seed)
        domain.run_for(START_SECONDS)
        hang_watches(domain)
        for member in domain.readers()[: 1 + seed % 2]:
            member.loses_checks = True
        late += late_changes(domain, chance)
    assert late == []


def make_silent(domain, chance, seconds):
    """Let the source be silent; a version comes right before and one in it."""
    source = domain.source
    source.put_version(2)
    domain.run_for(0.02 + 0.3 * chance.random())
    source.silent = True
    domain.run_for(seconds / 2)
    source.put_version(3)
    domain.run_for(seconds / 2)
    source.silent = False


@pytest.mark.parametrize("size", [2, 7, 16])
@pytest.mark.parametrize("regions", [ONE_REGION, TWO_REGIONS], ids=["1", "2"])
def test_silent_outage_delays_no_change_after_it(regions, size):
    """Guards against watches that were sent into a silence and stay open."""
    late = []
    for seed in range(SEEDS):
        chance = random.Random(seed)
        domain = make_domain(size, regions, seed)
        domain.run_for(START_SECONDS)
        make_silent(domain, chance, 0.5 + 4 * chance.random())
        # From here on the hosts count as in touch.
        domain.run_for(3.0)
        late += [
            (seed, "in the silence")
            for member in domain.members.values()
            if member.view.version != 3
        ]
        for version in range(4, 8):
            domain.source.put_version(version)
            domain.run_for(CHANGE_SECONDS - MARGIN_SECONDS)
            late += [
                (seed, version, member.host_id)
                for member in domain.members.values()
                if member.view.version != version
            ]
            domain.run_for(chance.random())
    assert late == []


def test_watch_that_has_missed_a_change_is_started_again():
    """Guards against a later change that waits for a check as well."""
    for seed in range(SEEDS):
        domain = make_domain(7, ONE_REGION, seed)
        domain.run_for(START_SECONDS)
        hang_watches(domain)
        domain.run_for(0.1)
        domain.source.put_version(2)
        domain.run_for(0.1)
        for member in domain.members.values():
            member.lost_topics.clear()
        domain.run_for(CHANGE_SECONDS + 1.0)
        domain.source.put_version(3)
        domain.run_for(0.3)
        assert domain.lowest_version() == 3, seed


def count_calls(size, regions, seconds=30.0, before=None):
    domain = make_domain(size, regions, 1)
    domain.run_for(START_SECONDS)
    if before:
        before(domain)
    domain.source.calls = 0
    domain.run_for(seconds)
    return domain.source.calls


@pytest.mark.parametrize("size", [7, 12, 28])
def test_calls_while_nothing_answers_are_bounded(size):
    """Guards against hosts that ask all the time during an outage."""

    def silence(domain):
        domain.source.silent = True

    # Each host that asks waits for its answer until the call times out.
    asking = min(size, 2 * 6) if size > 12 else size
    calls = count_calls(size, ONE_REGION, before=silence)
    assert calls <= asking * 2 * 30 * 1.5
