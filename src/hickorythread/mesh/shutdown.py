"""Ends a sidecar once it has answered what it can."""

from collections.abc import Callable
from typing import Any

import eventlet

from hickorythread import accept_queue
from hickorythread import descriptors
from hickorythread import http_listener
from hickorythread import logs
from hickorythread.mesh import stopping

POLL_SECONDS = 0.02
# Clients send requests until two readiness checks have failed.
MIN_DRAIN_SECONDS = 3.2
QUIET_PERIOD_SECONDS = 0.6
# A flood of new connections does not delay a stop for longer.
MAX_ACCEPT_SECONDS = 0.3


class Shutdown:
    """Stop a node gracefully, within its grace time."""

    __slots__ = ("node", "clock", "policy")

    def __init__(self, node: Any) -> None:
        self.node = node
        self.clock = node.clock
        self.policy = stopping.StopPolicy(
            node.settings.grace_seconds, self.clock.monotonic()
        )

    def run(self) -> None:
        """Drain the node and end its process."""
        node, policy = self.node, self.policy
        node.entry.stop = policy
        node.perform(node.execution.stop(policy.started_at))
        self._wait_for_quiet_period()
        self._close_listeners()
        node.client_connections.draining = True
        http_listener.end_idle(node.connections.tables[descriptors.REQUESTS])
        self._wait_while(self._is_in_use, policy.ends_at)
        node.perform(node.entry.end(self.clock.monotonic()))
        self._wait_while(node.has_unsent, policy.exits_at)
        logs.info("node_stopped", unfinished=len(node.clients))
        node.finish(None)

    def _wait_for_quiet_period(self) -> None:
        """Serve clients until none sends requests for QUIET_PERIOD_SECONDS."""
        policy = self.policy
        quiet_since = policy.started_at
        while (now := self.clock.monotonic()) < policy.accepts_until:
            if self._is_busy():
                quiet_since = now
            if (
                now - policy.started_at >= MIN_DRAIN_SECONDS
                and now - quiet_since >= QUIET_PERIOD_SECONDS
            ):
                return
            eventlet.sleep(POLL_SECONDS)

    def _close_listeners(self) -> None:
        """Refuse new connections; those already accepted bring a request."""
        self.node.accepting = False
        closes_at = self.clock.monotonic() + MAX_ACCEPT_SECONDS
        for listener in self.node.listeners:
            while not accept_queue.is_empty(listener):
                if self.clock.monotonic() >= closes_at:
                    break
                eventlet.sleep(0)
            listener.close()
        eventlet.sleep(http_listener.FIRST_REQUEST_SECONDS)

    def _wait_while(self, condition: Callable[[], bool], until: float) -> None:
        while condition() and self.clock.monotonic() < until:
            eventlet.sleep(POLL_SECONDS)

    def _is_in_use(self) -> bool:
        open_connections = self.node.connections.count(descriptors.REQUESTS)
        return self._is_busy() or open_connections > 0

    def _is_busy(self) -> bool:
        return self.node.has_unsent() or not self.node.execution.idle
