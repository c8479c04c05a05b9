"""Commands that operators append to the configuration log."""

import secrets

from anviltray.declarations import Service
from anviltray.messages import ConfigCommand
from anviltray.state.configuration._records import to_record


def put_service(
    service: Service, *, based_on: int, who: str, why: str, issued_unix_s: float
) -> ConfigCommand:
    """Returns a command that creates or replaces a whole service.

    In this and the other commands, `based_on` is the configuration version that the operator saw.
    The fold rejects the command if the service has changed since that version.
    """
    return _command("put", service.name, based_on, who, why, issued_unix_s)._replace(
        definition=(to_record(service),)
    )


def remove_service(
    name: str, *, based_on: int, who: str, why: str, issued_unix_s: float
) -> ConfigCommand:
    """Returns a command that removes a service."""
    return _command("remove", name, based_on, who, why, issued_unix_s)


def set_floor(
    name: str,
    floor_slots: int,
    floor_share: float,
    *,
    based_on: int,
    who: str,
    why: str,
    issued_unix_s: float,
) -> ConfigCommand:
    """Returns a command that sets both floors of a service."""
    return _command("floor", name, based_on, who, why, issued_unix_s)._replace(
        floor_slots=floor_slots, floor_share=float(floor_share)
    )


def set_upstream_state(
    name: str,
    address: str,
    state: str,
    *,
    based_on: int,
    who: str,
    why: str,
    issued_unix_s: float,
) -> ConfigCommand:
    """Returns a command that sets the state of one upstream of a service."""
    return _command("upstream", name, based_on, who, why, issued_unix_s)._replace(
        address=address, state=state
    )


def _command(
    kind: str, service: str, based_on: int, who: str, why: str, issued_unix_s: float
) -> ConfigCommand:
    return ConfigCommand(
        command_id=secrets.token_hex(8),
        kind=kind,
        service=service,
        based_on=based_on,
        who=who,
        issued_unix_s=issued_unix_s,
        why=why,
        definition=(),
        floor_slots=0,
        floor_share=0.0,
        address="",
        state="",
    )
