"""Few hosts of a data centre relay and read for the many; others step in for them."""

import random
from types import SimpleNamespace

from marigoldswitch.core.gateway_messages import LoadDigest
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.relays import (
    LEAD_SECONDS,
    READERS,
    RELAY_SECONDS,
    RELAYS,
    HostRank,
    ReaderTurn,
    choose_patience,
    choose_relays,
    is_lead,
    measure_strength,
)
from marigoldswitch.gateway.ports import HostRecord
from marigoldswitch.gateway.roster import Roster

HOSTS = [HostId(f"10.1.0.{number}:80") for number in range(10, 40)]


def list_ages(own, age=0.1, **silent):
    """Return how long ago each other host was heard."""
    return {host: silent.get(host, age) for host in HOSTS if host != own}


def test_all_hosts_choose_the_same_relays():
    chosen = {tuple(choose_relays(own, list_ages(own))) for own in HOSTS}
    assert chosen == {tuple(HOSTS[:RELAYS])}
    assert [own for own in HOSTS if is_lead(own, list_ages(own))] == [HOSTS[0]]


def test_next_host_leads_when_the_first_falls_silent():
    ages = {own: list_ages(own) for own in HOSTS}
    for known in ages.values():
        known.update({HOSTS[0]: LEAD_SECONDS} if HOSTS[0] in known else {})
    leads = [own for own in HOSTS[1:] if is_lead(own, ages[own])]
    assert leads == [HOSTS[1]]
    assert choose_relays(HOSTS[5], ages[HOSTS[5]])[0] == HOSTS[0]
    ages[HOSTS[5]][HOSTS[0]] = RELAY_SECONDS
    assert choose_relays(HOSTS[5], ages[HOSTS[5]]) == HOSTS[1 : RELAYS + 1]


def test_host_that_does_not_relay_does_not_lead_however_silent_the_relays_are():
    own = HOSTS[5]
    assert not is_lead(own, list_ages(own, age=RELAY_SECONDS - 0.1))


def test_host_that_hears_nobody_relays_for_itself():
    ages = list_ages(HOSTS[9], age=60.0)
    assert choose_relays(HOSTS[9], ages) == [HOSTS[9]]
    assert is_lead(HOSTS[9], ages)


def test_readers_are_the_first_that_the_store_answers():
    reading = set(HOSTS[:READERS])
    turns = {own: ReaderTurn() for own in HOSTS}
    for own, turn in turns.items():
        others = reading - {own}
        assert turn.must_read(own, list_ages(own), others, 0.0) == (own in reading)


def play_loss_of_readers(lost, hear_seconds=0.3, step=0.02):
    """Return who reads at the end, and the most that did, after readers are lost."""
    alive = [host for host in HOSTS if host not in lost]
    turns = {own: ReaderTurn() for own in alive}
    began: dict[HostId, float] = {}
    most = 0
    now = 0.0
    while now < 4.0:
        for own in alive:
            heard = {
                host
                for host, at in began.items()
                if host != own and now - at >= hear_seconds
            }
            if turns[own].must_read(own, list_ages(own), heard, now):
                began.setdefault(own, now)
            else:
                began.pop(own, None)
        most = max(most, len(began))
        now += step
    return set(began), most


def test_lost_readers_are_replaced_by_the_next_without_all_stepping_in():
    reading, most = play_loss_of_readers(lost=HOSTS[:2])
    assert reading == set(HOSTS[2:5])
    assert most <= 9


def test_refused_tries_of_many_hosts_cost_as_much_as_those_of_six():
    rates = [1.0 / choose_patience(own, list_ages(own)) for own in HOSTS]
    assert rates[:READERS] == [1.0] * READERS
    assert READERS <= sum(rates) <= 2 * READERS + 0.01


def test_few_hosts_all_try_as_often():
    own = HOSTS[2]
    assert choose_patience(own, HOSTS[:2]) == 1.0


MEGABIT = 125_000.0
STRONG = measure_strength(100 * MEGABIT)
WEAK = measure_strength(10 * MEGABIT)
HOME = DataCentre("north")
STRONG_HOSTS = [HOSTS[number] for number in (11, 17, 23)]


def get_strength(host):
    return STRONG if host in STRONG_HOSTS else WEAK


def list_hosts(own, clock):
    """Return the roster of a host that has read the rows of all others."""
    strength = get_strength(own)
    roster = Roster(clock, own, HOME, random.Random(1), strength)
    for host in HOSTS:
        roster.meet(HostRecord(host, HOME, get_strength(host)))
    roster.is_listed = True
    return roster


def test_hosts_on_strong_links_relay_and_read_for_those_on_weak_ones():
    """Three of thirty hosts have a link of 100 Mbit/s, the others one of 10.

    Chosen by address, a relay on a weak link passed 213 KB on in a tenth of a second,
    and its own probes waited behind them.
    """
    clock = SimpleNamespace(monotonic=lambda: 10.0)
    rosters = {own: list_hosts(own, clock) for own in HOSTS}
    assert all(item.relays == STRONG_HOSTS for item in rosters.values())
    assert [own for own in HOSTS if rosters[own].is_lead] == STRONG_HOSTS[:1]
    assert [own for own in HOSTS if rosters[own].must_read()] == STRONG_HOSTS


def test_host_learns_how_strong_another_is_when_it_hears_of_it():
    clock = SimpleNamespace(monotonic=lambda: 10.0)
    roster = Roster(clock, HOSTS[0], HOME, random.Random(1), WEAK)
    for host in HOSTS[1:]:
        roster.meet(HostRecord(host, ""))
        digest = LoadDigest(HOME, 0, 0, strength=get_strength(host))
        roster.hear(host, digest)
    assert roster.relays == STRONG_HOSTS


def test_next_strong_host_takes_the_place_of_a_lost_one_then_weak_ones_by_address():
    ranks = {host: HostRank(-get_strength(host), host) for host in HOSTS}
    own = HOSTS[5]
    ages = {ranks[host]: age for host, age in list_ages(own).items()}
    for lost in STRONG_HOSTS[:2]:
        ages[ranks[lost]] = RELAY_SECONDS
    relays = choose_relays(ranks[own], ages)
    assert [item.host for item in relays] == [STRONG_HOSTS[2], HOSTS[0], HOSTS[1]]


def test_links_that_are_alike_count_the_same():
    assert measure_strength(100 * MEGABIT) == measure_strength(110 * MEGABIT)
    assert WEAK < STRONG
    assert measure_strength(0.0) == 0
