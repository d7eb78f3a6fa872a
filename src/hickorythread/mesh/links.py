"""Opens streams to peers and detects streams that stop responding."""

from hickorythread import messages as base_messages
from hickorythread import streams

# Either host may open a stream. The host with the higher id waits this long
# for the other one, so that the two rarely open one each.
OPEN_DELAY_SECONDS = 0.6
SILENCE_TIMEOUT_SECONDS = 0.6
CLOSE_TIMEOUT_SECONDS = 3.0


class PeerLinks:
    """Decide when to open, probe and close the streams to peers.

    Each stream is judged by what is heard on it: a host whose older stream
    has gone silent may respond on its newer one.
    """

    def __init__(
        self,
        host_id: str,
        port: int,
        manager: streams.StreamManager,
    ) -> None:
        self.host_id = host_id
        self.port = port
        self.manager = manager
        self.peers: set[str] = set()
        self.missing_since: dict[str, float] = {}
        # When the peer was asked to respond on a stream, which it has not
        # done since.
        self.probed_at: dict[streams.Stream, float] = {}

    def set_peers(self, host_ids: set[str]) -> None:
        """Replace the set of hosts to which streams are kept open."""
        self.peers = host_ids - {self.host_id}
        addresses = self.manager.addresses
        for host_id in addresses.keys() - self.peers:
            del addresses[host_id]
        for host_id in self.peers:
            addresses[host_id] = f"{host_id}:{self.port}"
        for host_id in self.missing_since.keys() - self.peers:
            del self.missing_since[host_id]

    def hosts_to_open(self, now: float) -> list[str]:
        """Return the hosts to which a stream should be opened now."""
        hosts = []
        for host_id in self.peers:
            if self.manager.find(host_id) is not None:
                self.missing_since.pop(host_id, None)
                continue
            since = self.missing_since.setdefault(host_id, now)
            opens_first = self.host_id < host_id
            if opens_first or now - since >= OPEN_DELAY_SECONDS:
                hosts.append(host_id)
        return hosts

    def probe(self, stream: streams.Stream, now: float) -> None:
        """Ask the peer to respond on a stream."""
        self.probed_at[stream] = now
        stream.send(base_messages.ClockProbe(now))

    def check_liveness(
        self, oldest_calls: dict[int, float], now: float
    ) -> list[tuple[streams.Stream, bool]]:
        """Probe streams with overdue responses; return those that changed.

        oldest_calls maps the id of each stream to the send time of its oldest
        call without a response. The result pairs a stream with True if it has
        become silent, and with False if it is not silent any more. A silent
        stream is kept as long as it has open calls: the host may still be at
        work on them and respond.
        """
        changed: list[tuple[streams.Stream, bool]] = []
        for stream, probed_at in list(self.probed_at.items()):
            if stream.closed or stream.heard_at > probed_at:
                del self.probed_at[stream]
                if stream.silent:
                    stream.silent = False
                    changed.append((stream, False))
            elif not stream.silent:
                is_waiting = stream.id in oldest_calls or not self._is_in_use(
                    stream
                )
                if is_waiting and now - probed_at >= SILENCE_TIMEOUT_SECONDS:
                    stream.silent = True
                    changed.append((stream, True))
            elif (
                stream.id not in oldest_calls
                and now - probed_at > CLOSE_TIMEOUT_SECONDS
            ):
                stream.close("no response")
        for stream_id, sent_at in oldest_calls.items():
            carrier = self.manager.by_id.get(stream_id)
            if carrier is not None and carrier not in self.probed_at:
                quiet_since = max(carrier.heard_at, sent_at)
                if now - quiet_since >= SILENCE_TIMEOUT_SECONDS:
                    self.probe(carrier, now)
        return changed

    def _is_in_use(self, stream: streams.Stream) -> bool:
        """Return whether messages to the host leave on this stream."""
        peer = stream.peer
        return peer is None or self.manager.find(peer.host_id) is stream
