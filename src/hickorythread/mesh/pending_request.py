"""A request of a client until its response is known."""

import math

from hickorythread.mesh import events
from hickorythread.mesh import messages
from hickorythread.mesh import models


class PendingRequest:
    """Hold a request until its response is known.

    runs counts the attempts that may have run at a target, refusals those
    that did not and rejections those of them that a target refused.
    failure_response is the error response of a target, which the client gets
    if no retry succeeds. stream_id is 0 until a stream carries the call.
    has_token is True if the request has taken a token of its account's quota.
    """

    __slots__ = (
        "request",
        "route",
        "service",
        "deadline",
        "call_id",
        "host_id",
        "stream_id",
        "target_id",
        "target_started_at_ms",
        "sent_at",
        "runs",
        "refusals",
        "rejections",
        "overload_refusals",
        "tried_hosts",
        "retry_after",
        "failure_response",
        "account",
        "has_token",
    )

    def __init__(
        self,
        request: events.Request,
        route: models.Route,
        service: str,
        deadline: float,
        account: models.Account | None = None,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.deadline = deadline
        self.call_id = 0
        self.host_id = ""
        self.stream_id = 0
        self.target_id = ""
        self.target_started_at_ms = 0
        self.sent_at = 0.0
        self.runs = 0
        self.refusals = 0
        self.rejections = 0
        self.overload_refusals = 0
        self.tried_hosts: set[str] = set()
        self.retry_after = math.inf
        self.failure_response: events.Response | None = None
        self.account = account
        self.has_token = False

    @property
    def sent_to_target(self) -> bool:
        """Return whether the request may have reached a target before."""
        return bool(self.runs or self.rejections)

    def make_forward(
        self, caller_service: str, now: float, usual_ms: int = 0
    ) -> messages.Forward:
        """Return the message that sends the request to its target.

        usual_ms is the usual run time of the route, 0 if it is not known.
        """
        request = self.request
        route = self.route
        objective = request.received_at + route.objective - now
        return messages.Forward(
            self.call_id,
            request.request_id,
            self.service,
            route.name,
            request.method,
            request.path,
            request.headers,
            request.body,
            float(self.deadline - now),
            float(objective),
            route.idempotent,
            route.priority,
            caller_service,
            self.sent_to_target,
            self.account.name if self.account else "",
            usual_ms,
        )
