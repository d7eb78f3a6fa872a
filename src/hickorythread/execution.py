"""Admit, queue and run calls at the node that owns a target.

Log events, counters and error messages call a target an upstream.
"""

import collections
from collections.abc import Callable
from typing import Any

from hickorythread import admission
from hickorythread import deadlines
from hickorythread import events
from hickorythread import exceptions
from hickorythread import idempotency
from hickorythread import interfaces
from hickorythread import messages
from hickorythread import models
from hickorythread import quarantine
from hickorythread import routing
from hickorythread import settings as settings_module

CRASH_REPORT_TIMEOUT_SECONDS = 0.3
CANCEL_GRACE_SECONDS = 5.0
OVERLOAD_STATUSES = (429, 503)
MAX_REFUSED_CALLS = 4096

Waiter = idempotency.Waiter


class Run:
    """Hold an accepted call whose outcome is not known yet."""

    __slots__ = (
        "run_id",
        "call",
        "match",
        "waiter",
        "record",
        "exclusive",
        "started_at",
        "generation",
        "report",
        "cancelled",
    )

    def __init__(
        self,
        call: messages.Call,
        match: routing.RouteMatch,
        waiter: Waiter,
        record: idempotency.KeyRecord | None,
        exclusive: bool,
    ) -> None:
        self.run_id = 0
        self.call = call
        self.match = match
        self.waiter = waiter
        self.record = record
        self.exclusive = exclusive
        self.started_at = 0.0
        self.generation = 0
        self.report: PendingReport | None = None
        self.cancelled = False

    def fingerprint(self) -> bytes:
        """Return the digest that identifies the request in the quarantine."""
        call = self.call
        return quarantine.fingerprint(
            self.match.service.name, call.method, call.path, call.body
        )


class PendingReport:
    """Hold a crash report and the peers that have not acknowledged it."""

    __slots__ = ("report_id", "unacknowledged", "expires_at", "run")

    def __init__(
        self, report_id: int, unacknowledged: set[str], expires_at: float
    ) -> None:
        self.report_id = report_id
        self.unacknowledged = unacknowledged
        self.expires_at = expires_at
        self.run: Run | None = None


