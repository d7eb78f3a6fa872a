"""Start, signal handling and shutdown of a server process."""

from collections.abc import Callable
import gc
import signal
import time
import traceback
from typing import Any

import eventlet
from eventlet import event as eventlet_event
from eventlet import hubs

from hickorythread import binding
from hickorythread import logs
from hickorythread import utils

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_ADDRESS_IN_USE = 3
EXIT_INVARIANT = 5


class Process:
    """Serve as base class of processes that run until told to stop."""

    def __init__(self) -> None:
        self.stopping = False
        # How long start() tries to bind addresses, in seconds.
        self.bind_seconds = 0.0
        self.failure: BaseException | None = None
        self.finished = eventlet_event.Event()
        self.listeners: list[Any] = []

    def start(self) -> None:
        """Bind all addresses and start the tasks.

        Raises OSError if an address cannot be bound.
        """
        raise NotImplementedError

    def stop(self) -> None:
        """Start a graceful shutdown."""
        raise NotImplementedError

    def reload(self) -> None:
        """Apply changed settings; does nothing by default."""

    def listen(self, address: str) -> Any:
        """Bind an address and return its listening socket."""
        (listener,) = bind([address])
        self.listeners.append(listener)
        return listener

    def bind_in_time(self, addresses: list[str]) -> list[Any]:
        """Bind all addresses; try again for bind_seconds.

        Raises OSError if one cannot be bound, or if a stop was requested.
        """
        policy = binding.BindPolicy(time.monotonic(), self.bind_seconds)
        while True:
            try:
                return bind(addresses)
            except OSError as error:
                now = time.monotonic()
                if self.stopping or not policy.may_retry(error, now):
                    raise
                if policy.report_due(now):
                    logs.warning("address_in_use", error=str(error))
            eventlet.sleep(binding.RETRY_SECONDS)

    def spawn(self, task: Callable[..., Any], *arguments: Any) -> None:
        """Start a task; see run_task() for exceptions in it."""
        eventlet.spawn_n(self.run_task, task, *arguments)

    def run_task(self, task: Callable[..., Any], *arguments: Any) -> None:
        """Run a task; an unhandled exception in it stops the process."""
        try:
            task(*arguments)
        except Exception as error:
            logs.error(
                "task_failed",
                error=f"{type(error).__name__}: {error}",
                trace=traceback.format_exc(limit=-3),
            )
            self.finish(error)

    def finish(self, failure: BaseException | None) -> None:
        """End the process; a failure is kept for the exit code."""
        if not self.finished.ready():
            self.failure = failure
            self.finished.send()

    def exit_code(self) -> int:
        """Return the exit code of the process."""
        return EXIT_OK if self.failure is None else EXIT_INVARIANT


def bind(addresses: list[str]) -> list[Any]:
    """Bind all addresses and return their listening sockets.

    Raises OSError if one cannot be bound; the others are closed then.
    """
    listeners: list[Any] = []
    try:
        for address in addresses:
            listeners.append(_listen(address))
    except OSError:
        for listener in listeners:
            listener.close()
        raise
    return listeners


def _listen(address: str) -> Any:
    try:
        return eventlet.listen(utils.split_address(address), reuse_port=False)
    except OSError as error:
        message = f"{address}: {error.strerror}"
        raise OSError(error.errno, message) from error


def run(process: Process) -> int:
    """Run a process to its end; return the exit code."""
    # Installed first, since the start may wait for an address.
    signal_handlers = {
        signal.SIGTERM: process.stop,
        signal.SIGINT: process.stop,
        signal.SIGHUP: process.reload,
    }
    for signal_number, handler in signal_handlers.items():
        _install_signal_handler(signal_number, handler)
    try:
        process.start()
    except OSError as error:
        return _start_failed(process, error)
    gc.collect()
    gc.freeze()
    process.finished.wait()
    return process.exit_code()


def _start_failed(process: Process, error: OSError) -> int:
    for listener in process.listeners:
        listener.close()
    if process.stopping:
        return EXIT_OK
    if binding.is_unusable(error):
        logs.error("address_unusable", error=str(error))
        return EXIT_USAGE
    logs.error("address_in_use", error=str(error))
    return EXIT_ADDRESS_IN_USE


def _install_signal_handler(
    signal_number: int, handler: Callable[[], None]
) -> None:
    """Install a signal handler that the hub runs between tasks.

    It never interrupts a task.
    """
    hub = hubs.get_hub()
    signal.signal(
        signal_number, lambda *_: hub.schedule_call_global(0, handler)
    )
