"""A zone that is evacuated and taken back; its upstream has become cold.

Exits with 1 if FAILBACK was broken, 0 if it held and 2 if the case could not
run. With TROUBLE=0 the upstream stays warm.
"""

import os
import pathlib
import sys

from review.standins_2 import cold

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Seconds since the traffic starts.
EVACUATE_AT = 3.0
COLD_AT = 8.7
TAKE_BACK_AT = 9.0


class Case(cold.ColdCase):
    def disturb(self):
        key = f"op/evacuate/{self.cold.machine.zone}"
        self.wait_until(EVACUATE_AT)
        self.store.put(key, {})
        self.record.say(f"{key} is written")
        self.wait_until(COLD_AT - self.cold.heartbeat_seconds / 2)
        # A heartbeat half an interval before, the next one half after.
        self.cold.report()
        self.wait_until(COLD_AT)
        if TROUBLE:
            self.cold.become_cold()
        self.wait_until(TAKE_BACK_AT)
        self.store.delete(key)
        self.record.say(f"{key} is removed")


if __name__ == "__main__":
    sys.exit(cold.run_case(Case, pathlib.Path(__file__).resolve().parent))
