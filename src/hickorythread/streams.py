"""Message streams between nodes over TCP."""

import collections
from collections.abc import Callable
import copy
import functools
import socket
from typing import Any
from typing import Protocol

import eventlet

from hickorythread import codec
from hickorythread import connection_reader
from hickorythread import deadlines
from hickorythread import descriptors
from hickorythread import events
from hickorythread import exceptions
from hickorythread import http_listener
from hickorythread import interfaces
from hickorythread import memory_budget
from hickorythread import messages
from hickorythread import readers
from hickorythread import token_bucket
from hickorythread import turns
from hickorythread import utils

READ_BYTES = 64 * 1024
MAX_SEND_QUEUE_BYTES = 8 * 1024 * 1024
MAX_PENDING_MESSAGES = 512
# What a peer may send before its first message, a Hello, is complete.
MAX_HELLO_BYTES = 16 * 1024
HANDSHAKE_TIMEOUT_SECONDS = 5.0
# A peer that never completes a message must not count as responsive.
MAX_MESSAGE_SECONDS = 10.0
CONNECT_TIMEOUT_SECONDS = 2.0
ACCEPTS_PER_SECOND = 50.0
MAX_ACCEPTED_STREAMS = 1024
RECONNECT_FIRST_SECONDS = 0.1
RECONNECT_MAX_SECONDS = 5.0
CLOCK_PROBE_SECONDS = 10.0
NOT_CONNECTED = "not connected"
NO_DELAY: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
]


# The id of a host and that of one of its calls.
CallKey = tuple[str, int]


class Handler(Protocol):
    """Receive the events of the streams of one node."""

    def run_plane(
        self, name: str, task: Callable[..., Any], *arguments: Any
    ) -> None:
        """Run a task; start it again after a failure."""

    def run_request(
        self,
        settle: Callable[[], None],
        task: Callable[..., Any],
        *arguments: Any,
    ) -> None:
        """Run a task that concerns one stream; settle() ends a failed one."""

    def stream_opened(self, stream: "Stream") -> None:
        """Handle a completed handshake."""

    def stream_closed(self, stream: "Stream", reason: str) -> None:
        """Handle a closed stream; others to its host may be open."""

    def connect_failed(self, host_id: str, reason: str) -> None:
        """Handle that no stream can be opened now; others may be open."""

    def message_carried(self, stream: "Stream", message: Any) -> None:
        """Note which stream a timed message leaves on."""

    def message_unsent(self, host_id: str, message: Any, reason: str) -> None:
        """Handle a message that no stream has carried or will carry."""

    def message_received(
        self, stream: "Stream", received: codec.DecodedMessage
    ) -> None:
        """Handle a message of a peer that completed the handshake."""

    def message_refused(
        self, address: str, error: exceptions.DecodeError
    ) -> None:
        """Handle input that the codec could not decode."""


