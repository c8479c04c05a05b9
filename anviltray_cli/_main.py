"""Entry point of the tool."""

import itertools
import sys
from collections.abc import Sequence

import defopt

from anviltray_cli import (  # noqa: F401  (registers the subcommands)
    _declarations,
    _prompt,
    _report_burn,
    _run,
    _status,
)
from anviltray_cli._client import ToolError
from anviltray_cli._registry import registered

_STATEMENT_KEYWORDS = ("show", "explain", "set", "drain", "restore", "eject")


def main(argv: Sequence[str] | None = None) -> None:
    """Runs the tool and exits with an `ExitCode`.

    A statement of the operator language may be given without quotes: `anviltray show nodes --json`
    is equivalent to `anviltray run "show nodes" --json`.
    """
    arguments = _quote_statement(sys.argv[1:] if argv is None else argv)
    try:
        code = defopt.run(registered(), argv=arguments, argparse_kwargs={"prog": "anviltray"})
    except ToolError as error:
        print(f"anviltray: {error}", file=sys.stderr)
        code = error.code
    sys.exit(int(code))


def _quote_statement(arguments: Sequence[str]) -> list[str]:
    if not arguments or arguments[0].lower() not in _STATEMENT_KEYWORDS:
        return list(arguments)
    words = list(itertools.takewhile(lambda word: not word.startswith("-"), arguments))
    statement = " ".join(f'"{word}"' if " " in word else word for word in words)
    return ["run", statement, *arguments[len(words) :]]
