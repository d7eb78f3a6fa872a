"""Decides when to probe the target on this host."""

INTERVAL_SECONDS = 0.25
TIMEOUT_SECONDS = 1.0
# A target that has announced its end gets no requests, so that only a probe
# shows whether another process has taken its place.
ENDING_INTERVAL_SECONDS = 2.0
# Part of the requests a second that a cold target tolerates, which may start
# between two probes of a target whose registration is out of date.
STARTS_SHARE = 0.25


class ProbeSchedule:
    """Hold whether a probe is running and when the last one was sent.

    target_started_at_ms is the start of the process to which it was sent, 0
    if that was not known. in_use is True if that process ran requests
    meanwhile, and starts counts those that have started since.
    """

    __slots__ = (
        "running",
        "sent_at",
        "target_started_at_ms",
        "in_use",
        "starts",
    )

    def __init__(self) -> None:
        self.running = False
        self.sent_at = -INTERVAL_SECONDS
        self.target_started_at_ms = 0
        self.in_use = False
        self.starts = 0

    def start(
        self, now: float, target_started_at_ms: int, in_use: bool = False
    ) -> None:
        """Record that a probe was sent."""
        self.running = True
        self.sent_at = now
        self.target_started_at_ms = target_started_at_ms
        self.in_use = in_use
        self.starts = 0

    def hasten(self, now: float) -> None:
        """Let the next probe be due at once, unless one is running."""
        if not self.running:
            self.sent_at = now - ENDING_INTERVAL_SECONDS

    def is_due(self, paused: bool, ending: bool, now: float) -> bool:
        """Return whether to probe a target that is paused or about to end.

        A probe without a result is repeated after its timeout.
        """
        if self.running:
            interval = TIMEOUT_SECONDS
        elif paused:
            interval = INTERVAL_SECONDS
        elif ending:
            interval = ENDING_INTERVAL_SECONDS
        else:
            return False
        return now - self.sent_at >= interval

    def is_due_in_use(self, max_starts: float) -> bool:
        """Return whether to probe a target that runs requests.

        max_starts is the number of requests a second that a cold target
        tolerates. The target may have become cold with any of those that have
        started since the last probe.
        """
        return not self.running and self.starts >= STARTS_SHARE * max_starts
