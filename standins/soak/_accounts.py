"""Client accounts of a soak, whose keys the operator replaces while it runs."""

import math
from collections.abc import Callable
from random import Random
from typing import Any

from standins.soak._rules import KeyPeriod, Observations

# Shares of the requests that are sent with no key, with one that never was in force, and with one
# that has been withdrawn.
_NO_KEY_SHARE = 0.02
_UNKNOWN_KEY_SHARE = 0.02
_OLD_KEY_SHARE = 0.1
_FALSE_NAME_SHARE = 0.3  # Of the requests, with the name of some account.
_REPLACED_SHARE = (0.1, 0.5)  # Of the accounts, at a time.


class SoakAccounts:
    """The accounts and their keys; there are none if `count` is 0."""

    def __init__(
        self, count: int, observations: Observations, now_s: Callable[[], float], rng: Random
    ) -> None:
        self._observations, self._now_s, self._rng = observations, now_s, rng
        self._keys: dict[str, str] = {}  # Keys in force by account.
        self._old_keys: list[str] = []
        for number in range(count):
            self._grant(f"account-{number}", -math.inf)

    def entries(self) -> list[dict[str, Any]]:
        """Returns the entries of the configuration."""
        return [{"name": name, "apiKeys": [key]} for name, key in self._keys.items()]

    def replace_keys(self) -> None:
        """Withdraws the keys of some accounts and gives them new ones."""
        now_s = self._now_s()
        count = max(1, round(self._rng.uniform(*_REPLACED_SHARE) * len(self._keys)))
        for name in self._rng.sample(sorted(self._keys), count):
            key = self._keys[name]
            self._old_keys.append(key)
            self._observations.keys[key] = self._observations.keys[key]._replace(until_s=now_s)
            self._grant(name, now_s)

    def choose_key(self, rng: Random) -> str:
        """Returns the key of a request; empty if it has none."""
        if not self._keys or rng.random() < _NO_KEY_SHARE:
            return ""
        if rng.random() < _UNKNOWN_KEY_SHARE:
            return "key-of-nobody"
        if self._old_keys and rng.random() < _OLD_KEY_SHARE:
            return rng.choice(self._old_keys)
        return self._keys[rng.choice(sorted(self._keys))]

    def headers(self, key: str, rng: Random) -> dict[str, str]:
        """Returns the headers of a request with `key`."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        if self._keys and rng.random() < _FALSE_NAME_SHARE:
            headers["Tenant"] = rng.choice(sorted(self._keys))
        return headers

    def _grant(self, name: str, now_s: float) -> None:
        key = f"key-{name}-{self._rng.getrandbits(32)}"
        self._keys[name] = key
        self._observations.keys[key] = KeyPeriod(name, now_s, math.inf)
