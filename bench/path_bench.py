"""Measure the latency that nodes add to a call, between real processes.

Callers with keep-alive connections over loopback call a minimal target
directly, through the node beside it, and through a second entry node. One run
alternates between the three. The target and the callers use plain sockets,
which keeps their own cost small and equal in all cases. The target answers
after 2 ms because the owner node compares latencies with their mean: the
scheduling noise of a busy machine is a multiple of the mean latency of an
target that answers at once.
"""

import functools
import json
import os
import pathlib
import random
import re
import select
import socket
import statistics
import sys
import tempfile
import time

from bench import plain_upstream
from tools import fleet

ADDED_P99_MS = 0.62
CALLS_PER_SECOND = 370.0
ROUNDS = 5
ROUND_SECONDS = 0.9
CLOSED_LOOP_ROUNDS = 3
CLOSED_LOOP_SECONDS = 0.6
CLOSED_LOOP_CONNECTIONS = 8
OPEN_LOOP_CONNECTIONS = 32
IDLE_CONNECTIONS = 1000
WARM_UP_SECONDS = 2.0
START_TIMEOUT_SECONDS = 15.0
RESPONSE_TIMEOUT_SECONDS = 2.0
SEED = 1
RESULTS = pathlib.Path(__file__).resolve().parent / "results.json"
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)\r\n", re.IGNORECASE)

INITIAL_PATCH = {
    "id": "path-bench",
    "base": 0,
    "operations": [
        {
            "op": "put_failure_domain",
            "value": {"name": "launceston", "region": "north-tas"},
        },
        {
            "op": "put_service",
            "value": {
                "name": "spec-desk",
                "slots": 64,
                "connections": 64,
                "connect_ms": 1,
                "ramp_seconds": 1,
            },
        },
        {
            "op": "put_service",
            "value": {"name": "kiln-desk", "slots": 1, "connections": 1},
        },
        {"op": "put_tenant", "value": {"name": "builders"}},
        {
            "op": "put_route",
            "value": {
                "name": "specs",
                "service": "spec-desk",
                "path_prefix": "/specs",
            },
        },
    ],
}


class Connection:
    """Hold one keep-alive connection and its call in flight."""

    __slots__ = ("sock", "data", "sent_at")

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.data = b""
        self.sent_at = 0.0

    def send(self, request):
        """Send a request without waiting for the response."""
        self.data = b""
        self.sent_at = time.perf_counter()
        self.sock.sendall(request)

    def receive(self):
        """Read available data; return the status of a complete response."""
        chunk = self.sock.recv(65536)
        if not chunk:
            raise ConnectionError(
                "connection closed before the response was complete"
            )
        self.data += chunk
        header_end = self.data.find(b"\r\n\r\n")
        if header_end < 0:
            return None
        length = int(_CONTENT_LENGTH.search(self.data)[1])
        if len(self.data) < header_end + 4 + length:
            return None
        status = int(self.data[9:12])
        if (
            status == 200
            and self.data[header_end + 4 :] != plain_upstream.BODY
        ):
            raise ValueError(f"unexpected response body: {self.data!r}")
        return status


class Caller:
    """Generate load on one address over a fixed set of connections."""

    def __init__(self, address, connections):
        self.address = address
        self.request = (
            f"GET /specs/P-12 HTTP/1.1\r\nHost: {address}\r\n"
            "X-Tenant: builders\r\nAccept: application/json\r\n\r\n"
        ).encode()
        self.poll = select.epoll()
        self.connections_by_fd = {}
        for _ in range(connections):
            connection = Connection(address)
            self.connections_by_fd[connection.sock.fileno()] = connection
            self.poll.register(connection.sock, select.EPOLLIN)
        self.idle = list(self.connections_by_fd.values())

    def close(self):
        """Close all connections."""
        self.poll.close()
        for connection in self.connections_by_fd.values():
            connection.sock.close()

    def run_open_loop(self, rate, seconds, random_source):
        """Call with random arrivals at a rate, in an open loop.

        Return the latencies and the count of responses other than 200.
        """
        latencies, errors = [], 0
        next_at = time.perf_counter()
        end_at = next_at + seconds
        while next_at < end_at or len(self.idle) < len(self.connections_by_fd):
            now = time.perf_counter()
            if now > end_at + RESPONSE_TIMEOUT_SECONDS:
                raise TimeoutError("a response did not arrive in time")
            if next_at <= now and next_at < end_at and self.idle:
                self.idle.pop().send(self.request)
                next_at += random_source.expovariate(rate)
            self._wait(max(0.0, next_at - time.perf_counter()))
            for fd, _ in self.poll.poll(0):
                errors += self._finish(self.connections_by_fd[fd], latencies)
        return latencies, errors

    def run_closed_loop(self, seconds):
        """Call again on each connection once its response is complete.

        Return the counts of responses with status 200 and of all others.
        """
        latencies, errors = [], 0
        end_at = time.perf_counter() + seconds
        while (
            len(self.idle) < len(self.connections_by_fd)
            or time.perf_counter() < end_at
        ):
            if time.perf_counter() < end_at:
                while self.idle:
                    self.idle.pop().send(self.request)
            for fd, _ in self.poll.poll(RESPONSE_TIMEOUT_SECONDS):
                errors += self._finish(self.connections_by_fd[fd], latencies)
        return len(latencies), errors

    def _wait(self, seconds):
        # The timeout of epoll is in whole milliseconds, that of select in
        # microseconds.
        timeout = min(seconds, 0.1) if self.idle else 0.1
        select.select([self.poll.fileno()], [], [], timeout)

    def _finish(self, connection, latencies):
        status = connection.receive()
        if status is None:
            return 0
        self.idle.append(connection)
        if status != 200:
            return 1
        latencies.append(time.perf_counter() - connection.sent_at)
        return 0


