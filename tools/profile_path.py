"""Profile the nodes of bench/path_bench.py under full load.

By default calls are sent to the owner node first, which serves them alone, and
then to the entry node, which forwards them to the owner.
"""

import argparse
import pathlib
import sys
import tempfile

from bench import path_bench
from tools import fleet


class ProfiledMesh(path_bench.Mesh):
    """Run the nodes of a mesh under tools/profile_node.py."""

    def _start_node(self, name, path):
        self.processes.program = [
            "/usr/bin/env",
            f"PYTHONPATH={fleet.ROOT / 'src'}",
            sys.executable,
            "-W",
            "ignore",
            str(fleet.ROOT / "tools" / "profile_node.py"),
        ]
        super()._start_node(name, path)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--through", nargs="*", default=["owner", "entry"])
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        mesh = ProfiledMesh(directory)
        try:
            mesh.start()
            for name in options.through:
                caller = path_bench.Caller(
                    mesh.nodes[name]["caller_address"], options.connections
                )
                print(name, caller.run_closed_loop(options.seconds))
                caller.close()
            mesh.processes.stop(list(mesh.nodes))
            for name in mesh.nodes:
                text = pathlib.Path(directory, f"{name}.log").read_text()
                print(f"== {name}")
                print(text[text.find("-- file alone") :])
        finally:
            mesh.stop()


if __name__ == "__main__":
    main()
