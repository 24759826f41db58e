"""Model of at-most-once execution under an idempotency key.

There is one key. Each process makes one attempt under it, as an instance does
for the first caller who sends it the key. A frozen process takes no step for
a while, which every interleaving allows. The object API may fail any call,
and a write that it did not answer may take effect at any later time. Any
process may be killed at any time.

The protocol only compares a version with the current one. So each process has
a flag in place of a version, and every write clears the flags of all others.

Abstracted away are the number of retries (one here, as in the code), the
number of backend servers (a call that one refuses is sent again under the
same claim), sizes, and time except for the phases of the key's age. Callers
who join a run at its own instance get that run's outcome and are not modelled.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum
import typing

import minicheck


class Pc(enum.Enum):
    """The program counter: how far a process is with its attempt."""

    IDLE = "idle"
    CLAIMING = "claiming"
    # The first write of the claim was not answered; one retry is left.
    UNSURE = "unsure"
    # The object API returned a claim, which may have changed since.
    READ = "read"
    ASKING = "asking"
    # Its claim is written; the key's age is still to be checked again.
    WRITTEN = "written"
    HELD = "held"
    # All checks before the dispatch have passed.
    READY = "ready"
    SENT = "sent"
    # The outcome is known and not recorded yet.
    RAN = "ran"
    UNKNOWN = "unknown"
    # Abandoned before the dispatch, with the claim held.
    ABANDONED = "abandoned"
    # Ended without a dispatch, or with an abandonment recorded.
    GONE = "gone"
    # The outcome is recorded; it may still be in memory.
    RAN_RECORDED = "ran_recorded"
    UNKNOWN_RECORDED = "unknown_recorded"
    DEAD = "dead"


class Phase(enum.IntEnum):
    """The age of the key by the clocks of the instances."""

    VALID = 0
    # Expired by the clocks of some instances and valid by those of others.
    MIXED = 1
    # Expired by the clocks of all instances.
    EXPIRED = 2
    # Its claim may be removed.
    REMOVABLE = 3


class Claim(typing.NamedTuple):
    """The stored claim: the process that wrote it, and its outcome."""

    owner: int
    # "none", "not_run", "ran" or "unknown".
    outcome: str


class Process(typing.NamedTuple):
    """A process and its attempt under the key."""

    pc: Pc = Pc.IDLE
    # Whether the version that it read or wrote is the current one.
    current: bool = True
    # The claim that it read, while it is in READ or ASKING.
    seen: Claim | None = None


class DelayedWrite(typing.NamedTuple):
    """An unanswered write over the current version; may take effect later."""

    claim: Claim


class State(typing.NamedTuple):
    """The global state; ``runs`` and ``answers`` are indexed by process."""

    claim: Claim | None
    processes: tuple[Process, ...]
    delayed_writes: frozenset[DelayedWrite]
    # The processes whose call was dispatched and neither started nor refused
    # by the backend server.
    in_transit: frozenset[int]
    # How often the backend server ran each process's call.
    runs: tuple[int, ...]
    # "not_run", "may_have_run", "another_request", or the process whose run
    # gave the answer; None before the answer.
    answers: tuple[str | int | None, ...]
    # Some attempt was refused as not_run while one had run or could still
    # run.
    false_not_run: bool
    phase: Phase
    kills: int


class Bounds(typing.NamedTuple):
    """The explored configuration: the processes and the faults."""

    # The request that each process sends; equal numbers are equal requests.
    digests: tuple[int, ...] = (0, 0)
    # The most processes that are killed.
    kills: int = 1
    keys_expire: bool = False


class Rules(typing.NamedTuple):
    """The protocol's mechanisms; mutants switch off or break one each."""

    # The claim is written before the call is sent.
    claim_first: bool = True
    # An owner that doesn't reply is treated as if it had never sent the call.
    take_over_on_silence: bool = False
    # A process recognises its own claim in a conflict.
    recognise_nonce: bool = True
    # A nonce is never used if the write of its claim was not confirmed.
    abandon_unreadable: bool = True
    # The refusal while the object API does not answer.
    outage_answer: str = "may_have_run"
    # Nothing is sent after an attempt was refused as abandoned.
    abandonment_is_final: bool = True
    # A claim's outcome is returned only for the request that made the claim.
    compare_digest: bool = True
    # The key's age is checked again once the claim is written.
    recheck_key_age: bool = True
    # The first phase in which the claim may be removed.
    removal_phase: Phase = Phase.REMOVABLE
    # A call whose connection was lost is sent again, as if it was refused.
    retry_lost_connection: bool = False
    # An owner remembers a sent call until its outcome is recorded.
    remember_until_recorded: bool = True
    # The refusal of an expired key.
    expired_key_answer: str = "may_have_run"


