"""Which host dispatches a service: rendezvous hashing over the live hosts."""

from collections.abc import Iterable

import xxhash

from marigoldswitch.core.ids import DataCentre, HostId, ServiceName


def choose_owner(
    service: ServiceName, data_centre: DataCentre, hosts: Iterable[HostId]
) -> HostId | None:
    """Return the host that dispatches a service in a data centre.

    All hosts that see the same live hosts choose the same owner, and the loss of a
    host moves only the services that it owned.

    :param hosts: live hosts of that data centre.
    """
    key = f"{data_centre}/{service}"
    return max(
        hosts,
        key=lambda host: (xxhash.xxh3_64_intdigest(f"{key}/{host}".encode()), host),
        default=None,
    )
