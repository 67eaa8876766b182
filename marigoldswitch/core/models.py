"""Memory and time that a model needs on the accelerators that run it."""

from collections.abc import Mapping

from msgspec import Struct, field

from marigoldswitch.core.catalogue import LayerRange


class Accelerator(Struct, frozen=True):
    """A kind of accelerator.

    :param memory_mb: memory for weights and the KV cache of requests, in MB.
    :param step_factor: time of a decode step, relative to the reference accelerator.
    :param prefill_factor: time to process a prompt, relative to the reference
        accelerator.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


class ModelSpec(Struct, frozen=True):
    """A model whose layers are distributed over engines.

    Times are in seconds, for all layers on the reference accelerator.

    :param layers: number of layers.
    :param layer_mb: weights of one layer, in MB.
    :param token_layer_mb: KV cache of one token in one layer, in MB.
    :param step_seconds: decode step of an otherwise idle engine.
    :param sequence_seconds: added to a step by each request that is decoded.
    :param context_seconds_per_token: added to a step by each token of context.
    :param prefill_seconds_per_token: time to process one token of a prompt.
    :param load_seconds: time to load all layers.
    :param loads_at_once: number of parallel loads that don't slow each other down.
    :param crossing_seconds_per_token: time that one token of a prompt occupies the link
        between data centres.
    :param accelerators: accelerator kinds by name.
    :param prefill_chunk: most tokens of a prompt that are processed between two decode
        steps of other requests.
    :param event_tokens: tokens in an event of a stream.
    """

    layers: int
    layer_mb: float
    token_layer_mb: float
    step_seconds: float
    sequence_seconds: float
    context_seconds_per_token: float
    prefill_seconds_per_token: float
    load_seconds: float = 0.0
    loads_at_once: int = 1
    crossing_seconds_per_token: float = 0.0
    accelerators: Mapping[str, Accelerator] = field(default_factory=dict)
    prefill_chunk: int = 512
    event_tokens: int = 1

    def count_layers(self, accelerator: Accelerator, tokens: float) -> int:
        """Return how many layers fit beside the KV cache of some tokens."""
        mb_per_layer = self.layer_mb + tokens * self.token_layer_mb
        return min(self.layers, int(accelerator.memory_mb / mb_per_layer))

    def fits(self, accelerator: Accelerator, layers: LayerRange) -> bool:
        """Return whether the weights of some layers fit on an accelerator."""
        return (layers.end - layers.first) * self.layer_mb <= accelerator.memory_mb

    def count_tokens(self, accelerator: Accelerator, layers: LayerRange) -> float:
        """Return the number of tokens whose KV cache fits beside the layers held."""
        count = layers.end - layers.first
        free_mb = accelerator.memory_mb - count * self.layer_mb
        return max(0.0, free_mb / (count * self.token_layer_mb))

    def measure_request_memory(
        self, accelerator: Accelerator, layers: LayerRange
    ) -> float:
        """Return the memory for requests beside the layers, in tokens times layers."""
        return self.count_tokens(accelerator, layers) * (layers.end - layers.first)

    def estimate_layer_seconds(
        self, accelerator: Accelerator, running: float, context_tokens: float
    ) -> float:
        """Return the seconds that one layer adds to a decode step.

        :param running: number of requests that the engine decodes.
        :param context_tokens: total length of their contexts.
        """
        model_seconds = (
            self.step_seconds
            + self.sequence_seconds * running
            + self.context_seconds_per_token * context_tokens
        )
        return accelerator.step_factor * model_seconds / self.layers

    def estimate_prefill_seconds(
        self, accelerator: Accelerator, tokens: float
    ) -> float:
        """Return the seconds in which one layer processes a context."""
        seconds = tokens * self.prefill_seconds_per_token / self.layers
        return accelerator.prefill_factor * seconds
