"""Queries that all nodes answer before a deadline."""

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import cbor2

from anviltray.messages import Query, QueryAnswer

_ROUTES = 1024  # Queries whose way back is remembered.

Rows = Sequence[dict[str, Any]]
QueryHandler = Callable[[str], Rows]


class QueryResult(NamedTuple):
    """Answers to a query."""

    answers: dict[str, Rows]  # Rows of each node that answered.
    missing: tuple[str, ...]  # Known nodes that did not answer in time, sorted.


class _Open:
    """A query of this node that waits for answers."""

    def __init__(self, expected: Iterable[str]) -> None:
        self.expected = set(expected)
        self.answers: dict[str, Rows] = {}
        self.complete = asyncio.Event()

    def add(self, node: str, rows: Rows) -> None:
        self.answers[node] = rows
        if self.expected <= self.answers.keys():
            self.complete.set()


class Queries:
    """Floods queries and carries each answer back along the way that the query came."""

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
        self._open: dict[str, _Open] = {}
        self._way_back: OrderedDict[str, str] = OrderedDict()

    async def ask(self, text: str, timeout_s: float, nodes: Iterable[str]) -> QueryResult:
        """Returns what `nodes` answer within `timeout_s`, and the nodes that did not."""
        query = Query(secrets.token_hex(8), self._own, text, timeout_s)
        waiting = _Open(nodes)
        self._open[query.query_id] = waiting
        waiting.add(self._own, self.handler(text))
        self._flood(query)
        try:
            async with asyncio.timeout(timeout_s):
                await waiting.complete.wait()
        except TimeoutError:
            pass
        finally:
            del self._open[query.query_id]
        return QueryResult(
            waiting.answers, tuple(sorted(waiting.expected - waiting.answers.keys()))
        )

    def on_query(self, sender: str, query: Query) -> None:
        """Answers a query that is new here."""
        self._way_back[query.query_id] = sender
        if len(self._way_back) > _ROUTES:
            self._way_back.popitem(last=False)
        rows = cbor2.dumps(list(self.handler(query.text)))
        self._send_to(sender, QueryAnswer(query.query_id, query.origin, self._own, rows))

    def on_answer(self, answer: QueryAnswer) -> None:
        """Takes an answer to an own query, or passes it on."""
        if answer.origin != self._own:
            sender = self._way_back.get(answer.query_id)
            if sender is not None:
                self._send_to(sender, answer)
            return
        waiting = self._open.get(answer.query_id)
        if waiting is None:
            return
        try:
            rows = cbor2.loads(answer.rows)
        except (cbor2.CBORDecodeError, ValueError):
            return
        if isinstance(rows, list):
            waiting.add(answer.node, rows)
