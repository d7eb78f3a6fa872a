"""Run requests at the target on this host, each at most once."""

import collections
import http
from typing import Any

from hickorythread import exceptions
from hickorythread import messages as base_messages
from hickorythread.mesh import admission
from hickorythread.mesh import capacity
from hickorythread.mesh import ends
from hickorythread.mesh import events
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import probes
from hickorythread.mesh import reasons
from hickorythread.mesh import settings as mesh_settings
from hickorythread.mesh import suspects
from hickorythread.mesh import target_doubt
from hickorythread.mesh import target_notices
from hickorythread.mesh import view as mesh_view
from hickorythread.mesh import warmup

DEFAULT_SLOTS = 4
DEFAULT_HEALTH_PATH = "/healthz"
MAX_FINISHED_CALLS = 4096
# A response with such a status may come without any work.
MIN_ERROR_STATUS = 400
MAX_USUAL_MS = 600_000
# A target that is warming up gets only this part of the requests a second that
# the settings allow. Starts that reach it in bunches then still stay within
# the limit.
WARMUP_SHARE = 0.8
# Part of these requests that may start at once. The rest sets the rate.
WARMUP_BURST_SHARE = 0.15
# A target may become cold again as it becomes warm; its report takes a moment.
WARMUP_MARGIN_SECONDS = 0.1

CallKey = tuple[str, int]


class Run:
    """Hold an accepted call until its outcome is known.

    run_id is 0 while the call is queued. instance and target_started_at_ms
    tell which process the call was started at, and cold whether that process
    was warming up. trial is the fingerprint of a request that has crashed
    targets before and is tried again, empty for any other.
    """

    __slots__ = (
        "run_id",
        "call_key",
        "call",
        "deadline",
        "received_at",
        "started_at",
        "instance",
        "target_started_at_ms",
        "cold",
        "cancelled",
        "trial",
    )

    def __init__(
        self,
        call_key: CallKey,
        call: messages.Forward,
        deadline: float,
        received_at: float,
    ) -> None:
        self.run_id = 0
        self.call_key = call_key
        self.call = call
        self.deadline = deadline
        self.received_at = received_at
        self.started_at = 0.0
        self.instance = ""
        self.target_started_at_ms = 0
        self.cold = False
        self.cancelled = False
        self.trial = b""


