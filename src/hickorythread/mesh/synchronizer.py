"""Keep the view of one node up to date, from the source and from peers."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Protocol

from hickorythread import events
from hickorythread import exceptions
from hickorythread import interfaces as base_interfaces
from hickorythread import logs
from hickorythread.mesh import exchange
from hickorythread.mesh import interfaces
from hickorythread.mesh import messages
from hickorythread.mesh import readership
from hickorythread.mesh import settings as mesh_settings
from hickorythread.mesh import view as mesh_view
from hickorythread.mesh import watcher

ASK_SECONDS = 0.5
# A notice or a new stream may lead to a question sooner.
MIN_ASK_SECONDS = 0.1
# Peers of other failure domains are asked once the readers of the own one
# had this long to fetch a version.
BEHIND_SECONDS = 0.5
SHARED_BEHIND_SECONDS = 1.2
WATCH_SECONDS = 25.0
# Readers prove with each answer that their view is not old.
SHARED_WATCH_SECONDS = {interfaces.TARGETS: 0.7, interfaces.OPERATOR: 4.0}
# The hosts of the failure domain are not known yet.
FIRST_WATCH_SECONDS = 4.0
FIRST_SECONDS = 8.0
# Changes that follow one another closely share a call.
GATHER_SECONDS = 0.25
# When the whole mesh starts, its targets register within a few seconds; the
# nodes wait for them to know who reads for whom.
START_GATHER_SECONDS = 2.0
START_SECONDS = 3.0

ViewChanged = Callable[[frozenset[str]], None]


class Peers(Protocol):
    """Send messages to the nodes that are connected."""

    @property
    def by_host(self) -> Mapping[str, Any]:
        """Return the streams to each connected host."""

    def send(self, host_id: str, message: Any) -> None:
        """Send a message to a node."""


class Synchronizer:
    """Read the source if this node is to, and exchange views with peers.

    view_changed takes the failure domains that were evacuated before.
    """

    def __init__(
        self,
        settings: mesh_settings.Settings,
        view: mesh_view.View,
        source: interfaces.Source,
        peers: Peers,
        clock: base_interfaces.Clock,
        random_source: base_interfaces.RandomSource,
        view_changed: ViewChanged,
        note_read: watcher.NoteRead = watcher.note_nothing,
    ) -> None:
        now = clock.monotonic()
        self.settings = settings
        self.view = view
        self.peers = peers
        self.clock = clock
        self.random_source = random_source
        self.view_changed = view_changed
        self.started_at = now
        # When a node that reads was last known to have an answer.
        self.news_at = now
        self.readership = readership.Readership(settings.host_id, now)
        # The nodes of the failure domain, with or without a listed target.
        self.neighbours: set[str] = set()
        self.watchers = [
            watcher.Watcher(topic, source, self, random_source, note_read)
            for topic in (interfaces.OPERATOR, interfaces.TARGETS)
        ]
        # Whether the source knew no target when this node started.
        self.mesh_is_new = False
        self.failing_topics: set[str] = set()
        self.newer: tuple[str, int, float] | None = None
        self.asked_at = 0.0

    # What the watchers need.

    def reads_topic(self, topic: str) -> bool:
        """Return whether this node reads a topic itself."""
        now = self.clock.monotonic()
        if topic == interfaces.OPERATOR and not self._hosts_known(now):
            return False
        return self.readership.reads(self.peers.by_host, now)

    def known_revision(self, topic: str) -> int | None:
        """Return the revision of what is known, None if nothing is."""
        if topic == interfaces.TARGETS:
            return self.view.revision or None
        if not self.view.version:
            return None
        return self.view.operator_revision or None

    def watch_timeout(self, topic: str) -> float:
        """Return how long a watch waits for changes."""
        if self.readership.shared:
            return SHARED_WATCH_SECONDS[topic]
        if self.clock.monotonic() - self.started_at < FIRST_SECONDS:
            return FIRST_WATCH_SECONDS
        return WATCH_SECONDS

    def batch_delay(self) -> float:
        """Return how long changes are gathered for the next call."""
        if self._mesh_starts(self.clock.monotonic()):
            return START_GATHER_SECONDS
        return GATHER_SECONDS

    def apply_reading(
        self, topic: str, reading: interfaces.ChangeBatch, complete: bool
    ) -> None:
        """Take what the source says of a topic, and tell the followers."""
        now = self.clock.monotonic()
        self.news_at = now
        if reading.changes or complete:
            before = self.view.evacuated
            if topic == interfaces.OPERATOR:
                self._apply_operator(reading, complete)
            else:
                self._apply_targets(reading, complete, now)
            self._changed(before)
        self._notify(topic == interfaces.TARGETS)

    def source_status_changed(self, topic: str, failure: str) -> None:
        """Note that reads fail, or succeed again if failure is empty."""
        if failure:
            self.failing_topics.add(topic)
            logs.warning("source_lost", topic=topic, failure=failure)
            return
        self.failing_topics.discard(topic)
        self.view.source_recovered(self.clock.monotonic())
        logs.info("source_regained", topic=topic)

    def reading_stopped(self, topic: str) -> None:
        """Note that other nodes read a topic from now on."""
        self.failing_topics.discard(topic)
        logs.info("source_left", topic=topic)

    def _hosts_known(self, now: float) -> bool:
        """Return whether the targets tell which hosts there are."""
        return self.view.revision > 0 and not self._mesh_starts(now)

    def _mesh_starts(self, now: float) -> bool:
        return self.mesh_is_new and now - self.started_at < START_SECONDS

    def _apply_operator(
        self, reading: interfaces.ChangeBatch, complete: bool
    ) -> None:
        evacuated = set() if complete else set(self.view.evacuated)
        for change in reading.changes:
            if isinstance(change, interfaces.PutConfiguration):
                if self.view.put_configuration(change.configuration):
                    logs.info(
                        "version_in_force",
                        routes=len(change.configuration.routes),
                        origin="source",
                    )
            elif isinstance(change, interfaces.SetEvacuated):
                if change.evacuated:
                    evacuated.add(change.failure_domain)
                else:
                    evacuated.discard(change.failure_domain)
        domains = frozenset(evacuated)
        if self.view.put_evacuated(domains, reading.revision):
            logs.info(
                "evacuation_changed", domains=",".join(sorted(domains)) or "-"
            )

    def _apply_targets(
        self, reading: interfaces.ChangeBatch, complete: bool, now: float
    ) -> None:
        if complete:
            if not self.view.revision:
                self.mesh_is_new = not reading.changes
            puts = {
                change.target.id: change.target
                for change in reading.changes
                if isinstance(change, interfaces.PutTarget)
            }
            self.view.replace_targets(puts, reading.revision, now)
        else:
            for change in reading.changes:
                if isinstance(change, interfaces.PutTarget):
                    self.view.put_target(change.target)
                elif isinstance(change, interfaces.RemoveTarget):
                    self.view.remove_target(change.target_id, now)
            self.view.revision = max(self.view.revision, reading.revision)
        logs.info(
            "targets_changed",
            changes=len(reading.changes),
            targets=len(self.view.targets),
            revision=self.view.revision,
        )

    def _changed(self, evacuated_before: frozenset[str]) -> None:
        domain = self.settings.failure_domain
        self.readership.set_hosts(
            {
                target.host_id
                for target in self.view.targets.values()
                if target.failure_domain == domain
            }
        )
        self.view_changed(evacuated_before)

    # What is exchanged with peers.

    def expire(self, now: float) -> None:
        """Remove the targets that did not register again in time."""
        expired = self.view.expire(now)
        if expired:
            logs.info("targets_lapsed", count=len(expired))
            self._changed(self.view.evacuated)

    def ask_if_behind(self, now: float) -> None:
        """Ask a peer for its view while no reader tells what is new."""
        if now - self.asked_at < ASK_SECONDS:
            return
        host_id = ""
        if self.failing_topics or not self.view.ready:
            connected = sorted(self.peers.by_host)
            if connected:
                host_id = self.random_source.choice(connected)
        elif self.newer is not None:
            newer_host, version, seen_at = self.newer
            if version <= self.view.version:
                self.newer = None
            elif now - seen_at >= self._behind_seconds():
                host_id = newer_host
        if host_id:
            self._ask(host_id, now)

    def peer_opened(self, peer: events.Peer) -> None:
        """Exchange with a node that can be reached what each one lacks."""
        host_id = peer.host_id
        if peer.failure_domain == self.settings.failure_domain:
            self.neighbours.add(host_id)
            self.peers.send(host_id, exchange.make_notice(self.view, False))
        now = self.clock.monotonic()
        if not self.view.ready and now - self.asked_at >= MIN_ASK_SECONDS:
            self._ask(host_id, now)

    def peer_lost(self, host_id: str) -> None:
        """Forget a node that can no longer be reached."""
        self.neighbours.discard(host_id)

    def noticed(self, host_id: str, notice: messages.ViewNotice) -> None:
        """Take the notice of a node of the failure domain."""
        now = self.clock.monotonic()
        if notice.fresh:
            self.news_at = now
            self.readership.heard(host_id, now)
        if exchange.is_newer(self.view, notice):
            if now - self.asked_at >= MIN_ASK_SECONDS:
                self._ask(host_id, now)

    def version_seen(self, host_id: str, version: int) -> None:
        """Note that a peer holds a version, which may be newer."""
        if version <= self.view.version:
            return
        if self.newer is None:
            self.newer = (host_id, version, self.clock.monotonic())
        elif version > self.newer[1]:
            self.newer = (host_id, version, self.newer[2])

    def answer(
        self, request: messages.ViewRequest
    ) -> messages.ViewReply | None:
        """Return what a peer lacks, None if it lacks nothing."""
        return exchange.make_reply(self.view, request, self.clock.monotonic())

    def replied(
        self, host_id: str, message: messages.ViewReply
    ) -> exceptions.DecodeError | None:
        """Take the newer parts of a peer's view; return what is wrong."""
        before = self.view.evacuated
        version = self.view.version
        result = exchange.apply_reply(
            self.view, message, self.clock.monotonic()
        )
        if result.is_error():
            return result.error
        if not result.ok:
            return None
        logs.info("view_from_peer", peer=host_id, revision=self.view.revision)
        if self.view.configuration and self.view.version > version:
            logs.info(
                "version_in_force",
                routes=len(self.view.configuration.routes),
                origin=host_id,
            )
        self._changed(before)
        return None

    def _ask(self, host_id: str, now: float) -> None:
        self.asked_at = now
        self.peers.send(host_id, exchange.make_request(self.view))

    def _behind_seconds(self) -> float:
        if self.readership.shared:
            return SHARED_BEHIND_SECONDS
        return BEHIND_SECONDS

    def _notify(self, fresh: bool) -> None:
        """Tell the nodes of the failure domain what this one holds."""
        if not self.readership.shared:
            return
        notice = exchange.make_notice(self.view, fresh)
        # A stream that fails while it is written to leaves the set.
        for host_id in list(self.neighbours):
            self.peers.send(host_id, notice)
