"""When refused callers are told to come back.

Handles bursts in which many callers are refused. Told the same time, they return
together and are refused again; told a random time, most come too early or after the
capacity has gone to others. So each gets the time at which it would be admitted, if all
that wait and all returns announced before come first.
"""

import random
from collections.abc import Hashable

from msgspec import Struct

from marigoldswitch.core.ids import AccountId

HONOURED_SHARE = 0.31
"""Longest ``Retry-After``, as a share of the time that the caller has left: callers
honour up to a third of it."""
MIN_RETURN_SECONDS = 0.1
"""Shortest ``Retry-After``; a few searches for room."""
NO_RATE_SECONDS = (0.8, 2.4)
"""Range where nothing is being admitted: engines that take over layers need at least
1.4 s to load them. The random part spreads the returns."""
EARLY_SHARE = 0.8
"""A caller that returns before this share of the time that it was told is early."""
MAX_RETURNS = 2000
"""Announced returns that are kept; about 100 bytes each."""


class _Return(Struct, frozen=True):
    """An announced return.

    :param due: when the caller should return, in monotonic seconds.
    :param early_until: until when it comes too early.
    """

    due: float
    early_until: float
    priority: int
    account: AccountId


class ReturnSchedule:
    """The returns that this host has announced to callers of one service."""

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._returns: dict[Hashable, _Return] = {}

    def __len__(self) -> int:
        return len(self._returns)

    def book(
        self,
        key: Hashable,
        priority: int,
        account: AccountId,
        ahead: int,
        rate: float,
        left: float,
        now: float,
    ) -> float:
        """Return the seconds after which a refused caller should return.

        :param key: identifies the request.
        :param priority: rank; 0 comes first.
        :param ahead: waiting requests that go before it.
        :param rate: requests that are admitted here, per second.
        :param left: seconds that the caller has left.
        :param now: monotonic seconds.
        """
        self._expire(now)
        known = self._returns.get(key)
        if known is not None and now < known.early_until:
            return known.due - now
        longest = max(MIN_RETURN_SECONDS, HONOURED_SHARE * left)
        if rate > 0.0:
            place = ahead + self.count_ahead(priority, account) + 1
            seconds = (place - 0.5 + self._source.random()) / rate
        else:
            seconds = self._source.uniform(*NO_RATE_SECONDS)
        if seconds > longest:
            seconds = longest * self._source.uniform(0.5, 1.0)
        seconds = max(MIN_RETURN_SECONDS, seconds)
        if len(self._returns) < MAX_RETURNS:
            early_until = now + EARLY_SHARE * seconds
            item = _Return(now + seconds, early_until, priority, account)
            self._returns[key] = item
        return seconds

    def count_ahead(self, priority: int, account: AccountId) -> int:
        """Return the announced returns that go before one more of an account.

        Those of the same priority are counted as if accounts took turns.
        """
        urgent, own, others = 0, 0, 0
        accounts = set()
        for item in self._returns.values():
            if item.priority < priority:
                urgent += 1
            elif item.priority == priority and item.account == account:
                own += 1
            elif item.priority == priority:
                others += 1
                accounts.add(item.account)
        return urgent + own + min(others, (own + 1) * len(accounts))

    def take(self, key: Hashable, now: float) -> bool:
        """Record that a request has returned; return whether it comes too early.

        :param now: monotonic seconds.
        """
        item = self._returns.get(key)
        if item is None:
            return False
        if now < item.early_until:
            return True
        del self._returns[key]
        return False

    def _expire(self, now: float) -> None:
        """Forget the returns that are past; their callers came elsewhere or left."""
        self._returns = {
            key: item for key, item in self._returns.items() if item.due > now
        }
