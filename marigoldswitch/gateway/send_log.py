"""The digests that a host has last sent to its peers, and when it sent them."""

from msgspec import Struct, field
from msgspec.structs import replace

from marigoldswitch.core.gateway_messages import LoadDigest

TICK_SECONDS = 0.1
"""Interval of checks for due messages, and of digests between the hosts of a full mesh.
Only a few requests arrive at a data centre in this time."""
RESEND_SECONDS = 0.5
"""Time after which an unchanged digest is sent again; the lead relay must be heard
within 0.75 s."""


class SendLog(Struct):
    """What was last sent, and when.

    :ivar digest: the last digest to the hosts of this data centre, sent at
        ``digest_at``.
    :ivar stripped: the last digest without usages, sent at ``stripped_at``.
    :ivar sent_at: when each kind of periodic message was last sent.
    """

    digest: LoadDigest | None = None
    digest_at: float = float("-inf")
    stripped: LoadDigest | None = None
    stripped_at: float = float("-inf")
    sent_at: dict[str, float] = field(default_factory=dict)

    def has_sent_stripped(self, stripped: LoadDigest, now: float) -> bool:
        """Return whether a digest without usages was sent lately; if not, record it."""
        known = self.stripped is not None and is_same(stripped, self.stripped)
        if known and now - self.stripped_at < RESEND_SECONDS:
            return True
        self.stripped, self.stripped_at = stripped, now
        return False

    def mark_if_due(self, now: float, kind: str, seconds: float) -> bool:
        """Return whether a kind of message is due; if so, record it as sent now.

        It counts as due up to half a tick early, as the next check may be as much late.

        :param seconds: interval of such messages.
        """
        last = self.sent_at.get(kind, float("-inf"))
        if now - last < seconds - TICK_SECONDS / 2:
            return False
        self.sent_at[kind] = now
        return True


def strip_counts(digest: LoadDigest) -> LoadDigest:
    """Return a digest without what only hosts need that sum up counts."""
    return replace(digest, usages=(), sends=None, waiting=None, ramps=None)


def is_same(digest: LoadDigest, sent: LoadDigest) -> bool:
    """Return whether two digests are equal apart from times and counts that change by
    themselves."""
    return _strip_times(digest) == _strip_times(sent)


def _strip_times(digest: LoadDigest) -> LoadDigest:
    layers = tuple(replace(item, age=0.0) for item in digest.layers)
    lease = replace(digest.lease, age=0.0) if digest.lease else None
    closed = tuple(replace(item, seconds=0.0) for item in digest.closed)
    limits = tuple(replace(item, age=0.0) for item in digest.limits)
    return replace(
        digest, layers=layers, lease=lease, closed=closed, limits=limits, sent_ms=0
    )
