"""How many whole chains a set of layer ranges makes."""

from collections.abc import Iterable

from marigoldswitch.core.catalogue import LayerRange


def count_chains(ranges: Iterable[LayerRange], layers: int) -> int:
    """Return how many chains of disjoint targets cover a model side by side.

    A chain is a path over layer boundaries from 0 to ``layers`` and each target one
    edge of it, so the answer is the maximum flow, found by augmenting paths.

    :param ranges: the layer range of each target.
    :param layers: number of layers of the model.
    """
    room: dict[int, dict[int, int]] = {0: {}, layers: {}}
    for item in ranges:
        forward = room.setdefault(item.first, {})
        forward[item.end] = forward.get(item.end, 0) + 1
        room.setdefault(item.end, {}).setdefault(item.first, 0)
    chains = 0
    while path := _find_path(room, layers):
        for start, end in zip(path, path[1:], strict=False):
            room[start][end] -= 1
            room[end][start] = room[end].get(start, 0) + 1
        chains += 1
    return chains


def _find_path(room: dict[int, dict[int, int]], layers: int) -> list[int]:
    """Return a shortest path of boundaries with room; empty where there is none."""
    came: dict[int, int] = {0: 0}
    frontier = [0]
    for boundary in frontier:
        for following, left in room[boundary].items():
            if left > 0 and following not in came:
                came[following] = boundary
                frontier.append(following)
    if layers not in came or layers == 0:
        return []
    path = [layers]
    while path[-1] != 0:
        path.append(came[path[-1]])
    return path[::-1]


def find_gap(ranges: Iterable[LayerRange], layers: int) -> int | None:
    """Return the highest boundary that chains reach if they end before ``layers``."""
    reached = {0}
    for item in sorted(ranges, key=lambda item: (item.first, item.end)):
        if item.first in reached:
            reached.add(item.end)
    return None if layers in reached else max(reached)
