"""Encode and decode the messages between nodes."""

from typing import Any

import expression
import msgpack
import zstandard

from hickorythread import exceptions
from hickorythread import messages

CODEC_VERSION = 1
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
# The buffer of a stream. Without a size, msgpack takes 1 MiB for each.
UNPACKER_BYTES = 64 * 1024
HEADER_FIELD_COUNT = 3
COMPRESSION_LEVEL = 3


class DecodedMessage:
    """Hold a decoded message and its sender's configuration version."""

    __slots__ = ("message", "version")

    def __init__(self, message: messages.Message, version: int) -> None:
        self.message = message
        self.version = version


DecodeResult = expression.Result[DecodedMessage, exceptions.DecodeError]


def encode(message: messages.Message, version: int) -> bytes:
    """Serialize a message; version is the sender's configuration version."""
    header = [CODEC_VERSION, message.code, version]
    return bytes(msgpack.packb(header + message.values(), use_bin_type=True))


class Decoder:
    """Decode the messages of one stream incrementally."""

    __slots__ = (
        "unpacker",
        "failed",
        "fed_bytes",
        "decoded_bytes",
        "has_grown",
    )

    def __init__(self) -> None:
        self.unpacker = _make_unpacker()
        self.failed = False
        self.fed_bytes = 0
        self.decoded_bytes = 0
        # Whether the buffer of the unpacker has become larger.
        self.has_grown = False

    @property
    def incomplete_bytes(self) -> int:
        """Return how many bytes wait for the end of their message."""
        return self.fed_bytes - self.decoded_bytes

    @property
    def incomplete(self) -> bool:
        """Return whether the end of a message is missing."""
        return self.fed_bytes > self.decoded_bytes

    def feed(self, data: bytes) -> list[DecodeResult]:
        """Decode the messages that the data completes.

        After a fatal error all further data is ignored.
        """
        if self.failed:
            return []
        try:
            self.unpacker.feed(data)
            self.fed_bytes += len(data)
        except msgpack.BufferFull:
            return [self._fail("oversized", "message exceeds the size limit")]
        self.has_grown |= self.incomplete_bytes > UNPACKER_BYTES
        decoded = self._decode()
        if self.has_grown and not self.incomplete:
            self._shrink()
        return decoded

    def _shrink(self) -> None:
        """Replace the unpacker, whose buffer never becomes smaller."""
        self.unpacker = _make_unpacker()
        self.fed_bytes = self.decoded_bytes = 0
        self.has_grown = False

    def _decode(self) -> list[DecodeResult]:
        """Return the messages that are complete."""
        decoded: list[DecodeResult] = []
        while not self.failed:
            try:
                value = self.unpacker.unpack()
                self.decoded_bytes = self.unpacker.tell()
                if isinstance(value, list):
                    decoded.append(_decode_message(value))
                else:
                    # Each byte of a text would be a message of its own.
                    decoded.append(self._fail("malformed", "not an array"))
            except msgpack.OutOfData:
                break
            except (
                ValueError,
                TypeError,
                RecursionError,
                msgpack.UnpackException,
            ) as error:
                decoded.append(self._fail("framing", str(error)[:200]))
        return decoded

    def _fail(self, kind: str, message: str) -> DecodeResult:
        self.failed = True
        error = exceptions.DecodeError(kind, message, fatal=True)
        return expression.Error(error)


def _make_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        raw=False,
        max_buffer_size=MAX_MESSAGE_BYTES,
        read_size=UNPACKER_BYTES,
        strict_map_key=True,
    )


def pack(value: Any) -> bytes:
    """Serialize a value without compression."""
    return bytes(msgpack.packb(value, use_bin_type=True))


def compress(value: Any) -> bytes:
    """Serialize and compress a value."""
    return compress_packed(pack(value))


def compress_packed(packed: bytes, dictionary: bytes = b"") -> bytes:
    """Compress a serialized value with a dictionary, if any."""
    compressor = zstandard.ZstdCompressor(
        level=COMPRESSION_LEVEL, dict_data=_compression_dictionary(dictionary)
    )
    return compressor.compress(packed)


def decompress(
    data: bytes, dictionary: bytes = b""
) -> expression.Result[Any, exceptions.DecodeError]:
    """Decompress and deserialize a value.

    Data is refused if its frame header declares no size or one above
    MAX_DECOMPRESSED_BYTES.
    """
    try:
        size = zstandard.get_frame_parameters(data).content_size
        if size > MAX_DECOMPRESSED_BYTES:
            return _error_result(
                "oversized",
                f"decompressed size of {size} bytes exceeds the limit",
            )
        decompressor = zstandard.ZstdDecompressor(
            dict_data=_compression_dictionary(dictionary)
        )
        packed = decompressor.decompress(data)
        value = msgpack.unpackb(packed, raw=False, strict_map_key=True)
    except (
        zstandard.ZstdError,
        ValueError,
        TypeError,
        RecursionError,
        msgpack.UnpackException,
    ) as error:
        return _error_result("compressed", str(error)[:200])
    return expression.Ok(value)


def _compression_dictionary(
    dictionary: bytes,
) -> zstandard.ZstdCompressionDict | None:
    if not dictionary:
        return None
    return zstandard.ZstdCompressionDict(
        dictionary, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _decode_message(value: list[Any]) -> DecodeResult:
    if len(value) < HEADER_FIELD_COUNT:
        return _error_result("malformed", "message has no header")
    codec_version, code, version = value[:HEADER_FIELD_COUNT]
    if codec_version != CODEC_VERSION:
        return _error_result(
            "release", f"unsupported codec version {codec_version!r:.20}"
        )
    if not _is_non_negative_int(version):
        return _error_result(
            "malformed", "configuration version is not a non-negative integer"
        )
    cls = messages.BY_CODE.get(code) if _is_non_negative_int(code) else None
    if cls is None:
        return _error_result(
            "unknown", f"unknown message type code {code!r:.20}"
        )
    return _build_message(cls, value[HEADER_FIELD_COUNT:], version)


def _build_message(cls: Any, fields: list[Any], version: int) -> DecodeResult:
    # Extra fields come from a later release and are ignored. An earlier one
    # does not send the last fields, which have defaults.
    missing = len(cls.types) - len(fields)
    if 0 < missing <= len(cls.defaults):
        fields = [*fields, *cls.defaults[-missing:]]
    if len(fields) < len(cls.types):
        return _error_result(
            "truncated", f"{cls.__name__} has {len(fields)} fields"
        )
    fields = fields[: len(cls.types)]
    for name, expected_type, value in zip(
        cls.__slots__, cls.types, fields, strict=True
    ):
        if type(value) is not expected_type:
            return _error_result(
                "type", f"{cls.__name__}.{name} is not {expected_type}"
            )
    return expression.Ok(DecodedMessage(cls(*fields), version))


def _is_non_negative_int(value: Any) -> bool:
    return type(value) is int and value >= 0


def _error_result(kind: str, message: str) -> expression.Result[Any, Any]:
    return expression.Error(exceptions.DecodeError(kind, message))
