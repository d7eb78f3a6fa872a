"""Peers that always have more to send, and a count of the turns of others."""

import contextlib

import eventlet

from hickorythread import connection_reader


class EndlessSocket:
    """Give out a beginning and then a piece again and again, without a wait.

    It stands for a green socket; fd is its own plain one. wire_bytes counts
    what was received.
    """

    def __init__(self, beginning, piece):
        self.data = beginning
        self.pieces = piece * (
            connection_reader.READ_CHUNK_BYTES // len(piece)
        )
        self.fd = self
        self.wire_bytes = 0
        self.sent_bytes = 0
        self.ended = False

    def recv(self, size, flags=0):
        if self.ended:
            return b""
        if len(self.data) < size:
            self.data += self.pieces
        received, self.data = self.data[:size], self.data[size:]
        self.wire_bytes += len(received)
        return received

    def recv_into(self, buffer):
        received = self.recv(len(buffer))
        buffer[: len(received)] = received
        return len(received)

    def send(self, data):
        self.sent_bytes += len(data)
        return len(data)

    def shutdown(self, how):
        self.ended = True

    def close(self):
        self.ended = True

    def settimeout(self, seconds):
        pass

    def setsockopt(self, *option):
        pass


class Connection:
    """Stand for the connection of an HTTP client."""

    def __init__(self, sock):
        self.sock = sock
        self.reader = connection_reader.ConnectionReader(sock)

    def close(self):
        self.sock.close()


class Others:
    """Stand for all other tasks; turns counts how often they could run."""

    def __init__(self):
        self.turns = 0

    def run(self):
        while True:
            self.turns += 1
            eventlet.sleep(0)


@contextlib.contextmanager
def others():
    """Run other tasks beside a block."""
    tasks = Others()
    running = eventlet.spawn(tasks.run)
    try:
        yield tasks
    finally:
        running.kill()
