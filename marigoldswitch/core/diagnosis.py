"""Which stages of a broken chain are at fault, from what they say of themselves."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise

from marigoldswitch.core.catalogue import Service, ServiceKind, Target
from marigoldswitch.core.ids import TargetId


@dataclass(frozen=True, slots=True)
class StageStatus:
    """How far a stage is with a stream.

    :param received: highest position that came to it, or -1.
    :param passed: highest position that it ran and passed on, or -1.
    """

    received: int
    passed: int


def find_suspects(
    chain: Sequence[TargetId], statuses: Sequence[StageStatus | None]
) -> tuple[TargetId, ...]:
    """Return the stages that a new chain should leave out.

    Those that do not answer are at fault. Where all answer, it is the first that has
    work which it did not pass on. Where each has passed its work on, it was lost on a
    link; which of its two ends is at fault can't be told, so that both are left out.

    :param statuses: of each stage in order; ``None`` where it does not answer.
    """
    silent = tuple(
        target for target, status in zip(chain, statuses, strict=True) if status is None
    )
    if silent:
        return silent
    known = [status for status in statuses if status is not None]
    for target, status in zip(chain, known, strict=True):
        if status.received > status.passed:
            return (target,)
    for index, (before, after) in enumerate(pairwise(known)):
        if before.passed > after.received:
            return (chain[index], chain[index + 1])
    return ()


def can_serve(service: Service, targets: Iterable[Target]) -> bool:
    """Tell whether some targets can do a service's work, busy or not."""
    if service.kind is ServiceKind.PLAIN:
        return any(True for _ in targets)
    reached = {0}
    ranges = [item.layers for item in targets if item.layers is not None]
    for layers in sorted(ranges, key=lambda item: item.first):
        if layers.first in reached:
            reached.add(layers.end)
    return service.layers in reached
