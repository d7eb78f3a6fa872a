"""Control plane of a node: replication, membership, leases and status."""

from collections.abc import Callable
from typing import Any

from hickorythread import beacons
from hickorythread import codec
from hickorythread import events
from hickorythread import interfaces
from hickorythread import joining
from hickorythread import lease
from hickorythread import membership
from hickorythread import messages
from hickorythread import models
from hickorythread import readers
from hickorythread import relay
from hickorythread import replica
from hickorythread import settings as settings_module
from hickorythread import status as status_module
from hickorythread import token_bucket
from hickorythread import validation

CONFIG = messages.CONFIG_LOG
HOSTS = messages.HOSTS_LOG
LOGS = (CONFIG, HOSTS)

PING_INTERVAL_SECONDS = 1.0
PING_TIMEOUT_SECONDS = 1.0
PULL_TIMEOUT_SECONDS = 0.5
CHUNK_TIMEOUT_SECONDS = 1.0
CATCH_UP_PING_INTERVAL_SECONDS = 0.3
NOTIFY_DELAY_SECONDS = 0.1
LEASE_AGING_SECONDS = 1.5
LOCAL_HOLDER_TTL_SECONDS = 1.0
MAX_LINK_SILENCE_SECONDS = 1.8
SOURCE_FALLBACK_SECONDS = 4.0
# Digests in pings are truncated: they only need to reveal a difference.
PING_DIGEST_BYTES = 8
LEAVING_ANNOUNCEMENT_INTERVAL_SECONDS = 0.5
LEAVING_ANNOUNCEMENTS = 3
CLEAN_CLOSE_REASONS = ("idle", "duplicate")
MAX_PENDING_PINGS = 64
MAX_TAKEOVERS = 64
MAX_VERDICTS = 1024

MessageHandler = Callable[[events.Peer, Any, int], None]


class Pull:
    """Track a pending request to a peer for missing log entries."""

    __slots__ = ("host_id", "target_sequence", "requested_at", "download")

    def __init__(
        self,
        host_id: str,
        target_sequence: int,
        requested_at: float,
        download: replica.Download | None,
    ) -> None:
        self.host_id = host_id
        self.target_sequence = target_sequence
        self.requested_at = requested_at
        self.download = download


class Takeover:
    """Track entries to fan out if the first reader fails to do so."""

    __slots__ = (
        "log",
        "start_after",
        "last_sequence",
        "notify_at",
        "start_at",
    )

    def __init__(
        self,
        log: str,
        start_after: int,
        last_sequence: int,
        notify_at: float | None,
        start_at: float,
    ) -> None:
        self.log = log
        self.start_after = start_after
        self.last_sequence = last_sequence
        self.notify_at = notify_at
        self.start_at = start_at


