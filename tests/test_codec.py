"""Tests of the codec: malformed input returns errors and never raises."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgpack

from hickorythread import codec
from hickorythread import messages

ANY_VALUE = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda values: strategies.lists(values, max_size=5),
    max_leaves=20,
)


def test_message_survives_a_split_stream():
    """R7: guards against losing a message that arrives in pieces."""
    message = messages.Hello("spec-desk-1", 7, "north-tas", "launceston", 1)
    decoder = codec.Decoder()
    received = []
    for byte in codec.encode(message, 42):
        received.extend(decoder.feed(bytes([byte])))
    assert received[0].ok.message == message
    assert received[0].ok.version == 42


@settings(derandomize=True, max_examples=200, deadline=None)
@given(strategies.binary(max_size=200))
def test_arbitrary_bytes_are_error_values(data):
    """Guards against arbitrary bytes crashing a node."""
    for result in codec.Decoder().feed(data):
        assert result.is_ok() or result.error.kind


@settings(derandomize=True, max_examples=300, deadline=None)
@given(strategies.lists(ANY_VALUE, max_size=12))
def test_arbitrary_values_are_checked(values):
    """Guards against accepting messages with fields of the wrong type."""
    for result in codec.Decoder().feed(msgpack.packb(values)):
        if result.is_error():
            assert not result.error.fatal


def test_oversized_message_ends_the_stream():
    """Guards against a message that exhausts the memory of a node."""
    decoder = codec.Decoder()
    data = b"\xdd\xff\xff\xff\xff" + b"\x01" * codec.MAX_MESSAGE_BYTES
    results = decoder.feed(data)
    assert results[-1].error.fatal
    assert decoder.feed(b"\x01") == []


def test_buffer_shrinks_after_a_large_message():
    """Guards against every stream keeping a buffer of 2 MiB for good."""
    decoder = codec.Decoder()
    large = codec.encode(messages.PushAck(1, 1), 0)
    large = msgpack.packb([*msgpack.unpackb(large), b"x" * 1_000_000])
    for start in range(0, len(large), 65536):
        results = decoder.feed(large[start : start + 65536])
    assert results[0].is_ok() and not decoder.has_grown
    assert not decoder.incomplete
    assert decoder.feed(large[:100]) == [] and decoder.incomplete
    assert decoder.feed(large[100:])[0].is_ok()
