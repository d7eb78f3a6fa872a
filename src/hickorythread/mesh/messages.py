"""Messages between sidecars; __slots__ lists the fields in wire order."""

from collections.abc import Sequence
from typing import Any

from hickorythread import messages
from hickorythread.mesh import models

# A digest that is not stated; digests are not negative.
NO_DIGEST = -1

COMPLETE = messages.COMPLETE
NOT_RUN = messages.NOT_RUN
UNKNOWN = messages.UNKNOWN


class Forward(messages.Message):
    """Ask the node on a target's host to run a request at the target.

    repeat is True if the request was sent to another target before. account
    is the name of the client account, empty if there is none.

    remaining is the time until the deadline and objective the time until the
    response misses the latency objective, both in seconds. Priority 0 is the
    highest. usual_ms is the mean run time of the route over the targets that
    the sender knows, 0 if it is not known.
    """

    __slots__ = (
        "call_id",
        "request_id",
        "service",
        "route",
        "method",
        "path",
        "headers",
        "body",
        "remaining",
        "objective",
        "idempotent",
        "priority",
        "caller_service",
        "repeat",
        "account",
        "usual_ms",
    )
    code = 40
    # Nodes of earlier releases send none of the last three.
    defaults = (False, "", 0)
    types = (
        int,
        str,
        str,
        str,
        str,
        str,
        list,
        bytes,
        float,
        float,
        bool,
        int,
        str,
        bool,
        str,
        int,
    )

    def __init__(
        self,
        call_id: int,
        request_id: str,
        service: str,
        route: str,
        method: str,
        path: str,
        headers: list[Any],
        body: bytes,
        remaining: float,
        objective: float,
        idempotent: bool,
        priority: int,
        caller_service: str,
        repeat: bool = False,
        account: str = "",
        usual_ms: int = 0,
    ) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.service = service
        self.route = route
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.remaining = remaining
        self.objective = objective
        self.idempotent = idempotent
        self.priority = priority
        self.caller_service = caller_service
        self.repeat = repeat
        self.account = account
        self.usual_ms = usual_ms


class TargetState(messages.Message):
    """Announce whether the target on the sender's host accepts requests.

    load holds the running and queued requests, the limit, a latency in ms, 1
    under a rate limit, else 0, the pace in percent, 0 if it is not known, and
    a run time in ms. If reason is "pace", only the pace is news. instance is
    the id of the target, empty if it is not known, and started_at_ms the Unix
    time of its start, 0 if that is not known.
    """

    __slots__ = (
        "service",
        "usable",
        "reason",
        "load",
        "instance",
        "started_at_ms",
    )
    code = 41
    types = (str, bool, str, list, str, int)
    # Nodes of earlier releases do not name the target process.
    defaults = ("", 0)

    def __init__(
        self,
        service: str,
        usable: bool,
        reason: str,
        load: list[int],
        instance: str = "",
        started_at_ms: int = 0,
    ) -> None:
        self.service = service
        self.usable = usable
        self.reason = reason
        self.load = load
        self.instance = instance
        self.started_at_ms = started_at_ms


class TargetEnd(messages.Message):
    """Tell the node beside a target that the target has announced its end.

    Sent when a stream opens: that node may have been restarted since.
    """

    __slots__ = ("target_id", "started_at_ms")
    code = 46
    types = (str, int)

    def __init__(self, target_id: str, started_at_ms: int) -> None:
        self.target_id = target_id
        self.started_at_ms = started_at_ms


class ViewMessage(messages.Message):
    """Serve as base of messages that state the positions of a view."""

    revision: int
    operator_revision: int
    era: int
    operator_era: int

    __slots__ = ()

    @property
    def position(self) -> models.Position:
        """Return up to where the sender knows the targets."""
        return models.Position(self.era, self.revision)

    @property
    def operator_position(self) -> models.Position:
        """Return up to where the sender knows what the operator wrote."""
        return models.Position(self.operator_era, self.operator_revision)


class ViewRequest(ViewMessage):
    """Ask for the parts of a view that are newer than the sender's."""

    __slots__ = (
        "version",
        "revision",
        "operator_revision",
        "era",
        "operator_era",
    )
    code = 42
    types = (int, int, int, int, int)
    # Nodes of earlier releases do not know the eras.
    defaults = (models.UNKNOWN_ERA, models.UNKNOWN_ERA)

    def __init__(
        self,
        version: int,
        revision: int,
        operator_revision: int,
        era: int = models.UNKNOWN_ERA,
        operator_era: int = models.UNKNOWN_ERA,
    ) -> None:
        self.version = version
        self.revision = revision
        self.operator_revision = operator_revision
        self.era = era
        self.operator_era = operator_era


