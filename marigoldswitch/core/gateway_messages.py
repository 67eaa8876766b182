"""Messages between the hosts of a gateway.

They are in a module apart from the dispatchers' messages, so that a gateway's host does
not import those when it starts.
"""

from typing import Any

from msgspec import Struct

from marigoldswitch.core.crash_messages import (
    CrashNotes,
    ReachAnswer,
    ReachQuestion,
)
from marigoldswitch.core.ids import (
    AccountId,
    DataCentre,
    HostId,
    ServiceName,
    TargetId,
)
from marigoldswitch.core.pace_finding.records import RampNote


class TargetUsage(Struct, frozen=True):
    """Usage of one target by the requests of a host or of a whole data centre.

    :param requests: number of requests.
    :param memory: KV cache reserved for them, in tokens times layers.
    :param begun: how many of the requests have their chain's first stage there.
    """

    target: TargetId
    requests: int
    memory: int
    begun: int = 0


class SlowTarget(Struct, frozen=True):
    """An engine that is slower than usual.

    :param factor: its time for a step divided by the usual time.
    """

    target: TargetId
    factor: float


class ClosedTarget(Struct, frozen=True):
    """An engine that refuses requests although it has room for them.

    :param seconds: time for which the sender still excludes it.
    """

    target: TargetId
    seconds: float


class LoanNote(Struct, frozen=True):
    """Retries of a service that a host asks another to lend, and that it lends.

    Both are in thousandths, as numbers with a fraction are sent with few digits.

    :param asked: what the sender wants to be lent in all.
    :param lent: what it lends in all.
    :param is_covered: whether the sender has used no more than it may, with what the
        recipient's last message lent; what that had lent before is then free again.
    :param is_open: whether the sender waits to hear that from the recipient.
    """

    service: ServiceName
    asked: int
    lent: int
    is_covered: bool = False
    is_open: bool = False


class LoanNotes(Struct, frozen=True):
    """Loans between two hosts.

    :param process: random number of the sender's process.
    :param sent_at: the sender's monotonic time, in milliseconds.
    :param echo_process: ``process`` of the recipient's last message.
    :param echo_sent_at: ``sent_at`` of the recipient's last message, from which on its
        loans may be used.
    :param is_relay: whether the sender is the relay of its data centre.
    """

    process: int
    sent_at: int
    echo_process: int
    echo_sent_at: int
    is_relay: bool
    notes: tuple[LoanNote, ...]


class LimitNote(Struct, frozen=True):
    """A rate limit that a target has stated of itself, or its end.

    :param rate: requests a second from all hosts together; 0 once the limit has ended.
    :param age: seconds since the target said so.
    """

    target: TargetId
    rate: float
    age: float


class SendNote(Struct, frozen=True):
    """Requests that hosts have sent to a target with a stated limit.

    :param sent: those within the limit's window.
    :param recent: those of the last few seconds, which hosts of other data centres may
        not know of yet.
    :param wanted: requests that could have been sent to it.
    :param settled: the same up to a few seconds ago, of which all hosts have heard.
    """

    target: TargetId
    sent: int
    recent: int
    wanted: int
    settled: int


class LeavingNote(Struct, frozen=True):
    """A target that has said itself that it leaves.

    :param born: when it started, in ms since 1970; 0 if unknown.
    """

    target: TargetId
    born: int = 0


class WaitingNote(Struct, frozen=True):
    """Model requests that wait for room at a host or in a whole data centre.

    :param account: client account; empty for those of none or of several.
    :param tokens: total size.
    :param oldest_ms: milliseconds that the first one has waited.
    """

    service: ServiceName
    priority: int
    account: AccountId
    requests: int
    tokens: int
    oldest_ms: int


class CentreWaiting(Struct, frozen=True):
    """What waits at the hosts of a data centre.

    :param hosts: number of hosts that are included.
    """

    data_centre: DataCentre
    hosts: int
    notes: tuple[WaitingNote, ...]


class CentreCounts(Struct, frozen=True):
    """Sums over the hosts of a data centre.

    :param hosts: number of hosts that are included.
    :param retries: unused; fields are sent by position, and hosts of an earlier version
        send counts here.
    """

    data_centre: DataCentre
    hosts: int
    retries: tuple[Any, ...] = ()
    sends: tuple[SendNote, ...] = ()
    ramps: tuple[RampNote, ...] = ()


class HeldLayers(Struct, frozen=True):
    """Layers that an engine was recently observed to hold.

    :param first: index of the first layer.
    :param end: index after the last layer; 0 if the engine holds none.
    :param age: seconds since the observation.
    :param born: when the engine started, in ms since 1970; 0 if unknown.
    """

    target: TargetId
    first: int
    end: int
    age: float = 0.0
    born: int = 0


class LeaseNote(Struct, frozen=True):
    """The lease of the engines' orderer, as last written by its holder.

    :param value: value of the lease's row.
    :param version: revision of the row.
    :param holder: host that holds the lease.
    :param age: seconds since the holder sent this; above 0 if passed on by a relay.
    """

    value: bytes
    version: int
    holder: HostId
    age: float = 0.0


