"""Keeps all hosts together within a bound, whatever they hear of each other.

Each host owns an equal part of the bound and may use it without asking. One that needs
more borrows what others leave: hosts lend to the relay of their data centre, relays
lend to each other, and a relay lends to its hosts. A lender deducts what it lends from
its own part, until the borrower says that it is not in use or, if nothing is heard of
it, for as long as it may be used and what was used then may count.
So the hosts' limits never add up to more than the bound, in partitions, after kills,
with relays that stand still, and however late messages are. This is the escrow method
for counters with a bound, with loans that expire.

A process that starts owns nothing at first: the one before it may have used or lent its
whole part. It may borrow meanwhile.
"""

import math
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from msgspec import Struct, field

from marigoldswitch.core.gateway_messages import LoanNote, LoanNotes
from marigoldswitch.core.ids import HostId, ServiceName
from marigoldswitch.core.loan_shares import PARTS, share_out, share_out_whole
from marigoldswitch.core.peaks import RecentPeak

LOAN_SECONDS = 1.5
"""Time for which a loan may be used unless it is confirmed, several times the interval
of messages. It counts from the borrower's request, so that no delay extends it."""
CONFIRM_SECONDS = 0.35
"""Interval at which loans that have not changed are confirmed."""
MAX_LOAN_HOPS = 3
"""Times that a part is lent on: by its host, that host's relay and another relay."""
FORGET_SECONDS = 120.0
"""Time after which a silent host is forgotten, longer than a loan counts."""
MILLISECONDS_PER_SECOND = 1000
DIGITS = 6
"""Digits to which sums are rounded, so that parts which make up a whole use are one."""

_OWN = HostId("")
"""Stands for a relay itself among the hosts that share what it has borrowed."""


class Account(Protocol):
    """What a host uses of one bound.

    :ivar window: seconds for which a use counts.
    """

    window: float

    def get_own_part(self, now: float) -> float:
        """Return this host's equal part of the bound."""
        ...

    def count_used(self, now: float) -> int:
        """Return what was used within the window."""
        ...

    def estimate_demand(self, now: float) -> float:
        """Return what the host would have used of the window soon; 0 if it is idle."""
        ...


class Neighbours(Struct, frozen=True):
    """The hosts with which a host exchanges loans.

    :param near: the relay of the data centre or, for the relay, the other hosts.
    :param far: for a relay, the relays of other data centres.
    """

    near: Collection[HostId] = ()
    far: Collection[HostId] = ()
    is_relay: bool = False


class _Partner(Struct):
    """State of the exchange with one other host.

    :ivar heard_at: when its last message arrived.
    :ivar sent_at: its own time of that message in milliseconds, to be returned to it.
    :ivar borrowed: what it lends, by service, until ``borrowed_until``.
    :ivar asked: what it wants to be lent in all, by service.
    :ivar lent: what it was lent lately, by service.
    :ivar waiting: services of loans of which it waits to hear.
    """

    near: bool = True
    is_relay: bool = False
    heard_at: float = float("-inf")
    process: int = 0
    sent_at: int = 0
    borrowed: Mapping[ServiceName, float] = field(default_factory=dict)
    borrowed_until: float = 0.0
    asked: Mapping[ServiceName, float] = field(default_factory=dict)
    lent: dict[ServiceName, RecentPeak] = field(default_factory=dict)
    waiting: frozenset[ServiceName] = frozenset()
    told: tuple[LoanNote, ...] = ()
    """What it was last told, at ``told_at``."""
    told_at: float = float("-inf")

    def get_borrowed(self, service: ServiceName, now: float) -> float:
        return self.borrowed.get(service, 0.0) if now <= self.borrowed_until else 0.0

    def get_asked(self, service: ServiceName, now: float) -> float:
        is_recent = now - self.heard_at <= LOAN_SECONDS
        return self.asked.get(service, 0.0) if is_recent else 0.0


