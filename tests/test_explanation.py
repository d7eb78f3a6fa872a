"""Explanations of routes: same decisions as the plane, and no change of it."""

import json
import random
import time

import pytest

from hickorythread import cli
from hickorythread import client
from hickorythread import exit_codes
from hickorythread.mesh import events
from hickorythread.mesh import explanation
from hickorythread.mesh import ingress
from hickorythread.mesh import stopping
from tests import mesh_builders as build

NOW = 1.0
SPLIT = [("spec-desk", 3.0), ("other-desk", 1.0)]


def make_plane(accounts=None, targets=3, lease=None, **values):
    configuration = build.make_configuration(
        version=4, routes=[build.make_route(**values)], accounts=accounts
    )
    configuration.services["other-desk"] = configuration.services["spec-desk"]
    view = build.make_view(targets, configuration)
    plane = build.make_entry(view, lease=lease, connected=targets)
    # A plane without a tick for a while counts as frozen.
    plane.quotas.owner.tick(NOW)
    return plane


def explain(plane, path="/specs/1", account="", timeout=None, now=NOW):
    question = explanation.Question(
        "specs.example", path, "GET", account, timeout
    )
    return explanation.Explanation(plane, question, now).document()


def send(plane, account="", now=NOW, **values):
    """Return the actions of the plane for the request of explain()."""
    digest = build.make_account(account).key_digests[0] if account else b""
    request = build.make_request(received_at=now, key_digest=digest, **values)
    return plane.request(request, now)


def snapshot(value, seen):
    """Return all that can be reached from an object as comparable text."""
    if isinstance(value, random.Random):
        return str(value.getstate())
    if isinstance(value, dict):
        value = list(value.items())
    if isinstance(value, list | tuple):
        return [snapshot(item, seen) for item in value]
    if not type(value).__module__.startswith("hickorythread"):
        return str(sorted(value) if isinstance(value, set) else value)
    if id(value) in seen:
        return seen.index(id(value))
    seen.append(id(value))
    names = list(getattr(value, "__dict__", ()))
    for kind in type(value).__mro__:
        names += getattr(kind, "__slots__", ())
    return [
        (name, snapshot(getattr(value, name), seen))
        for name in names
        if not isinstance(getattr(type(value), name, None), property)
    ]


@pytest.mark.parametrize("owns_quota", [True, False])
def test_explaining_changes_no_state(owns_quota):
    """Guards against an explanation that takes a token or a random number."""
    suspensions = iter([0.0] + [9.0] * 99)
    lease = build.make_lease(
        build.make_settings(revocation_ms=5000),
        suspended_seconds=lambda: next(suspensions),
    )
    account = build.make_account(rate=5.0, burst=1.0, home_regions=["north"])
    plane = make_plane([account], destinations=SPLIT, lease=lease)
    plane.splitter.choose_service(plane.view.router.configuration.routes[0])
    assert plane.view.by_service
    plane.placement.peers.popitem()
    names = [f"10.0.0.{number}" for number in (1, 2, 3)]
    for host_id in names if owns_quota else ():
        plane.quotas.hosts.remove(host_id, 0.0)
    assert plane.quotas.hosts.owns("acme") == owns_quota
    plane.quotas.hosts.ranks.clear()
    for warm in (False, True):
        if warm:
            plane.quotas.take(account, NOW)
        before = snapshot(plane, [])
        for _ in range(3):
            document = explain(plane, account="acme", now=NOW + 0.1)
            waits = document["account"]["quota"]["action"] == "wait"
            assert document["destinations"] and waits != owns_quota
        assert snapshot(plane, []) == before
    assert snapshot(send(plane), []) and snapshot(plane, []) != before


