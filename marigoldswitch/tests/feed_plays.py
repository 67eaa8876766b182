"""Random plays of hosts that follow the store while faults overlap."""

import random

from marigoldswitch.tests.feed_fleet import COPIES, REQUESTS, FeedFleet

FOR_GOOD = float("inf")
SECONDS = (0.5, 1.5, 4.0, 10.0)
"""Durations of faults."""


class FeedPlay:
    """Faults drawn at random, each with a time to heal, and changes of the store.

    :param fleet: the hosts that play.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.rng = random.Random(fleet.seed)
        self._added = 0
        self._faults = (
            self.lose_messages,
            self.lose_messages,
            self.lose_copies,
            self.lose_requests,
            self.delay_messages,
            self.silence_connections,
            self.freeze,
            self.hang_feeds,
            self.refuse,
            self.drop_history,
            self.restart,
            self.add,
        )

    def run(self, steps):
        """Draw faults and changes for some steps of up to two seconds."""
        for _ in range(steps):
            for _ in range(self.rng.choice((0, 1, 1, 2))):
                self.rng.choice(self._faults)()
            self.fleet.run(self.rng.choice((0.0, 0.1, 0.6)))
            for _ in range(self.rng.choice((0, 1, 1, 4))):
                self.fleet.change()
            if self.rng.random() < 0.5:
                self.fleet.remove_left()
            self.fleet.run(self.rng.choice((0.1, 0.5, 1.4)))

    # Faults.

    def lose_messages(self):
        """Lose what some hosts send, or what they get."""
        side = self.rng.choice(("senders", "receivers"))
        self.fleet.lose(**{side: self.draw_hosts()}, seconds=self.draw_seconds())

    def lose_copies(self):
        self.fleet.lose(
            receivers=self.draw_hosts(), kinds=COPIES, seconds=self.draw_seconds()
        )

    def lose_requests(self):
        self.fleet.lose(
            senders=self.draw_hosts(), kinds=REQUESTS, seconds=self.draw_seconds()
        )

    def delay_messages(self):
        late = self.rng.choice((0.3, 1.0, 2.0))
        self.fleet.delay_messages(
            late, receivers=self.draw_hosts(), seconds=self.draw_seconds()
        )

    def silence_connections(self):
        """Lose what some hosts send to one host each, at times for good."""
        for sender in self.draw_hosts():
            receiver = self.rng.choice(list(self.fleet.places))
            seconds = self.rng.choice((self.draw_seconds(), FOR_GOOD))
            self.fleet.lose([sender], [receiver], seconds=seconds)

    def freeze(self):
        self.fleet.freeze(self.draw_hosts(), self.draw_seconds())

    def hang_feeds(self):
        self.fleet.hang(self.draw_hosts(), self.draw_seconds())

    def refuse(self):
        self.fleet.refuse(self.draw_hosts(), self.draw_seconds())

    def drop_history(self):
        self.fleet.store.drop_history()

    def restart(self):
        """Kill hosts; they start anew after a while."""
        names = self.draw_hosts()
        self.fleet.kill(names)
        self.fleet.run(self.rng.choice((0.0, 0.5, 4.0)))
        for name in names:
            self.fleet.start(name)

    def add(self):
        self._added += 1
        centre = self.rng.randrange(len(set(self.fleet.places.values())))
        self.fleet.add(centre, self._added)

    # Draws.

    def draw_seconds(self):
        return self.rng.choice(SECONDS)

    def draw_hosts(self):
        """Return one host, some hosts, or some or all of those with the same role."""
        fleet = self.fleet
        centre = self.rng.randrange(len(set(fleet.places.values())))
        group = self.rng.choice(
            (
                list(fleet.places),
                fleet.list_readers(centre),
                fleet.list_others(centre),
                fleet.list_centre(centre),
            )
        )
        number = self.rng.choice((1, 2, len(group)))
        if group == list(fleet.places):
            number = min(number, max(1, len(group) // 3))
        return self.rng.sample(group, min(number, len(group)))


def play_at_random(seed, sizes, steps=20, **bounds):
    """Run a play of some steps and return its fleet."""
    with FeedFleet(seed, sizes, **bounds) as fleet:
        FeedPlay(fleet).run(steps)
        return fleet
