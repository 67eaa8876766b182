"""Tells whether this host reaches the targets of each plain service.

A host may be cut off from the targets of one service alone, while it reaches others.
"""

from collections.abc import Callable, Iterator
from functools import partial

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.contact import ContactChange, ContactState, TargetContact
from marigoldswitch.core.ids import ServiceName
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.contact_probing import ContactProber


class ServiceContacts:
    """The contact to the targets of each plain service; engines are left out.

    :ivar create_prober: returns what settles doubts of a service's contact.
    """

    def __init__(self, clock: Clock) -> None:
        self.create_prober: Callable[[ServiceName, TargetContact], ContactProber]
        self._clock = clock
        self._listeners: list[Callable[[ServiceName, ContactChange], None]] = []
        self._contacts: dict[ServiceName, TargetContact] = {}
        self._probers: list[ContactProber] = []

    def is_lost(self, service: ServiceName) -> bool:
        """Return whether this host reaches no target of a service."""
        contact = self._contacts.get(service)
        return contact is not None and contact.is_lost

    def is_doubted(self, target: Target) -> bool:
        """Return whether this host may be what a target can't be reached for."""
        contact = self._contacts.get(target.service)
        return contact is not None and contact.state is not ContactState.REACHED

    def note_answer(self, target: Target, now: float) -> None:
        """Record that a target has answered on a new connection."""
        for contact in self._get(target):
            contact.note_answer(now)

    def note_traffic(self, target: Target, now: float) -> None:
        """Record that bytes have arrived from a target, on any connection."""
        for contact in self._get(target):
            contact.note_traffic(now)

    def note_silence(
        self, target: Target, began: float, now: float, is_refused: bool = False
    ) -> None:
        """Record that a target was tried in vain, from ``began`` on."""
        for contact in self._get(target):
            contact.note_silence(target.id, began, now, is_refused)

    def watch(self, listener: Callable[[ServiceName, ContactChange], None]) -> None:
        """Call ``listener`` with each change of a service's contact."""
        self._listeners.append(listener)

    def assume_reached(self) -> None:
        """Record that this host, which reached no target at all, reaches some again."""
        now = self._clock.monotonic()
        for contact in self._contacts.values():
            contact.note_answer(now)

    def tick(self) -> None:
        """Ask targets of the services that may be out of reach."""
        for prober in self._probers:
            prober.tick()

    def _get(self, target: Target) -> Iterator[TargetContact]:
        if target.accelerator:
            return
        contact = self._contacts.get(target.service)
        if contact is None:
            contact = TargetContact(self._clock.monotonic())
            contact.watch(partial(self._notify, target.service))
            self._contacts[target.service] = contact
            self._probers.append(self.create_prober(target.service, contact))
        yield contact

    def _notify(self, service: ServiceName, change: ContactChange) -> None:
        for listener in self._listeners:
            listener(service, change)
