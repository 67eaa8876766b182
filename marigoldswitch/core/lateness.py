"""How late messages between hosts are.

A message that waits on a stalled connection or in a frozen process arrives seconds
after it was sent, and what it says is that much older. The clocks of two hosts differ
by an unknown offset; the smallest difference that was seen lately between sending and
arrival stands for it and for the usual time on the way.
"""

from msgspec import Struct

from marigoldswitch.core.ids import HostId

WINDOW_SECONDS = 10.0
"""Time after which the smallest difference is measured anew. It must pass on the clocks
of both hosts: messages that were held up together arrive at one moment."""


class _Window(Struct):
    """The smallest difference between arrival and sending in one window, in seconds.

    :param sent_at: when the first message was sent, by the sender's clock.
    :param arrived_at: when it arrived.
    """

    sent_at: float
    arrived_at: float
    least: float


class _Sender(Struct):
    """What is known of a sender's process.

    :param newest: when its newest message was sent, by its clock.
    :param before: the smallest difference of the window before.
    """

    process: int
    newest: float
    window: _Window
    before: float


class Lateness:
    """Measures by how much messages of each host are later than its quickest ones."""

    def __init__(self) -> None:
        self._senders: dict[HostId, _Sender] = {}

    def measure(
        self, host: HostId, process: int, sent_at: float, now: float
    ) -> float | None:
        """Return the seconds by which a message is late, and learn from it.

        :param process: number of the sender's process.
        :param sent_at: when it was sent, in seconds of the sender's clock; 0 if
            unknown.
        :param now: monotonic time of this host, in seconds.
        :return: ``None`` if a newer message of the process has arrived before.
        """
        if not sent_at:
            return 0.0
        seconds = now - sent_at
        sender = self._senders.get(host)
        if sender is None or sender.process != process:
            window = _Window(sent_at, now, seconds)
            self._senders[host] = _Sender(process, sent_at, window, seconds)
            return 0.0
        if sent_at < sender.newest:
            return None
        sender.newest = sent_at
        window = sender.window
        if min(sent_at - window.sent_at, now - window.arrived_at) >= WINDOW_SECONDS:
            sender.before = window.least
            window = sender.window = _Window(sent_at, now, seconds)
        window.least = min(window.least, seconds)
        return seconds - min(window.least, sender.before)

    def forget(self, hosts: set[HostId]) -> None:
        """Forget all hosts but those given."""
        for host in self._senders.keys() - hosts:
            del self._senders[host]
