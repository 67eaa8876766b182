"""Whether a request that missed goes to another target.

Load it answers: a target that fails or refuses. Without a bound on retries they add
load exactly when targets are weakest.
"""

from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.errors import Advice

MOST_ATTEMPTS = 3
"""Attempts of one request; more adds load without finding other targets."""


def may_retry(miss: Miss, idempotent: bool, trusts_not_run: bool, attempt: int) -> bool:
    """Tell whether another target may be tried.

    :param trusts_not_run: whether the service's targets are believed when they say so.
    :param attempt: number of the attempt that missed, from 1.
    """
    if attempt >= MOST_ATTEMPTS or miss.advice is Advice.STOP:
        return False
    return idempotent or is_not_run(miss, trusts_not_run)


def is_not_run(miss: Miss, trusts_not_run: bool) -> bool:
    """Tell whether the request certainly did not run in this attempt."""
    match miss.delivery:
        case Delivery.NOT_DELIVERED:
            return True
        case Delivery.REFUSED:
            return trusts_not_run
        case Delivery.MAY_HAVE_RUN:
            return False
