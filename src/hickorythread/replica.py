"""Replicate one log: hold its newest state and never move back."""

import collections
from collections.abc import Iterable
import sys
from typing import Any
from typing import Protocol

import expression

from hickorythread import acceptance
from hickorythread import codec
from hickorythread import events
from hickorythread import exceptions
from hickorythread import messages
from hickorythread import models
from hickorythread import utils
from hickorythread import validation

CHUNK_BYTES = 64 * 1024
MAX_BATCH_BYTES = 1024 * 1024
MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024
MAX_CONFIG_ENTRIES = 256
MAX_CONFIG_BYTES = 4 * 1024 * 1024
MAX_HOST_CHANGES = 1024

APPLIED = "applied"
REPEATED = "repeated"
GAP = "gap"
DIVERGED = "diverged"
MALFORMED = "malformed"
RULES_UNSUPPORTED = "held"
OLDER = "older"

_HOST_FIELDS = (
    "id",
    "region",
    "failure_domain",
    "service",
    "stream_address",
)


class StagedUpdate:
    """Hold the state after some entries before it is put in force.

    positions has one item for each entry.
    """

    __slots__ = (
        "position",
        "positions",
        "configuration",
        "verdicts",
        "host_changes",
        "refused_changes",
        "rules_unsupported",
    )

    def __init__(self, position: models.Position) -> None:
        self.position = position
        self.positions: list[models.Position] = []
        self.configuration: models.Configuration | None = None
        self.verdicts: list[events.PatchVerdict] = []
        self.host_changes: dict[str, models.Host | None] = {}
        self.refused_changes = 0
        self.rules_unsupported = False


class ApplyResult:
    """Report what became of entries or a snapshot."""

    __slots__ = ("kind", "staged", "reason")

    def __init__(
        self, kind: str, staged: StagedUpdate | None = None, reason: str = ""
    ) -> None:
        self.kind = kind
        self.staged = staged
        self.reason = reason


class State(Protocol):
    """Hold what the entries of one log lead to."""

    def stage(
        self, position: models.Position, documents: list[models.Document]
    ) -> StagedUpdate:
        """Return the state after the entries without putting it in force."""

    def load(
        self, position: models.Position, document: models.Document
    ) -> StagedUpdate:
        """Return the state that a snapshot holds.

        Raises KeyError, TypeError, ValueError or AttributeError if the
        document does not have the form of a snapshot.
        """

    def commit(self, staged: StagedUpdate) -> None:
        """Commit a staged update."""

    def to_document(self, sequence: int) -> models.Document:
        """Return the snapshot document of the state in force."""

    def is_entry(self, document: models.Document) -> bool:
        """Return whether a document has the form of an entry."""

    def relayable(self, document: models.Document) -> models.Document:
        """Return an entry that messages can hold and that acts the same."""

    def cost(self, document: models.Document) -> int:
        """Return what an entry counts against the bound on entries."""


class ConfigurationState:
    """Hold the configuration in force."""

    __slots__ = ("configuration",)
    max_entries = MAX_CONFIG_ENTRIES
    max_cost = MAX_CONFIG_BYTES

    def __init__(self) -> None:
        self.configuration = acceptance.empty_configuration()

    def stage(
        self, position: models.Position, documents: list[models.Document]
    ) -> StagedUpdate:
        """Judge the entries in order on top of the version in force."""
        staged = StagedUpdate(position)
        current = self.configuration
        for document in documents:
            entry = models.LogEntry.from_config(document)
            judged = acceptance.accept(current, entry)
            following = judged.default_value(current)
            if following.rules > validation.SUPPORTED_RULES:
                staged.rules_unsupported = True
                break
            rejection = judged.error if judged.is_error() else None
            staged.verdicts.append(
                events.PatchVerdict(
                    _patch_id(entry.patch),
                    entry.sequence,
                    following.version,
                    rejection,
                )
            )
            current = following
            staged.position = models.Position(
                entry.sequence, current.version, current.digest
            )
            staged.positions.append(staged.position)
        staged.configuration = current
        return staged

    def load(
        self, position: models.Position, document: models.Document
    ) -> StagedUpdate:
        """Build the version that a snapshot holds and check it whole."""
        configuration = acceptance.load_snapshot(document)
        if configuration.rules > validation.SUPPORTED_RULES:
            staged = StagedUpdate(position)
            staged.rules_unsupported = True
            return staged
        problems = validation.validate(configuration)
        if problems:
            raise ValueError(f"invalid version: {problems[0]}")
        staged = StagedUpdate(
            models.Position(
                document["sequence"],
                configuration.version,
                configuration.digest,
            )
        )
        staged.configuration = configuration
        return staged

    def commit(self, staged: StagedUpdate) -> None:
        """Replace the version in one assignment."""
        if staged.configuration is None:
            raise exceptions.InvariantError(
                "staged update has no configuration"
            )
        if staged.configuration.version < self.configuration.version:
            raise exceptions.InvariantError("configuration moved back")
        self.configuration = staged.configuration

    def to_document(self, sequence: int) -> models.Document:
        """Return the snapshot document of the version in force."""
        document = acceptance.to_snapshot(self.configuration)
        document["sequence"] = sequence
        return document

    def is_entry(self, document: models.Document) -> bool:
        """Return whether a document has the form of a log entry."""
        return "published_at_ms" in document and "patch" in document

    def relayable(self, document: models.Document) -> models.Document:
        """Replace a patch that no message can hold by a malformed one."""
        if _is_packable(document):
            return document
        patch = document["patch"]
        if not _is_packable(patch):
            patch_id = _patch_id(patch)
            patch = {"id": patch_id if _is_packable(patch_id) else ""}
        return {
            "sequence": document["sequence"],
            "published_at_ms": 0,
            "patch": patch,
        }

    def cost(self, document: models.Document) -> int:
        """Return the serialized size in bytes."""
        return len(codec.pack(document))


