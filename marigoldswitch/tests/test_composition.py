"""What the parts of a gateway's host are wired to."""

import asyncio
import random

from marigoldswitch.clocks import ManualClock
from marigoldswitch.core.gateway_messages import LoadDigest
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.gateway.ports import Addresses, HostSettings, Identity
from marigoldswitch.platform.compose import compose_gateway

HOME, FAR = DataCentre("north"), DataCentre("south")
OWN = "127.0.0.1:7340"


def test_silent_hosts_keep_their_parts_of_all_bounds():
    """Connections, crossings and stated limits are divided by the same hosts."""

    async def scenario():
        clock = ManualClock(100.0)
        settings = HostSettings(
            Identity(OWN, "h", HOME, "isle"),
            Addresses("127.0.0.1:8227", "127.0.0.1:8220", OWN),
        )
        host = compose_gateway(settings, "127.0.0.1:8223", clock, random.Random(1))
        try:
            for number in range(8):
                centre = (HOME, FAR)[number % 2]
                peer = HostId(f"127.0.1.{number}:7340")
                host.parts.spread.roster.update_from_digest(
                    peer, LoadDigest(centre, 0, 0)
                )
            runs = host.parts.runs
            limits = runs.directory.statements.limits
            for _ in range(3):
                assert runs.planner.count_hosts() == limits.count_hosts() == 9
                clock.advance(20.0)
                host.parts.spread.roster.expire()
        finally:
            for session in host.parts.sessions:
                await session.close()

    asyncio.run(scenario())
