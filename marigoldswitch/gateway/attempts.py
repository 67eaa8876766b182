"""Attempts to answer one request, of which only one may write to its caller."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from marigoldswitch.gateway.broken_chains import ChainBroken, ChainGivenUp


class Claimant(Protocol):
    """One of the attempts to answer a request.

    The attempt that claims the answer first is the only one that may write to the
    caller from then on; the others are cancelled, or their claims are refused.
    """

    def claim(self) -> None:
        """Take the answer over; called before each part that goes to the caller."""
        ...

    def has_rival(self) -> bool:
        """Return whether another attempt is under way."""
        ...


class SoleAttempt:
    """The only attempt to answer a request."""

    def claim(self) -> None:
        """Do nothing: there is no other attempt."""

    def has_rival(self) -> bool:
        """Return ``False``."""
        return False


class Attempt:
    """An attempt that runs in a task of its own, beside which another may be started.

    What is reported of it is either a suspicion (:class:`ChainGivenUp`), which makes it
    doubted and leaves it running, or a fact (any other :class:`ChainBroken`), which
    ends it.

    :param note_change: called when it ends or is doubted.
    :param note_claim: called before each part of the answer goes to the caller.
    :param count_attempts: returns the number of attempts under way.
    :ivar doubt: why it may deliver no more; ``None`` if there is no reason, or once
        that has been dealt with.
    :ivar last_doubt: the newest doubt, also once it has been dealt with.
    """

    def __init__(
        self,
        note_change: Callable[[], None],
        note_claim: Callable[["Attempt"], None],
        count_attempts: Callable[[], int],
    ) -> None:
        self.doubt: ChainBroken | None = None
        self.last_doubt: ChainBroken | None = None
        self._note_change = note_change
        self._note_claim = note_claim
        self._count_attempts = count_attempts
        self._task: asyncio.Task[Any] | None = None
        self._failure: ChainBroken | None = None
        """Why it was ended."""

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Start the attempt."""
        self._task = asyncio.create_task(work)
        self._task.add_done_callback(self._handle_end)

    @property
    def is_done(self) -> bool:
        """Return whether it has ended."""
        return self._task is not None and self._task.done()

    def get_result(self) -> Any:
        """Return the result of its work, or raise its exception."""
        assert self._task is not None
        if self._failure is not None:
            raise self._failure
        return self._task.result()

    def report(self, why: ChainBroken) -> None:
        """Record that it may deliver no more, or end it if it must not go on."""
        if isinstance(why, ChainGivenUp):
            self.doubt = self.last_doubt = why
            self._note_change()
            return
        self._failure = why
        self.cancel()

    def cancel(self) -> None:
        """Cancel it; it writes nothing more to the caller."""
        if self._task is not None:
            self._task.cancel()

    def claim(self) -> None:
        """Take the answer over."""
        self._note_claim(self)

    def has_rival(self) -> bool:
        """Return whether another attempt is under way."""
        return self._count_attempts() > 1

    def _handle_end(self, task: "asyncio.Task[Any]") -> None:
        if not task.cancelled():
            # Read here, as nobody asks for the result of an attempt that was replaced.
            task.exception()
        self._note_change()
