"""Ledger of one answer: every layer once per token, in order, with no gap."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import Epoch


class InvariantBroken(AssertionError):
    """A promise that must always hold was found broken."""


@dataclass(frozen=True, slots=True)
class StageToken:
    """A token as the last stage of a chain sends it.

    :param layers: the layer ranges that it went through, in that order.
    """

    epoch: Epoch
    position: int
    text: str
    layers: tuple[LayerRange, ...]


def covers(ranges: Sequence[LayerRange], layers: int) -> bool:
    """Tell whether ranges cover layers 0 to ``layers`` in order, each once."""
    expected = 0
    for item in ranges:
        if item.first != expected or item.end <= item.first:
            return False
        expected = item.end
    return expected == layers


@dataclass(slots=True)
class Ledger:
    """Decides token by token what may go to the caller.

    :param layers: number of layers of the model.
    """

    layers: int
    epoch: Epoch = Epoch(0)
    next_position: int = 0
    delivered: list[str] = field(default_factory=list)
    dropped: int = 0

    def open_epoch(self) -> Epoch:
        """Begin a new epoch; tokens of older ones are dropped from now on."""
        self.epoch = Epoch(self.epoch + 1)
        return self.epoch

    def admit(self, token: StageToken) -> bool:
        """Admit the next token of the current epoch and drop every other one.

        :raises InvariantBroken: if the token skipped, repeated or swapped layers, or
            left a gap in the positions.
        """
        if token.epoch != self.epoch or token.position < self.next_position:
            self.dropped += 1
            return False
        if not covers(token.layers, self.layers):
            raise InvariantBroken(
                f"token {token.position} went through {token.layers}, "
                f"not once through layers 0 to {self.layers}"
            )
        if token.position != self.next_position:
            raise InvariantBroken(
                f"token {token.position} came where {self.next_position} was next"
            )
        self.next_position += 1
        self.delivered.append(token.text)
        return True
