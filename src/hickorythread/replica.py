"""Local replicas of the replicated logs.

A replica applies the entries and snapshots of one log. Its position only
moves forward.
"""

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
MAX_RETAINED_CONFIG_ENTRIES = 256
MAX_RETAINED_CONFIG_BYTES = 4 * 1024 * 1024
MAX_RETAINED_HOST_CHANGES = 1024

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
    """Hold the result of entries or a snapshot before it is committed.

    positions holds the position after each entry. rules_unsupported is set
    if an entry needs rules that this release does not support; the update
    then ends before that entry.
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
    """Hold the outcome of applying entries or a snapshot."""

    __slots__ = ("kind", "staged", "reason")

    def __init__(
        self, kind: str, staged: StagedUpdate | None = None, reason: str = ""
    ) -> None:
        self.kind = kind
        self.staged = staged
        self.reason = reason


class ReplicatedState(Protocol):
    """Stage, commit and serialize the state that one log's entries produce."""

    def stage(
        self, position: models.Position, documents: list[models.Document]
    ) -> StagedUpdate:
        """Compute the update that the entries produce, without committing."""

    def load(
        self, position: models.Position, document: models.Document
    ) -> StagedUpdate:
        """Compute the update that replaces the state with a snapshot.

        Raises KeyError, TypeError, ValueError or AttributeError if the
        document is not a valid snapshot.
        """

    def commit(self, staged: StagedUpdate) -> None:
        """Make a staged update the current state."""

    def to_document(self, sequence: int) -> models.Document:
        """Return a snapshot document of the current state."""

    def is_entry(self, document: models.Document) -> bool:
        """Return whether a document has the required fields of an entry."""

    def to_serializable(self, document: models.Document) -> models.Document:
        """Return an equivalent entry that can be serialized in a message."""

    def cost(self, document: models.Document) -> int:
        """Return the cost of retaining an entry, bounded by max_cost."""


class ConfigurationState:
    """Hold the current configuration version."""

    __slots__ = ("configuration",)
    max_entries = MAX_RETAINED_CONFIG_ENTRIES
    max_cost = MAX_RETAINED_CONFIG_BYTES

    def __init__(self) -> None:
        self.configuration = acceptance.empty_configuration()

    def stage(
        self, position: models.Position, documents: list[models.Document]
    ) -> StagedUpdate:
        """Apply the entries in order to the current configuration."""
        staged = StagedUpdate(position)
        current = self.configuration
        for document in documents:
            entry = models.LogEntry.from_config(document)
            verdict = acceptance.accept(current, entry)
            resulting = verdict.default_value(current)
            if resulting.rules > validation.SUPPORTED_RULES:
                staged.rules_unsupported = True
                break
            rejection = verdict.error if verdict.is_error() else None
            staged.verdicts.append(
                events.PatchVerdict(
                    _patch_id(entry.patch),
                    entry.sequence,
                    resulting.version,
                    rejection,
                )
            )
            current = resulting
            staged.position = models.Position(
                entry.sequence, current.version, current.digest
            )
            staged.positions.append(staged.position)
        staged.configuration = current
        return staged

    def load(
        self, position: models.Position, document: models.Document
    ) -> StagedUpdate:
        """Build the configuration of a snapshot and validate it."""
        configuration = acceptance.load_snapshot(document)
        if configuration.rules > validation.SUPPORTED_RULES:
            staged = StagedUpdate(position)
            staged.rules_unsupported = True
            return staged
        problems = validation.validate(configuration)
        if problems:
            raise ValueError(f"invalid configuration: {problems[0]}")
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
        """Replace the current configuration in one assignment."""
        if staged.configuration is None:
            raise exceptions.InvariantError(
                "staged update has no configuration"
            )
        if staged.configuration.version < self.configuration.version:
            raise exceptions.InvariantError(
                "configuration version moved backwards"
            )
        self.configuration = staged.configuration

    def to_document(self, sequence: int) -> models.Document:
        """Return a snapshot document of the current configuration."""
        document = acceptance.to_snapshot(self.configuration)
        document["sequence"] = sequence
        return document

    def is_entry(self, document: models.Document) -> bool:
        """Return whether a document has the required fields of an entry."""
        return "published_at_ms" in document and "patch" in document

    def to_serializable(self, document: models.Document) -> models.Document:
        """Keep only the patch, or a malformed one if it cannot be serialized.

        Every node rejects either patch as malformed, so verdicts agree.
        """
        if _is_serializable(document):
            return document
        patch = document["patch"]
        if not _is_serializable(patch):
            patch_id = _patch_id(patch)
            patch = {"id": patch_id if _is_serializable(patch_id) else ""}
        return {
            "sequence": document["sequence"],
            "published_at_ms": 0,
            "patch": patch,
        }

    def cost(self, document: models.Document) -> int:
        """Return the serialized size in bytes."""
        return len(codec.pack(document))


