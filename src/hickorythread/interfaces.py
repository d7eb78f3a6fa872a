"""Protocols of the dependencies that tests and benchmarks replace."""

from collections.abc import MutableSequence
from collections.abc import Sequence
from typing import Protocol
from typing import TypeVar

Item = TypeVar("Item")


class Clock(Protocol):
    """Read monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never moves backwards."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class RandomSource(Protocol):
    """Generate random values; random.Random implements it."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def getrandbits(self, k: int, /) -> int:
        """Return an integer with k random bits."""

    def randrange(self, start: int, /) -> int:
        """Return an integer in [0, start)."""

    def choice(self, seq: Sequence[Item], /) -> Item:
        """Return a random item of a non-empty sequence."""

    def shuffle(self, x: MutableSequence[Item], /) -> None:
        """Shuffle a sequence in place."""
