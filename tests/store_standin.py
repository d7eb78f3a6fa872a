"""A stand-in of the platform's metadata store, on loopback."""

import base64
import http.server
import json
import threading
import time
from urllib import parse

PAGE_ITEMS = 3


class Store:
    """Hold items and their history; failures can be switched on."""

    def __init__(self):
        self.condition = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 1
        self.compacted = 0
        self.refuse_status = 0
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
        text = base64.b64encode(data).decode()
        with self.condition:
            self.revision += 1
            item = {
                "key": key,
                "value": text,
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
        """Forget the history; waiting watches are cut."""
        with self.condition:
            self.compacted = self.revision
            self.history.clear()
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
                if after < self.compacted:
                    return None
                events = [
                    item
                    for item in self.history
                    if item["rev"] > after and item["key"].startswith(prefix)
                ]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return {
                        "events": events,
                        "store_revision": self.revision,
                    }
                self.condition.wait(left)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        store = self.server.store
        path, _, query = self.path.partition("?")
        values = dict(parse.parse_qsl(query))
        store.calls.append(path)
        if store.refuse_status:
            self.answer(store.refuse_status, {"err": "refused"})
        elif path == "/-/kv-range":
            found = store.list(values["prefix"], values.get("after", ""))
            self.answer(200, found)
        elif path == "/-/kv-watch":
            wait = int(values["wait_ms"]) / 1000
            found = store.watch(values["prefix"], int(values["after"]), wait)
            status = 410 if found is None else 200
            self.answer(status, found or {"err": "compacted"})
        else:
            self.answer(404, {"err": "unknown call"})

    def answer(self, status, document):
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *arguments):
        """Write nothing."""
