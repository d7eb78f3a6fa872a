"""A simulated mesh of nodes, targets and an unreliable network.

Time is simulated. Each node has a clock with its own offset; deadlines are
converted with a ClockOffset measured by simulated ping round trips.
"""

import heapq
import itertools
import random

from hickorythread import deadlines
from hickorythread import entry
from hickorythread import events
from hickorythread import execution
from hickorythread import messages
from hickorythread import settings
from tests import builders

LEASE_SECONDS = 2.5
BEACON_SECONDS = 0.5
TICK_SECONDS = 0.05


def node_settings(host):
    location = host.region, host.failure_domain, host.service
    return settings.Settings(host.id, *location, *["127.0.0.1:1"] * 5, "north")


def request(method, path, number=1, now=0.0, **changes):
    values = {"tenant": "builders", "headers": [], "body": b"", "key": ""}
    values |= {"attempt": 0, "received_at": now, "deadline": None}
    return events.Request(number, method, path, **(values | changes))


def new_plane(cls, host, *arguments):
    """Return a plane with the configuration of the guild deployment."""
    plane = cls.from_config(node_settings(host), random.Random(1), *arguments)
    plane.configuration_changed(builders.guild_configuration(), 0.0)
    plane.hosts_changed([host], [], 0.0)
    return plane


class Target:
    """Run requests, report them to the oracle and crash on b"crash"."""

    def __init__(self, mesh, host):
        self.mesh = mesh
        self.host = host
        self.start_id = 1
        self.down_until = 0.0
        self.restart_detected_at = 0.0
        self.restart_detected = True
        self.running = {}

    def run(self, node, action):
        mesh = self.mesh
        if node.time() >= action.deadline:
            return self.report(node, "late", action)
        if mesh.now < self.down_until:
            self.detect_restart()
            return self.report(node, "connect", action)
        run_key = (node.incarnation, action.run_id)
        self.running[run_key] = (mesh.now, node, action)
        mesh.oracle.on_run(self, action)
        if b"crash" in action.body:
            return self.restart(0.3)
        remaining = action.deadline - node.time()
        seconds = mesh.random.uniform(0.005, 0.1)
        failure = "timeout" if remaining < seconds else ""
        mesh.schedule(min(remaining, seconds), self.end, run_key, failure)

    def end(self, run_key, failure):
        if run_key not in self.running:
            return
        _, node, action = self.running.pop(run_key)
        if failure:
            return self.report(node, failure, action)
        self.detect_restart()
        body = b"echo " + action.body
        answer = events.TargetAnswered(
            action.run_id, 200, [], body, self.start_id
        )
        node.deliver(node.owner.target_event, answer)

    def report(self, node, kind, action):
        failed = events.TargetFailed(action.run_id, kind)
        self.mesh.schedule(0.0, node.deliver, node.owner.target_event, failed)

    def restart(self, down_seconds=0.0):
        """Lose all requests and start cold.

        With down_seconds 0 it accepts connections again at once, so that the
        owner node gets no warning.
        """
        self.start_id += 1
        self.down_until = self.mesh.now + down_seconds
        self.restart_detected = not self.running and self.restart_detected
        for run_key in list(self.running):
            self.detect_restart()
            self.end(run_key, "lost")
        self.restart_detected = False

    def detect_restart(self):
        """Record when the owner node could first detect a cold start."""
        if not self.restart_detected:
            self.restart_detected = True
            self.restart_detected_at = self.mesh.now

    def expect_ramp(self):
        """Require from now on that the owner node ramps up its load."""
        self.restart_detected = True
        self.restart_detected_at = self.mesh.now


