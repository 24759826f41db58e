"""Instances of this build and of earlier landings work together."""

import anyio
import pytest

from standins import replica as replicas
from tests import hosts

pytestmark = pytest.mark.anyio

# Landings that may be in production when this build arrives.
_LANDINGS = ("e0bb1ed", "ab72638", "42ef447", "61322b5")
_TARGETS = ("/safe/x", "/once/x", "/stream/x")
_EVENTS = b"".join(replicas.event(n) for n in range(1, replicas.EVENTS + 1))


class _Upgrade:
    """A site whose instances are replaced one by one, while clients send."""

    def __init__(self, site, old_path):
        self._site = site
        self._old = {"PYTHONPATH": old_path}
        self._is_over = False
        # The instances that the balancer sends clients to.
        self._in_rotation = []
        self.answers = []

    async def add(self, is_old):
        environment = self._old if is_old else None
        self._in_rotation.append(
            await self._site.add_instance(environment=environment)
        )

    async def replace_oldest(self, is_old):
        """Start an instance; once it is ready, stop the oldest one."""
        await self.add(is_old)
        old = self._in_rotation.pop(0)
        self._site.instances.remove(old)
        old.terminate()
        await self._site.fleet.until(lambda: not old.running, "it has ended")

    async def send(self):
        """Send requests to all ready instances, till the upgrade's end."""
        number = 0
        async with anyio.create_task_group() as group:
            while not self._is_over:
                for instance in list(self._in_rotation):
                    target = _TARGETS[number % len(_TARGETS)]
                    number += 1
                    group.start_soon(self._send_one, instance, target)
                await anyio.sleep(0.1)

    async def _send_one(self, instance, target):
        try:
            answer = await hosts.send_request(
                instance.port, target, X_Model="m1"
            )
        except OSError:
            # It no longer listens: the balancer would have left it out.
            return
        self.answers.append((target, answer))

    def end(self):
        self._is_over = True


def _is_served(target, answer):
    if answer.status != 200 or not answer.is_complete:
        return False
    return not target.startswith("/stream") or answer.body == _EVENTS


@pytest.mark.parametrize("commit", _LANDINGS)
async def test_requests_fail_while_builds_are_replaced_forth_and_back(
    fleet, tmp_path, commit
):
    """The controller is replaced first on the way forth, last on that back."""
    site = await hosts.Site(fleet).start(
        replicas=3, instances=0, models=("m1",)
    )
    upgrade = _Upgrade(site, hosts.check_out(commit, tmp_path / commit))
    for _ in range(3):
        await upgrade.add(is_old=True)
    await fleet.until(
        lambda: hosts.find_log_lines(site.instances[0], "lease_taken"),
        "the first instance is the controller",
    )
    async with anyio.create_task_group() as group:
        group.start_soon(upgrade.send)
        for is_old in (False, True):
            for _ in range(3):
                await upgrade.replace_oldest(is_old)
                await anyio.sleep(1)
        upgrade.end()
    refused = [a for _, a in upgrade.answers if a.status == 503]
    failed = [
        (target, answer.raw)
        for target, answer in upgrade.answers
        if answer.status != 503 and not _is_served(target, answer)
    ]
    assert len(upgrade.answers) > 100
    assert not failed
    assert not refused
    for instance in site.instances:
        for message in ("bad_report_answer", "bad_want_answer"):
            assert not hosts.find_log_lines(instance, message)
