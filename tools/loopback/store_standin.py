"""A stand-in for the platform's metadata store on a loopback address."""

import base64
import contextlib
import http.server
import json
import threading
import time
from urllib import parse

PAGE_ITEMS = 3


class Store:
    """Serves items and their history; error_status makes all calls fail.

    era_text is the value of the header that states the era, if any.
    """

    def __init__(self):
        self.condition = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 1
        self.compacted = 0
        self.error_status = 0
        self.era_text = None
        self.calls = []
        self.server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), _Handler
        )
        self.server.daemon_threads = True
        self.server.store = self
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()

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

    def watch(self, prefix, after, wait):
        deadline = time.monotonic() + wait
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
        self.server.shutdown()
        self.server.server_close()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self):
        store = self.server.store
        path, _, query = self.path.partition("?")
        values = dict(parse.parse_qsl(query))
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
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        if self.server.store.era_text is not None:
            self.send_header("Store-Era", self.server.store.era_text)
        self.end_headers()
        with contextlib.suppress(ConnectionError):
            self.wfile.write(data)

    def log_message(self, *arguments):
        """Suppress request logging."""
