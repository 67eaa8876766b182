"""The highest of recent amounts."""

from marigoldswitch.core.peaks import RecentPeak


def test_peak_is_the_highest_of_the_last_amounts():
    peak = RecentPeak()
    for now, amount in ((0.0, 2.0), (1.0, 5.0), (2.0, 1.0), (3.0, 3.0)):
        peak.note(amount, now)
    assert [peak.get(since) for since in (0.5, 1.5, 3.0, 3.5)] == [5.0, 3.0, 3.0, 0.0]
