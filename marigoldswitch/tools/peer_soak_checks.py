"""Checks and report of the peer soak."""

import itertools
from bisect import bisect_left, bisect_right
from collections import Counter
from typing import Any

import orjson
from msgspec import Struct, field

from marigoldswitch.standins.floods import EndlessAnswer
from marigoldswitch.standins.platform_engines import PlainStandin
from marigoldswitch.tools.peer_soak_proxy import Fault
from marigoldswitch.tools.peer_soak_streams import StreamEnd

RIG = 0
"""Number of this process among those of the hosts."""
APPLY_SECONDS = 2.0
"""Time from the acknowledgement of a configuration until it must be in force."""
DRAIN_SECONDS = 2.0
"""Time from the record that a target leaves until no request may reach it."""
ENDLESS_SECONDS = 1.0
"""Time within which a host must close a connection that brings bytes without end; as
fast as they come, they reach the bound within milliseconds."""
CONTACT_SECONDS = 3.0
"""Time after a host's own trouble for which it is excused."""
REFUSALS = (401, 403, 404)
"""Statuses that say what the configuration in force does not allow."""
CLOSE_SECONDS = 0.5
"""Time after the end of a host's process until its callers have seen it."""
END_SECONDS = 1.5
"""A host that was late in the last seconds counts as late at the end."""
LINES_SHOWN = 8


class Version(Struct, frozen=True):
    """A configuration and the monotonic time at which it was acknowledged."""

    number: int
    acknowledged: float
    routes: dict[str, str]
    keys: tuple[str, ...]

    def expect(self, route: str, key: str) -> str:
        """Return the service that runs a request, or the status that refuses it."""
        if route not in self.routes:
            return "404"
        return self.routes[route] if key in self.keys else "401"


class Reply(Struct, frozen=True):
    """A request of a client and what became of it."""

    host: int
    sent: float
    ended: float
    route: str
    key: str
    outcome: str
    is_failed: bool = False
    """The answer does not tell the version in force, or there is none."""


class Breach(Struct):
    """What a host did too late, once or several times.

    :ivar what: the version that was in force, or the target that was leaving.
    :ivar since: monotonic time since when the host should have known better.
    :ivar seconds: from then until it last did not.
    """

    host: int
    what: str
    since: float
    seconds: float = 0.0
    requests: int = 0


class Leave(Struct, frozen=True):
    """A target that left, and the monotonic times of that and of its return."""

    target: PlainStandin
    left: float
    back: float


class Record(Struct):
    """What was seen in a play, in monotonic seconds.

    :ivar delays: (begin, end) of the delays of each process's event loop, in order.
    :ivar harms: (begin, end) of the times in which a host itself was harmed.
    :ivar lines: the hosts' log lines about configurations.
    :ivar endless: answers without end that targets have sent.
    :ivar store_calls: paths of the calls that the store got.
    :ivar ends: (begin, end) of the times in which a host may cut streams off, as it was
        killed or is at the end of its stop.
    :ivar silences: moments of silence of targets.
    :ivar aborted: the hosts' log lines about answers that they broke off.
    """

    began: float = 0.0
    versions: list[Version] = field(default_factory=list)
    replies: list[Reply] = field(default_factory=list)
    leaves: list[Leave] = field(default_factory=list)
    lines: dict[int, list[dict[str, Any]]] = field(default_factory=dict)
    endless: list[EndlessAnswer] = field(default_factory=list)
    store_calls: list[str] = field(default_factory=list)
    delays: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    harms: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    ends: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    silences: int = 0
    streams: list[StreamEnd] = field(default_factory=list)
    aborted: dict[int, list[dict[str, Any]]] = field(default_factory=dict)

    def is_ending(self, host: int, at: float) -> bool:
        """Return whether a host may cut streams off at a time."""
        ends = self.ends.get(host, ())
        return any(begin <= at <= end + CLOSE_SECONDS for begin, end in ends)

    def is_excused(self, host: int, at: float) -> bool:
        """Return whether a host was harmed itself at a time or shortly before."""
        harms = self.harms.get(host, ())
        return any(begin <= at <= end + CONTACT_SECONDS for begin, end in harms)

    def extend(self, host: int, since: float, seconds: float) -> float:
        """Return a limit, lengthened by the delays within it.

        Those of the rig, of the host, and of the most delayed other one count, as a
        configuration passes through all three.
        """
        others = [item for item in self.delays if item not in (RIG, host)]
        limit, longer = 0.0, seconds
        while longer > limit:
            limit = longer
            longer = seconds + sum(
                max(
                    (self._sum_delays(i, since, since + limit) for i in group),
                    default=0,
                )
                for group in ([RIG], [host], others)
            )
        return limit

    def _sum_delays(self, process: int, begin: float, end: float) -> float:
        delays = self.delays.get(process, [])
        first = bisect_right(delays, begin, key=lambda delay: delay[1])
        last = bisect_left(delays, end, key=lambda delay: delay[0])
        return sum(delay[1] - delay[0] for delay in delays[first:last])


def read_log(record: Record, host: int, content: bytes) -> None:
    """Take the delays and the ``configuration_*`` lines from a host's log.

    A delay in a time in which the host was harmed itself excuses no other host.
    """
    delays = record.delays[host] = []
    lines = record.lines[host] = []
    aborted = record.aborted[host] = []
    harms = record.harms.get(host, [])
    for line in content.splitlines():
        if b'"loop_late"' in line:
            fields = orjson.loads(line)
            due, came = fields["due"], fields["came"]
            if not any(due <= end and came >= begin for begin, end in harms):
                delays.append((due, came))
        elif b'"event": "configuration_' in line:
            lines.append(orjson.loads(line))
        elif b'"event": "answer_aborted"' in line:
            aborted.append(orjson.loads(line))


