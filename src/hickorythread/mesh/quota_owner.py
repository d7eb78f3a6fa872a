"""Grants the tokens of the accounts whose quota this host owns."""

from typing import Any

from hickorythread import interfaces
from hickorythread import token_bucket
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import quota_hosts

# Tokens that a host does not use return after this time, so that the tokens
# from before a window are less than the excess that is allowed in it.
TOKEN_SECONDS = 1.0
# Part of the burst that an owner without knowledge of past grants begins with.
INITIAL_BURST_SHARE = 0.25
# A host that has announced a report is missing without one for this time.
MISSING_SECONDS = 0.8
# A host counts as a recent requester for this time after its last message.
ASKING_SECONDS = 1.0
# Hosts, also missing ones, and accounts in no use for this time are dropped.
FORGET_SECONDS = 5.0
# A process that has not run for this time was frozen.
FROZEN_SECONDS = 0.5
# Tokens of a bucket that are kept for requests that wait.
WAITING_SHARE = 0.25
# Limits of the time after which a host or client without a token tries again.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# Limits of the time between two messages of a host to the owner.
MIN_INTERVAL_SECONDS = 0.1
MAX_INTERVAL_SECONDS = 60.0
# 500 messages at about 40 us take 2% of a core.
MAX_MESSAGES_PER_SECOND = 500.0
# Part of the rate that the owner grants, and that all hosts use on their own,
# while there are too many hosts to ask.
OVERSUBSCRIBED_SHARE = 0.5
# States that the account or its limit is not known here.
NOT_KNOWN = -1.0


class Requester(models.Value):
    """Hold when a host asked last and whether it announced a report."""

    __slots__ = ("requested_at", "will_report")

    def __init__(self, requested_at: float, will_report: bool) -> None:
        self.requested_at = requested_at
        self.will_report = will_report


class Account:
    """Hold the bucket of an account and the hosts that ask for it."""

    __slots__ = ("limit", "bucket", "requesters", "used_at")

    def __init__(
        self,
        limit: models.Account,
        bucket: token_bucket.TokenBucket,
        now: float,
    ) -> None:
        self.limit = limit
        self.bucket = bucket
        self.requesters: dict[str, Requester] = {}
        self.used_at = now

    def recent_requesters(self, now: float) -> int:
        """Return how many hosts have asked recently."""
        since = now - ASKING_SECONDS
        return sum(
            requester.requested_at >= since
            for requester in self.requesters.values()
        )

    def missing(self, reachable: set[str], interval: float, now: float) -> int:
        """Return how many reachable hosts owe a report."""
        before = now - max(MISSING_SECONDS, 2 * interval)
        return sum(
            requester.will_report
            and requester.requested_at < before
            and host_id in reachable
            for host_id, requester in self.requesters.items()
        )

    def expire(self, now: float) -> None:
        """Forget the hosts that asked long ago."""
        before = now - FORGET_SECONDS
        for host_id, requester in list(self.requesters.items()):
            if requester.requested_at < before:
                del self.requesters[host_id]


