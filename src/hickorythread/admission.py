"""Admission control of a target: limit, slow start, fair queue."""

import collections
import math
from typing import Any

from hickorythread import exceptions
from hickorythread import models

QUEUE_FACTOR = 2
MAX_WAIT_SECONDS = 0.1
LIMIT_DECREASE_FACTOR = 0.7
OVERLOAD_LATENCY_RATIO = 2.0
COLD_LATENCY_RATIO = 5.0
MIN_COLD_REPLIES = 3
MIN_BASELINE_SAMPLES = 20
MAX_BASELINES = 256
BASELINE_SMOOTHING = 0.02
LATENCY_SMOOTHING = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0


class QueuedCall:
    """Hold a queued call; item is opaque to this module."""

    __slots__ = (
        "item",
        "client_account",
        "weight",
        "write",
        "exclusive",
        "expires_at",
    )

    def __init__(
        self,
        item: Any,
        client_account: str,
        weight: int,
        write: bool,
        exclusive: bool,
        expires_at: float,
    ) -> None:
        self.item = item
        self.client_account = client_account
        self.weight = weight
        self.write = write
        self.exclusive = exclusive
        self.expires_at = expires_at


class FairQueue:
    """Queue the calls of client accounts in weighted round-robin order.

    The turn of a client account is as many calls as its weight.
    """

    __slots__ = ("client_accounts", "credit", "size")

    def __init__(self) -> None:
        self.client_accounts: collections.OrderedDict[
            str, collections.deque[QueuedCall]
        ] = collections.OrderedDict()
        self.credit = 0
        self.size = 0

    def push(self, call: QueuedCall) -> None:
        """Append a call to the queue of its client account."""
        queue = self.client_accounts.get(call.client_account)
        if queue is None:
            queue = self.client_accounts[call.client_account] = (
                collections.deque()
            )
        queue.append(call)
        self.size += 1

    def pop(self) -> QueuedCall:
        """Remove and return the next call in turn."""
        client_account, queue = next(iter(self.client_accounts.items()))
        call = queue.popleft()
        self.size -= 1
        self.credit = (self.credit or call.weight) - 1
        if not queue:
            del self.client_accounts[client_account]
            self.credit = 0
        elif self.credit <= 0:
            self.client_accounts.move_to_end(client_account)
            self.credit = 0
        return call

    def weighted_size(self, client_account: str, weight: int) -> float:
        """Return a client account's queued calls divided by its weight."""
        return len(self.client_accounts.get(client_account, ())) / weight

    def pop_newest_of_largest(self) -> QueuedCall:
        """Remove and return the newest call of one client account.

        It is the client account of largest weighted size.
        """
        client_account, queue = max(
            self.client_accounts.items(),
            key=lambda item: len(item[1]) / item[1][0].weight,
        )
        call = queue.pop()
        self.size -= 1
        if not queue:
            if next(iter(self.client_accounts)) == client_account:
                self.credit = 0
            del self.client_accounts[client_account]
        return call

    def largest_weighted_size(self) -> float:
        """Return the largest weighted size of all client accounts."""
        return max(
            (
                len(queue) / queue[0].weight
                for queue in self.client_accounts.values()
            ),
            default=0.0,
        )

    def remove_if(self, predicate: Any) -> list[QueuedCall]:
        """Remove and return the calls that match the predicate."""
        removed = []
        for client_account, queue in list(self.client_accounts.items()):
            matching = [call for call in queue if predicate(call)]
            if matching:
                kept = [call for call in queue if call not in matching]
                queue.clear()
                queue.extend(kept)
                removed.extend(matching)
                if not kept:
                    if next(iter(self.client_accounts)) == client_account:
                        self.credit = 0
                    del self.client_accounts[client_account]
        self.size -= len(removed)
        return removed


