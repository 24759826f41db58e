"""Reads typed fields of decoded JSON; an error names the field."""

from __future__ import annotations

import math
import reprlib
import typing

from geraniumlink import _settings


class FormatError(ValueError):
    """A field of a platform message is missing or has a wrong type or value.

    Also raised for a message that isn't a JSON object.
    """


# Numbers above it aren't exact in every JSON decoder. Far greater ones can't
# be encoded again, or become infinite in sums and products.
MAX_NUMBER = 2**53

# Distinguishes "no default" from every default that a caller may give.
_REQUIRED: typing.Any = object()
# Name of each expected type, as error messages give it.
_TYPE_NAMES: dict[typing.Any, str] = {
    str: "a string",
    int: "an integer",
    (int, float): "a number",
    (bool,): "true or false",
    list: "an array",
    dict: "an object",
}


def string(message: typing.Any, name: str, default: str = _REQUIRED) -> str:
    """Return a string field.

    This and the other functions here return ``default`` when the field is
    absent, and raise ``FormatError`` when it is absent without a default or
    has another type.
    """
    return _typed(message, name, str, default)


def integer(message: typing.Any, name: str, default: int = _REQUIRED) -> int:
    """Return a whole number, in any JSON form such as 8, 8.0 or 8e0.

    A fraction or a negative value is an error.
    """
    value = number(message, name, default)
    if value != int(value):
        raise FormatError(f"{name} is {value}, not a whole number")
    return int(value)


def floor(message: typing.Any, name: str, default: int = _REQUIRED) -> int:
    """Return an upper bound as a whole number, rounded down."""
    return math.floor(number(message, name, default))


def ceiling(message: typing.Any, name: str, default: int = _REQUIRED) -> int:
    """Return a lower bound as a whole number, rounded up."""
    return math.ceil(number(message, name, default))


def number(
    message: typing.Any, name: str, default: float = _REQUIRED
) -> float:
    """Return a numeric field, from 0 to ``MAX_NUMBER``."""
    value = _typed(message, name, (int, float), default)
    if not 0 <= value <= MAX_NUMBER:
        raise FormatError(f"{name} is not a number from 0 to {MAX_NUMBER}")
    return value


def boolean(message: typing.Any, name: str, default: bool = _REQUIRED) -> bool:
    """Return a Boolean field; numbers are not accepted for it."""
    value = _typed(message, name, (bool,), default)
    return bool(value)


def array(message: typing.Any, name: str) -> list[typing.Any]:
    """Return a required array; the caller checks its elements."""
    return _typed(message, name, list, _REQUIRED)


def mapping(message: typing.Any, name: str) -> dict[str, typing.Any]:
    """Return a required JSON object; the caller checks its fields."""
    return _typed(message, name, dict, _REQUIRED)


def address(message: typing.Any, name: str) -> _settings.Address:
    """Return a required address, written as ``IP:port``."""
    try:
        return _settings.parse_address(string(message, name))
    except FormatError:
        raise
    except ValueError as error:
        raise FormatError(f"{name}: {error}") from error


def _typed(
    message: typing.Any, name: str, types: typing.Any, default: typing.Any
) -> typing.Any:
    """Return a field after a check of its type, or the default."""
    if not isinstance(message, dict):
        raise FormatError(f"{reprlib.repr(message)} is not an object")
    value = message.get(name, default)
    if value is _REQUIRED:
        raise FormatError(f"{name} is missing")
    if value is default:
        return value
    # bool is a subclass of int, so isinstance alone would accept true for 1.
    is_bool = isinstance(value, bool)
    if is_bool is not (types == (bool,)) or not isinstance(value, types):
        # reprlib doesn't descend into values that are deeply nested.
        raise FormatError(
            f"{name} is {reprlib.repr(value)}, not {_TYPE_NAMES[types]}"
        )
    return value
