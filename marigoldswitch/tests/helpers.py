"""Builders and runners that several tests share."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import aiohttp
import structlog
from structlog.testing import capture_logs

from marigoldswitch.core.catalogue import (
    LayerRange,
    Priority,
    Service,
    ServiceKind,
    Target,
)
from marigoldswitch.core.ids import (
    AccountId,
    DataCentre,
    HostId,
    RequestId,
    ServiceName,
    TargetId,
)
from marigoldswitch.core.messages import Ask
from marigoldswitch.core.targets import TargetState
from marigoldswitch.standins.deployment import Deployment
from marigoldswitch.tools.bench.virtual import VirtualTime

HOBART = DataCentre("hobart")
DRAFTING = Service(ServiceName("drafting"), ServiceKind.MODEL, True, layers=12)
BOOKINGS = Service(ServiceName("bookings"), ServiceKind.PLAIN, False)
LETTERS_PATH = "/v1/brands/dollhouse/applications/letters/requests"
BOOKINGS_PATH = "/v1/brands/dollhouse/applications/bookings/requests"


def build_target(
    name: str, layers: tuple[int, int] | None = None, **changes: Any
) -> Target:
    service = DRAFTING.name if layers else BOOKINGS.name
    fields: dict[str, Any] = {
        "id": TargetId(name),
        "service": service,
        "data_centre": HOBART,
        "address": "http://127.0.0.1:1",
        "slots": 2,
        "layers": LayerRange(*layers) if layers else None,
    }
    return Target(**fields | changes)


def build_state(
    name: str, layers: tuple[int, int] | None = None, held: int = 0, **changes: Any
) -> TargetState:
    target = build_target(name, layers, **changes)
    return TargetState(target, float(target.slots), held)


def build_ask(request: str, front: str = "host-0", **changes: Any) -> Ask:
    fields: dict[str, Any] = {
        "request": RequestId(request),
        "attempt": 1,
        "front": HostId(front),
        "data_centre": HOBART,
        "service": BOOKINGS.name,
        "account": AccountId("family"),
        "priority": Priority.NORMAL,
        "weight": 1.0,
        "cost": 1.0,
        "remaining": 10.0,
    }
    return Ask(**fields | changes)


def run_async(work: Coroutine[Any, Any, Any], seconds: float = 60.0) -> Any:
    """Run a coroutine; fail a test that hangs for longer than ``seconds``."""

    async def bounded() -> Any:
        return await asyncio.wait_for(work, seconds)

    return asyncio.run(bounded())


def run_virtually(work: Callable[[VirtualTime], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine function in virtual time, which it gets as its clock."""
    time = VirtualTime()
    try:
        return time.loop.run_until_complete(work(time))
    finally:
        time.close()


@asynccontextmanager
async def run_deployment(**arguments: Any):
    """Run a deployment with its bundle in force; yield it and a caller's session."""
    deployment = Deployment(**arguments)
    await deployment.start()
    try:
        await deployment.roll_out(deployment.build_bundle())
        headers = {"Authorization": f"Bearer {deployment.caller_key}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            yield deployment, session
    finally:
        await deployment.stop()


async def wait_until(condition: Callable[[], bool], seconds: float = 20.0) -> None:
    """Wait until a condition holds; fail if it doesn't within ``seconds``."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


@contextmanager
def capture_all_logs():
    """Yield the list of lines logged at any level, whatever other tests configured."""
    before = structlog.get_config()
    structlog.reset_defaults()
    try:
        with capture_logs() as lines:
            yield lines
    finally:
        structlog.configure(**before)
