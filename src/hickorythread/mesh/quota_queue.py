"""The requests that wait for a token of their client account."""

from hickorythread.mesh import pending_request
from hickorythread.mesh import quotas


class QuotaQueue:
    """Hold requests in the order of their arrival."""

    __slots__ = ("by_number",)

    def __init__(self) -> None:
        self.by_number: dict[
            int, tuple[float, pending_request.PendingRequest]
        ] = {}

    def add(self, pending: pending_request.PendingRequest, now: float) -> None:
        """Add a request, which waits no longer than its deadline."""
        due = min(now + quotas.MAX_WAIT_SECONDS, pending.deadline)
        self.by_number[pending.request.number] = due, pending

    def remove(self, number: int) -> pending_request.PendingRequest | None:
        """Remove a request; return None if it does not wait."""
        found = self.by_number.pop(number, None)
        return found[1] if found else None

    def of_account(self, name: str) -> list[pending_request.PendingRequest]:
        """Return the requests of an account that wait."""
        return [
            pending
            for _, pending in self.by_number.values()
            if pending.account is not None and pending.account.name == name
        ]

    def take_due(self, now: float) -> list[pending_request.PendingRequest]:
        """Remove and return the requests that have waited long enough."""
        due = [pending for at, pending in self.by_number.values() if at <= now]
        for pending in due:
            del self.by_number[pending.request.number]
        return due
