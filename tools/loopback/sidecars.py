"""Sidecar processes, each with a target, and the store that they read."""

import http.client
import json
import os
import pathlib
import socket
import subprocess
import sys
import time

from tools.loopback import documents
from tools.loopback import store_standin
from tools.loopback import target

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOSTS = {"127.0.0.2": "launceston", "127.0.0.3": "hobart"}
REGIONS = {"launceston": "north", "hobart": "south"}
# Bounds waits that would otherwise hang; no result depends on its value.
WAIT_SECONDS = 30.0


def free_ports(count):
    """Return ports that are currently free on all loopback addresses."""
    sockets = [socket.create_server(("", 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Mesh:
    """Run one sidecar and target per host, and one store for all.

    settings replaces values in the settings of every sidecar.
    """

    def __init__(self, folder, settings=None):
        self.folder = folder
        self.settings = settings or {}
        self.store = store_standin.Store()
        names = ("request", "readiness", "stream", "metrics", "target")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.targets = {}
        self.processes = {}
        self.store.put("op/config", documents.make_long_timeout_document(7))
        for number, host in enumerate(HOSTS, 1):
            address = (host, self.ports["target"])
            self.targets[host] = target.Target(address, f"i-{number}")
            self.register(host)
        for host in HOSTS:
            self.start(host)
        for host in HOSTS:
            self.wait_until(lambda host=host: self.is_ready(host))
            self.wait_until(lambda host=host: self.is_usable(host))

    def register(self, host, **values):
        instance = self.targets[host].instance
        document = documents.make_entry_document(
            address=f"{host}:{self.ports['target']}",
            zone=HOSTS[host],
            warmup_left_ms=0,
            **values,
        )
        self.store.put(f"servers/{instance}", document)

    def start(
        self,
        host,
        settings_data=...,
        program=("-m", "hickorythread"),
        **options,
    ):
        """Start the sidecar of a host; options go to subprocess.Popen.

        program holds the arguments of the interpreter. settings_data takes
        the place of the settings file's content; None removes the file.
        """
        settings = {
            "host_id": host,
            "failure_domain": HOSTS[host],
            "regions": REGIONS,
            "service": "spec-desk",
            "target_address": f"{host}:{self.ports['target']}",
            "request_address": f"{host}:{self.ports['request']}",
            "readiness_address": f"{host}:{self.ports['readiness']}",
            "stream_port": self.ports["stream"],
            "metrics_port": self.ports["metrics"],
            "source_address": self.store.address,
            "grace_seconds": 6,
            "retry_share": 0.2,
            "retry_slack": 60,
        } | self.settings
        path = self.folder / f"{host}.json"
        path.write_text(json.dumps(settings), "utf-8")
        if settings_data is None:
            path.unlink()
        elif settings_data is not ...:
            path.write_bytes(settings_data)
        with open(self.folder / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                [
                    sys.executable,
                    "-W",
                    "ignore",
                    *program,
                    "sidecar",
                    "--settings",
                    str(path),
                ],
                **{
                    "env": os.environ | {"PYTHONPATH": str(ROOT / "src")},
                    "stdout": log,
                    "stderr": subprocess.STDOUT,
                }
                | options,
            )

    def request(self, host, path, method="GET", body=None, **headers):
        """Send a request; return the status, headers and body."""
        connection = http.client.HTTPConnection(
            host, self.ports["request"], timeout=WAIT_SECONDS
        )
        fields = {
            "Host": "a.example",
            "Hickorythread-Attempt-Id": f"id-{time.monotonic_ns()}",
            "Hickorythread-Deadline-Ms": "20000",
        }
        try:
            connection.request(method, path, body, fields | headers)
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        finally:
            connection.close()

    def get(self, host, port, path):
        connection = http.client.HTTPConnection(
            host, self.ports[port], timeout=WAIT_SECONDS
        )
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def is_ready(self, host):
        return self.get(host, "readiness", "/-/readyz")[0] == 200

    def is_usable(self, host):
        status, body = self.get(host, "metrics", "/status")
        if status != 200:
            return False
        document = json.loads(body)
        return (
            document["instance"] == self.targets[host].instance
            and len(document["connected"]) == len(HOSTS) - 1
        )

    def wait_until(self, condition):
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, "condition was not met in time"
            time.sleep(0.05)

    def read_log(self, host):
        return (self.folder / f"{host}.log").read_text("utf-8")

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for running in self.targets.values():
            running.server.shutdown()
            running.server.server_close()
        self.store.close()
