"""Instances that charge quotas, in virtual time, with failures."""

import asyncio
import random

import anyio

from geraniumlink import _settings
from geraniumlink.hosting import _quota_exchange
from geraniumlink.residency import _instance_directory
from geraniumlink.residency import _issuer_table
from geraniumlink.serving import _quotas

LATENCY_MS = 1
REPORT_MS = 250
# How long after its end the controller's lease is taken by another instance.
TAKEOVER_MS = 2500


class Leadership:
    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address

    @property
    def leader(self):
        return self._fleet.leader

    @property
    def is_leader(self):
        return self.leader == self._address

    @property
    def epoch(self):
        return self._fleet.epoch if self.is_leader else 0

    def may_order(self):
        return self.is_leader


class Datagrams:
    """Delivers messages after LATENCY_MS, unless a link is cut."""

    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address
        self.handlers = {}

    def add_handler(self, kinds, handler):
        self.handlers.update(dict.fromkeys(kinds, handler))

    def send(self, addresses, message):
        for address in addresses:
            self._fleet.deliver(self._address, address, message)


class Instance:
    def __init__(self, fleet, number):
        self.address = f"10.0.{number // 250}.{number % 250}:7000"
        self._fleet = fleet
        clock = fleet.clock
        # A frozen instance's messages are kept, those of a dead one are lost.
        self.alive, self.frozen, self.group = True, False, 0
        self.inbox = []
        # Added to the latency of its datagrams, and who gets none of them;
        # its reports arrive as usual.
        self.delay_ms = 0
        self.unreached = set()
        self.datagrams = Datagrams(fleet, self.address)
        leadership = Leadership(fleet, self.address)
        self.directory = _instance_directory.InstanceDirectory(
            self.address, clock
        )
        self.table = _issuer_table.IssuerTable(
            leadership=leadership,
            own_address=self.address,
            data_centre=f"dc{number % 3}",
            is_needed=lambda: True,
            clock=clock,
        )
        self.quotas = _quota_exchange.QuotaExchange(
            table=self.table,
            leadership=leadership,
            directory=self.directory,
            datagrams=self.datagrams,
            find_limit=lambda _: None,
            bounds=fleet.bounds,
            clock=clock,
            random_source=fleet.random,
        )

    def receive(self, sender, message):
        if self.frozen:
            self.inbox.append((sender, message))
        elif self.alive:
            handler = self.datagrams.handlers[message[0]]
            handler(message, _settings.parse_address(sender))

    def thaw(self):
        self.frozen = False
        for sender, message in self.inbox:
            self.receive(sender, message)
        self.inbox.clear()


class Account:
    """An account, what was sent for it, and what was refused."""

    def __init__(self, name, rate, mean_cost, use=0.55, burst_s=1.0):
        self.name = name
        self.limit = _quotas.Limit(rate, burst_s * rate)
        self.mean_cost = mean_cost
        self.use = use
        self.sent, self.refused = [], []

    def most_in_window(self, window_ms):
        """Return the most that was sent in any window."""
        most = total = first = 0
        for at, cost in self.sent:
            total += cost
            while self.sent[first][0] <= at - window_ms:
                total -= self.sent[first][1]
                first += 1
            most = max(most, total)
        return most


class Fleet:
    def __init__(self, clock, count, accounts, bounds, seed=1):
        self.clock = clock
        self.random = random.Random(seed)
        self.bounds = bounds
        self.accounts = accounts
        self._count = count
        self.leader, self.epoch = "", 0
        self._group = None

    async def run(self):
        """Start all instances, and run them until ``stop``."""
        self.instances = [Instance(self, n) for n in range(self._count)]
        self.by_address = {i.address: i for i in self.instances}
        self.leader = self.leader or self.instances[0].address
        self.epoch += 1
        async with anyio.create_task_group() as self._group:
            for instance in self.instances:
                self._start(instance)

    def stop(self):
        self._group.cancel_scope.cancel()

    def restart_one(self, instance):
        """End an instance, and start it again at once at its address."""
        instance.alive = False
        number = self.instances.index(instance)
        started = Instance(self, number)
        self.instances[number] = started
        self.by_address[started.address] = started
        self._start(started)

    def _start(self, instance):
        self._group.start_soon(self.run_reports, instance)
        self._group.start_soon(instance.quotas.run)

    async def restart(self, gap_ms):
        """End all instances and start them again after a time."""
        self.stop()
        for instance in self.instances:
            instance.alive = False
        await self.clock.sleep(gap_ms)
        self.instances = []
        self.restarted.start_soon(self.run)
        await self.clock.sleep(0)

    def deliver(self, sender, receiver, message):
        def arrive():
            target = self.by_address.get(receiver)
            if target is not None and self.is_linked(sender, receiver):
                target.receive(sender, message)

        source = self.by_address[sender]
        if receiver not in source.unreached:
            delay_ms = LATENCY_MS + source.delay_ms
            asyncio.get_running_loop().call_later(delay_ms / 1000, arrive)

    def is_linked(self, sender, receiver):
        source, target = self.by_address[sender], self.by_address[receiver]
        return source.alive and source.group == target.group

    def issuer_of(self, account):
        table = max(i.table.current for i in self.instances)
        return self.by_address[table.row_of(account.name).issuer]

    async def run_reports(self, instance):
        await self.clock.sleep(self.random.uniform(0, REPORT_MS))
        while (
            instance.alive
            and self.by_address.get(instance.address) is instance
        ):
            if not instance.frozen:
                self.report(instance)
            await self.clock.sleep(REPORT_MS)

    def report(self, instance):
        controller = self.by_address[self.leader]
        if (
            not controller.alive
            or controller.frozen
            or controller.group != instance.group
        ):
            return
        controller.directory.record_report(instance.address)
        answer = controller.table.answer_report(
            instance.address, instance.table.make_report()
        )
        instance.directory.apply_list(
            controller.directory.list_for(instance.directory.received_digest)
        )
        instance.table.apply_answer(answer, self.clock.since_boot())

    async def send(self, account, until):
        """Send requests for an account from all instances at random."""
        source = random.Random(account.name)
        async with anyio.create_task_group() as group:
            while self.clock.now() < until:
                per_s = account.use * account.limit.rate_per_s
                mean_ms = 1000 * account.mean_cost / per_s
                await self.clock.sleep(source.expovariate(1 / mean_ms))
                running = [
                    i for i in self.instances if i.alive and not i.frozen
                ]
                if not running:
                    continue
                cost = source.uniform(0.2, 1.8) * account.mean_cost
                group.start_soon(
                    self._charge, source.choice(running), account, cost
                )

    async def _charge(self, instance, account, cost):
        decision = await instance.quotas.charge(
            account.name, account.limit, cost
        )
        now = self.clock.now()
        if decision.is_charged:
            account.sent.append((now, cost))
        else:
            account.refused.append(
                (now, cost, decision.source, decision.took_ms)
            )

    async def end_controller(self):
        """End the controller; another instance takes its lease later."""
        self.by_address[self.leader].alive = False
        await self.clock.sleep(TAKEOVER_MS)
        self.leader = next(i.address for i in self.instances if i.alive)
        self.epoch += 1
