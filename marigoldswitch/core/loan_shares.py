"""How a lender shares out what it has among the hosts that ask for loans."""

import math
from collections.abc import Mapping

from marigoldswitch.core.ids import HostId

PARTS = 1000
"""Parts of a use in which loans are counted."""


def share_out(
    asked: Mapping[HostId, float], held: Mapping[HostId, float], free: float
) -> dict[HostId, float]:
    """Return what each host is lent in all: what it asks for, or a part of that.

    :param held: what is deducted for each already, which may be lent at no cost.
    :param free: what may be lent beyond it; negative if that is too much.
    """
    lent = {host: min(amount, held[host]) for host, amount in asked.items()}
    missing = {host: asked[host] - amount for host, amount in lent.items()}
    changing = missing if free > 0.0 else lent
    total = sum(changing.values())
    part = max(-1.0, min(1.0, free / total)) if total > 0.0 else 0.0
    return {host: lent[host] + part * changing[host] for host in lent}


def share_out_whole(
    asked: Mapping[HostId, float], held: Mapping[HostId, float], free: float
) -> dict[HostId, float]:
    """Return the same, with less than is asked for by whole uses only.

    What hosts ask for makes up whole uses with what they own, so that they can use all
    of it. Those that are lent least come first.
    """
    # In whole numbers: a sum of fractions may pass what is asked for, and never end.
    wanted = {host: round(amount * PARTS) for host, amount in asked.items()}
    lent = {host: min(wanted[host], int(held[host] * PARTS)) for host in asked}
    left = math.floor(free * PARTS)
    for host in sorted(lent, key=lambda item: (-lent[item], item)):
        while left < 0 < lent[host]:
            step = min(PARTS, lent[host])
            lent[host] -= step
            left += step
    # What was taken back is still deducted, and can't be lent to others.
    waiting = set(lent) if free > 0.0 else set[HostId]()
    while waiting:
        host = min(waiting, key=lambda item: (lent[item], item))
        missing = wanted[host] - lent[host]
        step = missing % PARTS or min(PARTS, missing)
        if 0 < step <= left:
            lent[host] += step
            left -= step
        else:
            waiting.discard(host)
    return {host: amount / PARTS for host, amount in lent.items()}
