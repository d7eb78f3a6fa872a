"""Plot bench/results.json and write bench/report.md."""

import json
import pathlib
import re
import sys

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = ROOT / "bench" / "results.json"
REPORT = ROOT / "bench" / "report.md"
PLOTS_FOLDER = ROOT / "bench" / "plots"
# Plots by file name: title, pattern of row names, and labels of the axes. The
# group of the pattern is the value on the x axis.
SERIES = {
    "convergence": (
        "Convergence of one patch",
        r"convergence_seconds_(\d+)$",
        "nodes",
        "seconds (simulated)",
    ),
    "patch_bytes": (
        "Bytes sent per node for one patch",
        r"patch_bytes_per_node_(\d+)$",
        "nodes",
        "bytes",
    ),
    "cold_start": (
        "Most work in flight at a cold upstream",
        r"traffic\.cold_work\.(\d+)s$",
        "seconds since the start",
        "requests in flight",
    ),
    "removal_guild": (
        "Requests sent to hobart after its removal",
        r"traffic\.guild\.hobart\.sent_after_removal\.(\d+)s$",
        "seconds since the removal",
        "requests",
    ),
    "removal_cooperative": (
        "Requests sent to oyo-b after its removal",
        r"traffic\.cooperative\.oyo-b\.sent_after_removal\.(\d+)s$",
        "seconds since the removal",
        "requests",
    ),
    "host_list_memory": (
        "Memory of the host list",
        r"memory_(\d+)$",
        "hosts",
        "bytes",
    ),
}


def collect_points(rows, pattern):
    """Return the x value, value, baseline and bound of matching rows."""
    matched_points = []
    for row in rows:
        match = re.match(pattern, row["name"])
        if match:
            x_value = int(match.group(1))
            matched_points.append(
                (x_value, row["value"], row["baseline"], row["bound"])
            )
    return sorted(matched_points)


def plot_series(name, rows):
    """Save a plot of a series with its baseline and bound.

    Returns False, and saves nothing, if no row matches.
    """
    title, pattern, x_label, y_label = SERIES[name]
    points = collect_points(rows, pattern)
    if not points:
        return False
    x_values = [point[0] for point in points]
    figure, axes = pyplot.subplots(figsize=(6, 3.4))
    for column, label, style in (
        (1, "measured", "o-"),
        (2, "baseline", "s--"),
        (3, "bound", "k:"),
    ):
        values = [point[column] for point in points]
        if all(value is not None for value in values):
            axes.plot(x_values, values, style, label=label)
    if x_values[-1] > 50 * max(x_values[0], 1):
        axes.set_xscale("log")
    axes.set(title=title, xlabel=x_label, ylabel=y_label)
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(
        PLOTS_FOLDER / f"{name}.png", dpi=110, metadata={"Software": ""}
    )
    pyplot.close(figure)
    return True


def build_table(rows):
    """Return the lines of a Markdown table of all rows."""
    lines = [
        "| suite | name | value | unit | bound | baseline | ok |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        cells = [
            row["suite"],
            f"`{row['name']}`",
            format_value(row["value"]),
            row["unit"],
            format_value(row["bound"]),
            format_value(row["baseline"]),
            "yes" if row["ok"] else "**missed**",
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def format_value(value):
    """Return a number with four significant digits, or a dash."""
    return "-" if value is None else f"{value:.4g}"


def main():
    """Write the plots and the report."""
    rows = json.loads(RESULTS.read_text("utf-8"))
    PLOTS_FOLDER.mkdir(exist_ok=True)
    lines = [
        "# Benchmark report",
        "",
        "Written by `make report` from `bench/results.json`. A bound comes "
        "from a stated target; a baseline is the previous figure or a "
        "simpler policy in the same run.",
        "",
    ]
    for name in SERIES:
        if plot_series(name, rows):
            lines += [f"![{SERIES[name][0]}](plots/{name}.png)", ""]
    lines += build_table(rows)
    REPORT.write_text("\n".join(lines) + "\n", "utf-8")
    print(f"wrote {REPORT}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
