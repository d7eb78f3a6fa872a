"""A faulty target spoils one byte in the heads of some of its answers."""

import itertools
import os
import pathlib
import signal
import sys
import threading
import time

from review.common import caller
from review.common import deployment
from tools.loopback import http_messages

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLACES = (
    ("oyo-a", "chartdesk"),
    ("oyo-b", "chartdesk"),
    ("kwara-a", "chartdesk"),
)
CALM_SECONDS = 3.0
FAULTY_SECONDS = 5.5
# One of three targets spoils one answer in so many.
SPOILED_EVERY = 50
# A target closes the connection after one answer in so many.
CLOSED_EVERY = 10
PAUSE_SECONDS = 0.02
TWO_HUNDREDS = range(200, 300)


class Case:
    """Hold one run of the case."""

    def __init__(self):
        self.record = caller.Record(HERE / "record.txt")
        self.mesh = deployment.Deployment(PLACES)
        self.faulty = self.mesh.machines[0]
        self.is_faulty = False
        self.lock = threading.Lock()
        self.counts = {
            machine: itertools.count(1) for machine in self.mesh.machines
        }
        self.faulty_answers = 0
        self.spoiled = set()
        self.bodies = {}
        self.answers = []
        self.stopped = threading.Event()

    def run(self):
        """Return whether the rule held."""
        self.mesh.store.put(
            "op/config",
            deployment.make_configuration(
                7,
                [deployment.make_route("read", "/read/", "chartdesk", True)],
                ["chartdesk"],
            ),
        )
        for machine in self.mesh.machines:
            self.mesh.add_target(machine, on_answer=self._answer)
            self.mesh.register(machine)
        self.mesh.start_all()
        self.record.write("all sidecars are ready")
        time.sleep(CALM_SECONDS)
        threads = [
            threading.Thread(target=self._send, args=(machine,), daemon=True)
            for machine in self.mesh.machines
        ]
        for thread in threads:
            thread.start()
        self.is_faulty = TROUBLE
        time.sleep(FAULTY_SECONDS)
        self.is_faulty = False
        self.stopped.set()
        for thread in threads:
            thread.join()
        return self._judge()

    def _answer(self, run, connection, head, body):
        """Send an answer in chunks; spoil its head if that is due."""
        number = next(self.counts[run.machine])
        closes = not number % CLOSED_EVERY
        lines = [
            line
            for line in head.split(b"\r\n")
            if not line.startswith(b"Content-Length")
        ]
        lines.insert(1, b"Transfer-Encoding: chunked")
        if closes:
            lines.insert(1, b"Connection: close")
        data = b"\r\n".join(lines)
        self.bodies[run.request_id] = body
        if self.is_faulty and run.machine is self.faulty:
            self.faulty_answers += 1
            if not number % SPOILED_EVERY:
                data = data.replace(b"Transfer-", b"Tran\x00fer-")
                self.spoiled.add(run.request_id)
        connection.sendall(data + http_messages.make_chunks(body))
        return not closes

    def _send(self, machine):
        while not self.stopped.is_set():
            answer = caller.request(machine, "/read/a")
            self.answers.append(answer)
            time.sleep(PAUSE_SECONDS)

    def _judge(self):
        wrong = 0
        for answer in self.answers:
            expected = self.bodies.get(answer.id)
            is_wrong = answer.status in TWO_HUNDREDS and (
                answer.body != expected
            )
            wrong += is_wrong
            note = " SPOILED" if answer.id in self.spoiled else ""
            if is_wrong:
                note += f" WRONG BODY {answer.body!r}, sent was {expected!r}"
            self.record.write(
                f"{answer.id} sent to {answer.machine.address}: "
                f"{answer.status} {answer.error}{note}",
                answer.sent_at,
            )
        text = (
            f"{len(self.spoiled)} of {self.faulty_answers} answers of the "
            f"faulty target were spoiled; {wrong} of {len(self.answers)} "
            "requests got a success with another body"
        )
        self.record.write(text)
        print(text)
        if TROUBLE and not self.spoiled:
            raise deployment.NotRunError("no answer was spoiled")
        return not wrong

    def close(self):
        """End all that was started."""
        self.stopped.set()
        self.mesh.close()
        self.record.close()


def main():
    case = None
    # Ends what was started if the script itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        case = Case()
        return 0 if case.run() else 1
    except Exception as error:
        print(f"not run: {error!r}")
        return 2
    finally:
        if case is not None:
            case.close()


if __name__ == "__main__":
    sys.exit(main())