class HostsState:
    """Hold the platform's host list and its digest.

    The digest is the XOR of the host digests, so it does not depend on the
    order of the changes.
    """

    __slots__ = ("hosts", "digest")
    max_entries = MAX_RETAINED_HOST_CHANGES
    max_cost = MAX_RETAINED_HOST_CHANGES

    def __init__(self) -> None:
        self.hosts: dict[str, models.Host] = {}
        self.digest = 0

    def stage(
        self, position: models.Position, documents: list[models.Document]
    ) -> StagedUpdate:
        """Collect the changes; malformed ones are skipped and counted."""
        staged = StagedUpdate(position)
        digest = self.digest
        for document in documents:
            for change in document["changes"]:
                host_id, host = _parse_change(change)
                if host_id is None:
                    staged.refused_changes += 1
                    continue
                previous = self.hosts.get(host_id)
                if host_id in staged.host_changes:
                    previous = staged.host_changes[host_id]
                digest ^= _host_digest(previous) ^ _host_digest(host)
                staged.host_changes[host_id] = host
            sequence = document["sequence"]
            staged.position = models.Position(
                sequence, sequence, digest.to_bytes(32, "big")
            )
            staged.positions.append(staged.position)
        return staged

    def load(
        self, position: models.Position, document: models.Document
    ) -> StagedUpdate:
        """Collect the changes from the current list to a snapshot."""
        staged = StagedUpdate(position)
        digest = 0
        listed = set()
        for item in document["hosts"]:
            host = _parse_host(item)
            if host is None or host.id in listed:
                raise ValueError(
                    "host lacks required fields or is listed twice"
                )
            listed.add(host.id)
            host_digest = _host_digest(host)
            digest ^= host_digest
            if host_digest != _host_digest(self.hosts.get(host.id)):
                staged.host_changes[host.id] = host
        for host_id in self.hosts.keys() - listed:
            staged.host_changes[host_id] = None
        sequence = document["sequence"]
        staged.position = models.Position(
            sequence, sequence, digest.to_bytes(32, "big")
        )
        return staged

    def commit(self, staged: StagedUpdate) -> None:
        """Apply the host changes to the current list."""
        for host_id, host in staged.host_changes.items():
            if host is None:
                self.hosts.pop(host_id, None)
            else:
                self.hosts[host_id] = host
        self.digest = int.from_bytes(staged.position.digest, "big")

    def to_document(self, sequence: int) -> models.Document:
        """Return a snapshot document of the current list."""
        hosts = [host.to_document() for host in self.hosts.values()]
        return {"sequence": sequence, "hosts": hosts}

    def is_entry(self, document: models.Document) -> bool:
        """Return whether a document is a list of host changes."""
        return isinstance(document.get("changes"), list)

    def to_serializable(self, document: models.Document) -> models.Document:
        """Drop the changes that cannot be serialized."""
        if _is_serializable(document):
            return document
        changes = [
            item for item in document["changes"] if _is_serializable(item)
        ]
        return {"sequence": document["sequence"], "changes": changes}

    def cost(self, document: models.Document) -> int:
        """Return the number of changes, at least 1."""
        return max(1, len(document["changes"]))


class Snapshot:
    """Hold a serialized snapshot and the position at which it was taken."""

    __slots__ = ("position", "data")

    def __init__(self, position: models.Position, data: bytes) -> None:
        self.position = position
        self.data = data


class RetainedEntry:
    """Hold an applied entry, the position after it and its retention cost."""

    __slots__ = ("document", "position", "cost")

    def __init__(
        self, document: models.Document, position: models.Position, cost: int
    ) -> None:
        self.document = document
        self.position = position
        self.cost = cost


