"""Reports what new configurations change in the keys of client accounts."""

import structlog

from marigoldswitch.core.routes import RoutingTable
from marigoldswitch.gateway.metrics import GatewayMetrics

logger = structlog.get_logger(__name__)

MAX_LOGGED_ACCOUNTS = 20
"""Most accounts that a log line names."""


class ClientKeys:
    """Logs and counts keys that are taken away or given, by version."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._table: RoutingTable | None = None

    def apply_table(self, table: RoutingTable) -> None:
        """Report the changes from the configuration before, or a first one whole."""
        before, self._table = self._table, table
        known = before.accounts.keys() if before is not None else frozenset()
        removed = len(known - table.accounts.keys())
        added = len(table.accounts.keys() - known)
        without_keys = table.accounts_without_keys
        self._metrics.set_client_keys(table.needs_keys, len(without_keys), removed)
        is_opened = not table.needs_keys and (before is None or before.needs_keys)
        is_closed = table.needs_keys and not table.accounts
        has_changed = (
            before is None
            or removed > 0
            or added > 0
            or before.needs_keys != table.needs_keys
            or before.accounts_without_keys != without_keys
        )
        if not has_changed:
            return
        log = logger.warning if without_keys or is_opened or is_closed else logger.info
        log(
            "client_keys_changed",
            version=table.version,
            removed=removed,
            added=added,
            held=len(table.accounts),
            needs_keys=table.needs_keys,
            without_keys=without_keys[:MAX_LOGGED_ACCOUNTS],
            count_without_keys=len(without_keys),
        )
