"""Derive the tables of docs/CAPACITY.md from bench/results.json."""

import argparse
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = ROOT / "bench" / "results.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- derived: begin -->"
END = "<!-- derived: end -->"

NODES = 23_000
REGIONS = 5
SERVICES = 680
CALLS_PER_SECOND = 8_500_000
PATCHES_PER_SECOND = 26_000 / 86_400
# A restart is two changes of the host list: leaving and live.
HOST_CHANGES_PER_SECOND = 2 * (9_200 + 37) / 86_400
HEADER_BYTES = 52
PEERS_CALLED = 64
CLOCK_PROBE_BYTES = 60
CLOCK_PROBE_SECONDS = 10.0
LINK_BYTES_PER_SECOND = 30e6 / 8
ROLES = {
    "first_reader": "first reader (1)",
    "reader": "reader (2)",
    "gateway": "gateway (2 in each other region)",
    "node": "any other node",
}


class Measurements:
    """Look measured values up by name."""

    def __init__(self, rows):
        self.values = {row["name"]: row["value"] for row in rows}

    def __getitem__(self, name):
        return self.values[name]

    def get(self, name):
        """Return a value, or None if it was not measured."""
        return self.values.get(name)


def control_bytes_per_second(figures, role):
    """Return the bytes per second that a node of a role sends."""
    idle = figures[f"role_idle_bytes_per_second_{role}"]
    per_change = figures[f"role_patch_bytes_{role}"]
    changes = PATCHES_PER_SECOND + HOST_CHANGES_PER_SECOND
    messages = figures[f"role_idle_messages_per_second_{role}"]
    probes = PEERS_CALLED * 2 / CLOCK_PROBE_SECONDS
    probe_bytes = probes * (CLOCK_PROBE_BYTES / 2 + HEADER_BYTES)
    headers = (messages + changes * 8) * HEADER_BYTES
    return idle + changes * per_change + headers + probe_bytes


def control_cpu(figures):
    """Return the share of a core that the control plane core takes."""
    return (
        figures[f"cpu_per_idle_second_{NODES}"]
        + 10 * figures[f"cpu_tick_{NODES}"]
        + PATCHES_PER_SECOND * figures[f"cpu_patch_{NODES}"]
        + HOST_CHANGES_PER_SECOND * figures[f"cpu_host_change_{NODES}"]
    )


def rows_of_roles(figures):
    """Return one table row for each role."""
    share = control_cpu(figures)
    lines = [
        "| role | control bytes sent | bound | control CPU | bound |",
        "|---|---|---|---|---|",
    ]
    for role, shown in ROLES.items():
        sent = control_bytes_per_second(figures, role)
        lines.append(
            f"| {shown} | {sent:,.0f} B/s | 7,000 B/s "
            f"| {share:.2%} of a core | 2.8% |"
        )
    return lines


def rows_of_fleet(figures):
    """Return the rows that hold for the whole fleet or for one node."""
    host_list = figures["memory_per_host"] * NODES / 1e6
    idle_link = figures["link_bytes_idle_minute_200"] / 60
    per_patch = figures["link_bytes_per_patch"]
    changes = PATCHES_PER_SECOND + HOST_CHANGES_PER_SECOND
    link = idle_link + changes * per_patch
    reads = figures["source_reads_quiet"]
    herd = figures["source_reads_herd_restart"]
    calls = CALLS_PER_SECOND / NODES
    path = figures["traffic.path_cpu"]
    rows = [
        ("host list of 23,000 hosts", f"{host_list:.1f} MB", "128 MB"),
        (
            "one paid link, control payload",
            f"{link:,.0f} B/s",
            f"{LINK_BYTES_PER_SECOND:,.0f} B/s in all",
        ),
        ("reads at the source, quiet", f"{reads:.1f} /s", "100 /s"),
        (
            "reads at the source, half of the nodes restart",
            f"{herd:.1f} /s",
            "100 /s",
        ),
        (
            f"both traffic cores at {calls:.0f} calls/s",
            f"{calls * path / 1e6:.1%} of a core",
            "none stated",
        ),
        (
            "snapshot for a fresh node, host list",
            f"{figures[f'snapshot_bytes_{NODES}'] / 1e3:,.0f} kB",
            "none stated",
        ),
    ]
    lines = [
        "| figure at the two-year size | derived | bound |",
        "|---|---|---|",
    ]
    lines += [" | ".join(("", *row, "")).strip() for row in rows]
    return lines


def rows_of_slopes(figures):
    """Return the measured slopes on which the other tables rest."""
    names = (
        "memory_per_host",
        f"cpu_per_idle_second_{NODES}",
        f"cpu_tick_{NODES}",
        f"cpu_patch_{NODES}",
        f"cpu_host_change_{NODES}",
        "source_reads_quiet_per_node_slope",
        "link_bytes_per_patch",
        "link_bytes_idle_minute_200",
        "traffic.path_cpu",
        "traffic.key_record",
        "convergence_seconds_10",
        "convergence_seconds_1000",
    )
    lines = ["| measured | value |", "|---|---|"]
    for name in names:
        lines.append(f"| `{name}` | {figures[name]:.6g} |")
    return lines


def derive_tables(rows):
    """Return the derived part of the page."""
    figures = Measurements(rows)
    parts = (
        rows_of_roles(figures),
        rows_of_fleet(figures),
        rows_of_slopes(figures),
    )
    return "\n\n".join("\n".join(part) for part in parts)


def replace_tables(text, derived):
    """Return the page with its derived part replaced."""
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n\n{derived}\n\n{END}{tail}"


def main():
    """Print the derived tables; --write puts them into the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    arguments = parser.parse_args()
    derived = derive_tables(json.loads(RESULTS.read_text("utf-8")))
    if arguments.write:
        text = PAGE.read_text("utf-8")
        PAGE.write_text(replace_tables(text, derived), "utf-8")
    else:
        print(derived)
    return 0


if __name__ == "__main__":
    sys.exit(main())
