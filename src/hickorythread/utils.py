"""Hashing, canonical serialization, address parsing and clocks."""

import time
from typing import Any

import blake3
import msgpack
import xxhash

RING_SIZE = 1 << 64
# Messages carry 64 bits.
MAX_INCARNATION = (1 << 64) - 1


def pack_canonical(value: Any) -> bytes:
    """Serialize a value to MessagePack with map keys in sorted order."""
    return bytes(msgpack.packb(_sorted_maps(value), use_bin_type=True))


def digest(data: bytes) -> bytes:
    """Return the 32-byte BLAKE3 digest of the data."""
    return blake3.blake3(data).digest()


def ring_hash(text: str) -> int:
    """Return the 64-bit position of a name on the consistent-hash ring."""
    return int(xxhash.xxh3_64_intdigest(text.encode()))


def rendezvous_rank(names: list[str], key: str) -> list[str]:
    """Sort names by rendezvous hashing (highest random weight) for a key.

    Ties are broken by name.
    """
    return sorted(names, key=lambda name: (-ring_hash(f"{key}/{name}"), name))


def _sorted_maps(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _sorted_maps(value[key]) for key in sorted(value)}
    if isinstance(value, list | tuple):
        return [_sorted_maps(item) for item in value]
    return value


def make_incarnation(now_ns: int, random_bits: int) -> int:
    """Return the number of a process that starts at a time of day.

    A later process of the host gets a higher one. random_bits are 16 bits.
    """
    shifted = min(now_ns << 2, MAX_INCARNATION)
    return shifted & ~0xFFFF | random_bits


class SystemClock:
    """Read the monotonic and wall clocks of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds of a clock that never goes backwards."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


def suspended_seconds() -> float:
    """Return how long the host has been suspended since it was booted."""
    boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
    # Read last: a delay between the readings does not look like a suspension.
    return boot_time - time.monotonic()


def split_address(address: str) -> tuple[str, int]:
    """Split IP:port; an IPv6 address is in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
