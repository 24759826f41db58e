"""Decodes JSON in which some parts can't be decoded.

orjson decodes a whole text or nothing, and refuses valid JSON, too: more than
1,024 levels, numbers out of range, lone surrogates. The standard library's
decoder has such limits as well. The parts of a text that isn't decoded are
found here from its brackets, commas and strings alone, without recursion.
"""

from __future__ import annotations

import re
import typing

import orjson

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# Each skips to the next character that may end a part: in a nested array or
# object that is a bracket alone. Runs of brackets are taken as one.
_OUTER = re.compile(
    rb'(?:[^][{}",]++|%b)*+(?:(?P<open>[\[{]+)|(?P<close>[\]}]+)|(?P<comma>,))'
    % _STRING,
    re.DOTALL,
)
_NESTED = re.compile(
    rb'(?:[^][{}"]++|%b)*+(?:(?P<open>[\[{]+)|(?P<close>[\]}]+))' % _STRING,
    re.DOTALL,
)
_MEMBER = re.compile(rb"\s*(?P<key>%b)\s*:(?P<value>.*)" % _STRING, re.DOTALL)


class Undecodable(typing.NamedTuple):
    """A part of a message that can't be decoded."""

    text: bytes
    # Why it can't.
    error: str


def decode(text: bytes, levels: int) -> typing.Any:
    """Decode JSON, with ``Undecodable`` for parts that can't be decoded.

    :param levels: how many arrays and objects within each other are taken
        apart to find such a part; one in which it is further down is
        ``Undecodable`` as a whole.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        reason = str(error)
    if levels:
        try:
            return _decode_parts(text.strip(), levels - 1)
        except ValueError as error:
            reason = f"{reason}; {error}"
    return Undecodable(text, reason)


def _decode_parts(text: bytes, levels: int) -> typing.Any:
    """Decode each part of an array or object.

    :raises ValueError: if it is neither.
    """
    match text[:1], text[-1:]:
        case b"[", b"]":
            return [decode(part, levels) for part in _split(text[1:-1])]
        case b"{", b"}":
            members = map(_MEMBER.fullmatch, _split(text[1:-1]))
            return {
                _decode_key(member["key"]): decode(member["value"], levels)
                for member in members
                if member is not None
            }
    raise ValueError("neither an array nor an object")


def _decode_key(key: bytes) -> str:
    """Return the key of a member; "" if it can't be decoded."""
    try:
        return str(orjson.loads(key))
    except orjson.JSONDecodeError:
        return ""


def _split(text: bytes) -> list[bytes]:
    """Split the inside of an array or object at its own commas.

    :raises ValueError: if the brackets aren't balanced.
    """
    parts, start, depth = [], 0, 0
    token = _OUTER.match(text)
    while token is not None and depth >= 0:
        match token.lastgroup:
            case "open":
                depth += len(token["open"])
            case "close":
                depth -= len(token["close"])
            case _:
                parts.append(text[start : token.end() - 1])
                start = token.end()
        token = (_NESTED if depth else _OUTER).match(text, token.end())
    if depth:
        raise ValueError("the brackets are not balanced")
    if parts or text.strip():
        parts.append(text[start:])
    return parts
