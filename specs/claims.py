"""Model of at-most-once execution under an idempotency key.

One key. Each process makes one attempt under it, as an instance does for the
first caller who sends it the key. A frozen process is one that takes no step
for a while, which every interleaving allows. The object API may fail any
call, and a write that it did not answer may take effect at any later time.
Any process may be killed at any time.

A version matters only by whether it is the current one, so a process keeps a
flag in place of it: every write makes the flags of all others false.

Abstracted: the number of retries (one here, as in the code), the number of
backend servers (what one refuses is sent again under the same claim), sizes,
and time, of which only the phases of a key's age are left. Callers who join
a run at its own instance get that run's outcome and are not modelled.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum
import typing

import minicheck


class Pc(enum.Enum):
    """Where a process is with its attempt."""

    IDLE = "idle"
    CLAIMING = "claiming"
    # One write of the claim was not answered.
    UNSURE = "unsure"
    # The API answered with a claim, which may be old by now.
    READ = "read"
    ASKING = "asking"
    # Its claim is written; the age of the key is to be checked again.
    WRITTEN = "written"
    HELD = "held"
    # All checks before the dispatch were passed.
    READY = "ready"
    SENT = "sent"
    # The outcome is known and not recorded yet.
    RAN = "ran"
    UNKNOWN = "unknown"
    # Given up before the dispatch, with the claim held.
    ABANDONED = "abandoned"
    # Ended without a dispatch; nothing is left to write.
    GONE = "gone"
    # The outcome is recorded; it may still be in memory.
    RAN_RECORDED = "ran_recorded"
    UNKNOWN_RECORDED = "unknown_recorded"
    DEAD = "dead"


class Phase(enum.IntEnum):
    """The age of the key, as the clocks of the instances show it."""

    GOOD = 0
    # Expired by the clocks of some instances.
    MIXED = 1
    EXPIRED = 2
    REMOVABLE = 3


class Claim(typing.NamedTuple):
    """The object: whose claim it is, and its outcome."""

    owner: int
    outcome: str


class Process(typing.NamedTuple):
    """An attempt under the key."""

    pc: Pc = Pc.IDLE
    # The version that it read or wrote is the current one.
    current: bool = True
    # The claim that it read, until it is done with it.
    seen: Claim | None = None


class Late(typing.NamedTuple):
    """A write over the current version that may still take effect."""

    claim: Claim


class State(typing.NamedTuple):
    """Everything there is; ``runs`` and ``answers`` are by process."""

    claim: Claim | None
    processes: tuple[Process, ...]
    late: frozenset[Late]
    # Dispatched and neither begun nor refused by the backend server.
    travelling: frozenset[int]
    runs: tuple[int, ...]
    # "not_run", "may_have_run", or the number of the run that answered.
    answers: tuple[str | int | None, ...]
    # NOT_RUN was said while an attempt had run or could still run.
    denied: bool
    phase: Phase
    kills: int


class Bounds(typing.NamedTuple):
    """What is explored: the request of each process, and the faults."""

    digests: tuple[int, ...] = (0, 0)
    kills: int = 1
    ageing: bool = False


class Rules(typing.NamedTuple):
    """The mechanisms; each is switched off or spoilt by a mutant."""

    claim_first: bool = True
    take_over_on_silence: bool = False
    recognise_nonce: bool = True
    # A nonce whose claim can't be read back is never used.
    abandon_unreadable: bool = True
    # What is said when the object API does not answer.
    outage_says: str = "may_have_run"
    # Given up means that nothing is sent any more.
    abandon_for_good: bool = True
    compare_digest: bool = True
    check_age_of_claimed: bool = True
    remove_from: Phase = Phase.REMOVABLE
    broken_is_refused: bool = False
    # A sent call is known to its owner until its outcome is recorded.
    remember_sent: bool = True
    expired_says: str = "may_have_run"


Step = tuple[str, State]
# Steps that the program writes a log line for, by the same name.
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
    """Return the model, to be given to ``minicheck.check_safety``."""
    count = len(bounds.digests)
    initial = State(
        claim=None,
        processes=(Process(),) * count,
        late=frozenset(),
        travelling=frozenset(),
        runs=(0,) * count,
        answers=(None,) * count,
        denied=False,
        phase=Phase.GOOD,
        kills=0,
    )
    steps = _Steps(bounds, rules)
    return minicheck.Protocol(
        name="claims",
        candidate=True,
        fields=State._fields,
        initial=initial,
        transitions=steps.all,
        invariants={
            "at_most_once": lambda state: sum(state["runs"]) <= 1,
            "not_run_is_true": _not_run_is_true,
            "no_run_is_denied": lambda state: not state["denied"],
            "own_claim_is_recognised": _nobody_asks_itself,
            "answer_is_own": lambda state: _answers_are_own(
                state, bounds.digests
            ),
        },
    )


def _not_run_is_true(state: dict) -> bool:
    return not any(
        answer == "not_run" and run
        for answer, run in zip(state["answers"], state["runs"], strict=True)
    )


def _answers_are_own(state: dict, digests: tuple[int, ...]) -> bool:
    return all(
        state["runs"][answer] and digests[answer] == digests[index]
        for index, answer in enumerate(state["answers"])
        if isinstance(answer, int)
    )


def _nobody_asks_itself(state: dict) -> bool:
    """A process that lost the answer to its own claim must not wait."""
    return not any(
        process.seen is not None and process.seen.owner == index
        for index, process in enumerate(state["processes"])
    )


class _Steps:
    """The steps that may be taken in a state, with their names."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._rules = rules
        # What is recorded may have been dropped from memory.
        self._absent = {
            Pc.GONE,
            Pc.ABANDONED,
            Pc.RAN_RECORDED,
            Pc.UNKNOWN_RECORDED,
        }
        if not rules.remember_sent:
            self._absent.add(Pc.SENT)
        self._by_pc = {
            Pc.IDLE: self._receive,
            Pc.CLAIMING: self._claim,
            Pc.UNSURE: self._claim,
            Pc.READ: self._read,
            Pc.ASKING: self._ask,
            Pc.WRITTEN: self._check_age,
            Pc.HELD: self._hold,
            Pc.READY: self._dispatch,
            Pc.SENT: self._await_server,
            Pc.RAN: self._record,
            Pc.UNKNOWN: self._record,
            Pc.ABANDONED: self._record,
            Pc.GONE: self._retract,
        }

    def all(self, state: State) -> list[Step]:
        found: list[Step] = list(self._surroundings(state))
        for index in range(len(state.processes)):
            for label, after in self._process(state, index):
                found.append((f"{label}({index})", after))
        return found

    def _surroundings(self, state: State) -> Iterator[Step]:
        for late in state.late:
            after = state._replace(late=state.late - {late})
            yield "late_write", _write(after, late.claim, None)
        if not self._bounds.ageing:
            return
        if state.phase < Phase.REMOVABLE:
            yield "time_passes", state._replace(phase=Phase(state.phase + 1))
        if state.claim and state.phase >= self._rules.remove_from:
            yield "janitor_removes", _write(state, None, None)

    def _process(self, state: State, index: int) -> Iterator[Step]:
        pc = state.processes[index].pc
        if pc in self._by_pc:
            yield from self._by_pc[pc](state, index)
        if index in state.travelling:
            yield from self._travel(state, index)
        if pc not in (Pc.IDLE, Pc.DEAD):
            yield from self._kill(state, index)

    def _kill(self, state: State, index: int) -> Iterator[Step]:
        if state.kills < self._bounds.kills:
            after = state._replace(kills=state.kills + 1)
            yield "kill", _move(after, index, pc=Pc.DEAD)

    def _receive(self, state: State, index: int) -> Iterator[Step]:
        if state.phase >= Phase.MIXED:
            says = self._rules.expired_says
            after = _answer(state, index, says)
            yield "key_expired", _move(after, index, pc=Pc.GONE)
        if state.phase <= Phase.MIXED:
            # A first write asks for an object that never was: any write so
            # far has made ``current`` false.
            pc = Pc.CLAIMING if self._rules.claim_first else Pc.HELD
            yield "receive", _move(state, index, pc=pc)

    def _claim(self, state: State, index: int) -> Iterator[Step]:
        process = state.processes[index]
        wanted = Claim(index, "none")
        yield from self._give_up(state, index)
        yield from self._claim_unanswered(state, index, wanted)
        if process.current:
            after = _write(state, wanted, index)
            yield "claim_written", _move(after, index, pc=Pc.WRITTEN)
        elif state.claim is None:
            yield "claim_gone", _move(state, index, current=True)
        elif state.claim.owner == index and self._rules.recognise_nonce:
            yield "claim_own", _move(state, index, pc=Pc.WRITTEN, current=True)
        else:
            read = _move(
                state, index, pc=Pc.READ, current=True, seen=state.claim
            )
            yield "claim_read", read

    def _claim_unanswered(
        self, state: State, index: int, wanted: Claim
    ) -> Iterator[Step]:
        process = state.processes[index]
        after = state
        if process.current:
            after = state._replace(late=state.late | {Late(wanted)})
        if process.pc is Pc.CLAIMING:
            yield "claim_unanswered", _move(after, index, pc=Pc.UNSURE)
        pc = Pc.GONE if self._rules.abandon_unreadable else Pc.HELD
        for peer, other in enumerate(state.processes):
            ran = other.pc in (Pc.RAN, Pc.RAN_RECORDED)
            if ran and self._same_request(peer, index):
                said = _answer(after, index, peer)
                yield "peer_says_ran", _move(said, index, pc=pc)
        after = _answer(after, index, self._rules.outage_says)
        yield "claim_unavailable", _move(after, index, pc=pc)

    def _same_request(self, one: int, other: int) -> bool:
        digests = self._bounds.digests
        same = digests[one] == digests[other]
        return same or not self._rules.compare_digest

    def _read(self, state: State, index: int) -> Iterator[Step]:
        claim = state.processes[index].seen
        assert claim is not None
        if not self._same_request(claim.owner, index):
            after = _answer(state, index, "another_request")
            yield "another_request", _move(after, index, pc=Pc.GONE)
            return
        match claim.outcome:
            case "none":
                yield "claim_found", _move(state, index, pc=Pc.ASKING)
            case "not_run":
                yield "claim_taken_over", _move(state, index, pc=Pc.CLAIMING)
            case "ran":
                after = _answer(state, index, claim.owner)
                yield "replay", _move(after, index, pc=Pc.GONE)
            case _:
                after = _answer(state, index, "may_have_run")
                yield "replay_unknown", _move(after, index, pc=Pc.GONE)

    def _ask(self, state: State, index: int) -> Iterator[Step]:
        process = state.processes[index]
        yield from self._give_up(state, index)
        if self._rules.take_over_on_silence:
            yield "owner_silent", _move(state, index, pc=Pc.CLAIMING)
        else:
            after = _answer(state, index, "may_have_run")
            yield "owner_silent", _move(after, index, pc=Pc.GONE)
        assert process.seen is not None
        owner = state.processes[process.seen.owner].pc
        if owner in (Pc.RAN, Pc.RAN_RECORDED):
            after = _answer(state, index, process.seen.owner)
            yield "owner_says_ran", _move(after, index, pc=Pc.GONE)
        if owner in (Pc.UNKNOWN, Pc.UNKNOWN_RECORDED):
            after = _answer(state, index, "may_have_run")
            yield "owner_says_unknown", _move(after, index, pc=Pc.GONE)
        if owner in self._absent:
            yield "owner_says_absent", _move(state, index, pc=Pc.CLAIMING)

    def _give_up(self, state: State, index: int) -> Iterator[Step]:
        """The caller's deadline passes, or it leaves, before the claim."""
        after = _answer(state, index, "may_have_run")
        yield "deadline_unclaimed", _move(after, index, pc=Pc.GONE)

    def _check_age(self, state: State, index: int) -> Iterator[Step]:
        """Accept or refuse the key once more, after the claim is written.

        If it is good, no earlier claim can have been removed before.
        """
        check = self._rules.check_age_of_claimed
        if state.phase <= Phase.MIXED or not check:
            yield "claim_held", _move(state, index, pc=Pc.HELD)
        if state.phase >= Phase.MIXED and check:
            after = _answer(state, index, "may_have_run")
            yield "key_expired", _move(after, index, pc=Pc.ABANDONED)

    def _hold(self, state: State, index: int) -> Iterator[Step]:
        yield "checks_passed", _move(state, index, pc=Pc.READY)
        after = _answer(state, index, "not_run")
        pc = Pc.ABANDONED if self._rules.abandon_for_good else Pc.HELD
        yield "call_abandoned", _move(after, index, pc=pc)

    def _dispatch(self, state: State, index: int) -> Iterator[Step]:
        after = state._replace(travelling=state.travelling | {index})
        yield "call_dispatched", _move(after, index, pc=Pc.SENT)

    def _await_server(self, state: State, index: int) -> Iterator[Step]:
        late = _answer(state, index, "may_have_run")
        if late != state:
            yield "deadline_dispatched", late
        if state.runs[index]:
            after = _answer(state, index, index)
            yield "server_answers", _move(after, index, pc=Pc.RAN)
        if self._rules.broken_is_refused:
            yield "connection_breaks", _move(state, index, pc=Pc.HELD)
        else:
            after = _answer(state, index, "may_have_run")
            yield "connection_breaks", _move(after, index, pc=Pc.UNKNOWN)

    def _travel(self, state: State, index: int) -> Iterator[Step]:
        """A dispatched call arrives, also when its sender is gone."""
        after = state._replace(travelling=state.travelling - {index})
        runs = list(state.runs)
        runs[index] += 1
        yield "server_runs", after._replace(runs=tuple(runs))
        if state.processes[index].pc is Pc.SENT:
            yield "server_refuses", _move(after, index, pc=Pc.HELD)
        else:
            yield "server_refuses_nobody", after

    def _retract(self, state: State, index: int) -> Iterator[Step]:
        """Its claim was written after it had given up."""
        if state.claim == Claim(index, "none"):
            after = _write(state, Claim(index, "not_run"), index)
            yield "record_abandoned", after

    def _record(self, state: State, index: int) -> Iterator[Step]:
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
            after = _write(state, claim, index)
            yield label, _move(after, index, pc=end)
            unanswered = state._replace(late=state.late | {Late(claim)})
            if abandoned:
                unanswered = _move(unanswered, index, pc=end)
            yield "record_unanswered", unanswered
        else:
            # Its own late write, or the claim is no longer its own.
            yield label, _move(state, index, pc=end)


