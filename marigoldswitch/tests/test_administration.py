"""Operators' interface: roles, answers to invalid input, and the tool's exit codes."""

import asyncio
import io

import aiohttp
import pytest
import yaml
from hypothesis import given, strategies as st

from marigoldswitch.documents import write_document
from marigoldswitch.logs import configure_logs
from marigoldswitch.operators import OperatorDirectory
from marigoldswitch.settings import OperatorSettings
from marigoldswitch.signatures import format_private_key, parse_private_key
from marigoldswitch.standins.deployment import AMPLE_QUOTA, digest_key
from marigoldswitch.tests.helpers import (
    BOOKINGS_PATH,
    LETTERS_PATH,
    run_async,
    run_deployment,
    wait_until,
)
from marigoldswitch.tools import control
from marigoldswitch.tools.calls import Exit, Variable
from marigoldswitch.tools.differences import list_differences

DIGEST = "a" * 64
SIGNED = {"seen": 0, "signature": "0" * 128, "why": "because"}


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "expected"),
    [
        ("POST", f"/v1/bundles/{DIGEST}/accept", b"{", 400, "JSON"),
        ("POST", f"/v1/bundles/{DIGEST}/accept", {"seen": "x"}, 400, "seen"),
        ("POST", f"/v1/bundles/{DIGEST}/accept", SIGNED, 403, "signature"),
        ("POST", f"/v1/bundles/{DIGEST}/accept", SIGNED | {"why": ""}, 400, "why"),
        ("POST", f"/v1/bundles/{DIGEST}/review", SIGNED | {"x": 1}, 400, "x"),
        ("POST", "/v1/bundles/short/review", SIGNED, 400, "hexadecimal"),
        ("POST", "/v1/bundles", SIGNED | {"content": "[]"}, 422, "mapping"),
        ("POST", "/v1/bundles", SIGNED | {"content": "{ }"}, 422, "canonical"),
        ("POST", "/v1/bundles", b"\xff" * 9, 400, "JSON"),
        ("POST", "/v1/bundles", b" " * 9_000_000, 413, "Too Large"),
        ("GET", "/v1/history?count=many", None, 400, "count"),
        ("GET", f"/v1/bundles/{DIGEST}", None, 404, "digest"),
        ("GET", "/v1/explain/none", None, 404, "no host remembers"),
        ("POST", "/v1/drains/nothing", {"why": "because"}, 404, "no target"),
        ("DELETE", "/v1/drains/desk-0", {"why": "because"}, 404, "not drained"),
        ("GET", "/nowhere", None, 404, "Not Found"),
        ("PUT", "/v1/bundles", None, 405, "Not Allowed"),
    ],
)
def test_bad_input_is_answered_with_what_is_wrong(
    shared_host, method, path, body, status, expected
):
    found = shared_host.call(method, path, body)
    assert found[0] == status, found
    assert expected in str(found[1]), found


class SharedHost:
    """A deployment that many tests share, with calls to its first host."""

    def __init__(self, loop, deployment):
        self.loop = loop
        self.deployment = deployment
        self.address = deployment.get_address("host-0", "administration")

    def call(self, method, path, body, key=None):
        key = key or self.deployment.operator_keys["ana"]

        async def work():
            headers = {"Authorization": f"Bearer {key}"}
            data = {"data": body} if isinstance(body, bytes) else {"json": body}
            async with (
                aiohttp.ClientSession(headers=headers) as session,
                session.request(method, self.address + path, **data) as response,
            ):
                return response.status, await response.json()

        return self.loop.run_until_complete(work())

    def send(self, path, body, headers, key):
        """Send a request to the callers' listener."""
        address = self.deployment.get_address("host-0", "callers")
        headers = headers | {"Authorization": f"Bearer {key}"}

        async def work():
            async with (
                aiohttp.ClientSession(headers=headers) as session,
                session.post(address + path, data=body) as response,
            ):
                return response.status, await response.json()

        return self.loop.run_until_complete(work())


@pytest.fixture(scope="module")
def shared_host():
    loop = asyncio.new_event_loop()
    entering = run_deployment(data_centres=("hobart",))
    deployment, _ = loop.run_until_complete(entering.__aenter__())
    yield SharedHost(loop, deployment)
    loop.run_until_complete(entering.__aexit__(None, None, None))
    loop.close()


@given(content=st.binary(max_size=80))
def test_any_body_gives_an_answer(shared_host, content):
    for path in ("/v1/bundles", f"/v1/bundles/{DIGEST}/accept", "/v1/drains/desk-0"):
        status, _ = shared_host.call("POST", path, content)
        assert status == 400


def test_keys_and_roles():
    keys = {"vera": ("viewer",), "rita": ("viewer", "reviewer")}
    directory = OperatorDirectory(
        {
            name: OperatorSettings(key_digest=digest_key(name), roles=roles)
            for name, roles in keys.items()
        }
    )

    def authorise(header, role):
        result = directory.authorise(header, role)
        return result.unwrap().id if result.is_ok() else result.unwrap_err().status

    assert authorise("Bearer vera", "viewer") == "vera"
    assert authorise("bearer rita", "reviewer") == "rita"
    assert authorise("Bearer vera", "reviewer") == 403
    assert authorise("Bearer rita", "releaser") == 403
    for header in ("", "Bearer", "Bearer eve", "Basic vera", "vera", "Bearer \ud800"):
        assert authorise(header, "viewer") == 401


