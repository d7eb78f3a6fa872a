"""Which failure domains are evacuated."""

from collections.abc import Iterable

# After the source was restored from an older copy, its operator writes again
# what was lost.
RESTORED_HOLD_SECONDS = 6.0


class Evacuations:
    """Hold the evacuated failure domains.

    domains holds all that get no new work. held maps those that a restored
    source does not list any more to the times until which they still count:
    that the copy is older is no reason to use them again.
    """

    __slots__ = ("domains", "held")

    def __init__(self) -> None:
        self.domains: frozenset[str] = frozenset()
        self.held: dict[str, float] = {}

    def replace(
        self, listed: Iterable[str], restored: bool, now: float
    ) -> list[str]:
        """Replace the domains by a complete list; return those now held.

        restored is True if the source was restored since the last list.
        """
        listed = frozenset(listed)
        held: list[str] = []
        if restored:
            held = sorted(self.domains - listed)
            due = now + RESTORED_HOLD_SECONDS
            self.held |= {domain: due for domain in held}
        for domain in listed:
            self.held.pop(domain, None)
        self.domains = listed | self.held.keys()
        return held

    def set(self, domain: str, is_evacuated: bool) -> None:
        """Apply a change that the operator has made."""
        self.held.pop(domain, None)
        if is_evacuated:
            self.domains |= {domain}
        else:
            self.domains -= {domain}

    def expire(self, now: float) -> list[str]:
        """Drop the domains that are held no longer; return them."""
        expired = sorted(
            domain for domain, due in self.held.items() if now >= due
        )
        for domain in expired:
            self.set(domain, False)
        return expired
