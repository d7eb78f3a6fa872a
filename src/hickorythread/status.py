"""Aggregation of the configuration versions that the fleet runs.

The nodes of a failure domain form a tree. Each node reports the counts of
its subtree to its parent, and any node can query the roots.
"""

from typing import Any

from hickorythread import membership
from hickorythread import messages

REPORT_INTERVAL_SECONDS = 2.0
REPORT_TTL_SECONDS = 6.0
CACHE_TTL_SECONDS = 2.0
HEAP_ARITY = 8
MAX_LAGGARDS = 8
MAX_VERSION_COUNTS = 32
MAX_CHILDREN = 64


class Report:
    """Hold version counts and lagging hosts of a subtree or failure domain."""

    __slots__ = ("counts", "laggards", "received_at")

    def __init__(
        self,
        counts: list[tuple[int, bytes, int]],
        laggards: list[tuple[str, int]],
        received_at: float,
    ) -> None:
        self.counts = counts
        self.laggards = laggards
        self.received_at = received_at


class StatusTree:
    """Hold the reports of this node's children and the roots' replies."""

    __slots__ = (
        "members",
        "domain",
        "children",
        "replies",
        "next_request_id",
        "queried_at",
        "refresh_requested",
        "reported_at",
    )

    def __init__(
        self, members: membership.Membership, domain: str, now: float
    ) -> None:
        self.members = members
        self.domain = domain
        self.children: dict[str, Report] = {}
        self.replies: dict[str, Report] = {}
        self.next_request_id = 1
        self.queried_at = now - CACHE_TTL_SECONDS
        self.refresh_requested = False
        self.reported_at = now

    def parent(self) -> str | None:
        """Return the nearest usable ancestor, or None at the root.

        If no ancestor is usable, the parent is the root.
        """
        ring = self.members.domain_rings.get(self.domain)
        index = ring.index(self.members.host_id) if ring else None
        if ring is None or index is None:
            return self.root(self.domain)
        while index > 0:
            index = (index - 1) // HEAP_ARITY
            if self.members.is_usable(ring.names[index]):
                return ring.names[index]
        root = self.root(self.domain)
        return None if root == self.members.host_id else root

    def root(self, domain: str) -> str | None:
        """Return the first usable member of a failure domain."""
        ring = self.members.domain_rings.get(domain)
        for name in ring.names if ring else ():
            if name == self.members.host_id or self.members.is_usable(name):
                return name
        return None

    def record_report(
        self, host_id: str, message: messages.StatusReport, now: float
    ) -> bool:
        """Store a child's report; return False if it is malformed.

        The oldest reports are evicted beyond MAX_CHILDREN.
        """
        report = _parse_report(message.counts, message.laggards, now)
        if report is None or message.failure_domain != self.domain:
            return False
        self.children.pop(host_id, None)
        while len(self.children) >= MAX_CHILDREN:
            del self.children[next(iter(self.children))]
        self.children[host_id] = report
        return True

    def record_reply(self, message: messages.StatusReply, now: float) -> bool:
        """Store a root's reply; return False if it is malformed."""
        report = _parse_report(message.counts, message.laggards, now)
        if report is None or message.failure_domain not in (
            self.members.domain_rings
        ):
            return False
        self.replies[message.failure_domain] = report
        return True

    def subtree_report(
        self, version: int, digest: bytes, now: float
    ) -> Report:
        """Return the report of this node and its subtree."""
        self._expire_children(now)
        reports = list(self.children.values())
        own = Report(
            [(version, digest, 1)], [(self.members.host_id, version)], now
        )
        return merge_reports([own, *reports], now)

    def report_due(self, now: float) -> bool:
        """Return whether a report is due; if so, restart its interval."""
        if now - self.reported_at < REPORT_INTERVAL_SECONDS:
            return False
        self.reported_at = now
        return True

    def roots_to_query(self, now: float) -> list[tuple[str, str]]:
        """Return failure domains and their roots if a refresh is due."""
        if (
            not self.refresh_requested
            or now - self.queried_at < CACHE_TTL_SECONDS
        ):
            return []
        self.refresh_requested = False
        self.queried_at = now
        roots = []
        for domain in self.members.domain_rings:
            root = self.root(domain)
            if root is not None:
                roots.append((domain, root))
        for domain in self.replies.keys() - self.members.domain_rings.keys():
            del self.replies[domain]
        return roots

    def fleet_summary(self, now: float) -> dict[str, Any]:
        """Return the cached replies and request a refresh if they expired."""
        if now - self.queried_at >= CACHE_TTL_SECONDS:
            self.refresh_requested = True
        total = merge_reports(list(self.replies.values()), now)
        newest = max((item[0] for item in total.counts), default=0)
        return {
            "failure_domains": {
                domain: _to_document(report, newest, now)
                for domain, report in sorted(self.replies.items())
            },
            "total": _to_document(total, newest, now),
            "missing": sorted(
                domain
                for domain, ring in self.members.domain_rings.items()
                if len(ring) and domain not in self.replies
            ),
        }

    def _expire_children(self, now: float) -> None:
        for name in list(self.children):
            age = now - self.children[name].received_at
            if age > REPORT_TTL_SECONDS:
                del self.children[name]


def merge_reports(reports: list[Report], now: float) -> Report:
    """Sum the counts and keep the hosts with the oldest versions."""
    totals: dict[tuple[int, bytes], int] = {}
    laggards: dict[str, int] = {}
    for report in reports:
        for version, digest, count in report.counts:
            key = (version, digest)
            totals[key] = totals.get(key, 0) + count
        laggards.update(report.laggards)
    ordered = sorted(totals.items(), key=lambda item: -item[1])[
        :MAX_VERSION_COUNTS
    ]
    counts = [(key[0], key[1], count) for key, count in ordered]
    # A subtree does not know the newest version of the fleet, so it reports
    # its oldest hosts whether they lag or not.
    oldest = sorted(laggards.items(), key=lambda item: (item[1], item[0]))
    received_at = min((report.received_at for report in reports), default=now)
    return Report(counts, oldest[:MAX_LAGGARDS], received_at)


def _parse_report(
    counts: list[Any], laggards: list[Any], now: float
) -> Report | None:
    if len(counts) > MAX_VERSION_COUNTS or len(laggards) > MAX_LAGGARDS:
        return None
    if not all(_has_types(item, int, bytes, int) for item in counts):
        return None
    if not all(_has_types(item, str, int) for item in laggards):
        return None
    return Report(
        [(item[0], item[1], item[2]) for item in counts],
        [(item[0], item[1]) for item in laggards],
        now,
    )


def _has_types(item: Any, *types: type) -> bool:
    return (
        isinstance(item, list | tuple)
        and len(item) == len(types)
        and all(
            type(value) is expected
            for value, expected in zip(item, types, strict=True)
        )
    )


def _to_document(report: Report, newest: int, now: float) -> dict[str, Any]:
    return {
        "counts": [
            {"version": version, "digest": digest.hex(), "count": count}
            for version, digest, count in report.counts
        ],
        "lagging": [
            {"host": name, "version": version}
            for name, version in report.laggards
            if version < newest
        ],
        "age_seconds": round(now - report.received_at, 3),
    }
