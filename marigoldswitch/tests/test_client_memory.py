"""Who gives way when clients make a process hold more than it has memory for."""

from hypothesis import given, strategies

from marigoldswitch.core.client_limits import Listener, derive_limits
from marigoldswitch.core.client_memory import (
    SMALL_BYTES,
    UNREAD_SECONDS,
    ClientMemory,
    Holding,
    Use,
)

LIMIT = 1_000_000


def open_holding(memory, size, now, use=Use.RECEIVING):
    left = []
    holding = Holding(lambda: left.append(True))
    holding.use, holding.since = use, now
    memory.resize(holding, size, now)
    return holding


def test_unfinished_body_with_most_bytes_over_most_time_gives_way():
    memory = ClientMemory(LIMIT)
    quick = open_holding(memory, 500_000, now=9.9)
    slow = open_holding(memory, 300_000, now=0.0)
    open_holding(memory, 400_000, now=10.0)
    assert slow.is_leaving
    assert not quick.is_leaving


def test_small_holdings_never_count_nor_give_way():
    memory = ClientMemory(LIMIT)
    small = [open_holding(memory, SMALL_BYTES, now=0.0) for _ in range(200)]
    open_holding(memory, LIMIT + 1, now=1.0)
    assert not any(item.is_leaving for item in small)


def test_running_requests_stay_and_a_newcomer_gives_way():
    memory = ClientMemory(LIMIT)
    running = open_holding(memory, 900_000, now=0.0, use=Use.RUNNING)
    newcomer = open_holding(memory, 200_000, now=10.0)
    assert newcomer.is_leaving
    assert not running.is_leaving


def test_answer_gives_way_only_if_its_reader_has_taken_nothing_for_a_while():
    memory = ClientMemory(LIMIT)
    unread = open_holding(memory, 900_000, now=0.0, use=Use.UNREAD)
    running = open_holding(memory, 100_000, now=0.0, use=Use.RUNNING)
    assert not memory.resize(running, 200_000, UNREAD_SECONDS / 2)
    assert not unread.is_leaving
    assert memory.resize(running, 300_000, UNREAD_SECONDS)
    assert unread.is_leaving


SIZES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 9),
        strategies.integers(0, LIMIT),
        strategies.sampled_from(Use),
    ),
    max_size=60,
)


@given(SIZES)
def test_account_is_the_sum_of_what_stays(steps):
    memory, left = ClientMemory(LIMIT), set()
    holdings = [Holding(lambda number=n: left.add(number)) for n in range(10)]
    for now, (number, size, use) in enumerate(steps):
        holding = holdings[number]
        if holding.is_leaving:
            memory.release(holding, float(now))
        holding.use = use
        before = holding.size
        fits = memory.resize(holding, size, float(now))
        staying = [item.size for item in holdings if not item.is_leaving]
        assert memory.used == sum(staying)
        if fits and holding.size > before:
            assert memory.used <= LIMIT
    for holding in holdings:
        memory.release(holding, 100.0)
    assert memory.used == 0


@given(strategies.integers(264, 100_000))
def test_shares_of_the_listeners_leave_sockets_for_requests_that_are_sent(count):
    limits = derive_limits(300e6, count)
    taken = sum(limits.count_connections(item) for item in Listener)
    assert taken + limits.count_outgoing() < limits.sockets
