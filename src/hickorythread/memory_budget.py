"""Share out the memory that a process may use for requests and responses.

Bytes are taken before they are received or copied, and given back when they
are dropped. What each use may take depends on how much is in use already, so
that requests with small bodies are still accepted when large ones are not,
and the responses to accepted requests still fit.
"""

from collections.abc import Callable
import sys

MIB = 1024 * 1024
# The interpreter, the modules, the view of the mesh and short-lived copies.
PROCESS_BYTES = 64 * MIB
MIN_CAPACITY_BYTES = 8 * MIB
# The rest of the memory above PROCESS_BYTES is for connections and for the
# overhead of the allocator.
CAPACITY_SHARE = 0.6
CONNECTIONS_SHARE = 0.25
CONNECTION_BYTES = 24 * 1024
MIN_CONNECTIONS = 64
SMALL_BYTES = 16 * 1024
# What an open request takes besides its body.
REQUEST_BYTES = 8 * 1024
# A peer that moves fewer bytes in this time is slow. Its bytes may be
# reclaimed. A slow reader has more time: its request has run.
PROGRESS_BYTES = 64 * 1024
SLOW_SENDER_SECONDS = 2.0
SLOW_READER_SECONDS = 5.0
CALM_SECONDS = 1.0
# The budget binds until this part of it has been free for large bodies.
CALM_DIVISOR = 4
RETRY_AFTER_SECONDS = 1.0

EndCallback = Callable[[], None]


class Use:
    """Tell what bytes are for; share is the part that may be in use then."""

    __slots__ = ("name", "share")

    def __init__(self, name: str, share: float) -> None:
        self.name = name
        self.share = share


LARGE_BODY = Use("large_body", 0.6)
SMALL_BODY = Use("small_body", 0.8)
# Copies of requests and responses on their way, and responses.
IN_HAND = Use("in_hand", 1.0)
USES = (LARGE_BODY, SMALL_BODY, IN_HAND)


class Hold:
    """Hold a part of a budget.

    on_end is called to reclaim the bytes of a slow peer. It has to release
    the hold. progressed_at is the time at which the peer had moved
    PROGRESS_BYTES, or at which the hold began to wait for it.
    """

    __slots__ = (
        "budget",
        "size",
        "on_end",
        "slow_after",
        "progressed_at",
        "moved_bytes",
    )

    def __init__(self, budget: "MemoryBudget") -> None:
        self.budget = budget
        self.size = 0
        self.on_end: EndCallback | None = None
        self.slow_after = 0.0
        self.progressed_at = 0.0
        self.moved_bytes = 0

    def grow(self, size: int, use: Use) -> bool:
        """Take more bytes; return False, with nothing taken, without room."""
        budget = self.budget
        if budget.used + size > use.share * budget.capacity:
            if not budget.make_room(size, use):
                return False
        self.size += size
        budget.used += size
        return True

    def shrink(self, size: int) -> None:
        """Give back a part of the bytes, at most all of them."""
        size = min(size, self.size)
        self.size -= size
        self.budget.used -= size

    def release(self) -> None:
        """Give back all bytes; may be called again."""
        self.budget.used -= self.size
        self.size = 0
        if self.on_end is not None:
            self.end_wait()

    def wait_for_peer(self, on_end: EndCallback, slow_after: float) -> None:
        """Let the bytes be reclaimed once the peer is slow."""
        self.on_end = on_end
        self.slow_after = slow_after
        self.progressed_at = self.budget.monotonic()
        self.moved_bytes = 0
        self.budget.waiting[self] = None

    def progress(self, size: int) -> None:
        """Record that the peer has sent or taken so many bytes."""
        self.moved_bytes += size
        if self.moved_bytes >= PROGRESS_BYTES:
            self.moved_bytes = 0
            self.progressed_at = self.budget.monotonic()

    def end_wait(self) -> None:
        """Record that the bytes do not wait for a peer any more."""
        self.on_end = None
        self.budget.waiting.pop(self, None)

    def is_slow(self, now: float) -> bool:
        """Return whether the peer has been slow for too long."""
        return now - self.progressed_at >= self.slow_after


