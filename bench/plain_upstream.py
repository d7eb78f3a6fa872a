"""Serve a fixed response after 2 ms with plain sockets.

The argument is the address to listen on.
"""

import collections
import select
import socket
import sys
import time

BODY = b'{"panel":"P-12","thickness_mm":19}'
SERVICE_SECONDS = 0.002


def serve_target(address):
    """Respond to every request with the same body until killed."""
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=1024)
    header = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n"
    response = (
        f"{header}Content-Type: application/json\r\n\r\n".encode() + BODY
    )
    poll = select.epoll()
    poll.register(listener, select.EPOLLIN)
    connections = {}
    pending = collections.deque()
    while True:
        timeout = (
            max(0.0, pending[0][0] - time.monotonic()) if pending else None
        )
        # The timeout of epoll is in whole milliseconds, that of select in
        # microseconds.
        select.select([poll.fileno()], [], [], timeout)
        for fd, _ in poll.poll(0):
            if fd == listener.fileno():
                sock = listener.accept()[0]
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connections[sock.fileno()] = sock
                poll.register(sock, select.EPOLLIN)
                continue
            data = _receive(connections[fd])
            if not data:
                connections.pop(fd).close()
            elif data.endswith(b"\r\n\r\n"):
                respond_at = time.monotonic() + SERVICE_SECONDS
                pending.append((respond_at, connections[fd]))
        while pending and pending[0][0] <= time.monotonic():
            _send(pending.popleft()[1], response)


def _send(sock, data):
    try:
        sock.sendall(data)
    except OSError:
        # The caller has closed the connection.
        return


def _receive(sock):
    try:
        return sock.recv(65536)
    except OSError:
        return b""


if __name__ == "__main__":
    serve_target(sys.argv[1])
