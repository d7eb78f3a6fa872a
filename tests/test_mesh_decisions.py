"""Routing, placement, admission and the view, each under its failures."""

import collections
import random

import expression
import pytest

from hickorythread.mesh import admission
from hickorythread.mesh import interfaces
from hickorythread.mesh import placement
from hickorythread.mesh import routing
from hickorythread.mesh import watcher
from tests import mesh_builders as build

NOTHING = frozenset()


def test_longest_prefix_wins_and_host_ignores_case_and_port():
    routes = [
        build.make_route("a", prefix="/a/"),
        build.make_route("ab", prefix="/a/b/"),
    ]
    router = routing.Router(build.make_configuration(routes=routes))
    assert router.find("SPECS.example:80", "/a/b/c?x=/a/").name == "ab"
    assert router.find("specs.example", "/a/bc").name == "a"


@pytest.mark.parametrize(
    ("host", "path"),
    [
        ("other.example", "/a/1"),
        ("specs.example", "/a"),
        ("specs.example", "/b/a/"),
        ("specs.example", "/?/a/"),
    ],
)
def test_no_route_for_other_hosts_and_partial_prefixes(host, path):
    """Guards against a prefix that matches within a path segment."""
    routes = [build.make_route("a", prefix="/a/")]
    router = routing.Router(build.make_configuration(routes=routes))
    assert router.find(host, path) is None


def test_split_follows_weights_over_few_requests():
    """Guards against shares that miss the weights in a short window."""
    route = build.make_route(destinations=[("a", 90.0), ("b", 10.0)])
    splitter = routing.TrafficSplitter(random.Random(3))
    counts = collections.Counter(
        splitter.choose_service(route) for _ in range(50)
    )
    assert 44 <= counts["a"] <= 46


def test_split_with_new_weights_starts_over_its_shares():
    splitter = routing.TrafficSplitter(random.Random(3))
    for weights in ((90.0, 10.0), (10.0, 90.0)):
        route = build.make_route(
            destinations=[("a", weights[0]), ("b", weights[1])]
        )
        counts = collections.Counter(
            splitter.choose_service(route) for _ in range(100)
        )
        assert abs(counts["a"] - weights[0]) <= 2


def make_placement():
    made = placement.Placement(
        "10.0.0.1", "launceston", build.REGIONS, random.Random(1)
    )
    made.connected.update(("10.0.0.2", "10.0.0.3"))
    return made


def choose(made, excluded=(), route=None, evacuated=NOTHING, now=10.0):
    targets = [build.make_target(number) for number in (1, 2, 3)]
    chosen = made.choose(
        targets, route or build.make_route(), evacuated, excluded, now
    )
    return chosen and chosen.id


def test_near_target_is_preferred_until_it_is_much_fuller():
    made = make_placement()
    assert choose(made) == "t1"
    made.peer("10.0.0.1").report([4, 4, 4], 10.0)
    made.peer("10.0.0.2").report([0, 0, 4], 10.0)
    assert choose(made) == "t2"


def test_home_region_binds_even_if_its_targets_are_full():
    """Guards against a request that leaves its home regions."""
    made = make_placement()
    made.peer("10.0.0.3").report([40, 40, 4], 10.0)
    route = build.make_route(home_regions=["south"])
    assert choose(made, route=route) == "t3"
    assert choose(made, route=route, excluded=("10.0.0.3",)) is None


def test_evacuated_draining_silent_and_unconnected_targets_get_nothing():
    made = make_placement()
    assert choose(made, evacuated=frozenset(("launceston",))) == "t2"
    made.peer("10.0.0.2").silent = True
    made.connected.discard("10.0.0.3")
    assert choose(made, evacuated=frozenset(("launceston",))) is None


def test_target_that_fails_fast_is_not_the_least_loaded():
    """Guards against a target that attracts work by refusing it."""
    made = make_placement()
    peer = made.peer("10.0.0.1")
    for step in range(12):
        peer.record_result(True, 10.0 + step * 0.01)
    assert choose(made, now=10.2) == "t2"
    assert choose(made, now=30.0) == "t1"


def make_work(priority=1, soft_deadline=1.0, deadline=2.0, route="specs"):
    return admission.SlotRequest(
        object(), route, priority, soft_deadline, deadline
    )


def make_admission(slots=2):
    made = admission.Admission(slots, 0.0)
    made.paused = False
    return made


def test_work_beyond_the_slots_waits_in_order_of_priority():
    made = make_admission()
    assert made.offer(make_work(), 0.0) == (True, None)
    assert made.offer(make_work(), 0.0) == (True, None)
    low, high = make_work(2), make_work(0)
    assert made.offer(low, 0.0) == (False, None)
    assert made.offer(high, 0.0) == (False, None)
    made.release_slot("specs", 0.1)
    assert made.next_ready(0.1) is high
    assert made.next_ready(0.1) is None


