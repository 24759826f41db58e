"""Writes the schema's messages as JSON, the chunks of streams quickly."""

from __future__ import annotations

import json
import typing

from google.protobuf import json_format
from google.protobuf import message as protobuf_message
import orjson

from geraniumlink._schema import geraniumlink_pb2 as pb

Message = protobuf_message.Message


def to_json(message: Message) -> bytes:
    """Return the proto3 JSON mapping, without fields that are unset."""
    if _is_tokens(message):
        return _chunk_to_json(message)
    fields = json_format.MessageToDict(
        message, preserving_proto_field_name=True
    )
    return json.dumps(fields).encode()


def _chunk_to_json(chunk: pb.GenerateChunk) -> bytes:
    """Do what ``to_json`` does for the message sent for each token.

    The general way looks at every field by reflection, which was a sixth of
    the time that a relayed token took.
    """
    fields: dict[str, str | int] = {}
    if chunk.request_id:
        fields["request_id"] = chunk.request_id
    if chunk.offset:
        fields["offset"] = chunk.offset
    if chunk.token_count:
        fields["token_count"] = chunk.token_count
    if chunk.text:
        fields["text"] = chunk.text
    return orjson.dumps(fields)


def merge_chunks(messages: list[Message]) -> list[Message]:
    """Make one chunk of those that follow on each other."""
    merged: list[Message] = []
    parts: list[pb.GenerateChunk] = []
    for message in messages:
        if _is_tokens(message) and (
            not parts
            or parts[-1].offset + parts[-1].token_count == message.offset
        ):
            parts.append(message)
            continue
        merged += _joined(parts)
        parts = []
        if _is_tokens(message):
            parts.append(message)
        else:
            merged.append(message)
    return merged + _joined(parts)


def _is_tokens(message: Message) -> typing.TypeGuard[pb.GenerateChunk]:
    return (
        isinstance(message, pb.GenerateChunk)
        and not message.HasField("end")
        and not message.HasField("error")
    )


def _joined(parts: list[pb.GenerateChunk]) -> list[Message]:
    if len(parts) < 2:
        return list(parts)
    return [
        pb.GenerateChunk(
            request_id=parts[0].request_id,
            offset=parts[0].offset,
            token_count=sum(part.token_count for part in parts),
            text="".join(part.text for part in parts),
        )
    ]
