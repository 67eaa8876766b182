"""Settings are validated as a whole, and every error names its key."""

from pathlib import Path

from result import Err, Ok

from marigoldswitch.daemon import INVALID_SETTINGS_STATUS, serve
from marigoldswitch.settings import parse_settings
from marigoldswitch.tools.pages import format_settings_page

DOCS = Path(__file__).parents[2] / "docs"
MINIMAL_SETTINGS = {
    "host": "entry-1",
    "data_centre": "hobart",
    "region": "tas",
    "platform": {"address": "http://127.0.0.1:9000"},
    "peers": {"secrets": ["s"]},
}


def test_minimal_settings_are_valid():
    assert isinstance(parse_settings("f", MINIMAL_SETTINGS), Ok)


def test_all_faults_are_named_at_once():
    wrong = MINIMAL_SETTINGS | {"listen": {"callers": 70000}, "colour": 1, "host": ""}
    result = parse_settings("f.yaml", wrong)
    assert isinstance(result, Err)
    keys = sorted(line.split(": ")[1].split(" ")[0] for line in result.err_value)
    assert keys == ["colour", "host", "listen.callers"]


def test_invalid_file_ends_with_its_status(tmp_path, capsys):
    path = tmp_path / "settings.yaml"
    path.write_text("host: [")
    assert serve(path, check=True) == INVALID_SETTINGS_STATUS
    assert str(path) in capsys.readouterr().err


def test_page_lists_every_setting():
    page = (DOCS / "settings.md").read_text(encoding="utf-8")
    assert page == format_settings_page()
