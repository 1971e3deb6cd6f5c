"""The statements that are prepared on one connection, by text.

An id is valid on its own connection only. The cache is bounded: the least recently used statement is closed.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple


class StatementKey(NamedTuple):
    """What identifies a prepared statement: its text, and the session state that decides how it is parsed."""

    text: bytes
    parse_context: str


class PreparedStatementCache:
    """An LRU cache from statements to the ids that the server gave them."""

    def __init__(self, max_statements: int) -> None:
        self._max_statements = max_statements
        self._ids: OrderedDict[StatementKey, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ids)

    def get(self, key: StatementKey) -> int | None:
        """The statement's id, if it is prepared; marks it as just used."""
        statement_id = self._ids.get(key)
        if statement_id is not None:
            self._ids.move_to_end(key)
        return statement_id

    def put(self, key: StatementKey, statement_id: int) -> list[int]:
        """Add a statement that was prepared. Returns the evicted ids, which the caller must close."""
        self._ids[key] = statement_id
        evicted_ids = []
        while len(self._ids) > self._max_statements:
            _, evicted_id = self._ids.popitem(last=False)
            evicted_ids.append(evicted_id)
        return evicted_ids

    def remove(self, key: StatementKey) -> None:
        """Forget a statement that the server no longer knows, or that was closed."""
        self._ids.pop(key, None)
