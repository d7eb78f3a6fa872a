"""Beacons that renew the leases: emission, forwarding and retries."""

from typing import TYPE_CHECKING

from hickorythread import events
from hickorythread import joining
from hickorythread import lease
from hickorythread import membership
from hickorythread import messages
from hickorythread import relay

if TYPE_CHECKING:
    from hickorythread import control

CONFIG = messages.CONFIG_LOG
BEACON_INTERVAL_SECONDS = 1.0
OUTAGE_BEACON_INTERVAL_SECONDS = 0.5
SOURCE_RESPONSE_MAX_AGE_SECONDS = 1.0
DOMAIN_PING_INTERVAL_SECONDS = 0.4
GATEWAY_PING_INTERVAL_SECONDS = 4.0
LINK_RETRY_DELAY_SECONDS = 0.3


class Beacons:
    """Emit and forward beacons; track the replies that set issue times."""

    __slots__ = (
        "plane",
        "last_number",
        "next_beacon_at",
        "link_beacon",
        "link_beacon_sent_at",
        "pending_beacon",
        "domain_replies",
        "unverified_since",
        "next_domain_ping_at",
        "gateways_pinged_at",
    )

    def __init__(self, plane: "control.ControlPlane", now: float) -> None:
        self.plane = plane
        self.last_number = 0
        self.next_beacon_at = now
        self.link_beacon: messages.Beacon | None = None
        self.link_beacon_sent_at = now
        self.pending_beacon: tuple[messages.Beacon, int] | None = None
        self.domain_replies: dict[str, float] = {}
        self.unverified_since: float | None = None
        self.next_domain_ping_at = now
        self.gateways_pinged_at = now

    def complete_until(self) -> float | None:
        """Return the time up to which this node has all published entries.

        If the source does not respond to this node, a reply from every failure
        domain of the region shows that no reader there holds entries that
        it cannot pass on. Without these replies this node may itself be
        partitioned. Domains marked out are included, as their nodes may
        still read from the source.
        """
        if self.plane.newest_seen_version > self.plane.configuration.version:
            return None
        watch = self.plane.watches[CONFIG]
        times = [None if self._source_may_be_stale() else watch.confirmed_at]
        if self.plane.policy.in_source_region():
            oldest_reply_at = self._oldest_domain_reply_at()
            if oldest_reply_at is not None:
                times.append(watch.last_failure_until(oldest_reply_at))
        return max((at for at in times if at is not None), default=None)

    def _source_may_be_stale(self) -> bool:
        """Return whether the source may show older entries than peers hold.

        A node whose lease expired may have missed entries that a source
        which was rolled back no longer shows. The node therefore waits for
        a reply from every failure domain of its region, but no longer than
        a joining node waits for its witnesses.
        """
        if (
            self.plane.lease.valid(self.plane.now)
            or not self.source_is_available()
        ):
            self.unverified_since = None
            return False
        if self.unverified_since is None:
            self.unverified_since = self.plane.now
        if (
            self.plane.now - self.unverified_since
            >= joining.JOIN_TIMEOUT_SECONDS
        ):
            return False
        oldest_reply_at = self._oldest_domain_reply_at()
        return (
            oldest_reply_at is None or oldest_reply_at < self.unverified_since
        )

    def source_is_available(self) -> bool:
        """Return whether the source responded to a recent read."""
        confirmed_at = self.plane.watches[CONFIG].confirmed_at
        return (
            confirmed_at is not None
            and self.plane.now - confirmed_at < SOURCE_RESPONSE_MAX_AGE_SECONDS
        )

    def _oldest_domain_reply_at(self) -> float | None:
        domains = self._domains_with_peers()
        if not domains:
            return self.plane.now
        replies = [self.domain_replies.get(domain) for domain in domains]
        known = [reply_at for reply_at in replies if reply_at is not None]
        return min(known) if len(known) == len(replies) else None

    def _domains_with_peers(self) -> list[str]:
        return [
            domain
            for domain, ring in self.plane.members.domain_rings.items()
            if ring.names not in ([], [self.plane.host_id])
            and self.plane.members.hosts[ring.names[0]].region
            == self.plane.region
        ]

    def ping_domains(self) -> None:
        """Ping every failure domain of the region if beacons need replies."""
        if not self.plane.policy.is_reader(self.plane.rank):
            return
        if self.source_is_available() and self.plane.lease.valid(
            self.plane.now
        ):
            return
        if self.plane.now < self.next_domain_ping_at:
            return
        self.next_domain_ping_at = (
            self.plane.now + DOMAIN_PING_INTERVAL_SECONDS
        )
        for domain in self._domains_with_peers():
            name = self.plane.members.random_in_domain(domain)
            if name is not None:
                self.plane.ping(name)

    def emit(self) -> None:
        """Emit a beacon if this node's rank and data allow it."""
        heard_at = self.plane.lease.heard_at
        if self.plane.rank is None:
            return
        if self.plane.policy.in_source_region():
            if not self.plane.policy.may_emit(
                self.plane.rank, heard_at, self.plane.now
            ):
                return
        elif not self.plane.reads_source():
            return
        available = self.source_is_available()
        interval = (
            BEACON_INTERVAL_SECONDS
            if available
            else OUTAGE_BEACON_INTERVAL_SECONDS
        )
        self.next_beacon_at = self.plane.now + interval
        self._ping_gateways()
        issued_at = self.complete_until()
        if issued_at is None:
            self.next_beacon_at = self.plane.now + DOMAIN_PING_INTERVAL_SECONDS
        if (
            issued_at is None
            or self.plane.now - issued_at >= lease.LEASE_SECONDS
        ):
            return
        self.last_number += 1
        self.renew_lease(
            issued_at, self.last_number, self.plane.configuration.version
        )
        beacon = messages.Beacon(
            self.plane.host_id,
            self.plane.incarnation,
            self.last_number,
            issued_at,
            relay.RING_START,
            relay.RING_END,
        )
        self.forward(beacon)
        if self.plane.policy.in_source_region():
            for region in self.plane.other_regions():
                for name in self.plane.members.contact_candidates(region, 1):
                    self.plane.send(name, beacon)
            self.link_beacon = beacon
            self.link_beacon_sent_at = self.plane.now

    def retry_over_link(self) -> None:
        """Resend a beacon to another gateway if the first misses a ping."""
        beacon = self.link_beacon
        if (
            beacon is None
            or self.plane.now - self.link_beacon_sent_at
            < LINK_RETRY_DELAY_SECONDS
        ):
            return
        self.link_beacon = None
        for region in self.plane.other_regions():
            gateways = self.plane.members.contact_candidates(
                region, membership.MAX_CONTACT_CANDIDATES
            )
            responsive = [
                name
                for name in gateways
                if name not in self.plane.pending_pings
            ]
            if responsive and gateways[0] in self.plane.pending_pings:
                self.plane.send(responsive[0], beacon)

    def _ping_gateways(self) -> None:
        """Ping the gateways, as beacons are not acknowledged."""
        if not self.plane.policy.in_source_region():
            return
        if (
            self.plane.now - self.gateways_pinged_at
            < GATEWAY_PING_INTERVAL_SECONDS
        ):
            return
        self.gateways_pinged_at = self.plane.now
        for region in self.plane.other_regions():
            for name in self.plane.members.contact_candidates(region, 1):
                self.plane.ping(name)

    def renew_lease(self, issued_at: float, number: int, version: int) -> None:
        """Renew the lease by a beacon from a sender at the given version."""
        held = self.plane.configuration.version
        self.plane.lease.renew(
            issued_at, number, version, held, self.plane.now
        )

    def on_beacon(
        self, peer: events.Peer, message: messages.Beacon, version: int
    ) -> None:
        """Process a beacon from a peer and forward it."""
        self.plane.lease.heard_at = self.plane.now
        if peer.region != self.plane.region:
            self.plane.link_heard_at = self.plane.now
        self.renew_lease(message.issued_at, message.number, version)
        if version > self.plane.configuration.version:
            # Forwarding it now would let it overtake the entries that its
            # sender already holds.
            self.pending_beacon = (message, version)
        else:
            self.forward(message)

    def forward_polled(self, issued_at: float, number: int) -> None:
        """Forward a beacon that a gateway obtained by a ping over the link."""
        if not self.plane.policy.is_gateway(self.plane.rank):
            return
        if self.plane.lease.issued_at != issued_at:
            return
        self.forward(
            messages.Beacon(
                self.plane.host_id,
                self.plane.incarnation,
                number,
                issued_at,
                relay.RING_START,
                relay.RING_END,
            )
        )

    def forward(self, beacon: messages.Beacon) -> None:
        """Forward a beacon to the members that cover its range."""
        if not self.plane.relay.begin(
            f"beacon/{beacon.reader}/{beacon.reader_incarnation}",
            beacon.number,
            beacon.range_low,
            beacon.range_high,
        ):
            return
        for share in self.plane.relay.split(
            beacon.range_low, beacon.range_high
        ):
            self.plane.send(
                share.target,
                messages.Beacon(
                    beacon.reader,
                    beacon.reader_incarnation,
                    beacon.number,
                    beacon.issued_at,
                    share.low,
                    share.high,
                ),
            )
