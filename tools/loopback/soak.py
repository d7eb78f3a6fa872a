"""One soak: a mesh on loopback under load and faults, judged at its end."""

import collections
import contextlib
import random
import signal
import threading
import time

from tools.loopback import callers
from tools.loopback import faults
from tools.loopback import layout
from tools.loopback import oracle
from tools.loopback import proxy
from tools.loopback import records
from tools.loopback import sidecar_process
from tools.loopback import store_standin
from tools.loopback import target_process
from tools.loopback import writers

START_SECONDS = 60.0
# The platform's bound is a few seconds; a busy machine gets more.
RECOVERY_SECONDS = 30.0
# One more series of each group for so many hosts.
HOSTS_PER_SERIES = 8
MAX_RATE = 250.0
MAX_RATE_PER_HOST = 60.0


class Soak:
    """Run sidecars under load and faults from a seed."""

    def __init__(
        self,
        folder,
        seed,
        host_count,
        kinds=None,
        program_root=sidecar_process.ROOT,
    ):
        self.seed = seed
        self.kinds = kinds or faults.draw_kinds(seed)
        self.lock = threading.Lock()
        self.reserved = set()
        self.frozen = set()
        self.calm = threading.Event()
        self.records = records.Records()
        self.lag_monitor = records.LagMonitor()
        self.layout = layout.Layout(host_count)
        self.hosts = list(self.layout.hosts.values())
        self.store = store_standin.Store()
        self.store_lock = threading.Lock()
        self.evacuation_lock = threading.Lock()
        self.busy_targets = set()
        store_address = self.store.server.server_address
        self.links = {host: proxy.Proxy(store_address) for host in self.hosts}
        self.writer = writers.Operator(
            self.store, self.layout, random.Random(f"{seed}-writer")
        )
        self.targets = [
            target_process.Target(host, number, self.records, seed)
            for number, host in enumerate(self.hosts, 1)
        ]
        for target in self.targets:
            self.writer.register(target)
        self.processes = sidecar_process.Processes(
            self.layout,
            folder,
            {host: link.address for host, link in self.links.items()},
            program_root,
        )
        self.load = callers.Load(
            self.processes, self.writer, self.records, seed
        )
        self.unrecovered = []
        # Errors of the soak itself.
        self.errors = []

    def run(self, seconds):
        """Run for some seconds and return all broken promises."""
        try:
            self._start_mesh()
            self._start_load()
            self._run_faults(seconds)
            self._recover()
            self._stop_mesh()
            self.load.stop()
        finally:
            self.load.stopped.set()
            self.processes.close()
            self._close_stand_ins()
        judge = oracle.Oracle(
            self.records, self.processes, self.writer, self.lag_monitor
        )
        return self.unrecovered + judge.judge()

    def _start_mesh(self):
        span = self.records.begin_span(None, "start")
        for host in self.hosts:
            self.processes.start(host)
        for host in self.hosts:
            if not self.wait_until_answers(host, START_SECONDS):
                raise RuntimeError(f"{host.address} did not start")
        span.end()

    def _start_load(self):
        rate = min(MAX_RATE_PER_HOST, MAX_RATE / len(self.hosts))
        pause = len(callers.KINDS) / rate
        for host in self.hosts:
            for number, kind in enumerate(callers.KINDS):
                self.load.add(kind(self.load, host, number, pause))

    def _run_faults(self, seconds):
        groups = [
            [kind for kind in group if kind in self.kinds]
            for group in faults.GROUPS
        ]
        repeats = 1 + len(self.hosts) // HOSTS_PER_SERIES
        series = [
            threading.Thread(
                target=faults.FaultSeries(self, number, group).run
            )
            for number, group in enumerate(groups * repeats)
            if group
        ]
        for thread in series:
            thread.start()
        time.sleep(seconds)
        self.calm.set()
        for thread in series:
            thread.join()
        if self.errors:
            raise self.errors[0]

    def _recover(self):
        """Check that each host answers after the faults."""
        for host in self.hosts:
            if not self.processes.current[host].is_running:
                self.processes.start(host)
        deadline = time.monotonic() + RECOVERY_SECONDS
        for host in self.hosts:
            remaining = max(1.0, deadline - time.monotonic())
            if not self.wait_until_answers(host, remaining):
                text = f"{host.address} does not answer after the faults"
                self.unrecovered.append(
                    oracle.BrokenPromise("RECOVER", "", text)
                )
        time.sleep(oracle.CONTACT_SECONDS)

    def _stop_mesh(self):
        """Stop all processes under load."""
        self.records.begin_span(None, "stop")
        processes = list(self.processes.current.values())
        for process in processes:
            process.send(signal.SIGTERM)
        for process in processes:
            if not self.processes.wait(process, faults.STOP_SECONDS):
                process.send(signal.SIGKILL)
                self.processes.wait(process, faults.STOP_SECONDS)

    def _close_stand_ins(self):
        for target in self.targets:
            target.stop()
        for link in self.links.values():
            link.close()
        self.store.close()
        self.lag_monitor.stopped.set()

    def wait_until_answers(self, host, seconds=START_SECONDS):
        """Return whether a host answers a request with 200 in time."""
        deadline = time.monotonic() + seconds
        caller = callers.RecoveryCaller(self.load, host)
        while time.monotonic() < deadline:
            if not self.processes.current[host].is_running:
                return False
            if caller.is_answered():
                return True
            time.sleep(0.1)
        return False

    @contextlib.contextmanager
    def store_fault(self, kind):
        """Yield the store for one fault of it at a time, or None."""
        if not self.store_lock.acquire(blocking=False):
            yield None
            return
        span = self.records.begin_span(None, kind)
        try:
            yield self.store
        finally:
            span.end()
            self.store_lock.release()

    def summarize(self):
        """Return the counts of faults, outcomes and ends of processes."""
        outcomes = collections.Counter(
            f"{item.outcome} {item.status}" if item.status else item.outcome
            for item in self.records.requests
        )
        exits = collections.Counter(
            str(item.exit_code) for item in self.processes.started
        )
        return {
            "seed": self.seed,
            "hosts": len(self.hosts),
            "requests": len(self.records.requests),
            "runs": len(self.records.runs),
            "outcomes": dict(sorted(outcomes.items())),
            "faults": dict(sorted(self.records.fault_counts.items())),
            "processes": len(self.processes.started),
            "exit_codes": dict(sorted(exits.items())),
            "peak_memory_mb": round(
                max(item.peak_memory_mb for item in self.processes.started)
            ),
            "versions": len(self.writer.versions),
            "longest_lag_seconds": round(self.lag_monitor.lag(0, 1e12), 3),
        }