class Batch:
    """Hold consecutive entries for a peer and the position after the last."""

    __slots__ = ("documents", "position")

    def __init__(
        self, documents: list[models.Document], position: models.Position
    ) -> None:
        self.documents = documents
        self.position = position

    @property
    def first_sequence(self) -> int:
        """Return the sequence number of the first entry."""
        return self.position.sequence - len(self.documents) + 1


class Replica:
    """Hold the position, state and most recent entries of one log."""

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
        self.entries: collections.deque[RetainedEntry] = collections.deque()
        self.total_cost = 0
        self.snapshot: Snapshot | None = None

    def apply_entries(
        self,
        documents: list[models.Document],
        claimed: models.Position | None = None,
    ) -> ApplyResult:
        """Apply entries atomically.

        Entries that are already applied are skipped. If claimed is given,
        nothing is applied unless the result has that version and digest.
        Application stops before the first entry that needs unsupported
        rules; claimed is then not checked.
        """
        if not all(self._is_entry(document) for document in documents):
            return ApplyResult(MALFORMED, reason="entry lacks required fields")
        applied = self.position.sequence
        new_documents = [
            item for item in documents if item["sequence"] > applied
        ]
        if not new_documents:
            return self._verify_repeated(claimed)
        for offset, document in enumerate(new_documents, 1):
            if document["sequence"] != applied + offset:
                return ApplyResult(GAP)
        # JSON allows integers above 64 bits and lone surrogates, which cannot
        # be serialized in a message.
        new_documents = [
            self.state.to_serializable(document) for document in new_documents
        ]
        staged = self.state.stage(self.position, new_documents)
        if staged.rules_unsupported:
            new_documents = new_documents[: staged.position.sequence - applied]
        elif claimed is not None and not _matches_claim(
            staged.position, claimed
        ):
            return ApplyResult(DIVERGED)
        self._commit(staged)
        for document, position in zip(
            new_documents, staged.positions, strict=True
        ):
            self._retain(document, position)
        return ApplyResult(
            RULES_UNSUPPORTED if staged.rules_unsupported else APPLIED, staged
        )

    def install_snapshot(
        self,
        document: Any,
        claimed: models.Position | None = None,
    ) -> ApplyResult:
        """Replace the state with a newer snapshot.

        If claimed is given, the snapshot must have that version and digest.
        """
        if not isinstance(document, dict) or not _is_sequence(document):
            return ApplyResult(
                MALFORMED, reason="snapshot lacks a valid sequence number"
            )
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
        if claimed is not None and not _matches_claim(
            staged.position, claimed
        ):
            return ApplyResult(DIVERGED)
        self._commit(staged)
        self.entries.clear()
        self.total_cost = 0
        return ApplyResult(APPLIED, staged)

    def entries_after(self, sequence: int) -> Batch | None:
        """Return the entries after a sequence number.

        Returns None if there are none or some are no longer retained. The
        batch ends early if it would exceed MAX_BATCH_BYTES.
        """
        oldest = self.position.sequence - len(self.entries)
        if not oldest <= sequence < self.position.sequence:
            return None
        documents: list[models.Document] = []
        size = 0
        for index in range(sequence - oldest, len(self.entries)):
            retained = self.entries[index]
            size += len(codec.pack(retained.document))
            if documents and size > MAX_BATCH_BYTES:
                break
            documents.append(retained.document)
            position = retained.position
        return Batch(documents, position)

    def to_snapshot(self) -> Snapshot:
        """Return a snapshot that the retained entries continue.

        The previous snapshot is reused while no later entry was dropped.
        """
        oldest = self.position.sequence - len(self.entries)
        snapshot = self.snapshot
        if snapshot is None or snapshot.position.sequence < oldest:
            document = self.state.to_document(self.position.sequence)
            snapshot = Snapshot(self.position, codec.compress(document))
            self.snapshot = snapshot
        return snapshot

    def _is_entry(self, document: Any) -> bool:
        return (
            isinstance(document, dict)
            and _is_sequence(document)
            and self.state.is_entry(document)
        )

    def _verify_repeated(self, claimed: models.Position | None) -> ApplyResult:
        if (
            claimed is not None
            and claimed.sequence == self.position.sequence
            and not _matches_claim(self.position, claimed)
        ):
            return ApplyResult(DIVERGED)
        return ApplyResult(REPEATED)

    def _commit(self, staged: StagedUpdate) -> None:
        if staged.position.sequence < self.position.sequence:
            raise exceptions.InvariantError(
                f"{self.log} position moved backwards"
            )
        self.state.commit(staged)
        self.position = staged.position

    def _retain(
        self, document: models.Document, position: models.Position
    ) -> None:
        cost = self.state.cost(document)
        self.entries.append(RetainedEntry(document, position, cost))
        self.total_cost += cost
        while self.entries and (
            self.total_cost > self.state.max_cost
            or len(self.entries) > self.state.max_entries
        ):
            self.total_cost -= self.entries.popleft().cost


