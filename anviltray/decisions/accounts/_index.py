"""Finds the client account that holds a key.

Load: each request of 400,000 accounts, and guesses of keys by callers that nobody controls. A
lookup costs one digest and two dictionary accesses, whatever the number of accounts. Keys are
looked up and compared as digests under a random secret, so response times tell nothing about them.
"""

import hashlib
import hmac
from collections.abc import Mapping
from itertools import islice
from typing import NamedTuple

from anviltray.declarations import ClientAccount

_DIGEST_BYTES = 16


class _Entry(NamedTuple):
    account: ClientAccount
    digests: tuple[bytes, ...]  # In the order of the keys of the account.


class AccountIndex:
    """The accounts of one configuration by the digests of their keys; built by `AccountIndexer`."""

    def __init__(self, secret: bytes) -> None:
        """`secret` has 16 to 64 random bytes, the same for all versions of one process."""
        self._secret = secret
        self._entries: dict[str, _Entry] = {}  # By account name.
        self._names: dict[bytes, str] = {}  # Names of accounts by the digest of a key.

    def find(self, key: str) -> ClientAccount | None:
        """Returns the account that holds `key`, or None if the key is unknown."""
        digest = self._digest(key)
        name = self._names.get(digest)
        if name is None:
            return None
        entry = self._entries[name]
        for known in entry.digests:
            if hmac.compare_digest(known, digest):
                return entry.account
        return None

    def __len__(self) -> int:
        """Returns the number of accounts."""
        return len(self._entries)

    def _digest(self, key: str) -> bytes:
        encoded = key.encode("utf-8", "surrogateescape")
        return hashlib.blake2b(encoded, key=self._secret, digest_size=_DIGEST_BYTES).digest()


class AccountIndexer:
    """Builds the index of a new configuration in steps, so that requests are served in between.

    Digests of accounts that have not changed are taken over from `previous`, which stays as it is.
    Example: `while not indexer.step(1000): await asyncio.sleep(0)`, then `indexer.index`.
    """

    def __init__(self, accounts: Mapping[str, ClientAccount], previous: AccountIndex) -> None:
        self.index = AccountIndex(previous._secret)
        self.digested = 0  # Keys whose digests had to be computed.
        self._previous = previous._entries
        self._remaining = iter(accounts.values())

    def step(self, limit: int) -> bool:
        """Adds up to `limit` accounts; returns whether the index is complete."""
        index, added = self.index, 0
        for account in islice(self._remaining, limit):
            added += 1
            entry = self._previous.get(account.name)
            if entry is None or entry.account.keys != account.keys:
                self.digested += len(account.keys)
                digests = tuple(index._digest(key) for key in account.keys)
            else:
                digests = entry.digests
            name = account.name
            index._entries[name] = _Entry(account, digests)
            for digest in digests:
                index._names[digest] = name
        return added < limit
