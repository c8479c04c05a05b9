"""`anviltray`, the command-line tool for operators."""

from anviltray_cli._exit_codes import ExitCode
from anviltray_cli._main import main

__all__ = ["ExitCode", "main"]
