"""Decides when a node asks a peer whether its view is still current.

Each node tells a peer at short intervals what it knows, and the peer answers
with what it knows itself. The cost does not grow with the mesh: each node
sends one question and on average one answer in an interval.
"""

from collections.abc import Collection

from hickorythread import interfaces as base_interfaces

# A change has to be in force within two seconds. A question may get lost, or
# reach a peer that is behind as well, so that this leaves room for another.
CHECK_SECONDS = 0.5
# Nodes that others read for hear of each response of the source as well.
SHARED_CHECK_SECONDS = 1.0


class ViewChecks:
    """Choose which peer to ask, and when."""

    __slots__ = ("random_source", "asked_at")

    def __init__(
        self, random_source: base_interfaces.RandomSource, now: float
    ) -> None:
        self.random_source = random_source
        self.asked_at = now

    def peer_to_ask(
        self, connected: Collection[str], shared: bool, now: float
    ) -> str:
        """Return the host to ask now, empty if none is due."""
        interval = SHARED_CHECK_SECONDS if shared else CHECK_SECONDS
        if now - self.asked_at < interval or not connected:
            return ""
        self.asked_at = now
        return self.random_source.choice(list(connected))
