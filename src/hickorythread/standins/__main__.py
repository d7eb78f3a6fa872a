"""Entry point of `python -m hickorythread.standins`."""

import sys

from hickorythread.standins import commands

if __name__ == "__main__":
    sys.exit(commands.main())
