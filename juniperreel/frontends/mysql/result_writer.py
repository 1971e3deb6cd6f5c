"""Writes results to the client, long ones in parts and no faster than the client reads."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from juniperreel.frontends.mysql.client_session import SessionContext
from juniperreel.frontends.mysql.conversion import to_table
from juniperreel.frontends.mysql.errors import DEADLINE_EXCEEDED, EFFECT_UNKNOWN, ErrorResponse
from juniperreel.mysql.rows import encode_binary_row
from juniperreel.mysql.server import Event, ServerSession
from juniperreel.net import Clock
from juniperreel.pool.errors import ConnectionLostError, StatementError
from juniperreel.pool.result import Result, RowStream
from juniperreel.proto.common.v1 import values_pb2


class ResultWriter:
    """Encodes results for one connection."""

    def __init__(
        self,
        protocol: ServerSession,
        session: SessionContext,
        clock: Clock,
        flush: Callable[[], Awaitable[None]],
    ) -> None:
        """`flush` sends what `protocol` has encoded, and waits while the client does not read."""
        self._protocol = protocol
        self._session = session
        self._clock = clock
        self._flush = flush

    def write_result_set(self, result_set: values_pb2.ResultSet, binary: bool) -> list[Event]:
        """Write the result of an endpoint that speaks gRPC."""
        if not result_set.columns:
            tracking = self._session.changed_token_tracking()
            return self._protocol.ok(affected=result_set.affected, tracked=tracking)
        table = to_table(result_set)
        return self._protocol.result(table.columns, table.rows, encode_binary_row if binary else None)

    async def write(self, result: Result, until_us: int) -> list[Event]:
        """Write the result of an endpoint that speaks MySQL, its rows as they came.

        The rest of a long result must have arrived by `until_us`.
        """
        if not result.columns:
            return self._write_ok(result)
        self._protocol.begin_result(result.columns)
        self._protocol.rows(result.rows)
        if result.remaining_rows is None:
            tracking = self._session.changed_token_tracking()
            return self._protocol.end_result(result.ok.warnings, tracking)
        try:
            return await self._write_rest(result.remaining_rows, until_us)
        finally:
            result.remaining_rows.close()

    def _write_ok(self, result: Result) -> list[Event]:
        ok = result.ok
        info = ok.info.decode("utf-8", "replace")
        tracking = self._session.changed_token_tracking()
        return self._protocol.ok(ok.affected, ok.insert_id, info, ok.warnings, tracking)

    async def _write_rest(self, rest: RowStream, until_us: int) -> list[Event]:
        try:
            while True:
                # Danger: sending has a time-out of its own, which ends the connection. Ended by the deadline
                # it would cut a packet off, and the client could read nothing that follows.
                await self._flush()
                rows: list[bytes] | None = None
                with trio.CancelScope(deadline=self._clock.trio_time(until_us)):
                    rows = await rest.next_rows()
                if rows is None:
                    response = ErrorResponse(DEADLINE_EXCEEDED, "the result did not end in time")
                    return response.write_to(self._protocol)
                if not rows:
                    tracking = self._session.changed_token_tracking()
                    return self._protocol.end_result(rest.ok.warnings, tracking)
                self._protocol.rows(rows)
        except StatementError as error:
            return self._protocol.error(error.err.code, error.err.sqlstate, error.err.message)
        except ConnectionLostError as error:
            response = ErrorResponse(EFFECT_UNKNOWN, f"the result broke off: {error}")
            return response.write_to(self._protocol)
