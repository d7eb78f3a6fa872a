"""A request crashes its targets, and sidecars are restarted as planned."""

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
    ("oyo-a", "ledger"),
    ("oyo-b", "ledger"),
    ("oyo-b", "ledger"),
)
CONTACT_SECONDS = 3.0
MAX_RETRIES = 3
DEADLY_CRASHES = 3
# A target is back so long after it has crashed.
BACK_SECONDS = 2.0
# The request comes again so often.
INTERVAL_SECONDS = 1.0
# So long is each sidecar observed after its restart, from contact_ms on.
OBSERVED_SECONDS = 8.0
FIRST_SECONDS = 20.0


class Case:
    """Hold one run of the case."""

    def __init__(self):
        self.record = caller.Record(HERE / "record.txt")
        self.mesh = deployment.Deployment(PLACES)
        self.entry, *self.others = self.mesh.machines
        self.runs = []
        self.answers = {}
        self.changed = threading.Event()
        self.closed = False

    def run(self):
        """Return whether the rule held."""
        self._start()
        time.sleep(CONTACT_SECONDS + 1)
        self._send_until(
            time.monotonic() + FIRST_SECONDS,
            lambda: len(self.runs) >= DEADLY_CRASHES,
        )
        if len(self.runs) < DEADLY_CRASHES:
            raise deployment.NotRunError("three targets were not crashed")
        since = self.runs[DEADLY_CRASHES - 1].at + CONTACT_SECONDS
        for machine in self.others:
            restarted_at = self._restart(machine)
            ends_at = restarted_at + CONTACT_SECONDS + OBSERVED_SECONDS
            while time.monotonic() < restarted_at + CONTACT_SECONDS:
                time.sleep(0.05)
            self._send_until(ends_at, lambda: False)
        return self._judge(since)

    def _start(self):
        routes = [
            deployment.make_route("post", "/post/", "ledger", False),
            deployment.make_route("read", "/read/", "chartdesk", True),
        ]
        self.mesh.store.put(
            "op/config",
            deployment.make_configuration(7, routes, ["chartdesk", "ledger"]),
        )
        for machine in self.mesh.machines:
            self.mesh.add_target(machine, on_run=self._crash)
            self.mesh.register(machine)
        self.mesh.start_all()
        self.record.write("all sidecars are ready")

    def _crash(self, run):
        """Crash the target that has begun to run the request."""
        self.runs.append(run)
        self.record.write(
            f"{run.request_id} crashes {run.instance}, crash {len(self.runs)}"
        )
        threading.Thread(
            target=self._come_back, args=(run.machine,), daemon=True
        ).start()
        return None

    def _come_back(self, machine):
        """Start the next process of a target that has crashed."""
        time.sleep(BACK_SECONDS)
        if self.closed:
            return
        old = machine.target.instance
        machine.target.start()
        self.mesh.register(machine)
        self.mesh.store.delete(f"servers/{old}")
        self.record.write(f"{machine.target.instance} has started")

    def _restart(self, machine):
        """Stop and start a sidecar as planned; return when it was ready."""
        if TROUBLE:
            self.record.write(f"SIGTERM to the sidecar of {machine.address}")
            self.mesh.stop(machine)
            self.mesh.start(machine)
            self.mesh.wait_ready(machine)
            self.record.write(f"{machine.address} is ready again")
        else:
            time.sleep(5.0)
        return time.monotonic()

    def _send_until(self, ends_at, condition):
        while time.monotonic() < ends_at and not condition():
            answer = caller.request(
                self.entry, "/post/p", "POST", b"the same body"
            )
            self.answers[answer.id] = answer
            self.record.write(
                f"{answer.id} sent to {self.entry.address}: "
                f"{answer.status} {answer.error}",
                answer.sent_at,
            )
            time.sleep(INTERVAL_SECONDS)

    def _judge(self, since):
        late = {
            run.request_id
            for run in self.runs
            if self.answers[run.request_id].sent_at > since
        }
        text = f"{len(late)} retries reached targets, {MAX_RETRIES} may"
        self.record.write(text)
        print(text)
        return len(late) <= MAX_RETRIES

    def close(self):
        """End all that was started."""
        self.closed = True
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
