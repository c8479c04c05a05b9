"""`anviltray`, the operators' command-line tool."""

from anviltray_cli._exit_codes import ExitCode
from anviltray_cli._main import main

__all__ = ["ExitCode", "main"]