class ExecutionPlane:
    """Admit calls to the target on this host and report their outcomes."""

    def __init__(
        self,
        settings: mesh_settings.Settings,
        view: mesh_view.View,
        now: float,
    ) -> None:
        self.settings = settings
        self.view = view
        self.admission = admission.Admission(DEFAULT_SLOTS, now)
        self.suspects = suspects.Suspects(settings.host_id)
        self.runs: dict[int, Run] = {}
        self.accepted: dict[CallKey, Run] = {}
        self.finished_calls: collections.OrderedDict[CallKey, None] = (
            collections.OrderedDict()
        )
        self.last_run_id = 0
        self.instance = ""
        self.registration: models.Target | None = None
        self.probes = probes.ProbeSchedule()
        # A target that has left gets no requests; only a probe shows that
        # the one that is registered at its address has taken its place.
        self.is_replaced = False
        self.view_changed_at = now
        # Whether the source has not been heard for a while, so that the
        # registration of the target may be out of date.
        self.registration_stale = False
        self.warmup = warmup.Warmup()
        # The revision of the last registration that reported a warm-up.
        self.warmup_revision = 0
        self.down = True
        # When the target was last paused; only a later probe ends the pause.
        self.paused_at = now
        self.stopping = False
        self.announced_state: tuple[str, bool, bool] | None = None
        # How many of the runs at the target are retries.
        self.running_retries = 0
        # Runs that lost their connection since the last result of a probe.
        self.interrupted_runs: list[Run] = []
        self.notices = target_notices.TargetNotices()
        self.doubt = target_doubt.TargetDoubt()
        self.capacity = capacity.ObservedCapacity()
        # The pace of the last tick.
        self.pace = 0

    @property
    def idle(self) -> bool:
        """Return whether no call is running or queued."""
        return not self.accepted

    @property
    def service(self) -> models.Service | None:
        """Return the target's service, or None if it is not configured."""
        configuration = self.view.configuration
        if configuration is None:
            return None
        return configuration.services.get(self.settings.service)

    def knows(self, call_key: CallKey) -> bool:
        """Return whether a call has come before."""
        return call_key in self.accepted or call_key in self.finished_calls

    def call(
        self, host_id: str, message: messages.Forward, now: float
    ) -> list[events.Record]:
        """Run, queue or refuse a call from an entry node."""
        call_key = (host_id, message.call_id)
        if self.knows(call_key):
            return [self._log("repeated_call", message)]
        deadline = now + message.remaining
        run = Run(call_key, message, deadline, now)
        refusal = self._check_call(message, now)
        if refusal is None:
            refusal = self._check_suspect(run, now)
        if refusal is not None:
            return self._refuse(run, refusal)
        self.accepted[call_key] = run
        slot_request = admission.SlotRequest(
            run,
            message.route,
            message.priority,
            now + message.objective,
            deadline,
        )
        self.admission.slowdown = self.capacity.slowdown(now)
        runs, refusal = self.admission.offer(slot_request, now)
        if refusal is not None:
            return self._refuse(run, refusal)
        return self._start(run, now) if runs else []

    def cancel(
        self, host_id: str, call_id: int, now: float
    ) -> list[events.Record]:
        """Cancel a call whose client has disconnected.

        A request that is not idempotent runs to completion once it started.
        """
        run = self.accepted.get((host_id, call_id))
        if run is None:
            return []
        if run.run_id:
            if not run.call.idempotent or run.cancelled:
                return []
            run.cancelled = True
            return [events.CancelRun(run.run_id)]
        self.admission.remove_matching(
            lambda slot_request: slot_request.item is run
        )
        refusal = exceptions.Refusal(503, "cancelled", "client disconnected")
        return self._refuse(run, refusal)

    def peer_lost(self, host_id: str, now: float) -> list[events.Record]:
        """Cancel the calls of an entry node without a stream."""
        call_keys = [key for key in self.accepted if key[0] == host_id]
        return self.calls_lost(call_keys, now)

    def calls_lost(
        self, call_keys: list[CallKey], now: float
    ) -> list[events.Record]:
        """Cancel calls whose replies have no stream any more."""
        actions: list[events.Record] = []
        for host_id, call_id in call_keys:
            actions += self.cancel(host_id, call_id, now)
        return actions

    def handle_response(
        self, run_id: int, response: events.TargetResponse, now: float
    ) -> list[events.Record]:
        """Send the response of the target to the entry node."""
        run = self._end_run(run_id)
        latency = now - run.started_at
        if response.status == 421 and response.not_run:
            # Another instance of the target responds at the address.
            self.admission.release_slot()
            refusal = self._reply_not_run(run, 503, reasons.OTHER_INSTANCE)
            return refusal + self._pause(reasons.OTHER_INSTANCE, now)
        actions: list[events.Record] = []
        if run.instance == self.instance and not self._is_succeeded(
            run.target_started_at_ms
        ):
            actions = self._note_response(
                response, target_notices.RESPONSE, run.started_at, now
            )
            self._record_run(run, response, latency, now)
        if response.not_run:
            self.admission.release_slot()
            status = 503 if response.status < 500 else response.status
            actions += self._reply_not_run(run, status, reasons.SHED)
            return actions + self._start_next(now)
        self.admission.release_slot(run.call.route, latency)
        reply = self._make_reply(
            run, messages.COMPLETE, response.status, "", response.headers
        )
        if response.leaving:
            reply.ending_target = run.instance
        reply.body = response.body
        reply.body_length = len(response.body)
        return [
            *actions,
            *self._release_tried(run),
            *self._finish(run, reply),
            self._log_run(run, "complete", response.status, now),
            *self._start_next(now),
        ]

    def handle_failure(
        self, run_id: int, failure: events.Failure, now: float
    ) -> list[events.Record]:
        """Report the outcome of a run without a response."""
        run = self._end_run(run_id)
        self.admission.release_slot()
        kind = failure.kind
        actions: list[events.Record] = []
        if kind in ("connect", "stale", "late", events.NO_DESCRIPTOR):
            actions += self._reply_not_run(run, 503, kind)
        else:
            status = 504 if kind == "timeout" else 502
            reply = self._make_reply(run, messages.UNKNOWN, status, kind)
            actions += self._finish(run, reply)
            actions.append(self._log_run(run, kind, status, now))
        if kind == "lost":
            self.interrupted_runs.append(run)
        if kind in ("connect", "stale", "lost"):
            return actions + self._pause(kind, now)
        return actions + self._start_next(now)

    def abandon(self, run_id: int, now: float) -> list[events.Record]:
        """Report that the outcome of a run is unknown: its task failed."""
        if run_id in self.runs:
            self._end_run(run_id)
        self.admission.running = len(self.runs)
        for run in self.accepted.values():
            if run.run_id == run_id:
                return [*self._reply_unknown(run, now), *self._start_next(now)]
        return self._start_next(now)

    def end(self, now: float) -> list[events.Record]:
        """Reply to all calls, since the process ends."""
        self.stopping = True
        self.admission.remove_matching(lambda slot_request: True)
        actions: list[events.Record] = []
        for run in list(self.accepted.values()):
            if run.run_id:
                actions += self._reply_unknown(run, now)
            else:
                actions += self._reply_not_run(run, 503, reasons.STOPPING)
        return actions

    def handle_probe_result(
        self, result: events.TargetResponse | events.Failure, now: float
    ) -> list[events.Record]:
        """Handle the result of a probe; a response ends the pause."""
        self.probes.running = False
        if _says_nothing(result):
            # A later tick sends the next probe.
            return []
        if self.probes.in_use and isinstance(result, events.Failure):
            # The target may be busy, or have closed the connection; whether
            # it is down shows in its runs, and then on a new connection.
            return self._probe(now) if self.admission.paused else []
        actions: list[events.Record] = []
        if isinstance(result, events.Failure):
            self.down = True
            interrupted_runs, self.interrupted_runs = self.interrupted_runs, []
            for run in interrupted_runs:
                actions += self._report_crash(run, now)
            # A later tick sends the next probe.
            return actions + self._announce(now)
        self.down = False
        if self.probes.sent_at >= self.paused_at:
            # The target was still there after these runs were interrupted.
            self.interrupted_runs = []
        if result.status == http.HTTPStatus.OK and not result.leaving:
            actions += self.notices.record_healthy(
                self.probes.sent_at, self.instance
            )
        if result.instance and result.instance != self.instance:
            self.notices.reset()
            self.capacity.reset()
            actions.append(
                events.Log(
                    "target_instance",
                    instance=result.instance,
                    previous=self.instance,
                )
            )
            self.instance = result.instance
            # The registration came with a change of the view, and may be
            # older than the response.
            actions += self._apply_registration(self.view_changed_at, now)
            self.is_replaced = self._has_successor()
        if self._is_succeeded(self.probes.target_started_at_ms):
            # Its predecessor may have answered, so it is asked again.
            return actions + self._pause("target-succeeded", now)
        actions += self._note_response(
            result, target_notices.PROBE, self.probes.sent_at, now
        )
        actions += self.doubt.record_probe(
            result, self.instance, self.probes.sent_at, now
        )
        if self.doubt.is_open:
            # A later tick sends the next probe.
            return actions + self._announce(now)
        if self.probes.sent_at < self.paused_at:
            # The target may have changed since this probe was sent.
            return actions + self._probe(now) + self._announce(now)
        if self.admission.paused and self.instance:
            self.admission.paused = False
            actions.append(
                events.Log(
                    "target_regained",
                    instance=self.instance,
                    warmup=result.warmup or 0.0,
                )
            )
        return actions + self._start_next(now) + self._announce(now)

    def tick(self, now: float) -> list[events.Record]:
        """Run the periodic work; called about every 20 ms."""
        self.suspects.quarantine.expire(now)
        actions: list[events.Record] = []
        for slot_request in self.admission.remove_expired(now):
            refusal = self.admission.refusal(reasons.WAITED_TOO_LONG)
            actions += self._refuse(slot_request.item, refusal)
        reason = self._unavailable_reason()
        if reason:
            for slot_request in self.admission.remove_matching(
                lambda slot_request: True
            ):
                actions += self._reply_not_run(slot_request.item, 503, reason)
        paused = self.admission.paused
        ending = self.notices.ending or self.is_replaced
        if self.probes.is_due(paused, ending, now):
            actions += self._probe(now)
        elif self._is_probe_due_in_use():
            actions += self._probe(now, in_use=True)
        actions += self._start_next(now) + self._announce(now)
        return actions + self._announce_pace(now)

    def view_changed(
        self, domain_returned: bool, now: float
    ) -> list[events.Record]:
        """Apply a new view; probe the target if its domain has returned."""
        self.view_changed_at = now
        actions = self._apply_registration(now, now)
        if not self.is_replaced and self._has_successor():
            self.probes.hasten(now)
        self.is_replaced = self._has_successor()
        if self.warmup.is_cold(now) and not self.admission.is_warming_up(now):
            # The warm-up rate is part of the configuration, which may arrive
            # after the report of the warm-up.
            self._limit_warmup(now)
        is_held = self.instance in self.view.pending_removals
        if self.doubt.set_held(is_held, now):
            actions += self._pause("registration-held", now)
        elif domain_returned:
            # Targets may have become cold while they received no requests.
            actions += self._pause("domain-returned", now)
        return actions + self._announce(now)

    def stop(self, now: float) -> list[events.Record]:
        """Refuse new calls and complete the running ones."""
        self.stopping = True
        return self._announce(now)

    def _unavailable_reason(self) -> str:
        """Return why the target accepts no requests, empty if it does."""
        if self.stopping:
            return reasons.STOPPING
        if self.view.configuration is None:
            return reasons.STARTING
        if self.down:
            return reasons.TARGET_DOWN
        if self.settings.failure_domain in self.view.evacuated:
            return reasons.EVACUATED
        if self.notices.ending:
            return reasons.ENDING
        if self.doubt.is_leaving:
            return reasons.LEAVING
        target = self.view.targets.get(self.instance)
        if self._has_left(target):
            return reasons.LEAVING
        known = target or self.registration
        if known is None or known.id != self.instance:
            # Its service is not known: targets of others get used addresses.
            return reasons.UNREGISTERED
        if known.service != self.settings.service:
            return reasons.OTHER_SERVICE
        return ""

    def _has_left(self, target: models.Target | None) -> bool:
        """Return whether the registration of the target tells its end."""
        if target is not None:
            return target.draining
        return self.instance in self.view.departed or self.view.ends.covers(
            self.instance, self._started_at_ms()
        )

    def _has_successor(self) -> bool:
        """Return whether another target follows one that has left."""
        if not self._has_left(self.view.targets.get(self.instance)):
            return False
        return any(
            target.address == self.settings.target_address
            and target.service == self.settings.service
            and target.id != self.instance
            and not target.draining
            for target in self.view.targets.values()
        )

    def _check_call(
        self, call: messages.Forward, now: float
    ) -> exceptions.Refusal | None:
        if call.service != self.settings.service:
            return exceptions.Refusal(
                503, reasons.OTHER_SERVICE, "host runs another service"
            )
        reason = self._unavailable_reason()
        if reason:
            return exceptions.Refusal(
                503, reason, "target accepts no requests", 0.5
            )
        if call.remaining <= 0:
            return exceptions.Refusal(503, "late", "deadline passed")
        if not base_messages.is_header_list(call.headers):
            return exceptions.Refusal(503, "headers", "malformed headers")
        return None

    def _check_suspect(
        self, run: Run, now: float
    ) -> exceptions.Refusal | None:
        """Refuse a request that has crashed targets unless it may be tried."""
        digest = self.suspects.digest_if_repeated(run.call)
        if not digest:
            return None
        is_tried = any(run.trial == digest for run in self.accepted.values())
        host_ids = self._hosts_of_route(run.call.route)
        refusal = self.suspects.check(digest, is_tried, host_ids, now)
        if refusal is None:
            run.trial = digest
        return refusal

    def _hosts_of_route(self, name: str) -> list[str]:
        """Return the hosts of the services to which a route leads."""
        services = {self.settings.service}
        if self.view.configuration is not None:
            for route in self.view.configuration.routes:
                if route.name == name:
                    services.update(part for part, _ in route.destinations)
        return [
            target.host_id
            for service in sorted(services)
            for target in self.view.by_service.get(service, ())
        ]

    def _release_tried(self, run: Run) -> list[events.Record]:
        """Let a request run everywhere that was tried and crashed nothing."""
        if not run.trial:
            return []
        message = self.suspects.release(run.trial)
        return [events.Broadcast(message), self._log("released", run.call)]

    def _note_response(
        self,
        response: events.TargetResponse,
        source: str,
        asked_at: float,
        now: float,
    ) -> list[events.Record]:
        """Apply what a response says about the target; announce its changes.

        The peers hear of an end before the response that says so reaches a
        client, since the announcement precedes the reply on each stream.
        """
        logs = self.notices.record(
            response, self.instance, source, asked_at, now
        )
        if response.leaving and self.instance:
            self.view.note_end(
                self.instance,
                self.settings.host_id,
                self._started_at_ms(),
                source,
            )
        self.admission.set_rate_limit(self.notices.rate_limit, now)
        if response.load is not None and response.load.factor is not None:
            self.capacity.record_factor(response.load.factor, now)
        if response.warmup is not None:
            tells_news = self.warmup.answered(response.warmup, asked_at, now)
            logs += self._warmup_reported(tells_news, source, now)
        return logs + self._announce(now) if logs else []

    def _record_run(
        self,
        run: Run,
        response: events.TargetResponse,
        seconds: float,
        now: float,
    ) -> None:
        """Learn the run time of a call that succeeded at a warm target."""
        if run.cold or response.not_run or response.status >= MIN_ERROR_STATUS:
            return
        usual_ms = min(max(run.call.usual_ms, 0), MAX_USUAL_MS)
        factor = response.load.factor if response.load else None
        self.capacity.record_run(
            run.call.route, seconds, usual_ms / 1000.0, factor, now
        )

    def _start(self, run: Run, now: float) -> list[events.Record]:
        self.last_run_id += 1
        run.run_id = self.last_run_id
        run.started_at = now
        run.instance = self.instance
        run.target_started_at_ms = self._started_at_ms()
        run.cold = self.warmup.is_cold(now)
        self.runs[run.run_id] = run
        self.running_retries += run.call.repeat
        self.notices.starts += 1
        self.probes.starts += 1
        return [events.Run(run.run_id, run.call, self.instance, run.deadline)]

    def _end_run(self, run_id: int) -> Run:
        run = self.runs.pop(run_id)
        self.running_retries -= run.call.repeat
        return run

    def _start_next(self, now: float) -> list[events.Record]:
        if self._unavailable_reason():
            # The next tick refuses what waits.
            return []
        actions: list[events.Record] = []
        while (slot_request := self.admission.next_ready(now)) is not None:
            actions += self._start(slot_request.item, now)
        return actions

    def _refuse(
        self, run: Run, refusal: exceptions.Refusal
    ) -> list[events.Record]:
        return self._reply_not_run(
            run,
            refusal.status,
            refusal.reason,
            refusal.retry_after_seconds,
        )

    def _reply_not_run(
        self, run: Run, status: int, reason: str, retry_after: float = 0.0
    ) -> list[events.Record]:
        reply = self._make_reply(run, messages.NOT_RUN, status, reason)
        reply.retry_after = float(retry_after)
        log = self._log("refused", run.call, reason=reason)
        return [*self._finish(run, reply), log]

    def _reply_unknown(self, run: Run, now: float) -> list[events.Record]:
        reply = self._make_reply(run, messages.UNKNOWN, 502, reasons.DEFECT)
        log = self._log_run(run, reasons.DEFECT, 502, now)
        return [*self._finish(run, reply), log]

    def _finish(
        self, run: Run, reply: base_messages.Reply
    ) -> list[events.Record]:
        self.accepted.pop(run.call_key, None)
        self.finished_calls[run.call_key] = None
        if len(self.finished_calls) > MAX_FINISHED_CALLS:
            self.finished_calls.popitem(last=False)
        return [events.Send(run.call_key[0], reply)]

    def _make_reply(
        self,
        run: Run,
        outcome: str,
        status: int,
        reason: str,
        headers: list[Any] | None = None,
    ) -> base_messages.Reply:
        return base_messages.Reply(
            run.call.call_id,
            outcome,
            status,
            headers or [],
            b"",
            0,
            reason,
            0.0,
            self._load(run.call.route),
        )

    def _load(self, route: str = "") -> list[int]:
        """Return what peers know of the load and the speed of the target.

        Without a route it holds no run time; without a known speed it is as
        nodes of earlier releases send it.
        """
        load = self.admission.load(route)
        run_time_ms = round(self.capacity.run_time(route) * 1000.0)
        if run_time_ms:
            return [*load, self.pace, run_time_ms]
        return [*load, self.pace] if self.pace else load

    def _report_crash(self, run: Run, now: float) -> list[events.Record]:
        """Record and broadcast a request whose target may have crashed."""
        victim = f"{self.settings.host_id}/{run.instance}/{run.run_id}"
        message = self.suspects.report_crash(run.call, victim, now)
        return [events.Broadcast(message)]

    def _pause(self, reason: str, now: float) -> list[events.Record]:
        """Start no requests until a probe identifies the target."""
        if reason != "stale" or not self.admission.paused:
            # Further idle connections that were closed say nothing new.
            self.paused_at = now
        self.admission.paused = True
        log = events.Log("target_paused", reason=reason)
        if self.probes.running:
            return [log]
        return [log, *self._probe(now)]

    def _probe(self, now: float, in_use: bool = False) -> list[events.Record]:
        self.probes.start(now, self._started_at_ms(), in_use)
        service = self.service
        path = service.health_path if service else DEFAULT_HEALTH_PATH
        return [events.Probe(path, in_use)]

    def _is_probe_due_in_use(self) -> bool:
        """Return whether to ask a target that runs requests for its warm-up.

        While its registration may be out of date, nothing else tells that it
        has become cold.
        """
        service = self.service
        if not self.registration_stale or self.admission.paused:
            return False
        if service is None or service.warmup_rate <= 0:
            return False
        return self.probes.is_due_in_use(self._max_cold_starts(service))

    def _max_cold_starts(self, service: models.Service) -> float:
        """Return how many requests a second may start at a cold target."""
        return WARMUP_SHARE * (
            service.warmup_rate * self.settings.warmup_rate_factor
            + self.settings.warmup_burst
        )

    def end_reported(
        self, message: messages.TargetEnd, now: float
    ) -> list[events.Record]:
        """Take over from a peer that the target has announced its end.

        A report without a start time may concern a process before this one.
        """
        if not message.started_at_ms and self._started_at_ms():
            return []
        self.view.note_end(
            message.target_id,
            self.settings.host_id,
            message.started_at_ms,
            ends.PEER,
        )
        return self._announce(now)

    def _started_at_ms(self) -> int:
        """Return when the target started, 0 if that is not known."""
        known = self.registration
        if known is None or known.id != self.instance:
            return 0
        return known.started_at_ms

    def _is_succeeded(self, started_at_ms: int) -> bool:
        """Return whether the id now belongs to a later process than that."""
        return 0 < started_at_ms < self._started_at_ms()

    def _apply_registration(
        self, came_at: float, now: float
    ) -> list[events.Record]:
        """Apply the slots and the warm-up of the target's registration.

        came_at is the latest time at which it may have come. A target that
        becomes cold again may write what it wrote before, with a later
        revision.
        """
        target = self.view.targets.get(self.instance)
        if target is None:
            return []
        revision = self.view.warmup_revisions.get(target.id, 0)
        if target == self.registration and revision == self.warmup_revision:
            return []
        self.registration = target
        self.warmup_revision = revision
        if not self.view.ends.includes(target):
            if self.notices.successor_registered(now):
                self.probes.hasten(now)
        self.admission.slots = target.slots
        tells_news = self.warmup.registered(target.warmup_seconds, came_at)
        return self._warmup_reported(tells_news, warmup.REGISTRATION, now)

    def _warmup_reported(
        self, tells_news: bool, source: str, now: float
    ) -> list[events.Record]:
        """Limit the starts by what is now known; log it if it is news."""
        self._limit_warmup(now)
        if not tells_news:
            return []
        return [
            events.Log(
                "target_warmup",
                instance=self.instance,
                seconds=round(self.warmup.remaining(now), 3),
                source=source,
            )
        ]

    def _limit_warmup(self, now: float) -> None:
        """Limit the rate of starts until the target is warm."""
        service = self.service
        if service is None or service.warmup_rate <= 0:
            return
        seconds = self.warmup.remaining(now)
        # How long it has been cold follows from how long a warm-up takes.
        cold_since = now - max(0.0, service.warmup_seconds - seconds)
        if seconds > 0.0:
            seconds += WARMUP_MARGIN_SECONDS
        max_starts = self._max_cold_starts(service)
        burst = max(1.0, WARMUP_BURST_SHARE * max_starts)
        rate = max(service.warmup_rate, max_starts - burst)
        self.admission.start_warmup(seconds, rate, burst, now, cold_since)

    def _announce(self, now: float) -> list[events.Record]:
        """Broadcast changes of the target's availability and warm-up."""
        reason = self._unavailable_reason()
        # Nodes keep the limit of the last announcement, so that the end of
        # the warm-up and of a rate limit has to be announced as well.
        state = (
            reason,
            self.admission.is_warming_up(now),
            self.admission.rate_limit is not None,
        )
        if state == self.announced_state:
            return []
        self.announced_state = state
        return [
            events.Broadcast(self._make_state(not reason, reason)),
            events.Log("target_state", usable=not reason, reason=reason),
        ]

    def _announce_pace(self, now: float) -> list[events.Record]:
        """Broadcast the pace of the target if it has changed for good."""
        self.pace = self.capacity.pace(now)
        if self._unavailable_reason():
            return []
        previous = self.capacity.announced
        pace = self.capacity.take_change(now)
        if not pace:
            return []
        return [
            # Other regions learn it from replies: traffic between regions
            # costs most.
            events.Broadcast(self._make_state(True, reasons.PACE), True),
            events.Log(
                "target_pace",
                instance=self.instance,
                pace=pace,
                previous=previous,
            ),
        ]

    def _make_state(self, usable: bool, reason: str) -> messages.TargetState:
        return messages.TargetState(
            self.settings.service,
            usable,
            reason,
            self._load(),
            self.instance,
            self._started_at_ms(),
        )

    def pace_status(self, now: float) -> dict[str, float | None]:
        """Return the pace, None if it is not known, and its age."""
        if not self.pace:
            return {"percent": None, "age_seconds": None}
        age = round(self.capacity.age(now), 3)
        return {"percent": self.pace, "age_seconds": age}

    def state(self) -> messages.TargetState:
        """Return the announcement to send to a newly connected node."""
        reason = (
            self.announced_state[0]
            if self.announced_state
            else reasons.TARGET_DOWN
        )
        return self._make_state(not reason, reason)

    def _log(
        self, event: str, call: messages.Forward, **values: Any
    ) -> events.Log:
        running, waiting, limit, *_ = self.admission.load()
        return events.Log(
            event,
            request=call.request_id,
            service=call.service,
            route=call.route,
            running=running,
            waiting=waiting,
            limit=limit,
            remaining=round(call.remaining, 3),
            **values,
        )

    def _log_run(
        self, run: Run, outcome: str, status: int, now: float
    ) -> events.Log:
        return self._log(
            "run_ended",
            run.call,
            instance=run.instance,
            outcome=outcome,
            status=status,
            waited=round(run.started_at - run.received_at, 4),
            took=round(now - run.started_at, 4),
        )


def _says_nothing(result: events.TargetResponse | events.Failure) -> bool:
    """Return whether a probe failed for a reason on this side alone."""
    return (
        isinstance(result, events.Failure)
        and result.kind == events.NO_DESCRIPTOR
    )
