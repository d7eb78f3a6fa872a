"""HTTP servers and a manual clock for tests."""

import contextlib
import json
import queue
import select
import socket
import threading

import eventlet
import urllib3

MAX_DRIPS = 200


class ManualClock:
    """A clock that advances only when a test sets it."""

    def __init__(self, now=1000.0):
        self.now = now

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now + 1_700_000_000


class ScriptedServer:
    """Run the next script for each connection, each in its own thread.

    A script is called with the server and the connection, which is closed
    when the script returns. Further connections get respond_to_all().
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.closed = queue.Queue()
        self.accepted = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def read_request(self, connection):
        """Read one request, record it and return its bytes.

        Returns no bytes if the connection is closed.
        """
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = connection.recv(65536)
            if not chunk:
                return b""
            data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        while len(body) < length:
            body += connection.recv(65536)
        self.requests.append(head + b"\r\n\r\n" + body)
        return self.requests[-1]

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            script = self.scripts.pop(0) if self.scripts else respond_to_all()
            threading.Thread(
                target=self._serve, args=(script, connection), daemon=True
            ).start()

    def _serve(self, script, connection):
        with connection:
            script(self, connection)
        self.closed.put(True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def response(body=b"ok", head="HTTP/1.1 200 OK", extra=""):
    length = f"Content-Length: {len(body)}\r\n"
    return f"{head}\r\n{length}{extra}\r\n".encode() + body


def respond(*responses):
    """Return a script that sends the responses, one for each request."""

    def script(server, connection):
        for data in responses:
            if not server.read_request(connection):
                return
            connection.sendall(data)

    return script


def respond_to_all(data=b""):
    def script(server, connection):
        while server.read_request(connection):
            connection.sendall(data or response())

    return script


def drip(head, piece, drips):
    """Return a script that sends a piece every 20 ms until the client leaves.

    The number of pieces that were sent is put into the queue drips.
    """

    def script(server, connection):
        server.read_request(connection)
        sent = 0
        try:
            connection.sendall(head)
            while sent < MAX_DRIPS and not left(connection):
                connection.sendall(piece)
                sent += 1
        except OSError:
            pass
        drips.put(sent)

    return script


def left(connection):
    """Wait 20 ms; return whether the client has closed its connection."""
    return bool(select.select([connection], [], [], 0.02)[0])


@contextlib.contextmanager
def serving(factory):
    """Run a server in a thread with its own hub.

    factory() returns a server or an object with a server attribute. Yields
    that object and the address.
    """
    started, stop_requested, results = threading.Event(), threading.Event(), []

    def run():
        served = factory()
        server = getattr(served, "server", served)
        server.start()
        results.append((served, server.address))
        started.set()
        while not stop_requested.is_set():
            eventlet.sleep(0.005)
        server.stop()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    assert started.wait(10)
    try:
        yield results[0]
    finally:
        stop_requested.set()
        thread.join(10)


def request_json(address, method, target, document=None, **headers):
    """Send one request and return the status and the JSON of its response."""
    body = None if document is None else json.dumps(document)
    names = {name.replace("_", "-"): text for name, text in headers.items()}
    result = urllib3.request(
        method,
        f"http://{address}{target}",
        body=body,
        headers=names,
        retries=False,
    )
    return result.status, json.loads(result.data or b"null")
