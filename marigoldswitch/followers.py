"""Follower: brings the accepted bundle and the host list to this host.

One host of each data centre polls the platform often, all others seldom: they hear of
a new version from their peers and fetch it there. A host that the platform does not
answer, or that knows of a higher version than the platform showed it, asks peers too.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from marigoldswitch.bundle_parts import BundlePart
from marigoldswitch.bundles import (
    CANONICAL_SOURCE,
    build_bundle,
    check_document,
    load_canonical,
)
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.catalogue import Bundle
from marigoldswitch.core.ids import HostId, ServiceName, TargetId
from marigoldswitch.core.ledger import InvariantBroken
from marigoldswitch.core.messages import BundleContent, FetchBundle, Message
from marigoldswitch.core.ownership import choose_owner
from marigoldswitch.core.ports import HostEntry, HostList
from marigoldswitch.drains import Drains
from marigoldswitch.members import MemberView
from marigoldswitch.packing import unpack_content
from marigoldswitch.records import (
    AcceptedRecord,
    decode_record,
    encode_record,
    find_record_fault,
)
from marigoldswitch.releases import Releases
from marigoldswitch.settings import OperatorSettings, PlatformSettings

logger = structlog.get_logger(__name__)

POLL_DUTY = ServiceName("platform-poll")
"""Name under which a data centre's polling host is chosen."""
ASK_SECONDS = 0.5
"""Seconds between two questions to peers; one lost answer costs no more than that."""
BLIND_ASKS = 3
"""Peers that a host without a bundle asks while none has said that it has one."""
BLIND_ROUNDS = 4
"""Rounds between two blind questions of a host that the platform does not answer."""


MOST_OFFERS = 4
"""Bundles from peers that wait to be verified; the oldest goes first."""


@dataclass(frozen=True, slots=True)
class InForce:
    """The bundle in force as this host passes it on."""

    record: AcceptedRecord
    packed: bytes