@pytest.mark.parametrize("seed", range(20))
def test_the_target_chosen_is_close_to_the_best(seed):
    """Guards against scores that differ from those of the placement."""
    plane = make_plane(targets=30)
    randoms = random.Random(seed)
    for number in range(1, 31):
        peer = plane.placement.peer(f"10.0.0.{number}")
        peer.update_load([randoms.randrange(9), 0, 4, 0, 0, 150], 0.9)
        peer.usable = randoms.random() < 0.7
    document = explain(plane)
    (service,) = document["destinations"]
    close = [item["host"] for item in service["candidates"] if item["close"]]
    (sent,) = build.of_type(send(plane), events.Send)
    assert sent.host_id in close
    assert document["version"] == 4
    assert service["usable"] + service["excluded"].get("unusable", 0) == 30


def test_next_services_of_a_split_route_are_those_taken():
    """Guards against naming a service that the splitter does not choose."""
    plane = make_plane(destinations=SPLIT)
    assert explain(plane)["next_service"] is None
    route = plane.view.router.configuration.routes[0]
    plane.splitter.choose_service(route)
    for _ in range(8):
        document = explain(plane)
        shares = {
            item["service"]: item["share"] for item in document["destinations"]
        }
        assert shares == {"spec-desk": 0.75, "other-desk": 0.25}
        refused = document["decision"]["action"] == "refuse"
        assert refused == (document["next_service"] == "other-desk")
        assert document["next_service"] == plane.splitter.choose_service(route)


def spend_quota(plane):
    for _ in range(50):
        send(plane, "acme")


def lose_targets(plane):
    plane.placement.connected.clear()


def limit_rates(plane):
    for number in range(1, 4):
        peer = plane.placement.peer(f"10.0.0.{number}")
        peer.record_rate_refusal(0, 0.2 * number, NOW)


def stop(plane):
    plane.stop = stopping.StopPolicy(0.5, NOW - 5.0)


def drop_lease(plane):
    plane.lease.settings.revocation_ms = 100


@pytest.mark.parametrize(
    ("prepare", "account", "timeout", "reason"),
    [
        (drop_lease, "acme", None, "account-lease"),
        (None, "", None, "no-key"),
        (None, "nobody", None, "unknown-key"),
        (None, "acme", 0.0, "deadline"),
        (stop, "acme", None, "stopping"),
        (spend_quota, "acme", None, "quota"),
        (lose_targets, "acme", None, "no-target"),
        (limit_rates, "acme", None, "rate-limit"),
    ],
)
def test_refusals_are_those_of_the_plane(prepare, account, timeout, reason):
    """Guards against another status or Retry-After than the client gets."""
    limited = build.make_account(rate=6.0, burst=6.0)
    plane = make_plane([limited])
    # Without peers this host decides alone about its quota.
    for number in (2, 3):
        plane.quotas.hosts.remove(f"10.0.0.{number}", 0.0)
    if prepare:
        prepare(plane)
    document = explain(plane, account=account, timeout=timeout)
    actions = send(plane, account, remaining=timeout)
    (action,) = build.of_type(actions, events.Respond)
    decision = document["decision"]
    assert decision["reason"] == action.response.reason == reason
    assert decision["status"] == action.response.status
    wait = action.response.retry_after
    assert (decision["retry_after"] or 0.0) == pytest.approx(wait, abs=1e-3)
    assert document["account_lease"] == (prepare is not drop_lease)
    assert "nobody" not in str(document)


def test_unknown_route_and_configuration_are_refused():
    """Guards against an error of the listener before the first version."""
    assert explain(make_plane(), "/none")["decision"]["status"] == 404
    plane = make_plane()
    plane.view = type(plane.view)()
    assert explain(plane)["decision"]["reason"] == "starting"


def test_account_sets_priority_and_regions():
    """Guards against candidates that the account may not use."""
    account = build.make_account(priority=0, home_regions=["south"])
    document = explain(make_plane([account]), account="acme")
    assert document["account"]["priority"] == 0
    assert document["account"]["regions"] == ["south"]
    (service,) = document["destinations"]
    assert [item["target"] for item in service["candidates"]] == ["t3"]
    assert service["excluded"] == {"home-region": 2}
    assert service["excluded_targets"][0]["reason"] == "home-region"


