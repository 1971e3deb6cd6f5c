"""Writes results to the client; long ones are streamed at the rate at which the client reads."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import trio

from juniperreel.frontends.mysql.client_session import SessionContext
from juniperreel.frontends.mysql.conversion import to_table
from juniperreel.frontends.mysql.errors import (
    DEADLINE_EXCEEDED,
    EFFECT_UNKNOWN,
    SEVERAL_RESULTS_RESPONSE,
    ErrorResponse,
)
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
        """`flush` sends what `protocol` has encoded, and blocks while the client does not read."""
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

    async def write(self, result: Result, deadline_us: int) -> list[Event]:
        """Write the result of an endpoint that speaks MySQL, without decoding its rows.

        All rows of a streamed result must have arrived by `deadline_us`.
        """
        if result.remaining_rows is None:
            return self._write_results([result, *result.additional_results])
        self._write_rows(result)
        try:
            return await self._write_remaining_rows(result.remaining_rows, deadline_us)
        finally:
            result.remaining_rows.close()

    def _write_results(self, results: Sequence[Result]) -> list[Event]:
        """Write all results of a statement, each but the last of which announces the next."""
        if not self._protocol.client_reads_several_results:
            if any(result.columns for result in results[1:]):
                return SEVERAL_RESULTS_RESPONSE.write_to(self._protocol)
            results = results[:1]
        *earlier, last = results
        for result in earlier:
            self._write_result(result, more=True)
        return self._write_result(last)

    def _write_result(self, result: Result, more: bool = False) -> list[Event]:
        tracking = () if more else self._session.changed_token_tracking()
        ok = result.ok
        if result.columns:
            self._write_rows(result)
            return self._protocol.end_result(ok.warnings, tracking, more)
        info = ok.info.decode("utf-8", "replace")
        return self._protocol.ok(ok.affected, ok.insert_id, info, ok.warnings, tracking, more)

    def _write_rows(self, result: Result) -> None:
        self._protocol.begin_result(result.columns)
        self._protocol.rows(result.rows)

    async def _write_remaining_rows(self, row_stream: RowStream, deadline_us: int) -> list[Event]:
        try:
            while True:
                # Sending is not bounded by the deadline, which would truncate a packet and make everything
                # after it unreadable for the client. It has its own time-out, which closes the connection.
                await self._flush()
                rows: list[bytes] | None = None
                with trio.CancelScope(deadline=self._clock.trio_time(deadline_us)):
                    rows = await row_stream.next_rows()
                if rows is None:
                    response = ErrorResponse(DEADLINE_EXCEEDED, "the result did not end in time")
                    return response.write_to(self._protocol)
                if not rows:
                    return self._end_streamed_result(row_stream)
                self._protocol.rows(rows)
        except StatementError as error:
            return self._protocol.error(error.err.code, error.err.sqlstate, error.err.message)
        except ConnectionLostError as error:
            response = ErrorResponse(EFFECT_UNKNOWN, f"the result broke off: {error}")
            return response.write_to(self._protocol)

    def _end_streamed_result(self, row_stream: RowStream) -> list[Event]:
        additional = row_stream.additional_results
        several = self._protocol.client_reads_several_results
        if not several and any(result.columns for result in additional):
            return SEVERAL_RESULTS_RESPONSE.write_to(self._protocol)
        if not several or not additional:
            tracking = self._session.changed_token_tracking()
            return self._protocol.end_result(row_stream.ok.warnings, tracking)
        self._protocol.end_result(row_stream.ok.warnings, more=True)
        return self._write_results(additional)
