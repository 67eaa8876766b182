"""Limit of requests at one target, learned from its latency and its refusals.

Load it answers: targets of unlike kinds, and targets that grow slow. One number of
slots for all is too high for the slow kinds, whose engines then queue inside, out of
reach of priorities and deadlines, and too low for none.

The limit falls when the mean latency of a window rises above twice what the target
needs with half its slots idle (a gradient, as in Netflix's concurrency limits), and
when it refuses; it grows while it is used up and latency stays low. A refusal is the
better signal: it is early, cheap and says that nothing ran. A timeout is the worst that
a target can give, so it cuts the limit deeper.
"""

from collections.abc import Iterable
from dataclasses import dataclass

WINDOW_SAMPLES = 50
"""Answers in a window. The mean of 50 log-normal run times (sigma 1) is off by 19 % in
one standard deviation, so that a doubling by chance is five of them away."""
TOLERANCE = 2.0
"""Latency over the unloaded one at which the limit begins to fall."""
LEAST_GRADIENT = 0.7
"""Part of the limit that one window may leave at the least."""
GROWTH = 0.1
"""Growth by one window in which the limit was used up; at least one request."""
USED_UP = 0.8
LOW_USE = 0.5
"""Parts of the limit above which a window counts as used up and up to which as
unloaded."""
BASELINE_WEIGHT = 0.3
"""Weight of one unloaded window in the latency to compare with."""
FIRST_PROBE_WINDOWS = 20
PROBE_WINDOWS = 200
"""Windows without an unloaded one after which the limit is halved for one, to see what
the target does unloaded: costs half of the target for 2 in 200 windows. One target of a
pool is probed at a time: were it all, half of the pool would be gone at once."""
RELIEF = 0.7
"""Part of the loaded latency below which that of a probe says that the target was
holding more than it can work on: half the load, nearly half the latency, no less work
done."""
AFTER_REFUSAL = 0.8
AFTER_FAILURE = 0.5
"""What is left of the limit after a refusal, and after a timeout or a broken
connection."""
THRESHOLD_DECAY = 0.9
"""Part of where the limit would come back to that stays if the target refuses or fails
again on the way: work that it had taken before still ends well in between."""
REFUSAL_SECONDS = 0.25
FAILURE_SECONDS = 1.0
"""Time within which several of them count once: they speak of the same moment."""


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """What a limit may be.

    :param floor: at least one, so that the target can show that it has recovered.
    :param ceiling: the slots that the bundle names, where it starts.
    """

    floor: float
    ceiling: float


@dataclass(frozen=True, slots=True)
class LoadedWindow:
    """A window before the limit was lowered.

    :param mean: mean latency, in seconds.
    """

    limit: float
    mean: float


