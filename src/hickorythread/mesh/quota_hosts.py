"""Ranks the hosts that may own the quota of an account."""

import bisect
from collections.abc import Collection
import heapq
import math

from hickorythread import utils

# How many hosts are kept for each account: the owner and those that follow.
RANKED_HOSTS = 4


class QuotaHosts:
    """Hold the hosts of the view and those that this host reaches.

    lost_at is when this host last lost a host, or started; infinite until its
    first tick.
    """

    __slots__ = ("host_id", "known", "reachable", "lost_at", "ranks")

    def __init__(self, host_id: str) -> None:
        self.host_id = host_id
        self.known = {host_id}
        self.reachable = {host_id}
        self.lost_at = math.inf
        # The first hosts in rank of each account, with their weights.
        self.ranks: dict[str, list[tuple[int, str]]] = {}

    @property
    def count(self) -> int:
        """Return the number of hosts that share each quota."""
        return len(self.known)

    def set_known(self, host_ids: Collection[str]) -> None:
        """Replace the hosts of the view."""
        self.known = {*host_ids, *self.reachable}

    def add(self, host_id: str) -> None:
        """Add a host that is reachable from now on."""
        if host_id in self.reachable:
            return
        self.reachable.add(host_id)
        self.known.add(host_id)
        for account, ranked in self.ranks.items():
            entry = _weight(account, host_id)
            # The list is the beginning of a longer one.
            if not ranked or entry < ranked[-1]:
                bisect.insort(ranked, entry)
                del ranked[RANKED_HOSTS:]

    def remove(self, host_id: str, now: float) -> None:
        """Remove a host that is not reachable any more."""
        if host_id == self.host_id or host_id not in self.reachable:
            return
        self.reachable.discard(host_id)
        self.lost_at = now
        for account in list(self.ranks):
            ranked = [
                entry for entry in self.ranks[account] if entry[1] != host_id
            ]
            self.ranks[account] = ranked
            if len(ranked) < min(2, len(self.reachable)):
                del self.ranks[account]

    def ranked(self, account: str) -> list[str]:
        """Return the first hosts in rank for an account, its owner first."""
        ranked = self.ranks.get(account)
        if ranked is None:
            ranked = self.ranks[account] = heapq.nsmallest(
                RANKED_HOSTS,
                (_weight(account, host_id) for host_id in self.reachable),
            )
        return [host_id for _, host_id in ranked]

    def owns(self, account: str) -> bool:
        """Return whether this host is the owner of an account."""
        return self.ranked(account)[0] == self.host_id

    def keep_only(self, accounts: Collection[str]) -> None:
        """Drop the ranks of accounts that no longer exist."""
        for account in self.ranks.keys() - set(accounts):
            del self.ranks[account]


def _weight(account: str, host_id: str) -> tuple[int, str]:
    """Return a key that sorts as utils.rendezvous_rank() does."""
    return -utils.ring_hash(f"{account}/{host_id}"), host_id
