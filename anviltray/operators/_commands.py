"""Turns statements and declarations into commands and publishes them."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from anviltray.declarations import Service
from anviltray.language import Command, SetFloor
from anviltray.messages import ConfigCommand
from anviltray.operators._context import OperatorContext, Outcome

_WORST_FIRST = ("unknown", "rejected", "accepted")


class CommandError(ValueError):
    """A command names something that is not declared."""


class Issuer(NamedTuple):
    """Who issues a command."""

    command_id: str  # Identifier from the operator's tool.
    who: str  # Operator.
    why: str  # Reason.


def command_for(statement: Command, issuer: Issuer, context: OperatorContext) -> ConfigCommand:
    """Returns the command for a statement, based on the version in force at this node.

    Raises CommandError for a service or an upstream that is not declared.
    """
    version, _, services = context.active_configuration()
    if isinstance(statement, SetFloor):
        service = services.get(statement.service)
        if service is None:
            raise CommandError(f"no service {statement.service!r}")
        slots = service.floor_slots if statement.slots is None else statement.slots
        share = service.floor_share if statement.share is None else statement.share
        fields: Mapping[str, Any] = {"floor_slots": slots, "floor_share": share}
        command = context.command(
            "floor", service.name, version, issuer.who, issuer.why or statement.reason, **fields
        )
    else:
        name = _service_of(statement.address, services)
        fields = {"address": statement.address, "state": statement.state}
        command = context.command(
            "upstream", name, version, issuer.who, issuer.why or statement.reason, **fields
        )
    return command._replace(command_id=issuer.command_id)


def commands_for_apply(
    services: Sequence[Service],
    remove: Sequence[str],
    based_on: int,
    issuer: Issuer,
    context: OperatorContext,
) -> list[ConfigCommand]:
    """Returns one command for each service, so that a record stays small at 13,000 services.

    The identifiers are the issuer's with a running number.
    """
    commands = [
        context.command("put", service.name, based_on, issuer.who, issuer.why, definition=service)
        for service in services
    ]
    commands += [
        context.command("remove", name, based_on, issuer.who, issuer.why) for name in remove
    ]
    return [
        command._replace(command_id=f"{issuer.command_id}-{number}")
        for number, command in enumerate(commands)
    ]


def worst_outcome(outcomes: Sequence[Outcome]) -> str:
    """Returns unknown if any is unknown, else rejected if any is rejected, else accepted."""
    found = {outcome.outcome for outcome in outcomes}
    return next((name for name in _WORST_FIRST if name in found), "accepted")


def _service_of(address: str, services: Mapping[str, Service]) -> str:
    for service in services.values():
        if any(upstream.address == address for upstream in service.upstreams):
            return service.name
    raise CommandError(f"no upstream {address}")
