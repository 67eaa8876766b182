"""What each target holds, from this host's own counts and those that peers tell.

Load it answers: several hosts that send to the same engines. Each sees only its own
requests; an engine's own report is hundreds of milliseconds old, in which a dozen
requests arrive. Hosts of one data centre therefore tell each other what they hold, or,
where they are many, tell a relay, which tells them what all of them hold together.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from marigoldswitch.core.ids import DataCentre, HostId, TargetId

STALE_SECONDS = 2.0
"""A peer that has said nothing for this long is left out: its requests have ended or
moved by then, as streams take 1 to 7 s and hosts tell of theirs every 0.1 to 1 s."""


@dataclass(frozen=True, slots=True)
class Usage:
    """What some requests take of one target.

    :param requests: number of requests.
    :param memory: what is reserved for them of its KV cache: tokens of context times
        the layers that each of them runs there.
    :param begun: the requests among these whose chain begins there.
    """

    requests: int = 0
    memory: int = 0
    begun: int = 0

    def plus(self, other: "Usage") -> "Usage":
        """Return both together."""
        return Usage(
            self.requests + other.requests,
            self.memory + other.memory,
            self.begun + other.begun,
        )

    def minus(self, other: "Usage") -> "Usage":
        """Return what is left without ``other``."""
        return Usage(
            self.requests - other.requests,
            self.memory - other.memory,
            self.begun - other.begun,
        )


NOTHING = Usage()


@dataclass(frozen=True, slots=True)
class _Told:
    """What a peer holds, or all hosts of a data centre together."""

    heard: float
    data_centre: DataCentre
    usages: Mapping[TargetId, Usage]


class Loads:
    """Usage of each target.

    :param home: data centre of this host.
    """

    def __init__(self, home: DataCentre) -> None:
        self.own: dict[TargetId, Usage] = {}
        self._home = home
        self._told: dict[TargetId, Usage] = {}
        """What this host held when it last told the others."""
        self._peers: dict[HostId, _Told] = {}
        self._sums: dict[DataCentre, _Told] = {}
        self._foreign: dict[TargetId, Usage] | None = None
        """What all others hold; ``None`` while it is not added up. Added up when it is
        asked for, not with each word of a peer: a relay of thirty hosts hears 150 a
        second and looks for a few chains, and spent an eighth of its time on sums."""
        self._fresh: dict[TargetId, int] = {}

    def get(self, target: TargetId) -> Usage:
        """Return what all known requests take of a target."""
        own = self.own.get(target, NOTHING)
        if self._foreign is None:
            self._foreign = self._add_up()
        foreign = self._foreign.get(target)
        return own.plus(foreign) if foreign is not None else own

    def hold(self, target: TargetId, usage: Usage) -> None:
        """Count a request of this host at a target."""
        self.own[target] = self.own.get(target, NOTHING).plus(usage)
        self._fresh[target] = self._fresh.get(target, 0) + usage.memory

    def count_fresh(self, target: TargetId) -> int:
        """Return the memory that this host has taken since it last told its peers.

        What it has done since, each of them has probably done as well.
        """
        return self._fresh.get(target, 0)

    def note_told(self) -> None:
        """Learn that the peers have been told of all that is held."""
        self._fresh.clear()
        self._told = dict(self.own)

    def release(self, target: TargetId, usage: Usage) -> None:
        """Count a request of this host as ended."""
        left = self.own[target].minus(usage)
        assert left.requests >= 0, "released more than was held"
        if left.requests:
            self.own[target] = left
        else:
            del self.own[target]

    def hear(
        self,
        peer: HostId,
        centre: DataCentre,
        usages: Mapping[TargetId, Usage],
        now: float,
    ) -> None:
        """Take what a peer holds, in place of what it held before."""
        self._peers[peer] = _Told(now, centre, usages)
        self._foreign = None

    def hear_sum(
        self, centre: DataCentre, usages: Mapping[TargetId, Usage], now: float
    ) -> None:
        """Take what all hosts of a data centre hold together, as a relay tells it.

        It stands in place of what its hosts have told by themselves.
        """
        self._sums[centre] = _Told(now, centre, usages)
        self._foreign = None

    def sum_home(self) -> dict[TargetId, Usage]:
        """Return what the hosts of this data centre hold, by their own words."""
        total = dict(self.own)
        for told in self._peers.values():
            if told.data_centre == self._home:
                _add(total, told.usages)
        return total

    def show_sums(self) -> dict[DataCentre, Mapping[TargetId, Usage]]:
        """Return what the other data centres hold, each as far as it is known."""
        sums = {
            centre: told.usages
            for centre, told in self._sums.items()
            if centre != self._home
        }
        direct: dict[DataCentre, dict[TargetId, Usage]] = {}
        for told in self._peers.values():
            if told.data_centre not in (*sums, self._home):
                _add(direct.setdefault(told.data_centre, {}), told.usages)
        return sums | direct

    def expire(self, now: float) -> None:
        """Forget what was told too long ago."""
        old = [peer for peer, told in self._peers.items() if _is_stale(told, now)]
        past = [centre for centre, told in self._sums.items() if _is_stale(told, now)]
        for peer in old:
            del self._peers[peer]
        for centre in past:
            del self._sums[centre]
        if old or past:
            self._foreign = None

    def _add_up(self) -> dict[TargetId, Usage]:
        """Return what all others hold."""
        total: dict[TargetId, Usage] = {}
        for told in self._peers.values():
            if told.data_centre not in self._sums:
                _add(total, told.usages)
        for centre, told in self._sums.items():
            own = self._told if centre == self._home else {}
            _add(total, _leave_out(told.usages, own))
        return total


def _is_stale(told: _Told, now: float) -> bool:
    return now - told.heard > STALE_SECONDS


def _add(total: dict[TargetId, Usage], usages: Mapping[TargetId, Usage]) -> None:
    for target, usage in usages.items():
        total[target] = total.get(target, NOTHING).plus(usage)


def _leave_out(
    usages: Mapping[TargetId, Usage], own: Mapping[TargetId, Usage]
) -> dict[TargetId, Usage]:
    """Return a sum without this host's part.

    The sum may be older than what this host has told since: a part that is larger than
    the sum leaves nothing.
    """
    left: dict[TargetId, Usage] = {}
    for target, usage in usages.items():
        rest = usage.minus(own.get(target, NOTHING))
        left[target] = Usage(
            max(0, rest.requests), max(0, rest.memory), max(0, rest.begun)
        )
    return left
