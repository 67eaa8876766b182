"""Attribution of target crashes to requests, without a network."""

from hypothesis import given, strategies as st

from marigoldswitch.core.crashes import (
    EXPIRY_SECONDS,
    HOLD_SECONDS,
    MAX_PER_ACCOUNT,
    CrashLedger,
)
from marigoldswitch.core.interruptions import InterruptedRequest, TargetRun


def target_run(number, born=1):
    return TargetRun(f"engine-{number}", born)


def unanswered(name, account="a"):
    return InterruptedRequest(name, account, had_event=False)


def partly_answered(name, account="a"):
    return InterruptedRequest(name, account, had_event=True)


def is_held(ledger, name, now=100.0):
    return ledger.find_hold(name, now) is not None


def test_one_crash_puts_no_request_on_hold():
    ledger = CrashLedger()
    ledger.note_crash(target_run(1), [unanswered("bad")], 1.0)
    assert not is_held(ledger, "bad")


def test_only_request_at_two_crashes_is_put_on_hold_and_the_hold_lists_them():
    ledger = CrashLedger()
    for number in (1, 2):
        ledger.note_crash(target_run(number), [unanswered("bad")], float(number))
    hold = ledger.find_hold("bad", 5.0)
    assert hold.ends == (("engine-1", 4.0), ("engine-2", 3.0))
    assert hold.seconds_left == HOLD_SECONDS - 3.0


def test_same_crash_counts_once():
    ledger = CrashLedger()
    for second in range(5):
        ledger.note_crash(target_run(1), [unanswered("bad")], float(second))
    assert not is_held(ledger, "bad")


def test_crash_after_a_restart_under_the_same_name_is_a_separate_crash():
    ledger = CrashLedger()
    for born in (1, 2):
        ledger.note_crash(target_run(1, born), [unanswered("bad")], float(born))
    assert is_held(ledger, "bad")


def test_streams_rerouted_along_with_a_crashing_request_are_not_put_on_hold():
    """One request crashes three engines in turn, and all streams are rerouted and
    restarted on the same engines. They must not share its blame."""
    ledger = CrashLedger()
    names = [f"stream-{number}" for number in range(20)]
    ledger.note_crash(
        target_run(1), [unanswered("bad"), *map(partly_answered, names)], 1.0
    )
    for number in (2, 3):
        cut = [unanswered("bad"), *map(unanswered, names)]
        ledger.note_crash(target_run(number), cut, float(number))
    assert is_held(ledger, "bad")
    assert not any(is_held(ledger, name) for name in names)


def test_requests_on_three_engines_lost_with_a_rack_are_not_put_on_hold():
    ledger = CrashLedger()
    names = [f"stream-{number}" for number in range(20)]
    for number in range(3):
        cut = [
            partly_answered(name) if number % 2 else unanswered(name) for name in names
        ]
        ledger.note_crash(target_run(number), cut, float(number))
    assert not any(is_held(ledger, name) for name in names)


def test_request_that_crashes_engines_after_some_events_is_put_on_hold_eventually():
    ledger = CrashLedger()
    for number in range(4):
        others = [partly_answered(f"stream-{number}-{other}") for other in range(20)]
        ledger.note_crash(
            target_run(number), [partly_answered("late"), *others], float(number)
        )
    assert is_held(ledger, "late")
    assert not any(is_held(ledger, f"stream-{number}-3") for number in range(4))


def test_streams_at_four_crashes_that_other_requests_explain_are_not_put_on_hold():
    ledger = CrashLedger()
    for number in range(4):
        cut = [unanswered(f"bad-{number // 2}"), partly_answered("stream")]
        ledger.note_crash(target_run(number), cut, float(number))
    assert is_held(ledger, "bad-0")
    assert not is_held(ledger, "stream")


def test_completed_request_stays_cleared_when_other_hosts_send_older_crashes():
    ledger, other = CrashLedger(), CrashLedger()
    ledger.note_crash(target_run(1), [unanswered("hot")], 1.0)
    other.merge(ledger.list_notes(1.0), 1.0)
    assert other.note_completed("hot", 2.0)
    other.merge(ledger.list_notes(3.0), 3.0)
    other.note_crash(target_run(2), [unanswered("hot")], 4.0)
    assert not is_held(other, "hot")


