"""Streams of the peer soak: the engines that serve them and what their callers get."""

import asyncio
import time
from typing import Any

import aiohttp
from msgspec import Struct

from marigoldswitch.standins.platform_engines import EngineCluster, EngineStandin

LAYERS = 8
ENGINES = 4
EVENTS = 40
DEADLINE_SECONDS = 8.0
"""Far above a silence, also where a stream meets several."""
MODEL_SERVICE: dict[str, Any] = {
    "name": "model",
    "engine": {
        "slots": 96,
        "kv_bytes": 800_000,
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.02,
        "read_per_s": 100_000.0,
        "models": [{"name": "m", "load_s": 0.1}],
        "loads_at_once": 5,
        "layers": LAYERS,
        "layer_mb": 100.0,
        "activation_bytes": 1000,
        "pipe_mbps": 18_000.0,
        "kinds": [
            {"name": "card", "size_mb": 13_000.0, "pace": 2.0, "read_factor": 2.0}
        ],
    },
}
STREAM_ROUTES: list[dict[str, Any]] = [
    {
        "name": prefix,
        "prefix": prefix,
        "service": "model",
        "route_type": "stream",
        "resumable": is_resumable,
        "timeout_ms": 1000 * DEADLINE_SECONDS,
        "target_latency_ms": 500,
        "target_gap_ms": 200,
    }
    for prefix, is_resumable in (("/streams/", True), ("/single/", False))
]


class StreamEnd(Struct, frozen=True):
    """What the caller of a stream got, with monotonic times.

    :param outcome: ``whole``, ``cut`` once it had begun, the status, or ``lost``.
    :param fault: what must not happen to a stream that has begun; empty if it did not.
    """

    request: str
    began: float
    ended: float
    outcome: str
    fault: str = ""


class StreamEngines:
    """The engines of the model service, each of which holds all layers."""

    def __init__(self) -> None:
        cluster = EngineCluster(LAYERS)
        self.engines = [EngineStandin(f"e-{n}", cluster) for n in range(ENGINES)]

    async def start(self) -> dict[str, dict[str, Any]]:
        """Start the engines and return their rows for the store, by name."""
        rows = {}
        for engine in self.engines:
            engine.held, engine.events = (0, LAYERS), EVENTS
            await engine.start()
            rows[engine.name] = {
                "service": "model",
                "address": engine.address,
                "phase": "ready",
                "route_type": "card",
                "layers": {"from": 0, "target": LAYERS},
            }
        return rows

    async def stop(self) -> None:
        """Stop the engines."""
        for engine in self.engines:
            await engine.stop()
            engine.release()


async def stream_from(
    session: aiohttp.ClientSession, url: str, request: str, key: str
) -> StreamEnd:
    """Read a stream and return how it ended."""
    headers = {
        "Host": "drafts.example",
        "Attempt-Id": request,
        "Authorization": f"Token {key}",
        "Deadline-Ms": str(round(1000 * DEADLINE_SECONDS)),
        "Token-Usage": "100,50",
    }
    began, body, has_begun = time.monotonic(), bytearray(), False
    outcome, fault = "lost", ""
    try:
        async with (
            asyncio.timeout(DEADLINE_SECONDS + 1.0),
            session.post(url, data=b"{}", headers=headers) as answer,
        ):
            has_begun = answer.status == 200
            outcome = str(answer.status)
            async for piece in answer.content.iter_any():
                body += piece
            if has_begun:
                outcome = "whole"
    except (aiohttp.ClientError, TimeoutError):
        if has_begun:
            outcome, fault = "cut", f"broken off after {body.count(b'id: ')} events"
    if outcome == "whole":
        ids = [line[4:] for line in body.split(b"\n") if line.startswith(b"id: ")]
        if ids != [b"%d" % number for number in range(1, EVENTS + 1)]:
            fault = f"with events {b' '.join(ids).decode()}"
    return StreamEnd(request, began, time.monotonic(), outcome, fault)
