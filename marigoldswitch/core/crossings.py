"""How many chains may pass between data centres.

Load it answers: a data centre that lacks some layers, so that its requests need engines
of another one. Each crossing of a chain carries the activations of its whole prompt,
some 70 MB, over a pipe that all share: 25 crossings a second fill 18 Gbit/s. Without a
bound all chains with a crossing queue there, hold the memory of every engine that they
pass meanwhile, and the requests of whole data centres starve with them.
"""

from dataclasses import dataclass

SHARE = 0.6
"""Share of the pipe that all hosts give out together: at one half the mean wait for it
equals a transfer, at two thirds it is twice as long."""
BURST_SECONDS = 0.2
"""Time of the pipe that one host may give out at once: some six crossings."""
OVERDRAFT_SECONDS = 0.2
"""Time that it may give out beyond that to streams under way. While engines of all data
centres are replaced, no data centre has a whole model, and new requests take each
crossing as it comes free: streams that had to move found none until their callers left.
The new requests wait until it is paid back."""


@dataclass(slots=True)
class CrossingBudget:
    """One host's part of the pipe, as a bucket of seconds of it."""

    level: float = BURST_SECONDS
    """Seconds that may be given out; below 0 while streams under way have more."""
    _filled_at: float = 0.0

    def has_room(
        self, seconds: float, hosts: int, now: float, is_new: bool = True
    ) -> bool:
        """Tell whether some time of the pipe may be given out.

        :param seconds: that the crossings of one chain take of it.
        :param hosts: live hosts that share it.
        :param is_new: the caller has no part of an answer yet.
        """
        gained = (now - self._filled_at) * SHARE / max(1, hosts)
        self.level = min(BURST_SECONDS, self.level + max(0.0, gained))
        self._filled_at = now
        owed = 0.0 if is_new else OVERDRAFT_SECONDS
        return seconds <= 0.0 or seconds <= self.level + owed

    def take(self, seconds: float, hosts: int, now: float, is_new: bool = True) -> bool:
        """Give out some time of the pipe; tell whether there was enough."""
        has_room = self.has_room(seconds, hosts, now, is_new)
        if has_room:
            self.spend(seconds)
        return has_room

    def spend(self, seconds: float) -> None:
        """Count time of the pipe as given out."""
        self.level -= seconds
