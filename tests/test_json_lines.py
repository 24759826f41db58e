"""The quick form of a chunk is the schema's JSON mapping."""

import json

from google.protobuf import json_format
from hypothesis import given
from hypothesis import strategies as st

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.interface import _json_lines

TEXTS = st.text(st.characters(codec="utf-8"), max_size=8)
SIZES = st.lists(st.integers(1, 4), max_size=12)


def chunks(sizes, gap_at=None):
    """Return chunks of these sizes that follow on each other."""
    made, offset = [], 0
    for index, size in enumerate(sizes):
        offset += 5 if index == gap_at else 0
        text = "".join(f" {offset + number}" for number in range(size))
        made.append(pb.GenerateChunk(request_id="a", offset=offset, text=text))
        made[-1].token_count = size
        offset += size
    return made


@given(TEXTS, st.integers(0, 2**31 - 1), st.integers(0, 100), TEXTS)
def test_a_chunk_is_written_as_the_mapping_says(text, offset, count, name):
    chunk = pb.GenerateChunk(
        request_id=name, offset=offset, token_count=count, text=text
    )
    expected = json_format.MessageToDict(
        chunk, preserving_proto_field_name=True
    )
    assert json.loads(_json_lines.to_json(chunk)) == expected


@given(SIZES, st.integers(0, 12))
def test_merged_chunks_carry_the_same_tokens_at_the_same_offsets(sizes, gap):
    before = chunks(sizes, gap)
    after = _json_lines.merge_chunks(before)
    assert len(after) <= 2
    assert "".join(c.text for c in after) == "".join(c.text for c in before)
    positions = [
        chunk.offset + number
        for chunk in after
        for number in range(chunk.token_count)
    ]
    assert positions == [
        chunk.offset + number
        for chunk in before
        for number in range(chunk.token_count)
    ]


def test_an_end_is_never_merged_into_tokens():
    end = pb.GenerateChunk(request_id="a", offset=4, end=pb.End(token_count=4))
    merged = _json_lines.merge_chunks([*chunks([2, 2]), end])
    assert merged[-1] == end
    assert [chunk.token_count for chunk in merged] == [4, 0]
