"""Membership: host list, failure detection and hash rings."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator

from hickorythread import charts
from hickorythread import events
from hickorythread import interfaces
from hickorythread import models
from hickorythread import utils

RANK_KEY_PREFIX = "reader/"
SUSPECT_TIMEOUT_SECONDS = 3.0
MISSED_REPLIES_UNTIL_DEAD = 3
GRACE_PERIOD_SECONDS = 10.0
RECENT_CONTACT_SECONDS = 3.0
MAX_UNLISTED_PEERS = 1024
MAX_CONTACT_CANDIDATES = 16


class Ring:
    """Hold a hash ring of names, sorted by hash."""

    __slots__ = ("prefix", "hashes", "names")

    def __init__(self, prefix: str = "") -> None:
        self.prefix = prefix
        self.hashes: list[int] = []
        self.names: list[str] = []

    def __len__(self) -> int:
        return len(self.names)

    def add(self, name: str) -> None:
        """Insert a name if it is absent."""
        hash_value = utils.ring_hash(self.prefix + name)
        index = self._find(hash_value, name)
        if index < len(self.names) and self.names[index] == name:
            return
        self.hashes.insert(index, hash_value)
        self.names.insert(index, name)

    def discard(self, name: str) -> None:
        """Remove a name if it is present."""
        index = self.index(name)
        if index is not None:
            del self.hashes[index]
            del self.names[index]

    def index(self, name: str) -> int | None:
        """Return the index of a name, or None."""
        index = self._find(utils.ring_hash(self.prefix + name), name)
        if index < len(self.names) and self.names[index] == name:
            return index
        return None

    def index_range(self, low: int, high: int) -> tuple[int, int]:
        """Return the half-open range of indexes that a hash range covers."""
        first = bisect.bisect_left(self.hashes, low)
        return first, bisect.bisect_right(self.hashes, high)

    def _find(self, hash_value: int, name: str) -> int:
        index = bisect.bisect_left(self.hashes, hash_value)
        while (
            index < len(self.names)
            and self.hashes[index] == hash_value
            and self.names[index] < name
        ):
            index += 1
        return index


class PeerState:
    """Hold the state of one peer as observed by this node."""

    __slots__ = (
        "state",
        "incarnation",
        "heard_at",
        "suspect_at",
        "missed_replies",
        "usable",
    )

    def __init__(self, state: str) -> None:
        self.state = state
        self.incarnation = 0
        self.heard_at: float | None = None
        self.suspect_at = 0.0
        self.missed_replies = 0
        self.usable = True


class Changes:
    """Hold pending notifications: changed hosts, removed ids, peer states."""

    __slots__ = ("changed", "removed", "peers")

    def __init__(self) -> None:
        self.changed: list[models.Host] = []
        self.removed: list[str] = []
        self.peers: list[tuple[str, str, bool]] = []


class Membership:
    """Combine the platform's host list with local failure detection.

    The list determines the members, failure detection which of them are
    usable. `changes` accumulates until `take_changes` is called.
    """

    __slots__ = (
        "host_id",
        "random_source",
        "chart",
        "hosts",
        "addresses",
        "peers",
        "unlisted",
        "region_rings",
        "rank_rings",
        "domain_rings",
        "suspects",
        "dead",
        "departed",
        "grace_until",
        "changes",
    )

    def __init__(
        self, host_id: str, random_source: interfaces.RandomSource
    ) -> None:
        self.host_id = host_id
        self.random_source = random_source
        self.chart = charts.Chart.load("peer")
        self.hosts: dict[str, models.Host] = {}
        self.addresses: dict[str, str] = {}
        self.peers: dict[str, PeerState] = {}
        self.unlisted: dict[str, None] = {}
        self.region_rings: dict[str, Ring] = {}
        self.rank_rings: dict[str, Ring] = {}
        self.domain_rings: dict[str, Ring] = {}
        self.suspects: dict[str, None] = {}
        self.dead: dict[str, None] = {}
        self.departed: dict[str, None] = {}
        self.grace_until: dict[str, float] = {}
        self.changes = Changes()

    def take_changes(self) -> Changes:
        """Return and clear the changes since the last call."""
        changes = self.changes
        self.changes = Changes()
        return changes

    def has_changes(self) -> bool:
        """Return whether there are changes to take."""
        changes = self.changes
        return bool(changes.changed or changes.removed or changes.peers)

    # The host list.

    def update(
        self,
        changed: Iterable[models.Host],
        removed: Iterable[str],
        now: float,
    ) -> None:
        """Apply changes of the platform's host list."""
        for name in removed:
            if name in self.hosts:
                self._remove_unless_heard(name, now)
        for host in changed:
            self._add_or_update(host)

    def tick(self, now: float) -> None:
        """Expire grace periods and suspicions."""
        for name in list(self.grace_until):
            peer = self.peers.get(name)
            heard_at = peer.heard_at if peer else None
            if now >= self.grace_until[name] or not _recently_heard(
                heard_at, now
            ):
                self._remove(name)
        for name in list(self.suspects):
            peer = self.peers[name]
            if (
                not peer.usable
                and now - peer.suspect_at >= SUSPECT_TIMEOUT_SECONDS
            ):
                self._set_usable(name, peer, True)

    def _add_or_update(self, host: models.Host) -> None:
        self.grace_until.pop(host.id, None)
        self.unlisted.pop(host.id, None)
        owner = self.addresses.get(host.stream_address)
        if owner is not None and owner != host.id:
            # The platform reassigned the address to another host; removal
            # of the previous owner from the list is merely delayed.
            self._remove(owner)
        old = self.hosts.get(host.id)
        if old is not None and _location(old) != _location(host):
            self._remove_from_rings(old)
        self.hosts[host.id] = host
        self.addresses[host.stream_address] = host.id
        self._get_or_add_ring(self.region_rings, host.region, "").add(host.id)
        self._get_or_add_ring(
            self.rank_rings, host.region, RANK_KEY_PREFIX
        ).add(host.id)
        self._get_or_add_ring(self.domain_rings, host.failure_domain, "").add(
            host.id
        )
        peer = self.peers.get(host.id)
        if peer is None or peer.state != "left":
            self.changes.changed.append(host)

    def _remove_unless_heard(self, name: str, now: float) -> None:
        peer = self.peers.get(name)
        if peer is None or not _recently_heard(peer.heard_at, now):
            self._remove(name)
        elif name not in self.grace_until:
            self.grace_until[name] = now + GRACE_PERIOD_SECONDS

    def _remove(self, name: str) -> None:
        self.grace_until.pop(name, None)
        self._remove_from_rings(self.hosts.pop(name))
        self.peers.pop(name, None)
        self.suspects.pop(name, None)
        self.dead.pop(name, None)
        self.departed.pop(name, None)
        self.changes.removed.append(name)

    def _remove_from_rings(self, host: models.Host) -> None:
        if self.addresses.get(host.stream_address) == host.id:
            del self.addresses[host.stream_address]
        self.region_rings[host.region].discard(host.id)
        self.rank_rings[host.region].discard(host.id)
        self.domain_rings[host.failure_domain].discard(host.id)

    def _get_or_add_ring(
        self, rings: dict[str, Ring], key: str, prefix: str
    ) -> Ring:
        ring = rings.get(key)
        if ring is None:
            ring = rings[key] = Ring(prefix)
        return ring

    # Failure detection.

    def record_contact(self, peer: events.Peer, now: float) -> bool:
        """Record a message; return False if it is refused.

        It is refused if its incarnation is outdated, or if its sender is not
        listed and MAX_UNLISTED_PEERS others are tracked already.
        """
        name = peer.host_id
        known = self.peers.get(name)
        if known is None:
            known = self._add_peer(name)
            if known is None:
                return False
        if peer.incarnation < known.incarnation:
            return False
        event = "heard"
        if known.state == "left" and peer.incarnation > known.incarnation:
            event = "restart"
        known.incarnation = peer.incarnation
        known.heard_at = now
        if known.state == "alive" and known.usable:
            known.missed_replies = 0
            return True
        self._transition(name, known, event)
        if known.state == "alive":
            known.missed_replies = 0
            self._set_usable(name, known, True)
            if event == "restart" and name in self.hosts:
                self.changes.changed.append(self.hosts[name])
        return True

    def record_missed_reply(self, name: str, now: float) -> None:
        """Record a push, ping or connection that got no reply."""
        peer = self.peers.get(name)
        if peer is None:
            if name not in self.hosts:
                return
            peer = self._add_peer(name)
        if peer is None or peer.state == "left":
            return
        self._transition(name, peer, "silent")
        peer.missed_replies += 1
        peer.suspect_at = now
        if (
            peer.state == "suspect"
            and peer.missed_replies >= MISSED_REPLIES_UNTIL_DEAD
        ):
            self._transition(name, peer, "expire")
        self._set_usable(name, peer, False)

    def record_leave(self, name: str, incarnation: int) -> bool:
        """Record that a peer is leaving; return False if it is refused.

        It is refused if the peer has restarted since, or if the peer is not
        listed and MAX_UNLISTED_PEERS others are tracked already.
        """
        peer = self.peers.get(name) or self._add_peer(name)
        if peer is None or incarnation < peer.incarnation:
            return False
        peer.incarnation = incarnation
        if peer.state == "left":
            return True
        self._transition(name, peer, "leave")
        self._set_usable(name, peer, False)
        host = self.hosts.get(name)
        if host is not None:
            document = host.to_document() | {"state": "leaving"}
            self.changes.changed.append(models.Host.from_config(document))
        return True

    def is_usable(self, name: str) -> bool:
        """Return whether a peer is unknown or considered usable."""
        peer = self.peers.get(name)
        return peer is None or peer.usable

    def forget_unlisted(self, name: str) -> None:
        """Drop the state of an unlisted peer whose stream closed."""
        if name in self.unlisted:
            del self.unlisted[name]
            self.peers.pop(name, None)
            self.suspects.pop(name, None)
            self.dead.pop(name, None)
            self.departed.pop(name, None)

    def _add_peer(self, name: str) -> PeerState | None:
        if name not in self.hosts:
            if len(self.unlisted) >= MAX_UNLISTED_PEERS:
                return None
            self.unlisted[name] = None
        peer = self.peers[name] = PeerState(self.chart.initial)
        return peer

    def _transition(self, name: str, peer: PeerState, event: str) -> None:
        peer.state = self.chart.next(peer.state, event)
        for state, names in (
            ("suspect", self.suspects),
            ("dead", self.dead),
            ("left", self.departed),
        ):
            if peer.state == state:
                names[name] = None
            else:
                names.pop(name, None)

    def _set_usable(self, name: str, peer: PeerState, usable: bool) -> None:
        if peer.usable != usable:
            peer.usable = usable
            self.changes.peers.append((name, peer.state, usable))

    # Selection of members.

    def is_eligible(self, name: str) -> bool:
        """Return whether a member may serve as reader or gateway."""
        host = self.hosts.get(name)
        return (
            host is not None and host.state == "live" and self.is_usable(name)
        )

    def top_ranked(self, region: str, count: int) -> list[str]:
        """Return the highest-ranked eligible members of a region."""
        ring = self.rank_rings.get(region)
        found: list[str] = []
        for name in self._by_rank(ring) if ring else ():
            if len(found) == count:
                break
            if name == self.host_id or self.is_eligible(name):
                found.append(name)
        return found

    def contact_candidates(self, region: str, count: int) -> list[str]:
        """Return members to contact in another region.

        If none of the top-ranked members is eligible, the region may be
        partitioned, so a random one of them is returned.
        """
        ring = self.rank_rings.get(region)
        highest_ranked: list[str] = []
        for name in self._by_rank(ring) if ring else ():
            if len(highest_ranked) == MAX_CONTACT_CANDIDATES:
                break
            if name != self.host_id:
                highest_ranked.append(name)
        found = [name for name in highest_ranked if self.is_eligible(name)][
            :count
        ]
        if not found and highest_ranked:
            found = [self.random_source.choice(highest_ranked)]
        return found

    def own_rank(self, region: str, count: int) -> int | None:
        """Return this node's rank, or None if it is not below count."""
        ranked = self.top_ranked(region, count)
        if self.host_id in ranked:
            return ranked.index(self.host_id)
        return None

    def random_member(self, region: str) -> str | None:
        """Return a random usable member of a region, except this node."""
        ring = self.region_rings.get(region)
        if ring is None:
            return None
        return self.random_usable(ring, 0, len(ring), ())

    def random_unreachable(self, region: str) -> str | None:
        """Return a random unreachable member, which may have restarted.

        A new process knows no peers: one that replaces a stopped or dead
        process can only join once another node contacts it.
        """
        names = [
            name
            for names in (self.dead, self.suspects, self.departed)
            for name in names
            if name in self.hosts and self.hosts[name].region == region
        ]
        return self.random_source.choice(names) if names else None

    def random_in_domain(self, domain: str) -> str | None:
        """Return a random member of a failure domain, preferably usable."""
        ring = self.domain_rings.get(domain)
        if ring is None:
            return None
        name = self.random_usable(ring, 0, len(ring), ())
        if name is None:
            others = [name for name in ring.names if name != self.host_id]
            name = self.random_source.choice(others) if others else None
        return name

    def random_usable(
        self, ring: Ring, first: int, last: int, tried: Iterable[str]
    ) -> str | None:
        """Return a random usable member from an index range of a ring."""
        count = last - first
        if count <= 0:
            return None
        start = self.random_source.randrange(count)
        for step in range(count):
            name = ring.names[first + (start + step) % count]
            if (
                name != self.host_id
                and name not in tried
                and self.is_usable(name)
            ):
                return name
        return None

    def _by_rank(self, ring: Ring) -> Iterator[str]:
        return reversed(ring.names)


def _location(host: models.Host) -> tuple[str, str, str]:
    return host.region, host.failure_domain, host.stream_address


def _recently_heard(heard_at: float | None, now: float) -> bool:
    return heard_at is not None and now - heard_at < RECENT_CONTACT_SECONDS
