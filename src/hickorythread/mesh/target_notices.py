"""What the target on this host last said about itself in its responses."""

import math

from hickorythread.mesh import events

# What said it: the response to a request, or that to a health probe.
RESPONSE = "response"
PROBE = "probe"


class TargetNotices:
    """Follow the rate limit and the announced end of one target process.

    rate_limit is the number of requests per second that the target accepts,
    None if it names none, and named_at the time at which it was last named.
    It holds until a response names another one, or none to a request that
    was sent later; a probe without one says nothing of it. ending is True
    once the target has said that it is about to end; a process does not take
    that back. successor_since is the time since which the target's id is
    registered by what may be another process, None if it is not. starts
    counts the requests that started since the limit last changed, and
    unreadable holds the lines of the last response that could not be read.
    load_unreadable is True while the target reports its load in a form that
    cannot be read. The lines differ each time, so that only the first of
    them is logged.
    """

    __slots__ = (
        "rate_limit",
        "named_at",
        "ending",
        "successor_since",
        "starts",
        "unreadable",
        "load_unreadable",
    )

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget everything, because another process has started."""
        self.rate_limit: float | None = None
        self.named_at = -math.inf
        self.ending = False
        self.successor_since: float | None = None
        self.starts = 0
        self.unreadable: tuple[str, ...] = ()
        self.load_unreadable = False

    def successor_registered(self, now: float) -> bool:
        """Record that the id may belong to another process; return if new."""
        if not self.ending or self.successor_since is not None:
            return False
        self.successor_since = now
        return True

    def record_healthy(
        self, asked_at: float, instance: str
    ) -> list[events.Record]:
        """End the announced end if another process must have answered.

        A healthy response alone does not show that: it may be false, or older
        than the announcement.
        """
        since = self.successor_since
        if not self.ending or since is None or asked_at < since:
            return []
        self.ending = False
        self.successor_since = None
        return [events.Log("target_succeeded", instance=instance)]

    def record(
        self,
        response: events.TargetResponse,
        instance: str,
        source: str,
        asked_at: float,
        now: float,
    ) -> list[events.Record]:
        """Store what a response says; return the lines that log changes.

        asked_at is the time at which the request of the response was sent.
        """
        logs = self._record_unreadable(response, instance)
        logs += self._record_unreadable_load(response, instance)
        if self._says_limit(response, source, asked_at):
            logs += self._record_limit(response.rate_limit, instance, source)
        if response.rate_limit is not None:
            self.named_at = now
        if response.leaving:
            self.successor_since = None
        if response.leaving and not self.ending:
            self.ending = True
            logs.append(
                events.Log("target_ending", instance=instance, source=source)
            )
        return logs

    def _record_unreadable(
        self, response: events.TargetResponse, instance: str
    ) -> list[events.Record]:
        if response.unreadable == self.unreadable:
            return []
        self.unreadable = response.unreadable
        return [
            events.Log("target_header_ignored", instance=instance, line=line)
            for line in response.unreadable
        ]

    def _record_unreadable_load(
        self, response: events.TargetResponse, instance: str
    ) -> list[events.Record]:
        lines = response.unreadable_load
        is_new = bool(lines) and not self.load_unreadable
        self.load_unreadable = bool(lines)
        if not is_new:
            return []
        return [
            events.Log("target_header_ignored", instance=instance, line=line)
            for line in lines
        ]

    def _says_limit(
        self, response: events.TargetResponse, source: str, asked_at: float
    ) -> bool:
        """Return whether a response tells if there is a limit, and which.

        One that names none may have been overtaken by one that does, unless
        its request was sent after the limit had been named.
        """
        if response.rate_limit is not None:
            return True
        if response.unreadable or source != RESPONSE:
            return False
        return asked_at >= self.named_at

    def _record_limit(
        self, limit: float | None, instance: str, source: str
    ) -> list[events.Record]:
        if limit == self.rate_limit:
            return []
        log = events.Log(
            "target_rate_limit",
            instance=instance,
            rate=limit,
            previous=self.rate_limit,
            starts=self.starts,
            source=source,
        )
        self.rate_limit = limit
        self.starts = 0
        return [log]
