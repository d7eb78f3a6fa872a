"""Tests of the quotas of client accounts on a simulated fleet."""

import pytest

from hickorythread import account_keys
from hickorythread import codec
from hickorythread.mesh import events
from hickorythread.mesh import messages
from hickorythread.mesh import quotas
from tests import mesh_builders as build
from tests import quota_fleet

SEEDS = (1, 2, 7, 12)
FAULTS = {
    "none": lambda fleet: None,
    "lost": lambda fleet: fleet.lose(fleet.owner("big")),
    "frozen": lambda fleet: fleet.freeze(fleet.owner("big"), 2.0),
    "long": lambda fleet: fleet.freeze(fleet.owner("big"), 5.0),
    "halves": lambda fleet: fleet.partition(list(fleet.hosts)[:33]),
    "alone": lambda fleet: fleet.partition([fleet.owner("big").id]),
    "restart": lambda fleet: fleet.restart_all(),
}


def make_fleet(seed):
    limits = [("big", 135.0), ("mid", 56.0), ("small", 7.0)]
    made = [quota_fleet.make_limit(name, rate) for name, rate in limits]
    return quota_fleet.Fleet(seed, made)


def check_windows(fleet, since=0.0):
    for name, limit in fleet.limits.items():
        most = fleet.most_in_window(name, since)
        assert most <= quota_fleet.allowed(limit), (name, most)


def surge(fleet, load=10.0):
    fleet.load = dict.fromkeys(fleet.load, load)
    for name in fleet.load:
        # The next arrival of the former load may be far away.
        fleet.at(fleet.now, fleet.arrive, name)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_below_the_limit_is_refused(seed):
    """Guards against requests that are lost to tokens on other hosts."""
    fleet = make_fleet(seed)
    fleet.run(15)
    assert [fleet.refused_share(name) for name in fleet.limits] == [0, 0, 0]
    check_windows(fleet)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("seed", SEEDS)
def test_sum_of_hosts_stays_within_the_limit(seed, fault):
    """Guards against excess where a burst, an overload and a fault meet."""
    fleet = make_fleet(seed)
    fleet.load = dict.fromkeys(fleet.load, 0.1)
    fleet.run(8)
    surge(fleet)
    fleet.run(0.05)
    FAULTS[fault](fleet)
    fleet.run(8)
    check_windows(fleet)
    # The accounts get at least nine tenths of their rate afterwards, or of
    # the rate of the hosts that are left.
    for name, limit in fleet.limits.items():
        late = [time for time in fleet.runs[name] if time >= fleet.now - 3]
        assert len(late) >= 0.9 * 3 * limit.rate * 65 / 66 - 2


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_owner_costs_no_request_below_the_limit(seed):
    """Guards against a new owner that begins without tokens."""
    fleet = make_fleet(seed)
    fleet.run(7)
    fleet.lose(fleet.owner("big"))
    fleet.run(8)
    assert [fleet.refused_share(name) for name in fleet.limits] == [0, 0, 0]


@pytest.mark.parametrize("seed", SEEDS)
def test_lowered_limit_holds_after_a_window(seed):
    """Guards against tokens of the former limit that stay in use."""
    fleet = quota_fleet.Fleet(seed, [quota_fleet.make_limit("big", 135.0)])
    fleet.load["big"] = 10.0
    fleet.run(5)
    fleet.change_limit(quota_fleet.make_limit("big", 30.0))
    fleet.run(13)
    check_windows(fleet, since=5 + 3 + quota_fleet.WINDOW_SECONDS)


def test_idle_accounts_send_no_messages():
    """Guards against bytes between regions that nobody needs."""
    fleet = make_fleet(1)
    fleet.run(5)
    fleet.load = dict.fromkeys(fleet.load, 1e-9)
    fleet.run(8)
    before = fleet.messages
    fleet.run(20)
    assert fleet.messages == before
    assert not any(host.client.holdings for host in fleet.hosts.values())


