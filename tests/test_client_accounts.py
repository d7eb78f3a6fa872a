"""Tests of client accounts: their keys, their routes and the lease on them."""

import pytest

from hickorythread import account_keys
from hickorythread import codec
from hickorythread import utils
from hickorythread.mesh import events
from hickorythread.mesh import models
from hickorythread.mesh import proofs
from hickorythread.mesh import routing
from hickorythread.platform import accounts
from hickorythread.platform import documents
from hickorythread.platform import headers
from hickorythread.platform import settings as platform_settings
from tests import mesh_builders as build

KEY = "yiikdrbn4ryrbbkf83fg"
ENTRY = {"name": "acme", "api_keys": [KEY], "rate_per_s": 7, "burst": 7}


def make_plane(lease=None, public=False, accounts=None, **account):
    route = build.make_route(public=public, home_regions=["north"])
    if accounts is None:
        accounts = [build.make_account(**account)]
    configuration = build.make_configuration(1, [route], accounts=accounts)
    return build.make_entry(build.make_view(3, configuration), lease=lease)


def ask(plane, key="acme", now=0.0, **values):
    """Send a request; return the Forward or the response it leads to."""
    digest = account_keys.digest(key) if key else b""
    request = build.make_request(key_digest=digest, **values)
    for action in plane.request(request, now):
        if isinstance(action, events.Send):
            return action.message
        if isinstance(action, events.Respond):
            return action.response
    raise AssertionError("no outcome")


def read(*fields):
    environ = {
        "headers_raw": list(fields),
        "REQUEST_METHOD": "GET",
        "HTTP_HOST": "specs.example",
        "hickorythread.path": "/specs/1",
    }
    return headers.Headers().read_request(1, environ, b"", 0.0)


def test_only_requests_with_a_known_key_run():
    """Guards against requests that run without a client account."""
    assert ask(make_plane()).account == "acme"
    assert ask(make_plane(), key="other").status == 401
    assert ask(make_plane(), key="").status == 401
    assert ask(make_plane(), has_several_keys=True).status == 400
    assert ask(make_plane(accounts=[])).status == 401


def test_public_routes_and_meshes_without_accounts_need_no_key():
    """Guards against a key asked for where none is due."""
    assert ask(make_plane(public=True), key="").account == ""
    assert ask(build.make_entry(), key="").account == ""


def test_key_never_leaves_the_entry_node():
    """Guards against a key, or a name that a client chose, at a target."""
    request = read(
        ("hickorythread-KEY", KEY),
        ("HICKORYTHREAD-Tenant", "root"),
        ("A", "b"),
    )
    assert request.headers == [["A", "b"]]
    assert request.key_digest == account_keys.digest(KEY)
    call = ask(make_plane(), headers=request.headers)
    lines = headers.Headers().target_headers(call, "t1", 1.0)
    assert "Hickorythread-Tenant: acme" in lines
    assert not any(KEY in line or "root" in line for line in lines)


@pytest.mark.parametrize("key", ["", " ", "a b", "\x80", "é", "k" * 1_000_000])
def test_odd_keys_are_no_keys(key):
    """Guards against work on, or an error from, a key that none can be."""
    request = read(("Hickorythread-Key", key))
    assert request.key_digest == b"" and not request.has_several_keys


def test_several_keys_are_ambiguous():
    assert read(
        ("Hickorythread-Key", KEY), ("hickorythread-key", KEY)
    ).has_several_keys


def test_account_sets_priority_and_regions():
    """Guards against a request in a region that its account excludes."""
    call = ask(make_plane(priority=0, home_regions=["north", "south"]))
    assert call.priority == 0
    assert ask(make_plane(priority=None)).priority == 1
    refused = ask(make_plane(home_regions=["south"]))
    assert refused.status == 503


def test_routes_of_accounts_are_bounded():
    """Guards against a node that grows with routes times accounts."""
    configuration = build.make_configuration()
    router = routing.Router(configuration)
    for number in range(routing.MAX_ACCOUNT_ROUTES + 5):
        account = build.make_account(f"a{number}")
        router.route_for(configuration.routes[0], account)
    assert len(router.account_routes) <= routing.MAX_ACCOUNT_ROUTES


def test_configuration_reaches_peers_with_its_accounts():
    """Guards against accounts or public routes that a delta loses."""
    routes = [build.make_route(public=True), build.make_route("other")]
    made = build.make_configuration(
        3, routes, accounts=[build.make_account(rate=2.0)]
    )
    packed = codec.pack(made.pack())
    unpacked = codec.decompress(codec.compress_packed(packed, b""), b"")
    assert models.Configuration.unpack(unpacked.ok) == made


def test_accounts_are_decoded_without_their_keys():
    """Guards against plain keys that stay in the view of a node."""
    document = build.make_configuration_document() | {"tenants": [ENTRY]}
    configuration = documents.decode_configuration(document)
    (account,) = configuration.accounts
    assert account.rate == 7.0 and account.priority is None
    assert account.key_digests == [account_keys.digest(KEY)]
    assert KEY.encode() not in codec.pack(configuration.pack())


def test_all_mistakes_are_reported_without_keys():
    """Guards against one mistake a try, and against keys in error texts."""
    entries = [
        ENTRY,
        ENTRY | {"rate_per_s": -1, "priority": True, "allowed_regions": "x"},
        {"name": "bad\r\nname", "api_keys": KEY, "burst": float("nan")},
        7,
    ]
    document = build.make_configuration_document() | {"tenants": entries}
    with pytest.raises(documents.DocumentError) as raised:
        documents.decode_configuration(document)
    text = str(raised.value)
    assert KEY not in text
    for path in (
        "tenants/1/name",
        "tenants/1/api_keys/0",
        "tenants/1/rate_per_s",
        "tenants/1/priority",
        "tenants/1/allowed_regions",
        "tenants/2/name",
        "tenants/2/api_keys",
        "tenants/2/burst",
        "tenants/3 is not",
    ):
        assert path in text


