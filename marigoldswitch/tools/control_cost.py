"""Measures what permits and quotas cost a host: bytes and processor time."""

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import defopt

from marigoldswitch.core.dispatcher import CHECK_SECONDS
from marigoldswitch.core.ids import AccountId, HostId, PermitId
from marigoldswitch.core.messages import (
    Message,
    PermitCheck,
    Queued,
    QuotaDraw,
    QuotaDraws,
    QuotaLease,
    QuotaLeases,
)
from marigoldswitch.peers import LENGTH_BYTES, MAC_BYTES, NAME_BYTES, seal, unseal
from marigoldswitch.pending import REPEAT_SECONDS
from marigoldswitch.tools.capacity import (
    DATA_CENTRE,
    SERVICE,
    build_ask,
    build_dispatcher,
    build_release,
    find_grants,
)
from marigoldswitch.wire import decode_message, encode_message

SECRET = b"not-for-production"
FRAME_BYTES = LENGTH_BYTES + MAC_BYTES + NAME_BYTES
HOST = HostId("entry-000")
HOSTS = 400
REQUESTS_A_SECOND = 1800.0
RUN_SECONDS = 8.0
"""Time for which a permit is held: 233 tokens of 33 ms, the mean answer at the peak."""
TARGETS = 133
"""Targets of a service at the size to design for: 2,400 over 18 models."""
LARGE_PREFIX = 2**63
ROUNDS = 3000


@dataclass(frozen=True, slots=True)
class Cost:
    """What something costs, in bytes sent and microseconds of processor time."""

    what: str
    size: float
    seconds: float

    def __str__(self) -> str:
        return f"{self.what:44} {self.size:8.0f} B {self.seconds * 1e6:8.1f} us"


def measure_time(act: Callable[[int], object]) -> float:
    """Return the seconds of processor time of one act."""
    began = time.process_time()
    for number in range(ROUNDS):
        act(number)
    return (time.process_time() - began) / ROUNDS


def measure_message(what: str, message: Message) -> Cost:
    """Return what sending and taking a message costs, without the socket."""
    content = encode_message(message)
    code = seal(SECRET, content)

    def carry(_: int) -> None:
        seal(SECRET, encode_message(message))
        unseal((SECRET,), code, content)
        decode_message(content)

    size = len(content) + FRAME_BYTES + len(HOST)
    return Cost(what, size, measure_time(carry))


def measure_cycle() -> tuple[list[Cost], Cost]:
    """Return the costs of a permit's messages, and of the decisions for them."""
    dispatcher = build_dispatcher(TARGETS)
    grant = find_grants(dispatcher.handle(build_ask(0), 0.0))[0]
    ask = replace(build_ask(1), pool=DATA_CENTRE, prefix=LARGE_PREFIX)
    release = replace(build_release(grant), pool=DATA_CENTRE)
    messages = [
        measure_message("ask", ask),
        measure_message("grant", grant),
        measure_message("release", release),
        measure_message("queued (only where the ask waits)", Queued(grant.request, 1)),
    ]

    def decide(number: int) -> None:
        now = number * 0.01
        for found in find_grants(dispatcher.handle(build_ask(number + 1), now)):
            dispatcher.handle(build_release(found), now)

    return messages, Cost("decisions of the dispatcher", 0.0, measure_time(decide))


def measure_periodic(requests: float) -> list[Cost]:
    """Return the costs a second and host of what is sent on a schedule.

    :param requests: requests a second of one host.
    """
    held = max(1, round(requests * RUN_SECONDS))
    permits = tuple(PermitId(f"entry-000-abcdef-{100_000 + n}") for n in range(held))
    check = PermitCheck(SERVICE.name, DATA_CENTRE, HOST, permits)
    account = AccountId("account-123")
    draws = QuotaDraws(HOST, (QuotaDraw(account, 1.5, 3.0, 0.5, False),))
    leases = QuotaLeases((QuotaLease(account, 1.5, 0.5),))
    checked = scale(measure_message("check of permits", check), 1 / CHECK_SECONDS)
    # At so few requests a host and account, each is followed by a draw.
    rate = requests
    return [
        checked,
        scale(measure_message("draws of quotas", draws), rate),
        scale(measure_message("leases of quotas", leases), rate),
    ]


def scale(cost: Cost, rate: float) -> Cost:
    """Return what something costs a second."""
    return Cost(f"{cost.what}, a second", cost.size * rate, cost.seconds * rate)


def measure(*, hosts: int = HOSTS, requests: float = REQUESTS_A_SECOND) -> None:
    """Print the cost of permits and quotas for one host.

    :param hosts: number of hosts.
    :param requests: requests a second of all hosts.
    """
    messages, decisions = measure_cycle()
    rate = requests / hosts
    for cost in [*messages, decisions]:
        print(cost)
    cycle = Cost(
        "cycle of a permit that does not wait",
        sum(cost.size for cost in messages[:3]),
        sum(cost.seconds for cost in messages[:3]) + decisions.seconds,
    )
    print(cycle)
    again = scale(messages[0], 1 / REPEAT_SECONDS)
    print(f"{'each request that waits, a second':44} {again.size:8.0f} B")
    periodic = measure_periodic(rate)
    for cost in periodic:
        print(cost)
    size = cycle.size * rate + sum(cost.size for cost in periodic)
    seconds = cycle.seconds * rate + sum(cost.seconds for cost in periodic)
    print(
        f"a host of {hosts} at {requests:g} requests/s: {size / 1e3:.2f} KB/s, "
        f"{seconds * 100:.3f} % of a core; {cycle.size / 1e3:.3f} KB and "
        f"{cycle.seconds * 1e6:.0f} us for each request a second more"
    )


def main() -> None:
    """Entry point."""
    defopt.run(measure)
    sys.exit(0)


if __name__ == "__main__":
    main()
