"""Whether the target on this host stays although its registration is gone."""

import http

from hickorythread.mesh import events


class TargetDoubt:
    """Ask the target while the view only holds its registration.

    After an outage of the source nobody can tell from the registrations
    whether a target has left or has not registered again yet. The target
    itself can: a healthy response to a probe says that it stays. Until then
    it gets nothing. held_since is the time at which the view began to hold
    its registration, None if it does not. is_open is True until the target
    has answered, is_leaving once it has not confirmed that it stays.
    """

    __slots__ = ("held_since", "is_open", "is_leaving")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget the doubt: the target is registered, or removed."""
        self.held_since: float | None = None
        self.is_open = False
        self.is_leaving = False

    def set_held(self, is_held: bool, now: float) -> bool:
        """Record whether the view holds the target; return whether to ask."""
        if not is_held:
            self.reset()
            return False
        if self.held_since is not None:
            return False
        self.held_since = now
        self.is_open = True
        return True

    def record_probe(
        self,
        response: events.TargetResponse,
        instance: str,
        asked_at: float,
        now: float,
    ) -> list[events.Record]:
        """Decide by the response to a probe; return the lines to log.

        A target that rejects the probe for want of room says nothing.
        """
        if not self.is_open or self.held_since is None:
            return []
        if asked_at < self.held_since or response.not_run:
            return []
        self.is_open = False
        is_healthy = response.status == http.HTTPStatus.OK
        self.is_leaving = response.leaving or not is_healthy
        return [
            events.Log(
                "target_confirmed",
                instance=instance,
                leaving=self.is_leaving,
                status=response.status,
                held=round(now - self.held_since, 3),
            )
        ]
