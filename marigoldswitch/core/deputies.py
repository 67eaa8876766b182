"""Decides which host orders engines while the store of the lease is unavailable.

During an outage of the store, or in a data centre that is cut off from it, no host can
hold the lease, and holes in the layout would stay open until it ends: once for 8 s, in
which a third of the callers were refused.

In each data centre, the live host with the lowest id then acts as deputy: it orders the
engines there without the lease, as soon as no live host hears from the store or from a
lease holder. A host that only lost its own connections still hears a host that reads
the store, or too few hosts of its data centre, and does not act. A data centre that is
cut off has its own deputy while the others have a lease holder; its engines can be
reached from one side only. If two deputies act for a moment, they see the same engines
and make the same plan, and an engine accepts only the first of two orders with the same
sequence number. A single deputy for all data centres is no alternative: during a
partition three hosts acted on the same engines, and 52 of 194 orders were refused.
"""

from collections.abc import Mapping

from msgspec import Struct

from marigoldswitch.core.ids import HostId

STORE_TIMEOUT_SECONDS = 1.6
"""Time without contact to the store after which it counts as unavailable. Longer than
another host's report that the store answers stays valid, and than the 1.2 s after which
a lease holder announces that it gives up the lease."""
HOST_TIMEOUT_SECONDS = 1.5
"""Time since its last digest in which a host counts as live: several digest periods."""
QUORUM = 0.5
"""Share of the hosts of its data centre, itself included, that a deputy must hear. A
host that hears fewer may be cut off alone, while others still read the store."""


class OutageView(Struct, frozen=True):
    """A store outage, as one host sees it.

    :param host: this host.
    :param outage_seconds: seconds since the store last answered it; 0 while it answers.
    :param hears_reader: another host has reported that the store answers it.
    :param hears_holder: another host has reported that it holds the lease.
    :param digest_ages: seconds since the last digest of each other host of the data
        centre.
    """

    host: HostId
    outage_seconds: float
    hears_reader: bool
    hears_holder: bool
    digest_ages: Mapping[HostId, float]


def is_deputy(view: OutageView) -> bool:
    """Return whether a host should act as the deputy of its data centre."""
    if (
        view.hears_reader
        or view.hears_holder
        or view.outage_seconds < STORE_TIMEOUT_SECONDS
    ):
        return False
    live_hosts = [
        host for host, age in view.digest_ages.items() if age < HOST_TIMEOUT_SECONDS
    ]
    if 1 + len(live_hosts) < QUORUM * (1 + len(view.digest_ages)):
        return False
    return view.host == min([view.host, *live_hosts])
