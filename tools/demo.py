"""Show on loopback what sidecars do; exit 0 if every expectation held."""

import pathlib
import shutil
import signal
import sys
import tempfile
import time

from tools.loopback import demo


def exit_on_signal(number, frame):
    """Exit with the shell's code for a process ended by a signal."""
    raise SystemExit(128 + number)


def end_late_demo(number, frame):
    """End the steps of a demonstration that takes too long."""
    raise demo.DemoError(f"not at its end after {demo.DEMO_SECONDS} s")


def run(demonstration):
    """Run a demonstration; return whether every expectation held."""
    report = demonstration.report
    try:
        signal.alarm(demo.DEMO_SECONDS)
        demonstration.run()
    except demo.DemoError as error:
        report.expect("the demonstration runs to its end", False, error)
    finally:
        signal.alarm(0)
        demonstration.close()
    if report.missed:
        demonstration.print_logs()
    seconds = time.monotonic() - report.started_at
    total = report.held + report.missed
    print(f"{report.held} of {total} expectations held, {seconds:.1f} s")
    return not report.missed


def main():
    signal.signal(signal.SIGTERM, exit_on_signal)
    signal.signal(signal.SIGALRM, end_late_demo)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hickorythread-demo-"))
    print(demo.DESCRIPTION, flush=True)
    try:
        return 0 if run(demo.Demo(folder)) else 1
    finally:
        shutil.rmtree(folder)


if __name__ == "__main__":
    sys.exit(main())
