"""Tests of the reassembly of answers from chunks in any order."""

import hypothesis
from hypothesis import strategies as st
import pytest

from geraniumlink.requests import _streams

_OWN = "request-1"
# More than any answer here has.
_MAX_TOKENS = 8192


def _tokens(count):
    return tuple(f" t{index}" for index in range(count))


@st.composite
def _correct_chunks(draw, count):
    """Draw chunks of the correct answer, with overlaps, repeats and gaps."""
    answer = _tokens(count)
    spans = draw(
        st.lists(
            st.tuples(st.integers(0, count), st.integers(0, count)),
            max_size=20,
        )
    )
    return [
        _streams.Chunk(_OWN, min(span), answer[min(span) : max(span)])
        for span in spans
    ]


@st.composite
def _foreign_messages(draw, count):
    """Draw messages of another request, as a faulty engine might send."""
    foreign_chunk = st.builds(
        _streams.Chunk,
        st.just("request-2"),
        st.integers(-3, count + 3),
        st.lists(st.just(" foreign"), max_size=4).map(tuple),
    )
    foreign_end = st.builds(
        _streams.End, st.just("request-2"), st.integers(0, count)
    )
    return draw(st.lists(foreign_chunk | foreign_end, max_size=6))


def _accept_all(reassembly, messages):
    """Return the released tokens, and whether the stream broke."""
    emitted = []
    for message in messages:
        try:
            emitted += reassembly.accept(message)
        except _streams.BrokenStreamError:
            return emitted, True
        assert reassembly.offset == len(emitted)
    return emitted, False


@hypothesis.given(st.data())
def test_released_tokens_are_a_prefix_and_complete_means_all_of_them(data):
    count = data.draw(st.integers(0, 12))
    ends = data.draw(st.lists(st.just(_streams.End(_OWN, count)), max_size=2))
    messages = data.draw(
        st.permutations(
            data.draw(_correct_chunks(count))
            + data.draw(_foreign_messages(count))
            + ends
        )
    )
    reassembly = _streams.Reassembly(_OWN, _MAX_TOKENS)
    emitted, broke = _accept_all(reassembly, messages)
    assert not broke
    assert tuple(emitted) == _tokens(count)[: len(emitted)]
    assert reassembly.is_complete == (bool(ends) and len(emitted) == count)


@hypothesis.given(st.data())
def test_all_chunks_in_any_order_make_a_complete_answer(data):
    count = data.draw(st.integers(1, 12))
    answer = _tokens(count)
    chunks = [
        _streams.Chunk(_OWN, index, (token,))
        for index, token in enumerate(answer)
    ]
    chunks += data.draw(_correct_chunks(count))
    chunks += data.draw(_foreign_messages(count))
    messages = data.draw(st.permutations([*chunks, _streams.End(_OWN, count)]))
    reassembly = _streams.Reassembly(_OWN, _MAX_TOKENS)
    emitted, broke = _accept_all(reassembly, messages)
    assert not broke
    assert tuple(emitted) == answer
    assert reassembly.is_complete


@hypothesis.given(st.data())
def test_a_contradictory_stream_never_completes_with_tokens_missing(data):
    """With incorrect tokens or ends, ``offset`` counts released tokens.

    If it also counted tokens that an exception discards, a resumed answer
    would lack them.
    """
    count = data.draw(st.integers(1, 8))
    ends = st.builds(_streams.End, st.just(_OWN), st.integers(-2, count + 3))
    incorrect = st.builds(
        _streams.Chunk,
        st.just(_OWN),
        st.integers(-3, count + 3),
        st.lists(st.sampled_from((" x", " y")), max_size=4).map(tuple),
    )
    messages = data.draw(st.lists(ends | incorrect, max_size=12))
    reassembly = _streams.Reassembly(_OWN, _MAX_TOKENS)
    emitted, broke = _accept_all(reassembly, messages)
    assert reassembly.offset == len(emitted)
    seen = {m.token_count for m in messages if isinstance(m, _streams.End)}
    if not broke and reassembly.is_complete:
        assert seen == {len(emitted)}


@hypothesis.given(st.data())
def test_a_resumed_answer_continues_where_the_broken_stream_stopped(data):
    count = data.draw(st.integers(1, 12))
    answer = _tokens(count)
    reassembly = _streams.Reassembly(_OWN, _MAX_TOKENS)
    first = data.draw(_correct_chunks(count))
    incorrect_end = _streams.End(_OWN, data.draw(st.integers(0, count + 3)))
    emitted, _ = _accept_all(reassembly, [*first, incorrect_end])
    hypothesis.assume(not reassembly.is_complete)
    reassembly.resume()
    start = reassembly.offset
    rest, broke = [], False
    try:
        rest += reassembly.accept(_streams.Chunk(_OWN, start, answer[start:]))
        rest += reassembly.accept(_streams.End(_OWN, count))
    except _streams.BrokenStreamError:
        broke = True
    assert not broke
    assert tuple(emitted + rest) == answer
    assert reassembly.is_complete


@pytest.mark.parametrize(
    "messages",
    (
        [_streams.End(_OWN, 3), _streams.End(_OWN, 4)],
        [_streams.Chunk(_OWN, 0, (" a", " b")), _streams.End(_OWN, 1)],
        [_streams.Chunk(_OWN, 5, (" a",)), _streams.End(_OWN, 5)],
        [_streams.End(_OWN, 1), _streams.Chunk(_OWN, 0, (" a", " b"))],
        [
            _streams.Chunk(_OWN, 2, (" a", " b")),
            _streams.Chunk(_OWN, 3, (" c",)),
        ],
        [_streams.Chunk(_OWN, -1, (" a", " b"))],
        [_streams.Chunk(_OWN, 1, (" a",) * 2000)],
        [_streams.Chunk(_OWN, 0, (" a",) * (_MAX_TOKENS + 1))],
    ),
    ids=(
        "ends disagree",
        "end before tokens handed out",
        "end before tokens waiting",
        "tokens after the end",
        "overlap disagrees",
        "negative offset",
        "gap too long",
        "more tokens than requested",
    ),
)
def test_a_contradiction_breaks_the_stream(messages):
    reassembly = _streams.Reassembly(_OWN, _MAX_TOKENS)
    emitted, broke = _accept_all(reassembly, messages)
    assert broke
    # Otherwise the resumed answer would lack the tokens between the two.
    assert reassembly.offset == len(emitted)
