"""Estimates how many requests a plain target runs, from counts and reports.

Load: dozens of hosts send requests of some 70 ms to targets of 6 slots, and learn of
each other's requests 0.2 to 1.5 s late. A count of that age says nothing about single
requests: all hosts chose the target that had been idle at the last report, and it
refused up to a tenth of them while the others had room. Its mean over some seconds
still tells how much the target has to do.
"""

import math
from collections.abc import Container

from msgspec import Struct

from marigoldswitch.core.catalogue import Load
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.loads import NO_USAGE, Loads

AVERAGING_SECONDS = 4.0
"""Time over which the counts of other hosts are averaged: several of their reports."""
REPORT_SECONDS = 0.3
"""Time in which a target's own report loses two thirds of its weight: a few answers
later it runs other requests."""


class _OthersUse(Struct):
    """Mean number of a target's requests from other hosts."""

    requests: float
    updated_at: float


class _Report(Struct, frozen=True):
    requests: int
    received_at: float


class TargetUse:
    """Requests that each target of one service runs, as seen by one host."""

    def __init__(self) -> None:
        self._others: dict[TargetId, _OthersUse] = {}
        self._reports: dict[TargetId, _Report] = {}

    def note_report(self, target: TargetId, load: Load, now: float) -> None:
        """Record what a target has stated with an answer."""
        self._reports[target] = _Report(load.running + load.waiting, now)

    def keep(self, names: Container[TargetId]) -> None:
        """Forget all targets but some."""
        for known in (self._others, self._reports):
            for name in [item for item in known if item not in names]:
                del known[name]

    def estimate(self, target: TargetId, loads: Loads, now: float) -> float:
        """Return the expected number of requests that a target runs.

        This host's own requests are known exactly. A recent report of the target
        counts more than what other hosts have told.
        """
        own = loads.own.get(target, NO_USAGE).requests
        others = self._average(target, loads.get(target).requests - own, now)
        report = self._reports.get(target)
        if report is not None:
            weight = math.exp(-max(0.0, now - report.received_at) / REPORT_SECONDS)
            others += weight * (max(0, report.requests - own) - others)
        return own + others

    def _average(self, target: TargetId, others: int, now: float) -> float:
        known = self._others.get(target)
        if known is None:
            known = self._others[target] = _OthersUse(float(others), now)
            return known.requests
        weight = 1.0 - math.exp(-max(0.0, now - known.updated_at) / AVERAGING_SECONDS)
        known.requests += weight * (others - known.requests)
        known.updated_at = now
        return known.requests
