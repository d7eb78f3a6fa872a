"""In-memory network, source and simulated clock for control planes."""

import heapq
import itertools
import random

from hickorythread import control
from hickorythread import events
from hickorythread import messages
from hickorythread import models
from hickorythread import settings
from tests import builders

TICK_SECONDS = 0.1


class Source:
    """Stand-in for the platform.

    `visible_counts` limits how many entries of a log readers can see.
    """

    def __init__(self, hosts):
        self.logs = {messages.CONFIG_LOG: [], messages.HOSTS_LOG: []}
        self.visible_counts = {}
        self.checkpoints = {}
        self.available = True
        self.pending_reads = []
        self.read_times = []
        changes = [{"op": "put", "host": host.to_document()} for host in hosts]
        self.append(messages.HOSTS_LOG, {"changes": changes})

    def append(self, log, fields):
        sequence = len(self.logs[log]) + 1
        self.logs[log].append(fields | {"sequence": sequence})
        return sequence

    def publish(self, document, now):
        fields = {"published_at_ms": int(now * 1000), "patch": document}
        return self.append(messages.CONFIG_LOG, fields)

    def visible_entries(self, log):
        return self.logs[log][: self.visible_counts.get(log)]


class Node:
    """Control plane and process state of one simulated host."""

    def __init__(self, host, plane, peer):
        self.host = host
        self.plane = plane
        self.peer = peer
        self.alive = True
        self.paused_until = 0.0
        self.applied_versions = []


