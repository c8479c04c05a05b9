"""Registries of interchangeable policies."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

_Policy = TypeVar("_Policy")


class UnknownPolicy(LookupError):
    """No policy of that name is registered."""


class Registry(Generic[_Policy]):
    """Policies of one kind by name, filled by a decorator.

    Example: `@routers.register("two_choices")` above a factory; `routers["two_choices"]`.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._policies: dict[str, _Policy] = {}

    def register(self, name: str) -> Callable[[_Policy], _Policy]:
        """Returns a decorator that registers a policy; raises ValueError for a name in use."""

        def add(policy: _Policy) -> _Policy:
            if name in self._policies:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._policies[name] = policy
            return policy

        return add

    def __getitem__(self, name: str) -> _Policy:
        """Returns a policy; raises UnknownPolicy."""
        try:
            return self._policies[name]
        except KeyError:
            known = ", ".join(sorted(self._policies))
            raise UnknownPolicy(f"no {self._kind} {name!r}; known are {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(self._policies)
