"""Role of a host in its data centre: relay, reader of the store, or neither.

In a data centre with dozens of hosts, reporting loads to each other takes a message for
every pair: with 30 hosts, 1,000 messages a round, most of a host's control traffic and
processor time. Each host reading the store by itself multiplies calls that are paid for
and limited. So a few relays collect the reports of the others and distribute the total,
and a few readers, which the store answers, read it for all.

There is no election. Each host ranks the hosts by the strength of their links, then
by address, and picks the first ones from which it hears. If two hosts pick differently
and both act, that costs messages and breaks nothing. Strong links come first because a
relay or reader on a weak one delays all that it sends, and its own probes queue behind
that.
"""

import math
from collections.abc import Iterable, Mapping

from msgspec import Struct

from marigoldswitch.core.ids import HostId

MAX_MESH_HOSTS = 6
"""Largest number of hosts in a data centre that all report to each other. In one this
small, a relay would save less than the message that it adds."""
RELAY_COUNT = 3
"""Hosts that relay or stand by: one may be lost and another cut off at the same
time."""
RELAY_TIMEOUT_SECONDS = 2.5
"""Time after which a silent host no longer counts as a relay. A relay sends at least
one message a second."""
LEAD_TIMEOUT_SECONDS = 0.75
"""Time after which a silent host no longer counts as the lead relay, the one that sums
up loads. Loads older than this are of little use, as a stream takes 1 to 7 s."""
READER_COUNT = 3
"""Hosts of a data centre that read the store themselves. Its calls are paid for and
limited; the other hosts get changes from these, one digest and one message later. One
reader may be lost and another refused by the store at the same time."""
READER_TIMEOUT_SECONDS = 1.5
"""Time after which a silent host no longer counts as a reader: several digests long,
and half of the time in which a new configuration must be in force."""
STANDBY_PAUSE_FACTOR = 3.0
"""Factor on the pauses between reads of a reader that is not the first of its data
centre. The others get changes from the first one; a standby must know of a leaving
target in time if the first has just been lost."""
TAKEOVER_DELAY_SECONDS = 0.06
"""Delay per rank before a host takes over as a reader. Without it, all of 30 hosts
would read until they had heard of each other, some 0.5 s."""


class HostRank(Struct, frozen=True, order=True):
    """Rank of a host in its data centre, by strength of its link and then by host id.

    The lowest rank comes first.

    :param negated_strength: strength of its link times -1, for sorting.
    """

    negated_strength: int
    host: HostId


def measure_strength(link_bytes: float) -> int:
    """Return the strength of a host's link, as the binary logarithm of its bandwidth.

    It is rounded down, so that similar links are equally strong.

    :param link_bytes: bandwidth, in bytes a second.
    """
    return int(math.log2(max(1.0, link_bytes)))


def choose_relays(own: HostRank, ages: Mapping[HostRank, float]) -> list[HostRank]:
    """Return the relays of the data centre by rank; the first should be the lead.

    :param ages: seconds since the last message of each other host of the data centre.
    """
    heard = [host for host, age in ages.items() if age < RELAY_TIMEOUT_SECONDS]
    return sorted([own, *heard])[:RELAY_COUNT]


def is_lead(own: HostRank, ages: Mapping[HostRank, float]) -> bool:
    """Return whether a host is the lead relay, which sums up the loads.

    It is a relay, and no host that ranks before it was heard within
    ``LEAD_TIMEOUT_SECONDS``.

    :param ages: seconds since the last message of each other host of the data centre.
    """
    heard = [host for host, age in ages.items() if age < LEAD_TIMEOUT_SECONDS]
    return own in choose_relays(own, ages) and own == min([own, *heard])


def choose_backoff_factor(own: HostRank, hosts: Iterable[HostRank]) -> float:
    """Return the factor by which a host lengthens its pauses between retries.

    Refused calls to the store are paid for too. While it refuses all hosts, the first
    ``READER_COUNT`` by rank retry at the normal rate, and all others together as often
    as these.

    :param hosts: the other hosts of the data centre.
    """
    known = list(hosts)
    if sum(host < own for host in known) < READER_COUNT:
        return 1.0
    return max(1.0, (len(known) + 1 - READER_COUNT) / READER_COUNT)


def choose_pause_factor(own: HostRank, readers: Iterable[HostRank]) -> float:
    """Return the factor by which a reader pauses longer between two reads of changes.

    :param readers: other hosts of the data centre recently reported as readers.
    """
    is_first = not any(host < own for host in readers)
    return 1.0 if is_first else STANDBY_PAUSE_FACTOR


class ReaderSelection(Struct):
    """Decides whether this host must read the store itself.

    :ivar shortage_since: monotonic time, in seconds, since when too few readers that
        rank before it are known; ``None`` while there are enough.
    """

    shortage_since: float | None = None

    def must_read(
        self,
        own: HostRank,
        hosts: Iterable[HostRank],
        readers: Iterable[HostRank],
        now: float,
    ) -> bool:
        """Return whether this host must read the store now.

        The first hosts by rank that the store answers do. When one of them fails, the
        next hosts take over one after the other, each after a delay.

        :param own: rank of this host.
        :param hosts: known other hosts of the data centre.
        :param readers: other hosts of the data centre recently reported as readers.
        :param now: monotonic time, in seconds.
        """
        if sum(host < own for host in readers) >= READER_COUNT:
            self.shortage_since = None
            return False
        if self.shortage_since is None:
            self.shortage_since = now
        rank = sum(host < own for host in hosts)
        wait = TAKEOVER_DELAY_SECONDS * max(0, rank + 1 - READER_COUNT)
        return now - self.shortage_since >= wait