class Node:
    """Execute the actions of the two planes of one host."""

    def __init__(self, mesh, host, incarnation):
        self.mesh = mesh
        self.host = host
        self.incarnation = incarnation
        self.clock_skew = mesh.random.uniform(0.0, 1000.0)
        self.paused = False
        self.alive = True
        self.draining = False
        self.inbox = []
        self.offsets = {}
        self.calls_without_reply = set()
        self.known_hosts = {}
        self.configuration = None
        self.beacon_at = 0.0
        plane_arguments = (
            node_settings(host),
            random.Random(mesh.random.random()),
        )
        self.entry = entry.EntryPlane.from_config(*plane_arguments)
        self.owner = execution.ExecutionPlane.from_config(
            *plane_arguments, incarnation, self.time()
        )
        self.owner.may_admit = self.may_admit
        self.peer = events.Peer(
            host.id, incarnation, host.region, host.failure_domain
        )
        self.install(mesh.now, mesh.configuration, dict(mesh.hosts))

    def time(self):
        return self.mesh.now + self.clock_skew

    def may_admit(self, now):
        return now - self.beacon_at <= LEASE_SECONDS

    def deliver(self, function, *arguments):
        if self.paused:
            self.inbox.append((function, arguments))
        elif self.alive:
            for action in function(*arguments, self.time()) or ():
                self.mesh.perform(self, action)

    def receive(self, sender, message):
        owner = self.owner
        kind = type(message)
        if kind is messages.Cancel:
            self.deliver(owner.cancel, sender, message.call_id)
        elif kind in (messages.Reply, messages.KeyIssued):
            self.deliver(self.entry.reply, sender.host_id, message)
        else:
            handlers = {
                messages.Call: self.call,
                messages.IssueKey: owner.issue_key,
                messages.CrashReport: owner.crash_report,
                messages.CrashAck: owner.crash_ack,
            }
            self.deliver(handlers[kind], sender, message)

    def call(self, sender, message, now):
        actions = self.owner.call(sender, message, now)
        waiter = (sender.host_id, message.call_id)
        if waiter in self.owner.accepted:
            self.calls_without_reply.add(waiter)
        return actions

    def resume(self):
        self.paused = False
        waiting, self.inbox = self.inbox, []
        for function, arguments in waiting:
            self.deliver(function, *arguments)

    def tick(self):
        if self.alive and not self.paused:
            self.deliver(self.entry.tick)
            self.deliver(self.owner.tick)
            if self.draining and self.owner.idle and not self.entry.pending:
                self.mesh.oracle.on_drained(self)
                self.mesh.stop(self)

    def install(self, issued_at, configuration, hosts, _=0.0):
        now = self.time()
        if configuration is not self.configuration:
            domain = self.host.failure_domain
            old = self.configuration
            new_state = configuration.failure_domains[domain].state
            if old and old.failure_domains[domain].state != new_state == "in":
                self.mesh.targets[self.host.id].expect_ramp()
            self.configuration = configuration
            self.entry.configuration_changed(configuration, now)
            self.owner.configuration_changed(configuration, now)
        changed = [
            host
            for name, host in hosts.items()
            if self.known_hosts.get(name) is not host
        ]
        removed = [name for name in self.known_hosts if name not in hosts]
        if changed or removed:
            self.known_hosts = hosts
            self.entry.hosts_changed(changed, removed, now)
            self.owner.hosts_changed(changed, removed, now)
        self.beacon_at = max(self.beacon_at, issued_at + self.clock_skew)

    def deadline_for(self, peer, deadline):
        offset = self.offsets.get(peer.incarnation)
        if offset is None:
            offset = self.offsets[peer.incarnation] = deadlines.ClockOffset()
            forward_delay = self.mesh.delay(self.peer, peer)
            return_delay = self.mesh.delay(peer, self.peer)
            now = self.time()
            offset.measured(
                now,
                peer.time() + forward_delay,
                now + forward_delay + return_delay,
            )
        return offset.to_peer(deadline)


