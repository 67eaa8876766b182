"""Targets that operators or engine orders have drained: rows of the table service."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

import msgpack
from result import Err, Ok, Result

from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.ports import (
    HostEntry,
    HostRole,
    Put,
    StoreFault,
    TableService,
)

DRAIN_TABLE = "drains"


@dataclass(frozen=True, slots=True)
class Drain:
    """Why a target gets no new work.

    :param by: the operator, or :data:`marigoldswitch.orderers.ORDERS` for orders.
    :param why: for people.
    """

    target: TargetId
    by: str
    why: str


class Drains:
    """The drains as this host last read them, and the way to change them."""

    def __init__(self, table: TableService) -> None:
        self.marked: dict[TargetId, Drain] = {}
        self._table = table
        self._versions: dict[TargetId, int] = {}
        self._shown: set[TargetId] = set()

    async def look(self) -> bool:
        """Read the rows again; tell whether the platform answered."""
        rows = await self._table.scan(DRAIN_TABLE, "")
        if isinstance(rows, Err):
            return False
        self.marked, self._versions = {}, {}
        for key, row in rows.ok_value.items():
            target = TargetId(key)
            self.marked[target] = _decode_drain(target, row.value)
            self._versions[target] = row.version
        return True

    async def add(
        self, drain: Drain, guard: Sequence[Put] = ()
    ) -> Result[Drain, StoreFault]:
        """Drain a target; one that is drained already stays as it is.

        :param guard: rows that must still be as expected, or nothing is written.
        """
        if not await self.look():
            return Err(StoreFault.UNAVAILABLE)
        if drain.target in self.marked:
            return Ok(self.marked[drain.target])
        value = msgpack.packb([drain.by, drain.why])
        put = Put(DRAIN_TABLE, drain.target, value, expect=0)
        return await self._write(drain, put, guard)

    async def remove(
        self, target: TargetId, guard: Sequence[Put] = ()
    ) -> Result[Drain | None, StoreFault]:
        """Let a target take work again; return the drain that there was."""
        if not await self.look():
            return Err(StoreFault.UNAVAILABLE)
        drain = self.marked.get(target)
        if drain is None:
            return Ok(None)
        put = Put(DRAIN_TABLE, target, None, expect=self._versions[target])
        written = await self._write(drain, put, guard)
        return written.map(lambda item: item)

    def mark(self, hosts: Sequence[HostEntry]) -> list[HostEntry]:
        """Return a host list in which all drained targets are leaving.

        A target that the list lacks is put on it, live again after its drain.
        """
        listed: set[TargetId] = {
            TargetId(item.id) for item in hosts if item.role is HostRole.TARGET
        }
        marked = [
            replace(item, leaving=True)
            if item.role is HostRole.TARGET and TargetId(item.id) in self.marked
            else item
            for item in hosts
        ]
        self._shown |= self.marked.keys()
        unlisted = [
            HostEntry(
                target, HostRole.TARGET, DataCentre(""), "", target in self.marked
            )
            for target in sorted(self._shown - listed)
        ]
        return marked + unlisted

    async def _write(
        self, drain: Drain, put: Put, guard: Sequence[Put]
    ) -> Result[Drain, StoreFault]:
        written = await self._table.transact([put, *guard])
        looked = await self.look()
        if isinstance(written, Ok):
            return Ok(drain)
        wanted = put.value is not None
        if (
            written.err_value is StoreFault.UNKNOWN
            and looked
            and (drain.target in self.marked) == wanted
        ):
            return Ok(drain)
        return Err(written.err_value)


def _decode_drain(target: TargetId, value: bytes) -> Drain:
    """Return the drain that a row holds; a row that can't be read drains as well."""
    try:
        match msgpack.unpackb(value):
            case [str(by), str(why)]:
                return Drain(target, by, why)
    except (ValueError, TypeError, msgpack.UnpackException):
        pass
    return Drain(target, "", "its row cannot be read")
