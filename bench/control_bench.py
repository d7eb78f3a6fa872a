"""Measure the control plane in a simulated network and on a single node."""

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
    """Let every node read the source, as a baseline."""

    __slots__ = ()

    def is_reader(self, rank: int | None) -> bool:
        """Return True for every node."""
        return True


class FloodingRelay(relay.Relay):
    """Push to 8 random members without splitting the ring, as a baseline."""

    __slots__ = ()

    def split(self, low: int, high: int) -> list[relay.Share]:
        """Return shares that each cover the whole ring."""
        names = {
            self.members.random_member(self.region)
            for _ in range(relay.FAN_OUT)
        }
        return [
            relay.Share(name, relay.RING_START, relay.RING_END)
            for name in sorted(filter(None, names))
        ]


class TrafficMeter:
    """Count encoded bytes sent, by message type and between regions."""

    def __init__(self, net: network.Network) -> None:
        self.net = net
        self.bytes_by_type: dict[str, int] = {}
        self.messages_by_type: dict[str, int] = {}
        self.cross_region_bytes = 0
        net.send_observer = self.add

    def add(self, node: network.Node, action: events.Send) -> None:
        """Count one message that a node sends."""
        version = node.plane.configuration.version
        size = len(codec.encode(action.message, version))
        message_type = type(action.message).__name__
        self.bytes_by_type[message_type] = (
            self.bytes_by_type.get(message_type, 0) + size
        )
        self.messages_by_type[message_type] = (
            self.messages_by_type.get(message_type, 0) + 1
        )
        target = self.net.hosts.get(action.host_id)
        if target is not None and target.region != node.host.region:
            self.cross_region_bytes += size

    def total(self) -> int:
        """Return the bytes of all messages."""
        return sum(self.bytes_by_type.values())


def row(
    name: str,
    value: float,
    unit: str,
    bound: float | None = None,
    baseline: float | None = None,
) -> Row:
    """Return one row; without a bound it is always ok."""
    return {
        "name": name,
        "value": round(value, 6),
        "unit": unit,
        "bound": bound,
        "ok": bound is None or value <= bound,
        "baseline": None if baseline is None else round(baseline, 6),
    }


def joined_network(
    hosts: list[models.Host],
    operations: list[models.Document] | None = None,
    relay_class: type[relay.Relay] = relay.Relay,
    policy_class: type[readers.ReaderPolicy] = readers.ReaderPolicy,
) -> network.Network:
    """Return a network of joined nodes that share one host list."""
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
            share_state(first, plane)
        plane.join.phase = joining.READY
        plane.policy = policy_class(plane.region, net.source_region)
        plane.relay = relay_class(plane.members, plane.region)
    net.run(1.5)
    return net


def share_state(
    first: control.ControlPlane, plane: control.ControlPlane
) -> None:
    """Share the state of one plane with another; no list is modified."""
    plane.config.configuration = first.config.configuration
    plane.host_list.hosts = first.host_list.hosts
    plane.host_list.digest = first.host_list.digest
    for log, replica in plane.replicas.items():
        replica.position = first.replicas[log].position
    for name in (
        "hosts",
        "addresses",
        "region_rings",
        "rank_rings",
        "domain_rings",
    ):
        setattr(plane.members, name, getattr(first.members, name))


