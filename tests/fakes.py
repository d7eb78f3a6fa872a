"""In-process fake HTTP servers for a node's operator port and the platform."""

import contextlib
import http.server
import json
import threading


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.respond()

    def do_POST(self):
        self.respond()

    def respond(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(size)) if size else None
        fake = self.server.fake
        fake.requests.append((self.command, self.path, body, self.headers))
        status, document = fake.next_response(self.command, self.path)
        payload = document
        if not isinstance(document, bytes):
            payload = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    def log_message(self, *args):
        pass


class FakeServer:
    """A fake server that responds from a table and records its requests.

    A key is a method and a path without query; a value is a pair (status,
    document) or a list of pairs, the last of which is repeated.
    """

    def __init__(self, answers):
        self.answers = answers
        self.requests = []
        self.address = ""

    def next_response(self, method, path):
        response = self.answers.get(f"{method} {path.partition('?')[0]}")
        if response is None:
            return 404, {"message": "no such resource"}
        if isinstance(response, list):
            return response.pop(0) if len(response) > 1 else response[0]
        return response

    def calls(self, method, path):
        return [
            request
            for request in self.requests
            if request[0] == method and request[1].partition("?")[0] == path
        ]


@contextlib.contextmanager
def serve(answers):
    fake = FakeServer(answers)
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
