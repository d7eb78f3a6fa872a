"""Events that the planes of a sidecar handle and actions that they return."""

from typing import Any

from hickorythread import events
from hickorythread import messages as base_messages
from hickorythread.mesh import messages

Record = events.Record
Log = events.Log

# This process could not open a socket, which says nothing about the target.
NO_DESCRIPTOR = "no-descriptor"


class Request(Record):
    """Hold a client request at its entry node.

    request_id is the client's id of this attempt, number the node's own id.
    received_at is in monotonic seconds. remaining is the client's timeout in
    seconds, None if the client sets none. key_digest identifies the key of
    the client account, empty without one; the key itself is kept nowhere.
    has_several_keys is True if the request does not carry one key only.
    """

    __slots__ = (
        "number",
        "request_id",
        "method",
        "host",
        "path",
        "headers",
        "body",
        "received_at",
        "remaining",
        "key_digest",
        "has_several_keys",
    )

    def __init__(
        self,
        number: int,
        request_id: str,
        method: str,
        host: str,
        path: str,
        headers: list[list[str]],
        body: bytes,
        received_at: float,
        remaining: float | None,
        key_digest: bytes = b"",
        has_several_keys: bool = False,
    ) -> None:
        self.number = number
        self.request_id = request_id
        self.method = method
        self.host = host
        self.path = path
        self.headers = headers
        self.body = body
        self.received_at = received_at
        self.remaining = remaining
        self.key_digest = key_digest
        self.has_several_keys = has_several_keys


class Response(Record):
    """Hold the response to a client.

    from_target is False for a response that the node generated itself.
    """

    __slots__ = (
        "status",
        "headers",
        "body",
        "reason",
        "retry_after",
        "from_target",
    )

    def __init__(
        self,
        status: int,
        headers: list[Any],
        body: bytes,
        reason: str = "",
        retry_after: float = 0.0,
        from_target: bool = False,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.reason = reason
        self.retry_after = retry_after
        self.from_target = from_target


class InstanceLoad(Record):
    """Hold the load that a target reports in a response.

    factor tells how long its work takes at the moment in percent of what is
    normal, None if the target does not state it.
    """

    __slots__ = ("running", "waiting", "slots", "factor")

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        factor: int | None = None,
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.factor = factor


class TargetResponse(Record):
    """Hold a complete response of the target on this host.

    not_run is True if the target states that it did not run the request.
    instance is the id that it reports, empty if it reports none. warmup is
    the rest of its warm-up in seconds, None if it reports none. rate_limit is
    the number of requests per second that it accepts in total, None if it
    names none. leaving is True if it states that it is about to end.
    unreadable holds the lines of a rate limit whose value has the wrong form.
    load is the load that it reports, None if it reports none, and
    unreadable_load the lines that name it in the wrong form.
    """

    __slots__ = (
        "status",
        "headers",
        "body",
        "not_run",
        "instance",
        "warmup",
        "rate_limit",
        "leaving",
        "unreadable",
        "load",
        "unreadable_load",
    )

    def __init__(
        self,
        status: int,
        headers: list[Any],
        body: bytes,
        not_run: bool = False,
        instance: str = "",
        warmup: float | None = None,
        rate_limit: float | None = None,
        leaving: bool = False,
        unreadable: tuple[str, ...] = (),
        load: InstanceLoad | None = None,
        unreadable_load: tuple[str, ...] = (),
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.not_run = not_run
        self.instance = instance
        self.warmup = warmup
        self.rate_limit = rate_limit
        self.leaving = leaving
        self.unreadable = unreadable
        self.load = load
        self.unreadable_load = unreadable_load


class Failure(Record):
    """Describe a run without a response.

    kind is "late", "stale", "connect" or NO_DESCRIPTOR if nothing was sent,
    and "lost", "timeout" or "cancelled" if the request may have run.
    """

    __slots__ = ("kind", "detail")

    def __init__(self, kind: str, detail: str = "") -> None:
        self.kind = kind
        self.detail = detail


class Send(Record):
    """Send a message to the node of a host, which may be this node."""

    __slots__ = ("host_id", "message")

    def __init__(self, host_id: str, message: base_messages.Message) -> None:
        self.host_id = host_id
        self.message = message


class Broadcast(Record):
    """Send a message to all connected nodes, or to those nearby.

    With in_region, only nodes of the own region receive it.
    """

    __slots__ = ("message", "in_region")

    def __init__(
        self, message: base_messages.Message, in_region: bool = False
    ) -> None:
        self.message = message
        self.in_region = in_region


class Respond(Record):
    """Respond to a client; route and service are empty if no route matched."""

    __slots__ = ("number", "response", "route", "service")

    def __init__(
        self,
        number: int,
        response: Response,
        route: str = "",
        service: str = "",
    ) -> None:
        self.number = number
        self.response = response
        self.route = route
        self.service = service


class Run(Record):
    """Send a request to the target on this host; it ends at the deadline."""

    __slots__ = ("run_id", "call", "instance", "deadline")

    def __init__(
        self,
        run_id: int,
        call: messages.Forward,
        instance: str,
        deadline: float,
    ) -> None:
        self.run_id = run_id
        self.call = call
        self.instance = instance
        self.deadline = deadline


class CancelRun(Record):
    """Close the connection of a run, so that the target aborts it."""

    __slots__ = ("run_id",)

    def __init__(self, run_id: int) -> None:
        self.run_id = run_id


class Probe(Record):
    """Request the instance id and warm-up of the target on this host.

    in_use is True if the target runs requests meanwhile; its idle connections
    then stay open.
    """

    __slots__ = ("health_path", "in_use")

    def __init__(self, health_path: str, in_use: bool = False) -> None:
        self.health_path = health_path
        self.in_use = in_use
