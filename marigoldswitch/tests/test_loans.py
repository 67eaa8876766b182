"""Loans between hosts: when they may be used, and when they are given back."""

from types import SimpleNamespace

from marigoldswitch.core.ids import HostId, ServiceName
from marigoldswitch.core.loans import (
    LOAN_SECONDS,
    LoanBook,
    Neighbours,
    get_loan_memory,
)

SERVICE = ServiceName("drafts")
WINDOW = 10.0
LEAF, RELAY, FAR = HostId("leaf"), HostId("relay"), HostId("far")
TO_RELAY = Neighbours([RELAY])
AS_RELAY = Neighbours([LEAF], [FAR], is_relay=True)


class Account:
    """What a test says that a host owns, uses and wants."""

    window = WINDOW

    def __init__(self, own):
        self.own, self.used, self.demand = own, 0, 0.0

    def get_own_part(self, now):
        return self.own

    def count_used(self, now):
        return self.used

    def estimate_demand(self, now):
        return self.demand


def build_host(own=10.0, process=1, owns_nothing_until=0.0):
    book = LoanBook(process, owns_nothing_until)
    account = book.accounts[SERVICE] = Account(own)
    return SimpleNamespace(book=book, account=account)


def send(sender, name, neighbours, recipient, to, now, near=True):
    """Deliver the message of one host to another; return it."""
    notes = sender.book.write_notes(neighbours, now).get(to)
    if notes is not None:
        recipient.book.take_notes(name, notes, near, now)
    return notes


def lend_to_leaf(leaf, relay, now=0.0):
    """Let a leaf that is short borrow from its relay."""
    leaf.account.demand = 15.0
    send(leaf, LEAF, TO_RELAY, relay, RELAY, now)
    send(relay, RELAY, AS_RELAY, leaf, LEAF, now + 0.1)


def test_host_borrows_what_it_lacks_and_the_lender_has_less():
    leaf, relay = build_host(), build_host()
    lend_to_leaf(leaf, relay)
    assert leaf.book.get_limit(SERVICE, 0.2) == 15.0
    assert relay.book.get_limit(SERVICE, 0.2) == 5.0


def test_loan_ends_unless_it_is_confirmed_and_is_deducted_for_longer():
    leaf, relay = build_host(), build_host()
    lend_to_leaf(leaf, relay)
    assert leaf.book.get_limit(SERVICE, LOAN_SECONDS) == 15.0
    assert leaf.book.get_limit(SERVICE, LOAN_SECONDS + 0.01) == 10.0
    last = 0.1 + get_loan_memory(WINDOW)
    assert relay.book.get_limit(SERVICE, last) == 5.0
    assert relay.book.get_limit(SERVICE, last + 0.01) == 10.0


def test_loan_that_is_given_back_unused_may_be_used_at_once():
    leaf, relay = build_host(), build_host()
    lend_to_leaf(leaf, relay)
    leaf.account.demand = 0.0
    send(leaf, LEAF, TO_RELAY, relay, RELAY, 0.5)
    send(relay, RELAY, AS_RELAY, leaf, LEAF, 0.6)
    assert relay.book.get_limit(SERVICE, 0.6) == 5.0
    send(leaf, LEAF, TO_RELAY, relay, RELAY, 1.0)
    assert relay.book.get_limit(SERVICE, 1.0) == 10.0
    assert leaf.book.get_limit(SERVICE, 1.0) == 10.0


def test_loan_that_has_been_used_is_deducted_until_it_no_longer_counts():
    leaf, relay = build_host(), build_host()
    lend_to_leaf(leaf, relay)
    leaf.account.used, leaf.account.demand = 12, 0.0
    for now in (0.5, 1.0, 1.5, 2.0):
        send(leaf, LEAF, TO_RELAY, relay, RELAY, now)
        send(relay, RELAY, AS_RELAY, leaf, LEAF, now + 0.1)
        assert relay.book.get_limit(SERVICE, now + 0.1) == 5.0
    leaf.account.used = 10
    send(leaf, LEAF, TO_RELAY, relay, RELAY, 2.5)
    assert relay.book.get_limit(SERVICE, 2.5) == 10.0


def test_hosts_fall_silent_once_all_loans_are_given_back():
    leaf, relay = build_host(), build_host()
    lend_to_leaf(leaf, relay)
    leaf.account.demand = 0.0
    messages = []
    for step in range(1, 20):
        now = step * 0.5
        messages.append(
            (
                send(leaf, LEAF, TO_RELAY, relay, RELAY, now),
                send(relay, RELAY, AS_RELAY, leaf, LEAF, now + 0.1),
            )
        )
    assert messages[-10:] == [(None, None)] * 10


def test_delay_of_a_message_does_not_extend_its_loan():
    leaf, relay = build_host(), build_host()
    leaf.account.demand = 15.0
    send(leaf, LEAF, TO_RELAY, relay, RELAY, 0.0)
    notes = relay.book.write_notes(AS_RELAY, 0.1)[LEAF]
    leaf.book.take_notes(RELAY, notes, True, LOAN_SECONDS + 0.1)
    assert leaf.book.get_limit(SERVICE, LOAN_SECONDS + 0.1) == 10.0


def test_loan_to_an_earlier_process_is_not_used_by_the_next():
    leaf, relay = build_host(), build_host()
    leaf.account.demand = 15.0
    send(leaf, LEAF, TO_RELAY, relay, RELAY, 0.0)
    notes = relay.book.write_notes(AS_RELAY, 0.1)[LEAF]
    restarted = build_host(process=2)
    restarted.book.take_notes(RELAY, notes, True, 0.2)
    assert restarted.book.get_limit(SERVICE, 0.2) == 10.0