class HostsState:
    """Hold the platform's host list and the digest over it."""

    __slots__ = ("hosts", "digest")
    max_entries = MAX_HOST_CHANGES
    max_cost = MAX_HOST_CHANGES

    def __init__(self) -> None:
        self.hosts: dict[str, models.Host] = {}
        self.digest = 0

    def stage(
        self, position: models.Position, documents: list[models.Document]
    ) -> StagedUpdate:
        """Collect the changes; a change of another form is left out."""
        staged = StagedUpdate(position)
        total = self.digest
        for document in documents:
            for change in document["changes"]:
                name, host = _parse_change(change)
                if name is None:
                    staged.refused_changes += 1
                    continue
                known = self.hosts.get(name)
                if name in staged.host_changes:
                    known = staged.host_changes[name]
                total ^= _host_digest(known) ^ _host_digest(host)
                staged.host_changes[name] = host
            sequence = document["sequence"]
            staged.position = models.Position(
                sequence, sequence, total.to_bytes(32, "big")
            )
            staged.positions.append(staged.position)
        return staged

    def load(
        self, position: models.Position, document: models.Document
    ) -> StagedUpdate:
        """Collect what a snapshot changes against the list in force."""
        staged = StagedUpdate(position)
        total = 0
        seen = set()
        for item in document["hosts"]:
            host = _parse_host(item)
            if host is None or host.id in seen:
                raise ValueError("host without its fields or listed twice")
            seen.add(host.id)
            value = _host_digest(host)
            total ^= value
            if value != _host_digest(self.hosts.get(host.id)):
                staged.host_changes[host.id] = host
        for name in self.hosts.keys() - seen:
            staged.host_changes[name] = None
        sequence = document["sequence"]
        staged.position = models.Position(
            sequence, sequence, total.to_bytes(32, "big")
        )
        return staged

    def commit(self, staged: StagedUpdate) -> None:
        """Put the changed hosts in force."""
        for name, host in staged.host_changes.items():
            if host is None:
                self.hosts.pop(name, None)
            else:
                self.hosts[name] = host
        self.digest = int.from_bytes(staged.position.digest, "big")

    def to_document(self, sequence: int) -> models.Document:
        """Return the snapshot document of the list in force."""
        hosts = [host.to_document() for host in self.hosts.values()]
        return {"sequence": sequence, "hosts": hosts}

    def is_entry(self, document: models.Document) -> bool:
        """Return whether a document has the form of a host list delta."""
        return isinstance(document.get("changes"), list)

    def relayable(self, document: models.Document) -> models.Document:
        """Leave out the changes that no message can hold."""
        if _is_packable(document):
            return document
        changes = [item for item in document["changes"] if _is_packable(item)]
        return {"sequence": document["sequence"], "changes": changes}

    def cost(self, document: models.Document) -> int:
        """Return the number of changes."""
        return max(1, len(document["changes"]))


class Snapshot:
    """Hold one serialized snapshot for peers that ask for it."""

    __slots__ = ("position", "data")

    def __init__(self, position: models.Position, data: bytes) -> None:
        self.position = position
        self.data = data


class Retained:
    """Hold an applied entry and the position that it led to."""

    __slots__ = ("document", "position", "cost")

    def __init__(
        self, document: models.Document, position: models.Position, cost: int
    ) -> None:
        self.document = document
        self.position = position
        self.cost = cost


