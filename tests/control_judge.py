"""Judges a run by the engines' journals, the API's history and the logs."""

import contextlib
import json

import anyio

from specs import replay
from standins import fleet as fleets
from tests import builders

CAPACITY_MB = 900
MODELS = ("notes", "reports", "trails")
RULES = {
    True: {"engines_check_fencing": True},
    False: {"engines_check_fencing": False, "order_lateness_bound_ms": 500},
}


async def together(folder, scenario, *variants):
    """Run a scenario for each variant at once, each with its own fleet."""
    async with contextlib.AsyncExitStack() as stack:
        runs = []
        for index, variant in enumerate(variants):
            inner = folder / str(index)
            inner.mkdir()
            fleet = await stack.enter_async_context(fleets.start(inner))
            runs.append((fleet, inner, variant))
        async with anyio.create_task_group() as group:
            for run in runs:
                group.start_soon(scenario, *run)


class Run:
    """Engines with journals, instances, and one deployment on them."""

    def __init__(self, fleet, folder, engine_count=2, **order_rules):
        self.fleet = fleet
        self.order_rules = order_rules or RULES[True]
        self.engines = []
        self.journals = []
        for index in range(engine_count):
            journal = folder / f"journal-{index}"
            journal.touch()
            options = ["--memory-mb", str(CAPACITY_MB)]
            options += ["--journal", str(journal)]
            if not self.order_rules.get("engines_check_fencing"):
                options.append("--ignore-fencing")
            self.engines.append(fleet.engine({}, *options))
            self.journals.append(journal)
        self.instances = [fleet.instance(lease_ms=1000) for _ in range(3)]
        self.version = 0
        self.size_mb = 400

    async def start(self):
        await self.fleet.ready()
        for instance in self.instances:
            await self.fleet.list_instance(instance, "live")
        await self.declare("1")
        await self.settled("1")

    async def declare(self, model_version):
        deployment = builders.engines(
            self.engines,
            MODELS,
            size_mb=self.size_mb,
            order_rules=self.order_rules,
        )
        for model in deployment["models"]:
            model["version"] = model_version
        instance = next(i for i in self.instances if i.running)
        answer = await self.fleet.call(
            instance,
            "Operator/Apply",
            deployment=deployment,
            expected_version=self.version,
            change_id=builders.change_id(),
            author="tests",
        )
        assert answer.status == 200, answer
        self.version = int(answer.body["version"])

    def resident(self):
        """Return what each engine holds now, by its journal."""
        return [_resident(journal) for journal in self.journals]

    async def settled(self, model_version):
        """Wait until each model is held in this version and no other."""
        wanted = {(model, model_version) for model in MODELS}
        await self.fleet.until(
            lambda: set().union(*self.resident()) == wanted,
            f"every model is resident in version {model_version} alone",
        )

    def holds_all(self, model_version):
        """Whether each model is held in this version somewhere."""
        wanted = {(model, model_version) for model in MODELS}
        return wanted <= set().union(*self.resident())

    async def ledgers(self):
        """Return the written ledgers, oldest first."""
        record = await self.fleet.record(self.fleet.object_api)
        return [
            {"name": entry["name"], **entry["value"]}
            for entry in record["history"]
            if entry["kind"] == "replicas"
        ]

    async def holder(self):
        """Return the instance that holds the lease."""
        record = await self.fleet.record(self.fleet.object_api)
        leases = [
            entry["value"]
            for entry in record["history"]
            if entry["kind"] == "leases"
        ]
        named = {instance.name: instance for instance in self.instances}
        return named.get(leases[-1]["holder"]) if leases else None

    async def saw_state(self, state, after):
        """Wait for a ledger, written after so many, with such an entry."""

        async def seen():
            return any(
                entry["state"] == state
                for ledger in (await self.ledgers())[after:]
                for entry in ledger["entries"]
            )

        await self.fleet.until(seen, f"a ledger has an entry {state}")

    async def saw_log(self, step):
        """Wait until an instance has logged a step."""
        text = f'"{step}"'
        await self.fleet.until(
            lambda: any(text in i.log.read_text() for i in self.instances),
            f"{step} is logged",
        )

    async def judge(self, crashes=False):
        """Assert what must hold of the whole run.

        Where engines crashed, models may be away until they are loaded.
        """
        for journal in self.journals:
            events = _events(journal)
            assert not [event for event in events if event["overcommitted"]]
        if not crashes:
            self._judge_reachable()
        self._judge_orders(await self.ledgers())
        lines = []
        for instance in self.instances:
            lines += instance.log.read_text().splitlines()
        done = replay.replay(lines)
        assert not done.faults, done.faults
        assert done.counts["order_sent"] > 0

    def _judge_reachable(self):
        """From its first load on, some engine holds each model always."""
        timeline = sorted(
            (event["time"], index, event)
            for index, journal in enumerate(self.journals)
            for event in _events(journal)
            if event["event"] in ("loaded", "unloaded")
        )
        holders = {model: set() for model in MODELS}
        for _, index, event in timeline:
            copy = (index, event["version"])
            if event["event"] == "loaded":
                holders[event["model"]].add(copy)
            else:
                holders[event["model"]].discard(copy)
                assert holders[event["model"]], event

    def _judge_orders(self, ledgers):
        """Every accepted order had its intent in a ledger; none reverted."""
        latest = {}
        for ledger in ledgers:
            moved = (ledger["epoch"], ledger["fencing_number"])
            before = latest.setdefault(ledger["name"], (0, 0))
            assert all(
                old <= new for old, new in zip(before, moved, strict=True)
            ), ledger
            latest[ledger["name"]] = moved
        intents = {
            (entry["model"], entry["version"], entry["fencing_number"])
            for ledger in ledgers
            for entry in ledger["entries"]
        }
        for journal in self.journals:
            for event in _events(journal):
                if event["event"].endswith("_accepted"):
                    key = ("model", "version", "fencing_number")
                    assert tuple(event[name] for name in key) in intents


def _events(journal):
    return [json.loads(line) for line in journal.read_text().splitlines()]


def _resident(journal):
    held = set()
    for event in _events(journal):
        copy = (event["model"], event["version"])
        match event["event"]:
            case "loaded":
                held.add(copy)
            case "unloaded":
                held.discard(copy)
            case "started":
                held.clear()
    return held
