"""Routing, placement, admission, the view and its watcher under failures."""

import collections
import random

import expression
import pytest

from hickorythread import events as base_events
from hickorythread.mesh import admission
from hickorythread.mesh import events
from hickorythread.mesh import interfaces
from hickorythread.mesh import links
from hickorythread.mesh import placement
from hickorythread.mesh import routing
from hickorythread.mesh import stopping
from hickorythread.mesh import watcher
from tests import mesh_builders as build

NO_DOMAINS = frozenset()


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
    """Guards against prefixes that match within a path segment."""
    routes = [build.make_route("a", prefix="/a/")]
    router = routing.Router(build.make_configuration(routes=routes))
    assert router.find(host, path) is None


def test_split_follows_weights_over_few_requests():
    """Guards against shares that differ from the weights over few requests."""
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
    selector = placement.Placement(
        "10.0.0.1", "launceston", build.REGIONS, random.Random(1)
    )
    selector.connected.update(("10.0.0.2", "10.0.0.3"))
    return selector


def choose(selector, excluded=(), route=None, evacuated=NO_DOMAINS, now=10.0):
    targets = [build.make_target(number) for number in (1, 2, 3)]
    chosen = selector.choose(
        targets, route or build.make_route(), evacuated, excluded, now
    )
    return chosen and chosen.id


def test_near_target_is_preferred_until_it_is_much_fuller():
    selector = make_placement()
    assert choose(selector) == "t1"
    selector.peer("10.0.0.1").update_load([4, 4, 4], 10.0)
    selector.peer("10.0.0.2").update_load([0, 0, 4], 10.0)
    assert choose(selector) == "t2"


def test_home_region_binds_even_if_its_targets_are_full():
    """Guards against requests that are sent outside their home regions."""
    selector = make_placement()
    selector.peer("10.0.0.3").update_load([40, 40, 4], 10.0)
    route = build.make_route(home_regions=["south"])
    assert choose(selector, route=route) == "t3"
    assert choose(selector, route=route, excluded=("10.0.0.3",)) is None


def test_evacuated_draining_silent_and_unconnected_targets_get_nothing():
    selector = make_placement()
    assert choose(selector, evacuated=frozenset(("launceston",))) == "t2"
    selector.peer("10.0.0.2").silent = True
    selector.connected.discard("10.0.0.3")
    assert choose(selector, evacuated=frozenset(("launceston",))) is None


def test_target_that_fails_fast_is_not_the_least_loaded():
    """Guards against a target that attracts requests by failing fast.

    Fast failures keep its load low, so that load alone would prefer it.
    """
    selector = make_placement()
    peer = selector.peer("10.0.0.1")
    for step in range(12):
        peer.record_result(True, 10.0 + step * 0.01)
    assert choose(selector, now=10.2) == "t2"
    assert choose(selector, now=30.0) == "t1"


def make_slot_request(
    priority=1, soft_deadline=1.0, deadline=2.0, route="specs"
):
    return admission.SlotRequest(
        object(), route, priority, soft_deadline, deadline
    )


def make_admission(slots=2):
    controller = admission.Admission(slots, 0.0)
    controller.paused = False
    return controller


def test_work_beyond_the_slots_waits_in_order_of_priority():
    controller = make_admission()
    assert controller.offer(make_slot_request(), 0.0) == (True, None)
    assert controller.offer(make_slot_request(), 0.0) == (True, None)
    low, high = make_slot_request(2), make_slot_request(0)
    assert controller.offer(low, 0.0) == (False, None)
    assert controller.offer(high, 0.0) == (False, None)
    controller.release_slot("specs", 0.1)
    assert controller.next_ready(0.1) is high
    assert controller.next_ready(0.1) is None


def test_work_that_would_be_late_is_refused_at_once():
    """Guards against queueing requests whose responses would be late."""
    controller = make_admission()
    controller.offer(make_slot_request(), 0.0)
    controller.offer(make_slot_request(), 0.0)
    waiting = 0
    while True:
        runs, refusal = controller.offer(
            make_slot_request(soft_deadline=0.5), 0.0
        )
        assert not runs
        if refusal is not None:
            break
        waiting += 1
    assert refusal.status == 503 and refusal.retry_after_seconds > 0
    # Two slots of 0.1 s each leave room for about eight in 0.4 s.
    assert 5 <= waiting <= 9


def test_cold_target_gets_no_more_starts_than_its_rate():
    """Guards against a cold target that crashes under full load."""
    controller = make_admission(slots=100)
    controller.start_warmup(3.0, 16.0, 2.0, 0.0)
    starts = []
    for step in range(300):
        now = step * 0.01
        runs, _ = controller.offer(
            make_slot_request(soft_deadline=99.0, deadline=99.0), now
        )
        if runs:
            starts.append(now)
        while controller.next_ready(now) is not None:
            starts.append(now)
    for window_start in starts:
        started = [
            at for at in starts if window_start <= at < window_start + 1.0
        ]
        assert len(started) <= 16 + 2
    assert len(starts) >= 0.8 * 16 * 3


