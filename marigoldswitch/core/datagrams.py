"""What hosts tell each other of members and leaving targets, and its datagrams.

A datagram is ``msgpack`` of positional fields: names of fields would take more bytes
than their values. What is decoded is checked against the classes.
"""

from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from marigoldswitch.core.ids import (
    BundleVersion,
    DataCentre,
    HostId,
    Incarnation,
    TargetId,
)

MAX_PAYLOAD_BYTES = 1200
"""Largest payload; with the code and the headers it fits an unfragmented packet."""


class Status(Enum):
    """How a host is seen; at one incarnation the later item overrides the earlier."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
    """It has said that it is gone."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What is known of one host.

    :param peers: ``IP:port`` of its peer listener.
    :param gossip: ``IP:port`` of its gossip listener.
    :param run: random number of the process, which tells two of one name apart.
    :param suspected_by: who says so, where the status is ``SUSPECT``.
    :param bundle: newest bundle version that it has.
    """

    host: HostId
    data_centre: DataCentre
    peers: str
    gossip: str
    run: int
    incarnation: Incarnation
    status: Status = Status.ALIVE
    leaving: bool = False
    bundle: BundleVersion = BundleVersion(0)
    suspected_by: HostId = HostId("")

    @property
    def is_live(self) -> bool:
        """Tell whether the host counts as live; a suspect does."""
        return self.status in {Status.ALIVE, Status.SUSPECT}

    def overrides(self, other: "MemberRecord") -> bool:
        """Tell whether this record is newer than another of the same process."""
        mine = (self.incarnation, self.status.value)
        return mine > (other.incarnation, other.status.value)


class MarkSource(Enum):
    """Who said that a target is leaving or back."""

    HOST_LIST = 0
    ANSWER = 1
    ORDER = 2


@dataclass(frozen=True, slots=True)
class TargetMark:
    """A source says that a target is leaving, or that it is back.

    :param number: rises with each change by one source; the higher one holds.
    :param remaining: seconds for which it still holds.
    """

    target: TargetId
    source: MarkSource
    number: int
    leaving: bool
    remaining: float


Delta = MemberRecord | TargetMark


@dataclass(frozen=True, slots=True)
class Sender:
    """Who sent a datagram."""

    host: HostId
    run: int
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an :class:`Ack`.

    :param number: comes back in the answer.
    :param to: who should answer; empty where only the address is known.
    :param digest: digest of the sender's live members.
    """

    sender: Sender
    to: HostId
    number: int
    digest: int
    deltas: tuple[Delta, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks another host to ping a third one and to pass its answer on."""

    sender: Sender
    to: HostId
    number: int
    target: HostId
    address: str
    deltas: tuple[Delta, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a ping; also passed on to who asked for an indirect one.

    :param about: the host that was found alive.
    """

    sender: Sender
    to: HostId
    number: int
    about: HostId
    digest: int
    deltas: tuple[Delta, ...] = ()


@dataclass(frozen=True, slots=True)
class Push:
    """Carries urgent changes; it is not answered."""

    sender: Sender
    to: HostId
    deltas: tuple[Delta, ...] = ()


Datagram = Ping | PingRequest | Ack | Push

_KINDS: tuple[type[Any], ...] = (
    Ping,
    PingRequest,
    Ack,
    Push,
    MemberRecord,
    TargetMark,
)
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_NAMES = {kind: [item.name for item in fields(kind)] for kind in (*_KINDS, Sender)}
_ADAPTERS: dict[type[Any], TypeAdapter[Any]] = {
    kind: TypeAdapter(kind) for kind in (*_KINDS, Sender)
}
_DELTA_KINDS = (MemberRecord, TargetMark)


def _pack(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_pack_tagged(item) for item in value]
    if isinstance(value, Sender):
        return [value.host, value.run, value.incarnation]
    return value


def _pack_tagged(item: Any) -> list[object]:
    kind = type(item)
    values = [_pack(getattr(item, name)) for name in _NAMES[kind]]
    return [_NUMBERS[kind], *values]


def measure_delta(delta: Delta) -> int:
    """Return the bytes that a change takes in a datagram."""
    return len(msgpack.packb(_pack_tagged(delta)))


def encode_datagram(datagram: Datagram) -> bytes:
    """Return a datagram's payload."""
    payload: bytes = msgpack.packb(_pack_tagged(datagram))
    return payload


def decode_datagram(payload: bytes) -> Result[Datagram, str]:
    """Return the datagram that a payload holds, or what is wrong with it."""
    try:
        number, *values = msgpack.unpackb(payload)
        kind = _KINDS[number]
        if kind in _DELTA_KINDS:
            return Err("a change outside a datagram")
        named = dict(zip(_NAMES[kind], values, strict=True))
        named["sender"] = _build(Sender, named["sender"])
        named["deltas"] = tuple(_unpack_delta(item) for item in named["deltas"])
        return Ok(_ADAPTERS[kind].validate_python(named))
    except ValidationError as error:
        return Err(f"wrong field: {error.error_count()} faults")
    except (ValueError, TypeError, LookupError, msgpack.UnpackException) as error:
        return Err(f"no datagram: {type(error).__name__}")


def _build(kind: type[Any], values: list[object]) -> Any:
    named = dict(zip(_NAMES[kind], values, strict=True))
    return _ADAPTERS[kind].validate_python(named)


def _unpack_delta(item: list[Any]) -> Delta:
    kind = _KINDS[item[0]]
    if kind not in _DELTA_KINDS:
        raise ValueError("no change")
    delta: Delta = _build(kind, item[1:])
    return delta
