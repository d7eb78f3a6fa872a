"""Start sidecars on loopback addresses with the commands of the deploy file.

Each machine has an address of its own in 127.0.0.0/8 and the same ports.
"""

import http.client
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FIRST_PORT = 20_000
LAST_PORT = 32_000
PORT_COUNT = 24
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "sync_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "slack_ms": 200,
    "apply_ms": 2000,
    "rollback_slack_ms": 250,
    "stretch_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 60,
    "warmup_overage": 1.5,
    "warmup_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 15,
}
READY_SECONDS = 30.0


class SetUpError(Exception):
    """Report that the case cannot run."""


class Machine:
    """One machine: an address, a zone and the service of its upstream."""

    def __init__(self, address, zone, service):
        self.address = address
        self.zone = zone
        self.service = service
        self.process = None


class Deployment:
    """The sidecars of some machines; every process is ended by close()."""

    def __init__(self, folder, machines, zones, store_address, bounds=None):
        self.folder = folder
        self.machines = machines
        self.zones = zones
        self.store_address = store_address
        self.bounds = BOUNDS | (bounds or {})
        self.first_port = find_ports(PORT_COUNT)
        role = read_role()
        self.command = shlex.split(role["run"])
        self.template = (ROOT / role["template"]).read_text("utf-8")
        self.started = []

    @property
    def app_port(self):
        return self.first_port + 20

    @property
    def outbound_port(self):
        return self.first_port + 21

    @property
    def readiness_port(self):
        return self.first_port + 22

    def settings(self, machine):
        """Return the fields that the platform fills in."""
        at = machine.address
        return {
            "node_name": f"sidecar-{at}",
            "ip": at,
            "zone": machine.zone,
            "region": self.zones[machine.zone],
            "zones": self.zones,
            "service": machine.service,
            "app_addr": f"{at}:{self.app_port}",
            "listen": {
                "inbound": f"{at}:{self.first_port + 23}",
                "outbound": f"{at}:{self.outbound_port}",
                "readiness": f"{at}:{self.readiness_port}",
            },
            "port_range": [self.first_port, self.first_port + 15],
            "platform": {"address": self.store_address},
            "limits": {"memory_mb": 300},
            "bounds": self.bounds,
        }

    def start(self, machine):
        """Start the sidecar of a machine."""
        path = self.folder / f"{machine.address}.json"
        path.write_text(render(self.template, self.settings(machine)), "utf-8")
        command = [
            str(path) if word == "/etc/hickorythread/node.toml" else word
            for word in self.command
        ]
        names = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in names if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["HICKORYTHREAD_BOOT"] = str(path)
        with open(self.folder / f"{machine.address}.log", "ab") as log:
            machine.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started.append(machine.process)

    def wait_until_ready(self, machines=None):
        """Wait until the readiness check of each machine succeeds."""
        deadline = time.monotonic() + READY_SECONDS
        for machine in machines or self.machines:
            while not self.is_ready(machine):
                if time.monotonic() > deadline:
                    raise SetUpError(f"{machine.address} is not ready")
                time.sleep(0.05)

    def is_ready(self, machine):
        connection = http.client.HTTPConnection(
            machine.address, self.readiness_port, timeout=2.0
        )
        try:
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def status(self, machine):
        """Return the status document of a sidecar, for diagnosis only."""
        connection = http.client.HTTPConnection(
            machine.address, self.first_port + 15, timeout=2.0
        )
        try:
            connection.request("GET", "/status")
            return json.loads(connection.getresponse().read())
        except (OSError, ValueError, http.client.HTTPException):
            return {}
        finally:
            connection.close()

    def close(self):
        """End the processes that are left."""
        for process in self.started:
            if process.poll() is None:
                # A stopped process handles no other signal.
                process.send_signal(signal.SIGKILL)
            process.wait()


def read_role():
    """Return the role of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text("utf-8")
    return tomllib.loads(text)["roles"]["sidecar"]


def render(template, fields):
    """Fill in the placeholders of a settings template."""
    return re.sub(
        r"\{\{([a-z_0-9.]+)(\|json)?\}\}",
        lambda match: _value(fields, match[1], bool(match[2])),
        template,
    )


def _value(fields, name, is_json):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if part.isdigit() else value[part]
    if is_json or isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def find_ports(count):
    """Return the first of some consecutive ports that nobody listens on."""
    first = FIRST_PORT + os.getpid() * count % (LAST_PORT - FIRST_PORT)
    for _ in range(200):
        if first + count > LAST_PORT:
            first = FIRST_PORT
        if all(_is_free(port) for port in range(first, first + count)):
            return first
        first += count
    raise SetUpError("no free ports")


def _is_free(port):
    try:
        socket.create_server(("", port)).close()
    except OSError:
        return False
    return True
