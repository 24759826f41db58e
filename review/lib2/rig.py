"""What the scripts of this review share: stand-ins, instances, a record.

The stand-ins (the platform's store, replicas, clients) run in the script's
own process, on the standard library alone. The instances are the project's
own program, started with the command of ``deploy/system.toml``; each has a
loopback address of its own, so that all may use the same port for metrics.
Nothing here decides whether a rule was broken; the scripts do.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
_NET = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
_hosts = itertools.count(1)
_started_at = time.monotonic()


def now() -> float:
    """Return seconds since the script began."""
    return time.monotonic() - _started_at


def new_host() -> str:
    """Return a loopback address that nothing else here uses."""
    return f"{_NET}.{next(_hosts)}"


def free_port(host: str) -> int:
    with socket.socket() as bound:
        bound.bind((host, 0))
        return bound.getsockname()[1]


class Record:
    """Lines of what was sent, answered and run, for ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / "record.txt"
        self._lines: list[str] = []

    def note(self, text: str, at: float | None = None) -> None:
        self._lines.append(f"{now() if at is None else at:9.3f}  {text}")

    def write(self) -> None:
        self._path.write_text("\n".join(sorted(self._lines)) + "\n")


# --- HTTP ----------------------------------------------------------------


class Message:
    """A request that was read."""

    def __init__(self, method: str, target: str, headers, body: bytes) -> None:
        self.method, self.target = method, target
        self.headers: dict[str, str] = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if length := int(headers.get("content-length", 0)):
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Message(method, target, headers, body)


def whole(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} -", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Answered:
    """What a client saw of one request."""

    def __init__(self, request_id: str, sent_at: float) -> None:
        self.id, self.sent_at = request_id, sent_at
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        # "whole", "closed" (no whole answer), "refused" (no connection).
        self.end = ""
        self.ended_at = 0.0


_ids = itertools.count(1)


async def ask(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    deadline_ms: int = 4000,
) -> Answered:
    """Send one request on a new connection, as a client does."""
    request_id = f"{next(_ids):06d}{random.getrandbits(32):08x}"
    sent = Answered(request_id, now())
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"X-Request-Id: {request_id}",
                f"X-Deadline-Ms: {deadline_ms}",
                *(f"{n}: {v}" for n, v in (headers or {}).items()),
            ]
            if method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = await reader.readuntil(b"\r\n\r\n")
            first, *rest = head.decode("latin-1").split("\r\n")[:-2]
            sent.status = int(first.split(" ")[1])
            for line in rest:
                name, _, value = line.partition(":")
                sent.headers[name.strip().lower()] = value.strip()
            if "content-length" in sent.headers:
                sent.body = await reader.readexactly(
                    int(sent.headers["content-length"])
                )
            else:
                sent.body = await _read_chunks(reader)
            sent.end = "whole"
    except ConnectionRefusedError:
        sent.end = "refused"
    except TimeoutError:
        sent.end = "deadline"
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        sent.end = "closed"
    finally:
        if writer is not None:
            writer.close()
    sent.ended_at = now()
    return sent


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return body
        body += part[:-2]


class Servers:
    """Base of the stand-ins: listens, and keeps track of connections."""

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()
        self._listening: list[asyncio.Server] = []

    async def listen(self, host: str, tag: str = "") -> str:
        port = free_port(host)

        async def serve(reader, writer) -> None:
            self.writers.add(writer)
            task = asyncio.current_task()
            writer.task = task
            try:
                await self.serve(reader, writer, tag)
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()

        self._listening.append(
            await asyncio.start_server(serve, host, port, limit=2**22)
        )
        return f"{host}:{port}"

    async def serve(self, reader, writer, tag: str) -> None:
        raise NotImplementedError

    def die(self) -> None:
        """End like a process: the listener and all connections close."""
        for server in self._listening:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()
            writer.task.cancel()


# --- the platform's store ------------------------------------------------