class MemoryBudget:
    """Hold the bytes that a process may use for requests and responses.

    used never exceeds capacity. refused counts the takes without room, by
    use, and reclaimed the holds that were ended. binding is True from a
    refusal until there has been room for CALM_SECONDS.
    """

    __slots__ = (
        "capacity",
        "monotonic",
        "used",
        "waiting",
        "refused",
        "reclaimed",
        "binding",
        "tight_at",
    )

    def __init__(self, capacity: int, monotonic: Callable[[], float]) -> None:
        self.capacity = capacity
        self.monotonic = monotonic
        self.used = 0
        self.waiting: dict[Hold, None] = {}
        self.refused = dict.fromkeys(USES, 0)
        self.reclaimed = 0
        self.binding = False
        self.tight_at = 0.0

    @classmethod
    def from_memory(
        cls, memory_mb: float, monotonic: Callable[[], float]
    ) -> "MemoryBudget":
        """Return the budget of a process that may use so much memory."""
        capacity = int(CAPACITY_SHARE * _free_bytes(memory_mb))
        return cls(max(MIN_CAPACITY_BYTES, capacity), monotonic)

    @classmethod
    def unlimited(cls) -> "MemoryBudget":
        """Return a budget without a limit."""
        return cls(sys.maxsize, lambda: 0.0)

    def hold(self) -> Hold:
        """Return an empty hold."""
        return Hold(self)

    def take(self, size: int, use: Use) -> Hold | None:
        """Return a hold of so many bytes, None if there is no room."""
        hold = Hold(self)
        return hold if hold.grow(size, use) else None

    def has_room(self, size: int, use: Use) -> bool:
        """Return whether so many bytes may be taken now."""
        return self.used + size <= use.share * self.capacity

    def make_room(self, size: int, use: Use) -> bool:
        """Return whether bytes may be taken; ends slow holds if they help."""
        if self.used + size <= use.share * self.capacity:
            return True
        now = self.monotonic()
        if size <= use.share * self.capacity:
            self._reclaim(size, use, now)
        if self.has_room(size, use):
            return True
        self.refused[use] += 1
        self.binding = True
        self.tight_at = now
        return False

    def update(self, now: float) -> None:
        """End slow holds while the budget binds; called periodically."""
        if not self.binding:
            return
        if not self.has_room(self.capacity // CALM_DIVISOR, LARGE_BODY):
            self.tight_at = now
        self._end(self._slow_holds(now))
        if now - self.tight_at >= CALM_SECONDS:
            self.binding = False

    def _reclaim(self, size: int, use: Use, now: float) -> None:
        """End slow holds until there is room."""
        for hold in self._slow_holds(now):
            if self.has_room(size, use):
                return
            self._end([hold])

    def _slow_holds(self, now: float) -> list[Hold]:
        """Return the holds of slow peers, those of senders first."""
        slow = [hold for hold in self.waiting if hold.is_slow(now)]
        slow.sort(key=lambda hold: (hold.slow_after, hold.progressed_at))
        return slow

    def _end(self, holds: list[Hold]) -> None:
        for hold in holds:
            on_end = hold.on_end
            if on_end is not None:
                self.reclaimed += 1
                on_end()


def use_of_body(size: int) -> Use:
    """Return the use of a request body of a size."""
    return SMALL_BODY if size <= SMALL_BYTES else LARGE_BODY


def max_connections(memory_mb: float) -> int:
    """Return for how many connections a process has memory."""
    share = CONNECTIONS_SHARE * _free_bytes(memory_mb)
    return max(MIN_CONNECTIONS, int(share / CONNECTION_BYTES))


def _free_bytes(memory_mb: float) -> float:
    """Return the memory that a process needs for nothing else."""
    return max(0.0, memory_mb * MIB - PROCESS_BYTES)
