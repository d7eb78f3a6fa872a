"""The node process: connects the planes to sockets, tasks and logs."""

from collections.abc import Callable
import random
import sys
import time
from typing import Any

import eventlet
from eventlet import hubs

from hickorythread import acceptance
from hickorythread import adapters
from hickorythread import codec
from hickorythread import control
from hickorythread import entry
from hickorythread import events
from hickorythread import exceptions
from hickorythread import execution
from hickorythread import logs
from hickorythread import messages
from hickorythread import metrics
from hickorythread import models
from hickorythread import process
from hickorythread import readers
from hickorythread import server
from hickorythread import settings as node_settings
from hickorythread import streams
from hickorythread import utils
from hickorythread import validation
from hickorythread import waiters

TICK_SECONDS = 0.1
TRAFFIC_TICK_SECONDS = 0.02
DEFAULT_CONNECTIONS = 1
FLUSH_SECONDS = 0.05
FLUSH_LINES = 8


class Node(process.Process):
    """Run one node until it is asked to stop."""

    def __init__(
        self,
        settings: node_settings.Settings,
        clock: Any,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.random_source = random_source
        now = clock.monotonic()
        random_bits = random_source.getrandbits(16)
        # A later process of this host gets a higher incarnation.
        self.incarnation = utils.make_incarnation(time.time_ns(), random_bits)
        self.metrics = metrics.Metrics()
        self.decisions = logs.set_up(
            settings.host_id, self.version, settings.log_level
        )
        self.request_duration = self.metrics.duration("request")
        self.control = control.ControlPlane.from_config(
            settings, random_source, self.incarnation, now
        )
        self.entry = entry.EntryPlane.from_config(settings, random_source)
        # Idempotency keys must not be predictable from earlier ones.
        self.execution = execution.ExecutionPlane.from_config(
            settings, random.SystemRandom(), self.incarnation, now
        )
        # A process that resumes after a pause handles buffered calls before
        # its next tick, and its lease may have expired by then.
        self.execution.may_admit = self._may_admit
        self.streams = streams.StreamManager(
            messages.Hello(
                settings.host_id,
                self.incarnation,
                settings.region,
                settings.failure_domain,
                validation.SUPPORTED_RULES,
            ),
            self,
            self.version,
            clock,
            random_source,
        )
        self.self_peer = events.Peer(
            settings.host_id,
            self.incarnation,
            settings.region,
            settings.failure_domain,
        )
        self.platform = adapters.PlatformClient(settings.platform_address)
        self.target_client = adapters.TargetClient(
            settings.upstream_address, DEFAULT_CONNECTIONS, clock=clock
        )
        self.waiters: dict[int, waiters.Waiter] = {}
        self.reply_streams: dict[tuple[str, int], streams.Stream] = {}
        self.idle_workers: list[Any] = []
        self.last_request_id = 0
        self.admitting = True
        self.had_lease = False
        self.actions: dict[type, Callable[[Any], None]] = {
            events.Send: self._send,
            events.SendCall: self._send_call,
            events.SendReply: self._send_reply,
            events.Respond: self._respond,
            events.RunOnTarget: self._run_on_target,
            events.CancelOnTarget: self._cancel_on_target,
            events.ReportCrash: self._report_crash,
            events.ReadSource: self._read_source,
            events.ReadCheckpoint: self._read_source,
            events.ConfigurationChanged: self._configuration_changed,
            events.HostsChanged: self._hosts_changed,
            events.PeerStateChanged: self._peer_state_changed,
            events.PatchVerdict: self._log_verdict,
            events.CloseStream: self._close_stream,
            events.Log: self._log,
        }

    @classmethod
    def from_config(cls, settings: node_settings.Settings) -> "Node":
        """Create a node with the system clock and a random seed."""
        return cls(settings, utils.SystemClock(), random.Random())

    # Lifecycle.

    def start(self) -> None:
        """Bind all addresses and start the tasks.

        Raises OSError if an address cannot be bound.
        """
        self.streams.listen(self.settings.stream_address)
        apps = (
            (self.settings.caller_address, server.CallerApp(self)),
            (self.settings.operator_address, server.OperatorApp(self)),
        )
        for address, app in apps:
            self.spawn(server.serve, self.listen(address), app)
        self.spawn(self._tick_control)
        self.spawn(self._tick_traffic)
        self.spawn(self._cancel_disconnected)
        self.spawn(self._flush)
        if self.settings.seeds:
            self.spawn(self._connect_to_seeds)
        logs.info("node_started", incarnation=self.incarnation)
        self.perform(self.control.start(self.clock.monotonic()))

    def stop(self) -> None:
        """Start a graceful shutdown; accepted requests may still complete."""
        if self.stopping:
            return
        self.stopping = True
        logs.info("node_draining")
        self.spawn(self._drain)

    def _drain(self) -> None:
        now = self.clock.monotonic()
        self.handle(events.Stop())
        self.perform(self.execution.drain(now))
        stop_at = now + self.settings.drain_seconds
        while self.clock.monotonic() < stop_at:
            if self.execution.idle and not self.waiters:
                break
            eventlet.sleep(TRAFFIC_TICK_SECONDS)
        # Leaves time to write the last replies to the sockets.
        eventlet.sleep(TICK_SECONDS)
        logs.info("node_stopped", unfinished=len(self.waiters))
        self.finish(None)

    def _tick_control(self) -> None:
        while True:
            eventlet.sleep(TICK_SECONDS)
            self.handle(events.Tick())
            self._update_admission()
            if self.control.leaving:
                # The host list marks this host as leaving.
                self.stop()

    def _connect_to_seeds(self) -> None:
        """Open streams to random seeds until the node is ready.

        Peers do not connect to a host that is missing from their host list,
        and this node cannot read the list while the platform is down.
        """
        backoff = readers.Backoff(
            self.random_source,
            streams.RECONNECT_FIRST_SECONDS,
            streams.RECONNECT_MAX_SECONDS,
        )
        while not self.control.ready:
            self.streams.open(self.random_source.choice(self.settings.seeds))
            eventlet.sleep(backoff.next())

    def _tick_traffic(self) -> None:
        while True:
            eventlet.sleep(TRAFFIC_TICK_SECONDS)
            now = self.clock.monotonic()
            self.perform(self.entry.tick(now))
            self.perform(self.execution.tick(now))

    def _flush(self) -> None:
        """Write decision log lines and metrics outside the request path."""
        while True:
            eventlet.sleep(FLUSH_SECONDS)
            # Writing a line takes about 9 us; other tasks run between batches.
            while self.decisions.flush(sys.stderr, FLUSH_LINES) == FLUSH_LINES:
                eventlet.sleep(0)
            self.metrics.flush()
            self.target_client.expire(self.clock.monotonic())

    def _may_admit(self, now: float) -> bool:
        # While the node leaves, the execution plane refuses new calls itself
        # and must still run the queued ones.
        return self.control.leaving or self.control.may_admit(now)

    def _update_admission(self) -> None:
        now = self.clock.monotonic()
        self.had_lease = self.had_lease or self.control.lease.valid(now)
        allowed = self._may_admit(now)
        if allowed != self.admitting:
            self.admitting = allowed
            cause = "lease-expired" if self.control.ready else "starting"
            reason = "" if allowed else cause
            self.perform(self.execution.set_admitting(allowed, reason, now))

    # Actions.

    def handle(self, event: events.Record) -> None:
        """Pass an event to the control plane and perform its actions."""
        self.perform(self.control.handle(event, self.clock.monotonic()))

    def perform(self, actions: list[Any]) -> None:
        """Perform actions in order."""
        for action in actions:
            self.actions[type(action)](action)

    def _send(self, action: events.Send) -> None:
        self.streams.send(action.host_id, action.message)

    def _send_call(self, action: events.SendCall) -> None:
        message: Any = action.message
        if action.host_id != self.settings.host_id:
            self.streams.send_timed(action.host_id, message, action.deadline)
            return
        now = self.clock.monotonic()
        if isinstance(message, messages.Call):
            message.deadline = action.deadline
            self.perform(self.execution.call(self.self_peer, message, now))
        elif isinstance(message, messages.IssueKey):
            actions = self.execution.issue_key(self.self_peer, message, now)
            self.perform(actions)
        else:
            actions = self.execution.cancel(
                self.self_peer, message.call_id, now
            )
            self.perform(actions)

    def _send_reply(self, action: events.SendReply) -> None:
        message: Any = action.message
        if isinstance(message, messages.CrashAck):
            self.streams.send(action.host_id, message)
            return
        if action.host_id == self.settings.host_id:
            now = self.clock.monotonic()
            self.perform(self.entry.reply(action.host_id, message, now))
            return
        if isinstance(message, messages.CrashAck):
            self.streams.send(action.host_id, message)
            return
        # A reply goes only to the stream that its call arrived on, so that a
        # restarted entry node never gets replies to its previous process.
        key = (action.host_id, message.call_id)
        stream = self.reply_streams.pop(key, None)
        if stream is None or not stream.send(message):
            self.metrics.count("replies_without_stream")

    def _respond(self, action: events.Respond) -> None:
        waiter = self.waiters.pop(action.request_id, None)
        if waiter is None:
            self.metrics.count("responses_without_caller")
        else:
            waiter.deliver(action.response)

    def _run_on_target(self, action: events.RunOnTarget) -> None:
        if self.idle_workers:
            worker = self.idle_workers.pop()
            hubs.get_hub().schedule_call_global(0, worker.switch, action)
        else:
            self.spawn(self._run_worker, action)

    def _run_worker(self, action: events.RunOnTarget) -> None:
        """Run requests at the target; wait in idle_workers in between."""
        while True:
            event = self.target_client.run(action)
            now = self.clock.monotonic()
            self.perform(self.execution.target_event(event, now))
            self.idle_workers.append(eventlet.getcurrent())
            action = hubs.get_hub().switch()

    def _cancel_on_target(self, action: events.CancelOnTarget) -> None:
        # cancel() blocks on a connection to the target and its response.
        self.spawn(self.target_client.cancel, action)

    def _report_crash(self, action: events.ReportCrash) -> None:
        for host_id in action.host_ids:
            self.streams.send(host_id, action.message)

    def _read_source(
        self, action: events.ReadSource | events.ReadCheckpoint
    ) -> None:
        self.spawn(self._read_from_platform, action)

    def _read_from_platform(
        self, action: events.ReadSource | events.ReadCheckpoint
    ) -> None:
        if isinstance(action, events.ReadCheckpoint):
            self.handle(self.platform.read_checkpoint(action))
        else:
            self.handle(self.platform.read(action))

    def _configuration_changed(
        self, action: events.ConfigurationChanged
    ) -> None:
        configuration = action.configuration
        now = self.clock.monotonic()
        self.entry.configuration_changed(configuration, now)
        self.execution.configuration_changed(configuration, now)
        logs.info(
            "version_in_force",
            version=configuration.version,
            digest=configuration.digest.hex()[:16],
        )
        service = configuration.services.get(self.settings.service)
        if service is not None:
            self.target_client.set_limits(
                service.connections, service.connect_ms
            )
        self._update_admission()

    def _hosts_changed(self, action: events.HostsChanged) -> None:
        now = self.clock.monotonic()
        for host in action.changed:
            self.streams.addresses[host.id] = host.stream_address
        for host_id in action.removed:
            self.streams.addresses.pop(host_id, None)
        self.entry.hosts_changed(action.changed, action.removed, now)
        self.execution.hosts_changed(action.changed, action.removed, now)

    def _peer_state_changed(self, action: events.PeerStateChanged) -> None:
        # A leaving peer still serves the keys that it issued. The host list
        # change that comes with this state stops new calls to it.
        if action.state != "left":
            now = self.clock.monotonic()
            self.entry.peer_state_changed(action.host_id, action.usable, now)

    def _log_verdict(self, action: events.PatchVerdict) -> None:
        rejection = action.rejection
        logs.info(
            "patch_judged",
            patch=action.patch_id,
            sequence=action.sequence,
            version=action.version,
            verdict="rejected" if rejection else "accepted",
            kind=rejection.kind if rejection else "",
        )

    def _close_stream(self, action: events.CloseStream) -> None:
        self.streams.close(action.host_id, action.reason)

    def _log(self, action: events.Log) -> None:
        self.metrics.count(action.event)
        self.decisions.add(action.event, action.values)

    # Streams.

    def stream_opened(self, stream: streams.Stream) -> None:
        """Notify the control plane that a stream to a peer is open."""
        if stream.peer is not None:
            self.handle(events.StreamOpened(stream.peer))

    def stream_closed(self, stream: streams.Stream, reason: str) -> None:
        """Settle the calls that a lost stream carried, in both directions."""
        if stream.peer is None:
            return
        host_id = stream.peer.host_id
        now = self.clock.monotonic()
        self.perform(self.entry.stream_lost(host_id, stream.id, now))
        keys = streams.take_calls(self.reply_streams, stream)
        self.perform(self.execution.calls_lost(keys, now))
        self._check_connected(host_id, reason)

    def connect_failed(self, host_id: str, reason: str) -> None:
        """Notify the planes of a host to which no stream can be opened."""
        self._check_connected(host_id, reason)

    def message_carried(self, stream: streams.Stream, message: Any) -> None:
        """Note which stream a call leaves on."""
        if isinstance(message, messages.Call | messages.IssueKey):
            self.entry.call_carried(message.call_id, stream.id)

    def message_unsent(self, host_id: str, message: Any, reason: str) -> None:
        """Settle a call that no stream will carry."""
        if isinstance(message, messages.Call | messages.IssueKey):
            now = self.clock.monotonic()
            self.perform(self.entry.call_lost(message.call_id, now))

    def _check_connected(self, host_id: str, reason: str) -> None:
        """Notify the planes of a host that has no stream left."""
        if self.streams.find(host_id) is not None:
            return
        now = self.clock.monotonic()
        self.perform(self.entry.peer_lost(host_id, now))
        self.perform(self.execution.peer_lost(host_id, now))
        self.handle(events.StreamClosed(host_id, reason))

    def message_received(
        self, stream: streams.Stream, received: codec.DecodedMessage
    ) -> None:
        """Dispatch a message to the plane that handles its type."""
        message: Any = received.message
        peer = stream.peer
        if peer is None:
            raise exceptions.InvariantError(
                "message received before the handshake"
            )
        now = self.clock.monotonic()
        message_type = type(message)
        if (
            message_type is messages.Reply
            or message_type is messages.KeyIssued
        ):
            self.perform(self.entry.reply(peer.host_id, message, now))
        elif message_type is messages.Call:
            self.reply_streams[peer.host_id, message.call_id] = stream
            self.perform(self.execution.call(peer, message, now))
        elif message_type is messages.IssueKey:
            self.reply_streams[peer.host_id, message.call_id] = stream
            self.perform(self.execution.issue_key(peer, message, now))
        elif message_type is messages.Cancel:
            actions = self.execution.cancel(peer, message.call_id, now)
            self.perform(actions)
        elif message_type is messages.CrashReport:
            actions = self.execution.crash_report(peer, message, now)
            self.perform(actions)
        elif message_type is messages.CrashAck:
            self.perform(self.execution.crash_ack(peer, message, now))
        else:
            event = events.MessageReceived(peer, message, received.version)
            self.handle(event)
            return
        self.perform(self.control.notice_version(peer, received.version, now))

    def message_refused(
        self, address: str, error: exceptions.DecodeError
    ) -> None:
        """Count and log input that the codec could not decode."""
        self.metrics.count(f"refused_{error.kind}")
        logs.info(
            "message_refused",
            address=address,
            kind=error.kind,
            message=error.message,
        )

    # Callers.

    def version(self) -> int:
        """Return the current configuration version."""
        return self.control.configuration.version

    def next_request_id(self) -> int:
        """Return a request id that is unique in this process."""
        self.last_request_id += 1
        return self.last_request_id

    def check_head(
        self, method: str, path: str, client_account: str
    ) -> exceptions.Refusal | None:
        """Return a refusal if the request head alone justifies one."""
        if self.stopping:
            return exceptions.Refusal(503, "draining", "node is leaving", 1.0)
        if not self.control.ready:
            message = "node has no configuration yet"
            return exceptions.Refusal(503, "starting", message, 1.0)
        refusal: exceptions.Refusal | None = self.entry.check_head(
            method, path, client_account
        )
        return refusal

    def submit(
        self, request: events.Request, connected: Callable[[], bool]
    ) -> events.Response | None:
        """Run a request; returns None if the caller disconnected."""
        started = self.clock.monotonic()
        waiter = waiters.Waiter(connected, started)
        self.waiters[request.request_id] = waiter
        self.perform(self.entry.request(request, started))
        response: events.Response | None = waiter.wait()
        if response is not None:
            elapsed = self.clock.monotonic() - started
            self.request_duration.record(elapsed)
        return response

    def _cancel_disconnected(self) -> None:
        """Cancel the requests of callers that have disconnected."""
        while True:
            eventlet.sleep(server.CALLER_CHECK_SECONDS)
            now = self.clock.monotonic()
            latest_start = now - server.CALLER_CHECK_SECONDS
            for request_id, waiter in list(self.waiters.items()):
                if waiter.done or waiter.started_at > latest_start:
                    continue
                if not waiter.connected():
                    del self.waiters[request_id]
                    self.perform(
                        self.entry.caller_disconnected(request_id, now)
                    )
                    waiter.deliver(None)

    # Operators.

    def readiness(self) -> tuple[bool, str]:
        """Return whether the node can serve callers, or the reason not."""
        if self.stopping:
            return False, "draining"
        if not self.control.ready:
            return False, "no configuration yet"
        if not self.had_lease:
            return False, "no lease yet"
        return True, ""

    def status(self) -> models.Document:
        """Return the status of the node and its fleet by failure domain."""
        document = dict(self.control.status(self.clock.monotonic()))
        domains = self.control.configuration.failure_domains
        regions: dict[str, models.Document] = {}
        for name, report in document["fleet"]["failure_domains"].items():
            region = domains[name].region if name in domains else "unknown"
            laggards = [
                {"host_id": item["host"], "version": item["version"]}
                for item in report["lagging"]
            ]
            regions.setdefault(region, {})[name] = {
                "counts": report["counts"],
                "laggards": laggards,
            }
        document["regions"] = regions
        return document

    def explain(
        self, method: str, path: str, client_account: str
    ) -> models.Document:
        """Return the routing decision for a request, with its reasons."""
        now = self.clock.monotonic()
        return dict(self.entry.explain(method, path, client_account, now))

    def check_patch(self, document: Any) -> models.Document:
        """Validate a patch against the current version without applying it."""
        configuration = self.control.configuration
        log_entry = models.LogEntry(0, 0, document)
        verdict = acceptance.accept(configuration, log_entry)
        problems = [] if verdict.is_ok() else verdict.error.problems
        return {
            "accepted": verdict.is_ok(),
            "version": configuration.version,
            "kind": "" if verdict.is_ok() else verdict.error.kind,
            "problems": problem_documents(problems),
        }

    def verdict(self, patch_id: str) -> models.Document:
        """Return the verdict on a published patch."""
        patch_verdict = self.control.verdict(patch_id)
        if patch_verdict is None:
            return {"id": patch_id, "verdict": "unknown"}
        rejection = patch_verdict.rejection
        return {
            "id": patch_id,
            "verdict": "rejected" if rejection else "accepted",
            "version": patch_verdict.version,
            "sequence": patch_verdict.sequence,
            "kind": rejection.kind if rejection else "",
            "problems": problem_documents(
                rejection.problems if rejection else []
            ),
        }


def problem_documents(
    problems: list[exceptions.Problem],
) -> list[models.Document]:
    """Convert validation problems to JSON objects."""
    return [
        {"path": problem.path, "message": problem.message}
        for problem in problems
    ]


def run(settings: node_settings.Settings) -> int:
    """Run a node until SIGTERM or SIGINT; returns the exit code."""
    node = Node.from_config(settings)
    code = process.run(node)
    node.streams.stop()
    node.decisions.flush(sys.stderr)
    return code
