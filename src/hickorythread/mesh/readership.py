"""Decide which nodes of a failure domain read the source for the others."""

from collections.abc import Collection
import zlib

READERS = 2
# In a smaller failure domain every node reads for itself.
MAX_INDEPENDENT_HOSTS = 6
# Without news of the source for this long, further nodes read themselves.
STALE_SECONDS = 1.3
JOIN_SECONDS = 0.3
MAX_EXTRA_READERS = 4
# Streams to the readers need some time after the start.
START_SECONDS = 0.6


class Readership:
    """Rank the hosts of one failure domain; the first ones read.

    A reader tells the others after each answer of the source. If it is cut
    off from the source, the next ones in rank notice the missing news and
    read until a node before them has news again.
    """

    def __init__(self, host_id: str, now: float) -> None:
        self.host_id = host_id
        self.started_at = now
        self.fresh_at = now
        self.ranked: list[str] = [host_id]

    @property
    def shared(self) -> bool:
        """Return whether some nodes read for the others."""
        return len(self.ranked) > MAX_INDEPENDENT_HOSTS

    def set_hosts(self, host_ids: Collection[str]) -> None:
        """Replace the hosts of the failure domain."""
        hosts = {self.host_id, *host_ids}
        self.ranked = sorted(hosts, key=_mix)

    def heard(self, host_id: str, now: float) -> None:
        """Note that the source has just answered a node."""
        if host_id in self.ranked[: self.ranked.index(self.host_id)]:
            self.fresh_at = now

    def reads(self, connected: Collection[str], now: float) -> bool:
        """Return whether this node reads the source itself."""
        if not self.shared:
            return True
        rank = self._rank(connected, now)
        silence = now - self.fresh_at - STALE_SECONDS
        if silence <= 0:
            return rank < READERS
        extra = min(MAX_EXTRA_READERS, 1 + int(silence / JOIN_SECONDS))
        return rank < READERS + extra

    def _rank(self, connected: Collection[str], now: float) -> int:
        """Return how many hosts before this one can be reached."""
        starting = now - self.started_at < START_SECONDS
        before = self.ranked[: self.ranked.index(self.host_id)]
        return sum(1 for host_id in before if starting or host_id in connected)


def _mix(host_id: str) -> tuple[int, str]:
    """Return a key that orders hosts in the same way on all nodes."""
    return zlib.crc32(host_id.encode()), host_id
