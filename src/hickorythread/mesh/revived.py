"""Registrations that came back because the source is an older copy."""

from hickorythread.mesh import models

# The entry of a target that has gone lapses within this time.
LAPSE_SECONDS = 6.0


class RevivedTargets:
    """Hold back removed targets that a restored source lists again.

    Their removal is written again or their entries lapse. A target that is
    still listed after that, or writes its entry, is alive.
    """

    __slots__ = ("targets", "due")

    def __init__(self) -> None:
        self.targets: dict[str, models.Target] = {}
        self.due: dict[str, float] = {}

    def add(self, target: models.Target, now: float) -> None:
        """Hold back a target."""
        self.targets[target.id] = target
        self.due[target.id] = now + LAPSE_SECONDS

    def discard(self, target_id: str) -> None:
        """Forget a target: it wrote its entry, or that was removed."""
        self.targets.pop(target_id, None)
        self.due.pop(target_id, None)

    def includes(self, target: models.Target) -> bool:
        """Return whether this very registration is held back."""
        return self.targets.get(target.id) == target

    def take_due(self, now: float) -> list[models.Target]:
        """Return the targets that have been listed for long enough."""
        due = [
            self.targets[target_id]
            for target_id in sorted(self.due)
            if now >= self.due[target_id]
        ]
        for target in due:
            self.discard(target.id)
        return due
