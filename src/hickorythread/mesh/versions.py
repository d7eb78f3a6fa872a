"""The configuration in force, and the forms in which it is sent to peers."""

from hickorythread import codec
from hickorythread.mesh import models
from hickorythread.mesh import routing

# Recent versions are kept as bases for the deltas sent to peers that still
# hold them.
MAX_PACKED_VERSIONS = 4


class Versions:
    """Hold the newest configuration; versions only rise.

    router matches requests to the routes of the newest one, so that no other
    version routes. packed maps recent versions to their serialized form.
    differences holds compressed forms of the newest one by the version that
    they start from, 0 for the whole of it.
    """

    __slots__ = ("router", "packed", "differences")

    def __init__(self) -> None:
        self.router: routing.Router | None = None
        self.packed: dict[int, bytes] = {}
        self.differences: dict[int, bytes] = {}

    @property
    def newest(self) -> models.Configuration | None:
        """Return the active configuration, None if there is none."""
        return self.router.configuration if self.router else None

    @property
    def number(self) -> int:
        """Return the active version, 0 if there is none."""
        newest = self.newest
        return newest.version if newest else 0

    def put(self, configuration: models.Configuration) -> bool:
        """Activate a version if it is newer; return whether it was.

        Nothing changes if its router can't be built or it can't be packed.
        """
        if configuration.version <= self.number:
            return False
        router = routing.Router(configuration)
        packed = codec.pack(configuration.pack())
        self.router = router
        self.differences.clear()
        self.packed[configuration.version] = packed
        if len(self.packed) > MAX_PACKED_VERSIONS:
            del self.packed[next(iter(self.packed))]
        return True

    def pack_difference(self, version: int) -> bytes:
        """Return the newest version as its difference to another one.

        It is complete if the version is not among the recent ones.
        """
        base = version if version in self.packed else 0
        difference = self.differences.get(base)
        if difference is None:
            difference = self.differences[base] = codec.compress_packed(
                self.packed[self.number], self.packed.get(base, b"")
            )
        return difference
