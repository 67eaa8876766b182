"""Every error kind has a row, and answers and the errors page match the table."""

from pathlib import Path

import orjson
import pytest

from marigoldswitch.callers import build_fault_response
from marigoldswitch.core.errors import ERROR_TABLE, ErrorKind, Fault, Outcome
from marigoldswitch.tools.pages import format_errors_page

PAGE = Path(__file__).parents[2] / "docs" / "errors.md"


@pytest.mark.parametrize("kind", ErrorKind)
def test_answer_of_every_kind_matches_its_row(kind):
    row = ERROR_TABLE[kind]
    response = build_fault_response(Fault(kind))
    error = orjson.loads(response.body)["error"]
    assert response.status == row.status
    assert error["kind"] == kind.value
    assert error["outcome"] == row.outcome.value
    assert error["advice"] == row.advice.value
    assert ("Retry-After" in response.headers) == (row.retry_after is not None)


def test_errors_page_matches_the_table():
    assert PAGE.read_text(encoding="utf-8") == format_errors_page()


def test_every_advice_to_retry_has_a_retry_after():
    for kind, row in ERROR_TABLE.items():
        if row.advice.value != "stop":
            assert row.retry_after is not None, kind


def test_retry_after_of_a_fault_replaces_the_default():
    response = build_fault_response(Fault(ErrorKind.SATURATED, retry_after=7.2))
    assert response.headers["Retry-After"] == "8"


def test_fault_is_not_run_if_its_outcome_is_not_run():
    for kind in ErrorKind:
        expected = ERROR_TABLE[kind].outcome is Outcome.NOT_RUN
        assert Fault(kind).not_run is expected