class LoadDigest(Struct, frozen=True):
    """State that a gateway's host sends to other hosts periodically.

    :param data_centre: data centre of the sender.
    :param version: version of the configuration in force at the sender.
    :param revision: revision up to which the sender knows the targets.
    :param usages: usage by the sender's requests, for the hosts that sum it up.
    :param dead: targets that the sender has recently found dead.
    :param slow: slow engines, sent by the holder of the orderer's lease and by relays.
    :param layers: layers that the orderer has recently seen engines hold.
    :param lease: the lease of the engines' orderer, sent by its holder and by relays.
    :param leaving: whether the sender is shutting down.
    :param reads: whether the sender reads the store itself, and the store answers.
    :param readers: hosts of its data centre that have reported ``reads`` to the sender.
    :param current: whether the sender reads the store, or knows no less than a reader.
    :param strength: strength of the sender's link, by which relays and readers are
        ranked.
    :param crashes: checksum of what the sender knows of requests that end targets.
    :param closed: engines that refuse requests although they have room.
    :param retries: unused; hosts of an earlier version send counts here.
    :param limits: limits that targets have stated, as far as the sender knows.
    :param sends: requests that the sender has sent to such targets, for the hosts that
        sum them up; ``None`` in digests to others.
    :param leaving_targets: targets that have said themselves that they leave, as far as
        the sender knows.
    :param sent_ms: when it was sent, in milliseconds of the sender's clock; 0 if
        unknown.
    :param process: random number of the sender's process.
    :param is_cut_off: whether the sender reaches no target.
    :param proxy_port: at which the sender takes requests of other hosts; 0 if unknown.
    :param waiting: what waits at the sender, for the hosts that sum it up; ``None`` in
        digests to others.
    :param ramps: what the sender has counted of targets on a ramp, for the hosts that
        sum it up; ``None`` in digests to others.
    """

    data_centre: DataCentre
    version: int
    revision: int
    usages: tuple[TargetUsage, ...] = ()
    dead: tuple[TargetId, ...] = ()
    slow: tuple[SlowTarget, ...] = ()
    layers: tuple[HeldLayers, ...] = ()
    lease: LeaseNote | None = None
    leaving: bool = False
    reads: bool = False
    readers: tuple[HostId, ...] = ()
    current: bool = False
    strength: int = 0
    crashes: int = 0
    closed: tuple[ClosedTarget, ...] = ()
    retries: tuple[Any, ...] | None = None
    limits: tuple[LimitNote, ...] = ()
    sends: tuple[SendNote, ...] | None = None
    leaving_targets: tuple[LeavingNote, ...] = ()
    sent_ms: int = 0
    process: int = 0
    is_cut_off: bool = False
    proxy_port: int = 0
    waiting: tuple[WaitingNote, ...] | None = None
    ramps: tuple[RampNote, ...] | None = None


class CentreUsage(Struct, frozen=True):
    """Total usage of targets by all hosts of a data centre."""

    data_centre: DataCentre
    usages: tuple[TargetUsage, ...]


class CentreMembers(Struct, frozen=True):
    """Number of hosts of a data centre, including those that have fallen silent."""

    data_centre: DataCentre
    hosts: int


class LoadSummary(Struct, frozen=True):
    """Totals that a relay sends to its data centre and to relays of others.

    :param usages: usage by data centre.
    :param near: number of live hosts in the relay's data centre.
    :param live: number of live hosts in all data centres, as known to the relay.
    :param hosts: the hosts of its data centre; sent only in some summaries, else empty.
    :param counts: what the hosts count together, by data centre.
    :param members: number of hosts of each data centre, silent ones included.
    :param waiting: what waits, by data centre; those of ``usages`` that are missing
        have nothing waiting.
    """

    usages: tuple[CentreUsage, ...]
    near: int
    live: int
    hosts: tuple[HostId, ...] = ()
    counts: tuple[CentreCounts, ...] = ()
    members: tuple[CentreMembers, ...] = ()
    waiting: tuple[CentreWaiting, ...] = ()


class FetchConfiguration(Struct, frozen=True):
    """Request for a configuration newer than the sender's.

    :param version: version that the sender has in force; 0 if none.
    """

    version: int


class ConfigurationContent(Struct, frozen=True):
    """Answer to ``FetchConfiguration``: a configuration as stored by the platform.

    :param content: the configuration's bytes, compressed with zlib.
    """

    version: int
    content: bytes


class FetchTargets(Struct, frozen=True):
    """Request for the targets, from a host that doesn't get them from the store.

    :param revision: revision up to which the sender knows the targets.
    """

    revision: int


class TargetNote(Struct, frozen=True):
    """A target's row, as sent between hosts.

    :param leaving: whether the target has announced that it is shutting down.
    :param revision: revision of the row.
    :param layers: index of the first layer and that after the last; empty if none.
    :param born: when the target started, in ms since 1970; 0 if unknown.
    :param cold_ms: how much longer it stays slow after its start, in ms.
    """

    target: TargetId
    service: ServiceName
    data_centre: DataCentre
    address: str
    slots: int
    accelerator: str
    leaving: bool
    revision: int
    layers: tuple[int, ...] = ()
    born: int = 0
    cold_ms: int = 0


class TargetsContent(Struct, frozen=True):
    """Answer to ``FetchTargets``: the targets known to a host.

    :param revision: revision up to which the host knows the targets.
    :param targets: targets whose rows are newer than the requested revision.
    :param names: ids of all known targets.
    :param lapsed: targets whose rows are missing and within the grace period.
    """

    revision: int
    targets: tuple[TargetNote, ...]
    names: tuple[TargetId, ...]
    lapsed: tuple[TargetId, ...] = ()


GatewayMessage = (
    LoadDigest
    | LoadSummary
    | FetchConfiguration
    | ConfigurationContent
    | FetchTargets
    | TargetsContent
    | CrashNotes
    | LoanNotes
    | ReachQuestion
    | ReachAnswer
)
