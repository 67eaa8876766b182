"""The targets that one dispatcher grants permits for."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from marigoldswitch.core.affinity import LOAD_BOUND, SAVING, Affinity
from marigoldswitch.core.catalogue import Service, Target
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.limits import start_probe
from marigoldswitch.core.messages import Ask, TargetReport
from marigoldswitch.core.outliers import Health, OutlierWatch
from marigoldswitch.core.ranking import Ranking
from marigoldswitch.core.rates import RunRates
from marigoldswitch.core.routing import Route, choose_route
from marigoldswitch.core.shifting import Ramps
from marigoldswitch.core.targets import TargetState

LOAD_WEIGHT = 0.5
"""How much slower a full target is taken to run than an idle one, as a share: engines
batch, so that a full one is slower but not by as much as it holds."""
FOREIGN_SLACK = 1.0
"""Requests by which a target's own report may exceed our count before the rest counts
as another's: reports lag by about one answer."""
KEPT_SHARE = 0.1
"""Cost of a stage that a broken chain can keep, over that of another: what it has
cached need not be computed again, which is most of a recovery."""
PROBE_SHARE = 1e-6
"""Share of its limit that a probed target may use: it comes to one request."""
REFRESH_SECONDS = 0.25
FORGET_SECONDS = 5.0
MOST_UNLISTED = 0.5
"""Share of the pool above which a list that does not name it is implausible: data
centres are lost one at a time; a list that is empty or cut short is a fault of the
platform."""
UNLISTED_SECONDS = 30.0
"""Time since its last answer after which a target that the host list no longer names is
not used; while it answers, the list is taken to be wrong."""


