"""Bound the work of one target: slots, warm-up rate and a queue."""

import heapq
from typing import Any

from hickorythread import exceptions
from hickorythread import readers

MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 1.0
LATENCY_SMOOTHING = 0.1
INITIAL_LATENCY_SECONDS = 0.1
MAX_ROUTES = 1024
MAX_QUEUE_PER_SLOT = 8
# Answers take up to this many mean latencies often enough to matter.
LATENCY_MARGIN = 2.0
# A route that is slow for its objective may still wait this share of it,
# or faster routes would take every slot.
MIN_WAIT_SHARE = 0.1


class SlotRequest:
    """Hold one request that asks for a slot.

    item belongs to the caller; late_at is when its answer loses value and
    deadline when nobody waits any more, both in monotonic seconds.
    """

    __slots__ = ("item", "route", "priority", "soft_deadline", "deadline")

    def __init__(
        self,
        item: Any,
        route: str,
        priority: int,
        soft_deadline: float,
        deadline: float,
    ) -> None:
        self.item = item
        self.route = route
        self.priority = priority
        self.soft_deadline = soft_deadline
        self.deadline = deadline


class Admission:
    """Decide which requests run, wait or are refused."""

    def __init__(self, slots: int, now: float) -> None:
        self.slots = slots
        self.running = 0
        self.queue: list[tuple[int, int, SlotRequest]] = []
        self.last_sequence = 0
        self.latency = INITIAL_LATENCY_SECONDS
        self.latencies: dict[str, float] = {}
        self.warmup_ends_at = 0.0
        self.bucket: readers.TokenBucket | None = None
        self.paused = True

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        if self.bucket is None:
            return self.slots
        cold = int(self.bucket.rate * self.latency)
        return max(1, min(self.slots, cold))

    def load(self, route: str = "") -> list[int]:
        """Return running and waiting requests, the limit and a latency.

        The latency is that of a route in ms, 0 if it is not known.
        """
        latency = self.latencies.get(route, 0.0)
        return [
            self.running,
            len(self.queue),
            self.limit,
            int(latency * 1000),
        ]

    def start_warmup(
        self, seconds: float, rate: float, burst: float, now: float
    ) -> None:
        """Limit the rate of starts until the target is warm.

        A report that ends sooner than an earlier one shortens the time.
        """
        if seconds <= 0.0:
            self.bucket = None
            self.warmup_ends_at = now
            return
        self.warmup_ends_at = now + seconds
        if self.bucket is None:
            self.bucket = readers.TokenBucket(rate, burst, now)

    def is_warming_up(self, now: float) -> bool:
        """Return whether the target still warms up."""
        if self.bucket is not None and now >= self.warmup_ends_at:
            self.bucket = None
        return self.bucket is not None

    def offer(
        self, work: SlotRequest, now: float
    ) -> tuple[bool, exceptions.Refusal | None]:
        """Return whether the work runs now, and its refusal if it never will.

        Work that neither runs nor is refused waits in the queue.
        """
        if not self.queue and self._may_start(now):
            self.running += 1
            return True, None
        wait = self.expected_wait(work.priority)
        latency = self.latencies.get(work.route, self.latency)
        if wait > self._max_wait(work, latency, now):
            return False, self.refusal("expected-wait", wait)
        if len(self.queue) >= MAX_QUEUE_PER_SLOT * self.slots:
            return False, self.refusal("queue-full", wait)
        self.last_sequence += 1
        heapq.heappush(self.queue, (work.priority, self.last_sequence, work))
        return False, None

    def _max_wait(
        self, work: SlotRequest, latency: float, now: float
    ) -> float:
        """Return how long work may wait and still be worth its slot."""
        in_time = work.soft_deadline - now - LATENCY_MARGIN * latency
        longest = max(in_time, MIN_WAIT_SHARE * (work.soft_deadline - now))
        return min(longest, work.deadline - now - latency)

    def expected_wait(self, priority: int) -> float:
        """Return the time until a new request of a priority would run."""
        ahead = sum(1 for entry in self.queue if entry[0] <= priority) + 1
        wait = ahead * self.latency / self.slots
        if self.bucket is not None:
            wait = max(wait, ahead / self.bucket.rate)
        return wait

    def refusal(self, reason: str, wait: float = 0.0) -> exceptions.Refusal:
        """Return the refusal of work that the target has no room for."""
        seconds = min(
            max(MIN_RETRY_AFTER_SECONDS, wait), MAX_RETRY_AFTER_SECONDS
        )
        return exceptions.Refusal(503, reason, "target is busy", seconds)

    def next_ready(self, now: float) -> SlotRequest | None:
        """Remove and return the next request that may run, if any."""
        if not self.queue or not self._may_start(now):
            return None
        self.running += 1
        return heapq.heappop(self.queue)[2]

    def remove_expired(self, now: float) -> list[SlotRequest]:
        """Remove the requests that could not be answered in time."""
        return self.remove_matching(
            lambda work: (
                now + 0.5 * self.latencies.get(work.route, self.latency)
                > work.deadline
            )
        )

    def remove_matching(self, predicate: Any) -> list[SlotRequest]:
        """Remove the queued requests for which doomed is true."""
        removed = [entry[2] for entry in self.queue if predicate(entry[2])]
        if removed:
            self.queue = [
                entry for entry in self.queue if entry[2] not in removed
            ]
            heapq.heapify(self.queue)
        return removed

    def release_slot(
        self, route: str = "", latency: float | None = None
    ) -> None:
        """Free a slot; latency is that of a complete answer."""
        self.running -= 1
        if latency is None:
            return
        self.latency += LATENCY_SMOOTHING * (latency - self.latency)
        if len(self.latencies) >= MAX_ROUTES:
            self.latencies.clear()
        known = self.latencies.get(route, latency)
        self.latencies[route] = known + LATENCY_SMOOTHING * (latency - known)

    def _may_start(self, now: float) -> bool:
        if self.paused or self.running >= self.slots:
            return False
        if not self.is_warming_up(now):
            return True
        assert self.bucket is not None
        return self.bucket.take(now)
