"""Every routing decision is logged, but no key, prompt or answer; a log that is not
read never blocks the process."""

import io
import os
import tracemalloc

import orjson
import structlog

from marigoldswitch.logs import BoundedStream, configure_logs
from marigoldswitch.tests.helpers import (
    BOOKINGS_PATH,
    LETTERS_PATH,
    run_async,
    run_deployment,
)
from marigoldswitch.trails import TRAIL, DecisionTrail

PROMPT = "a letter about nobody-else-knows"
REFERENCE = "pickup-at-a-secret-place"


def test_each_request_has_its_routing_line_and_no_secret_is_logged():
    stream = io.StringIO()
    configure_logs("debug", stream)

    async def play():
        async with run_deployment(data_centres=("hobart", "hobart")) as (
            deployment,
            session,
        ):
            address = deployment.get_address("host-0", "callers")
            requests = []
            for path, body in (
                (LETTERS_PATH, {"input": {"prompt": PROMPT}, "max_tokens": 3}),
                (BOOKINGS_PATH, {"input": {"reference": REFERENCE}}),
                (LETTERS_PATH, {"input": {"prompt": PROMPT}, "colour": PROMPT}),
            ):
                headers = {"Idempotency-Key": "secret-key-of-the-caller"}
                async with session.post(
                    address + path, json=body, headers=headers
                ) as response:
                    requests.append((await response.json()).get("request"))
            secrets = [deployment.caller_key, *deployment.operator_keys.values()]
        return requests[:2], [*secrets, PROMPT, REFERENCE, "secret-key-of-the-caller"]

    try:
        requests, secrets = run_async(play())
    finally:
        configure_logs("error")
    text = stream.getvalue()
    lines = [orjson.loads(line) for line in text.splitlines()]
    routed = {
        line["request"]: line for line in lines if line["event"] == "routing_decision"
    }
    assert set(requests) <= set(routed)
    for name in requests:
        assert routed[name]["targets"]
        assert routed[name]["weighed"] > 0
    assert not [secret for secret in secrets if secret in text]


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    content = b""
    try:
        while piece := os.read(descriptor, 65_536):
            content += piece
    except BlockingIOError:
        pass
    return content


def test_reader_that_does_not_read_never_blocks_the_writer():
    reader, writer = os.pipe()
    stream = BoundedStream(writer, max_pending_bytes=50_000)
    for number in range(20_000):
        stream.write(f"line {number}\n")
    assert stream.dropped > 0
    seen = read_all(reader)
    stream.write("after\n")
    seen += read_all(reader)
    stream.write("last\n")
    seen += read_all(reader)
    lines = seen.decode().splitlines()
    kept = [line for line in lines if line.startswith("line ")]
    assert kept == [f"line {number}" for number in range(len(kept))]
    assert f'"count": {20_000 - len(kept)}' in seen.decode()
    assert lines[-1] == "last"
    os.close(reader)
    stream.write("nobody reads this\n")
    os.close(writer)


def test_trail_takes_little_more_memory_than_its_lines_have_bytes():
    trail, count = DecisionTrail(), 500
    fields = {f"field-{number}": "x" * 20 for number in range(15)}
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(count):
        trail(None, "info", {"request": f"try-{number}", **fields})
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert after - before <= count * 2 * 500


def test_texts_of_callers_are_cut_in_lines_and_not_kept_as_names():
    stream = io.StringIO()
    configure_logs(stream=stream)
    name = "long-" * 2_000
    structlog.get_logger().info("request_refused", request=name, path=name)
    configure_logs("error")
    assert len(stream.getvalue()) < 3_000
    assert TRAIL.find(name) == []
