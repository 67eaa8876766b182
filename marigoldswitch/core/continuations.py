"""Chooses the engines over which the streams of a lost engine continue.

When an engine is lost, some forty streams of all hosts need their contexts processed
again by the engines that hold the same layers. If each host chose the one that is best
now, all would choose the same, and its last stream would wait for forty contexts. All
hosts know how many streams an engine had. Each plans the replacements of all of them,
so that all engines finish at about the same time, and draws those of its own streams
from that plan at random.
"""

import random
from collections.abc import Collection, Mapping, Sequence

from msgspec import Struct, structs

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.paths import find_chain
from marigoldswitch.core.reading_backlog import ReadingBacklog
from marigoldswitch.core.stages import (
    MAX_STAGES,
    Chain,
    Stage,
    StageOffer,
    count_crossings,
)

MAX_GROUPS = 12
"""Groups of streams for which a loss is planned. Each takes a search of 0.1 ms, and the
load of an engine is planned to about an eighth of what a usual one of six gets."""
MAX_PLANS = 6
"""Losses that are planned within ``PLAN_SECONDS``; each takes a host some ms. Where
more engines are lost at once, the rest can't take up their streams in time."""
PLAN_SECONDS = 1.5
"""Time for which a plan is used. Streams that notice a loss later find other loads."""
DRAWS = 4
"""Parts of a plan that are tried for one stream before others are searched for."""


class _Part(Struct, frozen=True):
    """A path through the layers of a lost engine, for one group of its streams.

    :param ready_at: when they will have processed the contexts, in monotonic seconds.
    """

    stages: tuple[Stage, ...]
    ready_at: float


class _Plan(Struct):
    """Replacements for the layers of one lost engine.

    :param made_at: monotonic seconds.
    :param layers: that the engine held.
    :param group_size: streams that each part stands for.
    :param parts: paths through its layers, one for each group of its streams.
    :ivar left: parts that have not been drawn in this round.
    """

    made_at: float
    layers: LayerRange
    group_size: float
    parts: list[_Part]
    left: list[_Part]


