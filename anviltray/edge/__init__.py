"""The proxy process that serves callers on one host of the platform."""

from anviltray.edge._daemon import main
from anviltray.edge._edge import Edge

__all__ = ["Edge", "main"]
