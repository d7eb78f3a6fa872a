"""The planes of three sidecars on a simulated network.

The network delays messages, loses them and breaks streams.
"""

import random

from hickorythread import messages as base_messages
from hickorythread.mesh import events
from hickorythread.mesh import messages
from tests import mesh_builders as build

STEP_SECONDS = 0.02


class SimulatedTarget:
    """Simulates the target of a host; records each start by request id."""

    def __init__(self, network, number):
        self.network = network
        self.instance = f"t{number}"
        self.up = True
        self.runs = {}

    def start(self, action):
        if not self.up:
            return events.Failure("connect")
        if action.instance != self.instance:
            return events.TargetResponse(421, [], b"", not_run=True)
        request_id = action.call.request_id
        self.network.started.append(request_id)
        self.runs[action.run_id] = request_id
        return None


class SimulatedNode:
    """Executes the actions of both planes of one host."""

    def __init__(self, network, number, seed):
        self.network = network
        self.number = number
        self.host_id = f"10.0.0.{number}"
        self.target = SimulatedTarget(network, number)
        self.seed = seed
        self.reset()

    def reset(self):
        """Simulate a restart of the process."""
        view = build.make_view(3, self.network.configuration)
        self.entry = build.make_entry(view, self.number, seed=self.seed)
        self.seed += 100
        self.execution = build.make_execution(
            view, self.number, self.network.now, alive=False
        )
        # The first probe was not executed; the next tick issues another one.
        self.execution.probes.running = False
        self.execution.probes.sent_at = -1.0

    def perform(self, actions):
        for action in actions:
            if isinstance(action, events.Send):
                self.network.send(self, action.host_id, action.message)
            elif isinstance(action, events.Respond):
                self.network.responses[action.number] = action.response
            elif isinstance(action, events.Run):
                result = self.target.start(action)
                if result is not None:
                    self.finish(action.run_id, result)
            elif isinstance(action, events.CancelRun):
                if self.target.runs.pop(action.run_id, None):
                    self.finish(action.run_id, events.Failure("cancelled"))
            elif isinstance(action, events.Probe):
                if self.target.up:
                    result = events.TargetResponse(
                        200, [], b"", instance=self.target.instance
                    )
                else:
                    result = events.Failure("connect")
                self.perform(
                    self.execution.handle_probe_result(
                        result, self.network.now
                    )
                )

    def finish(self, run_id, result):
        self.target.runs.pop(run_id, None)
        if run_id not in self.execution.runs:
            return
        now = self.network.now
        if isinstance(result, events.TargetResponse):
            self.perform(self.execution.handle_response(run_id, result, now))
        else:
            self.perform(self.execution.handle_failure(run_id, result, now))

    def receive(self, sender, message):
        now = self.network.now
        if isinstance(message, base_messages.Reply):
            actions = self.entry.reply(sender, message, now)
        elif isinstance(message, messages.Forward):
            actions = self.execution.call(sender, message, now)
        else:
            actions = self.execution.cancel(sender, message.call_id, now)
        self.perform(actions)

    def tick(self):
        self.perform(self.entry.tick(self.network.now))
        self.perform(self.execution.tick(self.network.now))


class Network:
    """Three nodes and the messages in flight between them."""

    def __init__(self, seed=0):
        self.now = 0.0
        self.configuration = build.make_configuration(
            routes=[
                build.make_route("specs"),
                build.make_route("orders", idempotent=False),
            ]
        )
        self.random = random.Random(seed)
        self.in_flight = []
        self.responses = {}
        self.started = []
        self.last_number = 0
        self.sent = {}
        self.nodes = [
            SimulatedNode(self, number, seed) for number in (1, 2, 3)
        ]
        self.advance(3)

    def send(self, node, host_id, message):
        if host_id == node.host_id:
            node.receive(host_id, message)
            return
        self.in_flight.append((node.host_id, host_id, message))

    def node(self, host_id):
        return self.nodes[int(host_id[-1]) - 1]

    def request(self, number, name):
        """Send a request through a node and return its number."""
        self.last_number += 1
        request = build.make_request(
            self.last_number,
            path=f"/{name}/{self.last_number}",
            received_at=self.now,
        )
        self.sent[self.last_number] = name
        node = self.nodes[number]
        node.perform(node.entry.request(request, self.now))
        return self.last_number

    def deliver(self, index):
        """Deliver a message; messages of one stream stay in order."""
        if not self.in_flight:
            return
        chosen = self.in_flight[index % len(self.in_flight)]
        first = next(item for item in self.in_flight if item[:2] == chosen[:2])
        self.in_flight.remove(first)
        sender, receiver, message = first
        self.node(receiver).receive(sender, message)

    def break_stream(self, one, other):
        """Drop the messages between two hosts and notify both of the loss."""
        pair = {self.nodes[one].host_id, self.nodes[other].host_id}
        self.in_flight = [
            item for item in self.in_flight if set(item[:2]) != pair
        ]
        for node, peer in ((one, other), (other, one)):
            host_id = self.nodes[peer].host_id
            local_node = self.nodes[node]
            local_node.perform(local_node.entry.peer_lost(host_id, self.now))
            local_node.perform(
                local_node.execution.peer_lost(host_id, self.now)
            )
            local_node.entry.peer_connected(host_id)

    def restart(self, number):
        """Kill the process of a node; its target drops running requests."""
        for other in range(3):
            if other != number:
                self.break_stream(number, other)
        node = self.nodes[number]
        node.target.runs.clear()
        node.reset()

    def advance(self, steps):
        for _ in range(steps):
            self.now += STEP_SECONDS
            for node in self.nodes:
                node.tick()
