"""The life of one process: its tasks, listeners and signals."""

from collections.abc import Callable
import gc
import signal
import traceback
from typing import Any

import eventlet
from eventlet import event as eventlet_event
from eventlet import hubs

from hickorythread import logs
from hickorythread import utils

EXIT_OK = 0
EXIT_ADDRESS_IN_USE = 3
EXIT_INVARIANT = 5


class Process:
    """Base of the processes that serve until they are asked to stop."""

    def __init__(self) -> None:
        self.stopping = False
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
        """Take over changed settings; by default there is nothing to do."""

    def listen(self, address: str) -> Any:
        """Bind an address and return its socket."""
        listener = eventlet.listen(
            utils.split_address(address), reuse_port=False
        )
        self.listeners.append(listener)
        return listener

    def spawn(self, task: Callable[..., Any], *arguments: Any) -> None:
        """Start a task under the guard."""
        eventlet.spawn_n(self.run_task, task, *arguments)

    def run_task(self, task: Callable[..., Any], *arguments: Any) -> None:
        """Run a task; a broken invariant or a defect stops the process."""
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
        """End the process, with a failure if there is one."""
        if not self.finished.ready():
            self.failure = failure
            self.finished.send()

    def exit_code(self) -> int:
        """Return what the process ends with."""
        return EXIT_OK if self.failure is None else EXIT_INVARIANT


def run(process: Process) -> bool:
    """Run a process to its end; False if an address is in use."""
    try:
        process.start()
    except OSError as error:
        logs.error("address_in_use", error=str(error))
        return False
    handlers = {
        signal.SIGTERM: process.stop,
        signal.SIGINT: process.stop,
        signal.SIGHUP: process.reload,
    }
    for number, handler in handlers.items():
        _handle(number, handler)
    gc.collect()
    gc.freeze()
    process.finished.wait()
    return True


def _handle(number: int, handler: Callable[[], None]) -> None:
    """Let the hub run a handler between tasks, not in the middle of one."""
    hub = hubs.get_hub()
    signal.signal(number, lambda *_: hub.schedule_call_global(0, handler))
