"""Tests of a source that was restored from an older copy of its data."""

import random

import expression
import pytest

from hickorythread.mesh import exchange
from hickorythread.mesh import interfaces
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import view as mesh_view
from hickorythread.mesh import watcher
from hickorythread.platform import store
from tests import mesh_builders as build
from tools.loopback import store_standin

RESTORED_AT = 100.0


@pytest.fixture
def standin():
    standin = store_standin.Store()
    yield standin
    standin.close()


def make_client(standin):
    return store.StoreClient(standin.address, build.REGIONS)


def make_known_view(revision=1000, era=1):
    """Return a view of t1, t2 and t3 in an era of the source."""
    made_view = build.make_view(0)
    targets = {
        f"t{number}": build.make_target(number, started_at_ms=5)
        for number in (1, 2, 3)
    }
    made_view.replace_targets(targets, build.make_position(revision, era), 0.0)
    return made_view


def list_targets(view, numbers, revision=900, era=2, now=RESTORED_AT):
    targets = {
        f"t{number}": build.make_target(number, started_at_ms=5)
        for number in numbers
    }
    position = build.make_position(revision, era)
    view.replace_targets(targets, position, now)


def test_era_of_the_source_is_read_with_its_answers(standin):
    client = make_client(standin)
    assert client.read(interfaces.TARGETS).ok.era == models.UNKNOWN_ERA
    standin.era_text = "3"
    batch = client.read(interfaces.TARGETS).ok
    assert batch.era == 3
    assert client.watch(interfaces.TARGETS, batch.revision, 0.0).ok.era == 3


@pytest.mark.parametrize("text", ["", "-1", "²", "1.5", "9" * 400])
def test_malformed_era_is_a_failure(standin, text):
    standin.era_text = text
    result = make_client(standin).read(interfaces.TARGETS)
    assert result.error.kind == "malformed"


def test_pages_of_two_eras_are_no_list(standin, monkeypatch):
    """Guards against a list that was half read before the restoration."""
    for number in range(store_standin.PAGE_ITEMS + 1):
        document = build.make_entry_document()
        standin.put(f"servers/i-{number}", document)
    standin.era_text = "1"
    list_page = standin.list

    def restore_after_first_page(prefix, after):
        standin.era_text = "2" if after else "1"
        return list_page(prefix, after)

    monkeypatch.setattr(standin, "list", restore_after_first_page)
    result = make_client(standin).read(interfaces.TARGETS)
    assert result.error.kind == "restored"


class RestoredSource:
    """Answer watches in a later era than the first list."""

    def __init__(self):
        self.calls = []

    def read(self, topic):
        self.calls.append("read")
        era = 1 if len(self.calls) == 1 else 2
        return expression.Ok(interfaces.ChangeBatch([], 5, era=era))

    def watch(self, topic, after, wait):
        self.calls.append("watch")
        return expression.Ok(interfaces.ChangeBatch([], 9, era=2))


def test_watch_that_is_answered_in_another_era_is_followed_by_a_list():
    """Guards against changes that the new numbers of revisions hide."""
    source = RestoredSource()
    node_watcher = watcher.Watcher(
        interfaces.TARGETS,
        source,
        build.WatchHandler(),
        random.Random(1),
    )
    for _ in range(4):
        node_watcher.step()
    assert source.calls == ["read", "watch", "read", "watch"]


def test_list_of_a_restored_source_is_applied_despite_its_revision():
    """Guards against a node that ignores a source whose numbers went back."""
    view = make_known_view()
    list_targets(view, (1, 2, 4))
    assert sorted(view.targets) == ["t1", "t2", "t3", "t4"]
    assert view.position.values() == [2, 900]
    assert view.expire(RESTORED_AT + 3.0) == ["t3"]


def test_list_of_an_earlier_era_changes_nothing():
    """Guards against an answer that was delayed beyond the restoration."""
    view = make_known_view(revision=900, era=2)
    list_targets(view, (1,), revision=1000, era=1)
    assert len(view.targets) == 3 and view.position.values() == [2, 900]


def remove_before_restoration():
    view = make_known_view()
    view.remove_targets(["t3"], RESTORED_AT - 5.0)
    list_targets(view, (1, 2, 3))
    return view


def test_removed_target_is_not_used_because_an_older_copy_lists_it():
    """Guards against requests to a target whose removal was acknowledged."""
    view = remove_before_restoration()
    assert sorted(view.targets) == ["t1", "t2"]
    list_targets(view, (1, 2, 3), revision=901, now=RESTORED_AT + 1.0)
    assert not view.expire_restored(RESTORED_AT + 5.0)
    list_targets(view, (1, 2), revision=902, now=RESTORED_AT + 5.0)
    assert not view.expire_restored(RESTORED_AT + 7.0)
    assert sorted(view.targets) == ["t1", "t2"]