def make_fleet(nodes: int) -> list[models.Host]:
    """Return hosts spread over two regions and four failure domains."""
    hosts = network.make_hosts(-(-nodes // 4))
    return hosts[:nodes] if nodes < 4 else hosts


def publish(net: network.Network) -> float:
    """Publish a patch and return the seconds until every node applied it."""
    planes = net.planes()
    head = max(plane.configuration.version for plane in planes)
    name = f"service-{head}"
    put = builders.operation("put_service", builders.service(name))
    start = net.now
    last_change = [start]

    def observe(node: network.Node, action: events.Record) -> None:
        if isinstance(action, events.ConfigurationChanged):
            last_change[0] = net.now

    net.action_observer = observe
    net.publish(builders.patch(head, put, id=name))
    net.run(
        30.0,
        until=lambda: all(
            plane.configuration.version > head for plane in planes
        ),
    )
    return last_change[0] - start


def convergence(sizes: tuple[int, ...] = (10, 50, 200, 1000)) -> list[Row]:
    """Measure convergence time and bytes per patch by fleet size."""
    rows = []
    for nodes in sizes:
        net = joined_network(make_fleet(nodes))
        flooding_net = joined_network(
            make_fleet(nodes), relay_class=FloodingRelay
        )
        seconds = publish(net)
        rows.append(
            row(
                f"convergence_seconds_{nodes}",
                seconds,
                "s",
                CONVERGENCE_SECONDS,
                publish(flooding_net),
            )
        )
        rows.append(
            row(
                f"patch_bytes_per_node_{nodes}",
                patch_bytes(net) / nodes,
                "B",
                None,
                patch_bytes(flooding_net) / nodes,
            )
        )
    return rows


def convergence_large(nodes: int = 5000) -> list[Row]:
    """Measure convergence of a large fleet, without a baseline."""
    net = joined_network(make_fleet(nodes))
    seconds = publish(net)
    return [
        row(f"convergence_seconds_{nodes}", seconds, "s", CONVERGENCE_SECONDS)
    ]


def convergence_disturbed(nodes: int = 200) -> list[Row]:
    """Measure convergence with message loss or a failed first reader."""
    rows = []
    for percent in (1, 10, 30):
        net = joined_network(make_fleet(nodes))
        net.loss = percent / 100
        name = f"convergence_seconds_{nodes}_loss_{percent}_percent"
        rows.append(row(name, publish(net), "s", CONVERGENCE_SECONDS))
    net = joined_network(make_fleet(nodes))
    reader = net.planes()[0].members.top_ranked(net.source_region, 1)[0]
    net.kill(reader)
    name = f"convergence_seconds_{nodes}_reader_dead"
    rows.append(row(name, publish(net), "s", CONVERGENCE_SECONDS))
    return rows


def patch_bytes(net: network.Network) -> float:
    """Return the bytes of pushes and their acknowledgements for one patch."""
    meter = TrafficMeter(net)
    publish(net)
    net.run(0.5)
    net.send_observer = None
    bytes_by_type = meter.bytes_by_type
    return bytes_by_type.get("Push", 0) + bytes_by_type.get("PushAck", 0)


def idle_bytes(nodes: int = 200) -> list[Row]:
    """Measure the bytes that nodes send in an idle minute."""
    net = joined_network(make_fleet(nodes))
    meter = TrafficMeter(net)
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
            meter.cross_region_bytes,
            "B",
            LINK_BYTES_PER_MINUTE,
        ),
    ]


def role_bytes(per_domain: int = 14) -> list[Row]:
    """Measure the traffic of each node role in the regions of the target.

    The bytes exclude TCP and IP headers.
    """
    net = joined_network(network.make_hosts(per_domain, TARGET_REGIONS))
    idle_meter = RoleTrafficMeter(net)
    net.run(60.0)
    patch_meter = RoleTrafficMeter(net)
    publish(net)
    net.run(0.5)
    net.send_observer = None
    rows = []
    for role in ROLES:
        rows.append(
            row(
                f"role_idle_bytes_per_second_{role}",
                idle_meter.max_bytes(role) / 60.0,
                "B/s",
                NODE_BYTES_PER_SECOND,
            )
        )
        rows.append(
            row(
                f"role_idle_messages_per_second_{role}",
                idle_meter.max_messages(role) / 60.0,
                "1/s",
            )
        )
        rows.append(
            row(
                f"role_patch_bytes_{role}",
                patch_meter.max_push_bytes(role),
                "B",
            )
        )
    return rows


