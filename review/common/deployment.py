"""Sidecars that run by the deploy file, with their targets and a store."""

import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib

from review.common import store
from review.common import target
from tools.loopback import layout

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PORT_NAMES = ("request", "readiness", "target", "stream", "metrics")
# Figures of the site ocamc-mesh.
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 6,
    "retry_ratio": 0.2,
    "retry_slack": 64,
    "retry_window_s": 10,
    "warmup_overage": 1.5,
    "warmup_slack": 5,
}
REGIONS = {
    "oyo-a": "oyo",
    "oyo-b": "oyo",
    "kwara-a": "kwara",
    "kwara-b": "kwara",
}
SETTINGS_PATH = "/etc/hickorythread/node.toml"
START_SECONDS = 30.0
POLL_SECONDS = 0.05


class NotRunError(Exception):
    """Report that a case could not be run."""


class Machine:
    """Hold one machine: its sidecar and the target beside it."""

    def __init__(self, number, zone, service, ports):
        self.address = f"127.0.0.{number + 1}"
        self.zone = zone
        self.service = service
        self.ports = ports
        self.store_address = ""
        self.target = None
        self.process = None
        self.started_at = 0.0

    def at(self, name):
        """Return the address of a listener."""
        return self.address, self.ports[name]

    def text(self, name):
        """Return the address of a listener as text."""
        return f"{self.address}:{self.ports[name]}"


class Deployment:
    """Run a small deployment; close() ends and removes all of it."""

    def __init__(self, places, store_class=store.Store, memory_mb=300):
        """Take pairs of a zone and a service, one for each machine."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.memory_mb = memory_mb
        self.store = store_class()
        ports = layout.find_ports(len(PORT_NAMES) + 1)
        if ports[4] != ports[3] + 1:
            ports[3:5] = ports[4:6]
        named = dict(zip(PORT_NAMES, ports, strict=False))
        self.machines = [
            Machine(number, zone, service, named)
            for number, (zone, service) in enumerate(places, 1)
        ]
        for machine in self.machines:
            machine.store_address = self.store.add_address()
        roles = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text("utf-8")
        )["roles"]
        self.role = roles["sidecar"]

    def add_target(self, machine, **options):
        """Start the target of a machine."""
        machine.target = target.Target(machine, **options)
        return machine.target

    def register(self, machine, **changes):
        """Write the entry of a target."""
        running = machine.target
        self.store.put(
            f"servers/{running.instance}",
            {
                "service": machine.service,
                "address": machine.text("target"),
                "zone": machine.zone,
                "version": "v1",
                "concurrency": running.slots,
                "phase": "ready",
                "warmup_left_ms": 0,
                "seq": 1,
                "born": running.born,
            }
            | changes,
        )

    def start(self, machine):
        """Start the sidecar of a machine with the command of the deploy."""
        path = self.folder / f"{machine.address}.json"
        path.write_text(self._render(machine), "utf-8")
        words = [
            str(path) if word == SETTINGS_PATH else word
            for word in self.role["run"].split()
        ]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["HICKORYTHREAD_BOOT"] = str(path)
        with open(self.folder / f"{machine.address}.log", "ab") as log:
            machine.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        machine.started_at = time.monotonic()

    def start_all(self):
        """Start all sidecars and wait until they are ready."""
        for machine in self.machines:
            self.start(machine)
        for machine in self.machines:
            self.wait_ready(machine)

    def wait_ready(self, machine):
        """Wait until a sidecar is ready and knows its target and peers."""
        deadline = time.monotonic() + START_SECONDS
        while not self._is_ready(machine):
            if time.monotonic() > deadline:
                raise NotRunError(f"{machine.address} does not become ready")
            time.sleep(POLL_SECONDS)

    def stop(self, machine, number=signal.SIGTERM, seconds=8.0):
        """Send a signal that ends a sidecar and wait for its end."""
        machine.process.send_signal(number)
        try:
            machine.process.wait(seconds)
        except subprocess.TimeoutExpired:
            machine.process.kill()
            machine.process.wait()

    def read_log(self, machine):
        """Return what a sidecar has written."""
        path = self.folder / f"{machine.address}.log"
        return path.read_text("utf-8", "replace")

    def status(self, machine):
        """Return the status document of a sidecar."""
        status, body = get(machine.at("metrics"), "/status")
        return json.loads(body) if status == 200 else {}

    def close(self):
        """End all processes that were started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for machine in self.machines:
            if machine.target is not None:
                machine.target.close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _is_ready(self, machine):
        if machine.process.poll() is not None:
            raise NotRunError(f"{machine.address} has ended")
        if get(machine.at("readiness"), "/-/readyz")[0] != 200:
            return False
        document = self.status(machine)
        if not document:
            return False
        has_target = not machine.target or (
            document["instance"] == machine.target.instance
        )
        running = sum(
            other.process is not None and other.process.poll() is None
            for other in self.machines
        )
        return has_target and len(document["connected"]) >= running - 1

    def _render(self, machine):
        """Fill in the template of the settings as the platform does."""
        fields = {
            "node_name": f"sidecar-{machine.address}",
            "ip": machine.address,
            "zone": machine.zone,
            "zones": REGIONS,
            "service": machine.service,
            "app_addr": machine.text("target"),
            "listen": {
                "outbound": machine.text("request"),
                "readiness": machine.text("readiness"),
            },
            "port_range": [machine.ports["stream"], machine.ports["metrics"]],
            "platform": {"address": machine.store_address},
            "bounds": BOUNDS,
            "limits": {"memory_mb": self.memory_mb},
        }
        template = (ROOT / "deploy/sidecar.json.tmpl").read_text("utf-8")

        def fill(match):
            value = fields
            for name in match[1].split("."):
                value = value[int(name) if name.isdigit() else name]
            return json.dumps(value) if match[2] else str(value)

        return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", fill, template)


def get(address, path):
    """Return the status and the body of a GET request, 0 on an error."""
    connection = http.client.HTTPConnection(*address, timeout=3.0)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def make_configuration(version, routes, services, **limits):
    """Return op/config; routes holds the paths of one host."""
    return {
        "version": version,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 130,
                "warmup_s": 3.0,
                "warmup_per_s": 5.8,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        | limits,
        "hosts": [{"host": "a.example", "paths": routes}],
    }


def make_route(name, prefix, service, idempotent, **changes):
    """Return one route of op/config."""
    return {
        "name": name,
        "prefix": prefix,
        "type": "idempotent" if idempotent else "non_idempotent",
        "timeout_ms": 1500,
        "slo_ms": 600,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "allowed_regions": [],
    } | changes
