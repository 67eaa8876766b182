"""Random play of hosts that are short of retries while they are cut off and killed."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from marigoldswitch.tests.fleet import Fleet

RATES = st.sampled_from((0.0, 0.5, 4.0, 30.0))
SECONDS = st.sampled_from((0.3, 1.0, 2.5, 6.0))
PARTS = st.sampled_from((0.1, 0.5, 1.0))


class RetryMachine(RuleBasedStateMachine):
    """Hosts that keep to a bound together, whatever happens to them."""

    @initialize(
        seed=st.integers(0, 1000),
        sizes=st.sampled_from(((3, 2), (8, 8, 7), (4, 9, 2, 3), (2, 2, 2, 2, 2))),
        allowance=st.sampled_from((2.0, 20.0)),
    )
    def begin(self, seed, sizes, allowance):
        self.fleet = Fleet(seed, sizes, allowance)
        self.rates = dict.fromkeys(self.fleet.places, 0.0)

    def draw(self, part):
        places = list(self.fleet.places)
        return self.fleet.rng.sample(places, max(1, round(part * len(places))))

    @rule(rate=RATES, seconds=SECONDS)
    def want_everywhere(self, rate, seconds):
        self.rates = dict.fromkeys(self.fleet.places, rate)
        self.fleet.run(seconds, self.rates)

    @rule(rate=RATES, seconds=SECONDS)
    def want_in_one_data_centre(self, rate, seconds):
        self.rates = dict.fromkeys(self.fleet.list_centre(0), rate)
        self.fleet.run(seconds, self.rates)

    @rule(seconds=SECONDS)
    def go_on(self, seconds):
        self.fleet.run(seconds, self.rates)

    @rule(part=PARTS)
    def cut_hosts_off(self, part):
        self.fleet.split(*([name] for name in self.draw(part)))

    @rule()
    def cut_data_centres_off(self):
        centres = len(set(self.fleet.places.values()))
        self.fleet.split(*(self.fleet.list_centre(number) for number in range(centres)))

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(part=PARTS, seconds=st.sampled_from((0.0, 0.6, 3.0)))
    def restart(self, part, seconds):
        names = self.draw(part)
        self.fleet.kill(names)
        self.fleet.run(seconds, self.rates)
        for name in names:
            self.fleet.start(name)

    @rule(part=PARTS, seconds=st.sampled_from((0.5, 3.5)))
    def freeze(self, part, seconds):
        for name in self.draw(part):
            if name in self.fleet.hosts:
                self.fleet.hosts[name].frozen_until = self.fleet.clock.now + seconds

    @rule(delay=st.sampled_from((0.0, 0.5, 2.0)))
    def delay_messages(self, delay):
        self.fleet.delay = delay

    @invariant()
    def hosts_stay_within_the_budget(self):
        assert self.fleet.count_worst_window() <= self.fleet.get_allowed()


TestRetryMachine = RetryMachine.TestCase
TestRetryMachine.settings = settings(
    max_examples=25, stateful_step_count=12, deadline=None, derandomize=True
)
