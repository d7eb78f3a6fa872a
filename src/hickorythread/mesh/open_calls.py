"""The calls of an entry node that have no reply yet."""

import heapq

from hickorythread.mesh import pending_request

MAX_STALE_TIMERS = 256


class OpenCalls:
    """Find open calls by their id, by their request and by their timeout."""

    __slots__ = ("by_call_id", "by_number", "timers")

    def __init__(self) -> None:
        self.by_call_id: dict[int, pending_request.PendingRequest] = {}
        self.by_number: dict[int, pending_request.PendingRequest] = {}
        self.timers: list[tuple[float, int]] = []

    def add(self, pending: pending_request.PendingRequest, due: float) -> None:
        """Add a call whose request times out at the monotonic time due."""
        self.by_call_id[pending.call_id] = pending
        self.by_number[pending.request.number] = pending
        heapq.heappush(self.timers, (due, pending.call_id))
        if len(self.timers) > 2 * len(self.by_call_id) + MAX_STALE_TIMERS:
            self._rebuild_timers()

    def remove(self, pending: pending_request.PendingRequest) -> None:
        """Remove a call."""
        del self.by_call_id[pending.call_id]
        self.by_number.pop(pending.request.number, None)

    def next_expired(
        self, now: float
    ) -> pending_request.PendingRequest | None:
        """Return a call that has timed out, None if there is none."""
        while self.timers and self.timers[0][0] <= now:
            _, call_id = heapq.heappop(self.timers)
            pending = self.by_call_id.get(call_id)
            if pending is not None:
                return pending
        return None

    def to_host(self, host_id: str) -> list[pending_request.PendingRequest]:
        """Return the calls to a host."""
        return [
            pending
            for pending in self.by_call_id.values()
            if pending.host_id == host_id
        ]

    def on_stream(
        self, stream_id: int
    ) -> list[pending_request.PendingRequest]:
        """Return the calls that a stream carries."""
        return [
            pending
            for pending in self.by_call_id.values()
            if pending.stream_id == stream_id
        ]

    def oldest_by_stream(self) -> dict[int, float]:
        """Return when the oldest call on each stream was sent."""
        oldest: dict[int, float] = {}
        for pending in self.by_call_id.values():
            if pending.stream_id:
                sent_at = oldest.get(pending.stream_id, pending.sent_at)
                oldest[pending.stream_id] = min(sent_at, pending.sent_at)
        return oldest

    def _rebuild_timers(self) -> None:
        self.timers = [
            timer for timer in self.timers if timer[1] in self.by_call_id
        ]
        heapq.heapify(self.timers)
