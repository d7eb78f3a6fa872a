"""Explains where the entry plane would send a request, without sending it.

Nothing here changes the state of the plane. Code of the plane that changes
state runs on copies.
"""

import copy
import heapq
import math
import random
from typing import Any
from urllib import parse

from hickorythread.mesh import account_lease
from hickorythread.mesh import entry
from hickorythread.mesh import models
from hickorythread.mesh import placement
from hickorythread.mesh import quotas
from hickorythread.mesh import reasons
from hickorythread.mesh import routing

PARAMETERS = ("host", "path", "method", "account", "timeout")
MAX_VALUE_LENGTH = 2048
MAX_TIMEOUT_SECONDS = 3600.0
MAX_CANDIDATES = 20
MAX_NAMED_EXCLUSIONS = 20
MAX_DESTINATIONS = 20
# Requests wait while an answer is made, so that its work is limited. Targets
# beyond the first limit are checked only while none is usable.
MAX_CHECKED_TARGETS = 8192
MAX_SCORED_TARGETS = 512

SEND = "send"
WAIT = "wait"
REFUSE = "refuse"

Document = dict[str, Any]


class QuestionError(ValueError):
    """Report parameters that name no request."""


class Question(models.Value):
    """Describe a request; timeout is None if the client sets none."""

    __slots__ = PARAMETERS

    def __init__(
        self,
        host: str,
        path: str,
        method: str = "GET",
        account: str = "",
        timeout: float | None = None,
    ) -> None:
        self.host = host
        self.path = path
        self.method = method
        self.account = account
        self.timeout = timeout

    @classmethod
    def from_query(cls, query: str) -> "Question":
        """Read the query part of a URL; raises QuestionError."""
        values = _read_parameters(query)
        for name in ("host", "path"):
            if name not in values:
                raise QuestionError(f"parameter {name} is missing")
        if not values["path"].startswith("/"):
            raise QuestionError("path must start with /")
        method = values.get("method", "GET")
        if not method.isascii() or not method.isalpha():
            raise QuestionError("method must consist of letters")
        return cls(
            values["host"],
            values["path"],
            method.upper(),
            values.get("account", ""),
            _read_timeout(values.get("timeout", "")),
        )


def _read_parameters(query: str) -> dict[str, str]:
    """Return the parameters of a query by name.

    No message repeats a value, which may be a key.
    """
    try:
        pairs = parse.parse_qsl(
            query, max_num_fields=len(PARAMETERS), errors="strict"
        )
    except ValueError as error:
        raise QuestionError(
            f"expected at most {len(PARAMETERS)} parameters in UTF-8"
        ) from error
    values: dict[str, str] = {}
    for name, value in pairs:
        if name not in PARAMETERS:
            known = ", ".join(PARAMETERS)
            raise QuestionError(f"unknown parameter; known are {known}")
        if name in values:
            raise QuestionError(f"parameter {name} is repeated")
        if len(value) > MAX_VALUE_LENGTH or not value.isprintable():
            raise QuestionError(
                f"{name} must be at most {MAX_VALUE_LENGTH} printable "
                "characters"
            )
        values[name] = value
    return values


def _read_timeout(text: str) -> float | None:
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0.0 <= seconds <= MAX_TIMEOUT_SECONDS:
        raise QuestionError(
            f"timeout must be seconds from 0 to {MAX_TIMEOUT_SECONDS:g}"
        )
    return seconds


class PlacementReader(placement.Placement):
    """Judge targets by the state of a placement without changing it."""

    def __init__(self, source: placement.Placement) -> None:
        super().__init__(
            source.host_id,
            source.failure_domain,
            source.regions,
            random.Random(0),
        )
        self.peers = source.peers
        self.connected = source.connected
        self.usual_times = source.usual_times
        self.home_regions = source.home_regions
        self.tiers = dict(source.tiers)
        self.unknown_peer = placement.PeerState()

    def peer(self, host_id: str) -> placement.PeerState:
        """Return the state of a host, that of a new one if there is none."""
        return self.peers.get(host_id, self.unknown_peer)

    def nearest_first(self, targets: list[models.Target]) -> Any:
        """Return the targets by the cost of their distance, with it."""
        return (
            (distance, target, len(tier))
            for distance, tier in self._tiers(targets)
            for target in tier
        )


