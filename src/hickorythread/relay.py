"""Fan out pushes by delegating ranges of the member ring."""

from collections.abc import Iterator

from hickorythread import membership
from hickorythread import messages
from hickorythread import utils

FAN_OUT = 8
RING_START = 0
RING_END = utils.RING_SIZE - 1
ACK_TIMEOUT_SECONDS = 0.3
LINK_ACK_TIMEOUT_SECONDS = 1.0
MAX_ATTEMPTS = 3
MAX_DELIVERIES = 512
MAX_COVERED_RANGES = 64


class Delivery:
    """Track a push that awaits its acknowledgement.

    region is empty unless the push goes to a gateway of another region.
    """

    __slots__ = ("push", "target", "region", "tried", "sent_at", "ack_timeout")

    def __init__(
        self,
        push: messages.Push,
        target: str,
        region: str,
        sent_at: float,
        ack_timeout: float,
    ) -> None:
        self.push = push
        self.target = target
        self.region = region
        self.tried = [target]
        self.sent_at = sent_at
        self.ack_timeout = ack_timeout


class Share:
    """Hold a range of the ring and the member that relays pushes to it."""

    __slots__ = ("target", "low", "high")

    def __init__(self, target: str, low: int, high: int) -> None:
        self.target = target
        self.low = low
        self.high = high


class Relay:
    """Split ranges, track pushes and retry unacknowledged ones."""

    __slots__ = (
        "members",
        "region",
        "deliveries",
        "next_push_id",
        "covered_ranges",
    )

    def __init__(self, members: membership.Membership, region: str) -> None:
        self.members = members
        self.region = region
        self.deliveries: dict[int, Delivery] = {}
        self.next_push_id = 1
        self.covered_ranges: dict[tuple[str, int, int, int], None] = {}

    def split(self, low: int, high: int) -> list[Share]:
        """Divide a range of this region's ring into at most FAN_OUT shares."""
        ring = self.members.region_rings.get(self.region)
        if ring is None or low > high:
            return []
        first, last = ring.index_range(low, high)
        own_index = ring.index(self.members.host_id)
        if own_index is None or not first <= own_index < last:
            return list(self._shares(ring, first, last, low, high, FAN_OUT))
        # The ranges on either side of this node are split separately, so
        # that no share includes this node.
        left, right = own_index - first, last - own_index - 1
        parts = _parts_on_left(left, right)
        own_hash = ring.hashes[own_index]
        shares = self._shares(ring, first, own_index, low, own_hash - 1, parts)
        others = self._shares(
            ring, own_index + 1, last, own_hash + 1, high, FAN_OUT - parts
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
        boundaries = [first + count * part // parts for part in range(parts)]
        boundaries.append(last)
        for part in range(parts):
            start, end = boundaries[part], boundaries[part + 1]
            target = self.members.random_usable(ring, start, end, ())
            if target is None:
                continue
            lower = low if part == 0 else ring.hashes[start]
            upper = high if end == last else ring.hashes[end] - 1
            yield Share(target, lower, upper)

    def begin(self, log: str, sequence: int, low: int, high: int) -> bool:
        """Mark a range as covered; return False if it already was."""
        key = (log, sequence, low, high)
        if key in self.covered_ranges:
            return False
        self.covered_ranges[key] = None
        while len(self.covered_ranges) > MAX_COVERED_RANGES:
            del self.covered_ranges[next(iter(self.covered_ranges))]
        return True

    def push_shares(
        self, push: messages.Push, now: float
    ) -> list[tuple[str, messages.Push]]:
        """Return the pushes to the delegates for the range of a push."""
        return [
            self._add_delivery(push, share, "", ACK_TIMEOUT_SECONDS, now)
            for share in self.split(push.range_low, push.range_high)
        ]

    def push_region(
        self, push: messages.Push, region: str, now: float
    ) -> list[tuple[str, messages.Push]]:
        """Return the push to the first gateway of another region, if any."""
        targets = self.members.contact_candidates(region, 1)
        return [
            self._add_delivery(
                push,
                Share(target, RING_START, RING_END),
                region,
                LINK_ACK_TIMEOUT_SECONDS,
                now,
            )
            for target in targets
        ]

    def acknowledge(self, host_id: str, push_id: int) -> bool:
        """Drop an acknowledged push; return False if it was not pending."""
        delivery = self.deliveries.get(push_id)
        if delivery is None or host_id not in delivery.tried:
            return False
        del self.deliveries[push_id]
        return True

    def overdue_deliveries(self, now: float) -> list[Delivery]:
        """Return the deliveries whose acknowledgement timed out."""
        return [
            delivery
            for delivery in self.deliveries.values()
            if now - delivery.sent_at >= delivery.ack_timeout
        ]

    def retry(
        self, delivery: Delivery, now: float
    ) -> tuple[str, messages.Push] | None:
        """Return the push to another member, or None after the last attempt.

        Members missed by an abandoned push catch up by anti-entropy.
        """
        if len(delivery.tried) >= MAX_ATTEMPTS:
            del self.deliveries[delivery.push.push_id]
            return None
        delivery.target = self._retry_target(delivery)
        delivery.tried.append(delivery.target)
        delivery.sent_at = now
        return delivery.target, delivery.push

    def _retry_target(self, delivery: Delivery) -> str:
        tried = delivery.tried
        if delivery.region:
            targets = self.members.contact_candidates(
                delivery.region, membership.MAX_CONTACT_CANDIDATES
            )
            others = [name for name in targets if name not in tried]
            return others[0] if others else delivery.target
        ring = self.members.region_rings[self.region]
        push = delivery.push
        first, last = ring.index_range(push.range_low, push.range_high)
        other = self.members.random_usable(ring, first, last, tried)
        return other or delivery.target

    def _add_delivery(
        self,
        push: messages.Push,
        share: Share,
        region: str,
        ack_timeout: float,
        now: float,
    ) -> tuple[str, messages.Push]:
        while len(self.deliveries) >= MAX_DELIVERIES:
            del self.deliveries[next(iter(self.deliveries))]
        sent = messages.Push(
            push.log,
            self.next_push_id,
            push.first_sequence,
            push.entries,
            push.version,
            push.digest,
            share.low,
            share.high,
        )
        self.next_push_id += 1
        self.deliveries[sent.push_id] = Delivery(
            sent, share.target, region, now, ack_timeout
        )
        return share.target, sent


def _parts_on_left(left: int, right: int) -> int:
    if not left or not right:
        return FAN_OUT if left else 0
    left_parts = round(FAN_OUT * left / (left + right))
    return max(1, min(FAN_OUT - 1, left_parts))
