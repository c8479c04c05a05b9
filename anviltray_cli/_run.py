"""`anviltray run`: runs one statement or a file of statements."""

from pathlib import Path

from anviltray_cli._client import target_from
from anviltray_cli._exit_codes import ExitCode
from anviltray_cli._registry import command
from anviltray_cli._statements import run_statement


@command
def run(
    statement: str = "",
    *,
    file: Path | None = None,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
    deadline_s: float = 5.0,
) -> int:
    """Run one statement of the operator language, or each line of a file.

    Example: `anviltray run "show upstreams of supply-yard where state = ejected"`.

    A file stops at the first statement that does not succeed. Empty lines and lines that start with
    `#` are skipped.

    :param statement: Statement in quotes.
    :param file: File with one statement a line.
    :param node: Operator addresses, tried in order.
    :param json: Print JSON.
    :param deadline_s: Time limit of each statement in seconds.
    """
    target = target_from(node, deadline_s)
    lines = file.read_text(encoding="utf-8").splitlines() if file else [statement]
    for line in lines:
        if file and (not line.strip() or line.lstrip().startswith("#")):
            continue
        code = run_statement(target, line, as_json=json)
        if code is not ExitCode.DONE:
            return code
    return ExitCode.DONE
