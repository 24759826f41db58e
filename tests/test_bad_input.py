"""Invalid input gets a typed error and doesn't affect other requests."""

import contextlib
import json
import socket

import httpcore
import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.interface import _rpc
from standins import engine
from tests import builders

pytestmark = pytest.mark.anyio

REQUEST_TYPES = [
    pb.GenerateRequest,
    pb.CallRequest,
    pb.ApplyRequest,
    pb.DrainRequest,
]
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["model", "prompt", "deployment", "headers"])
            | st.text(max_size=5),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


@hypothesis.given(
    st.binary(max_size=200)
    | _JSON.map(lambda value: json.dumps(value).encode()),
    st.sampled_from(REQUEST_TYPES),
)
@hypothesis.example(b"[" * 100_000, pb.ApplyRequest)
@hypothesis.example(b'{"model": "\\ud800"}', pb.GenerateRequest)
@hypothesis.example(b'{"max_tokens": 1e99}', pb.GenerateRequest)
def test_any_body_is_parsed_or_refused_with_a_finding(body, request_type):
    result = _rpc.parse_request(body, request_type)
    if result.is_error():
        assert result.error.code.wire_name == "invalid_argument"
        assert result.error.execution.value == "NOT_RUN"
        assert result.error.findings[0].place == "body"


async def _check_valid_request(fleet) -> None:
    """Check that a valid request gets its complete answer."""
    answer = await fleet.call(
        fleet.instances[0],
        "Inference/Generate",
        model="notes",
        prompt="p",
        max_tokens=3,
    )
    expected = "".join(engine.expected_tokens("notes", "", "p", 3))
    assert answer.body["text"] == expected


async def _start_instance(fleet):
    backend = fleet.engine({"notes": "1"})
    instance = fleet.instance(max_request_bytes=5000)
    await fleet.ready()
    await builders.declare(fleet, instance, builders.engines([backend]))
    await builders.serving(fleet, instance, 1)
    return instance


async def test_each_kind_of_bad_request_has_its_typed_error(fleet):
    instance = await _start_instance(fleet)
    generate = "/geraniumlink.v1.Inference/Generate"
    cases = [
        (generate, {"model": "none"}, 404, "not_found"),
        (generate, {"model": "notes", "adapter": "a"}, 404, "not_found"),
        (generate, {}, 400, "invalid_argument"),
        (generate, {"model": "notes", "size": 1}, 400, "invalid_argument"),
        (generate, {"model": "n" * 6000}, 400, "invalid_argument"),
        (
            generate,
            {"model": "notes", "priority": 10},
            400,
            "invalid_argument",
        ),
        (generate, ["model"], 400, "invalid_argument"),
        ("/geraniumlink.v1.Inference/Guess", {}, 404, "not_found"),
        ("/metrics", {}, 404, "not_found"),
    ]
    for path, body, status, code in cases:
        answer = await fleet.post(instance, path, body)
        assert (answer.status, answer.body["code"]) == (status, code)
        assert answer.body["execution"] == "NOT_RUN"
        assert answer.body["request_id"]
    wrong_method = await fleet.post(instance, generate, {}, "PUT")
    assert wrong_method.body["findings"][0]["place"] == "method"
    await _check_valid_request(fleet)


async def test_a_passed_deadline_is_reported(fleet):
    instance = await _start_instance(fleet)
    slow_engine = next(
        p for p in fleet.processes if p.name.startswith("engine")
    )
    await fleet.faults(slow_engine, token_ms=60_000)
    answer = await fleet.call(
        instance, "Inference/Generate", model="notes", timeout_ms=50
    )
    assert answer.status == 504
    assert answer.body["code"] == "deadline_exceeded"
    await fleet.faults(slow_engine, token_ms=1)
    await _check_valid_request(fleet)


@pytest.mark.parametrize(
    "sent",
    [
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\n{",
        b"POST /geraniumlink.v1.Inference/Generate HTTP/1.1\r\nHost: a\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n5\r\n{",
        b"\x16\x03\x01\x00\xa5\x01\x00",
        b"GET " + b"a" * 100_000,
    ],
)
async def test_an_incomplete_request_affects_no_other_request(fleet, sent):
    instance = await _start_instance(fleet)
    with socket.create_connection(("127.0.0.1", instance.port)) as client:
        with contextlib.suppress(ConnectionError):
            client.sendall(sent)
    await _check_valid_request(fleet)


async def test_a_connection_stays_usable_after_errors(fleet):
    instance = await _start_instance(fleet)
    url = f"http://{instance.address}/geraniumlink.v1.Inference/Generate"
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        for body in (b"{", b'{"model": "none"}', b'{"model": "notes"}'):
            answer = await pool.request("POST", url, content=body)
        assert answer.status == 200
        assert answer.extensions["network_stream"] is not None
        assert len(pool.connections) == 1
