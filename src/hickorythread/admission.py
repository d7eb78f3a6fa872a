"""Bound the work of one upstream: adaptive limit, ramp and fair queue."""

import collections
import math
from typing import Any

from hickorythread import exceptions
from hickorythread import models

QUEUE_FACTOR = 2
MAX_WAIT_SECONDS = 0.1
DECREASE = 0.7
SLOW_FACTOR = 2.0
COLD_FACTOR = 5.0
COLD_REPLIES = 3
MIN_BASELINE_SAMPLES = 20
MAX_BASELINES = 256
BASELINE_SMOOTHING = 0.02
LATENCY_SMOOTHING = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0


class Waiting:
    """Hold one queued call; item belongs to the caller of Admission."""

    __slots__ = ("item", "tenant", "weight", "write", "alone", "expires_at")

    def __init__(
        self,
        item: Any,
        tenant: str,
        weight: int,
        write: bool,
        alone: bool,
        expires_at: float,
    ) -> None:
        self.item = item
        self.tenant = tenant
        self.weight = weight
        self.write = write
        self.alone = alone
        self.expires_at = expires_at


class FairQueue:
    """Serve tenants in turn, each with as many calls as its weight."""

    __slots__ = ("tenants", "credit", "size")

    def __init__(self) -> None:
        self.tenants: collections.OrderedDict[
            str, collections.deque[Waiting]
        ] = collections.OrderedDict()
        self.credit = 0
        self.size = 0

    def push(self, waiting: Waiting) -> None:
        """Append a call to the queue of its tenant."""
        queue = self.tenants.get(waiting.tenant)
        if queue is None:
            queue = self.tenants[waiting.tenant] = collections.deque()
        queue.append(waiting)
        self.size += 1

    def pop(self) -> Waiting:
        """Remove the next call in turn."""
        tenant, queue = next(iter(self.tenants.items()))
        waiting = queue.popleft()
        self.size -= 1
        self.credit = (self.credit or waiting.weight) - 1
        if not queue:
            del self.tenants[tenant]
            self.credit = 0
        elif self.credit <= 0:
            self.tenants.move_to_end(tenant)
            self.credit = 0
        return waiting

    def share(self, tenant: str, weight: int) -> float:
        """Return the queued calls of a tenant over its weight."""
        return len(self.tenants.get(tenant, ())) / weight

    def pop_newest_of_largest(self) -> Waiting:
        """Remove the newest call of the tenant with the largest share."""
        tenant, queue = max(
            self.tenants.items(),
            key=lambda item: len(item[1]) / item[1][0].weight,
        )
        waiting = queue.pop()
        self.size -= 1
        if not queue:
            if next(iter(self.tenants)) == tenant:
                self.credit = 0
            del self.tenants[tenant]
        return waiting

    def largest_share(self) -> float:
        """Return the largest number of queued calls over a weight."""
        return max(
            (len(queue) / queue[0].weight for queue in self.tenants.values()),
            default=0.0,
        )

    def remove_if(self, doomed: Any) -> list[Waiting]:
        """Remove and return the calls for which doomed is true."""
        removed = []
        for tenant, queue in list(self.tenants.items()):
            gone = [waiting for waiting in queue if doomed(waiting)]
            if gone:
                kept = [waiting for waiting in queue if waiting not in gone]
                queue.clear()
                queue.extend(kept)
                removed.extend(gone)
                if not kept:
                    if next(iter(self.tenants)) == tenant:
                        self.credit = 0
                    del self.tenants[tenant]
        self.size -= len(removed)
        return removed


