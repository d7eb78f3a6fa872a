"""Tests of responses whose connection this process ends itself."""

import queue
import threading

import pytest

from hickorythread import http_client
from hickorythread.mesh import events
from tests import servers
from tests import test_target_client as target_clients

HEAD = target_clients.STATUS + b"\r\n"
BODY = b"the whole body"
RUN_ID = 1
LIMITS = http_client.Limits(1.0, 5.0, 5.0, 1000)


def send_and_wait(data, sent):
    """Return a script that sends data and then waits for the client to leave.

    The queue sent gets an item once the data has been sent.
    """

    def script(server, connection):
        server.read_request(connection)
        connection.sendall(data)
        sent.put(True)
        connection.recv(1)

    return script


def run_in_thread(task, *arguments):
    """Start a task; return a function that waits for its result."""
    results = queue.Queue()

    def run():
        try:
            results.put(task(*arguments))
        except (http_client.http.client.HTTPException, OSError) as error:
            results.put(error)

    threading.Thread(target=run, daemon=True).start()
    return lambda: results.get(timeout=10)


@pytest.mark.parametrize("size", [0, 1, *range(5, len(BODY) + 1, 3)])
def test_cancelled_response_without_a_length_is_not_complete(size):
    """Guards against a 200 with a part of the body (MIXED).

    Cancelling shuts the connection down, which looks like the end of a body
    that ends with its connection.
    """
    sent = queue.Queue()
    script = send_and_wait(HEAD + BODY[:size], sent)
    with servers.ScriptedServer(script) as server:
        client = target_clients.make_client(server)
        result = run_in_thread(client.run, target_clients.make_run(RUN_ID))
        sent.get(timeout=10)
        client.cancel(RUN_ID)
        outcome = result()
    assert isinstance(outcome, events.Failure)
    assert outcome.kind == "cancelled"


def test_interrupted_document_without_a_length_is_not_complete():
    """Guards against a part of an answer of the store that counts as whole."""
    sent = queue.Queue()
    script = send_and_wait(b"HTTP/1.1 200 OK\r\n\r\n{}", sent)
    with servers.ScriptedServer(script) as server:
        host, port = server.address.split(":")
        session = http_client.Session(host, int(port), [])
        result = run_in_thread(session.get, "/", LIMITS)
        sent.get(timeout=10)
        session.interrupt()
        assert isinstance(result(), OSError)


def test_connection_of_a_cancelled_response_is_not_used_again():
    """Guards against a pause of a target whose connection this side ended.

    The next request on it would fail as if the target had restarted.
    """
    whole = target_clients.response(BODY)
    script = servers.respond(whole)
    with servers.ScriptedServer(script, script) as server:
        client = target_clients.make_client(server)
        matches_call = client.dialect.matches_call

        def cancel_and_match(call, fields):
            client.cancel(RUN_ID)
            return matches_call(call, fields)

        client.dialect.matches_call = cancel_and_match
        assert client.run(target_clients.make_run(RUN_ID)).body == BODY
        assert not client.idle
        assert client.run(target_clients.make_run(RUN_ID + 1)).body == BODY
