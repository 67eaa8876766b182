"""Who is served first while capacity is short, and when the others are told to return.

Guards against urgent requests that starve in a burst, an account that takes the most of
the capacity, and callers that return together or too early.
"""

import random

import pytest

from marigoldswitch.core.admitting.acceptance import AcceptancePace
from marigoldswitch.core.admitting.elsewhere import (
    MAX_REPORTED,
    WaitCount,
    WaitingElsewhere,
    WaitKey,
    limit_groups,
    must_hold_back,
)
from marigoldswitch.core.admitting.engine_refusals import EngineRefusals
from marigoldswitch.core.admitting.feasibility import (
    Feasibility,
    UnknownForecast,
    assess,
)
from marigoldswitch.core.admitting.floors import ServedShares
from marigoldswitch.core.admitting.requesters import (
    FirstArrivals,
    Requester,
    find_shared_services,
)
from marigoldswitch.core.admitting.reserve import (
    UrgentArrivals,
    compute_reserved_tokens,
)
from marigoldswitch.core.admitting.returns import ReturnSchedule
from marigoldswitch.core.admitting.shared_queue import SharedQueue
from marigoldswitch.core.host_counts import GroupCounts
from marigoldswitch.core.ids import AccountId, DataCentre, HostId, ServiceName, TargetId
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.routes import (
    ClientLimits,
    Route,
    RoutedAccount,
    RouteKind,
    RoutingTable,
    ServiceSpec,
    WeightedService,
)
from marigoldswitch.tests.test_planner import MODEL

SERVICE = ServiceName("model")
HOME, FAR = DataCentre("north"), DataCentre("south")
ROUTE = Route("r", "h", "/", RouteKind.STREAM, 20.0, 1, ())


def build_requester(account="a", first=0.0, **fields):
    return Requester(AccountId(account), first, first, 1.0, 20.0, **fields)


def add(queue, account="a", priority=1, tokens=100, first=0.0, is_new=True, **fields):
    requester = build_requester(account, first, **fields)
    ticket = queue.make_ticket(priority, tokens, frozenset(), is_new, requester, 1.0)
    queue.add(ticket, 0.0)
    return ticket


def serve_all(queue):
    order = []
    while len(queue):
        ticket = queue.list_candidates(0.0)[0]
        queue.note_admitted(ticket, 0.0)
        order.append(ticket)
    return order


def test_begun_and_resumed_streams_go_first_then_urgent_requests():
    queue = SharedQueue()
    late, urgent = add(queue, priority=2), add(queue, priority=0)
    resumed = add(queue, priority=2, is_resumed=True)
    begun = add(queue, priority=2, is_new=False)
    assert serve_all(queue) == [resumed, begun, urgent, late]


def test_accounts_take_turns_by_size_of_their_work():
    queue = SharedQueue()
    large = [add(queue, "large", tokens=400) for _ in range(4)]
    small = [add(queue, "small", tokens=100) for _ in range(8)]
    order = serve_all(queue)
    assert order.index(large[1]) > order.index(small[3])
    assert order.index(large[1]) < order.index(small[6])


def test_returning_caller_goes_before_later_ones_of_its_account():
    queue = SharedQueue()
    tickets = [add(queue, first=5.0), add(queue, first=6.0), add(queue, first=4.5)]
    assert serve_all(queue) == [tickets[2], tickets[0], tickets[1]]


def test_time_that_a_caller_has_left_tells_its_first_arrival():
    arrivals = FirstArrivals()
    assert arrivals.find(ROUTE, AccountId("a"), 20.0, 100.0) == 100.0
    assert arrivals.find(ROUTE, AccountId("a"), 18.5, 100.0) == 98.5
    # A short deadline of its own is no sign of an earlier arrival.
    assert arrivals.find(ROUTE, AccountId("a"), 3.0, 100.0) == 100.0
    assert FirstArrivals().find(ROUTE, AccountId("a"), 15.0, 100.0) == 100.0


