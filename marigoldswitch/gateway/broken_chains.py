"""The ends of chains that deliver no more of an answer."""


class ChainBroken(Exception):
    """The chain will deliver no more of the answer.

    :param is_unbounded: its first engine sent bytes without end, for which the request
        is not to blame.
    """

    def __init__(self, why: str, is_unbounded: bool = False) -> None:
        super().__init__(why)
        self.is_unbounded = is_unbounded


class ChainGivenUp(ChainBroken):
    """This host suspects that the chain delivers no more; its connection still stands.

    Not a fact like the other kinds: it is a reason to seek a replacement, and none to
    end the run.
    """


class ChainLeft(ChainGivenUp):
    """The chain is given up for a quicker one although its first engine lives."""