class Batch:
    """Hold entries for a peer and the position that they lead to."""

    __slots__ = ("documents", "position")

    def __init__(
        self, documents: list[models.Document], position: models.Position
    ) -> None:
        self.documents = documents
        self.position = position

    @property
    def first_sequence(self) -> int:
        """Return the sequence of the first entry."""
        return self.position.sequence - len(self.documents) + 1


class Replica:
    """Hold one replicated log's position, state and newest entries."""

    __slots__ = (
        "log",
        "state",
        "position",
        "entries",
        "total_cost",
        "snapshot",
    )

    def __init__(
        self, log: str, state: ConfigurationState | HostsState
    ) -> None:
        self.log = log
        self.state = state
        version = 0
        digest = bytes(32)
        if isinstance(state, ConfigurationState):
            digest = state.configuration.digest
        self.position = models.Position(0, version, digest)
        self.entries: collections.deque[Retained] = collections.deque()
        self.total_cost = 0
        self.snapshot: Snapshot | None = None

    def apply_entries(
        self,
        documents: list[models.Document],
        claimed: models.Position | None = None,
    ) -> ApplyResult:
        """Put entries in force as a whole.

        Entries already held are left out. If claimed is given, the result
        must have that version and digest.
        """
        if not all(self._is_entry(document) for document in documents):
            return ApplyResult(MALFORMED, reason="entry without its fields")
        held = self.position.sequence
        fresh = [item for item in documents if item["sequence"] > held]
        if not fresh:
            return self._check_repeated(claimed)
        for offset, document in enumerate(fresh, 1):
            if document["sequence"] != held + offset:
                return ApplyResult(GAP)
        # JSON allows integers above 64 bits and lone surrogates.
        fresh = [self.state.relayable(document) for document in fresh]
        staged = self.state.stage(self.position, fresh)
        if staged.rules_unsupported:
            fresh = fresh[: staged.position.sequence - held]
        elif claimed is not None and not _agrees(staged.position, claimed):
            return ApplyResult(DIVERGED)
        self._commit(staged)
        for document, position in zip(fresh, staged.positions, strict=True):
            self._retain(document, position)
        return ApplyResult(
            RULES_UNSUPPORTED if staged.rules_unsupported else APPLIED, staged
        )

    def install_snapshot(
        self,
        document: Any,
        claimed: models.Position | None = None,
    ) -> ApplyResult:
        """Put a snapshot in force if it is newer and its digest verifies."""
        if not isinstance(document, dict) or not _is_sequence(document):
            return ApplyResult(MALFORMED, reason="snapshot without sequence")
        if document["sequence"] <= self.position.sequence:
            return ApplyResult(OLDER)
        try:
            staged = self.state.load(self.position, document)
        except (
            KeyError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
            RecursionError,
        ) as error:
            return ApplyResult(MALFORMED, reason=str(error)[:200])
        if staged.rules_unsupported:
            return ApplyResult(RULES_UNSUPPORTED, reason="rules not supported")
        if staged.position.version < self.position.version:
            return ApplyResult(OLDER)
        if claimed is not None and not _agrees(staged.position, claimed):
            return ApplyResult(DIVERGED)
        self._commit(staged)
        self.entries.clear()
        self.total_cost = 0
        return ApplyResult(APPLIED, staged)

    def entries_after(self, sequence: int) -> Batch | None:
        """Return held entries, or None if some are no longer held."""
        oldest = self.position.sequence - len(self.entries)
        if not oldest <= sequence < self.position.sequence:
            return None
        wanted: list[models.Document] = []
        size = 0
        for index in range(sequence - oldest, len(self.entries)):
            held = self.entries[index]
            size += len(codec.pack(held.document))
            if wanted and size > MAX_BATCH_BYTES:
                break
            wanted.append(held.document)
            position = held.position
        return Batch(wanted, position)

    def to_snapshot(self) -> Snapshot:
        """Return a snapshot from which the entries held lead on."""
        oldest = self.position.sequence - len(self.entries)
        held = self.snapshot
        if held is None or held.position.sequence < oldest:
            document = self.state.to_document(self.position.sequence)
            held = Snapshot(self.position, codec.compress(document))
            self.snapshot = held
        return held

    def _is_entry(self, document: Any) -> bool:
        return (
            isinstance(document, dict)
            and _is_sequence(document)
            and self.state.is_entry(document)
        )

    def _check_repeated(self, claimed: models.Position | None) -> ApplyResult:
        if (
            claimed is not None
            and claimed.sequence == self.position.sequence
            and not _agrees(self.position, claimed)
        ):
            return ApplyResult(DIVERGED)
        return ApplyResult(REPEATED)

    def _commit(self, staged: StagedUpdate) -> None:
        if staged.position.sequence < self.position.sequence:
            raise exceptions.InvariantError(f"{self.log} position moved back")
        self.state.commit(staged)
        self.position = staged.position

    def _retain(
        self, document: models.Document, position: models.Position
    ) -> None:
        cost = self.state.cost(document)
        self.entries.append(Retained(document, position, cost))
        self.total_cost += cost
        while self.entries and (
            self.total_cost > self.state.max_cost
            or len(self.entries) > self.state.max_entries
        ):
            self.total_cost -= self.entries.popleft().cost


