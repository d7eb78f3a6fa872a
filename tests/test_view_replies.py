"""Tests of replies of a peer that bring only a part of its view."""

import pytest

from hickorythread import codec
from hickorythread.mesh import exchange
from hickorythread.mesh import interfaces
from hickorythread.mesh import messages
from hickorythread.mesh import view as mesh_view
from tests import mesh_builders as build
from tests import view_domain

PEER = "10.0.0.2"


def make_operator_batch(version, revision):
    change = interfaces.PutConfiguration(build.make_configuration(version))
    return interfaces.ChangeBatch([change], revision)


def make_peer_view(versions, revision):
    """Return the view of a peer that has read all versions."""
    view = mesh_view.View()
    for version in versions:
        batch = make_operator_batch(version, revision)
        view.apply_operator(batch, True, 0.0)
    return view


def make_member():
    domain = view_domain.Domain(2)
    domain.run_for(4.0)
    return domain, domain.readers()[0]


def make_outdated_reply():
    """Return a member, and a reply whose base it has replaced meanwhile."""
    domain, member = make_member()
    peer = make_peer_view((1, 2, 3), revision=50)
    request = exchange.make_request(member.view)
    reply = exchange.make_reply(peer, request, domain.now)
    batch = make_operator_batch(2, 45)
    member.synchronizer.apply_batch(interfaces.OPERATOR, batch, False)
    return member, peer, reply


def test_version_is_not_dropped_after_a_reply_whose_base_was_replaced():
    """Guards against a position that tells more than was applied."""
    member, _, reply = make_outdated_reply()
    node = member.synchronizer
    node.reply_received(PEER, reply)
    node.apply_batch(interfaces.OPERATOR, make_operator_batch(3, 48), False)
    assert member.view.version == 3


def test_reply_whose_base_was_replaced_is_asked_for_again():
    """Guards against a host that waits for the next notice."""
    member, peer, reply = make_outdated_reply()
    node = member.synchronizer
    sent = []
    member.send = lambda host_id, message: sent.append(message)
    node.reply_received(PEER, reply)
    (again,) = sent
    assert isinstance(again, messages.ViewRequest) and again.version == 2
    reply = exchange.make_reply(peer, again, member.domain.now)
    node.reply_received(PEER, reply)
    assert member.view.version == 3
    assert member.view.operator_position.revision == 50


def test_version_is_asked_of_another_host_once_its_holder_is_gone():
    """Guards against a host that asks one that left for a newer version."""
    domain = view_domain.Domain(3)
    domain.run_for(4.0)
    member, holder, other = domain.readers()
    node = member.synchronizer
    sent = []

    def send(host_id, message):
        if isinstance(message, messages.ViewRequest):
            sent.append(host_id)

    member.send = send
    node.version_seen(holder.host_id, 5)
    del member.by_host[holder.host_id]
    domain.run_for(1.0)
    assert holder.host_id not in sent
    node.version_seen(other.host_id, 5)
    sent.clear()
    domain.run_for(1.0)
    assert other.host_id in sent


def make_reply_with_malformed_targets(view):
    peer = make_peer_view((1, 2), revision=50)
    request = exchange.make_request(view)
    reply = exchange.make_reply(peer, request, 0.0)
    reply.targets = codec.compress([["t1"]])
    reply.revision = 1000
    return reply


def test_reply_that_is_malformed_in_part_changes_nothing():
    """Guards against a version that is known and not told to anybody."""
    domain, member = make_member()
    reply = make_reply_with_malformed_targets(member.view)
    error = member.synchronizer.reply_received(
        domain.readers()[1].host_id, reply
    )
    assert error is not None
    assert member.view.version == 1
    assert member.view.operator_position.revision < 50


def test_version_that_is_known_is_the_one_that_routes():
    """Guards against an older router behind a newer version."""
    plane = build.make_entry()
    route = build.make_route("later")
    plane.view.put_configuration(build.make_configuration(2, [route]))
    request = build.make_request(path="/later/1")
    assert build.sent_messages(plane.request(request, 0.0), messages.Forward)
    assert plane.routing_version == plane.view.version == 2


def test_version_whose_router_cannot_be_built_is_not_in_force():
    """Guards against a version that is held and cannot route."""
    view = build.make_view()
    broken = build.make_configuration(2, [build.make_route(host=None)])
    with pytest.raises(AttributeError):
        view.put_configuration(broken)
    assert view.version == view.router.configuration.version == 1