class Store(Servers):
    """The platform's metadata store, as PROTOCOL.md describes it.

    Each instance reaches it at an address of its own, its ``tag``. Faults:
    ``cut`` (tags from which nothing passes either way), ``silent`` (single
    connections on which nothing passes any more), ``lose_answer`` (a function
    that tells of each write whether it is done and not answered).
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 100
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.cut: set[str] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.lose_answer = lambda tag, kind, name, spec: False
        # Called with tag, kind, connection when a watch begins to wait.
        self.on_watch = lambda tag, kind, writer: None
        # Called with tag, kind, name, spec after a write was answered.
        self.on_write = lambda tag, kind, name, spec: None
        # Called with tag, kind, objects as changes are handed out.
        self.on_events = lambda tag, kind, names: None
        self._changed = asyncio.Event()

    def write(self, kind: str, name: str, spec) -> float:
        """Write as the operator or a replica; return when it's accepted."""
        self._put(kind, name, spec)
        return now()

    def remove(self, kind: str, name: str) -> float:
        found = self.objects.pop((kind, name))
        self._note(kind, found, True)
        return now()

    def spec(self, kind: str, name: str):
        found = self.objects.get((kind, name))
        return found and found["spec"]

    def _put(self, kind: str, name: str, spec) -> dict:
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        found = {
            "metadata": {
                "name": name,
                "revision": self.revision + 1,
                "created": known["metadata"]["created"]
                if known
                else self.revision + 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = found
        self._note(kind, found, False)
        return found

    def _note(self, kind: str, found: dict, deleted: bool) -> None:
        self.revision += 1
        self.history.append((self.revision, kind, found, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    def _blocked(self, tag: str, writer) -> bool:
        return tag in self.cut or writer in self.silent

    async def serve(self, reader, writer, tag: str) -> None:
        while (message := await read_message(reader)) is not None:
            if self._blocked(tag, writer):
                # What comes from a cut machine is not delivered.
                await asyncio.sleep(3600)
            answer = await self._answer(message, tag, writer)
            if answer is None or self._blocked(tag, writer):
                await asyncio.sleep(3600)
            # The store answers in 4 ms.
            await asyncio.sleep(0.004)
            status, content = answer
            writer.write(
                whole(
                    status,
                    json.dumps(content).encode(),
                    "Content-Type: application/json",
                )
            )
            await writer.drain()

    async def _answer(self, message: Message, tag: str, writer):
        url = urllib.parse.urlsplit(message.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[1:]]
        if parts[:2] != ["v1", "objects"] or len(parts) not in (3, 4):
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) == 4 else None
        if message.method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, query, tag, writer)
            items = sorted(
                (o for (k, _), o in self.objects.items() if k == kind),
                key=lambda o: o["metadata"]["name"],
            )
            after = query.get("after", "")
            items = [o for o in items if o["metadata"]["name"] > after]
            return 200, {
                "items": items[:500],
                "more": len(items) > 500,
                "store_revision": self.revision,
            }
        if message.method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        content = json.loads(message.body or b"{}")
        if message.method == "POST":
            name = content["metadata"]["name"]
            found = self.objects.get((kind, name))
            if found is not None:
                return 409, found
        elif message.method == "PUT":
            found = self.objects.get((kind, name))
            if found is None:
                return 404, {}
            expected = content["metadata"].get("revision")
            if expected not in (None, found["metadata"]["revision"]):
                return 409, found
        elif message.method == "DELETE":
            found = self.objects.get((kind, name))
            if found is None:
                return 404, {}
            self.remove(kind, name)
            return 200, found
        stored = self._put(kind, name, content["spec"])
        self.record.note(f"store: write: {kind}/{name} from {tag}")
        if self.lose_answer(tag, kind, name, content["spec"]):
            self.record.note(f"store: answer lost: {kind}/{name} from {tag}")
            return None
        self.on_write(tag, kind, name, content["spec"])
        return 200, stored

    async def _watch(self, kind: str, query, tag: str, writer):
        after, give_up = int(query["watch"]), int(query["wait_ms"]) / 1000
        give_up += time.monotonic()
        self.on_watch(tag, kind, writer)
        while not (events := self._since(kind, after)):
            left = give_up - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()
        if events and not self._blocked(tag, writer):
            self.on_events(
                tag, kind, [e["object"]["metadata"]["name"] for e in events]
            )
        return 200, {"events": events, "store_revision": self.revision}

    def _since(self, kind: str, after: int) -> list[dict]:
        return [
            {"object": found, "deleted": deleted}
            for revision, of_kind, found, deleted in self.history
            if revision > after and of_kind == kind
        ]


# As the sites have them: heartbeat_ms, an adapter's load, and places for
# adapters; "some hundred ms" of age of what a report says.
HEARTBEAT_S = 1.2
ADAPTER_S = 0.007
ADAPTER_SLOTS = 8
LAG_S = 0.2

# --- replicas ------------------------------------------------------------


class Replica(Servers):
    """A replica of a plain service, or of a model service.

    :param models: those that it holds at first; None for a plain service.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        *,
        work_ms: int = 40,
        slots: int = 64,
        models: list[str] | None = None,
    ) -> None:
        super().__init__()
        self.store, self.record = store, record
        self.name, self.service = name, service
        self.work_ms, self.slots = work_ms, slots
        self.models = None if models is None else {m: [] for m in models}
        self.address = ""
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.dead = False
        # (arrived at, id, "whole", "cut" or "dropped").
        self.runs: list[list] = []
        # (arrived at, holder, fencing token, order, status).
        self.orders: list[tuple] = []
        self._running = 0
        # Runs by model and adapter; adapters on their way; what goes when its
        # runs have ended.
        self._used: dict[str, int] = {}
        self._pending: set[str] = set()
        self._leaving: set[str] = set()
        # Reports as they were, the oldest first; they lag by LAG_S.
        self._reports: list[tuple[float, dict]] = []
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        self.address = await self.listen(new_host())
        self.beat()
        if self.models is not None:
            self._tasks.append(asyncio.create_task(self._live()))

    async def _live(self) -> None:
        """Heartbeat every 1.2 s; keep what lagging reports say."""
        beat_at = now() + HEARTBEAT_S
        while not self.dead:
            self._reports.append((now(), self._report()))
            while len(self._reports) > 1 and (
                self._reports[1][0] < now() - LAG_S
            ):
                self._reports.pop(0)
            if now() >= beat_at:
                beat_at += HEARTBEAT_S
                # Nothing is written unless more than `sequence` changes.
                self.beat()
            await asyncio.sleep(0.05)

    def entry(self) -> dict:
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.models is not None:
            entry["stage"] = "unified"
            entry["models"] = self._held()
        return entry

    def beat(self) -> float:
        """Write the entry; return when the store has accepted it."""
        return self.store.write("servers", self.name, self.entry())

    def drain(self) -> float:
        """Report that it leaves; return when the store has accepted it."""
        self.state = "draining"
        return self.beat()

    def vanish(self) -> float:
        """Have the entry removed; return when the store has done that."""
        return self.store.remove("servers", self.name)

    def end(self) -> None:
        """Exit, whatever is running."""
        self.dead = True
        for run in self.runs:
            if run[2] == "running":
                run[2] = "cut"
        self.die()

    def _held(self) -> list[dict]:
        return [
            {"name": model, "version": 1, "adapters": list(adapters)}
            for model, adapters in (self.models or {}).items()
        ]

    async def serve(self, reader, writer, tag: str) -> None:
        while (message := await read_message(reader)) is not None:
            answer = await self._answer(message, reader, writer)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()

    async def _answer(self, message: Message, reader, writer):
        headers = message.headers
        request_id = headers.get("x-request-id", "")
        own = (f"X-Request-Id: {request_id}",)
        load = f"X-Server-Load: {self._running},0,{self.slots}"
        if headers.get("x-expect-instance", self.name) != self.name:
            return whole(421, b"", *own)
        if message.target == "/v1/report":
            report = self._reports[0][1] if self._reports else self._report()
            return whole(200, json.dumps(report).encode())
        if message.target == "/v1/order":
            return self._order(json.loads(message.body))
        if message.target == "/healthz":
            status = 200 if self.state == "ready" else 503
            return whole(status, b"", f"X-Instance-Id: {self.name}", load)
        if not request_id:
            return whole(400, b"", "X-Not-Executed: 1")
        model = headers.get("x-model", "")
        if model in self._pending | self._leaving:
            return whole(503, b"", "X-Not-Executed: 1", *own, load)
        if not self._holds(model):
            return whole(421, b"", *own, load)
        self._used[model] = self._used.get(model, 0) + 1
        try:
            return await self._run(message, reader, own)
        finally:
            self._used[model] -= 1
            if model in self._leaving and not self._used[model]:
                self._leaving.discard(model)
                self._drop(model)

    def _report(self) -> dict:
        return {
            "stage": "unified",
            "models": self._held(),
            "busy": False,
            "sequence": self.sequence,
            "queue_depth": 0,
            "active_requests": self._running,
            "kv_used": 0,
            "kv_total": 100_000,
            "handles": 0,
            "born": self.born,
            "available": {"in_memory": [], "on_disk": []},
            "pending": [f"{entry}@1" for entry in sorted(self._pending)],
        }

    def _drop(self, entry: str) -> None:
        model, _, adapter = entry.partition("/")
        if adapter in (self.models or {}).get(model, []):
            self.models[model].remove(adapter)

    async def _run(self, message: Message, reader, own):
        run = [now(), message.headers["x-request-id"], "running"]
        self.runs.append(run)
        self._running += 1
        try:
            # Most replicas drop a request when its connection closes.
            left_ms = int(message.headers.get("x-deadline-ms", 10_000))
            work = asyncio.create_task(
                asyncio.sleep(min(left_ms, self.work_ms) / 1000)
            )
            gone = asyncio.create_task(_closes(reader))
            await asyncio.wait((work, gone), return_when="FIRST_COMPLETED")
            gone.cancel()
            if not work.done():
                work.cancel()
                run[2] = "dropped"
                return None
            if run[2] == "running":
                run[2] = "whole" if left_ms >= self.work_ms else "deadline"
            if run[2] == "deadline":
                return whole(504, b"", *own)
        finally:
            self._running -= 1
        body, kind = f"answer to {message.target} by {self.name}", "text/plain"
        if self.models is not None:
            kind = "text/event-stream"
            body = "".join(
                f"id: {n}\ndata: {self.name} token {n}\n\n" for n in (1, 2, 3)
            )
        return whole(
            200,
            body.encode(),
            *own,
            f"Content-Type: {kind}",
            f"X-Response-Seal: seal-{self.name}",
            f"X-Server-Load: {self._running},0,{self.slots}",
        )

    def _holds(self, model: str) -> bool:
        if not model or self.models is None:
            return True
        name, _, adapter = model.partition("/")
        adapters = self.models.get(name)
        return adapters is not None and (not adapter or adapter in adapters)

    def _order(self, order: dict) -> bytes:
        status = self._carry_out(order)
        self.orders.append(
            (now(), order["holder"], order["fencing_token"], order, status)
        )
        return whole(status, b"{}")

    def _carry_out(self, order: dict) -> int:
        """Carry out an order for an adapter.

        The one model stays: no case has it moved, and an order that would do
        so is refused as one that doesn't exist, and shows in the record.
        """
        if "holder" not in order or "fencing_token" not in order:
            return 400
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        model, adapter = order["model"], order.get("adapter")
        adapters = (self.models or {}).get(model)
        load = order["operation"] == "load"
        if adapters is None:
            return 421
        if not adapter:
            return 200 if load else 400
        entry = f"{model}/{adapter}"
        if load:
            if adapter in adapters and entry not in self._leaving:
                return 200
            self.sequence += 1
            if len(adapters) + len(self._pending) >= ADAPTER_SLOTS:
                self.record.note(f"{self.name} crashes: too many adapters")
                self.end()
                return 202
            self._pending.add(entry)
            asyncio.get_running_loop().call_later(
                ADAPTER_S, self._end_load, model, adapter
            )
            return 202
        if adapter not in adapters:
            return 200
        self.sequence += 1
        if self._used.get(entry):
            self._leaving.add(entry)
            return 202
        adapters.remove(adapter)
        return 200

    def _end_load(self, model: str, adapter: str) -> None:
        self._pending.discard(f"{model}/{adapter}")
        self.models[model].append(adapter)


async def _closes(reader: asyncio.StreamReader) -> None:
    """Return when the other side has closed its connection.

    A client of one request at a time sends nothing before its answer.
    """
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


# --- instances -----------------------------------------------------------


class Instance:
    """One process of the program, started as the deploy file says."""

    def __init__(self, rig: Rig, name: str, settings: dict) -> None:
        self.rig, self.name, self.settings = rig, name, settings
        self.path = rig.folder / f"{name}.json"
        self.log = rig.folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.write_settings()

    def write_settings(self) -> None:
        self.path.write_text(json.dumps(self.settings))

    @property
    def front(self) -> str:
        return self.settings["listen"]["front"]

    @property
    def peer(self) -> str:
        ip, ports = self.settings["ip"], self.settings["internal_ports"]
        return f"{ip}:{ports[0]}"

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["instance"]["run"].split()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self.rig.folder),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "GERANIUMLINK_NODE_FILE": str(self.path),
                },
            )
        self.rig.record.note(f"{self.name}: started")

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)
            self.rig.record.note(f"{self.name}: {number.name}")

    def events(self, message_type: str) -> list[dict]:
        """Return what it has logged of one type; only for notes."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get("message_type") == message_type:
                    found.append(event)
        return found


class Rig:
    """A store, replicas and instances of one small deployment."""

    def __init__(self, folder: pathlib.Path, bounds: dict | None = None):
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.record = Record(folder)
        self.store = Store(self.record)
        self.instances: list[Instance] = []
        self.replicas: list[Replica] = []
        self.sent: list[Answered] = []
        self._tasks: list[asyncio.Task] = []
        # As both small sites have them.
        self.bounds = {
            "seed_lag_s": 3,
            "reuse_after_s": 2,
            "stability_window_ms": 3000,
            "ack_ms": 4000,
            "catch_up_s": 4,
            "drain_ms": 2000,
            "grace_s": 8,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "rollback_slack_ms": 250,
            "max_skew_ms": 5000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 56,
            "recovery_s": 12,
            "pass_ms": 120,
            "retry_after_s": 0,
            "fencing_enforced": False,
            "lease_ms": 3000,
            "thaw_slack_ms": 300,
            "ceiling_window_s": 5,
            "ceiling_overshoot": 1.1,
            **(bounds or {}),
        }

    async def add_instance(self, name: str) -> Instance:
        host = new_host()
        store = await self.store.listen(new_host(), tag=name)
        ports = [free_port(host) for _ in range(4)]
        settings = {
            "node_name": name,
            "role": "instance",
            "machine_class": "front",
            "serves": ["front"],
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {
                "front": f"{host}:{ports[0]}",
                "ready": f"{host}:{ports[1]}",
            },
            "internal_ports": [ports[2], ports[2]],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": self.bounds,
            "platform": {
                "address": store,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        instance = Instance(self, name, settings)
        self.instances.append(instance)
        return instance

    async def add_replica(self, name: str, service: str, **options) -> Replica:
        replica = Replica(self.store, self.record, name, service, **options)
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def ready(self, limit_s: float = 30) -> None:
        """Wait until all instances say that they are ready."""
        async with asyncio.timeout(limit_s):
            for instance in self.instances:
                while True:
                    answer = await ask(
                        instance.settings["listen"]["ready"],
                        "GET",
                        "/v1/ready",
                    )
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.1)

    async def leader(self, limit_s: float = 20) -> Instance:
        """Return the instance that the stored lease names."""
        async with asyncio.timeout(limit_s):
            while True:
                spec = self.store.spec("leases", "controller") or {}
                for instance in self.instances:
                    if spec.get("holder") == instance.peer:
                        return instance
                await asyncio.sleep(0.05)

    def send(self, instance: Instance, *arguments, **options) -> asyncio.Task:
        """Send a request to an instance, and record it."""

        async def send() -> Answered:
            answered = await ask(instance.front, *arguments, **options)
            answered.instance = instance.name
            self.sent.append(answered)
            return answered

        task = asyncio.create_task(send())
        self._tasks.append(task)
        return task

    async def finish(self) -> None:
        """Wait for the answers to all requests."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=10)

    def close(self) -> None:
        for instance in self.instances:
            process = instance.process
            if process is not None and process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
        for answered in self.sent:
            self.record.note(
                f"client: {answered.id} at {answered.instance}:"
                f" {answered.status} {answered.end}"
                f" after {answered.ended_at - answered.sent_at:.3f} s",
                answered.sent_at,
            )
        for replica in self.replicas:
            for at, request_id, how in replica.runs:
                self.record.note(
                    f"{replica.name}: {request_id} arrives; its run: {how}", at
                )
            for at, holder, token, order, status in replica.orders:
                self.record.note(
                    f"{replica.name}: order of {holder} ({token}):"
                    f" {order['operation']} {order['model']}"
                    f"/{order.get('adapter', '')}: {status}",
                    at,
                )
        self.record.write()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                target = pathlib.Path(keep) / path.name
                target.write_bytes(path.read_bytes())
        self._temporary.cleanup()


def route(path: str, kind: str, service: str, **fields) -> dict:
    return {
        "name": f"r-{path}",
        "host": HOST,
        "path_prefix": f"/{path}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 1 if kind == "unsafe" else 2,
        **fields,
    }


def configuration(version: int, routes: list[dict], services) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def plain_service(name: str) -> dict:
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }


def model_service(name: str, models: list[str], **fields) -> dict:
    """Return a service of engines whose models are small and many-sided."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 130387,
        "weights_mb": 230000.0,
        "adapter_slots": 8,
        "loads_per_s": 2.1,
        "models": [
            {
                "name": model,
                "weights_mb": 65100.0,
                "load_s": 3.8,
                "warm_s": 0.6,
                "disk_s": 0.78,
                "adapters": 40,
                "adapter_mb": 12.0,
            }
            for model in models
        ],
        **fields,
    }
    return {**plain_service(name), "max_connections": 370, "engine": engine}


def run(folder: str, play, bounds: dict | None = None) -> None:
    """Play a case and exit with its result.

    :param play: gets a rig; returns whether the rule was broken.
    """

    async def main() -> int:
        rig = Rig(pathlib.Path(folder).resolve(), bounds)
        try:
            async with asyncio.timeout(110):
                return BROKEN if await play(rig) else HELD
        except Exception as error:  # The case, not the program, has failed.
            rig.record.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            rig.close()

    # Signals end the instances, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    result = asyncio.run(main())
    sys.exit(result)


