"""Route client requests to targets and return the responses."""

import math
from typing import Any

from hickorythread import deadlines
from hickorythread import interfaces
from hickorythread import messages as base_messages
from hickorythread import retries
from hickorythread.mesh import account_lease
from hickorythread.mesh import accounts
from hickorythread.mesh import ends
from hickorythread.mesh import events
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import open_calls
from hickorythread.mesh import origins
from hickorythread.mesh import pending_request
from hickorythread.mesh import placement
from hickorythread.mesh import quota_queue
from hickorythread.mesh import quotas
from hickorythread.mesh import reasons
from hickorythread.mesh import routing
from hickorythread.mesh import settings as mesh_settings
from hickorythread.mesh import stopping
from hickorythread.mesh import view as mesh_view

# A target may respond as late as the deadline. The reply then needs this long
# to arrive.
RESPONSE_MARGIN_SECONDS = 0.08
SUSPEND_SECONDS = 0.5
MAX_REFUSALS = 3
# When two targets of a service are at capacity, the others probably are too,
# unless rate limits of some targets have moved the load to these two.
MAX_OVERLOAD_REFUSALS = 2
# Near targets that refuse are full. From so many refusals on a request goes
# where the load is low, at any distance.
LOCAL_REFUSALS = 2
MIN_RETRY_SECONDS = 0.05
STARTING_RETRY_AFTER_SECONDS = 0.5
NO_TARGET_RETRY_AFTER_SECONDS = 0.4
# Parts of the configured retry budget that are used. The rest is a reserve
# for nodes that restart and for requests that go to fewer nodes than before.
RETRY_SHARE = 0.9
RETRY_SLACK_SHARE = 0.5
MIN_RETRY_RESERVE = 1.0
INITIAL_RETRIES = 1.0
MIN_SERVER_ERROR_STATUS = 500
# Statuses that promise the client that its request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# What a client may get for a request whose outcome is not known.
UNKNOWN_STATUSES = frozenset((502, 504))

Actions = list[events.Record]


