"""Reports what a sidecar lacks: lines of its log, and memory."""

import sys

from hickorythread import logs
from hickorythread import memory_budget

DROP_REPORT_SECONDS = 1.0


class Reports:
    """Log when lines are dropped and when the memory budget binds."""

    __slots__ = (
        "decisions",
        "memory",
        "reported_lines",
        "next_report_at",
        "memory_binds",
    )

    def __init__(
        self, decisions: logs.DecisionLog, memory: memory_budget.MemoryBudget
    ) -> None:
        self.decisions = decisions
        self.memory = memory
        self.reported_lines = 0
        self.next_report_at = 0.0
        self.memory_binds = False

    def check(self, now: float) -> None:
        """Log what has changed since the last check."""
        self._report_dropped(now)
        self._report_memory(now)

    def dropped_lines(self) -> int:
        """Return how many log lines exceeded a limit or were not written."""
        return self.decisions.dropped + logs.dropped_lines(sys.stdout)

    def _report_dropped(self, now: float) -> None:
        dropped = self.dropped_lines()
        if dropped > self.reported_lines and now >= self.next_report_at:
            self.next_report_at = now + DROP_REPORT_SECONDS
            self.reported_lines = dropped
            logs.warning("lines_dropped", total=dropped)

    def _report_memory(self, now: float) -> None:
        budget = self.memory
        budget.update(now)
        if budget.binding == self.memory_binds:
            return
        self.memory_binds = budget.binding
        logs.warning(
            "memory_budget",
            binding=budget.binding,
            used=budget.used,
            capacity=budget.capacity,
            refused=sum(budget.refused.values()),
            reclaimed=budget.reclaimed,
        )
