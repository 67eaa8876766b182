"""Tests of the claim protocol under arbitrary interleavings of hosts and faults.

They check that a request runs at most once and that a fault which says "not run" is
true. A state machine simulates several hosts that submit the same key through the
generators that the daemon also uses. It chooses which host takes the next step, which
replies are lost, which writes take effect late, which host is paused or restarted, and
what the target does.
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
    FinishedClaim,
    HeldClaim,
    OpenClaim,
    OwnerQuery,
    OwnerReply,
    Read,
    VacantRow,
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
from marigoldswitch.core.ledger import InvariantViolation
from marigoldswitch.core.own_claims import OwnClaims
from marigoldswitch.core.ports import Put, Row, StoreFault

ROW = "6:family/pickup"
DIGEST = "body"
HOSTS = ["host-0", "host-1", "host-2"]
DEADLINE = 30.0


class FakeTable:
    """In-memory table with row versions and atomic writes."""

    def __init__(self):
        self.rows = {}

    def write(self, put: Put):
        row = self.rows.get(put.key)
        if (row.version if row else 0) != put.expected_version:
            return StoreFault.CONFLICT
        self.rows[put.key] = Row(put.value, put.expected_version + 1)
        return None


@dataclass
class FakeHost:
    name: str
    incarnation: int = 0
    own: OwnClaims = field(default_factory=OwnClaims)


@dataclass
class Submission:
    """A submission of the key to one host, with the state of its generator."""

    host: FakeHost
    nonce: str
    steps: object = None
    effect: object = None
    free: VacantRow | None = None
    held: HeldClaim | None = None
    end: object = None
    run_count: int = 0
    finished: bool = False
    finishing: bool = False


INDICES = st.integers(0, 11)
DELIVERY = st.sampled_from(["done"] * 5 + ["lost", "late", "out"])
DELIVERIES = st.lists(DELIVERY, min_size=1, max_size=10)


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
        self.submissions = []
        self.finishers = []
        self.late_writes = []
        self.paused = set()

    def list_active(self):
        return [
            item
            for item in self.submissions
            if not item.finished and item.host.name not in self.paused
        ]

    def list_pending(self):
        return [item for item in self.list_active() if item.effect]

    def list_holding(self):
        return [item for item in self.list_active() if item.held]

    def list_given_up(self):
        return [
            item
            for item in self.submissions
            if item.finished and item.host.own.is_forfeited(item.nonce)
        ]

    def build_claim(self, host, nonce=None):
        if nonce is None:
            self.nonces += 1
            nonce = f"n{self.nonces}"
        return Claim(host.name, host.incarnation, nonce, DIGEST, ClaimState.HELD)

    @rule(name=st.sampled_from(HOSTS), times=st.integers(0, 5))
    def submit(self, name, times):
        submission = Submission(self.hosts[name], "")
        self.submissions.append(submission)
        self.take(submission)
        if name not in self.paused:
            self.run_steps(submission, ["done"] * times)

    @rule(name=st.sampled_from(HOSTS))
    def pause_or_wake(self, name):
        """Pause or resume a host; while paused it takes no step and sends no reply."""
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
            self.handle_result(submission, stop.value)

    def handle_result(self, submission, result):
        host = submission.host
        match result:
            case HeldClaim():
                submission.held = result
            case OpenClaim():
                claim = self.build_claim(host)
                submission.steps = follow_claim(
                    result, claim, lambda: self.now, self.now + DEADLINE, 3.0
                )
                self.resume(submission, None)
            case VacantRow():
                submission.free = result
                self.take(submission)
            case FinishedClaim(claim=claim):
                self.close(submission, claim.answer)
            case Fault():
                self.close(submission, result)

    def close(self, submission, end):
        submission.end = end
        submission.finished = True

    def tell(self, owner, nonce):
        if owner in self.paused:
            return None
        return OwnerReply(*self.hosts[owner].own.get_state(nonce))

    def perform(self, holder, delivery):
        """Perform an effect; return its result and, if delayed, the write to apply."""
        match holder.effect, delivery:
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
            case OwnerQuery(owner=owner, nonce=nonce), "done":
                return self.tell(owner, nonce), None
            case OwnerQuery(), _:
                return None, None
            case Wait(seconds=seconds), _:
                self.now += max(1.0, seconds)
                return None, None
        raise AssertionError(holder.effect)

    @precondition(lambda self: self.list_pending())
    @rule(number=INDICES, deliveries=DELIVERIES)
    def step(self, number, deliveries):
        self.run_steps(pick(number, self.list_pending()), deliveries)

    def run_steps(self, submission, deliveries):
        for delivery in deliveries:
            if submission.effect is None or submission.finished:
                break
            reply, put = self.perform(submission, delivery)
            self.resume(submission, reply)
            if put is not None:
                self.late_writes.append(put)

    @precondition(lambda self: self.late_writes)
    @rule(number=INDICES)
    def land(self, number):
        """Apply a delayed write."""
        put = pick(number, self.late_writes)
        self.late_writes.remove(put)
        self.table.write(put)

    @precondition(lambda self: self.list_holding())
    @rule(
        number=INDICES,
        end=st.sampled_from(["answer", "answer", "not_run", "cancel", "unknown"]),
        ran=st.booleans(),
    )
    def use(self, number, end, ran):
        """Send the request under a held claim, or abandon the claim."""
        submission = pick(number, self.list_holding())
        held, host = submission.held, submission.host
        if end != "cancel":
            host.own.mark_sent(held.claim.nonce)
        match end:
            case "answer":
                self.runs += 1
                submission.run_count += 1
                answer = f"answer of {held.claim.nonce}".encode()
                host.own.mark_ended(held.claim.nonce, answer)
                self.finish(host, held, held.claim.as_done(answer, stored=False))
                self.close(submission, answer)
            case "not_run":
                host.own.mark_not_run(held.claim.nonce)
                host.own.mark_forfeited(held.claim.nonce)
                self.finish(host, held, held.claim.as_forfeited())
                self.close(submission, Fault(ErrorKind.NOT_DELIVERED))
            case "cancel":
                host.own.mark_forfeited(held.claim.nonce)
                self.finish(host, held, held.claim.as_forfeited())
                self.close(submission, Fault(ErrorKind.CANCELLED_IN_QUEUE))
            case "unknown":
                self.runs += ran
                submission.run_count += ran
                host.own.forget(held.claim.nonce)
                self.finish(host, held, held.claim.as_unknown())
                self.close(submission, Fault(ErrorKind.TARGET_LOST))

    def finish(self, host, held, ended, version=-1):
        steps = finish_claim(held.row, ended, held.version if version == -1 else None)
        finisher = Submission(host, ended.nonce, steps, finishing=True)
        finisher.effect = steps.send(None)
        self.finishers.append(finisher)

    @precondition(lambda self: len(self.list_pending()) > 1)
    @rule(number=INDICES)
    def cancel(self, number):
        """Cancel a submission while its claim is being acquired or followed."""
        submission = pick(number, self.list_pending())
        submission.steps.close()
        self.close(submission, Fault(ErrorKind.CANCELLED_IN_QUEUE))

    @precondition(lambda self: self.list_given_up())
    @rule(number=INDICES)
    def clean_up(self, number):
        """Record that a claim is forfeited, although its row may not exist yet."""
        submission = pick(number, self.list_given_up())
        host = submission.host
        claim = self.build_claim(host, submission.nonce)
        held = HeldClaim(ROW, claim, 0)
        self.finish(host, held, claim.as_forfeited(), version=None)

    @precondition(lambda self: self.finishers)
    @rule(number=INDICES, deliveries=DELIVERIES)
    def step_finisher(self, number, deliveries):
        finisher = pick(number, self.finishers)
        for delivery in deliveries:
            reply, put = self.perform(finisher, delivery)
            if put is not None:
                self.late_writes.append(put)
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
        for submission in self.submissions:
            if submission.host is old and not submission.finished:
                submission.finished = True
                submission.held = None

    @invariant()
    def runs_at_most_once(self):
        assert self.runs <= 1

    @invariant()
    def not_run_is_true(self):
        for submission in self.submissions:
            end = submission.end
            if isinstance(end, Fault) and end.not_run:
                assert submission.run_count == 0

    @invariant()
    def every_answer_is_the_one_answer(self):
        ends = {item.end for item in self.submissions if isinstance(item.end, bytes)}
        assert len(ends) <= 1
        if ends:
            assert self.runs == 1


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(max_examples=300, stateful_step_count=40, deadline=None)


def run_to_end(steps, table, own, peers=None, faults=()):
    """Run a generator to its end.

    :param peers: functions that answer a question about a nonce, by owner.
    :param faults: faults of the first writes, in order: ``out``, ``late`` or ``lost``.
    """
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
            case OwnerQuery(owner=owner, nonce=nonce):
                reply = peers[owner](nonce) if peers else None
            case Wait(seconds=seconds):
                clock[0] += seconds
                reply = None


def build_held_claim(host, nonce, digest=DIGEST):
    return Claim(host, 1, nonce, digest, ClaimState.HELD)


@pytest.mark.parametrize("faults", [["lost"], ["late"], ["late", "late", "lost"]])
def test_lost_reply_is_settled_by_reading_back(faults):
    table, own = FakeTable(), OwnClaims()
    taken = run_to_end(
        take_claim(own, ROW, build_held_claim("a", "n")), table, own, faults=faults
    )
    assert isinstance(taken, HeldClaim)
    assert decode_claim(table.rows[ROW].value).nonce == "n"


def test_claim_that_cannot_be_settled_is_given_up_and_may_be_taken_over():
    table, own = FakeTable(), OwnClaims()
    steps = take_claim(own, ROW, build_held_claim("a", "n"))
    taken = run_to_end(steps, table, own, faults=["late"] * 9)
    assert taken.kind is ErrorKind.CLAIMS_UNAVAILABLE
    with pytest.raises(InvariantViolation):
        own.mark_sent("n")
    held = build_held_claim("a", "n")
    late = HeldClaim(ROW, held, 1)
    table.rows[ROW] = Row(encode_claim(held), 1)
    other = OwnClaims()
    met = run_to_end(take_claim(other, ROW, build_held_claim("b", "m")), table, other)
    assert met == OpenClaim(ROW, late.claim, 1)
    peers = {"a": lambda nonce: OwnerReply(*own.get_state(nonce))}
    steps = follow_claim(met, build_held_claim("b", "m"), lambda: 0.0, 9.0, 3.0)
    free = run_to_end(steps, table, other, peers)
    assert free == VacantRow("n", 1)
    steps = take_claim(other, ROW, build_held_claim("b", "m"), free)
    assert isinstance(run_to_end(steps, table, other), HeldClaim)


def test_unavailable_table_refuses_request_unsent():
    table, own = FakeTable(), OwnClaims()
    steps = take_claim(own, ROW, build_held_claim("a", "n"))
    taken = run_to_end(steps, table, own, faults=["out"])
    assert taken.not_run
    assert not table.rows


def follow(told, after=None):
    """Follow a claim of host ``a``.

    :param told: replies of the owner, in order; the last one is repeated.
    :param after: called with the table after each question.
    """
    table, own = FakeTable(), OwnClaims()
    run_to_end(take_claim(own, ROW, build_held_claim("a", "n")), table, own)
    met = OpenClaim(ROW, build_held_claim("a", "n"), 1)
    now = iter(range(1000))
    replies = iter(told)

    def answer(nonce):
        reply = next(replies, told[-1])
        if after:
            after(table)
        return reply

    steps = follow_claim(
        met, build_held_claim("b", "m"), lambda: next(now) / 10, 10.0, 3.0
    )
    return run_to_end(steps, table, own, {"a": answer})


def test_lost_owner_leaves_outcome_unknown():
    assert follow([None]).kind is ErrorKind.OUTCOME_UNKNOWN
    assert follow([OwnerReply(OwnerState.UNKNOWN)]).kind is ErrorKind.OUTCOME_UNKNOWN


def test_running_owner_is_awaited_until_deadline():
    running = OwnerReply(OwnerState.RUNNING)
    assert follow([running]).kind is ErrorKind.DEADLINE_EXCEEDED
    ended = follow([running, running, OwnerReply(OwnerState.ENDED, b"1")])
    assert ended.claim.answer == b"1"


def test_end_is_read_from_row_if_owner_has_forgotten_claim():
    def finish(table):
        ended = build_held_claim("a", "n").as_done(b"2", stored=False)
        run_to_end(finish_claim(ROW, ended, 1), table, None)

    ended = follow([OwnerReply(OwnerState.UNKNOWN)], finish)
    assert ended.claim.answer == b"2"


def test_key_with_another_body_is_refused():
    table, own = FakeTable(), OwnClaims()
    run_to_end(take_claim(own, ROW, build_held_claim("a", "n")), table, own)
    taken = run_to_end(
        take_claim(own, ROW, build_held_claim("b", "m", "other")), table, own
    )
    assert taken.kind is ErrorKind.KEY_REUSED


def test_sent_under_a_held_claim_only_and_once():
    own = OwnClaims()
    own.mark_taking(ROW, build_held_claim("a", "n"))
    with pytest.raises(InvariantViolation):
        own.mark_sent("n")
    own.mark_held("n")
    own.mark_sent("n")
    for forbidden in (own.mark_sent, own.mark_forfeited, own.mark_held):
        with pytest.raises(InvariantViolation):
            forbidden("n")


@pytest.mark.parametrize("version", [None, 1])
def test_end_of_a_claim_never_replaces_one_that_took_over(version):
    table, own = FakeTable(), OwnClaims()
    table.rows[ROW] = Row(encode_claim(build_held_claim("b", "m")), 2)
    ended = build_held_claim("a", "n").as_forfeited()
    assert not run_to_end(finish_claim(ROW, ended, version), table, own)
    assert decode_claim(table.rows[ROW].value).nonce == "m"


def test_end_is_written_despite_repeated_store_faults():
    table, own = FakeTable(), OwnClaims()
    run_to_end(take_claim(own, ROW, build_held_claim("a", "n")), table, own)
    ended = build_held_claim("a", "n").as_done(b"1", stored=False)
    faults = ["out", "late", "out", "late", "lost"]
    assert run_to_end(finish_claim(ROW, ended, 1), table, own, faults=faults)
    assert decode_claim(table.rows[ROW].value).state is ClaimState.DONE
    assert table.rows[ROW].version == 2


@given(st.binary(max_size=60))
def test_row_that_cannot_be_read_is_an_unknown_outcome(value):
    table, own = FakeTable(), OwnClaims()
    table.rows[ROW] = Row(value, 1)
    taken = run_to_end(take_claim(own, ROW, build_held_claim("a", "n")), table, own)
    assert taken.kind is ErrorKind.OUTCOME_UNKNOWN
    assert table.rows[ROW] == Row(value, 1)
