"""Exchange views between nodes, for those that the source does not serve."""

from typing import Any

import expression

from hickorythread import codec
from hickorythread import exceptions
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import view as mesh_view


def make_request(view: mesh_view.View) -> messages.ViewRequest:
    """Return the request for what is newer than a view."""
    return messages.ViewRequest(
        view.version, view.revision, view.operator_revision
    )


def make_notice(view: mesh_view.View, fresh: bool) -> messages.ViewNotice:
    """Return the notice of what a view holds."""
    return messages.ViewNotice(
        view.version, view.revision, view.operator_revision, fresh
    )


def is_newer(view: mesh_view.View, notice: messages.ViewNotice) -> bool:
    """Return whether the sender of a notice knows more than a view."""
    return (
        notice.version > view.version
        or notice.revision > view.revision
        or notice.operator_revision > view.operator_revision
    )


def make_reply(
    view: mesh_view.View, request: messages.ViewRequest, now: float
) -> messages.ViewReply | None:
    """Return what is newer than the asker's view, None if nothing is."""
    configuration = targets = b""
    base = 0
    if view.version > request.version:
        if request.version in view.packed:
            base = request.version
        configuration = codec.compress_packed(
            view.packed[view.version], view.packed.get(base, b"")
        )
    if view.revision > request.revision:
        targets = codec.compress(view.pack_targets())
    if not configuration and not targets:
        if view.operator_revision <= request.operator_revision:
            return None
    return messages.ViewReply(
        configuration,
        targets,
        view.revision,
        sorted(view.evacuated),
        view.operator_revision,
        base,
        {id_: max(0.0, due - now) for id_, due in view.held.items()},
    )


def apply_reply(
    view: mesh_view.View, reply: messages.ViewReply, now: float
) -> expression.Result[bool, exceptions.DecodeError]:
    """Take the newer parts of a peer's view; Ok tells whether any was."""
    changed = False
    try:
        # A difference from a version that was replaced meanwhile is of no
        # use; the next notice leads to another one.
        if reply.configuration and reply.base in (0, view.version):
            base = view.packed.get(reply.base, b"")
            unpacked = codec.decompress(reply.configuration, base)
            if unpacked.is_error():
                return expression.Error(unpacked.error)
            configuration = models.Configuration.unpack(unpacked.ok)
            changed = view.put_configuration(configuration)
        if reply.operator_revision > view.operator_revision:
            changed |= view.put_evacuated(
                frozenset(reply.evacuated), reply.operator_revision
            )
        if reply.targets and reply.revision > view.revision:
            unpacked = codec.decompress(reply.targets)
            if unpacked.is_error():
                return expression.Error(unpacked.error)
            targets = [models.Target(*fields) for fields in unpacked.ok]
            view.take_targets(
                {target.id: target for target in targets},
                reply.revision,
                _read_held(reply.held, now),
            )
            changed = True
    except (TypeError, ValueError) as error:
        return expression.Error(
            exceptions.DecodeError("view", str(error)[:200])
        )
    return expression.Ok(changed)


def _read_held(held: dict[Any, Any], now: float) -> dict[str, float]:
    """Return until when targets are held; raises ValueError if malformed."""
    for target_id, left in held.items():
        if type(target_id) is not str or type(left) is not float:
            raise ValueError("held is not a map of names to seconds")
    return {target_id: now + left for target_id, left in held.items()}
