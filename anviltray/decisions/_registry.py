"""Registries of interchangeable policies."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

_Policy = TypeVar("_Policy")


class UnknownPolicy(LookupError):
    """No policy is registered under this name."""


class Registry(Generic[_Policy]):
    """Registry of the policies of one kind by name; a decorator adds them.

    Example: `@routers.register("two_choices")` above a factory; `routers["two_choices"]`.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._policies: dict[str, _Policy] = {}

    def register(self, name: str) -> Callable[[_Policy], _Policy]:
        """Returns a decorator that registers a policy; raises ValueError if the name is taken."""

        def decorate(policy: _Policy) -> _Policy:
            if name in self._policies:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._policies[name] = policy
            return policy

        return decorate

    def __getitem__(self, name: str) -> _Policy:
        """Returns the policy with this name; raises UnknownPolicy if there is none."""
        try:
            return self._policies[name]
        except KeyError:
            registered = ", ".join(sorted(self._policies))
            raise UnknownPolicy(
                f"no {self._kind} {name!r} is registered; expected one of: {registered}"
            ) from None

    def __iter__(self) -> Iterator[str]:
        return iter(self._policies)
