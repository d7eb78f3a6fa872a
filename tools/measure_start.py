"""Compare the startup cost of the binary with that of the environment.

Alternates between the two for each command, and prints the medians of the
elapsed and CPU time and the maximum resident memory.
"""

import json
import os
import pathlib
import statistics
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = str(ROOT / "dist" / "hickorythread")
ROUNDS = 15
PATCH = {
    "id": "p1",
    "base": 0,
    "operations": [{"op": "set_rules", "value": 1}],
}


class ProcessCost:
    """Hold the time and memory that one process used."""

    __slots__ = ("elapsed_ms", "cpu_ms", "memory_mb")

    def __init__(self, elapsed_ms, cpu_ms, memory_mb):
        self.elapsed_ms = elapsed_ms
        self.cpu_ms = cpu_ms
        self.memory_mb = memory_mb


def main():
    """Print one line for each command and each source it is run from."""
    folder = ROOT / "build"
    folder.mkdir(exist_ok=True)
    patch = folder / "measure-patch.json"
    patch.write_text(json.dumps(PATCH), encoding="utf-8")
    for arguments in (["--help"], ["check", str(patch)]):
        measure_startup(arguments)
    return 0


def measure_startup(arguments):
    """Measure one command run from the environment and from the binary."""
    commands = {
        "environment": [sys.executable, "-m", "hickorythread", *arguments],
        "binary": [sys.executable, "-I", BINARY, *arguments],
    }
    samples = {source: [] for source in commands}
    for _ in range(ROUNDS):
        for source, command in commands.items():
            samples[source].append(run_command(command))
    for source, costs in samples.items():
        elapsed = statistics.median(item.elapsed_ms for item in costs)
        cpu = statistics.median(item.cpu_ms for item in costs)
        memory = max(item.memory_mb for item in costs)
        sys.stdout.write(
            f"{arguments[0]:8} {source:12} elapsed {elapsed:4.0f} ms  "
            f"CPU {cpu:4.0f} ms  memory {memory:5.1f} MB\n"
        )


def run_command(command):
    """Run a command with its output discarded and return its cost."""
    started = time.monotonic()
    discard_output = [
        (os.POSIX_SPAWN_OPEN, descriptor, os.devnull, os.O_WRONLY, 0)
        for descriptor in (1, 2)
    ]
    child = os.posix_spawn(
        command[0],
        command,
        os.environ | {"PYTHONPATH": str(ROOT / "src")},
        file_actions=discard_output,
    )
    _, status, usage = os.wait4(child, 0)
    if os.waitstatus_to_exitcode(status) != 0:
        raise SystemExit(f"{' '.join(command)} failed")
    return ProcessCost(
        (time.monotonic() - started) * 1000,
        (usage.ru_utime + usage.ru_stime) * 1000,
        usage.ru_maxrss / 1024,
    )


if __name__ == "__main__":
    sys.exit(main())
