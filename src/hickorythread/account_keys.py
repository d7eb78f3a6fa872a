"""Keys of client accounts, which are kept as digests only."""

import hashlib

MAX_KEY_CHARS = 256
DIGEST_BYTES = 16


def is_valid(key: str) -> bool:
    """Return whether a text can be a key: printable ASCII without spaces."""
    return (
        0 < len(key) <= MAX_KEY_CHARS
        and key.isascii()
        and key.isprintable()
        and " " not in key
    )


def digest(key: str) -> bytes:
    """Return what identifies a key, empty if the text can't be one."""
    if not is_valid(key):
        return b""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()
