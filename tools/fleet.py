"""Run a deployment of examples/ as processes on loopback.

Separate classes handle ports and settings, processes, the operator API, and
the records that targets keep of the requests they ran.
"""

import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time

import eventlet
from eventlet.green.http import client

from hickorythread import utils

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATOR_TOKEN = "operators-of-the-demo"
ADDRESS_SETTINGS = (
    "stream_address",
    "caller_address",
    "operator_address",
    "upstream_address",
)
DRAIN_SECONDS = 5.0
STOP_TIMEOUT_SECONDS = 10.0
HTTP_TIMEOUT_SECONDS = 3.0
PORT_RANGE = range(10_000, 32_000)


class Layout:
    """Load the settings of a deployment and assign free ports."""

    def __init__(self, deployment, directory):
        self.examples = ROOT / "examples" / deployment
        self.directory = pathlib.Path(directory)
        paths = sorted((self.examples / "nodes").glob("*.json"))
        self.nodes = {
            path.stem: json.loads(path.read_text("utf-8")) for path in paths
        }
        ports = iter(
            find_free_ports(len(self.nodes) * len(ADDRESS_SETTINGS) + 1)
        )
        self.platform_address = f"127.0.0.1:{next(ports)}"
        for node in self.nodes.values():
            node["platform_address"] = self.platform_address
            node["drain_seconds"] = DRAIN_SECONDS
            for name in ADDRESS_SETTINGS:
                node[name] = f"127.0.0.1:{next(ports)}"
        self.hosts = json.loads((self.examples / "hosts.json").read_text())
        for host in self.hosts:
            node = self.nodes[host["id"]]
            host["stream_address"] = node["stream_address"]
            host["http_address"] = node["caller_address"]

    def load_patch(self, name, **changes):
        """Return a patch of the deployment with some members replaced."""
        path = self.examples / f"{name}.json"
        return json.loads(path.read_text("utf-8")) | changes

    def write(self, name, document):
        """Write a JSON file and return its path."""
        path = self.directory / name
        path.write_text(json.dumps(document), "utf-8")
        return str(path)


