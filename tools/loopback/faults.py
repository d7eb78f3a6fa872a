"""Series of faults from a seed."""

import contextlib
import os
import random
import signal
import socket
import time

from tools.loopback import store_standin
from tools.loopback import target_process

# A signal that arrives while a process starts is a fault of its own.
START_SECONDS = 2.0
STOP_SECONDS = 10.0
DESCRIPTORS = 100
# Clients would reach whoever holds the port of the requests.
HELD_PORTS = ("readiness", "stream", "metrics")
FLOODED_PORTS = ("request", "readiness", "metrics")
HALF_BODY_BYTES = 200_000
LARGE_BODY_BYTES = 950_000
LARGE_BODY_CLIENTS = 300
BODY_HEAD = (
    b"POST /safe/half HTTP/1.1\r\nHost: a.example\r\n"
    b"Content-Length: 1000000\r\n\r\n"
)


class FaultSeries:
    """Cause faults one after another; several series overlap."""

    def __init__(self, soak, number, kinds):
        self.soak = soak
        self.random = random.Random(f"{soak.seed}-series-{number}")
        self.kinds = kinds

    def run(self):
        """Cause faults until the calm; note an error of the soak itself."""
        try:
            while not self.soak.calm.is_set():
                kind = self.random.choice(self.kinds)
                fault = getattr(self, kind)
                if fault():
                    self.soak.records.count_fault(kind)
                self.soak.calm.wait(self.random.uniform(0.05, 0.8))
        except Exception as error:
            self.soak.errors.append(error)

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

    def _replace(self, host, number, held_port="", early=False, **options):
        """End the process of a host and start another one.

        held_port names a port that is in use for a while, and early sends
        signals while the process starts.
        """
        soak = self.soak
        process = soak.processes.current[host]
        while time.monotonic() - process.started_at < START_SECONDS:
            time.sleep(0.1)
        span = soak.records.begin_span(host, number.name)
        process.send(number)
        self._await_end(process)
        self._sleep(0.0, 1.0)
        listener = None
        if held_port:
            listener = socket.create_server(host.at(held_port))
        process = soak.processes.start(host, **options)
        if listener is not None:
            self._sleep(0.2, 4.0)
            listener.close()
        if early:
            self._sleep(0.0, 1.0)
            process.send(signal.SIGHUP)
            if self.random.random() < 0.5:
                self._sleep(0.0, 0.3)
                process.send(signal.SIGTERM)
                self._await_end(process)
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

    def store_slow(self):
        """Let the store answer late."""
        with self.soak.store_fault("store slow") as store:
            if store is None:
                return False
            store.delay_seconds = self.random.uniform(0.3, 2.0)
            self._sleep(0.5, 5.0)
            store.delay_seconds = 0.0
        return True

    def store_stale(self):
        """Let the store serve an older state."""
        with self.soak.store_fault("store stale") as store:
            if store is None:
                return False
            store.freeze()
            self._sleep(0.5, 5.0)
            store.unfreeze()
        return True

    def store_broken(self):
        """Let the responses of the store be damaged or held back."""
        with self.soak.store_fault("store broken") as store:
            if store is None:
                return False
            store.manner = self.random.choice(store_standin.MANNERS)
            self._sleep(0.5, 5.0)
            store.manner = store_standin.WHOLE
        return True

    def store_restart(self):
        """Restart the store."""
        with self.soak.store_fault("store restart") as store:
            if store is None:
                return False
            address = store.stop()
            self._sleep(0.0, 3.0)
            store.listen(address)
        return True

    def store_restore(self):
        """Let the store go back to an older copy with a higher era."""
        with self.soak.store_fault("store restore") as store:
            if store is None:
                return False
            copy = store.copy()
            self._sleep(0.5, 4.0)
            store.restore(copy, int(store.era_text or 0) + 1)
            self._sleep(0.2, 2.0)
            self.soak.writer.write_again(self.soak.targets)
        return True

    def store_silent(self):
        """Lose the answers of the store, with changes around it.

        What is written right before brings each host to send its next watch
        into the silence.
        """
        loss = self.random.choice(store_standin.LOSSES)
        with self.soak.store_fault("store silent") as store:
            if store is None:
                return False
            self.soak.writer.publish()
            self._sleep(0.0, 0.4)
            store.manner = loss
            self._sleep(0.3, 2.0)
            self.soak.writer.publish()
            self._sleep(0.3, 2.0)
            store.manner = store_standin.WHOLE
        self._publish_later()
        return True

    def store_slow_changes(self):
        """Let the store answer late, with changes before, in and after."""
        with self.soak.store_fault("store slow changes") as store:
            if store is None:
                return False
            self.soak.writer.publish()
            store.delay_seconds = self.random.uniform(0.2, 3.0)
            self._sleep(0.3, 3.0)
            self.soak.writer.publish()
            self._sleep(0.3, 3.0)
            store.delay_seconds = 0.0
        self._publish_later()
        return True

    def store_restore_changes(self):
        """Restore the store from a copy, with changes before, in and after."""
        with self.soak.store_fault("store restore changes") as store:
            if store is None:
                return False
            copy = store.copy()
            self.soak.writer.publish()
            self._sleep(0.1, 2.0)
            store.restore(copy, int(store.era_text or 0) + 1)
            self.soak.writer.publish()
            self._sleep(0.0, 0.5)
            self.soak.writer.write_again(self.soak.targets)
        self._publish_later()
        return True

    def _publish_later(self):
        """Write versions after a fault, some once hosts are in touch again."""
        for _ in range(3):
            self._sleep(0.2, 3.5)
            self.soak.writer.publish()

    def link_broken(self):
        """Disturb the link between one host and the store."""
        host = self.random.choice(self.soak.hosts)
        link = self.soak.links[host]
        if not link.fault_lock.acquire(blocking=False):
            return False
        span = self.soak.records.begin_span(host, "link")
        kind = self.random.choice(("delay", "reset", "cut", "silent"))
        for _ in range(self.random.randint(1, 3)):
            if kind == "reset":
                link.reset_all()
            link.delay_seconds = 0.3 if kind == "delay" else 0.0
            link.is_cut_back = kind == "cut"
            link.is_silent = kind == "silent"
            self._sleep(0.2, 2.0)
        link.delay_seconds = 0.0
        link.is_cut_back = link.is_silent = False
        span.end()
        link.fault_lock.release()
        return True

    def evacuate(self):
        """Evacuate a failure domain for a while."""
        soak = self.soak
        domains = soak.layout.failure_domains
        # A region that has one failure domain keeps it.
        if len(domains) < 4 or not soak.evacuation_lock.acquire(
            blocking=False
        ):
            return False
        evacuation = soak.writer.evacuate(self.random.choice(domains))
        self._sleep(0.5, 9.0)
        soak.writer.end_evacuation(evacuation)
        soak.evacuation_lock.release()
        return True

    @contextlib.contextmanager
    def _reserve_target(self):
        """Yield a target for one fault at a time, or None."""
        soak = self.soak
        with soak.lock:
            free = [
                item for item in soak.targets if item not in soak.busy_targets
            ]
            room = max(1, len(soak.targets) // 2) - len(soak.busy_targets)
            chosen = [self.random.choice(free)] if room > 0 else []
            soak.busy_targets.update(chosen)
        try:
            yield next(iter(chosen), None)
        finally:
            with soak.lock:
                soak.busy_targets.difference_update(chosen)

    def target_crash(self):
        """End a target without a word; it comes back as another process."""
        with self._reserve_target() as target:
            if target is None:
                return False
            instance = target.instance
            target.stop()
            self._sleep(0.5, 3.0)
            target.start()
            self.soak.writer.register(target)
            self._sleep(0.0, 1.0)
            self.soak.writer.remove(instance)
        return True

    def target_leave(self):
        """Let a target leave as planned and start again."""
        with self._reserve_target() as target:
            if target is None:
                return False
            writer = self.soak.writer
            instance = target.instance
            target.faults.is_leaving = self.random.random() < 0.5
            is_announced = self.random.random() < 0.7
            if is_announced:
                writer.register(target, "draining")
            else:
                writer.remove(instance)
            self._sleep(2.2, 5.0)
            target.stop()
            if is_announced:
                writer.remove(instance)
            self._sleep(0.5, 2.0)
            target.start()
            writer.register(target)
        return True

    def target_faulty(self):
        """Let a target be slow, silent, full, limited or reset its answers."""
        with self._reserve_target() as target:
            if target is None:
                return False
            shown = target.faults
            kind = self.random.choice(
                ("slow", "silent", "full", "limit", "reset")
            )
            shown.delay_seconds = 0.5 if kind == "slow" else 0.0
            shown.is_silent = kind == "silent"
            shown.is_full = kind == "full"
            shown.rate_limit = 5.0 if kind == "limit" else 0.0
            shown.reset_share = 0.3 if kind == "reset" else 0.0
            self._sleep(0.3, 4.0)
            target.faults = target_process.TargetFaults()
        return True

    def half_bodies(self):
        """Let some clients send half of a body and go away."""
        host = self.random.choice(self.soak.hosts)
        self._leave_bodies(host, self.random.randint(5, 40), HALF_BODY_BYTES)
        return True

    def large_bodies(self):
        """Let many clients send most of a large body and go away."""
        host = self.random.choice(self.soak.hosts)
        self._leave_bodies(host, LARGE_BODY_CLIENTS, LARGE_BODY_BYTES)
        return True

    def _leave_bodies(self, host, count, size):
        clients = send_incomplete_bodies(host, count, size)
        self._sleep(0.2, 3.0)
        for client in clients:
            client.close()

    def few_descriptors(self):
        """Run a process with few descriptors while connections come."""
        command = ["sh", "-c", f'ulimit -n {DESCRIPTORS}; exec "$@"', "sh"]
        return self._run_changed(self._flood, prefix=command)

    def _flood(self, host):
        """Open more connections than a process has descriptors."""
        clients = []
        for _ in range(3 * DESCRIPTORS):
            port_name = self.random.choice(FLOODED_PORTS)
            with contextlib.suppress(OSError):
                clients.append(
                    socket.create_connection(host.at(port_name), 0.2)
                )
        self._sleep(0.5, 3.0)
        for client in clients:
            client.close()

    def closed_output(self):
        """Run a process whose standard output has lost its reader."""
        reader, writer = os.pipe()
        os.close(reader)
        return self._run_with_output(writer)

    def unread_output(self):
        """Run a process whose standard output is not read."""
        reader, writer = os.pipe()
        try:
            return self._run_with_output(writer)
        finally:
            os.close(reader)

    def _run_with_output(self, descriptor):
        try:
            return self._run_changed(
                lambda host: self._sleep(1.0, 5.0), stdout=descriptor
            )
        finally:
            os.close(descriptor)

    def _run_changed(self, during, **options):
        """Replace a process by one that is started with other options."""
        soak = self.soak
        with self._reserve_hosts() as hosts:
            for host in hosts:
                self._replace(host, signal.SIGTERM, **options)
                during(host)
                if soak.processes.current[host].is_running:
                    self._replace(host, signal.SIGTERM)
            return bool(hosts)

    def port_in_use(self):
        """Hold a port of a sidecar while it starts."""
        with self._reserve_hosts() as hosts:
            for host in hosts:
                port_name = self.random.choice(HELD_PORTS)
                self._replace(host, signal.SIGTERM, held_port=port_name)
            return bool(hosts)

    def early_signal(self):
        """Send signals to a process that starts."""
        with self._reserve_hosts() as hosts:
            for host in hosts:
                self._replace(host, signal.SIGTERM, early=True)
            return bool(hosts)


def draw_kinds(seed):
    """Return the kinds of faults of a run, at least one of each group."""
    source = random.Random(f"{seed}-kinds")
    drawn = []
    for group in GROUPS:
        chosen = [kind for kind in group if source.random() < KIND_PROBABILITY]
        drawn += chosen or [source.choice(group)]
    return drawn


def send_incomplete_bodies(host, count, size):
    """Return connections that have each sent a part of a body."""
    clients = []
    for _ in range(count):
        with contextlib.suppress(OSError):
            client = socket.create_connection(host.at("request"), 1.0)
            clients.append(client)
            client.settimeout(0.2)
            client.sendall(BODY_HEAD + bytes(size))
    return clients


# Each series draws from one group.
GROUPS = (
    (
        "terminate",
        "kill",
        "freeze",
        "reload",
        "few_descriptors",
        "closed_output",
        "unread_output",
        "port_in_use",
        "early_signal",
    ),
    (
        "configure",
        "evacuate",
        "store_down",
        "store_slow",
        "store_stale",
        "store_broken",
        "store_restart",
        "store_restore",
        "store_silent",
        "store_slow_changes",
        "store_restore_changes",
        "link_broken",
    ),
    (
        "target_crash",
        "target_leave",
        "target_faulty",
        "half_bodies",
        "large_bodies",
    ),
)
KINDS = tuple(kind for group in GROUPS for kind in group)
# Some promises hold only while a kind of fault is rare, so each run leaves
# some kinds out.
KIND_PROBABILITY = 0.6
