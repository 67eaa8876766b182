"""Client of plain services, and what all targets say alike."""

from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.errors import Advice
from marigoldswitch.core.messages import Load
from marigoldswitch.core.requests import Answer, Request

REFUSED_STATUS = 503


def parse_load(body: dict[str, Any]) -> Load | None:
    """Return the load that a target reports, if it does."""
    load = body.get("load")
    if not isinstance(load, dict):
        return None
    return Load(int(load.get("running", 0)), int(load.get("waiting", 0)))


def parse_miss(status: int, content: bytes) -> Miss:
    """Return what a target's error says of the request."""
    try:
        body = orjson.loads(content)
    except orjson.JSONDecodeError:
        body = {}
    if not isinstance(body, dict):
        body = {}
    if status == REFUSED_STATUS and body.get("not_run") is True:
        known = {item.value for item in Advice}
        advice = body.get("advice")
        return Miss(
            Delivery.REFUSED,
            f"refused with {status}",
            Advice(advice) if advice in known else None,
            body.get("leaving") is True,
            parse_load(body),
        )
    return Miss(Delivery.MAY_HAVE_RUN, f"answered {status}")


class PlainClient:
    """Calls targets of plain services."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def call(
        self, target: Target, request: Request, seconds: float
    ) -> Result[tuple[Answer, Load | None], Miss]:
        """Send a request to a target.

        :param seconds: longest wait for the answer.
        """
        body = {"request": request.id, "key": request.key, "input": dict(request.body)}
        timeout = aiohttp.ClientTimeout(total=seconds, connect=min(1.0, seconds))
        try:
            async with self._session.post(
                target.address + "/v1/calls", data=orjson.dumps(body), timeout=timeout
            ) as response:
                content = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Err(Miss(Delivery.NOT_DELIVERED, "no connection"))
        except (TimeoutError, aiohttp.ClientError) as error:
            return Err(Miss(Delivery.MAY_HAVE_RUN, type(error).__name__))
        if response.status != 200:
            return Err(parse_miss(response.status, content))
        try:
            answer = orjson.loads(content)
            return Ok((Answer(answer["answer"]), parse_load(answer)))
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return Err(Miss(Delivery.MAY_HAVE_RUN, "answer cannot be read"))
