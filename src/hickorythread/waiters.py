"""Tasks that wait for the response to a request."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import hubs


class Waiter:
    """Hold the task that waits for the response to one request.

    The task switches to the hub directly, since an event and a timer for each
    request would take longer than the planes need to handle that request.
    """

    __slots__ = ("connected", "started_at", "task", "response", "done")

    def __init__(
        self, connected: Callable[[], bool], started_at: float
    ) -> None:
        self.connected = connected
        self.started_at = started_at
        self.task: Any = None
        self.response: Any = None
        self.done = False

    def wait(self) -> Any:
        """Wait for the response; return None if the caller disconnected."""
        if not self.done:
            self.task = eventlet.getcurrent()
            hubs.get_hub().switch()
        return self.response

    def deliver(self, response: Any) -> None:
        """Set the response and wake the waiting task."""
        self.response = response
        self.done = True
        if self.task is not None:
            hubs.get_hub().schedule_call_global(0, self.task.switch)
