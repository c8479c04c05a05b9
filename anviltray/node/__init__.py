"""One node of the fleet and its daemon."""

from anviltray.node._daemon import main
from anviltray.node._node import Node

__all__ = ["Node", "main"]
