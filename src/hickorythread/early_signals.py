"""Ignores signals that would end a process by their default action."""

import signal

# SIGHUP has a handler once the process runs. The file of settings is looked
# at then too, so that no change is missed.
IGNORED = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)


def ignore_until_started() -> None:
    """Ignore the signals that have no handler yet."""
    for signal_number in IGNORED:
        signal.signal(signal_number, signal.SIG_IGN)
