"""Series of faults from a seed."""

import contextlib
import random
import signal
import time

# A signal that arrives while a process starts is a fault of its own.
START_SECONDS = 2.0
STOP_SECONDS = 10.0


class FaultSeries:
    """Cause faults one after another; several series overlap."""

    def __init__(self, soak, number, kinds):
        self.soak = soak
        self.random = random.Random(f"{soak.seed}-series-{number}")
        self.kinds = kinds

    def run(self):
        while not self.soak.calm.is_set():
            kind = self.random.choice(self.kinds)
            fault = getattr(self, kind)
            if fault():
                self.soak.records.count_fault(kind)
            self.soak.calm.wait(self.random.uniform(0.05, 0.8))

    def _sleep(self, low, high):
        time.sleep(self.random.uniform(low, high))

    @contextlib.contextmanager
    def _reserve_hosts(self, count=1):
        """Yield hosts whose process may be replaced; most hosts stay."""
        soak = self.soak
        with soak.lock:
            free = [
                host
                for host in soak.hosts
                if host not in soak.reserved
                and soak.processes.current[host].is_running
            ]
            room = max(1, len(soak.hosts) // 3) - len(soak.reserved)
            chosen = self.random.sample(
                free, max(0, min(count, room, len(free)))
            )
            soak.reserved.update(chosen)
        try:
            yield chosen
        finally:
            with soak.lock:
                soak.reserved.difference_update(chosen)

    def _choose_process(self):
        """Return a process that has run for some time, or None."""
        processes = [
            process
            for process in self.soak.processes.current.values()
            if process.is_running
            and time.monotonic() - process.started_at > START_SECONDS
        ]
        return self.random.choice(processes) if processes else None

    def terminate(self):
        """End processes with SIGTERM and start them again."""
        with self._reserve_hosts(self.random.randint(1, 2)) as hosts:
            for host in hosts:
                self._replace(host, signal.SIGTERM)
            return bool(hosts)

    def kill(self):
        """End a process with SIGKILL and start it again."""
        with self._reserve_hosts() as hosts:
            for host in hosts:
                self._replace(host, signal.SIGKILL)
            return bool(hosts)

    def _replace(self, host, number):
        soak = self.soak
        process = soak.processes.current[host]
        while time.monotonic() - process.started_at < START_SECONDS:
            time.sleep(0.1)
        span = soak.records.begin_span(host, number.name)
        process.send(number)
        self._await_end(process)
        self._sleep(0.0, 1.0)
        soak.processes.start(host)
        soak.wait_until_answers(host)
        span.end()

    def _await_end(self, process):
        """Wait for the end of a process; kill it if it does not end."""
        processes = self.soak.processes
        deadline = time.monotonic() + STOP_SECONDS
        while process.is_running:
            time.sleep(0.05)
            if time.monotonic() > deadline + process.stopped_seconds:
                process.send(signal.SIGKILL)
                processes.wait(process, STOP_SECONDS)
                return

    def freeze(self):
        """Stop a process with SIGSTOP for a while."""
        process = self._choose_process()
        with self.soak.lock:
            if process is None or process in self.soak.frozen:
                return False
            self.soak.frozen.add(process)
        span = self.soak.records.begin_span(process.host, "SIGSTOP")
        started_at = time.monotonic()
        seconds = self.random.choice((0.1, 0.5, 1.5, 4.0))
        process.stopped_seconds += seconds + 1.0
        process.send(signal.SIGSTOP)
        time.sleep(seconds)
        process.send(signal.SIGCONT)
        process.stopped_seconds += time.monotonic() - started_at
        process.stopped_seconds -= seconds + 1.0
        span.end()
        with self.soak.lock:
            self.soak.frozen.discard(process)
        return True

    def reload(self):
        """Change the settings of a host, mostly with SIGHUP."""
        process = self._choose_process()
        if process is None:
            return False
        processes = self.soak.processes
        for _ in range(self.random.randint(1, 4)):
            slack = self.random.randint(50, 70)
            processes.write_settings(process.host, retry_slack=slack)
            if self.random.random() < 0.2:
                path = processes.settings_path(process.host)
                path.write_text('{"host_id": ', "utf-8")
            if self.random.random() < 0.8:
                process.send(signal.SIGHUP)
            self._sleep(0.0, 0.3)
        processes.write_settings(process.host)
        return True

    def configure(self):
        """Write configurations one after another."""
        for _ in range(self.random.randint(1, 4)):
            self.soak.writer.publish()
            self._sleep(0.0, 1.0)
        return True

    def store_down(self):
        """Let the store refuse all calls."""
        with self.soak.store_fault("store down") as store:
            if store is None:
                return False
            store.error_status = self.random.choice((500, 503, 429))
            self._sleep(0.5, 5.0)
            store.error_status = 0
        return True


KINDS = (
    "terminate",
    "kill",
    "freeze",
    "reload",
    "configure",
    "store_down",
)
# Faults that the present code does not survive, with their issue.
OPEN_KINDS = ()
