"""The stages of a chain, and what engines offer to take part in one."""

from collections.abc import Sequence
from dataclasses import dataclass

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId

PRESSURE = 2.0
"""Cost of a full engine over that of an empty one, less one: requests spread over
engines of like speed before any is full, and a twice as fast one is filled to 0.7
first. An engine that runs out of memory restarts its newest request."""
FULL_SHARE = 0.95
"""Share of an engine's memory that is given out: lengths are estimates."""
FIRST_SHARE = 0.9
"""Share of an engine's slots up to which it may be the first of a chain, which is what
takes one. What comes beyond them waits there unseen: the hosts of a data centre send
some 6 requests in the 0.25 s by which their counts are old, and hardly more begin than
end."""
MOST_STAGES = 32
"""Longest chain that engines take."""


@dataclass(frozen=True, slots=True)
class Stage:
    """A part of a chain.

    :param layers: those that the target runs of this request.
    """

    target: TargetId
    address: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class Chain:
    """Stages that run all layers once, in order.

    :param cost: seconds for a token, with what is added for engines that fill up.
    :param crossings: links between data centres that it passes.
    """

    stages: tuple[Stage, ...]
    cost: float
    crossings: int


def find_stage(stages: Sequence[Stage], address: str | None) -> TargetId:
    """Return the target at an address of a chain; the first where it is not named."""
    for stage in stages:
        if stage.address == address:
            return stage.target
    return stages[0].target


def describe_stages(stages: Sequence[Stage]) -> list[str]:
    """Return the stages of a chain, for the log."""
    return [
        f"{item.target}@{item.address}={item.layers.first}-{item.layers.end}"
        for item in stages
    ]


@dataclass(frozen=True, slots=True)
class StageOffer:
    """An engine that may take part in a chain.

    :param layers: those that it holds.
    :param layer_seconds: that one layer adds to a token.
    :param used: share of its memory for requests that is taken.
    :param need: share that this request would take for each layer that it runs there.
    :param expected: share that other hosts have probably taken since they last told.
    """

    target: TargetId
    address: str
    data_centre: DataCentre
    layers: LayerRange
    layer_seconds: float
    used: float
    need: float
    expected: float = 0.0

    def count_room(self, share: float = FULL_SHARE) -> int:
        """Return the layers that the request may run there.

        :param share: of its memory that is given out.
        """
        held = self.layers.end - self.layers.first
        free = share - self.used
        if self.used + held * self.need <= share:
            return held
        return max(0, int(free / self.need)) if self.need > 0.0 else 0

    def has_room(self, share: float = FULL_SHARE) -> bool:
        """Tell whether it has memory for the request with all of its layers."""
        return self.count_room(share) == self.layers.end - self.layers.first

    @property
    def cost(self) -> float:
        """Return the cost of one layer: its time, dearer as memory runs out."""
        used = self.used + self.expected
        return self.layer_seconds * (1.0 + PRESSURE * used * used)


def choose_layers(layers: LayerRange, begun: int, slots: int) -> LayerRange | None:
    """Return the layers that an engine offers: without the first if it has no slot.

    :param begun: requests of which it is the first engine.
    :param slots: such requests that it takes at once; 0 if it does not say.
    """
    if layers.first > 0 or not slots or begun < FIRST_SHARE * slots:
        return layers
    return LayerRange(1, layers.end) if layers.end > 1 else None


def count_crossings(centres: Sequence[DataCentre]) -> int:
    """Return how often neighbours of a chain are in different data centres."""
    return sum(
        before != after for before, after in zip(centres, centres[1:], strict=False)
    )
