"""Attribution of crashes to parts of prompts, without a network."""

from hypothesis import given, strategies as st

from marigoldswitch.core.crashes import CrashLedger
from marigoldswitch.core.interruptions import (
    InterruptedRequest,
    PromptPart,
    TargetRun,
)
from marigoldswitch.core.part_crashes import (
    FIRST_TRIAL_SECONDS,
    FIRST_TRIAL_SECONDS_ALONE,
    HOLD_MIN_ROUNDS_PROVEN,
    MAX_ANSWERED_PARTS,
    MAX_SUSPECTS,
    MAX_SUSPECTS_PER_ACCOUNT,
    TRIAL_FACTOR,
    PartLedger,
)


def parts(*names):
    return tuple(PromptPart("model", name) for name in names)


def request(number, names, sent_at, account="a"):
    return InterruptedRequest(f"{number:08}", account, False, parts(*names), sent_at)


def crash_in_rounds(ledger, count, names, start=10.0, account="a", others=0):
    """Note one crash a second, each of another request, sent half a second before.

    :param others: requests without these parts that are answered before each crash.
    """
    for number in range(count):
        at = start + number
        for _ in range(others):
            ledger.note_answered("model", (), at - 0.2)
        run = TargetRun(f"engine-{start}-{number}", 1)
        ledger.note_crash(run, [request(number, names, at - 0.5, account)], at)
    return start + count


def is_held(ledger, *names, account="a", now=30.0):
    return ledger.find_hold(parts(*names), account, now) is not None


def test_part_at_three_crashes_of_different_requests_is_put_on_hold():
    ledger = PartLedger()
    crash_in_rounds(ledger, 2, ["bad"])
    assert not is_held(ledger, "bad")
    crash_in_rounds(ledger, 3, ["bad"])
    hold = ledger.find_hold(parts("x", "bad"), "a", 20.0)
    assert hold.part.id == "bad"
    assert len(hold.ends) >= 3


def test_part_of_one_request_that_crashes_targets_is_not_put_on_hold():
    ledger = PartLedger()
    for number in range(5):
        run = TargetRun(f"engine-{number}", 1)
        ledger.note_crash(run, [request(0, ["only"], number - 0.5)], float(number))
    assert not is_held(ledger, "only")


def test_parts_of_requests_on_targets_lost_together_are_not_put_on_hold():
    ledger = PartLedger()
    for number in range(30):
        cut = [request(number, ["common", f"rare-{number % 5}"], 9.0)]
        ledger.note_crash(TargetRun(f"engine-{number}", 1), cut, 10.0 + number / 1000)
    assert not ledger.held_parts


def test_part_that_is_answered_between_crashes_is_not_put_on_hold():
    ledger = PartLedger()
    for number in range(20):
        crash_in_rounds(ledger, 1, ["common"], start=10.0 + number)
        ledger.note_answered("model", parts("common"), 10.5 + number)
    assert not ledger.held_parts
    assert ledger.is_empty


def test_proven_parts_of_crashing_requests_are_spared():
    ledger = PartLedger()
    ledger.note_answered("model", parts("common"), 5.0)
    crash_in_rounds(ledger, HOLD_MIN_ROUNDS_PROVEN + 2, ["common", "bad"])
    assert is_held(ledger, "common", "bad")
    assert not is_held(ledger, "common")


def test_part_that_begins_to_crash_targets_after_good_answers_is_put_on_hold():
    ledger = PartLedger()
    ledger.note_answered("model", parts("common"), 5.0)
    crash_in_rounds(ledger, HOLD_MIN_ROUNDS_PROVEN, ["common"], others=2)
    assert is_held(ledger, "common")


def test_part_is_spared_while_targets_crash_on_all_requests():
    ledger = PartLedger()
    ledger.note_answered("model", parts("common"), 5.0)
    crash_in_rounds(ledger, 30, ["common"])
    assert not is_held(ledger, "common")


def test_unproven_parts_that_always_come_together_are_held_off_only_together():
    ledger = PartLedger()
    crash_in_rounds(ledger, 3, ["first", "bad"])
    assert is_held(ledger, "first", "bad")
    assert not is_held(ledger, "first")
    assert not is_held(ledger, "bad")
    crash_in_rounds(ledger, 1, ["other", "bad"], start=20.0)
    assert is_held(ledger, "bad")
    assert not is_held(ledger, "first", "other")


def test_part_of_streams_that_follow_crashing_requests_is_not_put_on_hold():
    ledger = PartLedger()
    ledger.note_answered("model", parts("common"), 5.0)
    for number in range(6):
        at = 10.0 + number
        cut = [request(number, ["common", "bad"], at - 0.5)]
        if number % 2:
            cut.append(request(100 + number, ["common", "rare"], at - 0.5))
        ledger.note_crash(TargetRun(f"engine-{number}", 1), cut, at)
    assert is_held(ledger, "bad")
    assert not is_held(ledger, "common", "rare")


def test_part_is_released_when_a_request_with_it_is_answered():
    ledger = PartLedger()
    end = crash_in_rounds(ledger, 3, ["part"])
    assert is_held(ledger, "part")
    assert ledger.note_answered("model", parts("part"), end)
    assert not is_held(ledger, "part")


def test_one_account_alone_has_no_requests_of_others_held_off():
    ledger = PartLedger()
    crash_in_rounds(ledger, 6, ["part"], account="loud")
    assert is_held(ledger, "part", account="loud")
    assert not is_held(ledger, "part", account="quiet")
    crash_in_rounds(ledger, 1, ["part"], start=20.0, account="quiet")
    assert is_held(ledger, "part", account="third")


