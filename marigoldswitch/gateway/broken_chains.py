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
    """This host gives the chain up, although its connection to it still stands."""


class ChainLeft(ChainGivenUp):
    """The chain is given up for a quicker one although its first engine lives."""
