"""Messages that transfer the view of one node to another."""

from collections.abc import Sequence
from typing import Any

import expression

from hickorythread import codec
from hickorythread import exceptions
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import view as mesh_view


def make_request(view: mesh_view.View) -> messages.ViewRequest:
    """Build a request for everything newer than a view."""
    return messages.ViewRequest(
        view.version,
        view.position.revision,
        view.operator_position.revision,
        view.position.era,
        view.operator_position.era,
    )


def make_notice(
    view: mesh_view.View,
    fresh: bool,
    relayed: bool = False,
    asks: bool = False,
    proof_ages: Sequence[float] = (),
) -> messages.ViewNotice:
    """Build a notice that announces the versions of a view."""
    return messages.ViewNotice(
        view.version,
        view.position.revision,
        view.operator_position.revision,
        fresh,
        relayed,
        view.position.era,
        view.operator_position.era,
        asks,
        view.digest,
        list(proof_ages),
        view.evacuations_digest,
    )


def is_newer(view: mesh_view.View, notice: messages.ViewNotice) -> bool:
    """Return whether the sender of a notice has newer data than a view."""
    return (
        notice.version > view.version
        or view.position < notice.position
        or view.operator_position < notice.operator_position
    )


def knows_more(view: mesh_view.View, notice: messages.ViewNotice) -> bool:
    """Return whether the sender of a notice has other and newer data.

    Two nodes may know the same up to different revisions, since those of a
    topic are given out between those of others.
    """
    if not is_newer(view, notice):
        return False
    return (
        notice.version > view.version
        or notice.digest != view.digest
        or notice.era != view.position.era
        or notice.operator_era != view.operator_position.era
    )


def is_same(view: mesh_view.View, notice: messages.ViewNotice) -> bool:
    """Return whether the sender of a notice holds what a view holds.

    They may know it up to different revisions of the same source.
    """
    return (
        notice.version == view.version
        and notice.digest == view.digest
        and notice.era == view.position.era
        and notice.operator_era == view.operator_position.era
    )


def has_same_operator_part(
    view: mesh_view.View, notice: messages.ViewNotice
) -> bool:
    """Return whether the sender of a notice holds the same of the operator.

    Its targets may differ, as they do while a service is replaced.
    """
    return (
        notice.version == view.version
        and notice.evacuations_digest == view.evacuations_digest
        and notice.operator_era == view.operator_position.era
    )


def read_proof_ages(notice: messages.ViewNotice) -> list[float]:
    """Return how old the proofs of the sender are, empty if malformed.

    The age of a proof that there is not is infinite.
    """
    ages = notice.proof_ages
    if all(type(age) is float and age >= 0.0 for age in ages):
        return ages
    return []


def make_reply(
    view: mesh_view.View, request: messages.ViewRequest, now: float
) -> messages.ViewReply | None:
    """Build a reply with everything newer, None if nothing is."""
    configuration = targets = b""
    base = 0
    if view.version > request.version:
        if request.version in view.versions.packed:
            base = request.version
        configuration = view.versions.pack_difference(request.version)
    if request.position < view.position:
        targets = view.pack_targets()
    if not configuration and not targets:
        if not request.operator_position < view.operator_position:
            return None
    return messages.ViewReply(
        configuration,
        targets,
        view.position.revision,
        sorted(view.evacuated),
        view.operator_position.revision,
        base,
        {
            target_id: max(0.0, due - now)
            for target_id, due in view.pending_removals.items()
        },
        view.position.era,
        view.operator_position.era,
        view.warmup_revisions if targets else {},
    )


def lacks_base(view: mesh_view.View, reply: messages.ViewReply) -> bool:
    """Return whether the base of the configuration has been replaced.

    The configuration can't be applied then, and neither can the position,
    which would tell that it was.
    """
    return bool(reply.configuration) and reply.base not in (0, view.version)


def apply_reply(
    view: mesh_view.View, reply: messages.ViewReply, now: float
) -> expression.Result[bool, exceptions.DecodeError]:
    """Apply the newer parts of a peer's view; return whether any were.

    Nothing is applied if a part can't be decoded.
    """
    decoded = _decode_reply(view, reply, now)
    if decoded.is_error():
        return expression.Error(decoded.error)
    parts = decoded.ok
    has_operator = not lacks_base(view, reply)
    changed = False
    if parts.configuration is not None:
        try:
            changed = view.put_configuration(parts.configuration)
        except (AttributeError, TypeError) as error:
            # Its routes can't be matched with requests.
            return expression.Error(
                exceptions.DecodeError("view", str(error)[:200])
            )
    if has_operator and view.operator_position < reply.operator_position:
        changed |= view.put_evacuated(
            reply.evacuated, reply.operator_position, now
        )
    if parts.targets is not None:
        view.adopt_targets(
            parts.targets, reply.position, parts.held, now, parts.revisions
        )
        changed = True
    return expression.Ok(changed)


class _Parts:
    """Hold the decoded parts of a reply; None stands for one without news.

    held maps targets to the times at which their removal is due, and
    revisions cold targets to those of the writes that said so.
    """

    __slots__ = ("configuration", "targets", "held", "revisions")

    def __init__(self) -> None:
        self.configuration: models.Configuration | None = None
        self.targets: dict[str, models.Target] | None = None
        self.held: dict[str, float] = {}
        self.revisions: dict[str, int] = {}


def _decode_reply(
    view: mesh_view.View, reply: messages.ViewReply, now: float
) -> expression.Result[_Parts, exceptions.DecodeError]:
    """Decode what a reply has that a view lacks."""
    parts = _Parts()
    try:
        if reply.configuration and not lacks_base(view, reply):
            base = view.versions.packed.get(reply.base, b"")
            unpacked = codec.decompress(reply.configuration, base)
            if unpacked.is_error():
                return expression.Error(unpacked.error)
            parts.configuration = models.Configuration.unpack(unpacked.ok)
        if reply.targets and view.position < reply.position:
            unpacked = codec.decompress(reply.targets)
            if unpacked.is_error():
                return expression.Error(unpacked.error)
            targets = [models.Target(*fields) for fields in unpacked.ok]
            parts.targets = {target.id: target for target in targets}
            parts.held = _decode_pending_removals(reply.held, now)
            parts.revisions = _check_revisions(reply.warmup_revisions)
    except (TypeError, ValueError) as error:
        return expression.Error(
            exceptions.DecodeError("view", str(error)[:200])
        )
    return expression.Ok(parts)


def _decode_pending_removals(
    held: dict[Any, Any], now: float
) -> dict[str, float]:
    """Return when removals are due; raise ValueError if malformed."""
    for target_id, remaining in held.items():
        if type(target_id) is not str or type(remaining) is not float:
            raise ValueError("held is not a map of target ids to seconds")
    return {
        target_id: now + remaining for target_id, remaining in held.items()
    }


def _check_revisions(revisions: dict[Any, Any]) -> dict[str, int]:
    """Return the revisions of writes; raise ValueError if malformed."""
    for target_id, revision in revisions.items():
        if type(target_id) is not str or type(revision) is not int:
            raise ValueError("warmup_revisions does not map ids to numbers")
    return revisions
