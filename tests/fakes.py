"""In-process HTTP fakes of a node's operator port and of the platform."""

import contextlib
import http.server
import json
import threading


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.answer()

    def do_POST(self):
        self.answer()

    def answer(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(size)) if size else None
        fake = self.server.fake
        fake.requests.append((self.command, self.path, body, self.headers))
        status, document = fake.next_response(self.command, self.path)
        data = document
        if not isinstance(document, bytes):
            data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *args):
        pass


class Fake:
    """Answers requests from a table and records them.

    A key is method and path without query; a value is (status, document) or
    a list of them, of which the last is repeated.
    """

    def __init__(self, answers):
        self.answers = answers
        self.requests = []
        self.address = ""

    def next_response(self, method, path):
        known = self.answers.get(f"{method} {path.partition('?')[0]}")
        if known is None:
            return 404, {"message": "no such resource"}
        if isinstance(known, list):
            return known.pop(0) if len(known) > 1 else known[0]
        return known

    def calls(self, method, path):
        return [
            item
            for item in self.requests
            if item[0] == method and item[1].partition("?")[0] == path
        ]


@contextlib.contextmanager
def serve(answers):
    fake = Fake(answers)
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
    server.daemon_threads = True
    server.fake = fake
    fake.address = f"127.0.0.1:{server.server_address[1]}"
    thread = threading.Thread(
        target=server.serve_forever, kwargs={"poll_interval": 0.01}
    )
    thread.start()
    try:
        yield fake
    finally:
        server.shutdown()
        server.server_close()
        thread.join()
