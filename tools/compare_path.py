"""Compare the CPU time per call of two source trees.

Each round measures both trees in turn, with calls through one node and through
two nodes. CPU time depends less on other load of the machine than latency
does. Prints the minima, which that load distorts least, and the medians over
the rounds.
"""

import argparse
import pathlib
import statistics
import sys
import tempfile
import time

from bench import path_bench
from tools import fleet


class MeasuredTree:
    """Run the nodes of one source tree; hold their CPU times and latencies."""

    def __init__(self, source, directory):
        program = ["/usr/bin/env", f"PYTHONPATH={source}", sys.executable]
        program += ["-W", "ignore", "-m", "hickorythread"]
        self.mesh = path_bench.Mesh(directory, program)
        self.cpu_seconds = {"whole": [], "entry": [], "owner": []}
        self.latencies = {"one node": [], "two nodes": []}

    def run(self, connections, seconds):
        """Measure calls through one node and through two nodes."""
        cpu_before = self._cpu_time("owner")
        count = self._send_calls("owner", "one node", connections, seconds)
        self.cpu_seconds["whole"].append(
            (self._cpu_time("owner") - cpu_before) / count
        )
        cpu_before = self._cpu_time("owner"), self._cpu_time("entry")
        count = self._send_calls("entry", "two nodes", connections, seconds)
        self.cpu_seconds["owner"].append(
            (self._cpu_time("owner") - cpu_before[0]) / count
        )
        self.cpu_seconds["entry"].append(
            (self._cpu_time("entry") - cpu_before[1]) / count
        )

    def _send_calls(self, node, label, connections, seconds):
        address = self.mesh.nodes[node]["caller_address"]
        caller = path_bench.Caller(address, connections)
        started = time.perf_counter()
        count, _ = caller.run_closed_loop(seconds)
        elapsed = time.perf_counter() - started
        caller.close()
        self.latencies[label].append(elapsed * connections / count)
        return count

    def _cpu_time(self, name):
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
    trees = {}
    with tempfile.TemporaryDirectory() as directory:
        try:
            for name, source in sources.items():
                folder = pathlib.Path(directory, name)
                folder.mkdir()
                trees[name] = MeasuredTree(source, folder)
                trees[name].mesh.start()
            for _ in range(options.rounds):
                for tree in trees.values():
                    tree.run(options.connections, options.seconds)
        finally:
            for tree in trees.values():
                tree.mesh.stop()
    for name, tree in trees.items():
        columns = [
            f"{metric} {min(values) * 1e6:4.0f} "
            f"({statistics.median(values) * 1e6:4.0f}) us"
            for metric, values in tree.cpu_seconds.items()
        ]
        columns += [
            f"{metric} {min(values) * 1e3:5.2f} "
            f"({statistics.median(values) * 1e3:5.2f}) ms"
            for metric, values in tree.latencies.items()
        ]
        print(f"{name:7}", "  ".join(columns))


if __name__ == "__main__":
    main()
