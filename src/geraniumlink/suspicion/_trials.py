"""Who runs which suspect now, as far as this instance was told.

An instance asks all others before it runs a suspect and goes ahead when none
objects. Of two that ask each other at once the higher name gives up. Where a
third had granted it the lower one is stopped as well; both ask again later,
after random pauses.
Source: G. Ricart, A. Agrawala, "An Optimal Algorithm for Mutual Exclusion in
Computer Networks", CACM 1981.
"""

from __future__ import annotations

from collections.abc import Callable
import typing

from geraniumlink import _clock
from geraniumlink.suspicion import _suspect_messages

# A trial counts for no longer, should its end never be heard of.
TRIAL_MS = 60_000
# In place of an address: the run is to be the only one, not on its server.
ANY_SERVER = ""
Asked = _suspect_messages.Asked


class Trial(typing.NamedTuple):
    """A suspect that runs, or is about to, on a server of its own."""

    fingerprint: str
    address: str
    holder: str
    # Tells the holder's trials apart, so that a late end does no harm.
    number: int
    until: int
    # False while peers are still being asked.
    running: bool


class Trials:
    """The trials of this instance and those it granted to others."""

    def __init__(
        self,
        clock: _clock.Clock,
        own_name: str,
        is_alive: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._own_name = own_name
        self._is_alive = is_alive
        self._number = 0
        self._trials: dict[str, Trial] = {}

    def addresses(self) -> set[str]:
        """Return the addresses of servers that run a suspect now."""
        return {trial.address for trial in self._live()} - {ANY_SERVER}

    def on_server(self, address: str) -> Trial | None:
        """Return the trial on a server, if there is one."""
        for trial in self._live():
            if address == trial.address != ANY_SERVER:
                return trial
        return None

    def objection(self, fingerprint: str, address: str) -> Trial | None:
        """Return the trial that stands against one of these, if any."""
        for trial in self._live():
            same_server = address == trial.address != ANY_SERVER
            if fingerprint == trial.fingerprint or same_server:
                return trial
        return None

    def begin(self, fingerprint: str, address: str) -> Trial:
        """Note an own trial that peers are yet to be asked about."""
        self._number += 1
        until = self._clock.now() + TRIAL_MS
        trial = Trial(
            fingerprint, address, self._own_name, self._number, until, False
        )
        self._trials[fingerprint] = trial
        return trial

    def stands(self, trial: Trial) -> bool:
        """Whether no peer with a lower name has asked meanwhile."""
        return self._trials.get(trial.fingerprint) is trial

    def run(self, trial: Trial) -> None:
        """Note that no peer objected."""
        self._trials[trial.fingerprint] = trial._replace(running=True)

    def end(self, fingerprint: str) -> Asked | None:
        """End an own trial; return what peers are to be told."""
        trial = self._trials.get(fingerprint)
        if trial is None or not self._is_own(trial):
            return None
        del self._trials[fingerprint]
        return Asked(fingerprint, trial.address, trial.number)

    def runs(self, fingerprint: str) -> bool:
        """Whether an own trial was granted."""
        trial = self._trials.get(fingerprint)
        return trial is not None and self._is_own(trial) and trial.running

    def grant(self, sender: str, asked: Asked) -> list[Asked] | None:
        """Grant a peer's trial; return the own ones given up, or None.

        None is an objection.
        """
        given_up: list[Asked] = []
        objection = self.objection(asked.fingerprint, asked.address)
        while objection is not None and objection.holder != sender:
            yields = self._is_own(objection) and not objection.running
            if not yields or sender > objection.holder:
                return None
            ended = self.end(objection.fingerprint)
            given_up += [ended] if ended else []
            objection = self.objection(asked.fingerprint, asked.address)
        until = self._clock.now() + TRIAL_MS
        self._trials[asked.fingerprint] = Trial(
            *asked[:2], sender, asked.number, until, True
        )
        return given_up

    def take_end(self, sender: str, over: Asked) -> None:
        """Forget a peer's trial, unless it has begun a later one."""
        trial = self._trials.get(over.fingerprint)
        if (
            trial is not None
            and trial.holder == sender
            and trial.number <= over.number
        ):
            del self._trials[over.fingerprint]

    def _live(self) -> list[Trial]:
        now = self._clock.now()
        self._trials = {
            fingerprint: trial
            for fingerprint, trial in self._trials.items()
            if trial.until > now
            and (self._is_own(trial) or self._is_alive(trial.holder))
        }
        return list(self._trials.values())

    def _is_own(self, trial: Trial) -> bool:
        return trial.holder == self._own_name