class ControlPlane:
    """Keep configuration, host list and lease current as a state machine.

    It performs no I/O: events go in, and the actions to take come out.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        random_source: interfaces.RandomSource,
        incarnation: int,
        now: float,
    ) -> None:
        self.settings = settings
        self.host_id = settings.host_id
        self.region = settings.region
        self.random_source = random_source
        self.incarnation = incarnation
        self.now = now
        self.config = replica.ConfigurationState()
        self.host_list = replica.HostsState()
        self.replicas = {
            CONFIG: replica.Replica(CONFIG, self.config),
            HOSTS: replica.Replica(HOSTS, self.host_list),
        }
        self.members = membership.Membership(self.host_id, random_source)
        self.relay = relay.Relay(self.members, self.region)
        self.policy = readers.ReaderPolicy(self.region, settings.source_region)
        self.lease = lease.Lease()
        self.status_tree = status_module.StatusTree(
            self.members, settings.failure_domain, now
        )
        self.watches = {
            CONFIG: readers.Watch(
                CONFIG, readers.CONFIG_WAIT_SECONDS, random_source
            ),
            HOSTS: readers.Watch(
                HOSTS, readers.HOSTS_WAIT_SECONDS, random_source
            ),
        }
        self.read_limiter = token_bucket.TokenBucket(
            readers.READS_PER_SECOND, readers.READ_BURST, now
        )
        # A new node normally waits until a peer contacts it. The cube root
        # skews the delays towards the maximum, so that only a few nodes of
        # a large fleet time out early and read the source.
        jitter = joining.JOIN_JITTER_SECONDS * random_source.random() ** (
            1 / 3
        )
        self.join = joining.Join(
            self, now + joining.JOIN_TIMEOUT_SECONDS + jitter
        )
        self.beacons = beacons.Beacons(self, now)
        self.pulls: dict[str, Pull] = {}
        self.pending_pings: dict[str, float] = {}
        self.takeovers: list[Takeover] = []
        self.pushed_sequences = dict.fromkeys(LOGS, 0)
        self.verdicts: dict[str, events.PatchVerdict] = {}
        self.newest_seen_version = 0
        self.local_holder_seen_at = now
        self.announced_version = 0
        self.last_catch_up_ping_at = now
        self.held_by_rules = False
        self.leaving = False
        self.leaving_announcements_left = 0
        self.next_leaving_announcement_at = now
        self.link_heard_at = now
        self.link_pinged_at = now
        self.next_ping_at = (
            now + PING_INTERVAL_SECONDS * random_source.random()
        )
        self.rank: int | None = None
        self.actions: list[events.Record] = []
        self.event_handlers: dict[type, Callable[[Any], None]] = {
            events.Tick: self._on_tick,
            events.MessageReceived: self._on_message,
            events.StreamOpened: self._on_stream_opened,
            events.StreamClosed: self._on_stream_closed,
            events.SourceRead: self._on_source_read,
            events.CheckpointRead: self._on_checkpoint_read,
            events.SourceFailed: self._on_source_failed,
            events.Stop: self._on_stop,
        }
        self.message_handlers: dict[type, MessageHandler] = {
            messages.Ping: self._on_ping,
            messages.Pong: self._on_pong,
            messages.Beacon: self.beacons.on_beacon,
            messages.Push: self._on_push,
            messages.PushAck: self._on_push_ack,
            messages.EntriesRequest: self._on_entries_request,
            messages.Entries: self._on_entries,
            messages.SnapshotRequest: self._on_snapshot_request,
            messages.SnapshotChunk: self._on_snapshot_chunk,
            messages.Leaving: self._on_leaving,
            messages.StatusReport: self._on_status_report,
            messages.StatusRequest: self._on_status_request,
            messages.StatusReply: self._on_status_reply,
        }

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        random_source: interfaces.RandomSource,
        incarnation: int,
        now: float,
    ) -> "ControlPlane":
        """Create the control plane for the node described by the settings."""
        return cls(settings, random_source, incarnation, now)

    # Queries from other parts of the node.

    @property
    def configuration(self) -> models.Configuration:
        """Return the active configuration."""
        return self.config.configuration

    @property
    def ready(self) -> bool:
        """Return whether the node has joined the fleet and may serve."""
        return self.join.phase == joining.READY

    def may_admit(self, now: float) -> bool:
        """Return whether this node may admit new work."""
        return not self.refusal_reason(now)

    def refusal_reason(self, now: float) -> str:
        """Return the reason for refusing new work, or an empty string."""
        if not self.ready:
            return "joining"
        if self.leaving:
            return "leaving"
        domain = self.configuration.failure_domains.get(
            self.settings.failure_domain
        )
        if domain is None or domain.state != "in":
            return "failure-domain-out"
        if self.settings.lease_on_expiry == "serve":
            return ""
        return "" if self.lease.valid(now) else "lease-expired"

    def peer_usable(self, host_id: str) -> bool:
        """Return whether local failure detection considers a peer usable."""
        return self.members.is_usable(host_id)

    def verdict(self, patch_id: str) -> events.PatchVerdict | None:
        """Return the latest verdict on a patch, or None if it was evicted."""
        return self.verdicts.get(patch_id)

    def status(self, now: float) -> dict[str, Any]:
        """Return the status of this node and its summary of the fleet.

        The fleet summary is at most 2 s older than the preceding query.
        """
        position = self.replicas[CONFIG].position
        return {
            "host_id": self.host_id,
            "incarnation": self.incarnation,
            "ready": self.ready,
            "phase": self.join.phase,
            "version": position.version,
            "digest": position.digest.hex(),
            "config_sequence": position.sequence,
            "hosts_sequence": self.replicas[HOSTS].position.sequence,
            "hosts": len(self.members.hosts),
            "rank": self.rank,
            "supported_rules": validation.SUPPORTED_RULES,
            "held_by_rules": self.held_by_rules,
            "refusal_reason": self.refusal_reason(now),
            "beacon_age_seconds": round(self.lease.age(now), 3),
            "unusable_peers": len(self.members.suspects)
            + len(self.members.dead),
            "fleet": self.status_tree.fleet_summary(now),
        }

    # Events.

    def start(self, now: float) -> list[events.Record]:
        """Start joining the fleet."""
        self.now = now
        self.log("joining", incarnation=self.incarnation)
        return self._drain_actions()

    def handle(self, event: events.Record, now: float) -> list[events.Record]:
        """Process an event and return the resulting actions."""
        self.now = now
        self.event_handlers[type(event)](event)
        return self._drain_actions()

    def notice_version(
        self, peer: events.Peer, version: int, now: float
    ) -> list[events.Record]:
        """Process the configuration version in a peer's message header."""
        if version <= self.configuration.version:
            return []
        self.now = now
        self._on_newer_version(peer, version)
        return self._drain_actions()

    def _drain_actions(self) -> list[events.Record]:
        if self.members.has_changes():
            changes = self.members.take_changes()
            if changes.changed or changes.removed:
                self.actions.append(
                    events.HostsChanged(changes.changed, changes.removed)
                )
            for name, state, usable in changes.peers:
                self.log("peer_state", peer=name, state=state, usable=usable)
                self.actions.append(
                    events.PeerStateChanged(name, state, usable)
                )
            self._check_own_state(changes.changed)
        actions = self.actions
        self.actions = []
        return actions

    def _check_own_state(self, changed: list[models.Host]) -> None:
        for host in changed:
            if host.id == self.host_id and host.state != "live":
                self._start_leaving("host-list")

    def _on_tick(self, event: events.Tick) -> None:
        self.members.tick(self.now)
        self.rank = self.own_rank()
        self._retry_pushes()
        self._run_takeovers()
        self._expire_pings()
        self._expire_pulls()
        if self.now >= self.next_ping_at:
            self.next_ping_at = self.now + self._ping_interval()
            self._anti_entropy()
        self._ping_readers_over_link()
        if not self.ready:
            self.join.take_next_step()
        self._read_source()
        self.beacons.ping_domains()
        if self.ready and self.now >= self.beacons.next_beacon_at:
            self.beacons.emit()
        self.beacons.retry_over_link()
        self._report_status()
        self._announce_leaving()

    def _ping_interval(self) -> float:
        lagging = self.newest_seen_version > self.configuration.version
        aging = self.lease.age(self.now) > LEASE_AGING_SECONDS
        return (
            CATCH_UP_PING_INTERVAL_SECONDS
            if (lagging or aging)
            else PING_INTERVAL_SECONDS
        )

    def own_rank(self) -> int | None:
        """Return this node's rank in its region, None if it has none."""
        if not self.ready or self.leaving:
            return None
        ring = self.members.region_rings.get(self.region)
        if ring is None or ring.names in ([], [self.host_id]):
            # A node that starts alone may not be in the host list yet.
            return 0
        return self.members.own_rank(self.region, readers.READER_COUNT)

    # Messages.

    def _on_message(self, event: events.MessageReceived) -> None:
        peer = event.peer
        if not self.members.record_contact(peer, self.now):
            self.log(
                "message_refused",
                peer=peer.host_id,
                reason="incarnation",
                kind=type(event.message).__name__,
            )
            return
        if event.version > self.configuration.version:
            self._on_newer_version(peer, event.version)
        if not self.ready:
            self.join.add_contact(peer)
        handler = self.message_handlers.get(type(event.message))
        if handler is not None:
            handler(peer, event.message, event.version)

    def _on_stream_opened(self, event: events.StreamOpened) -> None:
        if not self.members.record_contact(event.peer, self.now):
            self.actions.append(
                events.CloseStream(event.peer.host_id, "incarnation")
            )
        elif not self.ready:
            self.join.add_contact(event.peer)

    def _on_stream_closed(self, event: events.StreamClosed) -> None:
        self.pending_pings.pop(event.host_id, None)
        self.join.contacts.pop(event.host_id, None)
        if event.reason not in CLEAN_CLOSE_REASONS:
            self.members.record_missed_reply(event.host_id, self.now)
        self.members.forget_unlisted(event.host_id)

    def _on_newer_version(self, peer: events.Peer, version: int) -> None:
        if version > self.newest_seen_version:
            self.newest_seen_version = version
            self.next_ping_at = min(
                self.next_ping_at, self.now + CATCH_UP_PING_INTERVAL_SECONDS
            )
        if self.held_by_rules or CONFIG in self.pulls:
            return
        if (
            self.now - self.last_catch_up_ping_at
            < CATCH_UP_PING_INTERVAL_SECONDS
        ):
            return
        self.last_catch_up_ping_at = self.now
        if peer.region == self.region or self.rank == 0:
            self.ping(peer.host_id)
        else:
            # Some node in this region has the version or soon will. Pinging
            # locally avoids traffic on the inter-region link.
            self._ping_random()

    def _may_pull_from(self, peer: events.Peer, log: str) -> bool:
        if peer.region == self.region or self.sequence(log) > 0:
            return True
        # Snapshots are pulled over the inter-region link only if no node in
        # this region holds one, and then only by the region's gateways.
        if self.now - self.local_holder_seen_at < LOCAL_HOLDER_TTL_SECONDS:
            return False
        return (
            self.sequence(HOSTS) == 0
            or self.members.own_rank(self.region, readers.GATEWAY_COUNT)
            is not None
        )

    # Failure detection and anti-entropy.

    def _anti_entropy(self) -> None:
        self._ping_random()
        unreachable = self.members.random_unreachable(self.region)
        if unreachable is not None:
            self.ping(unreachable)

    def _ping_readers_over_link(self) -> None:
        """Ping the readers if this region has not heard from them in time."""
        if self.policy.in_source_region() or not self.ready:
            return
        if not self.policy.is_gateway(self.rank):
            return
        if self.now - self.link_pinged_at < PING_INTERVAL_SECONDS:
            return
        age = self.lease.age(self.now)
        if age < 0:
            age = self._link_silence()
        if age > MAX_LINK_SILENCE_SECONDS:
            self.link_pinged_at = self.now
            for name in self.members.contact_candidates(
                self.policy.source_region, readers.READER_COUNT
            ):
                self.ping(name)

    def _link_silence(self) -> float:
        """Return the seconds since data last arrived from the source region.

        Data relayed by another gateway counts too, so that the second
        gateway sends nothing over the link while the first one works.
        """
        silence = self.now - self.link_heard_at
        age = self.lease.age(self.now)
        return silence if age < 0 else min(silence, age)

    def _ping_random(self) -> None:
        name = self.members.random_member(self.region)
        if name is None and self.join.contacts:
            name = self.random_source.choice(list(self.join.contacts))
        if name is not None:
            self.ping(name)

    def ping(self, host_id: str) -> None:
        """Ping a host and track the pending reply."""
        if (
            host_id not in self.pending_pings
            and len(self.pending_pings) < MAX_PENDING_PINGS
        ):
            self.pending_pings[host_id] = self.now
        self.send(host_id, messages.Ping(self.now, *self._positions()))

    def _positions(self) -> tuple[int, bytes, int, bytes, int, float]:
        config = self.replicas[CONFIG].position
        hosts = self.replicas[HOSTS].position
        return (
            config.sequence,
            config.digest[:PING_DIGEST_BYTES],
            hosts.sequence,
            hosts.digest[:PING_DIGEST_BYTES],
            self.lease.number,
            # A joining node may lack entries that other nodes in its failure
            # domain hold. An age of -1 keeps its reply from proving contact.
            self.lease.age(self.now) if self.ready else -1.0,
        )

    def _on_ping(
        self, peer: events.Peer, message: messages.Ping, version: int
    ) -> None:
        self.send(
            peer.host_id,
            messages.Pong(message.sent_at, self.now, *self._positions()),
        )
        self._compare_positions(peer, message)

    def _on_pong(
        self, peer: events.Peer, message: messages.Pong, version: int
    ) -> None:
        self.pending_pings.pop(peer.host_id, None)
        if message.echoed_at <= self.now:
            # The age is counted from when the ping was sent, so that time
            # which the reply spent in buffers is part of the beacon's age.
            if message.beacon_age >= 0:
                issued_at = message.echoed_at - message.beacon_age
                self.beacons.renew_lease(
                    issued_at, message.beacon_number, version
                )
                if peer.region != self.region:
                    self.beacons.forward_polled(
                        issued_at, message.beacon_number
                    )
            domain = peer.failure_domain
            if domain in self.members.domain_rings and message.beacon_age >= 0:
                self.beacons.domain_replies[domain] = max(
                    message.echoed_at,
                    self.beacons.domain_replies.get(domain, 0.0),
                )
        if peer.host_id in self.join.witnesses:
            self.join.record_witness_reply(peer.host_id, message)
        self._compare_positions(peer, message)

    def _compare_positions(
        self, peer: events.Peer, message: messages.Ping | messages.Pong
    ) -> None:
        if peer.region != self.region:
            self.link_heard_at = self.now
        elif message.config_sequence and message.hosts_sequence:
            self.local_holder_seen_at = self.now
        for log, sequence, digest in (
            (CONFIG, message.config_sequence, message.config_digest),
            (HOSTS, message.hosts_sequence, message.hosts_digest),
        ):
            position = self.replicas[log].position
            if sequence > position.sequence:
                if self._may_pull_from(peer, log):
                    self._pull(peer.host_id, log, sequence)
            elif sequence == position.sequence and (
                digest != position.digest[:PING_DIGEST_BYTES]
            ):
                self.log("divergence", log=log, peer=peer.host_id)

    def _expire_pings(self) -> None:
        for name, sent_at in list(self.pending_pings.items()):
            if self.now - sent_at >= PING_TIMEOUT_SECONDS:
                del self.pending_pings[name]
                self.members.record_missed_reply(name, self.now)

    # Catch-up from peers.

    def _pull(self, host_id: str, log: str, target_sequence: int) -> None:
        if log in self.pulls or (self.held_by_rules and log == CONFIG):
            return
        position = self.replicas[log].position
        if position.sequence == 0:
            self._download(host_id, log, target_sequence)
            return
        self.pulls[log] = Pull(host_id, target_sequence, self.now, None)
        request = messages.EntriesRequest(log, position.sequence)
        self.send(host_id, request)

    def _download(self, host_id: str, log: str, target_sequence: int) -> None:
        download = replica.Download(log, host_id)
        self.pulls[log] = Pull(host_id, target_sequence, self.now, download)
        self.send(host_id, download.request())

    def _expire_pulls(self) -> None:
        for log, pull in list(self.pulls.items()):
            timeout = (
                PULL_TIMEOUT_SECONDS
                if pull.download is None
                else CHUNK_TIMEOUT_SECONDS
            )
            if self.now - pull.requested_at >= timeout:
                del self.pulls[log]
                self.members.record_missed_reply(pull.host_id, self.now)
                self._ping_random()

    def _on_entries_request(
        self,
        peer: events.Peer,
        message: messages.EntriesRequest,
        version: int,
    ) -> None:
        log_replica = self.replicas.get(message.log)
        if log_replica is None:
            self._log_refusal(peer, message, "unknown log")
            return
        if message.after_sequence >= log_replica.position.sequence:
            return
        batch = log_replica.entries_after(message.after_sequence)
        if batch is None:
            self._send_chunk(peer, messages.SnapshotRequest(message.log, 0, 0))
            return
        self.send(
            peer.host_id,
            messages.Entries(
                message.log,
                batch.first_sequence,
                codec.compress(batch.documents),
                batch.position.version,
                batch.position.digest,
            ),
        )

    def _on_entries(
        self, peer: events.Peer, message: messages.Entries, version: int
    ) -> None:
        if message.log not in self.replicas:
            self._log_refusal(peer, message, "unknown log")
            return
        pull = self.pulls.get(message.log)
        if pull is not None and pull.host_id == peer.host_id:
            del self.pulls[message.log]
        start_after = self.sequence(message.log)
        result = self._apply_entries(peer, message)
        if result is None or result.kind != replica.APPLIED:
            return
        if peer.region != self.region:
            self._fan_out(message.log, start_after)
        if pull is not None and pull.target_sequence > self.sequence(
            message.log
        ):
            self._pull(peer.host_id, message.log, pull.target_sequence)

    def _apply_entries(
        self,
        peer: events.Peer,
        message: messages.Push | messages.Entries,
    ) -> replica.ApplyResult | None:
        log_replica = self.replicas.get(message.log)
        decoded = codec.decompress(message.entries)
        if log_replica is None or decoded.is_error():
            self._log_refusal(
                peer, message, "unknown log or undecodable entries"
            )
            return None
        documents = decoded.ok
        if not isinstance(documents, list) or not documents:
            self._log_refusal(
                peer, message, "entries are not a non-empty list"
            )
            return None
        claimed = models.Position(
            message.first_sequence + len(documents) - 1,
            message.version,
            message.digest,
        )
        result = log_replica.apply_entries(documents, claimed)
        if result.kind == replica.MALFORMED:
            self._log_refusal(peer, message, result.reason)
        elif result.kind == replica.DIVERGED:
            self._on_divergence(peer, message.log)
        elif result.kind == replica.GAP:
            self._pull(peer.host_id, message.log, claimed.sequence)
        else:
            self._after_apply(message.log, result)
        return result

    def _on_divergence(self, peer: events.Peer, log: str) -> None:
        self.log("divergence", log=log, peer=peer.host_id)
        other = self.members.random_member(self.region)
        if log not in self.pulls and other is not None:
            self._download(other, log, self.sequence(log) + 1)

    def _after_apply(self, log: str, result: replica.ApplyResult) -> None:
        staged = result.staged
        if result.kind == replica.RULES_UNSUPPORTED and not self.held_by_rules:
            self.held_by_rules = True
            self.log("rules_not_supported", log=log)
        if staged is None:
            return
        if log == HOSTS:
            changed, removed = replica.split_host_changes(staged)
            self.members.update(changed, removed, self.now)
            if staged.refused_changes:
                self.log("host_changes_refused", count=staged.refused_changes)
            return
        self._report_verdicts(staged.verdicts)
        if self.configuration.version == self.announced_version:
            return
        self.announced_version = self.configuration.version
        self.actions.append(events.ConfigurationChanged(self.configuration))
        self.lease.advance(self.configuration.version)
        if self.beacons.pending_beacon is not None:
            beacon, version = self.beacons.pending_beacon
            if version <= self.configuration.version:
                self.beacons.pending_beacon = None
                self.beacons.forward(beacon)

    def _report_verdicts(self, verdicts: list[events.PatchVerdict]) -> None:
        for patch_verdict in verdicts:
            self.verdicts.pop(patch_verdict.patch_id, None)
            self.verdicts[patch_verdict.patch_id] = patch_verdict
            self.actions.append(patch_verdict)
        while len(self.verdicts) > MAX_VERDICTS:
            del self.verdicts[next(iter(self.verdicts))]

    def _on_snapshot_request(
        self,
        peer: events.Peer,
        message: messages.SnapshotRequest,
        version: int,
    ) -> None:
        if message.log not in self.replicas:
            self._log_refusal(peer, message, "unknown log")
        elif self.sequence(message.log) > 0:
            self._send_chunk(peer, message)

    def _send_chunk(
        self, peer: events.Peer, message: messages.SnapshotRequest
    ) -> None:
        snapshot = self.replicas[message.log].to_snapshot()
        self.send(peer.host_id, replica.read_chunk(snapshot, message))

    def _on_snapshot_chunk(
        self,
        peer: events.Peer,
        message: messages.SnapshotChunk,
        version: int,
    ) -> None:
        pull = self.pulls.get(message.log)
        if pull is None or pull.host_id != peer.host_id:
            self.log("chunk_ignored", peer=peer.host_id)
            return
        if pull.download is None:
            pull.download = replica.Download(message.log, peer.host_id)
        outcome = pull.download.add(message)
        if outcome == "refused":
            del self.pulls[message.log]
            self._log_refusal(
                peer, message, "chunk exceeds the announced size"
            )
            return
        pull.requested_at = self.now
        if outcome == "more":
            self.send(peer.host_id, pull.download.request())
            return
        del self.pulls[message.log]
        self._install_snapshot(peer, pull.download, pull.target_sequence)

    def _install_snapshot(
        self,
        peer: events.Peer,
        download: replica.Download,
        target_sequence: int,
    ) -> None:
        log = download.log
        decoded = download.document()
        if decoded.is_error():
            self.log("snapshot_refused", peer=peer.host_id, log=log)
            return
        result = self.replicas[log].install_snapshot(
            decoded.ok, download.position
        )
        if result.kind in (replica.APPLIED, replica.RULES_UNSUPPORTED):
            self._after_apply(log, result)
        elif result.kind == replica.DIVERGED:
            self._on_divergence(peer, log)
        else:
            self.log(
                "snapshot_refused",
                peer=peer.host_id,
                log=log,
                reason=result.reason or result.kind,
            )
        if self.sequence(log) < target_sequence and log not in self.pulls:
            self.ping(peer.host_id)

    # Fan-out.

    def _fan_out(
        self, log: str, start_after: int, cross_region: bool = False
    ) -> None:
        log_replica = self.replicas[log]
        batch = log_replica.entries_after(start_after)
        while batch is not None:
            push = messages.Push(
                log,
                0,
                batch.first_sequence,
                codec.compress(batch.documents),
                batch.position.version,
                batch.position.digest,
                relay.RING_START,
                relay.RING_END,
            )
            self._send_pushes(push, cross_region)
            self.pushed_sequences[log] = max(
                self.pushed_sequences[log], batch.position.sequence
            )
            batch = log_replica.entries_after(batch.position.sequence)

    def _send_pushes(self, push: messages.Push, cross_region: bool) -> None:
        pushes = self.relay.push_shares(push, self.now)
        for region in self.other_regions() if cross_region else ():
            pushes += self.relay.push_region(push, region, self.now)
        for recipient, outgoing in pushes:
            self.send(recipient, outgoing)

    def other_regions(self) -> list[str]:
        """Return the other regions that have members."""
        return [
            region
            for region, ring in self.members.region_rings.items()
            if region != self.region and len(ring)
        ]

    def _on_push(
        self, peer: events.Peer, message: messages.Push, version: int
    ) -> None:
        if peer.region != self.region:
            self.link_heard_at = self.now
        log_replica = self.replicas.get(message.log)
        start_after = log_replica.position.sequence if log_replica else 0
        result = self._apply_entries(peer, message)
        if result is None:
            return
        self.send(
            peer.host_id,
            messages.PushAck(message.push_id, self.sequence(message.log)),
        )
        if result.kind in (replica.MALFORMED, replica.DIVERGED):
            return
        # An empty range marks a notification by another reader; only the
        # first reader fans it out.
        if message.range_low > message.range_high:
            if result.kind == replica.APPLIED and self.rank == 0:
                self._fan_out(message.log, start_after, cross_region=True)
            return
        last = self.sequence(message.log)
        self.pushed_sequences[message.log] = max(
            self.pushed_sequences[message.log], last
        )
        if self.relay.begin(
            message.log,
            message.first_sequence,
            message.range_low,
            message.range_high,
        ):
            self._send_pushes(message, cross_region=False)

    def _on_push_ack(
        self, peer: events.Peer, message: messages.PushAck, version: int
    ) -> None:
        self.relay.acknowledge(peer.host_id, message.push_id)

    def _retry_pushes(self) -> None:
        for delivery in self.relay.overdue_deliveries(self.now):
            self.members.record_missed_reply(delivery.target, self.now)
            repeated = self.relay.retry(delivery, self.now)
            if repeated is not None:
                self.send(*repeated)

    # The source.

    def reads_source(self) -> bool:
        """Return whether this node should read from the source."""
        if self.join.phase == joining.SOURCE:
            return True
        if not self.ready or self.leaving:
            return False
        if self.policy.is_reader(self.rank):
            return True
        return (
            self.policy.is_gateway(self.rank)
            and self._link_silence() > SOURCE_FALLBACK_SECONDS
        )

    def _read_source(self) -> None:
        if not self.reads_source():
            return
        is_reader = self.policy.is_reader(self.rank)
        for log, watch in self.watches.items():
            watch.backoff.last = (
                readers.READER_MAX_RETRY_SECONDS[log]
                if is_reader
                else readers.MAX_RETRY_SECONDS
            )
            if not watch.due(self.now) or not self.read_limiter.take(self.now):
                continue
            watch.record_sent(self.now)
            if watch.checkpoint_due:
                self.actions.append(events.ReadCheckpoint(log))
            else:
                self.actions.append(
                    events.ReadSource(
                        log, self.sequence(log), watch.wait_seconds
                    )
                )

    def _on_source_read(self, event: events.SourceRead) -> None:
        log = event.log
        watch = self.watches[log]
        previous_sequence = self.sequence(log)
        if event.head < previous_sequence:
            watch.record_failure(self.now, "behind")
            self.log(
                "source_behind",
                log=log,
                head=event.head,
                held=previous_sequence,
            )
            return
        result = self.replicas[log].apply_entries(event.entries)
        if result.kind == replica.MALFORMED:
            watch.record_failure(self.now, "malformed")
            self.log("source_malformed", log=log, reason=result.reason)
            return
        self._after_apply(log, result)
        watch.checkpoint_due = result.kind == replica.GAP
        watch.head = event.head
        if result.kind in (replica.RULES_UNSUPPORTED, replica.GAP):
            watch.record_failure(self.now, "held")
            return
        watch.record_response(self.now, event.head == self.sequence(log))
        if result.kind == replica.APPLIED:
            self._schedule_fan_out(log, previous_sequence)
        self._read_source()

    def _schedule_fan_out(self, log: str, start_after: int) -> None:
        if self.rank is None:
            return
        if self.rank == 0 or not self.policy.in_source_region():
            self._fan_out(log, start_after, self.policy.in_source_region())
            return
        self.takeovers.append(
            Takeover(
                log,
                start_after,
                self.sequence(log),
                self.now + NOTIFY_DELAY_SECONDS,
                self.policy.takeover_at(self.rank, self.now),
            )
        )
        del self.takeovers[:-MAX_TAKEOVERS]

    def _run_takeovers(self) -> None:
        if not self.takeovers:
            return
        remaining = []
        for takeover in self.takeovers:
            if self.pushed_sequences[takeover.log] >= takeover.last_sequence:
                continue
            if self.now >= takeover.start_at or self.rank == 0:
                self.log("fan_out_taken_over", log=takeover.log)
                self._fan_out(
                    takeover.log, takeover.start_after, cross_region=True
                )
                continue
            if (
                takeover.notify_at is not None
                and self.now >= takeover.notify_at
            ):
                takeover.notify_at = None
                self._notify_readers(takeover)
            remaining.append(takeover)
        self.takeovers = remaining

    def _notify_readers(self, takeover: Takeover) -> None:
        batch = self.replicas[takeover.log].entries_after(takeover.start_after)
        if batch is None or self.rank is None:
            return
        push = messages.Push(
            takeover.log,
            0,
            batch.first_sequence,
            codec.compress(batch.documents),
            batch.position.version,
            batch.position.digest,
            relay.RING_END,
            relay.RING_START,
        )
        for name in self.members.top_ranked(self.region, self.rank):
            self.send(name, push)

    def _on_source_failed(self, event: events.SourceFailed) -> None:
        self.watches[event.log].record_failure(self.now, event.kind)
        self.log("source_failed", log=event.log, kind=event.kind)

    def _on_checkpoint_read(self, event: events.CheckpointRead) -> None:
        log = event.log
        watch = self.watches[log]
        watch.checkpoint_due = False
        watch.record_response(self.now, False)
        if event.document is not None:
            result = self.replicas[log].install_snapshot(event.document)
            if result.kind in (replica.APPLIED, replica.RULES_UNSUPPORTED):
                self._after_apply(log, result)
            elif result.kind != replica.OLDER:
                watch.record_failure(self.now, "malformed")
                self.log("checkpoint_refused", log=log, reason=result.reason)
        self._read_source()

    # Graceful shutdown.

    def _on_stop(self, event: events.Stop) -> None:
        self._start_leaving("stop")

    def _start_leaving(self, reason: str) -> None:
        if self.leaving:
            return
        self.leaving = True
        self.rank = None
        self.leaving_announcements_left = LEAVING_ANNOUNCEMENTS
        self.log("leaving", reason=reason)
        self._announce_leaving()

    def _announce_leaving(self) -> None:
        if (
            not self.leaving_announcements_left
            or self.now < self.next_leaving_announcement_at
        ):
            return
        self.leaving_announcements_left -= 1
        self.next_leaving_announcement_at = (
            self.now + LEAVING_ANNOUNCEMENT_INTERVAL_SECONDS
        )
        message = messages.Leaving(
            self.host_id, self.incarnation, relay.RING_START, relay.RING_END
        )
        self._forward_leaving(message)
        for region in self.other_regions():
            for name in self.members.contact_candidates(region, 1):
                self.send(name, message)

    def _on_leaving(
        self, peer: events.Peer, message: messages.Leaving, version: int
    ) -> None:
        if message.host_id == self.host_id:
            return
        if not self.members.record_leave(message.host_id, message.incarnation):
            self._log_refusal(peer, message, "incarnation")
            return
        self._forward_leaving(message)

    def _forward_leaving(self, message: messages.Leaving) -> None:
        for share in self.relay.split(message.range_low, message.range_high):
            self.send(
                share.target,
                messages.Leaving(
                    message.host_id,
                    message.incarnation,
                    share.low,
                    share.high,
                ),
            )

    # Status.

    def _report_status(self) -> None:
        for _, root in self.status_tree.roots_to_query(self.now):
            self._request_status(root)
        if not self.ready or not self.status_tree.report_due(self.now):
            return
        parent = self.status_tree.parent()
        if parent is None:
            return
        report = self._own_report()
        self.send(
            parent,
            messages.StatusReport(
                self.settings.failure_domain,
                [list(item) for item in report.counts],
                [list(item) for item in report.laggards],
            ),
        )

    def _own_report(self) -> status_module.Report:
        position = self.replicas[CONFIG].position
        return self.status_tree.subtree_report(
            position.version, position.digest, self.now
        )

    def _request_status(self, root: str) -> None:
        if root == self.host_id:
            self.status_tree.record_reply(self._status_reply(0), self.now)
            return
        self.send(
            root, messages.StatusRequest(self.status_tree.next_request_id)
        )
        self.status_tree.next_request_id += 1

    def _status_reply(self, request_id: int) -> messages.StatusReply:
        report = self._own_report()
        return messages.StatusReply(
            request_id,
            self.settings.failure_domain,
            [list(item) for item in report.counts],
            [list(item) for item in report.laggards],
        )

    def _on_status_report(
        self, peer: events.Peer, message: messages.StatusReport, version: int
    ) -> None:
        if not self.status_tree.record_report(peer.host_id, message, self.now):
            self._log_refusal(peer, message, "malformed report")

    def _on_status_request(
        self, peer: events.Peer, message: messages.StatusRequest, version: int
    ) -> None:
        self.send(peer.host_id, self._status_reply(message.request_id))

    def _on_status_reply(
        self, peer: events.Peer, message: messages.StatusReply, version: int
    ) -> None:
        if not self.status_tree.record_reply(message, self.now):
            self._log_refusal(peer, message, "malformed reply")

    # Helpers.

    def sequence(self, log: str) -> int:
        """Return the last applied sequence number of a log."""
        return self.replicas[log].position.sequence

    def send(self, host_id: str, message: messages.Message) -> None:
        """Queue a message to a host."""
        self.actions.append(events.Send(host_id, message))

    def log(self, event: str, **values: Any) -> None:
        """Queue a log line, which also increments the event's counter."""
        self.actions.append(events.Log(event, **values))

    def _log_refusal(
        self, peer: events.Peer, message: messages.Message, reason: str
    ) -> None:
        self.log(
            "message_refused",
            peer=peer.host_id,
            reason=reason,
            kind=type(message).__name__,
        )
