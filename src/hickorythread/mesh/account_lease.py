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
# Difference of the clocks that shows that this host was suspended.
SUSPENSION_SECONDS = 0.05
# What arrived before a suspension is read within this time after it.
SETTLING_SECONDS = 1.0
RETRY_AFTER_SECONDS = 0.5


class AccountLease:
    """Hold a lease on the accounts, which each proof of them renews.

    boot_clock returns seconds of a clock that goes on while the host is
    suspended, unlike the monotonic one.
    """

    __slots__ = (
        "settings",
        "proof",
        "boot_clock",
        "clock_difference",
        "trusted_from",
        "held",
    )

    def __init__(
        self,
        settings: mesh_settings.Settings,
        proof: proofs.TopicProof,
        boot_clock: Callable[[], float],
        now: float,
    ) -> None:
        self.settings = settings
        self.proof = proof
        self.boot_clock = boot_clock
        self.clock_difference = boot_clock() - now
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
        self._check_suspension(now)
        return self._is_proven(now, self.trusted_from)

    def would_hold(self, now: float) -> bool:
        """Return what holds() would, without noting a suspension."""
        if not self.settings.revocation_ms:
            return True
        trusted_from = self.trusted_from
        if self._was_suspended(now):
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

    def _check_suspension(self, now: float) -> None:
        if self._was_suspended(now):
            self.trusted_from = now + SETTLING_SECONDS
        self.clock_difference = self.boot_clock() - now

    def _was_suspended(self, now: float) -> bool:
        difference = self.boot_clock() - now
        return difference - self.clock_difference >= SUSPENSION_SECONDS
