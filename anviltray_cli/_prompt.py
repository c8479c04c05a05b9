"""`anviltray prompt`: interactive prompt for statements, with history."""

import sys

from anviltray_cli._client import ToolError, target_from
from anviltray_cli._exit_codes import ExitCode
from anviltray_cli._registry import command
from anviltray_cli._statements import run_statement


@command
def prompt(
    *,
    node: list[str] = [],  # noqa: B006
    deadline_s: float = 5.0,
) -> int:
    """Read statements at a prompt with history; Ctrl-D ends it.

    :param node: Operator addresses, tried in order.
    :param deadline_s: Time limit of each statement in seconds.
    """
    from prompt_toolkit import PromptSession

    target = target_from(node, deadline_s)
    session: PromptSession[str] = PromptSession("anviltray> ")
    while True:
        try:
            text = session.prompt()
        except EOFError:
            return ExitCode.DONE
        except KeyboardInterrupt:
            continue
        if not text.strip():
            continue
        try:
            run_statement(target, text, as_json=False)
        except ToolError as error:
            print(error, file=sys.stderr)
