"""What must hold in a randomised run, judged by the records of the stand-ins."""

import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from marigoldswitch.core.leaving import NEW_WORK_SECONDS
from marigoldswitch.hosts import Host
from marigoldswitch.standins.deployment import LAYERS, Deployment
from marigoldswitch.tools.soak_faults import LEAVES, FaultKind, FaultPlayer, Stretch
from marigoldswitch.tools.soak_load import Attempt, EndKind

CUTS = (
    FaultKind.CENTRES_CUT,
    FaultKind.CENTRE_OFF_PLATFORM,
    FaultKind.PLATFORM_OUT,
    FaultKind.PLATFORM_SLOW,
)
HEALING_SECONDS = 12.0
"""Seconds after a cut in which hosts may not have found each other again."""


@dataclass(frozen=True, slots=True)
class Breach:
    """Something that must hold did not."""

    what: str
    subject: str = ""
    requests: tuple[str, ...] = ()


@dataclass(slots=True)
class Checks:
    """Collects what the stand-ins record and compares it with what callers saw."""

    deployment: Deployment
    player: FaultPlayer
    poll: float
    breaches: list[Breach] = field(default_factory=list)
    _layers: dict[str, Counter[tuple[int, int, int]]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    _prompts: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    _versions: dict[int, tuple[Host, int]] = field(default_factory=dict)
    _broken: dict[int, int] = field(default_factory=dict)

    def look(self) -> None:
        """Check what can be checked at any moment."""
        for name, host in self.deployment.hosts.items():
            _, before = self._versions.get(id(host), (host, 0))
            version = host.parts.adoption.version
            if version < before:
                self._note(f"bundle fell from {before} to {version}", name)
            self._versions[id(host)] = (host, version)
            broken = host.parts.front.breaches
            if broken > self._broken.get(id(host), 0):
                self._broken[id(host)] = broken
                self._note("promise_broken was logged", name)

    def collect(self) -> None:
        """Take over what the engines have recorded since the last time."""
        for name, engine in self.deployment.engines.items():
            for (request, epoch, layer, position), times in engine.ran.items():
                key = (epoch, position, layer)
                self._layers[request][key] += times
                if self._layers[request][key] > 1:
                    what = f"layer {layer} ran twice at {position} in epoch {epoch}"
                    self._note(what, name, request)
            engine.ran.clear()
            journal = self.deployment.journals[name]
            for request, prompt in journal.prompts.items():
                self._prompts[prompt].add(request)

    def judge(self, attempts: Iterable[Attempt]) -> None:
        """Check the requests of a round, once none is under way."""
        self.collect()
        by_reference: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in attempts:
            self._judge_end(attempt)
            if attempt.kind == "booking":
                by_reference[attempt.subject].append(attempt)
            else:
                self._judge_draft(attempt)
        for reference, booked in by_reference.items():
            self._judge_booking(reference, booked)
        for stretch in self.player.stretches:
            if stretch.fault.kind in LEAVES:
                self._judge_leaving(stretch)
        if max(self.player.races, default=0) > 1:
            self._note(f"bundle races won: {self.player.races}")
        self._forget()

    def _judge_end(self, attempt: Attempt) -> None:
        if attempt.end in {EndKind.ENDLESS, EndKind.UNREADABLE}:
            detail = attempt.error.get("detail", "")
            self._note_attempts(f"{attempt.end.value}: {detail}", attempt)
        if attempt.end is EndKind.BROKEN and not any(
            attempt.began <= instant <= attempt.ended
            for instant in self.player.killed.get(attempt.host, [])
        ):
            self._note_attempts("broken off by a host that was not killed", attempt)

    def _judge_draft(self, attempt: Attempt) -> None:
        for request in self._prompts.get(attempt.subject, ()):
            ran = self._layers.get(request, Counter())
            if attempt.not_run and ran:
                self._note_attempts(
                    f"said {attempt.error.get('kind')} (not run) but ran", attempt
                )
            places = defaultdict(set)
            for epoch, position, layer in ran:
                places[epoch, position].add(layer)
            for (epoch, position), layers in places.items():
                if layers != set(range(len(layers))):
                    what = f"layers {sorted(layers)} at {position} in epoch {epoch}"
                    self._note_attempts(what, attempt)
            whole = {
                pos for (_, pos), layers in places.items() if len(layers) == LAYERS
            }
            if attempt.end is EndKind.ANSWERED and len(whole) < attempt.tokens:
                self._note_attempts(f"answered with {len(whole)} positions", attempt)

    def _judge_booking(self, reference: str, attempts: list[Attempt]) -> None:
        runs = sum(
            service.ran[reference] for service in self.deployment.services.values()
        )
        if runs > 1:
            self._note_attempts(f"booking ran {runs} times", *attempts)
        answered = [item for item in attempts if item.end is EndKind.ANSWERED]
        if answered and runs != 1:
            self._note_attempts(f"answered, but ran {runs} times", *attempts)
        if any(item.answer != answered[0].answer for item in answered):
            self._note_attempts("two answers to one booking", *attempts)
        if runs and all(item.not_run for item in attempts):
            self._note_attempts("all said not run, but it ran", *attempts)
        if not runs and any(item.error.get("outcome") == "ran" for item in attempts):
            self._note_attempts("said to have run, but did not", *attempts)

    def _judge_leaving(self, stretch: Stretch) -> None:
        name = stretch.fault.subject
        journal = self.deployment.journals[name]
        began = stretch.began
        match stretch.fault.kind:
            case FaultKind.ORDER_LEAVE:
                pass
            case FaultKind.LIST_LEAVE:
                began += self.poll
            case _:
                if journal.said_leaving is None:
                    return
                began = journal.said_leaving
        until = min(stretch.ended, time.monotonic()) - 0.1
        since = stretch.began - HEALING_SECONDS
        if self.player.is_active(*CUTS, since=since, until=until):
            return
        for arrival in journal.arrivals:
            if began + NEW_WORK_SECONDS < arrival.instant < until:
                late = arrival.instant - began
                what = f"new work {late:.1f} s after {stretch.fault.kind.value}"
                self._note(what, name, arrival.request)

    def _forget(self) -> None:
        self._layers.clear()
        self._prompts.clear()
        for journal in self.deployment.journals.values():
            journal.forget()
        for service in self.deployment.services.values():
            service.ran.clear()

    def _note_attempts(self, what: str, *attempts: Attempt) -> None:
        requests = {item.request for item in attempts}
        for item in attempts:
            requests |= self._prompts.get(item.subject, set())
        self.breaches.append(
            Breach(what, attempts[0].subject, tuple(sorted(requests - {""})))
        )

    def _note(self, what: str, subject: str = "", *requests: str) -> None:
        breach = Breach(what, subject, requests)
        if breach not in self.breaches:
            self.breaches.append(breach)


def list_unrest(deployment: Deployment) -> dict[str, Any]:
    """Return what is not at rest in a deployment without load and faults."""
    unrest: dict[str, Any] = {}
    newest = max(
        (host.parts.adoption.version for host in deployment.hosts.values()), default=0
    )
    for name, host in deployment.hosts.items():
        parts = host.parts
        found = {
            "unseen": sorted(deployment.hosts.keys() ^ parts.view.members.keys()),
            "requests": len(parts.front.held),
            "grants": len(parts.dispatching.held),
            "permits": parts.dispatching.count_permits(),
            "bundle": newest - parts.adoption.version,
        }
        for what, value in found.items():
            if value:
                unrest[f"{name}.{what}"] = value
    for name, target in (deployment.engines | deployment.services).items():
        load = target.load
        if load["running"] or load["waiting"]:
            unrest[f"{name}.load"] = load
    return unrest