class Admission:
    """Hold the limit, the ramp and the queue of one upstream.

    generation counts cold starts: replies to runs of an earlier generation
    do not advance the ramp.
    """

    __slots__ = (
        "service",
        "limit",
        "in_flight",
        "connections",
        "connect_at",
        "generation",
        "ramp_limit",
        "ramp_due",
        "ramp_replies",
        "writes",
        "reads",
        "alone",
        "alone_runs",
        "queued",
        "baselines",
        "latency",
        "slow_replies",
        "slow_since",
        "window_ratio",
        "window_count",
        "window_failed",
    )

    def __init__(self, service: models.Service) -> None:
        self.service = service
        self.in_flight = 0
        self.connections = 0
        self.connect_at = 0.0
        self.generation = 0
        self.writes = FairQueue()
        self.reads = FairQueue()
        self.alone: collections.deque[Waiting] = collections.deque()
        self.alone_runs = False
        self.queued = 0
        self.baselines: dict[str, list[float]] = {}
        self.latency = 0.0
        self.window_ratio = 0.0
        self.window_count = 0
        self.window_failed = False
        self.start_cold()

    def start_cold(self) -> None:
        """Restart the ramp; its first step begins with the first reply."""
        self.generation += 1
        self.limit = float(self.service.slots)
        self.ramp_limit: int | None = 1
        self.ramp_due: float | None = None
        self.ramp_replies = 0
        self.slow_replies = 0
        self.slow_since = 0.0
        self.connections = self.in_flight
        self._start_window()

    def change_service(self, service: models.Service) -> None:
        """Take a new number of slots without a cold start."""
        if service.slots > self.service.slots:
            self.limit = float(service.slots)
            if self.ramp_limit is None:
                self.ramp_limit = self.service.slots
                self.ramp_due = None
        self.service = service
        self.limit = min(self.limit, float(service.slots))

    @property
    def effective_limit(self) -> int:
        """Return how many calls may run now."""
        limit = int(self.limit)
        return (
            limit if self.ramp_limit is None else min(limit, self.ramp_limit)
        )

    def load(self) -> list[int]:
        """Return what each reply reports: in flight, queue, limit, ramp."""
        return [
            self.in_flight,
            self.queued,
            self.effective_limit,
            int(self.ramp_limit is not None),
        ]

    def may_start(self, now: float) -> bool:
        """Return whether one more call may run now."""
        if self.alone_runs or self.in_flight >= self.effective_limit:
            return False
        return self.in_flight < self.connections or now >= self.connect_at

    def started(self, now: float, alone: bool = False) -> None:
        """Count a call that goes to the upstream."""
        if self.in_flight >= self.connections:
            self.connections += 1
            self.connect_at = now + self.service.connect_ms / 1000
        self.in_flight += 1
        self.alone_runs = alone

    def is_free(self, now: float, alone: bool = False) -> bool:
        """Return whether a call may run without waiting for others."""
        if self.queued or (alone and self.in_flight):
            return False
        return self.may_start(now)

    def enqueue(
        self, waiting: Waiting, now: float
    ) -> tuple[exceptions.Refusal | None, Waiting | None]:
        """Queue a call; return its refusal or the call that it evicts."""
        limit = self.effective_limit
        expected = (self.queued + 1) * self.latency / limit
        if now + expected >= waiting.expires_at:
            return self.refusal("expected-wait", expected), None
        evicted = None
        if self.queued >= QUEUE_FACTOR * limit:
            evicted = self._evict(waiting)
            if evicted is None:
                return self.refusal("queue-full", expected), None
        if waiting.alone:
            self.alone.append(waiting)
        elif waiting.write:
            self.writes.push(waiting)
        else:
            self.reads.push(waiting)
        self.queued += 1
        return None, evicted

    def refusal(
        self, reason: str, expected: float = 0.0
    ) -> exceptions.Refusal:
        """Return the refusal of a call that was shed."""
        seconds = max(MIN_RETRY_AFTER_SECONDS, expected)
        return exceptions.Refusal(503, reason, "upstream is busy", seconds)

    def take_expired(self, now: float) -> list[Waiting]:
        """Remove the calls that waited too long."""
        return self.take_if(lambda waiting: waiting.expires_at <= now)

    def take_if(self, doomed: Any) -> list[Waiting]:
        """Remove the queued calls for which doomed is true."""
        if not self.queued:
            return []
        removed = self.writes.remove_if(doomed) + self.reads.remove_if(doomed)
        for waiting in [item for item in self.alone if doomed(item)]:
            self.alone.remove(waiting)
            removed.append(waiting)
        self.queued -= len(removed)
        return removed

    def next_ready(self, now: float) -> Waiting | None:
        """Remove and return the next call that may run, if any."""
        if not self.queued or not self.may_start(now):
            return None
        if self.alone and self.in_flight:
            # Nothing else starts until the upstream is empty.
            return None
        self.queued -= 1
        if self.alone:
            return self.alone.popleft()
        return self.writes.pop() if self.writes.size else self.reads.pop()

    def succeeded(
        self, route: str, latency: float, generation: int, now: float
    ) -> bool:
        """Note a reply; True if it shows that the upstream turned cold."""
        self.ended()
        self.latency += LATENCY_SMOOTHING * (latency - self.latency)
        if generation != self.generation:
            return False
        ratio = self._ratio(route, latency)
        slow = ratio > COLD_FACTOR
        if slow and self.slow_replies == 0:
            self.slow_since = now
        self.slow_replies = self.slow_replies + 1 if slow else 0
        if self.ramp_limit is not None:
            if not slow:
                self._advance_ramp(now)
        elif (
            self.slow_replies >= COLD_REPLIES
            and now - latency >= self.slow_since
        ):
            # One pause of the host makes all replies in flight slow; a cold
            # upstream is slow for requests that start later as well.
            self.start_cold()
            return True
        self._adapt(ratio, failed=False)
        return False

    def failed(
        self, generation: int, now: float, overloaded: bool = False
    ) -> None:
        """Note an error, or a refusal or timeout that shows overload."""
        self.ended()
        if generation != self.generation:
            return
        if self.ramp_due is not None:
            self.ramp_due = now + self._ramp_step()
            self.ramp_replies = 0
        if overloaded:
            self._adapt(1.0, failed=True)

    def ended(self, lost: bool = False) -> None:
        """Count a call that ended; lost if its connection is gone."""
        self.in_flight -= 1
        self.alone_runs = False
        if lost:
            self.connections = max(self.in_flight, self.connections - 1)

    def _evict(self, newcomer: Waiting) -> Waiting | None:
        queue = self.reads if self.reads.size else self.writes
        if not (newcomer.write or queue is self.reads):
            return None
        over_reads = newcomer.write and queue is self.reads
        if not queue.size or not (
            over_reads or self._exceeds_share(queue, newcomer)
        ):
            return None
        self.queued -= 1
        return queue.pop_newest_of_largest()

    def _exceeds_share(self, queue: FairQueue, newcomer: Waiting) -> bool:
        share = queue.share(newcomer.tenant, newcomer.weight)
        return queue.largest_share() > share + 1 / newcomer.weight

    def _ratio(self, route: str, latency: float) -> float:
        baseline = self.baselines.get(route)
        if baseline is None:
            if len(self.baselines) >= MAX_BASELINES:
                self.baselines.clear()
            self.baselines[route] = [latency, 1.0]
            return 1.0
        mean, count = baseline
        ratio = latency / mean if mean > 0.0 else 1.0
        weight = max(1.0 / (count + 1.0), BASELINE_SMOOTHING)
        # A capped sample lets a lasting change through, but slowly.
        baseline[0] = mean + weight * (min(latency, 2.0 * mean) - mean)
        baseline[1] = count + 1.0
        return ratio if count >= MIN_BASELINE_SAMPLES else 1.0

    def _adapt(self, ratio: float, failed: bool) -> None:
        self.window_ratio += ratio
        self.window_count += 1
        if failed and not self.window_failed:
            self.window_failed = True
            self.limit = max(1.0, self.limit * DECREASE)
        if self.window_count < self.limit:
            return
        if not self.window_failed:
            if self.window_ratio > SLOW_FACTOR * self.window_count:
                self.limit = max(1.0, self.limit * DECREASE)
            else:
                slots = float(self.service.slots)
                self.limit = min(slots, self.limit + 1.0)
        self._start_window()

    def _start_window(self) -> None:
        self.window_ratio = 0.0
        self.window_count = 0
        self.window_failed = False

    def _advance_ramp(self, now: float) -> None:
        assert self.ramp_limit is not None
        self.ramp_replies += 1
        if self.ramp_due is None:
            self.ramp_due = now + self._ramp_step()
            self.ramp_replies = 0
        elif now >= self.ramp_due and self.ramp_replies > 0:
            self.ramp_limit *= 2
            self.ramp_due = now + self._ramp_step()
            self.ramp_replies = 0
            if self.ramp_limit >= self.service.slots:
                self.ramp_limit = None

    def _ramp_step(self) -> float:
        steps = math.log2(max(self.service.slots, 2))
        return self.service.ramp_seconds / steps
