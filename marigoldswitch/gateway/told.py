"""What a host has told its peers, and when."""

from dataclasses import dataclass, field, replace

from marigoldswitch.core.gateway_messages import LoadDigest

TICK_SECONDS = 0.1
"""Seconds between two looks whether something is due; between two digests where each
host tells each other: a few requests arrive at a data centre meanwhile."""
UNCHANGED_DIGEST_SECONDS = 0.5
"""Time for which an unchanged digest is left out: the relay that sums up must speak
within 0.75 s."""


@dataclass(slots=True)
class SendHistory:
    """What was told last, and when."""

    last_digest: LoadDigest | None = None
    last_sent_at: float = float("-inf")
    last_stripped: LoadDigest | None = None
    last_stripped_at: float = float("-inf")
    sent_at: dict[str, float] = field(default_factory=dict)

    def has_sent_stripped(self, stripped: LoadDigest, now: float) -> bool:
        """Tell whether the hosts that add nothing up know this; if not, they do now."""
        known = self.last_stripped is not None and has_same_content(
            stripped, self.last_stripped
        )
        if known and now - self.last_stripped_at < UNCHANGED_DIGEST_SECONDS:
            return True
        self.last_stripped, self.last_stripped_at = stripped, now
        return False

    def mark_if_due(self, now: float, kind: str, seconds: float) -> bool:
        """Tell whether something is due again; if so, it is done now.

        Half a tick early counts: the next look would be half a tick late.
        """
        last = self.sent_at.get(kind, float("-inf"))
        if now - last < seconds - TICK_SECONDS / 2:
            return False
        self.sent_at[kind] = now
        return True


def has_same_content(digest: LoadDigest, sent: LoadDigest) -> bool:
    """Tell whether a digest says nothing new: ages grow by themselves."""
    return _strip_ages(digest) == _strip_ages(sent)


def _strip_ages(digest: LoadDigest) -> LoadDigest:
    layers = tuple(replace(item, age=0.0) for item in digest.layers)
    lease = replace(digest.lease, age=0.0) if digest.lease else None
    return replace(digest, layers=layers, lease=lease)
