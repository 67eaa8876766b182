"""Claims under any interleaving: a request runs at most once, and "not run" is true.

The machine plays several hosts that submit one key through the generators that the
daemon runs too. It decides which host takes a step next, which replies are lost, which
writes land late, which host is paused (it takes no step) or restarted, and what the
target does.
"""

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from marigoldswitch.core.claim_protocol import (
    Ended,
    Free,
    Held,
    Met,
    Question,
    Read,
    Told,
    Wait,
    Write,
    finish_claim,
    follow_claim,
    take_claim,
)
from marigoldswitch.core.claims import (
    Claim,
    ClaimState,
    OwnerState,
    decode_claim,
    encode_claim,
)
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ledger import InvariantBroken
from marigoldswitch.core.own_claims import OwnClaims
from marigoldswitch.core.ports import Put, Row, StoreFault

ROW = "6:family/pickup"
DIGEST = "body"
HOSTS = ["host-0", "host-1", "host-2"]
DEADLINE = 30.0


class FakeTable:
    """Rows with versions; a write takes effect whole or not at all."""

    def __init__(self):
        self.rows = {}

    def write(self, put: Put):
        row = self.rows.get(put.key)
        if (row.version if row else 0) != put.expect:
            return StoreFault.CONFLICT
        self.rows[put.key] = Row(put.value, put.expect + 1)
        return None


@dataclass
class FakeHost:
    name: str
    incarnation: int = 0
    own: OwnClaims = field(default_factory=OwnClaims)


@dataclass
class Submission:
    """One submission of the key on its way through a host."""

    host: FakeHost
    nonce: str
    steps: object = None
    effect: object = None
    free: Free | None = None
    held: Held | None = None
    end: object = None
    ran: int = 0
    over: bool = False
    finishing: bool = False


NUMBERS = st.integers(0, 11)
HOW = st.sampled_from(["done"] * 5 + ["lost", "late", "out"])
HOWS = st.lists(HOW, min_size=1, max_size=10)


def pick(number, items):
    return items[number % len(items)]


