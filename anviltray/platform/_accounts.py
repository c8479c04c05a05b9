"""Decodes and validates the client accounts of a configuration document.

A fault that could change who is admitted makes the whole configuration invalid, so that the one in
force stays in force. Only what can never identify a caller is left out: a key that no Authorization
header can carry, or an entry without a name and keys.
"""

import math
import re
from collections.abc import Mapping
from typing import Any

from anviltray.declarations import ClientAccount

# Twice the accounts of the largest installation in sight. A larger number is a fault of the writer,
# and a host would spend seconds and hundreds of megabytes on it.
MAX_ACCOUNTS = 400_000
_MAX_NAME_LENGTH = 256  # The name is a header of each request to an instance.
_MAX_PRIORITY = 65535
_MAX_NAMED_OMISSIONS = 5  # Accounts that a log line names.
_KEY = re.compile(r"[\x21-\x7e]+")  # Visible ASCII, as in the header of a request.


def decode_accounts(items: Any) -> tuple[dict[str, ClientAccount], tuple[str, ...]]:
    """Returns the accounts of a document by name, and what was left out, one line each.

    Raises ValueError for anything that could change who is admitted. No message contains a key.
    """
    if type(items) is not list:
        raise ValueError("'tenants' must be a list")
    if len(items) > MAX_ACCOUNTS:
        raise ValueError(f"{len(items)} accounts, more than {MAX_ACCOUNTS}")
    accounts: dict[str, ClientAccount] = {}
    owners: dict[str, str] = {}  # Names of accounts by key.
    unusable: dict[str, int] = {}  # Keys left out, by account.
    empty_entries = 0
    for item in items:
        if not isinstance(item, Mapping) or not item:
            empty_entries += 1
            continue
        account, omitted = _decode_account(item)
        name = account.name
        if name in accounts:
            raise ValueError(f"two accounts have the name {name!r}")
        for key in account.keys:
            owner = owners.setdefault(key, name)
            if owner != name:
                raise ValueError(f"the accounts {owner!r} and {name!r} share a key")
        if omitted:
            unusable[name] = omitted
        accounts[name] = account
    return accounts, _describe_omissions(unusable, empty_entries)


def _decode_account(item: Mapping[str, Any]) -> tuple[ClientAccount, int]:
    """Returns an account and how many of its keys were left out."""
    name = item.get("name")
    if type(name) is not str or not 0 < len(name) <= _MAX_NAME_LENGTH:
        raise ValueError(f"the name of an account must have 1 to {_MAX_NAME_LENGTH} characters")
    if not name.isprintable() or name.strip() != name:
        raise ValueError(f"the account name {name!r} is not a header value")
    listed = item.get("apiKeys", [])
    if type(listed) is not list:
        raise ValueError(f"'apiKeys' of account {name!r} must be a list")
    usable = [key for key in listed if type(key) is str and _KEY.fullmatch(key)]
    priority = item.get("priority")
    if priority is not None and (type(priority) is not int or not 0 <= priority <= _MAX_PRIORITY):
        raise ValueError(f"'priority' of account {name!r} must be from 0 to {_MAX_PRIORITY}")
    account = ClientAccount(
        name=name,
        keys=tuple(dict.fromkeys(usable)),
        priority=priority,
        rate_per_s=_get_limit(item, "ratePerS", name),
        burst=_get_limit(item, "burst", name),
    )
    return account, len(listed) - len(usable)


def _get_limit(item: Mapping[str, Any], field: str, account: str) -> float:
    value = item.get(field, 0)
    # Comparisons with NaN are false; an integer may be too large for a float.
    if type(value) not in (int, float) or not 0 <= value < math.inf or value > 1e300:
        raise ValueError(f"{field!r} of account {account!r} must be finite and not negative")
    return float(value)


def _describe_omissions(unusable: Mapping[str, int], empty_entries: int) -> tuple[str, ...]:
    lines = []
    if unusable:
        named = ", ".join(repr(name) for name in list(unusable)[:_MAX_NAMED_OMISSIONS])
        lines.append(
            f"{sum(unusable.values())} API keys that no header can carry are left out, in"
            f" {len(unusable)} accounts, first {named}"
        )
    if empty_entries:
        lines.append(f"{empty_entries} entries of accounts without any field are left out")
    return tuple(lines)