def test_request_that_a_cold_target_cannot_start_in_time_is_refused():
    """Guards against a wait for starts that were made before the report."""
    controller = make_admission(slots=100)
    for step in range(60):
        runs, _ = controller.offer(
            make_slot_request(soft_deadline=99.0, deadline=99.0), step * 0.01
        )
        assert runs
    controller.start_warmup(3.0, 16.0, 2.0, 0.6, cold_since=0.0)
    request = make_slot_request(soft_deadline=1.2, deadline=1.5)
    runs, refusal = controller.offer(request, 0.6)
    assert not runs and refusal.status == 503
    patient = make_slot_request(soft_deadline=3.5, deadline=4.0)
    assert controller.offer(patient, 0.6) == (False, None)
    assert controller.next_ready(1.5) is None
    assert controller.next_ready(1.7) is patient


def test_warm_target_has_its_slots_again():
    controller = make_admission(slots=8)
    controller.start_warmup(1.0, 2.0, 2.0, 0.0)
    assert controller.limit == 1
    assert controller.is_warming_up(0.5)
    assert not controller.is_warming_up(1.0)
    assert controller.limit == 8


def test_older_version_never_replaces_a_newer_one():
    """Guards against going back to an older configuration."""
    mesh_view = build.make_view()
    assert mesh_view.put_configuration(build.make_configuration(9))
    assert not mesh_view.put_configuration(build.make_configuration(8))
    assert mesh_view.version == 9


def test_entry_that_lapsed_during_an_outage_may_come_back():
    mesh_view = build.make_view()
    mesh_view.start_grace_period(10.0)
    mesh_view.replace_targets(
        {"t1": build.make_target(1)}, build.make_position(6), 10.1
    )
    assert len(mesh_view.targets) == 3
    mesh_view.put_target(build.make_target(2))
    assert mesh_view.expire(12.0) == []
    assert mesh_view.expire(12.3) == ["t3"]
    assert sorted(mesh_view.targets) == ["t1", "t2"]


def test_removal_seen_after_an_outage_takes_effect_in_time():
    """Guards against requests to a target 2 s after its removal."""
    mesh_view = build.make_view()
    mesh_view.start_grace_period(10.0)
    mesh_view.remove_targets(["t2"], 10.1)
    assert mesh_view.expire(11.6) == []
    assert mesh_view.expire(11.8) == ["t2"]


@pytest.mark.parametrize("from_snapshot", [False, True])
def test_only_a_loss_of_most_targets_is_taken_for_a_lapse(from_snapshot):
    """Guards against holding back the removals of planned work."""
    mesh_view = build.make_view(targets=9)
    mesh_view.remove_targets(["t1"], 10.0, from_snapshot)
    mesh_view.remove_targets(["t2", "t3", "t4"], 10.0, from_snapshot)
    assert len(mesh_view.targets) == 5
    mesh_view.remove_targets(["t5", "t6", "t7"], 11.0, from_snapshot)
    assert len(mesh_view.targets) == 5
    mesh_view.put_target(build.make_target(5))
    mesh_view.expire(11.0 + 1.7)
    assert sorted(mesh_view.targets) == ["t5", "t8", "t9"]


def test_announced_end_of_most_targets_is_no_lapse():
    mesh_view = build.make_view()
    for number in (1, 2, 3):
        mesh_view.put_target(build.make_target(number, draining=True))
    mesh_view.remove_targets(["t1", "t2", "t3"], 10.0)
    assert not mesh_view.targets


def test_log_says_why_no_target_may_be_asked():
    made_view = build.make_view(targets=5)
    made_view.put_target(build.make_target(1, draining=True))
    made_view.put_evacuated(["hobart"], build.make_position(6), 0.0)
    plane = build.make_entry(made_view, connected=3)
    plane.placement.suspend("10.0.0.2", 1.0, 0.0)
    actions = plane.request(build.make_request(), 0.0)
    log = next(
        action
        for action in build.of_type(actions, events.Log)
        if action.event == "no_target"
    )
    assert log.values["targets"] == 5
    reasons = "draining:1,evacuated:1,not-connected:2,suspended:1"
    assert log.values["reasons"] == reasons


def make_watcher(source, handler, topic=interfaces.TARGETS):
    return watcher.Watcher(topic, source, handler, random.Random(1))


