"""Decides how long a starting process tries to bind its addresses."""

import errno

# Another process may still hold a port, or an outgoing connection may have it
# as its local port.
BIND_SECONDS = 30.0
RETRY_SECONDS = 0.1
REPORT_SECONDS = 5.0
# The settings name an address that this process may not or cannot use.
UNUSABLE_ERRNOS = frozenset((errno.EACCES, errno.EADDRNOTAVAIL))


class BindPolicy:
    """Hold until when to try, in monotonic seconds."""

    __slots__ = ("ends_at", "report_at")

    def __init__(self, now: float, seconds: float) -> None:
        self.ends_at = now + seconds
        self.report_at = now

    def may_retry(self, error: OSError, now: float) -> bool:
        """Return whether another attempt may succeed, and is in time."""
        # Only EACCES does not pass by itself.
        return error.errno != errno.EACCES and now < self.ends_at

    def report_due(self, now: float) -> bool:
        """Return whether to log a failed attempt; at most once in a while."""
        if now < self.report_at:
            return False
        self.report_at = now + REPORT_SECONDS
        return True


def is_unusable(error: OSError) -> bool:
    """Return whether the address itself is wrong for this host or user."""
    return error.errno in UNUSABLE_ERRNOS
