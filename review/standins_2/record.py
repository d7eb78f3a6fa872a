"""The record of a case: what was sent, answered and run."""

import pathlib
import threading
import time


class Record:
    """Write lines with the seconds since the start of the case."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.file = pathlib.Path(path).open("w", encoding="utf-8")

    def line(self, text, at=None):
        at = time.monotonic() if at is None else at
        with self.lock:
            self.file.write(f"{at - self.started_at:8.3f} {text}\n")
            self.file.flush()

    def say(self, text):
        """Write a line and show it."""
        self.line(text)
        print(text, flush=True)

    def attempts(self, attempts):
        """Write what was sent and answered."""
        for item in attempts:
            end = item.ended_at or time.monotonic()
            self.line(
                f"sent {item.id} {item.kind} {item.method} {item.path} "
                f"at {item.machine.address} "
                f"-> {item.status or item.failure or 'no answer'} "
                f"after {(end - item.sent_at) * 1000:.0f} ms",
                item.sent_at,
            )

    def arrivals(self, arrivals):
        """Write what upstreams received."""
        for item in sorted(arrivals, key=lambda entry: entry.at):
            self.line(
                f"ran {item.attempt_id} {item.message.method} "
                f"{item.message.target} at {item.instance} "
                f"on {item.upstream.machine.address}: {item.outcome}",
                item.at,
            )

    def close(self):
        self.file.close()
