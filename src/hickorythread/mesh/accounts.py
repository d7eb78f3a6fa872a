"""Decides which client account a request belongs to."""

import expression

from hickorythread import exceptions
from hickorythread.mesh import account_lease
from hickorythread.mesh import events
from hickorythread.mesh import models
from hickorythread.mesh import reasons
from hickorythread.mesh import routing


def identify(
    router: routing.Router,
    request: events.Request,
    lease: account_lease.AccountLease,
    now: float,
) -> expression.Result[models.Account, exceptions.Refusal]:
    """Return the account of a request, or why the request is refused.

    The lease comes first: a node that may be behind does not call a key
    unknown.
    """
    if request.has_several_keys:
        return _refuse(400, reasons.SEVERAL_KEYS)
    if not lease.holds(now):
        return _refuse(
            503, reasons.ACCOUNT_LEASE, account_lease.RETRY_AFTER_SECONDS
        )
    account = router.account(request.key_digest)
    if account is None:
        missing = not request.key_digest
        return _refuse(401, reasons.NO_KEY if missing else reasons.UNKNOWN_KEY)
    return expression.Ok(account)


def _refuse(
    status: int, reason: str, retry_after: float = 0.0
) -> expression.Result[models.Account, exceptions.Refusal]:
    return expression.Error(
        exceptions.Refusal(status, reason, "no client account", retry_after)
    )
