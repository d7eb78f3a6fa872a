"""Measure real node processes: memory, CPU time, startup and convergence.

One deployment of examples/ runs on loopback. The bounds are the targets for
one node on the design page. The figures under load are those of the node
that the callers connect to; the machine and the stand-ins limit the load.
"""

import os
import statistics
import sys
import tempfile
import time

import eventlet

from hickorythread import standins
from tools import fleet

MEMORY_BOUND_MB = 128.0
IDLE_CPU_BOUND_PERCENT = 2.8
CONVERGENCE_BOUND_SECONDS = 6.0
START_TIMEOUT_SECONDS = 15.0
IDLE_SECONDS = 5.0
BUSY_SECONDS = 5.0
BUSY_CALLS_PER_SECOND = 370
PATCHES = 5
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    """Return the resident set size of a process in MiB."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def cpu_seconds(pid):
    """Return the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def row(name, value, unit, bound=None):
    """Return one row; without a bound it is always ok."""
    return {
        "name": name,
        "value": round(value, 3),
        "unit": unit,
        "bound": bound,
        "ok": bound is None or value <= bound,
        "baseline": None,
    }


class ProcessBenchmark:
    """Run a fleet of node processes and the benchmarks on it in sequence."""

    def __init__(self, directory):
        self.layout = fleet.Layout("guild", directory)
        self.processes = fleet.Processes(fleet.find_program(), directory)
        self.fleet = fleet.Fleet(self.layout, self.processes)
        self.operators = fleet.OperatorClient(self.layout)
        self.names = list(self.layout.nodes)
        self.version = 1

    def run(self):
        """Run all benchmarks, return their rows and stop the processes."""
        try:
            self.start()
            return [
                *self.measure_idle(),
                self.measure_convergence(),
                *self.measure_busy(),
                self.measure_start(),
            ]
        finally:
            self.processes.stop()

    def start(self):
        self.fleet.start_stand_ins()
        self.wait_for(self.fleet.stand_ins_healthy, "stand-ins")
        self.fleet.start_nodes()
        self.operators.publish(self.layout.load_patch("patch-0001"))
        self.wait_for(lambda: self.operators.nodes_agree(1), "version 1")
        self.wait_for(
            lambda: all(map(self.operators.is_ready, self.names)), "nodes"
        )

    def wait_for(self, condition, description):
        """Wait until a condition holds and return the seconds that it took."""
        seconds = fleet.wait_until(condition, START_TIMEOUT_SECONDS, 0.01)
        if seconds is None:
            raise RuntimeError(f"{description} not ready before the timeout")
        return seconds

    def pids(self):
        return [self.processes.running[name].pid for name in self.names]

    def measure_idle(self):
        """Measure memory and CPU time of all nodes without calls."""
        before = [cpu_seconds(pid) for pid in self.pids()]
        started = time.monotonic()
        eventlet.sleep(IDLE_SECONDS)
        elapsed = time.monotonic() - started
        after = [cpu_seconds(pid) for pid in self.pids()]
        shares = [
            100 * (end - start) / elapsed
            for start, end in zip(before, after, strict=True)
        ]
        memory = max(map(memory_mb, self.pids()))
        return [
            row("process.idle_memory", memory, "MB", MEMORY_BOUND_MB),
            row(
                "process.idle_cpu_median",
                statistics.median(shares),
                "% of a core",
                IDLE_CPU_BOUND_PERCENT,
            ),
            row(
                "process.idle_cpu_max",
                max(shares),
                "% of a core",
                IDLE_CPU_BOUND_PERCENT,
            ),
        ]

    def measure_convergence(self):
        """Measure the slowest time until all nodes report a patch."""
        slowest = 0.0
        for _ in range(PATCHES):
            client_account = {"name": f"bench-{self.version}"}
            patch = {
                "id": f"bench-{self.version}",
                "base": self.version,
                "operations": [{"op": "put_tenant", "value": client_account}],
            }
            started = time.monotonic()
            self.operators.publish(patch)
            self.version += 1
            self.wait_for(
                lambda: self.operators.nodes_agree(self.version), "a patch"
            )
            slowest = max(slowest, time.monotonic() - started)
        return row(
            f"process.convergence_{len(self.names)}_nodes",
            slowest,
            "s",
            CONVERGENCE_BOUND_SECONDS,
        )

    def measure_busy(self):
        """Measure one entry node under a steady load of calls."""
        name = self.names[-1]
        node = self.layout.nodes[name]
        (template, *_) = standins.REQUEST_TEMPLATES["guild"]
        caller = standins.Caller([node["caller_address"]], [template])
        pid = self.processes.running[name].pid
        before, started = cpu_seconds(pid), time.monotonic()
        caller.run(BUSY_CALLS_PER_SECOND, BUSY_SECONDS)
        elapsed = time.monotonic() - started
        cpu_used = cpu_seconds(pid) - before
        complete = sum(
            result["outcome"] == "complete" for result in caller.results
        )
        return [
            row("process.busy_memory", memory_mb(pid), "MB", MEMORY_BOUND_MB),
            row("process.busy_calls", complete / elapsed, "calls/s"),
            row("process.busy_cpu", 100 * cpu_used / elapsed, "% of a core"),
        ]

    def measure_start(self):
        """Measure the time from the start of a node until it is ready."""
        name = self.names[0]
        self.processes.stop([name])
        self.fleet.start_node(name)
        seconds = self.wait_for(lambda: self.operators.is_ready(name), name)
        return row("process.start_until_ready", seconds, "s")


def measure():
    """Run all benchmarks and return their rows."""
    with tempfile.TemporaryDirectory(prefix="hickorythread-bench-") as path:
        return ProcessBenchmark(path).run()


if __name__ == "__main__":
    rows = measure()
    for measured_row in rows:
        print(measured_row)
    sys.exit(not all(measured_row["ok"] for measured_row in rows))
