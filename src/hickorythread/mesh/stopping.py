"""Decides which requests of clients a stopping sidecar still accepts."""

# Clients of the host learn of the stop by its readiness. Until then they send
# to it, and it serves them like before.
OPEN_SECONDS = 2.9
# Requests are accepted for this fraction of the grace period at the latest.
ACCEPT_FRACTION = 0.62
# The process ends so long before the end of the grace period, when it would be
# killed.
EXIT_MARGIN_SECONDS = 0.7
# Responses that are made at the end are handed to the kernel in this time.
SEND_SECONDS = 0.25
# A response may arrive and leave so long after the deadline of its request.
RESPONSE_SECONDS = 0.2


class StopPolicy:
    """Hold the times of a stop that has begun, in monotonic seconds.

    No new requests are read after accepts_until, the open ones are answered
    at ends_at, and the process ends at exits_at.
    """

    __slots__ = ("started_at", "accepts_until", "ends_at", "exits_at")

    def __init__(self, grace_seconds: float, now: float) -> None:
        self.started_at = now
        self.accepts_until = now + ACCEPT_FRACTION * grace_seconds
        self.ends_at = now + grace_seconds - EXIT_MARGIN_SECONDS
        self.exits_at = self.ends_at + SEND_SECONDS

    def may_accept(self, deadline: float, now: float) -> bool:
        """Return whether to accept a request with a deadline.

        A late request is accepted only if it gets its response, be it that of
        its timeout, before the process ends.
        """
        if now < min(self.started_at + OPEN_SECONDS, self.ends_at):
            return True
        return deadline + RESPONSE_SECONDS <= self.ends_at
