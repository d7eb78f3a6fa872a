"""Count the memory of the calls that other nodes have sent."""

from hickorythread import memory_budget
from hickorythread import messages as base_messages
from hickorythread.mesh import messages
from hickorythread.mesh import reasons

CallKey = tuple[str, int]


class CallMemory:
    """Hold the memory of each accepted call until its reply is sent."""

    __slots__ = ("budget", "holds")

    def __init__(self, budget: memory_budget.MemoryBudget) -> None:
        self.budget = budget
        self.holds: dict[CallKey, memory_budget.Hold] = {}

    def accept(self, key: CallKey, call: messages.Forward) -> bool:
        """Count a call; return False if there is no room for it."""
        size = len(call.body)
        hold = self.budget.take(
            memory_budget.REQUEST_BYTES + size, memory_budget.use_of_body(size)
        )
        if hold is None:
            return False
        self.adopt(key, hold)
        return True

    def adopt(self, key: CallKey, hold: memory_budget.Hold) -> None:
        """Keep memory that is counted already until the call ends."""
        self.release(key)
        self.holds[key] = hold

    def release(self, key: CallKey) -> None:
        """Give back the memory of a call, if it is counted."""
        hold = self.holds.pop(key, None)
        if hold is not None:
            hold.release()

    def may_queue(self, size: int) -> bool:
        """Return whether a message with a body of a size may be queued.

        Short ones always may: most leave without a queue.
        """
        return size <= memory_budget.SMALL_BYTES or self.budget.make_room(
            2 * size, memory_budget.IN_HAND
        )


def refuse(call: messages.Forward) -> base_messages.Reply:
    """Return the reply to a call that is not run for lack of memory."""
    return base_messages.Reply(
        call.call_id,
        messages.NOT_RUN,
        503,
        [],
        b"",
        0,
        reasons.MEMORY,
        memory_budget.RETRY_AFTER_SECONDS,
        [],
    )


def without_body(reply: base_messages.Reply) -> base_messages.Reply:
    """Return what to send in place of a reply that has no room."""
    return base_messages.Reply(
        reply.call_id,
        messages.UNKNOWN,
        502,
        [],
        b"",
        0,
        reasons.MEMORY,
        0.0,
        reply.load,
        reply.ending_target,
    )
