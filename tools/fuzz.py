"""Run the stateful tests with a given seed and number of steps."""

import argparse
import collections
import contextlib
import io
import pathlib
import sys
import traceback
from typing import Any

import hypothesis
from hypothesis import stateful

from tests import test_control_machine
from tests import test_fleet_machine
from tests import test_traffic_machine

MACHINES: dict[str, Any] = {
    "control": test_control_machine.ControlMachine,
    "traffic": test_traffic_machine.TrafficMachine,
    "fleet": test_fleet_machine.FleetMachine,
}
STEPS_PER_EXAMPLE = 40
RULE_PREFIX = "state."


class StepCounter:
    """Count the steps that a state machine runs."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()

    def wrap(self, machine: Any) -> Any:
        """Return a subclass of a state machine that counts its steps here."""
        counts = self.counts

        class CountingMachine(machine):  # type: ignore[misc]
            def check_invariants(
                self, settings: Any, *arguments: Any, **keywords: Any
            ) -> None:
                counts["steps"] += 1
                super().check_invariants(settings, *arguments, **keywords)

        CountingMachine.__name__ = machine.__name__
        CountingMachine.__qualname__ = machine.__qualname__
        return CountingMachine


def run_machine(machine: Any, seed: int, steps: int) -> tuple[int, str]:
    """Run a state machine for about the given number of steps.

    Returns the number of steps run and the text of a failure, if any.
    """
    counter = StepCounter()
    counting_machine = hypothesis.seed(seed)(counter.wrap(machine))
    settings = hypothesis.settings(
        max_examples=max(1, -(-steps // STEPS_PER_EXAMPLE)),
        stateful_step_count=min(steps, STEPS_PER_EXAMPLE),
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
        print_blob=False,
    )
    output = io.StringIO()
    failure = ""
    with contextlib.redirect_stdout(output):
        try:
            stateful.run_state_machine_as_test(
                counting_machine, settings=settings
            )
        except Exception as error:
            failure = format_failure(error) + output.getvalue()
    return counter.counts["steps"], failure


def format_failure(error: BaseException) -> str:
    """Return the error, where it was raised, and the steps that led to it."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    location = f"{pathlib.Path(frame.filename).name}:{frame.lineno}"
    lines = [f"{type(error).__name__}: {error} ({location})"]
    lines.extend(getattr(error, "__notes__", []))
    return "\n".join(lines) + "\n"


def main() -> int:
    """Run the selected machines; return 1 if one of them failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=200)
    parser.add_argument("--machine", choices=sorted(MACHINES), action="append")
    arguments = parser.parse_args()
    failed = False
    for name in arguments.machine or MACHINES:
        steps, failure = run_machine(
            MACHINES[name], arguments.seed, arguments.steps
        )
        verdict = "failed" if failure else "passed"
        print(f"{name}: seed={arguments.seed} steps={steps} {verdict}")
        if failure:
            failed = True
            print(failure)
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
