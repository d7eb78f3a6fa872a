"""Selects the nodes that read the source for those near them."""

from collections.abc import Collection
from collections.abc import Mapping
import zlib

READER_COUNT = 2
# The small failure domains of a region form one group, so that the number of
# readers does not grow with that of the domains. A larger domain is a group.
MAX_SMALL_DOMAIN_HOSTS = 6
# In a group of small domains of up to this size every node reads for itself.
MAX_INDEPENDENT_HOSTS = 12
# If no reader reports contact with the source for STALE_SECONDS, further nodes
# start to read, one more every EXTRA_READER_SECONDS.
STALE_SECONDS = 1.3
EXTRA_READER_SECONDS = 0.3
MAX_EXTRA_READERS = 4
# After the start, streams to the readers take some time to open. Until then
# every higher-ranked host counts as connected.
STARTUP_SECONDS = 0.6


class ReaderSelection:
    """Rank the hosts of one group; the highest-ranked ones read.

    domains holds the failure domains of the group.
    A reader notifies the others after each response of the source. If it
    loses contact with the source, the notices stop, and the next hosts in
    rank read until a higher-ranked node has contact again.
    """

    def __init__(self, host_id: str, failure_domain: str, now: float) -> None:
        self.host_id = host_id
        self.failure_domain = failure_domain
        self.domains = frozenset((failure_domain,))
        self.started_at = now
        self.contact_at = now
        self.ranked: list[str] = [host_id]
        self.domain_size = 1

    @property
    def shared(self) -> bool:
        """Return whether a few nodes read for the whole group."""
        return (
            len(self.ranked) > MAX_INDEPENDENT_HOSTS
            or self.domain_size > MAX_SMALL_DOMAIN_HOSTS
        )

    def set_hosts(self, hosts_by_domain: Mapping[str, set[str]]) -> None:
        """Replace the hosts of the region by their failure domains."""
        hosts = {self.host_id, *hosts_by_domain.get(self.failure_domain, ())}
        domains = {self.failure_domain}
        self.domain_size = len(hosts)
        if self.domain_size <= MAX_SMALL_DOMAIN_HOSTS:
            for name, others in hosts_by_domain.items():
                if len(others) <= MAX_SMALL_DOMAIN_HOSTS:
                    domains.add(name)
                    hosts |= others
        self.domains = frozenset(domains)
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
