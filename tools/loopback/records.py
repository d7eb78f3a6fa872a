"""What callers, targets and the starter of processes have seen."""

import threading
import time

ANSWERED = "answered"
# The request was written whole and the connection ended without its answer.
CLOSED = "closed"
# The same, behind an answer that announced the end of the connection.
BEHIND_CLOSE = "behind-close"
NO_ANSWER = "no-answer"
MALFORMED = "malformed"
# The request could not be written whole.
UNSENT = "unsent"
NO_CONNECTION = "no-connection"


class Request:
    """One request of a caller; times are monotonic seconds."""

    __slots__ = (
        "id",
        "host",
        "method",
        "path",
        "prefix",
        "idempotent",
        "body_size",
        "answer_size",
        "deadline_ms",
        "process",
        "sent_at",
        "written_at",
        "ended_at",
        "outcome",
        "status",
        "body_matches",
        "stamp",
        "detail",
    )

    def __init__(
        self,
        request_id,
        host,
        route,
        body_size,
        answer_size,
        work_ms,
        deadline_ms,
    ):
        self.id = request_id
        self.host = host
        self.method = "POST" if body_size else "GET"
        self.prefix = route.prefix
        self.path = f"{route.prefix}{request_id}?{answer_size},{work_ms}"
        self.idempotent = route.idempotent
        self.body_size = body_size
        self.answer_size = answer_size
        self.deadline_ms = deadline_ms
        self.process = None
        self.sent_at = 0.0
        self.written_at = 0.0
        self.ended_at = 0.0
        self.outcome = ""
        self.status = 0
        self.body_matches = False
        self.stamp = ""
        self.detail = ""

    def end(self, outcome, detail=""):
        self.ended_at = time.monotonic()
        self.outcome = outcome
        self.detail = detail


class Run:
    """One request that a target process has begun to run.

    broken_off states that the target gave up the request or its answer.
    """

    __slots__ = (
        "request_id",
        "method",
        "path",
        "body_matches",
        "caller_service",
        "target",
        "instance",
        "started_at",
        "ended_at",
        "broken_off",
    )

    def __init__(self, message, target, instance):
        request_id = message.headers.get("hickorythread-attempt-id", "")
        self.request_id = request_id
        self.method = message.method
        self.path = message.path
        self.body_matches = True
        self.caller_service = message.headers.get(
            "hickorythread-caller-service", ""
        )
        self.target = target
        self.instance = instance
        self.started_at = time.monotonic()
        self.ended_at = None
        self.broken_off = False


class Span:
    """A disruption of one host, or of all hosts if host is None."""

    __slots__ = ("host", "kind", "started_at", "ended_at")

    def __init__(self, host, kind):
        self.host = host
        self.kind = kind
        self.started_at = time.monotonic()
        self.ended_at = None

    def end(self):
        self.ended_at = time.monotonic()

    def touches(self, host, start, end):
        """Return whether it disrupted a host between two times."""
        return (
            self.host in (None, host)
            and self.started_at <= end
            and (self.ended_at is None or self.ended_at >= start)
        )


class Records:
    """Collect all records of one soak; safe to use from all threads."""

    def __init__(self):
        self.lock = threading.Lock()
        self.requests = []
        self.runs = []
        self.spans = []
        self.fault_counts = {}

    def add_request(self, request):
        with self.lock:
            self.requests.append(request)

    def add_run(self, run):
        with self.lock:
            self.runs.append(run)

    def begin_span(self, host, kind):
        span = Span(host, kind)
        with self.lock:
            self.spans.append(span)
        return span

    def count_fault(self, kind):
        with self.lock:
            self.fault_counts[kind] = self.fault_counts.get(kind, 0) + 1

    def has_span(self, host, start, end):
        """Return whether a host was disrupted between two times."""
        return any(span.touches(host, start, end) for span in self.spans)


class LagMonitor:
    """Measure how late this process wakes up on a busy machine."""

    INTERVAL_SECONDS = 0.02

    def __init__(self):
        self.lags = []
        self.stopped = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while not self.stopped.is_set():
            before = time.monotonic()
            time.sleep(self.INTERVAL_SECONDS)
            lag = time.monotonic() - before - self.INTERVAL_SECONDS
            if lag > self.INTERVAL_SECONDS:
                self.lags.append((before, lag))

    def lag(self, start, end):
        """Return the longest delay of a wake-up between two times."""
        return max(
            (lag for at, lag in self.lags if start - lag <= at <= end),
            default=0.0,
        )
