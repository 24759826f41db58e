"""Stand-ins for the platform's store, replicas and clients, in one event loop.

Only the standard library is used. The instances under test are separate
processes, started with the command of ``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000,
    "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "max_skew_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
    "retry_slack": 58, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "fencing_enforced": False, "lease_ms": 3000, "thaw_slack_ms": 300,
    "ceiling_window_s": 5, "ceiling_overshoot": 1.1,
}
HEARTBEAT_S = 1.2
STORE_DELAY_S = 0.004
HOST = "cellar.example"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, what: str, **fields: object) -> None:
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")
        self._file.flush()


class Request:
    def __init__(self, method, target, headers, body) -> None:
        self.method, self.target = method, target
        self.headers, self.body = headers, body


async def read_message(reader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, headers and body of an HTTP message.

    A body without a length ends with the connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif first.startswith("HTTP/"):
        body = await reader.read()
    return first, headers, body


def encode(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """An HTTP server whose connections can be dropped at once."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host = host
        self.port = free_port(host)
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def close(self) -> None:
        """End as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ")
                request = Request(method, target, headers, body)
                if not await self.answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer) -> bool:
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()
        # Set when a watch of replicas' entries, or a write of a lease, was
        # answered.
        self.watch_answered = asyncio.Event()
        self.lease_written = asyncio.Event()

    async def answer(self, request, writer) -> bool:
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.split("/")[3:]
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else None
        await asyncio.sleep(STORE_DELAY_S)
        if request.method == "GET" and name is None:
            status, content = await self._list(kind, query)
        elif request.method == "GET":
            found = self.objects.get((kind, name))
            status, content = (200, found) if found else (404, {})
        elif request.method == "POST":
            message = json.loads(request.body)
            name = message["metadata"]["name"]
            if (kind, name) in self.objects:
                status, content = 409, self.objects[kind, name]
            else:
                status, content = 201, await self.put(
                    kind, name, message["spec"]
                )
        elif request.method == "PUT":
            message = json.loads(request.body)
            found = self.objects.get((kind, name))
            expected = message["metadata"].get("revision")
            if found is None:
                status, content = 404, {}
            elif expected not in (None, found["metadata"]["revision"]):
                status, content = 409, found
            else:
                status, content = 200, await self.put(
                    kind, name, message["spec"]
                )
        else:
            status, content = 200, await self.delete(kind, name) or {}
        writer.write(encode(status, json.dumps(content).encode()))
        await writer.drain()
        if kind == "servers" and "watch" in query:
            self.watch_answered.set()
        if kind == "leases" and request.method == "PUT":
            self.lease_written.set()
        return True

    async def _list(self, kind, query) -> tuple[int, dict]:
        if "watch" not in query:
            items = [o for (k, _), o in sorted(self.objects.items())
                     if k == kind]
            return 200, {"items": items, "more": False,
                         "store_revision": self.revision}
        after = int(query["watch"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._since(kind, after)
                    )
        return 200, {"events": self._since(kind, after),
                     "store_revision": self.revision}

    def _since(self, kind, after) -> list[dict]:
        events = []
        for revision, of_kind, found, deleted in reversed(self._history):
            if revision <= after:
                break
            if of_kind == kind:
                events.insert(0, {"object": found, "deleted": deleted})
        return events

    async def put(self, kind, name, spec) -> dict:
        """Write an object; the return is the acknowledgement."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        found = {
            "metadata": {"name": name, "revision": self.revision,
                         "created": created, "finalizers": [],
                         "deleting": False},
            "spec": spec, "status": None,
        }
        self.objects[kind, name] = found
        await self._note(kind, found, False)
        return found

    async def delete(self, kind, name) -> dict | None:
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self.revision += 1
            await self._note(kind, found, True)
        return found

    async def _note(self, kind, found, deleted) -> None:
        self._history.append((self.revision, kind, found, deleted))
        async with self._changed:
            self._changed.notify_all()


