"""Order of the queue, and estimates of the wait."""

from marigoldswitch.core.waiting import MIN_CAPACITY, WaitingLine


def test_urgent_requests_come_first_and_equals_in_order():
    line = WaitingLine()
    tickets = [line.make_ticket(priority, 1) for priority in (2, 1, 1, 0)]
    for ticket in tickets:
        line.join(ticket)
    assert line.tickets == [tickets[3], tickets[1], tickets[2], tickets[0]]


def test_wait_in_a_burst_follows_the_admission_rate():
    line = WaitingLine()
    for moment in range(10):
        line.note_admitted(10.0 + moment / 10.0)
    for _ in range(6):
        line.join(line.make_ticket(1, 1))
    late = line.make_ticket(1, 1)
    # Five a second are admitted, so the seventh waits 1.4 s.
    assert 1.2 < line.estimate_wait(late, 11.0) < 1.6


def test_urgent_request_does_not_wait_for_those_behind_it():
    line = WaitingLine()
    for _ in range(20):
        line.join(line.make_ticket(2, 1))
    assert line.estimate_wait(line.make_ticket(0, 1), 0.0) == 0.0


def test_few_requests_may_wait_after_an_idle_time():
    line = WaitingLine()
    for _ in range(MIN_CAPACITY):
        assert line.estimate_wait(line.make_ticket(1, 1), 0.0) == 0.0
        line.join(line.make_ticket(1, 1))
    assert line.estimate_wait(line.make_ticket(1, 1), 0.0) == float("inf")


def test_removed_ticket_is_no_longer_in_the_queue():
    line = WaitingLine()
    tickets = [line.make_ticket(1, 1) for _ in range(3)]
    for ticket in tickets:
        line.join(ticket)
    line.leave(tickets[0])
    line.leave(tickets[0])
    assert line.tickets == tickets[1:]


def test_stream_that_has_begun_goes_before_new_requests():
    line = WaitingLine()
    urgent = line.make_ticket(0, 1)
    begun = line.make_ticket(2, 1, is_new=False)
    for ticket in (urgent, begun):
        line.join(ticket)
    assert line.tickets == [begun, urgent]
    assert line.estimate_wait(line.make_ticket(2, 1, is_new=False), 0.0) == 0.0
