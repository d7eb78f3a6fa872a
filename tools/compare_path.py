"""Compare the processor time per call of two source trees, alternately.

Each round sends the same number of calls through one node and through two
nodes of each tree. Processor time depends less on the other load of the
machine than latency does. Prints the minima, which it disturbs least, and
the medians over the rounds.
"""

import argparse
import pathlib
import statistics
import sys
import tempfile
import time

from bench import path_bench
from tools import fleet


class Side:
    """Run the nodes of one source tree and collect their costs."""

    def __init__(self, source, directory):
        program = ["/usr/bin/env", f"PYTHONPATH={source}", sys.executable]
        program += ["-W", "ignore", "-m", "hickorythread"]
        self.mesh = path_bench.Mesh(directory, program)
        self.costs = {"whole": [], "entry": [], "owner": []}
        self.latencies = {"one node": [], "two nodes": []}

    def run(self, connections, seconds):
        """Measure calls through one and through two nodes."""
        used = self._cpu("owner")
        count = self._call("owner", "one node", connections, seconds)
        self.costs["whole"].append((self._cpu("owner") - used) / count)
        used = self._cpu("owner"), self._cpu("entry")
        count = self._call("entry", "two nodes", connections, seconds)
        self.costs["owner"].append((self._cpu("owner") - used[0]) / count)
        self.costs["entry"].append((self._cpu("entry") - used[1]) / count)

    def _call(self, node, label, connections, seconds):
        address = self.mesh.nodes[node]["caller_address"]
        caller = path_bench.Caller(address, connections)
        started = time.perf_counter()
        count, _ = caller.run_closed_loop(seconds)
        elapsed = time.perf_counter() - started
        caller.close()
        self.latencies[label].append(elapsed * connections / count)
        return count

    def _cpu(self, name):
        pid = self.mesh.processes.running[name].pid
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text("ascii")
        return int(text.split()[0]) / 1e9


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("base", help="src directory of the earlier version")
    parser.add_argument("--rounds", type=int, default=16)
    parser.add_argument("--connections", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=0.25)
    options = parser.parse_args()
    sources = {
        "before": pathlib.Path(options.base).resolve(),
        "after": fleet.ROOT / "src",
    }
    sides = {}
    with tempfile.TemporaryDirectory() as directory:
        try:
            for name, source in sources.items():
                folder = pathlib.Path(directory, name)
                folder.mkdir()
                sides[name] = Side(source, folder)
                sides[name].mesh.start()
            for _ in range(options.rounds):
                for side in sides.values():
                    side.run(options.connections, options.seconds)
        finally:
            for side in sides.values():
                side.mesh.stop()
    for name, side in sides.items():
        shown = [
            f"{part} {min(values) * 1e6:4.0f} "
            f"({statistics.median(values) * 1e6:4.0f}) us"
            for part, values in side.costs.items()
        ]
        shown += [
            f"{part} {min(values) * 1e3:5.2f} "
            f"({statistics.median(values) * 1e3:5.2f}) ms"
            for part, values in side.latencies.items()
        ]
        print(f"{name:7}", "  ".join(shown))


if __name__ == "__main__":
    main()
