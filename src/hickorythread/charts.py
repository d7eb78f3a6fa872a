"""State charts: transition tables loaded from JSON files."""

import functools
from importlib import resources
import json

from hickorythread import exceptions


class Chart:
    """Hold the states and transitions of one chart."""

    __slots__ = ("name", "initial", "transitions")

    def __init__(
        self,
        name: str,
        initial: str,
        transitions: dict[str, dict[str, str]],
    ) -> None:
        self.name = name
        self.initial = initial
        self.transitions = transitions

    @classmethod
    @functools.cache
    def load(cls, name: str) -> "Chart":
        """Load and validate a chart that ships with the package.

        Raises InvariantError if a transition leads to an unknown state.
        """
        source = resources.files("hickorythread") / "charts" / f"{name}.json"
        document = json.loads(source.read_text(encoding="utf-8"))
        chart = cls(name, document["initial"], document["states"])
        chart.check()
        return chart

    def check(self) -> None:
        """Raise InvariantError unless every target state exists."""
        targets = {self.initial}
        for events in self.transitions.values():
            targets.update(events.values())
        unknown = targets - set(self.transitions)
        if unknown:
            raise exceptions.InvariantError(
                f"chart {self.name}: unknown states {sorted(unknown)}"
            )

    def allows(self, state: str, event: str) -> bool:
        """Return whether the chart has a transition for the event."""
        return event in self.transitions[state]

    def next(self, state: str, event: str) -> str:
        """Return the state after the event.

        Raises InvariantError if the chart lacks the transition.
        """
        target = self.transitions[state].get(event)
        if target is None:
            raise exceptions.InvariantError(
                f"chart {self.name}: no transition from {state} on {event}"
            )
        return target
