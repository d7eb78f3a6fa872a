"""Derive the tables of docs/CAPACITY.md from bench/results.json."""

import argparse
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = ROOT / "bench" / "results.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN_MARKER = "<!-- derived: begin -->"
END_MARKER = "<!-- derived: end -->"

NODE_COUNT = 23_000
REGION_COUNT = 5
SERVICE_COUNT = 680
CALLS_PER_SECOND = 8_500_000
PATCHES_PER_SECOND = 26_000 / 86_400
# Each restart changes the host list twice: to leaving and to live.
HOST_CHANGES_PER_SECOND = 2 * (9_200 + 37) / 86_400
PACKET_HEADER_BYTES = 52
PROBED_PEERS = 64
CLOCK_PROBE_BYTES = 60
CLOCK_PROBE_SECONDS = 10.0
LINK_BYTES_PER_SECOND = 30e6 / 8
ROLE_LABELS = {
    "first_reader": "first reader (1)",
    "reader": "reader (2)",
    "gateway": "gateway (2 in each other region)",
    "node": "any other node",
}


class Measurements:
    """Hold the measured values of bench/results.json by name."""

    def __init__(self, rows):
        self.values = {row["name"]: row["value"] for row in rows}

    def __getitem__(self, name):
        return self.values[name]

    def get(self, name):
        """Return a value, or None if it was not measured."""
        return self.values.get(name)


def control_bytes_per_second(measured, role):
    """Return the control bytes per second that a node of a role sends."""
    idle = measured[f"role_idle_bytes_per_second_{role}"]
    bytes_per_change = measured[f"role_patch_bytes_{role}"]
    changes = PATCHES_PER_SECOND + HOST_CHANGES_PER_SECOND
    messages = measured[f"role_idle_messages_per_second_{role}"]
    probes = PROBED_PEERS * 2 / CLOCK_PROBE_SECONDS
    probe_bytes = probes * (CLOCK_PROBE_BYTES / 2 + PACKET_HEADER_BYTES)
    headers = (messages + changes * 8) * PACKET_HEADER_BYTES
    return idle + changes * bytes_per_change + headers + probe_bytes


def control_cpu_share(measured):
    """Return the share of a CPU core that the control plane uses."""
    return (
        measured[f"cpu_per_idle_second_{NODE_COUNT}"]
        + 10 * measured[f"cpu_tick_{NODE_COUNT}"]
        + PATCHES_PER_SECOND * measured[f"cpu_patch_{NODE_COUNT}"]
        + HOST_CHANGES_PER_SECOND * measured[f"cpu_host_change_{NODE_COUNT}"]
    )


def build_role_table(measured):
    """Return the lines of a table with a row for each role."""
    share = control_cpu_share(measured)
    lines = [
        "| role | control bytes sent | bound | control CPU | bound |",
        "|---|---|---|---|---|",
    ]
    for role, label in ROLE_LABELS.items():
        bytes_sent = control_bytes_per_second(measured, role)
        lines.append(
            f"| {label} | {bytes_sent:,.0f} B/s | 7,000 B/s "
            f"| {share:.2%} of a core | 2.8% |"
        )
    return lines


def build_fleet_table(measured):
    """Return the lines of a table of values for the fleet and for a node."""
    host_list = measured["memory_per_host"] * NODE_COUNT / 1e6
    idle_link_bytes = measured["link_bytes_idle_minute_200"] / 60
    bytes_per_patch = measured["link_bytes_per_patch"]
    changes = PATCHES_PER_SECOND + HOST_CHANGES_PER_SECOND
    link_bytes = idle_link_bytes + changes * bytes_per_patch
    quiet_reads = measured["source_reads_quiet"]
    restart_reads = measured["source_reads_herd_restart"]
    calls_per_node = CALLS_PER_SECOND / NODE_COUNT
    path_cpu = measured["traffic.path_cpu"]
    rows = [
        ("host list of 23,000 hosts", f"{host_list:.1f} MB", "128 MB"),
        (
            "one paid link, control payload",
            f"{link_bytes:,.0f} B/s",
            f"{LINK_BYTES_PER_SECOND:,.0f} B/s in all",
        ),
        ("reads at the source, quiet", f"{quiet_reads:.1f} /s", "100 /s"),
        (
            "reads at the source, half of the nodes restart",
            f"{restart_reads:.1f} /s",
            "100 /s",
        ),
        (
            f"both traffic cores at {calls_per_node:.0f} calls/s",
            f"{calls_per_node * path_cpu / 1e6:.1%} of a core",
            "none stated",
        ),
        (
            "snapshot for a fresh node, host list",
            f"{measured[f'snapshot_bytes_{NODE_COUNT}'] / 1e3:,.0f} kB",
            "none stated",
        ),
    ]
    lines = [
        "| figure at the two-year size | derived | bound |",
        "|---|---|---|",
    ]
    lines += [" | ".join(("", *row, "")).strip() for row in rows]
    return lines


def build_measurement_table(measured):
    """Return the lines of a table of the values behind the other tables."""
    names = (
        "memory_per_host",
        f"cpu_per_idle_second_{NODE_COUNT}",
        f"cpu_tick_{NODE_COUNT}",
        f"cpu_patch_{NODE_COUNT}",
        f"cpu_host_change_{NODE_COUNT}",
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
        lines.append(f"| `{name}` | {measured[name]:.6g} |")
    return lines


def derive_tables(rows):
    """Return the derived tables of the page as Markdown."""
    measured = Measurements(rows)
    parts = (
        build_role_table(measured),
        build_fleet_table(measured),
        build_measurement_table(measured),
    )
    return "\n\n".join("\n".join(part) for part in parts)


def replace_tables(text, derived):
    """Return the page with the text between the markers replaced."""
    before, _, rest = text.partition(BEGIN_MARKER)
    _, _, after = rest.partition(END_MARKER)
    return f"{before}{BEGIN_MARKER}\n\n{derived}\n\n{END_MARKER}{after}"


def main():
    """Print the derived tables, or write them to the page with --write."""
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
