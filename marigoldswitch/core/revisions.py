"""Revisions: positions in the history of the platform's store; a greater one is newer.

The store may be restored from a copy that is some seconds old. Its versions then go
back and are reused in a new era. A revision combines era and version in one number, so
that anything of a later era is newer than everything before, whatever its version.
"""

VERSION_BITS = 44
"""Bits for the version; a thousand writes a second use them up in five centuries."""
ERA_BITS = 19
"""Bits for the era, so that a revision fits into a signed 64-bit integer. Eras count
restores of the store and wrap around; only the order of nearby ones matters."""


def make_revision(era: int, version: int) -> int:
    """Return the revision of a version in an era."""
    return (era % (1 << ERA_BITS) << VERSION_BITS) | version


def get_era(revision: int) -> int:
    """Return the era of a revision; 0 if the store reports none."""
    return revision >> VERSION_BITS


def get_version(revision: int) -> int:
    """Return the store's own version of a revision."""
    return revision & ((1 << VERSION_BITS) - 1)
