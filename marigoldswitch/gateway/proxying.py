"""Runs requests of a host that reaches no target by way of other hosts.

The other host handles such a request as one of its own callers', and this host passes
the answer on as it comes.
"""

from aiohttp import web

from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.gateway.attempts import Claimant
from marigoldswitch.gateway.connections import Connections
from marigoldswitch.gateway.exchanges import (
    Exchange,
    RunParts,
)
from marigoldswitch.gateway.proxied_runs import ProxiedRun
from marigoldswitch.gateway.proxy_hosts import ProxyHosts

RETRY_AFTER_SECONDS = (0.3, 1.0)
"""Bounds of the time after which a caller may come back that no host could serve."""


class PeerProxy:
    """Sends requests of this host through other ones.

    :param connections: to other hosts.
    """

    def __init__(
        self, parts: RunParts, hosts: ProxyHosts, connections: Connections
    ) -> None:
        self._parts = parts
        self._hosts = hosts
        self._connections = connections

    async def run(
        self, exchange: Exchange, claimant: Claimant
    ) -> web.StreamResponse | None:
        """Run a request through another host and return the answer to its caller.

        :param claimant: the attempt that this run belongs to.
        :return: ``None`` if there is no host left that takes it.
        :raises RequestRefused: if it may have run and may not be sent again;
            :class:`AnswerAborted` once the answer has begun.
        """
        run = ProxiedRun(
            self._parts, self._hosts, self._connections, exchange, claimant
        )
        return await run.run()

    def build_fault(self, exchange: Exchange, detail: str) -> Fault:
        """Return the error for a request that no other host takes.

        One that another host has sent here is declined if it has not run here.
        """
        if exchange.run_count > exchange.runs_elsewhere:
            return Fault(ErrorKind.TARGET_LOST, detail)
        delay = self._parts.source.uniform(*RETRY_AFTER_SECONDS)
        return Fault(ErrorKind.UNREACHABLE, detail, delay)
