"""Admission control for one target: slots, rates of starts and a queue."""

import collections
import heapq
from typing import Any

from hickorythread import exceptions
from hickorythread import token_bucket
from hickorythread.mesh import reasons

MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 1.0
LATENCY_SMOOTHING = 0.1
INITIAL_LATENCY_SECONDS = 0.1
MAX_ROUTE_LATENCIES = 1024
MAX_QUEUE_PER_SLOT = 8
# A relevant share of the responses takes up to this many mean latencies.
LATENCY_MARGIN_FACTOR = 2.0
# Requests of a route that is slow for its objective may still wait for this
# share of it. Otherwise faster routes would take every slot.
MIN_WAIT_SHARE = 0.1
# The starts of so many seconds at the named rate may come in one bunch, so
# that uneven arrivals can use the rate.
RATE_BURST_SECONDS = 0.5
# A target that names a rate of 0 still gets a request from time to time. Its
# response tells whether the limit has ended.
TRIAL_RATE = 0.2
# A cold target tolerates a number of requests in each such time.
WARMUP_WINDOW_SECONDS = 1.0


class SlotRequest:
    """Describe a request that needs a slot.

    item is an opaque value of the caller. A response after soft_deadline is
    worth less to the client; after deadline the client no longer waits. Both
    are in monotonic seconds.
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
    """Decide whether a request runs now, is queued or is refused.

    Starts stay within the slots, within the warm-up rate of a cold target and
    within the rate limit that the target names, each if there is one.
    """

    def __init__(self, slots: int, now: float) -> None:
        self.slots = slots
        self.running = 0
        self.queue: list[tuple[int, int, SlotRequest]] = []
        self.last_sequence = 0
        self.latency = INITIAL_LATENCY_SECONDS
        self.latencies: dict[str, float] = {}
        self.warmup_ends_at = 0.0
        self.warmup: token_bucket.TokenBucket | None = None
        # When requests started within the last window.
        self.recent_starts: collections.deque[float] = collections.deque()
        self.rate_limit: token_bucket.TokenBucket | None = None
        # How much longer work takes at the moment than the latencies say.
        self.slowdown = 1.0
        self.paused = True

    @property
    def limit(self) -> int:
        """Return the number of concurrent requests that slots and rates allow.

        It is at least 1.
        """
        rate = min((bucket.rate for bucket in self._rates()), default=None)
        if rate is None:
            return self.slots
        return max(1, min(self.slots, round(rate * self.latency)))

    def load(self, route: str = "") -> list[int]:
        """Return the load as a list: what peers know of this target.

        It holds the running and queued requests, the limit, the latency of
        the route in ms, 0 if it is not known, and 1 under a rate limit, else
        0. Under a rate limit, a target with free slots counts as full by the
        starts that it lacks: what a request waits for is a start and not a
        slot.
        """
        latency = self.latencies.get(route, 0.0)
        limit = self.limit
        running = self.running
        if self.rate_limit is not None and running < self.slots:
            running = max(0, limit - int(self.rate_limit.tokens))
        return [
            running,
            len(self.queue),
            limit,
            int(latency * 1000),
            int(self.rate_limit is not None),
        ]

    def set_rate_limit(self, rate: float | None, now: float) -> None:
        """Limit the starts per second; None ends the limit.

        A new limit begins without a reserve, since the requests that started
        just before may already be more than it allows.
        """
        if rate is None:
            self.rate_limit = None
            return
        rate = max(rate, TRIAL_RATE)
        burst = max(1.0, rate * RATE_BURST_SECONDS)
        if self.rate_limit is None:
            self.rate_limit = token_bucket.TokenBucket(rate, burst, now, 0.0)
        else:
            self.rate_limit.change(rate, burst, now)

    def start_warmup(
        self,
        seconds: float,
        rate: float,
        burst: float,
        now: float,
        cold_since: float | None = None,
    ) -> None:
        """Limit the rate at which requests start until the target is warm.

        Each call replaces the end of the warm-up, also with an earlier time.
        The requests that have started since cold_since, now if it is None,
        count as well: the target was cold before this host heard of it.
        """
        if seconds <= 0.0:
            self.warmup = None
            self.warmup_ends_at = now
            return
        if self.warmup is None:
            since = now if cold_since is None else cold_since
            self.warmup = self._make_warmup(rate, burst, since, now)
        self.warmup_ends_at = now + seconds

    def _make_warmup(
        self, rate: float, burst: float, cold_since: float, now: float
    ) -> token_bucket.TokenBucket:
        """Return the bucket as if it had limited the starts since cold_since.

        Those of a warm-up that has just ended count as well. Starts beyond
        the limit leave it in debt, at most for one window.
        """
        window_start = now - WARMUP_WINDOW_SECONDS
        cold_starts = [
            started_at
            for started_at in self.recent_starts
            if started_at >= window_start
            and (started_at >= cold_since or started_at < self.warmup_ends_at)
        ]
        begins_at = min(cold_starts, default=now)
        bucket = token_bucket.TokenBucket(rate, burst, begins_at)
        for started_at in cold_starts:
            bucket.refill(started_at)
            bucket.tokens -= 1.0
        bucket.refill(now)
        bucket.tokens = max(bucket.tokens, -rate * WARMUP_WINDOW_SECONDS)
        return bucket

    def is_warming_up(self, now: float) -> bool:
        """Return whether the target is still warming up."""
        if self.warmup is not None and now >= self.warmup_ends_at:
            self.warmup = None
        return self.warmup is not None

    def offer(
        self, request: SlotRequest, now: float
    ) -> tuple[bool, exceptions.Refusal | None]:
        """Return whether the request runs now, and its refusal if refused.

        A request that neither runs nor is refused is queued.
        """
        if not self.queue and self._may_start(now):
            self.running += 1
            return True, None
        reason, wait = self.expected_wait(request.priority, now)
        latency = self.latencies.get(request.route, self.latency)
        latency *= self.slowdown
        if wait > self._max_wait(request, latency, now):
            return False, self.refusal(reason, wait)
        if len(self.queue) >= MAX_QUEUE_PER_SLOT * self.slots:
            return False, self.refusal(reasons.QUEUE_FULL, wait)
        self.last_sequence += 1
        heapq.heappush(
            self.queue, (request.priority, self.last_sequence, request)
        )
        return False, None

    def _max_wait(
        self, request: SlotRequest, latency: float, now: float
    ) -> float:
        """Return the longest wait after which a response is still useful."""
        wait_in_time = (
            request.soft_deadline - now - LATENCY_MARGIN_FACTOR * latency
        )
        max_wait = max(
            wait_in_time, MIN_WAIT_SHARE * (request.soft_deadline - now)
        )
        return min(max_wait, request.deadline - now - latency)

    def expected_wait(self, priority: int, now: float) -> tuple[str, float]:
        """Return what a new request waits for, and the expected seconds."""
        ahead = sum(1 for entry in self.queue if entry[0] <= priority) + 1
        wait = ahead * self.latency * self.slowdown / self.slots
        if self.warmup is not None:
            # In debt, the first start takes longer than one at the rate.
            rate_wait = ahead / self.warmup.rate
            wait = max(wait, rate_wait, self.warmup.wait(ahead, now))
        if self.rate_limit is not None:
            limit_wait = self.rate_limit.wait(ahead, now)
            if limit_wait > wait:
                return reasons.RATE_LIMIT, limit_wait
        return reasons.EXPECTED_WAIT, wait

    def refusal(self, reason: str, wait: float = 0.0) -> exceptions.Refusal:
        """Return the refusal of a request that exceeds the capacity."""
        seconds = min(
            max(MIN_RETRY_AFTER_SECONDS, wait), MAX_RETRY_AFTER_SECONDS
        )
        return exceptions.Refusal(503, reason, "target is busy", seconds)

    def next_ready(self, now: float) -> SlotRequest | None:
        """Remove and return the next queued request that may run, or None."""
        if not self.queue or not self._may_start(now):
            return None
        self.running += 1
        return heapq.heappop(self.queue)[2]

    def remove_expired(self, now: float) -> list[SlotRequest]:
        """Remove the queued requests that would miss their deadline.

        Under a rate limit that includes those whose turn comes too late: more
        urgent requests have come since, or the limit has changed.
        """
        if self.rate_limit is not None:
            self.rate_limit.refill(now)
        expired: set[SlotRequest] = set()
        position = 0
        for _, _, request in sorted(self.queue):
            starts_at = now
            if self.rate_limit is not None:
                starts_at += self.rate_limit.wait(position + 1, now)
            latency = self.latencies.get(request.route, self.latency)
            if starts_at + 0.5 * latency > request.deadline:
                expired.add(request)
            else:
                position += 1
        return self.remove_matching(expired.__contains__) if expired else []

    def remove_matching(self, predicate: Any) -> list[SlotRequest]:
        """Remove and return the queued requests that match a predicate."""
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
        """Free a slot and record the latency if the response is complete."""
        self.running -= 1
        if latency is None:
            return
        self.latency += LATENCY_SMOOTHING * (latency - self.latency)
        if len(self.latencies) >= MAX_ROUTE_LATENCIES:
            self.latencies.clear()
        known = self.latencies.get(route, latency)
        self.latencies[route] = known + LATENCY_SMOOTHING * (latency - known)

    def _may_start(self, now: float) -> bool:
        if self.paused or self.running >= self.slots:
            return False
        self.is_warming_up(now)
        rates = self._rates()
        if not all(bucket.has_token(now) for bucket in rates):
            return False
        for bucket in rates:
            bucket.take(now)
        self._record_start(now)
        return True

    def _record_start(self, now: float) -> None:
        self.recent_starts.append(now)
        while now - self.recent_starts[0] >= WARMUP_WINDOW_SECONDS:
            self.recent_starts.popleft()

    def _rates(self) -> list[token_bucket.TokenBucket]:
        return [
            bucket
            for bucket in (self.warmup, self.rate_limit)
            if bucket is not None
        ]