def test_second_account_at_a_crash_is_told_however_many_crashes_there_are():
    ledger, other = PartLedger(), PartLedger()
    crash_in_rounds(ledger, 20, ["part"], account="loud")
    crash_in_rounds(ledger, 1, ["part"], start=40.0, account="quiet")
    other.merge(ledger.list_notes(50.0), 50.0)
    assert is_held(other, "part", account="third", now=50.0)


def test_host_without_notes_learns_a_hold_after_a_flood():
    """Of twenty crashes all but the last two are of requests sent before the first."""
    ledger, other = PartLedger(), PartLedger()
    for number in range(20):
        sent_at = 9.0 if number < 18 else 10.5
        cut = [request(number, ["bad"], sent_at)]
        ledger.note_crash(TargetRun(f"e-{number}", 1), cut, 10.0 + number / 20)
    assert is_held(ledger, "bad")
    other.merge(ledger.list_notes(12.0), 12.0)
    assert is_held(other, "bad")


def test_account_with_random_parts_evicts_no_part_on_hold_of_others():
    ledger = PartLedger()
    crash_in_rounds(ledger, 3, ["bad"], account="quiet")
    for number in range(3 * MAX_SUSPECTS):
        run = TargetRun(f"other-{number}", 1)
        cut = [request(number, [f"random-{number}"], 20.0, "loud")]
        ledger.note_crash(run, cut, 21.0)
    assert is_held(ledger, "bad", account="quiet")
    assert len(ledger._suspects) <= MAX_SUSPECTS_PER_ACCOUNT + 1


def test_answered_parts_are_bounded():
    ledger = PartLedger()
    for number in range(MAX_ANSWERED_PARTS + 10):
        ledger.note_answered("model", parts(f"{number}"), float(number))
    assert len(ledger._answered_at) == MAX_ANSWERED_PARTS


def test_requests_interrupted_beside_those_with_a_part_on_hold_are_not_blamed():
    part_ledger = PartLedger()
    ledger = CrashLedger(part_ledger.explains)
    for number in range(3):
        at = 10.0 + number
        cut = [
            request(number, ["bad"], at - 0.5),
            InterruptedRequest("follower", "a", False, parts("common"), at - 0.5),
        ]
        run = TargetRun(f"engine-{number}", 1)
        part_ledger.note_crash(run, cut, at)
        ledger.note_crash(run, cut, at)
    assert is_held(part_ledger, "bad")
    assert ledger.find_hold("follower", 20.0) is None


def test_answer_at_another_host_refutes_its_note_and_is_told():
    ledger, other = PartLedger(), PartLedger()
    crash_in_rounds(ledger, 2, ["part"])
    other.note_answered("model", parts("part"), 13.0)
    other.merge(ledger.take_unsent_notes(14.0), 14.0)
    assert other.is_empty
    ledger.merge(other.take_unsent_notes(14.0), 14.0)
    assert ledger.is_empty


def list_trials(ledger, part, start, end):
    """Return when requests run on trial until ``end``, if each crashes its target."""
    trials, now, born = [], start, 100
    while now < end:
        if ledger.may_try(part, now):
            trials.append(now)
            cut = [request(born, [part.id], now)]
            ledger.note_crash(TargetRun("engine", born), cut, now + 0.1)
            born += 1
        now += 1.0
    return trials


def test_part_on_hold_gets_three_trials_in_a_day():
    ledger = PartLedger()
    crash_in_rounds(ledger, 3, ["bad"], others=2)
    assert is_held(ledger, "bad")
    trials = list_trials(ledger, *parts("bad"), 12.0, 86_400.0)
    assert len(trials) == 3
    assert trials[0] - 12.0 >= FIRST_TRIAL_SECONDS
    assert trials[1] - trials[0] >= TRIAL_FACTOR * FIRST_TRIAL_SECONDS


def test_part_is_tried_soon_if_nothing_else_was_answered_either():
    ledger = PartLedger()
    end = crash_in_rounds(ledger, 3, ["part"])
    trials = list_trials(ledger, *parts("part"), end, end + 100.0)
    assert len(trials) == 2
    assert trials[0] - end <= FIRST_TRIAL_SECONDS_ALONE + 1.0


def test_trial_is_not_repeated_while_its_end_is_unknown():
    ledger = PartLedger()
    end = crash_in_rounds(ledger, 40, ["bad"], others=2) + FIRST_TRIAL_SECONDS
    (part,) = parts("bad")
    assert ledger.may_try(part, end)
    assert not any(ledger.may_try(part, end + second) for second in range(1, 500))


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sets(st.sampled_from("vwxyz"), min_size=1, max_size=3),
        st.sampled_from("ab"),
        st.integers(0, 4),
    ),
    max_size=30,
)


@given(EVENTS)
def test_hosts_that_exchange_notes_agree_on_holds(events):
    hosts = [PartLedger() for _ in range(3)]
    now = 0.0
    for number, (host, names, account, kind) in enumerate(events):
        now += 1.0
        if kind == 0:
            hosts[host].note_answered("model", parts(*sorted(names)), now)
        else:
            cut = [request(number % 4, sorted(names), now - 0.4, account)]
            hosts[host].note_crash(TargetRun(f"engine-{number}", 1), cut, now)
    for _ in range(6):
        for ledger in hosts:
            notes = ledger.take_unsent_notes(now)
            for other in hosts:
                if other is not ledger:
                    other.merge(notes, now)
    assert len({ledger.checksum for ledger in hosts}) == 1
    for name in "vwxyz":
        for account in "ab":
            held = {is_held(item, name, account=account) for item in hosts}
            assert len(held) == 1
