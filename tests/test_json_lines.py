"""The fast serializer and the merging of chunks keep the schema's JSON."""

import json

from google.protobuf import json_format
from hypothesis import given
from hypothesis import strategies as st

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.interface import _json_lines

TEXTS = st.text(st.characters(codec="utf-8"), max_size=8)
SIZES = st.lists(st.integers(1, 4), max_size=12)


def make_chunks(sizes, gap_at=None):
    """Return consecutive chunks of these sizes, with a gap before one."""
    result, offset = [], 0
    for index, size in enumerate(sizes):
        offset += 5 if index == gap_at else 0
        text = "".join(f" {offset + number}" for number in range(size))
        result.append(
            pb.GenerateChunk(request_id="a", offset=offset, text=text)
        )
        result[-1].token_count = size
        offset += size
    return result


@given(TEXTS, st.integers(0, 2**31 - 1), st.integers(0, 100), TEXTS)
def test_a_chunk_is_serialized_as_by_message_to_dict(
    text, offset, count, name
):
    chunk = pb.GenerateChunk(
        request_id=name, offset=offset, token_count=count, text=text
    )
    expected = json_format.MessageToDict(
        chunk, preserving_proto_field_name=True
    )
    assert json.loads(_json_lines.to_json(chunk)) == expected


@given(SIZES, st.integers(0, 12))
def test_merged_chunks_carry_the_same_tokens_at_the_same_offsets(sizes, gap):
    original = make_chunks(sizes, gap)
    merged = _json_lines.merge_chunks(original)
    assert len(merged) <= 2
    assert "".join(c.text for c in merged) == "".join(c.text for c in original)
    positions = [
        chunk.offset + number
        for chunk in merged
        for number in range(chunk.token_count)
    ]
    assert positions == [
        chunk.offset + number
        for chunk in original
        for number in range(chunk.token_count)
    ]


def test_an_end_is_never_merged_with_token_chunks():
    end = pb.GenerateChunk(request_id="a", offset=4, end=pb.End(token_count=4))
    merged = _json_lines.merge_chunks([*make_chunks([2, 2]), end])
    assert merged[-1] == end
    assert [chunk.token_count for chunk in merged] == [4, 0]
