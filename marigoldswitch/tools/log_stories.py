"""The story of one request, from the logs that hosts have written."""

import sys
from collections.abc import Iterable, Iterator, Sequence
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import orjson

STANDARD_INPUT = "-"
AROUND_SECONDS = 2.0
"""Time before a request's first line from which beliefs about its targets are told."""
BELIEFS = frozenset({"engine_silent", "target_changed", "order_sent"})
"""Lines that name a target and no request."""

Line = dict[str, Any]


def read_lines(paths: Sequence[str]) -> Iterator[Line]:
    """Return the JSON lines of some files; other text in them is passed over.

    What stands before a line's first brace, such as a collector's time and host, is
    left out.

    :param paths: files, or ``-`` for standard input.
    """
    for path in paths:
        if path == STANDARD_INPUT:
            yield from _parse_lines(sys.stdin.buffer)
            continue
        with Path(path).open("rb") as file:
            yield from _parse_lines(file)


def _parse_lines(lines: Iterable[bytes]) -> Iterator[Line]:
    for line in lines:
        begin = line.find(b"{")
        if begin < 0:
            continue
        try:
            fields = orjson.loads(line[begin:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield fields


def find_story(lines: Iterable[Line], request: str) -> list[Line]:
    """Return the lines about a request and its targets, in order of time.

    :param request: id of the request.
    """
    own: list[Line] = []
    beliefs: list[Line] = []
    for line in lines:
        if line.get("request") == request:
            own.append(line)
        elif line["event"] in BELIEFS:
            beliefs.append(line)
    if not own:
        return []
    own.sort(key=_get_time)
    targets = {name for line in own for name in _list_targets(line)}
    first, last = _get_time(own[0]), _get_time(own[-1])
    story = own + [
        line
        for line in beliefs
        if line.get("target") in targets and _is_near(_get_time(line), first, last)
    ]
    return sorted(story, key=_get_time)


def _list_targets(line: Line) -> list[str]:
    stages = [*(line.get("stages") or ()), *(line.get("replaced") or ())]
    named = [str(item).partition("@")[0] for item in stages]
    return named + [str(line["target"])] if "target" in line else named


def _get_time(line: Line) -> str:
    """Return the time of a line, in a form that sorts."""
    return str(line.get("timestamp", ""))


def _is_near(moment: str, first: str, last: str) -> bool:
    """Tell whether a moment lies in a request's time, or shortly before it."""
    return moment <= last and _shift(moment) >= first


def _shift(moment: str) -> str:
    """Return the moment some seconds later."""
    later = datetime.fromisoformat(moment) + timedelta(seconds=AROUND_SECONDS)
    return later.isoformat().replace("+00:00", "Z")
