"""Simulates the synchronizers of one region and their source."""

import heapq
import random

import expression

from hickorythread import events
from hickorythread.mesh import interfaces
from hickorythread.mesh import messages
from hickorythread.mesh import synchronizer
from hickorythread.mesh import view as mesh_view
from tests import mesh_builders as build

RESPONSE_DELAY_SECONDS = 0.004
MESSAGE_DELAY_SECONDS = 0.001
CHECK_INTERVAL_SECONDS = 0.2
OPERATOR_CHANGES = (interfaces.PutConfiguration, interfaces.SetEvacuated)


class Source:
    """Holds the newest configuration, the targets and their history."""

    def __init__(self, domain):
        self.domain = domain
        self.revision = 10
        self.configuration = build.make_configuration(1)
        self.targets = {}
        self.evacuated = set()
        self.history = []
        self.unavailable = False
        self.calls = 0

    def change(self, change):
        self.revision += 1
        if isinstance(change, interfaces.PutConfiguration):
            self.configuration = change.configuration
        elif isinstance(change, interfaces.PutTarget):
            self.targets[change.target.id] = change.target
        elif isinstance(change, interfaces.SetEvacuated):
            self.evacuated ^= {change.failure_domain}
        else:
            self.targets.pop(change.target_id)
        self.history.append((self.revision, change))

    def put_version(self, version):
        configuration = build.make_configuration(version)
        self.change(interfaces.PutConfiguration(configuration))

    def read(self, topic):
        """Return everything under a topic."""
        if topic == interfaces.OPERATOR:
            changes = [interfaces.PutConfiguration(self.configuration)]
            changes += [
                interfaces.SetEvacuated(domain, True)
                for domain in self.evacuated
            ]
        else:
            changes = [
                interfaces.PutTarget(target)
                for target in self.targets.values()
            ]
        return expression.Ok(interfaces.ChangeBatch(changes, self.revision))

    def watch(self, topic, after):
        """Return the changes of a topic, None if there are none."""
        changes = [
            change
            for revision, change in self.history
            if revision > after
            and (topic == interfaces.OPERATOR)
            == isinstance(change, OPERATOR_CHANGES)
        ]
        if not changes:
            return None
        versions = [
            change
            for change in changes
            if isinstance(change, interfaces.PutConfiguration)
        ]
        superseded = max(0, len(versions) - 1)
        changes = [change for change in changes if change not in versions[:-1]]
        return expression.Ok(
            interfaces.ChangeBatch(changes, self.revision, superseded)
        )


class Member:
    """A node with one synchronizer; its watchers run in simulated time."""

    def __init__(self, domain, number):
        self.domain = domain
        self.host_id = f"10.0.0.{number}"
        self.is_isolated = False
        # Loses all messages from and to other members.
        self.is_silent = False
        # The topics whose watches get no answer any more.
        self.lost_topics = set()
        self.by_host = {}
        self.versions = []
        self.synchronizer = synchronizer.Synchronizer(
            build.make_settings(
                number,
                failure_domain=domain.name_of(number),
                regions=dict.fromkeys(domain.names, "north"),
            ),
            mesh_view.View(),
            None,
            self,
            domain,
            random.Random(number),
            lambda before: self.versions.append(self.view.version),
        )
        self.view = self.synchronizer.view
        for watcher in self.synchronizer.watchers:
            watcher.source = None
            domain.schedule(0.001 * number, self.step, watcher)
        domain.schedule(CHECK_INTERVAL_SECONDS, self.check)

    def connect(self, others):
        """Open streams to other members without a handshake."""
        self.by_host = dict(others)
        for host_id in others:
            name = self.domain.name_of(int(host_id.split(".")[-1]))
            peer = events.Peer(host_id, 1, "north", name)
            self.synchronizer.peer_connected(peer)

    def send(self, host_id, message):
        if self.is_silent or self.domain.members[host_id].is_silent:
            return
        self.domain.schedule(
            MESSAGE_DELAY_SECONDS,
            self.domain.members[host_id].receive,
            self.host_id,
            message,
        )

    def receive(self, sender, message):
        if isinstance(message, messages.ViewNotice):
            self.synchronizer.notice_received(sender, message)
        elif isinstance(message, messages.ViewReply):
            assert self.synchronizer.reply_received(sender, message) is None
        else:
            reply = self.synchronizer.make_view_reply(message)
            if reply is not None:
                self.send(sender, reply)

    def check(self):
        self.synchronizer.expire(self.domain.now)
        self.synchronizer.request_if_behind(self.domain.now)
        self.synchronizer.check_with_peer(self.domain.now)
        for topic in self.synchronizer.topics_to_check(self.domain.now):
            self.synchronizer.check_with_source(topic, SourceCheck(self))
        self.domain.schedule(CHECK_INTERVAL_SECONDS, self.check)

    def step(self, watcher, since=None):
        """Run one step of a watcher; a watch polls until its timeout."""
        if watcher.topic in self.lost_topics and watcher.position is not None:
            return
        source = self.domain.source
        now = self.domain.now
        call = SourceCall(self, source, now if since is None else since)
        watcher.source = call
        wait = watcher.step()
        if call.is_waiting:
            self.domain.schedule(
                RESPONSE_DELAY_SECONDS, self.step, watcher, call.since
            )
        else:
            self.domain.schedule(
                max(wait, RESPONSE_DELAY_SECONDS), self.step, watcher
            )


