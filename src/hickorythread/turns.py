"""Shares the process among tasks whose peers always have more to send.

A read suspends its task only when nothing has arrived. A peer that sends fast
enough would keep the process to one task, and no deadline of another would be
looked at.
"""

import eventlet

# Short beside the time that a request may take, long beside that of a switch.
UNITS_PER_TURN = 256
# What a receive of up to 64 KiB and the handling of a request or of a message
# count; a line or a chunk counts 1.
RECEIVE_UNITS = 16
MESSAGE_UNITS = 16


class Turn:
    """Count what a task has done since other tasks could run."""

    __slots__ = ("units",)

    def __init__(self) -> None:
        self.units = 0

    def restart(self) -> None:
        """Record that the task was suspended."""
        self.units = 0

    def spend(self, units: int = 1) -> bool:
        """Count work; let other tasks run, and return True, after a turn."""
        self.units += units
        if self.units < UNITS_PER_TURN:
            return False
        self.units = 0
        eventlet.sleep(0)
        return True
