"""Which hosts are live: the view that the rest of the daemon reads."""

from collections.abc import Callable
from dataclasses import dataclass

from marigoldswitch.core.ids import BundleVersion, DataCentre, HostId


@dataclass(frozen=True, slots=True)
class Member:
    """A live host.

    :param peers: ``IP:port`` of its peer listener.
    :param leaving: it has said that it is shutting down.
    :param bundle: newest bundle version that it has said to have.
    """

    host: HostId
    data_centre: DataCentre
    peers: str
    leaving: bool = False
    bundle: BundleVersion = BundleVersion(0)


class MemberView:
    """Live hosts by id; tells listeners of changes."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[HostId, Member] = {own.host: own}
        self._listeners: list[Callable[[], None]] = []

    @property
    def members(self) -> dict[HostId, Member]:
        """Return the live hosts, this one among them."""
        return self._members

    def list_hosts(self, data_centre: DataCentre) -> list[HostId]:
        """Return the hosts of a data centre that can dispatch."""
        return [
            item.host
            for item in self._members.values()
            if item.data_centre == data_centre and not item.leaving
        ]

    def locate(self, host: HostId) -> str | None:
        """Return the address of a host's peer listener."""
        member = self._members.get(host)
        return member.peers if member else None

    def watch(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def replace(self, members: dict[HostId, Member]) -> None:
        """Take a new view; this host is always in it."""
        fresh = members | {self.own.host: self.own}
        if fresh == self._members:
            return
        self._members = fresh
        for listener in self._listeners:
            listener()
