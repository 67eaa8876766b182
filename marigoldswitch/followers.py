"""Follower: brings the accepted bundle and the host list to this host."""

import asyncio
from collections.abc import Callable

import structlog
from result import Err, Ok

from marigoldswitch.bundles import digest_content, parse_bundle
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.catalogue import Bundle
from marigoldswitch.core.ports import HostEntry, HostList
from marigoldswitch.releases import AcceptedRecord, Releases

logger = structlog.get_logger(__name__)


class Follower:
    """Polls the platform and adopts upward.

    :param poll: seconds between two looks.
    """

    def __init__(
        self, releases: Releases, host_list: HostList, adoption: Adoption, poll: float
    ) -> None:
        self.adoption = adoption
        self.hosts: list[HostEntry] = []
        self._releases = releases
        self._host_list = host_list
        self._poll = poll
        self._bundle_listeners: list[Callable[[Bundle], None]] = []
        self._host_listeners: list[Callable[[list[HostEntry]], None]] = []

    def watch_bundle(self, listener: Callable[[Bundle], None]) -> None:
        """Call ``listener`` with each bundle put in force."""
        self._bundle_listeners.append(listener)

    def watch_hosts(self, listener: Callable[[list[HostEntry]], None]) -> None:
        """Call ``listener`` with each host list read."""
        self._host_listeners.append(listener)

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            await self.look()
            await asyncio.sleep(self._poll)

    async def look(self) -> None:
        """Look once."""
        await self._look_at_bundle()
        hosts = await self._host_list.fetch()
        if isinstance(hosts, Ok) and hosts.ok_value:
            self.hosts = hosts.ok_value
            for listener in self._host_listeners:
                listener(self.hosts)

    async def _look_at_bundle(self) -> None:
        read = await self._releases.read_accepted()
        if isinstance(read, Err) or read.ok_value is None:
            return
        record = read.ok_value
        if record.version <= self.adoption.version:
            return
        content = await self._releases.fetch(record.digest)
        if isinstance(content, Ok) and content.ok_value is not None:
            self.adopt(record, content.ok_value)

    def adopt(self, record: AcceptedRecord, content: bytes) -> bool:
        """Verify a bundle and put it in force if it is newer."""
        if digest_content(content) != record.digest:
            logger.error("bundle_digest_wrong", version=record.version)
            return False
        match parse_bundle(content, record.version):
            case Err(lines):
                logger.error("bundle_refused", version=record.version, faults=lines)
                return False
            case Ok(bundle):
                pass
        if not self.adoption.adopt(bundle):
            return False
        logger.info("bundle_in_force", version=bundle.version, digest=bundle.digest)
        for listener in self._bundle_listeners:
            listener(bundle)
        return True
