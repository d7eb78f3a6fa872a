"""Replica: a log's state changes as a whole and never moves back."""

import pytest

from hickorythread import codec
from hickorythread import messages
from hickorythread import models
from hickorythread import replica
from tests import builders


def config_replica(patches=0):
    held = replica.Replica(messages.CONFIG_LOG, replica.ConfigurationState())
    first = builders.entry(1, 0, *builders.guild_operations())
    held.apply_entries([first.to_document()])
    for number in range(patches):
        held.apply_entries([next_entry(held, f"service-{number}")])
    return held


def next_entry(held, name="glue-desk"):
    put = builders.operation("put_service", builders.service(name))
    position = held.position
    entry = builders.entry(position.sequence + 1, position.version, put)
    return entry.to_document()


def hosts_replica(*names):
    held = replica.Replica(messages.HOSTS_LOG, replica.HostsState())
    if names:
        held.apply_entries([hosts_entry(1, *names)])
    return held


def hosts_entry(sequence, *names):
    changes = [
        {"op": "put", "host": builders.host(name).to_document()}
        for name in names
    ]
    return {"sequence": sequence, "changes": changes}


def test_repeated_and_gapped_entries_change_nothing():
    """R1: guards against stale or reordered deltas."""
    held = config_replica(2)
    before = held.position
    old = [item.document for item in held.entries]
    assert held.apply_entries(old[:1]).kind == replica.REPEATED
    late = next_entry(held) | {"sequence": before.sequence + 2}
    assert held.apply_entries([late]).kind == replica.GAP
    assert held.position == before


@pytest.mark.parametrize("held", [config_replica(), hosts_replica("a")])
def test_divergent_entries_are_not_put_in_force(held):
    """R3: guards against a result that differs from its sender's."""
    before = held.position
    document = next_entry(held)
    if held.log == messages.HOSTS_LOG:
        document = hosts_entry(2, "b")
    wrong = models.Position(2, 2, b"x" * 32)
    assert held.apply_entries([document], wrong).kind == replica.DIVERGED
    assert held.position == before
    assert "b" not in getattr(held.state, "hosts", {})


@pytest.mark.parametrize("held", [config_replica(3), hosts_replica("a", "b")])
def test_snapshot_needs_its_digest_and_a_newer_position(held):
    """R1 and R3: guards against forged, torn and older snapshots."""
    document = codec.decompress(held.to_snapshot().data).ok
    fresh = type(held)(held.log, type(held.state)())
    wrong = models.Position(held.position.sequence, 4, b"x" * 32)
    assert fresh.install_snapshot(document, wrong).kind == replica.DIVERGED
    assert fresh.position.sequence == 0
    result = fresh.install_snapshot(document, held.position)
    assert result.kind == replica.APPLIED
    assert fresh.position == held.position
    result = fresh.install_snapshot(document, held.position)
    assert result.kind == replica.OLDER


@pytest.mark.parametrize(
    "document",
    [None, {}, {"sequence": 9}, {"sequence": 9, "content": {"version": 1}}],
)
def test_malformed_snapshots_are_values(document):
    """R3: guards against a malformed checkpoint stopping the process."""
    for held in (config_replica(), hosts_replica("a")):
        result = held.install_snapshot(document)
        assert result.kind == replica.MALFORMED


def test_invalid_snapshot_is_refused():
    """R2: guards against a checkpoint with a dangling route."""
    held = config_replica()
    document = held.state.to_document(9)
    document["content"]["version"] = 9
    document["content"]["services"].pop()
    assert held.install_snapshot(document).kind == replica.MALFORMED
    assert held.position.sequence == 1


def test_unsupported_rules_hold_the_version():
    """R3: guards against judging by rules that this release lacks."""
    held = config_replica()
    raised = builders.entry(2, 1, builders.operation("set_rules", 99))
    result = held.apply_entries([raised.to_document()])
    assert result.kind == replica.RULES_UNSUPPORTED
    assert held.position.version == 1


def test_host_digest_does_not_depend_on_the_order():
    """R12: guards against false divergence of equal host lists."""
    one = hosts_replica("a", "b", "c")
    two = hosts_replica("c")
    two.apply_entries([hosts_entry(2, "b", "d")])
    drop = {"op": "remove", "id": "d"}
    two.apply_entries([{"sequence": 3, "changes": [drop, drop]}])
    two.apply_entries([hosts_entry(4, "a")])
    assert one.position.digest == two.position.digest


def test_malformed_host_changes_are_left_out():
    """R12: guards against one bad list entry blocking all later ones."""
    held = hosts_replica("a")
    bad = [None, {"op": "put", "host": {"id": "x"}}, {"op": "remove"}]
    result = held.apply_entries([{"sequence": 2, "changes": bad}])
    assert result.staged.refused_changes == 3
    assert held.position.sequence == 2


def test_entries_are_bounded():
    """R12: guards against a log that fills the memory of a node."""
    held = config_replica(replica.MAX_CONFIG_ENTRIES + 5)
    assert len(held.entries) == replica.MAX_CONFIG_ENTRIES
    assert held.entries_after(1) is None
    batch = held.entries_after(held.position.sequence - 3)
    assert len(batch.documents) == 3
    assert batch.position == held.position


def test_download_restarts_when_the_peer_moves_on(monkeypatch):
    """R3: guards against mixing the chunks of two snapshots."""
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
    """R3, R12: guards against nodes that judge a relayed entry otherwise."""
    reader, other = config_replica(), config_replica()
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
    other.apply_entries(relayed.ok, reader.position)
    assert other.position == reader.position
