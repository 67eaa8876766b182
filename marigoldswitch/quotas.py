"""Shares the quotas of client accounts with the other hosts."""

from marigoldswitch.core.catalogue import Bundle
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import AccountId, HostId
from marigoldswitch.core.messages import Message, QuotaDraws, QuotaLeases
from marigoldswitch.core.ownership import choose_keeper
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.quotas import HostQuotas, QuotaKeeper
from marigoldswitch.members import MemberView
from marigoldswitch.peers import PeerNetwork


class QuotaSharing:
    """Admits requests within their account's quota; it never waits for an answer."""

    def __init__(self, clock: Clock, network: PeerNetwork, view: MemberView) -> None:
        self._clock = clock
        self._network = network
        self._own = view.own.host
        self._view = view
        self._host = HostQuotas()
        self._keeper = QuotaKeeper()
        self._keepers: dict[AccountId, HostId] = {}
        view.watch(self._follow_members)
        network.register(QuotaDraws, self._take_draws)
        network.register(QuotaLeases, self._take_leases)
        self._follow_members()

    def use_bundle(self, bundle: Bundle) -> None:
        """Take the accounts of a bundle."""
        self._host.use_accounts(bundle.accounts)
        self._keeper.use_accounts(bundle.accounts)

    def admit(self, account: AccountId) -> Fault | None:
        """Charge an account for one request; return why it is refused, if it is."""
        wait = self._host.admit(account, self._clock.monotonic())
        if wait is None:
            return None
        return Fault(ErrorKind.QUOTA_EXCEEDED, "", wait)

    def tick(self) -> None:
        """Draw tokens where it is time to."""
        for account in self._host.list_accounts():
            if account not in self._keepers:
                keeper = choose_keeper(account, self._view.members)
                self._keepers[account] = keeper or self._own
        draws = self._host.list_draws(self._keepers, self._clock.monotonic())
        for host, needs in draws.items():
            self._network.send(host, QuotaDraws(self._own, tuple(needs)))

    def _follow_members(self) -> None:
        self._keepers.clear()
        self._host.use_hosts(len(self._view.members))

    def _take_draws(self, sender: HostId, message: Message) -> None:
        assert isinstance(message, QuotaDraws)
        now = self._clock.monotonic()
        leases = [
            self._keeper.take_draw(message.front, draw, now) for draw in message.draws
        ]
        given = tuple(lease for lease in leases if lease is not None)
        self._network.send(message.front, QuotaLeases(given))

    def _take_leases(self, sender: HostId, message: Message) -> None:
        assert isinstance(message, QuotaLeases)
        now = self._clock.monotonic()
        for lease in message.leases:
            self._host.take_lease(lease, now)
