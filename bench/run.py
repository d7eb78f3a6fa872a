"""Run the benchmarks, write bench/results.json and check the bounds."""

import argparse
import importlib
import json
import pathlib
import sys
import time

RESULTS = pathlib.Path(__file__).parent / "results.json"
# The module and the benchmark functions of each suite. Suites that start
# processes come last, so that their load does not disturb the in-process ones.
SUITES = {
    "control": (
        "bench.control_bench",
        (
            "convergence",
            "idle_bytes",
            "role_bytes",
            "link_bytes",
            "source_reads",
            "cpu",
            "memory",
            "ring_updates",
        ),
    ),
    "traffic": ("bench.traffic_bench", ("measure_all",)),
    "pipeline": ("bench.pipeline_bench", ("measure",)),
    "process": ("bench.process_bench", ("measure",)),
    "path": ("bench.path_bench", ("measure",)),
}


def run_suite(name):
    """Run one suite and return its rows, labelled with the suite's name."""
    module_name, functions = SUITES[name]
    module = importlib.import_module(module_name)
    rows = []
    for function in functions:
        started = time.monotonic()
        measurements = getattr(module, function)()
        rows.extend({"suite": name} | row for row in measurements)
        elapsed = time.monotonic() - started
        print(f"# {name}.{function}: {elapsed:.1f} s", flush=True)
    return rows


def previous_values():
    """Return the values in the results file by suite and name."""
    if not RESULTS.exists():
        return {}
    rows = json.loads(RESULTS.read_text("utf-8"))
    return {(row["suite"], row["name"]): row["value"] for row in rows}


def add_baselines(rows, previous):
    """Set the previous value as baseline of rows that have none."""
    for row in rows:
        if row.get("baseline") is None:
            row["baseline"] = previous.get((row["suite"], row["name"]))


def format_value(value):
    """Format a number with four significant digits; None becomes "-"."""
    if value is None:
        return "-"
    if isinstance(value, bool) or not isinstance(value, int | float):
        return str(value)
    return f"{value:.4g}"


def print_table(rows):
    """Print a table with one line per measurement."""
    header = ("suite", "name", "value", "unit", "bound", "baseline", "ok")
    lines = [header] + [
        (
            row["suite"],
            row["name"],
            format_value(row["value"]),
            row["unit"],
            format_value(row["bound"]),
            format_value(row["baseline"]),
            "ok" if row["ok"] else "MISSED",
        )
        for row in rows
    ]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(header))
    ]
    for line in lines:
        cells = zip(line, widths, strict=True)
        print("  ".join(cell.ljust(width) for cell, width in cells).rstrip())


def main():
    """Run the named suites, or all; return 1 if a bound is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("suites", nargs="*", choices=[*SUITES, []])
    names = parser.parse_args().suites or list(SUITES)
    previous = previous_values()
    rows = []
    for name in names:
        rows.extend(run_suite(name))
    add_baselines(rows, previous)
    retained_rows = []
    if RESULTS.exists():
        retained_rows = [
            row
            for row in json.loads(RESULTS.read_text("utf-8"))
            if row["suite"] not in names
        ]
    text = json.dumps(retained_rows + rows, indent=1)
    RESULTS.write_text(text + "\n", "utf-8")
    print_table(rows)
    missed = [row["name"] for row in rows if not row["ok"]]
    print(f"{len(rows)} measurements, {len(missed)} bounds missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
