"""News is asked of hosts that can tell it."""

from types import SimpleNamespace

from marigoldswitch.core.gateway_messages import FetchTargets, LoadDigest
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.news import News

READER, IDLE = HostId("10.1.0.1:80"), HostId("10.1.0.2:80")


def build_news(sent):
    """Return the news of a host that leaves reading to others."""
    network = SimpleNamespace(
        register=lambda kind, handler: None,
        send=lambda host, message: sent.append((host, message)),
    )
    in_touch = SimpleNamespace(dependency=SimpleNamespace(is_lost=False))
    parts = SimpleNamespace(
        network=network,
        directory=Directory(),
        configuration=in_touch,
        targets=in_touch,
    )
    return News(parts, must_read=lambda: False, is_current=lambda: False)


def test_targets_are_asked_of_hosts_that_read_whoever_speaks_first():
    sent = []
    news = build_news(sent)
    for round_ in range(20):
        now = 0.5 * round_
        for host, reads in ((IDLE, False), (READER, True)):
            digest = LoadDigest(DataCentre("a"), 0, 14, current=reads)
            news.ask(host, digest, now)
    assert {host for host, _ in sent} == {READER}
    assert sent[0] == (READER, FetchTargets(0))