Step = tuple[str, State]
# Steps for which the program writes a log line of the same name.
LOGGED = frozenset(
    (
        "another_request",
        "call_dispatched",
        "claim_found",
        "claim_held",
        "claim_taken_over",
        "claim_unavailable",
        "connection_breaks",
        "call_abandoned",
        "owner_says_absent",
        "owner_says_ran",
        "owner_says_unknown",
        "owner_silent",
        "peer_says_ran",
        "record",
        "replay",
        "replay_unknown",
        "server_answers",
        "server_refuses",
    )
)
_DEFAULT_BOUNDS = Bounds()
_DEFAULT_RULES = Rules()


def protocol(
    bounds: Bounds = _DEFAULT_BOUNDS, rules: Rules = _DEFAULT_RULES
) -> minicheck.Protocol:
    """Return the model for ``minicheck.check_safety``."""
    count = len(bounds.digests)
    initial = State(
        claim=None,
        processes=(Process(),) * count,
        delayed_writes=frozenset(),
        in_transit=frozenset(),
        runs=(0,) * count,
        answers=(None,) * count,
        false_not_run=False,
        phase=Phase.VALID,
        kills=0,
    )
    steps = _Steps(bounds, rules)
    return minicheck.Protocol(
        name="claims",
        candidate=True,
        fields=State._fields,
        initial=initial,
        transitions=steps.successors,
        invariants={
            "at_most_once": lambda state: sum(state["runs"]) <= 1,
            "not_run_is_true": _not_run_is_true,
            "no_run_is_denied": lambda state: not state["false_not_run"],
            "own_claim_is_recognised": _no_process_asks_itself,
            "answer_is_own": lambda state: _answers_are_own(
                state, bounds.digests
            ),
        },
    )


def _not_run_is_true(state: dict) -> bool:
    """No attempt that was refused as not_run ran, then or later."""
    return not any(
        answer == "not_run" and run
        for answer, run in zip(state["answers"], state["runs"], strict=True)
    )


def _answers_are_own(state: dict, digests: tuple[int, ...]) -> bool:
    """Each answer comes from a run of the same request."""
    return all(
        state["runs"][answer] and digests[answer] == digests[index]
        for index, answer in enumerate(state["answers"])
        if isinstance(answer, int)
    )


def _no_process_asks_itself(state: dict) -> bool:
    """A process that lost the answer to its claim must not wait for itself."""
    return not any(
        process.seen is not None and process.seen.owner == index
        for index, process in enumerate(state["processes"])
    )


