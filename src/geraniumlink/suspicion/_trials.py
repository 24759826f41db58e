"""Mutual exclusion of the runs of suspects, among instances.

A suspect is a request that may have crashed a server. A trial is the only
run of a suspect in the fleet, usually as the only suspect on its server. An
instance requests a trial from all peers that it reaches, and starts it if
none objects. When two instances request conflicting trials at the same
time, the one with the higher name withdraws its own. If a third
instance had already granted that one, it objects to the other, so neither
starts; both request again after random pauses.
Source: G. Ricart, A. Agrawala, "An Optimal Algorithm for Mutual Exclusion in
Computer Networks", CACM 1981.
"""

from __future__ import annotations

from collections.abc import Callable
import typing

from geraniumlink import _clock
from geraniumlink.suspicion import _suspect_messages

# A trial expires after this time, in case news of its end is lost.
TRIAL_TTL_MS = 60_000
# Stands for the address in a trial that reserves the request but no server:
# it is the request's only run, and other trials may be on the same server.
ANY_SERVER = ""
TrialRef = _suspect_messages.TrialRef


class Trial(typing.NamedTuple):
    """A suspect's exclusive run, requested or granted."""

    # Digest of the request.
    fingerprint: str
    # Address of the reserved server, or ANY_SERVER.
    address: str
    # Name of the instance that requested it.
    holder: str
    # Increases with each trial of the holder, so that a delayed message about
    # the end of an earlier trial doesn't end this one.
    number: int
    # On the monotonic clock, in milliseconds.
    expires_at: int
    # False while peers are still being asked to grant it.
    granted: bool


class Trials:
    """This instance's own trials, and those it granted to its peers."""

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
        # By fingerprint.
        self._trials: dict[str, Trial] = {}

    def addresses(self) -> set[str]:
        """Return the addresses of the servers that trials have reserved."""
        return {trial.address for trial in self._active()} - {ANY_SERVER}

    def on_server(self, address: str) -> Trial | None:
        """Return the trial that has reserved a server, if any."""
        for trial in self._active():
            if address == trial.address != ANY_SERVER:
                return trial
        return None

    def conflicting(self, fingerprint: str, address: str) -> Trial | None:
        """Return a trial of the same request or on the same server, if any."""
        for trial in self._active():
            same_server = address == trial.address != ANY_SERVER
            if fingerprint == trial.fingerprint or same_server:
                return trial
        return None

    def propose(self, fingerprint: str, address: str) -> Trial:
        """Record an own trial that peers haven't been asked about yet."""
        self._number += 1
        expires_at = self._clock.now() + TRIAL_TTL_MS
        trial = Trial(
            fingerprint,
            address,
            self._own_name,
            self._number,
            expires_at,
            False,
        )
        self._trials[fingerprint] = trial
        return trial

    def is_current(self, trial: Trial) -> bool:
        """Whether an own trial is still the one recorded for its request.

        It isn't after it was withdrawn in favour of a peer's trial.
        """
        return self._trials.get(trial.fingerprint) is trial

    def mark_granted(self, trial: Trial) -> None:
        """Record that no peer objected to an own trial."""
        self._trials[trial.fingerprint] = trial._replace(granted=True)

    def end_own(self, fingerprint: str) -> TrialRef | None:
        """End an own trial; return the reference to send to peers.

        Returns None if the request has no own trial.
        """
        trial = self._trials.get(fingerprint)
        if trial is None or not self._is_own(trial):
            return None
        del self._trials[fingerprint]
        return TrialRef(fingerprint, trial.address, trial.number)

    def is_running(self, fingerprint: str) -> bool:
        """Whether the request has an own trial that was granted."""
        trial = self._trials.get(fingerprint)
        return trial is not None and self._is_own(trial) and trial.granted

    def grant(self, sender: str, requested: TrialRef) -> list[TrialRef] | None:
        """Grant a peer's trial, or return None as an objection to it.

        Returns the own trials that were withdrawn in its favour: those that
        conflict with it and aren't granted yet, if this instance's name is
        higher than the sender's. An earlier trial of the sender for the same
        request is replaced.
        """
        withdrawn: list[TrialRef] = []
        conflict = self.conflicting(requested.fingerprint, requested.address)
        while conflict is not None and conflict.holder != sender:
            may_withdraw = self._is_own(conflict) and not conflict.granted
            if not may_withdraw or sender > conflict.holder:
                return None
            ended = self.end_own(conflict.fingerprint)
            withdrawn += [ended] if ended else []
            conflict = self.conflicting(
                requested.fingerprint, requested.address
            )
        expires_at = self._clock.now() + TRIAL_TTL_MS
        self._trials[requested.fingerprint] = Trial(
            *requested[:2], sender, requested.number, expires_at, True
        )
        return withdrawn

    def record_end(self, sender: str, ended: TrialRef) -> None:
        """Remove a peer's trial, unless the peer has started a later one."""
        trial = self._trials.get(ended.fingerprint)
        if (
            trial is not None
            and trial.holder == sender
            and trial.number <= ended.number
        ):
            del self._trials[ended.fingerprint]

    def _active(self) -> list[Trial]:
        """Drop trials that expired or whose holder is gone; return others."""
        now = self._clock.now()
        self._trials = {
            fingerprint: trial
            for fingerprint, trial in self._trials.items()
            if trial.expires_at > now
            and (self._is_own(trial) or self._is_alive(trial.holder))
        }
        return list(self._trials.values())

    def _is_own(self, trial: Trial) -> bool:
        return trial.holder == self._own_name
