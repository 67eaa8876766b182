"""Who is to blame where targets end, without a network."""

from hypothesis import given, strategies as st

from marigoldswitch.core.crashes import (
    END_SECONDS,
    HOLD_SECONDS,
    MOST_OF_ACCOUNT,
    CrashLedger,
    CutRequest,
    TargetStart,
)


def start(number, born=1):
    return TargetStart(f"engine-{number}", born)


def fresh(name, account="a"):
    return CutRequest(name, account, had_event=False)


def served(name, account="a"):
    return CutRequest(name, account, had_event=True)


def is_held(ledger, name, now=100.0):
    return ledger.find_hold(name, now) is not None


def test_one_end_holds_nobody_off():
    ledger = CrashLedger()
    ledger.note_end(start(1), [fresh("bad")], 1.0)
    assert not is_held(ledger, "bad")


def test_request_alone_at_two_ends_is_held_off_and_says_why():
    ledger = CrashLedger()
    for number in (1, 2):
        ledger.note_end(start(number), [fresh("bad")], float(number))
    hold = ledger.find_hold("bad", 5.0)
    assert hold.ends == (("engine-1", 4.0), ("engine-2", 3.0))
    assert hold.left == HOLD_SECONDS - 3.0


def test_same_end_counts_once():
    ledger = CrashLedger()
    for second in range(5):
        ledger.note_end(start(1), [fresh("bad")], float(second))
    assert not is_held(ledger, "bad")


def test_later_start_under_the_same_name_ends_by_itself():
    ledger = CrashLedger()
    for born in (1, 2):
        ledger.note_end(start(1, born), [fresh("bad")], float(born))
    assert is_held(ledger, "bad")


def test_streams_that_follow_a_request_from_end_to_end_are_not_held_off_for_it():
    """One request ends three engines; all streams go the same way, begun anew each
    time, as in the incident."""
    ledger = CrashLedger()
    names = [f"stream-{number}" for number in range(20)]
    ledger.note_end(start(1), [fresh("bad"), *map(served, names)], 1.0)
    for number in (2, 3):
        cut = [fresh("bad"), *map(fresh, names)]
        ledger.note_end(start(number), cut, float(number))
    assert is_held(ledger, "bad")
    assert not any(is_held(ledger, name) for name in names)


def test_requests_that_see_three_engines_of_a_rack_end_are_not_held_off():
    ledger = CrashLedger()
    names = [f"stream-{number}" for number in range(20)]
    for number in range(3):
        cut = [served(name) if number % 2 else fresh(name) for name in names]
        ledger.note_end(start(number), cut, float(number))
    assert not any(is_held(ledger, name) for name in names)


def test_request_that_ends_engines_after_some_events_is_held_off_in_the_end():
    ledger = CrashLedger()
    for number in range(4):
        others = [served(f"stream-{number}-{other}") for other in range(20)]
        ledger.note_end(start(number), [served("late"), *others], float(number))
    assert is_held(ledger, "late")
    assert not any(is_held(ledger, f"stream-{number}-3") for number in range(4))


def test_streams_at_four_ends_that_others_explain_are_not_held_off():
    ledger = CrashLedger()
    for number in range(4):
        cut = [fresh(f"bad-{number // 2}"), served("stream")]
        ledger.note_end(start(number), cut, float(number))
    assert is_held(ledger, "bad-0")
    assert not is_held(ledger, "stream")


def test_request_that_ran_to_its_end_is_cleared_whatever_others_still_tell():
    ledger, other = CrashLedger(), CrashLedger()
    ledger.note_end(start(1), [fresh("hot")], 1.0)
    other.merge(ledger.list_notes(1.0), 1.0)
    assert other.note_served("hot", 2.0)
    other.merge(ledger.list_notes(3.0), 3.0)
    other.note_end(start(2), [fresh("hot")], 4.0)
    assert not is_held(other, "hot")


