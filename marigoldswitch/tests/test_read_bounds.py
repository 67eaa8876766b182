"""Bounds on what is read, and when a stream or a connection exceeds them."""

import asyncio

import pytest

from marigoldswitch.core.event_stream import Event
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.outliers import Health, OutlierDetector
from marigoldswitch.core.read_bounds import EventProgress, ReadBounds
from marigoldswitch.core.routes import ClientLimits
from marigoldswitch.stalls import StallWatch
from marigoldswitch.tests.helpers import run_virtually

BOUNDS = ReadBounds(event_bytes=1000, event_seconds=2.0)
COMMENT = Event(None, b": alive\n\n")
FLAWED, GOOD = TargetId("flawed"), TargetId("good")


@pytest.mark.parametrize("name", ReadBounds.__struct_fields__)
@pytest.mark.parametrize("value", [0, -1, float("nan")])
def test_bound_that_bounds_nothing_is_refused(name, value):
    with pytest.raises(ValueError, match=name):
        ReadBounds(**{name: value})


def test_limits_of_the_configuration_apply():
    limits = ClientLimits(2000, 500_000, 1.5)
    bounds = ReadBounds().apply_limits(limits)
    assert (bounds.head_bytes, bounds.head_seconds) == (2000, 1.5)
    assert (bounds.body_bytes, bounds.event_bytes) == (500_000, 500_000)
    assert ReadBounds().apply_limits(ClientLimits()).head_seconds < 3.0


def build_event(number):
    return Event(str(number), b"id: %d\ndata: x\n\n" % number)


@pytest.mark.parametrize("events", [[], [COMMENT], [build_event(1)]])
def test_bytes_and_seconds_without_a_new_event_are_bounded(events):
    for size, step in ((101, 0.01), (1, 0.5)):
        progress = EventProgress(BOUNDS, needs_ids=True)
        assert progress.count(20, [build_event(1)], 0.0)
        excess = None
        for number in range(1, 12):
            assert not progress.count(size, events, number * step)
            excess = excess or progress.find_excess(number * step)
        assert excess is not None
        assert excess.bound == ("event_bytes" if size > 1 else "event_seconds")


def test_long_stream_with_comments_and_pauses_exceeds_no_bound():
    progress, now = EventProgress(BOUNDS, needs_ids=True), 0.0
    for number in range(1000):
        now += 1.5
        assert not progress.count(400, [COMMENT], now)
        assert progress.find_excess(now) is None
        now += 1.5
        assert progress.count(400, [build_event(number)], now)
        assert progress.find_excess(now) is None
        now += 60.0


def test_stream_that_is_silent_within_an_event_exceeds_no_bound():
    progress = EventProgress(BOUNDS, needs_ids=True)
    for now in (0.0, 3.0, 6.0):
        assert not progress.count(10, [], now)
        assert progress.find_excess(now) is None
    assert progress.count(10, [build_event(1)], 9.0)


@pytest.mark.parametrize("needs_ids", [False, True])
def test_events_without_ids_count_where_a_stream_needs_none(needs_ids):
    progress = EventProgress(BOUNDS, needs_ids)
    assert progress.count(2000, [Event(None, b"data: x\n\n")], 0.0) is not needs_ids
    assert not progress.count(2000, [COMMENT], 0.0)


def test_target_with_unbounded_answers_is_ejected_whatever_else_it_answers():
    detector = OutlierDetector()
    detector.set_targets({FLAWED, GOOD, TargetId("other"), TargetId("last")})
    now = 0.0
    for number in range(1, 4):
        for _ in range(5):
            detector.note_success(FLAWED, now)
        is_ejected = detector.note_unbounded(FLAWED, now)
        assert is_ejected is (number == 3)
        now += 1.0
    assert detector.get_health(FLAWED) is Health.EJECTED
    assert detector.start_due_probes(now + 10.0) == [FLAWED]
    assert detector.note_success(FLAWED, now + 10.0)


def test_rare_unbounded_answers_do_not_eject_a_target():
    detector = OutlierDetector()
    detector.set_targets({FLAWED, GOOD})
    for number in range(10):
        assert not detector.note_unbounded(FLAWED, 20.0 * number)
        detector.note_success(FLAWED, 20.0 * number)


def test_stall_is_found_without_the_time_in_which_nothing_is_read():
    async def scenario(time):
        stalls = []
        watch = StallWatch(2.0, lambda seconds: stalls.append((seconds, time.now)))
        await asyncio.sleep(1.5)
        watch.note_progress()
        await asyncio.sleep(1.5)
        watch.suspend()
        await asyncio.sleep(30.0)
        watch.resume()
        assert not stalls
        await asyncio.sleep(0.4)
        assert not stalls
        await asyncio.sleep(5.0)
        return stalls

    ((seconds, at),) = run_virtually(scenario)
    assert 2.0 <= seconds < 2.3
    assert 33.4 <= at < 33.8


def test_process_that_stood_still_blames_nobody():
    async def scenario(time):
        stalls = []
        watch = StallWatch(2.0, stalls.append)
        loop = asyncio.get_running_loop()
        due = watch._due
        watch._timer.cancel()
        watch._timer = loop.call_at(due + 10.0, watch._check)
        await asyncio.sleep(13.0)
        assert not stalls
        watch.stop()

    run_virtually(scenario)
