"""What part a host has among those of its data centre: relay, reader, or neither.

Load it answers: dozens of hosts in a data centre. Each telling each other what it holds
takes a message for every pair: with 30 hosts, 1,000 messages a data centre and round,
most of a host's control traffic and processor time. Each reading the store by itself
multiplies calls that are paid for and limited. So a few hosts, known to all by their
addresses alone, take the words of the others and pass the sum on; and a few that the
store answers read it for all. Nothing is elected: a host that is not heard is passed
over, and two that both act cost messages and break nothing. Hosts with the strongest
links come first: a relay or reader on a weak one is late for all that it tells, and its
own probes wait behind it.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from marigoldswitch.core.ids import HostId

MESH_HOSTS = 6
"""Hosts of a data centre up to which each tells each other: below it a relay would save
less than the message that it adds."""
RELAYS = 3
"""Hosts that relay or stand ready to: one may be lost and one cut off at a time."""
RELAY_SECONDS = 2.5
"""Time for which the word of a relay stands; it speaks every second at least."""
LEAD_SECONDS = 0.75
"""The same for the one that sums up, as loads of that age are hardly better than none:
a stream lives 1 to 7 s."""
READERS = 3
"""Hosts of a data centre that follow the store by themselves. Its calls are paid for
and limited; the others take the news from these, a digest and a message later. One
reader may be lost and one turned away at the same time."""
READER_SECONDS = 1.5
"""Time for which the word of a reader stands: several of its digests, and half of the
time in which a configuration must be in force."""
TURN_SECONDS = 0.06
"""Time that each host waits for the ones before it to step in as a reader: with 30
hosts, all would read until they have heard of each other's reading, some 0.5 s."""


@dataclass(frozen=True, order=True, slots=True)
class HostRank:
    """Place of a host among those of its data centre; the lowest come first.

    :param weakness: the negative of its strength.
    """

    weakness: int
    host: HostId


def measure_strength(link_bytes: float) -> int:
    """Return how strong a host is for the others; links that are alike count the same.

    :param link_bytes: bytes a second that its link carries.
    """
    return int(math.log2(max(1.0, link_bytes)))


def choose_relays(own: HostRank, ages: Mapping[HostRank, float]) -> list[HostRank]:
    """Return the hosts that relay, first the one that should sum up.

    :param ages: seconds since each other host of the data centre was heard.
    """
    heard = [host for host, age in ages.items() if age < RELAY_SECONDS]
    return sorted([own, *heard])[:RELAYS]


def is_lead(own: HostRank, ages: Mapping[HostRank, float]) -> bool:
    """Tell whether a host sums up: a relay before which none was heard just now."""
    heard = [host for host, age in ages.items() if age < LEAD_SECONDS]
    return own in choose_relays(own, ages) and own == min([own, *heard])


def choose_patience(own: HostRank, hosts: Iterable[HostRank]) -> float:
    """Return how much longer than the first hosts this one waits between two tries.

    While the store turns all away, the first of a data centre try as if they were
    alone, and the others together as often as these: refused calls are paid for too.

    :param hosts: the others of the data centre.
    """
    known = list(hosts)
    if sum(host < own for host in known) < READERS:
        return 1.0
    return max(1.0, (len(known) + 1 - READERS) / READERS)


@dataclass(slots=True)
class ReaderTurn:
    """Whether this host must follow the store by itself.

    :ivar short_since: since when too few others are known to read; ``None`` while
        there are enough.
    """

    short_since: float | None = None

    def must_read(
        self,
        own: HostRank,
        hosts: Iterable[HostRank],
        readers: Iterable[HostRank],
        now: float,
    ) -> bool:
        """Tell whether this host must read now.

        The first hosts that the store answers do, in order of their ranks; the
        others step in one after the other where these fall away.

        :param hosts: of the data centre that were heard of.
        :param readers: those that were lately said to read.
        """
        if sum(host < own for host in readers) >= READERS:
            self.short_since = None
            return False
        if self.short_since is None:
            self.short_since = now
        rank = sum(host < own for host in hosts)
        wait = TURN_SECONDS * max(0, rank + 1 - READERS)
        return now - self.short_since >= wait
