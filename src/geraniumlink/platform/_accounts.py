"""Decodes the clients' accounts of the operator's configuration.

No error here quotes a value, since any of them may be a key in the wrong
place.
"""

from __future__ import annotations

import re
import typing

from geraniumlink.platform import _fields
from geraniumlink.serving import _accounts
from geraniumlink.serving import _types

_TENANTS = "tenants"
# A name is the value of a header: control characters would end it, and spaces
# around it would be lost.
_MAX_NAME = 256
_NAME = re.compile(r"(?! )[^\x00-\x1f\x7f]+(?<! )")


def decode_accounts(spec: dict[str, typing.Any]) -> _accounts.Accounts | None:
    """Decode the accounts of a configuration.

    None if it has no such member. A member that isn't a list, also null,
    grants nothing: read as absent it would open all routes. A malformed
    account is left out.
    """
    if _TENANTS not in spec:
        return None
    entries = spec[_TENANTS]
    if not isinstance(entries, list):
        problem = _accounts.Problem("", "the accounts aren't a list")
        return _accounts.Accounts((), [problem])
    accounts, problems = [], []
    for number, entry in enumerate(entries):
        try:
            accounts.append(_account(entry))
        except _fields.FormatError as error:
            name = _name_of(entry) or f"#{number}"
            problems.append(_accounts.Problem(name, str(error)))
    return _accounts.Accounts(accounts, problems)


def _account(entry: typing.Any) -> _types.ClientAccount:
    """Decode an account; null counts as absent in its optional fields."""
    if not isinstance(entry, dict):
        raise _fields.FormatError("it is not an object")
    name = _name_of(entry)
    if not name:
        raise _fields.FormatError("it has no valid name")
    present = {key: value for key, value in entry.items() if value is not None}
    priority = _number(present, "priority", None)
    return _types.ClientAccount(
        name=name,
        key_digests=_key_digests(present.get("api_keys", [])),
        priority=None if priority is None else int(priority),
        quota=_quota(present),
    )


def _name_of(entry: typing.Any) -> str:
    """Return the name of an account; "" if it has no valid one."""
    name = entry.get("name") if isinstance(entry, dict) else None
    if (
        isinstance(name, str)
        and len(name) <= _MAX_NAME
        and _NAME.fullmatch(name)
    ):
        return name
    return ""


def _key_digests(keys: typing.Any) -> frozenset[bytes]:
    if not isinstance(keys, list):
        raise _fields.FormatError("its keys aren't a list")
    if not all(isinstance(key, str) for key in keys):
        raise _fields.FormatError("a key isn't a string")
    return frozenset(_accounts.digest_key(key.encode()) for key in keys if key)


def _quota(entry: dict[str, typing.Any]) -> _types.Quota | None:
    """Return the quota of an account; None if it is unlimited."""
    unit = _unit(entry)
    rate_per_s = _number(entry, "rate_per_s", 0.0)
    burst = _number(entry, "burst", 0.0)
    plain_tokens = _number(entry, "plain_tokens", 0)
    if not rate_per_s:
        return None
    return _types.Quota(rate_per_s, burst, unit, int(plain_tokens))


def _unit(entry: dict[str, typing.Any]) -> _types.QuotaUnit:
    if "unit" not in entry:
        return _types.QuotaUnit.REQUESTS
    if entry["unit"] != "tokens":
        raise _fields.FormatError("its unit isn't known")
    return _types.QuotaUnit.TOKENS


def _number(
    entry: dict[str, typing.Any], name: str, default: typing.Any
) -> typing.Any:
    """Return a number; its error states the name only."""
    try:
        return (
            _fields.number(entry, name, default) if name in entry else default
        )
    except _fields.FormatError:
        raise _fields.FormatError(f"{name} isn't a valid number") from None