def make_plane(made=None, owned=False):
    """Build an entry plane that owns the account acme or not."""
    account = made or build.make_account(rate=5.0, burst=4.0)
    configuration = build.make_configuration(1, accounts=[account])
    made_view = build.make_view(3, configuration)
    for number in (1, 2, 3):
        plane = build.make_entry(made_view, number)
        plane.tick(0.0)
        if plane.quotas.hosts.owns("acme") == owned:
            return plane
    raise AssertionError("no such host")


def ask(plane, number=1, now=0.0, **values):
    key = account_keys.digest("acme")
    request = build.make_request(
        number, received_at=now, key_digest=key, **values
    )
    return plane.request(request, now)


def grant(plane, actions, tokens, wait, now=0.01):
    (sent,) = build.of_type(actions, events.Send)
    message = messages.QuotaGrant(
        sent.message.number, 0.1, [["acme", tokens, wait]]
    )
    return plane.quota_granted(sent.host_id, message, now)


def statuses(actions):
    responses = build.of_type(actions, events.Respond)
    return [action.response.status for action in responses]


def test_request_waits_for_its_token():
    """Guards against requests that run without a token."""
    plane = make_plane()
    actions = ask(plane)
    assert not build.sent_messages(actions, messages.Forward)
    assert build.sent_messages(grant(plane, actions, 1, 0.0), messages.Forward)


def test_empty_account_is_refused_at_once():
    """Guards against a wait whose end is known, and a missing time."""
    plane = make_plane()
    actions = grant(plane, ask(plane), 0, 0.5)
    assert statuses(actions) == [429]
    later = ask(plane, 2, 0.2)
    (refusal,) = build.of_type(later, events.Respond)
    assert refusal.response.reason == "quota"
    assert refusal.response.retry_after == pytest.approx(0.31)
    assert plane.quotas.most_refused() == {"acme": 2}


def test_silent_owner_delays_no_request_for_long():
    """Guards against requests that wait for an owner until their deadline."""
    plane = make_plane()
    ask(plane)
    assert not statuses(plane.tick(0.14))
    actions = plane.tick(0.16)
    assert statuses(actions) or build.sent_messages(actions, messages.Forward)


def test_request_does_not_run_after_its_deadline():
    """Guards against tokens for late requests, and targets blamed for them."""
    plane = make_plane()
    actions = ask(plane, remaining=0.1)
    assert grant(plane, actions, 1, 0.0, 0.11) == []
    assert plane.quotas.holdings["acme"].tokens == 1
    late = plane.tick(0.12)
    assert statuses(late) == [504]
    assert not build.sent_messages(late, messages.Forward)
    assert plane.quotas.holdings["acme"].tokens == 1
    assert not plane.quotas.holdings["acme"].waiting
    # Without an answer of the owner as well.
    ask(plane, 2, 0.2)
    ask(plane, 3, 0.2, remaining=0.1)
    late = plane.tick(0.31)
    assert statuses(late) == [504]
    assert not build.sent_messages(late, messages.Forward)


@pytest.mark.parametrize("ticks", [True, False])
def test_late_grant_counts_for_nothing(ticks):
    """Guards against tokens of two owners for the same time.

    A process that was frozen reads the grant before it ticks.
    """
    plane = make_plane()
    actions = ask(plane)
    if ticks:
        plane.tick(0.4)
    grant(plane, actions, 5, 0.0, 0.5)
    assert not plane.quotas.holdings["acme"].tokens


def test_cancelled_wait_leaves_the_token():
    """Guards against a client that is gone and still counts."""
    plane = make_plane()
    actions = ask(plane)
    plane.client_disconnected(1, 0.005)
    assert not statuses(grant(plane, actions, 1, 0.0))
    assert plane.quotas.holdings["acme"].tokens == 1


