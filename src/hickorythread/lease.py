"""Lease that permits admission while the newest beacon is recent."""

import collections
import math

LEASE_SECONDS = 2.5
MAX_PENDING_BEACONS = 8


class Lease:
    """Track the newest beacon that is valid for the version held here.

    A beacon from a sender with a newer version stays pending until this
    node holds that version too. Otherwise a beacon that overtakes the
    removal of a failure domain would extend admission there.
    """

    __slots__ = ("issued_at", "number", "heard_at", "pending")

    def __init__(self) -> None:
        self.issued_at: float | None = None
        self.number = 0
        self.heard_at: float | None = None
        self.pending: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=MAX_PENDING_BEACONS)
        )

    def renew(
        self,
        issued_at: float,
        number: int,
        sender_version: int,
        held_version: int,
        now: float,
    ) -> bool:
        """Process a beacon; return whether it extended the lease."""
        if not math.isfinite(issued_at):
            return False
        issued_at = min(issued_at, now)
        if sender_version > held_version:
            self.pending.append((issued_at, number, sender_version))
            return False
        return self._extend(issued_at, number)

    def advance(self, held_version: int) -> None:
        """Apply the pending beacons that the new version makes valid."""
        beacons = list(self.pending)
        self.pending.clear()
        for issued_at, number, version in beacons:
            if version <= held_version:
                self._extend(issued_at, number)
            else:
                self.pending.append((issued_at, number, version))

    def age(self, now: float) -> float:
        """Return the age of the newest beacon in seconds, or -1 if none."""
        return -1.0 if self.issued_at is None else now - self.issued_at

    def valid(self, now: float) -> bool:
        """Return whether the lease has not expired."""
        return (
            self.issued_at is not None and now - self.issued_at < LEASE_SECONDS
        )

    def _extend(self, issued_at: float, number: int) -> bool:
        if self.issued_at is not None and issued_at <= self.issued_at:
            return False
        self.issued_at = issued_at
        self.number = number
        return True
