"""A simulated fleet whose hosts decide about the quotas of accounts."""

import bisect
import heapq
import itertools
import random

from hickorythread.mesh import quotas
from tests import mesh_builders as build

TICK_SECONDS = 0.02
NEAR_SECONDS = 0.0005
FAR_SECONDS = 0.012
# A reset is seen at once, silence when the stream ends.
RESET_SECONDS = 0.05
SILENCE_SECONDS = 3.0
WINDOW_SECONDS = 5.0


def make_limit(name, rate, burst=None):
    return build.make_account(name, rate=rate, burst=burst or rate)


class Host:
    """Hold the client of one host and the requests that wait there."""

    def __init__(self, number, fleet):
        self.id = f"10.0.0.{number}"
        self.region = number % 2
        self.fleet = fleet
        self.start()

    def start(self):
        self.alive = True
        self.frozen_until = 0.0
        self.waiting = []
        self.client = quotas.QuotaClient(self.id, self.fleet.random)
        self.client.set_accounts(list(self.fleet.limits.values()))

    def request(self, name, now):
        outcome = self.client.take(self.fleet.limits[name], now)
        if outcome == quotas.WAIT:
            self.waiting.append((now + quotas.MAX_WAIT_SECONDS, name))
            self.fleet.send_all(self, self.client.due_messages(now))
        else:
            self.fleet.record(name, outcome)

    def granted(self, sender, message, now):
        names = self.client.granted(sender, message, now)
        for item in [item for item in self.waiting if item[1] in names]:
            outcome = self.client.take_waiting(item[1], now)
            if outcome != quotas.WAIT:
                self.waiting.remove(item)
                self.fleet.record(item[1], outcome)

    def tick(self, now):
        for item in [item for item in self.waiting if item[0] <= now]:
            self.waiting.remove(item)
            self.fleet.record(item[1], self.client.decide(item[1], now))
        self.fleet.send_all(self, self.client.tick(now))


class Fleet:
    """Run hosts, links and requests in simulated time."""

    def __init__(self, seed, limits, hosts=66, started=True):
        self.random = random.Random(seed)
        self.now = 0.0
        self.limits = {limit.name: limit for limit in limits}
        self.load = {name: 1 / 1.6 for name in self.limits}
        self.numbers = itertools.count()
        self.events = []
        self.cut = set()
        self.runs = {name: [] for name in self.limits}
        self.refused = {name: [] for name in self.limits}
        self.messages = 0
        self.hosts = {}
        for number in range(1, hosts + 1):
            host = Host(number, self)
            self.hosts[host.id] = host
            self.at(self.random.random() * TICK_SECONDS, self.tick, host)
        for host in self.hosts.values():
            host.client.hosts.set_known(self.hosts)
            if started:
                for other in self.hosts:
                    host.client.hosts.add(other)
        for name in self.limits:
            self.at(0.0, self.arrive, name)

    def at(self, time, action, *values):
        heapq.heappush(self.events, (time, next(self.numbers), action, values))

    def run(self, seconds):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, action, values = heapq.heappop(self.events)
            action(*values)
        self.now = until

    def arrive(self, name):
        rate = self.limits[name].rate * self.load[name]
        self.at(self.now + self.random.expovariate(rate), self.arrive, name)
        host = self.random.choice(list(self.hosts.values()))
        if host.alive and self.now >= host.frozen_until:
            host.request(name, self.now)

    def tick(self, host):
        wake = max(self.now + TICK_SECONDS, host.frozen_until)
        self.at(wake, self.tick, host)
        if host.alive and self.now >= host.frozen_until:
            host.tick(self.now)

    def record(self, name, outcome):
        times = self.runs if outcome == quotas.TAKEN else self.refused
        times[name].append(self.now)

    def send_all(self, host, actions):
        for action in actions:
            self.send(host, self.hosts[action.host_id], action.message)

    def send(self, host, other, message):
        self.messages += 1
        near = host.region == other.region
        delay = NEAR_SECONDS if near else FAR_SECONDS
        self.at(self.now + delay, self.deliver, host, other, message)

    def deliver(self, host, other, message):
        if not other.alive or (host.id in self.cut) != (other.id in self.cut):
            return
        if self.now < other.frozen_until:
            self.at(other.frozen_until, self.deliver, host, other, message)
        elif hasattr(message, "interval"):
            other.granted(host.id, message, self.now)
        else:
            grant = other.client.owner.request(host.id, message, self.now)
            self.send(other, host, grant)

    # Faults.

    def owner(self, name):
        host = next(iter(self.hosts.values()))
        return self.hosts[host.client.hosts.ranked(name)[0]]

    def unlink(self, first, second, delay):
        for host, other in ((first, second), (second, first)):
            self.at(
                self.now + delay,
                lambda host=host, other=other: host.client.hosts.remove(
                    other.id, self.now
                ),
            )

    def link(self, first, second, delay=0.0):
        for host, other in ((first, second), (second, first)):
            self.at(
                self.now + delay,
                lambda host=host, other=other: host.client.hosts.add(other.id),
            )

    def lose(self, host):
        host.alive = False
        for other in self.hosts.values():
            if other is not host:
                self.unlink(host, other, RESET_SECONDS)

    def freeze(self, host, seconds):
        host.frozen_until = self.now + seconds
        for other in self.hosts.values():
            if other is not host and seconds > SILENCE_SECONDS:
                self.unlink(other, host, SILENCE_SECONDS)
                self.link(other, host, seconds + RESET_SECONDS)

    def partition(self, ids):
        self.cut = set(ids)
        for first, second in itertools.combinations(self.hosts.values(), 2):
            if (first.id in self.cut) != (second.id in self.cut):
                self.unlink(first, second, SILENCE_SECONDS)

    def restart_all(self):
        for host in self.hosts.values():
            host.start()
            host.client.hosts.set_known(self.hosts)
        for first, second in itertools.combinations(self.hosts.values(), 2):
            self.link(first, second, 0.2 + self.random.random())

    def change_limit(self, limit):
        self.limits[limit.name] = limit
        for host in self.hosts.values():
            self.at(
                self.now + 3.0 * self.random.random(),
                host.client.set_accounts,
                [limit],
            )

    # Results.

    def most_in_window(self, name, since=0.0):
        runs = [time for time in self.runs[name] if time >= since]
        return max(
            (
                bisect.bisect_left(runs, time + WINDOW_SECONDS) - index
                for index, time in enumerate(runs)
            ),
            default=0,
        )

    def refused_share(self, name, since=0.0, until=1e9):
        def count(times):
            return sum(since <= time < until for time in times)

        refused = count(self.refused[name])
        return refused / max(1, refused + count(self.runs[name]))


def allowed(limit):
    return (limit.rate * WINDOW_SECONDS + limit.burst) * 1.25 + 20
