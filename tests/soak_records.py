"""Builders of the records that a soak collects."""

import random
import signal
import types

from tools.loopback import http_messages
from tools.loopback import layout
from tools.loopback import oracle
from tools.loopback import records
from tools.loopback import sidecar_process
from tools.loopback import writers


class FakeStore:
    """Take what the operator writes."""

    def __init__(self):
        self.items = {}

    def put(self, key, document):
        self.items[key] = document

    def delete(self, key):
        del self.items[key]


class FakeLagMonitor:
    """State that nothing was delayed."""

    def lag(self, start, end):
        return 0.0


class SoakRecords:
    """Collect the records of one process that ended as asked.

    Times are seconds after the start of the process.
    """

    def __init__(self):
        self.records = records.Records()
        self.layout = layout.Layout(2)
        self.host = next(iter(self.layout.hosts.values()))
        self.writer = writers.Operator(
            FakeStore(), self.layout, random.Random(1)
        )
        self.start = self.writer.newest.accepted_at
        self.process = sidecar_process.SidecarProcess(self.host, 1, None)
        self.process.signals.append((self.start + 100.0, signal.SIGTERM))
        self.process.ended_at = self.start + 104.0
        self.process.exit_code = 0

    def add_request(self, route="once", outcome=records.ANSWERED, **values):
        """Record a request that lasts from 10 to 10.5 s."""
        number = len(self.records.requests)
        request = records.Request(
            f"r{number}",
            self.host,
            self.writer.newest.routes[f"/{route}/"],
            0,
            20,
            5,
            3000,
        )
        request.process = self.process
        request.sent_at = request.written_at = self.start + 10.0
        request.ended_at = self.start + 10.5
        request.outcome = outcome
        request.status = 200 if outcome == records.ANSWERED else 0
        request.body_matches = True
        request.stamp = f"i-1.{request.id}"
        for name, value in values.items():
            setattr(request, name, value)
        self.records.add_request(request)
        return request

    def add_run(self, request, **values):
        """Record a run from 10.1 to 10.2 s."""
        headers = {
            "hickorythread-attempt-id": request.id,
            "hickorythread-caller-service": self.host.service,
        }
        line = f"{request.method} {request.path} HTTP/1.1"
        message = http_messages.Message(line, headers, b"")
        target = types.SimpleNamespace(host=self.host)
        run = records.Run(message, target, "i-1")
        run.started_at = self.start + 10.1
        run.ended_at = self.start + 10.2
        for name, value in values.items():
            setattr(run, name, value)
        self.records.add_run(run)
        return run

    def judge(self):
        """Return the names of the promises that broke."""
        processes = types.SimpleNamespace(started=[self.process])
        judge = oracle.Oracle(
            self.records, processes, self.writer, FakeLagMonitor()
        )
        return [item.promise for item in judge.judge()]
