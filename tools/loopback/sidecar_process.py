"""Sidecar processes that are started, signalled and watched."""

import itertools
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
GRACE_SECONDS = 6.0
WATCH_INTERVAL_SECONDS = 0.02
# The memory is read in every so many rounds of the watch.
MEMORY_INTERVAL = 25
MEMORY_MB = 256


class SidecarProcess:
    """One process of a sidecar, the signals that it got and its end."""

    __slots__ = (
        "host",
        "number",
        "popen",
        "started_at",
        "signals",
        "stopped_seconds",
        "ended_at",
        "exit_code",
        "peak_memory_mb",
    )

    def __init__(self, host, number, popen):
        self.host = host
        self.number = number
        self.popen = popen
        self.started_at = time.monotonic()
        self.signals = []
        self.stopped_seconds = 0.0
        self.ended_at = None
        self.exit_code = None
        self.peak_memory_mb = 0.0

    @property
    def is_running(self):
        return self.ended_at is None

    def send(self, number):
        """Send a signal unless the process has ended."""
        if self.popen.poll() is None:
            self.signals.append((time.monotonic(), number))
            self.popen.send_signal(number)

    def signal_time(self, number):
        """Return when a signal was sent first, or None."""
        return next((at for at, sent in self.signals if sent == number), None)

    def poll(self):
        """Note the end of the process."""
        if self.ended_at is None and self.popen.poll() is not None:
            self.exit_code = self.popen.returncode
            self.ended_at = time.monotonic()

    def measure_memory(self):
        """Note the peak of the resident memory that the kernel states."""
        try:
            path = pathlib.Path(f"/proc/{self.popen.pid}/status")
            text = path.read_text("utf-8")
        except OSError:
            return
        match = re.search(r"VmHWM:\s+(\d+) kB", text)
        if match:
            self.peak_memory_mb = int(match[1]) / 1024


class Processes:
    """Start sidecars and note when and how each process ends."""

    def __init__(self, layout, folder, source_addresses, program_root=ROOT):
        self.layout = layout
        self.folder = folder
        self.source_addresses = source_addresses
        self.program_root = program_root
        self.started = []
        self.current = {}
        self.closed = threading.Event()
        self.settings = {
            host: self._make_settings(host) for host in layout.hosts.values()
        }
        threading.Thread(target=self._watch, daemon=True).start()

    def _make_settings(self, host):
        regions = {
            item.failure_domain: item.region
            for item in self.layout.hosts.values()
        }
        return {
            "host_id": host.address,
            "failure_domain": host.failure_domain,
            "regions": regions,
            "service": host.service,
            "target_address": "{}:{}".format(*host.at("target")),
            "request_address": "{}:{}".format(*host.at("request")),
            "readiness_address": "{}:{}".format(*host.at("readiness")),
            "stream_port": host.ports["stream"],
            "metrics_port": host.ports["metrics"],
            "source_address": self.source_addresses[host],
            "grace_seconds": GRACE_SECONDS,
            "retry_share": 0.2,
            "retry_slack": 60,
            "memory_mb": MEMORY_MB,
        }

    def settings_path(self, host):
        return self.folder / f"{host.address}.json"

    def write_settings(self, host, **changes):
        """Write the settings file of a host with some changes."""
        self.settings[host] |= changes
        text = json.dumps(self.settings[host])
        self.settings_path(host).write_text(text, "utf-8")

    def start(self, host, prefix=(), **options):
        """Start the sidecar of a host by a command with a prefix.

        options go to subprocess.Popen.
        """
        self.write_settings(host)
        command = [
            *prefix,
            sys.executable,
            "-W",
            "ignore",
            "-m",
            "hickorythread",
            "sidecar",
            "--settings",
            str(self.settings_path(host)),
        ]
        source = str(self.program_root / "src")
        with open(self.folder / f"{host.address}.log", "ab") as log:
            values = {
                "env": os.environ | {"PYTHONPATH": source},
                "stdout": log,
                "stderr": subprocess.STDOUT,
            }
            popen = subprocess.Popen(command, **(values | options))
        process = SidecarProcess(host, len(self.started) + 1, popen)
        self.started.append(process)
        self.current[host] = process
        return process

    def _watch(self):
        for number in itertools.count():
            if self.closed.is_set():
                return
            for process in list(self.current.values()):
                process.poll()
                if process.is_running and number % MEMORY_INTERVAL == 0:
                    process.measure_memory()
            time.sleep(WATCH_INTERVAL_SECONDS)

    def wait(self, process, seconds):
        """Return whether a process ended within some seconds."""
        deadline = time.monotonic() + seconds
        while process.is_running and time.monotonic() < deadline:
            time.sleep(WATCH_INTERVAL_SECONDS)
        return not process.is_running

    def close(self):
        """End all processes that are left."""
        for process in self.started:
            if process.popen.poll() is None:
                process.send(signal.SIGKILL)
                process.popen.wait()
        self.closed.set()
