"""Complete nodes under injected faults, checked against R1 to R12."""

import sys

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests import builders
from tests import fleet_machine
from tests import mesh
from tests import test_control_machine

HOSTS = [
    builders.host(
        f"{service}-{domain}",
        domain,
        service,
        stream_address=f"10.0.0.{number}:7000",
    )
    for number, (service, domain) in enumerate(
        (
            ("spec-desk", "devonport"),
            ("kiln-desk", "launceston"),
            ("spec-desk", "hobart"),
            ("kiln-desk", "kingston"),
            ("spec-desk", "launceston"),
            ("kiln-desk", "devonport"),
        )
    )
]
INDEX = strategies.integers(0, 5)
CLIENT_ACCOUNTS = strategies.sampled_from(["builders", "northern"])
SETTLE_SECONDS = 8.0


class FleetMachine(test_control_machine.ControlMachine):
    """Add callers, targets and shutdowns to the control plane machine."""

    keys = stateful.Bundle("keys")

    @stateful.initialize(
        seed=strategies.integers(0, 2**16),
        size=strategies.integers(4, 6),
        warm=strategies.booleans(),
    )
    def begin(self, seed, size, warm):
        self.net = fleet_machine.Fleet(HOSTS[:size], seed)
        self.oracle = self.net.oracle
        self.count = 0
        self.leaving_host_id = ""
        northern = {"name": "northern", "home_regions": ["north-tas"]}
        self.patch(
            0,
            *builders.guild_operations(),
            builders.operation("put_tenant", northern),
        )
        self.net.start_all()
        self.run_for(14.0)
        assert self.oracle.at_head(), "R12: fresh fleet did not join"
        if warm:
            mesh.Mesh.start_warm(self.net)

    def run_for(self, seconds):
        super().run_for(seconds)
        self.oracle.check_nodes()

    def body(self, client_account, word=""):
        self.count += 1
        return f"{word} {client_account} {self.count}".encode()

    def entry(self, index):
        """Return a node that serves callers, or any node if none does."""
        ready = [
            name
            for name, node in sorted(self.net.nodes.items())
            if node.alive and node.plane.ready and not node.drain_until
        ]
        return ready[index % len(ready)] if ready else self.host_id_at(index)

    def load(self, calls):
        """Send GET requests from all nodes and let them reach targets."""
        for name in sorted(self.net.nodes):
            for _ in range(calls):
                body = self.body("builders")
                self.net.request(name, "GET", "/specs/1", body=body)
        self.run_for(0.02)

    @stateful.rule(
        index=INDEX,
        tenant=CLIENT_ACCOUNTS,
        calls=strategies.sampled_from([1, 4, 40]),
    )
    def look_up(self, index, tenant, calls):
        for _ in range(calls):
            body = self.body(tenant)
            self.net.request(
                self.entry(index), "GET", "/specs/1", body=body, tenant=tenant
            )

    @stateful.rule(index=INDEX, seconds=strategies.sampled_from([0.02, 0.3]))
    def slow_down(self, index, seconds):
        self.net.targets[self.host_id_at(index)].seconds = seconds

    @stateful.rule(
        target=keys,
        index=INDEX,
        tenant=CLIENT_ACCOUNTS,
        indexes=strategies.lists(INDEX, max_size=3),
        seconds=strategies.sampled_from([0.0, 0.1]),
    )
    def write(self, index, tenant, indexes, seconds):
        """Request an idempotency key, then send and resend a write with it."""
        body = self.body(tenant, "ask")
        number = self.net.request(
            self.entry(index), "POST", "/kilns", body=body, tenant=tenant
        )
        self.run_for(0.1)
        response = self.net.responses.get(number)
        if response is None or response.status != 428:
            return stateful.multiple()
        key = response.key, tenant, self.body(tenant, "once")
        self.send(key, indexes, seconds)
        return key

    @stateful.rule(
        key=keys,
        indexes=strategies.lists(INDEX, min_size=2, max_size=4),
        seconds=strategies.sampled_from([0.0, 0.01, 0.1]),
    )
    def send_with_key(self, key, indexes, seconds):
        self.send(key, indexes, seconds)

    def send(self, key, indexes, seconds):
        """Send and resend a write through several entry nodes."""
        text, client_account, body = key
        for index in indexes:
            self.net.request(
                self.entry(index),
                "POST",
                "/kilns",
                body=body,
                tenant=client_account,
                key=text,
            )
            self.run_for(seconds)

    @stateful.rule(
        index=INDEX,
        calls=strategies.integers(1, 4),
        fault=strategies.sampled_from(["kill", "crash", "cut"]),
    )
    def fail_under_load(self, index, calls, fault):
        """Fail a process, a target or a link with calls in flight."""
        name = self.host_id_at(index)
        self.net.targets[name].seconds = 0.3
        self.load(calls)
        if fault == "kill":
            self.net.kill(name)
            self.net.start(name)
        elif fault == "crash":
            self.net.targets[name].restart(0.3)
        else:
            self.cut_regions()

    @stateful.rule(index=INDEX, times=strategies.integers(1, 3))
    def crash(self, index, times):
        """Send a request that crashes each target that runs it."""
        for _ in range(times):
            self.net.request(
                self.entry(index), "GET", "/specs/1", body=b"crash"
            )
            self.run_for(0.05)

    @stateful.rule(index=INDEX)
    def turn_cold(self, index):
        self.net.targets[self.host_id_at(index)].restart(0.0)

    @stateful.rule(
        indexes=strategies.sets(INDEX, min_size=2),
        seconds=strategies.sampled_from([0.0, 0.3, 3.0]),
    )
    def herd(self, indexes, seconds):
        """Kill several nodes at once and restart them together."""
        names = sorted({self.host_id_at(index) for index in indexes})
        for name in names:
            self.net.kill(name)
        self.run_for(seconds)
        for name in names:
            self.net.start(name)

    @stateful.precondition(lambda self: self.net.source.available)
    @stateful.rule(index=INDEX)
    def mark_leaving(self, index):
        """Mark a host as leaving after replacing the previous such host.

        Without a live host in its region no node would read the source.
        """
        if self.leaving_host_id in self.net.hosts:
            self.replace(sorted(self.net.hosts).index(self.leaving_host_id))
        host = self.net.hosts[self.host_id_at(index)]
        self.leaving_host_id = host.id
        document = host.to_document() | {"state": "leaving"}
        self.net.change_hosts({"op": "put", "host": document})
        self.oracle.advance()

    @stateful.rule(index=INDEX, calls=strategies.integers(0, 3))
    def shut_down(self, index, calls):
        """Stop a node gracefully while its target runs requests."""
        name = self.host_id_at(index)
        if calls:
            self.net.targets[name].seconds = 0.3
            self.load(calls)
        node = self.net.nodes[name]
        if node.alive and node.drain_until is None:
            node.deliver(node.drain)

    def teardown(self):
        super().teardown()
        if hasattr(self, "oracle") and sys.exc_info()[0] is None:
            self.run_for(SETTLE_SECONDS)
            self.oracle.check_responses()


FleetMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    max_examples=25,
    stateful_step_count=40,
    deadline=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=True,
)
TestFleetMachine = FleetMachine.TestCase
