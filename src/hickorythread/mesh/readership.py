"""Selects the nodes of a failure domain that read the source."""

from collections.abc import Collection
import zlib

READER_COUNT = 2
# In a failure domain of up to this size every node reads for itself.
MAX_INDEPENDENT_HOSTS = 6
# If no reader reports contact with the source for STALE_SECONDS, further nodes
# start to read, one more every EXTRA_READER_SECONDS.
STALE_SECONDS = 1.3
EXTRA_READER_SECONDS = 0.3
MAX_EXTRA_READERS = 4
# After the start, streams to the readers take some time to open. Until then
# every higher-ranked host counts as connected.
STARTUP_SECONDS = 0.6


class ReaderSelection:
    """Rank the hosts of one failure domain; the highest-ranked ones read.

    A reader notifies the others after each response of the source. If it
    loses contact with the source, the notices stop, and the next hosts in
    rank read until a higher-ranked node has contact again.
    """

    def __init__(self, host_id: str, now: float) -> None:
        self.host_id = host_id
        self.started_at = now
        self.contact_at = now
        self.ranked: list[str] = [host_id]

    @property
    def shared(self) -> bool:
        """Return whether a few nodes read for the whole failure domain."""
        return len(self.ranked) > MAX_INDEPENDENT_HOSTS

    def set_hosts(self, host_ids: Collection[str]) -> None:
        """Replace the hosts of the failure domain."""
        hosts = {self.host_id, *host_ids}
        self.ranked = sorted(hosts, key=_rank_key)

    def record_contact(self, host_id: str, now: float) -> None:
        """Record that the source has just responded to a node."""
        if host_id in self.ranked[: self.ranked.index(self.host_id)]:
            self.contact_at = now

    def is_reader(self, connected: Collection[str], now: float) -> bool:
        """Return whether this node reads the source itself."""
        if not self.shared:
            return True
        rank = self._rank(connected, now)
        overdue = now - self.contact_at - STALE_SECONDS
        if overdue <= 0:
            return rank < READER_COUNT
        extra_readers = min(
            MAX_EXTRA_READERS, 1 + int(overdue / EXTRA_READER_SECONDS)
        )
        return rank < READER_COUNT + extra_readers

    def _rank(self, connected: Collection[str], now: float) -> int:
        """Return how many higher-ranked hosts are connected."""
        is_starting = now - self.started_at < STARTUP_SECONDS
        higher_ranked = self.ranked[: self.ranked.index(self.host_id)]
        return sum(
            1
            for host_id in higher_ranked
            if is_starting or host_id in connected
        )


def _rank_key(host_id: str) -> tuple[int, str]:
    """Return a sort key that is the same on all nodes."""
    return zlib.crc32(host_id.encode()), host_id
