"""`anviltray status`: shows the outcome of a command."""

from anviltray_cli._client import call, target_from
from anviltray_cli._registry import command
from anviltray_cli._statements import show_outcome


@command
def status(
    command_id: str,
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
    deadline_s: float = 5.0,
) -> int:
    """Find out whether a command with an unknown outcome took effect.

    :param command_id: Identifier that the tool printed.
    :param node: Operator addresses, tried in order.
    :param json: Print JSON.
    :param deadline_s: Time limit in seconds.
    """
    target = target_from(node, deadline_s)
    return show_outcome(call(target, "GET", f"/v1/commands/{command_id}"), as_json=json)
