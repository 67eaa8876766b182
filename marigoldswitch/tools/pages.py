"""Writes the pages of the documentation that are made from the code."""

import sys
from pathlib import Path
from typing import Any

import defopt
from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from marigoldswitch.core.errors import ERROR_TABLE
from marigoldswitch.settings import Settings

ERRORS_HEADING = """# Errors

Every request that gets no answer ends with one of these kinds. *Outcome* says what the
caller may believe, *advice* what to do next. The page is written by
`python -m marigoldswitch.tools.pages` from `marigoldswitch/core/errors.py`.

| kind | status | outcome | advice | Retry-After (s) | meaning |
|---|---|---|---|---|---|
"""

SETTINGS_HEADING = """# Settings

All settings of the daemon, from one YAML file. The page is written by
`python -m marigoldswitch.tools.pages` from `marigoldswitch/settings.py`.

| setting | default | meaning |
|---|---|---|
"""


def format_errors_page() -> str:
    """Return the page of the error kinds."""
    lines = []
    for kind, row in ERROR_TABLE.items():
        wait = "" if row.retry_after is None else f"{row.retry_after:g}"
        lines.append(
            f"| `{kind.value}` | {row.status} | `{row.outcome.value}` "
            f"| `{row.advice.value}` | {wait} | {row.meaning} |"
        )
    return ERRORS_HEADING + "\n".join(lines) + "\n"


def format_settings_page() -> str:
    """Return the page of the settings."""
    return SETTINGS_HEADING + "\n".join(_list_settings(Settings, "")) + "\n"


def _list_settings(section: type[BaseModel], prefix: str) -> list[str]:
    lines = []
    for name, field in section.model_fields.items():
        inner: Any = field.annotation
        if isinstance(inner, type) and issubclass(inner, BaseModel):
            lines += _list_settings(inner, f"{prefix}{name}.")
            continue
        default = field.default
        if default is PydanticUndefined:
            made = field.default_factory() if field.default_factory else None  # type: ignore[call-arg]
            default = "required" if made is None else made
        meaning = field.description or "see below"
        lines.append(f"| `{prefix}{name}` | `{default}` | {meaning} |")
    return lines


def write(*, docs: Path = Path("docs")) -> None:
    """Write the pages.

    :param docs: folder of the documentation.
    """
    (docs / "errors.md").write_text(format_errors_page(), encoding="utf-8")
    (docs / "settings.md").write_text(format_settings_page(), encoding="utf-8")


def main() -> None:
    """Entry point."""
    defopt.run(write)
    sys.exit(0)


if __name__ == "__main__":
    main()
