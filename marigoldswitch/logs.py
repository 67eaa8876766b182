"""Structured logs: one JSON object a line."""

import logging
import sys
from typing import TextIO

import structlog

NEVER_LOGGED = frozenset({"authorization", "token", "bearer", "body", "secret"})
"""Names of fields whose values never reach a log."""


def _redact(
    logger: object, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for name in NEVER_LOGGED & event.keys():
        event[name] = "[redacted]"
    return event


def configure_logs(level: str = "info", stream: TextIO | None = None) -> None:
    """Set up the logs of the whole process.

    :param level: least level that is written.
    :param stream: where lines go; standard error by default.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _redact,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