class _Steps:
    """The transition relation: the named steps possible in a state."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._rules = rules
        # Where a process may reply that it has no sent call: it sent none, or
        # it may have forgotten it, since the outcome is recorded.
        self._absent = {
            Pc.GONE,
            Pc.ABANDONED,
            Pc.RAN_RECORDED,
            Pc.UNKNOWN_RECORDED,
        }
        if not rules.remember_until_recorded:
            self._absent.add(Pc.SENT)
        self._by_pc = {
            Pc.IDLE: self._receive,
            Pc.CLAIMING: self._claim,
            Pc.UNSURE: self._claim,
            Pc.READ: self._read,
            Pc.ASKING: self._ask,
            Pc.WRITTEN: self._check_age,
            Pc.HELD: self._finish_checks,
            Pc.READY: self._dispatch,
            Pc.SENT: self._await_server,
            Pc.RAN: self._record,
            Pc.UNKNOWN: self._record,
            Pc.ABANDONED: self._record,
            Pc.GONE: self._record_late_abandonment,
        }

    def successors(self, state: State) -> list[Step]:
        """Return all steps possible in a state, each with its next state."""
        found: list[Step] = list(self._environment_steps(state))
        for index in range(len(state.processes)):
            for label, after in self._process_steps(state, index):
                found.append((f"{label}({index})", after))
        return found

    def _environment_steps(self, state: State) -> Iterator[Step]:
        """Late writes, the passing of time and the removal of the claim."""
        for write in state.delayed_writes:
            after = state._replace(
                delayed_writes=state.delayed_writes - {write}
            )
            yield "late_write", _with_claim(after, write.claim, None)
        if not self._bounds.keys_expire:
            return
        if state.phase < Phase.REMOVABLE:
            yield "time_passes", state._replace(phase=Phase(state.phase + 1))
        if state.claim and state.phase >= self._rules.removal_phase:
            yield "janitor_removes", _with_claim(state, None, None)

    def _process_steps(self, state: State, index: int) -> Iterator[Step]:
        pc = state.processes[index].pc
        if pc in self._by_pc:
            yield from self._by_pc[pc](state, index)
        if index in state.in_transit:
            yield from self._deliver(state, index)
        if pc not in (Pc.IDLE, Pc.DEAD):
            yield from self._kill(state, index)

    def _kill(self, state: State, index: int) -> Iterator[Step]:
        if state.kills < self._bounds.kills:
            after = state._replace(kills=state.kills + 1)
            yield "kill", _with_process(after, index, pc=Pc.DEAD)

    def _receive(self, state: State, index: int) -> Iterator[Step]:
        if state.phase >= Phase.MIXED:
            says = self._rules.expired_key_answer
            after = _with_answer(state, index, says)
            yield "key_expired", _with_process(after, index, pc=Pc.GONE)
        if state.phase <= Phase.MIXED:
            # The first write requires that the object never existed; any
            # earlier write has cleared ``current``.
            pc = Pc.CLAIMING if self._rules.claim_first else Pc.HELD
            yield "receive", _with_process(state, index, pc=pc)

    def _claim(self, state: State, index: int) -> Iterator[Step]:
        """Write the claim, or read the one that conflicts with it."""
        process = state.processes[index]
        wanted = Claim(index, "none")
        yield from self._pass_deadline(state, index)
        yield from self._claim_unanswered(state, index, wanted)
        if process.current:
            after = _with_claim(state, wanted, index)
            yield "claim_written", _with_process(after, index, pc=Pc.WRITTEN)
        elif state.claim is None:
            yield "claim_gone", _with_process(state, index, current=True)
        elif state.claim.owner == index and self._rules.recognise_nonce:
            yield (
                "claim_own",
                _with_process(state, index, pc=Pc.WRITTEN, current=True),
            )
        else:
            read = _with_process(
                state, index, pc=Pc.READ, current=True, seen=state.claim
            )
            yield "claim_read", read

    def _claim_unanswered(
        self, state: State, index: int, wanted: Claim
    ) -> Iterator[Step]:
        """The object API doesn't answer; retry once, then ask the peers."""
        process = state.processes[index]
        after = state
        if process.current:
            after = state._replace(
                delayed_writes=state.delayed_writes | {DelayedWrite(wanted)}
            )
        if process.pc is Pc.CLAIMING:
            yield "claim_unanswered", _with_process(after, index, pc=Pc.UNSURE)
        pc = Pc.GONE if self._rules.abandon_unreadable else Pc.HELD
        for peer, other in enumerate(state.processes):
            ran = other.pc in (Pc.RAN, Pc.RAN_RECORDED)
            if ran and self._same_request(peer, index):
                said = _with_answer(after, index, peer)
                yield "peer_says_ran", _with_process(said, index, pc=pc)
        after = _with_answer(after, index, self._rules.outage_answer)
        yield "claim_unavailable", _with_process(after, index, pc=pc)

    def _same_request(self, one: int, other: int) -> bool:
        """Whether one process takes another's request for its own."""
        digests = self._bounds.digests
        same = digests[one] == digests[other]
        return same or not self._rules.compare_digest

    def _read(self, state: State, index: int) -> Iterator[Step]:
        """Act on the claim that was read."""
        claim = state.processes[index].seen
        assert claim is not None
        if not self._same_request(claim.owner, index):
            after = _with_answer(state, index, "another_request")
            yield "another_request", _with_process(after, index, pc=Pc.GONE)
            return
        match claim.outcome:
            case "none":
                yield "claim_found", _with_process(state, index, pc=Pc.ASKING)
            case "not_run":
                yield (
                    "claim_taken_over",
                    _with_process(state, index, pc=Pc.CLAIMING),
                )
            case "ran":
                after = _with_answer(state, index, claim.owner)
                yield "replay", _with_process(after, index, pc=Pc.GONE)
            case _:
                after = _with_answer(state, index, "may_have_run")
                yield "replay_unknown", _with_process(after, index, pc=Pc.GONE)

    def _ask(self, state: State, index: int) -> Iterator[Step]:
        """Ask the owner of the claim that was read for its outcome."""
        process = state.processes[index]
        yield from self._pass_deadline(state, index)
        if self._rules.take_over_on_silence:
            yield "owner_silent", _with_process(state, index, pc=Pc.CLAIMING)
        else:
            after = _with_answer(state, index, "may_have_run")
            yield "owner_silent", _with_process(after, index, pc=Pc.GONE)
        assert process.seen is not None
        owner = state.processes[process.seen.owner].pc
        if owner in (Pc.RAN, Pc.RAN_RECORDED):
            after = _with_answer(state, index, process.seen.owner)
            yield "owner_says_ran", _with_process(after, index, pc=Pc.GONE)
        if owner in (Pc.UNKNOWN, Pc.UNKNOWN_RECORDED):
            after = _with_answer(state, index, "may_have_run")
            yield "owner_says_unknown", _with_process(after, index, pc=Pc.GONE)
        if owner in self._absent:
            yield (
                "owner_says_absent",
                _with_process(state, index, pc=Pc.CLAIMING),
            )

    def _pass_deadline(self, state: State, index: int) -> Iterator[Step]:
        """The caller's deadline passes, or it leaves, with no claim held."""
        after = _with_answer(state, index, "may_have_run")
        yield "deadline_unclaimed", _with_process(after, index, pc=Pc.GONE)

    def _check_age(self, state: State, index: int) -> Iterator[Step]:
        """Check the key's age again, after the claim is written.

        If the key is still valid, no earlier claim can have been removed.
        """
        check = self._rules.recheck_key_age
        if state.phase <= Phase.MIXED or not check:
            yield "claim_held", _with_process(state, index, pc=Pc.HELD)
        if state.phase >= Phase.MIXED and check:
            after = _with_answer(state, index, "may_have_run")
            yield "key_expired", _with_process(after, index, pc=Pc.ABANDONED)

    def _finish_checks(self, state: State, index: int) -> Iterator[Step]:
        """Pass the checks before the dispatch, or abandon the call."""
        yield "checks_passed", _with_process(state, index, pc=Pc.READY)
        after = _with_answer(state, index, "not_run")
        pc = Pc.ABANDONED if self._rules.abandonment_is_final else Pc.HELD
        yield "call_abandoned", _with_process(after, index, pc=pc)

    def _dispatch(self, state: State, index: int) -> Iterator[Step]:
        after = state._replace(in_transit=state.in_transit | {index})
        yield "call_dispatched", _with_process(after, index, pc=Pc.SENT)

    def _await_server(self, state: State, index: int) -> Iterator[Step]:
        """The deadline passes, the server answers or the connection breaks."""
        timed_out = _with_answer(state, index, "may_have_run")
        if timed_out != state:
            yield "deadline_dispatched", timed_out
        if state.runs[index]:
            after = _with_answer(state, index, index)
            yield "server_answers", _with_process(after, index, pc=Pc.RAN)
        if self._rules.retry_lost_connection:
            yield "connection_breaks", _with_process(state, index, pc=Pc.HELD)
        else:
            after = _with_answer(state, index, "may_have_run")
            yield (
                "connection_breaks",
                _with_process(after, index, pc=Pc.UNKNOWN),
            )

    def _deliver(self, state: State, index: int) -> Iterator[Step]:
        """A dispatched call arrives, even if its sender has ended."""
        after = state._replace(in_transit=state.in_transit - {index})
        runs = list(state.runs)
        runs[index] += 1
        yield "server_runs", after._replace(runs=tuple(runs))
        if state.processes[index].pc is Pc.SENT:
            yield "server_refuses", _with_process(after, index, pc=Pc.HELD)
        else:
            yield "server_refuses_nobody", after

    def _record_late_abandonment(
        self, state: State, index: int
    ) -> Iterator[Step]:
        """Record not_run in a claim that a late write stored."""
        if state.claim == Claim(index, "none"):
            after = _with_claim(state, Claim(index, "not_run"), index)
            yield "record_abandoned", after

    def _record(self, state: State, index: int) -> Iterator[Step]:
        """Write the outcome, or that the call was abandoned, to the claim."""
        process = state.processes[index]
        outcome, end = {
            Pc.RAN: ("ran", Pc.RAN_RECORDED),
            Pc.UNKNOWN: ("unknown", Pc.UNKNOWN_RECORDED),
            Pc.ABANDONED: ("not_run", Pc.GONE),
        }[process.pc]
        claim = Claim(index, outcome)
        abandoned = process.pc is Pc.ABANDONED
        label = "record_abandoned" if abandoned else "record"
        if process.current:
            after = _with_claim(state, claim, index)
            yield label, _with_process(after, index, pc=end)
            unanswered = state._replace(
                delayed_writes=state.delayed_writes | {DelayedWrite(claim)}
            )
            if abandoned:
                unanswered = _with_process(unanswered, index, pc=end)
            yield "record_unanswered", unanswered
        else:
            # The conflict is with its own late write, or the claim is now
            # another process's; either way, nothing is left to write.
            yield label, _with_process(state, index, pc=end)


