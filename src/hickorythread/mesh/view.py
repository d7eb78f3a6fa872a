"""What this node believes of the mesh, from the source or from peers."""

from typing import Any

from hickorythread import codec
from hickorythread.mesh import models

# Targets whose entries lapsed while the source was away register again
# within about two seconds of its return.
REGISTER_AGAIN_SECONDS = 2.2
# A removal that happens after the return must take effect within 2 s.
REMOVAL_SECONDS = 1.6
MAX_DEPARTED = 1024
# Versions that peers may still hold, as bases of differences.
MAX_PACKED_VERSIONS = 4


class View:
    """Hold the newest configuration, the targets and the evacuations.

    revision orders what the source said of targets; evacuated holds the
    failure domains that get no new work. packed holds the newest versions
    in serialized form.
    """

    def __init__(self) -> None:
        self.configuration: models.Configuration | None = None
        self.packed: dict[int, bytes] = {}
        self.targets: dict[str, models.Target] = {}
        self.by_service: dict[str, list[models.Target]] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.departed: dict[str, None] = {}
        self.revision = 0
        self.operator_revision = 0
        self.held_until = 0.0
        self.held: dict[str, float] = {}

    @property
    def ready(self) -> bool:
        """Return whether requests can be placed."""
        return self.configuration is not None and self.revision > 0

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def put_configuration(self, configuration: models.Configuration) -> bool:
        """Put a version in force unless it is not newer."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.packed[configuration.version] = codec.pack(configuration.pack())
        if len(self.packed) > MAX_PACKED_VERSIONS:
            del self.packed[next(iter(self.packed))]
        return True

    def put_evacuated(self, domains: frozenset[str], revision: int) -> bool:
        """Replace the evacuated failure domains; True if they changed."""
        self.operator_revision = max(self.operator_revision, revision)
        changed = domains != self.evacuated
        self.evacuated = domains
        return changed

    def put_target(self, target: models.Target) -> None:
        """Add or replace a target."""
        self.held.pop(target.id, None)
        self.departed.pop(target.id, None)
        if self.targets.get(target.id) != target:
            self.targets[target.id] = target
            self._index()

    def remove_target(
        self, target_id: str, now: float, listed: bool = False
    ) -> None:
        """Remove a target, later if the source has just returned.

        listed tells that a whole list lacks the target, so that it may have
        lapsed at any time during the outage.
        """
        target = self.targets.get(target_id)
        if target is None:
            return
        if now >= self.held_until or target.draining:
            self._remove(target_id)
            return
        due = self.held_until
        if not listed:
            due = min(due, now + REMOVAL_SECONDS)
        self.held.setdefault(target_id, due)

    def replace_targets(
        self, targets: dict[str, models.Target], revision: int, now: float
    ) -> None:
        """Take a whole list of targets."""
        self.revision = max(self.revision, revision)
        for target_id in self.targets.keys() - targets.keys():
            self.remove_target(target_id, now, listed=True)
        for target in targets.values():
            self.put_target(target)

    def take_targets(
        self,
        targets: dict[str, models.Target],
        revision: int,
        held: dict[str, float],
    ) -> None:
        """Take a peer's list of targets, and until when it holds some."""
        self.revision = max(self.revision, revision)
        for target_id in self.targets.keys() - targets.keys():
            self.held.pop(target_id, None)
            self._remove(target_id)
        for target in targets.values():
            self.put_target(target)
        self.held.update(held)

    def source_recovered(self, now: float) -> None:
        """Give targets that lapsed during an outage time to register."""
        self.held_until = now + REGISTER_AGAIN_SECONDS

    def expire(self, now: float) -> list[str]:
        """Remove the targets that did not register again; return them."""
        gone = sorted(
            target_id for target_id, due in self.held.items() if now >= due
        )
        for target_id in gone:
            del self.held[target_id]
            self._remove(target_id)
        return gone

    def pack_targets(self) -> list[Any]:
        """Return plain lists for a message."""
        return [target.values() for target in self.targets.values()]

    def _remove(self, target_id: str) -> None:
        if self.targets.pop(target_id, None) is not None:
            self.departed[target_id] = None
            while len(self.departed) > MAX_DEPARTED:
                del self.departed[next(iter(self.departed))]
            self._index()

    def _index(self) -> None:
        """Group the targets by service, one for each host.

        A host runs one target; the entry of one that crashed may outlive
        the start of the next.
        """
        newest: dict[str, models.Target] = {}
        for target in self.targets.values():
            other = newest.get(target.address)
            if other is None or other.started_at_ms <= target.started_at_ms:
                newest[target.address] = target
        self.by_service = {}
        for target in newest.values():
            self.by_service.setdefault(target.service, []).append(target)