class Continuations:
    """Replacements for engines that were lost lately.

    :param backlog: raised by the prefill of all hosts for each loss.
    """

    def __init__(self, backlog: ReadingBacklog, rng: random.Random) -> None:
        self._backlog = backlog
        self._rng = rng
        self._plans: dict[TargetId, _Plan] = {}

    def has_plan(self, lost: TargetId, now: float) -> bool:
        """Return whether the replacements of an engine are planned."""
        plan = self._plans.get(lost)
        return plan is not None and now - plan.made_at < PLAN_SECONDS

    def note_loss(
        self,
        lost: TargetId,
        layers: LayerRange,
        usage: Usage,
        offers: Sequence[StageOffer],
        span: LayerRange,
        now: float,
        is_needed: bool = True,
    ) -> int:
        """Plan the replacements of a lost engine and add their work to the backlog.

        Returns the number of parts of the plan. After many losses at once, as of a
        whole data centre, no more are planned.

        The streams that began at the engine have all layers processed again; their work
        is spread evenly, in proportion to speed.

        :param layers: that the engine held.
        :param usage: of the engine, by all hosts.
        :param offers: of the other engines of its data centre, for one of its streams.
        :param span: all layers of the model.
        :param is_needed: whether this host has streams there that need the plan;
            otherwise their work is only added to the backlog.
        """
        self._backlog.forget(lost)
        others = [item for item in offers if item.target != lost]
        resumed = {item.target: item.for_resuming() for item in others}
        self._replace_parts(lost, resumed, now)
        later = usage.requests - usage.begun
        if usage.begun > 0:
            self._add_evenly(usage.begun, others, span, now)
        if not is_needed or len(self._plans) >= MAX_PLANS:
            self._add_evenly(later, others, layers, now)
            return 0
        groups = max(1, min(MAX_GROUPS, later))
        plan = self._plans[lost] = _Plan(now, layers, later / groups, [], [])
        if later > 0:
            plan.parts = self._plan_parts(plan, groups, resumed, now)
        return len(plan.parts)

    def _replace_parts(
        self, lost: TargetId, offers: Mapping[TargetId, StageOffer], now: float
    ) -> None:
        """Replace parts of other plans that contain an engine which is lost now."""
        for name, plan in list(self._plans.items()):
            if not self.has_plan(name, now):
                del self._plans[name]
                continue
            kept = [
                part
                for part in plan.parts
                if all(item.target != lost for item in part.stages)
            ]
            missing = len(plan.parts) - len(kept)
            if missing:
                usable = {key: item for key, item in offers.items() if key != name}
                plan.parts = kept + self._plan_parts(plan, missing, usable, now)
                plan.left = []

    def _plan_parts(
        self,
        plan: _Plan,
        groups: int,
        offers: Mapping[TargetId, StageOffer],
        now: float,
    ) -> list[_Part]:
        """Return paths for some groups of streams that keep engines busy equally long.

        Their work is added to the backlog.
        """
        layers, size = plan.layers, plan.group_size
        state = {
            name: structs.replace(item, wait=self._backlog.get_seconds(name, now))
            for name, item in offers.items()
            if item.layers.first < layers.end and layers.first < item.layers.end
        }
        parts: list[_Part] = []
        for _ in range(groups):
            part = find_chain(list(state.values()), layers, self._rng)
            if part is None:
                break
            ready = 0.0
            for stage in part.stages:
                offer, count = state[stage.target], _count_layers(stage.layers)
                seconds = size * (count * offer.prefill_seconds + offer.entry_cost)
                self._backlog.add(stage.target, seconds, now)
                state[stage.target] = structs.replace(
                    offer,
                    wait=offer.wait + seconds,
                    used_share=offer.used_share + size * count * offer.share_per_layer,
                )
                ready = max(ready, offer.wait + seconds)
            parts.append(_Part(part.stages, now + ready))
        return parts

    def _add_evenly(
        self,
        streams: int,
        offers: Sequence[StageOffer],
        span: LayerRange,
        now: float,
    ) -> None:
        """Add the prefill of some streams to the backlog of all engines that may do it.

        Each gets work in proportion to its speed and to the layers that it holds.
        """
        held = {item.target: _overlap(item.layers, span) for item in offers}
        speeds = [
            held[item.target] / item.prefill_seconds
            for item in offers
            if held[item.target] > 0 and item.prefill_seconds > 0.0
        ]
        if not speeds:
            return
        seconds_per_layer = streams * _count_layers(span) / sum(speeds)
        for item in offers:
            self._backlog.add(item.target, held[item.target] * seconds_per_layer, now)

    def find(
        self,
        stages: Sequence[Stage],
        lost: Collection[TargetId],
        offers: Mapping[TargetId, StageOffer],
        centres: Mapping[TargetId, DataCentre],
        now: float,
    ) -> Chain | None:
        """Return a chain in which planned engines replace the lost ones, or ``None``.

        Its cost is the time until its engines have processed the context.

        :param lost: engines to replace; the first stage can't be replaced.
        :param offers: of the engines that may be used for this stream.
        :param centres: data centre of each target of the chain.
        """
        if stages[0].target in lost:
            return None
        for _ in range(DRAWS):
            drawn = self._draw_chain(stages, lost, now)
            if drawn is None:
                return None
            replaced, ready_at = drawn
            if _is_possible(replaced, stages, offers):
                centre_of = [
                    centres[item.target]
                    if item.target in centres
                    else offers[item.target].data_centre
                    for item in replaced
                ]
                crossings = count_crossings(centre_of)
                return Chain(tuple(replaced), max(0.0, ready_at - now), crossings)
        return None

    def _draw_chain(
        self, stages: Sequence[Stage], lost: Collection[TargetId], now: float
    ) -> tuple[list[Stage], float] | None:
        """Return the stages with a part of a plan for each lost one, if planned, and
        when the last part is ready."""
        replaced: list[Stage] = []
        ready_at = now
        for stage in stages:
            if stage.target not in lost:
                replaced.append(stage)
                continue
            part = self._draw(stage.target, now)
            if part is None:
                return None
            if not self._plans[stage.target].layers.contains(stage.layers):
                # The engine had given layers up that its running streams still used.
                return None
            ready_at = max(ready_at, part.ready_at)
            for item in _clip(part.stages, stage.layers):
                last = replaced[-1]
                if last.target == item.target and last not in stages:
                    joined = LayerRange(last.layers.first, item.layers.end)
                    replaced[-1] = Stage(item.target, item.address, joined)
                else:
                    replaced.append(item)
        return replaced, ready_at

    def _draw(self, lost: TargetId, now: float) -> _Part | None:
        """Return a part of an engine's plan; each comes once in every round."""
        if not self.has_plan(lost, now):
            return None
        plan = self._plans[lost]
        if not plan.parts:
            return None
        if not plan.left:
            plan.left = list(plan.parts)
            self._rng.shuffle(plan.left)
        return plan.left.pop()


def _is_possible(
    replaced: Sequence[Stage],
    stages: Sequence[Stage],
    offers: Mapping[TargetId, StageOffer],
) -> bool:
    """Return whether engines would take a chain.

    No engine may have two stages, and the new ones need room.
    """
    if len(replaced) > MAX_STAGES:
        return False
    if len({item.target for item in replaced}) < len(replaced):
        return False
    kept = set(stages)
    for item in replaced:
        if item in kept:
            continue
        offer = offers.get(item.target)
        if offer is None or not _can_run(offer, item.layers):
            return False
    return True


def _can_run(offer: StageOffer, layers: LayerRange) -> bool:
    is_held = offer.layers.first <= layers.first and layers.end <= offer.layers.end
    return is_held and offer.count_free_layers() >= _count_layers(layers)


def _overlap(layers: LayerRange, other: LayerRange) -> int:
    return max(0, min(layers.end, other.end) - max(layers.first, other.first))


def _clip(part: Sequence[Stage], layers: LayerRange) -> list[Stage]:
    """Return the stages of a path within a range of layers."""
    clipped = []
    for item in part:
        first = max(item.layers.first, layers.first)
        end = min(item.layers.end, layers.end)
        if first < end:
            clipped.append(Stage(item.target, item.address, LayerRange(first, end)))
    return clipped


def _count_layers(layers: LayerRange) -> int:
    return layers.end - layers.first
