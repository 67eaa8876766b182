"""What the gateway's decisions and digests cost, over engines and peers."""

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
from marigoldswitch.core.layer_cover import EngineSlot
from marigoldswitch.core.layouts import plan_layout
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.paths import find_near_chain
from marigoldswitch.core.stages import StageOffer
from marigoldswitch.wire import MessageCodec

CODEC = MessageCodec(GatewayMessage)

FIRST_HOLDERS = 4
"""One engine of so many holds the first layers of the model, as on the grown sites."""
ROUNDS = 50
MICROSECONDS = 1e6
KINDS = {
    "large": Accelerator("large", 72_000.0, 2.4, 3.2),
    "middle": Accelerator("middle", 43_200.0, 5.6, 2.7),
    "small": Accelerator("small", 21_600.0, 16.0, 8.2),
}
MODEL = ModelSpec(
    80, 1750.0, 0.02295, 1.02e-3, 1.4e-5, 1.9e-8, 1e-5, accelerators=KINDS
)
CENTRES = ("a", "b", "c")


def build_engines(count: int) -> list[EngineSlot]:
    """Return empty engines of all kinds in three data centres."""
    kinds = ("small", "small", "small", "middle", "middle", "large")
    return [
        EngineSlot(
            TargetId(f"e{index}"),
            DataCentre(CENTRES[index % len(CENTRES)]),
            kinds[index // len(CENTRES) % len(kinds)],
            None,
        )
        for index in range(count)
    ]


def time_chain(count: int) -> float:
    """Return the microseconds that the choice of one chain takes."""
    engines = build_engines(count)
    layout = plan_layout(MODEL, engines)
    offers = [_build_offer(item, layout[item.target]) for item in engines]
    source = random.Random(1)
    began = time.perf_counter()
    for _ in range(ROUNDS):
        find_near_chain(offers, MODEL.layers, DataCentre("a"), source)
    return (time.perf_counter() - began) / ROUNDS * MICROSECONDS


def _build_offer(engine: EngineSlot, layers: LayerRange) -> StageOffer:
    accelerator = KINDS[engine.accelerator]
    return StageOffer(
        engine.target,
        f"{engine.target}:80",
        engine.data_centre,
        layers,
        MODEL.estimate_step(accelerator, 10.0, 9000.0),
        0.3,
        0.02,
    )


def time_layout(count: int) -> float:
    """Return the microseconds that the layout of some engines takes."""
    engines = build_engines(count)
    began = time.perf_counter()
    plan_layout(MODEL, engines)
    return (time.perf_counter() - began) * MICROSECONDS


def _count_begun(index: int, requests: int) -> int:
    """Return the chains that begin at a target: at those with the first layers."""
    return requests if index % FIRST_HOLDERS == 0 else 0


def build_digest(targets: int) -> LoadDigest:
    """Return a digest of a host that holds requests at some targets."""
    usages = tuple(
        TargetUsage(TargetId(f"i-{index:010d}"), 2, 1800, _count_begun(index, 2))
        for index in range(targets)
    )
    return LoadDigest(DataCentre("a"), 7, 400, usages, reads=True)


def build_summary(targets: int) -> LoadSummary:
    """Return the sum of a data centre's hosts over some targets."""
    usages = tuple(
        TargetUsage(TargetId(f"i-{index:010d}"), 24, 21_600, _count_begun(index, 24))
        for index in range(targets)
    )
    return LoadSummary((CentreUsage(DataCentre("a"), usages),), 57, 400)


def size_summary(targets: int) -> float:
    """Return the bytes of a sum."""
    return float(len(CODEC.encode(build_summary(targets))))


def time_summary(targets: int) -> float:
    """Return the microseconds that reading a sum takes."""
    return _time_reading(CODEC.encode(build_summary(targets)))


def size_digest(targets: int) -> float:
    """Return the bytes of a digest."""
    return float(len(CODEC.encode(build_digest(targets))))


def time_digest(targets: int) -> float:
    """Return the microseconds that reading a digest takes."""
    return _time_reading(CODEC.encode(build_digest(targets)))


def _time_reading(content: bytes) -> float:
    began = time.perf_counter()
    for _ in range(ROUNDS):
        CODEC.decode(content)
    return (time.perf_counter() - began) / ROUNDS * MICROSECONDS
