"""Stateful fuzzing of three sidecars.

The invariants count how often each request starts at the targets. A request
that is not idempotent starts at most once, and no request starts whose client
got a status of the node that promises that it has not run.
"""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from hickorythread.mesh import events
from tests import mesh_network

NODES = strategies.integers(0, 2)
NOT_RUN_STATUSES = (429, 503)


class MeshMachine(stateful.RuleBasedStateMachine):
    """Send requests while streams fail, targets crash and nodes restart."""

    def __init__(self):
        super().__init__()
        self.network = mesh_network.Network()

    @stateful.rule(node=NODES, name=strategies.sampled_from(["specs"]))
    def read(self, node, name):
        self.network.request(node, name)

    @stateful.rule(node=NODES, count=strategies.integers(1, 6))
    def write(self, node, count):
        for _ in range(count):
            self.network.request(node, "orders")

    @stateful.rule(index=strategies.integers(0, 50))
    def deliver(self, index):
        self.network.deliver(index)

    @stateful.rule(
        node=NODES,
        index=strategies.integers(0, 9),
        outcome=strategies.sampled_from(
            ["answer", "error", "lost", "timeout", "shed"]
        ),
    )
    def finish(self, node, index, outcome):
        target = self.network.nodes[node].target
        if not target.runs:
            return
        run_id = sorted(target.runs)[index % len(target.runs)]
        if outcome == "shed":
            # A target that sheds a request does not start to run it.
            self.network.started.remove(target.runs[run_id])
        results = {
            "answer": events.TargetResponse(200, [], b"ok"),
            "error": events.TargetResponse(500, [], b""),
            "shed": events.TargetResponse(503, [], b"", not_run=True),
        }
        result = results.get(outcome) or events.Failure(outcome)
        self.network.nodes[node].finish(run_id, result)

    @stateful.rule(one=NODES, step=strategies.integers(1, 2))
    def break_stream(self, one, step):
        self.network.break_stream(one, (one + step) % 3)

    @stateful.rule(node=NODES)
    def crash_target(self, node):
        target = self.network.nodes[node].target
        target.up = False
        for run_id in list(target.runs):
            self.network.nodes[node].finish(run_id, events.Failure("lost"))

    @stateful.rule(node=NODES, replaced=strategies.booleans())
    def return_target(self, node, replaced):
        target = self.network.nodes[node].target
        target.up = True
        if replaced:
            target.instance += "x"

    @stateful.rule(node=NODES)
    def restart(self, node):
        self.network.restart(node)

    @stateful.rule(node=NODES, peer=NODES)
    def silence(self, node, peer):
        entry = self.network.nodes[node].entry
        host_id = self.network.nodes[peer].host_id
        if node != peer:
            self.network.nodes[node].perform(
                entry.peer_silent(host_id, True, self.network.now)
            )
            self.network.nodes[node].perform(
                entry.peer_silent(host_id, False, self.network.now)
            )

    @stateful.rule(steps=strategies.integers(1, 30))
    def advance(self, steps):
        self.network.advance(steps)

    @stateful.invariant()
    def writes_run_at_most_once(self):
        counts = collections.Counter(self.network.started)
        for number, name in self.network.sent.items():
            if name == "orders":
                assert counts[f"r{number}"] <= 1

    @stateful.invariant()
    def promises_are_true(self):
        started = set(self.network.started)
        for number, response in self.network.responses.items():
            if (
                response.status in NOT_RUN_STATUSES
                and not response.from_target
            ):
                assert f"r{number}" not in started

    @stateful.invariant()
    def nothing_is_left_over(self):
        for node in self.network.nodes:
            assert len(node.entry.calls.by_number) == len(
                node.entry.calls.by_call_id
            )
            for peer in node.entry.placement.peers.values():
                assert peer.open_calls >= 0
            assert node.execution.admission.running >= 0

    def teardown(self):
        for _ in range(400):
            self.network.deliver(0)
        self.network.advance(100)
        for node in self.network.nodes:
            assert not node.entry.calls.by_call_id


MeshMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestMesh = MeshMachine.TestCase
