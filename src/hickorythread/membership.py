"""Hold the members, what this node observed of them, and their rings."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator

from hickorythread import charts
from hickorythread import events
from hickorythread import interfaces
from hickorythread import models
from hickorythread import utils

RANK_KEY = "reader/"
SUSPECT_SECONDS = 3.0
SILENCES_UNTIL_DEAD = 3
GRACE_SECONDS = 10.0
GRACE_SILENCE_SECONDS = 3.0
MAX_UNLISTED_PEERS = 1024
MAX_CANDIDATES = 16


class Ring:
    """Keep names in the order of their hashes."""

    __slots__ = ("prefix", "hashes", "names")

    def __init__(self, prefix: str = "") -> None:
        self.prefix = prefix
        self.hashes: list[int] = []
        self.names: list[str] = []

    def __len__(self) -> int:
        return len(self.names)

    def add(self, name: str) -> None:
        """Insert a name unless it is there."""
        value = utils.ring_hash(self.prefix + name)
        index = self._find(value, name)
        if index < len(self.names) and self.names[index] == name:
            return
        self.hashes.insert(index, value)
        self.names.insert(index, name)

    def discard(self, name: str) -> None:
        """Remove a name if it is there."""
        index = self.index(name)
        if index is not None:
            del self.hashes[index]
            del self.names[index]

    def index(self, name: str) -> int | None:
        """Return the place of a name in the order, or None."""
        index = self._find(utils.ring_hash(self.prefix + name), name)
        if index < len(self.names) and self.names[index] == name:
            return index
        return None

    def span(self, low: int, high: int) -> tuple[int, int]:
        """Return the first and the last place plus one of a hash range."""
        first = bisect.bisect_left(self.hashes, low)
        return first, bisect.bisect_right(self.hashes, high)

    def _find(self, value: int, name: str) -> int:
        index = bisect.bisect_left(self.hashes, value)
        while (
            index < len(self.names)
            and self.hashes[index] == value
            and self.names[index] < name
        ):
            index += 1
        return index


class PeerState:
    """Hold what this node observed of one peer."""

    __slots__ = (
        "state",
        "incarnation",
        "heard_at",
        "suspect_at",
        "silences",
        "usable",
    )

    def __init__(self, state: str) -> None:
        self.state = state
        self.incarnation = 0
        self.heard_at: float | None = None
        self.suspect_at = 0.0
        self.silences = 0
        self.usable = True


class Changes:
    """Collect what became visible: hosts, removed ids, peer states."""

    __slots__ = ("changed", "removed", "peers")

    def __init__(self) -> None:
        self.changed: list[models.Host] = []
        self.removed: list[str] = []
        self.peers: list[tuple[str, str, bool]] = []


class Membership:
    """Combine the platform's host list with local observation.

    The list decides who is a member, observation which members to use.
    Changes collect in `changes` until `take_changes`.
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
        "grace",
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
        self.grace: dict[str, float] = {}
        self.changes = Changes()

    def take_changes(self) -> Changes:
        """Return what changed since the last call."""
        changes = self.changes
        self.changes = Changes()
        return changes

    def has_changes(self) -> bool:
        """Return whether take_changes has something to return."""
        changes = self.changes
        return bool(changes.changed or changes.removed or changes.peers)

    # The host list.

    def update(
        self,
        changed: Iterable[models.Host],
        removed: Iterable[str],
        now: float,
    ) -> None:
        """Follow the platform's host list."""
        for name in removed:
            if name in self.hosts:
                self._omit(name, now)
        for host in changed:
            self._put(host)

    def tick(self, now: float) -> None:
        """End grace periods and suspicions that are over."""
        for name in list(self.grace):
            peer = self.peers.get(name)
            heard_at = peer.heard_at if peer else None
            if now >= self.grace[name] or not _recent(heard_at, now):
                self._remove(name)
        for name in list(self.suspects):
            peer = self.peers[name]
            if not peer.usable and now - peer.suspect_at >= SUSPECT_SECONDS:
                self._set_usable(name, peer, True)

    def _put(self, host: models.Host) -> None:
        self.grace.pop(host.id, None)
        self.unlisted.pop(host.id, None)
        owner = self.addresses.get(host.stream_address)
        if owner is not None and owner != host.id:
            # The platform gave the address to another host; the list entry
            # of the earlier one only lags.
            self._remove(owner)
        old = self.hosts.get(host.id)
        if old is not None and _place(old) != _place(host):
            self._unplace(old)
        self.hosts[host.id] = host
        self.addresses[host.stream_address] = host.id
        self._ring(self.region_rings, host.region, "").add(host.id)
        self._ring(self.rank_rings, host.region, RANK_KEY).add(host.id)
        self._ring(self.domain_rings, host.failure_domain, "").add(host.id)
        peer = self.peers.get(host.id)
        if peer is None or peer.state != "left":
            self.changes.changed.append(host)

    def _omit(self, name: str, now: float) -> None:
        peer = self.peers.get(name)
        if peer is None or not _recent(peer.heard_at, now):
            self._remove(name)
        elif name not in self.grace:
            self.grace[name] = now + GRACE_SECONDS

    def _remove(self, name: str) -> None:
        self.grace.pop(name, None)
        self._unplace(self.hosts.pop(name))
        self.peers.pop(name, None)
        self.suspects.pop(name, None)
        self.dead.pop(name, None)
        self.departed.pop(name, None)
        self.changes.removed.append(name)

    def _unplace(self, host: models.Host) -> None:
        if self.addresses.get(host.stream_address) == host.id:
            del self.addresses[host.stream_address]
        self.region_rings[host.region].discard(host.id)
        self.rank_rings[host.region].discard(host.id)
        self.domain_rings[host.failure_domain].discard(host.id)

    def _ring(self, rings: dict[str, Ring], key: str, prefix: str) -> Ring:
        ring = rings.get(key)
        if ring is None:
            ring = rings[key] = Ring(prefix)
        return ring

    # Observation.

    def record_contact(self, peer: events.Peer, now: float) -> bool:
        """Note a message; return False if a newer incarnation is known."""
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
            known.silences = 0
            return True
        self._move(name, known, event)
        if known.state == "alive":
            known.silences = 0
            self._set_usable(name, known, True)
            if event == "restart" and name in self.hosts:
                self.changes.changed.append(self.hosts[name])
        return True

    def record_missed_reply(self, name: str, now: float) -> None:
        """Note a push, ping or connection without reply."""
        peer = self.peers.get(name)
        if peer is None:
            if name not in self.hosts:
                return
            peer = self._add_peer(name)
        if peer is None or peer.state == "left":
            return
        self._move(name, peer, "silent")
        peer.silences += 1
        peer.suspect_at = now
        if peer.state == "suspect" and peer.silences >= SILENCES_UNTIL_DEAD:
            self._move(name, peer, "expire")
        self._set_usable(name, peer, False)

    def record_leave(self, name: str, incarnation: int) -> bool:
        """Note that a peer is leaving; return False if it restarted since."""
        peer = self.peers.get(name) or self._add_peer(name)
        if peer is None or incarnation < peer.incarnation:
            return False
        peer.incarnation = incarnation
        if peer.state == "left":
            return True
        self._move(name, peer, "leave")
        self._set_usable(name, peer, False)
        host = self.hosts.get(name)
        if host is not None:
            document = host.to_document() | {"state": "leaving"}
            self.changes.changed.append(models.Host.from_config(document))
        return True

    def is_usable(self, name: str) -> bool:
        """Return whether nothing speaks against using a peer."""
        peer = self.peers.get(name)
        return peer is None or peer.usable

    def forget_unlisted(self, name: str) -> None:
        """Forget a peer that is not listed once its stream closed."""
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

    def _move(self, name: str, peer: PeerState, event: str) -> None:
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

    # Choices.

    def is_eligible(self, name: str) -> bool:
        """Return whether a member may take a duty for others."""
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

        If none of the first ranks is eligible, the region may be cut off:
        one of the first ranks is tried at random.
        """
        ring = self.rank_rings.get(region)
        first: list[str] = []
        for name in self._by_rank(ring) if ring else ():
            if len(first) == MAX_CANDIDATES:
                break
            if name != self.host_id:
                first.append(name)
        found = [name for name in first if self.is_eligible(name)][:count]
        if not found and first:
            found = [self.random_source.choice(first)]
        return found

    def own_rank(self, region: str, count: int) -> int | None:
        """Return the rank of this node if it is below count."""
        ranked = self.top_ranked(region, count)
        if self.host_id in ranked:
            return ranked.index(self.host_id)
        return None

    def random_member(self, region: str) -> str | None:
        """Return a random usable member of a region other than this node."""
        ring = self.region_rings.get(region)
        if ring is None:
            return None
        return self.pick_usable(ring, 0, len(ring), ())

    def random_unreachable(self, region: str) -> str | None:
        """Return a random member of a region that may have restarted.

        A fresh process knows no peer, so one that replaces a stopped or
        dead one joins once another node contacts it.
        """
        names = [
            name
            for names in (self.dead, self.suspects, self.departed)
            for name in names
            if name in self.hosts and self.hosts[name].region == region
        ]
        return self.random_source.choice(names) if names else None

    def random_in_domain(self, domain: str) -> str | None:
        """Return a member of a failure domain, usable if there is one."""
        ring = self.domain_rings.get(domain)
        if ring is None:
            return None
        name = self.pick_usable(ring, 0, len(ring), ())
        if name is None:
            others = [name for name in ring.names if name != self.host_id]
            name = self.random_source.choice(others) if others else None
        return name

    def pick_usable(
        self, ring: Ring, first: int, last: int, tried: Iterable[str]
    ) -> str | None:
        """Return a usable member between two places of a ring."""
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


def _place(host: models.Host) -> tuple[str, str, str]:
    return host.region, host.failure_domain, host.stream_address


def _recent(heard_at: float | None, now: float) -> bool:
    return heard_at is not None and now - heard_at < GRACE_SILENCE_SECONDS
