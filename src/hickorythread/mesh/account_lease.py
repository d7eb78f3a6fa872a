"""Decides whether this node may still trust the keys that it knows.

A withdrawn key has to be refused within a bound on every host, also on one
that hears of nothing. So keys count only while the configuration is proven
current.
"""

from collections.abc import Callable
import math

from hickorythread.mesh import events
from hickorythread.mesh import proofs
from hickorythread.mesh import settings as mesh_settings

# Part of the bound for which a proof is good. The rest covers a proof that a
# peer has sent and that was long on its way.
LEASE_SHARE = 0.6
# More than the error of a reading of the two clocks.
SUSPENSION_SECONDS = 0.05
# A process without a tick for this time was frozen. What a shorter freeze adds
# to the age of a proof fits into the rest of the bound.
FROZEN_SECONDS = 1.0
# What arrived before a suspension or freeze is read within this time after it.
SETTLING_SECONDS = 1.0
RETRY_AFTER_SECONDS = 0.5


class AccountLease:
    """Hold a lease on the accounts, which each proof of them renews.

    suspended_seconds returns how long the host has been suspended so far. A
    reading may be too low, but not too high: what a lease allowed at the time
    of a request may run.
    """

    __slots__ = (
        "settings",
        "proof",
        "suspended_seconds",
        "known_suspension",
        "ticked_at",
        "trusted_from",
        "held",
    )

    def __init__(
        self,
        settings: mesh_settings.Settings,
        proof: proofs.TopicProof,
        suspended_seconds: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.proof = proof
        self.suspended_seconds = suspended_seconds
        self.known_suspension = suspended_seconds()
        # Infinite until the first tick: a new process has no old messages.
        self.ticked_at = math.inf
        # Proofs from before this time do not count.
        self.trusted_from = -math.inf
        # What the last tick has found.
        self.held = True

    @property
    def seconds(self) -> float:
        """Return how long a proof is good, infinite without a bound."""
        bound = self.settings.revocation_ms / 1000.0
        return LEASE_SHARE * bound if bound > 0 else math.inf

    def holds(self, now: float) -> bool:
        """Return whether keys may be trusted."""
        if not self.settings.revocation_ms:
            return True
        self._check_pause(now)
        return self._is_proven(now, self.trusted_from)

    def would_hold(self, now: float) -> bool:
        """Return what holds() would, without noting a suspension."""
        if not self.settings.revocation_ms:
            return True
        trusted_from = self.trusted_from
        if self._was_suspended() or self._was_frozen(now):
            trusted_from = now + SETTLING_SECONDS
        return self._is_proven(now, trusted_from)

    def _is_proven(self, now: float, trusted_from: float) -> bool:
        return (
            self.proof.age(now) <= self.seconds
            and self.proof.proven_at >= trusted_from
        )

    def tick(self, now: float) -> list[events.Record]:
        """Report that the lease has lapsed or holds again."""
        held = self.holds(now)
        self.ticked_at = now
        if held == self.held:
            return []
        self.held = held
        age = self.proof.age(now)
        return [
            events.Log(
                "account_lease",
                holds=held,
                proof_age=round(age, 3) if math.isfinite(age) else None,
                suspended=self.proof.proven_at < self.trusted_from,
            )
        ]

    def _check_pause(self, now: float) -> None:
        """Distrust earlier proofs after a suspension or a freeze."""
        if self._was_suspended():
            self.known_suspension = self.suspended_seconds()
            self.trusted_from = now + SETTLING_SECONDS
        # The kernel keeps what peers send to a frozen process, so that old
        # notices look as if they had just been sent.
        if self._was_frozen(now):
            self.trusted_from = now + SETTLING_SECONDS

    def _was_suspended(self) -> bool:
        # Shorter suspensions add up.
        suspension = self.suspended_seconds() - self.known_suspension
        return suspension >= SUSPENSION_SECONDS

    def _was_frozen(self, now: float) -> bool:
        return now - self.ticked_at >= FROZEN_SECONDS