class Replica(Server):
    """A replica: it registers itself, sends heartbeats and runs requests."""

    def __init__(self, store, record, name, service, *, models=(),
                 capacity=0, work_ms=60.0, load_s=0.3, slots=8) -> None:
        super().__init__()
        self.store, self.record = store, record
        self.name, self.service = name, service
        self.models: dict[str, list[str]] = {m: [] for m in models}
        self.is_engine = bool(capacity)
        # How many models its memory holds.
        self.capacity = capacity
        self.work_ms, self.load_s, self.slots = work_ms, load_s, slots
        self.sequence = 0
        self.beats = 0
        self.busy = False
        self.state = "ready"
        # Whether it leaves, also if it doesn't report that.
        self.is_leaving = False
        self.born = 0
        # (time, request id, target) of what arrived and was run.
        self.arrivals: list[tuple[float, str, str]] = []
        # Orders as they took effect: (time, operation, model, status).
        self.orders: list[tuple[float, str, str, int]] = []
        self.overloaded_at: float | None = None
        # Gets each order before it is carried out; may delay it.
        self.intercept = None
        self._running = 0
        self._beating: asyncio.Task | None = None

    async def start(self) -> None:
        self.born = int(time.time() * 1000)
        self.sequence, self.busy, self.state = 0, False, "ready"
        await self.open()
        await self.beat()
        self._beating = asyncio.create_task(self._beat_on())
        self.record.write("replica-starts", name=self.name, born=self.born)

    def crash(self) -> None:
        """End without notice; the entry expires by itself."""
        self.stop_beating()
        self.close()
        self.models = {}
        self.record.write("replica-crashes", name=self.name)

    def stop_beating(self) -> None:
        if self._beating is not None:
            self._beating.cancel()
            self._beating = None

    async def _beat_on(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))
            await self.beat()

    async def beat(self) -> None:
        self.beats += 1
        spec = {
            "service": self.service, "address": self.address,
            "zone": "manisa", "version": "v1", "slots": self.slots,
            "state": self.state, "cold_left_ms": 0, "sequence": self.beats,
            "born": self.born,
        }
        if self.is_engine:
            spec |= {"stage": "unified", "models": self._models()}
        await self.store.put("servers", self.name, spec)

    def _models(self) -> list[dict]:
        return [{"name": m, "version": 1, "adapters": a}
                for m, a in self.models.items()]

    async def answer(self, request, writer) -> bool:
        expected = request.headers.get("x-expect-instance", self.name)
        request_id = request.headers.get("x-request-id", "")
        if expected != self.name:
            writer.write(encode(421, X_Not_Executed="1",
                                X_Request_Id=request_id))
            return True
        if request.target == "/v1/report":
            report = {"stage": "unified", "models": self._models(),
                      "busy": self.busy, "sequence": self.sequence,
                      "born": self.born, "queue_depth": 0,
                      "active_requests": self._running, "kv_used": 0,
                      "kv_total": 100000, "handles": 0, "state": self.state,
                      "available": {"in_memory": [], "on_disk": []}}
            writer.write(encode(200, json.dumps(report).encode()))
            return True
        if request.target == "/v1/order":
            order = json.loads(request.body)
            if self.intercept is not None and self.intercept(order):
                # No answer comes, and the connection stays open.
                await asyncio.sleep(60)
                return False
            writer.write(encode(self.carry_out(order), b"{}"))
            return True
        return await self._run(request, request_id, writer)

    def carry_out(self, order: dict) -> int:
        """Carry out an order; return the status of its answer."""
        status = self._status_of(order)
        self.record.write("order", replica=self.name, status=status, **order)
        self.orders.append((self.record.now(), order["operation"],
                            order["model"], status))
        if status != 202:
            return status
        self.sequence += 1
        model = order["model"]
        if order["operation"] == "unload":
            self.models.pop(model)
            return status
        if len(self.models) >= self.capacity:
            self.overloaded_at = self.record.now()
            self.record.write("OVERLOADED", replica=self.name, holds=",".join(
                self.models), ordered=model)
            self.crash()
            return status
        self.busy = True
        asyncio.get_running_loop().call_later(
            self.load_s, self._end_load, model, self.born
        )
        return status

    def _status_of(self, order: dict) -> int:
        if "holder" not in order or "fencing_token" not in order:
            return 400
        if (order["operation"] == "load") == (order["model"] in self.models):
            return 200
        expected = order.get("precondition", self.sequence)
        if self.busy or expected != self.sequence:
            return 409
        return 202

    def _end_load(self, model: str, born: int) -> None:
        if born == self.born and self._server is not None:
            self.models[model] = []
            self.busy = False

    async def _run(self, request, request_id, writer) -> bool:
        headers = {"X_Request_Id": request_id,
                   "X_Server_Load": f"{self._running},0,{self.slots}",
                   "Keep_Alive": "timeout=5"}
        model = request.headers.get("x-model", "")
        if self.is_engine and model not in self.models:
            writer.write(encode(421, X_Not_Executed="1", **headers))
            return True
        if self._running >= self.slots:
            writer.write(encode(503, X_Not_Executed="1", **headers))
            return True
        self.arrivals.append((self.record.now(), request_id, request.target))
        self.record.write("runs", replica=self.name, id=request_id,
                          target=request.target)
        self._running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self._running -= 1
        if self.is_leaving or self.state == "draining":
            headers["Connection"] = "close"
        writer.write(encode(200, b"done by " + self.name.encode(),
                            X_Response_Seal="of-" + self.name, **headers))
        await writer.drain()
        return True