def test_account_whose_callers_state_less_time_passes_for_no_retry():
    arrivals = FirstArrivals()
    assert arrivals.find(ROUTE, AccountId("a"), 20.0, 100.0) == 100.0
    assert arrivals.find(ROUTE, AccountId("b"), 18.0, 100.0) == 100.0
    assert arrivals.find(ROUTE, AccountId("b"), 17.0, 101.0) == 100.0


def test_wait_of_a_new_account_does_not_count_the_backlog_of_a_busy_one():
    queue = SharedQueue()
    for _ in range(20):
        add(queue, "busy")
    one = queue.make_ticket(1, 1, frozenset(), True, build_requester("one"), 1.0)
    busy = queue.make_ticket(1, 1, frozenset(), True, build_requester("busy"), 1.0)
    assert queue.count_ahead(one) == 1
    assert queue.count_ahead(busy) == 20


def test_no_group_is_served_less_than_a_quarter_as_often_as_all():
    shares, served = ServedShares(), {0: 0, 2: 0}
    rng = random.Random(1)
    for step in range(4000):
        now = step / 40.0
        for priority in (0, 2):
            shares.note_arrived((priority,), now)
        chosen = 2 if shares.is_below_floor(2, now) else 0
        if rng.random() < 0.8:
            shares.note_served((chosen,), now)
            served[chosen] += 1
    overall = sum(served.values()) / 8000
    assert served[2] / 4000 >= 0.25 * overall
    assert served[2] / 4000 <= 0.4 * overall


def test_returns_are_spread_to_the_rate_at_which_capacity_becomes_free():
    schedule = ReturnSchedule(random.Random(1))
    delays = [
        schedule.book(number, 1, AccountId("a"), 2, 10.0, 20.0, 0.0)
        for number in range(30)
    ]
    assert 0.2 < delays[0] < 0.4
    for number, delay in enumerate(delays):
        assert delay == pytest.approx((number + 3) / 10.0, abs=0.06)
    urgent = schedule.book("u", 0, AccountId("b"), 0, 10.0, 20.0, 0.0)
    other = schedule.book("o", 1, AccountId("c"), 0, 10.0, 20.0, 0.0)
    assert urgent < 0.2 and other < 0.4


def test_no_caller_is_told_more_than_it_honours():
    schedule = ReturnSchedule(random.Random(1))
    delays = [
        schedule.book(number, 1, AccountId("a"), 0, 1.0, 6.0, 0.0)
        for number in range(50)
    ]
    assert max(delays) <= 2.0
    assert len({round(item, 3) for item in delays}) > 40


def test_caller_that_returns_too_early_is_recognised():
    schedule = ReturnSchedule(random.Random(1))
    delay = schedule.book("k", 1, AccountId("a"), 8, 10.0, 20.0, 0.0)
    assert schedule.take("k", delay / 2.0)
    assert not schedule.take("k", delay)
    assert not schedule.take("k", delay)


def test_engine_that_refused_is_avoided_until_its_load_falls():
    refusals, target = EngineRefusals(), TargetId("e")
    refusals.note(target, Usage(5, 500, 2), 1.0)
    assert refusals.list_unchanged(lambda _: Usage(6, 600, 3), 1.1) == {target}
    assert not refusals.list_unchanged(lambda _: Usage(5, 400, 2), 1.1)
    assert not refusals.list_unchanged(lambda _: Usage(5, 500, 2), 1.6)


def test_request_without_a_chance_by_the_forecast_is_hopeless():
    requester = build_requester(answer_tokens=300)
    assert assess(requester, UnknownForecast(), 0.0) is Feasibility.ON_TIME
    assert assess(requester, UnknownForecast(1.5, 0.1), 0.0) is Feasibility.LATE
    assert assess(requester, UnknownForecast(0.1, 0.3), 0.0) is Feasibility.HOPELESS
    assert assess(requester, UnknownForecast(), 21.0) is Feasibility.HOPELESS


