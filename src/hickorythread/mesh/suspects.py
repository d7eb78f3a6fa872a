"""Requests whose targets crashed while they ran, and when to try them."""

from collections.abc import Iterable

from hickorythread import exceptions
from hickorythread import quarantine
from hickorythread.mesh import messages
from hickorythread.mesh import trials

# The latest of the suspects are told to new peers.
MAX_TOLD_SUSPECTS = 64
MAX_VICTIM_CHARS = 400


class Suspects:
    """Decide which requests are refused because of earlier crashes.

    A request is identified by the digest of what it asks for and who asks,
    whichever service runs it: a route may be split between several. One that
    was running in several crashes is refused for a while by all hosts, and
    then tried by a few of them, see trials.
    """

    __slots__ = ("host_id", "quarantine")

    def __init__(self, host_id: str) -> None:
        self.host_id = host_id
        self.quarantine = quarantine.Quarantine()

    def digest_if_repeated(self, call: messages.Forward) -> bytes:
        """Return the digest of a call that was running in several crashes.

        It is empty for any other call.
        """
        if not self.quarantine.suspects:
            return b""
        digest = _digest(call)
        return digest if self.quarantine.has_repeated(digest) else b""

    def check(
        self,
        digest: bytes,
        is_tried: bool,
        host_ids: Iterable[str],
        now: float,
    ) -> exceptions.Refusal | None:
        """Return the refusal of a repeated suspect, None if it may be tried.

        is_tried is True while this host runs another copy of it, and host_ids
        are the hosts of the services to which it may go.
        """
        seconds = self.quarantine.retry_after(digest, now)
        if seconds <= 0.0 and not is_tried:
            if trials.may_try(digest, self.host_id, host_ids, -seconds):
                return None
        return exceptions.Refusal(
            429,
            "quarantined",
            "request crashed its targets",
            max(seconds, trials.TURN_SECONDS),
        )

    def report_crash(
        self, call: messages.Forward, victim: str, now: float
    ) -> messages.Crashed:
        """Record a call whose target has crashed; return what to tell."""
        digest = _digest(call)
        self.quarantine.add_victim(digest, victim, now)
        return messages.Crashed(digest, victim)

    def record_crash(self, message: messages.Crashed, now: float) -> None:
        """Record a crash that another node reported."""
        if len(message.fingerprint) == quarantine.FINGERPRINT_BYTES:
            self.quarantine.add_victim(
                message.fingerprint, message.victim[:MAX_VICTIM_CHARS], now
            )

    def release(self, digest: bytes) -> messages.Released:
        """Forget a suspect that has run to its end; return what to tell."""
        self.quarantine.clear(digest)
        return messages.Released(digest)

    def record_release(self, message: messages.Released) -> None:
        """Forget a suspect that another node has tried without a crash."""
        self.quarantine.clear(message.fingerprint)

    def known_crashes(self) -> list[messages.Crashed]:
        """Return the crashes that a node which has just started must know."""
        repeated = [
            (digest, suspect)
            for digest, suspect in self.quarantine.suspects.items()
            if len(suspect.victims) > 1
        ]
        return [
            messages.Crashed(digest, victim)
            for digest, suspect in repeated[-MAX_TOLD_SUSPECTS:]
            for victim in suspect.victims
        ]


def _digest(call: messages.Forward) -> bytes:
    """Return the digest that identifies repetitions of a request."""
    host = next(
        (value for name, value in call.headers if name.lower() == "host"), ""
    )
    scope = f"{call.caller_service}\0{host.lower()}"
    return quarantine.fingerprint(scope, call.method, call.path, call.body)
