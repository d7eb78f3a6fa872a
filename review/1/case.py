"""A target ends, and its address goes to a target of another service."""

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
    ("oyo-a", "spec-desk"),
    ("oyo-a", "kiln-desk"),
    ("oyo-b", "kiln-desk"),
    ("oyo-b", "spec-desk"),
)
# Figures of the site tatbg-mesh.
HEARTBEAT_SECONDS = 1.5
# lag_ms of the site's discovery; less than a heartbeat.
ENTRY_SECONDS = 0.8
REUSE_SECONDS = 2.0
MARGIN_SECONDS = 0.1
CALM_SECONDS = 4.0
AFTER_SECONDS = 6.0
PAUSE_SECONDS = 0.05


class Case:
    """Hold one run of the case."""

    def __init__(self):
        self.record = caller.Record(HERE / "record.txt")
        self.mesh = deployment.Deployment(PLACES)
        self.victim = self.mesh.machines[1]
        self.entries = [self.mesh.machines[0], self.mesh.machines[3]]
        # Every target that ever ran, with its service.
        self.targets = []
        self.answers = []
        self.stopped = threading.Event()

    def run(self):
        """Return whether the rule held."""
        self._start()
        time.sleep(CALM_SECONDS)
        if TROUBLE:
            self._give_address_away()
        time.sleep(AFTER_SECONDS)
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        return self._judge()

    def _start(self):
        routes = [
            deployment.make_route("book", "/book/", "kiln-desk", False),
            deployment.make_route("read", "/read/", "spec-desk", True),
        ]
        self.mesh.store.put(
            "op/config",
            deployment.make_configuration(
                7, routes, ["spec-desk", "kiln-desk"]
            ),
        )
        for machine in self.mesh.machines:
            self._add_target(machine, machine.service)
            self.mesh.register(machine)
        self.mesh.start_all()
        self.record.write("all sidecars are ready")
        self.threads = [
            threading.Thread(target=self._send, args=(machine,), daemon=True)
            for machine in self.entries
        ]
        for thread in self.threads:
            thread.start()

    def _add_target(self, machine, service):
        added = self.mesh.add_target(machine, name=service)
        self.targets.append((added, service))
        return added

    def _give_address_away(self):
        """End a target; let another service have its address later."""
        old = self.victim.target
        old.crash()
        ended_at = time.monotonic()
        self.record.write(f"{old.instance} at {self.victim.address} ends")
        _sleep_until(ended_at + REUSE_SECONDS + MARGIN_SECONDS)
        new = self._add_target(self.victim, "spec-desk")
        started_at = time.monotonic()
        self.record.write(f"{new.instance} starts at the same address")
        _sleep_until(started_at + ENTRY_SECONDS)
        self.mesh.register(self.victim, service="spec-desk")
        self.record.write(f"{new.instance} has written its entry")
        _sleep_until(ended_at + 3 * HEARTBEAT_SECONDS)
        self.mesh.store.delete(f"servers/{old.instance}")
        self.record.write(f"the entry of {old.instance} is removed")
        self.mesh.stop(self.victim)
        self.victim.service = "spec-desk"
        self.mesh.start(self.victim)
        self.mesh.wait_ready(self.victim)
        self.record.write(f"the node of {new.instance} is ready")

    def _send(self, machine):
        while not self.stopped.is_set():
            answer = caller.request(machine, "/book/a", "POST", b"a booking")
            self.answers.append(answer)
            time.sleep(PAUSE_SECONDS)

    def _judge(self):
        sent = {answer.id: answer for answer in self.answers}
        foreign = 0
        for running, service in self.targets:
            for run in running.runs:
                is_foreign = service != "kiln-desk"
                foreign += is_foreign
                answer = sent[run.request_id]
                note = " FOREIGN" if is_foreign else ""
                self.record.write(
                    f"{run.request_id} for kiln-desk runs at {run.instance} "
                    f"of {service}, client got {answer.status} with stamp "
                    f"{answer.headers.get('hickorythread-server-stamp')}"
                    f"{note}",
                    run.at,
                )
        text = (
            f"{foreign} of {len(self.answers)} requests for kiln-desk ran at "
            "a target of spec-desk"
        )
        self.record.write(text)
        print(text)
        return not foreign

    def close(self):
        """End all that was started."""
        self.stopped.set()
        self.mesh.close()
        self.record.close()


def _sleep_until(at):
    time.sleep(max(0.0, at - time.monotonic()))


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
