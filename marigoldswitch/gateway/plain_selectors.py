"""Keeps one target selector for each plain service."""

from marigoldswitch.core.ids import DataCentre, ServiceName
from marigoldswitch.core.selection import PlainSelector
from marigoldswitch.gateway.exchanges import RunParts


class PlainSelectors:
    """The target selectors of the plain services."""

    def __init__(self, parts: RunParts) -> None:
        self._parts = parts
        self._selectors: dict[ServiceName, PlainSelector] = {}

    def get(self, service: ServiceName) -> PlainSelector:
        """Return the selector of a service, creating it at its first use."""
        selector = self._selectors.get(service)
        if selector is None:
            home = DataCentre(self._parts.home)
            selector = PlainSelector(
                home, self._parts.source, self._parts.directory.ramps
            )
            selector.count_hosts = lambda: self._parts.planner.count_hosts()
            self._selectors[service] = selector
        return selector
