"""Reads the value of the ``Retry-After`` header (RFC 9110, section 10.2.3)."""

import re

MAX_RETRY_AFTER = 3600.0
"""Longest time that is believed, in seconds."""
_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")


def parse_retry_after(text: str | None) -> float | None:
    """Return a ``Retry-After`` in seconds; ``None`` for dates and malformed values.

    Some targets send fractions of a second, beyond the RFC.
    """
    if text is None or _SECONDS.fullmatch(text) is None:
        return None
    return min(float(text), MAX_RETRY_AFTER)
