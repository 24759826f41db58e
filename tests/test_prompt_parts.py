"""Parts of prompts that crash replicas are blocked, and no others."""

import random

import hypothesis
from hypothesis import strategies as st

from geraniumlink import _clock
from geraniumlink.suspicion import _prompt_parts
from geraniumlink.suspicion import _suspicions
from geraniumlink.suspicion import _table_sync

_Admission = _prompt_parts.Admission
_BLOCKING = _prompt_parts.BLOCKING_CRASHES
_MAX_FREE = _prompt_parts.MAX_FREE_CRASHES


def _crash(number):
    return _suspicions.ServerProcess(f"10.0.0.{number % 250}:80", str(number))


def _make_parts(clock=None):
    clock = clock or _clock.ManualClock()
    return _prompt_parts.PromptParts(clock, random.Random(1))


def _note_crashes(parts, count, *suspects, first=0):
    for number in range(first, first + count):
        parts.note_crash(suspects, _crash(number))


def test_part_common_to_crashes_is_blocked_whatever_else_is_asked():
    parts = _make_parts()
    for number in range(_BLOCKING):
        assert not parts.is_blocked(["bad"])
        parts.note_crash(["common", "bad", f"own-{number}"], _crash(number))
        parts.note_completion(["common", f"other-{number}"])
    assert parts.admit(["common", "bad", "new"]) is _Admission.BLOCKED
    assert parts.admit(["common", "new"]) is _Admission.FREE


def test_one_crash_of_many_replicas_at_once_blocks_no_common_part():
    parts = _make_parts()
    _note_crashes(parts, 8, "common")
    parts.note_completion(["common"])
    assert not parts.is_blocked(["common"])


def test_crash_of_all_replicas_at_once_blocks_no_part_in_common_use():
    """No request is left that could complete and clear the part."""
    clock = _clock.ManualClock()
    parts = _make_parts(clock)
    parts.note_completion(["common"])
    clock.advance(_prompt_parts.RECENT_COMPLETION_MS - 100)
    _note_crashes(parts, 8, "common", "bad")
    assert parts.admit(["common"]) is _Admission.FREE
    assert parts.admit(["common", "bad"]) is _Admission.BLOCKED


def test_part_that_begins_to_crash_replicas_is_blocked_in_the_end():
    clock = _clock.ManualClock()
    parts = _make_parts(clock)
    parts.note_completion(["bad"])
    _note_crashes(parts, _BLOCKING, "bad")
    assert not parts.is_blocked(["bad"])
    clock.advance(_prompt_parts.RECENT_COMPLETION_MS + 1)
    _note_crashes(parts, _BLOCKING, "bad", first=100)
    assert parts.is_blocked(["bad"])


def test_request_with_all_parts_of_the_crashes_is_refused():
    """The two can't be told apart, but their requests can."""
    parts = _make_parts()
    _note_crashes(parts, _BLOCKING, "bad", "beside")
    assert parts.admit(["bad", "beside"]) is _Admission.BLOCKED
    assert parts.admit(["beside"]) is _Admission.FREE
    parts.note_completion(["beside"])
    assert parts.is_blocked(["bad"])
    assert not parts.is_blocked(["beside"])


def test_next_crash_tells_which_of_two_parts_is_to_blame():
    parts = _make_parts()
    _note_crashes(parts, _BLOCKING, "bad", "beside")
    parts.note_crash(["bad"], _crash(100))
    assert parts.is_blocked(["bad"])
    assert not parts.is_blocked(["beside"])


def test_part_of_all_requests_of_a_route_is_cleared_after_many_crashes():
    """Otherwise no request of the route would run again."""
    clock = _clock.ManualClock()
    parts = _make_parts(clock)
    _note_crashes(parts, _MAX_FREE, "bad", "of-all")
    assert parts.admit(["of-all"]) is _Admission.TRIAL
    assert parts.admit(["of-all"]) is _Admission.BLOCKED
    clock.advance(2 * _prompt_parts.SOME_PARTS_PAUSE_MS)
    assert parts.admit(["of-all"]) is _Admission.TRIAL
    parts.note_completion(["of-all"])
    assert parts.admit(["of-all"]) is _Admission.FREE
    assert parts.admit(["of-all", "bad"]) is _Admission.BLOCKED


def test_two_parts_with_crashes_of_their_own_are_both_blocked():
    parts = _make_parts()
    _note_crashes(parts, _BLOCKING, "bad", first=0)
    _note_crashes(parts, _BLOCKING, "worse", first=100)
    assert parts.is_blocked(["bad"])
    assert parts.is_blocked(["worse"])


def test_blocked_part_is_tried_once_after_a_pause():
    clock = _clock.ManualClock()
    parts = _make_parts(clock)
    _note_crashes(parts, _BLOCKING, "bad")
    assert parts.admit(["bad"]) is _Admission.BLOCKED
    clock.advance(2 * _prompt_parts.FIRST_PAUSE_MS)
    assert parts.admit(["bad"]) is _Admission.TRIAL
    assert parts.admit(["bad"]) is _Admission.BLOCKED
    parts.note_completion(["bad"])
    assert parts.admit(["bad"]) is _Admission.FREE


def test_crash_of_a_trial_makes_the_next_pause_longer():
    clock = _clock.ManualClock()
    parts = _make_parts(clock)
    _note_crashes(parts, _BLOCKING, "bad")
    assert parts.admit(["bad"]) is _Admission.BLOCKED
    clock.advance(2 * _prompt_parts.FIRST_PAUSE_MS)
    assert parts.admit(["bad"]) is _Admission.TRIAL
    _note_crashes(parts, 1, "bad", first=100)
    assert parts.admit(["bad"]) is _Admission.BLOCKED
    clock.advance(2 * _prompt_parts.FIRST_PAUSE_MS - 1)
    assert parts.admit(["bad"]) is _Admission.BLOCKED
    clock.advance(2 * _prompt_parts.FIRST_PAUSE_MS + 1)
    assert parts.admit(["bad"]) is _Admission.TRIAL


_prompts = st.lists(
    st.sampled_from(("a", "b", "c", "bad")), unique=True, min_size=1
)


@hypothesis.given(st.lists(_prompts, max_size=60))
def test_a_bad_part_ends_few_replicas_and_blocks_nothing_that_completes(
    prompts,
):
    """Each request with the part crashes a replica, unless it is refused."""
    parts = _make_parts()
    crashes, completed_last = 0, set()
    for prompt in prompts:
        if parts.admit(prompt) is _Admission.BLOCKED:
            continue
        if "bad" in prompt:
            parts.note_crash(prompt, _crash(crashes))
            crashes += 1
            completed_last -= set(prompt)
        else:
            parts.note_completion(prompt)
            completed_last |= set(prompt)
        assert not parts.is_blocked(completed_last)
    assert crashes <= _MAX_FREE


def test_instances_that_saw_one_crash_each_block_the_part_together():
    clock = _clock.ManualClock()
    instances = [_make_parts(clock) for _ in range(_BLOCKING + 1)]
    syncs = [_table_sync.TableSync(parts.table) for parts in instances]
    for number, parts in enumerate(instances[1:]):
        parts.note_crash(["bad"], _crash(number))
    for _ in range(3):
        for sync in syncs:
            sync.apply_answer(syncs[0].answer_report(sync.make_report()))
    assert all(parts.is_blocked(["bad"]) for parts in instances)
