"""Release of bundles: signed steps, races, lost answers, and monotonic adoption."""

import asyncio
import random
import zlib
from collections import deque

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.messages import BundleContent, FetchBundle
from marigoldswitch.drains import Drains
from marigoldswitch.followers import Follower
from marigoldswitch.members import Member, MemberView
from marigoldswitch.packing import pack_content
from marigoldswitch.records import (
    decode_draft,
    decode_record,
    encode_record,
)
from marigoldswitch.releases import ReleaseFault, Releases
from marigoldswitch.settings import PlatformSettings
from marigoldswitch.signatures import Step
from marigoldswitch.tests.fakes import (
    FakeOperator,
    FakePlatform,
    build_content,
    digest,
    release_bundle,
    review_and_accept,
)

ANA, BEN, EVE = (FakeOperator(name) for name in ("ana", "ben", "eve"))
OPERATORS = {item.name: item.settings for item in (ANA, BEN)}
ONE, TWO = build_content("one"), build_content("two")


def build_releases(platform):
    return Releases(platform, platform, OPERATORS)


def run(work):
    return asyncio.run(work)


def test_life_cycle_ends_in_a_record_that_every_host_can_verify():
    platform = FakePlatform()
    releases = build_releases(platform)
    record = run(release_bundle(releases, ONE, ANA, BEN)).unwrap()
    assert record.version == 1
    assert record == run(releases.read_accepted()).unwrap()
    assert record == decode_record(encode_record(record))
    assert [item.operator for item in record.endorsements] == [
        "ana",
        "ana",
        "ben",
        "ben",
    ]
    assert run(releases.list_drafts()).unwrap() == []
    assert run(releases.list_history(5)).unwrap() == [record]


def test_steps_cannot_be_skipped_or_taken_by_one_operator_or_unknown_ones():
    async def work():
        releases = build_releases(FakePlatform())
        name = digest(ONE)
        faults = []

        async def expect(attempt):
            faults.append((await attempt).unwrap_err().fault)

        await expect(releases.review(name, ANA.sign(Step.REVIEW, name, 0)))
        await expect(releases.submit(ONE, EVE.sign(Step.SUBMIT, name, 0)))
        await expect(releases.submit(ONE, ANA.sign(Step.SUBMIT, digest(TWO), 0)))
        await expect(releases.submit(b"a: 1", ANA.sign(Step.SUBMIT, name, 0)))
        (await releases.submit(ONE, ANA.sign(Step.SUBMIT, name, 0))).unwrap()
        await expect(releases.submit(ONE, BEN.sign(Step.SUBMIT, name, 0)))
        await expect(releases.sign_off(name, BEN.sign(Step.SIGN_OFF, name, 0)))
        (await releases.review(name, ANA.sign(Step.REVIEW, name, 0))).unwrap()
        await expect(releases.accept(name, 0, BEN.sign(Step.ACCEPT, name, 1)))
        await expect(releases.sign_off(name, ANA.sign(Step.SIGN_OFF, name, 0)))
        (await releases.sign_off(name, BEN.sign(Step.SIGN_OFF, name, 0))).unwrap()
        await expect(releases.accept(name, 0, BEN.sign(Step.ACCEPT, name, 2)))
        return faults

    fault = ReleaseFault
    assert run(work()) == [
        fault.UNKNOWN_DRAFT,
        fault.SIGNATURE,
        fault.SIGNATURE,
        fault.INVALID,
        fault.WRONG_STATE,
        fault.WRONG_STATE,
        fault.WRONG_STATE,
        fault.SAME_OPERATOR,
        fault.SIGNATURE,
    ]


def test_changed_bundle_needs_its_own_sign_off():
    async def work():
        releases = build_releases(FakePlatform())
        (await release_bundle(releases, ONE, ANA, BEN)).unwrap()
        changed = build_content("changed")
        name = digest(changed)
        return await releases.accept(name, 1, BEN.sign(Step.ACCEPT, name, 2))

    assert run(work()).unwrap_err().fault is ReleaseFault.UNKNOWN_DRAFT


def test_operator_who_loses_a_race_is_told_who_won():
    async def work():
        releases = build_releases(FakePlatform())
        (await release_bundle(releases, ONE, ANA, BEN)).unwrap()
        return await release_bundle(releases, TWO, BEN, ANA, seen=0)

    refusal = run(work()).unwrap_err()
    assert refusal.fault is ReleaseFault.CONFLICT
    assert "ben was faster: version 1" in refusal.lines[0]


