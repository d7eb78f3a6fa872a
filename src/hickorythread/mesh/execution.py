"""Run requests at the target beside this node, each at most once."""

import collections
from typing import Any

from hickorythread import exceptions
from hickorythread import messages as base_messages
from hickorythread import quarantine
from hickorythread.mesh import admission
from hickorythread.mesh import events
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import settings as mesh_settings
from hickorythread.mesh import view as mesh_view

PROBE_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0
DEFAULT_SLOTS = 4
DEFAULT_HEALTH_PATH = "/healthz"
MAX_SETTLED_CALLS = 4096
# A cold target gets a part of what exceeds its rate, so that starts which
# arrive bunched stay within the bound.
WARMUP_EXCESS_SHARE = 0.5

# Reasons of a refusal that the whole target shares for some time.
CLOSED_REASONS = frozenset(
    (
        "starting",
        "stopping",
        "leaving",
        "evacuated",
        "target-down",
        "other-service",
    )
)
# The target has no room now.
BUSY_REASONS = frozenset(("expected-wait", "queue-full", "waited-too-long"))
# The target itself turned the request away, so the send counts as one.
SHED = "shed"

Caller = tuple[str, int]


class Run:
    """Hold one accepted call until its outcome is known."""

    __slots__ = (
        "run_id",
        "caller",
        "call",
        "deadline",
        "received_at",
        "started_at",
        "instance",
        "cancelled",
    )

    def __init__(
        self,
        caller: Caller,
        call: messages.Forward,
        deadline: float,
        received_at: float,
    ) -> None:
        self.run_id = 0
        self.caller = caller
        self.call = call
        self.deadline = deadline
        self.received_at = received_at
        self.started_at = 0.0
        self.instance = ""
        self.cancelled = False


