"""Which failure domains are evacuated."""

from collections.abc import Iterable

# After the source was restored from an older copy, its operator writes again
# what was lost.
RESTORED_HOLD_SECONDS = 6.0


class Evacuations:
    """Hold the evacuated failure domains.

    domains holds all that get no new work. It is replaced and never changed
    in place: callers keep it as the state before a change. held maps those
    that a restored source does not list any more to the times until which
    they still count: that the copy is older is no reason to use them again.
    returned holds those that came back into use since take_returned().
    """

    __slots__ = ("domains", "held", "returned")

    def __init__(self) -> None:
        self.domains: frozenset[str] = frozenset()
        self.held: dict[str, float] = {}
        self.returned: frozenset[str] = frozenset()

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
        before = self.domains
        self.domains = listed.union(self.held)
        self.returned = (self.returned | before) - self.domains
        return held

    def set(self, domain: str, is_evacuated: bool) -> None:
        """Apply a change that the operator has made.

        A domain may have been evacuated and taken back since the last read.
        Then only the second change is seen, and it is still one that returns.
        """
        self.held.pop(domain, None)
        if is_evacuated:
            self.domains |= {domain}
            self.returned -= {domain}
        else:
            self.domains -= {domain}
            self.returned |= {domain}

    def take_returned(self) -> frozenset[str]:
        """Return the domains that came back into use since the last call."""
        returned, self.returned = self.returned, frozenset()
        return returned

    def expire(self, now: float) -> list[str]:
        """Drop the domains that are held no longer; return them."""
        expired = sorted(
            domain for domain, due in self.held.items() if now >= due
        )
        for domain in expired:
            self.set(domain, False)
        return expired
