"""The fit finds a line and says how far measurements are from it."""

import pytest

from marigoldswitch.tools.slopes import fit_slope


def test_line_is_found_exactly():
    slope = fit_slope("cost", "s", (1, 2, 4, 8), (5, 7, 11, 19))
    assert slope.estimate(100) == pytest.approx(203)
    assert slope.error == pytest.approx(0, abs=1e-9)


def test_error_is_the_worst_point():
    slope = fit_slope("cost", "s", (1, 2, 3), (10, 40, 30))
    assert slope.error == pytest.approx(2 / 3)
