"""Run real sidecars on loopback under load and faults from a seed."""

import argparse
import json
import pathlib
import shutil
import sys
import tempfile

from tools.loopback import sidecar_process
from tools.loopback import soak

MAX_SECONDS = 900.0
MAX_HOSTS = 64
MAX_PRINTED = 50


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument(
        "--faults",
        default="",
        help="kinds of faults, separated by commas; drawn if not given",
    )
    parser.add_argument(
        "--program-root",
        type=pathlib.Path,
        default=sidecar_process.ROOT,
        help="folder of the checkout whose sidecars are run",
    )
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="sidecar-soak-"))
    run = soak.Soak(
        folder,
        options.seed,
        min(options.hosts, MAX_HOSTS),
        [kind for kind in options.faults.split(",") if kind],
        options.program_root,
    )
    broken = run.run(min(options.seconds, MAX_SECONDS))
    print(json.dumps(run.summarize()), flush=True)
    for item in broken[:MAX_PRINTED]:
        print(item)
    print(f"{len(broken)} broken promises, seed {options.seed}", flush=True)
    if broken:
        print(f"logs: {folder}; hickorythread trace ID {folder}/*.log")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
