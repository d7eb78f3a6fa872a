"""A stand-in for the platform's metadata store on a loopback address."""

import base64
import contextlib
import http.server
import json
import socket
import threading
import time
from urllib import parse

PAGE_ITEMS = 3
DRIP_BYTES = 40
DRIP_SECONDS = 0.2
POLL_SECONDS = 0.05

# How a response leaves the store.
WHOLE = "whole"
GARBAGE = "garbage"
DRIP = "drip"
RESET = "reset"
SILENT = "silent"
MANNERS = (GARBAGE, DRIP, RESET, SILENT)
# The connection of a lost response answers nothing any more. The second loses
# those of calls that wait, the third those of calls that do not.
LOST = "lost"
LOST_WATCHES = "lost watches"
LOST_CHECKS = "lost checks"
LOSSES = (LOST, LOST_WATCHES, LOST_CHECKS)


class Store:
    """Serves items and their history; error_status makes all calls fail.

    era_text is the value of the header that states the era, if any. Each
    response is delayed by delay_seconds and leaves in the given manner. A
    frozen store serves the state that it had when it was frozen.
    """

    def __init__(self):
        self.delay_seconds = 0.0
        self.manner = WHOLE
        self.frozen = None
        self.connections = set()
        self.condition = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 1
        self.compacted = 0
        self.error_status = 0
        self.era_text = None
        self.calls = []
        self.server = None
        self.listen(("127.0.0.1", 0))

    def listen(self, address):
        """Serve calls at an address."""
        self.server = _Server(address, _Handler)
        self.server.store = self
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def stop(self):
        """End the process that serves; return its address."""
        address = self.server.server_address
        self.close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        return address

    def freeze(self):
        """Serve the present state until unfreeze is called."""
        with self.condition:
            self.frozen = self.copy()

    def unfreeze(self):
        with self.condition:
            self.frozen = None
            self.condition.notify_all()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def put(self, key, document):
        self.put_bytes(key, json.dumps(document).encode())

    def put_bytes(self, key, data):
        encoded = base64.b64encode(data).decode()
        with self.condition:
            self.revision += 1
            item = {
                "key": key,
                "value": encoded,
                "rev": self.revision,
                "created": self.revision,
                "lease": 0,
            }
            self.items[key] = item
            self.history.append(item)
            self.condition.notify_all()

    def delete(self, key):
        with self.condition:
            self.revision += 1
            del self.items[key]
            self.history.append(
                {"key": key, "rev": self.revision, "deleted": True}
            )
            self.condition.notify_all()

    def compact(self):
        """Discard the history; watches from older revisions return 410."""
        with self.condition:
            self.compacted = self.revision
            self.history.clear()
            self.condition.notify_all()

    def copy(self):
        """Return a copy of the items with the revision."""
        with self.condition:
            return dict(self.items), self.revision

    def restore(self, copy, era):
        """Go back to an older copy; later watches return 410."""
        with self.condition:
            self.items, self.revision = dict(copy[0]), copy[1]
            self.history.clear()
            self.compacted = self.revision
            self.era_text = str(era)
            self.condition.notify_all()

    def list(self, prefix, after):
        with self.condition:
            items, revision = self.frozen or (self.items, self.revision)
            keys = sorted(
                key for key in items if key.startswith(prefix) and key > after
            )
            return {
                "items": [items[key] for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS,
                "store_revision": revision,
            }

    def watch(self, prefix, after, wait):
        deadline = time.monotonic() + wait
        with self.condition:
            while True:
                revision = self.frozen[1] if self.frozen else self.revision
                if not self.compacted <= after <= self.revision:
                    return None
                events = [
                    item
                    for item in self.history
                    if after < item["rev"] <= revision
                    and item["key"].startswith(prefix)
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return {"events": events, "store_revision": revision}
                self.condition.wait(remaining)

    def loses_response(self, waits):
        """Return whether the response to a call is lost now."""
        if self.manner == LOST:
            return True
        return self.manner == (LOST_WATCHES if waits else LOST_CHECKS)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    store = None

    def handle_error(self, request, client_address):
        """Ignore connections that end within a call."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    waits = False
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.server.store.connections.add(self.connection)

    def finish(self):
        self.server.store.connections.discard(self.connection)
        super().finish()

    def do_GET(self):
        store = self.server.store
        path, _, query = self.path.partition("?")
        values = dict(parse.parse_qsl(query))
        self.waits = int(values.get("wait_ms", 0)) > 0
        store.calls.append(path)
        if store.error_status:
            self.respond(store.error_status, {"err": "refused"})
        elif path == "/-/kv-range":
            result = store.list(values["prefix"], values.get("after", ""))
            self.respond(200, result)
        elif path == "/-/kv-watch":
            wait = int(values["wait_ms"]) / 1000
            result = store.watch(values["prefix"], int(values["after"]), wait)
            status = 410 if result is None else 200
            self.respond(status, result or {"err": "compacted"})
        else:
            self.respond(404, {"err": "unknown call"})

    def respond(self, status, document):
        store = self.server.store
        time.sleep(store.delay_seconds)
        data = json.dumps(document).encode()
        if store.loses_response(self.waits):
            self.close_connection = True
            with contextlib.suppress(OSError):
                # Until the client gives the connection up.
                self.rfile.read()
            return
        while store.manner == SILENT:
            time.sleep(POLL_SECONDS)
        if store.manner == GARBAGE:
            data = data[: len(data) // 2] + b"\xff\x00{"
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        if store.era_text is not None:
            self.send_header("Store-Era", store.era_text)
        with contextlib.suppress(ConnectionError):
            self.end_headers()
            self.write_body(data)

    def write_body(self, data):
        """Write a body in the manner of the store."""
        if self.server.store.manner == RESET:
            self.wfile.write(data[: len(data) // 2])
            self.close_connection = True
            return
        while self.server.store.manner == DRIP and data:
            self.wfile.write(data[:DRIP_BYTES])
            data = data[DRIP_BYTES:]
            time.sleep(DRIP_SECONDS)
        self.wfile.write(data)

    def log_message(self, *arguments):
        """Suppress request logging."""