def test_revived_target_is_used_once_it_writes_its_entry():
    view = remove_before_restoration()
    view.put_target(build.make_target(3, started_at_ms=5))
    assert "t3" in view.targets


def test_revived_target_that_stays_listed_is_used_after_the_lapse_time():
    view = remove_before_restoration()
    assert view.expire_restored(RESTORED_AT + 6.1)
    assert "t3" in view.targets


def test_later_process_in_an_older_copy_is_used():
    """Guards against an id that is never used again."""
    view = make_known_view()
    view.remove_targets(["t3"], RESTORED_AT - 5.0)
    later = build.make_target(3, started_at_ms=6)
    view.replace_targets(
        {"t3": later}, build.make_position(900, 2), RESTORED_AT
    )
    assert view.targets["t3"] == later


def operator_batch(*changes, revision, era):
    return interfaces.ChangeBatch(list(changes), revision, era=era)


def make_evacuated_view():
    view = make_known_view()
    evacuated = interfaces.SetEvacuated("hobart", True)
    batch = operator_batch(evacuated, revision=1000, era=1)
    view.apply_operator(batch, True, 0.0)
    assert view.evacuated == {"hobart"}
    return view


def test_evacuation_that_an_older_copy_lacks_stays_in_force():
    """Guards against requests to an evacuated failure domain."""
    view = make_evacuated_view()
    batch = operator_batch(revision=900, era=2)
    view.apply_operator(batch, True, RESTORED_AT)
    assert view.evacuated == {"hobart"}
    assert not view.expire_restored(RESTORED_AT + 5.0)
    assert view.expire_restored(RESTORED_AT + 6.1)
    assert not view.evacuated


@pytest.mark.parametrize("written_again", [False, True])
def test_operator_ends_an_evacuation_after_a_restoration(written_again):
    view = make_evacuated_view()
    view.apply_operator(operator_batch(revision=900, era=2), True, RESTORED_AT)
    changes = [interfaces.SetEvacuated("hobart", written_again)]
    batch = operator_batch(*changes, revision=901, era=2)
    view.apply_operator(batch, False, RESTORED_AT + 1.0)
    view.expire_restored(RESTORED_AT + 10.0)
    assert bool(view.evacuated) == written_again


def test_older_list_of_the_operator_ends_no_evacuation():
    """Guards against a second copy of an answer that arrives late."""
    view = make_evacuated_view()
    view.apply_operator(operator_batch(revision=999, era=1), True, 1.0)
    assert view.evacuated == {"hobart"}


def test_version_of_an_older_copy_is_not_put_in_force():
    """Guards against an acknowledged version that comes back older."""
    view = make_known_view()
    for version, revision, era in ((8, 1000, 1), (7, 900, 2), (9, 905, 2)):
        configuration = build.make_configuration(version)
        change = interfaces.PutConfiguration(configuration)
        batch = operator_batch(change, revision=revision, era=era)
        view.apply_operator(batch, True, RESTORED_AT)
        assert view.version == max(8, version)


def exchange_views(asking, answering, now=RESTORED_AT):
    """Let one node ask another for what it has; return what it got."""
    notice = exchange.make_notice(answering, False)
    if not exchange.is_newer(asking, notice):
        return None
    request = exchange.make_request(asking)
    reply = exchange.make_reply(answering, request, now)
    if reply is not None:
        assert exchange.apply_reply(asking, reply, now).is_ok()
    return reply


def test_peer_takes_the_later_era_although_its_revision_is_lower():
    """Guards against peers that never hear of a restored source."""
    view, peer = make_known_view(), make_known_view()
    list_targets(peer, (1, 2, 3, 4))
    peer.put_evacuated(["hobart"], build.make_position(901, 2), RESTORED_AT)
    view.put_evacuated([], build.make_position(1000, 1), RESTORED_AT)
    assert exchange_views(view, peer) is not None
    assert "t4" in view.targets and view.evacuated == {"hobart"}
    assert view.position.values() == [2, 900]
    assert exchange_views(peer, make_known_view(revision=2000)) is None


def test_peer_of_an_earlier_release_states_no_era():
    view = make_known_view(revision=1000, era=2)
    notice = messages.ViewNotice(1, 1001, 0, True)
    assert exchange.is_newer(view, notice)
    notice = messages.ViewNotice(1, 1000, 0, True)
    assert not exchange.is_newer(view, notice)


@pytest.mark.parametrize("seed", range(20))
def test_node_follows_a_source_that_is_restored_again_and_again(standin, seed):
    """Guards against state that comes back older, is lost or stays away.

    Targets leave, come and start again and versions change while the source
    goes back to older copies, whose losses are written again.
    """
    chance = random.Random(seed)
    simulation = Simulation(standin, chance)
    for _ in range(60):
        simulation.step()
        simulation.check()
    simulation.settle()