class Download:
    """Collect the chunks of one snapshot from one peer."""

    __slots__ = ("log", "host_id", "position", "total", "parts", "offset")

    def __init__(self, log: str, host_id: str) -> None:
        self.log = log
        self.host_id = host_id
        self.position: models.Position | None = None
        self.total = 0
        self.parts: list[bytes] = []
        self.offset = 0

    def add(self, chunk: messages.SnapshotChunk) -> str:
        """Take a chunk; returns "more", "done" or "refused"."""
        claimed = models.Position(chunk.sequence, chunk.version, chunk.digest)
        if not 0 < chunk.total <= MAX_SNAPSHOT_BYTES:
            return "refused"
        if claimed != self.position:
            # The peer moved on to a newer snapshot; start it from its head.
            self.position = claimed
            self.total = chunk.total
            self.parts = []
            self.offset = 0
        if chunk.offset != self.offset or not chunk.data:
            return "more"
        self.parts.append(chunk.data)
        self.offset += len(chunk.data)
        if self.offset > self.total:
            return "refused"
        return "done" if self.offset == self.total else "more"

    def document(self) -> expression.Result[Any, exceptions.DecodeError]:
        """Return the snapshot document after the last chunk."""
        return codec.decompress(b"".join(self.parts))

    def request(self) -> messages.SnapshotRequest:
        """Return the request for the next chunk."""
        sequence = self.position.sequence if self.position else 0
        return messages.SnapshotRequest(self.log, sequence, self.offset)


def read_chunk(
    snapshot: Snapshot, request: messages.SnapshotRequest
) -> messages.SnapshotChunk:
    """Return the chunk asked for, or the first one of a newer snapshot."""
    position = snapshot.position
    offset = request.offset
    if request.sequence != position.sequence or offset < 0:
        offset = 0
    return messages.SnapshotChunk(
        request.log,
        position.sequence,
        position.version,
        position.digest,
        offset,
        len(snapshot.data),
        snapshot.data[offset : offset + CHUNK_BYTES],
    )


def split_host_changes(
    staged: StagedUpdate,
) -> tuple[list[models.Host], list[str]]:
    """Return the changed hosts and the removed ids of an update."""
    changed = [
        host for host in staged.host_changes.values() if host is not None
    ]
    removed = [
        name for name, host in staged.host_changes.items() if host is None
    ]
    return changed, removed


def _agrees(result: models.Position, claimed: models.Position) -> bool:
    return (
        result.sequence != claimed.sequence
        or (result.version == claimed.version)
        and result.digest == claimed.digest
    )


def _is_sequence(document: models.Document) -> bool:
    sequence = document.get("sequence")
    return type(sequence) is int and 0 <= sequence < 1 << 63


def _is_packable(value: Any) -> bool:
    try:
        codec.pack(value)
    except (TypeError, ValueError, OverflowError, RecursionError):
        return False
    return True


def _patch_id(patch: Any) -> str:
    if isinstance(patch, dict):
        return str(patch.get("id", ""))[:64]
    return ""


def _parse_change(change: Any) -> tuple[str | None, models.Host | None]:
    if not isinstance(change, dict):
        return None, None
    if change.get("op") == "remove" and isinstance(change.get("id"), str):
        return change["id"], None
    if change.get("op") != "put":
        return None, None
    host = _parse_host(change.get("host"))
    return (None, None) if host is None else (host.id, host)


def _parse_host(document: Any) -> models.Host | None:
    if not isinstance(document, dict):
        return None
    if not _are_texts(document.get(name) for name in _HOST_FIELDS):
        return None
    host = models.Host.from_config(document)
    if not _are_texts((host.http_address, host.state)):
        return None
    # A list of 23,000 hosts repeats few regions, domains and services.
    host.region = sys.intern(host.region)
    host.failure_domain = sys.intern(host.failure_domain)
    host.service = sys.intern(host.service)
    host.state = sys.intern(host.state)
    return host


def _are_texts(values: Iterable[Any]) -> bool:
    return all(type(value) is str for value in values)


def _host_digest(host: models.Host | None) -> int:
    if host is None:
        return 0
    packed = codec.pack([getattr(host, name) for name in host.__slots__])
    return int.from_bytes(utils.digest(packed), "big")
