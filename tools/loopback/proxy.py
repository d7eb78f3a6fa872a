"""A TCP proxy whose link can be disturbed."""

import contextlib
import socket
import threading
import time

from tools.loopback import target_process

CHUNK_BYTES = 65_536
POLL_SECONDS = 0.05


class Proxy:
    """Forward connections from a port of its own to a destination.

    delay_seconds holds up each chunk. is_cut_back holds up all that the
    destination sends, and is_silent what either side sends, until the fault
    ends.
    """

    def __init__(self, destination):
        self.destination = destination
        self.delay_seconds = 0.0
        self.is_cut_back = False
        self.is_silent = False
        self.lock = threading.Lock()
        # Held by whoever causes a fault of the link.
        self.fault_lock = threading.Lock()
        self.connections = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return "{}:{}".format(*self.listener.getsockname())

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self.destination, 5.0)
            except OSError:
                target_process.reset(near)
                continue
            far.settimeout(None)
            for item in (near, far):
                item.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections |= {near, far}
            for arguments in ((near, far, False), (far, near, True)):
                threading.Thread(
                    target=self._pump, args=arguments, daemon=True
                ).start()

    def _pump(self, source, sink, is_back):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                while self.is_silent or (self.is_cut_back and is_back):
                    time.sleep(POLL_SECONDS)
                if self.delay_seconds:
                    time.sleep(self.delay_seconds)
                sink.sendall(data)
        with self.lock:
            self.connections -= {source, sink}
        for item in (source, sink):
            with contextlib.suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)
            item.close()

    def reset_all(self):
        """Reset all connections."""
        with self.lock:
            connections = list(self.connections)
        for item in connections:
            target_process.reset(item)

    def close(self):
        self.is_silent = self.is_cut_back = False
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset_all()