class Explanation:
    """Explain the decision of an entry plane about one request."""

    __slots__ = ("plane", "question", "now", "placement")

    def __init__(
        self, plane: entry.EntryPlane, question: Question, now: float
    ) -> None:
        self.plane = plane
        self.question = question
        self.now = now
        self.placement = PlacementReader(plane.placement)

    def document(self) -> Document:
        """Return the decision and what it is based on."""
        question = self.question
        router = self.plane.view.router
        result: Document = {
            "request": {
                "method": question.method,
                "host": question.host,
                "path": question.path,
            },
            "version": self.plane.routing_version,
            "account_lease": self.plane.lease.would_hold(self.now),
        }
        if router is None:
            wait = entry.STARTING_RETRY_AFTER_SECONDS
            return result | {"decision": _refusal(503, "starting", wait)}
        route = router.find(question.host, question.path)
        if route is None:
            return result | {"decision": _refusal(404, "no-route")}
        return result | self._explain_route(router, route)

    def _explain_route(
        self, router: routing.Router, route: models.Route
    ) -> Document:
        account: models.Account | None = None
        refusal: Document | None = None
        if router.needs_account(route):
            account = _find_account(router, self.question.account)
            refusal = self._account_refusal(account)
            if account is not None:
                route = route.for_account(account)
        remaining = route.timeout
        if self.question.timeout is not None:
            remaining = min(remaining, self.question.timeout)
        refusal = refusal or self._deadline_refusal(remaining)
        quota = self._quota(account)
        next_service = self._next_service(route)
        destinations = self._destinations(route, next_service)
        return {
            "decision": refusal or _decide(quota, next_service, destinations),
            "route": _describe_route(route, remaining),
            "account": self._describe_account(router, route, account, quota),
            "destination_count": len(route.destinations),
            "next_service": next_service,
            "destinations": destinations,
        }

    def _account_refusal(
        self, account: models.Account | None
    ) -> Document | None:
        """Return why accounts.identify() would refuse the request."""
        if not self.plane.lease.would_hold(self.now):
            return _refusal(
                503, reasons.ACCOUNT_LEASE, account_lease.RETRY_AFTER_SECONDS
            )
        if not self.question.account:
            return _refusal(401, reasons.NO_KEY)
        if account is None or not account.key_digests:
            return _refusal(401, reasons.UNKNOWN_KEY)
        return None

    def _deadline_refusal(self, remaining: float) -> Document | None:
        if remaining <= 0.0:
            return _refusal(504, "deadline")
        stop = self.plane.stop
        if stop and not stop.may_accept(self.now + remaining, self.now):
            wait = entry.NO_TARGET_RETRY_AFTER_SECONDS
            return _refusal(503, "stopping", wait)
        return None

    def _quota(self, account: models.Account | None) -> Document | None:
        """Return what the quota would decide, None without an account."""
        if account is None:
            return None
        outcome = _copy_quotas(self.plane.quotas, account.name).take(
            account, self.now
        )
        if isinstance(outcome, quotas.Refusal):
            return _refusal(429, reasons.QUOTA, outcome.retry_after)
        if outcome == quotas.WAIT:
            return {"action": WAIT, "seconds": quotas.MAX_WAIT_SECONDS}
        return {"action": SEND}

    def _describe_account(
        self,
        router: routing.Router,
        route: models.Route,
        account: models.Account | None,
        quota: Document | None,
    ) -> Document:
        if account is None:
            # A name that is not known may be a key and is not repeated.
            return {"required": router.needs_account(route), "name": None}
        return {
            "required": True,
            "name": account.name,
            "priority": route.priority,
            "regions": _regions(route),
            "rate": account.rate,
            "burst": account.burst,
            "quota": quota,
        }

    def _next_service(self, route: models.Route) -> str | None:
        """Return the service of the next request, None if not decided."""
        if len(route.destinations) == 1:
            return route.destinations[0][0]
        weights = self.plane.splitter.current_weights.get(route.name)
        services = {service for service, _ in route.destinations}
        if weights is None or weights.keys() != services:
            return None
        splitter = routing.TrafficSplitter(random.Random(0))
        splitter.current_weights[route.name] = dict(weights)
        return splitter.choose_service(route)

    def _destinations(
        self, route: models.Route, next_service: str | None
    ) -> list[Document]:
        """Explain the next service first, then those of most weight."""
        total = sum(weight for _, weight in route.destinations)
        ranked = heapq.nsmallest(
            MAX_DESTINATIONS,
            route.destinations,
            key=lambda item: (item[0] != next_service, -item[1], item[0]),
        )
        return [
            {
                "service": service,
                "weight": weight,
                "share": _share(weight, total),
            }
            | self._explain_service(service, route, len(ranked))
            for service, weight in ranked
        ]

    def _explain_service(
        self, service: str, route: models.Route, parts: int
    ) -> Document:
        targets = self.plane.view.by_service.get(service, [])
        survey = _Survey(self.placement, route, parts, self.now)
        evacuated = self.plane.view.evacuated
        for distance, target, size in self.placement.nearest_first(targets):
            if survey.is_full:
                break
            reason = self.placement.exclusion(
                target, route, evacuated, self.now
            )
            if reason:
                survey.add_excluded(target, reason)
            else:
                survey.add_usable(target, distance, size)
        return {"targets": len(targets)} | survey.document()


