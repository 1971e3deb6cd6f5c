"""Queries about the session, which the edge answers without an endpoint."""

from __future__ import annotations

import re

from juniperreel.frontends.mysql.client_session import SessionContext
from juniperreel.frontends.mysql.transaction_scope import TransactionScope
from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import ColumnType
from juniperreel.mysql.server import Event, ServerSession

TOKEN_QUERY = re.compile(rb"\s*select\s+@@juniperreel_token\s*;?\s*\Z", re.I)
SET_TOKEN_STATEMENT = re.compile(
    rb"\s*set\s+@@(?:session\.)?juniperreel_token\s*=\s*'([\w-]{1,4096})'\s*;?\s*\Z", re.I
)
LAST_INSERT_ID_QUERY = re.compile(
    rb"\s*select\s+(last_insert_id\(\)|@@(?:session\.)?(?:last_insert_id|identity))\s*;?\s*\Z", re.I
)
AUTOCOMMIT_QUERY = re.compile(rb"\s*select\s+(@@(?:session\.)?autocommit)\s*;?\s*\Z", re.I)


class SessionQueries:
    """Reads and sets the causal token, and reads the last insert id and the autocommit mode."""

    def __init__(self, protocol: ServerSession, session: SessionContext, scope: TransactionScope) -> None:
        """All three belong to the connection."""
        self._protocol = protocol
        self._session = session
        self._scope = scope

    def answer(self, text: bytes) -> list[Event] | None:
        """Answer a query about the session; None for any other. Raises MysqlError for an invalid token."""
        if TOKEN_QUERY.match(text):
            column = Column("@@juniperreel_token", ColumnType.VAR_STRING)
            return self._protocol.result([column], [(self._session.encoded_token(),)])
        if (match := SET_TOKEN_STATEMENT.match(text)) is not None:
            self._session.merge_token(match[1].decode())
            return self._protocol.ok()
        if (match := LAST_INSERT_ID_QUERY.match(text)) is not None:
            return self._integer_result(match[1].decode(), self._scope.last_insert_id)
        if (match := AUTOCOMMIT_QUERY.match(text)) is not None:
            return self._integer_result(match[1].decode(), int(self._scope.autocommit))
        return None

    def _integer_result(self, name: str, value: int) -> list[Event]:
        return self._protocol.result([Column(name, ColumnType.LONGLONG)], [(value,)])
