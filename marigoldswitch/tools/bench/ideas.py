"""The paper's ideas one by one: what callers get with and without each."""

from marigoldswitch.tools.bench.router import Ideas

AS_BUILT = "as built"

VARIANTS: dict[str, Ideas] = {
    AS_BUILT: Ideas(),
    "without retry budget": Ideas(budget=False),
    "without three-way signal": Ideas(signals=False),
    "without bound in time": Ideas(bound=False),
    "without in-flight cap": Ideas(cap=False),
    "with adaptive local refusal": Ideas(throttle=True),
}

PLAYS = ("load 3", "load 10", "burst", "overstated slots", "targets refuse",
         "targets fail")  # fmt: skip
"""Plays in which at least one of the ideas should show."""
