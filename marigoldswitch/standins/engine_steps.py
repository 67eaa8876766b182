"""How an engine stand-in runs its layers and passes activations on.

It batches: one step runs the waiting activations of up to ``slots`` requests, so that a
step costs one timer however many requests share it.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import aiohttp

from marigoldswitch.standins.engine_state import (
    EngineFaults,
    KvMemory,
    PrefixCache,
    StreamState,
    choose_word,
)

MOST_UNSENT = 64
"""Tokens that wait for a slow reader before the engine stops making more."""

Key = tuple[str, int]
Activation = tuple[StreamState, int, list[list[int]]]

LOCAL: dict[str, "EngineSteps"] = {}
"""Engines of this process by address: once a stream is open, they pass activations on
without HTTP, which would cost far more than what it is there to test."""


class EngineSteps:
    """The streams of an engine and the steps that it runs for them.

    :param layers: the layer range that it holds, ``(first, end)``.
    :param step: seconds of one step over all of its layers.
    :param records: whether it counts each layer that it runs; off for benches.
    """

    def __init__(
        self,
        layers: tuple[int, int],
        step: float,
        slots: int,
        records: bool,
    ) -> None:
        self.layers = layers
        self.step = step
        self.slots = slots
        self.faults = EngineFaults()
        self.ran: Counter[tuple[str, int, int, int]] = Counter()
        """Times that (request, epoch, layer, position) was run."""
        self.prefilled = 0
        """Tokens that were computed anew because their KV cache was not there."""
        self.prefixes = PrefixCache()
        self.kv = KvMemory()
        self._records = records
        self._streams: dict[Key, StreamState] = {}
        self._ready: list[Activation] = []
        self._stepper: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._session: aiohttp.ClientSession | None = None
        self._load = (0.0, {"running": 0, "waiting": 0})

    @property
    def load(self) -> dict[str, int]:
        """Return what the engine says of its load, which lags."""
        taken, load = self._load
        if time.monotonic() - taken >= self.faults.load_lag:
            load = {
                "running": min(len(self._streams), self.slots),
                "waiting": max(0, len(self._streams) - self.slots),
            }
            self._load = (time.monotonic(), load)
        return load

    def forget_streams(self) -> None:
        """Lose the memory of all streams, as an engine that ends does."""
        for state in list(self._streams.values()):
            self._drop(state)
        self._ready.clear()
        self.kv = KvMemory()

    def _hold(self, order: dict[str, Any], index: int) -> StreamState:
        state = StreamState(order, index)
        self._streams[state.key] = state
        own = order["chain"][index]
        LOCAL[own["address"]] = self
        return state

    def _drop(self, state: StreamState) -> None:
        """Forget a stream but for its KV cache, which is kept for a while."""
        if self._streams.get(state.key) is not state:
            return
        del self._streams[state.key]
        self.kv.write(*state.key, state.passed + 1)
        state.cancelled = True
        state.end()

    def _take(self, state: StreamState, position: int, trace: list[list[int]]) -> None:
        """Put an activation into the next step; the first one waits for its prefill."""
        first = state.received < 0
        state.received = max(state.received, position)
        wait = self._prefill(state.order) if first else 0.0
        if wait > 0.0:
            asyncio.get_running_loop().call_later(
                wait, self._queue, (state, position, trace)
            )
        else:
            self._queue((state, position, trace))

    def _prefill(self, order: dict[str, Any]) -> float:
        """Return the seconds to compute what the KV cache lacks."""
        known = self.kv.read(order["request"], order.get("resume", 0))
        words = order["prompt"].count(" ") + 1
        if known is not None and known >= order["from"]:
            return 0.0
        self.prefilled += order["from"]
        if self.prefixes.use(order.get("prefix")):
            words = 0
        return (words + order["from"]) * self.step * self.faults.slow / 20.0

    def _queue(self, activation: Activation) -> None:
        self._ready.append(activation)
        if self._stepper is None or self._stepper.done():
            self._stepper = self._spawn(self._run_steps())

    async def _run_steps(self) -> None:
        while self._ready:
            await asyncio.sleep(self.step * self.faults.slow)
            while self.faults.stall:
                await asyncio.sleep(0.01)
            batch = self._ready[: self.slots]
            del self._ready[: self.slots]
            for state, position, trace in batch:
                if not state.cancelled and not self.faults.dead:
                    self._run(state, position, trace)

    def _run(self, state: StreamState, position: int, trace: list[list[int]]) -> None:
        """Run this stage's layers for one token and pass it on."""
        if self._records:
            for layer in range(*self.layers):
                self.ran[*state.key, layer, position] += 1
        state.passed = max(state.passed, position)
        trace = [*trace, list(self.layers)]
        is_final = position == state.order["max_tokens"] - 1
        if not state.is_last:
            self._pass_on(state, state.index + 1, position, trace)
            if is_final:
                self._drop(state)
            return
        self._emit(state, position, trace)
        if is_final:
            state.flush()
            state.emit({"end": True, "tokens": position + 1, "load": self.load})
            return
        state.next_fed = position + 1
        self._feed_back(state)

    def _emit(self, state: StreamState, position: int, trace: list[list[int]]) -> None:
        token = {
            "epoch": state.order["epoch"],
            "position": position,
            "text": choose_word(state.order["prompt"], position),
            "layers": trace,
        }
        swap, twice = self.faults.swap_every, self.faults.duplicate_every
        if swap and position % swap == 0:
            state.late = token
            return
        state.emit(token)
        state.flush()
        if twice and position % twice == 0:
            state.emit(token)

    def _feed_back(self, state: StreamState) -> None:
        """Let the first stage go on, unless the reader is too far behind."""
        if state.next_fed is None or state.unsent >= MOST_UNSENT or state.cancelled:
            return
        position, state.next_fed = state.next_fed, None
        self._pass_on(state, 0, position, [])

    def _pass_on(
        self, state: StreamState, index: int, position: int, trace: list[list[int]]
    ) -> None:
        if self.faults.link_delay > 0.0:
            asyncio.get_running_loop().call_later(
                self.faults.link_delay, self._send, state, index, position, trace
            )
        else:
            self._send(state, index, position, trace)

    def _send(
        self, state: StreamState, index: int, position: int, trace: list[list[int]]
    ) -> None:
        peer = LOCAL.get(state.order["chain"][index]["address"])
        if peer is not None and not peer.faults.dead:
            theirs = peer._streams.get(state.key)
            if theirs is not None and theirs.index == index:
                peer._take(theirs, position, trace)
                return
        self._spawn(self._post_activation(state, index, position, trace))

    async def _post_activation(
        self, state: StreamState, index: int, position: int, trace: list[list[int]]
    ) -> None:
        activation = {
            "order": state.order,
            "index": index,
            "position": position,
            "trace": trace,
        }
        following = state.order["chain"][index]
        if await self._post(following["address"], "/v1/activations", activation):
            return
        if not state.cancelled:
            await self._report_failure(state, following["target"])
            self._drop(state)

    async def _report_failure(self, state: StreamState, target: str) -> None:
        if state.is_last:
            state.emit({"failed": target})
            await asyncio.sleep(0)
            return
        request, epoch = state.key
        body = {"request": request, "epoch": epoch, "target": target}
        last = state.order["chain"][-1]
        await self._post(last["address"], "/v1/failures", body)

    async def _cancel_others(self, state: StreamState) -> None:
        """Tell the other stages that nobody reads the stream any more."""
        assert self._session is not None
        request, epoch = state.key
        for stage in state.order["chain"][:-1]:
            path = f"{stage['address']}/v1/streams/{request}/{epoch}"
            try:
                async with self._session.delete(path):
                    pass
            except aiohttp.ClientError:
                continue

    async def _post(self, address: str, path: str, body: dict[str, Any]) -> bool:
        assert self._session is not None
        try:
            async with self._session.post(address + path, json=body) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def _spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