class Mesh:
    """Run the platform stand-in, a minimal target and two nodes."""

    def __init__(self, directory, program=None):
        ports = fleet.find_free_ports(10)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.platform, self.target = addresses[:2]
        self.nodes = {
            "owner": self._settings("owner", "spec-desk", addresses[2:5]),
            "entry": self._settings("entry", "kiln-desk", addresses[5:8]),
        }
        self.program = program or fleet.find_program()
        self.processes = fleet.Processes(self.program, directory)
        self.directory = pathlib.Path(directory)

    def _settings(self, host_id, service, addresses):
        return {
            "host_id": host_id,
            "region": "north-tas",
            "failure_domain": "launceston",
            "service": service,
            "stream_address": addresses[0],
            "caller_address": addresses[1],
            "operator_address": addresses[2],
            "upstream_address": self.target,
            "platform_address": self.platform,
            "source_region": "north-tas",
            "drain_seconds": 1,
        }

    def start(self):
        """Start all processes and wait until both nodes serve calls."""
        hosts = [
            {
                "id": name,
                "region": node["region"],
                "failure_domain": node["failure_domain"],
                "service": node["service"],
                "stream_address": node["stream_address"],
                "http_address": node["caller_address"],
            }
            for name, node in self.nodes.items()
        ]
        path = self._write("hosts", hosts)
        self.processes.start(
            "platform",
            "standin",
            "platform",
            f"--address={self.platform}",
            f"--token={fleet.OPERATOR_TOKEN}",
            f"--hosts={path}",
        )
        self.processes.program = [sys.executable, plain_upstream.__file__]
        self.processes.start("upstream", self.target)
        self.processes.program = self.program
        self._wait_for(
            lambda: fleet.fetch(self.platform, "/stats")[0] == 200,
            "the platform does not answer",
        )
        fleet.fetch(
            self.platform,
            "/v1/log",
            "POST",
            INITIAL_PATCH,
            {"Authorization": f"Bearer {fleet.OPERATOR_TOKEN}"},
        )
        for name, node in self.nodes.items():
            self._start_node(name, self._write(name, node))
        for name in self.nodes:
            is_serving = functools.partial(self._is_serving, name)
            self._wait_for(is_serving, f"{name} does not serve")

    def _start_node(self, name, path):
        self.processes.start(name, "node", f"--settings={path}")

    def _write(self, name, document):
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(document), "utf-8")
        return path

    def _is_serving(self, name):
        address = self.nodes[name]["caller_address"]
        headers = {"X-Tenant": "builders"}
        return fleet.fetch(address, "/specs/1", headers=headers)[0] == 200

    def _wait_for(self, condition, message):
        if fleet.wait_until(condition, START_TIMEOUT_SECONDS) is None:
            raise RuntimeError(message)

    def stop(self):
        """Stop all processes."""
        self.processes.stop()

    def cpu_seconds(self, name):
        """Return the CPU time that a process has used."""
        pid = self.processes.running[name].pid
        text = pathlib.Path(f"/proc/{pid}/stat").read_text("ascii")
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self, name):
        """Return the resident set size of a process."""
        pid = self.processes.running[name].pid
        text = pathlib.Path(f"/proc/{pid}/statm").read_text("ascii")
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure():
    """Start the processes, run all benchmarks and return their rows."""
    with tempfile.TemporaryDirectory() as directory:
        mesh = Mesh(directory)
        try:
            mesh.start()
            return _measure(mesh)
        finally:
            mesh.stop()