@pytest.mark.parametrize("lost", [0, 2500])
def test_answer_is_bounded_with_thousands_of_targets(lost):
    """Guards against an answer that blocks requests or fills the memory."""
    view = build.make_view()
    for number in range(5000):
        address = f"10.1.{number // 250}.{number % 250}:8000"
        target = build.make_target(1, id=f"x{number}", address=address)
        view.put_target(target)
    plane = build.make_entry(view)
    for target in list(view.targets.values())[lost:]:
        plane.placement.connected.add(target.host_id)
    started = time.process_time()
    document = explain(plane)
    assert time.process_time() - started < 1.0
    assert len(json.dumps(document)) < 20_000
    (service,) = document["destinations"]
    assert service["scored"] == explanation.MAX_SCORED_TARGETS
    assert len(service["candidates"]) == explanation.MAX_CANDIDATES
    assert len(service["excluded_targets"]) == min(lost, 20)


class Node:
    def explain(self, question):
        return explain(make_plane(), question.path, question.account)


def get(query):
    """Return the status and the document of the metrics listener."""
    statuses = []
    environ = {"PATH_INFO": "/explain", "QUERY_STRING": query}
    body = ingress.MetricsApp(Node())(
        environ, lambda status, headers: statuses.append(status)
    )
    return statuses[0], json.loads(b"".join(body))


@pytest.mark.parametrize(
    ("query", "message"),
    [
        ("path=/", "parameter host is missing"),
        ("host=a", "parameter path is missing"),
        ("host=a&path=b", "path must start with /"),
        ("host=a&path=/&method=G-T", "method must consist of letters"),
        ("host=a&path=/&timeout=nan", "timeout must be seconds"),
        ("host=a&path=/&timeout=-1", "timeout must be seconds"),
        ("host=a&path=/&key=secret", "unknown parameter"),
        ("host=a&path=/&host=secret", "parameter host is repeated"),
        ("host=a&path=/&account=secret%0a", "account must be at most"),
        ("host=a&path=/" + "a" * 4096, "path must be at most"),
        ("host=a&path=/%ff", "parameters in UTF-8"),
        ("host=a&path=/&a=1&b=2&c=3&d=4", "at most 5 parameters"),
    ],
)
def test_bad_parameters_get_400_with_a_text(query, message):
    """Guards against a traceback, and against keys in error texts."""
    status, document = get(query)
    assert status.startswith("400 ")
    assert message in document["error"] and "secret" not in str(document)


@pytest.mark.parametrize("format", ["text", "json"])
def test_command_prints_the_answer(monkeypatch, capsys, format):
    """Guards against a command whose parameters the listener rejects."""

    def call(node_client, method, target):
        assert node_client.addresses == ["10.0.0.1:7615"]
        status, document = get(target.partition("?")[2])
        assert status.startswith("200 ")
        return document

    monkeypatch.setattr(client.NodeClient, "_call", call)
    words = ["explain-route", "get /specs/1?a=b&c", "--host", "specs.example"]
    words += ["--sidecar", "10.0.0.1:7615", "--timeout", "0.5"]
    assert cli.main([*words, "--format", format]) == exit_codes.EXIT_OK
    output = capsys.readouterr().out
    if format == "json":
        assert json.loads(output)["decision"] == {"action": "send"}
    else:
        first = "request: GET specs.example/specs/1?a=b&c\ndecision: send\n"
        assert output.startswith(first) and "10.0.0.1" in output


def refuse(node_client, method, target):
    raise client.RefusedError("timeout must be seconds", 400)


@pytest.mark.parametrize("request_text", ["/specs", "GET /specs"])
def test_malformed_request_of_the_command_exits_2(monkeypatch, request_text):
    """Guards against the exit code of a rejected patch for a wrong option."""
    monkeypatch.setattr(client.NodeClient, "_call", refuse)
    words = ["explain-route", request_text, "--sidecar", "10.0.0.1:7615"]
    words += ["--host", "a", "--timeout", "1e9"]
    assert cli.main(words) == exit_codes.EXIT_USAGE
