"""No sequence of asks, lost messages, host failures and hand-overs leaks a permit."""

from hypothesis import given, strategies as st

from marigoldswitch.tests.helpers import build_target, run_async
from marigoldswitch.tests.mesh import Mesh

PLACES = {"host-0": "hobart", "host-1": "hobart", "host-2": "hobart", "host-3": "kew"}
LINKS = {("hobart", "kew"): 0.001, ("kew", "hobart"): 0.001}
HOSTS = st.sampled_from(sorted(PLACES))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), HOSTS, st.integers(1, 6)),
        st.tuples(st.just("release"), HOSTS, st.integers(1, 3)),
        st.tuples(st.just("cancel"), HOSTS, st.integers(1, 3)),
        st.tuples(st.just("drop"), HOSTS, st.integers(1, 6)),
        st.tuples(st.just("die"), HOSTS, st.just(0)),
        st.tuples(st.just("hand_over"), HOSTS, st.just(0)),
        st.tuples(st.just("wait"), HOSTS, st.integers(1, 30)),
    ),
    max_size=25,
)


class StepRunner:
    """Performs steps on a mesh; at least two hosts stay alive."""

    def __init__(self):
        targets = [
            build_target(f"{place}-{n}", data_centre=place)
            for place in ("hobart", "kew")
            for n in range(2)
        ]
        self.mesh = Mesh(PLACES, targets, LINKS)
        self.asks = []
        self.count = 0
        self.to_drop = 0
        self.mesh.drop = self.drop

    def drop(self, sender, host, message):
        if sender != host and self.to_drop:
            self.to_drop -= 1
            return True
        return False

    @property
    def alive(self):
        return [name for name in PLACES if name not in self.mesh.isolated]

    async def perform(self, what, host, number):
        if host not in self.alive:
            return
        match what:
            case "ask":
                for _ in range(number):
                    self.count += 1
                    ask = self.mesh.ask(host, f"r{self.count}", remaining=600.0)
                    self.asks.append((host, ask))
            case "release":
                held = list(self.mesh.hosts[host].held.values())
                for grant in held[:number]:
                    self.mesh.release(host, grant)
            case "cancel":
                for _, ask in self.asks[-number:]:
                    ask.cancel()
            case "drop":
                self.to_drop += number
            case "die" if len(self.alive) > 2:
                self.mesh.isolated.add(host)
                await self.mesh.run(0.5)
                self.mesh.remove_member(host)
            case "hand_over":
                self.mesh.hosts[host].hand_over()
            case "wait":
                await self.mesh.run(0.1 * number)
        await self.mesh.settle()

    async def finish(self):
        """Serve the remaining asks; return counted permits, held ones, and faults."""
        self.to_drop = 0
        left = [ask for host, ask in self.asks if host in self.alive]
        await self.mesh.finish(left)
        await self.mesh.run(25.0)
        for host, ask in self.asks:
            if host not in self.alive:
                ask.cancel()
        live = [self.mesh.hosts[name] for name in self.alive]
        counted = [
            permit
            for host in live
            for dispatcher in host.dispatchers.owned.values()
            for permit in (*dispatcher.permits, *dispatcher.waiting)
        ]
        held = [permit for host in live for permit in host.held]
        ends = [ask for ask in left if not ask.cancelled() and ask.result().is_err()]
        return counted, held, [ask.result().err_value for ask in ends]


@given(STEPS)
def test_nothing_leaks_and_no_request_fails(steps):
    async def scenario():
        runner = StepRunner()
        for step in steps:
            await runner.perform(*step)
        return await runner.finish()

    counted, held, faults = run_async(scenario())
    assert not counted
    assert not held
    assert not faults
