"""Faults of a randomised run: each begins, lasts and ends on a deployment."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import combinations
from random import Random
from typing import Any

from marigoldswitch.core.ids import HostId, TargetId
from marigoldswitch.hosts import Host
from marigoldswitch.standins.deployment import Deployment


class FaultKind(Enum):
    """What can go wrong."""

    HOST_KILL = "host_kill"
    HOST_DRAIN = "host_drain"
    ENGINE_DIE = "engine_die"
    ENGINE_STALL = "engine_stall"
    ENGINE_SLOW = "engine_slow"
    ENGINE_REFUSE = "engine_refuse"
    ENGINE_LEAVE = "engine_leave"
    SERVICE_DIE = "service_die"
    SERVICE_SLOW = "service_slow"
    SERVICE_REFUSE = "service_refuse"
    SERVICE_LOSE_ANSWER = "service_lose_answer"
    SERVICE_LEAVE = "service_leave"
    LIST_LEAVE = "list_leave"
    ORDER_LEAVE = "order_leave"
    PLATFORM_OUT = "platform_out"
    PLATFORM_SLOW = "platform_slow"
    PLATFORM_LOSE_ANSWERS = "platform_lose_answers"
    CENTRES_CUT = "centres_cut"
    CENTRE_OFF_PLATFORM = "centre_off_platform"
    BUNDLE_RACE = "bundle_race"


HOST_FAULTS = frozenset({FaultKind.HOST_KILL, FaultKind.HOST_DRAIN})
LEAVES = frozenset(
    {
        FaultKind.ENGINE_LEAVE,
        FaultKind.SERVICE_LEAVE,
        FaultKind.LIST_LEAVE,
        FaultKind.ORDER_LEAVE,
    }
)
LEAVE_SECONDS = (5.0, 9.0)
SECONDS = (0.3, 4.0)
SLOW_FACTOR = 8.0
SLOW_CALL_SECONDS = 0.4
SLOW_PLATFORM_SECONDS = 0.3
LOST_ANSWERS = 3


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param subject: host, target or data centres (``one/other``) that it strikes.
    :param seconds: how long it lasts.
    """

    kind: FaultKind
    subject: str
    seconds: float = 0.0

    def describe(self) -> dict[str, Any]:
        """Return the fault for a trace, as it begins now."""
        return {
            "at": round(time.monotonic(), 3),
            "fault": self.kind.value,
            "subject": self.subject,
            "seconds": self.seconds,
        }


@dataclass(slots=True)
class Stretch:
    """When a fault was there, in monotonic seconds."""

    fault: Fault
    began: float
    ended: float = float("inf")


