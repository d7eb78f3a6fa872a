"""Emit, forward and renew the beacons on which the leases rest."""

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
BEACON_SECONDS = 1.0
OUTAGE_BEACON_SECONDS = 0.5
PROOF_SECONDS = 1.0
CONTACT_PING_SECONDS = 0.4
GATEWAY_PING_SECONDS = 4.0
REPEAT_SECONDS = 0.3


class Beacons:
    """Decide what a node's beacons prove and send them on."""

    __slots__ = (
        "plane",
        "number",
        "due_at",
        "link_beacon",
        "link_beacon_at",
        "waiting",
        "domain_proofs",
        "doubt_since",
        "contact_ping_at",
        "gateways_asked_at",
    )

    def __init__(self, plane: "control.ControlPlane", now: float) -> None:
        self.plane = plane
        self.number = 0
        self.due_at = now
        self.link_beacon: messages.Beacon | None = None
        self.link_beacon_at = now
        self.waiting: tuple[messages.Beacon, int] | None = None
        self.domain_proofs: dict[str, float] = {}
        self.doubt_since: float | None = None
        self.contact_ping_at = now
        self.gateways_asked_at = now

    def evidence(self) -> float | None:
        """Return the time up to which this node knows all published news.

        While the source does not serve this node, hearing from every
        failure domain of the region shows that no reader there holds news
        which it cannot pass on. Otherwise this node may be the one that is
        cut off. A domain that is out counts too: its nodes may read news.
        """
        if self.plane.ahead_version > self.plane.configuration.version:
            return None
        watch = self.plane.watches[CONFIG]
        times = [None if self._doubts_source() else watch.confirmed_at]
        if self.plane.policy.in_source_region():
            contact = self._contact_proof()
            if contact is not None:
                times.append(watch.last_failure_until(contact))
        return max((at for at in times if at is not None), default=None)

    def _doubts_source(self) -> bool:
        """Return whether the source may show less than peers hold.

        A node whose lease lapsed may have missed news that a source gone
        back in time no longer shows. It first hears from every failure
        domain of its region, or waits as long as a joining node does.
        """
        if self.plane.lease.valid(self.plane.now) or not self.source_serves():
            self.doubt_since = None
            return False
        if self.doubt_since is None:
            self.doubt_since = self.plane.now
        if self.plane.now - self.doubt_since >= joining.JOIN_SECONDS:
            return False
        contact = self._contact_proof()
        return contact is None or contact < self.doubt_since

    def source_serves(self) -> bool:
        """Return whether the source answered a recent read."""
        proof = self.plane.watches[CONFIG].confirmed_at
        return proof is not None and self.plane.now - proof < PROOF_SECONDS

    def _contact_proof(self) -> float | None:
        domains = self._domains_to_hear()
        if not domains:
            return self.plane.now
        proofs = [self.domain_proofs.get(domain) for domain in domains]
        known = [proof for proof in proofs if proof is not None]
        return min(known) if len(known) == len(proofs) else None

    def _domains_to_hear(self) -> list[str]:
        return [
            domain
            for domain, ring in self.plane.members.domain_rings.items()
            if ring.names not in ([], [self.plane.host_id])
            and self.plane.members.hosts[ring.names[0]].region
            == self.plane.region
        ]

    def prove_contact(self) -> None:
        """Ping each failure domain of the region if a proof is needed."""
        if not self.plane.policy.is_reader(self.plane.rank):
            return
        if self.source_serves() and self.plane.lease.valid(self.plane.now):
            return
        if self.plane.now < self.contact_ping_at:
            return
        self.contact_ping_at = self.plane.now + CONTACT_PING_SECONDS
        for domain in self._domains_to_hear():
            name = self.plane.members.random_in_domain(domain)
            if name is not None:
                self.plane.ping(name)

    def emit(self) -> None:
        """Emit a beacon if this node's rank and evidence allow it."""
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
        serves = self.source_serves()
        interval = BEACON_SECONDS if serves else OUTAGE_BEACON_SECONDS
        self.due_at = self.plane.now + interval
        self._ask_gateways()
        issued_at = self.evidence()
        if issued_at is None:
            self.due_at = self.plane.now + CONTACT_PING_SECONDS
        if (
            issued_at is None
            or self.plane.now - issued_at >= lease.LEASE_SECONDS
        ):
            return
        self.number += 1
        self.renew(issued_at, self.number, self.plane.configuration.version)
        beacon = messages.Beacon(
            self.plane.host_id,
            self.plane.incarnation,
            self.number,
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
            self.link_beacon_at = self.plane.now

    def repeat_over_link(self) -> None:
        """Send a beacon past gateways that leave a ping unanswered."""
        beacon = self.link_beacon
        if (
            beacon is None
            or self.plane.now - self.link_beacon_at < REPEAT_SECONDS
        ):
            return
        self.link_beacon = None
        for region in self.plane.other_regions():
            gateways = self.plane.members.contact_candidates(
                region, membership.MAX_CANDIDATES
            )
            answering = [
                name for name in gateways if name not in self.plane.pings
            ]
            if answering and gateways[0] in self.plane.pings:
                self.plane.send(answering[0], beacon)

    def _ask_gateways(self) -> None:
        """Check that the gateways answer; beacons are not acknowledged."""
        if not self.plane.policy.in_source_region():
            return
        if self.plane.now - self.gateways_asked_at < GATEWAY_PING_SECONDS:
            return
        self.gateways_asked_at = self.plane.now
        for region in self.plane.other_regions():
            for name in self.plane.members.contact_candidates(region, 1):
                self.plane.ping(name)

    def renew(self, issued_at: float, number: int, version: int) -> None:
        """Take a beacon whose sender held the given version."""
        held = self.plane.configuration.version
        self.plane.lease.renew(
            issued_at, number, version, held, self.plane.now
        )

    def on_beacon(
        self, peer: events.Peer, message: messages.Beacon, version: int
    ) -> None:
        """Take a beacon of a peer and forward it."""
        self.plane.lease.heard_at = self.plane.now
        if peer.region != self.plane.region:
            self.plane.link_heard_at = self.plane.now
        self.renew(message.issued_at, message.number, version)
        if version > self.plane.configuration.version:
            # Forwarding it now would let it overtake the news that its
            # sender holds.
            self.waiting = (message, version)
        else:
            self.forward(message)

    def bring(self, issued_at: float, number: int) -> None:
        """Forward a beacon that a gateway had to ask for over the link."""
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
        """Send a beacon on to the shares of its range."""
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
