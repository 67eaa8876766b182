"""One log line and one count for each interruption of a stream."""

import pytest

from marigoldswitch.core.ids import RequestId, TargetId
from marigoldswitch.gateway.interruption_log import InterruptionLog, LossKind
from marigoldswitch.tests.helpers import capture_all_logs


class Recorded:
    def __init__(self, limit=0.25):
        self.counts = []
        self.log = InterruptionLog(
            RequestId("r"), limit, lambda *fields: self.counts.append(fields)
        )


def interrupt(recorded, pause):
    log = recorded.log
    with capture_all_logs() as lines:
        log.note_event(10.0)
        log.note_loss(LossKind.RESET, TargetId("e1"), 10.01)
        log.note_loss(LossKind.SILENCE, TargetId("e2"), 10.02)
        log.note_chain(10.03)
        log.note_order_answered(10.04)
        log.note_event(10.0 + pause)
        log.note_event(10.1 + pause)
    return lines


@pytest.mark.parametrize(("pause", "is_kept"), [(0.2, True), (0.3, False)])
def test_interruption_is_logged_once_with_its_steps(pause, is_kept):
    recorded = Recorded()
    (line,) = interrupt(recorded, pause)
    assert line["event"] == "stream_interrupted" and line["kind"] == "reset"
    assert (line["target"], line["kept"]) == ("e1", is_kept)
    steps = [line[name] for name in ("noticed", "chain_found", "order_answered")]
    assert steps == [0.01, 0.03, 0.04] and line["first_event"] == pause
    assert recorded.counts == [(LossKind.RESET, is_kept, pytest.approx(pause))]


def test_stream_without_a_limit_logs_nothing():
    recorded = Recorded(limit=0.0)
    assert interrupt(recorded, 0.3) == [] and recorded.counts == []
    assert recorded.log.get_seconds_left(99.0) == float("inf")


def test_stream_that_has_not_begun_is_not_interrupted():
    recorded = Recorded()
    recorded.log.note_loss(LossKind.CUT, TargetId("e1"), 10.0)
    recorded.log.note_event(10.1)
    assert recorded.counts == []
    assert recorded.log.get_seconds_left(10.2) == pytest.approx(0.15)
