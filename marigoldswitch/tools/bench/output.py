"""The bench's table, JSON and plots."""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import fmean, pstdev

import orjson

from marigoldswitch.tools.bench.figures import Figures


@dataclass(frozen=True, slots=True)
class Row:
    """One play under one policy, over all seeds."""

    play: str
    policy: str
    runs: list[Figures]

    def average(self, read: Callable[[Figures], float]) -> tuple[float, float]:
        """Return mean and standard deviation of a figure over the seeds."""
        values = [read(run) for run in self.runs]
        return fmean(values), pstdev(values)


def read_wait(figures: Figures, percentile: int, kind: str = "short") -> float:
    """Return a percentile of the wait of one kind of work, in seconds."""
    return figures.waits.get(kind, {}).get(percentile, 0.0)


COLUMNS: dict[str, Callable[[Figures], float]] = {
    "goodput": lambda item: item.goodput,
    "p50": lambda item: read_wait(item, 50),
    "p95": lambda item: read_wait(item, 95),
    "p99": lambda item: read_wait(item, 99),
    "longest": lambda item: read_wait(item, 100),
    "p99 long": lambda item: read_wait(item, 99, "long"),
    "Jain": lambda item: item.jain,
    "attempts": lambda item: item.attempts,
    "refused": lambda item: item.refused,
    "ref. at": lambda item: item.refused_at,
    "late": lambda item: item.late,
    "failed": lambda item: item.failed,
    "host lost": lambda item: item.host_lost,
    "hottest": lambda item: item.hottest,
}


def print_rows(rows: list[Row]) -> None:
    """Print one line for each play and policy: mean ± deviation over seeds."""
    print(f"{'play':<17}{'policy':<29}" + "".join(f"{c:>14}" for c in COLUMNS))
    last = ""
    for row in rows:
        shown = row.play if row.play != last else ""
        last = row.play
        cells = [_format(*row.average(read)) for read in COLUMNS.values()]
        print(f"{shown:<17}{row.policy:<29}" + "".join(f"{c:>14}" for c in cells))


def _format(mean: float, deviation: float) -> str:
    digits = 0 if mean >= 100 else 3
    return f"{mean:.{digits}f}±{deviation:.{digits}f}"


def write_rows(rows: list[Row], out: Path, name: str) -> None:
    """Write all figures as JSON."""
    out.mkdir(parents=True, exist_ok=True)
    content = [asdict(row) for row in rows]
    option = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
    (out / f"{name}.json").write_bytes(orjson.dumps(content, option=option))


def draw_rows(rows: list[Row], out: Path, name: str) -> None:
    """Draw goodput and the 99th percentile of the wait, by play and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    plays = list(dict.fromkeys(row.play for row in rows))
    policies = list(dict.fromkeys(row.policy for row in rows))
    for column, scale in (("goodput", "linear"), ("p99", "symlog")):
        figure, axes = pyplot.subplots(figsize=(14, 5))
        for place, policy in enumerate(policies):
            found = {row.play: row for row in rows if row.policy == policy}
            marks = [found[play].average(COLUMNS[column]) for play in plays]
            places = [n + (place - len(policies) / 2) * 0.12 for n in range(len(plays))]
            means, errors = [m[0] for m in marks], [m[1] for m in marks]
            axes.bar(places, means, 0.11, yerr=errors, label=policy)
        axes.set_xticks(range(len(plays)), plays, rotation=45, ha="right")
        axes.set_yscale(scale)
        axes.set_ylabel(column)
        axes.legend(fontsize=7)
        figure.tight_layout()
        figure.savefig(out / f"{name}-{column}.png", dpi=110)
        pyplot.close(figure)