def test_accounts_may_be_missing():
    assert accounts.decode({}) is None
    assert accounts.decode({"tenants": []}) == []
    with pytest.raises(accounts.AccountsError):
        accounts.decode({"tenants": None})


class Clocks:
    """Hold the time of a host and how long it has been suspended."""

    def __init__(self):
        self.now = 0.0
        self.suspended = 0.0

    def suspended_seconds(self):
        return self.suspended


def make_lease(clocks, bound_ms=5000):
    """Build a lease whose accounts are proven at the start."""
    proof = proofs.TopicProof(0.0)
    proof.record(0.0, 0.0)
    settings = build.make_settings(revocation_ms=bound_ms)
    return build.make_lease(settings, proof, clocks.suspended_seconds)


def test_lease_ends_before_the_bound_of_a_withdrawal():
    """Guards against withdrawn keys on a host that hears of nothing."""
    clocks = Clocks()
    lease = make_lease(clocks)
    plane = make_plane(lease)
    for clocks.now in (0.0, 2.9):
        call = ask(plane, now=clocks.now, received_at=clocks.now)
        assert call.account == "acme"
    clocks.now = 3.1
    refused = ask(plane, now=clocks.now, received_at=3.1)
    assert refused.status == 503 and refused.retry_after > 0
    lease.proof.record(3.0, 3.1)
    assert ask(plane, now=clocks.now, received_at=3.1).account == "acme"


def test_unproven_node_does_not_call_a_key_unknown():
    """Guards against a 401 for a key that a node has not heard of yet."""
    lease = build.make_lease(build.make_settings(revocation_ms=5000))
    assert ask(make_plane(lease), key="new").status == 503


def test_suspension_counts():
    """Guards against a lease that a suspended host keeps too long."""
    clocks = Clocks()
    lease = make_lease(clocks)
    clocks.now = 0.5
    assert lease.holds(0.5)
    clocks.suspended = 6.0
    assert not lease.holds(0.5)
    # What a peer sent before the suspension may arrive after it.
    clocks.now = 0.9
    lease.proof.record(0.8, 0.9)
    assert not lease.holds(0.9)
    clocks.now = 2.0
    lease.proof.record(2.0, 2.0)
    assert lease.holds(2.0)


def test_short_suspensions_add_up():
    """Guards against a host that is often suspended for a moment."""
    clocks = Clocks()
    lease = make_lease(clocks)
    assert lease.holds(0.5)
    clocks.suspended = 0.04
    assert lease.holds(0.5)
    clocks.suspended = 0.08
    assert not lease.holds(0.5)


def test_delay_between_clock_readings_is_no_suspension(monkeypatch):
    """Guards against refusals where a process loses its core briefly."""
    now = 100.0

    def read(*clock):
        nonlocal now
        now += 0.06
        return now

    proof = proofs.TopicProof(0.0)
    settings = build.make_settings(revocation_ms=5000)
    with monkeypatch.context() as patch:
        patch.setattr("time.monotonic", lambda: now)
        patch.setattr("time.clock_gettime", lambda clock: now)
        lease = build.make_lease(settings, proof, utils.suspended_seconds)
        proof.record(now, now)
        assert lease.holds(now)
        patch.setattr("time.monotonic", read)
        patch.setattr("time.clock_gettime", read)
        assert lease.holds(now)


def test_notices_read_after_a_freeze_prove_nothing():
    """Guards against a frozen process that takes old notices for new ones."""
    clocks = Clocks()
    lease = make_lease(clocks)
    lease.tick(0.0)
    # The process reads a notice that the kernel has kept for 20 s.
    clocks.now = 20.0
    lease.proof.record(19.7, 20.0)
    assert not lease.holds(20.0)
    lease.tick(20.0)
    clocks.now = 20.7
    lease.proof.record(20.4, 20.7)
    lease.tick(20.7)
    assert not lease.holds(20.7)
    clocks.now = 21.4
    lease.proof.record(21.1, 21.4)
    assert lease.holds(21.4)


def test_lapse_and_return_are_logged_once():
    clocks = Clocks()
    lease = make_lease(clocks)
    logs = []
    for step in range(60):
        clocks.now = step / 10
        if step == 50:
            lease.proof.record(clocks.now, clocks.now)
        logs += lease.tick(clocks.now)
    assert [log.values["holds"] for log in logs] == [False, True]


def test_meshes_without_a_bound_have_no_lease():
    assert make_lease(Clocks(), bound_ms=0).holds(1000.0)


@pytest.mark.parametrize("strict, expected", [(True, 5000), (False, None)])
def test_bounds_of_the_platform_become_settings(strict, expected):
    """Guards against a revocation bound where none is asked for."""
    bounds = {"strict_revoke": strict, "revoke_ms": 5000, "quota_slack": 20}
    document = platform_settings.translate({"name": "a", "bounds": bounds})
    assert document.pop("revocation_ms", None) == expected
    assert document == {"name": "a"}


def test_strict_revocation_has_a_bound_by_default():
    """Guards against a lease that is off because its bound is not stated."""
    document = platform_settings.translate({"bounds": {"strict_revoke": True}})
    assert document == {"revocation_ms": 5000}
