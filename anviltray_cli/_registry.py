"""Registry of the subcommands; each module registers its own ones."""

from collections.abc import Callable

Subcommand = Callable[..., int]

_COMMANDS: dict[str, Subcommand] = {}
_REPORTS: dict[str, Subcommand] = {}


def command(function: Subcommand) -> Subcommand:
    """Registers `anviltray NAME`, where NAME is the name of the function."""
    _COMMANDS[function.__name__] = function
    return function


def report(function: Subcommand) -> Subcommand:
    """Registers `anviltray report NAME`, where NAME is the name of the function."""
    _REPORTS[function.__name__] = function
    return function


def registered() -> dict[str, Subcommand | dict[str, Subcommand]]:
    """Returns the subcommands in the form that defopt expects."""
    return {**_COMMANDS, "report": _REPORTS}
