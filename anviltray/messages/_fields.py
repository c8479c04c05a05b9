"""Checks of decoded CBOR values, used by the generated decoders.

A `decode_*` function returns its value with the type in its name, or raises MessageError.
"""

from collections.abc import Callable
from typing import Any, TypeVar

_Item = TypeVar("_Item")

# Range of signed and unsigned integers of 64 bits. CBOR has larger ones, which cannot be converted
# to a float.
_MIN_INT, _MAX_INT = -(2**63), 2**64 - 1


class MessageError(ValueError):
    """The bytes are not a valid message of this schema."""


def check_arity(name: str, data: Any, arity: int) -> list[Any]:
    """Returns `data` if it is an array of `arity` items, else raises MessageError."""
    if not isinstance(data, list) or len(data) != arity:
        raise MessageError(f"{name}: expected an array of {arity} fields")
    return data


def decode_int(value: Any) -> int:
    """Returns an integer of 64 bits; a bool is rejected."""
    if type(value) is not int:
        raise MessageError(f"expected an integer, found {type(value).__name__}")
    if not _MIN_INT <= value <= _MAX_INT:
        raise MessageError("expected an integer of 64 bits")
    return value


def decode_float(value: Any) -> float:
    """Returns a float; integers are converted, NaN is rejected."""
    if type(value) is int:
        return float(decode_int(value))
    if type(value) is not float or value != value:
        raise MessageError(f"expected a number, found {value!r}")
    return value


def decode_str(value: Any) -> str:
    """Returns a string."""
    if type(value) is not str:
        raise MessageError(f"expected a string, found {type(value).__name__}")
    return value


def decode_bool(value: Any) -> bool:
    """Returns a bool."""
    if type(value) is not bool:
        raise MessageError(f"expected a bool, found {type(value).__name__}")
    return value


def decode_bytes(value: Any) -> bytes:
    """Returns a byte string."""
    if type(value) is not bytes:
        raise MessageError(f"expected bytes, found {type(value).__name__}")
    return value


def decode_list(value: Any, decode_item: Callable[[Any], _Item]) -> tuple[_Item, ...]:
    """Returns a tuple of the items, each decoded by `decode_item`."""
    if not isinstance(value, list):
        raise MessageError(f"expected an array, found {type(value).__name__}")
    return tuple(decode_item(item) for item in value)
