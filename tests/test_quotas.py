"""Quotas of all instances together, in virtual time."""

import anyio
import pytest

from emulator import _virtual_time
from geraniumlink.serving import _quotas
from tests import quota_fleet

_BOUNDS = _quotas.Bounds(8000, 0.1, 0)
# The failure begins here; the steady state is reached before.
_FAILURE_AT = 10_000
_END_AT = 24_000


async def _nothing(_fleet, _account):
    pass


async def _issuer_ends(fleet, account):
    fleet.issuer_of(account).alive = False


async def _issuer_freezes(fleet, account):
    issuer = fleet.issuer_of(account)
    issuer.frozen = True
    await fleet.clock.sleep(4000)
    issuer.thaw()


async def _issuer_freezes_shortly(fleet, account):
    issuer = fleet.issuer_of(account)
    issuer.frozen = True
    await fleet.clock.sleep(400)
    issuer.thaw()


async def _issuer_is_cut_off(fleet, account):
    fleet.issuer_of(account).group = 1
    await fleet.clock.sleep(6000)
    for instance in fleet.instances:
        instance.group = 0


async def _issuer_is_replaced(fleet, account):
    issuer = fleet.issuer_of(account)
    issuer.table.start_draining()
    await fleet.clock.sleep(3000)
    issuer.alive = False


async def _issuer_starts_anew(fleet, account):
    fleet.restart_one(fleet.issuer_of(account))


async def _controller_ends(fleet, _account):
    await fleet.end_controller()


async def _data_centre_is_cut_off(fleet, account):
    """One of three data centres with the issuer, without the controller."""
    number = fleet.instances.index(fleet.issuer_of(account)) % 3
    for instance in fleet.instances[number::3]:
        if instance.address != fleet.leader:
            instance.group = 1


async def _all_restart(fleet, _account):
    await fleet.restart(500)


_FAILURES = (
    _nothing,
    _issuer_ends,
    _issuer_freezes,
    _issuer_freezes_shortly,
    _issuer_is_cut_off,
    _issuer_is_replaced,
    _issuer_starts_anew,
    _controller_ends,
    _data_centre_is_cut_off,
    _all_restart,
)


def _run(count, accounts, failure, bounds=_BOUNDS, hot_at=None):
    """Carry out a failure while accounts are used; the first may get hot."""

    async def main(clock):
        fleet = quota_fleet.Fleet(clock, count, accounts, bounds)
        async with anyio.create_task_group() as group:
            fleet.restarted = group
            group.start_soon(fleet.run)
            await clock.sleep(1)
            for account in accounts:
                group.start_soon(fleet.send, account, _END_AT)
            if hot_at is not None:
                await clock.sleep(hot_at)
                accounts[0].use *= 10
            await clock.sleep(_FAILURE_AT - clock.now())
            await failure(fleet, accounts[0])
            await clock.sleep(_END_AT - clock.now())
            fleet.stop()

    _virtual_time.run(main)


@pytest.mark.parametrize("failure", _FAILURES)
@pytest.mark.parametrize(
    ("rate", "cost", "slack"), ((4200, 600, 17_000), (269_000, 1500, 0))
)
@pytest.mark.parametrize("hot_at", (None, 5000, _FAILURE_AT - 50))
def test_quota_holds_for_all_instances(failure, rate, cost, slack, hot_at):
    """Failures must neither raise a quota nor refuse what is within it."""
    account = quota_fleet.Account("a1", rate, cost)
    bounds = _BOUNDS._replace(slack=slack)
    _run(86, [account], failure, bounds, hot_at)
    allowed = 8 * rate + account.limit.burst
    bound = allowed + _quotas.allowed_overshoot(account.limit, bounds)
    most = account.most_in_window(bounds.window_ms)
    print(
        f"OUT {failure.__name__} {rate} hot={hot_at}"
        f" used {most / bound:.3f} of bound, refused"
        f" {len(account.refused)} of"
        f" {len(account.refused) + len(account.sent)}"
        f" {account.refused[:2]}"
    )
    assert most <= bound
    if hot_at is None:
        assert not account.refused
