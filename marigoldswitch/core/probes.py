"""Probes under way, and the order in which hosts are probed."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from marigoldswitch.core.datagrams import MemberRecord
from marigoldswitch.core.ids import HostId

REMOTE_EVERY = 4
"""One probe in so many goes to another data centre: its own hosts watch each other
closely, and links between data centres are to be used little."""
RELAY_SECONDS = 5.0


@dataclass(slots=True)
class Probe:
    """A probe that waits for its answer.

    :param tries: pings sent for it so far.
    """

    host: HostId
    number: int
    began: float
    tries: int = 1


@dataclass(frozen=True, slots=True)
class Relay:
    """Who asked for an indirect probe.

    :param number: number of the asker's own probe.
    """

    host: HostId
    address: str
    number: int


@dataclass(slots=True)
class Probes:
    """Probes under way, by the number that their answers bring back.

    :param number: the last number given; it starts at random, so that answers to an
        earlier process of the same name match nothing.
    """

    number: int = 0
    _open: dict[int, Probe] = field(default_factory=dict)
    _relays: dict[int, tuple[Relay, float]] = field(default_factory=dict)

    def take_number(self) -> int:
        """Return a new number."""
        self.number += 1
        return self.number

    def begin(self, host: HostId, now: float) -> int:
        """Note a new probe and return its number."""
        number = self.take_number()
        self._open[number] = Probe(host, number, now)
        return number

    def answer(self, number: int) -> bool:
        """Note an answer; tell whether a probe waited for it."""
        return self._open.pop(number, None) is not None

    def clear(self) -> None:
        """Forget all probes under way."""
        self._open.clear()

    def list_silent(self, now: float, wait: float) -> list[Probe]:
        """Return the probes to try again, each every ``wait`` seconds."""
        silent = [
            item
            for item in self._open.values()
            if now - item.began >= item.tries * wait
        ]
        for item in silent:
            item.tries += 1
        return silent

    def take_failed(self, before: float) -> list[Probe]:
        """Remove and return the probes begun by then that have no answer."""
        failed = [item for item in self._open.values() if item.began <= before]
        for item in failed:
            del self._open[item.number]
        return failed

    def relay(self, relay: Relay, now: float) -> int:
        """Note a probe made for another host and return its number."""
        for number, (_, began) in list(self._relays.items()):
            if now - began > RELAY_SECONDS:
                del self._relays[number]
        number = self.take_number()
        self._relays[number] = (relay, now)
        return number

    def take_relay(self, number: int) -> Relay | None:
        """Return who asked for a probe, if another host did."""
        found = self._relays.pop(number, None)
        return found[0] if found else None


@dataclass(slots=True)
class ProbeOrder:
    """Chooses whom to probe: everyone once a round, each round in a new order."""

    _near: list[HostId] = field(default_factory=list)
    _far: list[HostId] = field(default_factory=list)
    _count: int = 0

    def split(
        self, own: MemberRecord, live: Sequence[MemberRecord]
    ) -> tuple[list[MemberRecord], list[MemberRecord]]:
        """Return the hosts of this data centre and those of the others."""
        near = [item for item in live if item.data_centre == own.data_centre]
        far = [item for item in live if item.data_centre != own.data_centre]
        return near, far

    def choose(
        self, own: MemberRecord, live: Sequence[MemberRecord], random: Random
    ) -> HostId | None:
        """Return the next host to probe."""
        near, far = self.split(own, live)
        self._count += 1
        if far and (not near or self._count % REMOTE_EVERY == 0):
            return _draw(self._far, far, random)
        return _draw(self._near, near, random)


def _draw(
    queue: list[HostId], live: Sequence[MemberRecord], random: Random
) -> HostId | None:
    names = {item.host for item in live}
    while queue:
        host = queue.pop()
        if host in names:
            return host
    queue.extend(sorted(names))
    random.shuffle(queue)
    return queue.pop() if queue else None
