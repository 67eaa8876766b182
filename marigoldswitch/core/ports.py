"""What the decisions need from the world, as interfaces."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

from marigoldswitch.core.ids import DataCentre, HostId


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary instant; it never goes back."""
        ...


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; each write raises its version by one."""

    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """One write of a transaction.

    :param expect: version that the row must have; 0 means that it must be absent.
    :param value: the new value, or ``None`` to delete the row.
    """

    table: str
    key: str
    value: bytes | None
    expect: int


class StoreFault(Enum):
    """Why the platform did not do what it was asked."""

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    """Certainly not done."""
    UNKNOWN = "unknown"
    """The answer was lost: it may have been done."""


class TableService(Protocol):
    """The platform's transactional table service."""

    async def read(self, table: str, key: str) -> Result[Row | None, StoreFault]:
        """Return one row, or ``None`` where there is none."""
        ...

    async def scan(self, table: str, prefix: str) -> Result[dict[str, Row], StoreFault]:
        """Return the rows whose key begins with ``prefix``, by key."""
        ...

    async def transact(self, puts: Sequence[Put]) -> Result[None, StoreFault]:
        """Write all rows or none."""
        ...


class ObjectStore(Protocol):
    """The platform's store of immutable content."""

    async def get(self, key: str) -> Result[bytes | None, StoreFault]:
        """Return the content, or ``None`` where there is none."""
        ...

    async def put(self, key: str, content: bytes) -> Result[None, StoreFault]:
        """Store content; storing the same content again changes nothing."""
        ...


class HostRole(Enum):
    """What a machine in the host list is for."""

    ENTRY = "entry"
    TARGET = "target"


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One line of the platform's host list, which lags.

    :param address: ``IP:port`` of the peer listener for an entry host.
    """

    id: str
    role: HostRole
    data_centre: DataCentre
    address: str
    leaving: bool


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    async def fetch(self) -> Result[list[HostEntry], StoreFault]:
        """Return the list as the platform sees it now."""
        ...


class PeerLink(Protocol):
    """Messages to the other hosts; a host reaches itself the same way."""

    def send(self, host: HostId, message: object) -> None:
        """Queue one message; it may be lost."""
        ...
