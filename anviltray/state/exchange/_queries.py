"""Queries that are sent to all nodes and answered before a deadline."""

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import cbor2

from anviltray.messages import Query, QueryAnswer

_MAX_RETURN_PATHS = 1024  # Number of queries whose return path is kept.

Rows = Sequence[dict[str, Any]]
QueryHandler = Callable[[str], Rows]


class QueryResult(NamedTuple):
    """Result of a query."""

    answers: dict[str, Rows]  # Rows of each node that answered.
    missing: tuple[str, ...]  # Known nodes that did not answer in time, sorted.


class _PendingQuery:
    """A query of this node that waits for answers."""

    def __init__(self, expected: Iterable[str]) -> None:
        self.expected = set(expected)
        self.answers: dict[str, Rows] = {}
        self.complete = asyncio.Event()

    def add_answer(self, node: str, rows: Rows) -> None:
        self.answers[node] = rows
        if self.expected <= self.answers.keys():
            self.complete.set()


class Queries:
    """Floods queries and returns each answer along the path on which the query arrived."""

    def __init__(
        self,
        own: str,
        handler: QueryHandler,
        flood: Callable[[Query], None],
        send_to: Callable[[str, QueryAnswer], None],
    ) -> None:
        self._own = own
        self.handler = handler
        self._flood = flood
        self._send_to = send_to
        self._pending: dict[str, _PendingQuery] = {}
        self._return_paths: OrderedDict[str, str] = OrderedDict()

    async def execute(self, text: str, timeout_s: float, nodes: Iterable[str]) -> QueryResult:
        """Returns the answers of `nodes` within `timeout_s`, and the nodes without an answer."""
        query = Query(secrets.token_hex(8), self._own, text, timeout_s)
        pending = _PendingQuery(nodes)
        self._pending[query.query_id] = pending
        pending.add_answer(self._own, self.handler(text))
        self._flood(query)
        try:
            async with asyncio.timeout(timeout_s):
                await pending.complete.wait()
        except TimeoutError:
            pass
        finally:
            del self._pending[query.query_id]
        return QueryResult(
            pending.answers, tuple(sorted(pending.expected - pending.answers.keys()))
        )

    def on_query(self, sender: str, query: Query) -> None:
        """Answers a query that arrives for the first time."""
        self._return_paths[query.query_id] = sender
        if len(self._return_paths) > _MAX_RETURN_PATHS:
            self._return_paths.popitem(last=False)
        rows = cbor2.dumps(list(self.handler(query.text)))
        self._send_to(sender, QueryAnswer(query.query_id, query.origin, self._own, rows))

    def on_answer(self, answer: QueryAnswer) -> None:
        """Collects an answer to an own query, or forwards any other answer to its origin."""
        if answer.origin != self._own:
            sender = self._return_paths.get(answer.query_id)
            if sender is not None:
                self._send_to(sender, answer)
            return
        pending = self._pending.get(answer.query_id)
        if pending is None:
            return
        try:
            rows = cbor2.loads(answer.rows)
        except (cbor2.CBORDecodeError, ValueError):
            return
        if isinstance(rows, list):
            pending.add_answer(answer.node, rows)
