"""What the target on this host last said about itself in its responses."""

from hickorythread.mesh import events

# What said it: the response to a request, or that to a health probe.
RESPONSE = "response"
PROBE = "probe"


class TargetNotices:
    """Follow the rate limit and the announced end of one target process.

    rate_limit is the number of requests per second that the target accepts,
    None if it names none. It holds until a response names another one or
    none; a probe without one says nothing of it. ending is True once the
    target has said that it is about to end; a process does not take that
    back. starts counts the requests that started since the limit last
    changed, and unreadable holds the lines of the last response that could
    not be read.
    """

    __slots__ = ("rate_limit", "ending", "starts", "unreadable")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget everything, because another process has started."""
        self.rate_limit: float | None = None
        self.ending = False
        self.starts = 0
        self.unreadable: tuple[str, ...] = ()

    def record(
        self, response: events.TargetResponse, instance: str, source: str
    ) -> list[events.Record]:
        """Store what a response says; return the lines that log changes."""
        logs: list[events.Record] = []
        if response.unreadable != self.unreadable:
            self.unreadable = response.unreadable
            logs += [
                events.Log(
                    "target_header_ignored", instance=instance, line=line
                )
                for line in response.unreadable
            ]
        limit = response.rate_limit
        says_limit = limit is not None or source == RESPONSE
        if response.unreadable:
            says_limit = False
        if says_limit and limit != self.rate_limit:
            logs.append(
                events.Log(
                    "target_rate_limit",
                    instance=instance,
                    rate=limit,
                    previous=self.rate_limit,
                    starts=self.starts,
                    source=source,
                )
            )
            self.rate_limit = limit
            self.starts = 0
        if response.leaving and not self.ending:
            self.ending = True
            logs.append(
                events.Log("target_ending", instance=instance, source=source)
            )
        return logs
