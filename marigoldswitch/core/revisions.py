"""Places in the history of the platform's store, of which the greater one is newer.

The store may come back from a copy some seconds old: its versions go back and are given
out again, in a new era. Era and version together make one number, so that what is of a
later era is newer than all that was known before, whatever its version.
"""

VERSION_BITS = 44
"""Bits for the version; a thousand writes a second fill them in five centuries."""
ERA_BITS = 19
"""Bits for the era, so that both fit into a signed number of 64; eras count returns of
the store, and only the order of near ones matters."""


def make_revision(era: int, version: int) -> int:
    """Return the place of a version in an era."""
    return (era % (1 << ERA_BITS) << VERSION_BITS) | version


def get_era(revision: int) -> int:
    """Return the era of a place; 0 where the store tells none."""
    return revision >> VERSION_BITS


def get_version(revision: int) -> int:
    """Return the store's own version at a place."""
    return revision & ((1 << VERSION_BITS) - 1)
