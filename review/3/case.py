"""A faulty target sends bodies without end, in short chunks."""

import itertools
import os
import pathlib
import signal
import sys
import threading
import time

from review.common import caller
from review.common import deployment

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLACES = (
    ("oyo-a", "chartdesk"),
    ("oyo-b", "chartdesk"),
    ("kwara-a", "chartdesk"),
)
CALM_SECONDS = 4.0
FAULTY_SECONDS = 5.5
AFTER_SECONDS = 12.0
# One of three targets sends one answer without end in so many.
ENDLESS_EVERY = 50
TIMEOUT_MS = 1500
DEADLINE_MS = 5000
# Bounds of the rule.
LATE_SECONDS = TIMEOUT_MS / 1000 + 0.5
MIN_LATE = 8
MIN_LATE_SHARE = 0.25
CLIENTS = 20
PAUSE_SECONDS = 0.1
# A piece of a body whose chunks hold one byte each.
PIECE = b"1\r\nb\r\n" * 1000


class Case:
    """Hold one run of the case."""

    def __init__(self):
        self.record = caller.Record(HERE / "record.txt")
        self.mesh = deployment.Deployment(PLACES)
        self.faulty = self.mesh.machines[0]
        self.is_faulty = False
        self.numbers = itertools.count(1)
        self.faulty_answers = 0
        self.endless = []
        self.answers = []
        self.stopped = threading.Event()

    def run(self):
        """Return whether the rule held."""
        self.mesh.store.put(
            "op/config",
            deployment.make_configuration(
                7,
                [
                    deployment.make_route(
                        "read",
                        "/read/",
                        "chartdesk",
                        True,
                        timeout_ms=TIMEOUT_MS,
                    )
                ],
                ["chartdesk"],
            ),
        )
        for machine in self.mesh.machines:
            self.mesh.add_target(machine, on_answer=self._answer)
            self.mesh.register(machine)
        self.mesh.start_all()
        self.record.write("all sidecars are ready")
        threads = [
            threading.Thread(target=self._send, args=(machine,), daemon=True)
            for machine in self.mesh.machines
            for _ in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(CALM_SECONDS)
        self.is_faulty = TROUBLE
        time.sleep(FAULTY_SECONDS)
        self.is_faulty = False
        time.sleep(AFTER_SECONDS)
        self.stopped.set()
        for thread in threads:
            thread.join()
        return self._judge()

    def _answer(self, run, connection, head, body):
        """Send an answer; some of the faulty target have no end."""
        if not self.is_faulty or run.machine is not self.faulty:
            return None
        self.faulty_answers += 1
        if next(self.numbers) % ENDLESS_EVERY:
            return None
        self.endless.append(run.request_id)
        lines = [
            line
            for line in head.split(b"\r\n")
            if not line.startswith(b"Content-Length")
        ]
        lines.insert(1, b"Transfer-Encoding: chunked")
        self.record.write(f"{run.request_id} gets a body without end")
        began_at = time.monotonic()
        try:
            connection.sendall(b"\r\n".join(lines))
            while not self.stopped.is_set():
                connection.sendall(PIECE)
        except OSError:
            pass
        seconds = time.monotonic() - began_at
        self.record.write(
            f"{run.request_id}: its connection was closed after {seconds:.2f}"
        )
        return False

    def _send(self, machine):
        while not self.stopped.is_set():
            answer = caller.request(
                machine, "/read/a", deadline_ms=DEADLINE_MS
            )
            self.answers.append(answer)
            time.sleep(PAUSE_SECONDS)

    def _judge(self):
        past_timeout = late = 0
        for answer in sorted(self.answers, key=lambda item: item.sent_at):
            seconds = answer.ended_at - answer.sent_at
            past_timeout += seconds > TIMEOUT_MS / 1000
            late += seconds > LATE_SECONDS
            self.record.write(
                f"{answer.id} sent to {answer.machine.address}: "
                f"{answer.status} {answer.error} after {seconds:.3f}",
                answer.sent_at,
            )
        text = (
            f"{len(self.endless)} of {self.faulty_answers} answers of the "
            f"faulty target had no end; of {len(self.answers)} requests "
            f"{past_timeout} lasted longer than the timeout, {late} of them "
            "had no answer 0.5 s after it"
        )
        self.record.write(text)
        print(text)
        if TROUBLE and not self.endless:
            raise deployment.NotRunError("no answer was without end")
        return late < MIN_LATE or late <= MIN_LATE_SHARE * past_timeout

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
