"""Servers and clocks for tests of the edges."""

import contextlib
import json
import queue
import socket
import threading

import eventlet
import urllib3


class ManualClock:
    """A clock that moves only when a test says so."""

    def __init__(self, now=1000.0):
        self.now = now

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now + 1_700_000_000


class ScriptedServer:
    """Answer each connection with the next script, one thread each.

    A script gets the connection and returns when it is done with it.
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
        """Read one request and record it; returns it whole."""
        data = b""
        while b"\r\n\r\n" not in data:
            piece = connection.recv(65536)
            if not piece:
                return b""
            data += piece
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


def respond(*answers):
    """Answer requests with the given bytes in turn, then close."""

    def script(server, connection):
        for data in answers:
            if not server.read_request(connection):
                return
            connection.sendall(data)

    return script


def respond_to_all(data=b""):
    def script(server, connection):
        while server.read_request(connection):
            connection.sendall(data or response())

    return script


@contextlib.contextmanager
def serving(make):
    """Run what make() returns in a thread with its own hub.

    make() returns an object with a server attribute, or a server.
    """
    started, done, box = threading.Event(), threading.Event(), []

    def run():
        made = make()
        server = getattr(made, "server", made)
        server.start()
        box.append((made, server.address))
        started.set()
        while not done.is_set():
            eventlet.sleep(0.005)
        server.stop()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    assert started.wait(10)
    try:
        yield box[0]
    finally:
        done.set()
        thread.join(10)


def request_json(address, method, target, document=None, **headers):
    """Send one request and return its status and JSON answer."""
    body = None if document is None else json.dumps(document)
    names = {name.replace("_", "-"): text for name, text in headers.items()}
    answered = urllib3.request(
        method,
        f"http://{address}{target}",
        body=body,
        headers=names,
        retries=False,
    )
    return answered.status, json.loads(answered.data or b"null")