class ClaimMachine(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.table = FakeTable()
        self.hosts = {name: FakeHost(name) for name in HOSTS}
        self.now = 0.0
        self.nonces = 0
        self.runs = 0
        self.all = []
        self.finishers = []
        self.late = []
        self.paused = set()

    def list_awake(self):
        return [
            item
            for item in self.all
            if not item.over and item.host.name not in self.paused
        ]

    def list_moving(self):
        return [item for item in self.list_awake() if item.effect]

    def list_holding(self):
        return [item for item in self.list_awake() if item.held]

    def list_given_up(self):
        return [
            item
            for item in self.all
            if item.over and item.host.own.is_forfeited(item.nonce)
        ]

    def build_claim(self, host, nonce=None):
        if nonce is None:
            self.nonces += 1
            nonce = f"n{self.nonces}"
        return Claim(host.name, host.incarnation, nonce, DIGEST, ClaimState.HELD)

    @rule(name=st.sampled_from(HOSTS), times=st.integers(0, 5))
    def submit(self, name, times):
        submission = Submission(self.hosts[name], "")
        self.all.append(submission)
        self.take(submission)
        if name not in self.paused:
            self.move(submission, ["done"] * times)

    @rule(name=st.sampled_from(HOSTS))
    def pause_or_wake(self, name):
        """A paused host takes no step and answers nobody; it may wake late."""
        self.paused ^= {name}

    def take(self, submission):
        claim = self.build_claim(submission.host)
        submission.nonce = claim.nonce
        host = submission.host
        submission.steps = take_claim(host.own, ROW, claim, submission.free)
        self.resume(submission, None)

    def resume(self, submission, reply):
        try:
            submission.effect = submission.steps.send(reply)
        except StopIteration as stop:
            submission.effect = None
            self.conclude(submission, stop.value)

    def conclude(self, submission, result):
        host = submission.host
        match result:
            case Held():
                submission.held = result
            case Met():
                claim = self.build_claim(host)
                submission.steps = follow_claim(
                    result, claim, lambda: self.now, self.now + DEADLINE, 3.0
                )
                self.resume(submission, None)
            case Free():
                submission.free = result
                self.take(submission)
            case Ended(claim=claim):
                self.close(submission, claim.answer)
            case Fault():
                self.close(submission, result)

    def close(self, submission, end):
        submission.end = end
        submission.over = True

    def tell(self, owner, nonce):
        if owner in self.paused:
            return None
        return Told(*self.hosts[owner].own.tell(nonce))

    def perform(self, holder, how):
        """Carry out one effect; return the reply, and a write that lands later."""
        match holder.effect, how:
            case Write(put=put), "done":
                return self.table.write(put), None
            case Write(put=put), "lost":
                self.table.write(put)
                return StoreFault.UNKNOWN, None
            case Write(put=put), "late":
                return StoreFault.UNKNOWN, put
            case Write() | Read(), "out":
                return StoreFault.UNAVAILABLE, None
            case Read(row=row), _:
                return self.table.rows.get(row), None
            case Question(owner=owner, nonce=nonce), "done":
                return self.tell(owner, nonce), None
            case Question(), _:
                return None, None
            case Wait(seconds=seconds), _:
                self.now += max(1.0, seconds)
                return None, None
        raise AssertionError(holder.effect)

    @precondition(lambda self: self.list_moving())
    @rule(number=NUMBERS, hows=HOWS)
    def step(self, number, hows):
        self.move(pick(number, self.list_moving()), hows)

    def move(self, submission, hows):
        for how in hows:
            if submission.effect is None or submission.over:
                break
            reply, put = self.perform(submission, how)
            self.resume(submission, reply)
            if put is not None:
                self.late.append(put)

    @precondition(lambda self: self.late)
    @rule(number=NUMBERS)
    def land(self, number):
        put = pick(number, self.late)
        self.late.remove(put)
        self.table.write(put)

    @precondition(lambda self: self.list_holding())
    @rule(
        number=NUMBERS,
        end=st.sampled_from(["answer", "answer", "not_run", "cancel", "unknown"]),
        ran=st.booleans(),
    )
    def use(self, number, end, ran):
        """The host sends the request under its claim, or gives the claim up."""
        submission = pick(number, self.list_holding())
        held, host = submission.held, submission.host
        if end != "cancel":
            host.own.send(held.claim.nonce)
        match end:
            case "answer":
                self.runs += 1
                submission.ran += 1
                answer = f"answer of {held.claim.nonce}".encode()
                host.own.end(held.claim.nonce, answer)
                self.finish(host, held, held.claim.finish(answer, stored=False))
                self.close(submission, answer)
            case "not_run":
                host.own.retract(held.claim.nonce)
                host.own.forfeit(held.claim.nonce)
                self.finish(host, held, held.claim.forfeit())
                self.close(submission, Fault(ErrorKind.NOT_DELIVERED))
            case "cancel":
                host.own.forfeit(held.claim.nonce)
                self.finish(host, held, held.claim.forfeit())
                self.close(submission, Fault(ErrorKind.CANCELLED_IN_QUEUE))
            case "unknown":
                self.runs += ran
                submission.ran += ran
                host.own.forget(held.claim.nonce)
                self.finish(host, held, held.claim.give_up())
                self.close(submission, Fault(ErrorKind.TARGET_LOST))

    def finish(self, host, held, ended, version=-1):
        steps = finish_claim(held.row, ended, held.version if version == -1 else None)
        finisher = Submission(host, ended.nonce, steps, finishing=True)
        finisher.effect = steps.send(None)
        self.finishers.append(finisher)

    @precondition(lambda self: len(self.list_moving()) > 1)
    @rule(number=NUMBERS)
    def cancel(self, number):
        """The caller goes away while the claim is taken or followed."""
        submission = pick(number, self.list_moving())
        submission.steps.close()
        self.close(submission, Fault(ErrorKind.CANCELLED_IN_QUEUE))

    @precondition(lambda self: self.list_given_up())
    @rule(number=NUMBERS)
    def clean_up(self, number):
        """The host marks a claim that it gave up, though it may not have landed."""
        submission = pick(number, self.list_given_up())
        host = submission.host
        claim = self.build_claim(host, submission.nonce)
        held = Held(ROW, claim, 0)
        self.finish(host, held, claim.forfeit(), version=None)

    @precondition(lambda self: self.finishers)
    @rule(number=NUMBERS, hows=HOWS)
    def step_finisher(self, number, hows):
        finisher = pick(number, self.finishers)
        for how in hows:
            reply, put = self.perform(finisher, how)
            if put is not None:
                self.late.append(put)
            try:
                finisher.effect = finisher.steps.send(reply)
            except StopIteration:
                self.finishers.remove(finisher)
                finisher.host.own.forget(finisher.nonce)
                return

    @rule(name=st.sampled_from(HOSTS))
    def restart(self, name):
        old = self.hosts[name]
        self.hosts[name] = FakeHost(name, old.incarnation + 1)
        self.paused.discard(name)
        self.finishers = [item for item in self.finishers if item.host is not old]
        for submission in self.all:
            if submission.host is old and not submission.over:
                submission.over = True
                submission.held = None

    @invariant()
    def runs_at_most_once(self):
        assert self.runs <= 1

    @invariant()
    def not_run_is_true(self):
        for submission in self.all:
            end = submission.end
            if isinstance(end, Fault) and end.not_run:
                assert submission.ran == 0

    @invariant()
    def every_answer_is_the_one_answer(self):
        ends = {item.end for item in self.all if isinstance(item.end, bytes)}
        assert len(ends) <= 1
        if ends:
            assert self.runs == 1


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(max_examples=300, stateful_step_count=40, deadline=None)


def play(steps, table, own, peers=None, faults=()):
    """Run a generator to its end; ``faults`` say what happens to its first writes."""
    faults = list(faults)
    clock = [0.0]
    reply = None
    while True:
        try:
            effect = steps.send(reply)
        except StopIteration as stop:
            return stop.value
        match effect:
            case Write(put=put):
                fault = faults.pop(0) if faults else None
                if fault == "out":
                    reply = StoreFault.UNAVAILABLE
                elif fault == "late":
                    reply = StoreFault.UNKNOWN
                else:
                    reply = table.write(put)
                    reply = StoreFault.UNKNOWN if fault == "lost" else reply
            case Read(row=row):
                reply = table.rows.get(row)
            case Question(owner=owner, nonce=nonce):
                reply = peers[owner](nonce) if peers else None
            case Wait(seconds=seconds):
                clock[0] += seconds
                reply = None


def claim_of(host, nonce, digest=DIGEST):
    return Claim(host, 1, nonce, digest, ClaimState.HELD)


@pytest.mark.parametrize("faults", [["lost"], ["late"], ["late", "late", "lost"]])
def test_lost_reply_is_settled_by_reading_back(faults):
    table, own = FakeTable(), OwnClaims()
    taken = play(take_claim(own, ROW, claim_of("a", "n")), table, own, faults=faults)
    assert isinstance(taken, Held)
    assert decode_claim(table.rows[ROW].value).nonce == "n"


def test_claim_that_cannot_be_settled_is_given_up_and_may_be_taken_over():
    table, own = FakeTable(), OwnClaims()
    steps = take_claim(own, ROW, claim_of("a", "n"))
    taken = play(steps, table, own, faults=["late"] * 9)
    assert taken.kind is ErrorKind.CLAIMS_UNAVAILABLE
    with pytest.raises(InvariantBroken):
        own.send("n")
    held = claim_of("a", "n")
    late = Held(ROW, held, 1)
    table.rows[ROW] = Row(encode_claim(held), 1)
    other = OwnClaims()
    met = play(take_claim(other, ROW, claim_of("b", "m")), table, other)
    assert met == Met(ROW, late.claim, 1)
    peers = {"a": lambda nonce: Told(*own.tell(nonce))}
    steps = follow_claim(met, claim_of("b", "m"), lambda: 0.0, 9.0, 3.0)
    free = play(steps, table, other, peers)
    assert free == Free("n", 1)
    steps = take_claim(other, ROW, claim_of("b", "m"), free)
    assert isinstance(play(steps, table, other), Held)


def test_table_that_is_out_refuses_unsent():
    table, own = FakeTable(), OwnClaims()
    steps = take_claim(own, ROW, claim_of("a", "n"))
    taken = play(steps, table, own, faults=["out"])
    assert taken.not_run
    assert not table.rows


def follow(told, after=None):
    """Follow a claim of host ``a`` whose owner says ``told`` each time."""
    table, own = FakeTable(), OwnClaims()
    play(take_claim(own, ROW, claim_of("a", "n")), table, own)
    met = Met(ROW, claim_of("a", "n"), 1)
    now = iter(range(1000))
    replies = iter(told)

    def answer(nonce):
        reply = next(replies, told[-1])
        if after:
            after(table)
        return reply

    steps = follow_claim(met, claim_of("b", "m"), lambda: next(now) / 10, 10.0, 3.0)
    return play(steps, table, own, {"a": answer})


def test_owner_that_is_gone_leaves_the_outcome_unknown():
    assert follow([None]).kind is ErrorKind.OUTCOME_UNKNOWN
    assert follow([Told(OwnerState.UNKNOWN)]).kind is ErrorKind.OUTCOME_UNKNOWN


def test_owner_that_runs_is_waited_for_until_the_deadline():
    running = Told(OwnerState.RUNNING)
    assert follow([running]).kind is ErrorKind.DEADLINE_EXCEEDED
    ended = follow([running, running, Told(OwnerState.ENDED, b"1")])
    assert ended.claim.answer == b"1"


def test_owner_that_finished_and_forgot_is_believed_from_the_row():
    def finish(table):
        ended = claim_of("a", "n").finish(b"2", stored=False)
        play(finish_claim(ROW, ended, 1), table, None)

    ended = follow([Told(OwnerState.UNKNOWN)], finish)
    assert ended.claim.answer == b"2"


def test_key_with_another_body_is_refused():
    table, own = FakeTable(), OwnClaims()
    play(take_claim(own, ROW, claim_of("a", "n")), table, own)
    taken = play(take_claim(own, ROW, claim_of("b", "m", "other")), table, own)
    assert taken.kind is ErrorKind.KEY_REUSED


def test_sent_under_a_held_claim_only_and_once():
    own = OwnClaims()
    own.begin(ROW, claim_of("a", "n"))
    with pytest.raises(InvariantBroken):
        own.send("n")
    own.hold("n")
    own.send("n")
    for forbidden in (own.send, own.forfeit, own.hold):
        with pytest.raises(InvariantBroken):
            forbidden("n")


@pytest.mark.parametrize("version", [None, 1])
def test_end_of_a_claim_never_replaces_one_that_took_over(version):
    table, own = FakeTable(), OwnClaims()
    table.rows[ROW] = Row(encode_claim(claim_of("b", "m")), 2)
    ended = claim_of("a", "n").forfeit()
    assert not play(finish_claim(ROW, ended, version), table, own)
    assert decode_claim(table.rows[ROW].value).nonce == "m"


def test_end_is_written_however_often_the_platform_fails():
    table, own = FakeTable(), OwnClaims()
    play(take_claim(own, ROW, claim_of("a", "n")), table, own)
    ended = claim_of("a", "n").finish(b"1", stored=False)
    faults = ["out", "late", "out", "late", "lost"]
    assert play(finish_claim(ROW, ended, 1), table, own, faults=faults)
    assert decode_claim(table.rows[ROW].value).state is ClaimState.DONE
    assert table.rows[ROW].version == 2


@given(st.binary(max_size=60))
def test_row_that_cannot_be_read_is_an_unknown_outcome(value):
    table, own = FakeTable(), OwnClaims()
    table.rows[ROW] = Row(value, 1)
    taken = play(take_claim(own, ROW, claim_of("a", "n")), table, own)
    assert taken.kind is ErrorKind.OUTCOME_UNKNOWN
    assert table.rows[ROW] == Row(value, 1)
