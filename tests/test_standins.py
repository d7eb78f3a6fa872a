"""Stand-ins: published interfaces of the outside systems and faults."""

import json
import threading
import time

import eventlet
import pytest
import urllib3

from hickorythread import adapters
from hickorythread import events
from hickorythread import standins
from hickorythread import utils
from tests import builders
from tests import servers

OPERATOR = {"Authorization": "Bearer t"}


def platform(**changes):
    return lambda: standins.Platform(**({"token": "t"} | changes))


def publish_patch(address, **document):
    return servers.request_json(
        address, "POST", "/v1/log", document, **OPERATOR
    )


def read(address, after=0, wait=0.0, log="config"):
    client = adapters.PlatformClient(address)
    return client.read(events.ReadSource(log, after, wait))


def wait_until(condition):
    for _ in range(10_000):
        if condition():
            return
        time.sleep(0.001)
    raise AssertionError("timed out waiting for the condition")


def test_watch_returns_when_an_entry_is_published():
    """R12: guards against a long poll that returns only at its timeout."""
    with servers.serving(platform()) as (source, address):
        results = []
        watch = threading.Thread(
            target=lambda: results.append(read(address, 0, 30.0))
        )
        watch.start()
        wait_until(lambda: source.describe()["waiting"] == 1)
        assert publish_patch(address, id="p1") == (200, {"sequence": 1})
        watch.join(10)
        assert results[0].entries[0]["patch"] == {"id": "p1"}
        assert read(address, 1).entries == []


def test_only_operators_publish():
    """R12: guards against writes to shared state without the token."""
    with servers.serving(platform()) as (source, address):
        for path in ("/v1/log", "/v1/checkpoint"):
            status, _ = servers.request_json(
                address, "POST", path, {"id": "p"}
            )
            assert status == 401
        status, _ = servers.request_json(
            address, "POST", "/v1/log", {}, Authorization="Bearer u"
        )
        assert (status, source.logs["config"]) == (401, [])


def test_reads_above_the_rate_are_refused():
    """R12: guards against a stand-in without a read rate limit."""
    clock = servers.ManualClock()
    limits = {"clock": clock, "reads_per_second": 3}
    with servers.serving(platform(**limits)) as (source, address):
        kinds = [getattr(read(address), "kind", "") for _ in range(5)]
        assert kinds == ["", "", "", "rate", "rate"]
        clock.now += 1
        assert read(address).head == 0
        stats = servers.request_json(address, "GET", "/stats")[1]
    assert stats["requests"]["limited"] == 2
    assert stats["requests"]["GET /v1/log"] == 6


def test_platform_faults():
    """R12: guards against faults that have no effect when injected."""
    with servers.serving(platform()) as (source, address):

        def control(**document):
            return servers.request_json(address, "POST", "/control", document)[
                1
            ]

        for number in range(3):
            publish_patch(address, id=f"p{number}")
        assert control(stale=True)["served_heads"]["config"] == 3
        publish_patch(address, id="p4")
        assert read(address, 3).entries == []
        assert control(rewind=3)["served_heads"]["config"] == 1
        assert read(address, 0).head == 1
        assert control(stale=False)["served_heads"]["config"] == 4
        control(outage=True)
        assert read(address).kind == "refused"
        control(outage=False, slow_seconds=30)
        client = adapters.PlatformClient(address, margin_seconds=0.05)
        slow = client.read(events.ReadSource("config", 0, 0.0))
        assert slow.kind == "timeout"
        bad = servers.request_json(
            address, "POST", "/control", {"rewind": "x"}
        )
        assert bad[0] == 400


def test_host_list_changes_after_its_lag():
    """R10: guards against a host list that changes without its lag."""
    first = builders.host("a").to_document()
    second = {"op": "put", "host": builders.host("b").to_document()}
    with servers.serving(platform(hosts=[first])) as (source, address):
        assert read(address, log="hosts").head == 1
        faults = {"lag_seconds": 3600, "hosts": [second]}
        servers.request_json(address, "POST", "/control", faults)
        assert read(address, log="hosts").head == 1
        faults["lag_seconds"] = 0
        servers.request_json(address, "POST", "/control", faults)
        changes = read(address, 1, log="hosts").entries[0]["changes"]
    assert changes == [second]


