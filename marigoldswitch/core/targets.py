"""What a dispatcher knows of one target."""

from dataclasses import dataclass, field

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.limits import Limiter
from marigoldswitch.core.messages import Load, TargetReport


@dataclass(slots=True)
class TargetState:
    """A target with the dispatcher's own counts and the target's last report.

    :param limit: requests that it may hold at once.
    :param held: permits out for it.
    :param limiter: learns the limit.
    :param share: share of the limit that it may use now; 0 where it is left out.
    :param foreign: requests that it holds beside ours, by its own last report.
    """

    target: Target
    limit: float
    held: int = 0
    leaving: bool = False
    load: Load | None = None
    share: float = 1.0
    foreign: float = 0.0
    limiter: Limiter = field(init=False)

    def __post_init__(self) -> None:
        self.limiter = Limiter(self.limit)

    @property
    def room(self) -> int:
        """Return the requests that it may hold now."""
        if self.leaving or self.share <= 0.0:
            return 0
        return max(1, int(self.limit * self.share))

    @property
    def has_room(self) -> bool:
        """Tell whether one more request may go to it."""
        return self.held < self.room

    def use_target(self, target: Target) -> None:
        """Take the target as a new bundle has it."""
        self.target = target
        self.limiter.set_slots(float(target.slots))
        self.refresh_limit()

    def refresh_limit(self) -> None:
        """Take the limit as its limiter has it now."""
        self.limit = self.limiter.limit

    def learn(self, report: TargetReport, now: float) -> None:
        """Let the limit follow how the target behaved."""
        if report.refused:
            self.limiter.on_refusal(now)
        elif report.failed:
            self.limiter.on_failure(now)
        else:
            self.limiter.on_success(report.seconds, now, self.held + 1.0)
        self.refresh_limit()
