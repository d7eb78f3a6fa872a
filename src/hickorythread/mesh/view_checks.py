"""Decides when a node asks others whether its view is still current.

A watch without an answer does not mean that nothing has changed: its answer
may have been lost. So each node tells a peer at short intervals what it
knows, and the peer answers with what it knows itself. All may have missed the
same change. Nodes that read for themselves therefore ask the source by turns,
beside their watches; the watches of the others end within seconds. A node that
no peer confirms does not wait for its turn.

The cost does not grow with the mesh: each node sends one question and on
average one answer in an interval, and all nodes of a group that take turns
send the source about one question a second for each topic.
"""

from collections.abc import Collection

from hickorythread import interfaces as base_interfaces

# A change has to be in force within two seconds. A question may get lost, or
# reach a peer that is behind as well, so that this leaves room for another.
CHECK_SECONDS = 0.5
# Nodes that others read for hear of each response of the source as well.
SHARED_CHECK_SECONDS = 1.0
UNCONFIRMED_SECONDS = 1.5
SOURCE_CHECK_SECONDS = 1.0
MIN_TURN_FACTOR = 0.5


class ViewChecks:
    """Choose whom to ask; remember when the view was last confirmed.

    confirmed_at is when a peer that is not behind was last heard of.
    """

    __slots__ = (
        "random_source",
        "asked_at",
        "confirmed_at",
        "source_asked_at",
        "turn_factor",
    )

    def __init__(
        self, random_source: base_interfaces.RandomSource, now: float
    ) -> None:
        self.random_source = random_source
        self.asked_at = now
        self.confirmed_at = now
        self.source_asked_at = now
        self.turn_factor = MIN_TURN_FACTOR + random_source.random()

    def peer_to_ask(
        self, connected: Collection[str], shared: bool, now: float
    ) -> str:
        """Return the host to ask now, empty if none is due."""
        interval = SHARED_CHECK_SECONDS if shared else CHECK_SECONDS
        if now - self.asked_at < interval or not connected:
            return ""
        self.asked_at = now
        return self.random_source.choice(list(connected))

    def record_confirmed(self, now: float) -> None:
        """Record that a peer knows at least what this node knows."""
        self.confirmed_at = now

    def source_due(self, nodes: int, now: float) -> bool:
        """Return whether to ask the source now.

        nodes is how many take turns, 0 if a node asks only unconfirmed.
        """
        if now - self.confirmed_at >= UNCONFIRMED_SECONDS:
            nodes = 1
        waited = now - self.source_asked_at
        turn = nodes * self.turn_factor * SOURCE_CHECK_SECONDS
        if not nodes or waited < turn:
            return False
        self.source_asked_at = now
        # Nodes that started together do not ask together.
        self.turn_factor = MIN_TURN_FACTOR + self.random_source.random()
        return True
