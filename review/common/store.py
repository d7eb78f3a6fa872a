"""The platform's store: the project's stand-in, whose answers can be lost."""

import contextlib
import json
import threading
import time
from urllib import parse

from tools.loopback import store_standin

LOST_SECONDS = 120.0


class Store(store_standin.Store):
    """Answer calls; loses_answer decides which answers are lost.

    Each machine has an address of the store of its own, so that the machine
    of a call is known by its port. After a lost answer a connection returns
    nothing further. log holds for each answer the time, the port, the call
    and whether it was lost.
    """

    def __init__(self):
        self.loses_answer = lambda port, path, document: False
        self.log = []
        self.more_servers = []
        self.ended = threading.Event()
        super().__init__()

    def listen(self, address):
        """Serve calls at an address."""
        self.server = store_standin._Server(address, Handler)
        self.server.store = self
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def add_address(self):
        """Serve calls at one more address and return it."""
        first = self.server
        self.listen(("127.0.0.1", 0))
        added, self.server = self.server, first
        self.more_servers.append(added)
        return f"127.0.0.1:{added.server_port}"

    def close(self):
        """End the store; the calls that wait are not answered."""
        self.ended.set()
        for server in self.more_servers:
            server.shutdown()
            server.server_close()
        super().close()


class Handler(store_standin._Handler):
    """Serve one connection."""

    def do_GET(self):
        """Answer a read, a list or a watch."""
        store = self.server.store
        path, _, query = self.path.partition("?")
        values = dict(parse.parse_qsl(query))
        if path == "/-/kv-range":
            document = store.list(values["prefix"], values.get("after", ""))
        elif path == "/-/kv-watch":
            wait = int(values["wait_ms"]) / 1000
            document = store.watch(
                values["prefix"], int(values["after"]), wait
            )
        else:
            self._answer(404, {"err": "unknown call"})
            return
        port = self.server.server_port
        is_lost = store.loses_answer(port, self.path, document)
        store.log.append((time.monotonic(), port, self.path, is_lost))
        if is_lost:
            # The connection stays open and returns nothing further.
            store.ended.wait(LOST_SECONDS)
            self.close_connection = True
            return
        if document is None:
            self._answer(410, {"err": "compacted"})
        else:
            self._answer(200, document)

    def _answer(self, status, document):
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        if self.server.store.era_text is not None:
            self.send_header("Store-Era", self.server.store.era_text)
        with contextlib.suppress(ConnectionError):
            self.end_headers()
            self.wfile.write(data)
