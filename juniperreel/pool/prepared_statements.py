"""LRU cache of the statements prepared on a connection.

Statement ids are only valid on the connection on which the statement was prepared.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple


class StatementKey(NamedTuple):
    """Identifies a prepared statement: its text and the session state that affects how it is parsed."""

    text: bytes
    parse_context: str


class PreparedStatementCache:
    """A bounded LRU cache that maps statements to server-assigned ids."""

    def __init__(self, max_statements: int) -> None:
        self._max_statements = max_statements
        self._ids: OrderedDict[StatementKey, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ids)

    def get(self, key: StatementKey) -> int | None:
        """Return the id of a statement, if it is prepared, and mark it as recently used."""
        statement_id = self._ids.get(key)
        if statement_id is not None:
            self._ids.move_to_end(key)
        return statement_id

    def put(self, key: StatementKey, statement_id: int) -> list[int]:
        """Add a prepared statement. Return the evicted ids, which the caller must close."""
        self._ids[key] = statement_id
        evicted_ids = []
        while len(self._ids) > self._max_statements:
            _, evicted_id = self._ids.popitem(last=False)
            evicted_ids.append(evicted_id)
        return evicted_ids

    def remove(self, key: StatementKey) -> None:
        """Remove a statement that was closed or that is unknown to the server."""
        self._ids.pop(key, None)
