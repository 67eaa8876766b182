"""The prefill backlog of engines falls as time passes."""

import pytest

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.reading_backlog import MAX_BACKLOG_SECONDS, ReadingBacklog

NAME = TargetId("e1")


def test_unknown_engine_has_no_backlog():
    assert ReadingBacklog().get_seconds(NAME, 5.0) == 0.0


def test_backlog_adds_up_and_falls_with_time():
    backlog = ReadingBacklog()
    backlog.add(NAME, 0.1, 10.0)
    backlog.add(NAME, 0.2, 10.05)
    assert backlog.get_seconds(NAME, 10.05) == pytest.approx(0.25)
    assert backlog.get_seconds(NAME, 10.15) == pytest.approx(0.15)
    assert backlog.get_seconds(NAME, 11.0) == 0.0


def test_backlog_of_an_idle_engine_begins_at_the_moment_of_the_work():
    backlog = ReadingBacklog()
    backlog.add(NAME, 0.1, 10.0)
    backlog.add(NAME, 0.1, 20.0)
    assert backlog.get_seconds(NAME, 20.0) == pytest.approx(0.1)


def test_backlog_is_bounded():
    backlog = ReadingBacklog()
    for _ in range(100):
        backlog.add(NAME, 1.0, 0.0)
    assert backlog.get_seconds(NAME, 0.0) == MAX_BACKLOG_SECONDS
    backlog.forget(NAME)
    assert backlog.get_seconds(NAME, 0.0) == 0.0
