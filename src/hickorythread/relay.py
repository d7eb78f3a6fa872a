"""Push entries along delegated ranges of the member ring."""

from collections.abc import Iterator

from hickorythread import membership
from hickorythread import messages
from hickorythread import utils

FAN_OUT = 8
RING_START = 0
RING_END = utils.RING_SIZE - 1
ACK_SECONDS = 0.3
LINK_ACK_SECONDS = 1.0
MAX_ATTEMPTS = 3
MAX_DELIVERIES = 512
MAX_COVERED = 64


class Delivery:
    """Track one push that awaits its acknowledgement.

    region is set for a push to the gateway of another region.
    """

    __slots__ = ("push", "target", "region", "tried", "sent_at", "limit")

    def __init__(
        self,
        push: messages.Push,
        target: str,
        region: str,
        sent_at: float,
        limit: float,
    ) -> None:
        self.push = push
        self.target = target
        self.region = region
        self.tried = [target]
        self.sent_at = sent_at
        self.limit = limit


class Share:
    """Name a member and the range of the ring that it is to cover."""

    __slots__ = ("target", "low", "high")

    def __init__(self, target: str, low: int, high: int) -> None:
        self.target = target
        self.low = low
        self.high = high


class Relay:
    """Split ranges, number pushes and repeat unacknowledged ones."""

    __slots__ = (
        "members",
        "region",
        "deliveries",
        "next_id",
        "covered_ranges",
    )

    def __init__(self, members: membership.Membership, region: str) -> None:
        self.members = members
        self.region = region
        self.deliveries: dict[int, Delivery] = {}
        self.next_id = 1
        self.covered_ranges: dict[tuple[str, int, int, int], None] = {}

    def split(self, low: int, high: int) -> list[Share]:
        """Divide a range of the own region into at most 8 shares."""
        ring = self.members.region_rings.get(self.region)
        if ring is None or low > high:
            return []
        first, last = ring.span(low, high)
        own = ring.index(self.members.host_id)
        if own is None or not first <= own < last:
            return list(self._shares(ring, first, last, low, high, FAN_OUT))
        # Both sides of this node are split apart, so that no share leads
        # back to it.
        left, right = own - first, last - own - 1
        parts = _proportion(left, right)
        place = ring.hashes[own]
        shares = self._shares(ring, first, own, low, place - 1, parts)
        others = self._shares(
            ring, own + 1, last, place + 1, high, FAN_OUT - parts
        )
        return [*shares, *others]

    def _shares(
        self,
        ring: membership.Ring,
        first: int,
        last: int,
        low: int,
        high: int,
        parts: int,
    ) -> Iterator[Share]:
        count = last - first
        parts = min(parts, count)
        edges = [first + count * part // parts for part in range(parts)]
        edges.append(last)
        for part in range(parts):
            start, end = edges[part], edges[part + 1]
            target = self.members.pick_usable(ring, start, end, ())
            if target is None:
                continue
            lower = low if part == 0 else ring.hashes[start]
            upper = high if end == last else ring.hashes[end] - 1
            yield Share(target, lower, upper)

    def begin(self, log: str, sequence: int, low: int, high: int) -> bool:
        """Return whether this node has yet to cover the range."""
        key = (log, sequence, low, high)
        if key in self.covered_ranges:
            return False
        self.covered_ranges[key] = None
        while len(self.covered_ranges) > MAX_COVERED:
            del self.covered_ranges[next(iter(self.covered_ranges))]
        return True

    def push_shares(
        self, push: messages.Push, now: float
    ) -> list[tuple[str, messages.Push]]:
        """Return the pushes that cover the range of a push."""
        return [
            self._track(push, share, "", ACK_SECONDS, now)
            for share in self.split(push.range_low, push.range_high)
        ]

    def push_region(
        self, push: messages.Push, region: str, now: float
    ) -> list[tuple[str, messages.Push]]:
        """Return the push to the first gateway of another region."""
        targets = self.members.contact_candidates(region, 1)
        return [
            self._track(
                push,
                Share(target, RING_START, RING_END),
                region,
                LINK_ACK_SECONDS,
                now,
            )
            for target in targets
        ]

    def acknowledge(self, host_id: str, push_id: int) -> bool:
        """Forget an acknowledged push; return whether it was awaited."""
        delivery = self.deliveries.get(push_id)
        if delivery is None or host_id not in delivery.tried:
            return False
        del self.deliveries[push_id]
        return True

    def overdue(self, now: float) -> list[Delivery]:
        """Return the pushes whose acknowledgement is late."""
        return [
            delivery
            for delivery in self.deliveries.values()
            if now - delivery.sent_at >= delivery.limit
        ]

    def repeat(
        self, delivery: Delivery, now: float
    ) -> tuple[str, messages.Push] | None:
        """Return the push to another member, or None to give up.

        Anti-entropy repairs what is given up.
        """
        if len(delivery.tried) >= MAX_ATTEMPTS:
            del self.deliveries[delivery.push.push_id]
            return None
        delivery.target = self._other(delivery)
        delivery.tried.append(delivery.target)
        delivery.sent_at = now
        return delivery.target, delivery.push

    def _other(self, delivery: Delivery) -> str:
        tried = delivery.tried
        if delivery.region:
            targets = self.members.contact_candidates(
                delivery.region, membership.MAX_CANDIDATES
            )
            others = [name for name in targets if name not in tried]
            return others[0] if others else delivery.target
        ring = self.members.region_rings[self.region]
        push = delivery.push
        first, last = ring.span(push.range_low, push.range_high)
        other = self.members.pick_usable(ring, first, last, tried)
        return other or delivery.target

    def _track(
        self,
        push: messages.Push,
        share: Share,
        region: str,
        limit: float,
        now: float,
    ) -> tuple[str, messages.Push]:
        while len(self.deliveries) >= MAX_DELIVERIES:
            del self.deliveries[next(iter(self.deliveries))]
        sent = messages.Push(
            push.log,
            self.next_id,
            push.first_sequence,
            push.entries,
            push.version,
            push.digest,
            share.low,
            share.high,
        )
        self.next_id += 1
        self.deliveries[sent.push_id] = Delivery(
            sent, share.target, region, now, limit
        )
        return share.target, sent


def _proportion(left: int, right: int) -> int:
    if not left or not right:
        return FAN_OUT if left else 0
    share = round(FAN_OUT * left / (left + right))
    return max(1, min(FAN_OUT - 1, share))
