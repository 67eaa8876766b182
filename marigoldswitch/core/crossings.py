"""How many chains may pass between data centres.

Load it answers: a data centre that lacks some layers, so that its requests need engines
of another one. Each crossing of a chain carries the activations of its whole prompt,
some 70 MB, over a pipe that all share: 25 crossings a second fill 18 Gbit/s. Without a
bound all chains with a crossing queue there, hold the memory of every engine that they
pass meanwhile, and the requests of whole data centres starve with them: in a day of
trouble the median first event rose from 50 to 200 ms and pauses became the rule.
"""

from dataclasses import dataclass

SHARE = 0.6
"""Share of the pipe that all hosts give out together: at one half the mean wait for it
equals a transfer, at two thirds it is twice as long."""
BURST_SECONDS = 0.2
"""Time of the pipe that one host may give out at once: some six crossings."""


@dataclass(slots=True)
class CrossingBudget:
    """One host's part of the pipe, as a bucket of seconds of it."""

    _level: float = BURST_SECONDS
    _filled_at: float = 0.0

    def take(self, seconds: float, hosts: int, now: float) -> bool:
        """Give out some time of the pipe; tell whether there was enough.

        :param seconds: that the crossings of one chain take of it.
        :param hosts: live hosts that share it.
        """
        gained = (now - self._filled_at) * SHARE / max(1, hosts)
        self._level = min(BURST_SECONDS, self._level + max(0.0, gained))
        self._filled_at = now
        if seconds > self._level:
            return False
        self._level -= seconds
        return True