def find_breaches(record: Record, apply_seconds: float) -> list[Breach]:
    """Return what hosts did too late, and the streams that they broke off.

    :param apply_seconds: within which a configuration must be in force.
    """
    breaches: dict[tuple[int, str], Breach] = {}

    def check(host: int, what: str, since: float, at: float, limit: float) -> None:
        if at - since <= limit or record.is_excused(host, at):
            return
        if at - since <= record.extend(host, since, limit):
            return
        breach = breaches.setdefault((host, what), Breach(host, what, since))
        breach.seconds = max(breach.seconds, at - since)
        breach.requests += 1

    for reply in record.replies:
        if reply.is_failed:
            continue
        known = [v for v in record.versions if v.acknowledged <= reply.ended]
        since = None
        while known and known[-1].expect(reply.route, reply.key) != reply.outcome:
            since = known.pop().acknowledged
        if since is not None:
            what = f"version {len(known)}"
            check(reply.host, what, since, reply.sent, apply_seconds)
    for leave in record.leaves:
        target = leave.target
        for at, headers in zip(target.arrivals, target.request_headers, strict=True):
            is_probe = "Attempt-Id" not in headers
            if leave.left < at < leave.back and not is_probe:
                host = int(headers["Attempt-Id"].partition("-")[0])
                check(host, f"leaving {target.name}", leave.left, at, DRAIN_SECONDS)
    for answer in record.endless:
        host = int(answer.request.partition("-")[0])
        what = f"endless answer to {answer.request}"
        check(host, what, answer.began, answer.ended, ENDLESS_SECONDS)
    for stream in record.streams:
        host = int(stream.request.partition("-")[0])
        if stream.fault and not record.is_ending(host, stream.ended):
            what = f"{stream.request} {stream.fault}"
            took = stream.ended - stream.began
            breaches[host, what] = Breach(host, what, stream.began, took, 1)
    return sorted(breaches.values(), key=lambda breach: (breach.host, breach.since))


def print_report(record: Record, faults: list[Fault], breaches: list[Breach]) -> None:
    """Print what was played and what was found, with the late hosts' log lines."""
    kinds = Counter(fault.kind.value for fault in faults)
    outcomes = Counter(reply.outcome for reply in record.replies)
    delayed = {
        process: round(sum(end - begin for begin, end in delays), 1)
        for process, delays in sorted(record.delays.items())
    }
    print(f"faults: {dict(kinds)}")
    print(f"versions: {len(record.versions)}, targets left: {len(record.leaves)}")
    print(f"requests: {len(record.replies)}, {dict(outcomes)}")
    longest = max((a.ended - a.began for a in record.endless), default=0.0)
    print(f"answers without end: {len(record.endless)}, longest {longest:.1f} s")
    print(f"calls of the store: {dict(Counter(record.store_calls))}")
    streams = Counter(stream.outcome for stream in record.streams)
    print(f"silences: {record.silences}, streams: {dict(streams)}")
    reasons = Counter(
        str(line.get("reason")) for lines in record.aborted.values() for line in lines
    )
    print(f"answers broken off by hosts: {dict(reasons)}")
    print(f"seconds of delays by process, {RIG} is the rig: {delayed}")
    failed = [
        reply
        for reply in record.replies
        if reply.is_failed and not record.is_excused(reply.host, reply.ended)
    ]
    print(f"failed at hosts that were not harmed themselves: {len(failed)}")
    for reply in failed[:LINES_SHOWN]:
        took, at = reply.ended - reply.sent, reply.sent - record.began
        print(
            f"  {reply.outcome} after {took:.1f} s, host-{reply.host}, second {at:.1f}"
        )
    for host, found in itertools.groupby(breaches, lambda breach: breach.host):
        _print_host(record, faults, host, list(found))
    hosts = {breach.host for breach in breaches}
    at_end = {breach.host for breach in breaches if _is_at_end(record, breach)}
    print(f"late hosts: {len(hosts)} of {len(record.lines)}, at the end: {len(at_end)}")


def _print_host(
    record: Record, faults: list[Fault], host: int, breaches: list[Breach]
) -> None:
    """Print what a host did too late, the faults of its links, and its log lines."""
    for breach in breaches:
        print(
            f"host-{host}: {breach.what}, {breach.seconds:.1f} s behind"
            f"{' at the end' if _is_at_end(record, breach) else ''},"
            f" since second {breach.since - record.began:.1f},"
            f" {breach.requests} requests"
        )
    end = max(breach.since + breach.seconds for breach in breaches) - record.began
    on_it = [f for f in faults if host in (f.host, *f.receivers) and f.at < end]
    for fault in sorted(on_it, key=lambda fault: fault.at)[-LINES_SHOWN:]:
        to = "" if host == fault.host else f" to host-{host}"
        if host == fault.host and fault.receivers:
            to = f" to {list(fault.receivers)}"
        print(
            f"  second {fault.at:.1f}, {fault.kind.value} for {fault.seconds:.1f} s"
            f"{' and for good' if fault.forgets else ''}: host-{fault.host}{to}"
        )
    for line in [*record.lines[host], *record.aborted.get(host, ())][-LINES_SHOWN:]:
        print(f"  {orjson.dumps(line).decode()}")


def _is_at_end(record: Record, breach: Breach) -> bool:
    last = max(reply.sent for reply in record.replies if reply.host == breach.host)
    return breach.since + breach.seconds >= last - END_SECONDS
