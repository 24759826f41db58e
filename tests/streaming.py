"""Opens streams as a caller does, and tells whole answers from others."""

import contextlib
import json

from standins import engine


class Stream:
    """A GenerateStream that is read line by line."""

    def __init__(self, lines) -> None:
        self._lines = lines
        self.received = []

    async def read(self, count) -> None:
        """Read until this many lines have come, or the end."""
        while len(self.received) < count:
            line = await anext(self._lines, None)
            if line is None:
                return
            self.received.append(line)

    async def finish(self) -> list:
        """Read to the end; return every line."""
        async for line in self._lines:
            self.received.append(line)
        return self.received


@contextlib.asynccontextmanager
async def open_stream(fleet, instance, prompt, count=100, **fields):
    """Open a stream; leaving the block closes its connection."""
    body = {"model": "notes", "prompt": prompt, "max_tokens": count} | fields
    async with fleet.pool.stream(
        "POST",
        f"http://{instance.address}/geraniumlink.v1.Inference/GenerateStream",
        content=json.dumps(body).encode(),
        extensions={"timeout": {"connect": 5.0, "read": 60.0}},
    ) as response:
        lines = _lines(response)
        async with contextlib.aclosing(lines):
            yield Stream(lines)


async def _lines(response):
    pending = b""
    async for part in response.aiter_stream():
        *lines, pending = (pending + part).split(b"\n")
        for line in lines:
            yield json.loads(line)


async def generate(fleet, instance, prompt, count=100, **fields) -> list:
    """Return all lines of one GenerateStream."""
    answer = await fleet.call(
        instance,
        "Inference/GenerateStream",
        model="notes",
        prompt=prompt,
        max_tokens=count,
        **fields,
    )
    return answer.lines


def text_of(lines) -> str:
    return "".join(line.get("text", "") for line in lines)


def expected(prompt, count=100) -> str:
    return "".join(engine.expected_tokens("notes", "", prompt, count))


def assert_whole(lines, prompt, count=100) -> None:
    """Require the whole true answer, at contiguous offsets, and its end."""
    assert "error" not in lines[-1], lines[-1]
    assert lines[-1]["end"] == {"token_count": count}
    offset = 0
    for line in lines[:-1]:
        assert line.get("offset", 0) == offset
        offset += line["token_count"]
    assert offset == count
    assert text_of(lines) == expected(prompt, count)