def _write(state: State, claim: Claim | None, writer: int | None) -> State:
    """Put a value; only its writer has the current version then."""
    processes = tuple(
        process._replace(current=index == writer)
        for index, process in enumerate(state.processes)
    )
    return state._replace(claim=claim, processes=processes, late=frozenset())


def _move(state: State, index: int, **changes: typing.Any) -> State:
    processes = list(state.processes)
    process = processes[index]._replace(**changes)
    if process.pc not in (Pc.READ, Pc.ASKING):
        process = process._replace(seen=None)
    processes[index] = process
    return state._replace(processes=tuple(processes))


def _answer(state: State, index: int, answer: str | int) -> State:
    """Answer an attempt unless it was answered or its caller is gone."""
    if state.answers[index] is not None:
        return state
    answers = list(state.answers)
    answers[index] = answer
    may_run = bool(sum(state.runs)) or bool(state.travelling)
    ready = any(process.pc is Pc.READY for process in state.processes)
    denied = state.denied or (answer == "not_run" and (may_run or ready))
    return state._replace(answers=tuple(answers), denied=denied)


def accepts(
    bounds: Bounds, trace: list[tuple[str, int]]
) -> tuple[str, int] | None:
    """Replay the recorded steps of a real run; return the first that can't be.

    A step is a log line's name and the process that wrote it. Steps that no
    process logs may happen between any two of the trace.
    """
    steps = _Steps(bounds, _DEFAULT_RULES)
    reached = _closure({protocol(bounds).initial}, steps)
    for step in trace:
        label = f"{step[0]}({step[1]})"
        reached = {
            after
            for state in reached
            for name, after in steps.all(state)
            if name == label
        }
        if not reached:
            return step
        reached = _closure(reached, steps)
    return None


def _closure(reached: set[State], steps: _Steps) -> set[State]:
    """Add all states that steps without a log line lead to."""
    pending = list(reached)
    while pending:
        for name, after in steps.all(pending.pop()):
            if name.split("(")[0] not in LOGGED and after not in reached:
                reached.add(after)
                pending.append(after)
    return reached
