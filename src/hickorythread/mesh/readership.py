"""Selects the nodes that read the source for those near them.

The hosts of a region form groups: each large failure domain is one, and its
small ones form another. The first nodes of each group are its contacts. Two
of the contacts of a region read the source and notify the others, and every
contact notifies its group. So the calls to the source grow with the regions,
and the messages of a node with its group and the number of groups.
"""

from collections.abc import Collection
from collections.abc import Mapping
import itertools
import zlib

READER_COUNT = 2
CONTACT_COUNT = 2
# The small failure domains of a region form one group, so that the number of
# groups does not grow with that of the domains.
MAX_SMALL_DOMAIN_HOSTS = 6
# In a group of small domains of up to this size every node reads for itself.
MAX_INDEPENDENT_HOSTS = 12
# Parts of the time in which a removal must be in force. A contact that hears
# of no contact with the source for the first one reads itself. If no contact
# of a group reports it for the second one, further nodes become contacts, one
# more every EXTRA_CONTACT_SECONDS.
READER_STALE_SHARE = 0.6
CONTACT_STALE_SHARE = 0.75
# A watch of the first reader returns after this part at the latest, as a sign
# of life, and one of the second reader a little later.
WATCH_SHARE = 0.35
STANDBY_WATCH_SHARE = 0.5
# Versions of the configuration must be in force as fast.
MAX_REMOVAL_SECONDS = 3.0
EXTRA_CONTACT_SECONDS = 0.3
MAX_EXTRA_CONTACTS = 4
MAX_RANK = CONTACT_COUNT + MAX_EXTRA_CONTACTS
# After the start, streams to the readers take some time to open. Until then
# every higher-ranked host counts as connected.
STARTUP_SECONDS = 0.6


class ReaderSelection:
    """Rank the hosts of a region; the highest-ranked ones read for the others.

    A reader notifies others after each response of the source. If it loses
    contact with the source, the notices stop, and other contacts read until a
    higher-ranked node has contact again. domains holds the failure domains of
    the own group, ranked its hosts and other_groups those of each other one.
    """

    def __init__(
        self,
        host_id: str,
        failure_domain: str,
        removal_seconds: float,
        now: float,
    ) -> None:
        removal_seconds = min(removal_seconds, MAX_REMOVAL_SECONDS)
        self.reader_stale_seconds = READER_STALE_SHARE * removal_seconds
        self.contact_stale_seconds = CONTACT_STALE_SHARE * removal_seconds
        self.watch_seconds = WATCH_SHARE * removal_seconds
        self.standby_seconds = STANDBY_WATCH_SHARE * removal_seconds
        self.host_id = host_id
        self.failure_domain = failure_domain
        self.started_at = now
        # When a higher-ranked node of the region, and one of the group, last
        # reported contact with the source.
        self.reader_heard_at = now
        self.contact_heard_at = now
        self.domains = frozenset((failure_domain,))
        self.domain_size = 1
        self.ranked: list[str] = [host_id]
        self.other_groups: list[list[str]] = []
        # The hosts that rank above this node, in its group and in the others.
        self.higher: list[str] = []
        self.higher_in_others: list[list[str]] = []

    @property
    def shared(self) -> bool:
        """Return whether a few nodes read for the whole group."""
        return (
            len(self.ranked) > MAX_INDEPENDENT_HOSTS
            or self.domain_size > MAX_SMALL_DOMAIN_HOSTS
        )

    def set_hosts(self, hosts_by_domain: Mapping[str, set[str]]) -> None:
        """Replace the hosts of the region by their failure domains."""
        own = {self.host_id, *hosts_by_domain.get(self.failure_domain, ())}
        by_domain = {**hosts_by_domain, self.failure_domain: own}
        self.domain_size = len(own)
        small = {
            name
            for name, hosts in by_domain.items()
            if len(hosts) <= MAX_SMALL_DOMAIN_HOSTS
        }
        groups = [
            frozenset((name,)) for name in by_domain if name not in small
        ]
        if small:
            groups.append(frozenset(small))
        self.other_groups = []
        for domains in groups:
            hosts = set().union(*(by_domain[name] for name in domains))
            ranked = sorted(hosts, key=_rank_key)
            if self.failure_domain in domains:
                self.domains = domains
                self.ranked = ranked
            elif len(hosts) > MAX_INDEPENDENT_HOSTS or domains - small:
                self.other_groups.append(ranked)
        self.higher = self._hosts_above(self.ranked)
        self.higher_in_others = [
            self._hosts_above(ranked) for ranked in self.other_groups
        ]

    def record_contact(self, host_id: str, now: float) -> None:
        """Record that a node reports contact with the source."""
        if _rank_key(host_id) >= _rank_key(self.host_id):
            return
        self.reader_heard_at = now
        if host_id in self.ranked:
            self.contact_heard_at = now

    def is_contact(self, connected: Collection[str], now: float) -> bool:
        """Return whether this node passes on notices within its group."""
        if not self.shared:
            return False
        rank = self._count_higher(self.higher, connected, now)
        overdue = now - self.contact_heard_at - self.contact_stale_seconds
        if overdue <= 0:
            return rank < CONTACT_COUNT
        extra_contacts = min(
            MAX_EXTRA_CONTACTS, 1 + int(overdue / EXTRA_CONTACT_SECONDS)
        )
        return rank < CONTACT_COUNT + extra_contacts

    def is_reader(self, connected: Collection[str], now: float) -> bool:
        """Return whether this node reads the source itself."""
        if not self.shared:
            return True
        if not self.is_contact(connected, now):
            return False
        if now - self.reader_heard_at > self.reader_stale_seconds:
            return True
        return self.rank(connected, now) < READER_COUNT

    def watch_timeout(self, rank: int) -> float:
        """Return how many seconds the reader of a rank watches targets."""
        return self.standby_seconds if rank else self.watch_seconds

    def rank(self, connected: Collection[str], now: float) -> int:
        """Return how many connected hosts read before this one.

        The count ends where it makes no more difference.
        """
        rank = self._count_higher(self.higher, connected, now)
        if self.shared:
            for higher in self.higher_in_others:
                count = self._count_higher(higher, connected, now)
                rank += min(CONTACT_COUNT, count)
        return rank

    def contacts(self, connected: Collection[str]) -> list[str]:
        """Return the first hosts of each group, without this one."""
        reachable = (host for host in self.ranked if host in connected)
        own = itertools.islice(reachable, CONTACT_COUNT)
        return [*own, *self.other_contacts(connected)]

    def other_contacts(self, connected: Collection[str]) -> list[str]:
        """Return the contacts of the other groups of the region."""
        contacts: list[str] = []
        for ranked in self.other_groups:
            reachable = (host for host in ranked if host in connected)
            contacts += itertools.islice(reachable, CONTACT_COUNT)
        return contacts

    def _hosts_above(self, ranked: list[str]) -> list[str]:
        """Return the hosts of a group that rank above this node."""
        own_key = _rank_key(self.host_id)
        return [host for host in ranked if _rank_key(host) < own_key]

    def _count_higher(
        self, higher: list[str], connected: Collection[str], now: float
    ) -> int:
        """Return how many higher-ranked hosts of a group are connected.

        The count ends where it makes no more difference.
        """
        if now - self.started_at < STARTUP_SECONDS:
            return len(higher)
        count = 0
        for host_id in higher:
            if host_id in connected:
                count += 1
                if count == MAX_RANK:
                    break
        return count


def _rank_key(host_id: str) -> tuple[int, str]:
    """Return a sort key that is the same on all nodes."""
    return zlib.crc32(host_id.encode()), host_id
