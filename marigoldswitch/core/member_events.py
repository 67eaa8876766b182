"""What :mod:`marigoldswitch.core.membership` takes and what it asks for."""

from dataclasses import dataclass

from marigoldswitch.core.datagrams import Datagram, MemberRecord, TargetMark
from marigoldswitch.core.ids import BundleVersion, HostId


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Heard:
    """A datagram has come from ``address``."""

    datagram: Datagram
    address: str


@dataclass(frozen=True, slots=True)
class Seeds:
    """Gossip addresses to join by."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Listed:
    """Hosts that the host list shows."""

    hosts: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class Introduced:
    """A host has sent its whole table."""

    members: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class OwnBundle:
    """This host has a new bundle."""

    version: BundleVersion


@dataclass(frozen=True, slots=True)
class Leave:
    """This host is leaving; with ``gone`` it says so for the last time."""

    gone: bool = False


@dataclass(frozen=True, slots=True)
class Spread:
    """Marks of targets to pass on."""

    marks: tuple[TargetMark, ...]


Event = Tick | Heard | Seeds | Listed | Introduced | OwnBundle | Leave | Spread


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram; ``host`` is empty where only the address is known."""

    host: HostId
    address: str
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class Introduce:
    """Send this host's whole table to another one over a stream."""

    host: HostId
    wants_reply: bool


@dataclass(frozen=True, slots=True)
class Changed:
    """The table has changed; ``record`` is the new record."""

    record: MemberRecord


@dataclass(frozen=True, slots=True)
class MarksHeard:
    """Marks came with a datagram."""

    marks: tuple[TargetMark, ...]


@dataclass(frozen=True, slots=True)
class NameTaken:
    """Another, later process uses this host's name."""

    record: MemberRecord


Action = SendDatagram | Introduce | Changed | MarksHeard | NameTaken
