"""Reads fields of decoded JSON and names the place of a fault."""

from __future__ import annotations

import typing

from geraniumlink import _settings


class FormatError(ValueError):
    """A message of the platform lacks a field or has a wrong type."""


_MISSING: typing.Any = object()
# What a field has to be, as its fault says it.
_EXPECTED: dict[typing.Any, str] = {
    str: "a text",
    int: "a whole number",
    (int, float): "a number",
    (bool,): "true or false",
    list: "a list",
    dict: "an object",
}


def text(message: typing.Any, name: str, default: str = _MISSING) -> str:
    """Return a text; raise ``FormatError`` when it is none."""
    return _typed(message, name, str, default)


def whole(message: typing.Any, name: str, default: int = _MISSING) -> int:
    """Return a whole number, not negative."""
    value = _typed(message, name, int, default)
    if value < 0:
        raise FormatError(f"{name} is {value}, which is negative")
    return value


def number(message: typing.Any, name: str, default: float = _MISSING) -> float:
    """Return a number, not negative."""
    value = _typed(message, name, (int, float), default)
    if not 0 <= value < float("inf"):
        raise FormatError(f"{name} is {value}")
    return value


def flag(message: typing.Any, name: str, default: bool = _MISSING) -> bool:
    value = _typed(message, name, (bool,), default)
    return bool(value)


def listed(message: typing.Any, name: str) -> list[typing.Any]:
    return _typed(message, name, list, _MISSING)


def table(message: typing.Any, name: str) -> dict[str, typing.Any]:
    return _typed(message, name, dict, _MISSING)


def address(message: typing.Any, name: str) -> _settings.Address:
    """Return an IP number and port."""
    try:
        return _settings.parse_address(text(message, name))
    except FormatError:
        raise
    except ValueError as error:
        raise FormatError(f"{name}: {error}") from error


def _typed(
    message: typing.Any, name: str, kinds: typing.Any, default: typing.Any
) -> typing.Any:
    if not isinstance(message, dict):
        raise FormatError(f"{message!r:.40} is not an object")
    value = message.get(name, default)
    if value is _MISSING:
        raise FormatError(f"{name} is missing")
    if value is default:
        return value
    # To the language, true and false are whole numbers.
    is_flag = isinstance(value, bool)
    if is_flag is not (kinds == (bool,)) or not isinstance(value, kinds):
        raise FormatError(f"{name} is {value!r:.60}, not {_EXPECTED[kinds]}")
    return value