@dataclass(slots=True)
class FaultPlayer:
    """Begins and ends faults; faults may overlap."""

    deployment: Deployment
    stretches: list[Stretch] = field(default_factory=list)
    killed: dict[str, list[float]] = field(default_factory=dict)
    gone: dict[str, tuple[str, Host]] = field(default_factory=dict)
    """Hosts that are down: data centre and last process."""
    races: list[int] = field(default_factory=list)
    """Number of winners of each race between two bundles."""
    _cuts: set[tuple[str, str]] = field(default_factory=set)
    _off_platform: set[str] = field(default_factory=set)
    _bundles: int = 0

    def choose(self, random: Random) -> Fault | None:
        """Return a fault that may begin now, if the one drawn may."""
        kind = random.choice(list(FaultKind))
        subject = random.choice(self._list_subjects(kind))
        span = LEAVE_SECONDS if kind in LEAVES else SECONDS
        fault = Fault(kind, subject, round(random.uniform(*span), 2))
        return fault if self._may_begin(fault) else None

    def is_active(self, *kinds: FaultKind, since: float, until: float) -> bool:
        """Tell whether a fault of some kind overlapped a stretch of time."""
        return any(
            item.fault.kind in kinds and item.began < until and item.ended > since
            for item in self.stretches
        )

    def list_active(self, instant: float) -> list[str]:
        """Return the kinds of the faults at an instant."""
        return sorted(
            item.fault.kind.value
            for item in self.stretches
            if item.began <= instant <= item.ended + 0.5
        )

    async def play(self, fault: Fault) -> None:
        """Begin a fault, let it last, and end it."""
        stretch = Stretch(fault, time.monotonic())
        self.stretches.append(stretch)
        begin, end = _PLAYS[fault.kind]
        await begin(self, fault.subject)
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            await end(self, fault.subject)
            stretch.ended = time.monotonic()

    def _list_subjects(self, kind: FaultKind) -> list[str]:
        deployment = self.deployment
        centres = sorted(set(deployment.host_centres.values()))
        match kind:
            case FaultKind.HOST_KILL | FaultKind.HOST_DRAIN:
                return sorted(deployment.hosts)
            case FaultKind.LIST_LEAVE | FaultKind.ORDER_LEAVE:
                return sorted({**deployment.engines, **deployment.services})
            case FaultKind.CENTRES_CUT:
                return [f"{one}/{other}" for one, other in combinations(centres, 2)]
            case FaultKind.CENTRE_OFF_PLATFORM:
                return centres
            case _ if kind.value.startswith("engine"):
                return sorted(deployment.engines)
            case _ if kind.value.startswith("service"):
                return sorted(deployment.services)
            case _:
                return ["platform"]

    def _may_begin(self, fault: Fault) -> bool:
        active = [item.fault for item in self.stretches if item.ended == float("inf")]
        if any(
            item.subject == fault.subject
            and (item.kind is fault.kind or {item.kind, fault.kind} <= HOST_FAULTS)
            for item in active
        ):
            return False
        if fault.kind in HOST_FAULTS:
            down = [item for item in active if item.kind in HOST_FAULTS]
            return len(down) * 2 < len(self.deployment.host_centres)
        return True

    # Hosts.

    async def _kill_host(self, name: str) -> None:
        centre = self.deployment.get_centre(name)
        host = self.deployment.hosts.pop(name)
        self.gone[name] = (centre, host)
        self.killed.setdefault(name, []).append(time.monotonic())
        await host.kill()

    async def _drain_host(self, name: str) -> None:
        centre = self.deployment.get_centre(name)
        host = self.deployment.hosts[name]
        await host.drain()
        await host.stop()
        del self.deployment.hosts[name]
        self.gone[name] = (centre, host)

    async def _start_host(self, name: str) -> None:
        centre, _ = self.gone.pop(name)
        await self.deployment.start_host(name, centre)
        self._apply_cuts()

    # Targets.

    async def _stop_target(self, name: str) -> None:
        await self.deployment.stop_target(name)

    async def _start_target(self, name: str) -> None:
        await self.deployment.start_target(name)

    def _set(self, name: str, fault: str, value: object) -> None:
        target = self.deployment.engines.get(name) or self.deployment.services[name]
        setattr(target.faults, fault, value)

    async def _let_leave(self, name: str) -> None:
        self.deployment.journals[name].said_leaving = None
        self._set(name, "leaving", True)

    async def _let_stay(self, name: str) -> None:
        self._set(name, "leaving", False)

    async def _list_leaving(self, name: str) -> None:
        self.deployment.platform.hosts[name]["leaving"] = True

    async def _list_live(self, name: str) -> None:
        self.deployment.platform.hosts[name]["leaving"] = False

    async def _order_leaving(self, name: str) -> None:
        next(iter(self.deployment.hosts.values())).parts.gossip.drain_target(
            TargetId(name)
        )

    async def _order_back(self, name: str) -> None:
        for host in list(self.deployment.hosts.values()):
            host.parts.gossip.drain_target(TargetId(name), leaving=False)

    # Platform and links.

    async def _set_platform(self, fault: str, value: object) -> None:
        setattr(self.deployment.platform.faults, fault, value)

    async def _cut(self, pair: str) -> None:
        one, other = pair.split("/")
        self._cuts |= {(one, other), (other, one)}
        self._apply_cuts()

    async def _heal(self, pair: str) -> None:
        one, other = pair.split("/")
        self._cuts -= {(one, other), (other, one)}
        self._apply_cuts()

    async def _cut_platform(self, centre: str) -> None:
        self._off_platform.add(centre)
        self._apply_cuts()

    async def _heal_platform(self, centre: str) -> None:
        self._off_platform.discard(centre)
        self._apply_cuts()

    def _apply_cuts(self) -> None:
        deployment = self.deployment
        for name, host in deployment.hosts.items():
            centre = deployment.get_centre(name)
            peers = {
                HostId(other)
                for other, where in deployment.host_centres.items()
                if (centre, where) in self._cuts
            }
            host.parts.network.cut = peers
            host.parts.gossip.cut = peers
            addresses = [
                deployment.addresses[target]
                for target in (*deployment.engines, *deployment.services)
                if (centre, deployment.get_centre(target)) in self._cuts
            ]
            if centre in self._off_platform:
                addresses.append(deployment.addresses["platform"])
            deployment.connectors[name].cut_off(addresses)

    # Bundles.

    async def _race_bundles(self, _: str) -> None:
        """Let two operators roll out different bundles on the same seen version."""
        hosts = list(self.deployment.hosts)
        seen = max(
            host.parts.adoption.version for host in self.deployment.hosts.values()
        )
        with contextlib.suppress(KeyError):
            won = await asyncio.gather(
                self._roll_out(hosts[0], seen), self._roll_out(hosts[-1], seen)
            )
            self.races.append(sum(won))

    async def _roll_out(self, host: str, seen: int) -> bool:
        self._bundles += 1
        seconds = 0.0005 + self._bundles * 1e-6
        links = [{"between": ["hobart", "launceston"], "seconds": seconds}]
        content = self.deployment.build_bundle(links=links)
        address = self.deployment.get_address(host, "administration")
        accepted = await self.deployment.try_roll_out(content, seen, address)
        return accepted.is_ok()

    async def _nothing(self, _: str) -> None:
        pass


