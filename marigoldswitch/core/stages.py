"""Stages of a chain, and the engines that offer to run them."""

from collections.abc import Sequence

from msgspec import Struct, structs

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId

FULL_ENGINE_SURCHARGE = 2.0
"""Relative extra cost of a full engine. Requests spread over engines of equal speed
before any is full, and an engine twice as fast as others is filled to 0.7 first. An
engine that runs out of memory restarts its newest request."""
MAX_FILL = 0.95
"""Share of an engine's memory that may be used; the rest is a reserve, as the lengths
of requests are estimates."""
AMPLE_ROOM_SHARE = 0.7
"""Share of an engine's memory, by the last reports of all hosts, below which it has
ample room; what they have probably taken since must not fill the rest."""
MAX_FIRST_STAGE_SHARE = 0.9
"""Share of an engine's slots up to which it may run the first stage of a chain, which
is what takes a slot. Requests beyond the slots queue in the engine, invisible to hosts.
The hosts of a data centre send some 6 requests in 0.25 s, the age of their load data,
in which about as many end."""
FULL_SLOTS_SURCHARGE = 8.0
"""Extra cost of beginning a chain at an engine without a free slot, in decode steps of
the reference accelerator. Chains thus begin at several engines before any is full:
requests beyond the slots wait, and an engine's end loses all streams that it began."""
BACKLOG_COST_FACTOR = 0.05
"""Cost of an engine for a new request, in seconds for each token and second of prefill
that the engine has before it. A backlog of 0.1 s weighs as much as two usual stages, so
new prompts go elsewhere while streams are resumed there, unless no other engine has
room."""
FIRST_EVENT_TOKENS = 3.0
"""Tokens of the first event after a resumption."""
MAX_STAGES = 32
"""Most stages of a chain that engines accept."""


class Stage(Struct, frozen=True):
    """One target of a chain and the layers that it runs.

    :param address: of the target.
    :param layers: the layers that the target runs for this request.
    """

    target: TargetId
    address: str
    layers: LayerRange


class Chain(Struct, frozen=True):
    """Stages that run each layer once, in order.

    :param cost: seconds for each token, weighted by how full the engines are.
    :param crossings: number of links between data centres on the way.
    """

    stages: tuple[Stage, ...]
    cost: float
    crossings: int


def find_refusing_stage(stages: Sequence[Stage], address: str | None) -> Stage:
    """Return the stage that a refusal names by its address, or the first if none."""
    for stage in stages:
        if stage.address == address:
            return stage
    return stages[0]


def describe_stages(stages: Sequence[Stage]) -> list[str]:
    """Return the stages of a chain as strings for log lines."""
    return [
        f"{item.target}@{item.address}={item.layers.first}-{item.layers.end}"
        for item in stages
    ]


class StageOffer(Struct, frozen=True):
    """An engine that can run stages of a request.

    :param layers: the layers that it offers.
    :param layer_seconds: seconds that one layer takes for a token.
    :param used_share: share of its memory for requests that is in use.
    :param share_per_layer: share that this request takes for each layer it runs there.
    :param expected_share: share that other hosts have probably taken since their last
        report.
    :param begin_cost: extra cost of beginning a chain there, in seconds.
    :param prefill_seconds: seconds that one layer takes for the context of the request.
    :param backlog: seconds of prefill that the engine has before it.
    :param chunks: parts in which it processes that context; a decode step of its other
        requests follows each.
    :param wait: seconds from now before which the engine can't begin; only in searches
        for the earliest next event of a stream.
    :param entry_cost: cost of each stage there, in seconds.
    """

    target: TargetId
    address: str
    data_centre: DataCentre
    layers: LayerRange
    layer_seconds: float
    used_share: float
    share_per_layer: float
    expected_share: float = 0.0
    begin_cost: float = 0.0
    prefill_seconds: float = 0.0
    backlog: float = 0.0
    chunks: int = 1
    wait: float = 0.0
    entry_cost: float = 0.0

    def for_resuming(self) -> "StageOffer":
        """Return the offer with the times until the next event of a stream as costs."""
        seconds = self.prefill_seconds + FIRST_EVENT_TOKENS * self.layer_seconds
        held = self.layers.end - self.layers.first
        return structs.replace(
            self,
            layer_seconds=seconds,
            wait=self.backlog,
            entry_cost=self.chunks * held * self.layer_seconds,
        )

    def count_free_layers(self, max_fill: float = MAX_FILL) -> int:
        """Return how many layers of the request the engine has memory for.

        :param max_fill: share of its memory that may be used.
        """
        held = self.layers.end - self.layers.first
        free = max_fill - self.used_share
        if self.used_share + held * self.share_per_layer <= max_fill:
            return held
        return (
            max(0, int(free / self.share_per_layer))
            if self.share_per_layer > 0.0
            else 0
        )

    def has_room(self, max_fill: float = MAX_FILL) -> bool:
        """Return whether the engine has memory to run all of its layers."""
        return self.count_free_layers(max_fill) == self.layers.end - self.layers.first

    def has_ample_room(self, layers: LayerRange) -> bool:
        """Return whether the engine surely has room for some layers of the request."""
        is_offered = self.layers.first <= layers.first and layers.end <= self.layers.end
        used = self.used_share + (layers.end - layers.first) * self.share_per_layer
        return (
            is_offered
            and used <= AMPLE_ROOM_SHARE
            and used + self.expected_share <= MAX_FILL
        )

    @property
    def cost(self) -> float:
        """Return the cost of one layer: its seconds, weighted by memory use."""
        used = self.used_share + self.expected_share
        return self.layer_seconds * (1.0 + FULL_ENGINE_SURCHARGE * used * used)


def compute_begin_cost(
    first_stage_requests: int, slots: int, step_seconds: float
) -> float:
    """Return the extra cost of beginning a chain at an engine, in seconds.

    :param first_stage_requests: running requests of which it runs the first stage.
    :param slots: most requests of that kind at once; 0 if unknown.
    :param step_seconds: decode step of the reference accelerator.
    """
    used = first_stage_requests / slots if slots else 0.0
    return FULL_SLOTS_SURCHARGE * step_seconds * used * used


def choose_offered_layers(
    layers: LayerRange, first_stage_requests: int, slots: int, may_begin: bool = True
) -> LayerRange | None:
    """Return the layers that an engine offers: without the first if none may begin.

    :param first_stage_requests: running requests of which it runs the first stage.
    :param slots: most requests of that kind at once; 0 if unknown.
    :param may_begin: whether it takes one more request that begins there.
    """
    has_slot = not slots or first_stage_requests < MAX_FIRST_STAGE_SHARE * slots
    if layers.first > 0 or (has_slot and may_begin):
        return layers
    return LayerRange(1, layers.end) if layers.end > 1 else None


def count_crossings(centres: Sequence[DataCentre]) -> int:
    """Return how often adjacent stages are in different data centres.

    :param centres: data centre of each stage, in order.
    """
    return sum(
        before != after for before, after in zip(centres, centres[1:], strict=False)
    )
