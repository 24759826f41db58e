"""A suspect has at most one trial at a time, and so has a server.

Instances request, grant and end trials in arbitrary order.
"""

import hypothesis
from hypothesis import strategies as st

from geraniumlink import _clock
from geraniumlink.suspicion import _trials

_NAMES = ("i1", "i2", "i3")


class _Instance:
    """An instance's trials, and the peers it has yet to ask for a grant."""

    def __init__(self, name):
        clock = _clock.ManualClock()
        self.name = name
        self.trials = _trials.Trials(clock, name, lambda _: True)
        self.proposed = None
        self.peers_to_ask = []
        self.granted = True
        self.running = None


def _propose(instance, fingerprint, address):
    if instance.proposed or instance.running:
        return
    if instance.trials.conflicting(fingerprint, address):
        return
    instance.proposed = instance.trials.propose(fingerprint, address)
    instance.peers_to_ask = [name for name in _NAMES if name != instance.name]
    instance.granted = True


def _request_grant(instance, others, index):
    """Deliver its request to one peer; start or end after the last one."""
    if instance.proposed is None:
        return
    trial = instance.proposed
    name = instance.peers_to_ask.pop(index % len(instance.peers_to_ask))
    requested = _trials.TrialRef(
        trial.fingerprint, trial.address, trial.number
    )
    withdrawn = others[name].trials.grant(instance.name, requested)
    instance.granted &= withdrawn is not None
    for ended in withdrawn or ():
        for other in others.values():
            other.trials.record_end(name, ended)
    if instance.peers_to_ask:
        return
    instance.proposed = None
    if not instance.trials.is_current(trial):
        return
    if instance.granted:
        instance.trials.mark_granted(trial)
        instance.running = trial
    else:
        _end(instance, others, trial.fingerprint)


def _end(instance, others, fingerprint):
    instance.running = None
    ended = instance.trials.end_own(fingerprint)
    if ended is not None:
        for other in others.values():
            other.trials.record_end(instance.name, ended)


_steps = st.tuples(
    st.sampled_from(_NAMES),
    st.sampled_from(("propose", "request", "request", "request", "end")),
    st.integers(0, 1),
    st.integers(0, 1),
)


@hypothesis.settings(max_examples=500)
@hypothesis.given(st.lists(_steps, min_size=10, max_size=40))
def test_running_trials_share_neither_suspect_nor_server(steps):
    instances = {name: _Instance(name) for name in _NAMES}
    for name, step, first, second in steps:
        instance = instances[name]
        match step:
            case "propose":
                _propose(instance, f"suspect{first}", f"server{second}")
            case "request":
                _request_grant(instance, instances, first)
            case "end" if instance.running:
                _end(instance, instances, instance.running.fingerprint)
        running = [i.running for i in instances.values() if i.running]
        assert len({trial.fingerprint for trial in running}) == len(running)
        assert len({trial.address for trial in running}) == len(running)


def test_a_lone_request_is_granted_after_two_blocked_each_other():
    """Two instances may block each other; a later request isn't affected."""
    instances = {name: _Instance(name) for name in _NAMES}
    for name in ("i2", "i1"):
        _propose(instances[name], "suspect", "server")
    for _ in range(2):
        for name in ("i2", "i1"):
            _request_grant(instances[name], instances, 0)
    assert not any(instance.running for instance in instances.values())
    _propose(instances["i2"], "suspect", "server")
    for _ in range(2):
        _request_grant(instances["i2"], instances, 0)
    assert instances["i2"].running


def test_a_delayed_end_does_not_end_a_later_trial():
    first, second = _Instance("i1"), _Instance("i2")
    for _ in range(2):
        trial = first.trials.propose("suspect", "server")
        requested = _trials.TrialRef(
            trial.fingerprint, trial.address, trial.number
        )
        assert second.trials.grant("i1", requested) == []
        ended = first.trials.end_own("suspect")
        if trial.number == 1:
            delayed = ended
    second.trials.record_end("i1", delayed)
    assert second.trials.conflicting("suspect", "other")


def test_a_trial_is_dropped_once_its_holder_is_not_alive():
    clock = _clock.ManualClock()
    alive = {"i1"}
    trials = _trials.Trials(clock, "i2", alive.__contains__)
    assert trials.grant("i1", _trials.TrialRef("suspect", "server", 1)) == []
    assert trials.conflicting("suspect", "other")
    alive.clear()
    assert not trials.conflicting("suspect", "other")
