"""Simulates targets that differ in speed and change it."""

from hickorythread.mesh import events
from tests import mesh_builders as build
from tests import mesh_load

FACTORS = (0.5, 0.7, 1.0, 1.0, 1.75, 1.4, 0.7, 1.0, 1.0, 1.75, 0.5, 1.4)
SLOTS = 4
SERVICE_SECONDS = 0.1
# At full slots a run takes this much longer than at half of them.
FULL_SLOWDOWN = 1.4
NOISE_FACTOR = 2.5
NOISE_SHARE = 0.15
NOISE_SECONDS = 0.6


class CapacityLoad(mesh_load.LoadSimulation):
    """Let targets slow down, be disturbed and report a factor."""

    def __init__(self, hosts, kinds, seed, noisy=True):
        super().__init__(hosts, kinds, seed)
        self.disturbed = {}
        if noisy:
            self.schedule(0.0, self.disturb)

    def disturb(self):
        """Disturb another part of the targets for a short time."""
        host_ids = list(self.hosts)
        count = round(NOISE_SHARE * len(host_ids))
        self.disturbed = dict.fromkeys(
            self.random.sample(host_ids, count), NOISE_FACTOR
        )
        self.schedule(self.now + NOISE_SECONDS, self.disturb)

    def run(self, host, action):
        speed = host.duration_factor
        share = len(host.execution.runs) / host.execution.admission.slots
        slowdown = 1.0 + (FULL_SLOWDOWN - 1.0) * max(0.0, 2.0 * share - 1.0)
        factor = self.disturbed.get(host.host_id, 1.0)
        host.duration_factor = speed * slowdown * factor
        super().run(host, action)
        host.duration_factor = speed

    def finish(self, host, action, answer):
        factor = round(100 * self.disturbed.get(host.host_id, 1.0))
        answer.load = events.InstanceLoad(1, 0, SLOTS, factor)
        super().finish(host, action, answer)

    def set_speed(self, host, factor):
        """Change the speed of a target."""
        host.duration_factor = factor

    def arrivals_share(self, host, start, end):
        """Return the share of a target in the arrivals of a time span."""
        hosts = [name for when, name in self.arrivals if start <= when < end]
        return hosts.count(host.host_id) / max(1, len(hosts))


def capacity_rate(factors=FACTORS):
    """Return the requests per second at which all slots are in use."""
    seconds = SERVICE_SECONDS * FULL_SLOWDOWN
    return sum(SLOTS / (seconds * factor) for factor in factors)


def uneven(scale, seed=1, factors=FACTORS, noisy=True):
    """Return a service of uneven targets at a multiple of its capacity."""
    domains = list(mesh_load.REGIONS)
    hosts = [
        ("spec-desk", domains[number % len(domains)], SLOTS, factor)
        for number, factor in enumerate(factors)
    ]
    route = build.make_route(
        "panel-spec", destinations=[("spec-desk", 1.0)], objective=0.4
    )
    kind = mesh_load.RequestKind(
        route, SERVICE_SECONDS, 1.0, scale * capacity_rate(factors)
    )
    return CapacityLoad(hosts, {"panel-spec": kind}, seed, noisy)
