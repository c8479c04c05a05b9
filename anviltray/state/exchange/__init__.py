"""Exchange of state and messages between nodes."""

from anviltray.state.exchange._exchange import Exchange
from anviltray.state.exchange._queries import QueryResult

__all__ = ["Exchange", "QueryResult"]
