"""Stand-in for the platform's metadata store, as a sound store behaves."""

import base64
import http.server
import json
import socket
import threading
import time
from urllib import parse

PAGE_ITEMS = 50


class Store:
    """Hold items and their history; the operator and upstreams write here."""

    def __init__(self):
        self.condition = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 10
        self.compacted = 0
        self.era = None
        # While set, connections get no answer.
        self.is_silent = False
        self.server = _Server(("127.0.0.1", 0), _Handler)
        self.server.store = self
        threading.Thread(
            target=self.server.serve_forever, args=(0.05,), daemon=True
        ).start()

    @property
    def address(self):
        return "{}:{}".format(*self.server.server_address)

    def put(self, key, document):
        """Write an item; the return is the acknowledgement."""
        data = json.dumps(document, separators=(",", ":")).encode()
        with self.condition:
            self.revision += 1
            created = self.items.get(key, {}).get("created", self.revision)
            item = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "rev": self.revision,
                "created": created,
                "lease": 0,
            }
            self.items[key] = item
            self.history.append(item)
            self.condition.notify_all()

    def delete(self, key):
        """Remove an item if there is one."""
        with self.condition:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.history.append(
                {"key": key, "rev": self.revision, "deleted": True}
            )
            self.condition.notify_all()

    def range(self, prefix, after):
        with self.condition:
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > after
            )
            return {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS,
                "store_revision": self.revision,
            }

    def watch(self, prefix, after, wait_seconds):
        deadline = time.monotonic() + wait_seconds
        with self.condition:
            while True:
                if not self.compacted <= after <= self.revision:
                    return None
                events = [
                    item
                    for item in self.history
                    if item["rev"] > after and item["key"].startswith(prefix)
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return {
                        "events": events,
                        "store_revision": self.revision,
                    }
                self.condition.wait(remaining)

    def close(self):
        self.is_silent = False
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
    disable_nagle_algorithm = True

    def do_GET(self):
        store = self.server.store
        path, _, query = self.path.partition("?")
        values = dict(parse.parse_qsl(query))
        if path == "/-/kv-range":
            document = store.range(values["prefix"], values.get("after", ""))
        elif path == "/-/kv-watch":
            document = store.watch(
                values["prefix"],
                int(values["after"]),
                int(values["wait_ms"]) / 1000,
            )
        elif path == "/-/kv-key":
            item = store.items.get(values["key"])
            document = item and item | {"store_revision": store.revision}
        else:
            document = None
        while store.is_silent:
            time.sleep(0.05)
        missing = 410 if path == "/-/kv-watch" else 404
        self.answer(200 if document else missing, document or {"err": "none"})

    def answer(self, status, document):
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        if self.server.store.era is not None:
            self.send_header("Store-Era", str(self.server.store.era))
        try:
            self.end_headers()
            self.wfile.write(data)
        except OSError:
            self.close_connection = True

    def log_message(self, *arguments):
        """Suppress request logging."""


def is_closed(connection):
    """Return whether the other side has closed a connection."""
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return not connection.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True
