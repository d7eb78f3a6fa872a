"""Run the command line with `python -m hickorythread`."""

import sys

from hickorythread import cli

if __name__ == "__main__":
    sys.exit(cli.main())
