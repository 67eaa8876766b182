"""The lines of a request are found in the logs of several hosts and sorted by time."""

import orjson

from marigoldswitch.tools import control
from marigoldswitch.tools.log_stories import find_trail, read_lines


def line(second, event, **fields):
    moment = f"2026-12-02T10:00:{second:06.3f}Z"
    return orjson.dumps({"event": event, "timestamp": moment, **fields})


LINES = [
    line(9.0, "request_ended", request="r1", host="h1", end="broken off: no chain"),
    line(1.0, "engine_silent", target="i-2", host="h2"),
    line(6.5, "engine_silent", target="i-2", host="h2"),
    line(5.0, "chain_chosen", request="r1", host="h1", stages=["i-2@10.0.0.2:80=0-8"]),
    line(6.0, "engine_silent", target="i-9", host="h2"),
    line(6.0, "chain_chosen", request="r2", host="h1", stages=["i-9@10.0.0.9:80=0-8"]),
    line(8.0, "detour_missing", request="r1", host="h1"),
]


def write(tmp_path):
    first, second = tmp_path / "h1.log", tmp_path / "h2.log"
    first.write_bytes(b"  6.1 h1 text that is no line\n" + b"\n".join(LINES[:4]))
    second.write_bytes(b"\n".join(b" 6.2 h2 " + item for item in LINES[4:]))
    return [str(first), str(second)]


def test_trail_is_in_time_order_and_includes_its_engines(tmp_path):
    story = find_trail(read_lines(write(tmp_path)), "r1")
    assert [item["event"] for item in story] == [
        "chain_chosen",
        "engine_silent",
        "detour_missing",
        "request_ended",
    ]


def test_request_that_no_line_names_has_no_trail(tmp_path):
    assert find_trail(read_lines(write(tmp_path)), "r3") == []


def test_tool_prints_the_trail(tmp_path, capsys):
    assert control.explain("r1", *write(tmp_path)) == 0
    assert "broken off" in capsys.readouterr().out


def test_tool_names_a_missing_file(tmp_path, capsys):
    missing = str(tmp_path / "none.log")
    assert control.explain("r1", missing) != 0
    assert missing in capsys.readouterr().err