class ExecutionPlane:
    """Admit calls for one target and answer them with a true outcome."""

    def __init__(
        self,
        settings: mesh_settings.Settings,
        view: mesh_view.View,
        now: float,
    ) -> None:
        self.settings = settings
        self.view = view
        self.admission = admission.Admission(DEFAULT_SLOTS, now)
        self.quarantine = quarantine.Quarantine()
        self.runs: dict[int, Run] = {}
        self.accepted: dict[Caller, Run] = {}
        self.settled: collections.OrderedDict[Caller, None] = (
            collections.OrderedDict()
        )
        self.last_run_id = 0
        self.instance = ""
        self.entry: models.Target | None = None
        self.probing = False
        self.probed_at = -PROBE_SECONDS
        self.warmup_ends_at = now
        self.down = True
        self.stopping = False
        self.announced: tuple[str, bool] | None = None
        # Runs that broke off since the target was last seen alive.
        self.broken: list[Run] = []

    @property
    def idle(self) -> bool:
        """Return whether nothing is running and nothing waits."""
        return not self.accepted

    @property
    def service(self) -> models.Service | None:
        """Return the service of the target, if the configuration has it."""
        configuration = self.view.configuration
        if configuration is None:
            return None
        return configuration.services.get(self.settings.service)

    def call(
        self, host_id: str, message: messages.Forward, now: float
    ) -> list[events.Record]:
        """Run, queue or refuse a call of an entry node."""
        caller = (host_id, message.call_id)
        if caller in self.accepted or caller in self.settled:
            return [self._log("repeated_call", message)]
        deadline = now + message.remaining
        run = Run(caller, message, deadline, now)
        refusal = self._verdict(message, now)
        if refusal is not None:
            return self._refuse(run, refusal)
        self.accepted[caller] = run
        work = admission.SlotRequest(
            run,
            message.route,
            message.priority,
            now + message.objective,
            deadline,
        )
        runs, refusal = self.admission.offer(work, now)
        if refusal is not None:
            return self._refuse(run, refusal)
        return self._start(run, now) if runs else []

    def cancel(
        self, host_id: str, call_id: int, now: float
    ) -> list[events.Record]:
        """Give up a call whose client has gone.

        A request that must not repeat runs to its end once it has begun.
        """
        run = self.accepted.get((host_id, call_id))
        if run is None:
            return []
        if run.run_id:
            if not run.call.idempotent or run.cancelled:
                return []
            run.cancelled = True
            return [events.CancelRun(run.run_id)]
        self.admission.remove_matching(lambda work: work.item is run)
        refusal = exceptions.Refusal(503, "cancelled", "client has gone")
        return self._refuse(run, refusal)

    def peer_lost(self, host_id: str, now: float) -> list[events.Record]:
        """Give up the calls of an entry node that cannot take replies."""
        actions: list[events.Record] = []
        for caller in [key for key in self.accepted if key[0] == host_id]:
            actions += self.cancel(caller[0], caller[1], now)
        return actions

    def answered(
        self, run_id: int, answer: events.Answer, now: float
    ) -> list[events.Record]:
        """Pass on the response of the target."""
        run = self.runs.pop(run_id)
        latency = now - run.started_at
        if answer.status == 421 and answer.not_run:
            # Another process of the target answers at the address.
            self.admission.release_slot()
            actions = self._not_run(run, 503, "other-instance")
            return actions + self._pause("other-instance", now)
        if answer.not_run:
            self.admission.release_slot()
            status = 503 if answer.status < 500 else answer.status
            return self._not_run(run, status, SHED) + self._start_next(now)
        self.admission.release_slot(run.call.route, latency)
        reply = self._reply(
            run, messages.COMPLETE, answer.status, "", answer.headers
        )
        reply.body = answer.body
        reply.body_length = len(answer.body)
        return [
            *self._settle(run, reply),
            self._log_run(run, "complete", answer.status, now),
            *self._start_next(now),
        ]

    def failed(
        self, run_id: int, failure: events.Failure, now: float
    ) -> list[events.Record]:
        """Tell the entry node what is known of a run without a response."""
        run = self.runs.pop(run_id)
        self.admission.release_slot()
        kind = failure.kind
        actions: list[events.Record] = []
        if kind in ("connect", "stale", "late"):
            actions += self._not_run(run, 503, kind)
        else:
            status = 504 if kind == "timeout" else 502
            reply = self._reply(run, messages.UNKNOWN, status, kind)
            actions += self._settle(run, reply)
            actions.append(self._log_run(run, kind, status, now))
        if kind == "lost":
            self.broken.append(run)
        if kind in ("connect", "stale", "lost"):
            return actions + self._pause(kind, now)
        return actions + self._start_next(now)

    def probed(
        self, result: events.Answer | events.Failure, now: float
    ) -> list[events.Record]:
        """Take the result of a probe; work goes on once one answers."""
        self.probing = False
        broken, self.broken = self.broken, []
        actions: list[events.Record] = []
        if isinstance(result, events.Failure):
            self.down = True
            for run in broken:
                actions += self._suspect(run, now)
            # The next tick after PROBE_SECONDS asks again.
            return actions + self._announce(now)
        self.down = False
        if result.instance and result.instance != self.instance:
            actions.append(
                events.Log(
                    "target_instance",
                    instance=result.instance,
                    previous=self.instance,
                )
            )
            self.instance = result.instance
            self._use_entry(now)
        if result.warmup is not None:
            self._start_warmup(result.warmup, now)
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

    def crashed(self, message: messages.Crashed, now: float) -> None:
        """Remember a crash that another node observed."""
        if len(message.fingerprint) == quarantine.FINGERPRINT_BYTES:
            self.quarantine.add_victim(
                message.fingerprint, message.victim[:400], now
            )

    def tick(self, now: float) -> list[events.Record]:
        """Carry out what is due; called about every 20 ms."""
        self.quarantine.expire(now)
        actions: list[events.Record] = []
        for work in self.admission.remove_expired(now):
            refusal = self.admission.refusal("waited-too-long")
            actions += self._refuse(work.item, refusal)
        reason = self._closed()
        if reason:
            for work in self.admission.remove_matching(lambda work: True):
                actions += self._not_run(work.item, 503, reason)
        if self.admission.paused and self._probe_is_due(now):
            actions += self._probe(now)
        return actions + self._start_next(now) + self._announce(now)

    def view_changed(
        self, domain_returned: bool, now: float
    ) -> list[events.Record]:
        """Take slots and warm-up from the view; probe a returned target."""
        self._use_entry(now)
        if self.warmup_ends_at > now and not self.admission.is_warming_up(now):
            # The rate stands in the configuration, which may come last.
            self._start_warmup(self.warmup_ends_at - now, now)
        if domain_returned:
            # Targets may have turned cold while they got no work.
            return self._pause("domain-returned", now)
        return self._announce(now)

    def stop(self, now: float) -> list[events.Record]:
        """Refuse new calls from now on and complete the others."""
        self.stopping = True
        return self._announce(now)

    def _closed(self) -> str:
        """Return why the target takes no new work, empty if it does."""
        if self.stopping:
            return "stopping"
        if self.view.configuration is None:
            return "starting"
        if self.down:
            return "target-down"
        if self.settings.failure_domain in self.view.evacuated:
            return "evacuated"
        target = self.view.targets.get(self.instance)
        if target is None:
            departed = self.instance in self.view.departed
            return "leaving" if departed else ""
        if target.service != self.settings.service:
            return "other-service"
        return "leaving" if target.draining else ""

    def _verdict(
        self, call: messages.Forward, now: float
    ) -> exceptions.Refusal | None:
        if call.service != self.settings.service:
            return exceptions.Refusal(503, "other-service", "wrong host")
        reason = self._closed()
        if reason:
            return exceptions.Refusal(503, reason, "no new work", 0.5)
        if call.remaining <= 0:
            return exceptions.Refusal(503, "late", "deadline passed")
        if not base_messages.are_headers(call.headers):
            return exceptions.Refusal(503, "headers", "malformed headers")
        if self.quarantine.suspects:
            mark = _fingerprint(call)
            if self.quarantine.verdict(mark, now) == quarantine.REFUSE:
                seconds = self.quarantine.retry_after(mark, now)
                return exceptions.Refusal(
                    429, "quarantined", "crashed its targets", seconds
                )
        return None

    def _start(self, run: Run, now: float) -> list[events.Record]:
        self.last_run_id += 1
        run.run_id = self.last_run_id
        run.started_at = now
        run.instance = self.instance
        self.runs[run.run_id] = run
        return [events.Run(run.run_id, run.call, self.instance, run.deadline)]

    def _start_next(self, now: float) -> list[events.Record]:
        actions: list[events.Record] = []
        while (work := self.admission.next_ready(now)) is not None:
            actions += self._start(work.item, now)
        return actions

    def _refuse(
        self, run: Run, refusal: exceptions.Refusal
    ) -> list[events.Record]:
        return self._not_run(
            run,
            refusal.status,
            refusal.reason,
            refusal.retry_after_seconds,
        )

    def _not_run(
        self, run: Run, status: int, reason: str, retry_after: float = 0.0
    ) -> list[events.Record]:
        reply = self._reply(run, messages.NOT_RUN, status, reason)
        reply.retry_after = float(retry_after)
        log = self._log("refused", run.call, reason=reason)
        return [*self._settle(run, reply), log]

    def _settle(
        self, run: Run, reply: base_messages.Reply
    ) -> list[events.Record]:
        self.accepted.pop(run.caller, None)
        self.settled[run.caller] = None
        if len(self.settled) > MAX_SETTLED_CALLS:
            self.settled.popitem(last=False)
        return [events.Send(run.caller[0], reply)]

    def _reply(
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
            self.admission.load(run.call.route),
        )

    def _suspect(self, run: Run, now: float) -> list[events.Record]:
        """Note a request whose target may have crashed while it ran."""
        mark = _fingerprint(run.call)
        victim = f"{self.settings.host_id}/{run.instance}/{run.run_id}"
        self.quarantine.add_victim(mark, victim, now)
        return [events.Broadcast(messages.Crashed(mark, victim))]

    def _pause(self, reason: str, now: float) -> list[events.Record]:
        """Start nothing until a probe tells which target answers."""
        self.admission.paused = True
        log = events.Log("target_paused", reason=reason)
        if self.probing:
            return [log]
        return [log, *self._probe(now)]

    def _probe_is_due(self, now: float) -> bool:
        wait = PROBE_TIMEOUT_SECONDS if self.probing else PROBE_SECONDS
        return now - self.probed_at >= wait

    def _probe(self, now: float) -> list[events.Record]:
        self.probing = True
        self.probed_at = now
        service = self.service
        path = service.health_path if service else DEFAULT_HEALTH_PATH
        return [events.Probe(path)]

    def _use_entry(self, now: float) -> None:
        """Take slots and warm-up from what the target registered."""
        target = self.view.targets.get(self.instance)
        if target is None or target == self.entry:
            return
        self.entry = target
        self.admission.slots = target.slots
        if target.warmup_seconds > 0 and not self.admission.is_warming_up(now):
            self._start_warmup(target.warmup_seconds, now)

    def _start_warmup(self, seconds: float, now: float) -> None:
        self.warmup_ends_at = now + seconds
        service = self.service
        if service is None or service.warmup_rate <= 0:
            return
        excess = WARMUP_EXCESS_SHARE * (self.settings.warmup_rate_factor - 1)
        burst = WARMUP_EXCESS_SHARE * self.settings.warmup_burst
        self.admission.start_warmup(
            seconds, service.warmup_rate * (1 + excess), max(1.0, burst), now
        )

    def _announce(self, now: float) -> list[events.Record]:
        """Tell all nodes when the target starts or stops taking work."""
        reason = self._closed()
        # The limit that nodes remember is that of a cold target.
        state = (reason, self.admission.is_warming_up(now))
        if state == self.announced:
            return []
        self.announced = state
        message = messages.TargetState(
            self.settings.service,
            not reason,
            reason,
            self.admission.load(),
        )
        return [
            events.Broadcast(message),
            events.Log("target_state", usable=not reason, reason=reason),
        ]

    def state(self) -> messages.TargetState:
        """Return the announcement for a node that has just connected."""
        reason = self.announced[0] if self.announced else "target-down"
        return messages.TargetState(
            self.settings.service, not reason, reason, self.admission.load()
        )

    def _log(
        self, event: str, call: messages.Forward, **values: Any
    ) -> events.Log:
        running, waiting, limit, _ = self.admission.load()
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


def _fingerprint(call: messages.Forward) -> bytes:
    """Return the digest that recognizes a repeated request."""
    return quarantine.fingerprint(
        call.service, call.method, call.path, call.body
    )