class YieldingPlatform(FakePlatform):
    """Yields before each call, so that concurrent operators' steps interleave."""

    async def read(self, table, key):
        await asyncio.sleep(0)
        return await super().read(table, key)

    async def transact(self, puts):
        await asyncio.sleep(0)
        return await super().transact(puts)


def test_of_two_who_accept_at_once_one_wins_and_one_is_told():
    async def work():
        platform = YieldingPlatform()
        first, second = build_releases(platform), build_releases(platform)
        return await asyncio.gather(
            release_bundle(first, ONE, ANA, BEN), release_bundle(second, TWO, BEN, ANA)
        )

    results = run(work())
    assert sorted(item.is_ok() for item in results) == [False, True]
    loser = next(item for item in results if item.is_err()).unwrap_err()
    assert loser.fault is ReleaseFault.CONFLICT


def test_lost_answers_are_settled_by_reading_back():
    async def work():
        platform = FakePlatform()
        releases = build_releases(platform)
        platform.lost_answers = 4
        record = await release_bundle(releases, ONE, ANA, BEN)
        assert platform.lost_answers == 0
        name = digest(ONE)
        platform.lost_transactions = 1
        acceptance = BEN.sign(Step.ACCEPT, name, 2)
        dropped = await releases.accept(name, 1, acceptance)
        again = await releases.accept(name, 1, acceptance)
        return record, dropped, again

    record, dropped, again = run(work())
    assert record.unwrap().version == 1
    assert dropped.unwrap_err().fault is ReleaseFault.UNSETTLED
    assert again.unwrap().version == 2


def test_rollback_is_a_new_version_with_old_content():
    async def work():
        releases = build_releases(FakePlatform())
        (await release_bundle(releases, ONE, ANA, BEN)).unwrap()
        (await release_bundle(releases, TWO, ANA, BEN, seen=1)).unwrap()
        name = digest(ONE)
        back = await releases.accept(name, 2, BEN.sign(Step.ACCEPT, name, 3))
        return back.unwrap(), (await releases.list_history(2)).unwrap()

    back, history = run(work())
    assert (back.version, back.digest) == (3, digest(ONE))
    assert [item.version for item in history] == [3, 2]


def test_content_in_force_can_be_signed_anew():
    async def work():
        releases = build_releases(FakePlatform())
        (await release_bundle(releases, ONE, ANA, BEN)).unwrap()
        return await release_bundle(releases, ONE, BEN, ANA, seen=1)

    record = run(work()).unwrap()
    assert record.version == 2
    assert record.endorsements[0].operator == "ben"


def test_draft_of_an_operator_who_left_can_be_submitted_again():
    async def work():
        platform = FakePlatform()
        old = Releases(platform, platform, OPERATORS | {"eve": EVE.settings})
        (await release_bundle(old, ONE, EVE, BEN)).unwrap()
        releases = build_releases(platform)
        name = digest(ONE)
        stale = await releases.accept(name, 1, BEN.sign(Step.ACCEPT, name, 2))
        (await releases.submit(ONE, ANA.sign(Step.SUBMIT, name, 1))).unwrap()
        renewed = await review_and_accept(releases, name, ANA, BEN, 1)
        return stale, renewed

    stale, renewed = run(work())
    assert stale.unwrap_err().fault is ReleaseFault.SIGNATURE
    assert renewed.unwrap().version == 2


@pytest.mark.parametrize("decode", [decode_draft, decode_record])
@pytest.mark.parametrize(
    "value", [b"", b"\xc1", b"\x01", b"\x94\x01\xa1a\x90\xa0", b"\x93\xa1a\x90\xa0"]
)
def test_malformed_rows_are_refused(decode, value):
    with pytest.raises(ValueError, match="no |steps are missing"):
        decode(value)


class FakeNetwork:
    """Delivers messages between hosts in memory; hosts can be disconnected."""

    def __init__(self):
        self.followers = {}
        self.disconnected = set()
        self.queue = deque()
        self.sent = []

    def sender(self, name):
        def send(host, message):
            self.queue.append((name, host, message))
            if isinstance(message, BundleContent):
                self.sent.append((name, host, message))

        return send

    def deliver(self, limit=1_000_000):
        """Deliver up to ``limit`` of the oldest messages; the others stay queued."""
        for _ in range(min(limit, len(self.queue))):
            sender, host, message = self.queue.popleft()
            if {sender, host} & self.disconnected or host not in self.followers:
                continue
            match message:
                case FetchBundle():
                    self.followers[host].answer_fetch(sender, message)
                case BundleContent():
                    self.followers[host].receive_bundle(sender, message)
                    run(self.followers[host].adopt_pending())