@dataclass(slots=True)
class TargetPool:
    """Counts what is out on each target and chooses where a request goes.

    :param links: one-way seconds between data centres.
    """

    service: Service
    links: Mapping[tuple[DataCentre, DataCentre], float]
    states: dict[TargetId, TargetState] = field(default_factory=dict)
    rates: RunRates = field(init=False)
    outliers: OutlierWatch = field(default_factory=OutlierWatch)
    ramps: Ramps = field(default_factory=Ramps)
    affinity: Affinity = field(default_factory=Affinity)
    distrusts_list: bool = False
    """The host list names so few targets of the pool that it is not followed."""
    _ranking: Ranking = field(default_factory=Ranking)
    _listed: frozenset[TargetId] | None = None
    _unlisted: dict[TargetId, float | None] = field(default_factory=dict)
    """Targets that the host list does not name, and since when."""
    _changed: set[TargetId] = field(default_factory=set)
    _held: int = 0
    _refreshed: float = float("-inf")
    _forgot: float = 0.0

    def __post_init__(self) -> None:
        self.rates = RunRates(self.service)

    # What the pool consists of.

    def replace_targets(
        self,
        targets: Iterable[Target],
        leaving: frozenset[TargetId],
        held: Mapping[TargetId, int],
    ) -> None:
        """Take the targets of a new bundle or host list.

        :param leaving: those that may get no new work.
        :param held: permits out on each target.
        """
        listed = list(targets)
        known = set(self.states)
        states: dict[TargetId, TargetState] = {}
        for target in listed:
            state = self.states.get(target.id)
            if state is None:
                state = TargetState(target, float(target.slots))
                state.held = held.get(target.id, 0)
            state.use_target(target)
            state.leaving = target.id in leaving
            states[target.id] = state
        self.states = states
        self.rates.replace(listed)
        self.outliers.replace(set(states))
        self._start_slowly(known)
        self._find_unlisted()
        self._held = sum(state.held for state in states.values())
        for name in known - set(states):
            self._ranking.remove(name)
            self.affinity.forget(name)
        self._renew_shares(self.states)

    def use_list(self, names: frozenset[TargetId]) -> None:
        """Take the targets that the host list names."""
        self._listed = names
        self._find_unlisted()
        self._renew_shares(self.states)

    def _find_unlisted(self) -> None:
        """Note which targets the host list does not name, unless it is implausible."""
        missing = set() if self._listed is None else set(self.states) - self._listed
        self.distrusts_list = len(missing) > MOST_UNLISTED * len(self.states)
        if self.distrusts_list:
            missing = set()
        self._unlisted = {name: self._unlisted.get(name) for name in sorted(missing)}

    def _start_slowly(self, known: set[TargetId]) -> None:
        fresh = set(self.states) - known
        self.ramps.stop(known - set(self.states))
        if known:
            self.ramps.begin(fresh, len(self.states))

    # Where a request goes.

    def choose(self, ask: Ask, now: float) -> Route | None:
        """Return the best route with room for a request, if there is one."""
        if now - self._refreshed >= REFRESH_SECONDS:
            self.refresh(now)
        self._rank_changed()
        shares = self._list_favoured(ask, now)
        names = {*self._ranking.list_best(ask.avoid), *shares}
        route = choose_route(
            self.service,
            [self.states[name] for name in sorted(names)],
            ask.data_centre,
            self.links,
            ask.avoid,
            lambda state: self._weigh(state) * shares.get(state.target.id, 1.0),
        )
        if route is not None and ask.prefix is not None:
            self.affinity.note(ask.prefix, route.targets, now)
        return route

    def _list_favoured(self, ask: Ask, now: float) -> dict[TargetId, float]:
        """Return the targets that are cheaper for this request, and by which factor."""
        shares: dict[TargetId, float] = {}
        bound = LOAD_BOUND * self._held / max(1, len(self.states)) + 1.0
        for name in self.affinity.list_holders(ask.prefix, now):
            state = self.states.get(name)
            if state is not None and state.has_room and state.held < bound:
                shares[name] = 1.0 - SAVING
        for name in ask.keep:
            if name in self.states:
                shares[name] = KEPT_SHARE
        return shares

    def _weigh(self, state: TargetState) -> float:
        """Return the expected seconds of one more unit of work on a target."""
        use = (state.held + state.foreign) / max(1.0, state.limit)
        return self.rates.get_seconds(state.target.id) * (1.0 + LOAD_WEIGHT * use)

    # What is out.

    def hold(self, targets: Iterable[TargetId]) -> None:
        """Count one more permit out on each target."""
        for target in targets:
            state = self.states.get(target)
            if state is not None:
                state.held += 1
                self._held += 1
                self._changed.add(target)

    def free(self, targets: Iterable[TargetId]) -> None:
        """Count one permit fewer out on each target."""
        for target in targets:
            state = self.states.get(target)
            if state is not None:
                state.held -= 1
                self._held -= 1
                self._changed.add(target)

    # What is learned.

    def note_run(
        self, targets: Sequence[TargetId], seconds: float, cost: float, now: float
    ) -> None:
        """Learn from a run that ended well how fast its targets are."""
        self.rates.note_run(targets, seconds, cost, now)
        self._changed.update(targets)

    def take_reports(self, reports: Sequence[TargetReport], now: float) -> None:
        """Learn from how the targets of one request behaved.

        Where several stages of a chain failed together, each is blamed in part.
        """
        failed = sum(report.failed for report in reports)
        for report in reports:
            state = self.states.get(report.target)
            if state is None:
                continue
            state.learn(report, now)
            state.leaving = state.leaving or report.leaving
            self._take_load(state, report)
            self._judge(state, report, 1.0 / max(1, failed), now)
            self._changed.add(report.target)

    def probe_limits(self) -> None:
        """Begin the next probe of a target's limit, if one is due and none is on."""
        start_probe(state.limiter for state in self.states.values())
        self.refresh_limits()

    def take_report(self, report: TargetReport, now: float) -> None:
        """Learn from how a target behaved."""
        self.take_reports((report,), now)

    def _take_load(self, state: TargetState, report: TargetReport) -> None:
        """Take a lagging report only for what our own counts can't show."""
        if report.load is None:
            return
        state.load = report.load
        reported = report.load.running + report.load.waiting
        state.foreign = max(0.0, reported - state.held - FOREIGN_SLACK)

    def _judge(
        self, state: TargetState, report: TargetReport, blame: float, now: float
    ) -> None:
        name = state.target.id
        if report.refused or report.failed:
            if not report.leaving:
                self._note_miss(state, report, blame, now)
        elif self.outliers.note_success(name, now):
            # What it refused while it did no work says nothing of its limit.
            state.restart_limit()
            if not self.outliers.is_refusing(name):
                self.ramps.begin({name}, len(self.states), now)
            state.share = self._get_share(name)

    def _note_miss(
        self, state: TargetState, report: TargetReport, blame: float, now: float
    ) -> None:
        name = state.target.id
        if report.refused:
            ejected = self.outliers.note_refusal(name, now)
        else:
            ejected = self.outliers.note_failure(name, blame, now)
        if ejected:
            self.ramps.stop({name})
            self.affinity.forget(name)
            state.share = self._get_share(name)

    # Time.

    def refresh(self, now: float) -> None:
        """Let ejected targets be probed and slow starts go on."""
        self._refreshed = now
        changed = {*self.outliers.list_due(now), *self.ramps.advance(now)}
        changed |= self._follow_unlisted(now)
        if now - self._forgot >= FORGET_SECONDS:
            self._forgot = now
            self.rates.forget_idle(now)
            self._changed.update(self.states)
        self._renew_shares(changed)

    def refresh_limits(self) -> None:
        """Take the limits as they are learned by now."""
        for name, state in self.states.items():
            room = state.room
            state.refresh_limit()
            if state.room != room:
                self._changed.add(name)

    def _follow_unlisted(self, now: float) -> set[TargetId]:
        for name, since in self._unlisted.items():
            if since is None:
                self._unlisted[name] = now
        return set(self._unlisted)

    def _is_lost(self, name: TargetId) -> bool:
        """Tell whether no view shows a target any more."""
        since = self._unlisted.get(name)
        if since is None:
            return False
        answered = self.outliers.get_last_success(name)
        last = since if answered is None else max(since, answered)
        silent = self._refreshed - last > UNLISTED_SECONDS
        return silent or self.outliers.get_health(name) is not Health.IN_USE

    # Ranks.

    def _renew_shares(self, names: Iterable[TargetId]) -> None:
        for name in names:
            if name in self.states:
                self.states[name].share = self._get_share(name)
                self._changed.add(name)

    def _rank_changed(self) -> None:
        """Weigh what has changed since the last choice."""
        for name in self._changed:
            state = self.states.get(name)
            if state is not None:
                cost = self._weigh(state) if state.has_room else None
                self._ranking.put(state.target, cost)
        self._changed.clear()

    def _get_share(self, name: TargetId) -> float:
        """Return the share of its limit that a target may use; 0 for none."""
        if name in self._unlisted and self._is_lost(name):
            return 0.0
        match self.outliers.get_health(name):
            case Health.EJECTED:
                return 0.0
            case Health.PROBING:
                return PROBE_SHARE
            case Health.IN_USE:
                return self.ramps.get_share(name)
