"""Run a deployment of examples/ as processes on loopback.

Each class handles one concern: ports and settings, processes, operators'
access, and the upstreams' own records of what ran.
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
ADDRESSES = (
    "stream_address",
    "caller_address",
    "operator_address",
    "upstream_address",
)
DRAIN_SECONDS = 5.0
STOP_SECONDS = 10.0
HTTP_SECONDS = 3.0
PORTS = range(10_000, 32_000)


class Layout:
    """Derive settings with free ports from examples/."""

    def __init__(self, deployment, directory):
        self.examples = ROOT / "examples" / deployment
        self.directory = pathlib.Path(directory)
        names = sorted((self.examples / "nodes").glob("*.json"))
        self.nodes = {
            path.stem: json.loads(path.read_text("utf-8")) for path in names
        }
        ports = iter(find_free_ports(len(self.nodes) * len(ADDRESSES) + 1))
        self.platform_address = f"127.0.0.1:{next(ports)}"
        for node in self.nodes.values():
            node["platform_address"] = self.platform_address
            node["drain_seconds"] = DRAIN_SECONDS
            for name in ADDRESSES:
                node[name] = f"127.0.0.1:{next(ports)}"
        self.hosts = json.loads((self.examples / "hosts.json").read_text())
        for host in self.hosts:
            node = self.nodes[host["id"]]
            host["stream_address"] = node["stream_address"]
            host["http_address"] = node["caller_address"]

    def load_patch(self, name, **changes):
        """Return a patch of the examples, with some members replaced."""
        path = self.examples / f"{name}.json"
        return json.loads(path.read_text("utf-8")) | changes

    def write(self, name, document):
        """Write a JSON file and return its path."""
        path = self.directory / name
        path.write_text(json.dumps(document), "utf-8")
        return str(path)


class Processes:
    """Start processes and end them by their own ids."""

    def __init__(self, program, directory):
        self.program = program
        self.directory = pathlib.Path(directory)
        self.running = {}

    def start(self, name, *arguments):
        """Start the program with arguments; its output goes to a file."""
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
        """Send a signal to a process that is still ours."""
        process = self.running[name]
        if process.poll() is None:
            os.kill(process.pid, number)

    def wait(self, name, seconds):
        """Return the exit code, or None if it still runs."""
        process = self.running[name]
        wait_until(lambda: process.poll() is not None, seconds)
        return process.poll()

    def handles_sigterm(self, name):
        """Tell whether a process has run its first statements.

        Until then the interpreter itself ends on SIGTERM.
        """
        status = pathlib.Path(f"/proc/{self.running[name].pid}/status")
        caught = re.search(r"^SigCgt:\s*(\w+)$", status.read_text(), re.M)
        return int(caught.group(1), 16) >> (signal.SIGTERM - 1) & 1

    def kill(self, name):
        """End a process without notice."""
        self.signal(name, signal.SIGKILL)
        self.running.pop(name).wait()

    def stop(self, names=None):
        """End processes with SIGTERM, later SIGKILL; return exit codes."""
        names = [name for name in names or self.running]
        names = [name for name in names if name in self.running]
        for name in names:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        limit = time.monotonic() + STOP_SECONDS
        codes = {}
        for name in names:
            codes[name] = self.wait(name, limit - time.monotonic())
            if codes[name] is None:
                self.kill(name)
            else:
                del self.running[name]
        return codes

    def exited(self):
        """Return the names of processes that ended by themselves."""
        return [
            name
            for name, process in self.running.items()
            if process.poll() is not None
        ]

    def tail(self, name, lines=5):
        """Return the last lines of a process's output."""
        return self.log_lines(name)[-lines:]

    def log_lines(self, name):
        """Return all output of the processes that had a name."""
        path = self.directory / f"{name}.log"
        if not path.exists():
            return []
        return path.read_text("utf-8", errors="replace").splitlines()


class Fleet:
    """Hold the platform, the upstreams and one node beside each."""

    def __init__(self, layout, processes, warm_seconds=5.0):
        self.layout = layout
        self.processes = processes
        self.warm_seconds = warm_seconds
        self.names = list(layout.nodes)

    def start_stand_ins(self):
        """Start the platform and the upstreams."""
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
        """Start all nodes; they become ready on their own."""
        for name in self.names:
            self.start_node(name)

    def start_node(self, name):
        """Start one node from its settings."""
        path = self.layout.write(f"{name}.json", self.layout.nodes[name])
        self.processes.start(name, "node", f"--settings={path}")

    def stand_ins_healthy(self):
        """Tell whether the platform and all upstreams answer."""
        addresses = [
            node["upstream_address"] for node in self.layout.nodes.values()
        ]
        return all(
            fetch(address, "/health")[0] == 200 for address in addresses
        ) and (fetch(self.layout.platform_address, "/stats")[0] == 200)

    def stop_nodes(self):
        """End all nodes with SIGTERM and return their exit codes."""
        return self.processes.stop(self.names)


