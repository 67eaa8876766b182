"""Decides which new connections a host turns away while its event loop is overloaded.

The load balancer may bring most new connections to one host. If the host takes them
all, they wait in its event loop together with the requests that it could serve. Callers
whose connection is closed before the request was read try another host.

While the loop is late, the rate of connections that are taken falls below what the loop
was able to take; once it is in time again, the rate rises.
"""

TARGET_LAG_SECONDS = 0.1
"""Lag of the event loop up to which all connections are taken: callers of plain
services wait for about as long."""
MIN_GROWTH = 0.9
"""Lag of a round as a fraction of the one before, from which the loop is overloaded.
After a pause of the process the lag falls, as the work that has piled up is done."""
FIRST_SHARE = 0.7
"""First limit, as a share of the rate at which the loop took connections. The rest of
its time is for those that wait in it."""
DECREASE_PER_SECOND = 0.5
"""Factor of the limit in a second in which the loop is late."""
INCREASE_PER_SECOND = 1.3
"""The same while it is in time."""
MIN_LIMIT = 20.0
"""Least limit in connections a second, so that a host recovers whatever made it late.
"""
CALM_SECONDS = 3.0
"""Time without connections turned away after which the limit ends."""
BURST_SECONDS = 0.1
"""Connections that may be taken at once, as time at the limit."""
RATE_SECONDS = 1.0
"""Time over which the rate of connections is averaged."""


class OverloadGuard:
    """Limits the new connections of a host by the lag of its event loop.

    All times are monotonic seconds.

    :ivar limit: connections taken a second; ``None`` if there is no limit.
    :ivar turned_away: connections turned away so far.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self.turned_away = 0
        self._sampled_at: float | None = None
        self._last_lag = 0.0
        self._taken = 0
        """Connections taken since the last sample."""
        self._rate = 0.0
        """Averaged rate of the connections taken, per second."""
        self._tokens = 0.0
        self._turned_away_at = float("-inf")

    def note_lag(self, lag: float, now: float) -> None:
        """Record by how much the event loop is late.

        :param lag: in seconds.
        """
        elapsed = 0.0 if self._sampled_at is None else now - self._sampled_at
        self._sampled_at = now
        if elapsed > 0.0:
            weight = min(1.0, elapsed / RATE_SECONDS)
            self._rate += weight * (self._taken / elapsed - self._rate)
        self._taken = 0
        last_lag, self._last_lag = self._last_lag, lag
        if lag <= TARGET_LAG_SECONDS:
            self._raise_limit(elapsed, now)
        elif TARGET_LAG_SECONDS < last_lag <= lag / MIN_GROWTH:
            self._lower_limit(elapsed, now)
        if self.limit is not None:
            earned = self.limit * min(elapsed, BURST_SECONDS)
            self._tokens = min(self._tokens, 1.0) + earned

    def must_turn_away(self, now: float) -> bool:
        """Return whether to turn a new connection away, and count it."""
        if self.limit is not None:
            if self._tokens < 1.0:
                self.turned_away += 1
                self._turned_away_at = now
                return True
            self._tokens -= 1.0
        self._taken += 1
        return False

    def _lower_limit(self, elapsed: float, now: float) -> None:
        if self.limit is None:
            self.limit = max(MIN_LIMIT, FIRST_SHARE * self._rate)
            self._turned_away_at = now
            self._tokens = 0.0
            return
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_PER_SECOND**elapsed)

    def _raise_limit(self, elapsed: float, now: float) -> None:
        if self.limit is None:
            return
        if now - self._turned_away_at >= CALM_SECONDS:
            self.limit = None
        else:
            self.limit *= INCREASE_PER_SECOND ** min(elapsed, RATE_SECONDS)