class RoleTrafficMeter:
    """Count bytes and messages per node and return maxima per role."""

    def __init__(self, net: network.Network) -> None:
        self.net = net
        self.bytes_sent: dict[str, int] = {}
        self.push_bytes: dict[str, int] = {}
        self.messages_sent: dict[str, int] = {}
        net.send_observer = self.add

    def add(self, node: network.Node, action: events.Send) -> None:
        """Count one message that a node sends."""
        version = node.plane.configuration.version
        size = len(codec.encode(action.message, version))
        name = node.host.id
        self.bytes_sent[name] = self.bytes_sent.get(name, 0) + size
        self.messages_sent[name] = self.messages_sent.get(name, 0) + 1
        if isinstance(action.message, messages.Push | messages.PushAck):
            self.push_bytes[name] = self.push_bytes.get(name, 0) + size

    def role(self, name: str) -> str:
        """Return the role that a node's rank gives it."""
        plane = self.net.nodes[name].plane
        if plane.policy.is_reader(plane.rank):
            return "first_reader" if plane.rank == 0 else "reader"
        if plane.policy.is_gateway(plane.rank):
            return "gateway"
        return "node"

    def max_bytes(self, role: str) -> int:
        """Return the bytes of the busiest node of a role."""
        return self._max_for_role(self.bytes_sent, role)

    def max_messages(self, role: str) -> int:
        """Return the messages of the busiest node of a role."""
        return self._max_for_role(self.messages_sent, role)

    def max_push_bytes(self, role: str) -> int:
        """Return the push bytes of the busiest node of a role."""
        return self._max_for_role(self.push_bytes, role)

    def _max_for_role(self, counts: dict[str, int], role: str) -> int:
        role_counts = [
            count for name, count in counts.items() if self.role(name) == role
        ]
        return max(role_counts, default=0)


def link_bytes(per_domain: int = GUILD_PER_DOMAIN) -> list[Row]:
    """Measure the bytes that one patch sends between regions."""
    hosts = network.make_hosts(per_domain)
    services = target_operations(list(builders.REGIONS.items()))
    net = joined_network(hosts, services)
    meter = TrafficMeter(net)
    net.run(10.0)
    idle_rate = meter.cross_region_bytes / 10.0
    start = net.now
    meter.cross_region_bytes = 0
    publish(net)
    net.run(2.0)
    value = meter.cross_region_bytes - idle_rate * (net.now - start)
    plane = net.planes()[0]
    snapshot = acceptance.to_snapshot(plane.configuration)
    snapshot_size = len(codec.compress(snapshot))
    return [
        row("link_bytes_per_patch", value, "B", None, snapshot_size),
        row(
            "link_bytes_per_patch_every_node_reads",
            value,
            "B",
            None,
            entry_size(net) * len(hosts) / 2,
        ),
    ]


def entry_size(net: network.Network) -> int:
    """Return the size of the newest log entry as JSON."""
    return len(json.dumps(net.source.logs[messages.CONFIG_LOG][-1]))


def source_reads(nodes: int = 100, small_fleet: int = 20) -> list[Row]:
    """Measure reads at the source: idle, mass restart, outage, recovery.

    The mass restart replaces half of the nodes at once.
    """
    small_idle = reads_per_second(
        joined_network(make_fleet(small_fleet)), 10.0
    )
    net = joined_network(make_fleet(nodes))
    idle = reads_per_second(net, 10.0)
    names = sorted(net.hosts)
    for name in names[::2]:
        net.kill(name)
        net.start(name)
    mass_restart = peak_reads(net, 15.0)
    net.source.available = False
    net.complete_pending_reads()
    during_outage = peak_reads(net, 20.0)
    net.source.available = True
    after_outage = peak_reads(net, 10.0)
    all_readers_net = joined_network(
        make_fleet(nodes), policy_class=EveryNodeReads
    )
    baseline = reads_per_second(all_readers_net, 10.0)
    small_all_readers_net = joined_network(
        make_fleet(small_fleet), policy_class=EveryNodeReads
    )
    small_baseline = reads_per_second(small_all_readers_net, 10.0)
    bound = SOURCE_READS_PER_SECOND
    return [
        row("source_reads_quiet", idle, "1/s", bound, baseline),
        row("source_reads_herd_restart", mass_restart, "1/s", bound, baseline),
        row("source_reads_in_outage", during_outage, "1/s", bound),
        row("source_reads_after_outage", after_outage, "1/s", bound, baseline),
        row(
            "source_reads_quiet_per_node_slope",
            (idle - small_idle) / (nodes - small_fleet),
            "1/s",
            bound / HOSTS,
            (baseline - small_baseline) / (nodes - small_fleet),
        ),
    ]


