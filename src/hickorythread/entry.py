"""Forward requests from the entry node, which the caller connected to.

Log events and refusals call a target an upstream.
"""

import collections
import heapq
import math
from typing import Any

from hickorythread import balancer
from hickorythread import deadlines
from hickorythread import events
from hickorythread import exceptions
from hickorythread import idempotency
from hickorythread import interfaces
from hickorythread import messages
from hickorythread import models
from hickorythread import retries
from hickorythread import routing
from hickorythread import settings as settings_module

MAX_PENDING = 4096
FIRST_ATTEMPT_SHARE = 0.5
TIMER_REBUILD_SLACK = 256
RETRYABLE_STATUS = 503
REPLIES = (messages.Reply, messages.KeyIssued)
OUTCOMES = frozenset((messages.COMPLETE, messages.NOT_RUN, messages.UNKNOWN))
# Reasons for which a node refuses all new calls for some time.
NOT_ADMITTING_REASONS = frozenset(
    ("draining", "leaving", "domain-out", "lease-expired", "starting")
)


class PendingRequest:
    """Hold a request that waits for its reply.

    attempt_deadline is when another target is tried, or the deadline if
    no further attempt follows. may_have_run is set once an attempt ended
    without a known outcome.
    """

    __slots__ = (
        "request",
        "match",
        "deadline",
        "attempt_deadline",
        "issues_key",
        "call_id",
        "host_id",
        "stream_id",
        "target",
        "sent_at",
        "retried",
        "may_have_run",
    )

    def __init__(
        self,
        request: events.Request,
        match: routing.RouteMatch,
        deadline: float,
    ) -> None:
        self.request = request
        self.match = match
        self.deadline = deadline
        self.attempt_deadline = deadline
        self.issues_key = not (request.key or match.route.idempotent)
        self.call_id = 0
        self.host_id = ""
        # The stream that carries the call, 0 until one does.
        self.stream_id = 0
        self.target: balancer.Target | None = None
        self.sent_at = 0.0
        self.retried = False
        self.may_have_run = False

    @property
    def may_retry(self) -> bool:
        """Return whether a second attempt is allowed and safe."""
        if self.retried or self.request.key or self.request.attempt > 0:
            return False
        return self.issues_key or self.match.route.retry