class Admission:
    """Hold the concurrency limit, slow start and queue of one target.

    The ramp is the slow start of a cold target: ramp_limit doubles in
    steps up to the number of slots, and is None after that. generation
    counts cold starts: replies to runs of an earlier generation neither
    advance the ramp nor change the limit.
    """

    __slots__ = (
        "service",
        "limit",
        "in_flight",
        "connections",
        "next_connect_at",
        "generation",
        "ramp_limit",
        "next_ramp_step_at",
        "ramp_replies",
        "writes",
        "reads",
        "exclusive_calls",
        "exclusive_running",
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
        self.next_connect_at = 0.0
        self.generation = 0
        self.writes = FairQueue()
        self.reads = FairQueue()
        self.exclusive_calls: collections.deque[QueuedCall] = (
            collections.deque()
        )
        self.exclusive_running = False
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
        self.next_ramp_step_at: float | None = None
        self.ramp_replies = 0
        self.slow_replies = 0
        self.slow_since = 0.0
        self.connections = self.in_flight
        self._start_window()

    def change_service(self, service: models.Service) -> None:
        """Apply a changed number of slots without a cold start."""
        if service.slots > self.service.slots:
            self.limit = float(service.slots)
            if self.ramp_limit is None:
                self.ramp_limit = self.service.slots
                self.next_ramp_step_at = None
        self.service = service
        self.limit = min(self.limit, float(service.slots))

    @property
    def effective_limit(self) -> int:
        """Return how many calls may run at once."""
        limit = int(self.limit)
        return (
            limit if self.ramp_limit is None else min(limit, self.ramp_limit)
        )

    def load(self) -> list[int]:
        """Return the load in replies: in flight, queued, limit, ramping."""
        return [
            self.in_flight,
            self.queued,
            self.effective_limit,
            int(self.ramp_limit is not None),
        ]

    def may_start(self, now: float) -> bool:
        """Return whether one more call may run now."""
        if self.exclusive_running or self.in_flight >= self.effective_limit:
            return False
        return self.in_flight < self.connections or now >= self.next_connect_at

    def started(self, now: float, exclusive: bool = False) -> None:
        """Count a call that is sent to the target."""
        if self.in_flight >= self.connections:
            self.connections += 1
            self.next_connect_at = now + self.service.connect_ms / 1000
        self.in_flight += 1
        self.exclusive_running = exclusive

    def is_free(self, now: float, exclusive: bool = False) -> bool:
        """Return whether a call may run without waiting for others."""
        if self.queued or (exclusive and self.in_flight):
            return False
        return self.may_start(now)

    def enqueue(
        self, call: QueuedCall, now: float
    ) -> tuple[exceptions.Refusal | None, QueuedCall | None]:
        """Queue a call; return its refusal, or None and the evicted call."""
        limit = self.effective_limit
        expected = (self.queued + 1) * self.latency / limit
        if now + expected >= call.expires_at:
            return self.refusal("expected-wait", expected), None
        evicted = None
        if self.queued >= QUEUE_FACTOR * limit:
            evicted = self._evict(call)
            if evicted is None:
                return self.refusal("queue-full", expected), None
        if call.exclusive:
            self.exclusive_calls.append(call)
        elif call.write:
            self.writes.push(call)
        else:
            self.reads.push(call)
        self.queued += 1
        return None, evicted

    def refusal(
        self, reason: str, expected: float = 0.0
    ) -> exceptions.Refusal:
        """Return the refusal for a call that is shed."""
        seconds = max(MIN_RETRY_AFTER_SECONDS, expected)
        return exceptions.Refusal(503, reason, "upstream is busy", seconds)

    def remove_expired(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls that waited too long."""
        return self.remove_if(lambda call: call.expires_at <= now)

    def remove_if(self, predicate: Any) -> list[QueuedCall]:
        """Remove and return the queued calls that match the predicate."""
        if not self.queued:
            return []
        removed = self.writes.remove_if(predicate) + self.reads.remove_if(
            predicate
        )
        for call in [item for item in self.exclusive_calls if predicate(item)]:
            self.exclusive_calls.remove(call)
            removed.append(call)
        self.queued -= len(removed)
        return removed

    def pop_ready(self, now: float) -> QueuedCall | None:
        """Remove and return the next call that may run, if any."""
        if not self.queued or not self.may_start(now):
            return None
        if self.exclusive_calls and self.in_flight:
            # The next call is exclusive: it starts once none is in flight.
            return None
        self.queued -= 1
        if self.exclusive_calls:
            return self.exclusive_calls.popleft()
        return self.writes.pop() if self.writes.size else self.reads.pop()

    def succeeded(
        self, route: str, latency: float, generation: int, now: float
    ) -> bool:
        """Record a reply; True if it shows that the target became cold."""
        self.ended()
        self.latency += LATENCY_SMOOTHING * (latency - self.latency)
        if generation != self.generation:
            return False
        ratio = self._latency_ratio(route, latency)
        slow = ratio > COLD_LATENCY_RATIO
        if slow and self.slow_replies == 0:
            self.slow_since = now
        self.slow_replies = self.slow_replies + 1 if slow else 0
        if self.ramp_limit is not None:
            if not slow:
                self._advance_ramp(now)
        elif (
            self.slow_replies >= MIN_COLD_REPLIES
            and now - latency >= self.slow_since
        ):
            # A pause of the host slows all calls in flight at that time; a
            # cold target also slows a call that starts after the first
            # slow reply.
            self.start_cold()
            return True
        self._adjust_limit(ratio, failed=False)
        return False

    def failed(
        self, generation: int, now: float, overloaded: bool = False
    ) -> None:
        """Record an error; overloaded if it is a refusal or a timeout."""
        self.ended()
        if generation != self.generation:
            return
        if self.next_ramp_step_at is not None:
            self.next_ramp_step_at = now + self._ramp_step_seconds()
            self.ramp_replies = 0
        if overloaded:
            self._adjust_limit(1.0, failed=True)

    def ended(self, lost: bool = False) -> None:
        """Count a call that ended; lost if its connection was closed."""
        self.in_flight -= 1
        self.exclusive_running = False
        if lost:
            self.connections = max(self.in_flight, self.connections - 1)

    def _evict(self, incoming: QueuedCall) -> QueuedCall | None:
        queue = self.reads if self.reads.size else self.writes
        if not (incoming.write or queue is self.reads):
            return None
        displaces_read = incoming.write and queue is self.reads
        if not queue.size or not (
            displaces_read or self._exceeds_fair_share(queue, incoming)
        ):
            return None
        self.queued -= 1
        return queue.pop_newest_of_largest()

    def _exceeds_fair_share(
        self, queue: FairQueue, incoming: QueuedCall
    ) -> bool:
        weighted_size = queue.weighted_size(
            incoming.client_account, incoming.weight
        )
        return (
            queue.largest_weighted_size() > weighted_size + 1 / incoming.weight
        )

    def _latency_ratio(self, route: str, latency: float) -> float:
        baseline = self.baselines.get(route)
        if baseline is None:
            if len(self.baselines) >= MAX_BASELINES:
                self.baselines.clear()
            self.baselines[route] = [latency, 1.0]
            return 1.0
        mean, count = baseline
        ratio = latency / mean if mean > 0.0 else 1.0
        weight = max(1.0 / (count + 1.0), BASELINE_SMOOTHING)
        # Samples are capped at twice the mean, so that outliers barely move
        # the baseline while a lasting change still does, slowly.
        baseline[0] = mean + weight * (min(latency, 2.0 * mean) - mean)
        baseline[1] = count + 1.0
        return ratio if count >= MIN_BASELINE_SAMPLES else 1.0

    def _adjust_limit(self, ratio: float, failed: bool) -> None:
        self.window_ratio += ratio
        self.window_count += 1
        if failed and not self.window_failed:
            self.window_failed = True
            self.limit = max(1.0, self.limit * LIMIT_DECREASE_FACTOR)
        if self.window_count < self.limit:
            return
        if not self.window_failed:
            if self.window_ratio > OVERLOAD_LATENCY_RATIO * self.window_count:
                self.limit = max(1.0, self.limit * LIMIT_DECREASE_FACTOR)
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
        if self.next_ramp_step_at is None:
            self.next_ramp_step_at = now + self._ramp_step_seconds()
            self.ramp_replies = 0
        elif now >= self.next_ramp_step_at and self.ramp_replies > 0:
            self.ramp_limit *= 2
            self.next_ramp_step_at = now + self._ramp_step_seconds()
            self.ramp_replies = 0
            if self.ramp_limit >= self.service.slots:
                self.ramp_limit = None

    def _ramp_step_seconds(self) -> float:
        steps = math.log2(max(self.service.slots, 2))
        return self.service.ramp_seconds / steps
