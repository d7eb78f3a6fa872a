"""Decides whether a request is within the quota of its client account."""

from collections.abc import Collection
import math
from typing import Any

from hickorythread import events as base_events
from hickorythread import interfaces
from hickorythread.mesh import events
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import quota_holdings
from hickorythread.mesh import quota_hosts
from hickorythread.mesh import quota_owner

# How long a request waits for the owner's answer.
MAX_WAIT_SECONDS = 0.15
# An owner without an answer for this time is passed over.
ANSWER_SECONDS = 0.3
# The pause of an owner doubles up to this time while it does not answer.
MAX_PAUSE_SECONDS = 8.0
# Demand, in requests per second, below which an unused holding is dropped.
MIN_KEPT_DEMAND = 0.01
# Accounts with a count of their own in the metrics.
MAX_COUNTED_ACCOUNTS = 20

TAKEN = "taken"
WAIT = "wait"


class Refusal(models.Value):
    """Tell that there is no token, and when there may be one."""

    __slots__ = ("retry_after",)

    def __init__(self, retry_after: float) -> None:
        self.retry_after = min(
            quota_owner.MAX_RETRY_SECONDS,
            max(quota_owner.MIN_RETRY_SECONDS, retry_after),
        )


Outcome = str | Refusal


class QuotaClient:
    """Hold the tokens of this host and ask the owners for more."""

    __slots__ = (
        "hosts",
        "owner",
        "limits",
        "holdings",
        "links",
        "last_number",
        "refusals",
    )

    def __init__(
        self, host_id: str, random_source: interfaces.RandomSource
    ) -> None:
        self.hosts = quota_hosts.QuotaHosts(host_id)
        self.owner = quota_owner.QuotaOwner(self.hosts, random_source)
        self.limits: dict[str, models.Account] = {}
        self.holdings: dict[str, quota_holdings.Holding] = {}
        self.links: dict[str, quota_holdings.Link] = {}
        # Answers to a predecessor of this process must not count.
        self.last_number = random_source.getrandbits(48)
        self.refusals: dict[str, int] = {}

    def set_accounts(self, accounts: Collection[models.Account]) -> None:
        """Replace the accounts; tokens of changed ones are given back."""
        self.limits = {
            account.name: account for account in accounts if account.rate > 0
        }
        self.owner.set_limits(self.limits)
        self.hosts.keep_only(self.limits)
        for name, holding in list(self.holdings.items()):
            limit = self.limits.get(name)
            if limit is None:
                del self.holdings[name]
            elif limit is not holding.account:
                if limit != holding.account:
                    holding.release()
                holding.account = limit
        for name in self.refusals.keys() - self.limits.keys():
            del self.refusals[name]

    def take(self, account: models.Account, now: float) -> Outcome:
        """Take a token for a request, or tell it to wait."""
        name = account.name
        if name not in self.limits:
            return TAKEN
        holding = self._holding(name, now)
        holding.count_request(now)
        outcome = self._take(holding, now)
        if outcome == WAIT:
            holding.waiting += 1
        return outcome

    def take_waiting(self, name: str, now: float) -> Outcome:
        """Decide again about a request that waits."""
        holding = self.holdings.get(name)
        if holding is None:
            return TAKEN
        outcome = self._take(holding, now)
        if outcome != WAIT:
            self.leave(name)
        return outcome

    def decide(self, name: str, now: float) -> Outcome:
        """Decide about a request that has waited long enough."""
        outcome = self.take_waiting(name, now)
        if outcome == WAIT:
            self.leave(name)
            return self._take_locally(name, now, 1.0)
        return outcome

    def count_refusal(self, name: str) -> None:
        """Count a request beyond the quota of its account."""
        self.refusals[name] = self.refusals.get(name, 0) + 1

    def most_refused(self) -> dict[str, int]:
        """Return the refusals of the most active accounts and of the rest.

        The rest has an empty name.
        """
        ranked = sorted(self.refusals.items(), key=lambda item: -item[1])
        counts = dict(ranked[:MAX_COUNTED_ACCOUNTS])
        rest = sum(count for _, count in ranked[MAX_COUNTED_ACCOUNTS:])
        return counts | {"": rest} if rest else counts

    def leave(self, name: str) -> None:
        """Decrease the number of waiting requests of an account."""
        holding = self.holdings.get(name)
        if holding is not None:
            holding.waiting = max(0, holding.waiting - 1)

    def give_back(self, name: str, now: float) -> None:
        """Return the token of a request that has not run."""
        if name not in self.limits:
            return
        holding = self._holding(name, now)
        if holding.owner == self.hosts.host_id:
            self.owner.give_back(name, 1, now)
        else:
            holding.released += 1

    def tick(self, now: float) -> list[base_events.Record]:
        """Return the messages that are due."""
        if not self.limits:
            return []
        self.owner.tick(now)
        for host_id, link in list(self.links.items()):
            self._check_answers(link, now)
            if host_id not in self.hosts.reachable:
                del self.links[host_id]
        for name, holding in list(self.holdings.items()):
            holding.expire(now)
            self._choose_owner(holding, now)
            if _is_idle(holding, now):
                del self.holdings[name]
        return self.due_messages(now)

    def due_messages(self, now: float) -> list[base_events.Record]:
        """Return what to send to the owners now."""
        due: dict[str, list[quota_holdings.Holding]] = {}
        for holding in self.holdings.values():
            if holding.owner != self.hosts.host_id and _is_due(holding, now):
                due.setdefault(holding.owner, []).append(holding)
        actions: list[base_events.Record] = []
        for owner, holdings in due.items():
            urgent = any(item.waiting > item.asked for item in holdings)
            link = self.links.setdefault(owner, quota_holdings.Link())
            if link.may_send(urgent, now):
                message = self._make_request(link, holdings, now)
                actions.append(events.Send(owner, message))
        return actions

    def granted(
        self, host_id: str, message: messages.QuotaGrant, now: float
    ) -> list[str]:
        """Add granted tokens; return the accounts that have an answer."""
        link = self.links.get(host_id)
        opened = link.open.get(message.number) if link else None
        if link is None or opened is None:
            # Its tokens are lost: another host may have granted meanwhile.
            return []
        if now - opened[0] > ANSWER_SECONDS:
            # After a freeze an answer may be read before the tick.
            return []
        del link.open[message.number]
        link.pause = quota_holdings.MIN_PAUSE_SECONDS
        if math.isfinite(message.interval):
            link.interval = min(
                quota_owner.MAX_INTERVAL_SECONDS,
                max(quota_owner.MIN_INTERVAL_SECONDS, message.interval),
            )
        for holding in opened[1]:
            holding.asked = 0
        names = []
        for entry in message.entries:
            if _is_grant_entry(entry) and entry[0] in self.holdings:
                self._add_grant(self.holdings[entry[0]], host_id, entry, now)
                names.append(entry[0])
        return names

    def _add_grant(
        self,
        holding: quota_holdings.Holding,
        host_id: str,
        entry: list[Any],
        now: float,
    ) -> None:
        _, tokens, wait = entry
        if holding.owner != host_id:
            return
        holding.add(tokens, now)
        if wait < 0:
            holding.local_until = now + quota_holdings.MIN_PAUSE_SECONDS
        elif wait > 0:
            wait = min(wait, quota_owner.MAX_RETRY_SECONDS)
            holding.empty_until = now + wait

    def _holding(self, name: str, now: float) -> quota_holdings.Holding:
        holding = self.holdings.get(name)
        if holding is None:
            holding = self.holdings[name] = quota_holdings.Holding(
                self.limits[name], now
            )
        self._choose_owner(holding, now)
        return holding

    def _choose_owner(
        self, holding: quota_holdings.Holding, now: float
    ) -> None:
        owner = self.hosts.host_id
        for host_id in self.hosts.ranked(holding.account.name):
            link = self.links.get(host_id)
            if link is None or now >= link.paused_until:
                owner = host_id
                break
        if owner != holding.owner:
            holding.change_owner(owner)

    def _take(self, holding: quota_holdings.Holding, now: float) -> Outcome:
        name = holding.account.name
        holding.expire(now)
        if holding.tokens:
            holding.take()
            return TAKEN
        if holding.owner == self.hosts.host_id:
            return self._take_locally(name, now, 1.0)
        if now < holding.empty_until:
            return Refusal(holding.empty_until - now)
        if now < holding.local_until:
            return self._take_locally(name, now, 1.0)
        link = self.links.get(holding.owner)
        if link is not None and link.oversubscribed:
            if now - link.sent_at < link.interval:
                share = quota_owner.OVERSUBSCRIBED_SHARE
                return self._take_locally(name, now, share)
        return WAIT

    def _take_locally(self, name: str, now: float, share: float) -> Outcome:
        if name not in self.limits:
            return TAKEN
        wait = self.owner.take(name, now, share)
        return TAKEN if wait == 0.0 else Refusal(wait)

    def _make_request(
        self,
        link: quota_holdings.Link,
        holdings: list[quota_holdings.Holding],
        now: float,
    ) -> messages.QuotaRequest:
        self.last_number += 1
        entries = []
        for holding in holdings:
            waiting = max(0, holding.waiting - holding.asked)
            ahead = holding.ahead(now)
            holding.will_report = (
                holding.demand_at(now) >= quota_holdings.MIN_DEMAND
            )
            entries.append(
                [
                    holding.account.name,
                    waiting,
                    ahead,
                    holding.released,
                    holding.will_report,
                ]
            )
            holding.asked += waiting + ahead
            holding.released = 0
            holding.reported_at = now
        link.open[self.last_number] = now, holdings
        link.sent_at = now
        return messages.QuotaRequest(self.last_number, entries)

    def _check_answers(self, link: quota_holdings.Link, now: float) -> None:
        """Pass over an owner that does not answer."""
        late = [
            number
            for number, (sent_at, _) in link.open.items()
            if now - sent_at > ANSWER_SECONDS
        ]
        if not late:
            return
        for number in late:
            for holding in link.open.pop(number)[1]:
                holding.asked = 0
        if now >= link.paused_until:
            link.paused_until = now + link.pause
            link.pause = min(MAX_PAUSE_SECONDS, 2 * link.pause)


def _is_idle(holding: quota_holdings.Holding, now: float) -> bool:
    return not (
        holding.tokens
        or holding.released
        or holding.waiting
        or holding.asked
        or holding.will_report
        or holding.demand_at(now) >= MIN_KEPT_DEMAND
    )


def _is_due(holding: quota_holdings.Holding, now: float) -> bool:
    """Return whether the owner has to hear of an account."""
    if holding.waiting > holding.asked or holding.released:
        return True
    if (
        holding.will_report
        and now - holding.reported_at >= quota_holdings.REPORT_SECONDS
    ):
        return True
    return holding.will_report and holding.ahead(now) > 0


def _is_grant_entry(entry: Any) -> bool:
    return (
        type(entry) is list
        and [type(value) for value in entry] == [str, int, float]
        and entry[1] >= 0
        and math.isfinite(entry[2])
    )
