"""What a dispatcher knows of one target."""

from dataclasses import dataclass

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.messages import Load


@dataclass(slots=True)
class TargetState:
    """A target with the dispatcher's own counts and the target's last report.

    :param limit: requests that it may hold at once.
    :param held: permits out for it.
    """

    target: Target
    limit: float
    held: int = 0
    leaving: bool = False
    load: Load | None = None

    @property
    def has_room(self) -> bool:
        """Tell whether one more request may go to it."""
        return not self.leaving and self.held < int(self.limit)
