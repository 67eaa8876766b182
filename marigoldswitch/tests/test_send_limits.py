"""Hosts together keep a target within its stated limit, and use most of it."""

import random
from collections import deque
from types import SimpleNamespace

import pytest

from marigoldswitch.core.ids import DataCentre, HostId, ServiceName, TargetId
from marigoldswitch.core.send_limits import WINDOW_SECONDS, SendLimits
from marigoldswitch.core.stated_limits import MIN_RATE, StatedLimit

CENTRES = tuple(DataCentre(name) for name in ("north", "south", "west"))
TARGET = TargetId("i-1")
SERVICE = ServiceName("drafts")
STEP = 0.02
RELAYS_FROM = 7
"""Hosts of a data centre from which one of them relays, as in ``relays.py``."""


class Fleet:
    """Hosts of three data centres that report what they send to one target.

    :param rate: limit that the target states, in requests a second.
    """

    def __init__(self, seed, hosts, rate):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.rate = rate
        self.sent = []
        self.worst = 0
        self.is_partitioned = False
        """Whether data centres hear nothing of each other."""
        self._window = deque()
        self._next_ask = {}
        self._step = 0
        self.hosts = [self._build_host(number, hosts) for number in range(hosts)]

    def _build_host(self, number, hosts):
        centre = CENTRES[number % len(CENTRES)]
        rng = random.Random(f"{number}")
        limits = SendLimits(centre, lambda: hosts, rng)
        limits.find_service = lambda _: SERVICE
        limits.stated.note_answer(TARGET, self.rate, self.now, self.now)
        return SimpleNamespace(
            name=HostId(f"h{number}"), centre=centre, limits=limits, number=number
        )

    def list_centre(self, centre):
        return [host for host in self.hosts if host.centre == centre]

    def exchange(self):
        """Deliver the reports that are due, as in a mesh or by relays."""
        self._step += 1
        tenths, rest = divmod(self._step, 5)
        if rest:
            return
        for host in self.hosts:
            host.limits.expire(self.now)
        for centre in CENTRES:
            near = self.list_centre(centre)
            if len(near) >= RELAYS_FROM:
                self._exchange_by_relay(centre, near, tenths)
            else:
                self._exchange_in_mesh(near)

    def _exchange_in_mesh(self, near):
        for host in near:
            far = [item for item in self.hosts if item.centre != host.centre]
            if self.is_partitioned:
                far = []
            chosen = self.rng.sample(far, min(2, len(far)))
            counts = host.limits.count_own(self.now)
            for other in (*near, *chosen):
                if other is not host:
                    other.limits.set_peer_counts(
                        host.name, host.centre, counts, self.now
                    )

    def _exchange_by_relay(self, centre, near, tenths):
        relay, *others = near
        if tenths % 2 == 0:
            for host in others:
                counts = host.limits.count_own(self.now)
                relay.limits.set_peer_counts(host.name, centre, counts, self.now)
        group = relay.limits.sum_home(self.now)
        for other in CENTRES:
            if other != centre and tenths % 5 == 0 and not self.is_partitioned:
                far = self.list_centre(other)[0].limits
                far.set_centre_counts(centre, group, self.now)
        for host in others:
            if tenths % 2 == 0:
                host.limits.set_centre_counts(centre, group, self.now)
            if tenths % 15 == 0:
                for name, sums in relay.limits.get_other_centres().items():
                    host.limits.set_centre_counts(name, sums, self.now)

    def run(self, seconds, demand):
        """Run for some seconds.

        :param demand: requests a second that each host would send, by its number.
        :return: how many were sent.
        """
        before = len(self.sent)
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self.exchange()
            for host in self.hosts:
                for _ in range(self._draw(demand.get(host.number, 0.0) * STEP)):
                    self._ask(host)
        return len(self.sent) - before

    def _draw(self, mean):
        count, left = 0, self.rng.expovariate(1.0)
        while left < mean:
            count += 1
            left += self.rng.expovariate(1.0)
        return count

    def _ask(self, host):
        host.limits.note_wanted(SERVICE, self.now)
        if not host.limits.may_send(TARGET, self.now):
            return
        host.limits.note_sent(TARGET, self.now)
        self.sent.append(self.now)
        self._window.append(self.now)
        while self._window[0] <= self.now - WINDOW_SECONDS:
            self._window.popleft()
        self.worst = max(self.worst, len(self._window))


def get_most_allowed(rate):
    return 1.5 * rate * WINDOW_SECONDS + 5


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("callers", ["everywhere", "one host", "one data centre"])
@pytest.mark.parametrize("hosts", [1, 4, 8, 30, 60])
@pytest.mark.parametrize("rate", [0.3, 1.2, 2.3, 10.0, 50.0])
def test_target_gets_most_of_its_limit_and_never_more_than_is_allowed(
    rate, hosts, callers, seed
):
    fleet = Fleet(f"{seed}{hosts}{callers}", hosts, rate)
    asking = {
        "everywhere": fleet.hosts,
        "one host": fleet.hosts[-1:],
        "one data centre": fleet.list_centre(CENTRES[0]),
    }[callers]
    total = max(4.0 * rate, 12.0)
    demand = {host.number: total / len(asking) for host in asking}
    fleet.run(4.0, demand)
    seconds = max(40.0, 120.0 / rate)
    sent = fleet.run(seconds, demand)
    assert fleet.worst <= get_most_allowed(rate)
    assert 0.5 * rate * seconds <= sent <= 1.5 * rate * seconds