def test_nothing_is_reserved_where_no_urgent_request_arrives():
    arrivals = UrgentArrivals()
    for step in range(50):
        arrivals.note(1, step / 10.0)
    assert arrivals.get_rate_above(1, 5.0) == 0.0
    assert arrivals.get_rate_above(2, 5.0) == pytest.approx(10.0, rel=0.1)
    assert arrivals.get_rate_above(2, 20.0) == 0.0
    assert compute_reserved_tokens(0.0, 4.0, 900.0, 10.0) == 0
    assert 500 < compute_reserved_tokens(66.0, 4.0, 900.0, 12.0) < 2000


def build_elsewhere(own=()):
    return WaitingElsewhere(HOME, lambda: 3, lambda now: dict(own))


URGENT = WaitKey(SERVICE, 0, AccountId("a"))


def test_host_holds_back_for_more_urgent_requests_for_half_of_its_wait_only():
    waiting = {URGENT: WaitCount(1, 100, 0.1)}
    assert must_hold_back(SERVICE, 1, waiting, 0.2)
    assert not must_hold_back(SERVICE, 1, waiting, 0.5)
    assert not must_hold_back(SERVICE, 0, waiting, 0.0)
    assert not must_hold_back(ServiceName("other"), 1, waiting, 0.0)


def test_reports_of_what_waits_expire_and_do_not_count_own_requests():
    one = {URGENT: WaitCount(1, 100, 0.1)}
    elsewhere = build_elsewhere(one.items())
    assert elsewhere.get(0.0) == {}
    elsewhere.set_peer_counts(HostId("h"), HOME, one, 0.0)
    assert elsewhere.get(1.9)[URGENT].requests == 1
    assert elsewhere.get(2.1) == {}
    elsewhere.report_own(3.0)
    elsewhere.set_centre_counts(HOME, GroupCounts(3, one), 3.0)
    assert elsewhere.get(3.1) == {}
    elsewhere.set_centre_counts(FAR, GroupCounts(3, one), 3.0)
    assert elsewhere.get(3.1)[URGENT].requests == 1
    elsewhere.set_centre_counts(FAR, GroupCounts(3, {}), 3.2)
    assert elsewhere.get(3.2) == {}


def test_report_stays_small_with_many_accounts():
    counts = {
        WaitKey(SERVICE, number % 2, AccountId(f"a{number}")): WaitCount(number, 1, 0.1)
        for number in range(1, 60)
    }
    limited = limit_groups(counts)
    assert len(limited) <= MAX_REPORTED
    assert sum(item.requests for item in limited.values()) == sum(range(1, 60))


def test_admissions_are_spaced_out_while_engines_refuse():
    pace = AcceptancePace()
    pace.note_refused(0.0)
    assert not pace.is_blocked(0.0)
    for _ in range(6):
        pace.note_refused(0.0)
    assert pace.is_blocked(0.1) and not pace.is_blocked(0.2)
    pace.note_accepted()
    pace.note_admitted(0.3)
    assert not pace.is_blocked(0.3)


def build_table(priorities, accounts):
    services = (WeightedService(SERVICE, 1.0),)
    routes = tuple(
        Route(f"r{item}", "h", f"/{item}", RouteKind.STREAM, 20.0, item, services)
        for item in priorities
    )
    names = {f"k{item}": RoutedAccount(AccountId(item)) for item in accounts}
    specs = {
        SERVICE: ServiceSpec(SERVICE, model=MODEL),
        ServiceName("desk"): ServiceSpec(ServiceName("desk")),
    }
    return RoutingTable(1, routes, specs, names, ClientLimits())


def test_only_model_services_whose_routes_differ_in_priority_are_shared():
    assert find_shared_services(build_table([1], ["a"])) == set()
    assert find_shared_services(build_table([1, 1], ["a", "b"])) == set()
    assert find_shared_services(build_table([0, 1], [])) == {SERVICE}
