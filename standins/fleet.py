"""Starts stand-ins and instances as separate processes on loopback.

For tests, benches and the demonstration. Every process is ended by its own
id when the fleet is closed.
"""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator, Callable, Iterator
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import anyio
import httpcore

ROOT = pathlib.Path(__file__).resolve().parent.parent
WAIT_S = 60.0
_POLL_S = 0.03
_FIRST_PORT = 10_000
_BLOCK_PORTS = 500
_BLOCKS = 44


class Answer(typing.NamedTuple):
    """A status and the JSON lines that came with it."""

    status: int
    lines: list[dict]
    headers: dict[str, str]

    @property
    def body(self) -> dict:
        return self.lines[-1] if self.lines else {}


class Process:
    """One process of the fleet and the ports it listens on."""

    def __init__(
        self,
        name: str,
        command: list[str],
        port: int,
        log: pathlib.Path,
        peer_port: int = 0,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.port = port
        self.peer_port = peer_port
        self.log = log
        self._command = command
        self._environment = environment or {}
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    @property
    def pid(self) -> int:
        if self._process is None:
            raise RuntimeError(f"{self.name} is not started")
        return self._process.pid

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def peak_kb(self) -> int:
        """Return the largest resident memory so far."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        (line,) = (t for t in status.splitlines() if t.startswith("VmHWM"))
        return int(line.split()[1])

    def start(self) -> None:
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}",
                    "SHIV_ROOT": str(self.log.parent / "shiv"),
                    **self._environment,
                },
            )

    def send(self, number: signal.Signals) -> None:
        if self.running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        self.send(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        self.send(signal.SIGTERM)

    def wait(self) -> int:
        if self._process is None:
            return 0
        return self._process.wait(WAIT_S)


class Fleet:
    """The processes of one test, all on free loopback ports."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[Process] = []
        self.pool = httpcore.AsyncConnectionPool(max_connections=2000)
        self.object_api = self.stand_in("object_api")
        self.instance_list = self.stand_in("instance_list")
        self.instances: list[Process] = []

    def stand_in(self, module: str, *arguments: str) -> Process:
        """Start a stand-in by its module's name."""
        port = free_port()
        command = [sys.executable, "-m", f"standins.{module}"]
        command += ["--port", str(port), *arguments]
        return self._start(f"{module}-{port}", command, port)

    def engine(
        self, resident: dict[str, str] | None = None, *arguments: str
    ) -> Process:
        options = list(arguments)
        for model, version in (resident or {}).items():
            options += ["--resident", f"{model}={version}"]
        return self.stand_in("engine", *options)

    def plain_service(self) -> Process:
        return self.stand_in("plain_service")

    def link(self, to: str) -> tuple[Process, str]:
        """Start a link; return it and the address that it relays."""
        relay_port = free_port()
        process = self.stand_in(
            "link", "--relay-port", str(relay_port), "--to", to
        )
        return process, f"127.0.0.1:{relay_port}"

    def instance(
        self,
        name: str = "",
        data_centre: str = "debark",
        binary: str = "",
        object_api: str = "",
        **settings: object,
    ) -> Process:
        """Start an instance; ``settings`` replace those of the sections.

        It runs from the source tree unless a ``binary`` is given.
        ``object_api`` is the address of a link to it, if one is used.
        """
        name = name or f"i{len(self.instances) + 1}"
        port, peer_port = free_port(), free_port()
        path = self.folder / f"{name}.ini"
        path.write_text(
            self._settings(
                name, data_centre, port, peer_port, object_api, settings
            )
        )
        program = [sys.executable, "-m", "geraniumlink"]
        if binary:
            program = [sys.executable, binary]
        command = [*program, "serve", str(path)]
        process = self._start(name, command, port, peer_port)
        self.instances.append(process)
        return process

    def hosted(
        self,
        settings: dict[str, typing.Any],
        *arguments: str,
        module: str = "geraniumlink.hosting",
        environment: dict[str, str] | None = None,
    ) -> Process:
        """Start an instance as the users' platform does."""
        name = settings["node_name"]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self._start(
            name,
            [sys.executable, "-m", module, *arguments],
            int(settings["listen"]["front"].rpartition(":")[2]),
            environment={
                "GERANIUMLINK_NODE_FILE": str(path),
                **(environment or {}),
            },
        )

    def _settings(
        self,
        name: str,
        data_centre: str,
        port: int,
        peer_port: int,
        object_api: str,
        settings: dict[str, object],
    ) -> str:
        timing = {
            "heartbeat_ms": 200,
            "report_ms": 200,
            "drain_lag_ms": 500,
            "lease_ms": 2000,
        }
        limits: dict[str, int] = {}
        for key, value in settings.items():
            section = timing if key.endswith("_ms") else limits
            section[key] = typing.cast(int, value)
        lines = [
            "[instance]",
            f"name = {name}",
            f"data_centre = {data_centre}",
            f"address = 127.0.0.1:{port}",
            f"peer_address = 127.0.0.1:{peer_port}",
            "[platform]",
            f"object_api = {object_api or self.object_api.address}",
            f"instance_list = {self.instance_list.address}",
            "[limits]",
            *(f"{key} = {value}" for key, value in limits.items()),
            "[timing]",
            *(f"{key} = {value}" for key, value in timing.items()),
        ]
        return "\n".join(lines) + "\n"

    def _start(
        self,
        name: str,
        command: list[str],
        port: int,
        peer_port: int = 0,
        environment: dict[str, str] | None = None,
    ) -> Process:
        log = self.folder / f"{name}.log"
        process = Process(name, command, port, log, peer_port, environment)
        process.start()
        self.processes.append(process)
        return process

    async def list_instance(self, process: Process, state: str) -> None:
        """Enter an instance into the platform's instance list."""
        body = {"address": f"127.0.0.1:{process.peer_port}", "state": state}
        await self.post(
            self.instance_list, f"/instances/{process.name}", body, "PUT"
        )

    async def ready(self) -> None:
        """Wait until everything that runs answers."""
        for process in self.processes:
            if process.running and process not in self.instances:
                await self.answers(process.port, "/record")
        for process in self.instances:
            if process.running:
                await self.answers(process.peer_port, "/ready")
                await self.list_instance(process, "live")

    async def answers(self, port: int, path: str) -> None:
        async def answered() -> bool:
            answer = await self.get(port, path)
            return answer is not None and answer.status == 200

        await self.until(answered, f"port {port} answers {path}")

    async def until(
        self, condition: Callable[[], typing.Any], what: str
    ) -> None:
        """Wait for a condition, which may be asynchronous."""
        give_up = time.monotonic() + WAIT_S
        while time.monotonic() < give_up:
            holds = condition()
            if hasattr(holds, "__await__"):
                holds = await holds
            if holds:
                return
            await anyio.sleep(_POLL_S)
        raise TimeoutError(f"not within {WAIT_S} s: {what}")

    async def get(self, port: int, path: str) -> Answer | None:
        """Return an answer, or None when there is none."""
        try:
            response = await self.pool.request(
                "GET",
                f"http://127.0.0.1:{port}{path}",
                extensions={"timeout": {"connect": 2.0, "read": 5.0}},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return None
        except httpcore.ProtocolError:
            return None
        return _answer(response.status, response.headers, response.content)

    async def post(
        self, process: Process, path: str, body: object, method: str = "POST"
    ) -> Answer:
        response = await self.pool.request(
            method,
            f"http://{process.address}{path}",
            content=json.dumps(body).encode(),
            extensions={"timeout": {"connect": 5.0, "read": 120.0}},
        )
        return _answer(response.status, response.headers, response.content)

    async def call(
        self, process: Process, method: str, /, **body: object
    ) -> Answer:
        """Call a method of the schema, such as ``Operator/Apply``."""
        return await self.post(process, f"/geraniumlink.v1.{method}", body)

    async def faults(self, process: Process, **switches: object) -> None:
        await self.post(process, "/faults", switches)

    async def record(self, process: Process) -> typing.Any:
        answer = await self.get(process.port, "/record")
        if answer is None:
            raise RuntimeError(f"{process.name} has no record now")
        return answer.body

    async def close(self) -> None:
        """End every process of the fleet."""
        await self.pool.aclose()
        for process in self.processes:
            process.thaw()
            process.send(signal.SIGKILL)
        for process in self.processes:
            process.wait()


class _Ports:
    """Ports that no other program that starts fleets takes meanwhile.

    A process is given its port before it listens there, and may be restarted,
    so whether a port is bound doesn't tell. A block of ports belongs to the
    program that has bound its first one, until that program ends.
    """

    def __init__(self, first_block: int) -> None:
        self._next_block = first_block
        self._own: collections.deque[int] = collections.deque()

    def take(self) -> int:
        """Return a port that nobody has bound, the least recent one first."""
        while True:
            for _ in range(len(self._own)):
                port = self._own[0]
                self._own.rotate(-1)
                with contextlib.suppress(OSError), _bind(port):
                    return port
            self._own.extendleft(self._claim_block())

    def _claim_block(self) -> Iterator[int]:
        """Return the ports of another block, the last one first."""
        for _ in range(_BLOCKS):
            block = self._next_block % _BLOCKS
            first = _FIRST_PORT + block * _BLOCK_PORTS
            self._next_block += 1
            with contextlib.suppress(OSError):
                # Open until the program ends.
                _bind(first).detach()
                return reversed(range(first + 1, first + _BLOCK_PORTS))
        raise RuntimeError("other programs have all blocks of ports")


def _bind(port: int) -> socket.socket:
    """Return a socket that has a port; raise ``OSError`` if it can't."""
    bound = socket.socket()
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        raise
    return bound


_ports = _Ports(os.getpid())


def free_port() -> int:
    """Return a port that nobody has.

    Ports lie below those that the kernel gives to outgoing connections, one
    of which could otherwise take it before the process listens.
    """
    return _ports.take()


def _answer(
    status: int, headers: list[tuple[bytes, bytes]], content: bytes
) -> Answer:
    lines = []
    for line in content.splitlines():
        try:
            lines.append(json.loads(line))
        except ValueError:
            lines.append({"text": line.decode("latin-1")})
    named = {
        name.decode().lower(): value.decode("latin-1")
        for name, value in headers
    }
    return Answer(status, lines, named)


@contextlib.asynccontextmanager
async def start(folder: pathlib.Path | None = None) -> AsyncIterator[Fleet]:
    """Yield a fleet with an object API and an instance list running."""
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(folder or pathlib.Path(temporary))
        try:
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.close()