@pytest.mark.parametrize("seed", [*range(10), 105, 191, 220])
def test_callers_that_move_and_come_in_bursts_stay_within_the_limit(seed):
    rng = random.Random(seed)
    hosts, rate = rng.choice((3, 8, 30)), rng.choice((0.3, 1.2, 2.3, 10.0))
    fleet = Fleet(seed, hosts, rate)
    for _ in range(12):
        asking = rng.sample(range(hosts), rng.randint(1, hosts))
        total = rng.choice((0.0, 1.0, 20.0, 200.0))
        demand = {number: total / len(asking) for number in asking}
        fleet.run(rng.uniform(0.3, 6.0), demand)
    assert fleet.worst <= get_most_allowed(rate)


@pytest.mark.parametrize("hosts", [6, 12, 30, 60])
@pytest.mark.parametrize("rate", [2.3, 10.0, 50.0])
def test_data_centres_of_a_partition_share_the_limit_by_their_hosts(rate, hosts):
    fleet = Fleet(f"{rate}{hosts}", hosts, rate)
    total = max(4.0 * rate, 12.0)
    demand = {host.number: total / hosts for host in fleet.hosts}
    fleet.run(8.0, demand)
    fleet.is_partitioned = True
    fleet.run(8.0, demand)
    sent = fleet.run(30.0, demand)
    assert fleet.worst <= get_most_allowed(rate)
    assert sent >= 0.5 * rate * 30.0


def test_target_without_a_limit_gets_all_requests():
    limits = SendLimits(CENTRES[0], lambda: 3, random.Random(1))
    for _ in range(1000):
        assert limits.may_send(TARGET, 1.0)
        limits.note_sent(TARGET, 1.0)
    assert limits.count_own(1.0) == {}
    assert limits.estimate_wait(TARGET, 1.0) == 0.0


def test_host_that_has_not_heard_of_the_others_keeps_to_an_equal_part():
    limits = SendLimits(CENTRES[0], lambda: 4, random.Random(1))
    limits.stated.note_answer(TARGET, 3.0, 1.0, 1.0)
    sent = 0
    for step in range(40):
        now = 1.0 + step * 0.1
        if limits.may_send(TARGET, now):
            limits.note_sent(TARGET, now)
            sent += 1
    assert sent == 3


def test_limit_that_a_peer_has_heard_binds_until_its_end_is_heard():
    limits = SendLimits(CENTRES[0], lambda: 1, random.Random(1))
    assert limits.stated.merge(TARGET, StatedLimit(MIN_RATE, 1.0))
    assert limits.may_send(TARGET, 1.0)
    limits.note_sent(TARGET, 1.0)
    assert not limits.may_send(TARGET, 1.1)
    assert not limits.stated.merge(TARGET, StatedLimit(None, 0.5))
    assert not limits.may_send(TARGET, 1.2)
    assert limits.stated.merge(TARGET, StatedLimit(None, 2.0))
    assert limits.may_send(TARGET, 2.1)


def test_peers_that_say_the_same_never_renew_a_limit():
    limits = SendLimits(CENTRES[0], lambda: 1, random.Random(1)).stated
    limits.note_answer(TARGET, 2.0, 1.0, 1.0)
    assert not limits.merge(TARGET, StatedLimit(2.0, 5.0))
    assert limits.list_known(5.0)[TARGET].heard_at == 1.0


def test_end_of_a_limit_is_told_for_a_while():
    limits = SendLimits(CENTRES[0], lambda: 1, random.Random(1)).stated
    limits.note_answer(TARGET, 2.0, 1.0, 1.0)
    limits.note_answer(TARGET, None, 2.0, 2.0)
    assert limits.list_known(3.0) == {TARGET: StatedLimit(None, 2.0)}
    assert limits.list_known(10.0) == {}


@pytest.mark.parametrize("hosts", [1, 4, 8, 30])
def test_limit_of_a_target_that_was_in_use_is_used_from_the_first_second_on(hosts):
    fleet = Fleet(hosts, hosts, 20.0)
    for host in fleet.hosts:
        host.limits.forget(TARGET)
    demand = {host.number: 60.0 / hosts for host in fleet.hosts}
    fleet.run(12.0, demand)
    for host in fleet.hosts:
        host.limits.stated.note_answer(TARGET, 20.0, fleet.now, fleet.now)
    assert fleet.run(3.0, demand) >= 0.5 * 20.0 * 3.0


def test_estimated_wait_is_no_longer_than_the_time_over_which_the_rate_is_kept():
    fleet = Fleet(1, 8, 0.3)
    fleet.run(3.0, {0: 100.0})
    for host in fleet.hosts:
        assert 0.0 < host.limits.estimate_wait(TARGET, fleet.now) <= WINDOW_SECONDS
