"""A few hosts of a data centre relay and read for all; others replace lost ones."""

import random
from types import SimpleNamespace

from marigoldswitch.core.gateway_messages import LoadDigest
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.relays import (
    LEAD_TIMEOUT_SECONDS,
    READER_COUNT,
    RELAY_COUNT,
    RELAY_TIMEOUT_SECONDS,
    STANDBY_PAUSE_FACTOR,
    HostRank,
    ReaderSelection,
    choose_backoff_factor,
    choose_pause_factor,
    choose_relays,
    is_lead,
    measure_strength,
)
from marigoldswitch.gateway.ports import HostRecord
from marigoldswitch.gateway.roster import Roster

HOSTS = [HostId(f"10.1.0.{number}:80") for number in range(10, 40)]


def list_ages(own, age=0.1, **silent):
    """Return the seconds since each other host was heard."""
    return {host: silent.get(host, age) for host in HOSTS if host != own}


def test_all_hosts_choose_the_same_relays():
    chosen = {tuple(choose_relays(own, list_ages(own))) for own in HOSTS}
    assert chosen == {tuple(HOSTS[:RELAY_COUNT])}
    assert [own for own in HOSTS if is_lead(own, list_ages(own))] == [HOSTS[0]]


def test_next_host_leads_when_the_first_falls_silent():
    ages = {own: list_ages(own) for own in HOSTS}
    for known in ages.values():
        known.update({HOSTS[0]: LEAD_TIMEOUT_SECONDS} if HOSTS[0] in known else {})
    leads = [own for own in HOSTS[1:] if is_lead(own, ages[own])]
    assert leads == [HOSTS[1]]
    assert choose_relays(HOSTS[5], ages[HOSTS[5]])[0] == HOSTS[0]
    ages[HOSTS[5]][HOSTS[0]] = RELAY_TIMEOUT_SECONDS
    assert choose_relays(HOSTS[5], ages[HOSTS[5]]) == HOSTS[1 : RELAY_COUNT + 1]


def test_host_that_is_no_relay_does_not_lead_while_relays_are_silent():
    own = HOSTS[5]
    assert not is_lead(own, list_ages(own, age=RELAY_TIMEOUT_SECONDS - 0.1))


def test_isolated_host_is_its_own_lead_relay():
    ages = list_ages(HOSTS[9], age=60.0)
    assert choose_relays(HOSTS[9], ages) == [HOSTS[9]]
    assert is_lead(HOSTS[9], ages)


def test_first_hosts_by_rank_read_the_store():
    reading = set(HOSTS[:READER_COUNT])
    selections = {own: ReaderSelection() for own in HOSTS}
    for own, selection in selections.items():
        others = reading - {own}
        assert selection.must_read(own, list_ages(own), others, 0.0) == (own in reading)


def simulate_loss_of_readers(lost, hear_seconds=0.3, step=0.02):
    """Return the readers 4 s after some hosts are lost, and the most at any time."""
    alive = [host for host in HOSTS if host not in lost]
    selections = {own: ReaderSelection() for own in alive}
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
            if selections[own].must_read(own, list_ages(own), heard, now):
                began.setdefault(own, now)
            else:
                began.pop(own, None)
        most = max(most, len(began))
        now += step
    return set(began), most


def test_lost_readers_are_replaced_without_all_hosts_reading():
    reading, most = simulate_loss_of_readers(lost=HOSTS[:2])
    assert reading == set(HOSTS[2:5])
    assert most <= 9


def test_retries_of_many_hosts_cost_no_more_than_those_of_six():
    rates = [1.0 / choose_backoff_factor(own, list_ages(own)) for own in HOSTS]
    assert rates[:READER_COUNT] == [1.0] * READER_COUNT
    assert READER_COUNT <= sum(rates) <= 2 * READER_COUNT + 0.01


def test_few_hosts_all_retry_at_the_same_rate():
    own = HOSTS[2]
    assert choose_backoff_factor(own, HOSTS[:2]) == 1.0


MEGABIT = 125_000.0
STRONG = measure_strength(100 * MEGABIT)
WEAK = measure_strength(10 * MEGABIT)
HOME = DataCentre("north")
STRONG_HOSTS = [HOSTS[number] for number in (11, 17, 23)]


def get_strength(host):
    return STRONG if host in STRONG_HOSTS else WEAK


def build_roster(own, clock):
    """Return the roster of a host that knows all others from their rows."""
    strength = get_strength(own)
    roster = Roster(clock, own, HOME, random.Random(1), strength)
    for host in HOSTS:
        roster.add_peer(HostRecord(host, HOME, get_strength(host)))
    roster.has_host_list = roster.knows_members = True
    return roster


def test_hosts_on_strong_links_relay_and_read_for_those_on_weak_ones():
    """Three of thirty hosts have a link of 100 Mbit/s, the others one of 10 Mbit/s.

    Guards against ranking by address alone: a relay on a weak link forwarded 213 KB in
    a tenth of a second, and its own probes queued behind them.
    """
    clock = SimpleNamespace(monotonic=lambda: 10.0)
    rosters = {own: build_roster(own, clock) for own in HOSTS}
    assert all(item.relays == STRONG_HOSTS for item in rosters.values())
    assert [own for own in HOSTS if rosters[own].is_lead] == STRONG_HOSTS[:1]
    assert [own for own in HOSTS if rosters[own].must_read()] == STRONG_HOSTS


def test_host_learns_the_strength_of_another_from_its_digest():
    clock = SimpleNamespace(monotonic=lambda: 10.0)
    roster = Roster(clock, HOSTS[0], HOME, random.Random(1), WEAK)
    for host in HOSTS[1:]:
        roster.add_peer(HostRecord(host, ""))
        digest = LoadDigest(HOME, 0, 0, strength=get_strength(host))
        roster.update_from_digest(host, digest)
    assert roster.relays == STRONG_HOSTS


def test_next_strong_host_takes_the_place_of_a_lost_one_then_weak_ones_by_address():
    ranks = {host: HostRank(-get_strength(host), host) for host in HOSTS}
    own = HOSTS[5]
    ages = {ranks[host]: age for host, age in list_ages(own).items()}
    for lost in STRONG_HOSTS[:2]:
        ages[ranks[lost]] = RELAY_TIMEOUT_SECONDS
    relays = choose_relays(ranks[own], ages)
    assert [item.host for item in relays] == [STRONG_HOSTS[2], HOSTS[0], HOSTS[1]]


def test_similar_links_have_the_same_strength():
    assert measure_strength(100 * MEGABIT) == measure_strength(110 * MEGABIT)
    assert WEAK < STRONG
    assert measure_strength(0.0) == 0


def test_only_the_first_reader_of_a_large_data_centre_reads_all_changes():
    ranks = [HostRank(0, HostId(name)) for name in ("a", "b", "c")]
    assert choose_pause_factor(ranks[0], ranks[1:]) == 1.0
    assert choose_pause_factor(ranks[1], [ranks[0], ranks[2]]) == STANDBY_PAUSE_FACTOR
    assert choose_pause_factor(ranks[1], [ranks[2]]) == 1.0
    assert choose_pause_factor(ranks[2], []) == 1.0
