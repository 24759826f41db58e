"""At most one instance runs a suspect, and one suspect is on a server."""

import hypothesis
from hypothesis import strategies as st

from geraniumlink import _clock
from geraniumlink.suspicion import _trials

_NAMES = ("i1", "i2", "i3")


class _Instance:
    """One instance's trials, and the asks that it still waits for."""

    def __init__(self, name):
        clock = _clock.ManualClock()
        self.name = name
        self.trials = _trials.Trials(clock, name, lambda _: True)
        self.asking = None
        self.unasked = []
        self.granted = True
        self.running = None


def _begin(instance, fingerprint, address):
    if instance.asking or instance.running:
        return
    if instance.trials.objection(fingerprint, address):
        return
    instance.asking = instance.trials.begin(fingerprint, address)
    instance.unasked = [name for name in _NAMES if name != instance.name]
    instance.granted = True


def _ask_next(instance, others, index):
    """Deliver one of its asks; go ahead after the last answer."""
    if instance.asking is None:
        return
    trial = instance.asking
    name = instance.unasked.pop(index % len(instance.unasked))
    asked = _trials.Asked(trial.fingerprint, trial.address, trial.number)
    given_up = others[name].trials.grant(instance.name, asked)
    instance.granted &= given_up is not None
    for ended in given_up or ():
        for other in others.values():
            other.trials.take_end(name, ended)
    if instance.unasked:
        return
    instance.asking = None
    if not instance.trials.stands(trial):
        return
    if instance.granted:
        instance.trials.run(trial)
        instance.running = trial
    else:
        _tell_end(instance, others, trial.fingerprint)


def _tell_end(instance, others, fingerprint):
    instance.running = None
    ended = instance.trials.end(fingerprint)
    if ended is not None:
        for other in others.values():
            other.trials.take_end(instance.name, ended)


_steps = st.tuples(
    st.sampled_from(_NAMES),
    st.sampled_from(("begin", "ask", "ask", "ask", "end")),
    st.integers(0, 1),
    st.integers(0, 1),
)


@hypothesis.settings(max_examples=500)
@hypothesis.given(st.lists(_steps, min_size=10, max_size=40))
def test_no_two_run_the_same_suspect_or_share_a_server(steps):
    instances = {name: _Instance(name) for name in _NAMES}
    for name, step, first, second in steps:
        instance = instances[name]
        match step:
            case "begin":
                _begin(instance, f"suspect{first}", f"server{second}")
            case "ask":
                _ask_next(instance, instances, first)
            case "end" if instance.running:
                _tell_end(instance, instances, instance.running.fingerprint)
        running = [i.running for i in instances.values() if i.running]
        assert len({trial.fingerprint for trial in running}) == len(running)
        assert len({trial.address for trial in running}) == len(running)


def test_whoever_asks_again_alone_goes_ahead():
    """Two may stop each other; nothing of that stays behind."""
    instances = {name: _Instance(name) for name in _NAMES}
    for name in ("i2", "i1"):
        _begin(instances[name], "suspect", "server")
    for _ in range(2):
        for name in ("i2", "i1"):
            _ask_next(instances[name], instances, 0)
    assert not any(instance.running for instance in instances.values())
    _begin(instances["i2"], "suspect", "server")
    for _ in range(2):
        _ask_next(instances["i2"], instances, 0)
    assert instances["i2"].running


def test_a_late_end_does_not_end_a_later_trial():
    first, second = _Instance("i1"), _Instance("i2")
    for _ in range(2):
        trial = first.trials.begin("suspect", "server")
        asked = _trials.Asked(trial.fingerprint, trial.address, trial.number)
        assert second.trials.grant("i1", asked) == []
        ended = first.trials.end("suspect")
        if trial.number == 1:
            late = ended
    second.trials.take_end("i1", late)
    assert second.trials.objection("suspect", "other")


def test_a_trial_of_an_instance_that_is_gone_does_not_count():
    clock = _clock.ManualClock()
    alive = {"i1"}
    trials = _trials.Trials(clock, "i2", alive.__contains__)
    assert trials.grant("i1", _trials.Asked("suspect", "server", 1)) == []
    assert trials.objection("suspect", "other")
    alive.clear()
    assert not trials.objection("suspect", "other")
