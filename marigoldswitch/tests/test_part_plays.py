"""Plays of many hosts and engines, on a virtual clock: what is held off, and what is
not."""

import random

import pytest

from marigoldswitch.core.interruptions import (
    InterruptedRequest,
    PromptPart,
    TargetRun,
)
from marigoldswitch.tests.crash_network import DELIVERY_SECONDS, SimulatedNetwork

CONTACT_SECONDS = 3.0
"""Time after the fifth crash from which requests with the part are counted."""
MAX_LATE_ARRIVALS = 3
MIN_SERVED = 0.95
CRASH_SECONDS = 0.1
ANSWER_SECONDS = (0.15, 0.4)
"""Bounds of the time until an answer has got past its begin."""
VERDICT_SECONDS = 0.02
RESTART_SECONDS = 2.5
MAX_RUNS = 2


class Request:
    """A request on its way.

    :ivar ends_at: when it crashes its engine or is past the begin of its answer.
    """

    def __init__(self, number, host, account, names):
        self.number, self.host, self.account = number, host, account
        self.parts = tuple(PromptPart("model", name) for name in names)
        self.runs, self.is_served, self.created_at = 0, False, 0.0
        self.is_deadly = False
        self.engine, self.sent_at, self.ends_at = None, 0.0, 0.0


class Play:
    """Hosts that exchange notes, and engines that crash.

    :param bad_share: share of the requests that have the part which crashes engines.
    :ivar sound: sound requests that have ended or were refused.
    :ivar all_crash_until: time until which every request crashes its engine.
    """

    def __init__(self, seed, hosts_per_centre=3, engines=24, rate=40.0, bad_share=0.0):
        self.network = SimulatedNetwork(hosts_per_centre)
        self._source = random.Random(seed)
        self._rate, self._bad_share = rate, bad_share
        self._born = dict.fromkeys(range(engines), 1)
        self._back_at = dict.fromkeys(range(engines), 0.0)
        self._running, self._due, self._count = set(), 0.0, 0
        self._verdicts = []
        self.bad_arrivals, self.crashes, self.sound = [], [], []
        self.bad_from = 2.0
        self.trials = []
        self.all_crash_from = self.all_crash_until = 0.0
        self.network.watches[self.network.names[0][0]].may_decide_trials = lambda: True

    @property
    def now(self):
        return self.network.now

    def run_until(self, end):
        while self.now < end:
            while self._due <= self.now:
                self._due += self._source.expovariate(self._rate)
                self._send_new()
            self._end_due()
            self.network.run_for(DELIVERY_SECONDS)

    def _send_new(self):
        self._count += 1
        host, _ = self._source.choice(self.network.names)
        account = self._source.choice("abcd")
        middle = f"topic-{min(40, int(self._source.expovariate(0.2)))}"
        is_bad = self.now >= self.bad_from and self._source.random() < self._bad_share
        names = [f"common-{account}", middle]
        if is_bad:
            names.insert(self._source.randrange(3), "bad")
        request = Request(self._count, host, account, names)
        request.created_at = self.now
        self._send(request)

    def is_bad(self, request):
        return any(item.id == "bad" for item in request.parts)

    def _send(self, request):
        watch = self.network.watches[request.host]
        live = [item for item, at in self._back_at.items() if at <= self.now]
        hold = watch.find_part_hold(request.parts, request.account)
        if hold is not None and request.runs == 0 and watch.begin_trial(hold):
            hold = None
            self.trials.append(self.now)
        is_held = hold or watch.find_hold(f"{request.number:08}")
        if is_held or not live or request.runs >= MAX_RUNS:
            self._finish(request)
            return
        request.runs += 1
        request.engine, request.sent_at = self._source.choice(live), self.now
        seconds = CRASH_SECONDS
        request.is_deadly = (
            self.is_bad(request)
            or self.all_crash_from <= self.now < self.all_crash_until
        )
        if self.is_bad(request):
            self.bad_arrivals.append(self.now)
        if not request.is_deadly:
            seconds = self._source.uniform(*ANSWER_SECONDS)
        request.ends_at = self.now + seconds
        self._running.add(request)

    def _finish(self, request):
        if not self.is_bad(request):
            self.sound.append(request)

    def _end_due(self):
        ended = [item for item in self._running if item.ends_at <= self.now]
        for request in sorted(ended, key=lambda item: item.number):
            if request not in self._running:
                continue
            if request.is_deadly:
                self.crash([request.engine])
                continue
            self._running.discard(request)
            request.is_served = True
            self._finish(request)
            self.network.watches[request.host].note_answering("model", request.parts)
        due = [item for item in self._verdicts if item[0] <= self.now]
        self._verdicts = [item for item in self._verdicts if item[0] > self.now]
        for _, host, run, requests in due:
            cut = [
                InterruptedRequest(
                    f"{item.number:08}",
                    item.account,
                    False,
                    item.parts,
                    item.sent_at,
                )
                for item in requests
            ]
            self.network.report_interruptions(host, run, cut)
            for request in requests:
                self._send(request)

    def crash(self, engines):
        """Crash engines; their hosts learn of it a moment later."""
        for engine in engines:
            run = TargetRun(f"engine-{engine}", self._born[engine])
            self._born[engine] += 1
            self._back_at[engine] = self.now + RESTART_SECONDS
            self.crashes.append(self.now)
            cut = [item for item in self._running if item.engine == engine]
            self._running.difference_update(cut)
            cut.sort(key=lambda item: item.number)
            for host in sorted({item.host for item in cut}):
                requests = [item for item in cut if item.host == host]
                self._verdicts.append((self.now + VERDICT_SECONDS, host, run, requests))

    def count_late_arrivals(self):
        begin = self.crashes[4] + CONTACT_SECONDS
        return sum(at > begin for at in self.bad_arrivals)

    def get_served_share(self, since):
        """Return the share of sound requests served at once, of those sent later."""
        sent = [item for item in self.sound if item.created_at >= since]
        return sum(item.is_served and item.runs == 1 for item in sent) / len(sent)