def _with_claim(
    state: State, claim: Claim | None, writer: int | None
) -> State:
    """Store a claim; only its writer then has the current version."""
    processes = tuple(
        process._replace(current=index == writer)
        for index, process in enumerate(state.processes)
    )
    return state._replace(
        claim=claim, processes=processes, delayed_writes=frozenset()
    )


def _with_process(state: State, index: int, **changes: typing.Any) -> State:
    """Change a process; forget the claim it read once it has acted on it."""
    processes = list(state.processes)
    process = processes[index]._replace(**changes)
    if process.pc not in (Pc.READ, Pc.ASKING):
        process = process._replace(seen=None)
    processes[index] = process
    return state._replace(processes=tuple(processes))


def _with_answer(state: State, index: int, answer: str | int) -> State:
    """Answer an attempt unless it was answered or its caller has left."""
    if state.answers[index] is not None:
        return state
    answers = list(state.answers)
    answers[index] = answer
    may_run = bool(sum(state.runs)) or bool(state.in_transit)
    ready = any(process.pc is Pc.READY for process in state.processes)
    false_not_run = state.false_not_run or (
        answer == "not_run" and (may_run or ready)
    )
    return state._replace(answers=tuple(answers), false_not_run=false_not_run)


def first_rejected_step(
    bounds: Bounds, trace: list[tuple[str, int]]
) -> tuple[str, int] | None:
    """Replay logged steps; return the first that the model rejects, or None.

    A step is a log line's name and the process that wrote it. Steps without
    a log line may happen between any two steps of the trace.
    """
    steps = _Steps(bounds, _DEFAULT_RULES)
    reached = _add_unlogged_steps({protocol(bounds).initial}, steps)
    for step in trace:
        label = f"{step[0]}({step[1]})"
        reached = {
            after
            for state in reached
            for name, after in steps.successors(state)
            if name == label
        }
        if not reached:
            return step
        reached = _add_unlogged_steps(reached, steps)
    return None


def _add_unlogged_steps(reached: set[State], steps: _Steps) -> set[State]:
    """Add all states that are reachable by steps without a log line."""
    pending = list(reached)
    while pending:
        for name, after in steps.successors(pending.pop()):
            if name.split("(")[0] not in LOGGED and after not in reached:
                reached.add(after)
                pending.append(after)
    return reached
