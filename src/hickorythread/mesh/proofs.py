"""Decides until when a topic of the view is known, and when to ask again.

A watch without an answer proves nothing: the source, or one connection to it,
may be silent. What proves that a topic is current is an answer of the source,
or a node nearby that holds the same and has such a proof itself. If there has
been none for a while, the first node of the group in rank asks the source for
what the watch should have returned, and tells the others. The next in rank
waits a moment longer, and so takes over if the first one can't tell.

A node passes on only what the source has answered to it, but for the contacts
of a group, which relay it once. Otherwise nodes could confirm each other what
none of them has been told, since the time that a message takes is not known.

So the calls to the source grow with the number of groups and not with that of
the nodes, as long as the first nodes of each group reach it.
"""

import math

# A change has to be in force within two seconds: it is found after this time
# and a few turns at the latest, and then has to spread.
PROOF_SECONDS = 0.9
# How much longer each further node in rank waits, and up to how many turns.
TURN_SECONDS = 0.15
MAX_TURNS = 4
# A node whose calls fail asks less often: the source may be away.
FAILED_FACTOR = 2.0
# A reader that has no younger proof for both topics has no contact.
CONTACT_SECONDS = 1.5
# How long a watch may take to return a change that is known from elsewhere,
# and to return at all once its wait is over.
RETURN_SECONDS = 0.5
OVERDUE_SECONDS = 1.0
# A proof that is later by less is the one that is known, after a detour.
MIN_GAIN_SECONDS = 0.3
# Entries of targets do not lapse in a shorter outage.
OUTAGE_SECONDS = 2.0


class TopicProof:
    """Hold the time up to which all changes of one topic are known.

    proven_at is the latest such time, own_at the latest that an answer to this
    node has proven, and heard_at when the last proof came. The
    watcher has sent the call that it waits for at called_at, None between
    calls, and the source may wait wait seconds before it answers. A check was
    last sent at asked_at. missed_at is when a change became known that the
    open call has not returned, and doubted_at when a check got no answer
    while it was open. has_failed tells whether a call has failed since the
    last proof.
    """

    __slots__ = (
        "proven_at",
        "own_at",
        "heard_at",
        "called_at",
        "wait",
        "asked_at",
        "missed_at",
        "doubted_at",
        "has_failed",
    )

    def __init__(self, now: float) -> None:
        # Nothing has been proven yet; the first call is on its way.
        self.proven_at = -math.inf
        self.own_at = -math.inf
        self.heard_at = now
        self.called_at: float | None = None
        self.wait = 0.0
        self.asked_at = now
        self.missed_at: float | None = None
        self.doubted_at: float | None = None
        self.has_failed = False

    def age(self, now: float) -> float:
        """Return how many seconds ago the topic was last proven current.

        Infinite if it never was.
        """
        return now - self.proven_at

    def own_age(self, now: float) -> float:
        """Return how many seconds ago an answer to this node proved it."""
        return now - self.own_at

    def record_answer(self, proven_at: float, now: float) -> bool:
        """Record what an answer to this node proves; see record()."""
        self.own_at = max(self.own_at, proven_at)
        return self.record(proven_at, now)

    def record(self, proven_at: float, now: float) -> bool:
        """Record a proof that all changes up to a time are known.

        Returns whether it ends an outage of the source.
        """
        gain = proven_at - self.proven_at
        if gain <= 0:
            return False
        self.proven_at = proven_at
        if gain < MIN_GAIN_SECONDS:
            return False
        self.heard_at = now
        ends_outage = self.has_failed and gain >= OUTAGE_SECONDS
        self.has_failed = False
        return ends_outage

    # The watch.

    def call_started(self, wait: float, now: float) -> None:
        """Record that the watcher sends a call."""
        self.called_at = now
        self.wait = wait
        self.missed_at = self.doubted_at = None

    def call_answered(self, has_changes: bool, now: float) -> bool:
        """Record that the call was answered; return if an outage ends.

        The answer may have been long on its way. It was written after the
        call was sent and, if it has no changes, after the wait was over.
        """
        called_at, self.called_at = self.called_at, None
        if called_at is None:
            return False
        written_at = called_at if has_changes else called_at + self.wait
        if now < written_at:
            return False
        return self.record_answer(written_at, now)

    def call_failed(self) -> None:
        """Record that the call was not answered."""
        self.called_at = None
        self.has_failed = True

    def change_learned(self, now: float) -> None:
        """Record that a change has become known beside the open call."""
        if self.called_at is not None and self.missed_at is None:
            self.missed_at = now

    def is_watch_dead(self, now: float) -> bool:
        """Return whether the open watch will not be answered any more.

        Calls that do not wait have a short time limit of their own.
        """
        if self.called_at is None or not self.wait:
            return False
        if self.missed_at is not None:
            return now - self.missed_at >= RETURN_SECONDS
        if self.doubted_at is not None:
            return self.proven_at > self.doubted_at
        due = self.called_at + self.wait
        return now - due >= OVERDUE_SECONDS and self.proven_at > due

    # Checks.

    def check_due(self, rank: int, now: float) -> bool:
        """Return whether the node of a rank asks the source now."""
        interval = PROOF_SECONDS + min(rank, MAX_TURNS) * TURN_SECONDS
        if self.has_failed:
            interval *= FAILED_FACTOR
        return now - max(self.heard_at, self.asked_at) >= interval

    def check_started(self, now: float) -> None:
        """Record that a check is sent."""
        self.asked_at = now

    def check_failed(self, silent: bool, now: float) -> None:
        """Record that a check was refused, or not answered at all."""
        self.has_failed = True
        if silent and self.called_at is not None:
            self.doubted_at = now