class FixedView(MemberView):
    """A member view that the test sets."""

    def show(self, members):
        self._members = members


def build_follower(name, platform, net):
    view = FixedView(Member(HostId(name), DataCentre("hobart"), ""))
    follower = Follower(
        build_releases(platform),
        platform,
        Adoption(),
        OPERATORS,
        view,
        net.sender(name),
        Drains(platform),
        PlatformSettings(address="http://127.0.0.1:1"),
        random.Random(1),
    )
    net.followers[name] = follower
    return follower


def show_members(net):
    """Give each host the member view that gossip would produce."""
    members = {
        name: Member(name, DataCentre("hobart"), "", bundle=item.adoption.version)
        for name, item in net.followers.items()
    }
    for follower in net.followers.values():
        follower._view.show(members)


def test_new_host_gets_the_highest_version_from_peers_while_the_platform_is_out():
    platform, net = FakePlatform(), FakeNetwork()
    one, other = (build_follower(name, platform, net) for name in ("h1", "h2"))
    run(release_bundle(build_releases(platform), ONE, ANA, BEN))
    run(one.poll_platform())
    run(release_bundle(build_releases(platform), TWO, ANA, BEN, seen=1))
    run(other.poll_platform())
    platform.is_unavailable = True
    fresh = build_follower("h3", platform, net)
    show_members(net)
    run(fresh.poll_platform())
    for _ in range(10):
        fresh.query_peers()
        net.deliver()
        net.deliver()
    assert fresh.adoption.version == 2


def test_older_bundle_that_is_verified_at_the_same_time_does_not_win():
    async def work():
        platform, net = FakePlatform(), FakeNetwork()
        releases = build_releases(platform)
        one = (await release_bundle(releases, ONE, ANA, BEN)).unwrap()
        two = (await release_bundle(releases, TWO, ANA, BEN, seen=1)).unwrap()
        follower = build_follower("h1", platform, net)
        adopted = []
        follower.watch_bundle(lambda bundle: adopted.append(bundle.version))
        newer = follower.verify_and_adopt(two, pack_content(TWO))
        older = follower.verify_and_adopt(one, pack_content(ONE))
        return await asyncio.gather(newer, older), adopted

    assert run(work()) == ([True, False], [2])


def test_forged_bundles_are_refused_whoever_sends_them():
    platform, net = FakePlatform(), FakeNetwork()
    follower = build_follower("h1", platform, net)
    fake = FakePlatform()
    untrusted = {item.name: item.settings for item in (ANA, EVE)}
    forged = run(
        release_bundle(Releases(fake, fake, untrusted), TWO, ANA, EVE)
    ).unwrap()
    true = run(release_bundle(build_releases(platform), ONE, ANA, BEN)).unwrap()
    content = BundleContent(9, encode_record(forged), pack_content(TWO))
    follower.receive_bundle("h2", content)
    follower.receive_bundle("h2", BundleContent(9, b"junk", TWO))
    other = pack_content(TWO)
    follower.receive_bundle("h2", BundleContent(9, encode_record(true), other))
    bomb = zlib.compress(b"0" * 50_000_000)
    follower.receive_bundle("h2", BundleContent(9, encode_record(true), bomb))
    run(follower.adopt_pending())
    assert follower.adoption.version == 0
    assert follower.refused == 4
    platform.rows["bundles", "accepted"] = fake.rows["bundles", "accepted"]
    platform.objects |= fake.objects
    run(follower.poll_platform())
    assert follower.adoption.version == 0


HOSTS = ["h1", "h2", "h3", "h4"]


