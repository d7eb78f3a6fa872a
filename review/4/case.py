"""One answer of the store is lost, and a zone is evacuated."""

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
EVACUATED = "oyo-a"
PLACES = (("oyo-a", "chartdesk"), ("oyo-b", "chartdesk")) * 2
# Bounds of the site.
EVACUATE_SECONDS = 5.0
CONTACT_SECONDS = 3.0
LOSS_SECONDS = 4.5
MAX_LOST_SHARE = 0.35
# The sidecars have run for a while as the zone is evacuated.
CALM_SECONDS = 15.0
EVACUATED_SECONDS = 20.0
PAUSE_SECONDS = 0.2


class Case:
    """Hold one run of the case."""

    def __init__(self):
        self.record = caller.Record(HERE / "record.txt")
        self.mesh = deployment.Deployment(PLACES)
        self.victim = self.mesh.machines[0]
        self.answers = []
        self.lost_at = None
        self.losing = False
        self.stopped = threading.Event()

    def run(self):
        """Return whether the rule held."""
        self._start()
        time.sleep(CALM_SECONDS)
        self.losing = TROUBLE
        loss_began_at = time.monotonic()
        self.mesh.store.put(f"op/evacuate/{EVACUATED}", {"zone": EVACUATED})
        acknowledged_at = time.monotonic()
        self.record.write(f"{EVACUATED} evacuated: acknowledged")
        time.sleep(LOSS_SECONDS)
        self.losing = False
        loss_ended_at = time.monotonic()
        self.record.write("the store loses no answers any more")
        self._check_loss(loss_began_at, loss_ended_at)
        time.sleep(EVACUATED_SECONDS - LOSS_SECONDS)
        taken_back_at = time.monotonic()
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        self.mesh.store.delete(f"op/evacuate/{EVACUATED}")
        return self._judge(
            max(
                acknowledged_at + EVACUATE_SECONDS,
                loss_ended_at + CONTACT_SECONDS,
            ),
            taken_back_at,
        )

    def _start(self):
        self.mesh.store.loses_answer = self._loses_answer
        self.mesh.store.put(
            "op/config",
            deployment.make_configuration(
                7,
                [deployment.make_route("read", "/read/", "chartdesk", True)],
                ["chartdesk"],
            ),
        )
        for machine in self.mesh.machines:
            self.mesh.add_target(machine)
            self.mesh.register(machine)
        self.mesh.start_all()
        self.record.write("all sidecars are ready")
        self.threads = [
            threading.Thread(target=self._send, args=(machine,), daemon=True)
            for machine in self.mesh.machines
        ]
        for thread in self.threads:
            thread.start()

    def _loses_answer(self, port, path, document):
        """Return whether an answer is lost: one, to one machine."""
        if not self.losing or self.lost_at is not None or not document:
            return False
        if not self.victim.store_address.endswith(f":{port}"):
            return False
        if not any(
            item["key"].startswith("op/evacuate/")
            for item in document.get("events", ())
        ):
            return False
        self.lost_at = time.monotonic()
        address = self.victim.address
        self.record.write(f"the store loses its answer to {address}")
        return True

    def _check_loss(self, began_at, ended_at):
        answers = [
            is_lost
            for at, _, _, is_lost in self.mesh.store.log
            if began_at <= at <= ended_at
        ]
        self.record.write(f"{sum(answers)} of {len(answers)} answers lost")
        if TROUBLE and not sum(answers):
            raise deployment.NotRunError("no answer was lost")
        if sum(answers) > MAX_LOST_SHARE * len(answers):
            raise deployment.NotRunError("too many answers were lost")

    def _send(self, machine):
        while not self.stopped.is_set():
            answer = caller.request(machine, "/read/a")
            self.answers.append(answer)
            time.sleep(PAUSE_SECONDS)

    def _judge(self, since, until):
        sent = {answer.id: answer for answer in self.answers}
        late = 0
        for answer in self.answers:
            self.record.write(
                f"{answer.id} sent to {answer.machine.address}: "
                f"{answer.status} {answer.error}",
                answer.sent_at,
            )
        for machine in self.mesh.machines:
            for run in machine.target.runs:
                is_late = machine.zone == EVACUATED and since < run.at < until
                late += is_late
                self.record.write(
                    f"{run.request_id} runs at {machine.address} in "
                    f"{machine.zone}, from "
                    f"{sent[run.request_id].machine.address}"
                    f"{' LATE' if is_late else ''}",
                    run.at,
                )
        self.record.write(f"{late} requests reached {EVACUATED} too late")
        print(f"{late} requests reached {EVACUATED} too late")
        return not late

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
