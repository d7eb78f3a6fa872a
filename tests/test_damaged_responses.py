"""Tests of responses of a target in which single bytes are damaged."""

import io

import pytest

from hickorythread import http_client
from hickorythread import messages as base_messages
from hickorythread import utils
from hickorythread.mesh import events
from hickorythread.mesh import target_client
from hickorythread.platform import headers
from tests import endless
from tests import mesh_builders as build

BODY = b"the whole body"
SIGNED_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Hickorythread-Attempt-Id: r1\r\n"
    b"Connection: close\r\n"
    b"%sHickorythread-Server-Stamp: s\r\n\r\n"
)
CHUNKED = SIGNED_HEAD % b"Transfer-Encoding: chunked\r\n"
CHUNKED_LAST = CHUNKED.replace(b"Transfer-Encoding: chunked\r\n", b"").replace(
    b": s\r\n", b": s\r\nTransfer-Encoding: chunked\r\n"
)
CHUNKS = b"6\r\nthe wh\r\n8\r\nole body\r\n0\r\n\r\n"
DAMAGE = (b"", b"\0", b"\r", b"\n", b" ", b"\t", b":", b"x", b"0", b"\xe9")


class FakeSocket:
    """Give out prepared bytes and then the end of the connection."""

    def __init__(self, data):
        self.data = io.BytesIO(data)

    def recv(self, size):
        return self.data.read(size)

    def send(self, data):
        return len(data)

    def settimeout(self, seconds):
        pass

    def close(self):
        pass


def run(data):
    """Return what a target client makes of a response."""
    client = target_client.TargetClient(
        "127.0.0.1:1", headers.Headers(), utils.SystemClock()
    )
    client._connect = lambda: endless.Connection(FakeSocket(data))
    call = build.make_call(request_id="r1")
    deadline = client.clock.monotonic() + 5.0
    return client.run(events.Run(1, call, "t1", deadline))


def spoil(data):
    """Yield the data with each byte damaged in each way."""
    for position in range(len(data)):
        for byte in DAMAGE:
            if byte != data[position : position + 1]:
                yield data[:position] + byte + data[position + 1 :]


def damaged_framings():
    """Yield chunked responses with one byte of the framing damaged."""
    for head in (*spoil(CHUNKED), *spoil(CHUNKED_LAST)):
        yield head + CHUNKS
    for start, end in ((0, 3), (9, 14), (22, 29)):
        for part in spoil(CHUNKS[start:end]):
            yield CHUNKED + CHUNKS[:start] + part + CHUNKS[end:]


def test_damaged_byte_gives_no_success_with_another_body():
    """Guards against a 200 with the chunk sizes within its body.

    A damaged field is none that is known, so that the response seemed to end
    with its connection.
    """
    assert run(CHUNKED + CHUNKS).body == BODY
    for data in damaged_framings():
        result = run(data)
        if isinstance(result, events.TargetResponse) and result.status < 300:
            assert result.body == BODY, data
            assert "Hickorythread-Server-Stamp" in dict(result.headers), data


@pytest.mark.parametrize("chunks", [1, 99, 100, 101, 500])
def test_chunks_whose_field_became_another_are_no_body(chunks):
    """Guards against chunk sizes in a body that ends with its connection."""
    head = CHUNKED.replace(b"Encoding", b"Encodinf")
    body = b"1\r\na\r\n" * chunks
    assert isinstance(run(head + body + b"0\r\n\r\n"), events.Failure)
    plain = body + b"no chunk\r\n\r\n"
    if chunks < http_client.MAX_CHECKED_CHUNKS:
        assert run(head + plain).body == plain


EMPTY_FIELDS = (
    b"Transfer-Encoding:\r\n",
    b"Transfer-Encoding: \r\n",
    b"Content-Length:\r\n",
    b"Content-Length: \r\n",
    b"Transfer-Encoding: identity\r\n",
)


@pytest.mark.parametrize("field", EMPTY_FIELDS)
def test_empty_framing_field_is_not_an_absent_one(field):
    """Guards against a body that seems to end with its connection."""
    assert isinstance(run(SIGNED_HEAD % field + CHUNKS), events.Failure)


def test_success_without_a_signature_is_no_response():
    """Guards against a success that no target has signed."""
    head = SIGNED_HEAD % b""
    assert run(head + BODY).body == BODY
    unsigned = head.replace(b"Server-Stamp", b"Server-Stomp")
    assert isinstance(run(unsigned + BODY), events.Failure)
    failure = unsigned.replace(b"200 OK", b"500 No")
    assert run(failure + BODY).status == 500


def test_status_without_a_body_has_no_framing_of_one():
    """Guards against a damaged status that hides a body."""
    for status in (b"204", b"304"):
        head = CHUNKED.replace(b"200", status)
        assert isinstance(run(head + CHUNKS), events.Failure)


def test_only_final_responses_are_passed_on():
    """Guards against an interim response that counts as the final one."""
    interim = (SIGNED_HEAD % b"").replace(b"200 OK", b"100 Continue")
    most = http_client.MAX_INTERIM_RESPONSES
    data = SIGNED_HEAD % b"" + BODY
    assert run(interim * most + data).body == BODY
    assert isinstance(run(interim * (most + 1) + data), events.Failure)


@pytest.mark.parametrize(
    "field",
    [("a\0b", "c"), ("", "c"), ("a b", "c"), ("a", "c\r\nd: e"), ("a", "☃")],
)
def test_damaged_field_of_a_peer_is_refused(field):
    """Guards against a field that leaves as another one."""
    assert base_messages.is_header_list([["a", "b"]])
    assert not base_messages.is_header_list([list(field)])
