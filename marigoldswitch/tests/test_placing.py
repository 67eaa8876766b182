"""Requests are placed over the data centres by demand and engines, by stale loads."""

import statistics

import pytest

from marigoldswitch.core.suspects import Finding
from marigoldswitch.tests.uneven_play import (
    CENTRES,
    DEMAND,
    ENGINES,
    NEEDS,
    SERVICE,
    Play,
)

HOME = CENTRES[2]


def scale(factor, **centres):
    return {name: factor * centres.get(name, rate) for name, rate in DEMAND.items()}


def test_worst_data_centre_is_served_about_as_well_as_the_best():
    play = Play(hosts=22, demand=scale(0.8), seed=1)
    play.run(15)
    in_time = play.get_centre_shares()
    assert min(in_time.values()) >= 0.9 * max(in_time.values())
    assert min(in_time.values()) >= 0.99


def test_demand_at_one_data_centre_is_shared_with_idle_ones():
    demand = {"a": 15.0, "b": 20.0, "c": 90.0}
    play, standing = Play(demand=demand), Play(demand=demand, placed=False)
    for item in (play, standing):
        item.run(20)
    assert play.get_centre_shares()[HOME] >= 0.97
    assert play.get_centre_shares()[HOME] >= standing.get_centre_shares()[HOME]


def test_even_data_centres_keep_their_requests():
    kinds = {"a100s": 3, "l4": 16, "t4": 16}
    play = Play(engines=dict.fromkeys("abc", kinds), demand=dict.fromkeys("abc", 35.0))
    play.run(20)
    assert max(play.get_centre_shares("moved").values()) < 0.03


def test_most_urgent_requests_are_not_behind_less_urgent_ones():
    play = Play(demand=scale(1.05))
    play.run(15)
    in_time = {
        rank: sum(o.in_time for (_, p), o in play.outcomes.items() if p == rank)
        / sum(o.sent for (_, p), o in play.outcomes.items() if p == rank)
        for rank in NEEDS
    }
    assert in_time[0] >= max(in_time.values()) - 0.01


def test_urgent_requests_get_the_fast_engines_first():
    play = Play(demand=scale(0.8))
    play.run(15)
    stages = {
        rank: sum(o.stages for (_, p), o in play.outcomes.items() if p == rank)
        / sum(o.sent for (_, p), o in play.outcomes.items() if p == rank)
        for rank in NEEDS
    }
    assert stages[0] < min(stages[1], stages[2]) - 0.3


def test_hosts_that_see_one_idle_data_centre_dont_flood_it():
    engines = {"a": ENGINES["a"], "b": ENGINES["c"], "c": ENGINES["c"]}
    play = Play(hosts=22, engines=engines, demand={"a": 2.0, "b": 55.0, "c": 55.0})
    play.run(25)
    refused = play.get_centre_shares("refused")
    assert max(refused.values()) < 0.02
    settled = [sum(item.values()) for item in play.shares[-8:]]
    changes = [abs(b - a) for a, b in zip(settled, settled[1:], strict=False)]
    assert max(changes) < 0.15, "shares flap"


def test_one_fast_engine_is_not_overfilled():
    kinds = {"a100s": 1, "l4": 16, "t4": 17}
    play = Play(engines={"a": kinds, "b": kinds, "c": ENGINES["c"]}, demand=scale(0.7))
    play.run(15)
    assert sum(play.get_centre_shares("refused").values()) < 0.01


@pytest.mark.parametrize("lost", [0.3, 0.6])
def test_lost_reports_leave_requests_served(lost):
    play = Play(demand=scale(0.7), lost_reports=lost)
    play.run(15)
    assert min(play.get_centre_shares().values()) >= 0.97


def test_losses_interrupt_fewer_streams_than_chains_at_home():
    got = {}
    for placed in (True, False):
        interrupted = []
        for seed in (1, 2, 3):
            play = Play(demand=scale(0.8), placed=placed, seed=seed)
            play.run(10)
            here = [item.id for item in play.targets if item.data_centre == HOME]
            for _ in range(3):
                play.lose(set(play.rng.sample(here, 2)))
                play.run(2)
                here = [item.id for item in play.targets if item.data_centre == HOME]
            interrupted.append(play.get_centre_shares("interrupted")[HOME])
        got[placed] = statistics.mean(interrupted)
    assert got[True] < 0.95 * got[False]


def test_data_centre_whose_loads_are_unknown_gets_no_requests():
    play = Play(demand=scale(0.8))
    play.run(12)
    assert play.get_share(HOME) > 0.05
    play.cut = frozenset(CENTRES)
    play.run(2.2)
    play.outcomes.clear()
    play.run(3)
    by_choice = play.get_centre_shares("moved")
    assert by_choice["a"] == 0.0
    assert min(play.get_centre_shares().values()) >= 0.9


def test_service_with_similar_engines_is_served_as_before():
    engines = {name: {"l4": 16, "t4": 16} for name in "abc"}
    play = Play(engines=engines, demand=scale(0.4))
    planner = play.hosts[HOME][0].planner
    assert planner.placing.is_active(play.service)
    similar = play.similar_service
    assert not planner.placing.is_active(similar)
    assert planner.find(similar, 900) is not None
    assert planner.placing.list_shares() == {}


def test_resumed_streams_without_a_longest_pause_stay_at_home():
    play = Play(demand=scale(0.8))
    play.run(12)
    host = play.hosts[HOME][0]
    # Those with one go where engines can process their contexts soonest.
    host.planner.prefill.limits_pauses = lambda _: False
    host.planner.placing._shares[SERVICE].shares = {CENTRES[0]: 1.0}
    chain = host.planner.find(play.service, 900, is_new=False)
    assert play.by_name[chain.stages[0].target].data_centre == HOME
    chain = host.planner.find(play.service, 900)
    assert play.by_name[chain.stages[0].target].data_centre == CENTRES[0]
    for target in play.targets:
        if target.data_centre == CENTRES[0]:
            host.directory.suspects.note(
                target.id, Finding.DEAD, play.clock.monotonic()
            )
    chain = host.planner.find(play.service, 900)
    assert play.by_name[chain.stages[0].target].data_centre == HOME
