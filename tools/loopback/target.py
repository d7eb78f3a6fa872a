"""A target that records the requests it runs."""

import http.server
import threading
import time

# Bounds how long a held request waits; no result depends on its value.
WAIT_SECONDS = 30.0


class Target:
    """HTTP server that responds with its instance id and the request path."""

    def __init__(self, address, instance):
        self.instance = instance
        self.runs = []
        self.delay_seconds = 0.0
        # Appended to the answers of requests, but not of probes.
        self.padding = b""
        # The status in the answers of requests, as it stands on the wire.
        self.status_text = "200"
        self.release = threading.Event()
        self.release.set()
        target = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                if self.path == "/healthz":
                    self.answer(200, b"")
                    return
                expected = self.headers.get("Hickorythread-Expect-Instance")
                if expected != target.instance:
                    self.answer(421, b"")
                    return
                target.runs.append((self.path, dict(self.headers), body))
                target.release.wait(WAIT_SECONDS)
                time.sleep(target.delay_seconds)
                body = f"{target.instance} {self.path}".encode()
                self.answer(target.status_text, body + target.padding)

            do_GET = do_POST = handle_any

            def answer(self, status, body):
                status_line = f"HTTP/1.1 {status} Status\r\n"
                self._headers_buffer = [status_line.encode("latin-1")]
                self.send_header("Hickorythread-Instance-Id", target.instance)
                self.send_header("Hickorythread-Server-Stamp", "stamp")
                attempt = self.headers.get("Hickorythread-Attempt-Id")
                if attempt:
                    self.send_header("Hickorythread-Attempt-Id", attempt)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *arguments):
                """Suppress request logging."""

        self.server = http.server.ThreadingHTTPServer(address, Handler)
        self.server.daemon_threads = True
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()
