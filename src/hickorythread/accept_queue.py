"""Looks at the connections that a listener has not accepted yet."""

from typing import Any

from eventlet import patcher

# The version of eventlet suspends the task.
_select = patcher.original("select")


def is_empty(listener: Any) -> bool:
    """Return whether no connection waits to be accepted."""
    poll = _select.poll()
    poll.register(listener.fileno(), _select.POLLIN)
    return not poll.poll(0)