class ExecutionPlane:
    """Admit the calls of one target and reply with their outcomes.

    may_admit, if set, is called before each new call, so that a process
    that was paused detects an expired lease before its next tick.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        random_source: interfaces.RandomSource,
        incarnation: int,
        now: float,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.keys = idempotency.KeyStore(
            settings.host_id, incarnation, random_source
        )
        self.quarantine = quarantine.Quarantine()
        self.admission = admission.Admission(
            models.Service(settings.service, 1, 1)
        )
        self.may_admit: Callable[[float], bool] | None = None
        self.index: routing.RouteIndex | None = None
        self.domain: models.FailureDomain | None = None
        self.peers: dict[str, str] = {}
        self.runs: dict[int, Run] = {}
        self.accepted: dict[Waiter, Run] = {}
        self.refused: dict[Waiter, float] = {}
        self.reports: dict[int, PendingReport] = {}
        self.last_run_id = 0
        self.last_report_id = 0
        self.crashes = 0
        self.target_started_at = 0
        self.lease_block_reason = ""
        self.leaving = False
        self.draining = False
        self.counters: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        random_source: interfaces.RandomSource,
        incarnation: int,
        now: float,
    ) -> "ExecutionPlane":
        """Return the execution plane of a node that has just started."""
        return cls(settings, random_source, incarnation, now)

    @property
    def idle(self) -> bool:
        """Return whether no call or crash report is outstanding."""
        return not (self.runs or self.accepted or self.reports)

    def call(
        self, peer: events.Peer, message: messages.Call, now: float
    ) -> list[events.Record]:
        """Run, queue or refuse a call, or replay its stored outcome."""
        waiter = (peer.host_id, message.call_id)
        if waiter in self.accepted or waiter in self.refused:
            self.counters["repeated_call"] += 1
            return []
        message.deadline = deadlines.bound_deadline(message.deadline, now)
        match = self._match_route(message)
        record = None
        if message.key:
            record = self.keys.find(message.key, now)
            if record is None:
                return self._answer_without_record(waiter, message, now)
            if record.state != idempotency.CHART.initial:
                return self._replay(waiter, message, match, record)
        verdict = self._verdict(message, match, now)
        if isinstance(verdict, exceptions.Refusal):
            return self._refuse_call(waiter, message, record, verdict, now)
        assert isinstance(match, routing.RouteMatch)
        exclusive = verdict == quarantine.ALONE
        run = Run(message, match, waiter, record, exclusive)
        if self.admission.is_free(now, exclusive):
            actions = [self._placement_log(run, "run")]
            self._accept(run)
            return self._start(run, actions, now)
        return self._enqueue(run, now)

    def issue_key(
        self, peer: events.Peer, message: messages.IssueKey, now: float
    ) -> list[events.Record]:
        """Issue an idempotency key for a request to this node's service."""
        reason = self._new_work_block_reason(now)
        if not reason and message.service != self.settings.service:
            reason = "other-service"
        key = None if reason else self.keys.issue(now)
        if key is None:
            reason = reason or "key-table-full"
        issued = messages.KeyIssued(
            message.call_id, key or "", reason, self.admission.load()
        )
        return [
            events.SendReply(peer.host_id, issued),
            events.Log("key_issued", issued=key is not None, reason=reason),
        ]

    def cancel(
        self, peer: events.Peer, call_id: int, now: float
    ) -> list[events.Record]:
        """Cancel a call whose caller has disconnected.

        A keyed request that is already running completes, since its caller
        may send the key again to learn the outcome.
        """
        return self._cancel_call((peer.host_id, call_id), now)

    def peer_lost(self, host_id: str, now: float) -> list[events.Record]:
        """Cancel the calls of a lost peer and stop waiting for its acks."""
        waiters = [item for item in self.accepted if item[0] == host_id]
        actions = self.calls_lost(waiters, now)
        for report in list(self.reports.values()):
            if host_id in report.unacknowledged:
                actions += self._handle_ack(report, host_id, now)
        return actions

    def calls_lost(
        self, waiters: list[Waiter], now: float
    ) -> list[events.Record]:
        """Cancel calls whose replies have no stream any more."""
        actions: list[events.Record] = []
        for waiter in waiters:
            actions += self._cancel_call(waiter, now)
        return actions

    def target_event(
        self,
        event: events.TargetAnswered | events.TargetFailed,
        now: float,
    ) -> list[events.Record]:
        """Reply to the callers of a finished run and start queued calls."""
        run = self.runs.pop(event.run_id, None)
        if run is None:
            self.counters["late_upstream"] += 1
            return [events.Log("late_upstream", run=event.run_id)]
        if isinstance(event, events.TargetAnswered):
            actions = self._handle_response(run, event, now)
        else:
            actions = self._handle_failure(run, event.kind, now)
        return self._start_queued(actions, now)

    def crash_report(
        self, peer: events.Peer, message: messages.CrashReport, now: float
    ) -> list[events.Record]:
        """Record a crash that another node observed."""
        if (
            len(message.fingerprint) != quarantine.FINGERPRINT_BYTES
            or len(message.victim) > quarantine.MAX_VICTIM_CHARS
        ):
            self.counters["malformed_report"] += 1
            return []
        if message.service == self.settings.service:
            self.quarantine.add_victim(
                message.fingerprint, message.victim, now
            )
        ack = messages.CrashAck(message.report_id)
        return [
            events.SendReply(peer.host_id, ack),
            events.Log("crash_reported", victim=message.victim),
        ]

    def crash_ack(
        self, peer: events.Peer, message: messages.CrashAck, now: float
    ) -> list[events.Record]:
        """Record that a peer acknowledged a crash report."""
        report = self.reports.get(message.report_id)
        if report is None or peer.host_id not in report.unacknowledged:
            return []
        return self._handle_ack(report, peer.host_id, now)

    def tick(self, now: float) -> list[events.Record]:
        """Process timeouts and expiries; called at least every 0.1 s."""
        self.keys.expire(now)
        self.quarantine.expire(now)
        if self.refused:
            self._forget_refused(now)
        actions: list[events.Record] = []
        for queued_call in self.admission.remove_expired(now):
            actions += self._shed(queued_call.item, "waited-too-long", now)
        for report in list(self.reports.values()):
            if now >= report.expires_at:
                actions += self._close_report(report, now)
        for run in list(self.runs.values()):
            actions += self._cancel_overdue(run, now)
        return self._start_queued(actions, now)

    def configuration_changed(
        self, configuration: models.Configuration, now: float
    ) -> None:
        """Apply a new version of the configuration."""
        self.index = routing.index_of(configuration)
        service = configuration.services.get(self.settings.service)
        if service is not None and service is not self.admission.service:
            self.admission.change_service(service)
        old = self.domain
        domain = configuration.failure_domains.get(
            self.settings.failure_domain
        )
        self.domain = domain
        if old is not None and domain is not None and domain.state == "in":
            # A different changed_version shows a removal that this node
            # missed, although the state is "in" both times.
            if (
                old.state != "in"
                or old.changed_version != domain.changed_version
            ):
                self.admission.start_cold()
        self.keys.drop_disallowed_responses(
            self.settings.region, configuration
        )

    def hosts_changed(
        self, changed: list[models.Host], removed: list[str], now: float
    ) -> None:
        """Apply changes of the host list."""
        for host_id in removed:
            self.peers.pop(host_id, None)
        for host in changed:
            if host.id == self.settings.host_id:
                self.leaving = host.state != "live"
            elif host.service == self.settings.service:
                self.peers[host.id] = host.region
            else:
                self.peers.pop(host.id, None)

    def set_admitting(
        self, allowed: bool, reason: str, now: float
    ) -> list[events.Record]:
        """Allow or stop new work, depending on the lease."""
        self.lease_block_reason = "" if allowed else reason or "lease-expired"
        return self._shed_queue_if_blocked(now)

    def drain(self, now: float) -> list[events.Record]:
        """Refuse new calls from now on; accepted calls complete."""
        self.draining = True
        return [events.Log("draining", accepted=len(self.accepted))]

    def _match_route(
        self, call: messages.Call
    ) -> routing.RouteMatch | exceptions.Refusal:
        if self.index is None:
            return exceptions.Refusal(503, "starting", "no configuration", 1.0)
        if not messages.is_header_list(call.headers):
            return exceptions.Refusal(400, "headers", "malformed headers")
        match = self.index.find(call.method, call.path, call.tenant)
        if isinstance(match, exceptions.Refusal):
            return match
        if not match.allows(self.settings.region):
            return exceptions.Refusal(
                421,
                "home-region",
                "region is not a home region of the request",
            )
        if match.service.name != self.settings.service:
            return exceptions.Refusal(
                503, "other-service", "route now belongs to another service"
            )
        return match

    def _new_work_block_reason(self, now: float) -> str:
        if self.draining:
            return "draining"
        if self.leaving:
            return "leaving"
        return self._all_work_block_reason(now)

    def _all_work_block_reason(self, now: float) -> str:
        if self.domain is None or self.domain.state != "in":
            return "domain-out"
        if self.may_admit is not None and not self.may_admit(now):
            return "lease-expired"
        return self.lease_block_reason

    def _verdict(
        self,
        call: messages.Call,
        match: routing.RouteMatch | exceptions.Refusal,
        now: float,
    ) -> exceptions.Refusal | str:
        if isinstance(match, exceptions.Refusal):
            return match
        reason = self._new_work_block_reason(now)
        if reason:
            return exceptions.Refusal(
                503, reason, "node admits no new calls", 1.0
            )
        if now >= call.deadline:
            return exceptions.Refusal(504, "deadline", "deadline passed")
        if not (call.key or match.route.idempotent):
            return exceptions.Refusal(
                503, "key-required", "route now requires a key"
            )
        if not self.quarantine.suspects:
            return quarantine.RUN
        name = match.service.name
        fingerprint = quarantine.fingerprint(
            name, call.method, call.path, call.body
        )
        verdict = self.quarantine.verdict(fingerprint, now)
        if verdict != quarantine.REFUSE:
            return verdict
        seconds = self.quarantine.retry_after(fingerprint, now)
        return exceptions.Refusal(
            429, "quarantined", "request crashed an upstream", seconds
        )

    def _answer_without_record(
        self, waiter: Waiter, call: messages.Call, now: float
    ) -> list[events.Record]:
        key = idempotency.Key.parse(call.key)
        if key is None or self.keys.was_never_issued(key, now):
            refusal = exceptions.Refusal(
                400, "key-not-issued", "key was never issued"
            )
            return [self._refusal_reply(waiter, refusal)]
        reason = "key-expired"
        if not self.keys.is_own(key):
            reason = "owner-replaced"
        return [
            self._build_reply(waiter, messages.UNKNOWN, 503, reason),
            events.Log("key_without_record", reason=reason),
        ]

    def _replay(
        self,
        waiter: Waiter,
        call: messages.Call,
        match: routing.RouteMatch | exceptions.Refusal,
        record: idempotency.KeyRecord,
    ) -> list[events.Record]:
        if record.body_digest != _request_digest(call):
            refusal = exceptions.Refusal(
                422, "other-body", "key was used for another request"
            )
            return [self._refusal_reply(waiter, refusal)]
        if isinstance(match, exceptions.Refusal) and match.status == 421:
            return [
                self._build_reply(waiter, messages.UNKNOWN, 421, match.reason)
            ]
        if record.waiters is not None:
            if len(record.waiters) >= idempotency.MAX_WAITERS:
                return [
                    self._build_reply(waiter, messages.UNKNOWN, 503, "waiters")
                ]
            if waiter not in record.waiters:
                record.waiters.append(waiter)
            return []
        if record.response is not None:
            return [self._completion_reply(waiter, record.response)]
        if record.state == "refused":
            refusal = exceptions.Refusal(
                503, "refused", "request of this key was refused"
            )
            return [self._refusal_reply(waiter, refusal)]
        return [self._build_reply(waiter, messages.UNKNOWN, 503, "unknown")]

    def _refuse_call(
        self,
        waiter: Waiter,
        call: messages.Call,
        record: idempotency.KeyRecord | None,
        refusal: exceptions.Refusal,
        now: float,
    ) -> list[events.Record]:
        if record is not None:
            self.keys.refuse(record, _request_digest(call), now)
        else:
            self._remember_refused(waiter, call)
        return [
            self._refusal_reply(waiter, refusal),
            events.Log(
                "call_refused",
                route=call.route,
                status=refusal.status,
                reason=refusal.reason,
            ),
        ]

    def _remember_refused(self, waiter: Waiter, call: messages.Call) -> None:
        # A duplicate of a refused call must not run. Its deadline bounds how
        # long the entry is needed: later duplicates are refused as late.
        if len(self.refused) >= MAX_REFUSED_CALLS:
            del self.refused[next(iter(self.refused))]
        self.refused[waiter] = call.deadline

    def _forget_refused(self, now: float) -> None:
        expired = [
            item for item, until in self.refused.items() if until <= now
        ]
        for waiter in expired:
            del self.refused[waiter]

    def _accept(self, run: Run) -> None:
        self.accepted[run.waiter] = run
        if run.record is not None:
            self.keys.begin(run.record, _request_digest(run.call), run.match)

    def _enqueue(self, run: Run, now: float) -> list[events.Record]:
        call = run.call
        wait = min(admission.MAX_WAIT_SECONDS, (call.deadline - now) / 2)
        queued_call = admission.QueuedCall(
            run,
            call.tenant,
            run.match.weight,
            run.match.route.priority == "write",
            run.exclusive,
            now + wait,
        )
        refusal, evicted = self.admission.enqueue(queued_call, now)
        if refusal is not None:
            return self._refuse_call(
                run.waiter, call, run.record, refusal, now
            )
        actions = [self._placement_log(run, "queue")]
        self._accept(run)
        if evicted is not None:
            actions += self._shed(evicted.item, "evicted", now)
        return self._start_queued(actions, now)

    def _start(
        self, run: Run, actions: list[events.Record], now: float
    ) -> list[events.Record]:
        call = run.call
        self.last_run_id += 1
        run.run_id = self.last_run_id
        run.started_at = now
        run.generation = self.admission.generation
        self.admission.started(now, run.exclusive)
        self.runs[run.run_id] = run
        headers = call.headers
        if call.attempt > 0:
            headers = [*headers, ["X-Retry-Attempt", str(call.attempt)]]
        actions.append(
            events.RunOnTarget(
                run.run_id,
                call.method,
                call.path,
                headers,
                call.body,
                call.deadline,
            )
        )
        return actions

    def _start_queued(
        self, actions: list[events.Record], now: float
    ) -> list[events.Record]:
        if not self.admission.queued:
            return actions
        actions += self._shed_queue_if_blocked(now)
        while (queued_call := self.admission.pop_ready(now)) is not None:
            run: Run = queued_call.item
            if now >= queued_call.expires_at:
                actions += self._shed(run, "waited-too-long", now)
            else:
                self._start(run, actions, now)
        return actions

    def _shed_queue_if_blocked(self, now: float) -> list[events.Record]:
        # A draining or leaving node still runs the calls that it has queued.
        reason = self._all_work_block_reason(now)
        if not reason:
            return []
        actions: list[events.Record] = []
        for queued_call in self.admission.remove_if(lambda queued_call: True):
            actions += self._shed(queued_call.item, reason, now)
        return actions

    def _shed(self, run: Run, reason: str, now: float) -> list[events.Record]:
        actions = self._settle_not_run(
            run, self.admission.refusal(reason), now
        )
        route = run.match.route.name
        actions.append(events.Log("call_shed", route=route, reason=reason))
        return actions

    def _cancel_call(self, waiter: Waiter, now: float) -> list[events.Record]:
        run = self.accepted.get(waiter)
        if run is None or run.cancelled:
            return []
        if run.run_id == 0:
            taken = self.admission.remove_if(lambda item: item.item is run)
            actions: list[events.Record] = []
            for _ in taken:
                actions += self._shed(run, "cancelled", now)
            return self._start_queued(actions, now)
        if run.record is not None or run.run_id not in self.runs:
            return []
        run.cancelled = True
        return [events.CancelOnTarget(run.run_id)]

    def _handle_response(
        self, run: Run, event: events.TargetAnswered, now: float
    ) -> list[events.Record]:
        actions: list[events.Record] = []
        if self._detect_restart(event.started_at):
            self.admission.start_cold()
            actions.append(events.Log("upstream_cold", reason="restarted"))
        if event.status >= 500 or event.status in OVERLOAD_STATUSES:
            overloaded = event.status in OVERLOAD_STATUSES
            self.admission.failed(run.generation, now, overloaded)
        elif self.admission.succeeded(
            run.match.route.name, now - run.started_at, run.generation, now
        ):
            actions.append(events.Log("upstream_cold", reason="latency"))
        if run.exclusive:
            self.quarantine.clear(run.fingerprint())
        response = (event.status, event.headers, event.body)
        waiters = self._take_waiters(run)
        if run.record is not None:
            self.keys.finish(run.record, response, now)
        replies = [
            self._completion_reply(waiter, response) for waiter in waiters
        ]
        return replies + actions

    def _detect_restart(self, started_at: int) -> bool:
        if started_at == 0 or started_at == self.target_started_at:
            return False
        known = self.target_started_at != 0
        self.target_started_at = started_at
        return known

    def _handle_failure(
        self, run: Run, kind: str, now: float
    ) -> list[events.Record]:
        if kind == "timeout":
            self.admission.failed(run.generation, now, overloaded=True)
        else:
            self.admission.ended(lost=kind != "late")
        if kind == "late":
            refusal = exceptions.Refusal(504, "deadline", "deadline passed")
            return self._settle_not_run(run, refusal, now)
        if kind == "connect":
            if run.generation == self.admission.generation:
                self.admission.start_cold()
            refusal = exceptions.Refusal(
                503, "connect", "upstream refused the connection", 1.0
            )
            return self._settle_not_run(run, refusal, now)
        if kind == "lost":
            return self._handle_crash(run, now)
        status = 504 if kind == "timeout" else 503
        return self._settle_unknown(run, status, kind, now)

    def _handle_crash(self, run: Run, now: float) -> list[events.Record]:
        actions: list[events.Record] = []
        if run.report is None:
            actions = self._report_crash(run, now)
            if run.generation == self.admission.generation:
                self.admission.start_cold()
        report = run.report
        if report is None or not report.unacknowledged:
            if report is not None:
                self.reports.pop(report.report_id, None)
            return actions + self._settle_unknown(run, 503, "crashed", now)
        report.run = run
        return actions

    def _report_crash(self, run: Run, now: float) -> list[events.Record]:
        self.crashes += 1
        victim = f"{self.settings.host_id}~{self.incarnation}~{self.crashes}"
        actions: list[events.Record] = []
        for suspect in [run, *self.runs.values()]:
            if suspect.report is not None:
                continue
            fingerprint = suspect.fingerprint()
            self.quarantine.add_victim(fingerprint, victim, now)
            peers = [
                host_id
                for host_id, region in self.peers.items()
                if suspect.match.allows(region)
            ]
            self.last_report_id += 1
            suspect.report = PendingReport(
                self.last_report_id,
                set(peers),
                now + CRASH_REPORT_TIMEOUT_SECONDS,
            )
            if not peers:
                continue
            self.reports[self.last_report_id] = suspect.report
            message = messages.CrashReport(
                self.last_report_id,
                fingerprint,
                victim,
                self.settings.service,
            )
            actions.append(events.ReportCrash(peers, message))
        actions.append(events.Log("upstream_crashed", victim=victim))
        return actions

    def _handle_ack(
        self, report: PendingReport, host_id: str, now: float
    ) -> list[events.Record]:
        report.unacknowledged.discard(host_id)
        return [] if report.unacknowledged else self._close_report(report, now)

    def _close_report(
        self, report: PendingReport, now: float
    ) -> list[events.Record]:
        self.reports.pop(report.report_id, None)
        report.unacknowledged.clear()
        if report.run is None:
            return []
        return self._settle_unknown(report.run, 503, "crashed", now)

    def _cancel_overdue(self, run: Run, now: float) -> list[events.Record]:
        deadline = run.call.deadline
        if now < deadline:
            return []
        actions: list[events.Record] = []
        if not run.cancelled:
            run.cancelled = True
            actions.append(events.CancelOnTarget(run.run_id))
        if now >= deadline + CANCEL_GRACE_SECONDS:
            del self.runs[run.run_id]
            actions += self._handle_failure(run, "timeout", now)
        return actions

    def _settle_not_run(
        self, run: Run, refusal: exceptions.Refusal, now: float
    ) -> list[events.Record]:
        waiters = self._take_waiters(run)
        if run.record is not None:
            self.keys.refuse(run.record, run.record.body_digest, now)
        else:
            self._remember_refused(run.waiter, run.call)
        return [self._refusal_reply(waiter, refusal) for waiter in waiters]

    def _settle_unknown(
        self, run: Run, status: int, reason: str, now: float
    ) -> list[events.Record]:
        waiters = self._take_waiters(run)
        if run.record is not None:
            self.keys.lose(run.record, now)
        return [
            self._build_reply(waiter, messages.UNKNOWN, status, reason)
            for waiter in waiters
        ]

    def _take_waiters(self, run: Run) -> list[Waiter]:
        del self.accepted[run.waiter]
        if run.record is None or not run.record.waiters:
            return [run.waiter]
        return [run.waiter, *run.record.waiters]

    def _placement_log(self, run: Run, decision: str) -> events.Record:
        return events.Log(
            "call_placed",
            route=run.call.route,
            decision=decision,
            in_flight=self.admission.in_flight,
            limit=self.admission.effective_limit,
        )

    def _completion_reply(
        self, waiter: Waiter, response: idempotency.StoredResponse
    ) -> events.Record:
        status, headers, body = response
        return self._build_reply(
            waiter, messages.COMPLETE, status, "", headers, body
        )

    def _refusal_reply(
        self, waiter: Waiter, refusal: exceptions.Refusal
    ) -> events.Record:
        return self._build_reply(
            waiter,
            messages.NOT_RUN,
            refusal.status,
            refusal.reason,
            retry_after=refusal.retry_after_seconds,
        )

    def _build_reply(
        self,
        waiter: Waiter,
        outcome: str,
        status: int,
        reason: str,
        headers: list[Any] | None = None,
        body: bytes = b"",
        retry_after: float = 0.0,
    ) -> events.Record:
        host_id, call_id = waiter
        message = messages.Reply(
            call_id,
            outcome,
            status,
            headers or [],
            body,
            len(body),
            reason,
            retry_after,
            self.admission.load(),
        )
        return events.SendReply(host_id, message)


def _request_digest(call: messages.Call) -> bytes:
    return idempotency.body_digest(
        call.tenant, call.method, call.path, call.body
    )
