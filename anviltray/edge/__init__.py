"""The program that serves callers on the users' platform."""

from anviltray.edge._daemon import main
from anviltray.edge._edge import Edge

__all__ = ["Edge", "main"]
