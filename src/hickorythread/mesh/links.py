"""Keep streams to the nodes that are needed, and notice silent ones."""

from hickorythread import messages as base_messages
from hickorythread import streams

# Either side may open a stream; one waits a little for the other.
SECOND_OPENER_SECONDS = 0.6
SILENT_SECONDS = 0.6
BROKEN_SECONDS = 3.0


class Links:
    """Decide when to open, to probe and to give up a stream."""

    def __init__(
        self,
        host_id: str,
        port: int,
        manager: streams.Streams,
    ) -> None:
        self.host_id = host_id
        self.port = port
        self.manager = manager
        self.wanted: set[str] = set()
        self.missing_since: dict[str, float] = {}
        self.probed_at: dict[str, float] = {}
        self.silent: set[str] = set()

    def want(self, host_ids: set[str]) -> None:
        """Replace the hosts to which streams are kept."""
        self.wanted = host_ids - {self.host_id}
        addresses = self.manager.addresses
        for host_id in addresses.keys() - self.wanted:
            del addresses[host_id]
        for host_id in self.wanted:
            addresses[host_id] = f"{host_id}:{self.port}"
        for host_id in self.missing_since.keys() - self.wanted:
            del self.missing_since[host_id]

    def to_open(self, now: float) -> list[str]:
        """Return the hosts to which a stream should be opened now."""
        found = []
        for host_id in self.wanted:
            if self.manager.find(host_id) is not None:
                self.missing_since.pop(host_id, None)
                continue
            since = self.missing_since.setdefault(host_id, now)
            first = self.host_id < host_id
            if first or now - since >= SECOND_OPENER_SECONDS:
                found.append(host_id)
        return found

    def check(
        self, oldest: dict[str, float], now: float
    ) -> list[tuple[str, bool]]:
        """Probe hosts that owe an answer; return those that changed.

        oldest maps hosts to the time at which the oldest call without an
        answer was sent. True means that a host has become silent.
        """
        changed: list[tuple[str, bool]] = []
        for host_id in list(self.silent):
            stream = self.manager.find(host_id)
            heard = stream is not None and (
                stream.heard_at > self.probed_at[host_id]
            )
            if stream is None or heard:
                self.silent.discard(host_id)
                self.probed_at.pop(host_id, None)
                changed.append((host_id, False))
            elif now - self.probed_at[host_id] > BROKEN_SECONDS:
                stream.close("no answer")
        for host_id, sent_at in oldest.items():
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
            if now - quiet_since >= SILENT_SECONDS:
                self.probed_at[host_id] = now
                stream.send(base_messages.ClockProbe(now))
            return False
        return now - probed_at >= SILENT_SECONDS