class Stream:
    """Hold one connected socket and the clock offset of its peer."""

    __slots__ = (
        "manager",
        "id",
        "sock",
        "address",
        "expected_host_id",
        "peer",
        "decoder",
        "send_queue",
        "send_queue_bytes",
        "queued",
        "received",
        "writer",
        "closed",
        "clock_offset",
        "awaiting_offset",
        "heard_at",
        "incomplete_since",
        "turn",
        "silent",
    )

    def __init__(
        self,
        manager: "StreamManager",
        sock: Any,
        address: str,
        expected_host_id: str = "",
    ) -> None:
        self.manager = manager
        # Unique among the streams of this process, and never 0.
        self.id = manager.next_stream_id()
        self.sock = sock
        self.address = address
        self.expected_host_id = expected_host_id
        self.peer: events.Peer | None = None
        self.decoder = codec.Decoder()
        self.send_queue: collections.deque[bytes] = collections.deque()
        self.send_queue_bytes = 0
        # Count the memory of the send queue and of an incomplete message.
        self.queued = manager.memory.hold()
        self.received = manager.memory.hold()
        self.writer: Any = None
        self.closed = False
        self.clock_offset = deadlines.ClockOffset()
        self.awaiting_offset: list[tuple[Any, float]] = []
        self.heard_at = manager.clock.monotonic()
        self.incomplete_since: float | None = None
        self.turn = turns.Turn()
        # Whether the peer is overdue with a response on this stream.
        self.silent = False

    def send(self, message: messages.Message) -> bool:
        """Queue a message; returns False once the stream is closed."""
        if self.closed:
            return False
        try:
            self.write(codec.encode(message, self.manager.version()))
        except MemoryError:
            # The peer learns from the closed stream that this one is lost.
            self.close("no memory for a message")
        return not self.closed

    def send_timed(self, message: Any, local_time: float) -> bool:
        """Send a call or beacon with its time converted to the peer's clock.

        The message is queued until the first clock reply, because the offset
        is not known before. Returns False if the stream is closed or the
        queue is full.
        """
        if self.closed:
            return False
        if not self.clock_offset.known:
            if len(self.awaiting_offset) >= MAX_PENDING_MESSAGES:
                return False
            self.awaiting_offset.append((message, local_time))
            return True
        if isinstance(message, messages.Call):
            message.deadline = self.clock_offset.to_peer(local_time)
        elif isinstance(message, messages.Beacon):
            message = copy.copy(message)
            message.issued_at = self.clock_offset.to_peer(local_time)
        return self.send(message)

    def write(self, data: bytes) -> None:
        """Send what the socket accepts without blocking; queue the rest."""
        if not self.send_queue:
            data = data[self._send_now(data) :]
            if not data:
                return
        if not self.queued.grow(len(data), memory_budget.IN_HAND):
            self.close("no memory for the send queue")
            return
        self.send_queue.append(data)
        self.send_queue_bytes += len(data)
        if self.send_queue_bytes > MAX_SEND_QUEUE_BYTES:
            self.close("send queue full")
        elif self.writer is None:
            self.writer = self.manager.spawn(self.fail, self._drain)

    def _send_now(self, data: bytes) -> int:
        try:
            return int(self.sock.fd.send(data))
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            self.close(f"write failed: {error.strerror}")
            return len(data)

    def _drain(self) -> None:
        self.queued.wait_for_peer(
            self._end_slow, memory_budget.SLOW_READER_SECONDS
        )
        try:
            while self.send_queue:
                data = self.send_queue[0]
                self._send_all(data)
                if not self.closed:
                    self.send_queue.popleft()
                    self.send_queue_bytes -= len(data)
                    self.queued.shrink(len(data))
        except OSError as error:
            self.close(f"write failed: {error.strerror}")
        finally:
            self.queued.end_wait()
            self.writer = None

    def fail(self) -> None:
        """Close the stream, since a task of it has failed."""
        self.close("task failed")

    def _send_all(self, data: bytes) -> None:
        """Send without copies of the rest, as sendall() makes them."""
        rest = memoryview(data)
        while rest:
            sent = self.sock.send(rest)
            self.queued.progress(sent)
            rest = rest[sent:]

    def _end_slow(self) -> None:
        self.close("peer does not read and memory is short")

    def read(self) -> None:
        """Read until the stream closes."""
        reason = "closed by peer"
        try:
            while not self.closed:
                self.turn.spend(turns.RECEIVE_UNITS)
                data = connection_reader.receive(
                    self.sock, READ_BYTES, turn=self.turn
                )
                if not data:
                    break
                self.heard_at = self.manager.clock.monotonic()
                results = self.decoder.feed(data)
                for result in results:
                    self.manager.handle_decoded(self, result)
                    # Replies may fail and close the stream meanwhile.
                    self.turn.spend(turns.MESSAGE_UNITS)
                    if self.closed:
                        break
                if self.closed:
                    break
                if not self._count_received():
                    reason = "no memory for a message"
                    break
                if self._hello_too_large():
                    reason = "handshake is too large"
                    error = exceptions.DecodeError("oversized", reason, True)
                    self.manager.handler.message_refused(self.address, error)
                    break
                if self._message_overdue(bool(results)):
                    reason = "message takes too long"
                    break
        except EOFError:
            # A green socket raises EOFError if another task closes it during
            # recv(). The exception must not reach the hub.
            reason = "closed"
        except OSError as error:
            reason = f"read failed: {error.strerror}"
        except MemoryError:
            reason = "no memory for a message"
        self.close(reason)

    def _count_received(self) -> bool:
        """Count the bytes of an incomplete message; False without room."""
        change = self.decoder.incomplete_bytes - self.received.size
        if change > 0:
            return self.received.grow(change, memory_budget.IN_HAND)
        self.received.shrink(-change)
        return True

    def _hello_too_large(self) -> bool:
        """Return whether an unknown peer fills the buffer."""
        if self.peer is not None:
            return False
        return self.decoder.incomplete_bytes > MAX_HELLO_BYTES

    def _message_overdue(self, progressed: bool) -> bool:
        """Return whether the end of a message is missing for too long.

        progressed tells whether the last bytes completed a message.
        """
        if not self.decoder.incomplete:
            self.incomplete_since = None
            return False
        if progressed or self.incomplete_since is None:
            self.incomplete_since = self.heard_at
        return self.heard_at - self.incomplete_since > MAX_MESSAGE_SECONDS

    def close(self, reason: str) -> None:
        """Close the socket; the manager is notified once."""
        if self.closed:
            return
        self.closed = True
        self.send_queue.clear()
        self.queued.release()
        self.received.release()
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
        self.manager.handle_closed(self, reason)


