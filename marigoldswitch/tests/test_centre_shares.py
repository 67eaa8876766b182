"""Requests move to other data centres as a share that follows lasting differences."""

import random

from marigoldswitch.core.centre_shares import (
    COMPARE_SECONDS,
    FORGET_SECONDS,
    FULL_LOSS,
    MAX_MOVED,
    MOVE_MARGIN,
    RISE_PER_SECOND,
    CentreShares,
    LatencyNeeds,
    rate_chain,
)
from marigoldswitch.core.forecasts import ChainForecast
from marigoldswitch.core.ids import DataCentre

HOME, FAR, FARTHER = (DataCentre(name) for name in ("a", "b", "c"))
KNOWN = {FAR, FARTHER}


def run(shares, seconds, rate_home, rate_far, start=0.0):
    """Rate chains for some seconds; return the share after each comparison."""
    seen, now = [], start
    while now < start + seconds:
        shares.note(HOME, rate_home(now), now)
        centre = shares.choose_compared(KNOWN, now)
        if centre is not None:
            shares.compare(centre, rate_far(now), now)
        seen.append(sum(shares.shares.values()))
        now += 0.25
    return seen


def test_share_grows_slowly_and_stays_within_its_bound():
    shares = CentreShares(HOME, random.Random(1))
    seen = run(shares, 60.0, lambda _: FULL_LOSS, lambda _: 0.03)
    at_five = seen[20]
    assert 0.0 < at_five <= 2 * 5.0 * RISE_PER_SECOND
    assert seen[-1] == MAX_MOVED


def test_alike_data_centres_exchange_no_requests():
    shares, source = CentreShares(HOME, random.Random(1)), random.Random(2)

    def rate(_):
        return 0.05 + 0.6 * MOVE_MARGIN * source.random()

    assert max(run(shares, 120.0, rate, rate)) == 0.0


def test_requests_return_when_home_serves_as_well():
    shares = CentreShares(HOME, random.Random(1))
    run(shares, 20.0, lambda _: 0.2, lambda _: 0.03)
    seen = run(shares, 40.0, lambda _: 0.03, lambda _: 0.03, start=20.0)
    assert seen[0] > 0.1
    assert seen[-1] == 0.0


def test_burst_of_seconds_moves_few_requests():
    shares = CentreShares(HOME, random.Random(1))
    seen = run(shares, 30.0, lambda now: 0.2 if 10 < now < 13 else 0.03, lambda _: 0.03)
    assert max(seen) < 0.25


def test_data_centre_without_known_loads_gets_no_requests():
    shares = CentreShares(HOME, random.Random(1))
    run(shares, 20.0, lambda _: 0.2, lambda _: 0.03)
    assert {shares.choose(set()) for _ in range(200)} == {HOME}
    drawn = [shares.choose({FAR}) for _ in range(200)]
    assert set(drawn) == {HOME, FAR}
    shares.choose_compared({FAR}, 20.0 + FORGET_SECONDS + COMPARE_SECONDS)
    assert FARTHER not in shares.shares


def test_host_without_information_starts_at_home():
    shares = CentreShares(HOME, random.Random(1))
    assert shares.choose(KNOWN) == HOME
    assert shares.compare(FAR, 0.0, 5.0) is None
    assert shares.choose(KNOWN) == HOME


def test_rating_counts_lateness_stages_and_fill():
    needs, quick = LatencyNeeds(0.5, 0.25), ChainForecast(0.05, 0.02)
    idle = rate_chain(quick, 5, 0.2, needs)
    assert rate_chain(quick, 12, 0.2, needs) - idle > MOVE_MARGIN
    assert rate_chain(quick, 5, 0.85, needs) - idle > MOVE_MARGIN
    assert rate_chain(ChainForecast(0.4, 0.02), 5, 0.2, needs) - idle > MOVE_MARGIN
    assert rate_chain(ChainForecast(0.08, 0.03), 5, 0.3, needs) - idle < 0.005