class _Survey:
    """Collect what is shown of the targets of one service.

    parts is the number of services that share the limits of an answer. wait
    is the least time until a rate limit allows a request, infinite if none
    excludes a target.
    """

    __slots__ = (
        "placement",
        "route",
        "parts",
        "now",
        "checked",
        "usable",
        "wait",
        "counts",
        "named",
        "candidates",
    )

    def __init__(
        self,
        reader: PlacementReader,
        route: models.Route,
        parts: int,
        now: float,
    ) -> None:
        self.placement = reader
        self.route = route
        self.parts = parts
        self.now = now
        self.checked = 0
        self.usable = 0
        self.wait = math.inf
        self.counts: dict[str, int] = {}
        self.named: list[Document] = []
        self.candidates: list[Document] = []

    @property
    def is_full(self) -> bool:
        """Return whether to leave out the other targets.

        While none is usable, all are checked, as for a request.
        """
        limit = MAX_CHECKED_TARGETS // self.parts
        return self.usable > 0 and self.checked >= limit

    def add_excluded(self, target: models.Target, reason: str) -> None:
        """Count a target that gets no request, and name some of them."""
        self.checked += 1
        self.counts[reason] = self.counts.get(reason, 0) + 1
        peer = self.placement.peer(target.host_id)
        seconds: float | None = None
        if reason == placement.RATE_LIMITED:
            seconds = peer.rate_start_at - self.now
            self.wait = min(self.wait, seconds)
        elif reason == "suspended":
            seconds = peer.suspended_until - self.now
        if len(self.named) < MAX_NAMED_EXCLUSIONS // self.parts:
            evidence = {
                "reason": reason,
                "seconds": None if seconds is None else round(seconds, 3),
            }
            self.named.append(_describe_target(target) | evidence)

    def add_usable(
        self, target: models.Target, distance: float, tier_size: int
    ) -> None:
        """Score a target that may get the request, up to a limit."""
        self.checked += 1
        self.usable += 1
        if len(self.candidates) >= MAX_SCORED_TARGETS // self.parts:
            return
        peer = self.placement.peer(target.host_id)
        cost = self.placement.score(target, self.route, self.now)
        candidate = _describe_target(target) | {
            "distance_cost": distance,
            "expected_load": round(
                peer.expected_load(target.slots, self.now), 3
            ),
            "limit": peer.limit or target.slots,
            "pace": round(peer.pace_ratio(self.now), 3),
            "failure_rate": round(peer.failure_rate(self.now), 4),
            "score": round(distance + cost, 4),
            "sampled": tier_size > placement.MAX_WHOLE_TIER,
        }
        self.candidates.append(candidate)

    def document(self) -> Document:
        """Return what was collected, with the best candidates."""
        return {
            "checked": self.checked,
            "usable": self.usable,
            "scored": len(self.candidates),
            "candidates": _best(self.candidates, MAX_CANDIDATES // self.parts),
            "excluded": self.counts,
            "excluded_targets": self.named,
            "refusal": None if self.usable else self._refusal(),
        }

    def _refusal(self) -> Document:
        """Return the refusal that follows if no target may be asked."""
        if math.isfinite(self.wait):
            return _refusal(503, reasons.RATE_LIMIT, self.wait)
        wait = entry.NO_TARGET_RETRY_AFTER_SECONDS
        return _refusal(503, "no-target", wait)


def _decide(
    quota: Document | None,
    next_service: str | None,
    destinations: list[Document],
) -> Document:
    """Return the decision about a request that was not refused earlier."""
    if quota is not None and quota["action"] != SEND:
        return quota
    refusals = [item["refusal"] for item in destinations if item["weight"]]
    if next_service is not None:
        refusals = [destinations[0]["refusal"]]
    if refusals and all(refusals):
        return dict(refusals[0])
    return {"action": SEND}


def _share(weight: float, total: float) -> float:
    return round(weight / total, 4) if total else 0.0


def _refusal(status: int, reason: str, retry_after: float = 0.0) -> Document:
    return {
        "action": REFUSE,
        "status": status,
        "reason": reason,
        "retry_after": round(retry_after, 3) or None,
    }


def _find_account(router: routing.Router, name: str) -> models.Account | None:
    accounts = router.configuration.accounts or ()
    return next((item for item in accounts if item.name == name), None)


def _copy_quotas(source: quotas.QuotaClient, name: str) -> quotas.QuotaClient:
    """Return a copy of what a decision about one account uses.

    Sets of hosts and links are shared, since a decision only reads them.
    """
    client = copy.copy(source)
    client.hosts = copy.copy(source.hosts)
    client.hosts.ranks = _only(source.hosts.ranks, name)
    client.holdings = {
        key: copy.copy(holding)
        for key, holding in _only(source.holdings, name).items()
    }
    client.owner = copy.copy(source.owner)
    client.owner.hosts = client.hosts
    client.owner.random_source = random.Random(0)
    client.owner.accounts = {}
    for key, account in _only(source.owner.accounts, name).items():
        copied = client.owner.accounts[key] = copy.copy(account)
        copied.bucket = copy.copy(account.bucket)
        copied.requesters = dict(account.requesters)
    return client


def _only(values: dict[str, Any], name: str) -> dict[str, Any]:
    return {name: values[name]} if name in values else {}


def _describe_route(route: models.Route, remaining: float) -> Document:
    return {
        "name": route.name,
        "prefix": route.prefix,
        "idempotent": route.idempotent,
        "attempts": route.attempts,
        "priority": route.priority,
        "regions": _regions(route),
        "timeout": remaining,
    }


def _regions(route: models.Route) -> list[str] | None:
    """Return the regions that may serve a route, None if any may."""
    if not route.home_regions:
        return None
    return [name for name in route.home_regions if name != models.NO_REGION]


def _describe_target(target: models.Target) -> Document:
    return {
        "target": target.id,
        "host": target.host_id,
        "domain": target.failure_domain,
    }


def _best(candidates: list[Document], count: int) -> list[Document]:
    """Return the candidates of the lowest score; mark those close to it."""
    best = heapq.nsmallest(count, candidates, key=lambda item: item["score"])
    for item in best:
        difference = item["score"] - best[0]["score"]
        item["close"] = difference < placement.JITTER
    return best
