"""Measure the sidecar's HTTP server with requests sent ahead and one by one.

The server runs in this process with an application whose requests take a
fixed time; the client is a process of its own. Both ways are measured in one
run, in turns.
"""

import itertools
import os
import resource
import socket
import statistics
import types

import eventlet

from hickorythread import server
from hickorythread import utils
from hickorythread.mesh import events
from hickorythread.mesh import ingress
from hickorythread.platform import headers

ROUNDS = 3
REQUESTS = 2_000
DEPTH = 5
SLOW_SECONDS = 0.2
# Requests that run side by side take one response time, not one each; the
# rest is left for a busy machine.
MAX_SLOW_SECONDS = 2 * SLOW_SECONDS
# Sending ahead may not make a request dearer.
MAX_COST_RATIO = 1.1
BODY = b"y" * 2_000
REQUEST = (
    b"GET /%s HTTP/1.1\r\nHost: specs.example\r\nAccept: */*\r\n"
    b"Hickorythread-Attempt-Id: 9c41d07be2a35f68\r\n"
    b"Hickorythread-Deadline-Ms: 1500\r\n\r\n"
)


class FixedTimeNode:
    """Answer each request after the time that its path asks for."""

    def __init__(self):
        self.dialect = headers.Headers()
        self.clock = utils.SystemClock()
        self.view = types.SimpleNamespace(configuration=None)
        self.stopping = False
        self.numbers = itertools.count(1)

    def next_number(self):
        return next(self.numbers)

    def may_repeat(self, request):
        return True

    def submit(self, request, client):
        seconds = SLOW_SECONDS if request.path == "/slow" else 0.0
        response = events.Response(200, [], BODY, from_target=True)
        eventlet.spawn_after(seconds, client.deliver, response)

    def client_disconnected(self, number):
        pass


def send_requests(address, path, count, depth):
    """Send requests, up to depth of them ahead, and read the responses."""
    with socket.create_connection(address) as connection:
        data = b""
        for _ in range(count // depth):
            connection.sendall(REQUEST % path * depth)
            for _ in range(depth):
                while BODY not in data:
                    data += connection.recv(65_536)
                data = data.partition(BODY)[2]


def run_client(address, path, count, depth):
    """Return the seconds and the server's processor time of a client."""
    clock = utils.SystemClock()
    started, used = clock.monotonic(), processor_seconds()
    pid = os.fork()
    if pid == 0:
        send_requests(address, path, count, depth)
        os._exit(0)
    while os.waitpid(pid, os.WNOHANG)[0] == 0:
        eventlet.sleep(0.01)
    return clock.monotonic() - started, processor_seconds() - used


def processor_seconds():
    """Return the processor time of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def row(name, value, unit, bound=None, baseline=None):
    """Return one row; without a bound it is always ok."""
    return {
        "name": name,
        "value": round(value, 3),
        "unit": unit,
        "bound": bound,
        "ok": bound is None or value <= bound,
        "baseline": baseline,
    }


def measure():
    """Return the rows of this benchmark."""
    listener = eventlet.listen(("127.0.0.1", 0))
    address = listener.getsockname()
    task = eventlet.spawn(
        server.serve, listener, ingress.RequestApp(FixedTimeNode())
    )
    seconds = {1: [], DEPTH: []}
    cost = {1: [], DEPTH: []}
    for _ in range(ROUNDS):
        for depth in (1, DEPTH):
            elapsed, _ = run_client(address, b"slow", DEPTH, depth)
            seconds[depth].append(elapsed)
            _, used = run_client(address, b"fast", REQUESTS, depth)
            cost[depth].append(used / REQUESTS * 1e6)
    task.kill()
    single = statistics.median(cost[1])
    ahead = statistics.median(cost[DEPTH])
    return [
        row(
            "pipeline.five_slow_requests",
            statistics.median(seconds[DEPTH]),
            "s",
            MAX_SLOW_SECONDS,
            round(statistics.median(seconds[1]), 3),
        ),
        row("pipeline.request_cpu", single, "us"),
        row("pipeline.request_cpu_ahead", ahead, "us", None, round(single, 1)),
        row(
            "pipeline.request_cpu_ratio",
            ahead / single,
            "1",
            MAX_COST_RATIO,
        ),
    ]