class BundleDistribution(RuleBasedStateMachine):
    """Releases, host restarts, outages and lost answers in random order."""

    @initialize()
    def start(self):
        self.platform = FakePlatform()
        self.net = FakeNetwork()
        self.adopted = {}
        self.accepted = {}
        self.count = 0
        self.contents = {}
        for name in HOSTS:
            self.start_host(name)
        self.release_while_healthy(["h1"])

    def start_host(self, name):
        follower = build_follower(name, self.platform, self.net)
        self.adopted[name] = []
        for _ in range(2):
            seen = []
            self.adopted[name].append(seen)
            follower.watch_bundle(seen.append)

    @rule(names=st.lists(st.sampled_from(HOSTS), max_size=2))
    def release_while_healthy(self, names):
        """Release a change with the platform up, and let some hosts poll it.

        Without this rule few random runs would get past the first versions.
        """
        (
            self.platform.is_unavailable,
            self.platform.lost_answers,
            self.platform.lost_transactions,
        ) = False, 0, 0
        self.release_new_content((ANA, BEN), 0)
        for name in names:
            self.look(name)
        self.gossip_and_query()
        self.net.deliver(2)

    @rule(who=st.sampled_from([(ANA, BEN), (BEN, ANA)]), behind=st.integers(0, 1))
    def release_new_content(self, who, behind):
        """Release new content; the operator may have seen an older version."""
        self.count += 1
        content = build_content(str(self.count))
        self.contents[digest(content)] = content
        self.accept(who, content, behind)

    @precondition(lambda self: self.contents)
    @rule(data=st.data(), behind=st.integers(0, 1))
    def roll_back(self, data, behind):
        name = data.draw(st.sampled_from(sorted(self.contents)))
        self.accept((ANA, BEN), self.contents[name], behind)

    def accept(self, who, content, behind):
        submitter, releaser = who
        releases = build_releases(self.platform)
        name = digest(content)

        async def work():
            seen = max(0, max(self.accepted, default=0) - behind)
            submission = submitter.sign(Step.SUBMIT, name, 0)
            await releases.submit(content, submission)
            await releases.review(name, submitter.sign(Step.REVIEW, name, 0))
            await releases.sign_off(name, releaser.sign(Step.SIGN_OFF, name, 0))
            acceptance = releaser.sign(Step.ACCEPT, name, seen + 1)
            return await releases.accept(name, seen, acceptance)

        result = run(work())
        row = self.platform.rows.get(("bundles", "accepted"))
        if row is not None:
            record = decode_record(row.value)
            assert self.accepted.setdefault(record.version, record.digest) == (
                record.digest
            ), "two contents for one version"
        if result.is_ok():
            assert self.accepted[result.unwrap().version] == name

    @rule(lose=st.integers(0, 2), drop=st.integers(0, 1))
    def lose_answers(self, lose, drop):
        self.platform.lost_answers, self.platform.lost_transactions = lose, drop

    @rule(out=st.booleans())
    def switch_platform(self, out):
        self.platform.is_unavailable = out

    @rule(name=st.sampled_from(HOSTS))
    def toggle_connection(self, name):
        self.net.disconnected ^= {name}

    @rule(name=st.sampled_from(HOSTS))
    def restart(self, name):
        self.start_host(name)

    @rule(name=st.sampled_from(HOSTS))
    def look(self, name):
        run(self.net.followers[name].poll_platform())

    @rule()
    def gossip_and_query(self):
        """Let gossip announce versions, and hosts query each other."""
        show_members(self.net)
        for follower in self.net.followers.values():
            follower.query_peers()

    @precondition(lambda self: self.net.sent)
    @rule(data=st.data())
    def redeliver_late(self, data):
        """Deliver a bundle again, long after it was sent."""
        self.net.queue.append(data.draw(st.sampled_from(self.net.sent)))
        self.net.deliver()

    @rule(most=st.integers(1, 12))
    def deliver(self, most):
        self.net.deliver(most)

    @invariant()
    def adoption_is_monotonic_and_atomic(self):
        for name, listeners in self.adopted.items():
            versions = [[item.version for item in seen] for seen in listeners]
            assert versions[0] == versions[1], "half in force"
            assert versions[0] == sorted(set(versions[0])), "went back"
            follower = self.net.followers[name]
            assert follower.refused == 0
            bundle = follower.adoption.bundle
            assert (bundle.version if bundle else 0) == max(versions[0], default=0)
            if bundle:
                assert self.accepted[bundle.version] == bundle.digest

    def teardown(self):
        """After platform and network recover, all hosts reach the newest version."""
        if not hasattr(self, "platform"):
            return
        self.platform.is_unavailable, self.net.disconnected = False, set()
        for follower in self.net.followers.values():
            run(follower.poll_platform())
            assert follower.adoption.version == max(self.accepted, default=0)


BundleDistribution.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestBundleDistribution = BundleDistribution.TestCase