class Processes:
    """Start processes and end them by process id."""

    def __init__(self, program, directory):
        self.program = program
        self.directory = pathlib.Path(directory)
        self.running = {}

    def start(self, name, *arguments):
        """Start the program with its output appended to NAME.log."""
        environment = os.environ | {"PYTHONPATH": str(ROOT / "src")}
        with open(self.directory / f"{name}.log", "ab") as output:
            self.running[name] = subprocess.Popen(
                [*self.program, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=self.directory,
            )

    def signal(self, name, number):
        """Send a signal to a process unless it has exited."""
        process = self.running[name]
        if process.poll() is None:
            os.kill(process.pid, number)

    def wait(self, name, seconds):
        """Wait for a process and return its exit code, or None on timeout."""
        process = self.running[name]
        wait_until(lambda: process.poll() is not None, seconds)
        return process.poll()

    def handles_sigterm(self, name):
        """Return whether a process has installed a handler for SIGTERM.

        Until then SIGTERM ends the interpreter without a graceful stop.
        """
        status = pathlib.Path(f"/proc/{self.running[name].pid}/status")
        match = re.search(r"^SigCgt:\s*(\w+)$", status.read_text(), re.M)
        return int(match.group(1), 16) >> (signal.SIGTERM - 1) & 1

    def kill(self, name):
        """End a process with SIGKILL."""
        self.signal(name, signal.SIGKILL)
        self.running.pop(name).wait()

    def stop(self, names=None):
        """Stop processes and return their exit codes.

        SIGCONT resumes paused processes, so that they handle SIGTERM. A
        process that exceeds the timeout is killed; its exit code is None.
        """
        names = [name for name in names or self.running]
        names = [name for name in names if name in self.running]
        for name in names:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        codes = {}
        for name in names:
            codes[name] = self.wait(name, deadline - time.monotonic())
            if codes[name] is None:
                self.kill(name)
            else:
                del self.running[name]
        return codes

    def exited(self):
        """Return the names of processes that exited without being stopped."""
        return [
            name
            for name, process in self.running.items()
            if process.poll() is not None
        ]

    def tail(self, name, lines=5):
        """Return the last lines of a process's output."""
        return self.log_lines(name)[-lines:]

    def log_lines(self, name):
        """Return the output of all processes started under a name."""
        path = self.directory / f"{name}.log"
        if not path.exists():
            return []
        return path.read_text("utf-8", errors="replace").splitlines()


class Fleet:
    """Run the platform, the targets and one node for each target.

    Process names, commands and settings call a target an upstream.
    """

    def __init__(self, layout, processes, warm_seconds=5.0):
        self.layout = layout
        self.processes = processes
        self.warm_seconds = warm_seconds
        self.names = list(layout.nodes)

    def start_stand_ins(self):
        """Start the stand-ins for the platform and the targets."""
        hosts = self.layout.write("hosts.json", self.layout.hosts)
        self.processes.start(
            "platform",
            "standin",
            "platform",
            f"--address={self.layout.platform_address}",
            f"--token={OPERATOR_TOKEN}",
            f"--hosts={hosts}",
        )
        services = {
            operation["value"]["name"]: operation["value"]
            for operation in self.layout.load_patch("patch-0001")["operations"]
            if operation["op"] == "put_service"
        }
        for name, node in self.layout.nodes.items():
            service = services[node["service"]]
            self.processes.start(
                f"upstream-{name}",
                "standin",
                "upstream",
                f"--address={node['upstream_address']}",
                f"--name={name}",
                f"--slots={service['slots']}",
                f"--connections={service['connections']}",
                f"--warm-seconds={self.warm_seconds:g}",
            )

    def start_nodes(self):
        """Start all nodes without waiting until they are ready."""
        for name in self.names:
            self.start_node(name)

    def start_node(self, name):
        """Start one node from its settings file."""
        path = self.layout.write(f"{name}.json", self.layout.nodes[name])
        self.processes.start(name, "node", f"--settings={path}")

    def stand_ins_healthy(self):
        """Return whether the platform and all targets respond with 200."""
        addresses = [
            node["upstream_address"] for node in self.layout.nodes.values()
        ]
        return all(
            fetch(address, "/health")[0] == 200 for address in addresses
        ) and (fetch(self.layout.platform_address, "/stats")[0] == 200)

    def stop_nodes(self):
        """Stop all nodes and return their exit codes."""
        return self.processes.stop(self.names)


class OperatorClient:
    """Publish patches and query the operator API of nodes."""

    def __init__(self, layout):
        self.layout = layout

    def publish(self, patch):
        """Append a patch to the platform's log and return its sequence."""
        status, document = fetch(
            self.layout.platform_address,
            "/v1/log",
            "POST",
            patch,
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        if status != 200:
            raise RuntimeError(
                f"publishing a patch failed: status {status}: {document}"
            )
        return document["sequence"]

    def control_platform(self, **faults):
        """Start or end faults of the platform stand-in; return the status."""
        return fetch(self.layout.platform_address, "/control", "POST", faults)[
            0
        ]

    def is_ready(self, name):
        """Return whether a node reports that it is ready."""
        return self._get(name, "/readyz")[0] == 200

    def version(self, name):
        """Return the version and digest that a node holds, or None."""
        status, document = self._get(name, "/status")
        if status != 200 or not isinstance(document, dict):
            return None
        if document.get("host_id") != name:
            # The node is down and another process has its port.
            return None
        return document.get("version"), document.get("digest")

    def versions(self):
        """Return the version and digest at every node."""
        return {name: self.version(name) for name in self.layout.nodes}

    def nodes_agree(self, version):
        """Return whether all nodes hold a version with the same digest."""
        states = set(self.versions().values())
        return len(states) == 1 and (states.pop() or (None,))[0] == version

    def verdict(self, name, patch_id):
        """Return a node's verdict on a patch, or None if it has none.

        For a rejected patch it is the kind of rejection and the problems.
        """
        status, document = self._get(name, f"/patches/{patch_id}")
        if status != 200 or not isinstance(document, dict):
            return None
        verdict = document.get("verdict")
        if verdict != "rejected":
            return verdict if verdict == "accepted" else None
        reasons = "; ".join(
            f"{problem['path']}: {problem['message']}"
            for problem in document["problems"]
        )
        return f"{document['kind']}: {reasons}"

    def _get(self, name, path):
        node = self.layout.nodes[name]
        return fetch(node["operator_address"], path)


class TargetRecords:
    """Read the records that targets keep of the requests they ran."""

    def __init__(self, layout):
        self.layout = layout

    def read(self, name):
        """Return all records of one target in order of start."""
        address = self.layout.nodes[name]["upstream_address"]
        records = []
        while True:
            path = f"/records?after={len(records)}"
            status, document = fetch(address, path)
            if status != 200:
                raise RuntimeError(
                    f"reading records of {name} failed: status {status}"
                )
            records.extend(document["records"])
            if len(records) >= document["total"]:
                return records

    def read_all(self):
        """Return the records of all targets by host id."""
        return {name: self.read(name) for name in self.layout.nodes}


def find_violations(records, results):
    """Return the violations of R7, R8 and R9.

    records holds the requests that each target ran, results the outcomes
    that callers received.
    """
    targets_by_query = {}
    targets_by_key = {}
    for name, items in records.items():
        for record in items:
            targets_by_query.setdefault(record["query"], []).append(name)
            if record["key"]:
                targets_by_key.setdefault(record["key"], []).append(name)
    violations = [
        f"R9: key {key} ran {len(names)} times, on {', '.join(names)}"
        for key, names in targets_by_key.items()
        if len(names) > 1
    ]
    for result in results:
        targets = targets_by_query.get(f"nonce={result['nonce']}", [])
        label = f"{result['method']} {result['path']} {result['nonce']}"
        if result["outcome"] == "not-run" and targets:
            violations.append(
                f"R8: {label} ran on {targets[0]} but its caller got "
                f"not-run with status {result['status']}"
            )
        if result["outcome"] == "mismatch":
            violations.append(
                f"R7: {label} got an incomplete or wrong response"
            )
        if result["method"] != "GET" and len(targets) > 1:
            violations.append(f"R9: {label} ran {len(targets)} times")
        if result["status"] == 200 and not targets:
            violations.append(f"R7: {label} got a response but never ran")
    return violations


def find_region_violations(layout, records):
    """Return violations of R6: runs outside a route's home regions."""
    regions_by_prefix = {
        operation["value"]["path_prefix"]: operation["value"]["home_regions"]
        for operation in layout.load_patch("patch-0001")["operations"]
        if operation["value"].get("home_regions")
    }
    return [
        f"R6: {record['path']} ran on {name}"
        for name, items in records.items()
        for record in items
        for prefix, regions in regions_by_prefix.items()
        if record["path"].startswith(prefix)
        and layout.nodes[name]["region"] not in regions
    ]


def fetch(address, path, method="GET", document=None, headers=None):
    """Send one request and return the status and the decoded body.

    On a transport error the status is 0 and the body is the error message.
    """
    body = None if document is None else json.dumps(document)
    connection = client.HTTPConnection(
        *utils.split_address(address), timeout=HTTP_TIMEOUT_SECONDS
    )
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
    except (client.HTTPException, OSError, EOFError) as error:
        return 0, str(error)
    finally:
        connection.close()
    try:
        return response.status, json.loads(data)
    except ValueError:
        return response.status, data.decode("utf-8", errors="replace")


def find_free_ports(count):
    """Return distinct ports that are free on loopback.

    They lie below the ephemeral range; an outgoing connection could
    otherwise take the port of a node while it is down.
    """
    candidates = list(PORT_RANGE)
    random.SystemRandom().shuffle(candidates)
    ports = []
    while len(ports) < count:
        port = candidates.pop()
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def find_program():
    """Return the command that runs hickorythread.

    It is the binary, unless that is missing or older than a source file.
    """
    binary = ROOT / "dist" / "hickorythread"
    newest_source = max(
        path.stat().st_mtime
        for path in (ROOT / "src" / "hickorythread").rglob("*")
        if path.is_file() and "__pycache__" not in path.parts
    )
    if binary.exists() and binary.stat().st_mtime > newest_source:
        return [str(binary)]
    return [sys.executable, "-W", "ignore", "-m", "hickorythread"]


def wait_until(condition, seconds, interval=0.05):
    """Poll a condition and return the seconds that passed, None on timeout."""
    started = time.monotonic()
    while True:
        if condition():
            return time.monotonic() - started
        if time.monotonic() - started >= seconds:
            return None
        eventlet.sleep(interval)
