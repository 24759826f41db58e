"""Tests the command line against a running instance."""

import argparse
import asyncio
import json
import sys

import anyio
import pytest

from geraniumlink.interface import _client
from tests import builders

pytestmark = pytest.mark.anyio


async def run_command(instance, *arguments):
    """Run a command against an instance; return exit code and outputs."""
    command, *rest = arguments
    process = await anyio.run_process(
        [sys.executable, "-m", "geraniumlink", command]
        + ["--to", instance.address, *rest],
        check=False,
    )
    return process.returncode, process.stdout.decode(), process.stderr.decode()


@pytest.fixture
async def instance(fleet):
    result = fleet.instance()
    await fleet.ready()
    return result


async def test_apply_diff_drain_retire_and_history(fleet, instance, tmp_path):
    backend = fleet.engine({"notes": "1"})
    path = tmp_path / "assistant.json"
    deployment = builders.engines([backend])
    path.write_text(json.dumps(deployment))
    change_options = ("--author", "bekele", "--wait")

    code, out, err = await run_command(
        instance, "apply", str(path), *change_options
    )
    assert code == 0
    assert "accepted as version" in out
    assert "in force at 1 of 1 instances" in err

    deployment["models"][0]["version"] = "2"
    path.write_text(json.dumps(deployment))
    code, out, _ = await run_command(instance, "diff", str(path))
    assert (code, out) == (0, "models.notes.version: 1 -> 2\n")

    code, _, err = await run_command(
        instance,
        "apply",
        str(path),
        *change_options,
        "--expected-version",
        "0",
    )
    assert code == 1
    assert "changed by 'bekele'" in err

    code, out, _ = await run_command(
        instance, "drain", "assistant", "r0", *change_options
    )
    assert code == 0
    code, out, _ = await run_command(instance, "status", "--json")
    assert json.loads(out)["replicas"][0]["state"] == "draining"

    code, out, _ = await run_command(
        instance, "retire", "assistant", *change_options
    )
    assert code == 0
    code, out, _ = await run_command(instance, "get")
    assert out == "nothing is declared\n"
    code, out, _ = await run_command(instance, "history", "assistant")
    actions = [line.split()[2] for line in out.splitlines()]
    assert actions == ["retire", "drain", "apply"]


async def test_bad_input_exits_with_2_and_all_findings(instance, tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"name": "A!", "kind": "PLAIN_SERVICE"}')
    code, _, err = await run_command(
        instance, "apply", str(path), "--author", "m"
    )
    assert code == 2
    assert "name: write 1 to 63" in err
    assert "replicas: declare at least one" in err
    for text in ("{", "[]"):
        path.write_text(text)
        code, _, _ = await run_command(
            instance, "apply", str(path), "--author", "m"
        )
        assert code == 2


async def test_unavailability_exits_with_3(fleet, instance):
    await fleet.faults(fleet.object_api, outage=True)
    arguments = ("retire", "x", "--author", "m", "--expected-version", "1")
    code, _, err = await run_command(instance, *arguments)
    assert code == 3
    assert "MAY_HAVE_RUN" in err
    instance.kill()
    code, _, err = await run_command(instance, "status")
    assert code == 3
    assert "does not answer" in err


async def test_call_prints_the_stream_or_the_refusal(fleet, instance):
    backend = fleet.engine({"notes": "1"})
    await builders.declare(fleet, instance, builders.engines([backend]))
    await builders.serving(fleet, instance, 1)
    body = '{"model": "notes", "max_tokens": 2}'
    method = "Inference/GenerateStream"
    code, out, _ = await run_command(instance, "call", method, body)
    assert code == 0
    assert json.loads(out.splitlines()[-1])["end"] == {"token_count": 2}
    code, out, _ = await run_command(instance, "call", method, "{}")
    assert code == 1
    assert json.loads(out)["code"] == "invalid_argument"


@pytest.mark.parametrize("status", ("000", "099", "101", "0", "600", "999"))
async def test_an_unknown_status_is_taken_for_a_response(status):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\n"
        writer.write(head.encode() + b"{}")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    options = argparse.Namespace(to=f"{host}:{port}", json=False)
    async with server:
        for call, body in (
            (_client.call_unary, {}),
            (_client.call_and_print, b"{}"),
        ):
            try:
                code = await anyio.to_thread.run_sync(
                    call, options, "Operator/Status", body
                )
            except _client.CommandError as error:
                code = error.code
            assert code is _client.Exit.NO_ANSWER
