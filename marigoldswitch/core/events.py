"""Events that a dispatcher takes and actions that it returns, beside the messages."""

from dataclasses import dataclass

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import HostId, RequestId, TargetId
from marigoldswitch.core.messages import (
    Ask,
    Cancel,
    Deny,
    Grant,
    Holdings,
    PermitCheck,
    PermitsUnknown,
    Queued,
    Release,
)
from marigoldswitch.core.routing import Route


@dataclass(frozen=True, slots=True)
class HostLost:
    """Membership says that a host is gone."""

    host: HostId


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """The targets of the pool, from the bundle and the host list.

    :param leaving: those that may get no new work.
    """

    targets: tuple[Target, ...]
    leaving: frozenset[TargetId]


@dataclass(frozen=True, slots=True)
class Rebuild:
    """The dispatcher is new: these fronts may hold permits it doesn't know of."""

    fronts: frozenset[HostId]


@dataclass(frozen=True, slots=True)
class Close:
    """The pool is gone: nothing that waits can be served here any more."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    Ask
    | Cancel
    | Release
    | Holdings
    | PermitsUnknown
    | HostLost
    | TargetsChanged
    | Rebuild
    | Close
    | Tick
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a host."""

    host: HostId
    message: Grant | Deny | Queued | PermitCheck


@dataclass(frozen=True, slots=True)
class Decision:
    """What was decided for a request, for the log.

    :param weighed: targets that were weighed.
    """

    request: RequestId
    what: str
    route: Route | None = None
    weighed: int = 0
    waiting: int = 0


Action = Send | Decision
