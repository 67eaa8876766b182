"""The lease of the region's orderer: who may send orders, under which number.

The lease is a row of the table service. Nobody compares clocks: every host judges the
row by how long, on its own monotonic clock, it has seen no change of it. A holder
counts its lease from the moment *before* it sent the write that renewed it, a rival
from the moment *after* it read the row, so that the holder's end comes first whatever
the clocks say and however late answers come. What this can't cover is a holder that is
paused between its check and its order; the fencing number and, where an engine ignores
it, reading the engines again are for that.
"""

from dataclasses import dataclass, replace

import msgpack

from marigoldswitch.core.ids import FencingNumber, HostId
from marigoldswitch.core.ports import Row

LEASE_TABLE = "leases"
RENEW_PART = 0.25
"""Part of a lease after which its holder renews it: three lost renewals are borne."""


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """How long a lease holds.

    :param seconds: without a change of the row, after which a rival may take it.
    :param margin: seconds before the end in which a holder sends nothing, and for
        which a new holder waits; longer than an order can be on its way.
    """

    seconds: float
    margin: float


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The row.

    :param fencing: rises by one with every holder.
    :param beat: rises by one with every renewal of one holder.
    """

    holder: HostId
    fencing: FencingNumber
    beat: int


@dataclass(frozen=True, slots=True)
class Claim:
    """A write of the lease's row that the host should try.

    :param expect: version that the row must have.
    """

    row: LeaseRow
    expect: int


def encode_lease(row: LeaseRow) -> bytes:
    """Return the row's value."""
    return bytes(msgpack.packb([row.holder, row.fencing, row.beat]))


def decode_lease(value: bytes) -> LeaseRow:
    """Return the lease that a row's value holds.

    :raises ValueError: if the value is no lease.
    """
    try:
        fields = msgpack.unpackb(value)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise ValueError("no msgpack") from error
    match fields:
        case [str(holder), int(fencing), int(beat)]:
            return LeaseRow(HostId(holder), FencingNumber(fencing), beat)
    raise ValueError("no lease")


class Lease:
    """One host's view of the lease.

    :param nonce: tells this run of the host from the ones before; a host that was
        restarted is another holder.
    """

    def __init__(self, host: HostId, nonce: str, terms: LeaseTerms) -> None:
        self._name = HostId(f"{host}/{nonce}")
        self._terms = terms
        self._row: LeaseRow | None = None
        self._version = 0
        self._seen_at: float | None = None
        """When this host first saw the row as it is now."""
        self._held_since: float | None = None
        self._renewed_at = 0.0

    @property
    def holds(self) -> bool:
        """Tell whether this host believes that it is the holder."""
        return self._held_since is not None

    @property
    def fencing(self) -> FencingNumber:
        """Return the number that orders of this host carry."""
        return self._row.fencing if self._row else FencingNumber(0)

    @property
    def holder(self) -> HostId | None:
        """Return the holder that the row names."""
        return self._row.holder if self._row else None

    def see(self, row: Row | None, now: float) -> None:
        """Learn what the row was at some moment before ``now``."""
        version = row.version if row else 0
        if version == self._version and self._seen_at is not None:
            return
        self._version = version
        self._seen_at = now
        self._row = decode_lease(row.value) if row else None
        if self._row is None or self._row.holder != self._name:
            self._held_since = None

    def plan_claim(self, now: float) -> Claim | None:
        """Return the write to try now: a renewal, or a takeover of a lapsed lease."""
        if self._seen_at is None:
            return None
        if self._row is None:
            first = LeaseRow(self._name, FencingNumber(1), 0)
            return Claim(first, self._version)
        if self.holds:
            early = now - self._renewed_at < self._terms.seconds * RENEW_PART
            return None if early else self.plan_renewal()
        if now - self._seen_at < self._terms.seconds:
            return None
        fencing = FencingNumber(self._row.fencing + 1)
        return Claim(LeaseRow(self._name, fencing, 0), self._version)

    def plan_renewal(self) -> Claim | None:
        """Return the write that renews the lease, to go with another write."""
        if not self.holds or self._row is None:
            return None
        return Claim(replace(self._row, beat=self._row.beat + 1), self._version)

    def distrust(self) -> None:
        """Stop acting as the holder until the row has been seen again."""
        self._seen_at = None

    def note_written(self, claim: Claim, began: float, now: float) -> None:
        """Learn that a claim was written.

        :param began: when the write was sent.
        """
        if not self.holds:
            self._held_since = now
        self._row = claim.row
        self._version = claim.expect + 1
        self._seen_at = now
        self._renewed_at = began

    def may_order(self, now: float) -> bool:
        """Tell whether an order may be sent now."""
        if self._held_since is None or self._seen_at is None:
            return False
        waited = now - self._held_since >= self._terms.margin
        left = self._renewed_at + self._terms.seconds - now
        return waited and left > self._terms.margin