def test_answers_stay_below_the_value_limit():
    """R12: guards against a response above the readers' size limit."""
    with servers.serving(platform()) as (source, address):
        for _ in range(3):
            publish_patch(address, id="p", text="x" * 400_000)
        first = read(address)
        assert (len(first.entries), first.head) == (2, 3)
        assert len(read(address, 2).entries) == 1
        assert publish_patch(address, text="x" * 1_000_000)[0] == 400


def target_factory(**changes):
    return lambda: standins.Target(**({"warm_seconds": 0.0} | changes))


def start_requests(address, count, target="/specs?work_ms=60000"):
    """Start requests in the background, each on its own connection."""
    pool = urllib3.HTTPConnectionPool(
        *utils.split_address(address), maxsize=50, retries=False
    )

    def request():
        try:
            pool.urlopen("GET", target, retries=False)
        except urllib3.exceptions.HTTPError:
            return

    for _ in range(count):
        threading.Thread(target=request, daemon=True).start()


def test_cold_target_falls_over_and_returns_cold():
    """R4: guards against a stand-in that takes full load while cold."""
    clock = servers.ManualClock()
    cold = {"warm_seconds": 10.0, "refuse_seconds": 0.01, "clock": clock}
    with servers.serving(target_factory(slots=8, **cold)) as (
        standin,
        address,
    ):
        assert standin.effective_slots() == 2
        clock.now += 5
        assert standin.effective_slots() == 5
        start_requests(address, 6)
        wait_until(lambda: standin.crashes == 1)
        wait_until(lambda: standin.server.listening)
        assert standin.effective_slots() == 2
        outcomes = {record["outcome"] for record in standin.records}
        assert outcomes == {"crashed"}
        clock.now += 10
        start_requests(address, 8)
        wait_until(lambda: standin.in_flight == 8)
        assert standin.crashes == 1


def test_warm_target_sheds_above_its_slots():
    """R8: guards against recording a shed request as executed."""
    with servers.serving(target_factory(slots=2)) as (standin, address):
        start_requests(address, 2)
        wait_until(lambda: standin.in_flight == 2)
        status, _ = servers.request_json(address, "POST", "/kilns", {})
        assert (status, standin.shed_requests, len(standin.records)) == (
            503,
            1,
            2,
        )


def test_target_refuses_late_requests_and_reports_its_start():
    """R8: guards against executing a request after its deadline."""
    clock = servers.ManualClock()
    with servers.serving(target_factory(clock=clock)) as (standin, address):
        past = str(int(clock.wall() * 1000))
        response = urllib3.request(
            "GET",
            f"http://{address}/specs",
            headers={"X-Deadline-Unix-Ms": past},
        )
        assert (
            response.status,
            standin.expired_requests,
            standin.records,
        ) == (504, 1, [])
        started = response.headers["X-Upstream-Started-At"]
        assert int(started) == standin.started_at_ms


def test_marked_request_crashes_every_target_that_runs_it():
    """R9: guards against a crash that leaves no record of the request."""
    with servers.serving(target_factory(refuse_seconds=0.01)) as (
        standin,
        address,
    ):
        start_requests(address, 1)
        wait_until(lambda: standin.in_flight == 1)
        with pytest.raises(urllib3.exceptions.HTTPError):
            servers.request_json(
                address, "POST", "/kilns", {"x": "crash-upstream"}
            )
        wait_until(lambda: standin.crashes and standin.server.listening)
        records = servers.request_json(address, "GET", "/records?after=1")[1]
    assert records["total"] == 2
    assert [item["outcome"] for item in records["records"]] == ["crashed"]