def test_refusal_for_another_reason_returns_the_token():
    """Guards against a quota that is spent on requests that never ran."""
    plane = make_plane(owned=True)
    bucket = plane.quotas.owner
    (forward,) = build.sent_messages(ask(plane), messages.Forward)
    spent = bucket.accounts["acme"].bucket.tokens
    host = plane.calls.by_call_id[forward.call_id].host_id
    for _ in range(4):
        reply = build.make_reply(
            forward.call_id, messages.NOT_RUN, 503, reason="queue-full"
        )
        actions = plane.reply(host, reply, 0.0)
        sent = build.of_type(actions, events.Send)
        if statuses(actions):
            break
        # Another target of the same attempt takes no token.
        assert bucket.accounts["acme"].bucket.tokens == spent
        host, forward = sent[0].host_id, sent[0].message
    assert statuses(actions) == [503]
    assert bucket.accounts["acme"].bucket.tokens == spent + 1


def test_accounts_without_a_rate_have_no_limit():
    """Guards against a rate of 0 that refuses everything, or costs."""
    plane = make_plane(build.make_account())
    for number in range(100):
        assert not statuses(ask(plane, number))
    assert not plane.quotas.holdings and plane.tick(1.0) == []


def test_busy_owner_asks_for_fewer_messages():
    """Guards against an owner whose work grows with the number of hosts."""
    owner = quota_fleet.Fleet(1, [], hosts=1).owner("x").client.owner
    owner.tick(0.0)
    for number in range(20_000):
        owner.request("10.0.0.9", messages.QuotaRequest(number, []), 0.5)
    owner.tick(1.1)
    assert owner.interval > 2.0 and owner.oversubscribed


def test_malformed_entries_are_ignored():
    """Guards against a peer that ends this process or mints tokens."""
    entries = [7, ["acme"], ["acme", -5, 0, 0, True], ["acme", 1, 0, "", 0]]
    fleet = make_fleet(1)
    owner = fleet.owner("big").client.owner
    request = messages.QuotaRequest(1, entries)
    assert owner.request("10.0.0.9", request, 0.0).entries == []
    plane = make_plane()
    (sent,) = build.of_type(ask(plane), events.Send)
    odd = [None, ["acme", -1, 0.0], ["acme", 1, float("nan")]]
    answer = messages.QuotaGrant(sent.message.number, float("nan"), odd)
    assert plane.quota_granted(sent.host_id, answer, 0.01) == []


def test_unknown_code_keeps_the_stream(monkeypatch):
    """Guards against hosts of earlier releases that drop their streams."""
    data = codec.encode(messages.QuotaRequest(1, []), 1)
    monkeypatch.delitem(codec.messages.BY_CODE, messages.QuotaRequest.code)
    decoder = codec.Decoder()
    (result,) = decoder.feed(data)
    assert result.error.kind == "unknown" and not result.error.fatal
    assert not decoder.failed


def test_new_owner_begins_with_a_quarter_of_the_burst():
    """Guards against a full burst from each owner in turn."""
    fleet = make_fleet(1)
    owner = fleet.owner("big").client.owner
    request = messages.QuotaRequest(1, [["big", 500, 0, 0, True]])
    owner.tick(10.0)
    (entry,) = owner.request("10.0.0.9", request, 10.0).entries
    assert entry[1] == int(135 / 4)


def test_owner_gains_nothing_in_a_freeze():
    """Guards against a full burst for the first message after a freeze."""
    fleet = make_fleet(1)
    owner = fleet.owner("big").client.owner
    request = messages.QuotaRequest(1, [["big", 500, 0, 0, True]])
    owner.tick(10.0)
    owner.request("10.0.0.9", request, 10.0)
    # Read before the first tick.
    (entry,) = owner.request("10.0.0.9", request, 15.0).entries
    assert entry[1] == 0
    owner.tick(15.0)
    (entry,) = owner.request("10.0.0.9", request, 15.1).entries
    assert entry[1] <= 14


def test_only_the_most_active_accounts_are_counted_by_name():
    """Guards against metrics that grow with the accounts."""
    client = quotas.QuotaClient("10.0.0.1", quota_fleet.random.Random(1))
    for number in range(30):
        for _ in range(number + 1):
            client.count_refusal(f"a{number}")
    counts = client.most_refused()
    assert len(counts) == quotas.MAX_COUNTED_ACCOUNTS + 1
    assert counts[""] == sum(range(1, 11)) and counts["a29"] == 30
