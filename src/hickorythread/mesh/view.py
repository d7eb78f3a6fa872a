"""The view of the mesh that a node holds, from the source or from peers."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import types
from typing import Any

import xxhash

from hickorythread import codec
from hickorythread.mesh import ends
from hickorythread.mesh import evacuations
from hickorythread.mesh import events
from hickorythread.mesh import interfaces
from hickorythread.mesh import models
from hickorythread.mesh import revived
from hickorythread.mesh import routing
from hickorythread.mesh import versions

# Targets whose entries expired while the source was unreachable register again
# within about two seconds of its recovery.
REREGISTRATION_SECONDS = 2.2
# A removal that happens after the recovery must take effect within 2 s.
MAX_REMOVAL_DELAY_SECONDS = 1.6
MAX_DEPARTED_TARGETS = 1024
NO_REVISIONS: Mapping[str, int] = types.MappingProxyType({})

# What told that a target is gone.
EVENT = "event"
LIST = "list"
ANNOUNCED = "announced"
PEER = "peer"
HOLD_ENDED = "hold-ended"


class View:
    """Hold the newest configuration, the targets and the evacuations.

    position is that of the source up to which targets are known,
    operator_position the same for what the operator writes. warmup_revisions
    maps the ids of cold targets to the revisions of the writes that said so;
    they tell two reports with the same seconds apart. departed maps the
    ids of removed targets to their start times, and pending_removals maps ids
    to the times at which delayed removals are due. logs holds what was
    decided and not reported yet.
    """

    def __init__(self) -> None:
        self.versions = versions.Versions()
        self.targets: dict[str, models.Target] = {}
        self.targets_digest = 0
        # Built again after the targets have changed, None until then.
        self.index: dict[str, list[models.Target]] | None = None
        self.packed_targets: bytes | None = None
        self.warmup_revisions: dict[str, int] = {}
        self.evacuations = evacuations.Evacuations()
        self.departed: dict[str, int] = {}
        self.ends = ends.EndedTargets()
        self.revived = revived.RevivedTargets()
        self.position = models.Position(models.UNKNOWN_ERA, 0)
        self.operator_position = models.Position(models.UNKNOWN_ERA, 0)
        self.grace_until = 0.0
        self.pending_removals: dict[str, float] = {}
        self.logs: list[events.Log] = []

    def take_logs(self) -> list[events.Log]:
        """Return the decisions that were made since the last call."""
        logs, self.logs = self.logs, []
        return logs

    @property
    def digest(self) -> int:
        """Return a number that tells the targets and evacuations apart."""
        return self.targets_digest ^ self.evacuations_digest

    @property
    def evacuations_digest(self) -> int:
        """Return a number that tells sets of evacuations apart."""
        digest = 0
        for domain in self.evacuated:
            digest ^= xxhash.xxh3_64_intdigest(domain.encode())
        return digest

    @property
    def revision(self) -> int:
        """Return the revision up to which targets are known, 0 if none."""
        return self.position.revision

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the failure domains that get no new work."""
        return self.evacuations.domains

    @property
    def ready(self) -> bool:
        """Return whether requests can be placed."""
        return self.configuration is not None and self.revision > 0

    @property
    def configuration(self) -> models.Configuration | None:
        """Return the active configuration, None if there is none."""
        return self.versions.newest

    @property
    def router(self) -> routing.Router | None:
        """Return what matches requests to the routes of the version."""
        return self.versions.router

    @property
    def version(self) -> int:
        """Return the active configuration version, 0 if there is none."""
        return self.versions.number

    @property
    def by_service(self) -> dict[str, list[models.Target]]:
        """Return the targets of each service, one for each address.

        An entry of a service that is not configured names no target to use.
        """
        if self.index is None:
            configuration = self.configuration
            self.index = _group_by_service(
                [
                    target
                    for target in self.targets.values()
                    if configuration is None
                    or target.service in configuration.services
                ]
            )
        return self.index

    def put_configuration(self, configuration: models.Configuration) -> bool:
        """Activate a version if it is newer; return whether it was."""
        if not self.versions.put(configuration):
            return False
        self.index = None
        return True

    def put_evacuated(
        self, domains: Iterable[str], position: models.Position, now: float
    ) -> bool:
        """Replace the evacuated domains; return whether they changed.

        A list that is older than what is known changes nothing.
        """
        known = self.operator_position
        if position < known:
            return False
        restored = position.is_restored_after(known)
        self.operator_position = _advance(known, position)
        before = self.evacuated
        for domain in self.evacuations.replace(domains, restored, now):
            self._log_position("evacuation_held", known, domain=domain)
        return self.evacuated != before

    def apply_operator(
        self, batch: interfaces.ChangeBatch, complete: bool, now: float
    ) -> bool:
        """Apply what the operator wrote; return if evacuations changed."""
        for change in batch.changes:
            if isinstance(change, interfaces.PutConfiguration):
                self._apply_configuration(change.configuration, batch)
        changes = [
            change
            for change in batch.changes
            if isinstance(change, interfaces.SetEvacuated)
        ]
        position = batch.position
        if batch.is_partial:
            position = self.operator_position
        if complete:
            listed = [c.failure_domain for c in changes if c.evacuated]
            return self.put_evacuated(listed, position, now)
        before = self.evacuated
        for change in changes:
            self.evacuations.set(change.failure_domain, change.evacuated)
        self.operator_position = _advance(self.operator_position, position)
        return self.evacuated != before

    def _apply_configuration(
        self,
        configuration: models.Configuration,
        batch: interfaces.ChangeBatch,
    ) -> None:
        if configuration.version < self.version:
            self._log_position(
                "version_kept",
                self.operator_position,
                offered=configuration.version,
                offered_era=batch.era,
                offered_revision=batch.revision,
            )
        elif self.put_configuration(configuration):
            self._log_position(
                "version_in_force",
                batch.position,
                routes=len(configuration.routes),
                origin="source",
            )

    def put_target(self, target: models.Target, revision: int = 0) -> None:
        """Add or replace a target.

        revision is that of its last write, 0 if it is not known.

        An entry can be older than what is known: a process that has announced
        its end does not take it back, and one that was followed by another
        does not return.
        """
        known = self.targets.get(target.id)
        last_start = self.departed.get(target.id, 0)
        if known is not None:
            last_start = known.started_at_ms
        if target.started_at_ms < last_start:
            self._log("target_older", target, known=last_start)
            return
        self.revived.discard(target.id)
        self.pending_removals.pop(target.id, None)
        self.departed.pop(target.id, None)
        self._note_warmup(target, revision)
        if not target.draining and self.ends.includes(target):
            self._log("target_end_kept", target)
            target = target.as_draining()
        if known == target:
            return
        if target.draining and self._record_end(target):
            self._log("target_draining", target)
        self._store(target)

    def _note_warmup(self, target: models.Target, revision: int) -> None:
        """Remember which write has reported the warm-up of a target."""
        previous = self.warmup_revisions.get(target.id, 0)
        if target.warmup_seconds <= 0.0:
            revision = 0
        elif not revision:
            return
        if revision == previous:
            return
        self.warmup_revisions.pop(target.id, None)
        if revision:
            self.warmup_revisions[target.id] = revision
        for number in (previous, revision):
            if number:
                self.targets_digest ^= _hash([target.id, number])

    def note_end(
        self, target_id: str, host_id: str, started_at_ms: int, source: str
    ) -> None:
        """Record that a target process has announced its end.

        started_at_ms is 0 if the node that heard it does not know the start;
        it is then taken to be that of the registration, if there is one.
        """
        target = self.targets.get(target_id)
        if target is not None and not started_at_ms:
            started_at_ms = target.started_at_ms
        if not self.ends.record(target_id, host_id, started_at_ms):
            return
        self.logs.append(
            events.Log(
                "target_ended",
                target=target_id,
                started_at=started_at_ms,
                registered=target is not None,
                revision=self.revision,
                source=source,
            )
        )
        if target is not None and self.ends.includes(target):
            self._store(target.as_draining())

    def _record_end(self, target: models.Target) -> bool:
        """Remember that a process ends; return whether that was not known."""
        return self.ends.record(
            target.id, target.host_id, target.started_at_ms
        )

    def apply_targets(
        self, batch: interfaces.ChangeBatch, complete: bool, now: float
    ) -> None:
        """Apply what a read of the targets has returned."""
        if complete:
            targets = {
                change.target.id: change.target
                for change in batch.changes
                if isinstance(change, interfaces.PutTarget)
            }
            revisions = {
                change.target.id: change.revision
                for change in batch.changes
                if isinstance(change, interfaces.PutTarget)
            }
            self.replace_targets(targets, batch.position, now, revisions)
            return
        self.position = _advance(self.position, batch.position)
        self._apply_changes(batch.changes, now)

    def _apply_changes(
        self, changes: Iterable[interfaces.Change], now: float
    ) -> None:
        removed = []
        for change in changes:
            if isinstance(change, interfaces.PutTarget):
                self.put_target(change.target, change.revision)
            elif isinstance(change, interfaces.RemoveTarget):
                self.revived.discard(change.target_id)
                if change.announced:
                    self._remove_announced(change.target_id)
                else:
                    removed.append(change.target_id)
        self.remove_targets(removed, now)

    def _remove_announced(self, target_id: str) -> None:
        """Remove a target that has said that it leaves."""
        target = self.targets.get(target_id)
        if target is not None:
            self._record_end(target)
            self._remove(target_id, ANNOUNCED)

    def remove_targets(
        self,
        target_ids: Iterable[str],
        now: float,
        from_snapshot: bool = False,
    ) -> None:
        """Remove targets, with a delay if the source has just recovered.

        from_snapshot is true if the targets are missing from a complete list.
        Their entries may then have expired at any time during the outage.
        """
        removed = [
            self.targets[target_id]
            for target_id in target_ids
            if target_id in self.targets
        ]
        if now >= self.grace_until and self._have_lapsed(removed):
            # An outage of the source that this node has not noticed.
            self.grace_until = now + MAX_REMOVAL_DELAY_SECONDS
        for target in removed:
            self._remove_or_hold(target, now, from_snapshot)

    def _have_lapsed(self, removed: list[models.Target]) -> bool:
        """Return whether entries were lost rather than targets stopped.

        Several targets of a service that have not announced their end, and
        most of it, do not leave at the same moment.
        """
        lost = collections.Counter(
            target.service for target in removed if not target.draining
        )
        return any(
            count > 1 and 2 * count > len(self.by_service.get(service, ()))
            for service, count in lost.items()
        )

    def _remove_or_hold(
        self, target: models.Target, now: float, from_snapshot: bool
    ) -> None:
        target_id = target.id
        reason = LIST if from_snapshot else EVENT
        if now >= self.grace_until or target.draining:
            self._remove(target_id, reason)
            return
        due = self.grace_until
        if not from_snapshot:
            due = min(due, now + MAX_REMOVAL_DELAY_SECONDS)
        if target_id not in self.pending_removals:
            self.pending_removals[target_id] = due
            held = round(due - now, 3)
            self._log("target_held", target, reason=reason, seconds=held)

    def replace_targets(
        self,
        targets: dict[str, models.Target],
        position: models.Position,
        now: float,
        revisions: Mapping[str, int] = NO_REVISIONS,
    ) -> None:
        """Replace the targets by a complete list from the source.

        revisions holds those of the last writes, as far as they are known.

        A list that is older than what is known, such as one that arrives
        twice, changes nothing. One of a later era may be an older copy: what
        it lacks may be written again, and what it holds may have been removed
        since.
        """
        known = self.position
        if position < known:
            self._log_position("list_older", known, offered=position.revision)
            return
        restored = position.is_restored_after(known)
        if restored:
            self.start_grace_period(now)
            self._log_position("source_restored", position, known=known)
        self.position = _advance(known, position)
        for target_id in self.revived.targets.keys() - targets.keys():
            self.revived.discard(target_id)
        missing = sorted(self.targets.keys() - targets.keys())
        self.remove_targets(missing, now, from_snapshot=True)
        for target in targets.values():
            revision = revisions.get(target.id, 0)
            self._put_listed(target, revision, restored, now)

    def _put_listed(
        self, target: models.Target, revision: int, restored: bool, now: float
    ) -> None:
        """Add a listed target unless a restored source has revived it."""
        departed_at = self.departed.get(target.id)
        if (
            restored
            and departed_at is not None
            and target.started_at_ms <= departed_at
        ):
            self.revived.add(target, now)
            self._log("target_revived", target)
        elif not self.revived.includes(target):
            self.put_target(target, revision)

    def adopt_targets(
        self,
        targets: dict[str, models.Target],
        position: models.Position,
        pending_removals: dict[str, float],
        now: float,
        revisions: Mapping[str, int] = NO_REVISIONS,
    ) -> None:
        """Replace the targets and pending removals by those of a peer."""
        if position.is_restored_after(self.position):
            self.replace_targets(targets, position, now, revisions)
            return
        self.position = _advance(self.position, position)
        for target_id in self.targets.keys() - targets.keys():
            self._remove(target_id, PEER)
        for target in targets.values():
            self.put_target(target, revisions.get(target.id, 0))
        self.pending_removals.update(pending_removals)

    def start_grace_period(self, now: float) -> None:
        """Start the grace period in which targets register again."""
        self.grace_until = now + REREGISTRATION_SECONDS

    def expire(self, now: float) -> list[str]:
        """Remove targets whose removal is due; return their ids."""
        expired = sorted(
            target_id
            for target_id, due in self.pending_removals.items()
            if now >= due
        )
        for target_id in expired:
            self._remove(target_id, HOLD_ENDED)
        return expired

    def expire_restored(self, now: float) -> bool:
        """Stop holding what a restored source lacks; return if any was."""
        domains = self.evacuations.expire(now)
        for domain in domains:
            self._log_position(
                "evacuation_dropped", self.operator_position, domain=domain
            )
        targets = self.revived.take_due(now)
        for target in targets:
            self.put_target(target)
        return bool(domains or targets)

    def pack_targets(self) -> bytes:
        """Return the compressed targets for a message."""
        if self.packed_targets is None:
            self.packed_targets = codec.compress(
                [target.values() for target in self.targets.values()]
            )
        return self.packed_targets

    def _remove(self, target_id: str, reason: str) -> None:
        self.pending_removals.pop(target_id, None)
        target = self.targets.pop(target_id, None)
        if target is None:
            return
        self.targets_digest ^= _hash(target.values())
        revision = self.warmup_revisions.pop(target_id, 0)
        if revision:
            self.targets_digest ^= _hash([target_id, revision])
        self.departed[target_id] = target.started_at_ms
        self.ends.forget_undated(target_id)
        while len(self.departed) > MAX_DEPARTED_TARGETS:
            del self.departed[next(iter(self.departed))]
        self._log("target_removed", target, reason=reason)
        self._targets_changed()

    def _log(self, event: str, target: models.Target, **values: Any) -> None:
        """Note a decision about a target with what it was based on."""
        log = events.Log(
            event,
            target=target.id,
            started_at=target.started_at_ms,
            draining=target.draining,
            era=self.position.era,
            revision=self.revision,
            **values,
        )
        self.logs.append(log)

    def _log_position(
        self, event: str, position: models.Position, **values: Any
    ) -> None:
        """Note a decision with the position that it was based on."""
        log = events.Log(
            event, era=position.era, revision=position.revision, **values
        )
        self.logs.append(log)

    def _store(self, target: models.Target) -> None:
        """Add or replace a target."""
        previous = self.targets.get(target.id)
        if previous is not None:
            self.targets_digest ^= _hash(previous.values())
        self.targets_digest ^= _hash(target.values())
        self.targets[target.id] = target
        self._targets_changed()

    def _targets_changed(self) -> None:
        self.index = None
        self.packed_targets = None


def _hash(values: list[Any]) -> int:
    """Return a number of 64 bits that is the same on all nodes."""
    return int(xxhash.xxh3_64_intdigest(codec.pack(values)))


def _advance(
    known: models.Position, position: models.Position
) -> models.Position:
    """Return the later position, with the known era if it states none."""
    later = known if position < known else position
    era = later.era if later.has_era else known.era
    return models.Position(era, later.revision)


def _group_by_service(
    targets: Iterable[models.Target],
) -> dict[str, list[models.Target]]:
    """Group targets by service, keeping one per address.

    A host runs one target. The entry of a crashed target may still exist when
    its successor registers, so the one started last is used.
    """
    by_address: dict[str, models.Target] = {}
    for target in targets:
        current = by_address.get(target.address)
        if current is None or current.started_at_ms <= target.started_at_ms:
            by_address[target.address] = target
    by_service: dict[str, list[models.Target]] = {}
    for target in by_address.values():
        by_service.setdefault(target.service, []).append(target)
    return by_service