def test_differences_name_each_path():
    old = {"a": {"b": 1, "c": 2}, "l": [1]}
    new = {"a": {"b": 3, "d": 4}, "l": [1]}
    assert list(list_differences(old, new)) == ["~ a.b: 1 -> 3", "- a.c: 2", "+ a.d: 4"]


def test_operators_work_from_a_bundle_to_a_drained_target(
    tmp_path, capsys, monkeypatch
):
    """Two operators release a bundle and drain a target with the command-line tool."""
    log = io.StringIO()
    configure_logs(stream=log)

    async def play():
        async with run_deployment(data_centres=("hobart", "hobart")) as (
            deployment,
            session,
        ):
            work = _Operators(deployment, tmp_path, capsys, monkeypatch)
            return await work.run_scenario(session, log)

    run_async(play())


class _Operators:
    def __init__(self, deployment, tmp_path, capsys, monkeypatch):
        self.deployment = deployment
        self.folder = tmp_path
        self.capsys = capsys
        self.environment = monkeypatch

    async def run(self, operator, command, *arguments, **options):
        """Run a command as an operator; return its exit code and its output."""
        address = self.deployment.get_address("host-1", "administration")
        signer = self.folder / f"{operator}.pem"
        signer.write_bytes(format_private_key(self.deployment.signers[operator]))
        self.environment.setenv(Variable.ADDRESS, address)
        self.environment.setenv(Variable.KEY, self.deployment.operator_keys[operator])
        self.environment.setenv(Variable.SIGNING_KEY, str(signer))
        self.capsys.readouterr()
        status = await asyncio.to_thread(command, *arguments, **options)
        printed = self.capsys.readouterr()
        return status, printed.out + printed.err

    async def run_scenario(self, session, log):
        bundle = self.folder / "two.yaml"
        content = self.deployment.build_bundle(
            pipelines={
                "letters": {"service": "drafting", "max_tokens": 7},
                "bookings": {"service": "bookings"},
            }
        )
        bundle.write_bytes(content)
        why = {"why": "shorter letters"}
        status, text = await self.run("ana", control.check, bundle)
        assert (status, "fine" in text) == (Exit.DONE, True)
        status, text = await self.run("ana", control.diff, bundle)
        assert (status, text) == (
            Exit.DONE,
            "~ pipelines.letters.max_tokens: 64 -> 7\n",
        )
        status, text = await self.run("ana", control.submit, bundle, **why)
        assert status == Exit.DONE, text
        digest = text.split()[1]
        status, text = await self.run("ben", control.drafts)
        assert digest in text
        assert "shorter letters" in text
        assert (await self.run("ana", control.review, digest, **why))[0] == Exit.DONE
        status, text = await self.run("ana", control.sign_off, digest, **why)
        assert status == Exit.REFUSED
        assert "another operator" in text
        assert (await self.run("ben", control.sign_off, digest, **why))[0] == Exit.DONE
        status, text = await self.run("ben", control.accept, digest, seen=0, **why)
        assert status == Exit.CONFLICT
        assert "version 1" in text
        status, text = await self.run("ben", control.accept, digest, seen=1, **why)
        assert status == Exit.DONE, text
        hosts = self.deployment.hosts.values()
        for host in hosts:
            await host.parts.follower.poll_platform()
        assert {host.parts.adoption.version for host in hosts} == {2}
        status, text = await self.run("ana", control.history)
        assert text.split()[0] == "2"
        status, text = await self.run("ana", control.show, digest)
        assert yaml.safe_load(text) == yaml.safe_load(content)
        assert '"why": "shorter letters"' in log.getvalue()
        await self.drain_and_explain(session)

    async def drain_and_explain(self, session):
        why = {"why": "new fan"}
        status, text = await self.run("ben", control.drain, "engine-0-0", **why)
        assert status == Exit.DONE, text
        for host in self.deployment.hosts.values():
            await host.parts.follower.poll_platform()
        address = self.deployment.get_address("host-0", "callers")
        body = {"input": {"prompt": "A letter"}}
        answers = []
        for _ in range(4):
            async with session.post(address + LETTERS_PATH, json=body) as response:
                answers.append(await response.json())
        assert not self.deployment.engines["engine-0-0"].ran
        assert self.deployment.engines["engine-0-1"].ran
        status, text = await self.run("ana", control.explain, answers[0]["request"])
        assert "routing_decision" in text
        assert "engine-0-1" in text
        status, text = await self.run("ana", control.drains)
        assert text == "engine-0-0  by ben: new fan\n"
        status, text = await self.run("ana", control.status)
        assert "host-0 (hobart): ready, bundle 2" in text
        assert "host-1 (hobart): ready, bundle 2" in text
        assert "engine-0-0: 0 of" in text
        status, text = await self.run("ben", control.undrain, "engine-0-0", **why)
        assert status == Exit.DONE
        status, text = await self.run("ben", control.pause_orders, "tas", **why)
        assert status == Exit.DONE
        assert "paused: True" in text
        self.deployment.platform.faults.out = True
        status, text = await self.run("ben", control.resume_orders, "tas", **why)
        assert status == Exit.UNAVAILABLE
        self.deployment.platform.faults.out = False