class FailingSource:
    """Fail some reads, then respond; records the wait of each read."""

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
    """Guards against a grace period that starts only at the next change."""
    source = FailingSource(2)
    handler = build.WatchHandler()
    source_watcher = make_watcher(source, handler)
    for _ in range(5):
        source_watcher.step()
    assert handler.reports == ["unreachable: ", ""]
    watch_wait = handler.watch_timeout(interfaces.TARGETS)
    assert source.waits == [watch_wait, 0.0, 0.0, watch_wait]


class SkippingSource:
    """Respond to watches with a newer revision but without its changes."""

    def __init__(self):
        self.requested_revisions = []

    def read(self, topic):
        return expression.Ok(interfaces.ChangeBatch([], 5))

    def watch(self, topic, after, wait):
        self.requested_revisions.append(after)
        return expression.Ok(interfaces.ChangeBatch([], 9))


def test_revision_without_its_changes_is_not_skipped():
    """Guards against skipping a removal that a watch did not return.

    A watch from the older revision returns it later or fails because the
    source no longer keeps that history.
    """
    source = SkippingSource()
    source_watcher = make_watcher(source, build.WatchHandler())
    for _ in range(3):
        source_watcher.step()
    assert source.requested_revisions == [5, 5]


def test_draining_target_is_removed_at_once_after_an_outage():
    """Guards against requests to a target that left during an outage."""
    mesh_view = build.make_view()
    mesh_view.put_target(build.make_target(2, draining=True))
    mesh_view.start_grace_period(10.0)
    mesh_view.remove_targets(["t2"], 10.1)
    assert "t2" not in mesh_view.targets


def test_newest_process_at_an_address_is_the_one_that_is_used():
    mesh_view = build.make_view(1)
    mesh_view.put_target(build.make_target(1, id="new", started_at_ms=9))
    assert [item.id for item in mesh_view.by_service["spec-desk"]] == ["new"]


def make_large_placement(seed):
    """Return a placement with 680 targets of random load in 14 domains."""
    source = random.Random(seed)
    domains = {f"d{number}": f"r{number % 5}" for number in range(14)}
    targets = [
        build.make_target(number, failure_domain=f"d{number % 14}")
        for number in range(1, 681)
    ]
    chooser = placement.Placement("10.0.0.1", "d1", domains, source)
    chooser.connected = {target.host_id for target in targets}
    for target in targets:
        load = [source.randrange(5), 0, 4]
        chooser.peer(target.host_id).update_load(load, 0.0)
    return chooser, targets


@pytest.mark.parametrize("seed", range(5))
def test_choice_is_that_of_a_search_of_all_targets(monkeypatch, seed):
    """Guards against a shortcut that misses a better target."""
    monkeypatch.setattr(placement, "JITTER", 0.0)
    chooser, targets = make_large_placement(seed)
    route = build.make_route()
    for _ in range(60):
        best = min(
            chooser.distance(target) + chooser.score(target, route, 0.0)
            for target in targets
        )
        chosen = chooser.choose(targets, route, frozenset(), (), 0.0)
        score = chooser.score(chosen, route, 0.0)
        assert chooser.distance(chosen) + score == best
        chooser.peer(chosen.host_id).sent_since_report += 1


def test_choice_looks_at_near_targets_first(monkeypatch):
    """Guards against work that grows with the targets of a service."""
    chooser, targets = make_large_placement(1)
    scored = []
    score = chooser.score
    monkeypatch.setattr(
        chooser,
        "score",
        lambda target, *arguments: (
            scored.append(target) or score(target, *arguments)
        ),
    )
    chooser.choose(targets, build.make_route(), frozenset(), (), 0.0)
    assert 0 < len(scored) <= 680 / 14 + 1


class SilentStream:
    """A stream whose peer does not respond."""

    def __init__(self):
        self.id = 1
        self.peer = base_events.Peer("10.0.0.2", 1, "north", "a")
        self.closed = self.silent = False
        self.heard_at = 0.0
        self.reasons = []

    def send(self, message):
        return True

    def close(self, reason):
        self.reasons.append(reason)


class SingleStreamManager:
    def __init__(self, stream):
        self.stream = stream
        self.by_id = {stream.id: stream}
        self.addresses = {}

    def find(self, host_id):
        return self.stream


def test_stream_to_a_silent_host_is_kept_for_its_open_calls():
    """Guards against giving up work that a silent host still does.

    A frozen host responds after it wakes, on the stream that carried the call.
    """
    stream = SilentStream()
    peer_links = links.PeerLinks("10.0.0.1", 7600, SingleStreamManager(stream))
    calls = {stream.id: 0.0}
    changes = []
    for step in range(60):
        changes += peer_links.check_liveness(calls, step * 0.1)
    assert changes == [(stream, True)] and not stream.reasons
    peer_links.check_liveness({}, 6.0)
    assert stream.reasons == ["no response"]
    stream.heard_at = 6.1
    assert peer_links.check_liveness({}, 6.2) == [(stream, False)]


