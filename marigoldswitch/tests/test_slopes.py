"""Least squares fit: exact on a line; the error is that of the worst measurement."""

import pytest

from marigoldswitch.tools.slopes import fit_slope


def test_fit_of_points_on_a_line_is_exact():
    slope = fit_slope("cost", "s", (1, 2, 4, 8), (5, 7, 11, 19))
    assert slope.estimate(100) == pytest.approx(203)
    assert slope.error == pytest.approx(0, abs=1e-9)


def test_error_is_the_largest_relative_residual():
    slope = fit_slope("cost", "s", (1, 2, 3), (10, 40, 30))
    assert slope.error == pytest.approx(2 / 3)
