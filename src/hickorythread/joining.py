"""Bring a fresh node to the newest version before it serves."""

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
JOIN_SECONDS = 2.0
JOIN_SPREAD_SECONDS = 6.0
WITNESSES = 3
MAX_CONTACTS = 8


class Join:
    """Track how a fresh node reaches the newest version.

    It waits for a peer's contact, then for the versions that witnesses in
    different failure domains name, or reads the source without peers.
    """

    __slots__ = (
        "plane",
        "phase",
        "contact_until",
        "contacts",
        "witnesses",
        "answers",
        "fresh",
        "until",
        "source_read",
    )

    def __init__(
        self, plane: "control.ControlPlane", contact_until: float
    ) -> None:
        self.plane = plane
        self.phase = CONTACT
        self.contact_until = contact_until
        self.contacts: dict[str, None] = {}
        self.witnesses: list[str] = []
        self.answers: dict[str, tuple[int, int]] = {}
        self.fresh: dict[str, None] = {}
        self.until = 0.0
        self.source_read = False

    def meet(self, peer: events.Peer) -> None:
        """Remember and ping a peer that made contact."""
        contacts = self.contacts
        if peer.host_id in contacts or len(contacts) >= MAX_CONTACTS:
            return
        contacts[peer.host_id] = None
        self.plane.ping(peer.host_id)

    def progress(self) -> None:
        """Carry out the next step that is due."""
        if self.phase == CONTACT:
            if self.plane.sequence(HOSTS) > 0:
                self._ask_witnesses()
            elif self.plane.now >= self.contact_until:
                self.read_source()
        elif self.phase == SOURCE:
            self._progress_by_source()
        else:
            self._check_witnesses()

    def _progress_by_source(self) -> None:
        if all(self._at_head(log) for log in LOGS):
            self.source_read = True
            if self.witnesses:
                self.phase = WITNESS
            else:
                self._ask_witnesses()
        elif self.answers:
            self.phase = WITNESS
        elif self.plane.sequence(HOSTS) > 0 and self.plane.now >= self.until:
            # The source may stay down; a peer may answer meanwhile.
            self._ask_witnesses()
            self.phase = SOURCE

    def read_source(self) -> None:
        """Join through the source, as no peer can vouch for a version."""
        self.phase = SOURCE
        for log, watch in self.plane.watches.items():
            watch.checkpoint_due = self.plane.sequence(log) == 0
            watch.head = None

    def _at_head(self, log: str) -> bool:
        head = self.plane.watches[log].head
        return head is not None and self.plane.sequence(log) >= head

    def _ask_witnesses(self) -> None:
        self.phase = WITNESS
        self.until = self.plane.now + JOIN_SECONDS
        self.answers = {}
        self.fresh = {}
        self.witnesses = self._choose_witnesses()
        for name in self.witnesses:
            self.plane.ping(name)

    def _choose_witnesses(self) -> list[str]:
        domains = list(self.plane.members.domain_rings)
        self.plane.random_source.shuffle(domains)
        domains.sort(key=self._is_far)
        found: list[str] = []
        for domain in domains:
            name = self.plane.members.random_in_domain(domain)
            if name is not None and len(found) < WITNESSES:
                found.append(name)
        return found

    def take_answer(self, host_id: str, message: messages.Pong) -> None:
        """Note the positions that a witness named."""
        answer = message.config_sequence, message.hosts_sequence
        if any(answer):
            self.answers[host_id] = answer
        else:
            # A node that joins as well cannot vouch for a version.
            self.fresh[host_id] = None

    def _is_far(self, domain: str) -> bool:
        ring = self.plane.members.domain_rings[domain]
        return not len(ring) or (
            self.plane.members.hosts[ring.names[0]].region != self.plane.region
        )

    def _check_witnesses(self) -> None:
        waiting = len(self.answers) + len(self.fresh) < len(self.witnesses)
        if waiting and self.plane.now < self.until:
            return
        if not self.answers and not self.source_read:
            self.read_source()
            return
        for log, index in ((CONFIG, 0), (HOSTS, 1)):
            newest = max(
                (answer[index] for answer in self.answers.values()), default=0
            )
            if self.plane.sequence(log) < newest and not self.plane.held:
                return
        self.phase = READY
        self.contacts.clear()
        self.plane.link_heard_at = self.plane.now
        self.plane.rank = self.plane.own_rank()
        self.plane.log("ready", version=self.plane.configuration.version)