@pytest.mark.parametrize("bad_share", [0.02, 0.1, 0.3])
@pytest.mark.parametrize("hosts_per_centre", [1, 3, 8])
@pytest.mark.parametrize("seed", range(4))
def test_part_that_crashes_engines_is_held_off_and_sound_requests_are_served(
    seed, hosts_per_centre, bad_share
):
    play = Play(seed, hosts_per_centre, bad_share=bad_share)
    play.run_until(25.0)
    assert len(play.crashes) >= 3
    since = play.crashes[min(4, len(play.crashes) - 1)] + 2 * CONTACT_SECONDS
    play.run_until(since + 10.0)
    assert play.get_served_share(since) >= MIN_SERVED
    if len(play.crashes) >= 5:
        assert play.count_late_arrivals() <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize("seed", range(6))
def test_part_stays_held_off_when_hosts_restart_and_are_cut_off(seed):
    """Hosts are counted once they have been in contact for some seconds."""
    play = Play(seed, bad_share=0.1)
    source = random.Random(seed)
    play.run_until(6.0)
    arrivals = trials = 0
    for _ in range(6):
        names = source.sample(play.network.names, 3)
        for name, centre in names[:2]:
            play.network.start_host(name, centre)
        cut_off = {names[2][0]}
        play.network.partitioned = cut_off
        play.run_until(play.now + source.uniform(0.5, 3.0))
        play.network.partitioned = set()
        play.run_until(play.now + CONTACT_SECONDS)
        begin, trials_begin = len(play.bad_arrivals), len(play.trials)
        play.run_until(play.now + 2.0)
        arrivals += len(play.bad_arrivals) - begin
        trials += len(play.trials) - trials_begin
    assert arrivals == trials
    assert trials <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("gap", [0.0, 0.15, 0.5, 1.5])
def test_nothing_is_held_off_when_engines_end_for_other_reasons(seed, gap):
    """Half of the engines end, at the same moment or one after the other."""
    play = Play(seed)
    source = random.Random(seed)
    play.run_until(4.0)
    engines = source.sample(range(24), 12)
    if gap == 0.0:
        play.crash(engines)
    else:
        for engine in engines:
            play.crash([engine])
            play.run_until(play.now + gap)
    play.run_until(play.now + 6.0)
    for watch in play.network.watches.values():
        assert not watch._parts.held_parts


@pytest.mark.parametrize("seed", range(4))
def test_requests_are_served_again_after_a_release_that_crashes_on_all_of_them(seed):
    """Parts that all requests have may be on hold by then."""
    play = Play(seed)
    play.run_until(4.0)
    play.all_crash_from, play.all_crash_until = play.now, play.now + 15.0
    play.run_until(play.all_crash_until + 30.0)
    assert play.get_served_share(play.now - 5.0) >= MIN_SERVED
