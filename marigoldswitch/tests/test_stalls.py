"""Times without progress, as they are measured on a connection."""

import asyncio

from marigoldswitch.core.read_bounds import MAX_COUNTED_SILENCE_SECONDS
from marigoldswitch.stalls import ActivityClock, StallWatch
from marigoldswitch.tests.helpers import run_virtually

BOUND_SECONDS = 2.5


async def receive(pauses):
    """Receive bytes that bring nothing forward after each pause.

    :return: the seconds after which they were given up, if they were.
    """
    loop, stalls = asyncio.get_running_loop(), []
    began, clock = loop.time(), ActivityClock()
    watch = StallWatch(
        BOUND_SECONDS, lambda _: stalls.append(loop.time() - began), clock.time
    )
    for pause in pauses:
        await asyncio.sleep(pause)
        clock.note_bytes()
    watch.stop()
    return stalls[0] if stalls else None


def test_silence_of_a_peer_is_no_stall():
    assert run_virtually(lambda _: receive([0.1, 30.0, 0.1])) is None


def test_peer_that_sends_bytes_without_progress_is_given_up():
    seconds = run_virtually(lambda _: receive([0.02] * 200))
    assert BOUND_SECONDS <= seconds <= BOUND_SECONDS + 0.1


def test_peer_that_sends_a_byte_after_each_silence_is_given_up():
    bytes_needed = BOUND_SECONDS / MAX_COUNTED_SILENCE_SECONDS
    seconds = run_virtually(lambda _: receive([3.0] * 20))
    assert 3.0 * (bytes_needed - 1) <= seconds <= 3.0 * bytes_needed
