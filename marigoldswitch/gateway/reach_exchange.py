"""Asks other hosts whether they reach a target that refuses this one."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import structlog
from msgspec import Struct, field

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.crash_messages import ReachAnswer, ReachQuestion
from marigoldswitch.core.ids import HostId
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.roster import Roster
from marigoldswitch.gateway.witnesses import Reach, Witnesses
from marigoldswitch.peers import PeerNetwork

logger = structlog.get_logger(__name__)

MAX_ASKED_HOSTS = 12
"""Hosts that are asked at a time, drawn from all data centres. A few of them may be cut
off alike."""
ANSWER_SECONDS = 0.4
"""Time for the answers. A host that has to ask the target itself takes up to 0.2 s."""


class _Question(Struct):
    """A question under way.

    :ivar asked: hosts that have not answered yet.
    :ivar settled: set once a host reaches the target, or all have answered.
    """

    asked: set[HostId]
    settled: asyncio.Event = field(default_factory=asyncio.Event)
    answers: list[ReachAnswer] = field(default_factory=list)


class ReachExchange:
    """Asks other hosts about targets, and answers their questions."""

    def __init__(
        self,
        clock: Clock,
        network: PeerNetwork,
        roster: Roster,
        directory: Directory,
        witnesses: Witnesses,
        source: random.Random,
    ) -> None:
        self._clock = clock
        self._network = network
        self._roster = roster
        self._directory = directory
        self._witnesses = witnesses
        self._source = source
        self._number = 0
        self._questions: dict[int, _Question] = {}
        self._answering: set[asyncio.Task[None]] = set()
        handle_question: Callable[..., None] = self._handle_question
        handle_answer: Callable[..., None] = self._handle_answer
        network.register(ReachQuestion, handle_question)
        network.register(ReachAnswer, handle_answer)

    async def is_refused_everywhere(self, target: Target, since: float) -> bool:
        """Return whether a target refuses all hosts that can be asked.

        True if this host knows no others: nobody can tell then.

        :param since: when it refused this host, in monotonic seconds.
        """
        hosts = sorted(self._roster.peers)
        if not hosts:
            return True
        asked = self._source.sample(hosts, min(MAX_ASKED_HOSTS, len(hosts)))
        self._number += 1
        number, question = self._number, _Question(set(asked))
        self._questions[number] = question
        age = self._clock.monotonic() - since
        for host in asked:
            self._network.send(host, ReachQuestion(target.id, number, age))
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_SECONDS):
                    await question.settled.wait()
        finally:
            del self._questions[number]
        reached = sum(item.is_reached for item in question.answers)
        refused = sum(item.is_refused for item in question.answers)
        logger.info(
            "hosts_asked",
            target=target.id,
            asked=len(asked),
            reached=reached,
            refused=refused,
        )
        return not reached and 2 * refused > len(asked)

    def _handle_answer(self, sender: HostId, message: ReachAnswer) -> None:
        question = self._questions.get(message.number)
        if question is None or sender not in question.asked:
            return
        question.asked.discard(sender)
        question.answers.append(message)
        if message.is_reached or not question.asked:
            question.settled.set()

    def _handle_question(self, sender: HostId, message: ReachQuestion) -> None:
        task = asyncio.create_task(self._answer(sender, message))
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _answer(self, sender: HostId, message: ReachQuestion) -> None:
        row = self._directory.registry.rows.get(message.target)
        reach = Reach.UNKNOWN
        if row is not None:
            since = self._clock.monotonic() - message.age
            reach = await self._witnesses.find_reach(row.target, since)
        answer = ReachAnswer(
            message.number, reach is Reach.REACHED, reach is Reach.REFUSED
        )
        self._network.send(sender, answer)
