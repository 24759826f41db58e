"""Calls reach plain services, and their answers come back, unchanged."""

import base64

import pytest

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.requests import _calls
from tests import builders

pytestmark = pytest.mark.anyio
CALL = "/geraniumlink.v1.Calls/Call"
BINARY = bytes(range(256))


async def served(fleet, servers=1):
    services = [fleet.plain_service() for _ in range(servers)]
    instance = fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, instance, builders.plain(services))
    return instance, services


async def call(fleet, instance, **fields):
    request = {"service": "booking", "method": "GET", "path": "/stock"}
    request |= {"idempotent": True} | fields
    return await fleet.post(instance, CALL, request)


def header(name, value):
    return {"name": name, "value": value}


def values(answer, name):
    headers = answer.body["headers"]
    return [one["value"] for one in headers if one["name"].lower() == name]


@pytest.mark.parametrize("idempotent", [True, False])
async def test_method_headers_status_and_body_pass_unchanged(
    fleet, idempotent
):
    instance, (service,) = await served(fleet)
    path = "/shops/1;b=2/%C3%A9?after=%2F&after=2&empty="
    for method in ("POST", "PUT", "PATCH", "DELETE", "GET"):
        answer = await call(
            fleet,
            instance,
            method=method,
            path=path,
            headers=[
                header("X-Echo", "one"),
                header("X-Status", "418"),
                header("X-Echo", "two, three"),
            ],
            body=base64.b64encode(BINARY).decode(),
            idempotent=idempotent,
            idempotency_key=builders.key(),
        )
        assert answer.body["status"] == 418
        assert values(answer, "x-echo") == ["one", "two, three"]
        assert values(answer, "x-method") == [method]
        assert base64.b64decode(answer.body["body"]) == BINARY
        run = (await fleet.record(service))["runs"][-1]
        assert f"{run['path']}?{run['query']}" == path
        sent = [value for name, value in run["headers"] if name == "x-echo"]
        assert sent == ["one", "two, three"]


@pytest.mark.parametrize("idempotent", [True, False])
async def test_answers_without_a_body_pass_unchanged(fleet, idempotent):
    instance, _ = await served(fleet)
    for method, status in (("HEAD", 200), ("DELETE", 204), ("GET", 200)):
        answer = await call(
            fleet,
            instance,
            method=method,
            headers=[header("X-Status", str(status))],
            idempotent=idempotent,
            idempotency_key=builders.key(),
        )
        assert answer.body["status"] == status
        assert not answer.body.get("body")


async def test_an_idempotent_call_is_repeated_at_another_server(fleet):
    instance, services = await served(fleet, servers=2)
    for service in services:
        await fleet.faults(service, lose_answers=1)
    answer = await call(fleet, instance)
    assert answer.status == 503
    assert answer.body["execution"] == "MAY_HAVE_RUN"
    await fleet.faults(services[0], lose_answers=1)
    assert (await call(fleet, instance)).status == 200


async def test_a_deadline_does_not_deny_a_run_under_way(fleet):
    instance, (service,) = await served(fleet)
    await fleet.faults(service, hold=True)
    for idempotent in (True, False):
        answer = await call(
            fleet,
            instance,
            idempotent=idempotent,
            idempotency_key=builders.key(),
            timeout_ms=300,
        )
        assert answer.body["code"] == "deadline_exceeded"
        assert answer.body["execution"] == "MAY_HAVE_RUN"


async def test_only_plain_services_are_called(fleet):
    engine = fleet.engine({"notes": "1"})
    instance = fleet.instance()
    await fleet.ready()
    await builders.declare(fleet, instance, builders.engines([engine]))
    for service in ("assistant", "absent"):
        for idempotent in (True, False):
            answer = await call(
                fleet,
                instance,
                service=service,
                idempotent=idempotent,
                idempotency_key=builders.key(),
            )
            assert answer.body["code"] == "not_found"
            assert answer.body["execution"] == "NOT_RUN"


@pytest.mark.parametrize(
    "place, fields",
    [
        ("method", {"method": "CONNECT"}),
        ("path", {"path": "stock"}),
        ("path", {"path": "/stock#1"}),
        ("body", {"body": bytes(2**20 + 1)}),
        ("headers[0].name", {"headers": [header("Connection", "x")]}),
        ("headers[0].name", {"headers": [header("X\n", "x")]}),
        ("headers[0].value", {"headers": [header("X-A", "x\r\nb")]}),
        ("headers[0].value", {"headers": [header("X-A", " x")]}),
        ("timeout_ms", {"timeout_ms": 600_001}),
    ],
)
async def test_a_fault_of_a_call_is_found_before_anything_is_sent(
    place, fields
):
    request = pb.CallRequest(
        **({"service": "booking", "method": "GET", "path": "/"} | fields)
    )
    found = _calls.validate(request).all()
    assert [finding.place for finding in found] == [place]