def test_request_that_is_shared_and_ends_well_between_two_ends_is_not_held_off():
    hosts = [CrashLedger(), CrashLedger()]
    for number, ledger in enumerate(hosts):
        ledger.note_end(start(number), [fresh("hot")], float(2 * number))
        for other in hosts:
            other.merge(ledger.list_notes(2.0 * number), 2.0 * number)
        hosts[1 - number].note_served("hot", 2.0 * number + 1.0)
    assert not any(is_held(ledger, "hot") for ledger in hosts)


def test_ends_seen_by_two_hosts_add_up():
    hosts = [CrashLedger(), CrashLedger()]
    for number, ledger in enumerate(hosts):
        ledger.note_end(start(number), [fresh("bad")], float(number))
    for ledger, other in (hosts, hosts[::-1]):
        other.merge(ledger.list_notes(2.0), 2.0)
    assert all(is_held(ledger, "bad") for ledger in hosts)


def test_end_that_two_hosts_blame_on_two_requests_counts_half_for_each():
    """Two hosts had a request at both targets; which of the two ended them is open."""
    hosts = [CrashLedger(), CrashLedger()]
    for number, ledger in enumerate(hosts):
        ledger.note_end(start(1), [fresh(f"r{number}")], 1.0)
    for ledger, other in (hosts, hosts[::-1]):
        other.merge(ledger.list_notes(1.0), 1.0)
    hosts[0].note_end(start(2), [fresh("r0")], 2.0)
    assert is_held(hosts[0], "r0")
    assert not is_held(hosts[0], "r1")


def test_hold_and_suspicion_end():
    ledger = CrashLedger()
    for number in (1, 2):
        ledger.note_end(start(number), [fresh("bad"), served("other")], float(number))
    ledger.expire(END_SECONDS + 3.0)
    assert not ledger.knows("other")
    assert is_held(ledger, "bad", END_SECONDS + 3.0)
    assert not is_held(ledger, "bad", HOLD_SECONDS + 3.0)
    ledger.expire(HOLD_SECONDS + 3.0)
    assert len(ledger) == 0
    assert ledger.checksum == 0


def test_account_with_ever_new_requests_pushes_out_only_its_own():
    ledger = CrashLedger()
    for number in (1, 2):
        ledger.note_end(start(number), [fresh("bad", "quiet")], 1.0)
    for number in range(10 * MOST_OF_ACCOUNT):
        ledger.note_end(start(10 + number), [fresh(f"new-{number}", "loud")], 2.0)
    assert is_held(ledger, "bad")
    assert len(ledger) <= MOST_OF_ACCOUNT + 1


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.integers(0, 5),
        st.lists(st.sampled_from("vwxyz"), min_size=1, max_size=4, unique=True),
        st.booleans(),
    ),
    max_size=20,
)


@given(EVENTS)
def test_hosts_that_have_told_each_other_all_hold_off_the_same(events):
    hosts = [CrashLedger() for _ in range(3)]
    now = 0.0
    for host, number, names, is_end in events:
        now += 1.0
        if is_end:
            hosts[host].note_end(start(number), [fresh(name) for name in names], now)
        else:
            hosts[host].note_served(names[0], now)
    for _ in range(3):
        for ledger in hosts:
            for other in hosts:
                other.merge(ledger.list_notes(now), now)
    held = [[is_held(ledger, name, now) for name in "vwxyz"] for ledger in hosts]
    assert held[0] == held[1] == held[2]
    sums = {ledger.checksum for ledger in hosts}
    assert len(sums) == 1


@given(EVENTS)
def test_nothing_is_held_off_for_less_than_two_ends(events):
    ledger = CrashLedger()
    seen = {}
    for now, (_, number, names, is_end) in enumerate(events):
        for name in names:
            if is_end:
                seen.setdefault(name, set()).add(number)
        if is_end:
            ledger.note_end(start(number), [fresh(name) for name in names], float(now))
    for name in "vwxyz":
        assert not is_held(ledger, name, 50.0) or len(seen[name]) >= 2