def test_request_completed_on_another_host_between_two_crashes_is_not_put_on_hold():
    hosts = [CrashLedger(), CrashLedger()]
    for number, ledger in enumerate(hosts):
        ledger.note_crash(target_run(number), [unanswered("hot")], float(2 * number))
        for other in hosts:
            other.merge(ledger.list_notes(2.0 * number), 2.0 * number)
        hosts[1 - number].note_completed("hot", 2.0 * number + 1.0)
    assert not any(is_held(ledger, "hot") for ledger in hosts)


def test_crashes_seen_by_two_hosts_add_up():
    hosts = [CrashLedger(), CrashLedger()]
    for number, ledger in enumerate(hosts):
        ledger.note_crash(target_run(number), [unanswered("bad")], float(number))
    for ledger, other in (hosts, hosts[::-1]):
        other.merge(ledger.list_notes(2.0), 2.0)
    assert all(is_held(ledger, "bad") for ledger in hosts)


def test_crash_that_two_hosts_blame_on_two_requests_counts_half_for_each():
    """Each of two hosts had a request on the target; either may have crashed it."""
    hosts = [CrashLedger(), CrashLedger()]
    for number, ledger in enumerate(hosts):
        ledger.note_crash(target_run(1), [unanswered(f"r{number}")], 1.0)
    for ledger, other in (hosts, hosts[::-1]):
        other.merge(ledger.list_notes(1.0), 1.0)
    hosts[0].note_crash(target_run(2), [unanswered("r0")], 2.0)
    assert is_held(hosts[0], "r0")
    assert not is_held(hosts[0], "r1")


def test_holds_and_crashes_expire():
    ledger = CrashLedger()
    for number in (1, 2):
        ledger.note_crash(
            target_run(number),
            [unanswered("bad"), partly_answered("other")],
            float(number),
        )
    ledger.expire(EXPIRY_SECONDS + 3.0)
    assert not ledger.has_record("other")
    assert is_held(ledger, "bad", EXPIRY_SECONDS + 3.0)
    assert not is_held(ledger, "bad", HOLD_SECONDS + 3.0)
    ledger.expire(HOLD_SECONDS + 3.0)
    assert len(ledger) == 0
    assert ledger.checksum == 0


def test_account_with_many_requests_evicts_only_its_own_records():
    ledger = CrashLedger()
    for number in (1, 2):
        ledger.note_crash(target_run(number), [unanswered("bad", "quiet")], 1.0)
    for number in range(10 * MAX_PER_ACCOUNT):
        ledger.note_crash(
            target_run(10 + number), [unanswered(f"new-{number}", "loud")], 2.0
        )
    assert is_held(ledger, "bad")
    assert len(ledger) <= MAX_PER_ACCOUNT + 1


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
def test_hosts_that_exchange_notes_agree_on_holds(events):
    hosts = [CrashLedger() for _ in range(3)]
    now = 0.0
    for host, number, names, is_end in events:
        now += 1.0
        if is_end:
            hosts[host].note_crash(
                target_run(number), [unanswered(name) for name in names], now
            )
        else:
            hosts[host].note_completed(names[0], now)
    for _ in range(3):
        for ledger in hosts:
            for other in hosts:
                other.merge(ledger.list_notes(now), now)
    held = [[is_held(ledger, name, now) for name in "vwxyz"] for ledger in hosts]
    assert held[0] == held[1] == held[2]
    sums = {ledger.checksum for ledger in hosts}
    assert len(sums) == 1


@given(EVENTS)
def test_no_request_is_put_on_hold_for_fewer_than_two_crashes(events):
    ledger = CrashLedger()
    seen = {}
    for now, (_, number, names, is_end) in enumerate(events):
        for name in names:
            if is_end:
                seen.setdefault(name, set()).add(number)
        if is_end:
            ledger.note_crash(
                target_run(number), [unanswered(name) for name in names], float(now)
            )
    for name in "vwxyz":
        assert not is_held(ledger, name, 50.0) or len(seen[name]) >= 2
