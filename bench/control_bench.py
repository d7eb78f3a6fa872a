"""Measure the control plane core in simulated time and alone."""

import json
import statistics
import sys
import time
import tracemalloc
from typing import Any

from hickorythread import acceptance
from hickorythread import codec
from hickorythread import control
from hickorythread import events
from hickorythread import joining
from hickorythread import membership
from hickorythread import messages
from hickorythread import models
from hickorythread import readers
from hickorythread import relay
from tests import builders
from tests import network

CONVERGENCE_SECONDS = 6.0
SOURCE_READS_PER_SECOND = 100.0
NODE_BYTES_PER_SECOND = 7000.0
LINK_BYTES_PER_MINUTE = 30e6 / 8 * 60
NODE_CPU_SHARE = 0.028
NODE_BYTES = 128e6
SERVICES = 680
HOSTS = 23_000
TARGET_REGIONS = {
    f"region-{region}": tuple(
        f"domain-{region}-{number}" for number in range(3 if region < 4 else 2)
    )
    for region in range(5)
}
GUILD_PER_DOMAIN = 4

ROLES = ("first_reader", "reader", "gateway", "node")

Row = dict[str, Any]


class EveryNodeReads(readers.ReaderPolicy):
    """Let every node watch the source; a baseline."""

    __slots__ = ()

    def is_reader(self, rank: int | None) -> bool:
        """Return True for every node."""
        return True


class FloodingRelay(relay.Relay):
    """Push to 8 random members without delegating ranges; a baseline."""

    __slots__ = ()

    def split(self, low: int, high: int) -> list[relay.Share]:
        """Return shares that all cover the whole ring."""
        names = {
            self.members.random_member(self.region)
            for _ in range(relay.FAN_OUT)
        }
        return [
            relay.Share(name, relay.RING_START, relay.RING_END)
            for name in sorted(filter(None, names))
        ]


class Meter:
    """Count the encoded bytes that nodes send, by message and by link."""

    def __init__(self, net: network.Network) -> None:
        self.net = net
        self.kinds: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        self.link = 0
        net.send_observer = self.add

    def add(self, node: network.Node, action: events.Send) -> None:
        """Count one message."""
        version = node.plane.configuration.version
        size = len(codec.encode(action.message, version))
        kind = type(action.message).__name__
        self.kinds[kind] = self.kinds.get(kind, 0) + size
        self.counts[kind] = self.counts.get(kind, 0) + 1
        target = self.net.hosts.get(action.host_id)
        if target is not None and target.region != node.host.region:
            self.link += size

    def total(self) -> int:
        """Return all bytes."""
        return sum(self.kinds.values())


def row(
    name: str,
    value: float,
    unit: str,
    bound: float | None = None,
    baseline: float | None = None,
) -> Row:
    """Return one result; without a bound there is nothing to miss."""
    return {
        "name": name,
        "value": round(value, 6),
        "unit": unit,
        "bound": bound,
        "ok": bound is None or value <= bound,
        "baseline": None if baseline is None else round(baseline, 6),
    }


def joined(
    hosts: list[models.Host],
    operations: list[models.Document] | None = None,
    relay_class: type[relay.Relay] = relay.Relay,
    policy_class: type[readers.ReaderPolicy] = readers.ReaderPolicy,
) -> network.Network:
    """Return a network whose nodes have joined and share one host list."""
    net = network.Network(hosts, seed=1)
    net.source.publish(
        builders.patch(0, *(operations or builders.guild_operations())), 0.0
    )
    first: control.ControlPlane | None = None
    for host in hosts:
        plane = net.start(host.id).plane
        if first is None:
            first = plane
            for log, entries in net.source.logs.items():
                event = events.SourceRead(log, entries, len(entries))
                plane.handle(event, net.now)
        else:
            share(first, plane)
        plane.join.phase = joining.READY
        plane.policy = policy_class(plane.region, net.source_region)
        plane.relay = relay_class(plane.members, plane.region)
    net.run(1.5)
    return net


def share(first: control.ControlPlane, plane: control.ControlPlane) -> None:
    """Give a plane the state of another one; the lists are not changed."""
    plane.config.configuration = first.config.configuration
    plane.host_list.hosts = first.host_list.hosts
    plane.host_list.digest = first.host_list.digest
    for log, held in plane.replicas.items():
        held.position = first.replicas[log].position
    for name in (
        "hosts",
        "addresses",
        "region_rings",
        "rank_rings",
        "domain_rings",
    ):
        setattr(plane.members, name, getattr(first.members, name))