class Simulation:
    """Write to a store, restore it, and follow it with one view."""

    def __init__(self, standin, chance):
        self.standin = standin
        self.random = chance
        self.now = 0.0
        self.era = 1
        standin.era_text = "1"
        self.client = make_client(standin)
        self.view = mesh_view.View()
        self.watchers = [
            watcher.Watcher(topic, self.client, self, chance)
            for topic in (interfaces.OPERATOR, interfaces.TARGETS)
        ]
        # What was acknowledged: documents by key, None if removed.
        self.written = {}
        self.copies = []
        self.version = 1
        self.started_at = 1
        self.ended = set()
        self.highest_version = 0
        self.write("op/config", build.make_configuration_document(1))
        self.read()

    # Handler of the watchers.

    def reads_topic(self, topic):
        return True

    def known_position(self, topic):
        return None

    def call_started(self, topic, wait):
        pass

    def call_ended(self, topic, result):
        pass

    def watch_timeout(self, topic):
        return 0.0

    def batch_delay(self):
        return 0.0

    def apply_batch(self, topic, batch, complete):
        if topic == interfaces.OPERATOR:
            self.view.apply_operator(batch, complete, self.now)
        else:
            self.view.apply_targets(batch, complete, self.now)

    def source_status_changed(self, topic, failure):
        pass

    def reading_stopped(self, topic):
        pass

    # Steps.

    def write(self, key, document):
        self.written[key] = document
        if document is not None:
            self.standin.put(key, document)
        elif key in self.standin.items:
            self.standin.delete(key)

    def step(self):
        self.now += self.random.uniform(0.1, 1.0)
        self.copies.append((self.standin.copy(), dict(self.written)))
        action = self.random.choice(
            ["join", "drain", "leave", "restart", "publish", "evacuate"]
            + ["restore", "read", "read"]
        )
        getattr(self, action)()
        self.view.expire(self.now)
        self.view.expire_restored(self.now)

    def pick(self):
        return f"servers/i-{self.random.randrange(6)}"

    def join(self):
        key = self.pick()
        if self.written.get(key) is None:
            self.started_at += 1
            document = build.make_entry_document(
                born=self.started_at,
                address=f"10.0.0.{1 + int(key[-1])}:80",
            )
            self.write(key, document)

    def restart(self):
        key = self.pick()
        if self.written.get(key):
            self.started_at += 1
            self.write(key, self.written[key] | {"born": self.started_at})

    def drain(self):
        key = self.pick()
        if self.written.get(key):
            self.write(key, self.written[key] | {"phase": "draining"})

    def leave(self):
        key = self.pick()
        if self.written.get(key):
            self.write(key, None)

    def publish(self):
        self.version += self.random.randint(1, 5)
        document = build.make_configuration_document(self.version)
        self.write("op/config", document)

    def evacuate(self):
        key = "op/evacuate/hobart"
        document = None if self.written.get(key) else {}
        self.write(key, document)

    def restore(self):
        """Go back to a copy; what it lacks is written again afterwards."""
        self.read()
        self.era += 1
        copy, written = self.random.choice(self.copies[-5:])
        self.standin.restore(copy, self.era)
        if self.random.random() < 0.5:
            self.read()
        for key, document in self.written.items():
            if document != written.get(key):
                self.write(key, document)
        if self.random.random() < 0.5:
            # New changes may use up the revisions that were lost.
            self.publish()
            self.restart()

    def read(self):
        for _ in range(4):
            for node_watcher in self.watchers:
                node_watcher.step()
        for target in self.view.targets.values():
            if target.draining:
                self.ended.add((target.id, target.started_at_ms))

    # Checks.

    def check(self):
        assert self.view.version >= self.highest_version
        self.highest_version = self.view.version
        for target in self.view.targets.values():
            process = target.id, target.started_at_ms
            assert target.draining or process not in self.ended

    def settle(self):
        """Check that in the end the view holds what was written."""
        for _ in range(2):
            self.read()
            self.now += 10.0
            self.view.expire(self.now)
            self.view.expire_restored(self.now)
        documents = {
            key.removeprefix("servers/"): document
            for key, document in self.written.items()
            if key.startswith("servers/") and document
        }
        assert self.view.targets.keys() == documents.keys()
        for target_id, document in documents.items():
            target = self.view.targets[target_id]
            assert target.started_at_ms == document["born"]
            assert target.draining == (document["phase"] == "draining")
        evacuated = self.written.get("op/evacuate/hobart") is not None
        assert self.view.evacuated == ({"hobart"} if evacuated else set())
        assert self.view.version == self.version


def test_first_era_may_be_zero(standin):
    """Guards against a restored list that is taken for an older one."""
    standin.era_text = "0"
    batch = make_client(standin).read(interfaces.TARGETS).ok
    view = make_known_view(era=batch.era)
    list_targets(view, (1, 2, 4), era=1)
    assert "t4" in view.targets and view.position.values() == [1, 900]
