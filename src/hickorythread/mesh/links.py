"""Opens streams to peers and detects peers that stop responding."""

from hickorythread import messages as base_messages
from hickorythread import streams

# Either host may open a stream. The host with the higher id waits this long
# for the other one, so that the two rarely open one each.
OPEN_DELAY_SECONDS = 0.6
SILENCE_TIMEOUT_SECONDS = 0.6
CLOSE_TIMEOUT_SECONDS = 3.0


class PeerLinks:
    """Decide when to open, probe and close the streams to peers."""

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
        self.probed_at: dict[str, float] = {}
        self.silent: set[str] = set()

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

    def check_liveness(
        self, oldest_calls: dict[str, float], now: float
    ) -> list[tuple[str, bool]]:
        """Probe hosts with overdue responses; return those that changed.

        oldest_calls maps each host to the send time of its oldest call
        without a response. The result pairs a host with True if it has
        become silent, and with False if it is not silent any more. The stream
        to a silent host is kept as long as it has open calls: the host may
        still be at work on them and respond.
        """
        changed: list[tuple[str, bool]] = []
        for host_id in list(self.silent):
            stream = self.manager.find(host_id)
            has_response = stream is not None and (
                stream.heard_at > self.probed_at[host_id]
            )
            if stream is None or has_response:
                self.silent.discard(host_id)
                self.probed_at.pop(host_id, None)
                changed.append((host_id, False))
            elif (
                host_id not in oldest_calls
                and now - self.probed_at[host_id] > CLOSE_TIMEOUT_SECONDS
            ):
                stream.close("no response")
        for host_id, sent_at in oldest_calls.items():
            if host_id not in self.silent:
                if self._is_silent(host_id, sent_at, now):
                    self.silent.add(host_id)
                    changed.append((host_id, True))
        return changed

    def _is_silent(self, host_id: str, sent_at: float, now: float) -> bool:
        stream = self.manager.find(host_id)
        if stream is None:
            return False
        probed_at = self.probed_at.get(host_id, 0.0)
        if stream.heard_at >= probed_at:
            quiet_since = max(stream.heard_at, sent_at)
            if now - quiet_since >= SILENCE_TIMEOUT_SECONDS:
                self.probed_at[host_id] = now
                stream.send(base_messages.ClockProbe(now))
            return False
        return now - probed_at >= SILENCE_TIMEOUT_SECONDS
