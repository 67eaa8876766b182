"""Quotas of client accounts over all hosts, split by demand, without a shared store.

Load it answers: a client account that sends more than it has bought, through a balancer
that spreads it unevenly over the hosts. With a fixed part for each host it is refused
where its requests happen to arrive while its quota lies idle elsewhere; with the whole
quota at each host it gets as many times too much.

Each account has one keeper among the live hosts (rendezvous hash), which holds the
account's one token bucket. The other hosts draw tokens from it ahead of demand and
admit from what they have drawn, so admission never waits. A host without tokens admits
a few on debt, and the keeper takes the debt off at the next draw: over time the error
is nil, at any moment it is at most what all hosts may owe. A host whose keeper is
silent refills its own part.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from marigoldswitch.core.catalogue import Account
from marigoldswitch.core.ids import AccountId, HostId
from marigoldswitch.core.messages import QuotaDraw, QuotaLease

DRAW_SECONDS = 5.0
"""Time between two draws of a host that has tokens left: one small message."""
URGENT_SECONDS = 0.5
"""Time between two draws of a host that has run out."""
SILENT_SECONDS = 3.0
"""Time without an answer of the keeper after which a host refills its own part."""
HORIZON_SECONDS = 6.0
"""Demand that one draw covers: the time to the next draw and a little more."""
IDLE_SECONDS = 30.0
"""Time without a request after which a host gives an account's tokens back."""
DEMAND_WEIGHT = 0.5
"""Weight of the time since the last draw in the estimate of the demand."""
MOST_RETRY_SECONDS = 60.0
ROUNDING = 1e-6


@dataclass(slots=True)
class _Purse:
    """What one host has of one account's quota.

    :param tokens: drawn and not spent; below 0 it is a debt.
    :param promised: tokens that refused callers were told to come back for.
    :param rate: tokens a second that this host can expect.
    """

    tokens: float
    refilled: float
    rate: float
    drawn: float
    used: float
    heard: float
    keeper: HostId | None = None
    promised: float = 0.0
    offered: int = 0
    demand: float = 0.0
    moved: bool = False
    asked: bool = False
    knows_keeper: bool = False


class HostQuotas:
    """Admits the requests of this host within the quotas."""

    def __init__(self) -> None:
        self._accounts: Mapping[AccountId, Account] = {}
        self._hosts = 1
        self._purses: dict[AccountId, _Purse] = {}

    def use_accounts(self, accounts: Mapping[AccountId, Account]) -> None:
        """Take the accounts of a bundle."""
        self._accounts = accounts
        gone = [name for name in self._purses if name not in accounts]
        for name in gone:
            del self._purses[name]

    def use_hosts(self, count: int) -> None:
        """Take the number of live hosts that share the quotas."""
        self._hosts = max(1, count)

    def admit(self, name: AccountId, now: float) -> float | None:
        """Take one token, if the quota allows.

        :returns: ``None`` if admitted, else the seconds after which to come back.
        """
        account = self._accounts.get(name)
        if account is None:
            return None
        purse = self._get_purse(account, now)
        self._refill(account, purse, now)
        purse.offered += 1
        purse.used = now
        credit = self._get_credit(account, purse)
        if purse.tokens - 1.0 >= -credit:
            purse.tokens -= 1.0
            return None
        missing = 1.0 - credit - purse.tokens + purse.promised
        purse.promised += 1.0
        next_draw = max(0.0, purse.drawn + URGENT_SECONDS - now)
        return min(MOST_RETRY_SECONDS, next_draw + max(0.0, missing) / purse.rate)

    def list_draws(
        self, keepers: Mapping[AccountId, HostId], now: float
    ) -> dict[HostId, list[QuotaDraw]]:
        """Return what to ask the keepers for.

        :param keepers: keeper of each account that this host has a purse of.
        """
        draws: dict[HostId, list[QuotaDraw]] = {}
        for name, purse in list(self._purses.items()):
            keeper = keepers.get(name)
            if keeper is None:
                continue
            purse.moved = purse.moved or purse.keeper not in (None, keeper)
            purse.keeper = keeper
            elapsed = now - purse.drawn
            short = purse.tokens < 1.0 and purse.offered > 0
            if elapsed < (URGENT_SECONDS if short else DRAW_SECONDS):
                continue
            draw = self._draw(self._accounts[name], purse, elapsed, now)
            draws.setdefault(keeper, []).append(draw)
            if now - purse.used >= IDLE_SECONDS and purse.tokens >= 0.0:
                del self._purses[name]
        return draws

    def list_accounts(self) -> list[AccountId]:
        """Return the accounts that this host has seen lately."""
        return list(self._purses)

    def take_lease(self, lease: QuotaLease, now: float) -> None:
        """Add what the keeper has given."""
        purse = self._purses.get(lease.account)
        if purse is None:
            return
        self._refill(self._accounts[lease.account], purse, now)
        purse.tokens += max(0.0, lease.tokens)
        purse.rate = max(lease.rate, self._accounts[lease.account].rate * 1e-3)
        purse.heard = now
        purse.asked = False
        purse.moved = False
        purse.knows_keeper = True

    def _draw(
        self, account: Account, purse: _Purse, elapsed: float, now: float
    ) -> QuotaDraw:
        """Ask for what the demand needs, and at least for an even part of the burst."""
        recent = purse.offered / elapsed
        purse.demand += DEMAND_WEIGHT * (recent - purse.demand)
        part = self._get_part(account.burst)
        wanted = max(part, purse.demand * HORIZON_SECONDS)
        if now - purse.used >= IDLE_SECONDS:
            wanted = purse.demand = 0.0
        if not purse.asked:
            purse.asked = True
            purse.heard = now
        purse.offered = 0
        purse.drawn = now
        return QuotaDraw(account.id, purse.tokens, wanted, purse.demand, purse.moved)

    def _get_purse(self, account: Account, now: float) -> _Purse:
        purse = self._purses.get(account.id)
        if purse is None:
            rate = account.rate / self._hosts
            purse = self._purses[account.id] = _Purse(
                0.0, now, rate, drawn=now - URGENT_SECONDS, used=now, heard=now
            )
        return purse

    def _get_credit(self, account: Account, purse: _Purse) -> float:
        """Return what a host may owe: its even part of the burst, at least one.

        Only a host that has not heard of the keeper yet may owe anything.
        """
        return 0.0 if purse.knows_keeper else self._get_part(account.burst)

    def _get_part(self, tokens: float) -> float:
        return max(1.0, tokens / self._hosts)

    def _refill(self, account: Account, purse: _Purse, now: float) -> None:
        elapsed = now - purse.refilled
        purse.refilled = now
        purse.promised = max(0.0, purse.promised - elapsed * purse.rate)
        if purse.asked and now - purse.heard >= SILENT_SECONDS:
            purse.rate = account.rate / self._hosts
            most = max(purse.tokens, self._get_part(account.burst))
            purse.tokens = min(most, purse.tokens + elapsed * purse.rate)


