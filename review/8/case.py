"""An upstream that becomes cold again while it is still cold.

Exits with 1 if FAILBACK was broken, 0 if it held and 2 if the case could not
run. With TROUBLE=0 the upstream becomes cold only once.
"""

import os
import pathlib
import sys

from review.standins_2 import cold

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Seconds since the traffic starts.
COLD_AT = 5.0
COLD_AGAIN_AT = 7.5


class Case(cold.ColdCase):
    def disturb(self):
        self.wait_until(COLD_AT)
        self.cold.become_cold()
        # The entry says so at once; the next heartbeat follows after a whole
        # interval.
        self.cold.report()
        self.wait_until(COLD_AGAIN_AT)
        if TROUBLE:
            self.cold.become_cold()
            self.cold.report()


if __name__ == "__main__":
    sys.exit(cold.run_case(Case, pathlib.Path(__file__).resolve().parent))