def reads_per_second(net: network.Network, seconds: float) -> float:
    """Return the mean rate of reads over the next seconds."""
    net.source.read_times.clear()
    net.run(seconds)
    return len(net.source.read_times) / seconds


def peak_reads(net: network.Network, seconds: float) -> float:
    """Return the highest number of reads in one second."""
    net.source.read_times.clear()
    net.run(seconds)
    reads = net.source.read_times
    counts: dict[int, int] = {}
    for read_at in reads:
        counts[int(read_at)] = counts.get(int(read_at), 0) + 1
    return float(max(counts.values(), default=0))


def target_operations(
    domains: list[tuple[str, str]],
) -> list[models.Document]:
    """Return operations for the domains, 680 services and their routes."""
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
    """Return hosts of the target: 5 regions and 14 failure domains."""
    per_domain = -(-count // 14)
    hosts = network.make_hosts(per_domain, TARGET_REGIONS)[:count]
    for number, host in enumerate(hosts):
        host.id = f"host-{number:05}"
        host.service = f"service-of-the-mesh-{number % SERVICES:03}"
        host.stream_address = f"10.{number >> 8}.{number & 255}.1:7000"
        host.http_address = f"10.{number >> 8}.{number & 255}.1:8080"
    return hosts


def large_plane(count: int) -> tuple[network.Network, network.Node]:
    """Return one joined node with a host list of the given length."""
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
    """Measure the CPU share of a node by the length of its host list."""
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
    """Return the CPU time of an idle node per second.

    A second has ten ticks and one ping, pong, beacon and status report.
    """
    plane = node.plane
    peer = peer_in_region(plane, 1)
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
            encode_sent(plane, plane.handle(events.Tick(), now))
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
            encode_sent(plane, plane.handle(event, now))
    return (time.process_time() - start) / seconds


def encode_sent(
    plane: control.ControlPlane, actions: list[events.Record]
) -> int:
    """Encode the messages that a node sends, as its streams do."""
    version = plane.configuration.version
    return sum(
        len(codec.encode(action.message, version))
        for action in actions
        if isinstance(action, events.Send)
    )


def snapshot_rows(node: network.Node, count: int) -> list[Row]:
    """Measure CPU time and size of a snapshot of the host list."""
    replica = node.plane.replicas[messages.HOSTS_LOG]
    replica.snapshot = None
    start = time.process_time()
    data = replica.to_snapshot().data
    built = time.process_time()
    document = codec.decompress(data).ok
    receiver = empty_plane()
    receiver.handle(events.CheckpointRead(messages.HOSTS_LOG, document), 0.0)
    installed = time.process_time()
    return [
        row(f"cpu_snapshot_build_{count}", built - start, "s"),
        row(f"cpu_snapshot_install_{count}", installed - built, "s"),
        row(f"snapshot_bytes_{count}", len(data), "B"),
    ]


def peer_in_region(plane: control.ControlPlane, index: int) -> events.Peer:
    """Return another host of the plane's region as a peer."""
    names = plane.members.region_rings[plane.region].names
    others = [name for name in names if name != plane.host_id]
    host = plane.members.hosts[others[index % len(others)]]
    return events.Peer(host.id, 1, host.region, host.failure_domain)


def tick_seconds(node: network.Node) -> float:
    """Return the mean CPU time of a tick."""
    plane = node.plane
    start = time.process_time()
    for _ in range(500):
        plane.handle(events.Tick(), plane.now + 0.1)
    return (time.process_time() - start) / 500


def host_change_seconds(node: network.Node) -> float:
    """Return the mean CPU time of one change of the host list."""
    plane = node.plane
    replica = plane.replicas[messages.HOSTS_LOG]
    changes = 200
    start = time.process_time()
    for number in range(changes):
        host = target_hosts(14)[number % 14].to_document()
        host |= {"id": f"new-{number}", "stream_address": f"new-{number}"}
        entry = {
            "sequence": replica.position.sequence + 1,
            "changes": [{"op": "put", "host": host}],
        }
        event = events.SourceRead(messages.HOSTS_LOG, [entry], 10**6)
        plane.handle(event, plane.now)
    return (time.process_time() - start) / changes


def patch_seconds(node: network.Node) -> float:
    """Return the median CPU time of a push to a large configuration."""
    plane = node.plane
    peer = peer_in_region(plane, 1)
    replica = plane.replicas[messages.CONFIG_LOG]
    durations = []
    for number in range(10):
        configuration = plane.configuration
        put = builders.operation(
            "put_service", builders.service(f"extra-{number}")
        )
        sequence = replica.position.sequence + 1
        entry = builders.entry(sequence, configuration.version, put)
        accepted = acceptance.accept(configuration, entry).ok
        push = messages.Push(
            messages.CONFIG_LOG,
            number,
            sequence,
            codec.compress([entry.to_document()]),
            accepted.version,
            accepted.digest,
            relay.RING_START,
            relay.RING_END,
        )
        event = events.MessageReceived(peer, push, accepted.version)
        start = time.process_time()
        encode_sent(plane, plane.handle(event, plane.now))
        durations.append(time.process_time() - start)
    return statistics.median(durations)


def memory(sizes: tuple[int, ...] = (1000, 5000, HOSTS)) -> list[Row]:
    """Measure the memory of a node by the length of its host list."""
    memory_sizes = []
    for count in sizes:
        # A node keeps neither the documents nor the decoded list, so that
        # both are freed before the memory is read.
        hosts = [host.to_document() for host in target_hosts(count)]
        document = {"sequence": 1, "hosts": hosts}
        compressed = codec.compress(document)
        del hosts, document
        tracemalloc.start()
        plane = empty_plane()
        read = events.CheckpointRead(
            messages.HOSTS_LOG, codec.decompress(compressed).ok
        )
        plane.handle(read, 0.0)
        del read
        memory_sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del plane
    slope = (memory_sizes[-1] - memory_sizes[0]) / (sizes[-1] - sizes[0])
    return [
        row(f"memory_{count}", value, "B", NODE_BYTES)
        for count, value in zip(sizes, memory_sizes, strict=True)
    ] + [row("memory_per_host", slope, "B")]


def empty_plane() -> control.ControlPlane:
    """Return the control plane of a node that has read no log."""
    host = target_hosts(1)[0]
    net = network.Network([host])
    return net.start(host.id).plane


def ring_updates(count: int = 4600) -> list[Row]:
    """Measure one insertion and removal in the ring of a region."""
    ring = membership.Ring()
    for number in range(count):
        ring.add(f"host-{number:05}")
    start = time.process_time()
    for number in range(2000):
        ring.add(f"new-{number}")
        ring.discard(f"new-{number}")
    elapsed = (time.process_time() - start) / 2000
    return [row(f"ring_update_{count}", elapsed, "s")]


BENCHMARKS = (
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
    """Print the rows of the benchmarks named as arguments, or of all."""
    for benchmark in BENCHMARKS:
        if len(sys.argv) > 1 and benchmark.__name__ not in sys.argv[1:]:
            continue
        start = time.monotonic()
        for item in benchmark():
            print(json.dumps(item))
        print(f"# {benchmark.__name__}: {time.monotonic() - start:.1f} s")


if __name__ == "__main__":
    main()
