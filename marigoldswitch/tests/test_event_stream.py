"""Events are complete and unchanged, however their bytes are split."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLong,
)

CONTENT = b"".join(
    b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 6)
)


@given(st.lists(st.integers(0, len(CONTENT)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(cuts):
    splitter, events, begin = EventSplitter(), [], 0
    for end in [*sorted(cuts), len(CONTENT)]:
        events += splitter.feed(CONTENT[begin:end])
        begin = end
    assert b"".join(item.content for item in events) == CONTENT
    assert [item.id for item in events] == ["1", "2", "3", "4", "5"]
    assert not splitter.has_remainder


def test_incomplete_event_is_buffered():
    splitter = EventSplitter()
    events = splitter.feed(CONTENT[:-3])
    assert [item.id for item in events] == ["1", "2", "3", "4"]
    assert splitter.has_remainder


def test_lines_before_the_id_belong_to_their_event():
    event = b"weight-versions: 3\nid: 9\ndata: x\r\n\r\n"
    (found,) = EventSplitter().feed(event)
    assert found.id == "9"
    assert found.content == event


def test_event_beyond_the_size_limit_is_rejected():
    with pytest.raises(EventTooLong):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))