Step = Callable[[FaultPlayer, str], Awaitable[None]]


def _play_target(fault: str, value: object, usual: object) -> tuple[Step, Step]:
    async def begin(player: FaultPlayer, name: str) -> None:
        player._set(name, fault, value)

    async def end(player: FaultPlayer, name: str) -> None:
        player._set(name, fault, usual)

    return begin, end


def _play_platform(fault: str, value: object, usual: object) -> tuple[Step, Step]:
    async def begin(player: FaultPlayer, _: str) -> None:
        await player._set_platform(fault, value)

    async def end(player: FaultPlayer, _: str) -> None:
        await player._set_platform(fault, usual)

    return begin, end


_STOP = (FaultPlayer._stop_target, FaultPlayer._start_target)
_LEAVE = (FaultPlayer._let_leave, FaultPlayer._let_stay)
_PLAYS: dict[FaultKind, tuple[Step, Step]] = {
    FaultKind.HOST_KILL: (FaultPlayer._kill_host, FaultPlayer._start_host),
    FaultKind.HOST_DRAIN: (FaultPlayer._drain_host, FaultPlayer._start_host),
    FaultKind.ENGINE_DIE: _STOP,
    FaultKind.ENGINE_STALL: _play_target("stall", True, False),
    FaultKind.ENGINE_SLOW: _play_target("slow", SLOW_FACTOR, 1.0),
    FaultKind.ENGINE_REFUSE: _play_target("refuse", True, False),
    FaultKind.ENGINE_LEAVE: _LEAVE,
    FaultKind.SERVICE_DIE: _STOP,
    FaultKind.SERVICE_SLOW: _play_target("delay", SLOW_CALL_SECONDS, 0.0),
    FaultKind.SERVICE_REFUSE: _play_target("refuse", True, False),
    FaultKind.SERVICE_LOSE_ANSWER: _play_target("lose_answers", LOST_ANSWERS, 0),
    FaultKind.SERVICE_LEAVE: _LEAVE,
    FaultKind.LIST_LEAVE: (FaultPlayer._list_leaving, FaultPlayer._list_live),
    FaultKind.ORDER_LEAVE: (FaultPlayer._order_leaving, FaultPlayer._order_back),
    FaultKind.PLATFORM_OUT: _play_platform("out", True, False),
    FaultKind.PLATFORM_SLOW: _play_platform("delay", SLOW_PLATFORM_SECONDS, 0.0),
    FaultKind.PLATFORM_LOSE_ANSWERS: _play_platform("lose_answers", LOST_ANSWERS, 0),
    FaultKind.CENTRES_CUT: (FaultPlayer._cut, FaultPlayer._heal),
    FaultKind.CENTRE_OFF_PLATFORM: (
        FaultPlayer._cut_platform,
        FaultPlayer._heal_platform,
    ),
    FaultKind.BUNDLE_RACE: (FaultPlayer._race_bundles, FaultPlayer._nothing),
}