def test_load_endpoint_lags_and_misleads():
    """R4: guards against load reports that are always accurate.

    Real health and load endpoints lag behind and can be wrong.
    """
    clock = servers.ManualClock()
    with servers.serving(target_factory(clock=clock)) as (standin, address):

        def in_flight():
            return servers.request_json(address, "GET", "/load")[1][
                "in_flight"
            ]

        servers.request_json(address, "POST", "/control", {"reports": "lag"})
        assert in_flight() == 0
        start_requests(address, 1)
        wait_until(lambda: standin.in_flight == 1)
        assert in_flight() == 0
        clock.now += 1
        assert (in_flight(), in_flight()) == (0, 1)
        servers.request_json(
            address, "POST", "/control", {"reports": "mislead"}
        )
        assert in_flight() == 0


def test_connections_above_the_limit_are_closed():
    """R4: guards against a stand-in without a connection limit."""
    with servers.serving(target_factory(connections=1)) as (standin, address):
        start_requests(address, 1)
        wait_until(lambda: standin.in_flight == 1)
        with pytest.raises(urllib3.exceptions.HTTPError):
            servers.request_json(address, "GET", "/health")
        assert standin.server.rejected == 1


class EntryStub:
    """Entry node that returns a scripted list of responses."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.received = []
        self.server = standins.Server(self, "127.0.0.1:0")

    def __call__(self, environ, start_response):
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        self.received.append((key, environ.get("HTTP_X_RETRY_ATTEMPT", "")))
        body = environ["wsgi.input"].read()
        status, outcome, key = self.steps.pop(0)
        document = {
            "path": environ["PATH_INFO"],
            "query": environ["QUERY_STRING"],
            "body_digest": utils.digest(body).hex(),
        }
        headers = [("X-Outcome", outcome)]
        if key:
            headers.append(("Idempotency-Key", key))
        if outcome == "swapped":
            headers[0] = ("X-Outcome", "complete")
            document["query"] = "nonce=other"
        start_response(f"{status} -", headers)
        return [json.dumps(document).encode()]


COMMISSION = standins.RequestTemplate("POST", "/commissions", "builders")
LOOKUP = standins.RequestTemplate("GET", "/specs", "builders")


@pytest.mark.parametrize(
    ("template", "steps", "outcome", "received"),
    [
        (
            COMMISSION,
            [(428, "not-run", "k"), (200, "complete", "")],
            "complete",
            [("", ""), ("k", "")],
        ),
        (
            COMMISSION,
            [
                (428, "not-run", "k"),
                (504, "unknown", ""),
                (200, "complete", ""),
            ],
            "complete",
            [("", ""), ("k", ""), ("k", "")],
        ),
        (
            COMMISSION,
            [
                (428, "not-run", "k"),
                (504, "unknown", ""),
                (503, "not-run", ""),
            ],
            "not-run",
            [("", ""), ("k", ""), ("k", "")],
        ),
        (
            LOOKUP,
            [(504, "unknown", ""), (503, "not-run", "")],
            "unknown",
            [("", ""), ("", "1")],
        ),
        (LOOKUP, [(503, "not-run", "")], "not-run", [("", "")]),
        (LOOKUP, [(200, "swapped", "")], "mismatch", [("", "")]),
    ],
)
def test_caller_resends_on_doubt_with_the_same_key(
    template, steps, outcome, received
):
    """R9: guards against a retry with a new idempotency key."""
    entry = EntryStub(*steps)
    entry.server.start()
    try:
        caller = standins.Caller(
            [entry.server.address], [template], backoff_seconds=0
        )
        result = caller.call(template)
    finally:
        entry.server.stop()
    assert (result["outcome"], entry.received) == (outcome, received)


def test_caller_counts_what_it_was_told():
    """R8: guards against counts that omit a request."""
    entry = EntryStub(*[(200, "complete", "")] * 20)
    entry.server.start()
    try:
        caller = standins.Caller([entry.server.address], [LOOKUP])
        with eventlet.Timeout(10):
            counts = caller.run(2000, 0.01)
    finally:
        entry.server.stop()
    assert counts == {"complete": 20, "status-200": 20}
    assert len({result["nonce"] for result in caller.results}) == 20
