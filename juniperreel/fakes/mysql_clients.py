"""The MySQL transport of fake clients, with one connection for each session.

The edge keeps the session's causal token with the connection. The client reads the token after each write,
to present it to another edge if this one fails. There are no idempotency keys, so that a write that may have
been executed is not retried.
"""

from __future__ import annotations

import random
import re
from collections.abc import Sequence
from typing import NamedTuple

import trio

from juniperreel.fakes.client_session import (
    READ_STATEMENT,
    AttemptReporter,
    AttemptResult,
    ClientRequest,
    ClientSession,
    EdgeAddress,
    MysqlTraffic,
)
from juniperreel.fakes.mysql_client import MysqlClient, MysqlConnectionError, QueryError, QueryResult
from juniperreel.net import ConnectError, Network
from juniperreel.net.clock import US
from juniperreel.rpc.status import Code

STATUSES = {
    1205: Code.UNAVAILABLE,
    1213: Code.UNAVAILABLE,
    1105: Code.UNKNOWN,
    3024: Code.DEADLINE_EXCEEDED,
}
RETRY_AFTER = re.compile(r"again after (\d+) ms")
DEADLINE_MARGIN_US = 500_000  # the edge answers by the deadline of the class; clients cannot set their own
TOKEN_TIMEOUT_S = 3.0  # for reading or presenting a token
RECONNECT_DELAY_S = (0.1, 0.5)  # before a retry after a broken connection


class StatementsResult(NamedTuple):
    """The first error, or the last statement's result; `complete` if the last statement was executed."""

    result: QueryResult | QueryError
    complete: bool


class MysqlTransport:
    """Sends requests as text statements with literal values."""

    def __init__(
        self,
        network: Network,
        rng: random.Random,
        edges: Sequence[EdgeAddress],
        traffic: MysqlTraffic,
        reporter: AttemptReporter,
    ) -> None:
        self._network = network
        self._rng = rng
        self._edges = edges
        self._traffic = traffic
        self._reporter = reporter
        self._rename_count = 0  # total number of sessions renamed

    def open_client(self, edge: int) -> MysqlClient:
        """Create a client for the edge with this index."""
        traffic = self._traffic
        return MysqlClient(self._network, traffic.ports[edge], traffic.user, traffic.password)

    async def attempt(self, session: ClientSession, request: ClientRequest, number: int) -> float | None:
        """Send a request once; returns the seconds to wait before a retry, or None if there is to be none."""
        client = session.mysql
        assert client is not None
        statements = self._statements(request)
        # The edge answers each statement by the deadline of its class.
        timeout_us = len(statements) * request.traffic.deadline_us + DEADLINE_MARGIN_US
        edge = self._edges[session.edge].name
        sent_at_us = self._reporter.record_sent(session, request, number, edge, timeout_us)
        result = AttemptResult()
        write = request.request_class.write
        try:
            with trio.fail_after(timeout_us / US):
                executed = await _execute(client, statements)
            self._read_result(executed, write, result)
        except trio.TooSlowError:
            result.status = Code.DEADLINE_EXCEEDED
            result.local = True
        except (MysqlConnectionError, ConnectError) as error:
            result.status = Code.UNAVAILABLE
            result.local = True
            sent = isinstance(error, MysqlConnectionError) and error.sent
            if not write or not sent:
                result.retry_delay_s = self._rng.uniform(*RECONNECT_DELAY_S)
        self._reporter.record_response(request, number, sent_at_us, result)
        if result.local:
            await self._move_to_next_edge(session)
        elif write and result.status is Code.OK:
            await self._read_token(session, client)
        return result.retry_delay_s

    def _statements(self, request: ClientRequest) -> list[str]:
        """The statements of a request; some writes are sent as transactions."""
        text = f"{request.statement} /* group {request.group} */"
        for value in request.values:
            text = text.replace("?", f"'{value}'", 1)
        if request.request_class.write and self._rng.random() < self._traffic.transaction_part:
            read = READ_STATEMENT.format(request.request_id).replace("?", f"'{request.row}'")
            return ["begin", text, f"{read} for update", "commit"]
        return [text]

    def _read_result(self, executed: StatementsResult, write: bool, result: AttemptResult) -> None:
        response = executed.result
        if isinstance(response, QueryResult):
            result.rows = [] if write else [str(row[0]) for row in response.rows]
            return
        result.status = STATUSES.get(response.code, Code.INVALID_ARGUMENT)
        if not executed.complete and result.status in (Code.UNKNOWN, Code.DEADLINE_EXCEEDED):
            result.status = Code.UNAVAILABLE  # the transaction was not committed, so that a retry is safe
        if result.status is Code.UNAVAILABLE:
            retry_after = RETRY_AFTER.search(response.message)
            result.retry_after_us = int(retry_after[1]) * 1000 if retry_after else 0
            result.retry_delay_s = result.retry_after_us / US * self._rng.uniform(1.0, 1.3)

    async def _read_token(self, session: ClientSession, client: MysqlClient) -> None:
        try:
            with trio.fail_after(TOKEN_TIMEOUT_S):
                result = await client.query("select @@juniperreel_token")
            if isinstance(result, QueryResult) and result.rows:
                session.causal_token = str(result.rows[0][0]).encode()
                return
        except (trio.TooSlowError, MysqlConnectionError, ConnectError):
            pass
        await self._move_to_next_edge(session, token_lost=True)

    async def _move_to_next_edge(self, session: ClientSession, token_lost: bool = False) -> None:
        """Connect to the next edge and present the token there.

        If the token was lost with the connection, the session gets a new name: no edge can guarantee that it
        reads its earlier writes.
        """
        assert session.mysql is not None
        await session.mysql.close()
        session.edge = (session.edge + 1) % len(self._edges)
        session.mysql = self.open_client(session.edge)
        if session.causal_token and not token_lost:
            if await self._present_token(session, session.mysql):
                return
            await session.mysql.close()
        self._rename_count += 1
        original_name = session.name.split("+")[0]
        session.name = f"{original_name}+{self._rename_count}"
        session.causal_token = b""

    @staticmethod
    async def _present_token(session: ClientSession, client: MysqlClient) -> bool:
        text = f"set @@juniperreel_token = '{session.causal_token.decode()}'"
        try:
            with trio.fail_after(TOKEN_TIMEOUT_S):
                return isinstance(await client.query(text), QueryResult)
        except (trio.TooSlowError, MysqlConnectionError, ConnectError):
            return False


async def _execute(client: MysqlClient, statements: Sequence[str]) -> StatementsResult:
    """Execute statements in order; roll back and stop at the first error before the last one."""
    *earlier, last = statements
    for text in earlier:
        result = await client.query(text)
        if isinstance(result, QueryError):
            await client.query("rollback")
            return StatementsResult(result, complete=False)
    return StatementsResult(await client.query(last), complete=True)