def take_calls(
    carriers: dict[CallKey, Stream], stream: Stream
) -> list[CallKey]:
    """Remove and return the calls that came on a stream."""
    keys = [key for key, carrier in carriers.items() if carrier is stream]
    for key in keys:
        del carriers[key]
    return keys


class StreamManager:
    """Manage the streams of one node; opens at most one to each host.

    The peer may have opened one too. What a stream carries ends with that
    stream; a host is lost with the last of its streams.
    """

    def __init__(
        self,
        hello: messages.Hello,
        handler: Handler,
        version: Callable[[], int],
        clock: interfaces.Clock,
        random_source: interfaces.RandomSource,
    ) -> None:
        self.hello = hello
        self.handler = handler
        self.version = version
        self.clock = clock
        self.random_source = random_source
        self.addresses: dict[str, str] = {}
        # The open streams whose handshake is complete, the newest last.
        self.by_host: dict[str, list[Stream]] = {}
        self.by_id: dict[int, Stream] = {}
        self.last_stream_id = 0
        # The hosts to which a stream is being opened, and the messages that
        # wait for it.
        self.connecting: set[str] = set()
        self.pending: dict[str, list[tuple[Any, float | None]]] = {}
        self.backoffs: dict[str, readers.Backoff] = {}
        self.retry_at: dict[str, float] = {}
        self.memory = memory_budget.MemoryBudget.unlimited()
        self.accept_limiter = token_bucket.TokenBucket(
            ACCEPTS_PER_SECOND, ACCEPTS_PER_SECOND, clock.monotonic()
        )
        self.admission: http_listener.Admission = http_listener.FixedAdmission(
            MAX_ACCEPTED_STREAMS
        )
        # Called when a stream cannot be opened for want of a descriptor.
        self.on_shortage: Callable[[], None] = lambda: None
        # The open streams by the side that opened them, the oldest first.
        self.accepted: dict[Stream, None] = {}
        self.opened: dict[Stream, None] = {}
        self.listener: Any = None
        self.tasks: list[Any] = []
        self.bytes_sent = collections.Counter[str]()
        self.reconnect_max = RECONNECT_MAX_SECONDS
        self.socket_options = NO_DELAY
        # Whether messages carry times that have to be converted between the
        # clocks of two nodes.
        self.measures_clocks = True
        self.stopping = False

    def next_stream_id(self) -> int:
        """Return the id of a new stream."""
        self.last_stream_id += 1
        return self.last_stream_id

    def listen(self, address: str) -> None:
        """Bind the listening socket and start accepting.

        Raises OSError if the address cannot be bound.
        """
        self.serve(
            eventlet.listen(utils.split_address(address), reuse_port=False)
        )

    def serve(self, listener: Any) -> None:
        """Start accepting on a listening socket."""
        self.listener = listener
        self.tasks.append(
            eventlet.spawn(self.handler.run_plane, "streams", self._accept)
        )
        if self.measures_clocks:
            self.tasks.append(
                eventlet.spawn(
                    self.handler.run_plane, "clocks", self._probe_clocks
                )
            )

    def spawn(
        self,
        settle: Callable[[], None],
        task: Callable[..., Any],
        *arguments: Any,
    ) -> Any:
        """Start a task of one stream; settle() ends one that failed."""
        return eventlet.spawn(
            self.handler.run_request, settle, task, *arguments
        )

    def _spawn_connect(self, host_id: str, address: str) -> None:
        if host_id:
            self.connecting.add(host_id)
        settle = functools.partial(self._connect_task_failed, host_id)
        self.spawn(settle, self._connect, host_id, address)

    def _connect_task_failed(self, host_id: str) -> None:
        if host_id:
            self._connect_failed(host_id, "task failed")

    def stop(self) -> None:
        """Close the listener and all streams."""
        self.stopping = True
        for task in self.tasks:
            task.kill()
        if self.listener is not None:
            self.listener.close()
        for streams in list(self.by_host.values()):
            for stream in list(streams):
                stream.close("node is stopping")

    @property
    def all_sent(self) -> bool:
        """Return whether every message has been handed to its socket."""
        return not any(
            stream.send_queue
            for streams in self.by_host.values()
            for stream in streams
        )

    def find(self, host_id: str) -> Stream | None:
        """Return the stream to use to the host, None if none is open.

        A host opens another stream only when it has none, so that its newest
        one works although an older one may still seem to be open.
        """
        streams = self.by_host.get(host_id)
        if not streams:
            return None
        for stream in reversed(streams):
            if not stream.silent:
                return stream
        return streams[-1]

    def send(self, host_id: str, message: messages.Message) -> None:
        """Send a message, opening a stream if there is none."""
        if isinstance(message, messages.Beacon):
            self.send_timed(host_id, message, message.issued_at)
            return
        stream = self.find(host_id)
        if stream is not None:
            stream.send(message)
        else:
            self._queue_until_open(host_id, message, None)

    def send_timed(
        self, host_id: str, message: Any, local_time: float
    ) -> None:
        """Send a call or beacon whose time is in this node's clock."""
        stream = self.find(host_id)
        if stream is None:
            self._queue_until_open(host_id, message, local_time)
        else:
            self._carry_timed(stream, host_id, message, local_time)

    def _carry_timed(
        self, stream: Stream, host_id: str, message: Any, local_time: float
    ) -> None:
        """Send a timed message; it ends with the stream that carries it."""
        self.handler.message_carried(stream, message)
        if not stream.send_timed(message, local_time):
            self.handler.message_unsent(
                host_id, message, "stream is closed or its queue is full"
            )

    def open(self, address: str) -> None:
        """Open a stream to an address whose host is not known yet."""
        for streams in self.by_host.values():
            if any(stream.address == address for stream in streams):
                return
        self._spawn_connect("", address)

    def close(self, host_id: str, reason: str) -> None:
        """Close all streams to a host."""
        for stream in list(self.by_host.get(host_id, ())):
            stream.close(reason)

    def handle_decoded(
        self, stream: Stream, result: codec.DecodeResult
    ) -> None:
        """Dispatch one decoded message, or report a decoding error."""
        if result.is_error():
            self.handler.message_refused(stream.address, result.error)
            if result.error.fatal:
                stream.close("framing error")
            elif stream.peer is None:
                stream.close("no message of a peer")
            return
        received = result.ok
        message = received.message
        if stream.peer is None:
            self._complete_handshake(stream, message)
        elif isinstance(message, messages.ClockProbe):
            now = self.clock.monotonic()
            stream.send(messages.ClockReply(message.sent_at, now))
        elif isinstance(message, messages.ClockReply):
            self._update_clock_offset(stream, message)
        else:
            self._add_transit_time(stream, message)
            self.handler.message_received(stream, received)

    def handle_closed(self, stream: Stream, reason: str) -> None:
        """Remove a closed stream and report its host to the handler."""
        self.accepted.pop(stream, None)
        self.opened.pop(stream, None)
        if stream.peer is None:
            if stream.expected_host_id:
                self._connect_failed(stream.expected_host_id, reason)
            return
        host_id = stream.peer.host_id
        self.by_id.pop(stream.id, None)
        streams = self.by_host.get(host_id, [])
        if stream in streams:
            streams.remove(stream)
        if not streams:
            self.by_host.pop(host_id, None)
        # Reported even if other streams to the host are open: replies to the
        # calls in flight on this stream are not sent on another one.
        if not self.stopping:
            self.handler.stream_closed(stream, reason)

    def _queue_until_open(
        self, host_id: str, message: Any, local_time: float | None
    ) -> None:
        if host_id not in self.connecting:
            now = self.clock.monotonic()
            address = self.addresses.get(host_id)
            if address is None or now < self.retry_at.get(host_id, 0.0):
                self.handler.connect_failed(host_id, NOT_CONNECTED)
                self.handler.message_unsent(host_id, message, NOT_CONNECTED)
                return
            self._spawn_connect(host_id, address)
        pending = self.pending.setdefault(host_id, [])
        if len(pending) < MAX_PENDING_MESSAGES:
            pending.append((message, local_time))
        else:
            self.handler.message_unsent(
                host_id, message, "too many pending messages"
            )

    def _connect(self, host_id: str, address: str) -> None:
        try:
            with eventlet.Timeout(
                CONNECT_TIMEOUT_SECONDS, OSError("timed out")
            ):
                sock = eventlet.connect(utils.split_address(address))
        except OSError as error:
            if host_id:
                self._connect_failed(host_id, f"connect failed: {error}")
            if descriptors.is_shortage(error):
                self.on_shortage()
            return
        stream = Stream(self, sock, address, host_id)
        self.opened[stream] = None
        self._start(stream)

    def _connect_failed(self, host_id: str, reason: str) -> None:
        self.connecting.discard(host_id)
        unsent = self.pending.pop(host_id, [])
        backoff = self.backoffs.get(host_id)
        if backoff is None:
            backoff = readers.Backoff(
                self.random_source,
                RECONNECT_FIRST_SECONDS,
                self.reconnect_max,
            )
            self.backoffs[host_id] = backoff
        now = self.clock.monotonic()
        self.retry_at[host_id] = now + backoff.next()
        if self.stopping:
            return
        self.handler.connect_failed(host_id, reason)
        for message, _ in unsent:
            self.handler.message_unsent(host_id, message, reason)

    def _accept(self) -> None:
        while True:
            if not self.accept_limiter.take(self.clock.monotonic()):
                eventlet.sleep(1.0 / ACCEPTS_PER_SECOND)
                continue
            try:
                sock, address = self.listener.accept()
            except OSError as error:
                self.admission.accept_failed(error)
                eventlet.sleep(RECONNECT_FIRST_SECONDS)
                continue
            if not self._make_room():
                http_listener.close(sock)
                continue
            stream = Stream(self, sock, f"{address[0]}:{address[1]}")
            self.accepted[stream] = None
            self._start(stream)

    def _make_room(self) -> bool:
        """Return whether another stream may be accepted.

        At the limit, the stream that has waited longest for its handshake is
        closed.
        """
        if len(self.accepted) < self.admission.limit():
            return True
        for stream in self.accepted:
            if stream.peer is None:
                self.admission.closed_idle()
                stream.close("replaced by a newer connection")
                return True
        self.admission.refused()
        return False

    def _start(self, stream: Stream) -> None:
        try:
            for option in self.socket_options:
                stream.sock.setsockopt(*option)
        except OSError as error:
            stream.close(f"setsockopt failed: {error.strerror}")
            return
        stream.send(self.hello)
        if self.measures_clocks:
            stream.send(messages.ClockProbe(self.clock.monotonic()))
        self.spawn(stream.fail, stream.read)
        # spawn_after_local() would cancel the timer at the end of the task
        # that opened the stream.
        eventlet.spawn_after(
            HANDSHAKE_TIMEOUT_SECONDS,
            self.handler.run_request,
            stream.fail,
            self._check_handshake,
            stream,
        )

    def _check_handshake(self, stream: Stream) -> None:
        if stream.peer is None:
            stream.close("handshake timed out")

    def _complete_handshake(
        self, stream: Stream, message: messages.Message
    ) -> None:
        if not isinstance(message, messages.Hello):
            stream.close("first message is not a Hello")
            return
        if message.host_id == self.hello.host_id:
            stream.close("peer has the host id of this node")
            return
        expected = stream.expected_host_id
        if expected and message.host_id != expected:
            stream.close("address belongs to another host")
            return
        peer = events.Peer(
            message.host_id,
            message.incarnation,
            message.region,
            message.failure_domain,
        )
        host_id = message.host_id
        for other in list(self.by_host.get(host_id, ())):
            other_peer = other.peer
            if (
                other_peer is None
                or other_peer.incarnation == peer.incarnation
            ):
                continue
            if other_peer.incarnation > peer.incarnation:
                stream.close("a newer process of this host is connected")
                return
            # The older process has ended, although its socket may not have
            # reported that yet.
            other.close("a newer process of this host connected")
        stream.peer = peer
        if expected:
            self.connecting.discard(expected)
        self.by_host.setdefault(host_id, []).append(stream)
        self.by_id[stream.id] = stream
        self.backoffs.pop(host_id, None)
        self.retry_at.pop(host_id, None)
        self.handler.stream_opened(stream)
        for queued, local_time in self.pending.pop(host_id, []):
            if local_time is None:
                stream.send(queued)
            else:
                self._carry_timed(stream, host_id, queued, local_time)

    def _update_clock_offset(
        self, stream: Stream, message: messages.ClockReply
    ) -> None:
        now = self.clock.monotonic()
        stream.clock_offset.measured(
            message.echoed_at, message.answered_at, now
        )
        pending, stream.awaiting_offset = stream.awaiting_offset, []
        for queued, local_time in pending:
            stream.send_timed(queued, local_time)

    def _add_transit_time(self, stream: Stream, message: Any) -> None:
        """Add the time in transit and in buffers to the age of a beacon."""
        now = self.clock.monotonic()
        if isinstance(message, messages.Ping) and message.beacon_age >= 0:
            if stream.clock_offset.known:
                sent_at = stream.clock_offset.to_own(message.sent_at)
                message.beacon_age += max(0.0, now - sent_at)
            else:
                message.beacon_age = -1.0
        elif isinstance(message, messages.Pong) and message.beacon_age >= 0:
            message.beacon_age += max(0.0, now - message.echoed_at)

    def _probe_clocks(self) -> None:
        while True:
            eventlet.sleep(CLOCK_PROBE_SECONDS)
            now = self.clock.monotonic()
            for streams in list(self.by_host.values()):
                for stream in list(streams):
                    stream.send(messages.ClockProbe(now))
