"""Tests of the dispatcher: grants, deadlines, cancellation and lost hosts."""

import itertools

from marigoldswitch.core.dispatcher import (
    Dispatcher,
    HostLost,
    Send,
    TargetsChanged,
    Tick,
)
from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.core.messages import (
    Cancel,
    Deny,
    Grant,
    HeldPermit,
    Holdings,
    Release,
)
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.tests.helpers import BOOKINGS, HOBART, build_ask, build_target


def build_dispatcher(*names):
    numbers = itertools.count()
    dispatcher = Dispatcher(
        "host-0",
        BOOKINGS,
        HOBART,
        TargetPool(BOOKINGS, {}),
        lambda: f"p{next(numbers)}",
    )
    targets = tuple(build_target(name) for name in names)
    dispatcher.handle(TargetsChanged(targets, frozenset()), 0.0)
    return dispatcher


def pick(actions, kind):
    return [
        action.message
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, kind)
    ]


def test_no_more_permits_than_room():
    dispatcher = build_dispatcher("a")
    grants = []
    for number in range(5):
        grants += pick(dispatcher.handle(build_ask(f"r{number}"), 0.0), Grant)
    assert len(grants) == 2
    release = Release(grants[0].permit, BOOKINGS.name, "host-0", 1.0, ())
    assert len(pick(dispatcher.handle(release, 1.0), Grant)) == 1


def test_deadline_passes_in_the_queue():
    dispatcher = build_dispatcher()
    dispatcher.handle(build_ask("r", remaining=1.0), 0.0)
    denials = pick(dispatcher.handle(Tick(), 1.0), Deny)
    assert [item.kind for item in denials] == [ErrorKind.DEADLINE_IN_QUEUE]


def test_cancelled_request_gets_no_permit():
    dispatcher = build_dispatcher()
    dispatcher.handle(build_ask("r"), 0.0)
    dispatcher.handle(Cancel("r", 1, BOOKINGS.name, "host-0"), 0.0)
    targets = (build_target("a"),)
    actions = dispatcher.handle(TargetsChanged(targets, frozenset()), 0.0)
    assert not pick(actions, Grant)


def test_permits_of_a_lost_host_are_freed():
    dispatcher = build_dispatcher("a")
    for number in range(3):
        dispatcher.handle(build_ask(f"r{number}", front="host-1"), 0.0)
    dispatcher.handle(build_ask("s", front="host-2"), 0.0)
    actions = dispatcher.handle(HostLost("host-1"), 0.0)
    assert [grant.request for grant in pick(actions, Grant)] == ["s"]


def test_leaving_target_gets_no_new_work():
    dispatcher = build_dispatcher("a")
    gone = TargetsChanged((build_target("a"),), frozenset({"a"}))
    dispatcher.handle(gone, 0.0)
    assert not pick(dispatcher.handle(build_ask("r"), 0.0), Grant)


def test_new_dispatcher_counts_what_fronts_hold():
    dispatcher = build_dispatcher("a")
    held = (HeldPermit("old", "q", ("a",)),)
    waiting = (build_ask("r"), build_ask("s"))
    holdings = Holdings(BOOKINGS.name, HOBART, "host-0", held, waiting)
    assert len(pick(dispatcher.handle(holdings, 0.0), Grant)) == 1