class ViewReply(ViewMessage):
    """Carry the newer parts of a view in compressed form.

    configuration and targets are empty if those of the requester are up to
    date. The configuration is a difference from the version base, or complete
    if base is 0. held maps targets whose removal is deferred to the seconds
    that they have left to register again, and warmup_revisions cold targets
    to the revisions of the writes that said so.
    """

    __slots__ = (
        "configuration",
        "targets",
        "revision",
        "evacuated",
        "operator_revision",
        "base",
        "held",
        "era",
        "operator_era",
        "warmup_revisions",
    )
    code = 43
    types = (bytes, bytes, int, list, int, int, dict, int, int, dict)
    # Nodes of earlier releases do not know the eras and the last field.
    defaults = (models.UNKNOWN_ERA, models.UNKNOWN_ERA, {})

    def __init__(
        self,
        configuration: bytes,
        targets: bytes,
        revision: int,
        evacuated: list[str],
        operator_revision: int,
        base: int,
        held: dict[str, float],
        era: int = models.UNKNOWN_ERA,
        operator_era: int = models.UNKNOWN_ERA,
        warmup_revisions: dict[str, int] | None = None,
    ) -> None:
        self.configuration = configuration
        self.targets = targets
        self.revision = revision
        self.evacuated = evacuated
        self.operator_revision = operator_revision
        self.base = base
        self.held = held
        self.era = era
        self.operator_era = operator_era
        self.warmup_revisions = dict(warmup_revisions or {})


class ViewNotice(ViewMessage):
    """Tell nearby nodes which view the sender holds.

    fresh is True if the source has just responded to the sender, or to a node
    that has told it so; relayed is True in the second case. The receiver
    answers with a notice of its own if asks is True. digest is that of the
    targets and evacuations, 0 if it is not stated. proof_ages tells how many
    seconds ago what the operator wrote, and the targets, were last proven
    current; it is empty if that is not stated. evacuations_digest is -1 if
    it is not stated.
    """

    __slots__ = (
        "version",
        "revision",
        "operator_revision",
        "fresh",
        "relayed",
        "era",
        "operator_era",
        "asks",
        "digest",
        "proof_ages",
        "evacuations_digest",
    )
    code = 45
    types = (int, int, int, bool, bool, int, int, bool, int, list, int)
    # Nodes of earlier releases relay no notices, do not know the eras, do not
    # ask, have no proofs and state no digest of evacuations.
    defaults = (
        False,
        models.UNKNOWN_ERA,
        models.UNKNOWN_ERA,
        False,
        0,
        (),
        NO_DIGEST,
    )

    def __init__(
        self,
        version: int,
        revision: int,
        operator_revision: int,
        fresh: bool,
        relayed: bool = False,
        era: int = models.UNKNOWN_ERA,
        operator_era: int = models.UNKNOWN_ERA,
        asks: bool = False,
        digest: int = 0,
        proof_ages: Sequence[float] = (),
        evacuations_digest: int = NO_DIGEST,
    ) -> None:
        self.version = version
        self.revision = revision
        self.operator_revision = operator_revision
        self.fresh = fresh
        self.relayed = relayed
        self.era = era
        self.operator_era = operator_era
        self.asks = asks
        self.digest = digest
        self.proof_ages = list(proof_ages)
        self.evacuations_digest = evacuations_digest


class Crashed(messages.Message):
    """Report that a target crashed while it was running a request."""

    __slots__ = ("fingerprint", "victim")
    code = 44
    types = (bytes, str)

    def __init__(self, fingerprint: bytes, victim: str) -> None:
        self.fingerprint = fingerprint
        self.victim = victim


class Released(messages.Message):
    """Report that a request which had crashed targets ran without a crash."""

    __slots__ = ("fingerprint",)
    code = 49
    types = (bytes,)

    def __init__(self, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint


class QuotaRequest(messages.Message):
    """Ask the owner of accounts for tokens, and return some.

    Each entry holds the account's name, the requests that wait, the tokens
    wanted ahead, those returned, and whether another report follows.
    """

    __slots__ = ("number", "entries")
    code = 47
    types = (int, list)

    def __init__(self, number: int, entries: list[Any]) -> None:
        self.number = number
        self.entries = entries


class QuotaGrant(messages.Message):
    """Answer a QuotaRequest.

    interval is the time in seconds between the messages of a host. Each entry
    holds the account's name, the tokens granted, and the seconds until the
    next try: 0 if there are more tokens, negative if the account's limit is
    not known to the sender.
    """

    __slots__ = ("number", "interval", "entries")
    code = 48
    types = (int, float, list)

    def __init__(
        self, number: int, interval: float, entries: list[Any]
    ) -> None:
        self.number = number
        self.interval = interval
        self.entries = entries


for _message in (
    Forward,
    TargetState,
    TargetEnd,
    ViewRequest,
    ViewReply,
    ViewNotice,
    Crashed,
    Released,
    QuotaRequest,
    QuotaGrant,
):
    messages.BY_CODE[_message.code] = _message