class QuotaOwner:
    """Hold the accounts that hosts ask this one for."""

    __slots__ = (
        "hosts",
        "random_source",
        "limits",
        "accounts",
        "interval",
        "message_count",
        "counted_at",
        "ticked_at",
    )

    def __init__(
        self,
        hosts: quota_hosts.QuotaHosts,
        random_source: interfaces.RandomSource,
        now: float = 0.0,
    ) -> None:
        self.hosts = hosts
        self.random_source = random_source
        self.limits: dict[str, models.Account] = {}
        self.accounts: dict[str, Account] = {}
        self.interval = MIN_INTERVAL_SECONDS
        self.message_count = 0
        self.counted_at = now
        self.ticked_at = now

    @property
    def owned(self) -> int:
        """Return how many accounts in use this host owns."""
        return sum(self.hosts.owns(name) for name in self.accounts)

    @property
    def oversubscribed(self) -> bool:
        """Return whether hosts have to decide between their messages."""
        return self.interval > TOKEN_SECONDS

    def set_limits(self, limits: dict[str, models.Account]) -> None:
        """Replace the accounts that have a limit."""
        self.limits = limits
        for name in list(self.accounts):
            if name in limits:
                # Applied to the bucket before the next grant.
                self.accounts[name].limit = limits[name]
            else:
                del self.accounts[name]

    def request(
        self, host_id: str, message: messages.QuotaRequest, now: float
    ) -> messages.QuotaGrant:
        """Grant tokens to a host."""
        self._check_freeze(now)
        self.message_count += 1
        entries = [
            self._grant(host_id, entry, now)
            for entry in message.entries
            if is_request_entry(entry)
        ]
        return messages.QuotaGrant(message.number, self.interval, entries)

    def take(self, name: str, now: float, share: float = 1.0) -> float:
        """Take a token for a request of this host.

        Returns 0 or the seconds until the next token. share is the part of
        this host's share that may be used.
        """
        self._check_freeze(now)
        account = self._account(name, now)
        account.requesters[self.hosts.host_id] = Requester(now, False)
        self._update_share(account, now, share)
        if account.bucket.take(now):
            return 0.0
        return self._wait(account, now)

    def give_back(self, name: str, tokens: int, now: float) -> None:
        """Put tokens back into a bucket."""
        self._check_freeze(now)
        account = self.accounts.get(name)
        if account is not None and tokens > 0:
            bucket = account.bucket
            bucket.refill(now)
            bucket.tokens = min(bucket.burst, bucket.tokens + tokens)

    def tick(self, now: float) -> None:
        """Notice a freeze, adapt the interval and drop what is not in use."""
        self._check_freeze(now)
        self.ticked_at = now
        if now - self.counted_at < 1.0:
            return
        self._adapt_interval(now - self.counted_at)
        self.counted_at = now
        for name, account in list(self.accounts.items()):
            account.expire(now)
            bucket = account.bucket
            bucket.refill(now)
            idle = now - account.used_at > FORGET_SECONDS
            if idle and (
                bucket.tokens >= bucket.burst or not self.hosts.owns(name)
            ):
                del self.accounts[name]

    def _check_freeze(self, now: float) -> None:
        # A message that arrived during a freeze may be read before a tick.
        if now - self.ticked_at <= FROZEN_SECONDS:
            return
        self.ticked_at = now
        self.hosts.lost_at = now
        for account in self.accounts.values():
            account.bucket.refilled_at = now

    def _adapt_interval(self, seconds: float) -> None:
        load = self.message_count / seconds / MAX_MESSAGES_PER_SECOND
        self.message_count = 0
        self.interval = min(
            MAX_INTERVAL_SECONDS,
            max(MIN_INTERVAL_SECONDS, self.interval * max(0.5, load)),
        )

    def _grant(self, host_id: str, entry: list[Any], now: float) -> list[Any]:
        name, waiting, ahead, released, will_report = entry
        if name not in self.limits:
            return [name, 0, NOT_KNOWN]
        account = self._account(name, now)
        account.requesters[host_id] = Requester(now, will_report)
        self._update_share(account, now)
        self.give_back(name, released, now)
        bucket = account.bucket
        granted = min(waiting, int(bucket.tokens))
        spare = int(bucket.tokens - granted - WAITING_SHARE * bucket.burst)
        wait = self._wait(account, now) if granted < waiting else 0.0
        granted += max(0, min(ahead, spare))
        bucket.tokens -= granted
        return [name, granted, wait]

    def _account(self, name: str, now: float) -> Account:
        account = self.accounts.get(name)
        if account is None:
            limit = self.limits[name]
            bucket = token_bucket.TokenBucket(limit.rate, limit.burst, now, 0)
            account = self.accounts[name] = Account(limit, bucket, now)
            account.requesters[self.hosts.host_id] = Requester(now, False)
            self._update_share(account, now)
            bucket.tokens = self._initial_tokens(account, now)
        account.used_at = now
        return account

    def _initial_tokens(self, account: Account, now: float) -> float:
        bucket = account.bucket
        tokens = 0.0
        if self.hosts.owns(account.limit.name):
            since = now - self.hosts.lost_at
            since = max(0.0, min(since, FORGET_SECONDS))
            tokens = INITIAL_BURST_SHARE * bucket.burst + bucket.rate * since
        if bucket.burst <= 1.0:
            # The shares of the hosts add up to less than a token each.
            tokens = self.random_source.random()
        return min(bucket.burst, tokens)

    def _update_share(
        self, account: Account, now: float, part: float = 1.0
    ) -> None:
        """Adjust a bucket to the part of the limit that this host grants."""
        hosts = self.hosts
        if hosts.owns(account.limit.name):
            granting = len(hosts.reachable)
            granting -= account.missing(hosts.reachable, self.interval, now)
            part = OVERSUBSCRIBED_SHARE if self.oversubscribed else part
        else:
            granting = account.recent_requesters(now)
        share = part * max(1, granting) / hosts.count
        rate = account.limit.rate * share
        # Without a burst, what hosts fetch at once has to fit.
        burst = max(account.limit.burst * share, MIN_INTERVAL_SECONDS * rate)
        account.bucket.change(rate, max(1.0, burst), now)

    def _wait(self, account: Account, now: float) -> float:
        """Return the seconds until a host gets a token at equal shares."""
        wait = max(1, account.recent_requesters(now)) / account.bucket.rate
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))


def is_request_entry(entry: Any) -> bool:
    """Return whether an entry of a QuotaRequest is well-formed."""
    return (
        type(entry) is list
        and [type(value) for value in entry] == [str, int, int, int, bool]
        and min(entry[1:4]) >= 0
    )
