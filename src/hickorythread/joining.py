"""Join protocol: bring a new node up to date before it serves."""

from typing import TYPE_CHECKING

from hickorythread import events
from hickorythread import messages

if TYPE_CHECKING:
    from hickorythread import control

CONFIG = messages.CONFIG_LOG
HOSTS = messages.HOSTS_LOG
LOGS = (CONFIG, HOSTS)
CONTACT = "contact"
SOURCE = "source"
WITNESS = "witness"
READY = "ready"
JOIN_TIMEOUT_SECONDS = 2.0
JOIN_JITTER_SECONDS = 6.0
WITNESS_COUNT = 3
MAX_CONTACTS = 8


class Join:
    """Bring a new node to the newest version, as a state machine.

    The node waits until a peer contacts it, then asks witnesses in different
    failure domains for their versions and catches up with the newest one.
    Without peers it reads from the source.
    """

    __slots__ = (
        "plane",
        "phase",
        "contact_deadline",
        "contacts",
        "witnesses",
        "witness_positions",
        "joining_witnesses",
        "witness_deadline",
        "source_synced",
    )

    def __init__(
        self, plane: "control.ControlPlane", contact_deadline: float
    ) -> None:
        self.plane = plane
        self.phase = CONTACT
        self.contact_deadline = contact_deadline
        self.contacts: dict[str, None] = {}
        self.witnesses: list[str] = []
        self.witness_positions: dict[str, tuple[int, int]] = {}
        self.joining_witnesses: dict[str, None] = {}
        self.witness_deadline = 0.0
        self.source_synced = False

    def add_contact(self, peer: events.Peer) -> None:
        """Add a peer that contacted this node and ping it."""
        contacts = self.contacts
        if peer.host_id in contacts or len(contacts) >= MAX_CONTACTS:
            return
        contacts[peer.host_id] = None
        self.plane.ping(peer.host_id)

    def take_next_step(self) -> None:
        """Take the next step of the current phase if it is due."""
        if self.phase == CONTACT:
            if self.plane.sequence(HOSTS) > 0:
                self._ping_witnesses()
            elif self.plane.now >= self.contact_deadline:
                self.start_from_source()
        elif self.phase == SOURCE:
            self._advance_from_source()
        else:
            self._check_witnesses()

    def _advance_from_source(self) -> None:
        if all(self._at_head(log) for log in LOGS):
            self.source_synced = True
            if self.witnesses:
                self.phase = WITNESS
            else:
                self._ping_witnesses()
        elif self.witness_positions:
            self.phase = WITNESS
        elif (
            self.plane.sequence(HOSTS) > 0
            and self.plane.now >= self.witness_deadline
        ):
            # The source may stay unavailable, so peers are tried as well.
            self._ping_witnesses()
            self.phase = SOURCE

    def start_from_source(self) -> None:
        """Switch to reading the source, as no peer confirmed a version."""
        self.phase = SOURCE
        for log, watch in self.plane.watches.items():
            watch.checkpoint_due = self.plane.sequence(log) == 0
            watch.head = None

    def _at_head(self, log: str) -> bool:
        head = self.plane.watches[log].head
        return head is not None and self.plane.sequence(log) >= head

    def _ping_witnesses(self) -> None:
        self.phase = WITNESS
        self.witness_deadline = self.plane.now + JOIN_TIMEOUT_SECONDS
        self.witness_positions = {}
        self.joining_witnesses = {}
        self.witnesses = self._choose_witnesses()
        for name in self.witnesses:
            self.plane.ping(name)

    def _choose_witnesses(self) -> list[str]:
        domains = list(self.plane.members.domain_rings)
        self.plane.random_source.shuffle(domains)
        domains.sort(key=self._is_remote)
        chosen: list[str] = []
        for domain in domains:
            name = self.plane.members.random_in_domain(domain)
            if name is not None and len(chosen) < WITNESS_COUNT:
                chosen.append(name)
        return chosen

    def record_witness_reply(
        self, host_id: str, message: messages.Pong
    ) -> None:
        """Record the positions that a witness reported."""
        positions = message.config_sequence, message.hosts_sequence
        if any(positions):
            self.witness_positions[host_id] = positions
        else:
            # A witness that is itself joining cannot confirm a version.
            self.joining_witnesses[host_id] = None

    def _is_remote(self, domain: str) -> bool:
        ring = self.plane.members.domain_rings[domain]
        return not len(ring) or (
            self.plane.members.hosts[ring.names[0]].region != self.plane.region
        )

    def _check_witnesses(self) -> None:
        waiting = len(self.witness_positions) + len(
            self.joining_witnesses
        ) < len(self.witnesses)
        if waiting and self.plane.now < self.witness_deadline:
            return
        if not self.witness_positions and not self.source_synced:
            self.start_from_source()
            return
        for log, index in ((CONFIG, 0), (HOSTS, 1)):
            newest = max(
                (
                    positions[index]
                    for positions in self.witness_positions.values()
                ),
                default=0,
            )
            if (
                self.plane.sequence(log) < newest
                and not self.plane.held_by_rules
            ):
                return
        self.phase = READY
        self.contacts.clear()
        self.plane.link_heard_at = self.plane.now
        self.plane.rank = self.plane.own_rank()
        self.plane.log("ready", version=self.plane.configuration.version)
