"""Tests of replicas: updates are atomic and never move a log back."""

import pytest

from hickorythread import codec
from hickorythread import messages
from hickorythread import models
from hickorythread import replica
from tests import builders


def config_replica(patches=0):
    log_replica = replica.Replica(
        messages.CONFIG_LOG, replica.ConfigurationState()
    )
    first = builders.entry(1, 0, *builders.guild_operations())
    log_replica.apply_entries([first.to_document()])
    for number in range(patches):
        log_replica.apply_entries(
            [next_entry(log_replica, f"service-{number}")]
        )
    return log_replica


def next_entry(log_replica, name="glue-desk"):
    operation = builders.operation("put_service", builders.service(name))
    position = log_replica.position
    entry = builders.entry(position.sequence + 1, position.version, operation)
    return entry.to_document()


def hosts_replica(*names):
    log_replica = replica.Replica(messages.HOSTS_LOG, replica.HostsState())
    if names:
        log_replica.apply_entries([hosts_entry(1, *names)])
    return log_replica


def hosts_entry(sequence, *names):
    changes = [
        {"op": "put", "host": builders.host(name).to_document()}
        for name in names
    ]
    return {"sequence": sequence, "changes": changes}


def test_repeated_and_gapped_entries_change_nothing():
    """R1: guards against applying stale or reordered entries."""
    log_replica = config_replica(2)
    before = log_replica.position
    applied = [item.document for item in log_replica.entries]
    assert log_replica.apply_entries(applied[:1]).kind == replica.REPEATED
    gapped = next_entry(log_replica) | {"sequence": before.sequence + 2}
    assert log_replica.apply_entries([gapped]).kind == replica.GAP
    assert log_replica.position == before


@pytest.mark.parametrize("log_replica", [config_replica(), hosts_replica("a")])
def test_divergent_entries_are_not_put_in_force(log_replica):
    """R3: guards against committing a result unlike the sender's."""
    before = log_replica.position
    document = next_entry(log_replica)
    if log_replica.log == messages.HOSTS_LOG:
        document = hosts_entry(2, "b")
    wrong = models.Position(2, 2, b"x" * 32)
    assert (
        log_replica.apply_entries([document], wrong).kind == replica.DIVERGED
    )
    assert log_replica.position == before
    assert "b" not in getattr(log_replica.state, "hosts", {})


@pytest.mark.parametrize(
    "log_replica", [config_replica(3), hosts_replica("a", "b")]
)
def test_snapshot_needs_its_digest_and_a_newer_position(log_replica):
    """R1, R3: guards against installing corrupt or older snapshots."""
    document = codec.decompress(log_replica.to_snapshot().data).ok
    fresh = type(log_replica)(log_replica.log, type(log_replica.state)())
    wrong = models.Position(log_replica.position.sequence, 4, b"x" * 32)
    assert fresh.install_snapshot(document, wrong).kind == replica.DIVERGED
    assert fresh.position.sequence == 0
    result = fresh.install_snapshot(document, log_replica.position)
    assert result.kind == replica.APPLIED
    assert fresh.position == log_replica.position
    result = fresh.install_snapshot(document, log_replica.position)
    assert result.kind == replica.OLDER


@pytest.mark.parametrize(
    "document",
    [None, {}, {"sequence": 9}, {"sequence": 9, "content": {"version": 1}}],
)
def test_malformed_snapshots_are_values(document):
    """R3: guards against a malformed snapshot crashing a node."""
    for log_replica in (config_replica(), hosts_replica("a")):
        result = log_replica.install_snapshot(document)
        assert result.kind == replica.MALFORMED


def test_invalid_snapshot_is_refused():
    """R2: guards against a snapshot with a route to a missing service."""
    log_replica = config_replica()
    document = log_replica.state.to_document(9)
    document["content"]["version"] = 9
    document["content"]["services"].pop()
    assert log_replica.install_snapshot(document).kind == replica.MALFORMED
    assert log_replica.position.sequence == 1


def test_unsupported_rules_hold_the_version():
    """R3: guards against validating by rules that a release lacks."""
    log_replica = config_replica()
    entry = builders.entry(2, 1, builders.operation("set_rules", 99))
    result = log_replica.apply_entries([entry.to_document()])
    assert result.kind == replica.RULES_UNSUPPORTED
    assert log_replica.position.version == 1


def test_host_digest_does_not_depend_on_the_order():
    """R12: guards against reporting equal host lists as divergent."""
    first = hosts_replica("a", "b", "c")
    second = hosts_replica("c")
    second.apply_entries([hosts_entry(2, "b", "d")])
    removal = {"op": "remove", "id": "d"}
    second.apply_entries([{"sequence": 3, "changes": [removal, removal]}])
    second.apply_entries([hosts_entry(4, "a")])
    assert first.position.digest == second.position.digest


def test_malformed_host_changes_are_left_out():
    """R12: guards against one malformed change blocking the log."""
    log_replica = hosts_replica("a")
    malformed = [None, {"op": "put", "host": {"id": "x"}}, {"op": "remove"}]
    result = log_replica.apply_entries([{"sequence": 2, "changes": malformed}])
    assert result.staged.refused_changes == 3
    assert log_replica.position.sequence == 2


def test_entries_are_bounded():
    """R12: guards against unbounded growth of the retained entries."""
    log_replica = config_replica(replica.MAX_RETAINED_CONFIG_ENTRIES + 5)
    assert len(log_replica.entries) == replica.MAX_RETAINED_CONFIG_ENTRIES
    assert log_replica.entries_after(1) is None
    batch = log_replica.entries_after(log_replica.position.sequence - 3)
    assert len(batch.documents) == 3
    assert batch.position == log_replica.position


def test_download_restarts_when_the_peer_moves_on(monkeypatch):
    """R3: guards against mixing chunks of two snapshots."""
    monkeypatch.setattr(replica, "CHUNK_BYTES", 512)
    source = hosts_replica(*[f"host-{n}" for n in range(900)])
    download = replica.Download(messages.HOSTS_LOG, "peer")
    first = replica.read_chunk(source.to_snapshot(), download.request())
    assert download.add(first) == "more"
    source.apply_entries([hosts_entry(2, *[f"n-{n}" for n in range(1100)])])
    outcome = "more"
    while outcome == "more":
        chunk = replica.read_chunk(source.to_snapshot(), download.request())
        outcome = download.add(chunk)
    fresh = hosts_replica()
    fresh.install_snapshot(download.document().ok, download.position)
    assert fresh.position == source.position


def test_relayed_form_of_an_entry_acts_the_same():
    """R3, R12: guards against different verdicts on a relayed entry."""
    reader, receiver = config_replica(), config_replica()
    entries = [
        next_entry(reader) | {"published_at_ms": 1 << 70},
        next_entry(reader) | {"sequence": 3, "patch": {"id": 1 << 70}},
    ]
    result = reader.apply_entries(entries)
    assert [item.rejection is None for item in result.staged.verdicts] == [
        True,
        False,
    ]
    relayed = codec.decompress(
        codec.compress(reader.entries_after(1).documents)
    )
    receiver.apply_entries(relayed.ok, reader.position)
    assert receiver.position == reader.position
