"""Collects the log lines that explain one request from the logs of several hosts."""

import sys
from collections.abc import Iterable, Iterator, Sequence
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import orjson

STANDARD_INPUT = "-"
LEAD_SECONDS = 2.0
"""Time before a request's first line from which events of its targets are included."""
TARGET_EVENTS = frozenset({"engine_silent", "target_changed", "order_sent"})
"""Events that concern a target and name no request."""

Line = dict[str, Any]


def read_lines(paths: Sequence[str]) -> Iterator[Line]:
    """Yield the log lines of some files; lines without a JSON event are skipped.

    Text before the first brace, such as a log collector's time and host, is ignored.

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


def find_trail(lines: Iterable[Line], request: str) -> list[Line]:
    """Return the lines about a request and its targets, sorted by time.

    :param request: id of the request.
    """
    request_lines: list[Line] = []
    target_lines: list[Line] = []
    for line in lines:
        if line.get("request") == request:
            request_lines.append(line)
        elif line["event"] in TARGET_EVENTS:
            target_lines.append(line)
    if not request_lines:
        return []
    request_lines.sort(key=_get_time)
    targets = {name for line in request_lines for name in _list_targets(line)}
    first, last = _get_time(request_lines[0]), _get_time(request_lines[-1])
    story = request_lines + [
        line
        for line in target_lines
        if line.get("target") in targets and _is_near(_get_time(line), first, last)
    ]
    return sorted(story, key=_get_time)


def _list_targets(line: Line) -> list[str]:
    stages = [*(line.get("stages") or ()), *(line.get("replaced") or ())]
    named = [str(item).partition("@")[0] for item in stages]
    return named + [str(line["target"])] if "target" in line else named


def _get_time(line: Line) -> str:
    """Return the ISO 8601 time of a line, which sorts as text."""
    return str(line.get("timestamp", ""))


def _is_near(moment: str, first: str, last: str) -> bool:
    """Return whether a time lies within a request's lines or shortly before the
    first."""
    return moment <= last and _add_lead(moment) >= first


def _add_lead(moment: str) -> str:
    """Return the time ``LEAD_SECONDS`` later."""
    later = datetime.fromisoformat(moment) + timedelta(seconds=LEAD_SECONDS)
    return later.isoformat().replace("+00:00", "Z")
