"""The sidecar process: connects the planes to sockets, tasks and logs."""

from collections.abc import Callable
import functools
import random
import sys
import time
from typing import Any

import eventlet

from hickorythread import binding
from hickorythread import codec
from hickorythread import descriptors
from hickorythread import events as base_events
from hickorythread import exceptions
from hickorythread import http_protocol
from hickorythread import interfaces as base_interfaces
from hickorythread import keepalive
from hickorythread import logs
from hickorythread import memory_budget
from hickorythread import messages as base_messages
from hickorythread import metrics
from hickorythread import pipelining
from hickorythread import process
from hickorythread import resource_limits
from hickorythread import server
from hickorythread import streams
from hickorythread import utils
from hickorythread.mesh import account_lease
from hickorythread.mesh import call_memory
from hickorythread.mesh import connections
from hickorythread.mesh import entry
from hickorythread.mesh import events
from hickorythread.mesh import exchange
from hickorythread.mesh import execution
from hickorythread.mesh import explanation
from hickorythread.mesh import ingress
from hickorythread.mesh import interfaces
from hickorythread.mesh import links
from hickorythread.mesh import messages
from hickorythread.mesh import reasons
from hickorythread.mesh import reports
from hickorythread.mesh import settings as mesh_settings
from hickorythread.mesh import settings_file
from hickorythread.mesh import shutdown
from hickorythread.mesh import stopping
from hickorythread.mesh import synchronizer
from hickorythread.mesh import target_client
from hickorythread.mesh import telemetry
from hickorythread.mesh import view as mesh_view

TICK_SECONDS = 0.02
CLIENT_CHECK_SECONDS = 0.15
LINK_CHECK_SECONDS = 0.2
SOURCE_CHECK_SECONDS = 0.1
RECONNECT_MAX_SECONDS = 1.5
SETTINGS_CHECK_SECONDS = 1.0
FLUSH_SECONDS = 0.1
FLUSH_LINES = 16
ORDINARY_LINES_PER_SECOND = 300
LINES_PER_SECOND = 1000
ORDINARY_EVENTS = frozenset(("answered", "run_ended"))
MIN_SERVER_ERROR_STATUS = 500


