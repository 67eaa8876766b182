"""``python -m marigoldswitch.tools.bench``: plays the plays and shows the figures."""

import sys
from concurrent.futures import ProcessPoolExecutor
from enum import Enum
from pathlib import Path

import defopt

from marigoldswitch.tools.bench.baselines import BASELINES
from marigoldswitch.tools.bench.figures import run_play
from marigoldswitch.tools.bench.live import measure_daemon
from marigoldswitch.tools.bench.output import Row, draw_rows, print_rows, write_rows
from marigoldswitch.tools.bench.plays import Play, find_plays
from marigoldswitch.tools.bench.router import Router


class Level(Enum):
    """What is measured."""

    DECISIONS = "decisions"
    DAEMON = "daemon"


def bench(
    *,
    level: Level = Level.DECISIONS,
    seeds: int = 3,
    plays: str = "",
    policies: str = "",
    workers: int = 2,
    out: Path = Path("out/bench"),
) -> int:
    """Measure and write a table, JSON and plots.

    :param level: the decisions alone, or the real daemon on loopback.
    :param seeds: number of fixed seeds.
    :param plays: words of the plays' names, separated by commas; all by default.
    :param policies: the same for policies.
    :param workers: runs side by side.
    :param out: folder for JSON and plots.
    """
    if level is Level.DAEMON:
        measure_daemon(out)
        return 0
    rows = _measure_decisions(_choose_plays(plays), policies, seeds, workers)
    print_rows(rows)
    write_rows(rows, out)
    draw_rows(rows, out)
    return 0


def _choose_plays(words: str) -> list[Play]:
    chosen = [word.strip() for word in words.split(",") if word.strip()]
    return find_plays(lambda name: not chosen or any(word in name for word in chosen))


def _measure_decisions(
    plays: list[Play], policies: str, seeds: int, workers: int
) -> list[Row]:
    words = [word.strip() for word in policies.split(",") if word.strip()]
    names = [
        name
        for name in (*BASELINES, Router.name)
        if not words or any(word in name for word in words)
    ]
    cases = [(play, name) for play in plays for name in names]
    with ProcessPoolExecutor(workers) as pool:
        runs = {
            case: [pool.submit(run_play, *case, seed) for seed in range(seeds)]
            for case in cases
        }
        return [
            Row(play.name, name, [run.result() for run in runs[play, name]])
            for play, name in cases
        ]


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(bench))


if __name__ == "__main__":
    main()
