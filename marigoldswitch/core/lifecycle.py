"""Life cycle of one request, with the promises asserted at each step."""

from enum import Enum

from transitions import Machine, MachineError

from marigoldswitch.core.errors import Fault, Outcome
from marigoldswitch.core.ids import RequestId
from marigoldswitch.core.ledger import InvariantBroken


class Stage(Enum):
    """Where a request stands."""

    RECEIVED = "received"
    QUEUED = "queued"
    PERMITTED = "permitted"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


FINAL = frozenset({Stage.ANSWERED, Stage.REFUSED, Stage.FAILED})

_TRANSITIONS = [
    {"trigger": "queue", "source": [Stage.RECEIVED, Stage.DISPATCHED, Stage.STREAMING],
     "dest": Stage.QUEUED},
    {"trigger": "permit", "source": Stage.QUEUED, "dest": Stage.PERMITTED},
    {"trigger": "claim", "source": Stage.PERMITTED, "dest": Stage.CLAIMED},
    {"trigger": "dispatch", "source": [Stage.PERMITTED, Stage.CLAIMED],
     "dest": Stage.DISPATCHED},
    {"trigger": "stream", "source": Stage.DISPATCHED, "dest": Stage.STREAMING},
    {"trigger": "answer", "source": [Stage.DISPATCHED, Stage.STREAMING, Stage.QUEUED,
     Stage.PERMITTED], "dest": Stage.ANSWERED},
    {"trigger": "refuse", "source": [item for item in Stage if item not in FINAL],
     "dest": Stage.REFUSED},
    {"trigger": "fail", "source": [item for item in Stage if item not in FINAL],
     "dest": Stage.FAILED},
]  # fmt: skip


class Lifecycle:
    """One request from its arrival to exactly one end.

    :param request: the request's id, for messages.
    :param idempotent: whether the request may be delivered more than once.
    """

    def __init__(self, request: RequestId, idempotent: bool) -> None:
        self.request = request
        self.idempotent = idempotent
        self.stage = Stage.RECEIVED
        self.deliveries = 0
        """Times that a byte of the request may have reached a target."""
        self.fault: Fault | None = None

    @property
    def ended(self) -> bool:
        """Tell whether the request has its one end."""
        return self.stage in FINAL

    def advance(self, trigger: str) -> None:
        """Take one step.

        :raises InvariantBroken: if the step is not allowed from here.
        """
        try:
            _MACHINE.events[trigger].trigger(self)
        except MachineError as error:
            raise InvariantBroken(f"request {self.request}: {error}") from error

    def note_delivery(self) -> None:
        """Note that a target may have the request from now on.

        :raises InvariantBroken: if a non-idempotent request would run a second time.
        """
        if self.deliveries and not self.idempotent:
            raise InvariantBroken(f"request {self.request} would be delivered twice")
        self.deliveries += 1

    def retract_delivery(self) -> None:
        """Take a delivery back: the target is known not to have run it."""
        self.deliveries -= 1

    def end_with(self, fault: Fault) -> Fault:
        """End the request without its answer.

        :raises InvariantBroken: if "not run" would be said of what may have run.
        """
        if fault.row.outcome is Outcome.NOT_RUN and self.deliveries:
            raise InvariantBroken(
                f"request {self.request} may have run, "
                f"but {fault.kind.value} says not run"
            )
        self.fault = fault
        self.advance("refuse" if fault.not_run else "fail")
        return fault


_MACHINE = Machine(
    model=None,
    states=Stage,
    transitions=_TRANSITIONS,
    initial=Stage.RECEIVED,
    auto_transitions=False,
    model_attribute="stage",
    send_event=False,
)