def test_distances_follow_a_change_of_the_regions():
    """Guards against an order of targets that a reload has outdated."""
    regions = {"a": "north", "b": "south", "c": "north"}
    chooser = placement.Placement("h", "a", regions, random.Random(1))
    targets = [
        build.make_target(1, failure_domain="b"),
        build.make_target(2, failure_domain="c"),
    ]
    chooser.connected = {target.host_id for target in targets}
    route = build.make_route()
    assert chooser.choose(targets, route, frozenset(), (), 0.0).id == "t2"
    regions.update(b="north", c="south")
    chooser.targets_changed()
    assert chooser.choose(targets, route, frozenset(), (), 0.0).id == "t1"


def test_spent_limit_excludes_a_target_for_what_is_no_more_urgent():
    """Guards against urgent requests that a less urgent refusal keeps out."""
    made_view = build.make_view(targets=1)
    selector = build.make_entry(made_view, connected=1).placement
    targets = made_view.by_service["spec-desk"]
    selector.peer("10.0.0.1").record_rate_refusal(1, 0.2, 10.0)
    waits = {
        (priority, now): selector.rate_limit_wait(
            targets, build.make_route(priority=priority), NO_DOMAINS, now
        )
        for priority in (0, 1, 2)
        for now in (10.1, 10.3)
    }
    assert waits[0, 10.1] is None
    assert waits[1, 10.1] == pytest.approx(0.1)
    assert waits[2, 10.1] == pytest.approx(0.1)
    assert {waits[priority, 10.3] for priority in (0, 1, 2)} == {None}


def test_refusal_without_a_call_names_the_next_start():
    """Guards against clients that return before a start is due."""
    made_view = build.make_view(targets=2)
    plane = build.make_entry(made_view, connected=2)
    for host_id, wait in (("10.0.0.1", 0.9), ("10.0.0.2", 0.7)):
        plane.placement.peer(host_id).record_rate_refusal(0, wait, 0.0)
    actions = plane.request(build.make_request(), 0.1)
    (respond,) = build.of_type(actions, events.Respond)
    assert respond.response.status == 503
    assert respond.response.reason == "rate-limit"
    assert respond.response.retry_after == pytest.approx(0.6)


def test_lower_limit_refuses_what_can_no_longer_be_served():
    """Guards against requests that wait for their deadline in vain."""
    controller = make_admission(slots=100)
    controller.set_rate_limit(50.0, 0.0)
    for _ in range(20):
        assert controller.offer(make_slot_request(), 0.0) == (False, None)
    controller.set_rate_limit(2.0, 0.0)
    removed = controller.remove_expired(0.0)
    # At 2 starts a second three begin within the deadline of 2 s.
    assert len(removed) == 17 and len(controller.queue) == 3
    runs, refusal = controller.offer(make_slot_request(), 0.0)
    assert not runs and refusal.reason == "rate-limit"
    controller.set_rate_limit(None, 0.0)
    assert controller.next_ready(0.0) is not None


def test_late_request_of_a_stop_needs_time_for_its_response():
    """Guards against a request that is accepted and cut by the exit."""
    stop = stopping.StopPolicy(6.0, 100.0)
    assert stop.may_accept(deadline=200.0, now=102.8)
    assert not stop.may_accept(deadline=105.2, now=102.9)
    assert stop.may_accept(deadline=105.1, now=103.7)
    assert stop.ends_at < 106.0


def test_no_request_is_accepted_when_a_short_grace_time_ends():
    """Guards against one that waited for others and is cut by the exit."""
    stop = stopping.StopPolicy(3.0, 100.0)
    assert stop.may_accept(deadline=200.0, now=102.2)
    assert not stop.may_accept(deadline=200.0, now=102.3)


class DefectiveHandler(build.WatchHandler):
    """Fail on the second response of a source."""

    def apply_batch(self, topic, batch, complete):
        if batch.revision == 6 and not complete:
            raise ValueError("defect")
        super().apply_batch(topic, batch, complete)


class ChangingSource:
    """Return one change with each response."""

    def __init__(self):
        self.revision = 5

    def read(self, topic):
        change = interfaces.PutTarget(build.make_target(1))
        return expression.Ok(interfaces.ChangeBatch([change], self.revision))

    def watch(self, topic, after, wait):
        self.revision += 1
        return self.read(topic)


def test_changes_whose_application_failed_are_read_again():
    """Guards against a restarted watcher that skips a batch for good."""
    handler = DefectiveHandler()
    source_watcher = make_watcher(ChangingSource(), handler)
    source_watcher.step()
    with pytest.raises(ValueError, match="defect"):
        source_watcher.step()
    source_watcher.step()
    source_watcher.step()
    assert handler.applied == [(5, True), (6, True), (7, False)]
