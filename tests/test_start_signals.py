"""Tests of signals that reach a sidecar as it starts or ends."""

import pathlib
import signal
import time

from tools.loopback import sidecars

HOST = "127.0.0.3"


def handles(process, signal_number):
    """Return whether a process has a handler for a signal."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text("utf-8")
    line = next(
        line for line in status.splitlines() if line.startswith("SigCgt:")
    )
    return bool(int(line.split()[1], 16) >> (signal_number - 1) & 1)


def test_reload_signals_during_the_start_do_not_end_the_process(tmp_path):
    """Guards against a process that SIGHUP ends before it has a handler."""
    mesh = sidecars.Mesh(tmp_path)
    try:
        mesh.processes[HOST].kill()
        mesh.processes[HOST].wait()
        mesh.start(HOST)
        process = mesh.processes[HOST]
        mesh.wait_until(lambda: handles(process, signal.SIGTERM))
        while process.poll() is None and not handles(process, signal.SIGHUP):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.02)
        mesh.wait_until(
            lambda: process.poll() is not None or mesh.is_ready(HOST)
        )
        assert process.poll() is None
    finally:
        mesh.close()


def test_signals_during_the_exit_do_not_change_the_exit_code(tmp_path):
    """Guards against a stop that ends by a signal instead of with 0."""
    mesh = sidecars.Mesh(tmp_path)
    try:
        process = mesh.processes[HOST]
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + sidecars.WAIT_SECONDS
        while process.poll() is None and time.monotonic() < deadline:
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            time.sleep(0.001)
        assert process.poll() == 0
    finally:
        mesh.close()
