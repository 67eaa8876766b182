"""Upper bound on the load that the engines of a data centre can carry under any layout.

A request holds memory for its context at each layer until its last token. Each layer's
weights are in memory at least once, so that the remaining memory, divided by the number
of layers, bounds the context in flight. By Little's law the bound on requests a second
is that context divided by the context of one request and by its duration.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from marigoldswitch.core.models import Accelerator, ModelSpec


@dataclass(frozen=True, slots=True)
class LoadBound:
    """Upper bound on the load of a set of engines.

    :param tokens: most context in flight, in tokens; no layout has memory for more.
    :param seconds: duration of a request on otherwise idle engines that hold layers in
        proportion to their memory.
    :param rate: requests a second, derived from both. A layout with a shorter duration
        allows proportionally more; under load it is less.
    """

    tokens: float
    seconds: float
    rate: float


def compute_load_bound(
    model: ModelSpec,
    engines: Sequence[Accelerator],
    prompt_tokens: float,
    answer_tokens: float,
) -> LoadBound:
    """Return the bound for requests of one size.

    :param engines: the accelerator of each engine.
    :param prompt_tokens: tokens in the prompt of a request.
    :param answer_tokens: tokens in its answer.
    """
    memory = sum(item.memory_mb for item in engines)
    memory_per_layer = memory / model.layers
    tokens = max(0.0, (memory_per_layer - model.layer_mb) / model.token_layer_mb)
    if tokens == 0.0:
        return LoadBound(0.0, float("inf"), 0.0)
    step_factor = sum(item.memory_mb * item.step_factor for item in engines) / memory
    read_factor = sum(item.memory_mb * item.prefill_factor for item in engines) / memory
    seconds = answer_tokens * model.step_seconds * step_factor
    seconds += prompt_tokens * model.prefill_seconds_per_token * read_factor
    return LoadBound(
        tokens, seconds, tokens / (prompt_tokens + answer_tokens) / seconds
    )