class SourceCall:
    """A single call of a watcher; is_waiting is set while a watch waits."""

    def __init__(self, member, source, since):
        self.member = member
        self.source = source
        self.since = since
        self.is_waiting = False

    def read(self, topic):
        self.source.calls += 1
        if self.source.unavailable or self.member.is_isolated:
            return expression.Error(interfaces.SourceFailure("unreachable"))
        return self.source.read(topic)

    def watch(self, topic, after, wait):
        now = self.member.domain.now
        if self.since == now:
            self.source.calls += 1
        if self.source.unavailable or self.member.is_isolated:
            return expression.Error(interfaces.SourceFailure("unreachable"))
        result = self.source.watch(topic, after)
        if result is not None:
            return result
        self.is_waiting = now - self.since < wait
        return expression.Ok(interfaces.ChangeBatch([], after))


class SourceCheck:
    """Answers a watch that does not wait."""

    def __init__(self, member):
        self.member = member
        self.source = member.domain.source

    def watch(self, topic, after, wait):
        assert wait == 0.0
        self.source.calls += 1
        if self.source.unavailable or self.member.is_isolated:
            return expression.Error(interfaces.SourceFailure("unreachable"))
        result = self.source.watch(topic, after)
        if result is None:
            return expression.Ok(interfaces.ChangeBatch([], after))
        return result


class Domain:
    """The members of a region, their clock and their messages.

    They are spread over one failure domain or several.
    """

    def __init__(self, size, names=("launceston",)):
        self.names = names
        self.now = 0.0
        self.timers = []
        self.last_timer = 0
        self.source = Source(self)
        for number in range(1, size + 1):
            target = build.make_target(
                number, failure_domain=self.name_of(number)
            )
            self.source.change(interfaces.PutTarget(target))
        self.members = {}
        for number in range(1, size + 1):
            member = Member(self, number)
            self.members[member.host_id] = member
        for member in self.members.values():
            others = dict(self.members)
            del others[member.host_id]
            member.connect(others)

    def name_of(self, number):
        """Return the failure domain of a member."""
        return self.names[number % len(self.names)]

    def monotonic(self):
        return self.now

    def schedule(self, delay, function, *arguments):
        self.last_timer += 1
        entry = (self.now + delay, self.last_timer, function, arguments)
        heapq.heappush(self.timers, entry)

    def run_for(self, seconds):
        until = self.now + seconds
        while self.timers and self.timers[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.timers)
            function(*arguments)
        self.now = until

    def readers(self):
        """Return the members by rank, the first readers first."""
        first = next(iter(self.members.values()))
        ranked = first.synchronizer.reader_selection.ranked
        return [self.members[host_id] for host_id in ranked]

    def lowest_version(self):
        return min(member.view.version for member in self.members.values())
