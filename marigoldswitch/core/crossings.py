"""Limits the chains that cross between data centres.

The requests of a data centre that lacks some layers need engines of another one. Each
crossing of a chain carries the activations of the whole prompt, some 70 MB, over a link
that all share: 25 crossings a second fill 18 Gbit/s. Without a limit all chains with a
crossing would queue there and meanwhile hold memory on each of their engines, which
starves the other requests of whole data centres.
"""

from msgspec import Struct

LINK_SHARE = 0.6
"""Share of the link's time that all hosts together may use. At one half the mean wait
for the link equals a transfer, at two thirds it is twice as long."""
BURST_SECONDS = 0.2
"""Link time that one host may use at once: some six crossings."""
OVERDRAFT_SECONDS = 0.2
"""Link time that a host may use beyond its budget for streams that have begun. While
engines of all data centres are replaced, none has a whole model, and new requests take
each crossing as it becomes available: streams that had to move found none until their
callers left. New requests wait until the overdraft is repaid."""


class CrossingBudget(Struct):
    """One host's share of the link, as a token bucket of seconds of link time."""

    available_seconds: float = BURST_SECONDS
    """Seconds in the bucket; negative while running streams have overdrawn it."""
    _refilled_at: float = 0.0

    def can_spend(
        self, seconds: float, hosts: int, now: float, is_new: bool = True
    ) -> bool:
        """Return whether the budget allows some link time; refill it first.

        :param seconds: link time of the crossings of one chain.
        :param hosts: number of hosts that share the link, silent ones included.
        :param is_new: the caller has received no part of an answer yet.
        """
        refill = (now - self._refilled_at) * LINK_SHARE / max(1, hosts)
        self.available_seconds = min(
            BURST_SECONDS, self.available_seconds + max(0.0, refill)
        )
        self._refilled_at = now
        overdraft = 0.0 if is_new else OVERDRAFT_SECONDS
        return seconds <= 0.0 or seconds <= self.available_seconds + overdraft

    def try_spend(
        self, seconds: float, hosts: int, now: float, is_new: bool = True
    ) -> bool:
        """Spend link time if the budget allows it; return whether it did.

        Takes the parameters of :meth:`can_spend`.
        """
        has_room = self.can_spend(seconds, hosts, now, is_new)
        if has_room:
            self.spend(seconds)
        return has_room

    def spend(self, seconds: float) -> None:
        """Take link time from the budget without a check."""
        self.available_seconds -= seconds