class Limiter:
    """Learns the limit of one target."""

    def __init__(self, slots: float, floor: float = 1.0) -> None:
        self.bounds = LimitBounds(min(floor, slots), slots)
        self.baseline: float | None = None
        """Mean latency with at most half of the limit in use, in seconds."""
        self._learned = slots
        self._probing = False
        self._skip = 0
        self._windows = 0
        self._loaded_mean = 0.0
        self._before_cut: LoadedWindow | None = None
        self._sum = 0.0
        self._count = 0
        self._most_held = 0.0
        self._refused = float("-inf")
        self._failed = float("-inf")
        self._falling = False
        self._threshold = 0.0

    @property
    def limit(self) -> float:
        """Return the requests that the target may hold now."""
        limit = self._learned * LOW_USE if self._probing else self._learned
        return max(self.bounds.floor, limit)

    @property
    def wants_probe(self) -> bool:
        """Tell whether the target should be seen at half of its limit."""
        patience = FIRST_PROBE_WINDOWS if self.baseline is None else PROBE_WINDOWS
        half = self._learned * LOW_USE
        return self._windows >= patience and half >= self.bounds.floor

    @property
    def is_probing(self) -> bool:
        """Tell whether the limit is halved for a window."""
        return self._probing

    def begin_probe(self) -> None:
        """Halve the limit for a window."""
        self._begin_window()
        self._probing = True
        self._skip = int(self._learned)

    def set_slots(self, slots: float) -> None:
        """Take another number of slots from a bundle; what is learned is kept."""
        if slots == self.bounds.ceiling:
            return
        scale = slots / self.bounds.ceiling
        self.bounds = LimitBounds(min(self.bounds.floor, slots), slots)
        self._set(self._learned * max(1.0, scale))

    def on_success(self, seconds: float, now: float, held: float | None = None) -> None:
        """Take an answer.

        :param seconds: time to its first byte; not above 0 where it is not known.
        :param now: monotonic seconds.
        :param held: requests that the target held with it; taken as the limit if
            unknown.
        """
        if seconds <= 0.0:
            return
        if self._skip:
            self._skip -= 1
            self._recover()
            return
        self._recover()
        self._sum += seconds
        self._count += 1
        self._most_held = max(self._most_held, self.limit if held is None else held)
        if self._count >= WINDOW_SAMPLES:
            self._end_window()

    def on_refusal(self, now: float) -> None:
        """Take a "busy, not run" of the target."""
        if now - self._refused >= REFUSAL_SECONDS:
            self._refused = now
            self._fall(AFTER_REFUSAL)

    def on_failure(self, now: float) -> None:
        """Take a timeout, a broken connection or a fault of the target."""
        if now - self._failed >= FAILURE_SECONDS:
            self._failed = now
            self._fall(AFTER_FAILURE)

    def _fall(self, part: float) -> None:
        """Lower the limit; remember where a series of refusals or failures began."""
        if not self._falling:
            self._falling = True
            before = THRESHOLD_DECAY * self._threshold
            self._threshold = max(before, part * self._learned)
        self._set(self._learned * part)

    def _recover(self) -> None:
        """Grow by one for each answer up to near the limit before the series."""
        self._falling = False
        if self._learned >= self._threshold:
            self._threshold = 0.0
        else:
            self._set(min(self._threshold, self._learned + 1.0))

    def _begin_window(self) -> None:
        self._sum = 0.0
        self._count = 0
        self._most_held = 0.0

    def _end_window(self) -> None:
        mean = self._sum / self._count
        used = self._most_held / self._learned
        self._begin_window()
        if self._probing:
            self._probing = False
            self._end_probe(mean)
        elif used <= LOW_USE:
            self._windows = 0
            self._learn_baseline(mean)
        else:
            self._windows += 1
            self._loaded_mean = mean
            self._follow_gradient(mean, used >= USED_UP)

    def _end_probe(self, mean: float) -> None:
        before = self._loaded_mean if self.baseline is None else self.baseline
        self._windows = 0
        self._learn_baseline(mean)
        if mean <= RELIEF * before:
            self.baseline = mean
            self._set(self._learned * LOW_USE)
            if self._learned * LOW_USE >= self.bounds.floor:
                self.begin_probe()

    def _learn_baseline(self, mean: float) -> None:
        if self.baseline is None:
            self.baseline = mean
        self.baseline += BASELINE_WEIGHT * (mean - self.baseline)

    def _follow_gradient(self, mean: float, used_up: bool) -> None:
        if self.baseline is None:
            return
        gradient = TOLERANCE * self.baseline / mean
        if gradient < 1.0:
            self._cut(mean, gradient)
        elif used_up:
            self._before_cut = None
            self._set(self._learned + max(1.0, GROWTH * self._learned))

    def _cut(self, mean: float, gradient: float) -> None:
        """Lower the limit; undo it where that did not lower the latency.

        Then the target itself has become slower, and fewer requests at once would only
        leave it idle.
        """
        if self._before_cut is None:
            self._before_cut = LoadedWindow(self._learned, mean)
        before = self._before_cut
        if self._learned > LOW_USE * before.limit:
            self._set(self._learned * max(LEAST_GRADIENT, gradient))
            return
        self._before_cut = None
        if mean > RELIEF * before.mean:
            self.baseline = mean
            self._set(before.limit)

    def _set(self, limit: float) -> None:
        bounds = self.bounds
        self._learned = max(bounds.floor, min(bounds.ceiling, limit))
        assert bounds.floor <= self.limit <= bounds.ceiling


def start_probe(limiters: Iterable[Limiter]) -> Limiter | None:
    """Begin the next probe of a pool, if one is due and none is on, and return it."""
    due = None
    for limiter in limiters:
        if limiter.is_probing:
            return None
        if due is None and limiter.wants_probe:
            due = limiter
    if due is not None:
        due.begin_probe()
    return due