class EntryPlane:
    """Choose a target for each request and respond to its caller."""

    def __init__(
        self,
        settings: settings_module.Settings,
        random_source: interfaces.RandomSource,
    ) -> None:
        self.settings = settings
        self.balancer = balancer.Balancer(
            settings.host_id,
            settings.region,
            settings.failure_domain,
            random_source,
        )
        self.budget = retries.RetryBudget()
        self.index: routing.RouteIndex | None = None
        self.pending: dict[int, PendingRequest] = {}
        self.by_request: dict[int, PendingRequest] = {}
        self.by_host: dict[str, dict[int, PendingRequest]] = {}
        self.timers: list[tuple[float, int]] = []
        # A random start: the process that replaces this one must not reuse
        # its call ids.
        self.last_call_id = random_source.getrandbits(48)
        self.counters: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        random_source: interfaces.RandomSource,
    ) -> "EntryPlane":
        """Return the entry plane of a node that has just started."""
        return cls(settings, random_source)

    def request(
        self, request: events.Request, now: float
    ) -> list[events.Record]:
        """Forward a request or refuse it."""
        match = self._match_route(request.method, request.path, request.tenant)
        if isinstance(match, exceptions.Refusal):
            return self._refuse(request, match)
        deadline = deadlines.request_deadline(
            request.deadline, request.received_at, match.route.deadline_ms
        )
        if now >= deadline:
            refusal = exceptions.Refusal(504, "deadline", "deadline passed")
            return self._refuse(request, refusal)
        if len(self.pending) >= MAX_PENDING:
            refusal = exceptions.Refusal(503, "too-many", "node is busy", 1.0)
            return self._refuse(request, refusal)
        pending = PendingRequest(request, match, deadline)
        if request.key:
            return self._forward_keyed(pending, now)
        self.budget.note_request(match.service.name)
        if pending.may_retry and not pending.issues_key:
            pending.attempt_deadline = now + FIRST_ATTEMPT_SHARE * (
                deadline - now
            )
        target = self.balancer.choose(
            match.service.name, match.home_regions, now
        )
        if target is None:
            refusal = exceptions.Refusal(
                503, "no-upstream", "no upstream is usable", 1.0
            )
            return self._refuse(request, refusal)
        return self._send(pending, target.host_id, target, now)

    def reply(
        self, host_id: str, message: messages.Message, now: float
    ) -> list[events.Record]:
        """Respond to the caller of the call that the message names."""
        if not isinstance(message, REPLIES):
            return self._drop_reply("unexpected_reply", host_id)
        pending = self.pending.get(message.call_id)
        if pending is None:
            return self._drop_reply("late_reply", host_id)
        is_key = isinstance(message, messages.KeyIssued)
        if pending.host_id != host_id or pending.issues_key != is_key:
            return self._drop_reply("crossed_reply", host_id)
        self._remove_pending(pending)
        target = pending.target
        if target is not None and not target.update_load(message.load, now):
            self.counters["malformed_load"] += 1
        if isinstance(message, messages.KeyIssued):
            return self._handle_key_issued(pending, message, now)
        if message.body_length != len(message.body):
            actions = self._drop_reply("cut_reply", host_id)
            return actions + self._handle_lost_call(
                pending, 503, "cut-reply", now
            )
        if not _is_well_formed(message):
            actions = self._drop_reply("malformed_reply", host_id)
            return actions + self._handle_lost_call(
                pending, 503, "malformed-reply", now
            )
        return self._handle_reply(pending, message, now)

    def call_carried(self, call_id: int, stream_id: int) -> None:
        """Note on which stream a call leaves."""
        pending = self.pending.get(call_id)
        if pending is not None:
            pending.stream_id = stream_id

    def stream_lost(
        self, host_id: str, stream_id: int, now: float
    ) -> list[events.Record]:
        """Retry or fail the calls that a lost stream carried."""
        calls = self.by_host.get(host_id, {}).values()
        lost = [call for call in calls if call.stream_id == stream_id]
        return self._settle_lost(lost, now)

    def call_lost(self, call_id: int, now: float) -> list[events.Record]:
        """Retry or fail a call that no stream will carry."""
        pending = self.pending.get(call_id)
        return [] if pending is None else self._settle_lost([pending], now)

    def peer_lost(self, host_id: str, now: float) -> list[events.Record]:
        """Retry or fail the calls to a node without a stream."""
        return self._settle_lost(
            list(self.by_host.get(host_id, {}).values()), now
        )

    def _settle_lost(
        self, lost: list[PendingRequest], now: float
    ) -> list[events.Record]:
        actions: list[events.Record] = []
        for pending in lost:
            self._remove_pending(pending)
            actions += self._handle_lost_call(pending, 503, "stream-lost", now)
        return actions

    def caller_disconnected(
        self, request_id: int, now: float
    ) -> list[events.Record]:
        """Cancel the call of a caller that disconnected."""
        pending = self.by_request.get(request_id)
        if pending is None:
            return []
        self._remove_pending(pending)
        return [self._cancel(pending)]

    def tick(self, now: float) -> list[events.Record]:
        """Handle overdue calls and eject slow targets."""
        actions: list[events.Record] = []
        while self.timers and self.timers[0][0] <= now:
            pending = self.pending.get(heapq.heappop(self.timers)[1])
            if pending is not None:
                actions += self._handle_overdue(pending, now)
        for host_id in self.balancer.tick(now):
            actions.append(
                events.Log("upstream_ejected", host=host_id, reason="slow")
            )
        return actions

    def configuration_changed(
        self, configuration: models.Configuration, now: float
    ) -> None:
        """Apply a new version of the configuration."""
        self.index = routing.index_of(configuration)
        self.balancer.configuration_changed(configuration)
        self.budget.keep_only(set(configuration.services))

    def hosts_changed(
        self, changed: list[models.Host], removed: list[str], now: float
    ) -> None:
        """Apply changes of the host list."""
        self.balancer.hosts_changed(changed, removed)
        for host_id in removed:
            if not self.by_host.get(host_id):
                self.by_host.pop(host_id, None)

    def peer_state_changed(
        self, host_id: str, usable: bool, now: float
    ) -> None:
        """Record whether a node is usable."""
        self.balancer.peer_state_changed(host_id, usable)

    def check_head(
        self, method: str, path: str, tenant: str
    ) -> exceptions.Refusal | None:
        """Return the refusal of a request, if any, before its body is read.

        tenant is the name of the client account. The outcome of a refused
        request with a key is unknown, since an earlier send of it may have
        run.
        """
        match = self._match_route(method, path, tenant)
        return match if isinstance(match, exceptions.Refusal) else None

    def explain(
        self, method: str, path: str, tenant: str, now: float
    ) -> dict[str, Any]:
        """Return how a request would be routed, without sending it.

        tenant is the name of the client account.
        """
        match = self._match_route(method, path, tenant)
        if isinstance(match, exceptions.Refusal):
            return {
                "status": match.status,
                "reason": match.reason,
                "message": match.message,
            }
        home_regions = match.home_regions
        service = match.service.name
        return {
            "route": match.route.name,
            "service": service,
            "tenant": match.tenant,
            "home_regions": None
            if home_regions is None
            else sorted(home_regions),
            "key_required": not match.route.idempotent,
            "candidates": self.balancer.describe(service, home_regions, now),
        }

    def _match_route(
        self, method: str, path: str, client_account: str
    ) -> routing.RouteMatch | exceptions.Refusal:
        if self.index is None:
            return exceptions.Refusal(503, "starting", "no configuration", 1.0)
        match = self.index.find(method, path, client_account)
        if isinstance(match, routing.RouteMatch) and not match.allows(
            self.settings.region
        ):
            return exceptions.Refusal(
                421, "home-region", "this region may not serve the request"
            )
        return match

    def _forward_keyed(
        self, pending: PendingRequest, now: float
    ) -> list[events.Record]:
        key = idempotency.Key.parse(pending.request.key)
        if key is None:
            refusal = exceptions.Refusal(
                400, "key-not-issued", "keys are issued with status 428"
            )
            return self._refuse(pending.request, refusal)
        target = self.balancer.target(key.host_id)
        reason = ""
        if target is None or key.host_id in self.balancer.unusable:
            reason = "owner-unreachable"
        elif not pending.match.allows(target.region):
            reason = "owner-outside-home"
        if reason:
            refusal = exceptions.Refusal(503, reason, "outcome is unknown")
            return self._refuse(pending.request, refusal)
        return self._send(pending, key.host_id, target, now)

    def _send(
        self,
        pending: PendingRequest,
        host_id: str,
        target: balancer.Target | None,
        now: float,
    ) -> list[events.Record]:
        request = pending.request
        self.last_call_id = call_id = self.last_call_id + 1
        pending.call_id = call_id
        pending.host_id = host_id
        pending.stream_id = 0
        pending.target = target
        pending.sent_at = now
        if target is not None:
            target.own_calls += 1
        self.pending[call_id] = self.by_request[request.request_id] = pending
        calls = self.by_host.get(host_id)
        if calls is None:
            calls = self.by_host[host_id] = {}
        calls[call_id] = pending
        heapq.heappush(self.timers, (pending.attempt_deadline, call_id))
        if len(self.timers) > 2 * len(self.pending) + TIMER_REBUILD_SLACK:
            self._rebuild_timers()
        return [
            events.SendCall(
                host_id, self._build_message(pending), pending.deadline
            ),
            events.Log(
                "route_chosen",
                route=pending.match.route.name,
                host=host_id,
                tier=target.tier if target is not None else -1,
                retried=pending.retried,
            ),
        ]

    def _build_message(self, pending: PendingRequest) -> messages.Message:
        request = pending.request
        if pending.issues_key:
            return messages.IssueKey(
                pending.call_id, pending.match.service.name
            )
        return messages.Call(
            pending.call_id,
            pending.match.route.name,
            request.tenant,
            request.method,
            request.path,
            request.headers,
            request.body,
            pending.deadline,
            request.key,
            request.attempt + pending.retried,
        )

    def _remove_pending(self, pending: PendingRequest) -> None:
        del self.pending[pending.call_id]
        self.by_request.pop(pending.request.request_id, None)
        del self.by_host[pending.host_id][pending.call_id]
        if pending.target is not None:
            pending.target.own_calls -= 1

    def _rebuild_timers(self) -> None:
        self.timers = [
            timer for timer in self.timers if timer[1] in self.pending
        ]
        heapq.heapify(self.timers)

    def _handle_reply(
        self, pending: PendingRequest, message: messages.Reply, now: float
    ) -> list[events.Record]:
        target = pending.target
        actions: list[events.Record] = []
        if message.outcome == messages.COMPLETE and message.status < 500:
            if target is not None:
                latency = now - pending.sent_at
                self.balancer.succeeded(target, latency)
        elif message.outcome != messages.NOT_RUN:
            actions = self._record_failure(pending, now)
        elif message.reason in NOT_ADMITTING_REASONS:
            self.balancer.suspend(pending.host_id, now)
        elif message.reason == "connect":
            actions = self._record_failure(pending, now)
        if message.outcome == messages.NOT_RUN:
            if message.status == RETRYABLE_STATUS:
                retry = self._retry(pending, now)
                if retry:
                    return actions + retry
        return [*self._respond(pending, message), *actions]

    def _respond(
        self, pending: PendingRequest, message: messages.Reply
    ) -> list[events.Record]:
        outcome = message.outcome
        if outcome == messages.NOT_RUN and pending.may_have_run:
            outcome = messages.UNKNOWN
        response = events.Response(
            message.status,
            outcome,
            list(message.headers),
            message.body,
            message.reason,
            message.retry_after,
            pending.request.key,
            pending.host_id,
        )
        return [events.Respond(pending.request.request_id, response)]

    def _handle_key_issued(
        self, pending: PendingRequest, message: messages.KeyIssued, now: float
    ) -> list[events.Record]:
        if not message.key:
            if message.reason in NOT_ADMITTING_REASONS:
                self.balancer.suspend(pending.host_id, now)
            retry = self._retry(pending, now)
            if retry:
                return retry
        response = events.Response(
            428 if message.key else 503,
            messages.NOT_RUN,
            [],
            b"repeat the request with this Idempotency-Key",
            message.reason or "key-required",
            0.0 if message.key else 1.0,
            message.key,
            pending.host_id,
        )
        if not message.key:
            response.body = b"no key can be issued"
        return [events.Respond(pending.request.request_id, response)]

    def _handle_lost_call(
        self, pending: PendingRequest, status: int, reason: str, now: float
    ) -> list[events.Record]:
        actions = self._record_failure(pending, now)
        if not pending.issues_key:
            pending.may_have_run = True
        retry = self._retry(pending, now)
        if retry:
            return actions + retry
        outcome = messages.NOT_RUN if pending.issues_key else messages.UNKNOWN
        response = events.Response(
            status,
            outcome,
            [],
            b"",
            reason,
            key=pending.request.key,
            served_by=pending.host_id,
        )
        return [
            events.Respond(pending.request.request_id, response),
            events.Log("call_lost", host=pending.host_id, reason=reason),
            *actions,
        ]

    def _retry(
        self, pending: PendingRequest, now: float
    ) -> list[events.Record]:
        target = self._choose_retry_target(pending, now)
        if target is None:
            return []
        return self._send(pending, target.host_id, target, now)

    def _choose_retry_target(
        self, pending: PendingRequest, now: float
    ) -> balancer.Target | None:
        if not pending.may_retry or now >= pending.deadline:
            return None
        request = pending.request
        match = self._match_route(request.method, request.path, request.tenant)
        if isinstance(match, exceptions.Refusal):
            return None
        service = match.service.name
        target = self.balancer.choose(
            service, match.home_regions, now, pending.host_id
        )
        if target is None or not self.budget.take(service):
            return None
        pending.match = match
        pending.retried = True
        pending.attempt_deadline = pending.deadline
        return target

    def _handle_overdue(
        self, pending: PendingRequest, now: float
    ) -> list[events.Record]:
        cancel = self._cancel(pending)
        if now >= pending.deadline:
            self._remove_pending(pending)
            return [
                cancel,
                *self._handle_lost_call(pending, 504, "deadline", now),
            ]
        actions = self._record_failure(pending, now)
        target = self._choose_retry_target(pending, now)
        if target is None:
            # No second attempt: the first one may still be answered before
            # the deadline.
            pending.attempt_deadline = pending.deadline
            timer = (pending.deadline, pending.call_id)
            heapq.heappush(self.timers, timer)
            return actions
        self._remove_pending(pending)
        pending.may_have_run = True
        sent = self._send(pending, target.host_id, target, now)
        return [cancel, *actions, *sent]

    def _cancel(self, pending: PendingRequest) -> events.Record:
        message = messages.Cancel(pending.call_id)
        return events.SendCall(pending.host_id, message, pending.deadline)

    def _record_failure(
        self, pending: PendingRequest, now: float
    ) -> list[events.Record]:
        target = pending.target
        if target is None or not self.balancer.failed(target, now):
            return []
        return [
            events.Log(
                "upstream_ejected", host=target.host_id, reason="failures"
            )
        ]

    def _drop_reply(self, kind: str, host_id: str) -> list[events.Record]:
        self.counters[kind] += 1
        return [events.Log("reply_dropped", kind=kind, host=host_id)]

    def _refuse(
        self, request: events.Request, refusal: exceptions.Refusal
    ) -> list[events.Record]:
        # An earlier send of a keyed request may have run.
        outcome = messages.UNKNOWN if request.key else messages.NOT_RUN
        response = events.Response(
            refusal.status,
            outcome,
            [],
            refusal.message.encode(),
            refusal.reason,
            refusal.retry_after_seconds,
            request.key,
        )
        return [
            events.Respond(request.request_id, response),
            events.Log(
                "request_refused",
                status=refusal.status,
                reason=refusal.reason,
            ),
        ]


def _is_well_formed(reply: messages.Reply) -> bool:
    """Return whether a server can write the reply to a caller."""
    return (
        reply.outcome in OUTCOMES
        and messages.is_final_status(reply.status)
        and reply.status < 600
        and math.isfinite(reply.retry_after)
        and messages.is_header_list(reply.headers)
    )
