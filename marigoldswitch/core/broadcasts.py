"""Changes that wait to be passed on with the next datagrams."""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field

from marigoldswitch.core.datagrams import Delta, MemberRecord, measure_delta

RETRANSMISSIONS = 4
"""Times that a host passes a change on, per decade of hosts; epidemic spreading reaches
all hosts with a few per decade, and more only cost bytes."""


@dataclass(slots=True)
class _Waiting:
    delta: Delta
    size: int
    sent: int = 0


@dataclass(slots=True)
class Broadcasts:
    """The newest change about each host and mark, each sent a few times."""

    _waiting: dict[Hashable, _Waiting] = field(default_factory=dict)

    def add(self, delta: Delta) -> None:
        """Pass a change on; it replaces an older one about the same thing."""
        self._waiting[_name(delta)] = _Waiting(delta, measure_delta(delta))

    def take(self, room: int, hosts: int) -> tuple[Delta, ...]:
        """Return changes for one datagram, those sent least often first.

        :param room: bytes that they may take.
        :param hosts: live hosts, which bound how often a change is sent.
        """
        most = RETRANSMISSIONS * max(1, math.ceil(math.log10(hosts + 1)))
        chosen = []
        for key, item in sorted(self._waiting.items(), key=lambda pair: pair[1].sent):
            if item.size > room:
                continue
            room -= item.size
            chosen.append(item.delta)
            item.sent += 1
            if item.sent >= most:
                del self._waiting[key]
        return tuple(chosen)


def _name(delta: Delta) -> Hashable:
    if isinstance(delta, MemberRecord):
        return delta.host
    return (delta.target, delta.source)
