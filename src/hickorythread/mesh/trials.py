"""Decides which hosts try a request that has crashed targets before.

Once it is refused no longer, every host could let it run at the same moment
and lose its target before it hears of the crash elsewhere. So the hosts take
turns: one is the first to try, and the number of those that may doubles with
each turn without a crash. A request that is no cause of the crashes is soon
let through everywhere.
"""

from collections.abc import Iterable

from hickorythread import utils

# Longer than a crash takes to be noticed and to be told to the other hosts.
TURN_SECONDS = 2.0
# After so many turns all hosts may try.
MAX_TURNS = 16


def may_try(
    fingerprint: bytes, host_id: str, host_ids: Iterable[str], waited: float
) -> bool:
    """Return whether a host may try a request.

    host_ids are the hosts that may get the request, and waited is the time in
    seconds since the request was last refused by all of them.
    """
    turns = int(waited / TURN_SECONDS)
    if turns >= MAX_TURNS:
        return True
    key = fingerprint.hex()
    ranked = utils.rendezvous_rank([*{*host_ids, host_id}], key)
    return host_id in ranked[: 1 << turns]
