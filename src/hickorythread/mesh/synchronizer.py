"""Keeps a node's view in sync with the source and with its peers."""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import Any
from typing import Protocol

from hickorythread import events
from hickorythread import exceptions
from hickorythread import interfaces as base_interfaces
from hickorythread import logs
from hickorythread.mesh import batching
from hickorythread.mesh import events as mesh_events
from hickorythread.mesh import exchange
from hickorythread.mesh import interfaces
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import newer_views
from hickorythread.mesh import proofs
from hickorythread.mesh import readership
from hickorythread.mesh import settings as mesh_settings
from hickorythread.mesh import view as mesh_view
from hickorythread.mesh import view_checks
from hickorythread.mesh import watcher

REQUEST_INTERVAL_SECONDS = 0.5
# Minimum interval for requests triggered by a notice or a new stream.
MIN_REQUEST_INTERVAL_SECONDS = 0.1
# Both readers of a region notify each contact after each response.
MIN_RELAY_INTERVAL_SECONDS = 0.3
# A notice that is relayed later says nothing about contact with the source.
MAX_RELAY_DELAY_SECONDS = 0.5
# How long the readers of the local failure domain have to fetch a version
# before this node requests it from the peer that announced it.
MAX_LAG_SECONDS = 0.5
# How long the watch of this node has to return what a peer knows already.
VIEW_LAG_SECONDS = 0.25
SHARED_MAX_LAG_SECONDS = 1.2
WATCH_TIMEOUT_SECONDS = 25.0
# Short watches after the start, while the hosts of the failure domain are not
# known yet.
STARTUP_WATCH_TIMEOUT_SECONDS = 4.0
STARTUP_SECONDS = 8.0
# Changes that arrive within this time are fetched with a single call.
# When the whole mesh starts, its targets register within a few seconds. Nodes
# wait for them, because the readers are chosen among the registered hosts.
NEW_MESH_SECONDS = 3.0

# The order of the topics in a notice.
PROOF_TOPICS = (interfaces.OPERATOR, interfaces.TARGETS)

ViewChanged = Callable[[], None]
LogCallback = Callable[[mesh_events.Log], None]


def ignore_log(log: mesh_events.Log) -> None:
    """Ignore a decision."""


class Peers(Protocol):
    """Send messages to connected nodes."""

    @property
    def by_host(self) -> Mapping[str, Any]:
        """Return the open streams by host id."""

    def send(self, host_id: str, message: Any) -> None:
        """Send a message to a node."""


