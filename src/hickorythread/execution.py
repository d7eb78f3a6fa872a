"""Run calls at the node beside an upstream: a call's life cycle."""

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

REPORT_SECONDS = 0.3
OVERDUE_SECONDS = 5.0
REFUSING_STATUSES = (429, 503)
MAX_REFUSED = 4096

Waiter = idempotency.Waiter


class Run:
    """Hold one accepted call until its outcome is known."""

    __slots__ = (
        "run_id",
        "call",
        "match",
        "waiter",
        "record",
        "alone",
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
        alone: bool,
    ) -> None:
        self.run_id = 0
        self.call = call
        self.match = match
        self.waiter = waiter
        self.record = record
        self.alone = alone
        self.started_at = 0.0
        self.generation = 0
        self.report: Report | None = None
        self.cancelled = False

    def fingerprint(self) -> bytes:
        """Return the digest that recognizes the request."""
        call = self.call
        return quarantine.fingerprint(
            self.match.service.name, call.method, call.path, call.body
        )


class Report:
    """Hold a crash report until its receivers have acknowledged it."""

    __slots__ = ("report_id", "waiting", "due", "run")

    def __init__(self, report_id: int, waiting: set[str], due: float) -> None:
        self.report_id = report_id
        self.waiting = waiting
        self.due = due
        self.run: Run | None = None