class Mesh:
    """Hold the nodes and deliver their messages in simulated time."""

    target_class = Target

    def __init__(self, configuration, hosts, oracle, seed=1, fault_rate=0.0):
        self.random = random.Random(seed)
        self.configuration = configuration
        self.hosts = {host.id: host for host in hosts}
        self.oracle = oracle
        oracle.mesh = self
        self.fault_rate = fault_rate
        self.now = 0.0
        self.queue = []
        self.numbers = itertools.count(1)
        self.partitioned_domains = set()
        self.responses = {}
        self.targets = {
            host.id: self.target_class(self, host) for host in hosts
        }
        self.nodes = {host.id: self.new_node(host) for host in hosts}
        self.schedule(BEACON_SECONDS, self.beacon)
        self.schedule(TICK_SECONDS, self.tick)

    def start_warm(self):
        """Put all nodes in a state in which the targets are warm."""
        for node in self.nodes.values():
            node.owner.admission.ramp_limit = None
            node.owner.target_started_at = 1
            for host_id, target in self.targets.items():
                target.restart_detected_at = -1e6
                slots = node.owner.admission.service.slots
                target_state = node.entry.balancer.target(host_id)
                target_state.update_load([0, 0, slots, 0], node.time())

    def new_node(self, host):
        self.targets[host.id].expect_ramp()
        return Node(self, host, next(self.numbers))

    def schedule(self, delay, function, *arguments):
        item = (self.now + delay, next(self.numbers), function, arguments)
        heapq.heappush(self.queue, item)

    def advance(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.queue)
            function(*arguments)
        self.now = end

    def delay(self, one, other):
        return self.random.uniform(0.0005, 0.012)

    def beacon(self):
        self.schedule(BEACON_SECONDS, self.beacon)
        beacon_arguments = (self.now, self.configuration, dict(self.hosts))
        for node in self.nodes.values():
            if node.host.failure_domain not in self.partitioned_domains:
                delay = self.random.uniform(0.0005, 0.012)
                self.schedule(
                    delay, node.deliver, node.install, *beacon_arguments
                )

    def tick(self):
        self.schedule(TICK_SECONDS, self.tick)
        for node in list(self.nodes.values()):
            node.tick()

    def connected(self, one, other):
        partitioned = [
            n.host.failure_domain in self.partitioned_domains
            for n in (one, other)
        ]
        return partitioned[0] == partitioned[1] or one is other

    def perform(self, node, action):
        if isinstance(action, events.SendCall):
            peer = self.nodes.get(action.host_id)
            message = type(action.message)(*action.message.values())
            if peer and isinstance(message, messages.Call):
                self.oracle.on_call(peer, message)
                message.deadline = node.deadline_for(peer, action.deadline)
            self.send(node, action.host_id, message)
        elif isinstance(action, events.SendReply):
            if isinstance(action.message, messages.Reply):
                waiter = (action.host_id, action.message.call_id)
                node.calls_without_reply.discard(waiter)
            self.send(node, action.host_id, action.message)
        elif isinstance(action, events.ReportCrash):
            for host_id in action.host_ids:
                self.send(node, host_id, action.message)
        elif isinstance(action, events.RunOnTarget):
            self.targets[node.host.id].run(node, action)
        elif isinstance(action, events.CancelOnTarget):
            run_key = (node.incarnation, action.run_id)
            self.targets[node.host.id].end(run_key, "cancelled")
        elif isinstance(action, events.Respond):
            self.oracle.on_response(action)
            self.responses[action.request_id] = action.response

    def send(self, node, host_id, message):
        peer = self.nodes.get(host_id)
        if peer is None or not self.connected(node, peer):
            return
        copies = 1
        if peer is not node and self.random.random() < self.fault_rate:
            copies = self.random.choice((0, 2))
        for _ in range(copies):
            delay = 0.0 if peer is node else self.delay(node, peer)
            self.schedule(delay, self.arrive, node, peer, message)

    def arrive(self, node, peer, message):
        if peer.alive:
            peer.receive(node.peer, message)

    def cut_stream(self, one, other):
        for node, lost_peer in ((one, other), (other, one)):
            node.deliver(node.entry.peer_lost, lost_peer.host.id)
            node.deliver(node.owner.peer_lost, lost_peer.host.id)

    def stop(self, node):
        """Stop a process; its peers lose their streams to it."""
        node.alive = False
        if self.nodes.get(node.host.id) is node:
            del self.nodes[node.host.id]
        for other in self.nodes.values():
            self.cut_stream(other, node)

    def replace(self, node):
        """Stop a process without warning and start a new one."""
        self.stop(node)
        self.nodes[node.host.id] = self.new_node(node.host)

    def request(self, node, method, path, **changes):
        number = next(self.numbers)
        new_request = request(method, path, number, node.time(), **changes)
        self.oracle.on_request(new_request)
        node.deliver(node.entry.request, new_request)
        return number
