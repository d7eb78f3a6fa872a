"""Quarantine of requests whose targets crashed while running them."""

import collections

import blake3

MAX_SUSPECTS = 4096
MAX_VICTIMS_PER_SUSPECT = 4
MAX_VICTIM_CHARS = 400
FINGERPRINT_BYTES = 16
REFUSE_SECONDS = 5.0
MAX_REFUSE_SECONDS = 300.0
RETENTION_SECONDS = 900.0

RUN = "run"
ALONE = "alone"
REFUSE = "refuse"


class Suspect:
    """Hold the crashes in which requests of one fingerprint were running."""

    __slots__ = ("victims", "refused_until", "refusal_count", "updated_at")

    def __init__(self) -> None:
        self.victims: tuple[str, ...] = ()
        self.refused_until = 0.0
        self.refusal_count = 0
        self.updated_at = 0.0


class Quarantine:
    """Decide whether a request may run, must run alone or is refused."""

    __slots__ = ("suspects",)

    def __init__(self) -> None:
        self.suspects: collections.OrderedDict[bytes, Suspect] = (
            collections.OrderedDict()
        )

    def verdict(self, fingerprint: bytes, now: float) -> str:
        """Return RUN, ALONE or REFUSE for a request."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return RUN
        return REFUSE if now < suspect.refused_until else ALONE

    def has_repeated(self, fingerprint: bytes) -> bool:
        """Return whether a request was running in several crashes."""
        suspect = self.suspects.get(fingerprint)
        return suspect is not None and len(suspect.victims) > 1

    def retry_after(self, fingerprint: bytes, now: float) -> float:
        """Return for how many seconds a request is still refused."""
        return self.suspects[fingerprint].refused_until - now

    def add_victim(self, fingerprint: bytes, victim: str, now: float) -> bool:
        """Record a crash; return False if it was already recorded."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            if len(self.suspects) >= MAX_SUSPECTS:
                self.suspects.popitem(last=False)
            suspect = self.suspects[fingerprint] = Suspect()
        elif victim in suspect.victims:
            return False
        suspect.victims = (*suspect.victims, victim)[-MAX_VICTIMS_PER_SUSPECT:]
        suspect.updated_at = now
        self.suspects.move_to_end(fingerprint)
        if len(suspect.victims) > 1:
            seconds = REFUSE_SECONDS * 2**suspect.refusal_count
            suspect.refused_until = now + min(seconds, MAX_REFUSE_SECONDS)
            suspect.refusal_count = min(suspect.refusal_count + 1, 10)
        return True

    def clear(self, fingerprint: bytes) -> None:
        """Release a request that completed while running alone."""
        self.suspects.pop(fingerprint, None)

    def expire(self, now: float) -> None:
        """Drop the fingerprints without a crash in the retention time."""
        while self.suspects:
            oldest = next(iter(self.suspects))
            if now - self.suspects[oldest].updated_at <= RETENTION_SECONDS:
                return
            del self.suspects[oldest]


def fingerprint(scope: str, method: str, path: str, body: bytes) -> bytes:
    """Return the digest that identifies repetitions of a request.

    Requests of different scopes are never the same.
    """
    head = f"{scope}\0{method}\0{path}\0".encode()
    return blake3.blake3(head).update(body).digest(FINGERPRINT_BYTES)