class EntryPlane:
    """Send each request to a target and its response to the client."""

    def __init__(
        self,
        settings: mesh_settings.Settings,
        view: mesh_view.View,
        random_source: interfaces.RandomSource,
        lease: account_lease.AccountLease,
    ) -> None:
        self.settings = settings
        self.view = view
        self.lease = lease
        self.placement = placement.Placement(
            settings.host_id,
            settings.failure_domain,
            settings.regions,
            random_source,
        )
        self.splitter = routing.TrafficSplitter(random_source)
        # Nobody knows what a predecessor of this process has spent, so that
        # it does not start with a full reserve.
        self.budget = retries.RetryBudget(initial=INITIAL_RETRIES)
        self.origins = origins.CallOrigins()
        # The configuration for whose routes state is kept.
        self.configuration: models.Configuration | None = None
        # Set once the node is stopping.
        self.stop: stopping.StopPolicy | None = None
        self.calls = open_calls.OpenCalls()
        self.quotas = quotas.QuotaClient(settings.host_id, random_source)
        self.quota_queue = quota_queue.QuotaQueue()
        self.update_retry_budget()
        # A restarted process must not reuse the call ids of its predecessor.
        self.last_call_id = random_source.getrandbits(48)

    @property
    def routing_version(self) -> int:
        """Return the version that routes requests, 0 if there is none."""
        router = self.view.router
        return router.configuration.version if router else 0

    def request(
        self,
        request: events.Request,
        now: float,
        running: int = 0,
        running_retries: int = 0,
    ) -> Actions:
        """Send a request to a target or refuse it.

        running counts the runs at the local target, running_retries those of
        them that are retries: the request may be a call of one of them.
        """
        router = self.view.router
        if router is None:
            return self._refuse(
                request, 503, "starting", STARTING_RETRY_AFTER_SECONDS
            )
        route = router.find(request.host, request.path)
        if route is None:
            return self._refuse(request, 404, "no-route")
        account: models.Account | None = None
        if router.needs_account(route):
            identified = accounts.identify(router, request, self.lease, now)
            if identified.is_error():
                refusal = identified.error
                return self._refuse(
                    request,
                    refusal.status,
                    refusal.reason,
                    refusal.retry_after_seconds,
                )
            account = identified.ok
            route = router.route_for(route, account)
        remaining = route.timeout
        if request.remaining is not None:
            remaining = min(remaining, request.remaining)
        deadline = request.received_at + remaining
        service = self.splitter.choose_service(route)
        pending = pending_request.PendingRequest(
            request, route, service, deadline, account
        )
        if now >= deadline:
            return self._respond(pending, 504, "deadline")
        if self.stop and not self.stop.may_accept(deadline, now):
            return self._give_up(pending, "stopping", now)
        return self._take_quota(pending, now, running, running_retries)

    def _take_quota(
        self,
        pending: pending_request.PendingRequest,
        now: float,
        running: int,
        running_retries: int,
    ) -> Actions:
        """Send a request that is within the quota of its account."""
        if pending.account is not None:
            outcome = self.quotas.take(pending.account, now)
            if outcome == quotas.WAIT:
                self.quota_queue.add(pending, now)
                return self.quotas.due_messages(now)
            if isinstance(outcome, quotas.Refusal):
                return self._refuse_quota(pending, outcome, now)
            pending.has_token = True
        return self._send_first(pending, now, running, running_retries)

    def _send_first(
        self,
        pending: pending_request.PendingRequest,
        now: float,
        running: int = 0,
        running_retries: int = 0,
    ) -> Actions:
        """Count a request that is admitted and send it to a target."""
        probability = self.origins.retry_probability(
            pending.route.name, running, running_retries
        )
        self.budget.note_request(pending.service, probability, now)
        return self._dispatch(pending, now)

    def quota_granted(
        self, host_id: str, message: messages.QuotaGrant, now: float
    ) -> Actions:
        """Send the requests that have waited for these tokens."""
        actions: Actions = []
        for name in self.quotas.granted(host_id, message, now):
            for pending in self.quota_queue.of_account(name):
                if now >= pending.deadline:
                    # The next tick responds to it.
                    continue
                outcome = self.quotas.take_waiting(name, now)
                if outcome == quotas.WAIT:
                    break
                self.quota_queue.remove(pending.request.number)
                actions += self._end_wait(pending, outcome, now)
        return actions

    def _end_wait(
        self,
        pending: pending_request.PendingRequest,
        outcome: quotas.Outcome,
        now: float,
    ) -> Actions:
        if isinstance(outcome, quotas.Refusal):
            return self._refuse_quota(pending, outcome, now)
        pending.has_token = True
        return self._send_first(pending, now)

    def _refuse_quota(
        self,
        pending: pending_request.PendingRequest,
        refusal: quotas.Refusal,
        now: float,
    ) -> Actions:
        if pending.account is not None:
            self.quotas.count_refusal(pending.account.name)
        return self._respond(
            pending, 429, reasons.QUOTA, refusal.retry_after, now=now
        )

    def _tick_quotas(self, now: float) -> Actions:
        """Decide about requests that waited too long; ask for tokens."""
        actions: Actions = []
        for pending in self.quota_queue.take_due(now):
            if now >= pending.deadline:
                self.quotas.leave(_account_name(pending))
                actions += self._respond(pending, 504, "deadline", now=now)
                continue
            outcome = self.quotas.decide(_account_name(pending), now)
            actions += self._end_wait(pending, outcome, now)
        return actions + self.quotas.tick(now)

    def may_repeat(self, request: events.Request) -> bool:
        """Return whether a request may run more than once."""
        router = self.view.router
        if router is None:
            return True
        route = router.find(request.host, request.path)
        return route is None or route.idempotent

    def reply(
        self, host_id: str, message: base_messages.Reply, now: float
    ) -> Actions:
        """Handle the reply of the node on the host of a target."""
        pending = self.calls.by_call_id.get(message.call_id)
        if pending is None or pending.host_id != host_id:
            return [events.Log("late_reply", peer=host_id)]
        peer = self.placement.peer(host_id)
        if _is_load(message.load):
            peer.update_load(message.load, now, pending.route.name)
            self._note_run_time(pending, message.load)
        self._close(pending)
        if message.body_length != len(message.body):
            return self._handle_unknown_outcome(pending, 502, "cut-reply", now)
        if not base_messages.is_header_list(message.headers):
            return self._handle_unknown_outcome(
                pending, 502, "malformed-reply", now
            )
        if (
            message.outcome == messages.COMPLETE
            and not base_messages.is_final_status(message.status)
        ):
            return self._handle_unknown_outcome(
                pending, 502, "malformed-reply", now
            )
        if message.ending_target:
            # Known even if the announcement on another stream is lost.
            self._note_end(pending, message.ending_target)
        if message.outcome == messages.COMPLETE:
            return self._handle_complete(pending, message, now)
        if message.outcome == messages.NOT_RUN:
            return self._handle_not_run(pending, message, now)
        peer.record_result(True, now)
        # Any other status would promise something to the client.
        status = message.status if message.status in UNKNOWN_STATUSES else 502
        return self._handle_unknown_outcome(
            pending, status, message.reason, now
        )

    def peer_lost(self, host_id: str, now: float) -> Actions:
        """Stop the use of a node without a stream; settle its calls."""
        self.placement.connected.discard(host_id)
        self.quotas.hosts.remove(host_id, now)
        return self._settle_lost(self.calls.to_host(host_id), now)

    def call_carried(self, call_id: int, stream_id: int) -> None:
        """Note on which stream a call leaves."""
        pending = self.calls.by_call_id.get(call_id)
        if pending is not None:
            pending.stream_id = stream_id

    def stream_lost(self, stream_id: int, now: float) -> Actions:
        """Retry or fail the calls that a lost stream carried."""
        return self._settle_lost(self.calls.on_stream(stream_id), now)

    def call_lost(self, call_id: int, now: float) -> Actions:
        """Retry or fail a call that no stream will carry."""
        pending = self.calls.by_call_id.get(call_id)
        return [] if pending is None else self._settle_lost([pending], now)

    def _settle_lost(
        self, lost: list[pending_request.PendingRequest], now: float
    ) -> Actions:
        actions: Actions = []
        for pending in lost:
            self._close(pending)
            actions += self._handle_unknown_outcome(
                pending, 502, "stream-lost", now
            )
        return actions

    def peer_connected(self, host_id: str) -> None:
        """Use the targets of a node that is reachable again."""
        self.placement.connected.add(host_id)
        self.placement.peer(host_id).silent = False
        self.quotas.hosts.add(host_id)

    def peer_silent(self, host_id: str, silent: bool, now: float) -> Actions:
        """Stop or resume the use of a node that responds on no stream.

        Idempotent requests to a silent node are cancelled and retried. Others
        wait for its reply.
        """
        peer = self.placement.peer(host_id)
        if peer.silent == silent:
            return []
        peer.silent = silent
        if silent:
            self.quotas.hosts.remove(host_id, now)
        elif host_id in self.placement.connected:
            self.quotas.hosts.add(host_id)
        actions: Actions = [
            events.Log("peer_silent", peer=host_id, silent=silent)
        ]
        if not silent:
            return actions
        return actions + self._retry_elsewhere(
            self.calls.to_host(host_id), now
        )

    def stream_silent(self, stream_id: int, now: float) -> Actions:
        """Retry the requests on a stream whose node responds on another."""
        return self._retry_elsewhere(self.calls.on_stream(stream_id), now)

    def _retry_elsewhere(
        self, overdue: list[pending_request.PendingRequest], now: float
    ) -> Actions:
        """Cancel and retry the idempotent ones of overdue requests."""
        actions: Actions = []
        for pending in overdue:
            if pending.route.idempotent:
                cancel = self._cancel(pending)
                self._close(pending)
                actions += [cancel]
                actions += self._handle_unknown_outcome(
                    pending, 502, "peer-silent", now
                )
        return actions

    def target_state(
        self, host_id: str, message: messages.TargetState, now: float
    ) -> Actions:
        """Store whether a target accepts requests, and its load."""
        peer = self.placement.peer(host_id)
        changed = peer.usable != message.usable
        peer.usable = message.usable
        if _is_load(message.load):
            if message.reason == reasons.PACE:
                peer.update_pace(message.load, now)
            else:
                peer.update_load(message.load, now)
        if message.reason == reasons.ENDING and message.instance:
            self.view.note_end(
                message.instance, host_id, message.started_at_ms, ends.PEER
            )
        if not changed:
            return []
        return [
            events.Log(
                "peer_target",
                peer=host_id,
                usable=message.usable,
                reason=message.reason,
            )
        ]

    def client_disconnected(self, number: int, now: float) -> Actions:
        """Cancel the call of a client that has disconnected."""
        waiting = self.quota_queue.remove(number)
        if waiting is not None:
            self.quotas.leave(_account_name(waiting))
            return [self._log("client_gone", waiting, now)]
        pending = self.calls.by_number.get(number)
        if pending is None:
            return []
        cancel = self._cancel(pending)
        self._close(pending)
        return [cancel, self._log("client_gone", pending, now)]

    def tick(self, now: float) -> Actions:
        """Respond to the requests whose deadline has passed."""
        actions: Actions = self.lease.tick(now) + self._tick_quotas(now)
        while (pending := self.calls.next_expired(now)) is not None:
            peer = self.placement.peer(pending.host_id)
            peer.record_result(True, now)
            cancel = self._cancel(pending)
            self._close(pending)
            actions.append(cancel)
            actions += self._respond(pending, 504, "timeout", now=now)
        return actions

    def end(self, now: float) -> Actions:
        """Respond to the requests that are open when the process ends.

        Their calls go on at the targets, so that their outcome is unknown.
        """
        actions: Actions = []
        for pending in list(self.calls.by_call_id.values()):
            self._close(pending)
            actions += self._respond(pending, 502, "stopping", now=now)
        for pending in self.quota_queue.take_due(math.inf):
            actions += self._give_up(pending, "stopping", now)
        return actions

    def oldest_calls(self) -> dict[int, float]:
        """Return when the oldest open call on each stream was sent."""
        return self.calls.oldest_by_stream()

    def update_retry_budget(self) -> None:
        """Set the retry budget to this node's part of that of the mesh."""
        self.budget.share = RETRY_SHARE * self.settings.retry_share
        self.budget.window_seconds = self.settings.retry_window_seconds
        slack = RETRY_SLACK_SHARE * self.settings.retry_slack
        hosts = {target.host_id for target in self.view.targets.values()}
        # Entries of targets may lapse while the source is away.
        hosts |= self.placement.connected
        reserve = max(MIN_RETRY_RESERVE, slack / len(hosts))
        self.budget.set_reserve(reserve)

    def view_changed(self) -> None:
        """Apply the current view."""
        self.placement.targets_changed()
        self.update_retry_budget()
        self.quotas.hosts.set_known(
            {target.host_id for target in self.view.targets.values()}
        )
        configuration = self.view.configuration
        if configuration is None or configuration is self.configuration:
            return
        self.configuration = configuration
        self.placement.set_routes(configuration.routes)
        names = {route.name for route in configuration.routes}
        self.splitter.keep_only(names)
        self.origins.keep_only(names)
        self.budget.keep_only(set(configuration.services))
        self.quotas.set_accounts(configuration.accounts or ())

    def _dispatch(
        self, pending: pending_request.PendingRequest, now: float
    ) -> Actions:
        target = self._choose_target(pending, now)
        if target is None:
            log = self._log_no_target(pending, now)
            return [log, *self._give_up_without_target(pending, now)]
        self.last_call_id += 1
        pending.call_id = self.last_call_id
        pending.host_id = target.host_id
        pending.stream_id = 0
        pending.target_id = target.id
        pending.target_started_at_ms = target.started_at_ms
        pending.sent_at = now
        pending.tried_hosts.add(target.host_id)
        peer = self.placement.peer(target.host_id)
        peer.open_calls += 1
        peer.sent_since_report += 1
        self.calls.add(pending, pending.deadline + RESPONSE_MARGIN_SECONDS)
        usual_ms = self.placement.usual_times.mean_ms(
            pending.service, pending.route.name
        )
        message = pending.make_forward(self.settings.service, now, usual_ms)
        return [events.Send(target.host_id, message)]

    def _choose_target(
        self, pending: pending_request.PendingRequest, now: float
    ) -> models.Target | None:
        return self.placement.choose(
            self.view.by_service.get(pending.service, ()),
            pending.route,
            self.view.evacuated,
            pending.tried_hosts,
            now,
            ignore_distance=pending.refusals >= LOCAL_REFUSALS,
        )

    def _give_up_without_target(
        self, pending: pending_request.PendingRequest, now: float
    ) -> Actions:
        """Respond to a request that no target may get now."""
        wait = self.placement.rate_limit_wait(
            self.view.by_service.get(pending.service, ()),
            pending.route,
            self.view.evacuated,
            now,
        )
        if wait is None:
            return self._give_up(pending, "no-target", now)
        pending.retry_after = min(pending.retry_after, wait)
        return self._give_up(pending, reasons.RATE_LIMIT, now)

    def _log_no_target(
        self, pending: pending_request.PendingRequest, now: float
    ) -> events.Log:
        """Return the line that says why no target may get a request."""
        targets = self.view.by_service.get(pending.service, ())
        return events.Log(
            "no_target",
            request=pending.request.request_id,
            route=pending.route.name,
            service=pending.service,
            targets=len(targets),
            reasons=self.placement.explain(
                targets,
                pending.route,
                self.view.evacuated,
                pending.tried_hosts,
                now,
            ),
            revision=self.view.revision,
            departed=len(self.view.departed),
            held=len(self.view.pending_removals),
        )

    def _note_run_time(
        self, pending: pending_request.PendingRequest, load: list[int]
    ) -> None:
        """Store the run time of the route that a target states, if any."""
        if len(load) > 6 and load[6] > 0:
            self.placement.usual_times.record(
                pending.service, pending.route.name, pending.host_id, load[6]
            )

    def _note_end(
        self, pending: pending_request.PendingRequest, target_id: str
    ) -> None:
        """Record that the target of a response has announced its end."""
        started_at_ms = 0
        if target_id == pending.target_id:
            started_at_ms = pending.target_started_at_ms
        self.view.note_end(
            target_id, pending.host_id, started_at_ms, ends.RESPONSE
        )

    def _handle_complete(
        self,
        pending: pending_request.PendingRequest,
        message: base_messages.Reply,
        now: float,
    ) -> Actions:
        failed = message.status >= MIN_SERVER_ERROR_STATUS
        peer = self.placement.peer(pending.host_id)
        peer.record_result(failed, now)
        if message.status in NOT_RUN_STATUSES:
            # The target has not stated that the request did not run, so that
            # its status must not promise that to the client.
            return self._handle_unknown_outcome(
                pending, 502, "unstated-refusal", now
            )
        pending.runs += 1
        response = events.Response(
            message.status, message.headers, message.body, from_target=True
        )
        if failed and self._may_retry(pending, now):
            if self.budget.take(pending.service):
                pending.failure_response = response
                reason = f"status-{message.status}"
                return self._retry(pending, reason, now)
        return self._forward_response(pending, response, "", now)

    def _forward_response(
        self,
        pending: pending_request.PendingRequest,
        response: events.Response,
        reason: str,
        now: float,
    ) -> Actions:
        """Send the response of a target to a client.

        reason tells why retries ended with a failure response; it is empty if
        the response is final on its own.
        """
        status = response.status
        return [
            events.Respond(
                pending.request.number,
                response,
                pending.route.name,
                pending.service,
            ),
            self._log("answered", pending, now, status=status, reason=reason),
        ]

    def _handle_not_run(
        self,
        pending: pending_request.PendingRequest,
        message: base_messages.Reply,
        now: float,
    ) -> Actions:
        """Try another target, since this one has not run the request."""
        pending.refusals += 1
        if message.retry_after > 0:
            pending.retry_after = min(pending.retry_after, message.retry_after)
        reason = message.reason
        peer = self.placement.peer(pending.host_id)
        if reason in reasons.UNAVAILABLE:
            self.placement.suspend(pending.host_id, SUSPEND_SECONDS, now)
        if reason == reasons.RATE_LIMIT:
            peer.record_rate_refusal(
                pending.route.priority, message.retry_after, now
            )
        if reason in reasons.REJECTED:
            pending.rejections += 1
        if reason == reasons.SHED:
            peer.record_result(True, now)
        if message.status == 429:
            return self._give_up(pending, reason, now)
        if reason in reasons.OVERLOAD:
            pending.overload_refusals += 1
        if self._is_refused_for_good(pending, now):
            return self._give_up(pending, reason, now)
        if reason in reasons.REJECTED:
            if not self.budget.take(pending.service):
                return self._give_up(pending, "retry-budget", now)
        log = self._log("not_run", pending, now, reason=reason)
        return [log, *self._dispatch(pending, now)]

    def _is_refused_for_good(
        self, pending: pending_request.PendingRequest, now: float
    ) -> bool:
        """Return whether further targets would probably refuse as well."""
        if pending.refusals > MAX_REFUSALS:
            return True
        if pending.overload_refusals < MAX_OVERLOAD_REFUSALS:
            return False
        targets = self.view.by_service.get(pending.service, ())
        if not self.placement.has_rate_limit(targets):
            return True
        target = self._choose_target(pending, now)
        return target is None or not self.placement.has_room(target, now)

    def _handle_unknown_outcome(
        self,
        pending: pending_request.PendingRequest,
        status: int,
        reason: str,
        now: float,
    ) -> Actions:
        """Retry a request that may have run if it is idempotent."""
        pending.runs += 1
        if self._may_retry(pending, now):
            if self.budget.take(pending.service):
                return self._retry(pending, reason, now)
        return self._respond(pending, status, reason, now=now)

    def _may_retry(
        self, pending: pending_request.PendingRequest, now: float
    ) -> bool:
        if not pending.route.idempotent:
            return False
        if pending.runs >= pending.route.attempts:
            return False
        return now + MIN_RETRY_SECONDS < pending.deadline

    def _retry(
        self, pending: pending_request.PendingRequest, reason: str, now: float
    ) -> Actions:
        log = self._log("repeated", pending, now, reason=reason)
        return [log, *self._dispatch(pending, now)]

    def _give_up(
        self, pending: pending_request.PendingRequest, reason: str, now: float
    ) -> Actions:
        """Respond with 503 if no target can have run the request, else 502."""
        if pending.runs:
            return self._respond(pending, 502, reason, now=now)
        if pending.has_token:
            pending.has_token = False
            self.quotas.give_back(_account_name(pending), now)
        retry_after = pending.retry_after
        if math.isinf(retry_after):
            retry_after = NO_TARGET_RETRY_AFTER_SECONDS
        return self._respond(pending, 503, reason, retry_after, now=now)

    def _respond(
        self,
        pending: pending_request.PendingRequest,
        status: int,
        reason: str,
        retry_after: float = 0.0,
        now: float = 0.0,
    ) -> Actions:
        """Respond with an earlier failure of a target or a local error."""
        if pending.failure_response is not None:
            return self._forward_response(
                pending, pending.failure_response, reason, now
            )
        response = _local_response(status, reason, retry_after)
        return [
            events.Respond(
                pending.request.number,
                response,
                pending.route.name,
                pending.service,
            ),
            self._log("failed", pending, now, status=status, reason=reason),
        ]

    def _refuse(
        self,
        request: events.Request,
        status: int,
        reason: str,
        retry_after: float = 0.0,
    ) -> Actions:
        response = _local_response(status, reason, retry_after)
        return [
            events.Respond(request.number, response),
            events.Log(
                "rejected",
                request=request.request_id,
                method=request.method,
                path=request.path,
                status=status,
                reason=reason,
                routed_by=self.routing_version,
                operator_revision=self.view.operator_position.revision,
            ),
        ]

    def _close(self, pending: pending_request.PendingRequest) -> None:
        self.calls.remove(pending)
        self.placement.peer(pending.host_id).open_calls -= 1

    def _cancel(self, pending: pending_request.PendingRequest) -> events.Send:
        return events.Send(
            pending.host_id, base_messages.Cancel(pending.call_id)
        )

    def _log(
        self,
        event: str,
        pending: pending_request.PendingRequest,
        now: float,
        **values: Any,
    ) -> events.Log:
        peer = self.placement.peer(pending.host_id)
        return events.Log(
            event,
            request=pending.request.request_id,
            route=pending.route.name,
            service=pending.service,
            peer=pending.host_id,
            target=pending.target_id,
            load=round(peer.load, 1),
            limit=peer.limit,
            load_age=round(min(now - peer.reported_at, 99.0), 3),
            runs=pending.runs,
            refusals=pending.refusals,
            remaining=round(pending.deadline - now, 3),
            took=round(now - pending.request.received_at, 4),
            **values,
        )


def _account_name(pending: pending_request.PendingRequest) -> str:
    return pending.account.name if pending.account else ""


def _local_response(
    status: int, reason: str, retry_after: float
) -> events.Response:
    """Return a response that this node generates itself."""
    return events.Response(status, [], b"", reason, retry_after=retry_after)


def _is_load(values: list[Any]) -> bool:
    return (
        len(values) >= 3
        and all(type(value) is int for value in values)
        and min(values) >= 0
    )


def bounded_remaining(message: messages.Forward) -> float:
    """Return the remaining time of a call, limited to the maximum allowed."""
    if math.isnan(message.remaining):
        return 0.0
    return min(message.remaining, deadlines.MAX_CALL_SECONDS)