def test_message_that_is_overtaken_is_ignored():
    leaf, relay = build_host(), build_host()
    leaf.account.demand = 15.0
    first = leaf.book.write_notes(TO_RELAY, 0.0)[RELAY]
    leaf.account.demand = 12.0
    second = leaf.book.write_notes(TO_RELAY, 0.2)[RELAY]
    relay.book.take_notes(LEAF, second, True, 0.3)
    relay.book.take_notes(LEAF, first, True, 0.3)
    send(relay, RELAY, AS_RELAY, leaf, LEAF, 0.3)
    assert leaf.book.get_limit(SERVICE, 0.3) == 12.0


def test_process_that_has_just_started_owns_nothing_and_may_borrow():
    leaf, relay = build_host(owns_nothing_until=20.0), build_host()
    assert leaf.book.get_limit(SERVICE, 0.0) == 0.0
    leaf.account.demand = 4.0
    send(leaf, LEAF, TO_RELAY, relay, RELAY, 0.0)
    send(relay, RELAY, AS_RELAY, leaf, LEAF, 0.1)
    assert leaf.book.get_limit(SERVICE, 0.2) == 4.0
    assert leaf.book.get_limit(SERVICE, 20.0) == 10.0


def test_host_lends_nothing_that_it_has_used_or_wants():
    leaf, relay = build_host(), build_host()
    relay.account.used, relay.account.demand = 3, 8.0
    lend_to_leaf(leaf, relay)
    assert leaf.book.get_limit(SERVICE, 0.2) == 12.0


def test_relay_lends_on_to_another_relay_only_what_its_own_hosts_lend():
    """What a far relay lends would otherwise travel over more hosts than counted."""
    relay, far, farther = build_host(0.0), build_host(), build_host(0.0)
    relay.account.demand = 5.0
    neighbours = Neighbours([], [FAR], is_relay=True)
    send(relay, RELAY, neighbours, far, FAR, 0.0, near=False)
    send(far, FAR, Neighbours(is_relay=True), relay, RELAY, 0.1, near=False)
    assert relay.book.get_limit(SERVICE, 0.1) == 5.0
    relay.account.demand = 0.0
    farther.account.demand = 5.0
    notes = farther.book.write_notes(Neighbours([], [RELAY], is_relay=True), 0.2)
    relay.book.take_notes(HostId("farther"), notes[RELAY], False, 0.2)
    assert HostId("farther") not in relay.book.write_notes(neighbours, 0.3)


def test_relay_that_wants_less_than_it_has_used_lends_only_the_rest():
    relay, far = build_host(), build_host(0.0)
    relay.account.used, far.account.demand = 4, 9.0
    send(far, FAR, Neighbours([], [RELAY], is_relay=True), relay, RELAY, 0.0, False)
    send(relay, RELAY, AS_RELAY, far, FAR, 0.1, near=False)
    assert far.book.get_limit(SERVICE, 0.2) == 6.0


def test_relay_lends_on_to_another_relay_what_its_own_hosts_lend():
    leaf, relay, far = build_host(2.0), build_host(0.0), build_host(0.0)
    far.account.demand = 5.0
    from_far = Neighbours([], [RELAY], is_relay=True)
    send(far, FAR, from_far, relay, RELAY, 0.0, near=False)
    send(relay, RELAY, AS_RELAY, leaf, LEAF, 0.1)
    send(leaf, LEAF, TO_RELAY, relay, RELAY, 0.2)
    send(relay, RELAY, AS_RELAY, far, FAR, 0.3, near=False)
    assert far.book.get_limit(SERVICE, 0.4) == 2.0
    assert relay.book.get_limit(SERVICE, 0.4) == 0.0
    assert leaf.book.get_limit(SERVICE, 0.4) == 0.0


def test_host_that_is_no_relay_does_not_lend_what_it_has_borrowed():
    leaf, relay, other = build_host(2.0), build_host(), build_host(0.0)
    leaf.account.demand = 10.0
    send(leaf, LEAF, TO_RELAY, relay, RELAY, 0.0)
    send(relay, RELAY, AS_RELAY, leaf, LEAF, 0.1)
    leaf.account.demand, other.account.demand = 0.0, 9.0
    send(other, HostId("other"), Neighbours([LEAF]), leaf, LEAF, 0.2)
    send(leaf, LEAF, TO_RELAY, other, HostId("other"), 0.3)
    assert other.book.get_limit(SERVICE, 0.3) == 2.0


def test_hosts_that_are_all_short_do_not_ask_for_more_and_more():
    """What a relay asks of a host is not asked of the relay in turn."""
    leaf, relay = build_host(1.0), build_host(1.0)
    leaf.account.demand = relay.account.demand = 5.0
    for step in range(50):
        now = step * 0.2
        send(leaf, LEAF, TO_RELAY, relay, RELAY, now)
        notes = send(relay, RELAY, AS_RELAY, leaf, LEAF, now)
        if notes is not None:
            assert sum(item.asked for item in notes.notes) <= 10_000


def test_unchanged_loans_are_confirmed_before_they_end_but_not_each_time():
    leaf, relay = build_host(), build_host()
    leaf.account.demand = 15.0
    sent = []
    for step in range(50):
        now = step * 0.2
        send(leaf, LEAF, TO_RELAY, relay, RELAY, now)
        if send(relay, RELAY, AS_RELAY, leaf, LEAF, now + 0.1) is not None:
            sent.append(now)
        assert leaf.book.get_limit(SERVICE, now + 0.2) == 15.0
    assert len(sent) <= 26
