"""What the gateway knows of a request that asks for capacity."""

from msgspec import Struct

from marigoldswitch.core.ids import AccountId, RequestId
from marigoldswitch.core.routes import Route, RoutingTable

NO_ACCOUNT = AccountId("")
"""Account of the requests that belong to none."""
MAX_CREDITED_SHARE = 1.0 / 3.0
"""Longest time since the first arrival that is believed, as a share of the route's
timeout: callers honour ``Retry-After`` up to a third of the time they have left."""

RETRY_SECONDS = 0.05
"""Least time since the first arrival of a request that was sent again as told. A caller
that sends its request for the first time may have used up some milliseconds, to open a
connection for example."""


class Requester(Struct, frozen=True):
    """A request that asks for capacity. Times are monotonic seconds.

    :param account: its client account; :data:`NO_ACCOUNT` if it has none.
    :param first_arrival: when its caller first sent it, to any host.
    :param arrived: when it arrived at this host.
    :param objective_at: when its first event should arrive.
    :param deadline_at: when its answer must be complete.
    :param answer_tokens: expected length of its answer.
    :param is_resumed: its caller has received part of an answer.
    :param is_early: its caller was told to come back later than this.
    :param is_first_ask: it has not asked for capacity here before.
    :param weight: weight of its account.
    """

    account: AccountId
    first_arrival: float
    arrived: float
    objective_at: float
    deadline_at: float
    answer_tokens: int = 0
    is_resumed: bool = False
    is_early: bool = False
    is_first_ask: bool = True
    weight: float = 1.0
    request: RequestId = RequestId("")

    @property
    def is_retry(self) -> bool:
        """Return whether its caller has sent it before."""
        return self.is_early or self.arrived - self.first_arrival > RETRY_SECONDS


class FirstArrivals:
    """Tells when a request was first sent from the time that its caller has left.

    A caller that returns after a refusal has less time left than one that comes for the
    first time. No other state is needed, so the place of a first arrival holds at every
    host.
    """

    def __init__(self) -> None:
        self._least_used: dict[tuple[str, AccountId], float] = {}
        """Least time, in seconds, that callers of each route and account had used up.
        Accounts whose callers always state less than others would pass for retries."""

    def find(
        self,
        route: Route,
        account: AccountId,
        time_left: float | None,
        arrived: float,
    ) -> float:
        """Return when a request first arrived, in monotonic seconds.

        :param time_left: seconds that its caller waits for the answer, if stated.
        :param arrived: when it arrived here, in monotonic seconds.
        """
        if time_left is None or time_left >= route.timeout:
            self._least_used[route.name, account] = 0.0
            return arrived
        used = route.timeout - time_left
        key = route.name, account
        least = min(used, self._least_used.get(key, used))
        self._least_used[key] = least
        credited = used - least
        if credited > MAX_CREDITED_SHARE * route.timeout:
            return arrived
        return arrived - credited


def describe_unknown(now: float, latest: float) -> Requester:
    """Return the requester of a request of which nothing else is known.

    :param latest: when its wait ends, in monotonic seconds.
    """
    return Requester(NO_ACCOUNT, now, now, latest, float("inf"))


def find_shared_services(table: RoutingTable) -> frozenset[str]:
    """Return the model services whose routes differ in priority.

    Where all rank alike, ordering and refusing over all hosts costs callers more than
    it gives them: requests that would have found room a little later are refused.
    """
    priorities: dict[str, set[int]] = {}
    for route in table.routes:
        for item in route.services:
            priorities.setdefault(item.service, set()).add(route.priority)
    return frozenset(
        name
        for name, service in table.services.items()
        if service.model is not None and len(priorities.get(name, ())) > 1
    )
