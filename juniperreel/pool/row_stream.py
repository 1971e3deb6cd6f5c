"""The rows of a long result that have not been read from their connection yet.

Owns the connection until the result has been read to the end; must never leave a part of it unread on a
connection that stays open.
"""

from __future__ import annotations

from typing import Protocol

import trio

from juniperreel.mysql import client_events as client
from juniperreel.mysql.replies import Err, Ok
from juniperreel.pool.errors import ConnectionLostError, ResultTooLargeError, StatementError
from juniperreel.pool.result import Result

STREAM_CHUNK_BYTES = 64 << 10  # returned by one call of `next_rows`


class ResultSource(Protocol):
    """The connection that a result is read from."""

    async def next_event(self) -> client.Event:
        """Return the next protocol event. Raises ConnectionLostError."""
        ...

    async def receive_additional_results(self, binary: bool) -> list[Result] | Err:
        """Return the results that follow one whose status announced more."""
        ...

    def close(self) -> None:
        """Close the connection immediately."""
        ...


class ConnectionRowStream:
    """The remaining rows of a long result, read directly from the connection.

    Attributes:
        ok: The final status of the result; valid once `next_rows` has returned no rows.
        additional_results: The results that followed on the connection; valid at the same time.
        ended: Whether the result was read to the end or closed.
        finished: Set when `ended` becomes true; the connection is then free or closed.
    """

    def __init__(self, connection: ResultSource, binary: bool) -> None:
        self._connection = connection
        self._binary = binary
        self.ok = Ok()
        self.additional_results: list[Result] = []
        self.ended = False
        self.finished = trio.Event()

    async def next_rows(self) -> list[bytes]:
        """Return more rows, or none at the end. Closes the connection if it raises or is cancelled.

        Raises:
            StatementError: The statement failed after returning some rows; the connection remains usable.
            ConnectionLostError: The connection broke.
        """
        try:
            return await self._read_chunk()
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Discard the remaining rows. Unless all were read, this closes the connection."""
        if self.ended:
            return
        # The response to the next statement follows all remaining rows; closing is cheaper than reading
        # them.
        self._connection.close()
        self._finish()

    async def _read_chunk(self) -> list[bytes]:
        rows: list[bytes] = []
        size = 0
        while not self.ended and size < STREAM_CHUNK_BYTES:
            event = await self._connection.next_event()
            match event:
                case client.Row(payload):
                    rows.append(payload)
                    size += len(payload)
                case client.ResultEnded(ok):
                    self.ok = ok
                    await self._read_additional_results()
                    self._finish()
                case client.Failed(err):
                    self._finish()
                    raise StatementError(err)
                case _:
                    raise ConnectionLostError("the server broke off a result", sent=True)
        return rows

    async def _read_additional_results(self) -> None:
        if not self.ok.more_results:
            return
        try:
            additional = await self._connection.receive_additional_results(self._binary)
        except ResultTooLargeError as error:
            raise ConnectionLostError(str(error), sent=True) from error
        if isinstance(additional, Err):
            self._finish()
            raise StatementError(additional)
        self.additional_results = additional

    def _finish(self) -> None:
        self.ended = True
        self.finished.set()