class Instance:
    """A process of the project, as the deploy file starts it."""

    def __init__(self, index: int, store_address: str, folder, record) -> None:
        self.host = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.{index + 1}"
        self.record = record
        self.name = f"front-{index + 1}"
        ports = [free_port(self.host) for _ in range(4)]
        self.front, self.ready_port = ports[0], ports[1]
        self._path = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self._path.write_text(json.dumps({
            "node_name": self.name, "role": "instance",
            "machine_class": "front", "serves": ["front"], "ip": self.host,
            "zone": "manisa", "region": "anatolia-west",
            "zones": {"manisa": "anatolia-west"},
            "listen": {"front": f"{self.host}:{self.front}",
                       "ready": f"{self.host}:{self.ready_port}"},
            "internal_ports": [ports[2], ports[2] + 15], "seeds": [],
            "bootstrap": True, "fault_counted": True,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": int(1000 * HEARTBEAT_S),
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "fleet", "stream", "engine", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "objects",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576,
                         "min_ttl_ms": 1000},
        }))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["instance"]["run"])
        command[0] = sys.executable
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["GERANIUMLINK_NODE_FILE"] = str(self._path)
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        for _ in range(300):
            with contextlib.suppress(OSError):
                status, _, _ = await call(self.host, self.ready_port, "GET",
                                          "/v1/ready", {}, b"", 1.0)
                if status == 200:
                    self.record.write("ready", instance=self.name)
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} isn't ready")

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()

    def log_lines(self, kind: str) -> list[dict]:
        found = []
        for line in self._log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if entry.get("message_type") == kind:
                    found.append(entry)
        return found


async def call(host, port, method, target, headers, body, timeout_s):
    """Send one request on a new connection; return its answer.

    The status is 0 if the connection ended without a complete answer.
    """
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(host, port), 1.0
    )
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        async with asyncio.timeout(timeout_s):
            message = await read_message(reader)
        if message is None:
            return 0, {}, b""
        first, found, content = message
        return int(first.split(" ")[1]), found, content
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        writer.close()


class Client:
    """Sends requests at a steady rate, each on a connection of its own."""

    def __init__(self, instances, record) -> None:
        self._instances, self._record = instances, record
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        # By request id: time sent, target and status.
        self.answers: dict[str, tuple[float, str, int]] = {}
        # Name of the instance that each was sent to.
        self.instance_of: dict[str, str] = {}

    async def send(self, target, *, model="", deadline_ms=4000, host=HOST,
                   method="POST", instance=None) -> int:
        number = next(self._numbers)
        request_id = f"{os.getpid():06x}{number:010x}"
        headers = {"Host": host, "X-Request-Id": request_id,
                   "X-Deadline-Ms": str(deadline_ms)}
        if model:
            headers |= {"X-Model": model, "X-Token-Usage": "100,10",
                        "X-Prefix-Hash": f"{number:x}:100"}
        chosen = instance or self._instances[number % len(self._instances)]
        sent_at = self._record.now()
        self.instance_of[request_id] = chosen.name
        self._record.write("sent", id=request_id, target=target,
                           instance=chosen.name)
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            status, found, _ = await call(
                chosen.host, chosen.front, method, target, headers,
                b"" if method == "GET" else b"x" * 200, deadline_ms / 1000
            )
        self._record.write("answered", id=request_id, status=status)
        self.answers[request_id] = (sent_at, target, status)
        return status

    async def load(self, per_s, until, targets, **options) -> None:
        """Send requests until a time of the record."""
        for target in itertools.cycle(targets):
            if self._record.now() >= until:
                break
            task = asyncio.create_task(self.send(target, **options))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))
        while self._tasks:
            await asyncio.wait(set(self._tasks))


def route(path, kind, service, **fields) -> dict:
    return {
        "name": path, "host": HOST, "path_prefix": f"/{path}/", "kind": kind,
        "timeout_ms": 4000, "target_latency_ms": 400, "priority": 1,
        "service": service, "max_attempts": 2, **fields,
    }


def configuration(version, routes, services) -> dict:
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
    }


_next_port = itertools.count(20000 + os.getpid() % 500 * 20)


def free_port(host: str) -> int:
    """Return a port below the kernel's own range that nobody has bound."""
    for port in _next_port:
        port = 10240 + port % 20000
        with contextlib.suppress(OSError), socket.socket() as bound:
            bound.bind((host, port))
            return port
    raise RuntimeError


def run_case(main, folder: pathlib.Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 else.

    :param main: gets the record, a temporary folder and whether there is
        trouble; returns the breaks, as text.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as temporary:
            breaks = asyncio.run(
                asyncio.wait_for(
                    main(record, pathlib.Path(temporary), trouble), 110
                )
            )
    except Exception as error:  # noqa: BLE001
        record.write("could-not-run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr, flush=True)
        os._exit(2)
    for line in breaks:
        record.write("BROKEN", rule=line)
        print("broken:", line)
    record.write("result", breaks=len(breaks))
    print("breaks:", len(breaks), flush=True)
    # Connections that are still open need no goodbye.
    os._exit(1 if breaks else 0)