class OperatorClient:
    """Publish patches and ask nodes about them."""

    def __init__(self, layout):
        self.layout = layout

    def publish(self, patch):
        """Append a patch to the platform's log; returns its sequence."""
        status, document = fetch(
            self.layout.platform_address,
            "/v1/log",
            "POST",
            patch,
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        if status != 200:
            raise RuntimeError(f"the platform answered {status}: {document}")
        return document["sequence"]

    def control_platform(self, **faults):
        """Cause or end faults of the platform stand-in."""
        return fetch(self.layout.platform_address, "/control", "POST", faults)[
            0
        ]

    def is_ready(self, name):
        """Tell whether a node is ready."""
        return self._get(name, "/readyz")[0] == 200

    def version(self, name):
        """Return the version and digest that a node holds, or None."""
        status, document = self._get(name, "/status")
        if status != 200 or not isinstance(document, dict):
            return None
        if document.get("host_id") != name:
            # Another process got the port of a node that is down.
            return None
        return document.get("version"), document.get("digest")

    def versions(self):
        """Return the version and digest at every node."""
        return {name: self.version(name) for name in self.layout.nodes}

    def nodes_agree(self, version):
        """Tell whether all nodes hold a version with one digest."""
        held = set(self.versions().values())
        return len(held) == 1 and (held.pop() or (None,))[0] == version

    def verdict(self, name, patch_id):
        """Return accepted, or the kind and first reason, or None."""
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


class UpstreamRecords:
    """Read from the upstreams what they ran."""

    def __init__(self, layout):
        self.layout = layout

    def read(self, name):
        """Return all records of one upstream, in order of start."""
        address = self.layout.nodes[name]["upstream_address"]
        records = []
        while True:
            path = f"/records?after={len(records)}"
            status, document = fetch(address, path)
            if status != 200:
                raise RuntimeError(f"upstream {name} answered {status}")
            records.extend(document["records"])
            if len(records) >= document["total"]:
                return records

    def read_all(self):
        """Return all records of all upstreams by host id."""
        return {name: self.read(name) for name in self.layout.nodes}


def find_violations(records, results):
    """Return violations of R7, R8 and R9.

    records holds what each upstream ran, results what callers were told.
    """
    runs = {}
    keys = {}
    for name, items in records.items():
        for record in items:
            runs.setdefault(record["query"], []).append(name)
            if record["key"]:
                keys.setdefault(record["key"], []).append(name)
    violations = [
        f"R9: key {key} ran {len(names)} times, on {', '.join(names)}"
        for key, names in keys.items()
        if len(names) > 1
    ]
    for result in results:
        ran = runs.get(f"nonce={result['nonce']}", [])
        shown = f"{result['method']} {result['path']} {result['nonce']}"
        if result["outcome"] == "not-run" and ran:
            violations.append(
                f"R8: {shown} ran on {ran[0]} but its caller was told "
                f"not-run with status {result['status']}"
            )
        if result["outcome"] == "mismatch":
            violations.append(f"R7: {shown} got another answer")
        if result["method"] != "GET" and len(ran) > 1:
            violations.append(f"R9: {shown} ran {len(ran)} times")
        if result["status"] == 200 and not ran:
            violations.append(f"R7: {shown} was answered but never ran")
    return violations


def find_region_violations(layout, records):
    """Return violations of R6: runs outside the home regions of a route."""
    homes = {
        operation["value"]["path_prefix"]: operation["value"]["home_regions"]
        for operation in layout.load_patch("patch-0001")["operations"]
        if operation["value"].get("home_regions")
    }
    return [
        f"R6: {record['path']} ran on {name}"
        for name, items in records.items()
        for record in items
        for prefix, regions in homes.items()
        if record["path"].startswith(prefix)
        and layout.nodes[name]["region"] not in regions
    ]


def fetch(address, path, method="GET", document=None, headers=None):
    """Send one request; returns status and answer, or 0 and the error."""
    body = None if document is None else json.dumps(document)
    connection = client.HTTPConnection(
        *utils.split_address(address), timeout=HTTP_SECONDS
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
    """Return ports that nothing listens on.

    They lie below the range of ephemeral ports. An outgoing connection
    would otherwise take the port of a node while it is down.
    """
    candidates = list(PORTS)
    random.SystemRandom().shuffle(candidates)
    ports = []
    while len(ports) < count:
        port = candidates.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def find_program():
    """Return the command line of hickorythread.

    The binary is used unless a source file is newer than it.
    """
    binary = ROOT / "dist" / "hickorythread"
    newest = max(
        path.stat().st_mtime
        for path in (ROOT / "src" / "hickorythread").rglob("*")
        if path.is_file() and "__pycache__" not in path.parts
    )
    if binary.exists() and binary.stat().st_mtime > newest:
        return [str(binary)]
    return [sys.executable, "-W", "ignore", "-m", "hickorythread"]


def wait_until(condition, seconds, step=0.05):
    """Return the time until a condition held, or None if it never did."""
    started = time.monotonic()
    while True:
        if condition():
            return time.monotonic() - started
        if time.monotonic() - started >= seconds:
            return None
        eventlet.sleep(step)