class Network:
    """Simulated network with latency, loss, duplication and partitions."""

    def __init__(self, hosts, seed=0, source_region=None, latencies=None):
        self.random = random.Random(seed)
        self.now = 100.0
        self.hosts = {host.id: host for host in hosts}
        self.source_region = source_region or hosts[0].region
        self.latencies = latencies or (0.0001, 0.001, 0.012)
        self.source = Source(hosts)
        self.nodes = {}
        self.queue = []
        self.tie_breaker = itertools.count()
        self.loss = self.duplication = self.jitter = 0.0
        self.partitions = {}
        self.source_partition = 0
        self.action_observer = lambda node, action: None
        self.send_observer = None
        self.incarnations = itertools.count(1)

    # Nodes.

    def start(self, host_id, **changes):
        host = self.hosts[host_id]
        incarnation = next(self.incarnations)
        node_settings = settings.Settings(
            host.id,
            host.region,
            host.failure_domain,
            host.service,
            host.stream_address,
            *["127.0.0.1:1"] * 4,
            self.source_region,
            **changes,
        )
        plane = control.ControlPlane.from_config(
            node_settings,
            random.Random(self.random.getrandbits(64)),
            incarnation,
            self.now,
        )
        peer = events.Peer(
            host.id, incarnation, host.region, host.failure_domain
        )
        node = self.nodes[host_id] = self.make_node(host, plane, peer)
        self.perform(node, plane.start(self.now))
        self.schedule(TICK_SECONDS * self.random.random(), self.tick, node)
        return node

    def make_node(self, host, plane, peer):
        return Node(host, plane, peer)

    def start_all(self):
        for host_id in self.hosts:
            self.start(host_id)

    def kill(self, host_id):
        self.nodes[host_id].alive = False

    def planes(self):
        return [node.plane for node in self.nodes.values() if node.alive]

    # Time.

    def schedule(self, delay, callback, *arguments):
        item = (self.now + delay, next(self.tie_breaker), callback, arguments)
        heapq.heappush(self.queue, item)

    def run(self, seconds, until=None):
        """Run the simulation; stop early once until() is true.

        until is checked every 0.05 s of simulated time.
        """
        end = self.now + seconds
        check_at = self.now
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback, arguments = heapq.heappop(self.queue)
            callback(*arguments)
            if until is not None and self.now >= check_at:
                check_at = self.now + 0.05
                if until():
                    return True
        self.now = end
        return until is not None and until()

    def tick(self, node):
        if self.nodes[node.host.id] is node and node.alive:
            self.dispatch(node, events.Tick())
            self.schedule(TICK_SECONDS, self.tick, node)

    def dispatch(self, node, event):
        if not node.alive:
            return
        if node.paused_until > self.now:
            if not isinstance(event, events.Tick):
                self.schedule(
                    node.paused_until - self.now, self.dispatch, node, event
                )
            return
        self.perform(node, node.plane.handle(event, self.now))

    # Actions.

    def perform(self, node, actions):
        for action in actions:
            if isinstance(action, events.Send):
                self.send(node, action)
            elif isinstance(action, events.ReadSource | events.ReadCheckpoint):
                self.start_read(node, action)
            else:
                self.action_observer(node, action)

    def partition_of(self, host):
        return self.partitions.get(host.failure_domain, 0)

    def latency(self, sender, receiver):
        remote = sender.region != receiver.region
        other_domain = sender.failure_domain != receiver.failure_domain
        base = self.latencies[2 if remote else other_domain]
        return base + self.jitter * self.random.random()

    def send(self, node, action):
        message = action.message
        if self.send_observer is not None:
            self.send_observer(node, action)
        target = self.nodes.get(action.host_id)
        if target is None or self.partition_of(node.host) != self.partition_of(
            target.host
        ):
            return
        if not target.alive:
            closed = events.StreamClosed(action.host_id, "refused")
            self.schedule(0.001, self.dispatch, node, closed)
            return
        version = node.plane.configuration.version
        event = events.MessageReceived(node.peer, message, version)
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            if self.random.random() >= self.loss:
                delay = self.latency(node.host, target.host)
                self.schedule(delay, self.dispatch, target, event)

    def start_read(self, node, action):
        self.source.read_times.append(self.now)
        remote = node.host.region != self.source_region
        delay = 0.002 + remote * self.latencies[2]
        wait = getattr(action, "wait_seconds", 0.0)
        self.source.pending_reads.append(
            (self.now + wait, node, action, delay)
        )
        self.complete_pending_reads()
        self.schedule(wait, self.complete_pending_reads)

    def fail_read(self, node, log, kind):
        self.dispatch(node, events.SourceFailed(log, kind))

    def complete_pending_reads(self):
        """Respond to the reads that have new entries or whose wait is over."""
        pending, self.source.pending_reads = self.source.pending_reads, []
        for item in pending:
            until, node, action, delay = item
            partitioned = self.partition_of(node.host) != self.source_partition
            visible = self.source.visible_entries(action.log)
            after = getattr(action, "after", 0)
            entries = visible[after : after + 100]
            # A read across a partition gets no reply and times out.
            if partitioned or not self.source.available:
                kind, delay = (
                    ("timeout", 1.0) if partitioned else ("refused", delay)
                )
                self.schedule(delay, self.fail_read, node, action.log, kind)
            elif isinstance(action, events.ReadCheckpoint):
                document = self.source.checkpoints.get(action.log)
                event = events.CheckpointRead(action.log, document)
                self.schedule(delay, self.dispatch, node, event)
            elif entries or self.now >= until - 1e-9:
                event = events.SourceRead(action.log, entries, len(visible))
                self.schedule(delay, self.dispatch, node, event)
            else:
                self.source.pending_reads.append(item)

    # Helpers for tests.

    def publish(self, document):
        sequence = self.source.publish(document, self.now)
        self.complete_pending_reads()
        return sequence

    def change_hosts(self, *changes):
        self.source.append(messages.HOSTS_LOG, {"changes": list(changes)})
        self.complete_pending_reads()


def make_hosts(per_domain=3, regions=None, service="spec-desk"):
    """Return per_domain hosts for each failure domain of the regions."""
    regions_by_domain = builders.REGIONS
    if regions is not None:
        regions_by_domain = {
            name: key for key in regions for name in regions[key]
        }
    names = itertools.product(regions_by_domain, range(per_domain))
    return [
        models.Host(
            f"{domain}-{number}",
            regions_by_domain[domain],
            domain,
            service,
            f"10.0.0.{index}:7000",
            "10.0.0.1:80",
        )
        for index, (domain, number) in enumerate(names)
    ]
