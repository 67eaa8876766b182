"""How long a suspected host may take to refute that it is gone."""

import math
from dataclasses import dataclass, field

from marigoldswitch.core.ids import HostId

CONFIRMATIONS = 3
"""Hosts whose own probes must fail for the shortest wait. One host's word may come from
its own bad link, so without the others the wait is long."""

SHORTEST_PERIODS = 4.0
LONGEST_FACTOR = 4.0


@dataclass(slots=True)
class Suspicion:
    """One suspected host.

    :param began: when it was first suspected, in monotonic seconds.
    :param probed: this host's own probe of it failed.
    """

    began: float
    confirmers: set[HostId] = field(default_factory=set)
    probed: bool = False

    def find_deadline(self, period: float, hosts: int) -> float:
        """Return when the host counts as dead.

        The wait falls with the logarithm of the confirmations, as in Lifeguard.

        :param period: seconds between two probes.
        :param hosts: live hosts, the suspect among them.
        """
        shortest = SHORTEST_PERIODS * period * max(1.0, math.log10(hosts))
        needed = min(CONFIRMATIONS, hosts - 2)
        if needed <= 1:
            return self.began + shortest
        confirmed = min(len(self.confirmers), needed)
        share = math.log(max(1, confirmed)) / math.log(needed)
        longest = LONGEST_FACTOR * shortest
        return self.began + longest - (longest - shortest) * share
