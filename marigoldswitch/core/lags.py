"""How far a host is behind its peers, and when it reads the store by itself.

Most hosts get the configuration and the targets from peers. Any message between two
hosts may be lost, for as long as a connection is broken in one direction. A host
therefore trusts its peers only while they bring what they announce, and while a peer
that knows the store's current state is heard. Otherwise it reads the store by itself.
This answers the loss of messages and relays that stall; a random part keeps hosts that
fall behind together from reading at the same moment.
"""

from collections import deque

from msgspec import Struct, field

MISSING_SHARE = 0.45
"""Time for which announced state may be missing before a host reads the store, as a
share of the time in which it must be in force. It leaves a peer time to send a large
copy to a whole data centre, and the host time for its own read."""
UNCONFIRMED_SHARE = 0.5
"""The same for the time since a host that knows the current state was last heard."""
MIN_UNCONFIRMED_SECONDS = 0.9
"""Lower bound of that time. Such hosts send a digest every 0.5 to 1 s."""
MIN_BOUND_SECONDS = 0.5
"""Lower bound of the time in which state must be in force, for what is derived from
it."""
SPREAD_SHARE = 0.1
"""Longest additional wait of a host, as a share of the same time."""
READ_ON_SECONDS = 10.0
"""Time for which a host goes on reading the store after state had been missing, so that
the next change is not late as well."""
START_SECONDS = 1.5
"""Additional time for peers to be heard after the start of a process, before it reads
the store by itself."""
FORGET_SECONDS = 10.0
"""Time after which a number that no peer has repeated is forgotten: a restored store
may no longer have it."""
MAX_ANNOUNCEMENTS = 32
"""Announced numbers that are remembered; the oldest one that is missing decides."""

READ_RATE_SHARE = 0.5
"""Share of the store's reads for hosts that are left behind; the readers need some."""
READS_PER_HOST = 2
"""Kinds of state that a host reads."""


class Patience(Struct, frozen=True):
    """How long a host waits for its peers, in seconds.

    :param missing: for state that was announced.
    :param unconfirmed: for a peer that knows the current state.
    """

    missing: float
    unconfirmed: float


def choose_patience(bound: float, jitter: float) -> Patience:
    """Return how long a host waits for its peers.

    :param bound: seconds in which new state must be in force.
    :param jitter: random number from 0 to 1, different in each host.
    """
    bound = max(bound, MIN_BOUND_SECONDS)
    extra = SPREAD_SHARE * bound * jitter
    return Patience(
        MISSING_SHARE * bound + extra,
        max(MIN_UNCONFIRMED_SECONDS, UNCONFIRMED_SHARE * bound) + extra,
    )


def choose_retry_factor(hosts: int, reads_per_second: float, pause: float) -> float:
    """Return the factor by which hosts that are left behind wait longer for a retry.

    If all fall behind at once, their retries stay within the store's rate.

    :param hosts: number of all hosts.
    :param reads_per_second: reads that the store allows all hosts together.
    :param pause: shortest pause before a retry, in seconds.
    """
    rate = READS_PER_HOST * hosts / pause
    return max(1.0, rate / (READ_RATE_SHARE * reads_per_second))


class Lag(Struct):
    """Announcements of one kind of state that this host lacks, by increasing number.

    A number is a configuration's version or the store's revision of the targets.

    :ivar confirmed_at: when a peer that knows the current state last announced nothing
        newer, in monotonic seconds; ``None`` before the first check.
    :ivar reads_until: until when this host goes on reading the store.
    """

    patience: Patience = Patience(0.9, 1.0)
    confirmed_at: float | None = None
    reads_until: float = float("-inf")
    _announced_at: float = float("-inf")
    """When a number that this host lacks was last announced."""
    _announced: deque[tuple[int, float]] = field(default_factory=deque)

    def note_announced(
        self, number: int, known: int, is_current: bool, now: float
    ) -> None:
        """Record the number that a peer has.

        :param known: the number that this host has.
        :param is_current: the peer knows the current state of the store.
        """
        if number <= known:
            if is_current:
                self.confirm(now)
            return
        if now - self._announced_at >= FORGET_SECONDS:
            self._announced.clear()
        self._announced_at = now
        newest = self._announced[-1][0] if self._announced else known
        if number > newest and len(self._announced) < MAX_ANNOUNCEMENTS:
            self._announced.append((number, now))

    def confirm(self, now: float) -> None:
        """Record that this host knew the current state at some time.

        Digests that were held up arrive after newer ones.
        """
        if self.confirmed_at is None or now > self.confirmed_at:
            self.confirmed_at = now

    def measure_missing(self, known: int, now: float) -> float | None:
        """Return for how long announced state is missing; ``None`` if none is.

        :param known: the number that this host has.
        """
        while self._announced and self._announced[0][0] <= known:
            self._announced.popleft()
        if now - self._announced_at >= FORGET_SECONDS:
            self._announced.clear()
        return now - self._announced[0][1] if self._announced else None

    def is_missing(self, known: int, now: float) -> bool:
        """Return whether announced state has been missing for too long.

        :param known: the number that this host has.
        """
        missing = self.measure_missing(known, now)
        return missing is not None and missing >= self.patience.missing

    def must_read(self, known: int, now: float) -> bool:
        """Return whether this host must read the store by itself.

        :param known: the number that this host has.
        """
        if self.is_missing(known, now):
            self.reads_until = now + READ_ON_SECONDS
        if self.confirmed_at is None:
            self.confirmed_at = now + START_SECONDS
        is_unconfirmed = now - self.confirmed_at >= self.patience.unconfirmed
        return is_unconfirmed or now < self.reads_until
