"""A deployment under test, and the checks of everything that happened to it.

The checks read the engines' own journals of their memory, the history of
the object API and the logs of the instances.
"""

import contextlib
import json

import anyio

from specs import replay
from standins import fleet as fleets
from tests import builders

CAPACITY_MB = 900
MODELS = ("notes", "reports", "trails")
# The declared order rules, by whether the engines check fencing numbers.
ORDER_RULES = {
    True: {"engines_check_fencing": True},
    False: {"engines_check_fencing": False, "order_lateness_bound_ms": 500},
}


async def run_variants(folder, scenario, *variants):
    """Run a scenario with each variant, concurrently in separate fleets."""
    async with contextlib.AsyncExitStack() as stack:
        runs = []
        for index, variant in enumerate(variants):
            run_folder = folder / str(index)
            run_folder.mkdir()
            fleet = await stack.enter_async_context(fleets.start(run_folder))
            runs.append((fleet, run_folder, variant))
        async with anyio.create_task_group() as group:
            for run in runs:
                group.start_soon(scenario, *run)


class ControlScenario:
    """Engines that keep journals, three instances and one deployment."""

    def __init__(self, fleet, folder, engine_count=2, **order_rules):
        self.fleet = fleet
        self.order_rules = order_rules or ORDER_RULES[True]
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
        await self.wait_until_resident("1")

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

    def resident_copies(self):
        """Return the (model, version) pairs on each engine, by its journal."""
        return [_resident_in(journal) for journal in self.journals]

    async def wait_until_resident(self, model_version):
        """Wait until every model is resident in this version and no other."""
        wanted = {(model, model_version) for model in MODELS}
        await self.fleet.until(
            lambda: set().union(*self.resident_copies()) == wanted,
            f"every model is resident in version {model_version} alone",
        )

    def all_resident(self, model_version):
        """Whether some engine holds each model in this version."""
        wanted = {(model, model_version) for model in MODELS}
        return wanted <= set().union(*self.resident_copies())

    async def written_ledgers(self):
        """Return the written ledgers, oldest first."""
        record = await self.fleet.record(self.fleet.object_api)
        return [
            {"name": entry["name"], **entry["value"]}
            for entry in record["history"]
            if entry["kind"] == "replicas"
        ]

    async def lease_holder(self):
        """Return the instance that holds the lease; None if there is none."""
        record = await self.fleet.record(self.fleet.object_api)
        leases = [
            entry["value"]
            for entry in record["history"]
            if entry["kind"] == "leases"
        ]
        by_name = {instance.name: instance for instance in self.instances}
        return by_name.get(leases[-1]["holder"]) if leases else None

    async def wait_for_state(self, state, after):
        """Wait for an entry in a state, in ledger writes from ``after`` on."""

        async def seen():
            return any(
                entry["state"] == state
                for ledger in (await self.written_ledgers())[after:]
                for entry in ledger["entries"]
            )

        await self.fleet.until(seen, f"a ledger has an entry {state}")

    async def wait_for_log(self, message):
        """Wait until an instance has logged the message of this name."""
        text = f'"{message}"'
        await self.fleet.until(
            lambda: any(text in i.log.read_text() for i in self.instances),
            f"{message} is logged",
        )

    async def check_history(self, crashes=False):
        """Check the whole history against the guarantees of the controller.

        No engine was overcommitted, the log replays without faults, each
        accepted order had an intent, and no model was unreachable after its
        first load. The last is not checked if engines crashed.
        """
        for journal in self.journals:
            events = _read_events(journal)
            assert not [event for event in events if event["overcommitted"]]
        if not crashes:
            self._check_reachability()
        self._check_intents(await self.written_ledgers())
        lines = []
        for instance in self.instances:
            lines += instance.log.read_text().splitlines()
        replayed = replay.check_log_lines(lines)
        assert not replayed.faults, replayed.faults
        assert replayed.counts["order_sent"] > 0

    def _check_reachability(self):
        """Check that some engine holds each model from its first load on."""
        timeline = sorted(
            (event["time"], index, event)
            for index, journal in enumerate(self.journals)
            for event in _read_events(journal)
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

    def _check_intents(self, written_ledgers):
        """Check that every accepted order had its intent in a ledger.

        Also, a ledger's epoch and fencing number never fall.
        """
        latest_numbers = {}
        for ledger in written_ledgers:
            numbers = (ledger["epoch"], ledger["fencing_number"])
            earlier_numbers = latest_numbers.setdefault(ledger["name"], (0, 0))
            assert all(
                old <= new
                for old, new in zip(earlier_numbers, numbers, strict=True)
            ), ledger
            latest_numbers[ledger["name"]] = numbers
        intents = {
            (entry["model"], entry["version"], entry["fencing_number"])
            for ledger in written_ledgers
            for entry in ledger["entries"]
        }
        for journal in self.journals:
            for event in _read_events(journal):
                if event["event"].endswith("_accepted"):
                    fields = ("model", "version", "fencing_number")
                    assert tuple(event[name] for name in fields) in intents


def _read_events(journal):
    return [json.loads(line) for line in journal.read_text().splitlines()]


def _resident_in(journal):
    held = set()
    for event in _read_events(journal):
        copy = (event["model"], event["version"])
        match event["event"]:
            case "loaded":
                held.add(copy)
            case "unloaded":
                held.discard(copy)
            case "started":
                held.clear()
    return held
