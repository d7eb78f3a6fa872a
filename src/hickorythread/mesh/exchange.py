"""Exchange views between nodes, for those that the source does not serve."""

import expression

from hickorythread import codec
from hickorythread import exceptions
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import view as mesh_view


def ask(view: mesh_view.View) -> messages.ViewRequest:
    """Return the request for what is newer than a view."""
    return messages.ViewRequest(
        view.version, view.revision, view.operator_revision
    )


def answer(
    view: mesh_view.View, request: messages.ViewRequest
) -> messages.ViewReply | None:
    """Return what is newer than the asker's view, None if nothing is."""
    configuration = targets = b""
    if view.configuration and view.version > request.version:
        configuration = codec.compress(view.configuration.pack())
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
    )


def apply(
    view: mesh_view.View, reply: messages.ViewReply, now: float
) -> expression.Result[bool, exceptions.DecodeError]:
    """Take the newer parts of a peer's view; Ok tells whether any was."""
    changed = False
    try:
        if reply.configuration:
            unpacked = codec.decompress(reply.configuration)
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
            view.replace_targets(
                {target.id: target for target in targets}, reply.revision, now
            )
            changed = True
    except (TypeError, ValueError) as error:
        return expression.Error(
            exceptions.DecodeError("view", str(error)[:200])
        )
    return expression.Ok(changed)