class Download:
    """Download a snapshot from one peer, chunk by chunk."""

    __slots__ = (
        "log",
        "host_id",
        "position",
        "total_bytes",
        "chunks",
        "offset",
    )

    def __init__(self, log: str, host_id: str) -> None:
        self.log = log
        self.host_id = host_id
        self.position: models.Position | None = None
        self.total_bytes = 0
        self.chunks: list[bytes] = []
        self.offset = 0

    def add(self, chunk: messages.SnapshotChunk) -> str:
        """Add a chunk; return "more", "done" or "refused".

        Chunks at an unexpected offset are ignored.
        """
        claimed = models.Position(chunk.sequence, chunk.version, chunk.digest)
        if not 0 < chunk.total <= MAX_SNAPSHOT_BYTES:
            return "refused"
        if claimed != self.position:
            # The peer now serves a newer snapshot: restart the download.
            self.position = claimed
            self.total_bytes = chunk.total
            self.chunks = []
            self.offset = 0
        if chunk.offset != self.offset or not chunk.data:
            return "more"
        self.chunks.append(chunk.data)
        self.offset += len(chunk.data)
        if self.offset > self.total_bytes:
            return "refused"
        return "done" if self.offset == self.total_bytes else "more"

    def document(self) -> expression.Result[Any, exceptions.DecodeError]:
        """Decode the snapshot document once all chunks are received."""
        return codec.decompress(b"".join(self.chunks))

    def request(self) -> messages.SnapshotRequest:
        """Return the request for the next chunk."""
        sequence = self.position.sequence if self.position else 0
        return messages.SnapshotRequest(self.log, sequence, self.offset)


def read_chunk(
    snapshot: Snapshot, request: messages.SnapshotRequest
) -> messages.SnapshotChunk:
    """Return the requested chunk, or the first one of a newer snapshot."""
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
    """Return the added or changed hosts and the ids of removed hosts."""
    changed = [
        host for host in staged.host_changes.values() if host is not None
    ]
    removed = [
        host_id
        for host_id, host in staged.host_changes.items()
        if host is None
    ]
    return changed, removed


def _matches_claim(actual: models.Position, claimed: models.Position) -> bool:
    return (
        actual.sequence != claimed.sequence
        or (actual.version == claimed.version)
        and actual.digest == claimed.digest
    )


def _is_sequence(document: models.Document) -> bool:
    sequence = document.get("sequence")
    return type(sequence) is int and 0 <= sequence < 1 << 63


def _is_serializable(value: Any) -> bool:
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
    if not _all_strings(document.get(name) for name in _HOST_FIELDS):
        return None
    host = models.Host.from_config(document)
    if not _all_strings((host.http_address, host.state)):
        return None
    # Interning saves memory: 23,000 hosts share a few regions, failure
    # domains, services and states.
    host.region = sys.intern(host.region)
    host.failure_domain = sys.intern(host.failure_domain)
    host.service = sys.intern(host.service)
    host.state = sys.intern(host.state)
    return host


def _all_strings(values: Iterable[Any]) -> bool:
    return all(type(value) is str for value in values)


def _host_digest(host: models.Host | None) -> int:
    if host is None:
        return 0
    serialized = codec.pack([getattr(host, name) for name in host.__slots__])
    return int.from_bytes(utils.digest(serialized), "big")
