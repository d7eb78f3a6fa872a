"""The grammar of header fields, the same for requests and responses."""

import re

# Peers choose the names, so the size of the cache is limited.
MAX_CACHED_NAMES = 1024

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_UNFIT_TEXT = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\u0100-\U0010ffff]")
_NAMES: dict[bytes, "Name"] = {}
_VALID_NAMES: set[str] = set()
_UNPREFIXED_KEYS = ("CONTENT_LENGTH", "CONTENT_TYPE")


class FieldError(ValueError):
    """Report a header line that is no field."""


class Name:
    """Hold the name of a field as it came, and its key in WSGI.

    The key is None for a name with an underscore: WSGI writes hyphens as
    underscores, so Content_Length would have the key of Content-Length.
    """

    __slots__ = ("text", "key")

    def __init__(self, raw: bytes) -> None:
        self.text = raw.decode("ascii")
        self.key = None if "_" in self.text else _wsgi_key(self.text)


def _wsgi_key(text: str) -> str:
    key = text.upper().replace("-", "_")
    return key if key in _UNPREFIXED_KEYS else f"HTTP_{key}"


def parse(line: bytes) -> tuple[Name, str]:
    """Return the name and the value of a line; raise FieldError if malformed.

    A line that continues the one before it is malformed.
    """
    raw_name, colon, raw_value = line.partition(b":")
    name = _NAMES.get(raw_name)
    if not colon or (name is None and not _TOKEN.match(raw_name)):
        raise FieldError("malformed header line")
    raw_value = raw_value.strip(b" \t\r\n")
    if _CONTROL.search(raw_value):
        raise FieldError("control character in a header")
    return name or _cache(raw_name), raw_value.decode("latin1")


def _cache(raw_name: bytes) -> Name:
    name = Name(raw_name)
    if len(_NAMES) < MAX_CACHED_NAMES:
        _NAMES[raw_name] = name
    return name


def is_valid(name: str, value: str) -> bool:
    """Return whether a name and a value can be sent as one field."""
    if name not in _VALID_NAMES:
        if not _TOKEN.match(name.encode("latin1", "replace")):
            return False
        if len(_VALID_NAMES) < MAX_CACHED_NAMES:
            _VALID_NAMES.add(name)
    return not _UNFIT_TEXT.search(value)
