"""Entry point of the deployment: runs hickorythread from a checkout."""

import signal

# Its default action would end the process while it loads the rest.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import pathlib  # noqa: E402
import sys  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from hickorythread import cli  # noqa: E402

if __name__ == "__main__":
    sys.exit(cli.main())