class Node(process.Process):
    """Run one sidecar until it is asked to stop."""

    def __init__(
        self,
        settings: mesh_settings.Settings,
        source: interfaces.Source,
        dialect: interfaces.Dialect,
        clock: base_interfaces.Clock,
        random_source: random.Random,
        watched_file: settings_file.SettingsFile | None = None,
    ) -> None:
        super().__init__()
        self.bind_seconds = binding.BIND_SECONDS
        # Whether the tasks have been started.
        self.started = False
        now = clock.monotonic()
        self.settings = settings
        self.watched_file = watched_file
        self.source = source
        self.dialect = dialect
        self.clock = clock
        self.random_source = random_source
        self.view = mesh_view.View()
        self.metrics = metrics.Metrics()
        self.telemetry = telemetry.Telemetry(self.metrics)
        self.decisions = logs.set_up(
            settings.name, self.version, settings.log_level, sys.stdout
        )
        self.decisions.ordinary_lines_per_second = ORDINARY_LINES_PER_SECOND
        self.decisions.lines_per_second = LINES_PER_SECOND
        self.request_duration = self.metrics.duration("request")
        self.execution = execution.ExecutionPlane(settings, self.view, now)
        self.memory = memory_budget.MemoryBudget.from_memory(
            settings.memory_mb, clock.monotonic
        )
        self.call_memory = call_memory.CallMemory(self.memory)
        self.target = target_client.TargetClient(
            settings.target_address, dialect, clock, self.memory
        )
        random_bits = random_source.getrandbits(16)
        self.incarnation = utils.make_incarnation(time.time_ns(), random_bits)
        self.streams = streams.StreamManager(
            base_messages.Hello(
                settings.host_id,
                self.incarnation,
                settings.region,
                settings.failure_domain,
                0,
            ),
            self,
            self.version,
            clock,
            random_source,
        )
        self.streams.reconnect_max = RECONNECT_MAX_SECONDS
        self.streams.memory = self.memory
        self.streams.socket_options = keepalive.OPTIONS
        # Calls carry the time that is left, on no clock.
        self.streams.measures_clocks = False
        self.links = links.PeerLinks(
            settings.host_id, settings.stream_port, self.streams
        )
        self.synchronizer = synchronizer.Synchronizer(
            settings,
            self.view,
            source,
            self.streams,
            clock,
            random_source,
            self._view_changed,
            self._record_source_call,
            self._log,
        )
        self.account_lease = account_lease.AccountLease(
            settings,
            self.synchronizer.proofs[interfaces.OPERATOR],
            utils.suspended_seconds,
        )
        self.entry = entry.EntryPlane(
            settings, self.view, random_source, self.account_lease
        )
        self.clients: dict[int, interfaces.Client] = {}
        self.backlog = pipelining.Backlog()
        self.client_connections = http_protocol.ConnectionOptions(
            self.backlog, memory=self.memory
        )
        self.connections = connections.Connections(
            self.metrics,
            clock,
            self._count_outgoing,
            lambda: len(self.streams.accepted),
            resource_limits.raise_descriptor_limit,
        )
        self.connections.max_clients = memory_budget.max_connections(
            settings.memory_mb
        )
        self.streams.admission = connections.ListenerAdmission(
            self.connections, descriptors.STREAMS
        )
        self.streams.on_shortage = self.connections.relieve
        self.reply_streams: dict[tuple[str, int], streams.Stream] = {}
        self.last_number = 0
        self.reports = reports.Reports(self.decisions, self.memory)
        self.accepting = True
        self.actions: dict[type, Callable[[Any], None]] = {
            events.Send: self._send,
            events.Broadcast: self._broadcast,
            events.Respond: self._respond,
            events.Run: self._run,
            events.CancelRun: self._cancel_run,
            events.Probe: self._probe,
            events.Log: self._log,
        }

    # Life cycle.

    def start(self) -> None:
        """Bind all addresses and start the tasks.

        Raises OSError if an address cannot be bound.
        """
        settings = self.settings
        host_id = settings.host_id
        limit = self.connections.update_limit()
        apps = (
            (
                settings.request_address,
                ingress.RequestApp(self),
                descriptors.REQUESTS,
            ),
            (
                settings.readiness_address,
                ingress.ReadinessApp(self.ready),
                descriptors.READINESS,
            ),
            (
                f"{host_id}:{settings.metrics_port}",
                ingress.MetricsApp(self),
                descriptors.METRICS,
            ),
        )
        stream_listener, *self.listeners = self.bind_in_time(
            [
                f"{host_id}:{settings.stream_port}",
                *(address for address, _, _ in apps),
            ]
        )
        self.started = True
        self.streams.serve(stream_listener)
        for listener, (_, app, use) in zip(self.listeners, apps, strict=True):
            self.spawn_plane(use, self._serve, listener, app, use)
        for source_watcher in self.synchronizer.watchers:
            topic = source_watcher.topic
            self.spawn_plane(topic, source_watcher.run)
            self.spawn_plane(f"{topic}-check", self._check_source, topic)
        for name, task in (
            ("tick", self._tick),
            ("clients", self._check_clients),
            ("links", self._check_links),
            ("settings", self._poll_settings_file),
            ("flush", self._flush),
        ):
            self.spawn_plane(name, task)
        logs.info(
            "node_started", incarnation=self.incarnation, descriptors=limit
        )

    def stop(self) -> None:
        """Start a graceful shutdown that completes the running requests."""
        if self.stopping:
            return
        self.stopping = True
        if not self.started:
            # The start ends at its next attempt to bind the addresses.
            return
        logs.info("node_draining", waiting=len(self.clients))
        self.spawn(shutdown.Shutdown(self).run)

    def reload(self) -> None:
        """Apply the changes of the settings file."""
        if self.watched_file is None:
            return
        changed = self.watched_file.reload()
        if "source_address" in changed:
            self.source.use_address(self.settings.source_address)
        # Distances follow from the regions.
        self.entry.placement.targets_changed()
        self.entry.update_retry_budget()

    def ready(self) -> bool:
        """Return whether this node is ready to serve clients."""
        if self.stopping or self.failure is not None:
            return False
        return self.view.ready and not self.planes_down()

    def _serve(self, listener: Any, app: Any, use: str) -> None:
        options = None
        if use == descriptors.REQUESTS:
            options = self.client_connections
        admission = connections.ListenerAdmission(self.connections, use)
        table = self.connections.tables[use]
        try:
            server.serve(listener, app, options, admission, table)
        except OSError:
            # The listener is closed on purpose during shutdown.
            if self.accepting:
                raise

    def _count_outgoing(self) -> int:
        return self.target.connections + len(self.streams.opened)

    def count_failure(self, kind: str, task: str) -> None:
        """Count the failure of a task."""
        self.metrics.count("task_failures", kind=kind, task=task)

    def answer_open_requests(self) -> None:
        """Answer clients and peers before a broken invariant ends this."""
        self.accepting = False
        self.client_connections.draining = True
        now = self.clock.monotonic()
        self.attempt(lambda: self.perform(self.execution.end(now)))
        self.attempt(lambda: self.perform(self.entry.end(now)))
        for number in list(self.clients):
            self._fail_request(number)
        sends_until = now + stopping.SEND_SECONDS
        while self.has_unsent() and self.clock.monotonic() < sends_until:
            eventlet.sleep(TICK_SECONDS)

    def has_unsent(self) -> bool:
        """Return whether a request is open or its answer not sent yet."""
        return not (self.backlog.empty and self.streams.all_sent)

    # Tasks.

    def _tick(self) -> None:
        while True:
            eventlet.sleep(TICK_SECONDS)
            now = self.clock.monotonic()
            self.synchronizer.expire(now)
            self.perform(self.entry.tick(now))
            self.execution.registration_stale = (
                self.synchronizer.targets_may_be_stale(now)
            )
            self.perform(self.execution.tick(now))

    def _poll_settings_file(self) -> None:
        """Reload the settings file when it changes without a signal."""
        while self.watched_file is not None:
            eventlet.sleep(SETTINGS_CHECK_SECONDS)
            if self.watched_file.changed():
                self.reload()

    def _check_clients(self) -> None:
        """Cancel the requests of clients that have disconnected."""
        while True:
            eventlet.sleep(CLIENT_CHECK_SECONDS)
            now = self.clock.monotonic()
            cutoff = now - CLIENT_CHECK_SECONDS
            for client in list(self.clients.values()):
                if client.received_at <= cutoff and not client.connected():
                    client.disconnect()

    def _check_links(self) -> None:
        while True:
            eventlet.sleep(LINK_CHECK_SECONDS)
            now = self.clock.monotonic()
            for host_id in self.links.hosts_to_open(now):
                # Sending a message opens the stream.
                self.streams.send(
                    host_id, exchange.make_notice(self.view, False)
                )
            for stream, silent in self.links.check_liveness(
                self.entry.oldest_calls(), now
            ):
                self._liveness_changed(stream, silent, now)
            self.synchronizer.request_if_behind(now)
            self.synchronizer.check_with_peer(now)

    def _liveness_changed(
        self, stream: streams.Stream, silent: bool, now: float
    ) -> None:
        """Move requests off a silent stream; use a host that responds."""
        if stream.peer is None:
            return
        host_id = stream.peer.host_id
        self._update_silence(host_id, now)
        if silent:
            self.perform(self.entry.stream_silent(stream.id, now))
        elif len(self.streams.by_host.get(host_id, ())) > 1:
            # An older announcement may still arrive on one of them.
            self.streams.send(host_id, self.execution.state())

    def _update_silence(self, host_id: str, now: float) -> None:
        """Use a host only if a stream to it responds."""
        stream = self.streams.find(host_id)
        silent = stream is not None and stream.silent
        self.perform(self.entry.peer_silent(host_id, silent, now))

    def _check_source(self, topic: str) -> None:
        """Ask the source for changes that the watch has missed."""
        while True:
            eventlet.sleep(SOURCE_CHECK_SECONDS)
            now = self.clock.monotonic()
            if topic in self.synchronizer.topics_to_check(now):
                result = self.synchronizer.check_with_source(
                    topic, self.source
                )
                if result is not None:
                    self._record_source_call(topic, result)
            if self.synchronizer.watch_is_dead(topic):
                logs.warning("watch_ended", topic=topic)
                self.source.end_watch(topic)

    def _flush(self) -> None:
        """Write decision log lines and metrics outside the request path."""
        while True:
            eventlet.sleep(FLUSH_SECONDS)
            # Yield to other tasks between batches.
            while self.decisions.flush(sys.stdout, FLUSH_LINES) == FLUSH_LINES:
                eventlet.sleep(0)
            now = self.clock.monotonic()
            self.reports.check(now)
            self.connections.report()
            self.metrics.flush()
            self.target.expire(now)

    # View changes.

    def _view_changed(self) -> None:
        now = self.clock.monotonic()
        returned = self.view.evacuations.take_returned()
        domain_returned = self.settings.failure_domain in returned
        host_ids = {target.host_id for target in self.view.targets.values()}
        self.links.set_peers(host_ids)
        self.entry.view_changed()
        self.entry.placement.keep_only(host_ids)
        self.perform(self.execution.view_changed(domain_returned, now))

    # Actions.

    def perform(self, actions: list[Any]) -> None:
        """Execute actions in order; one that fails stops no other."""
        for action in actions:
            try:
                self.actions[type(action)](action)
            except Exception as error:
                settle = functools.partial(self._settle_action, action)
                self.request_failed(type(action).__name__, settle, error)

    def _settle_action(self, action: Any) -> None:
        """End what depends on an action that failed."""
        if isinstance(action, events.Respond):
            self.drop_client(action.number)
        elif isinstance(action, events.Send):
            if isinstance(action.message, messages.Forward):
                self._fail_call(action.host_id, action.message.call_id)

    def _fail_call(self, host_id: str, call_id: int) -> None:
        """End a call that may or may not have been sent."""
        reply = base_messages.Reply(
            call_id, messages.UNKNOWN, 502, [], b"", 0, reasons.DEFECT, 0.0, []
        )
        now = self.clock.monotonic()
        self.perform(self.entry.reply(host_id, reply, now))
        self.perform(self.execution.cancel(host_id, call_id, now))

    def _send(self, action: events.Send) -> None:
        message: Any = action.message
        host_id = action.host_id
        now = self.clock.monotonic()
        if isinstance(message, base_messages.Reply):
            key = (host_id, message.call_id)
            self.call_memory.release(key)
            if host_id == self.settings.host_id:
                self.perform(self.entry.reply(host_id, message, now))
                return
            # A reply is sent only on the stream that carried its call, so that
            # a restarted entry node never receives replies to the calls of
            # its predecessor.
            stream = self.reply_streams.pop(key, None)
            if not self.call_memory.may_queue(len(message.body)):
                message = call_memory.without_body(message)
            if stream is None or not stream.send(message):
                self.metrics.count("replies_without_stream")
        elif host_id == self.settings.host_id:
            self._send_to_self(message, now)
        elif isinstance(
            message, messages.Forward
        ) and not self.call_memory.may_queue(len(message.body)):
            refusal = call_memory.refuse(message)
            self.perform(self.entry.reply(host_id, refusal, now))
        else:
            self._send_to_peer(host_id, message)

    def _send_to_peer(self, host_id: str, message: Any) -> None:
        """Send a message on a stream; a call ends with its stream."""
        stream = self.streams.find(host_id)
        if stream is not None:
            if isinstance(message, messages.Forward):
                self.entry.call_carried(message.call_id, stream.id)
            if stream.send(message):
                return
        # A call that this leaves open ends at its deadline.
        self.spawn_request(
            _do_nothing,
            self.message_unsent,
            host_id,
            message,
            streams.NOT_CONNECTED,
        )

    def _send_to_self(self, message: Any, now: float) -> None:
        host_id = self.settings.host_id
        if isinstance(message, messages.Forward):
            self.perform(self.execution.call(host_id, message, now))
        elif isinstance(message, base_messages.Cancel):
            self.perform(self.execution.cancel(host_id, message.call_id, now))

    def _broadcast(self, action: events.Broadcast) -> None:
        if isinstance(action.message, messages.TargetState):
            peer = self.entry.placement.peer(self.settings.host_id)
            peer.usable = action.message.usable
        for host_id in list(self.streams.by_host):
            if action.in_region and not self.synchronizer.is_near(host_id):
                continue
            self.streams.send(host_id, action.message)

    def _respond(self, action: events.Respond) -> None:
        client = self.clients.get(action.number)
        if client is None:
            self.metrics.count("responses_without_client")
            return
        client.deliver(action.response)
        self.clients.pop(action.number, None)
        elapsed = self.clock.monotonic() - client.received_at
        self.telemetry.record_response(action, elapsed)
        self.request_duration.record(elapsed)

    def _run(self, action: events.Run) -> None:
        settle = functools.partial(self._abandon_run, action.run_id)
        self.spawn_request(settle, self._run_call, action)

    def _abandon_run(self, run_id: int) -> None:
        now = self.clock.monotonic()
        self.perform(self.execution.abandon(run_id, now))

    def _run_call(self, action: events.Run) -> None:
        result = self.target.run(action)
        self._note_shortage(result)
        now = self.clock.monotonic()
        if isinstance(result, events.TargetResponse):
            actions = self.execution.handle_response(
                action.run_id, result, now
            )
        else:
            actions = self.execution.handle_failure(action.run_id, result, now)
        self.perform(actions)

    def _cancel_run(self, action: events.CancelRun) -> None:
        self.target.cancel(action.run_id)

    def _probe(self, action: events.Probe) -> None:
        self.spawn_request(self._fail_probe, self._run_probe, action)

    def _fail_probe(self) -> None:
        failure = events.Failure(reasons.DEFECT)
        now = self.clock.monotonic()
        self.perform(self.execution.handle_probe_result(failure, now))

    def _run_probe(self, action: events.Probe) -> None:
        if not action.in_use:
            self.target.drop_idle()
        result = self.target.probe(action.health_path)
        self._note_shortage(result)
        now = self.clock.monotonic()
        self.perform(self.execution.handle_probe_result(result, now))

    def _note_shortage(
        self, result: events.TargetResponse | events.Failure
    ) -> None:
        if isinstance(result, events.Failure):
            if result.kind == events.NO_DESCRIPTOR:
                self.connections.relieve()

    def _record_source_call(
        self, topic: str, result: interfaces.ReadResult
    ) -> None:
        self.telemetry.record_source_call(topic, result)
        if result.is_error() and result.error.kind == interfaces.NO_DESCRIPTOR:
            self.connections.relieve()

    def _log(self, action: base_events.Log) -> None:
        self.metrics.count(action.event)
        if action.event == "refused":
            self.metrics.count("refusals", reason=action.values["reason"])
        status = action.values.get("status", 0)
        ordinary = (
            action.event in ORDINARY_EVENTS
            and status < MIN_SERVER_ERROR_STATUS
        )
        self.decisions.add(action.event, action.values, ordinary)

    # Stream events.

    def stream_opened(self, stream: streams.Stream) -> None:
        """Send this node's state to a newly connected node."""
        peer = stream.peer
        if peer is None:
            return
        now = self.clock.monotonic()
        for other in self.streams.by_host[peer.host_id]:
            if other is not stream:
                # The peer may have lost it, as it has opened another one.
                self.links.probe(other, now)
        self.entry.peer_connected(peer.host_id)
        stream.send(self.execution.state())
        for end in self.view.ends.on_host(peer.host_id):
            message = messages.TargetEnd(end.target_id, end.started_at_ms)
            stream.send(message)
        for crash in self.execution.suspects.known_crashes():
            stream.send(crash)
        self.synchronizer.peer_connected(peer)
        logs.info("peer_connected", peer=peer.host_id)

    def stream_closed(self, stream: streams.Stream, reason: str) -> None:
        """Settle the calls that a lost stream carried, in both directions."""
        if stream.peer is None:
            return
        host_id = stream.peer.host_id
        keys = streams.take_calls(self.reply_streams, stream)
        if self.streams.find(host_id) is None:
            self._check_connected(host_id, reason)
            return
        logs.info("stream_lost", peer=host_id, reason=reason)
        now = self.clock.monotonic()
        # What is retried must know first whether the host responds.
        self._update_silence(host_id, now)
        self.perform(self.entry.stream_lost(stream.id, now))
        # Replies to calls on the closed stream never leave on another.
        self.perform(self.execution.calls_lost(keys, now))

    def connect_failed(self, host_id: str, reason: str) -> None:
        """Handle that no stream to a host can be opened now."""
        self._check_connected(host_id, reason)

    def message_carried(self, stream: streams.Stream, message: Any) -> None:
        """Do nothing: the calls of a sidecar are no timed messages."""

    def message_unsent(self, host_id: str, message: Any, reason: str) -> None:
        """Settle a call that no stream will carry."""
        if not isinstance(message, messages.Forward):
            return
        # A retry must not go to the same host.
        self._check_connected(host_id, reason)
        now = self.clock.monotonic()
        self.perform(self.entry.call_lost(message.call_id, now))

    def _check_connected(self, host_id: str, reason: str) -> None:
        """Stop the use of a host that has no stream left."""
        if self.streams.find(host_id) is not None:
            return
        now = self.clock.monotonic()
        was_connected = host_id in self.entry.placement.connected
        self.perform(self.entry.peer_lost(host_id, now))
        self.perform(self.execution.peer_lost(host_id, now))
        self.synchronizer.peer_lost(host_id)
        if was_connected:
            logs.info("peer_lost", peer=host_id, reason=reason)

    def message_received(
        self, stream: streams.Stream, received: codec.DecodedMessage
    ) -> None:
        """Dispatch a message to the component that handles it."""
        message: Any = received.message
        peer = stream.peer
        if peer is None:
            raise exceptions.InvariantError(
                "message received before the handshake"
            )
        now = self.clock.monotonic()
        host_id = peer.host_id
        message_type = type(message)
        if message_type is base_messages.Reply:
            self.perform(self.entry.reply(host_id, message, now))
        elif message_type is messages.Forward:
            self._call_received(stream, host_id, message, now)
        elif message_type is base_messages.Cancel:
            self.perform(self.execution.cancel(host_id, message.call_id, now))
        elif message_type is messages.TargetState:
            self.perform(self.entry.target_state(host_id, message, now))
        elif message_type is messages.TargetEnd:
            self.perform(self.execution.end_reported(message, now))
        elif message_type is messages.ViewNotice:
            self.synchronizer.notice_received(host_id, message)
        elif message_type is messages.ViewRequest:
            reply = self.synchronizer.make_view_reply(message)
            if reply is not None:
                stream.send(reply)
        elif message_type is messages.ViewReply:
            error = self.synchronizer.reply_received(host_id, message)
            if error is not None:
                self.message_refused(host_id, error)
        elif message_type is messages.Crashed:
            self.execution.suspects.record_crash(message, now)
        elif message_type is messages.Released:
            self.execution.suspects.record_release(message)
        elif message_type is messages.QuotaRequest:
            owner = self.entry.quotas.owner
            stream.send(owner.request(host_id, message, now))
        elif message_type is messages.QuotaGrant:
            self.perform(self.entry.quota_granted(host_id, message, now))
        self.synchronizer.version_seen(host_id, received.version)

    def _call_received(
        self,
        stream: streams.Stream,
        host_id: str,
        message: messages.Forward,
        now: float,
    ) -> None:
        key = (host_id, message.call_id)
        if not self.execution.knows(key):
            if not self.call_memory.accept(key, message):
                self.metrics.count("refusals", reason=reasons.MEMORY)
                stream.send(call_memory.refuse(message))
                return
            self.reply_streams[key] = stream
        message.remaining = entry.bounded_remaining(message)
        self.perform(self.execution.call(host_id, message, now))

    def message_refused(
        self, address: str, error: exceptions.DecodeError
    ) -> None:
        """Count and log input that the codec rejected."""
        self.metrics.count(f"refused_{error.kind}")
        logs.warning(
            "message_refused",
            address=address,
            kind=error.kind,
            message=error.message,
        )

    # Clients and operators.

    def version(self) -> int:
        """Return the active configuration version."""
        return self.view.version

    def next_number(self) -> int:
        """Return a request number that is unique within this process."""
        self.last_number += 1
        return self.last_number

    def submit(
        self, request: events.Request, client: interfaces.Client
    ) -> None:
        """Run a request; its response is delivered to the client."""
        self.clients[request.number] = client
        self.run_request(
            functools.partial(self._fail_request, request.number),
            self._enter,
            request,
        )

    def _enter(self, request: events.Request) -> None:
        self.perform(
            self.entry.request(
                request,
                self.clock.monotonic(),
                len(self.execution.runs),
                self.execution.running_retries,
            )
        )

    def _fail_request(self, number: int) -> None:
        """Answer a request that a defect has ended: it may have run."""
        if number not in self.clients:
            return
        response = events.Response(502, [], b"", reasons.DEFECT)
        self.perform([events.Respond(number, response)])
        self.attempt(functools.partial(self._cancel_call, number))

    def drop_client(self, number: int) -> None:
        """Close the connection of a client without an answer."""
        client = self.clients.pop(number, None)
        if client is not None:
            client.hold.release()
            client.disconnect()

    def client_disconnected(self, number: int) -> None:
        """Cancel the request of a client that has disconnected."""
        client = self.clients.pop(number, None)
        if client is not None:
            # A call that this leaves open ends at its deadline.
            self.run_request(
                client.hold.release, self._leave_call, number, client.hold
            )

    def _leave_call(self, number: int, hold: memory_budget.Hold) -> None:
        """Cancel the call of a client that has left and release its body."""
        pending = self.entry.calls.by_number.get(number)
        self._cancel_call(number)
        key = (pending.host_id, pending.call_id) if pending else None
        if key is not None and key in self.execution.accepted:
            # The local target still reads the body.
            self.call_memory.adopt(key, hold)
        else:
            hold.release()

    def _cancel_call(self, number: int) -> None:
        now = self.clock.monotonic()
        self.perform(self.entry.client_disconnected(number, now))

    def may_repeat(self, request: events.Request) -> bool:
        """Return whether a request may run more than once."""
        return self.entry.may_repeat(request)

    def status(self) -> dict[str, Any]:
        """Return the node's view and load for operators."""
        return {
            "version": self.view.version,
            "routing_version": self.entry.routing_version,
            "revision": self.view.revision,
            "operator_revision": self.view.operator_position.revision,
            "proof_age_seconds": self.synchronizer.proof_ages(),
            "account_lease": self.account_lease.held,
            "owned_quotas": self.entry.quotas.owner.owned,
            "targets": len(self.view.targets),
            "evacuated": sorted(self.view.evacuated),
            "connected": sorted(self.streams.by_host),
            "failing": sorted(self.synchronizer.failing_topics),
            "instance": self.execution.instance,
            "load": self.execution.admission.load(),
            "pace": self.execution.pace_status(self.clock.monotonic()),
        }

    def explain(self, question: explanation.Question) -> dict[str, Any]:
        """Return where a request would go now and why."""
        now = self.clock.monotonic()
        return explanation.Explanation(self.entry, question, now).document()

    def render_metrics(self) -> bytes:
        """Return counters, gauges and durations as Prometheus text."""
        self.connections.set_gauges()
        self.metrics.set("log_lines_dropped", self.reports.dropped_lines())
        return self.telemetry.render(
            self.entry,
            self.execution,
            self.synchronizer,
            self.backlog,
            self.memory,
            self.clock.monotonic(),
        )


def _do_nothing() -> None:
    """Leave a failed task as it is."""


def run(
    settings: mesh_settings.Settings,
    source: interfaces.Source,
    dialect: interfaces.Dialect,
    watched_file: settings_file.SettingsFile | None = None,
) -> int:
    """Run a sidecar until SIGTERM or SIGINT; return the exit code."""
    clock = utils.SystemClock()
    node = Node(
        settings, source, dialect, clock, random.Random(), watched_file
    )
    code = process.run(node)
    node.decisions.flush(sys.stdout, logs.MAX_BUFFERED_DECISIONS)
    return code