def test_work_that_would_be_late_is_refused_at_once():
    """Guards against requests that wait for an answer nobody values."""
    made = make_admission()
    made.offer(make_work(), 0.0)
    made.offer(make_work(), 0.0)
    waiting = 0
    while True:
        runs, refusal = made.offer(make_work(soft_deadline=0.5), 0.0)
        assert not runs
        if refusal is not None:
            break
        waiting += 1
    assert refusal.status == 503 and refusal.retry_after_seconds > 0
    # Two slots of 0.1 s each leave room for about eight in 0.4 s.
    assert 5 <= waiting <= 9


def test_cold_target_gets_no_more_starts_than_its_rate():
    """Guards against a cold target that crashes under full load."""
    made = make_admission(slots=100)
    made.start_warmup(3.0, 16.0, 2.0, 0.0)
    starts = []
    for step in range(300):
        now = step * 0.01
        runs, _ = made.offer(make_work(soft_deadline=99.0, deadline=99.0), now)
        if runs:
            starts.append(now)
        while made.next_ready(now) is not None:
            starts.append(now)
    for begin in starts:
        within = [at for at in starts if begin <= at < begin + 1.0]
        assert len(within) <= 16 + 2
    assert len(starts) >= 0.8 * 16 * 3


def test_warm_target_has_its_slots_again():
    made = make_admission(slots=8)
    made.start_warmup(1.0, 2.0, 2.0, 0.0)
    assert made.limit == 1
    assert made.is_warming_up(0.5)
    assert not made.is_warming_up(1.0)
    assert made.limit == 8


def test_older_version_never_replaces_a_newer_one():
    """Guards against a configuration that goes back."""
    made = build.make_view()
    assert made.put_configuration(build.make_configuration(9))
    assert not made.put_configuration(build.make_configuration(8))
    assert made.version == 9


def test_entry_that_lapsed_during_an_outage_may_come_back():
    made = build.make_view()
    made.source_returned(10.0)
    made.replace_targets({"t1": build.make_target(1)}, 6, 10.1)
    assert len(made.targets) == 3
    made.put_target(build.make_target(2))
    assert made.expire(12.0) == []
    assert made.expire(12.3) == ["t3"]
    assert sorted(made.targets) == ["t1", "t2"]


def test_removal_seen_after_an_outage_takes_effect_in_time():
    """Guards against work for a target whose entry was removed 2 s ago."""
    made = build.make_view()
    made.source_returned(10.0)
    made.remove_target("t2", 10.1)
    assert made.expire(11.6) == []
    assert made.expire(11.8) == ["t2"]


class WatchHandler:
    """Let a watcher read all the time and record what it reports."""

    def __init__(self):
        self.is_active = True
        self.known = None
        self.reports = []
        self.applied = []
        self.left = 0

    def active(self, topic):
        return self.is_active

    def position(self, topic):
        return self.known

    def wait_seconds(self, topic):
        return 25.0

    def gather_seconds(self):
        return 0.25

    def apply(self, topic, reading, complete):
        self.applied.append((reading.revision, complete))

    def source_changed(self, topic, failure):
        self.reports.append(failure)

    def source_left(self, topic):
        self.left += 1


def make_watcher(source, handler, topic=interfaces.TARGETS):
    return watcher.Watcher(topic, source, handler, random.Random(1))


class FailingSource:
    """Fail some reads, then answer; records how long each one waits."""

    def __init__(self, failures):
        self.failures = failures
        self.waits = []

    def read(self, topic):
        return expression.Ok(interfaces.ChangeBatch([], 5))

    def watch(self, topic, after, wait):
        self.waits.append(wait)
        if self.failures:
            self.failures -= 1
            failure = interfaces.SourceFailure("unreachable")
            return expression.Error(failure)
        return expression.Ok(interfaces.ChangeBatch([], after))


def test_return_of_the_source_is_noticed_before_the_next_change():
    """Guards against a grace time that starts with the next removal."""
    source = FailingSource(2)
    handler = WatchHandler()
    follower = make_watcher(source, handler)
    for _ in range(5):
        follower.step()
    assert handler.reports == ["unreachable: ", ""]
    long = handler.wait_seconds(interfaces.TARGETS)
    assert source.waits == [long, 0.0, 0.0, long]


class DeafSource:
    """Answer watches without the changes that raised the revision."""

    def __init__(self):
        self.positions = []

    def read(self, topic):
        return expression.Ok(interfaces.ChangeBatch([], 5))

    def watch(self, topic, after, wait):
        self.positions.append(after)
        return expression.Ok(interfaces.ChangeBatch([], 9))


def test_revision_without_its_changes_is_not_skipped():
    """Guards against a removal that a watch did not hear and never will.

    From the older position the source says that its history is lost.
    """
    source = DeafSource()
    follower = make_watcher(source, WatchHandler())
    for _ in range(3):
        follower.step()
    assert source.positions == [5, 5]


def test_draining_target_is_removed_at_once_after_an_outage():
    """Guards against work for a target that left during an outage."""
    made = build.make_view()
    made.put_target(build.make_target(2, draining=True))
    made.source_returned(10.0)
    made.remove_target("t2", 10.1)
    assert "t2" not in made.targets


def test_newest_process_at_an_address_is_the_one_that_is_used():
    made = build.make_view(1)
    made.put_target(build.make_target(1, id="new", started_at_ms=9))
    assert [item.id for item in made.by_service["spec-desk"]] == ["new"]
