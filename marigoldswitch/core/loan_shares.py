"""Amounts of loans: what was lent lately, and how a lender shares out what it has."""

from collections import deque
from collections.abc import Mapping

from msgspec import Struct, field

from marigoldswitch.core.ids import HostId


class RecentPeak(Struct):
    """The highest of the amounts of the last seconds."""

    _amounts: deque[tuple[float, float]] = field(default_factory=deque)
    """Times and amounts, each lower than the one before."""

    def note(self, amount: float, now: float) -> None:
        """Record the amount that is valid now."""
        while self._amounts and self._amounts[-1][1] <= amount:
            self._amounts.pop()
        self._amounts.append((now, amount))

    def get(self, since: float) -> float:
        """Return the highest amount since a time."""
        while self._amounts and self._amounts[0][0] < since:
            self._amounts.popleft()
        return self._amounts[0][1] if self._amounts else 0.0


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
    lent = {host: min(amount, held[host]) for host, amount in asked.items()}
    left = free
    for host in sorted(lent, key=lambda item: (-lent[item], item)):
        while left < 0.0 < lent[host]:
            step = min(1.0, lent[host])
            lent[host] -= step
            left += step
    # What was taken back is still deducted, and can't be lent to others.
    waiting = set(lent) if free > 0.0 else set[HostId]()
    while waiting:
        host = min(waiting, key=lambda item: (lent[item], item))
        missing = asked[host] - lent[host]
        step = missing % 1.0 or min(1.0, missing)
        if 0.0 < step <= left:
            lent[host] += step
            left -= step
        else:
            waiting.discard(host)
    return lent
