"""Entry point of the deployment: runs hickorythread from a checkout."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from hickorythread import cli  # noqa: E402

if __name__ == "__main__":
    sys.exit(cli.main())
