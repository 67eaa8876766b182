"""When this host reads the store itself instead of relying on its peers."""

import asyncio
from collections.abc import Callable

import structlog

logger = structlog.get_logger(__name__)


class StoreReading:
    """Starts and stops this host's reads of the store.

    :param must_read: whether this host is one of the readers of its data centre.
    :param reading: set while this host reads the store.
    """

    def __init__(self, must_read: Callable[[], bool], reading: asyncio.Event) -> None:
        self._must_read = must_read
        self._reading = reading

    @property
    def is_active(self) -> bool:
        """Return whether this host reads the store."""
        return self._reading.is_set()

    def update(self) -> None:
        """Start or stop reading, as the hosts' roster requires."""
        must_read = self._must_read()
        if must_read == self._reading.is_set():
            return
        if must_read:
            self._reading.set()
        else:
            self._reading.clear()
        logger.info("store_reading_changed", reads=must_read)
