"""Finds broken promises in what callers, targets and exit codes show."""

import collections
import signal

from tools.loopback import http_messages
from tools.loopback import records
from tools.loopback import sidecar_process
from tools.loopback import writers

# Bounds of the platform.
CONTACT_SECONDS = 3.0
SLACK_SECONDS = 0.2
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
EVACUATE_SECONDS = 5.0
ROLLBACK_SLACK_SECONDS = 0.25
# A request of this age at a SIGTERM may be cut with its target at work.
STOP_SEND_SECONDS = 3.0
# An answer of a node may leave so long before it is due.
ANSWER_MARGIN_SECONDS = 0.25
# Ends of processes are noted a little late.
EXIT_SLACK_SECONDS = 1.0


class BrokenPromise:
    """One broken promise, with the id of the request that shows it."""

    __slots__ = ("promise", "request_id", "text")

    def __init__(self, promise, request_id, text):
        self.promise = promise
        self.request_id = request_id
        self.text = text

    def __str__(self):
        return f"{self.promise} {self.request_id or '-'}: {self.text}"


class Oracle:
    """Judge the records of one soak after its end."""

    def __init__(self, collected, processes, writer, lag_monitor):
        self.records = collected
        self.processes = processes
        self.writer = writer
        self.lag_monitor = lag_monitor
        self.requests = {item.id: item for item in collected.requests}
        self.runs = collections.defaultdict(list)
        for run in collected.runs:
            self.runs[run.request_id].append(run)
        self.broken = []

    def judge(self):
        """Return all broken promises."""
        for process in self.processes.started:
            self._judge_process(process)
        for request in self.records.requests:
            self._judge_request(request)
        for run in self.records.runs:
            self._judge_run(run)
        self._judge_rollbacks()
        return self.broken

    def _report(self, promise, request_id, text):
        self.broken.append(BrokenPromise(promise, request_id, text))

    def _lag(self, start, end):
        return self.lag_monitor.lag(start - 1.0, end)

    def _is_calm(self, host, start, end):
        """Return whether a host was in touch from start to end."""
        return not self.records.has_span(host, start - CONTACT_SECONDS, end)

    def _judge_process(self, process):
        name = f"process {process.number} of {process.host.address}"
        terminated_at = process.signal_time(signal.SIGTERM)
        killed_at = process.signal_time(signal.SIGKILL)
        if process.peak_memory_mb > sidecar_process.MEMORY_MB:
            peak = f"{process.peak_memory_mb:.0f} MiB"
            self._report("MEMORY", "", f"{name} took {peak}")
        if process.ended_at is None:
            self._report("FAULT", "", f"{name} did not end")
        elif killed_at is not None and process.exit_code == -signal.SIGKILL:
            if terminated_at is not None:
                self._judge_late_end(process, name, terminated_at, killed_at)
        elif terminated_at is None or process.exit_code != 0:
            self._report(
                "FAULT",
                "",
                f"{name} ended with {process.exit_code}, signals "
                f"{[int(number) for _, number in process.signals]}",
            )
        else:
            self._judge_late_end(
                process, name, terminated_at, process.ended_at
            )

    def _judge_late_end(self, process, name, terminated_at, ended_at):
        bound = (
            sidecar_process.GRACE_SECONDS
            + EXIT_SLACK_SECONDS
            + process.stopped_seconds
            + self._lag(terminated_at, ended_at)
        )
        took = ended_at - terminated_at
        if took > bound:
            self._report("FAULT", "", f"{name} ended {took:.2f} s after TERM")

    def _judge_request(self, request):
        runs = self.runs.get(request.id, [])
        if not request.idempotent and len(runs) > 1:
            where = [(run.instance, round(run.started_at, 3)) for run in runs]
            self._report("TWICE", request.id, f"ran at {where}")
        if request.outcome == records.ANSWERED:
            self._judge_answer(request, runs)
        elif request.outcome == records.MALFORMED:
            self._report("MIXED", request.id, request.detail)
        elif request.outcome in (records.CLOSED, records.BEHIND_CLOSE):
            self._judge_closed(request, runs)
        elif request.outcome == records.NO_ANSWER:
            self._report("LOST", request.id, "no answer came")

    def _judge_answer(self, request, runs):
        if request.status in http_messages.NOT_RUN_STATUSES and runs:
            # The protocol lets an idempotent request run at one target and
            # be refused by a second one.
            if not request.idempotent:
                self._report(
                    "REFUSED",
                    request.id,
                    f"{request.status}, but ran at {runs[0].instance}",
                )
        if request.status == 200:
            stamps = {f"{run.instance}.{request.id}" for run in runs}
            if not request.body_matches or request.stamp not in stamps:
                self._report(
                    "MIXED",
                    request.id,
                    f"body matches: {request.body_matches}, "
                    f"stamp {request.stamp!r}",
                )
        if request.status == 404:
            self._judge_missing_route(request)
        if request.status in (502, 504):
            self._judge_own_failure(request, runs)

    def _judge_own_failure(self, request, runs):
        """Report an answer that replaced that of a target at work."""
        lag = self._lag(request.sent_at, request.ended_at)
        seconds = min(request.deadline_ms, writers.TIMEOUT_MS) / 1000
        due_at = request.sent_at + seconds - ANSWER_MARGIN_SECONDS - lag
        at_work = [
            run
            for run in runs
            if not run.broken_off
            and (run.ended_at is None or run.ended_at > request.ended_at)
        ]
        if (
            request.ended_at < due_at
            and len(at_work) == len(runs) > 0
            and not self._was_cut_at_end_of_grace(request, runs)
            and not self._was_disturbed(request, runs)
        ):
            took = request.ended_at - request.sent_at
            self._report(
                "CUT",
                request.id,
                f"{request.status} after {took:.3f} of {seconds:g} s, at work "
                f"at {at_work[0].instance}, {_describe_process(request)}",
            )

    def _was_disturbed(self, request, runs):
        """Return whether a host of a request was killed or frozen."""
        hosts = {request.host, *(run.target.host for run in runs)}
        start = request.sent_at - CONTACT_SECONDS
        return any(
            span.kind in ("SIGKILL", "SIGSTOP")
            and span.touches(host, start, request.ended_at)
            for span in self.records.spans
            for host in hosts
        )

    def _judge_missing_route(self, request):
        for version in self._possible_versions(request):
            if request.prefix not in version.routes:
                return
        if self._is_calm(request.host, request.sent_at, request.ended_at):
            self._report("CONFIG", request.id, "404 for a route in force")

    def _possible_versions(self, request):
        """Return the versions that may be in force for a request."""
        lag = self._lag(request.sent_at - APPLY_SECONDS, request.ended_at)
        oldest = request.sent_at - APPLY_SECONDS - lag
        return [
            version
            for version in self.writer.versions
            if version.sent_at <= request.ended_at
            and (version.replaced_at is None or version.replaced_at > oldest)
        ]

    def _judge_closed(self, request, runs):
        if _was_killed(request):
            return
        if any(run.broken_off for run in runs):
            return
        if not runs and self._was_frozen_in_stop(request):
            return
        if self._was_cut_at_end_of_grace(request, runs):
            return
        lag = self._lag(request.written_at, request.ended_at)
        took = request.ended_at - request.written_at
        if runs or (
            request.outcome == records.CLOSED and took > SLACK_SECONDS + lag
        ):
            self._report(
                "LOST",
                request.id,
                f"{request.outcome} after {took:.3f} s, "
                f"{len(runs)} runs, {_describe_process(request)}, "
                f"{request.detail}",
            )

    def _was_cut_at_end_of_grace(self, request, runs):
        terminated_at = request.process.signal_time(signal.SIGTERM)
        if terminated_at is None:
            return False
        last_sixth = terminated_at + sidecar_process.GRACE_SECONDS * 5 / 6
        return request.sent_at <= terminated_at + STOP_SEND_SECONDS and any(
            run.ended_at is None or run.ended_at >= last_sixth for run in runs
        )

    def _was_frozen_in_stop(self, request):
        """Return whether the grace time passed while a process was frozen.

        The platform excuses a stop that meets an unplanned disruption.
        """
        return request.process.signal_time(signal.SIGTERM) is not None and any(
            span.kind == "SIGSTOP"
            and span.touches(
                request.host,
                request.sent_at - CONTACT_SECONDS,
                request.ended_at,
            )
            for span in self.records.spans
        )

    def _judge_run(self, run):
        request = self.requests.get(run.request_id)
        if request is None:
            self._report("UNASKED", run.request_id, f"{run.path} ran")
            return
        if (run.method, run.path) != (request.method, request.path) or (
            not run.body_matches
        ):
            self._report("UNASKED", request.id, f"ran as {run.path}")
        if run.caller_service != request.host.service:
            self._report("UNASKED", request.id, f"for {run.caller_service}")
        self._judge_place(request, run)
        self._judge_end_of_target(request, run)
        self._judge_evacuations(request, run)

    def _judge_place(self, request, run):
        host = run.target.host
        routes = [
            version.routes[request.prefix]
            for version in self.writer.versions
            if version.sent_at <= run.started_at
            and request.prefix in version.routes
        ]
        if any(item.regions for item in routes) and not any(
            host.region in item.regions for item in routes
        ):
            self._report("HOME", request.id, f"ran in {host.region}")
        if not any(host.service in item.services for item in routes):
            self._report("ROUTE", request.id, f"ran at {host.service}")
            return
        allowed = any(
            request.prefix in version.routes
            and host.service in version.routes[request.prefix].services
            for version in self._possible_versions(request)
        )
        if not allowed and self._is_calm(
            request.host, request.sent_at, run.started_at
        ):
            self._report(
                "CONFIG", request.id, f"ran at {host.service} for {run.path}"
            )

    def _judge_end_of_target(self, request, run):
        ended_at = self.writer.ends.get(run.instance)
        if ended_at is None:
            return
        late = run.started_at - ended_at - DRAIN_SECONDS
        if late > self._lag(ended_at, run.started_at) and self._both_calm(
            request, run, ended_at
        ):
            self._report(
                "DRAIN", request.id, f"{run.instance}: {late:.2f} s late"
            )

    def _judge_evacuations(self, request, run):
        for item in self.writer.evacuations:
            if item.failure_domain != run.target.host.failure_domain:
                continue
            late = run.started_at - item.accepted_at - EVACUATE_SECONDS
            if (
                late > self._lag(item.accepted_at, run.started_at)
                and (item.ended_at is None or run.started_at < item.ended_at)
                and self._both_calm(request, run, item.accepted_at)
            ):
                self._report(
                    "EVAC",
                    request.id,
                    f"{item.failure_domain}: {late:.2f} s late",
                )

    def _both_calm(self, request, run, since):
        """Return whether both hosts of a run were in touch since a time."""
        return all(
            self._is_calm(host, since, run.started_at)
            for host in (request.host, run.target.host)
        )

    def _judge_rollbacks(self):
        """Compare the answers of each process for routes of versions."""
        answered = collections.defaultdict(list)
        for request in self.records.requests:
            if (
                request.outcome == records.ANSWERED
                and request.prefix.startswith("/since-")
                and request.status in (200, 404)
            ):
                answered[request.process].append(request)
        for requests in answered.values():
            self._judge_rollback(requests)

    def _judge_rollback(self, requests):
        shown = [
            (item.ended_at, _version_number(item))
            for item in requests
            if item.status == 200
        ]
        for request in requests:
            if request.status != 404:
                continue
            before = request.sent_at - ROLLBACK_SLACK_SECONDS
            before -= self._lag(request.sent_at, request.ended_at)
            floor = max(
                (number for at, number in shown if at < before), default=0
            )
            later = [
                version
                for version in self.writer.versions
                if version.number >= floor
                and version.sent_at <= request.ended_at
            ]
            if floor and all(
                request.prefix in version.routes for version in later
            ):
                self._report(
                    "CONFIG",
                    request.id,
                    f"404 after version {floor} was seen",
                )


def _was_killed(request):
    """Return whether SIGKILL ended the process of a request."""
    killed_at = request.process.signal_time(signal.SIGKILL)
    return killed_at is not None and killed_at <= request.ended_at


def _describe_process(request):
    """Return the process of a request with its signals since 10 s before.

    Times are relative to the moment at which the request was written.
    """
    process = request.process
    signals = [
        f"{signal.Signals(number).name} {at - request.written_at:+.3f}"
        for at, number in process.signals
        if request.written_at - 10.0 < at < request.ended_at
    ]
    return (
        f"process {process.number} of {process.host.address} "
        f"({', '.join(signals)})"
    )


def _version_number(request):
    return int(request.prefix.strip("/").rpartition("-")[2])
