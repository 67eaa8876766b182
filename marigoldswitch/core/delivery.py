"""What came of one attempt at targets."""

from dataclasses import dataclass
from enum import Enum

from marigoldswitch.core.errors import Advice
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.messages import Load


class Delivery(Enum):
    """How far a request got at a target that did not answer it."""

    NOT_DELIVERED = "not_delivered"
    """No byte of it can have reached the target."""
    REFUSED = "refused"
    """The target itself says that it did not run it."""
    MAY_HAVE_RUN = "may_have_run"


@dataclass(frozen=True, slots=True)
class Miss:
    """An attempt that brought no answer.

    :param advice: what the target said to do next, if it said anything.
    :param target: the stage of a chain that is known to be at fault.
    :param deadline: the request's time was up, which says nothing against a target.
    """

    delivery: Delivery
    detail: str
    advice: Advice | None = None
    leaving: bool = False
    load: Load | None = None
    target: TargetId | None = None
    deadline: bool = False
