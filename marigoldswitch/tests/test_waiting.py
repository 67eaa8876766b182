"""Order of the queue, and estimates of the wait."""

from marigoldswitch.core.waiting import MIN_CAPACITY, WaitQueue


def test_urgent_requests_come_first_and_equals_in_order():
    queue = WaitQueue()
    tickets = [queue.make_ticket(priority, 1) for priority in (2, 1, 1, 0)]
    for ticket in tickets:
        queue.add(ticket)
    assert queue.tickets == [tickets[3], tickets[1], tickets[2], tickets[0]]


def test_wait_in_a_burst_follows_the_admission_rate():
    queue = WaitQueue()
    for moment in range(10):
        queue.note_admitted(10.0 + moment / 10.0)
    for _ in range(6):
        queue.add(queue.make_ticket(1, 1))
    late = queue.make_ticket(1, 1)
    # Five a second are admitted, so the seventh waits 1.4 s.
    assert 1.2 < queue.estimate_wait(late, 11.0) < 1.6


def test_urgent_request_does_not_wait_for_those_behind_it():
    queue = WaitQueue()
    for _ in range(20):
        queue.add(queue.make_ticket(2, 1))
    assert queue.estimate_wait(queue.make_ticket(0, 1), 0.0) == 0.0


def test_few_requests_may_wait_after_an_idle_time():
    queue = WaitQueue()
    for _ in range(MIN_CAPACITY):
        assert queue.estimate_wait(queue.make_ticket(1, 1), 0.0) == 0.0
        queue.add(queue.make_ticket(1, 1))
    assert queue.estimate_wait(queue.make_ticket(1, 1), 0.0) == float("inf")


def test_removed_ticket_is_no_longer_in_the_queue():
    queue = WaitQueue()
    tickets = [queue.make_ticket(1, 1) for _ in range(3)]
    for ticket in tickets:
        queue.add(ticket)
    queue.remove(tickets[0])
    queue.remove(tickets[0])
    assert queue.tickets == tickets[1:]


def test_stream_that_has_begun_goes_before_new_requests():
    queue = WaitQueue()
    urgent = queue.make_ticket(0, 1)
    begun = queue.make_ticket(2, 1, is_new=False)
    for ticket in (urgent, begun):
        queue.add(ticket)
    assert queue.tickets == [begun, urgent]
    assert queue.estimate_wait(queue.make_ticket(2, 1, is_new=False), 0.0) == 0.0


def test_stream_with_the_least_of_its_pause_left_goes_first_and_late_ones_last():
    queue = WaitQueue()
    dues = (10.3, 10.1, float("inf"), 9.9)
    tickets = [queue.make_ticket(2, 1, is_new=False, due=due) for due in dues]
    new = queue.make_ticket(0, 1)
    for ticket in (new, *tickets):
        queue.add(ticket)
    queue.demote_late(10.0)
    soon, unlimited = [tickets[1], tickets[0]], tickets[2]
    assert queue.tickets == [*soon, unlimited, tickets[3], new]
    queue.remove(tickets[3])
    assert tickets[3] not in queue.tickets
