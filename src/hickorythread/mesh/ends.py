"""Which target processes have ended or said that they are about to."""

import collections

from hickorythread.mesh import models

MAX_ENDS = 1024

# What told that a process ends, beside its registration and a probe: a
# response, or another node.
RESPONSE = "response"
PEER = "peer"


class End:
    """Hold the last process of a target id whose end is known.

    started_at_ms is the Unix time of its start, 0 if it reports none.
    """

    __slots__ = ("target_id", "host_id", "started_at_ms")

    def __init__(
        self, target_id: str, host_id: str, started_at_ms: int
    ) -> None:
        self.target_id = target_id
        self.host_id = host_id
        self.started_at_ms = started_at_ms


class EndedTargets:
    """Remember the ends of target processes; none is ever taken back.

    A later process with the same id is another one. The memory is bounded:
    the oldest ends are dropped first.
    """

    __slots__ = ("ends",)

    def __init__(self) -> None:
        self.ends: collections.OrderedDict[str, End] = (
            collections.OrderedDict()
        )

    def record(self, target_id: str, host_id: str, started_at_ms: int) -> bool:
        """Record an end; return whether it was not known."""
        known = self.ends.get(target_id)
        if known is not None and started_at_ms <= known.started_at_ms:
            return False
        self.ends[target_id] = End(target_id, host_id, started_at_ms)
        self.ends.move_to_end(target_id)
        if len(self.ends) > MAX_ENDS:
            self.ends.popitem(last=False)
        return True

    def covers(self, target_id: str, started_at_ms: int) -> bool:
        """Return whether a process with this start has ended."""
        end = self.ends.get(target_id)
        return end is not None and started_at_ms <= end.started_at_ms

    def includes(self, target: models.Target) -> bool:
        """Return whether a registration is that of an ended process."""
        return self.covers(target.id, target.started_at_ms)

    def forget_undated(self, target_id: str) -> None:
        """Drop an end without a start time, after the target was removed.

        Nothing else can tell a later process with this id from it.
        """
        end = self.ends.get(target_id)
        if end is not None and not end.started_at_ms:
            del self.ends[target_id]

    def on_host(self, host_id: str) -> list[End]:
        """Return the known ends of targets on a host."""
        return [end for end in self.ends.values() if end.host_id == host_id]
