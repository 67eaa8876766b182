"""To which hosts a host that reaches no target sends its requests."""

from types import SimpleNamespace

from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.gateway.proxy_hosts import (
    DECLINED_SECONDS,
    LOCAL_TRIES,
    ProxyHosts,
)


class Peers:
    """The other hosts as one of them knows them, on a clock of its own."""

    def __init__(self, is_mesh=True):
        self.now = 100.0
        self.is_mesh = is_mesh
        self.peers = {}
        clock = SimpleNamespace(monotonic=lambda: self.now)
        source = SimpleNamespace(choice=min)
        self.hosts = ProxyHosts(self, DataCentre("north"), 7000, clock, source)

    def add(self, number, centre="north", heard=0.0, named=0.0, **fields):
        states = {"leaving": False, "is_cut_off": False, "proxy_port": 0} | fields
        self.peers[HostId(f"10.0.0.{number}:80")] = SimpleNamespace(
            data_centre=centre,
            heard_at=self.now - heard,
            mentioned_at=self.now - named,
            **states,
        )

    def choose(self, tried=()):
        host = self.hosts.choose({HostId(f"10.0.0.{item}:80") for item in tried})
        return host and host.address


def test_hosts_that_leave_are_silent_or_cut_off_are_not_chosen():
    peers = Peers()
    peers.add(1, leaving=True)
    peers.add(2, is_cut_off=True)
    peers.add(3, heard=10.0)
    assert peers.choose() is None
    peers.add(4, proxy_port=7100)
    peers.add(5)
    assert peers.choose() == "10.0.0.4:7100"
    assert peers.choose([4]) == "10.0.0.5:7000"


def test_own_data_centre_comes_first_and_another_after_some_tries():
    peers = Peers()
    for number in range(1, 5):
        peers.add(number)
    peers.add(9, "south")
    assert peers.choose() == "10.0.0.1:7000"
    assert peers.choose(range(1, 1 + LOCAL_TRIES)) == "10.0.0.9:7000"


def test_host_that_has_declined_is_avoided_for_a_while():
    peers = Peers()
    peers.add(1)
    peers.hosts.note_declined(HostId("10.0.0.1:80"))
    assert peers.choose() is None
    peers.now += DECLINED_SECONDS
    peers.add(1)
    assert peers.choose() == "10.0.0.1:7000"


def test_hosts_that_only_lists_name_are_chosen_in_a_large_data_centre():
    peers = Peers(is_mesh=False)
    peers.add(1, heard=60.0, named=10.0)
    assert peers.choose() == "10.0.0.1:7000"
    peers.is_mesh = True
    assert peers.choose() is None