class Follower:
    """Polls the platform, asks peers, and adopts upward.

    :param operators: whose signatures count.
    :param send: sends a message to a peer; it may be lost.
    :param drains: what operators and engine orders have drained.
    """

    def __init__(
        self,
        releases: Releases,
        host_list: HostList,
        adoption: Adoption,
        operators: Mapping[str, OperatorSettings],
        view: MemberView,
        send: Callable[[HostId, Message], None],
        drains: Drains,
        settings: PlatformSettings,
        chance: random.Random | None = None,
    ) -> None:
        self.adoption = adoption
        self.hosts: list[HostEntry] = []
        self.refused = 0
        """Bundles that came and could not be adopted."""
        self._releases = releases
        self._host_list = host_list
        self._operators = operators
        self._view = view
        self._send = send
        self._drains = drains
        self._settings = settings
        self._chance = chance or random.Random()
        self._in_force: InForce | None = None
        self._offers: deque[InForce] = deque(maxlen=MOST_OFFERS)
        self._offered = asyncio.Event()
        self._reached = False
        self._round = 0
        self._bundle_listeners: list[Callable[[Bundle], None]] = []
        self._host_listeners: list[Callable[[list[HostEntry]], None]] = []
        self._drain_listeners: list[Callable[[frozenset[TargetId]], None]] = []

    def watch_bundle(self, listener: Callable[[Bundle], None]) -> None:
        """Call ``listener`` with each bundle put in force."""
        self._bundle_listeners.append(listener)

    def watch_hosts(self, listener: Callable[[list[HostEntry]], None]) -> None:
        """Call ``listener`` with each host list read."""
        self._host_listeners.append(listener)

    def watch_drains(self, listener: Callable[[frozenset[TargetId]], None]) -> None:
        """Call ``listener`` with the drained targets, each time they are read."""
        self._drain_listeners.append(listener)

    @property
    def polls_often(self) -> bool:
        """Tell whether this host polls for its data centre."""
        own = self._view.own
        hosts = self._view.list_hosts(own.data_centre)
        return choose_owner(POLL_DUTY, own.data_centre, hosts) in (own.host, None)

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            await self.look()
            often = self.polls_often
            poll = self._settings.poll if often else self._settings.poll_others
            await asyncio.sleep(poll * self._chance.uniform(0.9, 1.0))

    async def run_questions(self) -> None:
        """Ask peers for what they have and this host has not, until cancelled."""
        while True:
            self.ask_peers()
            await asyncio.sleep(ASK_SECONDS)

    async def look(self) -> None:
        """Look at the platform once."""
        self._reached = await self._look_at_bundle()
        if await self._drains.look():
            for drain_listener in self._drain_listeners:
                drain_listener(frozenset(self._drains.marked))
        hosts = await self._host_list.fetch()
        if isinstance(hosts, Ok) and hosts.ok_value:
            self.hosts = hosts.ok_value
            for listener in self._host_listeners:
                listener(self.hosts)

    def ask_peers(self) -> None:
        """Ask peers that have a newer bundle; blindly where the platform is out."""
        self._round += 1
        own = self.adoption.version
        others = [
            item
            for host, item in self._view.members.items()
            if host != self._view.own.host
        ]
        newer = [item.host for item in others if item.bundle > own]
        if newer:
            asked = [self._chance.choice(newer)]
        else:
            asked = self._choose_blindly([item.host for item in others])
        for host in asked:
            self._send(host, FetchBundle(own))

    def _choose_blindly(self, hosts: list[HostId]) -> list[HostId]:
        if self._reached:
            return []
        if self.adoption.bundle is None:
            return self._chance.sample(hosts, min(BLIND_ASKS, len(hosts)))
        if self._round % BLIND_ROUNDS or not hosts:
            return []
        return [self._chance.choice(hosts)]

    def tell_bundle(self, sender: HostId, message: FetchBundle) -> None:
        """Send a peer the bundle in force, if it is newer than the peer's."""
        if self._in_force is None or self.adoption.version <= message.above:
            return
        record, packed = self._in_force.record, self._in_force.packed
        answer = BundleContent(record.version, encode_record(record), packed)
        self._send(sender, answer)

    def take_bundle(self, sender: HostId, message: BundleContent) -> None:
        """Keep what a peer sent, if it is newer, until it is verified."""
        if message.version <= self.adoption.version:
            return
        try:
            record = decode_record(message.record)
        except ValueError as error:
            self._refuse("bundle_record_wrong", sender=sender, why=str(error))
            return
        self._offers.append(InForce(record, message.content))
        self._offered.set()

    async def run_offers(self) -> None:
        """Adopt what peers send until cancelled."""
        while True:
            await self._offered.wait()
            await self.take_offers()

    async def take_offers(self) -> None:
        """Adopt what peers have sent."""
        while self._offers:
            offer = self._offers.popleft()
            await self.adopt(offer.record, offer.packed)
        self._offered.clear()

    async def adopt(self, record: AcceptedRecord, packed: bytes) -> bool:
        """Verify a bundle and put it in force if it is newer.

        The loop gets a turn between the parts, each a few milliseconds at the size to
        design for, so that streams don't stall; it is put in force in one go.
        """
        version = record.version
        if version <= self.adoption.version:
            return False
        fault = find_record_fault(record, self._operators)
        if fault is not None:
            setting = "operators"
            self._refuse(
                "bundle_not_signed", version=version, why=fault, setting=setting
            )
            return False
        content = unpack_content(packed, record.digest)
        if isinstance(content, Err):
            self._refuse("bundle_content_wrong", version=version, why=content.err_value)
            return False
        checked = await self._check(content.ok_value)
        if isinstance(checked, Err):
            self._refuse("bundle_refused", version=version, faults=checked.err_value)
            return False
        await asyncio.sleep(0)
        bundle = build_bundle(checked.ok_value, version, record.digest)
        await asyncio.sleep(0)
        return self._put_in_force(bundle, InForce(record, packed))

    async def _check(self, content: bytes) -> Result[BundlePart, list[str]]:
        await asyncio.sleep(0)
        document = load_canonical(content)
        if isinstance(document, Err):
            return Err(document.err_value)
        await asyncio.sleep(0)
        return check_document(document.ok_value, CANONICAL_SOURCE)

    def _put_in_force(self, bundle: Bundle, in_force: InForce) -> bool:
        try:
            if not self.adoption.adopt(bundle):
                return False
        except InvariantBroken as error:
            self._refuse("promise_broken", what=str(error))
            return False
        self._in_force = in_force
        logger.info("bundle_in_force", version=bundle.version, digest=bundle.digest)
        for listener in self._bundle_listeners:
            listener(bundle)
        return True

    def _refuse(self, event: str, **fields: object) -> None:
        self.refused += 1
        logger.error(event, **fields)

    async def _look_at_bundle(self) -> bool:
        """Adopt what the platform shows; tell whether the platform answered."""
        read = await self._releases.read_accepted()
        if isinstance(read, Err):
            return False
        record = read.ok_value
        if record is None or record.version <= self.adoption.version:
            return True
        content = await self._releases.fetch(record.digest)
        if isinstance(content, Err) or content.ok_value is None:
            return False
        await self.adopt(record, content.ok_value)
        return True