def fleet(nodes: int) -> list[models.Host]:
    """Return hosts spread over two regions with four failure domains."""
    hosts = network.make_hosts(-(-nodes // 4))
    return hosts[:nodes] if nodes < 4 else hosts


def publish(net: network.Network) -> float:
    """Publish a patch and return the seconds until all nodes hold it."""
    planes = net.planes()
    head = max(plane.configuration.version for plane in planes)
    name = f"service-{head}"
    put = builders.operation("put_service", builders.service(name))
    start = net.now
    last = [start]

    def observe(node: network.Node, action: events.Record) -> None:
        if isinstance(action, events.ConfigurationChanged):
            last[0] = net.now

    net.action_observer = observe
    net.publish(builders.patch(head, put, id=name))
    net.run(
        30.0,
        until=lambda: all(
            plane.configuration.version > head for plane in planes
        ),
    )
    return last[0] - start


def convergence(sizes: tuple[int, ...] = (10, 50, 200, 1000)) -> list[Row]:
    """Measure convergence and bytes per patch against the fleet's size."""
    rows = []
    for nodes in sizes:
        net = joined(fleet(nodes))
        flooded = joined(fleet(nodes), relay_class=FloodingRelay)
        seconds = publish(net)
        rows.append(
            row(
                f"convergence_seconds_{nodes}",
                seconds,
                "s",
                CONVERGENCE_SECONDS,
                publish(flooded),
            )
        )
        rows.append(
            row(
                f"patch_bytes_per_node_{nodes}",
                patch_bytes(net) / nodes,
                "B",
                None,
                patch_bytes(flooded) / nodes,
            )
        )
    return rows


def convergence_large(nodes: int = 5000) -> list[Row]:
    """Measure convergence of a large fleet without a baseline."""
    net = joined(fleet(nodes))
    seconds = publish(net)
    return [
        row(f"convergence_seconds_{nodes}", seconds, "s", CONVERGENCE_SECONDS)
    ]


def convergence_disturbed(nodes: int = 200) -> list[Row]:
    """Measure convergence with lost messages or a dead first reader."""
    rows = []
    for percent in (1, 10, 30):
        net = joined(fleet(nodes))
        net.loss = percent / 100
        name = f"convergence_seconds_{nodes}_loss_{percent}_percent"
        rows.append(row(name, publish(net), "s", CONVERGENCE_SECONDS))
    net = joined(fleet(nodes))
    reader = net.planes()[0].members.top_ranked(net.source_region, 1)[0]
    net.kill(reader)
    name = f"convergence_seconds_{nodes}_reader_dead"
    rows.append(row(name, publish(net), "s", CONVERGENCE_SECONDS))
    return rows


def patch_bytes(net: network.Network) -> float:
    """Return the bytes of pushes and acknowledgements for one patch."""
    meter = Meter(net)
    publish(net)
    net.run(0.5)
    net.send_observer = None
    kinds = meter.kinds
    return kinds.get("Push", 0) + kinds.get("PushAck", 0)


def idle_bytes(nodes: int = 200) -> list[Row]:
    """Measure what nodes send in an idle minute."""
    net = joined(fleet(nodes))
    meter = Meter(net)
    net.run(60.0)
    return [
        row(
            f"idle_bytes_per_node_minute_{nodes}",
            meter.total() / nodes,
            "B",
            NODE_BYTES_PER_SECOND * 60,
        ),
        row(
            f"link_bytes_idle_minute_{nodes}",
            meter.link,
            "B",
            LINK_BYTES_PER_MINUTE,
        ),
    ]


def role_bytes(per_domain: int = 14) -> list[Row]:
    """Measure what the nodes of each role send in the regions of the target.

    Bytes are those of the messages, without the headers of TCP and IP.
    """
    net = joined(network.make_hosts(per_domain, TARGET_REGIONS))
    idle = RoleMeter(net)
    net.run(60.0)
    patch = RoleMeter(net)
    publish(net)
    net.run(0.5)
    net.send_observer = None
    rows = []
    for role in ROLES:
        rows.append(
            row(
                f"role_idle_bytes_per_second_{role}",
                idle.most(role) / 60.0,
                "B/s",
                NODE_BYTES_PER_SECOND,
            )
        )
        rows.append(
            row(
                f"role_idle_messages_per_second_{role}",
                idle.most_messages(role) / 60.0,
                "1/s",
            )
        )
        rows.append(
            row(f"role_patch_bytes_{role}", patch.most_pushed(role), "B")
        )
    return rows


class RoleMeter:
    """Count the bytes that each node sends and group nodes by role."""

    def __init__(self, net: network.Network) -> None:
        self.net = net
        self.sent: dict[str, int] = {}
        self.pushed: dict[str, int] = {}
        self.messages: dict[str, int] = {}
        net.send_observer = self.add

    def add(self, node: network.Node, action: events.Send) -> None:
        """Count one message."""
        version = node.plane.configuration.version
        size = len(codec.encode(action.message, version))
        name = node.host.id
        self.sent[name] = self.sent.get(name, 0) + size
        self.messages[name] = self.messages.get(name, 0) + 1
        if isinstance(action.message, messages.Push | messages.PushAck):
            self.pushed[name] = self.pushed.get(name, 0) + size

    def role(self, name: str) -> str:
        """Return the role of a node by its rank."""
        plane = self.net.nodes[name].plane
        if plane.policy.is_reader(plane.rank):
            return "first_reader" if plane.rank == 0 else "reader"
        if plane.policy.is_gateway(plane.rank):
            return "gateway"
        return "node"

    def most(self, role: str) -> int:
        """Return the bytes of the node that sent most."""
        return self._most(self.sent, role)

    def most_messages(self, role: str) -> int:
        """Return the messages of the node that sent most."""
        return self._most(self.messages, role)

    def most_pushed(self, role: str) -> int:
        """Return the push bytes of the node that pushed most."""
        return self._most(self.pushed, role)

    def _most(self, counts: dict[str, int], role: str) -> int:
        found = [
            count for name, count in counts.items() if self.role(name) == role
        ]
        return max(found, default=0)


def link_bytes(per_domain: int = GUILD_PER_DOMAIN) -> list[Row]:
    """Measure the bytes on the link between regions for one patch."""
    hosts = network.make_hosts(per_domain)
    services = target_operations(list(builders.REGIONS.items()))
    net = joined(hosts, services)
    meter = Meter(net)
    net.run(10.0)
    idle = meter.link / 10.0
    start = net.now
    meter.link = 0
    publish(net)
    net.run(2.0)
    value = meter.link - idle * (net.now - start)
    plane = net.planes()[0]
    snapshot = acceptance.to_snapshot(plane.configuration)
    full = len(codec.compress(snapshot))
    return [
        row("link_bytes_per_patch", value, "B", None, full),
        row(
            "link_bytes_per_patch_every_node_reads",
            value,
            "B",
            None,
            delta_bytes(net) * len(hosts) / 2,
        ),
    ]


def delta_bytes(net: network.Network) -> int:
    """Return the size of the newest entry as the source answers it."""
    return len(json.dumps(net.source.logs[messages.CONFIG_LOG][-1]))


def source_reads(nodes: int = 100, few: int = 20) -> list[Row]:
    """Measure reads at the source: quiet, herd restart, after an outage."""
    quiet_few = reads_per_second(joined(fleet(few)), 10.0)
    net = joined(fleet(nodes))
    quiet = reads_per_second(net, 10.0)
    names = sorted(net.hosts)
    for name in names[::2]:
        net.kill(name)
        net.start(name)
    herd = peak_reads(net, 15.0)
    net.source.available = False
    net.answer_pending_reads()
    outage = peak_reads(net, 20.0)
    net.source.available = True
    after = peak_reads(net, 10.0)
    every = joined(fleet(nodes), policy_class=EveryNodeReads)
    baseline = reads_per_second(every, 10.0)
    every_few = joined(fleet(few), policy_class=EveryNodeReads)
    baseline_few = reads_per_second(every_few, 10.0)
    bound = SOURCE_READS_PER_SECOND
    return [
        row("source_reads_quiet", quiet, "1/s", bound, baseline),
        row("source_reads_herd_restart", herd, "1/s", bound, baseline),
        row("source_reads_in_outage", outage, "1/s", bound),
        row("source_reads_after_outage", after, "1/s", bound, baseline),
        row(
            "source_reads_quiet_per_node_slope",
            (quiet - quiet_few) / (nodes - few),
            "1/s",
            bound / HOSTS,
            (baseline - baseline_few) / (nodes - few),
        ),
    ]


def reads_per_second(net: network.Network, seconds: float) -> float:
    """Return the mean rate of reads."""
    net.source.reads.clear()
    net.run(seconds)
    return len(net.source.reads) / seconds


def peak_reads(net: network.Network, seconds: float) -> float:
    """Return the highest number of reads in any second."""
    net.source.reads.clear()
    net.run(seconds)
    reads = net.source.reads
    counts: dict[int, int] = {}
    for at in reads:
        counts[int(at)] = counts.get(int(at), 0) + 1
    return float(max(counts.values(), default=0))


def target_operations(
    domains: list[tuple[str, str]],
) -> list[models.Document]:
    """Return a first patch with 680 services and a route for each."""
    operations = [
        builders.operation(
            "put_failure_domain", {"name": name, "region": region}
        )
        for name, region in domains
    ]
    for number in range(SERVICES):
        name = f"service-of-the-mesh-{number:03}"
        route = builders.route(f"route-{number:03}", name)
        operations.append(
            builders.operation("put_service", builders.service(name))
        )
        operations.append(builders.operation("put_route", route))
    return operations


def target_hosts(count: int) -> list[models.Host]:
    """Return hosts of the target scale: 5 regions, 14 failure domains."""
    per_domain = -(-count // 14)
    hosts = network.make_hosts(per_domain, TARGET_REGIONS)[:count]
    for number, host in enumerate(hosts):
        host.id = f"host-{number:05}"
        host.service = f"service-of-the-mesh-{number % SERVICES:03}"
        host.stream_address = f"10.{number >> 8}.{number & 255}.1:7000"
        host.http_address = f"10.{number >> 8}.{number & 255}.1:8080"
    return hosts


def large_plane(count: int) -> tuple[network.Network, network.Node]:
    """Return one joined node whose host list has the given length."""
    hosts = target_hosts(count)
    net = network.Network(hosts, seed=1)
    domains = [
        (domain, region)
        for region, names in TARGET_REGIONS.items()
        for domain in names
    ]
    net.source.publish(builders.patch(0, *target_operations(domains)), 0.0)
    node = net.start(hosts[0].id)
    for log, entries in net.source.logs.items():
        event = events.SourceRead(log, entries, len(entries))
        node.plane.handle(event, net.now)
    node.plane.join.phase = joining.READY
    return net, node


def cpu(sizes: tuple[int, ...] = (1000, 5000, HOSTS)) -> list[Row]:
    """Measure the CPU share of a node against the host list's length."""
    rows = []
    for count in sizes:
        net, node = large_plane(count)
        bound = NODE_CPU_SHARE
        rows.append(
            row(
                f"cpu_per_idle_second_{count}",
                idle_seconds(net, node),
                "s",
                bound,
            )
        )
        rows.append(row(f"cpu_tick_{count}", tick_seconds(node), "s"))
        rows.append(
            row(f"cpu_host_change_{count}", host_change_seconds(node), "s")
        )
        rows.append(row(f"cpu_patch_{count}", patch_seconds(node), "s"))
        rows.extend(snapshot_rows(node, count))
    return rows


def idle_seconds(net: network.Network, node: network.Node) -> float:
    """Return the CPU time of what a node handles in an idle second."""
    plane = node.plane
    peer = peer_of(plane, 1)
    position = plane.replicas[messages.CONFIG_LOG].position
    hosts = plane.replicas[messages.HOSTS_LOG].position
    state = (position.sequence, position.digest)
    state += (hosts.sequence, hosts.digest)
    now = plane.now
    seconds = 20
    start = time.process_time()
    for second in range(seconds):
        for _ in range(10):
            now += 0.1
            count_bytes(plane, plane.handle(events.Tick(), now))
        ping = messages.Ping(now, *state, second, 0.1)
        pong = messages.Pong(now, now, *state, second, 0.1)
        beacon = messages.Beacon(
            peer.host_id, 1, second, now, relay.RING_START, relay.RING_END
        )
        report = messages.StatusReport(
            peer.failure_domain, [[1, b"x" * 32, 9]], [["host-1", 1]]
        )
        for message in (ping, pong, beacon, report):
            event = events.MessageReceived(peer, message, 1)
            count_bytes(plane, plane.handle(event, now))
    return (time.process_time() - start) / seconds


def count_bytes(
    plane: control.ControlPlane, actions: list[events.Record]
) -> int:
    """Encode what a node sends, as its streams would."""
    version = plane.configuration.version
    return sum(
        len(codec.encode(action.message, version))
        for action in actions
        if isinstance(action, events.Send)
    )


def snapshot_rows(node: network.Node, count: int) -> list[Row]:
    """Return the CPU time and size of a snapshot of the host list."""
    held = node.plane.replicas[messages.HOSTS_LOG]
    held.snapshot = None
    start = time.process_time()
    data = held.to_snapshot().data
    built = time.process_time()
    document = codec.decompress(data).ok
    fresh = empty_plane()
    fresh.handle(events.CheckpointRead(messages.HOSTS_LOG, document), 0.0)
    installed = time.process_time()
    return [
        row(f"cpu_snapshot_build_{count}", built - start, "s"),
        row(f"cpu_snapshot_install_{count}", installed - built, "s"),
        row(f"snapshot_bytes_{count}", len(data), "B"),
    ]


def peer_of(plane: control.ControlPlane, place: int) -> events.Peer:
    """Return a peer of the own region."""
    names = plane.members.region_rings[plane.region].names
    others = [name for name in names if name != plane.host_id]
    host = plane.members.hosts[others[place % len(others)]]
    return events.Peer(host.id, 1, host.region, host.failure_domain)


def tick_seconds(node: network.Node) -> float:
    """Return the CPU time of a tick."""
    plane = node.plane
    start = time.process_time()
    for _ in range(500):
        plane.handle(events.Tick(), plane.now + 0.1)
    return (time.process_time() - start) / 500


def host_change_seconds(node: network.Node) -> float:
    """Return the CPU time of one change of the host list."""
    plane = node.plane
    held = plane.replicas[messages.HOSTS_LOG]
    changes = 200
    start = time.process_time()
    for number in range(changes):
        host = target_hosts(14)[number % 14].to_document()
        host |= {"id": f"new-{number}", "stream_address": f"new-{number}"}
        entry = {
            "sequence": held.position.sequence + 1,
            "changes": [{"op": "put", "host": host}],
        }
        event = events.SourceRead(messages.HOSTS_LOG, [entry], 10**6)
        plane.handle(event, plane.now)
    return (time.process_time() - start) / changes


def patch_seconds(node: network.Node) -> float:
    """Return the CPU time of one pushed patch on a large configuration."""
    plane = node.plane
    peer = peer_of(plane, 1)
    held = plane.replicas[messages.CONFIG_LOG]
    spent = []
    for number in range(10):
        configuration = plane.configuration
        put = builders.operation(
            "put_service", builders.service(f"extra-{number}")
        )
        sequence = held.position.sequence + 1
        entry = builders.entry(sequence, configuration.version, put)
        result = acceptance.accept(configuration, entry).ok
        push = messages.Push(
            messages.CONFIG_LOG,
            number,
            sequence,
            codec.compress([entry.to_document()]),
            result.version,
            result.digest,
            relay.RING_START,
            relay.RING_END,
        )
        event = events.MessageReceived(peer, push, result.version)
        start = time.process_time()
        count_bytes(plane, plane.handle(event, plane.now))
        spent.append(time.process_time() - start)
    return statistics.median(spent)


def memory(sizes: tuple[int, ...] = (1000, 5000, HOSTS)) -> list[Row]:
    """Measure the memory of a node against the host list's length."""
    used = []
    for count in sizes:
        # Patch documents and decoded lists are not kept by the node.
        hosts = [host.to_document() for host in target_hosts(count)]
        document = {"sequence": 1, "hosts": hosts}
        packed = codec.compress(document)
        del hosts, document
        tracemalloc.start()
        plane = empty_plane()
        read = events.CheckpointRead(
            messages.HOSTS_LOG, codec.decompress(packed).ok
        )
        plane.handle(read, 0.0)
        del read
        used.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del plane
    slope = (used[-1] - used[0]) / (sizes[-1] - sizes[0])
    return [
        row(f"memory_{count}", value, "B", NODE_BYTES)
        for count, value in zip(sizes, used, strict=True)
    ] + [row("memory_per_host", slope, "B")]


def empty_plane() -> control.ControlPlane:
    """Return a node that holds nothing."""
    host = target_hosts(1)[0]
    net = network.Network([host])
    return net.start(host.id).plane


def ring_updates(count: int = 4600) -> list[Row]:
    """Measure one insertion and removal on a region's ring."""
    ring = membership.Ring()
    for number in range(count):
        ring.add(f"host-{number:05}")
    start = time.process_time()
    for number in range(2000):
        ring.add(f"new-{number}")
        ring.discard(f"new-{number}")
    spent = (time.process_time() - start) / 2000
    return [row(f"ring_update_{count}", spent, "s")]


BENCHES = (
    convergence,
    convergence_large,
    convergence_disturbed,
    idle_bytes,
    role_bytes,
    link_bytes,
    source_reads,
    cpu,
    memory,
    ring_updates,
)


def main() -> None:
    """Print the rows of the named benches, or of all."""
    for bench in BENCHES:
        if len(sys.argv) > 1 and bench.__name__ not in sys.argv[1:]:
            continue
        start = time.monotonic()
        for item in bench():
            print(json.dumps(item))
        print(f"# {bench.__name__}: {time.monotonic() - start:.1f} s")


if __name__ == "__main__":
    main()
