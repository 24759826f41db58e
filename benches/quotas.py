"""Measures what a charge to a quota costs, by the number of accounts.

    python -m benches.quotas

Two instances exchange datagrams in memory: one asks, the other issues. Prints
the median processor time of a charge, both instances together and with the
encoding of the messages; the bytes of the messages; and the memory of both.
"""

from __future__ import annotations

import asyncio
import gc
import random
import statistics
import time
import tracemalloc
import typing

import orjson

from geraniumlink import _clock
from geraniumlink import _settings
from geraniumlink.hosting import _datagrams
from geraniumlink.hosting import _quota_exchange
from geraniumlink.residency import _instance_directory
from geraniumlink.residency import _issuer_table
from geraniumlink.serving import _quotas

COUNTS = (16, 10_000)
ROUNDS = 9
CHARGES = 4000
_LIMIT = _quotas.Limit(269_000.0, 269_000.0)
_ADDRESSES = ("10.20.30.41:7000", "10.20.30.42:7000")


class _Leadership:
    leader = ""
    is_leader = False
    epoch = 0

    def may_order(self) -> bool:
        return False


class _Datagrams(_datagrams.Datagrams):
    """Delivers messages at once, and counts their bytes."""

    def __init__(self, address: str, others: dict[str, _Datagrams]) -> None:
        super().__init__(address)
        self._address = _settings.parse_address(address)
        self._others = others
        others[address] = self
        self.sent_bytes = 0

    def send(
        self, addresses: typing.Iterable[str], message: list[typing.Any]
    ) -> None:
        data = orjson.dumps(message)
        for address in addresses:
            self.sent_bytes += len(data)
            self._others[address].datagram_received(
                data, (self._address.host, self._address.port)
            )


def _make(
    address: str, network: dict[str, _Datagrams]
) -> tuple[_quota_exchange.QuotaExchange, _Datagrams]:
    clock = _clock.Clock()
    table = _issuer_table.IssuerTable(
        leadership=_Leadership(),
        own_address=address,
        data_centre="dc1",
        is_needed=lambda: True,
        clock=clock,
    )
    datagrams = _Datagrams(address, network)
    exchange = _quota_exchange.QuotaExchange(
        table=table,
        leadership=_Leadership(),
        directory=_instance_directory.InstanceDirectory(address, clock),
        datagrams=datagrams,
        find_limit=lambda _: _LIMIT,
        bounds=_quotas.Bounds(),
        clock=clock,
        random_source=random.Random(1),
    )
    row = [_ADDRESSES[1], _ADDRESSES[0]]
    table.accept_json([1, 1, [row] * _issuer_table.ROWS])
    return exchange, datagrams


async def _measure(count: int) -> None:
    gc.collect()
    tracemalloc.start()
    network: dict[str, _Datagrams] = {}
    asking, sent = _make(_ADDRESSES[0], network)
    _, answered = _make(_ADDRESSES[1], network)
    accounts = [f"account-{number:05d}" for number in range(count)]
    for account in accounts:
        await asking.charge(account, _LIMIT, 1500.0)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    sent.sent_bytes = answered.sent_bytes = 0
    times = []
    for _ in range(ROUNDS):
        began = time.process_time_ns()
        for number in range(CHARGES):
            await asking.charge(accounts[number % count], _LIMIT, 1.0)
        times.append((time.process_time_ns() - began) / CHARGES / 1000)
    total = ROUNDS * CHARGES
    print(
        f"{count} accounts: {statistics.median(times):.1f} us a charge"
        f" ({min(times):.1f} to {max(times):.1f}),"
        f" {sent.sent_bytes / total:.0f} bytes asked,"
        f" {answered.sent_bytes / total:.0f} bytes answered,"
        f" {memory / 1024:.0f} KB, {memory / count:.0f} bytes an account"
    )


if __name__ == "__main__":
    for count in COUNTS:
        asyncio.run(_measure(count))
