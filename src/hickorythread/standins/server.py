"""A WSGI server whose listener and connections can be closed at any time."""

from collections.abc import Callable
from collections.abc import Iterable
import socket
from typing import Any

import eventlet
from eventlet.support import greenlets
import eventlet.wsgi

from hickorythread import utils


class Server:
    """Serve a WSGI application; own the listener and connections."""

    def __init__(
        self,
        application: Callable[..., Iterable[bytes]],
        address: str,
        max_connections: int = 10_000,
        accept_delay_seconds: float = 0.0,
    ) -> None:
        self.application = application
        self.address = address
        self.max_connections = max_connections
        self.accept_delay_seconds = accept_delay_seconds
        self.accepted = 0
        self.rejected = 0
        self._listener: Any = None
        self._accept_thread: Any = None
        self._connections: dict[Any, Any] = {}

    @property
    def listening(self) -> bool:
        """Return whether connections are accepted."""
        return self._listener is not None

    def start(self) -> None:
        """Bind the address and accept connections.

        Port 0 is replaced by the port that the system chose.
        """
        host, port = utils.split_address(self.address)
        self._listener = eventlet.listen(
            (host, port), backlog=1024, reuse_port=False
        )
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._accept_thread = eventlet.spawn(self._accept, self._listener)

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._accept_thread.kill()
            self._listener.close()
            self._listener = None
        current = greenlets.getcurrent()
        for worker, connection in list(self._connections.items()):
            _close_connection(connection)
            if worker is not current:
                worker.kill()

    def _accept(self, listener: Any) -> None:
        server = eventlet.wsgi.Server(
            listener,
            listener.getsockname(),
            self.application,
            keepalive=True,
            log_output=False,
            debug=False,
        )
        while True:
            connection, address = listener.accept()
            if self.accept_delay_seconds:
                eventlet.sleep(self.accept_delay_seconds)
            if len(self._connections) >= self.max_connections:
                self.rejected += 1
                connection.close()
                continue
            self.accepted += 1
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            worker = eventlet.spawn(
                server.process_request, [address, connection, "idle"]
            )
            self._connections[worker] = connection
            worker.link(self._remove_connection)

    def _remove_connection(self, worker: Any) -> None:
        _close_connection(self._connections.pop(worker))


def _close_connection(connection: Any) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()
