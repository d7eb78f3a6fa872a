"""Remembers which peers know more than this node, and when to ask them.

What a peer knows already, the source usually tells this node in a moment. So
it asks the peer only if that has not happened after a while.
"""

from collections.abc import Container

from hickorythread.mesh import exchange
from hickorythread.mesh import messages
from hickorythread.mesh import view as mesh_view


class NewerViews:
    """Choose whom to ask for what a view lacks.

    version holds the host that holds a newer version, its number and the time
    at which to ask, notice the same for a notice. A host that is no longer
    connected is forgotten, so that another one can take its place.
    """

    __slots__ = ("view", "version", "notice")

    def __init__(self, view: mesh_view.View) -> None:
        self.view = view
        self.version: tuple[str, int, float] | None = None
        self.notice: tuple[str, messages.ViewNotice, float] | None = None

    def version_seen(self, host_id: str, version: int, due: float) -> None:
        """Record the version that a peer holds if it is newer."""
        if version <= self.view.version:
            return
        if self.version is None:
            self.version = (host_id, version, due)
        elif version > self.version[1]:
            self.version = (host_id, version, self.version[2])

    def notice_received(
        self, host_id: str, notice: messages.ViewNotice, due: float
    ) -> None:
        """Record the notice of a peer if it knows more."""
        if self.notice is None and exchange.knows_more(self.view, notice):
            self.notice = (host_id, notice, due)

    def holder_of_version(self, connected: Container[str], now: float) -> str:
        """Return the host to ask for a newer version, empty if none."""
        if self.version is None:
            return ""
        holder, version, due = self.version
        if version <= self.view.version or holder not in connected:
            self.version = None
            return ""
        return holder if now >= due else ""

    def holder_of_view(self, connected: Container[str], now: float) -> str:
        """Return the host to ask for a newer view, empty if none.

        It is returned once; if it does not answer, its next notice counts.
        """
        if self.notice is None:
            return ""
        holder, notice, due = self.notice
        knows_more = exchange.knows_more(self.view, notice)
        if holder not in connected or not knows_more:
            self.notice = None
            return ""
        if now < due:
            return ""
        self.notice = None
        return holder
