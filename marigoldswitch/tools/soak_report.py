"""Figures of a randomised run, and the trace printed on a breach."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from marigoldswitch.tools.soak_checks import Breach
from marigoldswitch.tools.soak_faults import FaultPlayer
from marigoldswitch.tools.soak_load import Attempt, EndKind

SHOWN = 5
"""Breaches of which a trace is printed."""
LOG_LINES = 60


@dataclass(slots=True)
class Figures:
    """What a run counted.

    :param heals: seconds from the end of the last fault of each round to rest.
    :param rests: seconds from the last request's end to rest.
    :param gaps: seconds in which a stream stood still, by the faults at that time.
    """

    ends: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    heals: list[float] = field(default_factory=list)
    rests: list[float] = field(default_factory=list)
    gaps: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    unhandled: Counter[str] = field(default_factory=Counter)
    slowest_loop: float = 0.0

    def take(self, attempt: Attempt, player: FaultPlayer) -> None:
        """Count one request."""
        kind = attempt.error.get("kind", "")
        self.ends[f"{attempt.kind} {attempt.end.value} {kind}".strip()] += 1
        if attempt.end is EndKind.ANSWERED and attempt.gaps:
            began, seconds = max(attempt.gaps, key=lambda gap: gap[1])
            for fault in player.list_active(began) or ["none"]:
                self.gaps[fault].append(seconds)


def print_report(seed: int, figures: Figures, breaches: Sequence[Breach]) -> None:
    """Print the figures of a run."""
    print(f"seed {seed}: {sum(figures.ends.values())} requests,", end=" ")
    print(f"{sum(figures.faults.values())} faults, {len(breaches)} breaches")
    for name, count in sorted(figures.ends.items()):
        print(f"  {name}: {count}")
    print("  faults:", ", ".join(f"{k} {n}" for k, n in sorted(figures.faults.items())))
    print("  seconds from the last fault to rest:", _describe(figures.heals))
    print("  seconds from the last request to rest:", _describe(figures.rests))
    for fault, seconds in sorted(figures.gaps.items()):
        print(f"  longest gap of answered streams, {fault}: {_describe(seconds)}")
    for what, count in figures.unhandled.items():
        print(f"  unhandled, {count} times: {what}")
    print(f"  slowest turn of the loop: {figures.slowest_loop:.2f} s", flush=True)


def print_trace(
    seed: int,
    breaches: Sequence[Breach],
    attempts: Sequence[Attempt],
    player: FaultPlayer,
    logs: Iterable[dict[str, Any]],
) -> None:
    """Print the recent faults and the events of the requests concerned."""
    print(f"seed {seed}: BREACH")
    for stretch in player.stretches:
        fault = stretch.fault
        print(f"  {stretch.began:.3f}-{stretch.ended:.3f} {fault.kind.value}", end=" ")
        print(fault.subject)
    kept = list(logs)
    for breach in breaches[:SHOWN]:
        print(f"* {breach.what} [{breach.subject}] {' '.join(breach.requests)}")
        for attempt in attempts:
            if breach.subject == attempt.subject:
                print("   ", attempt.describe())
        names = {breach.subject, *breach.requests} - {""}
        lines = [line for line in kept if _concerns(line, names)]
        for line in lines[-LOG_LINES:]:
            print("   ", line)


def _concerns(line: dict[str, Any], names: set[str]) -> bool:
    if line.get("event") == "promise_broken":
        return True
    return bool(names & {str(value) for value in line.values()})


def _describe(values: Sequence[float]) -> str:
    if not values:
        return "none"
    ordered = sorted(values)
    last = len(ordered) - 1
    shares = [ordered[round(last * share)] for share in (0.5, 0.95, 1.0)]
    middle, most, longest = (f"{value:.2f}" for value in shares)
    return f"median {middle}, 95 % {most}, longest {longest} (n={len(ordered)})"
