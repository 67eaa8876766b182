"""Measures the gateway's placement decisions and load messages at a given size."""

import random
import time

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.gateway_messages import (
    CentreUsage,
    GatewayMessage,
    LoadDigest,
    LoadSummary,
    TargetUsage,
)
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.layer_cover import LayoutEngine
from marigoldswitch.core.layouts import plan_layout
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.paths import find_single_centre_chain
from marigoldswitch.core.stages import StageOffer
from marigoldswitch.wire import MessageCodec

CODEC = MessageCodec(GatewayMessage)

TARGETS_PER_FIRST_STAGE = 4
"""One target in so many holds the first layers of the model, as on large sites."""
REPETITIONS = 50
MICROSECONDS_PER_SECOND = 1e6
ACCELERATORS = {
    "large": Accelerator("large", 72_000.0, 2.4, 3.2),
    "middle": Accelerator("middle", 43_200.0, 5.6, 2.7),
    "small": Accelerator("small", 21_600.0, 16.0, 8.2),
}
MODEL = ModelSpec(
    80, 1750.0, 0.02295, 1.02e-3, 1.4e-5, 1.9e-8, 1e-5, accelerators=ACCELERATORS
)
CENTRES = ("a", "b", "c")


def build_engines(count: int) -> list[LayoutEngine]:
    """Return engines without layers, of all accelerators, in three data centres."""
    kinds = ("small", "small", "small", "middle", "middle", "large")
    return [
        LayoutEngine(
            TargetId(f"e{index}"),
            DataCentre(CENTRES[index % len(CENTRES)]),
            kinds[index // len(CENTRES) % len(kinds)],
            None,
        )
        for index in range(count)
    ]


def time_chain_search(count: int) -> float:
    """Return the microseconds needed to choose one chain.

    :param count: number of engines.
    """
    engines = build_engines(count)
    layout = plan_layout(MODEL, engines)
    offers = [_build_offer(item, layout[item.target]) for item in engines]
    rng = random.Random(1)
    began = time.perf_counter()
    for _ in range(REPETITIONS):
        find_single_centre_chain(offers, MODEL.layers, DataCentre("a"), rng)
    return (time.perf_counter() - began) / REPETITIONS * MICROSECONDS_PER_SECOND


def _build_offer(engine: LayoutEngine, layers: LayerRange) -> StageOffer:
    accelerator = ACCELERATORS[engine.accelerator]
    return StageOffer(
        engine.target,
        f"{engine.target}:80",
        engine.data_centre,
        layers,
        MODEL.estimate_layer_seconds(accelerator, 10.0, 9000.0),
        0.3,
        0.02,
    )


def time_layout_planning(count: int) -> float:
    """Return the microseconds needed to plan the layout of layers over engines.

    :param count: number of engines.
    """
    engines = build_engines(count)
    began = time.perf_counter()
    plan_layout(MODEL, engines)
    return (time.perf_counter() - began) * MICROSECONDS_PER_SECOND


def _count_chain_starts(index: int, requests: int) -> int:
    """Return how many of a target's requests have their chain's first stage there.

    :param index: number of the target; every fourth holds the first layers.
    """
    return requests if index % TARGETS_PER_FIRST_STAGE == 0 else 0


def build_digest(targets: int) -> LoadDigest:
    """Return the load digest of a host that holds requests at each target."""
    usages = tuple(
        TargetUsage(TargetId(f"i-{index:010d}"), 2, 1800, _count_chain_starts(index, 2))
        for index in range(targets)
    )
    return LoadDigest(DataCentre("a"), 7, 400, usages, reads=True)


def build_summary(targets: int) -> LoadSummary:
    """Return the load summary of a data centre that holds requests at each target."""
    usages = tuple(
        TargetUsage(
            TargetId(f"i-{index:010d}"), 24, 21_600, _count_chain_starts(index, 24)
        )
        for index in range(targets)
    )
    return LoadSummary((CentreUsage(DataCentre("a"), usages),), 57, 400)


def measure_summary_size(targets: int) -> float:
    """Return the bytes of an encoded load summary."""
    return float(len(CODEC.encode(build_summary(targets))))


def time_summary_decoding(targets: int) -> float:
    """Return the microseconds needed to decode a load summary."""
    return _time_decoding(CODEC.encode(build_summary(targets)))


def measure_digest_size(targets: int) -> float:
    """Return the bytes of an encoded load digest."""
    return float(len(CODEC.encode(build_digest(targets))))


def time_digest_decoding(targets: int) -> float:
    """Return the microseconds needed to decode a load digest."""
    return _time_decoding(CODEC.encode(build_digest(targets)))


def _time_decoding(content: bytes) -> float:
    """Return the mean microseconds needed to decode a message."""
    began = time.perf_counter()
    for _ in range(REPETITIONS):
        CODEC.decode(content)
    return (time.perf_counter() - began) / REPETITIONS * MICROSECONDS_PER_SECOND