class ExecutionPlane:
    """Admit calls for one upstream and answer them with a true outcome.

    may_admit, if set, is asked before each new call, so that a process
    that was paused notices an expired lease before its next tick.
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
        self.reports: dict[int, Report] = {}
        self.last_run_id = 0
        self.last_report_id = 0
        self.crashes = 0
        self.upstream_started_at = 0
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
        """Build the plane of a node that has just started."""
        return cls(settings, random_source, incarnation, now)

    @property
    def idle(self) -> bool:
        """Return whether nothing is in flight and nothing is queued."""
        return not (self.runs or self.accepted or self.reports)

    def call(
        self, peer: events.Peer, message: messages.Call, now: float
    ) -> list[events.Record]:
        """Admit, queue, replay or refuse a call."""
        waiter = (peer.host_id, message.call_id)
        if waiter in self.accepted or waiter in self.refused:
            self.counters["repeated_call"] += 1
            return []
        message.deadline = deadlines.bound_deadline(message.deadline, now)
        match = self._match(message)
        record = None
        if message.key:
            record = self.keys.find(message.key, now)
            if record is None:
                return self._answer_without_record(waiter, message, now)
            if record.state != idempotency.CHART.initial:
                return self._replay(waiter, message, match, record)
        verdict = self._verdict(message, match, now)
        if isinstance(verdict, exceptions.Refusal):
            return self._refuse_new(waiter, message, record, verdict, now)
        assert isinstance(match, routing.RouteMatch)
        alone = verdict == quarantine.ALONE
        run = Run(message, match, waiter, record, alone)
        if self.admission.is_free(now, alone):
            actions = [self._placed(run, "run")]
            self._accept(run)
            return self._start(run, actions, now)
        return self._enqueue(run, now)

    def issue_key(
        self, peer: events.Peer, message: messages.IssueKey, now: float
    ) -> list[events.Record]:
        """Issue a key for one request of this upstream's service."""
        reason = self._blocked(now)
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
        """Give up a call whose caller has gone.

        A keyed request that is running completes, as its caller may ask
        for the outcome with the same key.
        """
        return self._give_up((peer.host_id, call_id), now)

    def peer_lost(self, host_id: str, now: float) -> list[events.Record]:
        """Give up the calls of an entry node, and do not await its acks."""
        actions: list[events.Record] = []
        for waiter in [key for key in self.accepted if key[0] == host_id]:
            actions += self._give_up(waiter, now)
        for report in list(self.reports.values()):
            if host_id in report.waiting:
                actions += self._acknowledged(report, host_id, now)
        return actions

    def upstream_event(
        self,
        event: events.UpstreamAnswered | events.UpstreamFailed,
        now: float,
    ) -> list[events.Record]:
        """Answer the callers of a run that ended and start waiting calls."""
        run = self.runs.pop(event.run_id, None)
        if run is None:
            self.counters["late_upstream"] += 1
            return [events.Log("late_upstream", run=event.run_id)]
        if isinstance(event, events.UpstreamAnswered):
            actions = self._answered(run, event, now)
        else:
            actions = self._failed(run, event.kind, now)
        return self._dispatch(actions, now)

    def crash_report(
        self, peer: events.Peer, message: messages.CrashReport, now: float
    ) -> list[events.Record]:
        """Remember a crash that another node observed."""
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
        """Note that a node knows of a crash."""
        report = self.reports.get(message.report_id)
        if report is None or peer.host_id not in report.waiting:
            return []
        return self._acknowledged(report, peer.host_id, now)

    def tick(self, now: float) -> list[events.Record]:
        """Carry out what is due; called at least every 0.1 s."""
        self.keys.expire(now)
        self.quarantine.expire(now)
        if self.refused:
            self._forget_refused(now)
        actions: list[events.Record] = []
        for waiting in self.admission.take_expired(now):
            actions += self._shed(waiting.item, "waited-too-long", now)
        for report in list(self.reports.values()):
            if now >= report.due:
                actions += self._close_report(report, now)
        for run in list(self.runs.values()):
            actions += self._overdue(run, now)
        return self._dispatch(actions, now)

    def configuration_changed(
        self, configuration: models.Configuration, now: float
    ) -> None:
        """Put a new version in force."""
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
            # A changed version shows a removal that this node has missed.
            if (
                old.state != "in"
                or old.changed_version != domain.changed_version
            ):
                self.admission.start_cold()
        self.keys.keep_responses_in(self.settings.region, configuration)

    def hosts_changed(
        self, changed: list[models.Host], removed: list[str], now: float
    ) -> None:
        """Put changed hosts in force."""
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
        """Allow or stop new work, as the lease says."""
        self.lease_block_reason = "" if allowed else reason or "lease-expired"
        return self._flush_if_blocked(now)

    def drain(self, now: float) -> list[events.Record]:
        """Refuse new calls from now on and complete the others."""
        self.draining = True
        return [events.Log("draining", accepted=len(self.accepted))]

    def _match(
        self, call: messages.Call
    ) -> routing.RouteMatch | exceptions.Refusal:
        if self.index is None:
            return exceptions.Refusal(503, "starting", "no configuration", 1.0)
        if not messages.are_headers(call.headers):
            return exceptions.Refusal(400, "headers", "malformed headers")
        match = self.index.find(call.method, call.path, call.tenant)
        if isinstance(match, exceptions.Refusal):
            return match
        if not match.allows(self.settings.region):
            return exceptions.Refusal(421, "home-region", "not a home region")
        if match.service.name != self.settings.service:
            return exceptions.Refusal(503, "other-service", "route changed")
        return match

    def _blocked(self, now: float) -> str:
        if self.draining:
            return "draining"
        if self.leaving:
            return "leaving"
        return self._closed(now)

    def _closed(self, now: float) -> str:
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
        reason = self._blocked(now)
        if reason:
            return exceptions.Refusal(503, reason, "no new work", 1.0)
        if now >= call.deadline:
            return exceptions.Refusal(504, "deadline", "deadline passed")
        if not (call.key or match.route.idempotent):
            return exceptions.Refusal(503, "key-required", "route changed")
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
        return exceptions.Refusal(429, "quarantined", "crashed", seconds)

    def _answer_without_record(
        self, waiter: Waiter, call: messages.Call, now: float
    ) -> list[events.Record]:
        key = idempotency.Key.parse(call.key)
        if key is None or self.keys.was_never_issued(key, now):
            refusal = exceptions.Refusal(400, "key-not-issued", "unknown key")
            return [self._refuse(waiter, refusal)]
        reason = "key-expired"
        if not self.keys.is_own(key):
            reason = "owner-replaced"
        return [
            self._reply(waiter, messages.UNKNOWN, 503, reason),
            events.Log("key_without_record", reason=reason),
        ]

    def _replay(
        self,
        waiter: Waiter,
        call: messages.Call,
        match: routing.RouteMatch | exceptions.Refusal,
        record: idempotency.KeyRecord,
    ) -> list[events.Record]:
        if record.body_digest != _digest(call):
            refusal = exceptions.Refusal(422, "other-body", "key was used")
            return [self._refuse(waiter, refusal)]
        if isinstance(match, exceptions.Refusal) and match.status == 421:
            return [self._reply(waiter, messages.UNKNOWN, 421, match.reason)]
        if record.waiters is not None:
            if len(record.waiters) >= idempotency.MAX_WAITERS:
                return [self._reply(waiter, messages.UNKNOWN, 503, "waiters")]
            if waiter not in record.waiters:
                record.waiters.append(waiter)
            return []
        if record.response is not None:
            return [self._complete(waiter, record.response)]
        if record.state == "refused":
            refusal = exceptions.Refusal(503, "refused", "never runs")
            return [self._refuse(waiter, refusal)]
        return [self._reply(waiter, messages.UNKNOWN, 503, "unknown")]

    def _refuse_new(
        self,
        waiter: Waiter,
        call: messages.Call,
        record: idempotency.KeyRecord | None,
        refusal: exceptions.Refusal,
        now: float,
    ) -> list[events.Record]:
        if record is not None:
            self.keys.refuse(record, _digest(call), now)
        else:
            self._remember_refused(waiter, call)
        return [
            self._refuse(waiter, refusal),
            events.Log(
                "call_refused",
                route=call.route,
                status=refusal.status,
                reason=refusal.reason,
            ),
        ]

    def _remember_refused(self, waiter: Waiter, call: messages.Call) -> None:
        # A repeated copy of a refused call must not run; after its deadline
        # it is refused anyway.
        if len(self.refused) >= MAX_REFUSED:
            del self.refused[next(iter(self.refused))]
        self.refused[waiter] = call.deadline

    def _forget_refused(self, now: float) -> None:
        over = [key for key, until in self.refused.items() if until <= now]
        for waiter in over:
            del self.refused[waiter]

    def _accept(self, run: Run) -> None:
        self.accepted[run.waiter] = run
        if run.record is not None:
            self.keys.begin(run.record, _digest(run.call), run.match)

    def _enqueue(self, run: Run, now: float) -> list[events.Record]:
        call = run.call
        wait = min(admission.MAX_WAIT_SECONDS, (call.deadline - now) / 2)
        waiting = admission.Waiting(
            run,
            call.tenant,
            run.match.weight,
            run.match.route.priority == "write",
            run.alone,
            now + wait,
        )
        refusal, evicted = self.admission.enqueue(waiting, now)
        if refusal is not None:
            return self._refuse_new(run.waiter, call, run.record, refusal, now)
        actions = [self._placed(run, "queue")]
        self._accept(run)
        if evicted is not None:
            actions += self._shed(evicted.item, "evicted", now)
        return self._dispatch(actions, now)

    def _start(
        self, run: Run, actions: list[events.Record], now: float
    ) -> list[events.Record]:
        call = run.call
        self.last_run_id += 1
        run.run_id = self.last_run_id
        run.started_at = now
        run.generation = self.admission.generation
        self.admission.started(now, run.alone)
        self.runs[run.run_id] = run
        headers = call.headers
        if call.attempt > 0:
            headers = [*headers, ["X-Retry-Attempt", str(call.attempt)]]
        actions.append(
            events.RunUpstream(
                run.run_id,
                call.method,
                call.path,
                headers,
                call.body,
                call.deadline,
            )
        )
        return actions

    def _dispatch(
        self, actions: list[events.Record], now: float
    ) -> list[events.Record]:
        if not self.admission.queued:
            return actions
        actions += self._flush_if_blocked(now)
        while (waiting := self.admission.next_ready(now)) is not None:
            run: Run = waiting.item
            if now >= waiting.expires_at:
                actions += self._shed(run, "waited-too-long", now)
            else:
                self._start(run, actions, now)
        return actions

    def _flush_if_blocked(self, now: float) -> list[events.Record]:
        # A draining or leaving node completes what it has accepted.
        reason = self._closed(now)
        if not reason:
            return []
        actions: list[events.Record] = []
        for waiting in self.admission.take_if(lambda waiting: True):
            actions += self._shed(waiting.item, reason, now)
        return actions

    def _shed(self, run: Run, reason: str, now: float) -> list[events.Record]:
        actions = self._settle_not_run(
            run, self.admission.refusal(reason), now
        )
        route = run.match.route.name
        actions.append(events.Log("call_shed", route=route, reason=reason))
        return actions

    def _give_up(self, waiter: Waiter, now: float) -> list[events.Record]:
        run = self.accepted.get(waiter)
        if run is None or run.cancelled:
            return []
        if run.run_id == 0:
            taken = self.admission.take_if(lambda item: item.item is run)
            actions: list[events.Record] = []
            for _ in taken:
                actions += self._shed(run, "cancelled", now)
            return self._dispatch(actions, now)
        if run.record is not None or run.run_id not in self.runs:
            return []
        run.cancelled = True
        return [events.CancelUpstream(run.run_id)]

    def _answered(
        self, run: Run, event: events.UpstreamAnswered, now: float
    ) -> list[events.Record]:
        actions: list[events.Record] = []
        if self._restarted(event.started_at):
            self.admission.start_cold()
            actions.append(events.Log("upstream_cold", reason="restarted"))
        if event.status >= 500 or event.status in REFUSING_STATUSES:
            overloaded = event.status in REFUSING_STATUSES
            self.admission.failed(run.generation, now, overloaded)
        elif self.admission.succeeded(
            run.match.route.name, now - run.started_at, run.generation, now
        ):
            actions.append(events.Log("upstream_cold", reason="latency"))
        if run.alone:
            self.quarantine.clear(run.fingerprint())
        response = (event.status, event.headers, event.body)
        waiters = self._take_waiters(run)
        if run.record is not None:
            self.keys.finish(run.record, response, now)
        replies = [self._complete(waiter, response) for waiter in waiters]
        return replies + actions

    def _restarted(self, started_at: int) -> bool:
        if started_at == 0 or started_at == self.upstream_started_at:
            return False
        known = self.upstream_started_at != 0
        self.upstream_started_at = started_at
        return known

    def _failed(self, run: Run, kind: str, now: float) -> list[events.Record]:
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
            refusal = exceptions.Refusal(503, "connect", "refused", 1.0)
            return self._settle_not_run(run, refusal, now)
        if kind == "lost":
            return self._crashed(run, now)
        status = 504 if kind == "timeout" else 503
        return self._settle_unknown(run, status, kind, now)

    def _crashed(self, run: Run, now: float) -> list[events.Record]:
        actions: list[events.Record] = []
        if run.report is None:
            actions = self._report_crash(run, now)
            if run.generation == self.admission.generation:
                self.admission.start_cold()
        report = run.report
        if report is None or not report.waiting:
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
            suspect.report = Report(
                self.last_report_id, set(peers), now + REPORT_SECONDS
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

    def _acknowledged(
        self, report: Report, host_id: str, now: float
    ) -> list[events.Record]:
        report.waiting.discard(host_id)
        return [] if report.waiting else self._close_report(report, now)

    def _close_report(self, report: Report, now: float) -> list[events.Record]:
        self.reports.pop(report.report_id, None)
        report.waiting.clear()
        if report.run is None:
            return []
        return self._settle_unknown(report.run, 503, "crashed", now)

    def _overdue(self, run: Run, now: float) -> list[events.Record]:
        deadline = run.call.deadline
        if now < deadline:
            return []
        actions: list[events.Record] = []
        if not run.cancelled:
            run.cancelled = True
            actions.append(events.CancelUpstream(run.run_id))
        if now >= deadline + OVERDUE_SECONDS:
            del self.runs[run.run_id]
            actions += self._failed(run, "timeout", now)
        return actions

    def _settle_not_run(
        self, run: Run, refusal: exceptions.Refusal, now: float
    ) -> list[events.Record]:
        waiters = self._take_waiters(run)
        if run.record is not None:
            self.keys.refuse(run.record, run.record.body_digest, now)
        else:
            self._remember_refused(run.waiter, run.call)
        return [self._refuse(waiter, refusal) for waiter in waiters]

    def _settle_unknown(
        self, run: Run, status: int, reason: str, now: float
    ) -> list[events.Record]:
        waiters = self._take_waiters(run)
        if run.record is not None:
            self.keys.lose(run.record, now)
        return [
            self._reply(waiter, messages.UNKNOWN, status, reason)
            for waiter in waiters
        ]

    def _take_waiters(self, run: Run) -> list[Waiter]:
        del self.accepted[run.waiter]
        if run.record is None or not run.record.waiters:
            return [run.waiter]
        return [run.waiter, *run.record.waiters]

    def _placed(self, run: Run, decision: str) -> events.Record:
        return events.Log(
            "call_placed",
            route=run.call.route,
            decision=decision,
            in_flight=self.admission.in_flight,
            limit=self.admission.effective_limit,
        )

    def _complete(
        self, waiter: Waiter, response: idempotency.Stored
    ) -> events.Record:
        status, headers, body = response
        return self._reply(
            waiter, messages.COMPLETE, status, "", headers, body
        )

    def _refuse(
        self, waiter: Waiter, refusal: exceptions.Refusal
    ) -> events.Record:
        return self._reply(
            waiter,
            messages.NOT_RUN,
            refusal.status,
            refusal.reason,
            retry_after=refusal.retry_after_seconds,
        )

    def _reply(
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


def _digest(call: messages.Call) -> bytes:
    return idempotency.body_digest(
        call.tenant, call.method, call.path, call.body
    )
