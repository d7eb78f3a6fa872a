"""Start, signal handling and shutdown of a server process."""

from collections.abc import Callable
import errno
import gc
import signal
import time
import traceback
from typing import Any

import eventlet
from eventlet import event as eventlet_event
from eventlet import hubs

from hickorythread import binding
from hickorythread import exceptions
from hickorythread import logs
from hickorythread import supervision
from hickorythread import utils

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_ADDRESS_IN_USE = 3
EXIT_INVARIANT = 5


class Process:
    """Serve as base class of processes that run until told to stop.

    Each task is of one kind, stated where it is started. The failure of a
    request's task fails that request, the task of a plane is started again,
    and a broken invariant in any of them, or the failure of another task, ends
    the process.
    """

    def __init__(self) -> None:
        self.stopping = False
        # How long start() tries to bind addresses, in seconds.
        self.bind_seconds = 0.0
        self.failure: BaseException | None = None
        self.finished = eventlet_event.Event()
        self.listeners: list[Any] = []
        self.planes: dict[str, supervision.Restarts] = {}

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
            if self.stopping:
                raise OSError(errno.ECANCELED, "stopped during the start")

    def spawn(self, task: Callable[..., Any], *arguments: Any) -> None:
        """Start a task without which the process cannot go on."""
        eventlet.spawn_n(self.run_task, task, *arguments)

    def spawn_plane(
        self, name: str, task: Callable[..., Any], *arguments: Any
    ) -> None:
        """Start a task that is started again when it fails."""
        eventlet.spawn_n(self.run_plane, name, task, *arguments)

    def spawn_request(
        self,
        settle: Callable[[], None],
        task: Callable[..., Any],
        *arguments: Any,
    ) -> None:
        """Start the task of one request; settle() ends one that failed."""
        eventlet.spawn_n(self.run_request, settle, task, *arguments)

    def run_task(self, task: Callable[..., Any], *arguments: Any) -> None:
        """Run a task; an unhandled exception in it ends the process."""
        try:
            task(*arguments)
        except Exception as error:
            self.fail(error)

    def run_plane(
        self, name: str, task: Callable[..., Any], *arguments: Any
    ) -> None:
        """Run a task until it returns; start it again after a failure."""
        restarts = self.planes.setdefault(name, supervision.Restarts())
        while not self.finished.ready():
            try:
                task(*arguments)
                return
            except exceptions.InvariantError as error:
                self.fail(error)
                return
            except Exception as error:
                delay = restarts.failed(time.monotonic())
                self.count_failure("plane", name)
                logs.error(
                    "plane_failed",
                    plane=name,
                    retry=delay,
                    error=describe(error),
                    trace=format_trace(error),
                )
            eventlet.sleep(delay)

    def run_request(
        self,
        settle: Callable[[], None],
        task: Callable[..., Any],
        *arguments: Any,
    ) -> None:
        """Run the task of one request; settle() ends one that failed."""
        try:
            task(*arguments)
        except Exception as error:
            name = getattr(task, "__name__", "task").strip("_")
            self.request_failed(name, settle, error)

    def request_failed(
        self, name: str, settle: Callable[[], None], error: Exception
    ) -> None:
        """Settle a request that failed; a broken invariant ends all."""
        if isinstance(error, exceptions.InvariantError):
            self.fail(error)
            return
        self.count_failure("request", name)
        logs.error(
            "request_task_failed",
            task=name,
            error=describe(error),
            trace=format_trace(error),
        )
        self.attempt(settle)

    def attempt(self, step: Callable[[], None]) -> None:
        """Take one of several last steps; log its failure."""
        try:
            step()
        except Exception as error:
            logs.error(
                "settling_failed",
                error=describe(error),
                trace=format_trace(error),
            )

    def count_failure(self, kind: str, task: str) -> None:
        """Count the failure of a task; does nothing by default."""

    def planes_down(self) -> list[str]:
        """Return the names of the planes that do not work now."""
        now = time.monotonic()
        return [
            name
            for name, restarts in self.planes.items()
            if restarts.is_down(now)
        ]

    def fail(self, error: BaseException) -> None:
        """End the process after a last answer to what is open."""
        if self.failure is not None:
            return
        self.failure = error
        logs.error(
            "task_failed", error=describe(error), trace=format_trace(error)
        )
        self.attempt(self.answer_open_requests)
        self.finish(error)

    def answer_open_requests(self) -> None:
        """Answer what is open before the end; does nothing by default."""

    def finish(self, failure: BaseException | None) -> None:
        """End the process; a failure is kept for the exit code."""
        if not self.finished.ready():
            self.failure = self.failure or failure
            self.finished.send()

    def exit_code(self) -> int:
        """Return the exit code of the process."""
        return EXIT_OK if self.failure is None else EXIT_INVARIANT


def describe(error: BaseException) -> str:
    """Return the type and the message of an exception."""
    return f"{type(error).__name__}: {error}"


def format_trace(error: BaseException) -> str:
    """Return the last frames of an exception."""
    return "".join(traceback.format_exception(error, limit=-3))


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
        _install_signal_handler(process, signal_number, handler)
    try:
        process.start()
    except OSError as error:
        return _start_failed(process, error)
    gc.collect()
    gc.freeze()
    process.finished.wait()
    for signal_number in signal_handlers:
        # The end of the interpreter restores the default action otherwise.
        signal.signal(signal_number, signal.SIG_IGN)
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
    process: Process, signal_number: int, handler: Callable[[], None]
) -> None:
    """Install a signal handler that runs as a task.

    It never interrupts a task.
    """
    hub = hubs.get_hub()
    signal.signal(
        signal_number,
        lambda *_: hub.schedule_call_global(
            0, eventlet.spawn_n, process.run_request, _do_nothing, handler
        ),
    )


def _do_nothing() -> None:
    """Leave what a failed handler of a signal was about as it is."""