def test_request_in_flight_keeps_the_bundle_it_began_with():
    """A new bundle removes the request's service before the request is answered."""

    async def play():
        async with run_deployment(data_centres=("hobart",)) as (deployment, session):
            deployment.services["desk-0"].faults.delay = 0.5
            address = deployment.get_address("host-0", "callers")
            sending = asyncio.create_task(
                session.post(address + BOOKINGS_PATH, json={"input": {}})
            )
            await wait_until(lambda: deployment.services["desk-0"].running == 1)
            content = yaml.safe_load(deployment.build_bundle())
            content["brands"]["dollhouse"]["applications"].pop("bookings")
            for section, name in (
                ("pipelines", "bookings"),
                ("services", "bookings"),
                ("targets", "desk-0"),
            ):
                content[section].pop(name)
            await deployment.roll_out(write_document(content), seen=1)
            assert deployment.services["desk-0"].running == 1
            async with await sending as response:
                first = response.status
            async with session.post(
                address + BOOKINGS_PATH, json={"input": {}}
            ) as response:
                return first, response.status

    assert run_async(play()) == (200, 404)


@given(
    content=st.binary(max_size=60) | st.text(max_size=60).map(str.encode),
    header=st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20),
)
def test_malformed_calls_are_refused_as_not_run(shared_host, content, header):
    key = shared_host.deployment.caller_key
    headers = {"Request-Timeout": header, "Idempotency-Key": header}
    status, body = shared_host.send(LETTERS_PATH, content, headers, key)
    assert status == 400
    assert body["error"]["outcome"] == "not_run"


def test_orders_reload_an_engine_while_requests_run():
    """A bundle adds an adapter: each engine is drained, reloaded and undrained."""
    orders = {"tick": 0.05, "lease": 1.0, "margin": 0.2, "settle": 0.5, "loads": 99}
    settings = {"orders": orders, "platform": {"poll": 0.1, "poll_others": 0.2}}

    async def play():
        arguments = {"data_centres": ("hobart", "hobart"), "settings": settings}
        arguments["quota"] = AMPLE_QUOTA
        async with run_deployment(**arguments) as (deployment, session):
            address = deployment.get_address("host-0", "callers")
            ends = []
            done = asyncio.Event()

            async def send_requests():
                while not done.is_set():
                    body = {"input": {"prompt": "A letter"}, "max_tokens": 5}
                    async with session.post(
                        address + LETTERS_PATH, json=body
                    ) as response:
                        ends.append(response.status)

            senders = [asyncio.create_task(send_requests()) for _ in range(2)]
            document = deployment.build_bundle().replace(
                b"model: letters", b"model: letters\n    adapters: [quotes]"
            )
            await deployment.roll_out(document, seen=1)
            engines = deployment.engines.values()

            def is_done():
                return all(
                    item.loaded and item.loaded["adapters"] == ["quotes"]
                    for item in engines
                ) and not any(
                    table == "drains" for table, _ in deployment.platform.rows
                )

            await wait_until(is_done, 40.0)
            done.set()
            await asyncio.gather(*senders)
            return ends, [item.orders for item in engines]

    ends, orders = run_async(play())
    assert set(ends) == {200}
    for taken in orders:
        changes = [order["busy"] for order in taken if order["changes"]]
        assert changes == [0], "one order that changes it, while it ran nothing"


def test_tool_reports_mistakes_without_a_traceback(tmp_path, capsys, monkeypatch):
    for name in (Variable.KEY, Variable.ADDRESS, Variable.SIGNING_KEY):
        monkeypatch.delenv(name, raising=False)
    assert control.check(tmp_path / "none.yaml") == Exit.MISTAKE
    assert control.status() == Exit.MISTAKE
    monkeypatch.setenv(Variable.KEY, "k")
    monkeypatch.setenv(Variable.ADDRESS, "ftp://x")
    assert control.status() == Exit.MISTAKE
    monkeypatch.setenv(Variable.ADDRESS, "http://127.0.0.1:1")
    assert control.status() == Exit.UNAVAILABLE
    wrong = tmp_path / "wrong.pem"
    wrong.write_text("no key")
    monkeypatch.setenv(Variable.SIGNING_KEY, str(wrong))
    assert control.review(DIGEST, why="x") == Exit.MISTAKE
    wrong.write_bytes(write_document({"brands": 1}))
    assert control.check(wrong) == Exit.REFUSED
    key = tmp_path / "ana.pem"
    assert control.keygen(key) == Exit.DONE
    assert control.keygen(key) == Exit.MISTAKE, "an existing key is never overwritten"
    assert key.stat().st_mode & 0o077 == 0
    assert parse_private_key(key.read_bytes())
    assert "Traceback" not in capsys.readouterr().err