@dataclass(slots=True)
class _Bucket:
    """The one bucket of an account, at its keeper."""

    tokens: float
    filled: float
    demands: dict[HostId, tuple[float, float]] = field(default_factory=dict)
    """Demand of each host, and when it was told."""


class QuotaKeeper:
    """Holds the buckets of the accounts that this host keeps."""

    def __init__(self) -> None:
        self._accounts: Mapping[AccountId, Account] = {}
        self._buckets: dict[AccountId, _Bucket] = {}

    def use_accounts(self, accounts: Mapping[AccountId, Account]) -> None:
        """Take the accounts of a bundle."""
        self._accounts = accounts
        gone = [name for name in self._buckets if name not in accounts]
        for name in gone:
            del self._buckets[name]

    def take_draw(self, host: HostId, draw: QuotaDraw, now: float) -> QuotaLease | None:
        """Give a host what it needs, as far as there is, and settle what it owes.

        Under contention a host gets the part that its demand has in all demand.
        """
        account = self._accounts.get(draw.account)
        if account is None:
            return None
        bucket = self._fill(account, draw, now)
        bucket.demands[host] = (draw.demand, now)
        share = self._get_share(bucket, host, now)
        missing = min(account.burst, draw.wanted) - draw.tokens
        given = min(max(0.0, missing), bucket.tokens * share)
        if draw.wanted == 0.0:
            given = min(missing, bucket.tokens)
        bucket.tokens = min(account.burst, bucket.tokens - given)
        assert bucket.tokens >= -ROUNDING
        return QuotaLease(draw.account, given, account.rate * share)

    def _fill(self, account: Account, draw: QuotaDraw, now: float) -> _Bucket:
        bucket = self._buckets.get(account.id)
        if bucket is None:
            # Another keeper has given the burst away already.
            tokens = 0.0 if draw.moved else account.burst
            bucket = self._buckets[account.id] = _Bucket(tokens, now)
        added = (now - bucket.filled) * account.rate
        bucket.tokens = min(account.burst, bucket.tokens + added)
        bucket.filled = now
        return bucket

    def _get_share(self, bucket: _Bucket, host: HostId, now: float) -> float:
        """Return the part of a host in the demand of the last two draws of each."""
        oldest = now - 2.0 * DRAW_SECONDS
        bucket.demands = {
            name: told for name, told in bucket.demands.items() if told[1] >= oldest
        }
        total = sum(demand for demand, _ in bucket.demands.values())
        if total <= 0.0:
            return 1.0 / len(bucket.demands)
        return bucket.demands[host][0] / total
