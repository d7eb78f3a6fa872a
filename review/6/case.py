"""A request header whose name has an underscore: Content_Length.

Exits with 1 if CONFIG was broken, 0 if it held and 2 if the case could not
run. With TROUBLE=0 the header is named Document-Length.
"""

import os
import pathlib
import shutil
import socket
import sys
import tempfile
import time
import traceback

from review.standins_2 import client
from review.standins_2 import cold
from review.standins_2 import deployment
from review.standins_2 import messages
from review.standins_2 import record
from review.standins_2 import store
from review.standins_2 import upstream

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEADER = "Content_Length" if TROUBLE else "Document-Length"
COUNT = 40
# The client waits longer than the route lets it be kept waiting.
DEADLINE_MS = 3000
TIMEOUT_SECONDS = 1.2
ALLOWED_LATE_SECONDS = 0.5


class Case:
    def __init__(self, folder):
        self.record = record.Record(FOLDER / "record.txt")
        self.store = store.Store()
        self.machines = [
            deployment.Machine(f"127.0.0.{number + 41}", zone, "spec-desk")
            for number, zone in enumerate(cold.ZONES)
        ]
        self.deployment = deployment.Deployment(
            folder, self.machines, cold.ZONES, self.store.address
        )
        self.upstreams = [
            upstream.Upstream(
                machine,
                self.deployment.app_port,
                f"{number}",
                self.store,
                self.record.line,
            )
            for number, machine in enumerate(self.machines, 1)
        ]
        self.clients = client.Clients(
            self.deployment.outbound_port, "a.example", self.record.line
        )

    def run(self):
        self.store.put("op/config", cold.configuration())
        for item in self.upstreams:
            item.start()
        for machine in self.machines:
            self.deployment.start(machine)
        self.deployment.wait_until_ready()
        time.sleep(3.0)
        self.check_service()
        self.record.say(f"clients send {COUNT} requests with {HEADER}: 120")
        numbers = iter(range(1, COUNT + 1))
        self.clients.repeat(
            0.1, time.monotonic() + 0.1 * COUNT, lambda: self.lookup(numbers)
        )
        time.sleep(0.1 * COUNT + DEADLINE_MS / 1000 + 1.0)
        self.clients.finish()
        self.send_ahead()

    def check_service(self):
        """Send a plain request to each machine; raise if one fails."""
        for machine in self.machines:
            attempt = self.clients.send(
                machine, "GET", "/spec/check", kind="check"
            )
            if attempt.status != 200:
                raise deployment.SetUpError(
                    f"{machine.address} serves nothing"
                )

    def lookup(self, numbers):
        number = next(numbers, None)
        if number is None:
            return None
        return {
            "machine": self.machines[number % 2],
            "method": "GET",
            "path": f"/spec/{number}",
            "deadline_ms": DEADLINE_MS,
            "extra_headers": [(HEADER, 120)],
        }

    def send_ahead(self):
        """Send two requests on one connection, the second with a body.

        The body is the text of a third request.
        """
        address = (self.machines[0].address, self.deployment.outbound_port)
        inner = request("POST", "/lodge/in-the-body", "inner", b"")
        second = request("POST", "/lodge/second", "second", inner)
        before_body = len(second) - len(inner)
        first = request(
            "GET", "/spec/first", "first", None, [(HEADER, before_body)]
        )
        with socket.create_connection(address, 1.0) as connection:
            connection.settimeout(3.0)
            connection.sendall(first + second)
            try:
                with connection.makefile("rb") as reader:
                    while (answer := messages.read(reader)) is not None:
                        self.record.line(f"answer: {answer.start_line}")
            except (OSError, ValueError) as error:
                self.record.line(f"no further answer: {error}")

    def judge(self):
        """Return whether the rule held."""
        arrivals = [
            arrival for item in self.upstreams for arrival in item.arrivals
        ]
        self.record.attempts(self.clients.attempts)
        self.record.arrivals(arrivals)
        late, unanswered = 0, 0
        sent = [item for item in self.clients.attempts if item.kind == "plain"]
        for item in sent:
            took = item.ended_at - item.sent_at
            if item.status is None or took > TIMEOUT_SECONDS:
                late += 1
                if (
                    item.status is None
                    or took > TIMEOUT_SECONDS + ALLOWED_LATE_SECONDS
                ):
                    unanswered += 1
        self.record.say(
            f"{len(sent)} requests; {late} without an answer "
            f"at timeout_ms, {unanswered} of them without one half a second "
            "later (allowed: half)"
        )
        unsent = [
            item
            for item in arrivals
            if item.attempt_id == "inner" or item.message.body[:4] == b"POST"
        ]
        for item in unsent:
            if item.attempt_id != "second":
                self.record.say(
                    f"an upstream ran {item.message.method} "
                    f"{item.message.target} with the body "
                    f"{item.message.body[:30]!r}, which no client sent so"
                )
        return unanswered <= late / 2

    def close(self):
        self.clients.stopped.set()
        self.deployment.close()
        for item in self.upstreams:
            item.close()
        self.store.close()
        self.record.close()


def request(method, path, attempt_id, body, extra_headers=()):
    headers = [
        ("Host", "a.example"),
        ("Hickorythread-Attempt-Id", attempt_id),
        ("Hickorythread-Deadline-Ms", 1500),
        *extra_headers,
    ]
    if body is not None:
        headers.append(("Content-Length", len(body)))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def main():
    work = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
    case = None
    try:
        case = Case(work)
        case.run()
        held = case.judge()
    except Exception:
        # Exit code 1 is kept for a broken rule.
        traceback.print_exc()
        print("the case could not run")
        return 2
    finally:
        if case is not None:
            case.close()
        shutil.rmtree(work, ignore_errors=True)
    print("CONFIG held" if held else "CONFIG was broken")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
