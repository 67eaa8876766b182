"""What each target holds, from this host's own counts and those that peers tell.

Load it answers: several hosts that send to the same engines. Each sees only its own
requests; an engine's own report is hundreds of milliseconds old, in which a dozen
requests arrive. Hosts of one data centre therefore tell each other what they hold.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from marigoldswitch.core.ids import HostId, TargetId

STALE_SECONDS = 2.0
"""A peer that has said nothing for this long is left out: its requests have ended or
moved by then, as streams take 1 to 7 s and hosts tell of theirs every 0.1 to 1 s."""


@dataclass(frozen=True, slots=True)
class Usage:
    """What some requests take of one target.

    :param requests: number of requests.
    :param tokens: tokens of context that are reserved for them.
    """

    requests: int = 0
    tokens: int = 0

    def plus(self, other: "Usage") -> "Usage":
        """Return both together."""
        return Usage(self.requests + other.requests, self.tokens + other.tokens)

    def minus(self, other: "Usage") -> "Usage":
        """Return what is left without ``other``."""
        return Usage(self.requests - other.requests, self.tokens - other.tokens)


NOTHING = Usage()


class Loads:
    """Usage of each target."""

    def __init__(self) -> None:
        self.own: dict[TargetId, Usage] = {}
        self._peers: dict[HostId, tuple[float, Mapping[TargetId, Usage]]] = {}
        self._foreign: dict[TargetId, Usage] = {}
        self._fresh: dict[TargetId, int] = {}

    def get(self, target: TargetId) -> Usage:
        """Return what all known requests take of a target."""
        own = self.own.get(target, NOTHING)
        foreign = self._foreign.get(target)
        return own.plus(foreign) if foreign is not None else own

    def hold(self, targets: Iterable[TargetId], usage: Usage) -> None:
        """Count a request of this host at some targets."""
        for target in targets:
            self.own[target] = self.own.get(target, NOTHING).plus(usage)
            self._fresh[target] = self._fresh.get(target, 0) + usage.tokens

    def count_fresh(self, target: TargetId) -> int:
        """Return the tokens that this host has added since it last told its peers.

        What it has done since, each of them has probably done as well.
        """
        return self._fresh.get(target, 0)

    def note_told(self) -> None:
        """Learn that the peers have been told of all that is held."""
        self._fresh.clear()

    def release(self, targets: Iterable[TargetId], usage: Usage) -> None:
        """Count a request of this host as ended."""
        for target in targets:
            left = self.own[target].minus(usage)
            assert left.requests >= 0, "released more than was held"
            if left.requests:
                self.own[target] = left
            else:
                del self.own[target]

    def hear(self, peer: HostId, usages: Mapping[TargetId, Usage], now: float) -> None:
        """Take what a peer holds, in place of what it held before."""
        self._peers[peer] = (now, usages)
        self._sum_foreign()

    def expire(self, now: float) -> None:
        """Forget peers that have gone silent."""
        stale = [
            peer
            for peer, (heard, _) in self._peers.items()
            if now - heard > STALE_SECONDS
        ]
        for peer in stale:
            del self._peers[peer]
        if stale:
            self._sum_foreign()

    def _sum_foreign(self) -> None:
        total: dict[TargetId, Usage] = {}
        for _, usages in self._peers.values():
            for target, usage in usages.items():
                total[target] = total.get(target, NOTHING).plus(usage)
        self._foreign = total