class LoanBook:
    """What this host owns, has lent and has borrowed, by service.

    :param process: random number that tells this process from an earlier one.
    :param owns_nothing_until: monotonic time until which an earlier process of this
        host may still count.
    """

    def __init__(self, process: int, owns_nothing_until: float = 0.0) -> None:
        self.accounts: dict[ServiceName, Account] = {}
        self.open_account: Callable[[ServiceName], object] = lambda _: None
        """Adds the account of a service that this host has not used yet."""
        self.process = process
        self._owns_nothing_until = owns_nothing_until
        self._partners: dict[HostId, _Partner] = {}

    def get_limit(self, service: ServiceName, now: float) -> float:
        """Return how much this host may have used within the window."""
        part = self._get_own(service, now) + self._sum_borrowed(service, now)
        return round(part - sum(self._list_lent(service, now).values()), DIGITS)

    def describe(self, service: ServiceName, now: float) -> dict[str, float]:
        """Return log fields that tell what the limit consists of."""
        return {
            "own": round(self._get_own(service, now), 1),
            "borrowed": round(self._sum_borrowed(service, now), 1),
            "lent": round(sum(self._list_lent(service, now).values()), 1),
        }

    def _get_own(self, service: ServiceName, now: float) -> float:
        if now < self._owns_nothing_until:
            return 0.0
        return self.accounts[service].get_own_part(now)

    # Messages.

    def take_notes(
        self, sender: HostId, notes: LoanNotes, near: bool, now: float
    ) -> None:
        """Adopt what another host lends and asks for.

        :param near: whether it is in this data centre.
        """
        partner = self._partners.setdefault(sender, _Partner())
        if notes.process == partner.process and notes.sent_at < partner.sent_at:
            return
        is_answer = notes.echo_process == self.process
        asked_at = notes.echo_sent_at / MILLISECONDS_PER_SECOND
        for item in notes.notes:
            if item.service not in self.accounts:
                self.open_account(item.service)
            if is_answer and item.is_covered and item.service in partner.lent:
                partner.lent[item.service].drop_before(asked_at)
        partner.near, partner.is_relay = near, notes.is_relay
        partner.heard_at = now
        partner.process, partner.sent_at = notes.process, notes.sent_at
        partner.waiting = frozenset(
            item.service for item in notes.notes if item.is_open
        )
        partner.asked = {item.service: item.asked / PARTS for item in notes.notes}
        partner.borrowed = {item.service: item.lent / PARTS for item in notes.notes}
        partner.borrowed_until = asked_at + LOAN_SECONDS if is_answer else 0.0

    def write_notes(
        self, neighbours: Neighbours, now: float
    ) -> dict[HostId, LoanNotes]:
        """Return the messages that are due now, by recipient.

        Hosts without any shortage send none.
        """
        asked: dict[HostId, dict[ServiceName, float]] = {}
        lent: dict[HostId, dict[ServiceName, float]] = {}
        for service in self.accounts:
            for host, amount in self._lend(service, neighbours, now).items():
                lent.setdefault(host, {})[service] = amount
            for host, amount in self._ask(service, neighbours, now).items():
                asked.setdefault(host, {})[service] = amount
        self._partners = {
            host: item
            for host, item in self._partners.items()
            if item.told or now - item.heard_at < FORGET_SECONDS
        }
        told = {host for host, item in self._partners.items() if item.told}
        open_loans = self._list_open(now)
        waiting = {host for host, item in self._partners.items() if item.waiting}
        messages = {}
        for host in {*asked, *lent, *told, *open_loans, *waiting}:
            partner = self._partners.setdefault(host, _Partner())
            notes = self._encode_notes(
                asked.get(host, {}),
                lent.get(host, {}),
                open_loans.get(host, frozenset()),
                partner.waiting,
                now,
            )
            if notes == partner.told and now - partner.told_at < CONFIRM_SECONDS:
                continue
            partner.told, partner.told_at = notes, now
            messages[host] = LoanNotes(
                self.process,
                int(now * MILLISECONDS_PER_SECOND),
                partner.process,
                partner.sent_at,
                neighbours.is_relay,
                notes,
            )
        return messages

    def _list_open(self, now: float) -> dict[HostId, set[ServiceName]]:
        """Return the services of loans that are not known to be given back yet."""
        found: dict[HostId, set[ServiceName]] = {}
        for service in self.accounts:
            for host, amount in self._list_lent(service, now).items():
                if amount > 0.0:
                    found.setdefault(host, set()).add(service)
        return found

    def _encode_notes(
        self,
        asked: Mapping[ServiceName, float],
        lent: Mapping[ServiceName, float],
        open_loans: Collection[ServiceName],
        waiting: Collection[ServiceName],
        now: float,
    ) -> tuple[LoanNote, ...]:
        return tuple(
            LoanNote(
                name,
                math.ceil(round(asked.get(name, 0.0) * PARTS, DIGITS)),
                round(lent.get(name, 0.0) * PARTS),
                self.accounts[name].count_used(now) <= self.get_limit(name, now),
                name in open_loans,
            )
            for name in sorted({*asked, *lent, *open_loans, *waiting})
        )

    def _lend(
        self, service: ServiceName, neighbours: Neighbours, now: float
    ) -> dict[HostId, float]:
        """Lend what other hosts ask for; return what each is lent in all.

        A relay lends on what it has borrowed; to other relays only what it has borrowed
        in its data centre.
        """
        near, far = self._list_asked(service, neighbours, now)
        if not near and not far:
            return {}
        peaks = self._list_lent(service, now)
        used, demand = self._measure_use(service, neighbours, now)
        own, lent = self._get_own(service, now), dict[HostId, float]()
        # A fraction of a use is of use only to a host that gets the rest of it.
        kept = max(used, min(demand, float(math.floor(own))))
        for asked in (near, far):
            total = own
            if neighbours.is_relay:
                lenders = None if asked is near else True
                total += self._sum_borrowed(service, now, near=lenders)
            free = total - kept - sum(peaks.values())
            held = {host: peaks.get(host, 0.0) for host in asked}
            if neighbours.is_relay and asked is near:
                # The relay competes for loans with its hosts.
                wanted = {**asked, _OWN: max(0.0, demand - kept)}
                shares = share_out_whole(wanted, {**held, _OWN: 0.0}, free)
                kept += shares.pop(_OWN)
            else:
                shares = share_out(asked, held, free)
            for host, amount in shares.items():
                others = sum(peaks.values()) - peaks.get(host, 0.0)
                amount = max(0.0, min(amount, total - used - others))
                lent[host] = math.floor(round(amount * PARTS, DIGITS)) / PARTS
                peaks[host] = max(lent[host], peaks.get(host, 0.0))
                self._note_lent(host, service, lent[host], now)
        return {host: amount for host, amount in lent.items() if amount > 0.0}

    def _measure_use(
        self, service: ServiceName, neighbours: Neighbours, now: float
    ) -> tuple[float, float]:
        """Return what this host has used of what it may lend, and what it wants."""
        account = self.accounts[service]
        used = float(account.count_used(now))
        if not neighbours.is_relay:
            # It lends only what it owns, and has used what it has borrowed first.
            used = max(0.0, used - self._sum_borrowed(service, now))
        return used, account.estimate_demand(now)

    def _ask(
        self, service: ServiceName, neighbours: Neighbours, now: float
    ) -> dict[HostId, float]:
        """Return what each neighbour is asked to lend in all."""
        peaks = self._list_lent(service, now)
        demand = self.accounts[service].estimate_demand(now)
        needed = demand + sum(peaks.values()) - self._get_own(service, now)
        if not neighbours.is_relay:
            return self._split(service, neighbours.near, needed, now)
        for_near, for_far = (
            sum(
                max(0.0, amount - peaks.get(host, 0.0))
                for host, amount in asked.items()
            )
            for asked in self._list_asked(service, neighbours, now)
        )
        needed += for_near
        from_near = self._sum_borrowed(service, now, near=True)
        from_far = self._sum_borrowed(service, now, near=False)
        return self._split(
            service, neighbours.near, needed + for_far - from_far, now
        ) | self._split(service, neighbours.far, needed - from_near, now)

    def _split(
        self,
        service: ServiceName,
        hosts: Collection[HostId],
        needed: float,
        now: float,
    ) -> dict[HostId, float]:
        """Split a need among hosts: what each lends already, and a part of the rest."""
        if needed <= 0.0 or not hosts:
            return {}
        held = dict.fromkeys(hosts, 0.0)
        for host in hosts:
            if host in self._partners:
                held[host] = self._partners[host].get_borrowed(service, now)
        change = (needed - sum(held.values())) / len(held)
        asked = {host: amount + change for host, amount in held.items()}
        return {host: amount for host, amount in asked.items() if amount > 0.0}

    def _list_asked(
        self, service: ServiceName, neighbours: Neighbours, now: float
    ) -> tuple[dict[HostId, float], dict[HostId, float]]:
        """Return what hosts of this data centre, and of others, ask for.

        Relays of one data centre lend each other nothing, which would add a hop.
        """
        near: dict[HostId, float] = {}
        far: dict[HostId, float] = {}
        for host, item in self._partners.items():
            amount = item.get_asked(service, now)
            adds_hop = item.near and item.is_relay and neighbours.is_relay
            if amount > 0.0 and not adds_hop:
                (near if item.near else far)[host] = amount
        return near, far

    def _sum_borrowed(
        self, service: ServiceName, now: float, near: bool | None = None
    ) -> float:
        """Return what other hosts lend to this one.

        :param near: count only hosts of this data centre, or only the others.
        """
        return sum(
            item.get_borrowed(service, now)
            for item in self._partners.values()
            if near is None or item.near == near
        )

    def _list_lent(self, service: ServiceName, now: float) -> dict[HostId, float]:
        """Return what is deducted for loans, by borrower."""
        since = now - get_loan_memory(self.accounts[service].window)
        return {
            host: item.lent[service].get(since)
            for host, item in self._partners.items()
            if service in item.lent
        }

    def _note_lent(
        self, host: HostId, service: ServiceName, amount: float, now: float
    ) -> None:
        lent = self._partners[host].lent
        if service not in lent:
            lent[service] = RecentPeak()
        lent[service].note(amount, now)


def get_loan_memory(window: float) -> float:
    """Return the seconds for which a loan counts as lent after it was last confirmed.

    :param window: seconds for which a use counts.
    """
    return window + MAX_LOAN_HOPS * LOAN_SECONDS