def _measure(mesh):
    addresses = {
        "direct": mesh.target,
        "one_node": mesh.nodes["owner"]["caller_address"],
        "two_nodes": mesh.nodes["entry"]["caller_address"],
    }
    callers = {
        name: Caller(address, OPEN_LOOP_CONNECTIONS)
        for name, address in addresses.items()
    }
    for name in ("one_node", "two_nodes"):
        callers[name].run_closed_loop(WARM_UP_SECONDS / 2)
    rows = _measure_open_loop(mesh, callers)
    for caller in callers.values():
        caller.close()
    rows += _measure_closed_loop(mesh, addresses)
    rows += _measure_connections(mesh)
    return rows


def _measure_open_loop(mesh, callers):
    random_source = random.Random(SEED)
    rounds = {name: [] for name in callers}
    errors = 0
    for name in list(callers) * ROUNDS:
        latencies, error_count = callers[name].run_open_loop(
            CALLS_PER_SECOND, ROUND_SECONDS, random_source
        )
        errors += error_count
        rounds[name].append(sorted(latencies))
    rows = []
    for share in (0.5, 0.99):
        label = f"p{share * 100:.0f}"
        values = {
            name: [
                item[int(share * (len(item) - 1))] * 1e3 for item in samples
            ]
            for name, samples in rounds.items()
        }
        direct = statistics.median(values["direct"])
        for name in ("one_node", "two_nodes"):
            added = [
                node_value - direct_value
                for node_value, direct_value in zip(
                    values[name], values["direct"], strict=True
                )
            ]
            bound = ADDED_P99_MS if share > 0.5 else None
            # Other load on the machine only adds latency, so the minimum
            # over the rounds is the best estimate of the node's own cost.
            for suffix, value, limit in (
                ("", statistics.median(added), bound),
                ("_least", min(values[name]) - min(values["direct"]), None),
            ):
                full_name = f"path.{name}_added_{label}{suffix}"
                rows.append(
                    row(full_name, value, "ms", limit)
                    | {"baseline": round(direct, 4)}
                )
    rows.append(row("path.answers_other_than_200", errors, "calls", 0))
    return rows


def _measure_closed_loop(mesh, addresses):
    values = {"one_node": [], "two_nodes": []}
    costs = {"owner": [], "entry": []}
    for name in list(values) * CLOSED_LOOP_ROUNDS:
        caller = Caller(addresses[name], CLOSED_LOOP_CONNECTIONS)
        node = "owner" if name == "one_node" else "entry"
        cpu, started = mesh.cpu_seconds(node), time.perf_counter()
        complete, _ = caller.run_closed_loop(CLOSED_LOOP_SECONDS)
        elapsed = time.perf_counter() - started
        cpu = mesh.cpu_seconds(node) - cpu
        caller.close()
        values[name].append(complete / elapsed)
        costs[node].append(complete / cpu)
    rate = statistics.median(values["one_node"])
    return [
        row("path.one_node_full_rate", rate, "calls/s", CALLS_PER_SECOND),
        row(
            "path.two_nodes_full_rate",
            statistics.median(values["two_nodes"]),
            "calls/s",
            CALLS_PER_SECOND,
        ),
        row(
            "path.calls_per_core_whole",
            statistics.median(costs["owner"]),
            "calls/s/core",
        ),
        row(
            "path.calls_per_core_entry",
            statistics.median(costs["entry"]),
            "calls/s/core",
        ),
    ]


def _measure_connections(mesh):
    before = mesh.resident_bytes("entry")
    caller = Caller(mesh.nodes["entry"]["caller_address"], IDLE_CONNECTIONS)
    # One call on each connection makes the node allocate its buffers.
    for connection in caller.connections_by_fd.values():
        connection.send(caller.request)
        while connection.receive() is None:
            pass
    memory_used = mesh.resident_bytes("entry") - before
    caller.close()
    return [
        row(
            "path.memory_per_1000_connections",
            memory_used / IDLE_CONNECTIONS * 1000 / 1e6,
            "MB",
        )
    ]


def row(name, value, unit, bound=None):
    """Return one row; a rate has a lower bound, other values an upper one."""
    bound_met = value >= (bound or 0) if unit == "calls/s" else True
    if bound is not None and unit != "calls/s":
        bound_met = value <= bound
    return {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "bound": bound,
        "ok": bound_met,
        "baseline": _previous_value(name),
    }


def _previous_value(name):
    if not RESULTS.exists():
        return None
    for item in json.loads(RESULTS.read_text("utf-8")):
        if item["name"] == name:
            return item["value"]
    return None


def main():
    """Run the benchmarks and print one JSON object per row."""
    for item in measure():
        print(json.dumps(item))


if __name__ == "__main__":
    main()