class Synchronizer:
    """Read the source if this node is a reader; exchange views with peers.

    view_changed is called after each change of the view with the failure
    domains that were evacuated before it, on_decision with each decision about
    a target.
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
        on_read: watcher.ReadCallback = watcher.ignore_read,
        on_decision: LogCallback = ignore_log,
    ) -> None:
        now = clock.monotonic()
        self.settings = settings
        self.view = view
        self.peers = peers
        self.clock = clock
        self.random_source = random_source
        self.view_changed = view_changed
        self.on_decision = on_decision
        self.started_at = now
        # Last time the source is known to have responded to this node or to a
        # reader.
        self.source_contact_at = now
        self.reader_selection = readership.ReaderSelection(
            settings.host_id,
            settings.failure_domain,
            settings.removal_ms / 1000,
            now,
        )
        # Failure domains of the connected nodes, whether or not their targets
        # are registered.
        self.peer_domains: dict[str, str] = {}
        self.watchers = [
            watcher.Watcher(topic, source, self, random_source, on_read)
            for topic in (interfaces.OPERATOR, interfaces.TARGETS)
        ]
        # Whether the source listed no targets when this node started.
        self.is_new_mesh = False
        self.failing_topics: set[str] = set()
        # Until when a notice that waits for the view which it announces may
        # be relayed.
        self.relay_until = 0.0
        self.relays_fresh = False
        self.relayed_at = -math.inf
        self.newer_views = newer_views.NewerViews(view)
        self.checks = view_checks.ViewChecks(random_source, now)
        self.proofs = {topic: proofs.TopicProof(now) for topic in PROOF_TOPICS}
        self.requested_at = -math.inf
        self.batching = batching.BatchDelay()

    # Handler of the watchers.

    def reads_topic(self, topic: str) -> bool:
        """Return whether this node reads a topic from the source."""
        now = self.clock.monotonic()
        if topic == interfaces.OPERATOR and not self._knows_hosts(now):
            return False
        return self.reader_selection.is_reader(self.peers.by_host, now)

    def known_position(self, topic: str) -> models.Position | None:
        """Return up to where a topic is known, None if it is not."""
        if topic == interfaces.TARGETS:
            position = self.view.position
        elif self.view.version:
            position = self.view.operator_position
        else:
            return None
        return position if position.revision else None

    def watch_timeout(self, topic: str) -> float:
        """Return how many seconds a watch waits for changes."""
        now = self.clock.monotonic()
        if self.reader_selection.shared and topic == interfaces.TARGETS:
            return self.reader_selection.watch_timeout(self._rank(now))
        if now - self.started_at < STARTUP_SECONDS:
            return STARTUP_WATCH_TIMEOUT_SECONDS
        return WATCH_TIMEOUT_SECONDS

    def call_started(self, topic: str, wait: float) -> None:
        """Record that a watcher calls the source, which may wait."""
        self.proofs[topic].call_started(wait, self.clock.monotonic())

    def call_ended(self, topic: str, result: interfaces.ReadResult) -> None:
        """Record that the call of a watcher was answered or has failed."""
        now = self.clock.monotonic()
        proof = self.proofs[topic]
        if result.is_ok() and not result.ok.is_partial:
            ends_outage = proof.call_answered(bool(result.ok.changes), now)
            self._proof_recorded(topic, ends_outage, now)
        elif result.is_ok() or result.error.kind in interfaces.ANSWERED_KINDS:
            proof.called_at = None
        else:
            proof.call_failed()

    def _proof_recorded(
        self, topic: str, ends_outage: bool, now: float
    ) -> None:
        """Let targets register again after an outage of the source."""
        if ends_outage and topic == interfaces.TARGETS:
            self.view.start_grace_period(now)
            logs.info("outage_ended", topic=topic)

    def batch_delay(self) -> float:
        """Return how many seconds to batch changes before the next call."""
        now = self.clock.monotonic()
        if self._is_mesh_starting(now):
            return self.started_at + NEW_MESH_SECONDS - now
        return self.batching.next(now)

    def apply_batch(
        self, topic: str, batch: interfaces.ChangeBatch, complete: bool
    ) -> None:
        """Apply a batch of changes to the view and notify the followers."""
        now = self.clock.monotonic()
        self.source_contact_at = now
        if complete or (batch.changes and not self._is_older(topic, batch)):
            if topic == interfaces.OPERATOR:
                self._apply_operator(batch, complete, now)
            else:
                self._apply_targets(batch, complete, now)
            self._view_updated()
        self._send_notices(now)

    def _is_older(self, topic: str, batch: interfaces.ChangeBatch) -> bool:
        """Return whether a peer has told all that changes say, and more."""
        if topic == interfaces.TARGETS:
            return batch.position < self.view.position
        return batch.position < self.view.operator_position

    def source_status_changed(self, topic: str, failure: str) -> None:
        """Record that reads fail, or succeed again if failure is empty."""
        if failure:
            self.failing_topics.add(topic)
            logs.warning("source_lost", topic=topic, failure=failure)
            return
        self.failing_topics.discard(topic)
        logs.info("source_regained", topic=topic)

    def reading_stopped(self, topic: str) -> None:
        """Record that this node no longer reads a topic itself."""
        self.failing_topics.discard(topic)
        logs.info("source_left", topic=topic)

    def _knows_hosts(self, now: float) -> bool:
        """Return whether the hosts nearby are known."""
        return self.view.revision > 0 and not self._is_mesh_starting(now)

    def _is_mesh_starting(self, now: float) -> bool:
        return self.is_new_mesh and now - self.started_at < NEW_MESH_SECONDS

    def _apply_operator(
        self, batch: interfaces.ChangeBatch, complete: bool, now: float
    ) -> None:
        if self.view.apply_operator(batch, complete, now):
            domains = ",".join(sorted(self.view.evacuated)) or "-"
            logs.info(
                "evacuation_changed",
                domains=domains,
                era=batch.era,
                revision=batch.revision,
            )

    def _apply_targets(
        self, batch: interfaces.ChangeBatch, complete: bool, now: float
    ) -> None:
        if complete and not self.view.revision:
            self.is_new_mesh = not batch.changes
        self.view.apply_targets(batch, complete, now)
        logs.info(
            "targets_changed",
            changes=len(batch.changes),
            targets=len(self.view.targets),
            era=batch.era,
            revision=self.view.revision,
        )

    def _view_updated(self) -> None:
        self._report_decisions()
        regions = self.settings.regions
        region = regions.get(self.settings.failure_domain)
        # A host whose target was the last one of its domain is told as well.
        hosts: dict[str, set[str]] = {
            domain: set() for domain in regions if regions[domain] == region
        }
        for target in self.view.targets.values():
            if regions.get(target.failure_domain) == region:
                hosts.setdefault(target.failure_domain, set()).add(
                    target.host_id
                )
        self.reader_selection.set_hosts(hosts)
        self.view_changed()

    def _report_decisions(self) -> None:
        for log in self.view.take_logs():
            self.on_decision(log)

    def targets_may_be_stale(self, now: float) -> bool:
        """Return whether changes of the targets may not have arrived."""
        age = self.proofs[interfaces.TARGETS].age(now)
        return age > proofs.CONTACT_SECONDS

    def proof_ages(self) -> dict[str, float]:
        """Return how long ago each topic was shown to be current.

        Those that never were are left out.
        """
        now = self.clock.monotonic()
        return {
            topic: round(proof.age(now), 3)
            for topic, proof in self.proofs.items()
            if math.isfinite(proof.proven_at)
        }

    # Exchange with peers.

    def expire(self, now: float) -> None:
        """Remove targets that did not re-register within the grace period."""
        expired = self.view.expire(now)
        if expired:
            logs.info("targets_lapsed", count=len(expired))
            self._view_updated()
        if self.view.expire_restored(now):
            self._view_updated()
        self._report_decisions()

    def request_if_behind(self, now: float) -> None:
        """Request a peer's view if reads fail or this node lags behind."""
        waited = now - self.requested_at
        if waited < MIN_REQUEST_INTERVAL_SECONDS:
            return
        connected = self.peers.by_host
        host_id = self.newer_views.holder_of_view(connected, now)
        if not host_id and waited >= REQUEST_INTERVAL_SECONDS:
            if self.failing_topics or not self.view.ready:
                host_id = self._any_peer()
            else:
                host_id = self.newer_views.holder_of_version(connected, now)
        if host_id:
            self._request_view(host_id, now)

    def _any_peer(self) -> str:
        connected = sorted(self.peers.by_host)
        return self.random_source.choice(connected) if connected else ""

    def check_with_peer(self, now: float) -> None:
        """Ask a peer whether the view is current, if that is due."""
        if not self.view.ready:
            return
        host_id = self.checks.peer_to_ask(
            self.peers.by_host, self.reader_selection.shared, now
        )
        if host_id:
            self.peers.send(host_id, self._make_notice(now, asks=True))

    def topics_to_check(self, now: float) -> list[str]:
        """Return the topics whose changes to ask the source for."""
        if not self.view.ready:
            return []
        rank = self._rank(now)
        return [
            topic
            for topic, proof in self.proofs.items()
            # A watch that fails is tried again at short intervals.
            if topic not in self.failing_topics
            and proof.check_due(rank, now)
            and self.reads_topic(topic)
        ]

    def _rank(self, now: float) -> int:
        """Return how many nodes come before this one as readers."""
        return self.reader_selection.rank(self.peers.by_host, now)

    def check_with_source(
        self, topic: str, source: interfaces.Source
    ) -> interfaces.ReadResult | None:
        """Apply the changes that a watch should have returned by now.

        Returns what the source answered, None if it was not asked.
        """
        position = self.known_position(topic)
        if position is None:
            return None
        proof = self.proofs[topic]
        asked_at = self.clock.monotonic()
        proof.check_started(asked_at)
        result = source.watch(topic, position.revision, 0.0)
        complete = _needs_list(result, position)
        if complete:
            result = source.read(topic)
        now = self.clock.monotonic()
        if result.is_error():
            proof.check_failed(result.error.kind == interfaces.NO_ANSWER, now)
            return result
        batch = result.ok
        if not batch.is_partial:
            ends_outage = proof.record_answer(asked_at, now)
            self._proof_recorded(topic, ends_outage, now)
        if batch.changes or complete:
            logs.info("change_missed", topic=topic, revision=batch.revision)
            proof.change_learned(now)
            self.apply_batch(topic, batch, complete)
        self._announce_proof(topic, now)
        return result

    def _announce_proof(self, topic: str, now: float) -> None:
        """Tell those who would ask next that the source has answered."""
        notice = self._make_notice(now)
        if not self.reader_selection.shared:
            self._notify_group(notice)
            return
        if topic == interfaces.TARGETS:
            # The watch of the targets gives no sign of contact then.
            self._send_notices(now)
            return
        for host_id in self.reader_selection.contacts(self.peers.by_host):
            self.peers.send(host_id, notice)

    def watch_is_dead(self, topic: str) -> bool:
        """Return whether to end the watch of a topic and start another."""
        return self.proofs[topic].is_watch_dead(self.clock.monotonic())

    def peer_connected(self, peer: events.Peer) -> None:
        """Announce the view to a new peer; request its view if needed."""
        host_id = peer.host_id
        self.peer_domains[host_id] = peer.failure_domain
        if peer.failure_domain in self.reader_selection.domains:
            notice = self._make_notice(self.clock.monotonic())
            self.peers.send(host_id, notice)
        now = self.clock.monotonic()
        if (
            not self.view.ready
            and now - self.requested_at >= MIN_REQUEST_INTERVAL_SECONDS
        ):
            self._request_view(host_id, now)

    def peer_lost(self, host_id: str) -> None:
        """Remove a node that is no longer connected."""
        self.peer_domains.pop(host_id, None)

    def is_near(self, host_id: str) -> bool:
        """Return whether a connected node is in the region of this one."""
        domain = self.peer_domains.get(host_id, "")
        return self.settings.regions.get(domain) == self.settings.region

    def notice_received(
        self, host_id: str, notice: messages.ViewNotice
    ) -> None:
        """Handle the view notice of a node nearby."""
        now = self.clock.monotonic()
        if notice.asks:
            self.peers.send(host_id, self._make_notice(now))
        self._adopt_proofs(notice, now)
        if notice.fresh:
            self.source_contact_at = now
            self.reader_selection.record_contact(host_id, now)
        elif not self.reader_selection.shared and self.view.ready:
            due = now + VIEW_LAG_SECONDS
            self.newer_views.notice_received(host_id, notice, due)
            return
        # A relayed notice is not relayed again: contacts that hear only of
        # each other must not take that for contact with the source.
        if self._knows_more(notice):
            if not notice.relayed:
                self.relay_until = now + MAX_RELAY_DELAY_SECONDS
                self.relays_fresh = notice.fresh
            if now - self.requested_at >= MIN_REQUEST_INTERVAL_SECONDS:
                self._request_view(host_id, now)
            else:
                self.newer_views.notice_received(host_id, notice, now)
        elif notice.fresh and not notice.relayed:
            if not self.reader_selection.is_reader(self.peers.by_host, now):
                self._relay_notice(True, now)

    def _adopt_proofs(self, notice: messages.ViewNotice, now: float) -> None:
        """Take over what proves that a peer with the same view is current."""
        is_same = exchange.is_same(self.view, notice)
        has_same_part = {
            interfaces.OPERATOR: is_same
            or exchange.has_same_operator_part(self.view, notice),
            interfaces.TARGETS: is_same,
        }
        ages = exchange.read_proof_ages(notice)
        for topic, age in zip(PROOF_TOPICS, ages, strict=False):
            if not has_same_part[topic]:
                continue
            ends_outage = self.proofs[topic].record(now - age, now)
            self._proof_recorded(topic, ends_outage, now)

    def _make_notice(
        self,
        now: float,
        fresh: bool = False,
        relayed: bool = False,
        asks: bool = False,
    ) -> messages.ViewNotice:
        """Build a notice that announces the view and its proofs."""
        topic_proofs = [self.proofs[topic] for topic in PROOF_TOPICS]
        ages = [
            proof.age(now) if relayed else proof.own_age(now)
            for proof in topic_proofs
        ]
        return exchange.make_notice(self.view, fresh, relayed, asks, ages)

    def _knows_more(self, notice: messages.ViewNotice) -> bool:
        """Return whether to request the view that a notice announces."""
        if notice.fresh:
            return exchange.is_newer(self.view, notice)
        return exchange.knows_more(self.view, notice)

    def version_seen(self, host_id: str, version: int) -> None:
        """Record the version a peer holds if it is newer than this node's.

        A node that has no version yet asks a peer nearby at once.
        """
        now = self.clock.monotonic()
        if (
            version
            and not self.view.version
            and self.is_near(host_id)
            and now - self.requested_at >= MIN_REQUEST_INTERVAL_SECONDS
        ):
            self._request_view(host_id, now)
            return
        lag = SHARED_MAX_LAG_SECONDS
        if not self.reader_selection.shared:
            lag = MAX_LAG_SECONDS
        self.newer_views.version_seen(host_id, version, now + lag)

    def make_view_reply(
        self, request: messages.ViewRequest
    ) -> messages.ViewReply | None:
        """Return the reply to a request, None if the peer is up to date."""
        return exchange.make_reply(self.view, request, self.clock.monotonic())

    def reply_received(
        self, host_id: str, message: messages.ViewReply
    ) -> exceptions.DecodeError | None:
        """Apply the newer parts of a peer's view; return a decoding error."""
        previously_evacuated = self.view.evacuated
        version = self.view.version
        targets = self.view.targets_digest
        now = self.clock.monotonic()
        lacks_base = exchange.lacks_base(self.view, message)
        result = exchange.apply_reply(self.view, message, now)
        if result.is_error():
            return result.error
        if lacks_base:
            self._request_view(host_id, now)
        if not result.ok:
            return None
        logs.info("view_from_peer", peer=host_id, revision=self.view.revision)
        if targets != self.view.targets_digest:
            self.proofs[interfaces.TARGETS].change_learned(now)
        if (version, previously_evacuated) != (
            self.view.version,
            self.view.evacuated,
        ):
            self.proofs[interfaces.OPERATOR].change_learned(now)
        if self.view.configuration and self.view.version > version:
            logs.info(
                "version_in_force",
                routes=len(self.view.configuration.routes),
                origin=host_id,
            )
        self._view_updated()
        if now < self.relay_until:
            self.relay_until = self.relayed_at = -math.inf
            self._relay_notice(self.relays_fresh, now)
        return None

    def _request_view(self, host_id: str, now: float) -> None:
        self.requested_at = now
        self.peers.send(host_id, exchange.make_request(self.view))

    def _send_notices(self, now: float) -> None:
        """Announce the view to the group and to the contacts of others."""
        if not self.reader_selection.shared:
            return
        fresh = all(
            proof.age(now) <= proofs.CONTACT_SECONDS
            for proof in self.proofs.values()
        )
        notice = self._make_notice(now, fresh)
        self._notify_group(notice)
        for host_id in self.reader_selection.other_contacts(
            self.peers.by_host
        ):
            self.peers.send(host_id, notice)

    def _relay_notice(self, fresh: bool, now: float) -> None:
        """Pass on what a reader has told within the group."""
        if now - self.relayed_at < MIN_RELAY_INTERVAL_SECONDS:
            return
        if self.reader_selection.is_contact(self.peers.by_host, now):
            self.relayed_at = now
            self._notify_group(self._make_notice(now, fresh, relayed=True))

    def _notify_group(self, notice: messages.ViewNotice) -> None:
        """Send a notice to the connected nodes of the group."""
        # A send that fails removes the host from the map.
        for host_id, domain in list(self.peer_domains.items()):
            if domain in self.reader_selection.domains:
                self.peers.send(host_id, notice)


def _needs_list(
    result: interfaces.ReadResult, position: models.Position
) -> bool:
    """Return whether changes since a position are not to be had."""
    if result.is_error():
        return bool(result.error.kind == interfaces.HISTORY_UNAVAILABLE)
    answered: models.Position = result.ok.position
    return answered.is_restored_after(position)
