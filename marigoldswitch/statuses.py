"""What an operator sees of one host."""

from typing import Any

from marigoldswitch.core.dispatcher import Dispatcher
from marigoldswitch.dispatching import Dispatching
from marigoldswitch.members import MemberView


def describe_members(view: MemberView) -> list[dict[str, Any]]:
    """Return the live hosts as this one sees them."""
    return [
        {
            "host": item.host,
            "data_centre": item.data_centre,
            "leaving": item.leaving,
            "bundle": item.bundle,
        }
        for item in sorted(view.members.values(), key=lambda item: item.host)
    ]


def describe_dispatchers(dispatching: Dispatching) -> list[dict[str, Any]]:
    """Return the dispatchers that this host runs, with their targets."""
    return [_describe_dispatcher(item) for item in dispatching.owned.values()]


def _describe_dispatcher(dispatcher: Dispatcher) -> dict[str, Any]:
    return {
        "service": dispatcher.service.name,
        "data_centre": dispatcher.data_centre,
        "waiting": len(dispatcher.waiting),
        "permits": len(dispatcher.permits),
        "targets": {
            state.target.id: {
                "limit": round(state.limit, 2),
                "held": state.held,
                "leaving": state.leaving,
            }
            for state in dispatcher.pool.states.values()
        },
    }
